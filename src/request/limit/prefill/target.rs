//! The prompts at one engine, and the requests that wait for it.

use std::{collections, time};

use super::{
    LEAST_URGENT_INTERVAL, Order, Permit,
    reading::{ReadRate, Throughput},
};

/// Delay that each request that runs at an engine adds to the first event, in seconds.
const DELAY_PER_RUNNING: f64 = 0.000_25;

/// A prompt that was let through.
#[derive(Clone, Copy, Debug)]
struct Given {
    tokens: u32,
    since: time::Duration,
    /// When it no longer counts if its gateway does not tell.
    until: time::Duration,
    /// Whether it waits for the first event.
    awaits_output: bool,
    /// Whether the engine had no other prompt to read when it was given.
    alone: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Target {
    slots: u32,
    given: collections::HashMap<Permit, Given>,
    /// Name of the service that it belongs to.
    service: String,
    rate: ReadRate,
    /// When the prompts given so far have been read at the earliest, by the limit of the rate.
    earliest_end: time::Duration,
    /// Tokens a second that left the queue as they were admitted, here or elsewhere, by priority.
    /// There is an entry while requests of the priority wait.
    admitted: collections::BTreeMap<u32, Throughput>,
    queue: collections::BTreeSet<Order>,
    /// Tokens in the queue that this engine is expected to read, by priority.
    queued: collections::BTreeMap<u32, u64>,
    /// Prompts given since one of the least urgent was.
    given_since: u32,
    used_at: time::Duration,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            slots: 0,
            given: collections::HashMap::new(),
            service: String::new(),
            rate: ReadRate::default(),
            earliest_end: time::Duration::ZERO,
            admitted: collections::BTreeMap::new(),
            queue: collections::BTreeSet::new(),
            queued: collections::BTreeMap::new(),
            given_since: 0,
            used_at: time::Duration::ZERO,
        }
    }
}

impl Target {
    pub(super) fn observe(&mut self, service: &str, slots: u32, now: time::Duration) {
        if self.service != service {
            service.clone_into(&mut self.service);
        }
        self.slots = slots;
        self.used_at = now;
    }

    /// Returns true if the engine can take a prompt now: it reads none, or together they take
    /// no longer than `window`.
    pub(super) fn has_room(
        &self,
        tokens: u32,
        window: time::Duration,
        now: time::Duration,
    ) -> bool {
        let running = u32::try_from(self.given.len()).unwrap_or(u32::MAX);
        let unread = self.unread_tokens();
        let together = to_f64(unread + u64::from(tokens)) / self.rate.get();
        let rest = self.earliest_end.saturating_sub(now);
        let is_read = unread == 0 && rest.is_zero();
        let reading = together.max(rest.as_secs_f64() + f64::from(tokens) / self.rate.limit());
        running < self.slots && (is_read || reading <= window.as_secs_f64())
    }

    /// Returns the tokens of prompts whose first event has not come.
    fn unread_tokens(&self) -> u64 {
        let unread = self.given.values().filter(|given| given.awaits_output);
        unread.map(|given| u64::from(given.tokens.max(1))).sum()
    }

    pub(super) fn service(&self) -> &str {
        &self.service
    }

    /// Returns the learned rate in tokens a second.
    pub(super) fn learned_rate(&self) -> f64 {
        self.rate.learned()
    }

    /// Limits the rate that is assumed for the engine.
    pub(super) fn limit_rate(&mut self, limit: f64) {
        self.rate.set_limit(limit);
    }

    /// Returns true if a request waits here that is before one with this order.
    pub(super) fn is_before(&self, order: Order) -> bool {
        self.queue.first().is_some_and(|first| *first < order)
    }

    /// Returns the expected delay of the first event of a prompt, in seconds.
    pub(super) fn expected_delay(&self, tokens: u32) -> f64 {
        let running = u32::try_from(self.given.len()).unwrap_or(u32::MAX);
        let unread = self.unread_tokens() + u64::from(tokens);
        to_f64(unread) / self.rate.get() + f64::from(running) * DELAY_PER_RUNNING
    }

    /// Returns how long a prompt waits until it can be given, behind those of its priority and
    /// more urgent ones. Those that come later may be more urgent still, so it is no less than
    /// those of its priority take at the rate at which they are let through.
    pub(super) fn expected_wait(&self, priority: u32, now: time::Duration) -> time::Duration {
        let ahead: u64 = self.queued.range(..=priority).map(|(_, tokens)| *tokens).sum();
        let reading = to_f64(ahead + self.unread_tokens()) / self.rate.get();
        let equal = to_f64(self.queued.get(&priority).copied().unwrap_or(0));
        let least = self.rate.get() / f64::from(LEAST_URGENT_INTERVAL);
        let admitted =
            self.admitted.get(&priority).map_or(least, |admitted| admitted.rate(now).max(least));
        let seconds = reading.max(equal / admitted);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    pub(super) fn give(
        &mut self,
        permit: Permit,
        tokens: u32,
        now: time::Duration,
        until: time::Duration,
    ) {
        let alone = self.unread_tokens() == 0;
        let given = Given { tokens, since: now, until, awaits_output: true, alone };
        let least = f64::from(tokens) / self.rate.limit();
        let least = time::Duration::try_from_secs_f64(least).unwrap_or_default();
        self.earliest_end = self.earliest_end.max(now) + least;
        self.given.insert(permit, given);
        self.given_since += 1;
        self.used_at = now;
    }

    /// Records that a request that waited here was let through, here or elsewhere.
    pub(super) fn record_admitted(&mut self, priority: u32, tokens: u32, now: time::Duration) {
        if let Some(admitted) = self.admitted.get_mut(&priority) {
            admitted.record(tokens, now);
        }
    }

    /// Records that the first event of a prompt has come.
    pub(super) fn record_output(&mut self, permit: Permit, now: time::Duration) {
        let Some(given) = self.given.get_mut(&permit).filter(|g| g.awaits_output) else {
            return;
        };
        given.awaits_output = false;
        if given.alone {
            self.rate.record(given.tokens, now.saturating_sub(given.since));
        }
    }

    /// Removes a prompt whose request has ended.
    pub(super) fn remove(&mut self, permit: Permit, now: time::Duration) {
        self.given.remove(&permit);
        self.used_at = now;
    }

    /// Removes the prompts whose time is over, and returns their places.
    pub(super) fn expire(&mut self, now: time::Duration) -> Vec<Permit> {
        let expired = self.given.iter().filter(|(_, given)| now >= given.until);
        let expired: Vec<_> = expired.map(|(permit, _)| *permit).collect();
        for permit in &expired {
            self.remove(*permit, now);
        }
        expired
    }

    pub(super) fn is_unused(&self, now: time::Duration, retention: time::Duration) -> bool {
        self.given.is_empty() && self.queue.is_empty() && now >= self.used_at + retention
    }

    /// Returns the request that is next: the first, or from time to time the first of the least
    /// urgent.
    pub(super) fn next(&self) -> Option<Order> {
        let (first, last) = (self.queue.first()?, self.queue.last()?);
        if !self.is_least_urgent_due() || first.priority == last.priority {
            return Some(*first);
        }
        let lowest = Order { priority: last.priority, late: false, start: 0, call: 0 };
        self.queue.range(lowest..).next().copied()
    }

    /// Returns true if the next prompt is to be one of the least urgent.
    pub(super) fn is_least_urgent_due(&self) -> bool {
        self.given_since >= LEAST_URGENT_INTERVAL - 1
    }

    /// Records that the prompt given last was one of the least urgent, or that none waited.
    pub(super) fn restart_interval(&mut self) {
        self.given_since = 0;
    }

    pub(super) fn enqueue(&mut self, order: Order, tokens: u32, now: time::Duration) {
        if self.queue.insert(order) {
            *self.queued.entry(order.priority).or_default() += u64::from(tokens);
            // Until it is known better, all that the engine reads is of this priority.
            let rate = self.rate.get();
            self.admitted.entry(order.priority).or_insert_with(|| Throughput::new(rate, now));
        }
    }

    pub(super) fn dequeue(&mut self, order: Order, tokens: u32) {
        if !self.queue.remove(&order) {
            return;
        }
        if let Some(queued) = self.queued.get_mut(&order.priority) {
            *queued = queued.saturating_sub(u64::from(tokens));
            if *queued == 0 {
                self.queued.remove(&order.priority);
                self.admitted.remove(&order.priority);
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
