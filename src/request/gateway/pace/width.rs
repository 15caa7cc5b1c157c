//! How many requests a target of a plain service runs at once before each takes longer.
//!
//! Follows the gradient of the response time: while responses at the present width take as long
//! as with few requests, the width grows up to the announced slots; when they take longer, it
//! shrinks.

/// Ratio of the response times, as a logarithm, from which on the width shrinks (1.6).
const SHRINK_AT: f64 = 0.47;

/// Ratio up to which it grows (1.15).
const GROW_BELOW: f64 = 0.14;

/// Samples between two changes.
const MIN_SAMPLES: u32 = 6;

/// Part of the way to a new sample that the mean goes.
const GAIN: f64 = 0.25;

/// Share of the width from which on a response tells something about it.
const NEAR: f64 = 0.75;

/// The learned concurrency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Width {
    /// Requests at once; at least 1.
    pub(super) limit: f64,
    mean: f64,
    samples: u32,
}

impl Width {
    pub(super) fn new(slots: u32) -> Self {
        Self { limit: f64::from(slots.max(1)), mean: 0.0, samples: 0 }
    }

    /// Records a response that took `ratio` times the service time, as a logarithm, beside
    /// `running` others at a target with `slots`.
    pub(super) fn record(&mut self, ratio: f64, running: u32, slots: u32) {
        let concurrent = f64::from(running) + 1.0;
        // Beyond the slots, responses also wait for one.
        let most = (self.limit + 1.0).min(f64::from(slots.max(1)));
        if concurrent < NEAR * self.limit || concurrent > most {
            return;
        }
        self.samples += 1;
        self.mean += GAIN * (ratio.clamp(-1.0, 1.0) - self.mean);
        if self.samples < MIN_SAMPLES {
            return;
        }
        if self.mean > SHRINK_AT {
            self.change(self.limit * 0.85, slots);
        } else if self.mean < GROW_BELOW && concurrent >= self.limit - 0.5 {
            self.change(self.limit * 1.1, slots);
        }
    }

    fn change(&mut self, limit: f64, slots: u32) {
        let limit = limit.clamp(1.0, f64::from(slots.max(1)));
        *self = Self { limit, mean: 0.0, samples: 0 };
    }
}
