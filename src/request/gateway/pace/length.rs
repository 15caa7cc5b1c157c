//! How many events the responses of each route really have.
//!
//! Callers state an upper bound of the output, which may be missing or absurd. The stated bound
//! is scaled by what such routes produced; without a usable one the mean is expected.

use std::collections;

/// Stated bounds above this are not used.
const MAX_STATED_TOKENS: u32 = 1 << 20;

/// Responses of a route before its length counts as known.
const MIN_SAMPLES: u32 = 8;

/// Part of the way to a new sample that a mean goes.
const GAIN: f64 = 0.05;

/// Largest sample, in multiples of the mean.
const MAX_RATIO: f64 = 4.0;

/// Most routes that are kept.
const MAX_ROUTES: usize = 1_024;

/// Lengths of responses, by route.
#[derive(Clone, Debug, Default)]
pub(super) struct Lengths {
    routes: collections::HashMap<u64, Length>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Length {
    /// Mean number of events.
    events: Mean,
    /// Mean number of events for each token of a usable bound.
    per_token: Mean,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, sample: f64) {
        let bounded =
            if self.samples < MIN_SAMPLES { sample } else { sample.min(MAX_RATIO * self.value) };
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN);
        self.value += gain * (bounded - self.value);
    }

    fn get(self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}

fn usable(stated: u32) -> Option<f64> {
    (1..=MAX_STATED_TOKENS).contains(&stated).then(|| f64::from(stated))
}

impl Lengths {
    /// Records a complete response of a route, whose request stated `stated` tokens.
    pub(super) fn record(&mut self, route: &str, stated: u32, events: u32) {
        let route = xxhash_rust::xxh3::xxh3_64(route.as_bytes());
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let length = self.routes.entry(route).or_default();
        let events = f64::from(events);
        length.events.record(events);
        if let Some(tokens) = usable(stated) {
            length.per_token.record(events / tokens);
        }
    }

    /// Returns the number of events to expect, if it is known.
    pub(super) fn expected(&self, route: &str, stated: u32) -> Option<f64> {
        let length = self.routes.get(&xxhash_rust::xxh3::xxh3_64(route.as_bytes()))?;
        let scaled = usable(stated).and_then(|tokens| Some(tokens * length.per_token.get()?));
        let mean = length.events.get()?;
        Some(scaled.map_or(mean, |scaled| scaled.min(MAX_RATIO * mean)))
    }
}
