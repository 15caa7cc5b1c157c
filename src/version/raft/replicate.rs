//! Replication: appends, snapshots, the commit index and membership changes.

use std::time;

use super::{
    log::{Entry, Index, Payload, Position, Snapshot, Term},
    message::{AppendOutcome, Body, Members, NodeId, StoreId},
    node::{Action, DiskWrite, MAX_APPEND_ENTRIES, Raft, RoleState},
    progress::Progress,
};

/// Time without a reply to a snapshot after which the leader sends appends
/// again. A follower that did not install the snapshot replies to them with a
/// conflict, and the leader then sends it a snapshot again.
const SNAPSHOT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A voter that has not replied for this long is replaced by a learner. Longer
/// than an election takes, and short enough that the replacement is a voter 4 s
/// after the failure, as tests/raft.rs requires.
const UNRESPONSIVE_VOTER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The same for a voter that has not replied to this leader at all, in leader timeouts. It may have
/// been silent for longer than there has been this leader.
const FIRST_REPLY_TIMEOUTS: u32 = 2;

impl Raft {
    /// Appends a payload and sends it to the other replicas, or rejects it if
    /// this replica does not lead. `context` is the caller's number for the
    /// proposal; the action that reports the result returns it.
    pub(super) fn propose(&mut self, context: u64, payload: Payload, now: time::Duration) {
        if !matches!(self.role_state, RoleState::Leader { .. }) {
            self.actions.push(Action::ProposalRejected { context, leader: self.leader() });
            return;
        }
        let position = self.append_local(payload);
        self.actions.push(Action::ProposalAppended { context, position });
        self.advance_commit();
        self.send_new_entries(now);
    }

    /// Sends every other replica the entries that it lacks, or a heartbeat if it
    /// lacks none.
    pub(super) fn broadcast(&mut self, now: time::Duration) {
        if let RoleState::Leader { last_heartbeat, .. } = &mut self.role_state {
            *last_heartbeat = now;
        }
        for node in self.members().others(self.config.id).collect::<Vec<_>>() {
            self.send_append(node, now);
        }
    }

    /// Sends entries to the replicas that lack some; sends no heartbeats.
    fn send_new_entries(&mut self, now: time::Duration) {
        let last = self.log.last_position().index;
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let behind: Vec<_> = progress_by_node
            .iter()
            .filter(|(_, p)| p.next_index <= last)
            .map(|(node, _)| *node)
            .collect();
        for node in behind {
            self.send_append(node, now);
        }
    }

    /// Sends the next entries to a replica, or the snapshot if the log no longer
    /// holds them. Sends nothing while a snapshot awaits its reply, for at most
    /// `SNAPSHOT_TIMEOUT`.
    fn send_append(&mut self, node: NodeId, now: time::Duration) {
        let next_index = self.log.last_position().index + 1;
        let RoleState::Leader { progress_by_node, .. } = &mut self.role_state else {
            return;
        };
        let progress =
            progress_by_node.entry(node).or_insert_with(|| Progress::new(next_index, now));
        if progress.snapshot_sent.is_some_and(|at| now < at + SNAPSHOT_TIMEOUT) {
            return;
        }
        let prev = progress.next_index - 1;
        let Some(term) = self.log.term_at(prev) else {
            progress.snapshot_sent = Some(now);
            let snapshot = self.log.snapshot().clone();
            progress.next_index = snapshot.position.index + 1;
            self.send(node, Body::InstallSnapshot { snapshot, sent: now });
            return;
        };
        let entries = self.log.slice(progress.next_index, MAX_APPEND_ENTRIES).to_vec();
        progress.next_index += entries.len() as u64;
        let prev = Position { term, index: prev };
        let commit = self.commit_index;
        self.send(node, Body::Append { prev, entries, commit, sent: now });
    }

    /// Replies to a leader of an earlier term. The reply carries the current
    /// term, so that it steps down.
    pub(super) fn reject_stale_leader(&mut self, from: NodeId, sent: time::Duration) {
        let outcome = AppendOutcome::Conflict(self.log.last_position().index + 1);
        self.send(from, Body::AppendReply { outcome, sent });
    }

    /// Handles an append of the leader: stores the entries that the log lacks, in
    /// place of conflicting ones, advances the commit index and replies. If the
    /// log does not match at `prev`, only replies with the index to retry from.
    pub(super) fn handle_append(
        &mut self,
        from: NodeId,
        prev: Position,
        entries: &[Entry],
        commit: Index,
        sent: time::Duration,
    ) {
        let snapshot_index = self.log.snapshot().position.index;
        let consistent =
            prev.index < snapshot_index || self.log.term_at(prev.index) == Some(prev.term);
        if !consistent {
            let retry = self.conflict_index(prev);
            self.send(from, Body::AppendReply { outcome: AppendOutcome::Conflict(retry), sent });
            return;
        }
        let missing = self.skip_present(entries, snapshot_index);
        if let Some(first) = missing.first() {
            if first.position.index <= self.log.last_position().index {
                self.truncate(first.position.index);
            }
            self.append_entries(missing.to_vec());
        }
        let matched = entries.last().map_or(prev.index, |e| e.position.index).max(snapshot_index);
        self.advance_commit_to(commit.min(matched));
        self.send(from, Body::AppendReply { outcome: AppendOutcome::Matched(matched), sent });
    }

    /// Returns `entries` without the leading ones that the log already holds.
    fn skip_present<'e>(&self, entries: &'e [Entry], snapshot_index: Index) -> &'e [Entry] {
        let present = entries.iter().take_while(|e| {
            let Position { term, index } = e.position;
            index <= snapshot_index || self.log.term_at(index) == Some(term)
        });
        &entries[present.count()..]
    }

    /// Returns the index from which the leader should retry: the first
    /// uncommitted entry of the conflicting term, the index after the last entry
    /// if the log is too short, or the index after the commit index if the log no
    /// longer holds the entry at `prev`.
    fn conflict_index(&self, prev: Position) -> Index {
        let last = self.log.last_position().index;
        if prev.index > last {
            return last + 1;
        }
        let Some(term) = self.log.term_at(prev.index) else {
            return self.commit_index + 1;
        };
        let mut index = prev.index;
        while index > self.commit_index + 1 && self.log.term_at(index - 1) == Some(term) {
            index -= 1;
        }
        index
    }

    /// Installs a snapshot of the leader, unless everything in it is committed
    /// here already, and replies with the index up to which the logs match.
    pub(super) fn handle_install_snapshot(
        &mut self,
        from: NodeId,
        snapshot: Snapshot,
        sent: time::Duration,
    ) {
        let index = snapshot.position.index;
        if index > self.commit_index {
            self.actions.push(Action::Persist(DiskWrite::InstallSnapshot(snapshot.clone())));
            let log_has_snapshot_entry = self.log.term_at(index) == Some(snapshot.position.term);
            self.log.install_snapshot(snapshot.clone());
            self.memberships.retain(|(at, _)| log_has_snapshot_entry && *at > index);
            self.commit_index = index;
            self.actions.push(Action::RestoreSnapshot(snapshot));
        }
        let outcome = AppendOutcome::Matched(index.min(self.commit_index));
        self.send(from, Body::AppendReply { outcome, sent });
    }

    /// Records the reply to an append or a snapshot, advances the commit index and
    /// sends the entries that the replica still lacks. Ignores replies of another
    /// term and of replicas whose id and store id are not in the membership.
    pub(super) fn handle_append_reply(
        &mut self,
        from: NodeId,
        store_id: StoreId,
        term: Term,
        outcome: AppendOutcome,
        sent: time::Duration,
        now: time::Duration,
    ) {
        if term != self.hard_state.term || !self.members().contains(from, store_id) {
            return;
        }
        let last = self.log.last_position().index;
        let RoleState::Leader { progress_by_node, .. } = &mut self.role_state else {
            return;
        };
        let Some(progress) = progress_by_node.get_mut(&from) else {
            return;
        };
        progress.handle_reply(store_id, outcome, sent, now);
        let behind = progress.next_index <= last;
        self.advance_commit();
        if behind {
            self.send_append(from, now);
        }
    }

    /// Commits the entries that a quorum of voters holds. A voter counts only if
    /// it replied with the store id that the membership names for it. The store
    /// id is the random id of a data folder, so a voter that lost its disk has
    /// another.
    ///
    /// Only entries of the current term are counted; earlier ones are committed
    /// with them. The leader counts its own log, which is safe because the caller
    /// makes an append durable before it sends the entries.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let members = self.members();
        let mut match_indices: Vec<Index> = members
            .voters
            .iter()
            .map(|(node, store_id)| {
                if *node == self.config.id {
                    return self.log.last_position().index;
                }
                let progress = progress_by_node.get(node).filter(|p| p.store_id == Some(*store_id));
                progress.map_or(0, |p| p.match_index)
            })
            .collect();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indices.get(members.quorum() - 1).copied() else {
            return;
        };
        if self.log.term_at(index) == Some(self.hard_state.term) {
            self.advance_commit_to(index);
        }
    }

    fn advance_commit_to(&mut self, index: Index) {
        if index <= self.commit_index {
            return;
        }
        let count = usize::try_from(index - self.commit_index).unwrap_or(usize::MAX);
        let entries = self.log.slice(self.commit_index + 1, count).to_vec();
        self.commit_index = index;
        self.actions.push(Action::Apply(entries));
    }

    /// Adds the sender of a join request as a learner, or forwards the request to
    /// the leader, since the configured peers of the sender may not include it.
    pub(super) fn handle_join(&mut self, from: NodeId, store_id: StoreId, now: time::Duration) {
        match self.role_state {
            RoleState::Leader { .. } => self.add_learner(from, store_id, now),
            RoleState::Follower { leader: Some(leader) } if leader != from => {
                self.send(leader, Body::ForwardJoin { node: from, store_id });
            }
            RoleState::Follower { .. }
            | RoleState::PreCandidate { .. }
            | RoleState::Candidate { .. } => {}
        }
    }

    /// Handles a pre-vote of a replica whose id and store id are not in the
    /// membership as a join request. Such a replica may have been removed without
    /// receiving that entry; it then campaigns as a voter and sends no join request.
    pub(super) fn readmit_removed(&mut self, from: NodeId, store_id: StoreId, now: time::Duration) {
        if self.is_voter() && !self.members().contains(from, store_id) {
            self.handle_join(from, store_id, now);
        }
    }

    /// Adds a replica as a learner, if the membership does not name its id with
    /// this store id.
    ///
    /// A voter that lost its disk becomes a learner: it may have forgotten votes
    /// and entries. The request is ignored while a voter with this id still
    /// replies with the store id named for it: it then comes from a second process
    /// under the same id.
    pub(super) fn add_learner(&mut self, from: NodeId, store_id: StoreId, now: time::Duration) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let members = self.members();
        if members.contains(from, store_id) || self.membership_change_pending() {
            return;
        }
        let voter_store_id = members.voters.get(&from).copied();
        let responsive = progress_by_node.get(&from).is_some_and(|p| {
            p.store_id.is_some()
                && p.store_id == voter_store_id
                && now < p.last_reply + self.config.election_timeout
        });
        if responsive {
            return;
        }
        let mut members = members.clone();
        members.voters.remove(&from);
        members.learners.insert(from, store_id);
        self.append_members(members, now);
    }

    /// Makes a learner a voter once it holds all committed entries and has replied
    /// to this leader with the store id that the membership names for it, while
    /// there are fewer voters than the maximum.
    pub(super) fn promote_learner(&mut self, now: time::Duration) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        if self.membership_change_pending() || self.members().voters.len() >= self.config.max_voters
        {
            return;
        }
        let ready = self.members().learners.iter().find(|(node, store_id)| {
            let caught_up = progress_by_node.get(node).is_some_and(|p| {
                p.store_id == Some(**store_id)
                    && p.match_index >= self.commit_index
                    && p.acked_send_time.is_some()
            });
            caught_up && !self.leaving.contains(**node, **store_id, now)
        });
        let Some((node, store_id)) = ready.map(|(n, s)| (*n, *s)) else {
            return;
        };
        let mut members = self.members().clone();
        members.learners.remove(&node);
        members.voters.insert(node, store_id);
        self.append_members(members, now);
    }

    /// Removes a voter that is about to stop, or has not replied in time, if a responsive learner holds all committed entries and can
    /// replace it, and only while the membership has its maximum of voters.
    ///
    /// The membership has one voter fewer only until the learner is promoted. The
    /// removed replica may rejoin as a learner.
    pub(super) fn replace_voter(&mut self, now: time::Duration) {
        let RoleState::Leader { progress_by_node, .. } = &self.role_state else {
            return;
        };
        let members = self.members();
        if self.membership_change_pending() || members.voters.len() < self.config.max_voters {
            return;
        }
        let first_reply = self.leader_timeout() * FIRST_REPLY_TIMEOUTS;
        let responsive = |node: &NodeId| {
            progress_by_node.get(node).is_some_and(|p| {
                let timeout = match p.store_id {
                    Some(_) => UNRESPONSIVE_VOTER_TIMEOUT,
                    None => first_reply.min(UNRESPONSIVE_VOTER_TIMEOUT),
                };
                now < p.last_reply + timeout
            })
        };
        let ready = members.learners.iter().any(|(node, store_id)| {
            responsive(node)
                && !self.leaving.contains(*node, *store_id, now)
                && progress_by_node.get(node).is_some_and(|p| {
                    p.store_id == Some(*store_id) && p.match_index >= self.commit_index
                })
        });
        let others = || members.voters.iter().filter(|(node, _)| **node != self.config.id);
        let leaving =
            others().find(|(node, store_id)| self.leaving.contains(**node, **store_id, now));
        let replaced = leaving.or_else(|| others().find(|(node, _)| !responsive(node)));
        let Some(replaced) = replaced.map(|(node, _)| *node).filter(|_| ready) else {
            return;
        };
        let mut members = members.clone();
        members.voters.remove(&replaced);
        self.append_members(members, now);
    }

    /// Returns true while a membership change is uncommitted, and until the first
    /// entry of the current term is committed: before that, one may be.
    fn membership_change_pending(&self) -> bool {
        let committed_in_term = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        !committed_in_term
            || self.memberships.last().is_some_and(|(index, _)| *index > self.commit_index)
    }

    fn append_members(&mut self, members: Members, now: time::Duration) {
        if let RoleState::Leader { progress_by_node, .. } = &mut self.role_state {
            // A replica that was removed notices by the silence, and asks to join again.
            progress_by_node.retain(|node, _| members.has_node(*node));
        }
        self.append_local(Payload::Members(members));
        self.advance_commit();
        self.broadcast(now);
    }
}
