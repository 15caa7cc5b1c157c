//! Elections: pre-vote, votes, check-quorum and the handing over of leadership.
//!
//! A voter that heard a leader within the election timeout grants neither a
//! pre-vote nor a vote. That keeps a replica behind a partition from deposing a
//! healthy leader, and it is the promise that the leader's lease rests on.

use std::{collections, time};

use super::{
    log::{Payload, Position, Term},
    message::{Body, NodeId, StoreId},
    node::{Action, HardState, Raft, Role, Standing},
    progress::Progress,
};

impl Raft {
    /// Starts with a pre-vote, which raises no term.
    pub(super) fn campaign(&mut self, now: time::Duration) {
        self.reset_deadline(now);
        if !self.is_voter() {
            return;
        }
        let granted = collections::BTreeSet::from([self.config.id]);
        self.standing = Standing::PreCandidate { granted };
        self.fail_reads();
        let last = self.log.last();
        let term = self.hard.term + 1;
        for peer in self.voters_but_me() {
            self.send_in_term(peer, term, Body::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    pub(super) fn pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: Position,
        now: time::Duration,
    ) {
        // Whether the answer counts is for the candidate's membership to say: this
        // replica may not have heard yet that it votes.
        let granted = term > self.hard.term && last >= self.log.last() && !self.hears_leader(now);
        // The answer carries the candidate's term, so that it can tell to which
        // campaign the answer belongs.
        let term = if granted { term } else { self.hard.term };
        self.send_in_term(from, term, Body::PreVoteReply { granted });
    }

    pub(super) fn pre_vote_answered(
        &mut self,
        from: NodeId,
        store: StoreId,
        term: Term,
        granted: bool,
        now: time::Duration,
    ) {
        if !granted {
            self.observe(term, now);
            return;
        }
        let counts = self.members().votes(from, store) && term == self.hard.term + 1;
        if let Standing::PreCandidate { granted } = &mut self.standing
            && counts
        {
            granted.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: time::Duration) {
        if let Standing::PreCandidate { granted } = &self.standing
            && granted.len() >= self.members().quorum()
        {
            self.stand(false, now);
        }
    }

    /// Raises the term and asks for votes.
    fn stand(&mut self, transfer: bool, now: time::Duration) {
        let term = self.hard.term + 1;
        self.set_hard(HardState { term, vote: Some(self.config.id) });
        self.standing =
            Standing::Candidate { granted: collections::BTreeSet::from([self.config.id]) };
        self.actions.push(Action::Became(Role::Candidate));
        self.reset_deadline(now);
        let last = self.log.last();
        for peer in self.voters_but_me() {
            self.send(peer, Body::Vote { last, transfer });
        }
        self.count_votes(now);
    }

    pub(super) fn vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: Position,
        transfer: bool,
        now: time::Duration,
    ) {
        if self.hears_leader(now) && !transfer {
            return;
        }
        self.observe(term, now);
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted = term == self.hard.term
            && free
            && last >= self.log.last()
            && matches!(self.standing, Standing::Follower { .. });
        if granted {
            self.set_hard(HardState { term, vote: Some(from) });
            self.reset_deadline(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn vote_answered(
        &mut self,
        from: NodeId,
        store: StoreId,
        term: Term,
        granted: bool,
        now: time::Duration,
    ) {
        let counts = granted && term == self.hard.term && self.members().votes(from, store);
        if let Standing::Candidate { granted } = &mut self.standing
            && counts
        {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: time::Duration) {
        if let Standing::Candidate { granted } = &self.standing
            && granted.len() >= self.members().quorum()
        {
            self.lead(now);
        }
    }

    pub(super) fn lead(&mut self, now: time::Duration) {
        let next = self.log.last().index + 1;
        let followers =
            self.members().others(self.config.id).map(|n| (n, Progress::new(next, now))).collect();
        self.standing = Standing::Leader { followers, beat: now };
        self.actions.push(Action::Became(Role::Leader));
        self.append_local(Payload::Noop);
        self.advance_commit();
        self.broadcast(now);
    }

    /// Steps down when a quorum has not answered for two election timeouts.
    pub(super) fn check_quorum(&mut self, now: time::Duration) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let limit = self.config.election * 2;
        let members = self.members();
        let live = members.voters.keys().filter(|node| {
            **node == self.config.id || followers.get(node).is_some_and(|p| now < p.heard + limit)
        });
        if live.count() < members.quorum() {
            self.become_follower(None, now);
        }
    }

    /// Hands leadership to the voter that is furthest along.
    ///
    /// The lease ends here: this replica follows from now on, and only then may
    /// the successor ask voters to set the lease aside.
    pub(super) fn transfer(&mut self, now: time::Duration) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let members = self.members();
        let fit = followers
            .iter()
            .filter(|(node, p)| p.store.is_some_and(|s| members.votes(**node, s)))
            .max_by_key(|(_, p)| p.matched)
            .map(|(node, _)| *node);
        let Some(successor) = fit else {
            return;
        };
        self.broadcast(now);
        self.send(successor, Body::Transfer);
        self.become_follower(None, now);
    }

    pub(super) fn take_over(&mut self, from: NodeId, term: Term, now: time::Duration) {
        let follows =
            matches!(self.standing, Standing::Follower { leader } if leader == Some(from));
        if follows && term == self.hard.term && self.is_voter() {
            self.stand(true, now);
        }
    }

    /// Follows the sender of an append, if its term is not behind.
    pub(super) fn follow(&mut self, from: NodeId, term: Term, now: time::Duration) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.observe(term, now);
        let known = matches!(self.standing, Standing::Follower { leader } if leader == Some(from));
        if !known {
            self.become_follower(Some(from), now);
        }
        self.heard = now;
        self.reset_deadline(now);
        true
    }

    fn hears_leader(&self, now: time::Duration) -> bool {
        matches!(self.standing, Standing::Leader { .. }) || now < self.heard + self.config.election
    }

    fn voters_but_me(&self) -> Vec<NodeId> {
        self.members().voters.keys().copied().filter(|n| *n != self.config.id).collect()
    }
}
