//! A gateway's own part of a rate, for the time without an owner.
//!
//! Leaders change and control may be away for seconds. A gateway that can't ask
//! then spends from a bucket of its own: half of the rate is split evenly over
//! the gateways, half by what each of them spent lately. The parts add up to the
//! rate and the buckets to a part of the burst, so all gateways together stay
//! within the limit plus that part, whatever else is lost.
//!
//! With many gateways a part is smaller than a request. What is in the bucket then
//! buys a chance in a draw, so that all gateways together admit as many tokens as
//! their buckets hold, and not one request each.
//!
//! Where only some of the gateways are cut off, the owner keeps what they may
//! spend out of the bucket that the others are served from (see [`beside`]).

use std::time;

use xxhash_rust::xxh3;

use super::owner;

/// Part of the burst that the buckets of all gateways hold together.
const BURST_PART: f64 = 0.3;

/// Part of the rate that the shares of all gateways fill at together. Less than
/// all of it, since some gateways may be cut off while the owner grants to others.
const RATE_PART: f64 = 0.7;

/// Part of the rate that is split evenly.
const EVEN_PART: f64 = 0.5;

/// Bits of a hash beyond those that a float holds exactly.
const DROPPED_BITS: u32 = 12;

/// What a part is worked out from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    /// Tokens per second of the workspace.
    pub rate: f64,
    /// Tokens at once of the workspace.
    pub burst: f64,
    /// Gateways, this one included.
    pub gateways: u32,
    /// Those of them whose spending is in `total`.
    pub heard: u32,
    /// Tokens per second that this gateway spent lately.
    pub own: f64,
    /// Tokens per second that all gateways heard spent lately.
    pub total: f64,
    /// Seeds the draws; differs between gateways.
    pub seed: u64,
}

/// Returns what is left of a limit for the gateways that reach the owner, where
/// the part `absent` of them may be spending shares of their own.
#[must_use]
pub fn beside(limit: owner::Limit, absent: f64) -> owner::Limit {
    let left = |tokens: u64, part: f64| {
        let whole = time::Duration::from_secs(tokens).mul_f64(1.0 - part * absent.clamp(0.0, 1.0));
        whole.as_secs()
    };
    owner::Limit { rate: left(limit.rate, RATE_PART), burst: left(limit.burst, BURST_PART) }
}

/// A bucket that fills at this gateway's part of the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    rate: f64,
    burst: f64,
    level: f64,
    updated: time::Duration,
    seed: u64,
    /// Draws so far.
    draws: u64,
}

impl Share {
    /// Starts with a full bucket.
    #[must_use]
    pub fn new(basis: &Basis, now: time::Duration) -> Self {
        let mut share = Self { updated: now, seed: basis.seed, ..Self::default() };
        share.set(basis, now);
        share.level = share.burst;
        share
    }

    /// Changes the part.
    pub fn set(&mut self, basis: &Basis, now: time::Duration) {
        self.advance(now);
        let gateways = f64::from(basis.gateways.max(1));
        let even = EVEN_PART / gateways;
        let heard = (f64::from(basis.heard) / gateways).clamp(0.0, 1.0);
        let spent = if basis.total > 0.0 {
            (1.0 - EVEN_PART) * heard * (basis.own / basis.total).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let part = even + spent;
        self.rate = basis.rate * part * RATE_PART;
        self.burst = basis.burst * part * BURST_PART;
        self.level = self.level.min(self.burst);
    }

    /// Spends tokens if they are there. For a request that is larger than the whole
    /// bucket, all that is there is spent on a draw.
    pub fn take(&mut self, tokens: u64, now: time::Duration) -> bool {
        self.advance(now);
        let tokens = to_f64(tokens);
        if tokens <= self.burst {
            let enough = self.level >= tokens;
            if enough {
                self.level -= tokens;
            }
            return enough;
        }
        let stake = std::mem::take(&mut self.level);
        self.draw() * tokens < stake
    }

    /// Returns the next number of the draws, from zero up to one.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let number = xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        to_f64(number >> DROPPED_BITS) / to_f64(u64::MAX >> DROPPED_BITS)
    }

    /// Returns true if nothing is missing from the bucket.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.level >= self.burst
    }

    /// Lets the bucket fill.
    pub fn advance(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and draws are below 2^52")]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
