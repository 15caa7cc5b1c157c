//! How fast an engine reads prompts, learned from those that it read.
//!
//! The rate is that at which prompts pass one after the other: their tokens over the time from the
//! permission to the first event, which includes the way there and back and the first steps. It is
//! a ratio of sums, so a short prompt, whose time is mostly that of the steps, has little weight.

use std::time;

/// Tokens that an engine is assumed to have read before it has read any.
const INITIAL_TOKENS: f64 = 4_000.0;

/// Time that these have taken, in seconds.
const INITIAL_SECONDS: f64 = 0.25;

/// Least and largest rate, in tokens a second.
const RATE_RANGE: (f64, f64) = (500.0, 100_000.0);

/// Longest time that one prompt counts, in seconds.
const MAX_SAMPLE: f64 = 2.0;

/// Weight that the earlier prompts keep when a further one is recorded.
const KEPT_WEIGHT: f64 = 0.85;

/// Time constant of a throughput, in seconds.
const THROUGHPUT_TIME: f64 = 1.0;

/// The rate at which one engine reads prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRate {
    /// Weighted sums over the prompts that were read.
    tokens: f64,
    seconds: f64,
    /// Upper limit of the rate that is assumed, in tokens a second.
    limit: f64,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, seconds: INITIAL_SECONDS, limit: RATE_RANGE.1 }
    }
}

impl ReadRate {
    /// Records the time from the permission to the first event of a prompt.
    pub(super) fn record(&mut self, tokens: u32, took: time::Duration) {
        self.tokens = self.tokens * KEPT_WEIGHT + f64::from(tokens);
        self.seconds = self.seconds * KEPT_WEIGHT + took.as_secs_f64().min(MAX_SAMPLE);
    }

    /// Sets the upper limit of the rate that is assumed, in tokens a second.
    pub(super) fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Returns the upper limit of the rate that is assumed, in tokens a second.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the rate that was learned, in tokens a second.
    pub(super) fn learned(&self) -> f64 {
        (self.tokens / self.seconds.max(f64::MIN_POSITIVE)).clamp(RATE_RANGE.0, RATE_RANGE.1)
    }

    /// Returns the rate that is assumed, in tokens a second.
    pub(super) fn get(&self) -> f64 {
        self.learned().min(self.limit)
    }
}

/// Tokens a second, over about the last second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Throughput {
    rate: f64,
    at: time::Duration,
}

impl Throughput {
    /// Creates a throughput that is taken to be `rate` at `now`.
    pub(super) fn new(rate: f64, now: time::Duration) -> Self {
        Self { rate, at: now }
    }

    pub(super) fn record(&mut self, tokens: u32, now: time::Duration) {
        self.rate = self.rate(now) + f64::from(tokens) / THROUGHPUT_TIME;
        self.at = now;
    }

    pub(super) fn rate(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / THROUGHPUT_TIME).exp()
    }
}
