//! The requests that wait for one pool.

use std::{collections, sync, time};

use crate::version::record;

use super::Request;

/// Tokens charged at least for a request, so that none is free.
const MIN_TOKENS: u64 = 1;

/// Order within a workspace: interactive before deferrable, then by deadline,
/// then by arrival.
type Rank = (bool, time::Duration, u64);

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
    /// Virtual time: the start of the latest request that left.
    virtual_time: u128,
    waiting: usize,
    waiting_tokens: u64,
}

/// Scale of virtual time, so that weights divide without loss of order.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

impl Queue {
    pub(super) fn push(&mut self, request: Request) {
        self.waiting += 1;
        self.waiting_tokens += request.tokens;
        let queue = self.workspaces.entry(request.workspace.clone()).or_default();
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
        let rank = (request.deferrable, request.deadline, request.id);
        queue.requests.insert(rank, request);
    }

    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Returns how many wait that would start before `request`.
    ///
    /// With fair queueing a workspace waits for its own line and at most the
    /// same share of every other.
    pub(super) fn count_ahead(&self, request: &Request, objective: record::Objective) -> usize {
        let rank = (request.deferrable, request.deadline, request.id);
        match objective {
            record::Objective::Attainment => {
                self.workspaces.values().map(|q| q.requests.range(..rank).count()).sum()
            }
            record::Objective::Worst => {
                let own = self.workspaces.get(&request.workspace);
                let own = own.map_or(0, |q| q.requests.range(..rank).count());
                let share = |q: &WorkspaceQueue| q.requests.len().min(own + 1);
                let others = self.workspaces.iter().filter(|(w, _)| **w != request.workspace);
                own + others.map(|(_, q)| share(q)).sum::<usize>()
            }
        }
    }

    /// Returns the workspaces in the order in which they are to be served.
    pub(super) fn service_order(&self, objective: record::Objective) -> Vec<sync::Arc<str>> {
        let mut firsts: Vec<_> = self
            .workspaces
            .iter()
            .filter_map(|(w, q)| q.requests.keys().next().map(|rank| (w, q, *rank)))
            .collect();
        match objective {
            record::Objective::Worst => firsts.sort_by_key(|(_, q, rank)| (rank.0, q.start_tag)),
            record::Objective::Attainment => firsts.sort_by_key(|(_, _, rank)| *rank),
        }
        firsts.into_iter().map(|(w, _, _)| w.clone()).collect()
    }

    /// Returns the first request of a workspace.
    pub(super) fn first(&self, workspace: &str) -> Option<&Request> {
        self.workspaces.get(workspace)?.requests.values().next()
    }

    /// Removes the first request of a workspace and charges its share.
    pub(super) fn pop(&mut self, workspace: &str) -> Option<Request> {
        let queue = self.workspaces.get_mut(workspace)?;
        let (_, request) = queue.requests.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        let tokens = u128::from(request.tokens.max(MIN_TOKENS));
        queue.start_tag += tokens * VIRTUAL_TIME_SCALE / u128::from(request.weight.max(1));
        self.record_removal(&request);
        Some(request)
    }

    /// Removes a request wherever it stands.
    pub(super) fn remove(&mut self, id: u64) -> Option<Request> {
        let found = self.workspaces.iter().find_map(|(w, q)| {
            q.requests.keys().find(|rank| rank.2 == id).map(|rank| (w.clone(), *rank))
        });
        let (workspace, rank) = found?;
        let request = self.workspaces.get_mut(&workspace)?.requests.remove(&rank)?;
        self.record_removal(&request);
        Some(request)
    }

    /// Removes every request whose deadline has passed.
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
