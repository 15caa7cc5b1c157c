//! The share of one gateway in the retries that all gateways may make together.
//!
//! In any window the retries to a service may be at most a share of its requests
//! plus a slack that is common to all gateways. Each gateway keeps to the share
//! of its own requests and to an equal part of the slack, which needs no talk:
//! the sum over all of them keeps to the whole.

use std::{collections, time};

/// Bounds on the retries of all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that.
    pub slack: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Part of the allowed retries that is used, so that windows that begin
/// elsewhere and gateways that are not yet counted stay within the bounds.
const USED_FRACTION: f64 = 0.7;

/// Requests and retries of one gateway to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: collections::VecDeque<time::Duration>,
    retries: collections::VecDeque<time::Duration>,
}

impl Budget {
    /// Notes a request.
    pub fn record_request(&mut self, bounds: &Bounds, now: time::Duration) {
        self.expire(bounds, now);
        self.requests.push_back(now);
    }

    /// Takes a retry, if one is left for this gateway among `gateways`.
    pub fn take(&mut self, bounds: &Bounds, gateways: u32, now: time::Duration) -> bool {
        self.expire(bounds, now);
        let earned = bounds.ratio * to_f64(self.requests.len());
        let slack = bounds.slack / f64::from(gateways.max(1));
        let allowed = to_f64(self.retries.len() + 1) <= (earned + slack) * USED_FRACTION;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, bounds: &Bounds, now: time::Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now >= *at + bounds.window) {
                times.pop_front();
            }
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
