//! One target, as a gateway sees it.

use std::{collections, time};

use crate::{
    request::gateway::{Prompt, cache::PrefixCache, pace, pick},
    version::{
        directory::{self, AnnouncedTarget, Requirement},
        traffic,
        view::Presence,
    },
};

use super::{Choice, Limited, Locality};

/// How long a target is avoided at first. Each further failure in a row doubles
/// the time.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(400);

/// Upper bound of the time that a target is avoided.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);

/// Failures in a row after which a target is avoided. A single failure may be
/// accidental.
const FAILURES_FOR_BACKOFF: u32 = 2;

/// How long a target that refused a connection is not chosen. Nothing listens there until
/// it has restarted, which it announces.
const UNREACHABLE_TIME: time::Duration = time::Duration::from_secs(1);

/// How long an override of an announced holding lasts: that a target lacks a
/// model or adapter, by its own response, or that it holds one, by a response
/// of the leading control replica.
const OVERRIDE_TTL: time::Duration = time::Duration::from_millis(2_500);

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) announced: AnnouncedTarget,
    hash: u64,
    /// Identifies the incarnation, for its speed.
    pub(super) pace_hash: u64,
    /// Load caused by this gateway.
    pub(super) local_load: traffic::Load,
    /// Load caused by the other gateways, by their latest reports.
    pub(super) remote_load: traffic::Load,
    pub(super) cache: PrefixCache,
    consecutive_failures: u32,
    backoff_until: time::Duration,
    /// Until when the target is not chosen, since it refused a connection.
    unreachable_until: time::Duration,
    /// Least time between two requests of all gateways, while the target states a limit.
    pub(super) request_interval: Option<time::Duration>,
    /// When the next turn at the target is free, after a turn was denied.
    pub(super) next_turn: time::Duration,
    /// Whether the target holds something, where that differs from its
    /// announcement, and when the override ends.
    holding_overrides: collections::HashMap<Requirement, (bool, time::Duration)>,
}

impl Target {
    pub(super) fn new(announced: AnnouncedTarget) -> Self {
        Self {
            hash: xxhash_rust::xxh3::xxh3_64(announced.id.as_bytes()),
            pace_hash: pace::target_hash(&announced.id, announced.incarnation),
            announced,
            local_load: traffic::Load::default(),
            remote_load: traffic::Load::default(),
            cache: PrefixCache::default(),
            consecutive_failures: 0,
            backoff_until: time::Duration::ZERO,
            unreachable_until: time::Duration::ZERO,
            request_interval: None,
            next_turn: time::Duration::ZERO,
            holding_overrides: collections::HashMap::new(),
        }
    }

    pub(super) fn takes_requests(&self, now: time::Duration) -> bool {
        self.announced.presence == Presence::Up && now >= self.unreachable_until
    }

    /// Returns true if the target is known to have this software version.
    pub(super) fn has_software(&self, software: &str) -> bool {
        self.announced.software == software && software != directory::UNKNOWN_SOFTWARE
    }

    pub(super) fn holds(&self, requirement: &directory::Requirement, now: time::Duration) -> bool {
        match self.holding_overrides.get(requirement) {
            Some((holds, until)) if now < *until => *holds,
            _ => self.announced.holds(requirement),
        }
    }

    pub(super) fn candidate(
        &self,
        prompt: Option<&Prompt>,
        locality: &Locality<'_>,
        pace: pace::Pace,
        now: time::Duration,
    ) -> pick::Candidate {
        pick::Candidate {
            hash: self.hash,
            slots: self.announced.slots,
            running: self.local_load.running.saturating_add(self.remote_load.running),
            pending_prefill: self
                .local_load
                .prompt_tokens
                .saturating_add(self.remote_load.prompt_tokens),
            cached_tokens: prompt.map_or(0, |p| self.cache.cached_tokens(p)),
            other_domain: self.announced.domain != locality.domain,
            needs_connection: !locality.connected.contains(&self.announced.address),
            in_backoff: now < self.backoff_until,
            pace,
        }
    }

    /// Returns a choice of this target, without what depends on the request besides its pool.
    /// `limited` states whether the request needs a turn.
    pub(super) fn choice(&self, pool: pace::Pool, limited: Option<Limited>) -> Choice {
        let announced = &self.announced;
        Choice {
            id: announced.id.clone(),
            incarnation: announced.incarnation,
            address: announced.address,
            software: announced.software.clone(),
            slots: announced.slots,
            running: 0,
            own_running: self.local_load.running,
            pending_prefill: 0,
            prefill_tokens: 0,
            estimate: time::Duration::ZERO,
            base_delay: time::Duration::ZERO,
            own_prefill: time::Duration::ZERO,
            least_duration: None,
            sent: pace::Sent {
                pool,
                subject: pace::Subject::new(pool, self.pace_hash),
                own_tokens: 0,
                queued_tokens: 0,
                running: 0,
                slots: announced.slots,
            },
            in_backoff: false,
            requirement: None,
            place_term: None,
            candidates: 0,
            limited,
        }
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = time::Duration::ZERO;
    }

    pub(super) fn record_failure(&mut self, now: time::Duration) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_FOR_BACKOFF {
            let backoff = INITIAL_BACKOFF
                * 2_u32.saturating_pow((self.consecutive_failures - FAILURES_FOR_BACKOFF).min(8));
            self.backoff_until = now + backoff.min(MAX_BACKOFF);
        }
    }

    pub(super) fn record_refused(&mut self, now: time::Duration) {
        self.unreachable_until = now + UNREACHABLE_TIME;
    }

    pub(super) fn forget_refusal(&mut self) {
        self.unreachable_until = time::Duration::ZERO;
    }

    /// Returns true if the limit differs from the one known before.
    pub(super) fn record_limit(&mut self, interval: Option<time::Duration>) -> bool {
        let changed = self.request_interval != interval;
        self.request_interval = interval;
        if changed && interval.is_none() {
            self.next_turn = time::Duration::ZERO;
        }
        changed
    }

    pub(super) fn override_holding(
        &mut self,
        requirement: &Requirement,
        holds: bool,
        now: time::Duration,
    ) {
        self.holding_overrides.retain(|_, (_, until)| now < *until);
        self.holding_overrides.insert(requirement.clone(), (holds, now + OVERRIDE_TTL));
    }
}

/// Returns the targets without those that have no free turn, or the one whose next turn is
/// free first if none has one now.
pub(super) fn free_first(
    targets: Vec<&Target>,
    next_turn: impl Fn(&Target) -> time::Duration,
    now: time::Duration,
) -> Vec<&Target> {
    let free: Vec<_> = targets.iter().copied().filter(|t| next_turn(t) <= now).collect();
    if free.is_empty() {
        return targets.into_iter().min_by_key(|t| next_turn(t)).into_iter().collect();
    }
    free
}
