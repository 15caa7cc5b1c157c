//! The baseline scheduler: first come, first served, round robin.

use std::{collections, sync, time};

use super::{Action, End, Pool, RefusalReason, Request, TargetInfo};

/// Sends each request to the next target of its pool at once.
///
/// It queues only while the pool has no target, refuses nothing before its
/// deadline has passed, and looks neither at load nor at workspaces.
#[derive(Debug, Default)]
pub struct Naive {
    pools: collections::BTreeMap<Pool, Vec<sync::Arc<str>>>,
    waiting: collections::VecDeque<Request>,
    next: usize,
}

impl Naive {
    /// Creates a scheduler that knows no target.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the targets that may get new work.
    pub fn configure(&mut self, targets: &[TargetInfo]) -> Vec<Action> {
        self.pools.clear();
        for target in targets {
            for pool in &target.pools {
                self.pools.entry(pool.clone()).or_default().push(target.name.clone());
            }
        }
        self.dispatch_waiting()
    }

    /// Dispatches a request, or queues it if its pool has no target.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.waiting.push_back(request);
        self.dispatch_waiting()
    }

    /// Takes in the end of a request, which changes nothing.
    pub fn complete(&mut self, _id: u64, _end: End) -> Vec<Action> {
        Vec::new()
    }

    /// Refuses what is too late.
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
