//! Replication: appends, snapshots, the commit index and membership changes.

use std::time;

use super::{
    log::{Entry, Index, Payload, Position, Snapshot, Term},
    message::{AppendOutcome, Body, Members, NodeId, StoreId},
    node::{APPEND_ENTRIES, Action, Change, Raft, Standing},
    progress::Progress,
};

/// How long a leader waits for the answer to a snapshot before it resends it.
const INSTALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A voter that was silent for this long gives way to a learner. Longer than an
/// election, shorter than the time in which a successor must count.
const LOST: time::Duration = time::Duration::from_millis(2_500);

impl Raft {
    /// Appends a payload as leader and sends it to the followers.
    pub(super) fn propose(&mut self, context: u64, payload: Payload, now: time::Duration) {
        if !matches!(self.standing, Standing::Leader { .. }) {
            self.actions.push(Action::Rejected { context, leader: self.leader() });
            return;
        }
        let position = self.append_local(payload);
        self.actions.push(Action::Accepted { context, position });
        self.advance_commit();
        self.send_new(now);
    }

    /// Sends every follower what it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: time::Duration) {
        if let Standing::Leader { beat, .. } = &mut self.standing {
            *beat = now;
        }
        for peer in self.members().others(self.config.id).collect::<Vec<_>>() {
            self.send_append(peer, now);
        }
    }

    /// Sends new entries to the followers that lack some, without heartbeats.
    fn send_new(&mut self, now: time::Duration) {
        let last = self.log.last().index;
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let behind: Vec<_> =
            followers.iter().filter(|(_, p)| p.next <= last).map(|(node, _)| *node).collect();
        for peer in behind {
            self.send_append(peer, now);
        }
    }

    fn send_append(&mut self, to: NodeId, now: time::Duration) {
        let next_new = self.log.last().index + 1;
        let Standing::Leader { followers, .. } = &mut self.standing else {
            return;
        };
        let progress = followers.entry(to).or_insert_with(|| Progress::new(next_new, now));
        if progress.installing.is_some_and(|at| now < at + INSTALL_TIMEOUT) {
            return;
        }
        let prev = progress.next - 1;
        let Some(term) = self.log.term(prev) else {
            progress.installing = Some(now);
            let snapshot = self.log.snapshot().clone();
            progress.next = snapshot.position.index + 1;
            self.send(to, Body::Install { snapshot, sent: now });
            return;
        };
        let entries = self.log.slice(progress.next, APPEND_ENTRIES).to_vec();
        progress.next += entries.len() as u64;
        let prev = Position { term, index: prev };
        let commit = self.commit;
        self.send(to, Body::Append { prev, entries, commit, sent: now });
    }

    /// Tells an old leader about the current term.
    pub(super) fn refuse_stale(&mut self, from: NodeId, sent: time::Duration) {
        let outcome = AppendOutcome::Conflict(self.log.last().index + 1);
        self.send(from, Body::AppendReply { outcome, sent });
    }

    pub(super) fn append(
        &mut self,
        from: NodeId,
        prev: Position,
        entries: &[Entry],
        commit: Index,
        sent: time::Duration,
    ) {
        let start = self.log.snapshot().position.index;
        let known = prev.index < start || self.log.term(prev.index) == Some(prev.term);
        if !known {
            let retry = self.conflict(prev);
            self.send(from, Body::AppendReply { outcome: AppendOutcome::Conflict(retry), sent });
            return;
        }
        let fresh = self.skip_held(entries, start);
        if let Some(first) = fresh.first() {
            if first.position.index <= self.log.last().index {
                self.truncate(first.position.index);
            }
            self.append_entries(fresh.to_vec());
        }
        let matched = entries.last().map_or(prev.index, |e| e.position.index).max(start);
        self.commit_to(commit.min(matched));
        self.send(from, Body::AppendReply { outcome: AppendOutcome::Matched(matched), sent });
    }

    /// Returns the entries from the first one that the log lacks on.
    fn skip_held<'e>(&self, entries: &'e [Entry], start: Index) -> &'e [Entry] {
        let held = entries.iter().take_while(|e| {
            let Position { term, index } = e.position;
            index <= start || self.log.term(index) == Some(term)
        });
        &entries[held.count()..]
    }

    /// Names the index to go back to: the start of the conflicting term.
    fn conflict(&self, prev: Position) -> Index {
        let last = self.log.last().index;
        if prev.index > last {
            return last + 1;
        }
        let Some(term) = self.log.term(prev.index) else {
            return self.commit + 1;
        };
        let mut index = prev.index;
        while index > self.commit + 1 && self.log.term(index - 1) == Some(term) {
            index -= 1;
        }
        index
    }

    pub(super) fn install(&mut self, from: NodeId, snapshot: Snapshot, sent: time::Duration) {
        let index = snapshot.position.index;
        if index > self.commit {
            self.actions.push(Action::Persist(Change::Install(snapshot.clone())));
            let held = self.log.term(index) == Some(snapshot.position.term);
            self.log.install(snapshot.clone());
            self.changes.retain(|(at, _)| held && *at > index);
            self.commit = index;
            self.actions.push(Action::Restore(snapshot));
        }
        let outcome = AppendOutcome::Matched(index.min(self.commit));
        self.send(from, Body::AppendReply { outcome, sent });
    }

    pub(super) fn append_answered(
        &mut self,
        from: NodeId,
        store: StoreId,
        term: Term,
        outcome: AppendOutcome,
        sent: time::Duration,
        now: time::Duration,
    ) {
        if term != self.hard.term || !self.members().contains(from, store) {
            return;
        }
        let last = self.log.last().index;
        let Standing::Leader { followers, .. } = &mut self.standing else {
            return;
        };
        let Some(progress) = followers.get_mut(&from) else {
            return;
        };
        progress.answered(store, outcome, sent, now);
        let behind = progress.next <= last;
        self.advance_commit();
        if behind {
            self.send_append(from, now);
        }
    }

    /// Commits what a quorum of voters, each with its named store, holds.
    ///
    /// Only entries of the current term are counted; earlier ones commit with
    /// them. The leader counts itself, which is sound because the caller makes
    /// an append durable before any answer to it can arrive.
    pub(super) fn advance_commit(&mut self) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let members = self.members();
        let mut held: Vec<Index> = members
            .voters
            .iter()
            .map(|(node, store)| {
                if *node == self.config.id {
                    return self.log.last().index;
                }
                let progress = followers.get(node).filter(|p| p.store == Some(*store));
                progress.map_or(0, |p| p.matched)
            })
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(members.quorum() - 1).copied() else {
            return;
        };
        if self.log.term(index) == Some(self.hard.term) {
            self.commit_to(index);
        }
    }

    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let count = usize::try_from(index - self.commit).unwrap_or(usize::MAX);
        let entries = self.log.slice(self.commit + 1, count).to_vec();
        self.commit = index;
        self.actions.push(Action::Commit(entries));
    }

    /// Takes in a replica that asks for it, or passes its question on to the
    /// leader, whom the asker may not know.
    pub(super) fn ask_in(&mut self, from: NodeId, store: StoreId, now: time::Duration) {
        match self.standing {
            Standing::Leader { .. } => self.join(from, store, now),
            Standing::Follower { leader: Some(leader) } if leader != from => {
                self.send(leader, Body::Introduce { node: from, store });
            }
            Standing::Follower { .. }
            | Standing::PreCandidate { .. }
            | Standing::Candidate { .. } => {}
        }
    }

    /// Takes back a replica that was removed without its knowledge: it campaigns
    /// as the voter that it was, and would not ask.
    pub(super) fn take_back(&mut self, from: NodeId, store: StoreId, now: time::Duration) {
        if self.is_voter() && !self.members().contains(from, store) {
            self.ask_in(from, store, now);
        }
    }

    /// Takes in a replica whose store the membership does not name.
    ///
    /// If it is a voter that lost its disk it stops being one, since the store
    /// that could vote is gone. A voter that still answers with its named store
    /// is left alone: then the asker is a second process under the same id.
    pub(super) fn join(&mut self, from: NodeId, store: StoreId, now: time::Duration) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let members = self.members();
        if members.contains(from, store) || self.change_pending() {
            return;
        }
        let named = members.voters.get(&from).copied();
        let answers = followers.get(&from).is_some_and(|p| {
            p.store.is_some() && p.store == named && now < p.heard + self.config.election
        });
        if answers {
            return;
        }
        let mut members = members.clone();
        members.voters.remove(&from);
        members.learners.insert(from, store);
        self.change_members(members, now);
    }

    /// Makes a learner a voter once it holds all that is committed.
    pub(super) fn promote(&mut self, now: time::Duration) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        if self.change_pending() || self.members().voters.len() >= self.config.voters {
            return;
        }
        let ready = self.members().learners.iter().find(|(node, store)| {
            followers.get(node).is_some_and(|p| {
                p.store == Some(**store) && p.matched >= self.commit && p.acked.is_some()
            })
        });
        let Some((node, store)) = ready.map(|(n, s)| (*n, *s)) else {
            return;
        };
        let mut members = self.members().clone();
        members.learners.remove(&node);
        members.voters.insert(node, store);
        self.change_members(members, now);
    }

    /// Removes a voter that has been silent for long while a learner stands
    /// ready to take its place.
    ///
    /// The group stays one voter short only until the learner is promoted, and
    /// the removed replica may come back as a learner.
    pub(super) fn replace_lost(&mut self, now: time::Duration) {
        let Standing::Leader { followers, .. } = &self.standing else {
            return;
        };
        let members = self.members();
        if self.change_pending() || members.voters.len() < self.config.voters {
            return;
        }
        let lively = |node: &NodeId| followers.get(node).is_some_and(|p| now < p.heard + LOST);
        let ready = members.learners.iter().any(|(node, store)| {
            lively(node)
                && followers
                    .get(node)
                    .is_some_and(|p| p.store == Some(*store) && p.matched >= self.commit)
        });
        let lost = members.voters.keys().find(|n| **n != self.config.id && !lively(n)).copied();
        let Some(lost) = lost.filter(|_| ready) else {
            return;
        };
        let mut members = members.clone();
        members.voters.remove(&lost);
        self.change_members(members, now);
    }

    /// Returns true while a change is uncommitted, or before the first commit
    /// of the term has shown that none is.
    fn change_pending(&self) -> bool {
        let settled = self.log.term(self.commit) == Some(self.hard.term);
        !settled || self.changes.last().is_some_and(|(index, _)| *index > self.commit)
    }

    fn change_members(&mut self, members: Members, now: time::Duration) {
        self.append_local(Payload::Members(members));
        self.advance_commit();
        self.broadcast(now);
    }
}
