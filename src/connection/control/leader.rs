//! Which replica the calls to the leader go to, shared by all calls of the process.

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::peer::Reply,
    process::clock,
    version::{
        raft,
        search::{Answer, LeaderSearch},
    },
};

#[derive(Debug, Default)]
struct State {
    search: LeaderSearch,
    /// Whether a task searches for the leader.
    searching: bool,
}

/// The leader, as far as it is known.
#[derive(Debug)]
pub(super) struct Leader {
    state: Mutex<State>,
    known: tsync::watch::Sender<Option<raft::NodeId>>,
    clock: std::sync::Arc<clock::Clock>,
}

impl Leader {
    pub(super) fn new(clock: std::sync::Arc<clock::Clock>) -> Self {
        Self { state: Mutex::default(), known: tsync::watch::Sender::default(), clock }
    }

    pub(super) fn get(&self) -> Option<raft::NodeId> {
        *self.known.borrow()
    }

    /// Waits until the leader is known.
    pub(super) async fn wait(&self) -> Option<raft::NodeId> {
        let mut known = self.known.subscribe();
        // The sender lives as long as this.
        known.wait_for(Option::is_some).await.ok().and_then(|leader| *leader)
    }

    /// Sets the leader, as known from another source than the replies to calls.
    pub(super) fn set(&self, leader: raft::NodeId) {
        self.update(|search| search.set_leader(leader, self.clock.now()));
    }

    /// Records the reply of a replica to a call that was for the leader.
    pub(super) fn record_reply(&self, node: raft::NodeId, reply: &Reply) {
        let answer = match reply {
            Reply::NotLeader { leader } => Answer::Redirects(*leader),
            Reply::OutcomeUnknown => Answer::Redirects(None),
            _ => Answer::Leads,
        };
        self.update(|search| search.record(node, answer, self.clock.now()));
    }

    /// Records that a replica can't be reached, or left a call unanswered.
    pub(super) fn record_missing(&self, node: raft::NodeId) {
        self.update(|search| search.record(node, Answer::Missing, self.clock.now()));
    }

    /// Returns true if the caller is to search: the leader is not known, and no task searches
    /// for it yet.
    pub(super) fn begin_search(&self) -> bool {
        let mut state = self.state.lock();
        let begins = state.search.leader().is_none() && !state.searching;
        state.searching |= begins;
        begins
    }

    /// Returns whether the search goes on. It has ended if this returns false.
    pub(super) fn continues_search(&self) -> bool {
        let mut state = self.state.lock();
        state.searching = state.search.leader().is_none();
        state.searching
    }

    /// Ends the search, also if its task was cancelled.
    pub(super) fn end_search(&self) {
        self.state.lock().searching = false;
    }

    /// Returns the replica to probe next, and how long to wait before; `None` if there is no
    /// replica.
    pub(super) fn next_probe(
        &self,
        replicas: &[raft::NodeId],
    ) -> Option<(raft::NodeId, std::time::Duration)> {
        let now = self.clock.now();
        let (node, due) = self.state.lock().search.next_probe(replicas, now)?;
        Some((node, due.saturating_sub(now)))
    }

    pub(super) fn begin_probe(&self, node: raft::NodeId) {
        self.update(|search| search.begin_probe(node, self.clock.now()));
    }

    fn update(&self, change: impl FnOnce(&mut LeaderSearch)) {
        let mut state = self.state.lock();
        change(&mut state.search);
        let leader = state.search.leader();
        self.known.send_if_modified(|known| std::mem::replace(known, leader) != leader);
    }
}
