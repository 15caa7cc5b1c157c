//! Forming a group, and asking to be taken into one.

use std::{collections, mem, time};

use super::{
    log::{Entry, Payload},
    message::{Body, Members, NodeId, StoreId},
    node::{HardState, Raft},
};

/// How often a replica without a place in the membership asks for one.
const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(250);

impl Raft {
    /// Forms a new group once every configured replica is known to be empty.
    ///
    /// Only the replica with the lowest id does so, and only while it holds no
    /// command itself. As every replica must answer, an emptied replica can't
    /// form a second group beside the one that it belonged to. The answers
    /// stand in for votes: an empty replica has no membership to vote in.
    pub(super) fn form(&mut self, now: time::Duration) {
        let founder = self.config.peers.iter().min() == Some(&self.config.id);
        if !self.config.found || !founder || self.holds_command() {
            return;
        }
        self.empties.insert(self.config.id, self.config.store);
        if self.config.peers.iter().any(|p| !self.empties.contains_key(p)) {
            for peer in self.others() {
                self.send(peer, Body::Probe);
            }
            return;
        }
        let voters = mem::take(&mut self.empties);
        let members = Members { voters, learners: collections::BTreeMap::new() };
        if !self.log.is_empty() {
            // An attempt before a restart reached no other replica.
            self.truncate(1);
        }
        self.set_hard(HardState { term: self.hard.term + 1, vote: Some(self.config.id) });
        self.append_local(Payload::Members(members));
        self.lead(now);
    }

    /// Returns true if the log holds, or may have held, a command.
    fn holds_command(&self) -> bool {
        let count = self.log.len();
        let commands = |e: &Entry| matches!(e.payload, Payload::Command(_));
        self.log.snapshot().position.index > 0 || self.log.slice(1, count).iter().any(commands)
    }

    pub(super) fn ask_to_join(&mut self, now: time::Duration) {
        let due = self.joined.is_none_or(|at| now >= at + JOIN_INTERVAL);
        if !due || self.members().contains(self.config.id, self.config.store) {
            return;
        }
        self.joined = Some(now);
        for peer in self.others() {
            self.send(peer, Body::Join);
        }
    }

    pub(super) fn probed(&mut self, from: NodeId, store: StoreId) {
        let empty = self.log.last().index == 0;
        if empty {
            self.founder = Some((from, store));
        }
        self.send(from, Body::ProbeReply { empty });
    }

    pub(super) fn probe_answered(&mut self, from: NodeId, store: StoreId, empty: bool) {
        if empty {
            self.empties.insert(from, store);
        } else {
            self.empties.remove(&from);
        }
    }
}
