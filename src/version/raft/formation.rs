//! Bootstrapping a new group, and joining an existing one.

use std::{collections, mem, time};

use super::{
    log::{Entry, Payload},
    message::{Body, Members, NodeId, StoreId},
    node::{HardState, Raft},
};

/// Time between two join requests of a replica.
const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(250);

impl Raft {
    /// Bootstraps a new group once every replica in the settings has reported an
    /// empty log; until then sends bootstrap probes.
    ///
    /// Only the replica with the lowest id does this, and only while its own log
    /// holds no command. Because every replica must reply, a replica that lost
    /// its disk can't bootstrap a second group beside the one that it belonged
    /// to. The replies take the place of votes, since an empty replica has no
    /// membership to vote in.
    pub(super) fn try_bootstrap(&mut self, now: time::Duration) {
        let is_lowest_id = self.config.peers.iter().min() == Some(&self.config.id);
        if !self.config.may_bootstrap || !is_lowest_id || self.holds_command() {
            return;
        }
        self.empty_stores.insert(self.config.id, self.config.store_id);
        if self.config.peers.iter().any(|p| !self.empty_stores.contains_key(p)) {
            for peer in self.other_replicas() {
                self.send(peer, Body::BootstrapProbe);
            }
            return;
        }
        let voters = mem::take(&mut self.empty_stores);
        let members = Members { voters, learners: collections::BTreeMap::new() };
        if !self.log.is_empty() {
            // The entries are of an attempt before a restart. All other replicas
            // reported an empty log, so it reached none of them.
            self.truncate(1);
        }
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.config.id),
        });
        self.append_local(Payload::Members(members));
        self.become_leader(now);
    }

    /// Returns true if the log holds a command, or a snapshot, which may cover
    /// one.
    fn holds_command(&self) -> bool {
        let count = self.log.len();
        let is_command = |e: &Entry| matches!(e.payload, Payload::Command(_));
        self.log.snapshot().position.index > 0 || self.log.slice(1, count).iter().any(is_command)
    }

    /// Sends join requests to all other replicas, if the membership does not name
    /// this replica with its store, or names it as a learner that no leader contacts. The
    /// entry that added such a learner may have been overwritten in the log of the leader.
    pub(super) fn request_join(&mut self, now: time::Duration) {
        let due = self.last_join_request.is_none_or(|at| now >= at + JOIN_INTERVAL);
        let is_member = self.members().contains(self.config.id, self.config.store_id);
        let is_contacted = now < self.last_leader_contact + self.leader_timeout();
        if !due || self.stopping || self.is_voter() || (is_member && is_contacted) {
            return;
        }
        self.last_join_request = Some(now);
        for peer in self.other_replicas() {
            self.send(peer, Body::Join);
        }
    }

    pub(super) fn handle_probe(&mut self, from: NodeId, store_id: StoreId) {
        let empty = self.log.last_position().index == 0;
        if empty {
            self.probed_by = Some((from, store_id));
        }
        self.send(from, Body::BootstrapProbeReply { empty });
    }

    pub(super) fn handle_probe_reply(&mut self, from: NodeId, store_id: StoreId, empty: bool) {
        if empty {
            self.empty_stores.insert(from, store_id);
        } else {
            self.empty_stores.remove(&from);
        }
    }
}
