//! Loads that a target has not answered, and may carry out after later orders.
//!
//! An order states how many orders the target must have accepted before it. If that is the count
//! that the next report shows, the next order states the same one, and the target takes only
//! whichever comes first. But the count may have been too high: the answer to the unload of an
//! adapter does not tell whether it was still there, and so whether it was counted. An order with
//! too high a count fits later, beside those that raise the count to it. So what it loads is
//! charged until the target is known to have reached that count.

use std::time;

use super::room::{Op, Order, Outcome};

/// How long after its time-out an order may still arrive.
const MAX_LATENESS: time::Duration = time::Duration::from_secs(30);

/// A load that may be carried out later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LateLoad {
    pub(super) model: String,
    /// `None` if the model itself is to be loaded.
    pub(super) adapter: Option<String>,
    /// The count of accepted orders that it states.
    expected_accepted: u64,
    timed_out_at: time::Duration,
}

/// The loads of one target that may be carried out later.
#[derive(Clone, Debug, Default)]
pub(super) struct LateLoads(Vec<LateLoad>);

impl LateLoads {
    /// Records the outcome of an order. One that was accepted proves the count that it states. One
    /// without a count may arrive at any time, and is not covered here.
    pub(super) fn record(&mut self, order: &Order, outcome: Outcome, now: time::Duration) {
        let Some(expected_accepted) = order.expected_accepted else {
            return;
        };
        if outcome == Outcome::Accepted {
            self.settle(expected_accepted.saturating_add(1), now);
        }
        if order.op != Op::Load || outcome != Outcome::Unknown {
            return;
        }
        let earlier =
            self.0.extract_if(.., |l| l.model == order.model && l.adapter == order.adapter);
        let expected_accepted =
            earlier.map(|l| l.expected_accepted).fold(expected_accepted, u64::max);
        self.0.push(LateLoad {
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            expected_accepted,
            timed_out_at: now,
        });
    }

    /// Forgets the loads that can't be carried out beside later orders any more: the target has
    /// accepted as many orders as they state, or they would be too late.
    pub(super) fn settle(&mut self, accepted: u64, now: time::Duration) {
        self.0.retain(|load| {
            accepted < load.expected_accepted && now < load.timed_out_at + MAX_LATENESS
        });
    }

    /// Returns the loads that may be carried out later.
    pub(super) fn iter(&self) -> impl Iterator<Item = &LateLoad> {
        self.0.iter()
    }
}
