//! How many requests cold targets get, from all gateways together.
//!
//! A target that has just started crashes at rates that it bears once it is warm. A gateway
//! takes a [turn](super::turn) before each request to a cold target, as for one that states a
//! limit. The bound on what a cold target gets in a second is stricter than that on stated
//! limits, and leaves little room for two leaders or a cut-off gateway. So turns are reserved
//! for a short time only, and gateways that reach no leader use a small part of the rate.
//!
//! The rate of the leader is such that the sum over all sources stays within the bound (see
//! `docs/design/cold-targets.md`). The alternative, no turns without a leader, would leave a
//! service whose targets are all cold without any request for the time of an election.

use std::time;

use super::turn;

/// Longest time before its turn for which one is reserved at a cold target.
pub const MAX_RESERVATION: time::Duration = time::Duration::from_millis(250);

/// How much further apart the turns of all gateways together are than those of the leader while
/// none answers. Their moments are independent, so several of them may fall close together.
pub const LOCAL_SPACING: u32 = 8;

/// Part of a second's turns that is added by what a leader has reserved when another one
/// follows (half of [`MAX_RESERVATION`]), by replies that arrive up to 150 ms late, and by
/// gateways without a leader on average.
const OVERLAP: f64 = 0.125 + 0.15 + 0.125;

/// Requests in a second beyond the rate: the burst of two schedules, and what gateways without
/// a leader send beyond their average.
const EXTRA_REQUESTS: f64 = 6.0;

/// Least part of the rate that is used, however strict the bound is.
const MIN_FRACTION: f64 = 0.25;

/// How many requests a cold target may get in each second: its rate times `overshoot`, and
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Requests on top.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { overshoot: 1.5, slack: 5.0 }
    }
}

impl Bounds {
    /// Returns the least time between two requests to a target that takes `rate` requests a
    /// second while it is cold.
    #[must_use]
    pub fn interval(&self, rate: f64) -> time::Duration {
        let bound = rate * self.overshoot + self.slack;
        let safe = (bound - EXTRA_REQUESTS) / (1.0 + OVERLAP);
        turn::interval(safe.clamp(rate * MIN_FRACTION, rate))
    }
}
