//! Scheduling on a gateway: which request is sent to which target, when, and
//! which request is refused.
//!
//! A [`Scheduler`] holds the waiting requests of one gateway and its knowledge
//! of the targets. It follows three rules:
//!
//! - Interactive requests come before deferrable ones. Workspaces are then
//!   ordered by weighted fair queueing over tokens or by deadline, as the policy
//!   record states, and the requests of a workspace by deadline, those that continue a
//!   stream first.
//! - Among the targets that hold the model and the adapter, a request goes to
//!   the least loaded of a small sample. The target preferred for the prompt's
//!   prefix is taken instead if its load is not much higher.
//! - A request that is not expected to start before its deadline is refused at
//!   once, with the time after which a repeated request may succeed.
//!
//! [`naive::Naive`] is a baseline with a similar interface: first in, first
//! out, round robin, and no refusal before the deadline.

mod choose;
mod hosts;
pub mod naive;
mod queue;
mod scheduler;

use std::{fmt, sync, time};

use crate::request::stage::Stage;

pub use self::{hosts::available_targets, scheduler::Scheduler};

/// A group of targets that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// Targets that hold this model.
    Model(sync::Arc<str>),
    /// Targets of this plain service.
    Service(sync::Arc<str>),
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
        }
    }
}

/// A request to be scheduled.
#[derive(Clone, Debug)]
pub struct Request {
    /// Assigned by the gateway, unique within it.
    pub id: u64,
    /// Workspace whose share is charged.
    pub workspace: sync::Arc<str>,
    /// Weight of the workspace in fair queueing.
    pub weight: u32,
    /// Targets that can serve it.
    pub pool: Pool,
    /// Adapter that the target must hold in addition to the model.
    pub adapter: Option<sync::Arc<str>>,
    /// Upper bound of the tokens it takes, charged in fair queueing.
    pub tokens: u64,
    /// Whether it may wait until the load is low.
    pub deferrable: bool,
    /// Requests that continue a stream start before new ones of their workspace.
    pub stage: Stage,
    /// Latest time at which it may start.
    pub deadline: time::Duration,
    /// Hash of the start of its prompt, if a target may have that cached.
    pub prefix_hash: Option<u64>,
    /// Whether it must not share a target with other requests of this gateway.
    /// Set for requests suspected of crashing targets.
    pub exclusive: bool,
    /// Targets that it must not be sent to, because earlier attempts failed
    /// there.
    pub avoid: Vec<sync::Arc<str>>,
}

/// What the view states about a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name of the target.
    pub name: sync::Arc<str>,
    /// Number of requests that the target runs at once.
    pub width: u32,
    /// Adapters loaded on the target.
    pub adapters: Vec<sync::Arc<str>>,
    /// Pools that the target belongs to.
    pub pools: Vec<Pool>,
}

/// How a request ended on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target responded in full.
    Finished,
    /// The caller disconnected, which tells nothing about the target.
    Cancelled,
    /// The target could not be reached, or gave no complete response.
    Failed,
    /// The target rejected the request because it was full or lacked the model.
    Rejected,
}

/// What the gateway must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Dispatch {
        /// Id of the request.
        request: u64,
        /// Name of the target.
        target: sync::Arc<str>,
    },
    /// Refuse the request.
    Refuse {
        /// Id of the request.
        request: u64,
        /// Why it is refused.
        reason: RefusalReason,
        /// How long the caller should wait before it sends the request again.
        retry_after: time::Duration,
    },
    /// Ask control to load a model or adapter on a target. Not needed for pools
    /// of plain services.
    RequestPlacement {
        /// Pool that a request waits for.
        pool: Pool,
        /// Adapter that a request waits for, if some target holds the model but
        /// none the adapter.
        adapter: Option<sync::Arc<str>>,
    },
}

/// Number of requests of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: Pool,
    /// Running and waiting requests.
    pub requests: usize,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It is not expected to start before its deadline, or the deadline has
    /// passed.
    Deadline,
    /// Too many requests wait on this gateway.
    QueueFull,
}
