//! Estimate of one figure of a target from samples that are noisy and sometimes far off.
//!
//! All values are logarithms of a ratio to a nominal figure, so that twice as slow and twice as
//! fast weigh the same. The estimate is a long-term level plus what recent samples say of the
//! deviation from it. Recent samples lose their weight within seconds, so that a spell of
//! slowness is followed at once and does not outlast its evidence.

use std::time;

/// Time in which the weight of recent samples falls to 1 / e.
const FADE: time::Duration = time::Duration::from_secs(2);

/// Time constant with which the level follows the samples.
const LEVEL_TIME: time::Duration = time::Duration::from_secs(20);

/// Longest time between samples that counts for the level.
const MAX_LEVEL_GAP: time::Duration = time::Duration::from_secs(4);

/// Most samples that the recent ones count as.
const MAX_WEIGHT: f64 = 4.0;

/// Weight of the level.
const LEVEL_WEIGHT: f64 = 0.5;

/// Least part of the way to a new sample that the recent value goes.
const MIN_GAIN: f64 = 0.4;

/// Largest step towards one sample (a factor of 3), so that one outlier changes little.
const MAX_STEP: f64 = 1.1;

/// Part of a step towards a slower value that counts. Requests that other gateways sent a moment
/// ago make a target look slower than it is, and none makes it look faster.
const SLOWER_SHARE: f64 = 0.5;

/// Deviation from which on a sample is clearly slower than the recent ones.
const CLEARLY_SLOWER: f64 = 0.3;

/// Clearly slower samples in a row from which on steps count in full.
const SLOWER_IN_A_ROW: u32 = 2;

/// An estimate with the evidence of this gateway and of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Estimate {
    level: f64,
    samples: u32,
    /// Clearly slower samples in a row.
    slower: u32,
    own: Recent,
    shared: Recent,
}

/// What recent samples say.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Recent {
    value: f64,
    weight: f64,
    at: time::Duration,
}

impl Recent {
    fn weight(&self, now: time::Duration) -> f64 {
        self.weight * (-now.saturating_sub(self.at).as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}

impl Estimate {
    /// Returns an estimate without samples.
    pub(super) fn new(prior: f64) -> Self {
        Self { level: prior, ..Self::default() }
    }

    /// Returns the level, if there were samples.
    pub(super) fn level(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.level)
    }

    /// Returns when the latest sample of this gateway arrived, or zero without one.
    pub(super) fn own_at(&self) -> time::Duration {
        self.own.at
    }

    /// Records a sample of this gateway.
    pub(super) fn record(&mut self, sample: f64, now: time::Duration) {
        if !sample.is_finite() {
            return;
        }
        let weight = self.own.weight(now);
        let base = if weight > 0.1 { self.own.value } else { self.value(now) };
        let step = (sample - base).clamp(-MAX_STEP, MAX_STEP);
        self.slower = if step > CLEARLY_SLOWER { self.slower.saturating_add(1) } else { 0 };
        let lasting = step <= 0.0 || self.slower >= SLOWER_IN_A_ROW;
        let share = if lasting { 1.0 } else { SLOWER_SHARE };
        let gain = share * (1.0 / (weight + 1.0)).max(MIN_GAIN);
        self.follow_level(sample, now);
        let weight = (weight + 1.0).min(MAX_WEIGHT);
        self.own = Recent { value: base + gain * step, weight, at: now };
    }

    /// Records the value that other gateways agree on, from samples of about now.
    pub(super) fn record_shared(&mut self, value: f64, weight: f64, now: time::Duration) {
        if !value.is_finite() || !weight.is_finite() {
            return;
        }
        self.follow_level(value, now);
        self.shared = Recent { value, weight: weight.clamp(0.0, MAX_WEIGHT), at: now };
    }

    /// Returns the estimate.
    pub(super) fn value(&self, now: time::Duration) -> f64 {
        let (own, shared) = (self.own.weight(now), self.shared.weight(now));
        let deviation =
            own * (self.own.value - self.level) + shared * (self.shared.value - self.level);
        self.level + deviation / (own + shared + LEVEL_WEIGHT)
    }

    /// Returns what the recent samples of this gateway say, and their weight, without what other
    /// gateways reported.
    pub(super) fn own(&self, now: time::Duration) -> (f64, f64) {
        (self.own.value, self.own.weight(now))
    }

    fn follow_level(&mut self, sample: f64, now: time::Duration) {
        let last = self.own.at.max(self.shared.at);
        let gap = now.saturating_sub(last).min(MAX_LEVEL_GAP);
        let by_time = 1.0 - (-gap.as_secs_f64() / LEVEL_TIME.as_secs_f64()).exp();
        let by_count = if self.samples < 8 { 1.0 / (f64::from(self.samples) + 2.0) } else { 0.0 };
        let step = (sample - self.level).clamp(-MAX_STEP, MAX_STEP);
        let share = if step > 0.0 { SLOWER_SHARE } else { 1.0 };
        self.level += share * by_time.max(by_count) * step;
        self.samples = self.samples.saturating_add(1);
    }
}
