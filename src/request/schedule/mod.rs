//! Scheduling on an entry: which request goes to which target, when, and which
//! is refused.
//!
//! A [`Scheduler`] holds the requests that wait on one entry and what the entry
//! knows of the targets. It decides by three rules:
//!
//! - between workspaces, by weighted fair queueing over tokens or by deadline,
//!   as the policy record says; within a workspace always by deadline;
//! - between targets, by the least estimated load of a few candidates, with a
//!   preference for the target that has the prompt's prefix or the adapter, as
//!   long as that skews the load by no more than a bound;
//! - a request that can't start before its deadline is refused at once, with
//!   the time after which coming back makes sense.
//!
//! [`naive::Naive`] is the baseline with the same interface: first come, first
//! served, round robin, nothing refused early.

mod choose;
mod hosts;
pub mod naive;
mod queue;
mod scheduler;

use std::{fmt, sync, time};

pub use self::{hosts::available_targets, scheduler::Scheduler};

/// A group of targets that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// The targets that hold a model.
    Model(sync::Arc<str>),
    /// The instances of a plain service.
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

/// A request that waits to be sent to a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Chosen by the caller, unique on the entry.
    pub id: u64,
    /// Workspace that is charged.
    pub workspace: sync::Arc<str>,
    /// Weight of the workspace.
    pub weight: u32,
    /// Who can serve it.
    pub pool: Pool,
    /// Adapter that it needs on top of the model.
    pub adapter: Option<sync::Arc<str>>,
    /// Tokens that it may take.
    pub tokens: u64,
    /// Whether it may wait for quiet hours.
    pub deferrable: bool,
    /// Last moment for it to start.
    pub deadline: time::Duration,
    /// Hash of the start of its prompt, if a target may have it cached.
    pub prefix_hash: Option<u64>,
    /// Whether it must run apart from others.
    pub exclusive: bool,
    /// Targets that it must not go to again.
    pub avoid: Vec<sync::Arc<str>>,
}

/// What the entry knows of a target from the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name of the target.
    pub name: sync::Arc<str>,
    /// Requests that it runs at once.
    pub width: u32,
    /// Adapters resident there.
    pub adapters: Vec<sync::Arc<str>>,
    /// Pools that it belongs to.
    pub pools: Vec<Pool>,
}

/// How a request ended on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Finished,
    /// The caller went away, which says nothing about the target.
    Cancelled,
    /// The target could not be reached or broke off.
    Failed,
    /// The target refused it for want of room.
    Busy,
}

/// What the entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Dispatch {
        /// The request.
        request: u64,
        /// Name of the target.
        target: sync::Arc<str>,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: u64,
        /// Why.
        reason: RefusalReason,
        /// After which time coming back makes sense.
        retry_after: time::Duration,
    },
    /// Ask for the pool, or for the adapter, to be made resident.
    RequestPlacement {
        /// Model that a request waits for.
        pool: Pool,
        /// Adapter that it waits for, if the model is resident.
        adapter: Option<sync::Arc<str>>,
    },
}

/// Requests of a pool that run or wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: Pool,
    /// How many.
    pub requests: usize,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It can't start before its deadline.
    Deadline,
    /// Too many requests wait on this entry.
    QueueFull,
}
