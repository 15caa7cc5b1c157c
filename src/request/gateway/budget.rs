//! Retry budget of one gateway, as its share of a bound on all gateways.
//!
//! In any window the retries to a service may be at most a fraction of its
//! requests, plus a slack that all gateways share. Each gateway counts its own
//! requests and retries and uses an equal part of the slack. The sum over all
//! gateways then stays within the bound without any communication.

use std::{collections, time};

/// Bounds on the retries of all gateways to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to these, by all gateways
    /// together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
}

/// Fraction of the allowed retries that is used. The rest covers windows that
/// begin at another moment, and gateways that are not counted yet.
const USED_FRACTION: f64 = 0.7;

/// Requests and retries of one gateway to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: collections::VecDeque<time::Duration>,
    retries: collections::VecDeque<time::Duration>,
}

impl Budget {
    /// Records a request before it is sent to a target.
    pub fn record_request(&mut self, bounds: &Bounds, now: time::Duration) {
        self.expire(bounds, now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false if none is left. The
    /// slack is divided by `gateways`, the number of all gateways.
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
