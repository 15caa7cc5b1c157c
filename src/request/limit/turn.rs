//! Turns at targets that state how many requests a second they take.
//!
//! A target in need states its limit in its responses. The limit holds for all gateways
//! together, so a gateway asks the leading replica for a *turn* before each request to
//! such a target. The leader keeps one schedule per target: turns are at least the stated
//! interval apart, but for a small burst, and a turn may be reserved for a later moment.
//! A caller that can't wait that long is denied, and told when the next turn is free.
//!
//! A new leader does not know which turns the one before has reserved. Its own are twice as far
//! apart until those are over, so that a target does not get two leaders' turns.
//!
//! While no leader answers, each gateway keeps a schedule of its own, with the interval
//! multiplied by the number of gateways, and twice that as long as turns may be reserved. Its turns come at fixed moments, which differ
//! between gateways, and one that is not used is lost. Otherwise each gateway would have a
//! turn in hand after a pause, and all of them might send at once.
//!
//! This serves targets that take a few requests a second, from a hundred gateways. The
//! alternative, a fixed part of the limit for each gateway, needs no calls, but then a
//! gateway with much traffic refuses requests while the others leave their parts unused.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use hornbeamdock::request::limit::turn::{TurnReply, TurnRequest, Turns};
//!
//! let mut turns = Turns::default();
//! let request = TurnRequest {
//!     target: "engine-1".into(),
//!     incarnation: 7,
//!     interval: Duration::from_millis(500),
//!     max_wait: Duration::ZERO,
//! };
//! let now = Duration::from_secs(1);
//! assert_eq!(turns.request(&request, now), TurnReply::Granted { wait: Duration::ZERO });
//! let denied = TurnReply::Denied { wait: Duration::from_millis(500) };
//! assert_eq!(turns.request(&request, now), denied);
//! ```

use std::{collections, time};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::outage::{self, Outage};

/// Turns that may follow one another at once after a pause.
const BURST: u32 = 2;

/// How long a schedule is kept after its latest turn, and time between two searches for
/// those that are no longer used.
const RETENTION: time::Duration = time::Duration::from_mins(1);

/// Longest time before its turn for which one is reserved.
pub const MAX_RESERVATION: time::Duration = time::Duration::from_secs(2);

/// How much further apart turns are while those that an earlier leader reserved may be used.
const TAKEOVER_SPACING: u32 = 2;

/// Longest time between two turns, for targets that state a limit near zero.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A gateway's request for a turn at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Id of the target.
    pub target: String,
    /// Start time of the target, as it announced.
    pub incarnation: u64,
    /// Least time between two requests, as the target stated.
    pub interval: time::Duration,
    /// How long the request can wait for its turn.
    pub max_wait: time::Duration,
}

/// Reply to a [`TurnRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnReply {
    /// The request may be sent.
    Granted {
        /// Time until then.
        wait: time::Duration,
    },
    /// There is no turn within the time that the request can wait.
    Denied {
        /// Time until the next free turn.
        wait: time::Duration,
    },
}

/// The schedules of all targets that state a limit.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Time of the next turn, by target and incarnation.
    schedules: collections::BTreeMap<(String, u64), time::Duration>,
    /// Until when turns that an earlier leader reserved may be used.
    takeover_until: time::Duration,
    /// When unused schedules were last dropped.
    cleaned_at: time::Duration,
    /// Seed of the fixed moments of the turns; `None` if turns that were not used may be
    /// used later.
    seed: Option<u64>,
}

/// Returns the least time between two requests to a target that takes `rate` requests a
/// second. A rate that is no positive number gives the longest interval.
#[must_use]
pub fn interval(rate: f64) -> time::Duration {
    if !rate.is_finite() || rate <= 0.0 {
        return MAX_INTERVAL;
    }
    time::Duration::try_from_secs_f64(1.0 / rate).map_or(MAX_INTERVAL, |i| i.min(MAX_INTERVAL))
}

impl Turns {
    /// Creates the schedules of one gateway. `seed` must differ between gateways: the
    /// moments of the turns depend on it.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self { seed: Some(seed), ..Self::default() }
    }

    /// Creates the schedules of a replica that becomes leader at `now`. Until the turns that
    /// earlier leaders reserved are over, its own are further apart.
    #[must_use]
    pub fn after_takeover(now: time::Duration) -> Self {
        Self { takeover_until: now + MAX_RESERVATION, ..Self::default() }
    }

    /// Grants or denies a turn.
    pub fn request(&mut self, request: &TurnRequest, now: time::Duration) -> TurnReply {
        self.drop_unused(now);
        let interval = request.interval;
        let fixed = self.seed.map(|seed| next_moment(&request.target, seed, interval, now));
        let key = (request.target.clone(), request.incarnation);
        let next = self.schedules.entry(key).or_insert(now);
        let earliest = fixed.unwrap_or(now.saturating_sub(interval * (BURST - 1)));
        let turn = (*next).max(earliest);
        let wait = turn.saturating_sub(now);
        if wait > request.max_wait {
            return TurnReply::Denied { wait };
        }
        let is_takeover = turn < self.takeover_until;
        *next = turn + if is_takeover { interval * TAKEOVER_SPACING } else { interval };
        TurnReply::Granted { wait }
    }

    fn drop_unused(&mut self, now: time::Duration) {
        if now >= self.cleaned_at + RETENTION {
            self.cleaned_at = now;
            self.schedules.retain(|_, next| now < *next + RETENTION);
        }
    }
}

/// The schedules of one gateway, and whether it asks the leader instead.
#[derive(Clone, Debug)]
pub struct LocalTurns {
    turns: Turns,
    outage: Outage,
    /// Since when the leader has not answered; `None` while it does.
    silent_since: Option<time::Duration>,
}

impl LocalTurns {
    /// Creates the schedules of a gateway; see [`Turns::with_seed`].
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { turns: Turns::with_seed(seed), outage: Outage::default(), silent_since: None }
    }

    /// Returns true if the leader is to be asked for a turn.
    #[must_use]
    pub fn asks_leader(&self, now: time::Duration) -> bool {
        self.outage.asks_leader(now)
    }

    /// Records that the leader left a request unanswered.
    pub fn record_silence(&mut self, now: time::Duration) {
        self.outage.record_silence(now);
        self.silent_since.get_or_insert(now);
    }

    /// Records that the leader answered a request.
    pub fn record_answer(&mut self) {
        self.silent_since = None;
    }

    /// Grants or denies a turn for this gateway's part of the limit, one of `gateways`. A
    /// denial lasts no longer than until the leader is asked again, which may have a turn.
    pub fn request(
        &mut self,
        request: TurnRequest,
        gateways: u32,
        now: time::Duration,
    ) -> TurnReply {
        let may_be_reserved = self.silent_since.is_some_and(|at| now < at + MAX_RESERVATION);
        let spacing = if may_be_reserved { TAKEOVER_SPACING } else { 1 };
        let interval = request.interval.saturating_mul(gateways.max(1).saturating_mul(spacing));
        match self.turns.request(&TurnRequest { interval, ..request }, now) {
            TurnReply::Denied { wait } => TurnReply::Denied { wait: wait.min(outage::SILENT_TIME) },
            granted @ TurnReply::Granted { .. } => granted,
        }
    }
}

/// Returns the first of the fixed moments of a gateway's turns that is at `now` or later.
fn next_moment(
    target: &str,
    seed: u64,
    interval: time::Duration,
    now: time::Duration,
) -> time::Duration {
    let hash = xxh3::xxh3_64_with_seed(target.as_bytes(), seed);
    let part = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    let phase = interval.mul_f64(f64::from(part) / f64::from(u32::MAX));
    let passed = now.saturating_sub(phase).as_nanos().div_ceil(interval.as_nanos().max(1));
    phase + interval.saturating_mul(u32::try_from(passed).unwrap_or(u32::MAX))
}
