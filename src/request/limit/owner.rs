//! The owner's side: one token bucket per workspace.
//!
//! Levels are kept in token-nanoseconds, so that accrual is exact in integers.
//!
//! # Refunds
//!
//! A refund may not simply be added to the level. While a request held the
//! tokens the bucket may have filled to the brim, and tokens that it would have
//! turned away then must not come back later. The owner therefore remembers the
//! *headroom* (burst less level less outstanding) over the last minutes. A
//! refund is credited up to the least headroom since the tokens stopped counting
//! as outstanding, and the remembered headroom shrinks by what was credited.
//! Before that they took their room in the bucket as outstanding ones, so
//! nothing was turned away on their account. This is what the bucket would hold
//! if the request had been charged for its use alone.

use std::{collections, time};

use super::{Ask, GRANT_TTL, GrantId, Reply, Usage, share};

/// Token-nanoseconds per token.
const SCALE: u128 = 1_000_000_000;

/// How long a grant is remembered for refunds after it was issued.
const REFUND_HORIZON: time::Duration = time::Duration::from_mins(2);

/// Resolution of the remembered headroom.
const SLOT: time::Duration = time::Duration::from_millis(250);

/// Most slots remembered.
const SLOTS: usize = 2_000;

/// How soon an entry that was denied should ask again when other entries hold
/// enough, since idle entries return their grants within this time.
const RETURN_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Rate and burst in force for a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: u64,
    issued: time::Duration,
    spent: u64,
    refunded: u64,
    /// Number of the slot from which on tokens of it no longer counted as
    /// outstanding.
    reported: Option<u64>,
    /// Whether the grant counts as outstanding.
    open: bool,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    start: time::Duration,
    headroom: u128,
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    /// Token-nanoseconds.
    level: u128,
    /// Tokens granted, not reported as spent, in grants that have not lapsed.
    outstanding: u64,
    updated: time::Duration,
    /// Grants that refunds may still name, in the order of their issue.
    grants: collections::BTreeMap<GrantId, Grant>,
    /// Grants that have not lapsed, in the order of their issue.
    unlapsed: collections::VecDeque<GrantId>,
    history: collections::VecDeque<Slot>,
    /// Number of the next slot.
    next: u64,
}

/// The token buckets of all workspaces that one process owns.
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
/// let ask = limit::Ask { workspace: "shop".into(), need: 60, ..Default::default() };
/// let now = time::Duration::from_secs(10);
/// assert!(matches!(owner.ask(&ask, limit, now), limit::Reply::Granted { .. }));
/// assert!(matches!(owner.ask(&ask, limit, now), limit::Reply::Denied { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Owner {
    term: u64,
    next: u64,
    /// Before this moment grants of an earlier owner may be outstanding.
    ready: time::Duration,
    /// Part of the entries that can't be heard and may spend shares of their own.
    absent: f64,
    buckets: collections::HashMap<String, Bucket>,
}

impl Owner {
    /// Takes over at `now`, after the earlier owner's lease has ended.
    ///
    /// Nothing is granted until every grant of the earlier owner has lapsed,
    /// and every bucket starts empty then.
    #[must_use]
    pub fn new(term: u64, now: time::Duration) -> Self {
        Self {
            term,
            next: 0,
            ready: now + GRANT_TTL,
            absent: 0.0,
            buckets: collections::HashMap::new(),
        }
    }

    /// Starts a full bucket for a workspace that did not exist before.
    pub fn create(&mut self, workspace: &str, limit: Limit, now: time::Duration) {
        let mut bucket = Bucket::new(limit, now);
        bucket.level = u128::from(limit.burst) * SCALE;
        self.buckets.entry(workspace.to_owned()).or_insert(bucket);
    }

    /// Sets which part of the entries can't be heard. What they may spend from
    /// shares of their own is kept back from the others.
    pub fn set_absent(&mut self, part: f64) {
        self.absent = part;
    }

    /// Answers an ask under the limit in force.
    pub fn ask(&mut self, ask: &Ask, limit: Limit, now: time::Duration) -> Reply {
        let ready = self.ready;
        let left = share::beside(limit, self.absent);
        // What fits into the burst can be granted, however few entries are heard.
        let least = if ask.need <= limit.burst { ask.need } else { 0 };
        let left = Limit { burst: left.burst.max(least), ..left };
        let bucket = self
            .buckets
            .entry(ask.workspace.clone())
            .or_insert_with(|| Bucket::new(left, ready.max(time::Duration::ZERO)));
        bucket.advance(left, now);
        for usage in &ask.usage {
            bucket.settle(*usage, now);
        }
        if ask.need == 0 {
            return Reply::Noted;
        }
        if ask.need > limit.burst {
            return Reply::Never;
        }
        if now < ready {
            return Reply::TakingOver { wait: ready.saturating_sub(now) };
        }
        let level = bucket.tokens();
        if level < ask.need {
            return Reply::Denied { wait: bucket.wait(ask.need) };
        }
        // An entry gets a reserve beyond its need only from a well filled
        // bucket, and never more than a quarter of it, so that the others'
        // tokens do not lie idle there.
        let tokens = ask.need.max(ask.want.min(level / 4));
        self.next += 1;
        let id = GrantId { term: self.term, number: self.next };
        bucket.issue(id, tokens, now);
        Reply::Granted { id, tokens }
    }

    /// Returns how many grants are remembered.
    #[must_use]
    pub fn grants(&self) -> usize {
        self.buckets.values().map(|b| b.grants.len()).sum()
    }
}

impl Bucket {
    fn new(limit: Limit, start: time::Duration) -> Self {
        Self {
            limit,
            level: 0,
            outstanding: 0,
            updated: start,
            grants: collections::BTreeMap::new(),
            unlapsed: collections::VecDeque::new(),
            history: collections::VecDeque::new(),
            next: 0,
        }
    }

    /// Returns the whole tokens in the bucket.
    fn tokens(&self) -> u64 {
        u64::try_from(self.level / SCALE).unwrap_or(u64::MAX)
    }

    /// Accrues, lapses grants and notes the headroom, up to `now`.
    fn advance(&mut self, limit: Limit, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_nanos();
        self.updated = self.updated.max(now);
        self.level += u128::from(self.limit.rate) * elapsed;
        self.limit = limit;
        self.cap();
        self.note(now);
        self.lapse(now);
        while let Some(oldest) = self.grants.first_entry()
            && now >= oldest.get().issued + REFUND_HORIZON
        {
            oldest.remove();
        }
    }

    /// Counts what is left of lapsed grants as spent.
    fn lapse(&mut self, now: time::Duration) {
        let mut freed = false;
        while let Some(id) = self.unlapsed.front()
            && let Some(grant) = self.grants.get_mut(id)
            && now >= grant.issued + GRANT_TTL
        {
            self.unlapsed.pop_front();
            if grant.open {
                grant.open = false;
                grant.reported.get_or_insert(self.next);
                self.outstanding -= grant.tokens - grant.spent;
                freed = true;
            }
        }
        if freed {
            self.mark(now);
        }
    }

    fn headroom(&self) -> u128 {
        let burst = u128::from(self.limit.burst) * SCALE;
        burst.saturating_sub(self.level + u128::from(self.outstanding) * SCALE)
    }

    fn cap(&mut self) {
        let room = self.limit.burst.saturating_sub(self.outstanding);
        self.level = self.level.min(u128::from(room) * SCALE);
    }

    /// Remembers the least headroom of the current slot.
    fn note(&mut self, now: time::Duration) {
        let headroom = self.headroom();
        match self.history.back_mut() {
            Some(slot) if now < slot.start + SLOT => slot.headroom = slot.headroom.min(headroom),
            _ => self.mark(now),
        }
    }

    /// Starts a slot, so that what comes is not confused with what was. Slots
    /// beyond the limit are merged from the oldest on, to the least of each.
    fn mark(&mut self, now: time::Duration) {
        self.history.push_back(Slot { number: self.next, start: now, headroom: self.headroom() });
        self.next += 1;
        if self.history.len() > SLOTS
            && let Some(oldest) = self.history.pop_front()
            && let Some(next) = self.history.front_mut()
        {
            next.headroom = next.headroom.min(oldest.headroom);
            next.start = oldest.start;
        }
        while self.history.front().is_some_and(|s| now > s.start + SLOT + REFUND_HORIZON) {
            self.history.pop_front();
        }
    }

    fn issue(&mut self, id: GrantId, tokens: u64, now: time::Duration) {
        self.level -= u128::from(tokens) * SCALE;
        self.outstanding += tokens;
        let grant =
            Grant { tokens, issued: now, spent: 0, refunded: 0, reported: None, open: true };
        self.grants.insert(id, grant);
        self.unlapsed.push_back(id);
    }

    /// Takes in a report. Only growth of its totals has an effect.
    fn settle(&mut self, usage: Usage, now: time::Duration) {
        let Some(grant) = self.grants.get_mut(&usage.grant) else {
            return;
        };
        let spent = usage.spent.clamp(grant.spent, grant.tokens);
        let refunded = usage.refunded.clamp(grant.refunded, spent);
        let refund = refunded - grant.refunded;
        let mut returned = 0;
        if spent > grant.spent {
            grant.reported.get_or_insert(self.next);
        }
        let since = grant.reported.unwrap_or(self.next);
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
        self.cap();
        if freed {
            self.mark(now);
        }
        if refund > 0 {
            self.credit(refund, since);
        }
        self.note(now);
    }

    /// Credits a refund of tokens that stopped counting as outstanding in the
    /// slot with the number `since`.
    fn credit(&mut self, tokens: u64, since: u64) {
        let since = |slot: &&mut Slot| slot.number >= since;
        let least = self.history.iter_mut().filter(since).map(|s| s.headroom).min();
        let credit = (u128::from(tokens) * SCALE).min(least.unwrap_or(0)).min(self.headroom());
        self.level += credit;
        for slot in self.history.iter_mut().filter(since) {
            slot.headroom = slot.headroom.saturating_sub(credit);
        }
    }

    /// Estimates when `need` tokens are there.
    fn wait(&self, need: u64) -> time::Duration {
        let missing = (u128::from(need) * SCALE).saturating_sub(self.level);
        let nanos = missing.div_ceil(u128::from(self.limit.rate.max(1)));
        let accrual = time::Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        if self.tokens() + self.outstanding >= need {
            return accrual.min(RETURN_INTERVAL);
        }
        accrual
    }
}
