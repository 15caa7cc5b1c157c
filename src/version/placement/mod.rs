//! Placement of models and adapters by commands that are committed to the log.
//!
//! The leader runs a [`Planner`]. From the view, the demand that gateways report
//! and the items that requests wait for it derives commands: orders to load and
//! unload, and drains that stop routing before an unload.
//!
//! Each move costs a load from the rate-limited store. The planner therefore adds
//! copies as soon as requests wait, and removes copies only when another item
//! needs the memory. The [memory ledger](crate::version::memory) rejects every
//! command whose item does not fit.

mod demand;
mod planner;
mod round;

pub use self::{
    demand::Demands,
    planner::{Planner, TargetStatus},
};

use std::time;

/// How long a gateway uses its copy of the view, from the time it sent the poll.
pub const VIEW_TTL: time::Duration = time::Duration::from_millis(2_500);

/// Time after the commit of a drain at which no gateway routes to the item any
/// more: [`VIEW_TTL`] and a margin for clock drift.
pub const DRAIN_WAIT: time::Duration = time::Duration::from_secs(3);
