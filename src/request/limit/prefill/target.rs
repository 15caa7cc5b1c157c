//! The prompts at one engine, and the requests that wait for it.

use std::{collections, time};

use super::{LEAST_URGENT_INTERVAL, Order, Permit};

/// Rate at which an engine is taken to read prompts before it has read any, in tokens a second.
const INITIAL_RATE: f64 = 20_000.0;

/// Least and largest rate that is learned, in tokens a second.
const RATE_RANGE: (f64, f64) = (500.0, 200_000.0);

/// Weight of one prompt in the learned rate.
const RATE_WEIGHT: f64 = 0.2;

/// Shortest prompt that tells the rate. The time to the first event of a shorter one is mostly
/// that of the steps after it.
const MIN_SAMPLE_TOKENS: u32 = 256;

/// Delay that each request that runs at an engine adds to the first event, in seconds.
const DELAY_PER_RUNNING: f64 = 0.000_25;

/// A prompt that was let through.
#[derive(Clone, Copy, Debug)]
struct Given {
    tokens: u32,
    given_at: time::Duration,
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
    /// Prompts that wait for their first event, and their tokens.
    unread: u32,
    unread_tokens: u64,
    /// Tokens of prompts read in a second.
    rate: f64,
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
            unread: 0,
            unread_tokens: 0,
            rate: INITIAL_RATE,
            queue: collections::BTreeSet::new(),
            queued: collections::BTreeMap::new(),
            given_since: 0,
            used_at: time::Duration::ZERO,
        }
    }
}

impl Target {
    pub(super) fn observe(&mut self, slots: u32, now: time::Duration) {
        self.slots = slots;
        self.used_at = now;
    }

    /// Returns true if the engine can take a prompt now: it reads none, or together they take
    /// no longer than `window`.
    pub(super) fn has_room(&self, tokens: u32, window: time::Duration) -> bool {
        let running = u32::try_from(self.given.len()).unwrap_or(u32::MAX);
        let total = to_f64(self.unread_tokens) + f64::from(tokens);
        running < self.slots && (self.unread == 0 || total / self.rate <= window.as_secs_f64())
    }

    /// Returns true if a request waits here that is before one with this order.
    pub(super) fn is_before(&self, order: Order) -> bool {
        self.queue.first().is_some_and(|first| *first < order)
    }

    /// Returns the expected delay of the first event of a prompt, in seconds.
    pub(super) fn expected_delay(&self, tokens: u32) -> f64 {
        let running = u32::try_from(self.given.len()).unwrap_or(u32::MAX);
        let unread = to_f64(self.unread_tokens) + f64::from(tokens);
        unread / self.rate + f64::from(running) * DELAY_PER_RUNNING
    }

    /// Returns how long a prompt waits until it can be given, behind those of its priority and
    /// more urgent ones.
    pub(super) fn expected_wait(&self, priority: u32, tokens: u32) -> time::Duration {
        let ahead: u64 = self.queued.range(..=priority).map(|(_, tokens)| *tokens).sum();
        let seconds = (to_f64(ahead + self.unread_tokens) + f64::from(tokens)) / self.rate;
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    pub(super) fn give(
        &mut self,
        permit: Permit,
        tokens: u32,
        now: time::Duration,
        until: time::Duration,
    ) {
        let alone = self.unread == 0;
        let given = Given { tokens, given_at: now, until, awaits_output: true, alone };
        self.given.insert(permit, given);
        self.unread += 1;
        self.unread_tokens += u64::from(tokens);
        self.given_since += 1;
        self.used_at = now;
    }

    /// Records that the first event of a prompt has come.
    pub(super) fn record_output(&mut self, permit: Permit, now: time::Duration) {
        let Some(given) = self.given.get_mut(&permit).filter(|g| g.awaits_output) else {
            return;
        };
        given.awaits_output = false;
        let given = *given;
        self.remove_unread(given);
        let took = now.saturating_sub(given.given_at).as_secs_f64();
        if given.alone && given.tokens >= MIN_SAMPLE_TOKENS && took > 0.0 {
            let sample = (f64::from(given.tokens) / took).clamp(RATE_RANGE.0, RATE_RANGE.1);
            self.rate += (sample - self.rate) * RATE_WEIGHT;
        }
    }

    /// Removes a prompt whose request has ended.
    pub(super) fn remove(&mut self, permit: Permit, now: time::Duration) {
        if let Some(given) = self.given.remove(&permit)
            && given.awaits_output
        {
            self.remove_unread(given);
        }
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
        if self.given_since + 1 < LEAST_URGENT_INTERVAL || first.priority == last.priority {
            return Some(*first);
        }
        let lowest = Order { priority: last.priority, late: false, start: 0, call: 0 };
        self.queue.range(lowest..).next().copied()
    }

    pub(super) fn enqueue(&mut self, order: Order, tokens: u32) {
        if self.queue.insert(order) {
            *self.queued.entry(order.priority).or_default() += u64::from(tokens);
        }
    }

    pub(super) fn dequeue(&mut self, order: Order, tokens: u32) {
        if !self.queue.remove(&order) {
            return;
        }
        if let Some(queued) = self.queued.get_mut(&order.priority) {
            *queued = queued.saturating_sub(u64::from(tokens));
        }
        if self.given_since + 1 >= LEAST_URGENT_INTERVAL {
            self.given_since = 0;
        }
    }

    fn remove_unread(&mut self, given: Given) {
        self.unread = self.unread.saturating_sub(1);
        self.unread_tokens = self.unread_tokens.saturating_sub(u64::from(given.tokens));
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
