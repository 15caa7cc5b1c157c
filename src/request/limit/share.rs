//! A gateway's share of a limit, for the time in which no owner replies.
//!
//! When the leader changes, or no control replica can be reached, a gateway gets
//! no grants for some seconds. It then spends from a bucket of its own. Half of
//! the rate is split evenly over the gateways, and half in proportion to the
//! tokens that were requested at each of them lately. Together the buckets fill
//! no faster than the rate and hold a fraction of the burst, so all gateways
//! stay within the limit plus that fraction, whichever messages are lost.
//!
//! With many gateways a bucket is smaller than a request. A request then spends
//! all that the bucket holds and is admitted with probability `spent / size`. On
//! average all gateways together admit as many tokens as their buckets hold,
//! instead of one request each.
//!
//! When only some of the gateways are cut off, the owner withholds what those
//! may spend from the bucket of the others (see [`reduced_limit`]).

use std::time;

use xxhash_rust::xxh3;

use super::owner;

/// Fraction of the burst that the shares of all gateways hold together.
const BURST_FRACTION: f64 = 0.3;

/// Fraction of the rate at which the shares of all gateways fill together. It is
/// less than 1 because some gateways may be cut off while the owner issues grants
/// to others.
const RATE_FRACTION: f64 = 0.7;

/// Fraction of the shares that is split evenly.
const EVEN_FRACTION: f64 = 0.5;

/// Bits of a 64-bit hash that exceed the precision of an `f64`.
const DROPPED_BITS: u32 = 12;

/// What a gateway's share of a limit is computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareInputs {
    /// Rate of the workspace, in tokens per second.
    pub rate: f64,
    /// Burst of the workspace, in tokens.
    pub burst: f64,
    /// Number of gateways, this one included.
    pub gateways: u32,
    /// Number of those gateways whose rates are in `total_rate`.
    pub reporting: u32,
    /// Tokens per second requested at this gateway lately.
    pub own_rate: f64,
    /// Tokens per second requested lately at all reporting gateways.
    pub total_rate: f64,
    /// Seed of the random admissions; differs between gateways.
    pub seed: u64,
}

/// Returns the limit for the gateways that reach the owner, while the fraction
/// `non_reporting` of all gateways may be spending their shares.
#[must_use]
pub fn reduced_limit(limit: owner::Limit, non_reporting: f64) -> owner::Limit {
    let reduced = |tokens: u64, fraction: f64| {
        let left = time::Duration::from_secs(tokens)
            .mul_f64(1.0 - fraction * non_reporting.clamp(0.0, 1.0));
        left.as_secs()
    };
    owner::Limit {
        rate: reduced(limit.rate, RATE_FRACTION),
        burst: reduced(limit.burst, BURST_FRACTION),
    }
}

/// A token bucket that fills at this gateway's share of the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Tokens per second.
    rate: f64,
    burst: f64,
    level: f64,
    updated: time::Duration,
    seed: u64,
    /// Number of random draws so far.
    draws: u64,
}

impl Share {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(inputs: &ShareInputs, now: time::Duration) -> Self {
        let mut share = Self { updated: now, seed: inputs.seed, ..Self::default() };
        share.update(inputs, now);
        share.level = share.burst;
        share
    }

    /// Recomputes rate and burst. The level is kept as far as the new burst
    /// allows, and the seed is not changed.
    pub fn update(&mut self, inputs: &ShareInputs, now: time::Duration) {
        self.refill(now);
        let gateways = f64::from(inputs.gateways.max(1));
        let even = EVEN_FRACTION / gateways;
        let reporting = (f64::from(inputs.reporting) / gateways).clamp(0.0, 1.0);
        let proportional = if inputs.total_rate > 0.0 {
            (1.0 - EVEN_FRACTION)
                * reporting
                * (inputs.own_rate / inputs.total_rate).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let fraction = even + proportional;
        self.rate = inputs.rate * fraction * RATE_FRACTION;
        self.burst = inputs.burst * fraction * BURST_FRACTION;
        self.level = self.level.min(self.burst);
    }

    /// Spends tokens and returns true, if there are enough. A request that is
    /// larger than the whole bucket spends all that is there and is admitted with
    /// probability `spent / size`.
    pub fn try_spend(&mut self, tokens: u64, now: time::Duration) -> bool {
        self.refill(now);
        let tokens = to_f64(tokens);
        if tokens <= self.burst {
            let enough = self.level >= tokens;
            if enough {
                self.level -= tokens;
            }
            return enough;
        }
        let spent = std::mem::take(&mut self.level);
        self.draw() * tokens < spent
    }

    /// Returns the next pseudo-random number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let number = xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        to_f64(number >> DROPPED_BITS) / to_f64(u64::MAX >> DROPPED_BITS)
    }

    /// Returns true if the bucket was full at its latest refill.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.level >= self.burst
    }

    /// Adds the tokens that accrued until `now`.
    pub fn refill(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and draws are below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
