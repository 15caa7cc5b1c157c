//! Replicated log: the Raft consensus algorithm as a deterministic state
//! machine.
//!
//! This module exists so that accepted configuration, keys, claims and
//! placement orders survive the loss of any minority of control instances. It
//! implements leader election with pre-vote, check-quorum, a leader lease for
//! reads, log replication with conflict hints, snapshots, learners and
//! membership changes of one voter at a time.
//!
//! The machine performs no input or output. [`Raft::step`] takes an
//! [`Event`] and the current monotonic time and returns [`Action`]s. The caller
//! must make every [`Action::Persist`] of a batch durable before it carries out
//! any other action of that batch. Batching many events before one sync is what
//! gives group commit.
//!
//! The trade is simplicity over pipelining: a leader syncs its own disk before
//! it sends, so a commit takes two syncs in sequence rather than in parallel.

mod election;
mod formation;
mod log;
mod message;
mod node;
mod progress;
mod read;
mod replicate;

pub use self::{
    log::{Entry, Index, Log, Payload, Position, Snapshot, Term},
    message::{AppendOutcome, Body, Members, Message, NodeId, StoreId},
    node::{Action, Config, DurableWrite, Event, HardState, Raft, Restored, Role},
};
