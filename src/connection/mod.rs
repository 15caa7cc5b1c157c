//! What lives as long as a connection: peers, callers and targets.

pub mod address;
pub mod announcement;
pub mod control;
pub mod dialect;
pub mod order;
pub mod peer;
pub(crate) mod pool;
pub mod socket;
