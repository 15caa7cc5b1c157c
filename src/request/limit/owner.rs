//! The token buckets, one per workspace, as kept by the owner of the limits.
//!
//! Levels are kept in token-nanoseconds, so that accrual is exact in integers.
//!
//! # Refunds
//!
//! A refund may not simply be added to the level. While a request held the
//! tokens, the bucket may have filled up to its burst, and the tokens that it
//! rejected then must not come back later. The owner therefore records the
//! *headroom* (burst less level less outstanding) over the last minutes. A
//! refund is credited up to the smallest headroom since the tokens stopped
//! counting as outstanding, and the recorded headroom shrinks by the credit.
//! Before that time the tokens took up room in the bucket as outstanding ones,
//! so the bucket rejected nothing that it would have kept without them. The
//! result is the level that the bucket would have if the request had only been
//! charged for what it used.

use std::{collections, time};

use super::{GRANT_TTL, GrantId, GrantReply, GrantRequest, Usage, share};

/// Token-nanoseconds per token.
const SCALE: u128 = 1_000_000_000;

/// How long after its issue a grant is kept for refunds.
const REFUND_HORIZON: time::Duration = time::Duration::from_mins(2);

/// Longest interval of the headroom history, before intervals are merged.
const INTERVAL_LENGTH: time::Duration = time::Duration::from_millis(250);

/// Most intervals kept per bucket.
const MAX_INTERVALS: usize = 2_000;

/// Longest burst, as a time of the rate, of workspaces that get tokens from a new owner at
/// once.
const MAX_TAKEOVER_BURST: time::Duration = time::Duration::from_secs(4);

/// Longest wait returned with a denial while other gateways hold enough tokens:
/// gateways return idle grants within this time.
const IDLE_GRANT_RETURN_TIME: time::Duration = time::Duration::from_millis(250);

/// Rate and burst in force for a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the bucket, in tokens.
    pub burst: u64,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: u64,
    issued: time::Duration,
    spent: u64,
    refunded: u64,
    /// Number of the first interval in which some of the tokens no longer counted as
    /// outstanding.
    first_freed_interval: Option<u64>,
    /// Whether unspent tokens count as outstanding: true until the grant expires or
    /// its gateway reports it closed.
    open: bool,
}

/// The smallest headroom in an interval of time.
#[derive(Clone, Copy, Debug)]
struct HeadroomInterval {
    number: u64,
    start: time::Duration,
    /// Token-nanoseconds.
    headroom: u128,
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    /// Token-nanoseconds.
    level: u128,
    /// Tokens in open grants that are not reported as spent.
    outstanding: u64,
    updated: time::Duration,
    /// Grants for which refunds are accepted, in the order of issue.
    grants: collections::BTreeMap<GrantId, Grant>,
    /// Grants that have not expired, in the order of issue.
    unexpired: collections::VecDeque<GrantId>,
    history: collections::VecDeque<HeadroomInterval>,
    next_interval: u64,
}

/// The token buckets of all workspaces.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use hornbeamdock::request::limit::{self, owner};
///
/// let mut owner = owner::Owner::new(1, time::Duration::ZERO);
/// let limit = owner::Limit { rate: 10, burst: 100 };
/// owner.create("shop", limit, time::Duration::ZERO);
/// let request =
///     limit::GrantRequest { workspace: "shop".into(), required: 60, ..Default::default() };
/// let now = time::Duration::from_secs(10);
/// assert!(matches!(owner.handle(&request, limit, now), limit::GrantReply::Granted { .. }));
/// assert!(matches!(owner.handle(&request, limit, now), limit::GrantReply::Denied { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Owner {
    term: u64,
    /// Number of the latest grant.
    last_grant: u64,
    /// When this owner took over.
    started_at: time::Duration,
    /// Before this moment grants of an earlier owner may be outstanding.
    ready_at: time::Duration,
    /// See [`Self::with_takeover_fraction`].
    takeover_fraction: f64,
    /// Fraction of the gateways that are not reporting and may spend their shares.
    non_reporting_fraction: f64,
    buckets: collections::HashMap<String, Bucket>,
}

impl Owner {
    /// Takes over at `now`, after the lease of the previous owner has ended.
    ///
    /// Nothing is granted until all grants of the previous owner have expired.
    /// Buckets start empty then, except those of workspaces created since.
    #[must_use]
    pub fn new(term: u64, now: time::Duration) -> Self {
        Self {
            term,
            last_grant: 0,
            started_at: now,
            ready_at: now + GRANT_TTL,
            takeover_fraction: 0.0,
            non_reporting_fraction: 0.0,
            buckets: collections::HashMap::new(),
        }
    }

    /// Sets the fraction of each rate, from 0 to 1, at which tokens are granted while
    /// grants of an earlier owner may be outstanding. Zero, the default, grants none, and
    /// keeps the limits exact.
    ///
    /// The earlier owner charged its grants to its own buckets. With a fraction of 0.5,
    /// and owners at least 0.45 s apart, a window exceeds rate and burst by at most 0.35 s
    /// of the rate: the tokens of this owner that accrue while the earlier grants may
    /// still be spent. Workspaces whose burst is longer than [`MAX_TAKEOVER_BURST`] are
    /// left out, since so much may be outstanding.
    #[must_use]
    pub fn with_takeover_fraction(mut self, fraction: f64) -> Self {
        self.takeover_fraction = fraction.clamp(0.0, 1.0);
        self
    }

    /// Creates a full bucket for a workspace that did not exist before.
    pub fn create(&mut self, workspace: &str, limit: Limit, now: time::Duration) {
        let mut bucket = Bucket::new(limit, now);
        bucket.level = u128::from(limit.burst) * SCALE;
        self.buckets.entry(workspace.to_owned()).or_insert(bucket);
    }

    /// Sets the fraction of gateways, from 0 to 1, that are not reporting. What they
    /// may spend from their shares is withheld from the other gateways.
    pub fn set_non_reporting_fraction(&mut self, fraction: f64) {
        self.non_reporting_fraction = fraction;
    }

    /// Records the reported usage and grants tokens under the limit in force.
    pub fn handle(
        &mut self,
        request: &GrantRequest,
        limit: Limit,
        now: time::Duration,
    ) -> GrantReply {
        let ready_at = self.ready_at;
        let fraction = self.takeover_fraction_of(limit);
        let reduced = share::reduced_limit(limit, self.non_reporting_fraction);
        let taking_over = now < ready_at;
        let reduced =
            if taking_over && fraction > 0.0 { scale(reduced, fraction) } else { reduced };
        // A request that fits the burst can be granted however many gateways are
        // not reporting.
        let min_burst = if request.required <= limit.burst { request.required } else { 0 };
        let reduced = Limit { burst: reduced.burst.max(min_burst), ..reduced };
        // A bucket created later has accrued as much as one created at the takeover.
        let accrues_from = if taking_over && fraction > 0.0 {
            self.started_at
        } else {
            ready_at.saturating_sub(GRANT_TTL.mul_f64(fraction))
        };
        let bucket = self
            .buckets
            .entry(request.workspace.clone())
            .or_insert_with(|| Bucket::new(reduced, accrues_from));
        bucket.advance(reduced, now);
        for usage in &request.usage {
            bucket.apply_usage(*usage, now);
        }
        if request.required == 0 {
            return GrantReply::Recorded;
        }
        if request.required > limit.burst {
            return GrantReply::Unsatisfiable;
        }
        if taking_over && fraction == 0.0 {
            return GrantReply::TakingOver { wait: ready_at.saturating_sub(now) };
        }
        let level = bucket.whole_tokens();
        if level < request.required {
            return GrantReply::Denied { wait: bucket.estimate_wait(request.required) };
        }
        // More than the required tokens are granted only as far as the grant takes
        // at most a quarter of the level, so that tokens do not lie idle at one
        // gateway while others need them.
        let tokens = request.required.max(request.desired.min(level / 4));
        self.last_grant += 1;
        let id = GrantId { term: self.term, number: self.last_grant };
        bucket.issue(id, tokens, now);
        GrantReply::Granted { id, tokens }
    }

    fn takeover_fraction_of(&self, limit: Limit) -> f64 {
        let longest = limit.rate.saturating_mul(MAX_TAKEOVER_BURST.as_secs());
        if limit.burst <= longest { self.takeover_fraction } else { 0.0 }
    }

    /// Returns how many grants are kept, expired ones included.
    #[must_use]
    pub fn grants(&self) -> usize {
        self.buckets.values().map(|b| b.grants.len()).sum()
    }
}

/// Returns a fraction of a limit, rounded down.
fn scale(limit: Limit, fraction: f64) -> Limit {
    let scaled = |tokens| time::Duration::from_secs(tokens).mul_f64(fraction).as_secs();
    Limit { rate: scaled(limit.rate), burst: scaled(limit.burst) }
}

impl Bucket {
    fn new(limit: Limit, start: time::Duration) -> Self {
        Self {
            limit,
            level: 0,
            outstanding: 0,
            updated: start,
            grants: collections::BTreeMap::new(),
            unexpired: collections::VecDeque::new(),
            history: collections::VecDeque::new(),
            next_interval: 0,
        }
    }

    /// Returns the level, rounded down to tokens.
    fn whole_tokens(&self) -> u64 {
        u64::try_from(self.level / SCALE).unwrap_or(u64::MAX)
    }

    /// Accrues tokens, records the headroom and expires grants, up to `now`.
    fn advance(&mut self, limit: Limit, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_nanos();
        self.updated = self.updated.max(now);
        self.level += u128::from(self.limit.rate) * elapsed;
        self.limit = limit;
        self.cap_level();
        self.record_headroom(now);
        self.expire_grants(now);
        while let Some(oldest) = self.grants.first_entry()
            && now >= oldest.get().issued + REFUND_HORIZON
        {
            oldest.remove();
        }
    }

    /// Stops counting unspent tokens of expired grants as outstanding, without
    /// returning them to the level.
    fn expire_grants(&mut self, now: time::Duration) {
        let mut freed = false;
        while let Some(id) = self.unexpired.front()
            && let Some(grant) = self.grants.get_mut(id)
            && now >= grant.issued + GRANT_TTL
        {
            self.unexpired.pop_front();
            if grant.open {
                grant.open = false;
                grant.first_freed_interval.get_or_insert(self.next_interval);
                self.outstanding -= grant.tokens - grant.spent;
                freed = true;
            }
        }
        if freed {
            self.start_interval(now);
        }
    }

    /// Returns the headroom in token-nanoseconds.
    fn headroom(&self) -> u128 {
        let burst = u128::from(self.limit.burst) * SCALE;
        burst.saturating_sub(self.level + u128::from(self.outstanding) * SCALE)
    }

    /// Keeps level and outstanding tokens together within the burst.
    fn cap_level(&mut self) {
        let room = self.limit.burst.saturating_sub(self.outstanding);
        self.level = self.level.min(u128::from(room) * SCALE);
    }

    /// Records the present headroom in the current interval.
    fn record_headroom(&mut self, now: time::Duration) {
        let headroom = self.headroom();
        match self.history.back_mut() {
            Some(s) if now < s.start + INTERVAL_LENGTH => s.headroom = s.headroom.min(headroom),
            _ => self.start_interval(now),
        }
    }

    /// Starts an interval, also before the current one has its full length, so that a
    /// refund of tokens that stop counting as outstanding now is not limited by
    /// the headroom before now. Above [`MAX_INTERVALS`] the two oldest intervals are merged
    /// and keep the smaller headroom.
    fn start_interval(&mut self, now: time::Duration) {
        self.history.push_back(HeadroomInterval {
            number: self.next_interval,
            start: now,
            headroom: self.headroom(),
        });
        self.next_interval += 1;
        if self.history.len() > MAX_INTERVALS
            && let Some(oldest) = self.history.pop_front()
            && let Some(next) = self.history.front_mut()
        {
            next.headroom = next.headroom.min(oldest.headroom);
            next.start = oldest.start;
        }
        while self.history.front().is_some_and(|s| now > s.start + INTERVAL_LENGTH + REFUND_HORIZON)
        {
            self.history.pop_front();
        }
    }

    fn issue(&mut self, id: GrantId, tokens: u64, now: time::Duration) {
        self.level -= u128::from(tokens) * SCALE;
        self.outstanding += tokens;
        let grant = Grant {
            tokens,
            issued: now,
            spent: 0,
            refunded: 0,
            first_freed_interval: None,
            open: true,
        };
        self.grants.insert(id, grant);
        self.unexpired.push_back(id);
    }

    /// Applies a usage report. Only an increase of its totals has an effect.
    fn apply_usage(&mut self, usage: Usage, now: time::Duration) {
        let Some(grant) = self.grants.get_mut(&usage.grant) else {
            return;
        };
        let spent = usage.spent.clamp(grant.spent, grant.tokens);
        let refunded = usage.refunded.clamp(grant.refunded, spent);
        let refund = refunded - grant.refunded;
        let mut returned = 0;
        if spent > grant.spent {
            grant.first_freed_interval.get_or_insert(self.next_interval);
        }
        let first_interval = grant.first_freed_interval.unwrap_or(self.next_interval);
        let freed = grant.open && (spent > grant.spent || usage.closed);
        if grant.open {
            self.outstanding -= spent - grant.spent;
            if usage.closed {
                returned = grant.tokens - spent;
                self.outstanding -= returned;
                grant.open = false;
            }
        }
        grant.spent = spent;
        grant.refunded = refunded;
        self.level += u128::from(returned) * SCALE;
        self.cap_level();
        if freed {
            self.start_interval(now);
        }
        if refund > 0 {
            self.credit_refund(refund, first_interval);
        }
        self.record_headroom(now);
    }

    /// Credits a refund of tokens that have not counted as outstanding since the
    /// interval with the number `first_interval`.
    fn credit_refund(&mut self, tokens: u64, first_interval: u64) {
        let is_in_range = |interval: &&mut HeadroomInterval| interval.number >= first_interval;
        let min_headroom = self.history.iter_mut().filter(is_in_range).map(|s| s.headroom).min();
        let credit =
            (u128::from(tokens) * SCALE).min(min_headroom.unwrap_or(0)).min(self.headroom());
        self.level += credit;
        for interval in self.history.iter_mut().filter(is_in_range) {
            interval.headroom = interval.headroom.saturating_sub(credit);
        }
    }

    /// Estimates the time until `required` tokens are available.
    fn estimate_wait(&self, required: u64) -> time::Duration {
        let missing = (u128::from(required) * SCALE).saturating_sub(self.level);
        let nanos = missing.div_ceil(u128::from(self.limit.rate.max(1)));
        let accrual = time::Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        if self.whole_tokens() + self.outstanding >= required {
            return accrual.min(IDLE_GRANT_RETURN_TIME);
        }
        accrual
    }
}
