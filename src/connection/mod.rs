//! Connections between processes, to targets, and the messages sent over them.

pub mod address;
pub mod announcement;
pub(crate) mod buffer;
pub mod carried;
pub mod control;
pub mod dialect;
pub mod ending;
pub mod framing;
pub mod order;
pub mod outbox;
pub mod peer;
pub(crate) mod pool;
pub mod rejected;
pub mod socket;
pub mod stray;
pub mod tunnel;
