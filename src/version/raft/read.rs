//! Linearizable reads: by the lease on the leader, by read index requests to the
//! leader on a follower.
//!
//! A follower has at most one read index request in flight. Reads that arrive
//! meanwhile share the next request, so the load on the leader does not grow
//! with the number of reads.

use std::{mem, time};

use super::{
    log::Index,
    message::{Body, NodeId},
    node::{Action, Raft, RoleState},
};

/// Time after which a follower fails the reads of an unanswered request.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Pending reads of a follower.
#[derive(Debug)]
pub(super) struct Reads {
    /// Number of the latest request. Begins anew at random, since a reply to an earlier run of
    /// this replica may still arrive.
    round: u64,
    /// Contexts of the reads that the request in flight serves, and when it was
    /// sent.
    in_flight: Option<(Vec<u64>, time::Duration)>,
    /// Contexts of the reads that arrived after it was sent.
    queued: Vec<u64>,
}

impl Reads {
    /// Creates the state of a replica whose requests are numbered after `round`.
    pub(super) fn new(round: u64) -> Self {
        Self { round, in_flight: None, queued: Vec::new() }
    }
}

impl Raft {
    pub(super) fn start_read(&mut self, context: u64, now: time::Duration) {
        match self.role_state {
            RoleState::Leader { .. } => {
                let index = self.safe_read_index(now);
                self.actions.push(Action::ReadReady { context, index });
            }
            RoleState::Follower { leader: Some(_) } => {
                self.reads.queued.push(context);
                self.send_read_index(now);
            }
            RoleState::Follower { leader: None }
            | RoleState::PreCandidate { .. }
            | RoleState::Candidate { .. } => {
                self.actions.push(Action::ReadReady { context, index: None });
            }
        }
    }

    /// Returns the commit index, if this replica leads and no other replica can
    /// have committed a later entry.
    fn safe_read_index(&self, now: time::Duration) -> Option<Index> {
        let committed_in_term = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        (committed_in_term && self.has_lease(now)).then_some(self.commit_index)
    }

    fn send_read_index(&mut self, now: time::Duration) {
        let Some(leader) = self.leader() else {
            return;
        };
        if self.reads.in_flight.is_some() || self.reads.queued.is_empty() {
            return;
        }
        self.reads.round = self.reads.round.wrapping_add(1);
        self.reads.in_flight = Some((mem::take(&mut self.reads.queued), now));
        let context = self.reads.round;
        self.send(leader, Body::ReadIndex { context });
    }

    pub(super) fn handle_read_request(&mut self, from: NodeId, context: u64, now: time::Duration) {
        let index = self.safe_read_index(now);
        self.send(from, Body::ReadIndexReply { context, index });
    }

    pub(super) fn handle_read_reply(
        &mut self,
        round: u64,
        index: Option<Index>,
        now: time::Duration,
    ) {
        if round != self.reads.round {
            return;
        }
        let Some((contexts, _)) = self.reads.in_flight.take() else {
            return;
        };
        self.finish_reads(contexts, index);
        self.send_read_index(now);
    }

    pub(super) fn expire_read_index(&mut self, now: time::Duration) {
        let timed_out =
            self.reads.in_flight.as_ref().is_some_and(|(_, sent)| now >= *sent + READ_TIMEOUT);
        if timed_out && let Some((contexts, _)) = self.reads.in_flight.take() {
            self.finish_reads(contexts, None);
            self.send_read_index(now);
        }
    }

    /// Fails all pending reads after the leader was lost.
    pub(super) fn fail_reads(&mut self) {
        let in_flight = self.reads.in_flight.take().map(|(contexts, _)| contexts);
        let queued = mem::take(&mut self.reads.queued);
        self.finish_reads(in_flight.into_iter().flatten().chain(queued).collect(), None);
    }

    fn finish_reads(&mut self, contexts: Vec<u64>, index: Option<Index>) {
        let ready = contexts.into_iter().map(|context| Action::ReadReady { context, index });
        self.actions.extend(ready);
    }
}
