//! The waiting requests of one pool, ordered by start-time fair queueing or by
//! deadline.

use std::{collections, sync, time};

use crate::{request::stage::Stage, version::record};

use super::Request;

/// Least number of tokens charged for a request, so that each one advances the
/// start tag.
const MIN_TOKENS: u64 = 1;

/// Order within a workspace: interactive before deferrable requests, then those that
/// continue a stream before new ones, then by deadline, then by id, which follows the order
/// of arrival. A stream that is resumed has a later deadline than the new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deferrable: bool,
    stage: Stage,
    deadline: time::Duration,
    id: u64,
}

impl Rank {
    fn of(request: &Request) -> Self {
        let Request { deferrable, stage, deadline, id, .. } = *request;
        Self { deferrable, stage, deadline, id }
    }
}

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    requests: collections::BTreeMap<Rank, Request>,
    /// Virtual time at which its next request starts.
    start_tag: u128,
}

/// Waiting requests of one pool, by workspace.
#[derive(Debug, Default)]
pub(super) struct Queue {
    workspaces: collections::BTreeMap<sync::Arc<str>, WorkspaceQueue>,
    /// Largest start tag of the requests taken from the queue so far.
    virtual_time: u128,
    waiting: usize,
    waiting_tokens: u64,
}

/// Virtual time per token at weight 1. Large, so that the integer division by
/// weights keeps the order of tags.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

impl Queue {
    pub(super) fn push(&mut self, request: Request) {
        self.waiting += 1;
        self.waiting_tokens += request.tokens;
        let queue = self.workspaces.entry(request.workspace.clone()).or_default();
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
        let rank = Rank::of(&request);
        queue.requests.insert(rank, request);
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Returns an estimate of how many waiting requests start before `request`.
    ///
    /// Under fair queueing it counts the requests before it in its own
    /// workspace, and from each other workspace at most one more than these.
    /// Weights are ignored.
    pub(super) fn count_ahead(&self, request: &Request, objective: record::Objective) -> usize {
        let rank = Rank::of(request);
        match objective {
            record::Objective::Attainment => {
                self.workspaces.values().map(|q| q.requests.range(..rank).count()).sum()
            }
            record::Objective::WorstServed => {
                let own = self.workspaces.get(&request.workspace);
                let own = own.map_or(0, |q| q.requests.range(..rank).count());
                let share = |q: &WorkspaceQueue| q.requests.len().min(own + 1);
                let others = self.workspaces.iter().filter(|(w, _)| **w != request.workspace);
                own + others.map(|(_, q)| share(q)).sum::<usize>()
            }
        }
    }

    /// Returns the workspaces with waiting requests, the next to be served
    /// first.
    pub(super) fn service_order(&self, objective: record::Objective) -> Vec<sync::Arc<str>> {
        let mut firsts: Vec<_> = self
            .workspaces
            .iter()
            .filter_map(|(w, q)| q.requests.keys().next().map(|rank| (w, q, *rank)))
            .collect();
        match objective {
            record::Objective::WorstServed => {
                firsts.sort_by_key(|(_, q, rank)| (rank.deferrable, q.start_tag));
            }
            record::Objective::Attainment => firsts.sort_by_key(|(_, _, rank)| *rank),
        }
        firsts.into_iter().map(|(w, _, _)| w.clone()).collect()
    }

    /// Returns the next request of a workspace.
    pub(super) fn first(&self, workspace: &str) -> Option<&Request> {
        self.workspaces.get(workspace)?.requests.values().next()
    }

    /// Returns the next request of a workspace that may share its target with others.
    pub(super) fn first_shared(&self, workspace: &str) -> Option<&Request> {
        self.workspaces.get(workspace)?.requests.values().find(|r| !r.exclusive)
    }

    /// Removes a request of a workspace that starts, and advances the workspace's start tag
    /// by its tokens.
    pub(super) fn take(&mut self, workspace: &str, id: u64) -> Option<Request> {
        let queue = self.workspaces.get_mut(workspace)?;
        let rank = queue.requests.keys().find(|rank| rank.id == id).copied()?;
        let request = queue.requests.remove(&rank)?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        let tokens = u128::from(request.tokens.max(MIN_TOKENS));
        queue.start_tag += tokens * VIRTUAL_TIME_SCALE / u128::from(request.weight.max(1));
        self.record_removal(&request);
        Some(request)
    }

    /// Removes a request at any position.
    pub(super) fn remove(&mut self, id: u64) -> Option<Request> {
        let found = self.workspaces.iter().find_map(|(w, q)| {
            q.requests.keys().find(|rank| rank.id == id).map(|rank| (w.clone(), *rank))
        });
        let (workspace, rank) = found?;
        let request = self.workspaces.get_mut(&workspace)?.requests.remove(&rank)?;
        self.record_removal(&request);
        Some(request)
    }

    /// Removes and returns the requests whose deadline has passed. Also removes
    /// idle workspaces whose start tag is not ahead of the virtual time.
    pub(super) fn expire(&mut self, now: time::Duration) -> Vec<Request> {
        let late: Vec<_> = self
            .workspaces
            .values()
            .flat_map(|q| q.requests.values())
            .filter(|r| r.deadline <= now)
            .map(|r| r.id)
            .collect();
        let expired = late.into_iter().filter_map(|id| self.remove(id)).collect();
        let virtual_time = self.virtual_time;
        self.workspaces.retain(|_, q| !q.requests.is_empty() || q.start_tag > virtual_time);
        expired
    }

    fn record_removal(&mut self, request: &Request) {
        self.waiting -= 1;
        self.waiting_tokens -= request.tokens;
    }
}
