//! The baseline scheduler: first in, first out, with round robin over the
//! targets.

use std::{collections, sync, time};

use super::{Action, End, Pool, RefusalReason, Request, TargetInfo};

/// Sends each request at once to the next target of its pool.
///
/// Requests wait only while their pool has no target, and are refused only
/// after their deadline. Load and workspaces are ignored.
#[derive(Debug, Default)]
pub struct Naive {
    pools: collections::BTreeMap<Pool, Vec<sync::Arc<str>>>,
    waiting: collections::VecDeque<Request>,
    next: usize,
}

impl Naive {
    /// Creates a scheduler without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets that may get new requests.
    pub fn configure(&mut self, targets: &[TargetInfo]) -> Vec<Action> {
        self.pools.clear();
        for target in targets {
            for pool in &target.pools {
                self.pools.entry(pool.clone()).or_default().push(target.name.clone());
            }
        }
        self.dispatch_waiting()
    }

    /// Dispatches a request, or queues it while its pool has no target.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.waiting.push_back(request);
        self.dispatch_waiting()
    }

    /// Does nothing; exists for the same interface as [`super::Scheduler`].
    pub fn complete(&mut self, _id: u64, _end: End) -> Vec<Action> {
        Vec::new()
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        let late = self.waiting.iter().filter(|r| r.deadline <= now);
        let actions = late
            .map(|r| Action::Refuse {
                request: r.id,
                reason: RefusalReason::Deadline,
                retry_after: time::Duration::ZERO,
            })
            .collect();
        self.waiting.retain(|r| r.deadline > now);
        actions
    }

    fn dispatch_waiting(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            match self.pools.get(&request.pool).filter(|t| !t.is_empty()) {
                Some(targets) => {
                    let target = targets[self.next % targets.len()].clone();
                    self.next += 1;
                    actions.push(Action::Dispatch { request: request.id, target });
                }
                None => self.waiting.push_back(request),
            }
        }
        actions
    }
}
