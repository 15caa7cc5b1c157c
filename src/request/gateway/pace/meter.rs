//! What the response to one request tells of the speed of its target.

use std::time;

use super::{Pace, Pool, Subject};

/// Delay of a first event besides prefill: the rest of a step, and the network.
const OVERHEAD_MS: f64 = 12.0;

/// Least prompt tokens before a first event that tell the prefill rate: with fewer, other delays
/// prevail.
const MIN_TOKENS: u32 = 256;

/// Time over which pauses between events are averaged.
const PAUSE_WINDOW: time::Duration = time::Duration::from_millis(200);

/// What a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Pool of the target.
    pub pool: Pool,
    /// The target.
    pub subject: Subject,
    /// Prompt tokens of the request that are not cached.
    pub own_tokens: u32,
    /// Prompt tokens of all gateways queued before it.
    pub queued_tokens: u32,
    /// Requests of all gateways at the target before it.
    pub running: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
}

impl Sent {
    /// Returns the delay of the first event at nominal speed, in ms.
    #[must_use]
    pub fn nominal_ms(&self) -> f64 {
        let tokens = f64::from(self.own_tokens) + f64::from(self.queued_tokens);
        Pace::default().first_event(tokens, self.running, self.slots) + OVERHEAD_MS
    }

    pub(super) fn tells_prefill(&self) -> bool {
        !self.pool.is_plain() && self.own_tokens.saturating_add(self.queued_tokens) >= MIN_TOKENS
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response.
    Served,
    /// In any other way, which tells nothing about the speed.
    Failed,
}

/// What a response tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// Delay of the first event, in ms.
    First(f64),
    /// Mean pause between events, in ms.
    Pause(f64),
}

/// Watches the response to one request.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    pub(super) sent: Sent,
    pub(super) sent_at: time::Duration,
    began: Option<time::Duration>,
    window_began: time::Duration,
    window_events: u32,
}

impl Meter {
    /// Returns the watch of a request that is sent now.
    #[must_use]
    pub fn new(sent: Sent, now: time::Duration) -> Self {
        Self { sent, sent_at: now, began: None, window_began: now, window_events: 0 }
    }

    /// Counts events that have arrived. Returns a sample from time to time.
    pub fn count(&mut self, events: u32, now: time::Duration) -> Option<Sample> {
        if events == 0 || self.sent.pool.is_plain() {
            return None;
        }
        if self.began.is_none() {
            self.began = Some(now);
            self.window_began = now;
            return Some(Sample::First(millis(now.saturating_sub(self.sent_at))));
        }
        self.window_events += events;
        let elapsed = now.saturating_sub(self.window_began);
        if elapsed < PAUSE_WINDOW {
            return None;
        }
        let pause = millis(elapsed) / f64::from(self.window_events);
        self.window_began = now;
        self.window_events = 0;
        Some(Sample::Pause(pause))
    }
}

/// Returns a time in ms.
pub(super) fn millis(time: time::Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
