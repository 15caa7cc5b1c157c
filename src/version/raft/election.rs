//! Elections: pre-vote, votes, check-quorum and leadership transfer.
//!
//! A voter that heard from a leader within the election timeout grants neither
//! a pre-vote nor a vote. This keeps a partitioned replica from deposing a
//! healthy leader, and the leader lease relies on it.

use std::{collections, time};

use super::{
    log::{Payload, Position, Term},
    message::{Body, NodeId, StoreId},
    node::{Action, HardState, Raft, Role, RoleState},
    progress::Progress,
};

impl Raft {
    /// Starts a pre-vote, if this replica is a voter. The term is raised only
    /// once a quorum has granted it.
    pub(super) fn campaign(&mut self, now: time::Duration) {
        self.reset_election_deadline(now);
        if !self.may_lead() {
            return;
        }
        let granted_by = collections::BTreeSet::from([self.config.id]);
        self.role_state = RoleState::PreCandidate { granted_by };
        self.fail_reads();
        let last = self.log.last_position();
        let term = self.hard_state.term + 1;
        for peer in self.other_voters() {
            self.send_in_term(peer, term, Body::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: Position,
        now: time::Duration,
    ) {
        // Granted even if this replica's membership does not name it as a voter:
        // the entry that made it one may not have arrived yet. The candidate
        // counts only replies of voters in its own membership.
        let granted = term > self.hard_state.term
            && last >= self.log.last_position()
            && !self.heard_leader_recently(now);
        // A granting reply carries the proposed term, so that the candidate can
        // tell which campaign it belongs to.
        let term = if granted { term } else { self.hard_state.term };
        self.send_in_term(from, term, Body::PreVoteReply { granted });
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        from: NodeId,
        store_id: StoreId,
        term: Term,
        granted: bool,
        now: time::Duration,
    ) {
        if !granted {
            self.observe_term(term, now);
            return;
        }
        let counts = self.members().is_voter(from, store_id) && term == self.hard_state.term + 1;
        if let RoleState::PreCandidate { granted_by } = &mut self.role_state
            && counts
        {
            granted_by.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: time::Duration) {
        if let RoleState::PreCandidate { granted_by } = &self.role_state
            && granted_by.len() >= self.members().quorum()
        {
            self.start_election(false, now);
        }
    }

    /// Raises the term, votes for itself and asks the other voters for votes.
    ///
    /// With `transfer`, voters ignore their recent contact to the old leader.
    fn start_election(&mut self, transfer: bool, now: time::Duration) {
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState { term, vote: Some(self.config.id) });
        self.role_state =
            RoleState::Candidate { granted_by: collections::BTreeSet::from([self.config.id]) };
        self.actions.push(Action::RoleChanged(Role::Candidate));
        self.reset_election_deadline(now);
        let last = self.log.last_position();
        for peer in self.other_voters() {
            self.send(peer, Body::Vote { last, transfer });
        }
        self.count_votes(now);
    }

    pub(super) fn handle_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: Position,
        transfer: bool,
        now: time::Duration,
    ) {
        if self.heard_leader_recently(now) && !transfer {
            return;
        }
        self.observe_term(term, now);
        let available = self.hard_state.vote.is_none_or(|v| v == from);
        let granted = term == self.hard_state.term
            && available
            && last >= self.log.last_position()
            && matches!(self.role_state, RoleState::Follower { .. });
        if granted {
            self.set_hard_state(HardState { term, vote: Some(from) });
            self.reset_election_deadline(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        from: NodeId,
        store_id: StoreId,
        term: Term,
        granted: bool,
        now: time::Duration,
    ) {
        let counts =
            granted && term == self.hard_state.term && self.members().is_voter(from, store_id);
        if let RoleState::Candidate { granted_by } = &mut self.role_state
            && counts
        {
            granted_by.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: time::Duration) {
        if let RoleState::Candidate { granted_by } = &self.role_state
            && granted_by.len() >= self.members().quorum()
        {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: time::Duration) {
        let next = self.log.last_position().index + 1;
        let progress_by_node =
            self.members().others(self.config.id).map(|n| (n, Progress::new(next, now))).collect();
        self.role_state = RoleState::Leader { progress_by_node, last_heartbeat: now };
        self.actions.push(Action::RoleChanged(Role::Leader));
        self.append_local(Payload::Noop);
        self.advance_commit();
        self.broadcast(now);
    }

    /// Steps down if fewer voters than a quorum, this one included, have replied
    /// within the last two leader timeouts.
    pub(super) fn check_quorum(&mut self, now: time::Duration) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let window = self.leader_timeout() * 2;
        let members = self.members();
        let live = members.voters.keys().filter(|node| {
            **node == self.config.id
                || progress_by_node.get(node).is_some_and(|p| now < p.last_reply + window)
        });
        if live.count() < members.quorum() {
            self.become_follower(None, now);
        }
    }

    /// Tells the other members that this replica is about to stop, and transfers leadership if
    /// it leads.
    pub(super) fn prepare_stop(&mut self, now: time::Duration) {
        self.stopping = true;
        for node in self.members().others(self.config.id).collect::<Vec<_>>() {
            self.send(node, Body::Leaving);
        }
        self.transfer_leadership(now);
    }

    /// Transfers leadership to the voter with the highest match index that is not about to
    /// stop.
    ///
    /// This replica steps down at once, which ends its lease, before the
    /// successor can ask voters to ignore their recent contact to it.
    pub(super) fn transfer_leadership(&mut self, now: time::Duration) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let members = self.members();
        let best = progress_by_node
            .iter()
            .filter(|(node, p)| {
                p.store_id.is_some_and(|s| {
                    members.is_voter(**node, s) && !self.leaving.contains(**node, s, now)
                })
            })
            .max_by_key(|(_, p)| p.match_index)
            .map(|(node, _)| *node);
        let Some(successor) = best else {
            return;
        };
        self.broadcast(now);
        self.send(successor, Body::TimeoutNow);
        self.become_follower(None, now);
    }

    /// Ends this replica's leadership or campaign for good, with a successor if there is one.
    pub(super) fn forgo_leadership(&mut self, now: time::Duration) {
        self.forgoes_leadership = true;
        self.transfer_leadership(now);
        if !matches!(self.role_state, RoleState::Follower { .. }) {
            self.become_follower(None, now);
        }
    }

    /// Starts an election, if this replica is a voter and the sender is the leader
    /// that it follows.
    pub(super) fn handle_timeout_now(&mut self, from: NodeId, term: Term, now: time::Duration) {
        let from_leader =
            matches!(self.role_state, RoleState::Follower { leader } if leader == Some(from));
        if from_leader && term == self.hard_state.term && self.may_lead() {
            self.start_election(true, now);
        }
    }

    /// Follows the sender of an append or snapshot, or returns false if its term
    /// is lower than the current one.
    pub(super) fn accept_leader(&mut self, from: NodeId, term: Term, now: time::Duration) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.observe_term(term, now);
        let is_followed =
            matches!(self.role_state, RoleState::Follower { leader } if leader == Some(from));
        if !is_followed {
            self.become_follower(Some(from), now);
        }
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        true
    }

    fn may_lead(&self) -> bool {
        self.is_voter() && !self.forgoes_leadership && !self.stopping
    }

    fn heard_leader_recently(&self, now: time::Duration) -> bool {
        matches!(self.role_state, RoleState::Leader { .. })
            || now < self.last_leader_contact + self.config.election_timeout
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.members().voters.keys().copied().filter(|n| *n != self.config.id).collect()
    }
}
