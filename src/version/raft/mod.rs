//! Replicated log: the Raft consensus algorithm as a deterministic state
//! machine.
//!
//! Accepted configuration, keys, claims and placement orders are replicated
//! through this log, so they survive the loss of any minority of control
//! instances. The module implements leader election with pre-vote and
//! check-quorum, a leader lease for reads, log replication with conflict hints,
//! snapshots, learners and single-server membership changes.
//!
//! The state machine does no I/O. [`Raft::step`] takes an [`Event`] and the
//! current monotonic time and returns [`Action`]s. The caller must make every
//! [`Action::Persist`] of a batch durable before it executes any other action
//! of that batch. Stepping through many events before one sync gives group
//! commit.
//!
//! Replication is not pipelined with the leader's own disk writes, which keeps
//! the code simple: a leader syncs its disk before it sends entries, so a commit
//! takes two syncs in sequence rather than in parallel.

mod election;
mod formation;
mod leaving;
mod log;
mod message;
mod node;
mod progress;
mod read;
mod replicate;
mod write_time;

pub use self::{
    log::{Entry, Index, Log, Payload, Position, Snapshot, Term},
    message::{AppendOutcome, Body, Members, Message, NodeId, StoreId},
    node::{Action, Config, DiskWrite, Event, HardState, Raft, Restored, Role},
};
