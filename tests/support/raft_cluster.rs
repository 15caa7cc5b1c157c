//! Replicas of the log with simulated time, network and disks, all in one thread.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hornbeamdock::version::raft::{
    Action, Config, DiskWrite, Event, Index, Message, NodeId, Payload, Raft, Restored, StoreId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TICK: Duration = Duration::from_millis(10);
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Simulated disk of a replica.
#[derive(Clone, Default)]
pub struct Disk {
    pub store_id: StoreId,
    pub restored: Restored,
}

impl Disk {
    pub fn write(&mut self, write: DiskWrite) {
        match write {
            DiskWrite::HardState(hard_state) => self.restored.hard_state = hard_state,
            DiskWrite::Append(entries) => self.restored.entries.extend(entries),
            DiskWrite::Truncate(first) => {
                self.restored.entries.retain(|e| e.position.index < first);
            }
            DiskWrite::InstallSnapshot(snapshot) => {
                let index = snapshot.position.index;
                self.restored.entries.retain(|e| e.position.index > index);
                self.restored.snapshot = Some(snapshot);
            }
        }
    }
}

/// A replica: its Raft node while it runs, its disk and its state machine.
pub struct Replica {
    pub node: Option<Raft>,
    pub disk: Disk,
    /// Whether it gets neither ticks nor messages; messages to it are lost.
    pub frozen: bool,
    /// End of its latest disk write. Until then it handles nothing and sends nothing.
    pub writing_until: Duration,
    /// Commands applied, by index; empty for other entries.
    pub applied: BTreeMap<Index, Vec<u8>>,
    pub applied_to: Index,
}

/// A command that was appended by a leader and not yet committed.
pub struct Proposal {
    pub node: NodeId,
    pub index: Index,
    pub term: u64,
    pub command: Vec<u8>,
}

/// Replicas connected by a simulated network.
pub struct Cluster {
    pub now: Duration,
    pub replicas: BTreeMap<NodeId, Replica>,
    /// Messages in flight, each with its time of arrival and receiver.
    pub queue: Vec<(Duration, NodeId, Message)>,
    /// Sender and receiver of each link that drops all messages.
    pub blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// Probability that a message is dropped, and that it is duplicated.
    pub fault_rate: f64,
    /// Messages arrive after 0.5 to 3 times this.
    pub base_delay: Duration,
    /// Duration of every disk write.
    pub write_time: Duration,
    /// Replicas whose disk is full, each with the time from which on it has room again.
    pub full_until: BTreeMap<NodeId, Duration>,
    pub rng: ChaCha8Rng,
    pub next_context: u64,
    /// Appended commands that are not yet committed.
    pub appended: Vec<Proposal>,
    /// Commands that were proposed and not appended, by context. Rejected ones stay.
    pub proposed: BTreeMap<u64, (NodeId, Vec<u8>)>,
    /// Commands that the replica which proposed them has applied, by index.
    pub acknowledged: BTreeMap<Index, Vec<u8>>,
    /// Commands that at least one replica applied, by index.
    pub applied_anywhere: BTreeMap<Index, Vec<u8>>,
    /// Number of configured peers, which are the replicas with the lowest ids.
    pub initial_peer_count: u64,
    /// Peers in the settings of replicas that start from now on, in place of those.
    pub peers: Option<Vec<NodeId>>,
    pub max_voters: usize,
    /// Applies to replicas that start from now on.
    pub may_bootstrap: bool,
    /// Latest acknowledged index when each read began, by context. A read at a lower
    /// index is stale.
    pub min_read_index: BTreeMap<u64, Index>,
    /// Context of each finished read, and its index if it may be served.
    pub read_results: Vec<(u64, Option<Index>)>,
}

impl Cluster {
    pub fn new(size: u64, seed: u64) -> Self {
        Self::with_initial_peers(size, size, usize::MAX, seed)
    }

    pub fn with_initial_peers(
        size: u64,
        initial_peer_count: u64,
        max_voters: usize,
        seed: u64,
    ) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            queue: Vec::new(),
            blocked_links: BTreeSet::new(),
            fault_rate: 0.0,
            base_delay: Duration::from_millis(5),
            write_time: Duration::ZERO,
            full_until: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_context: 1,
            appended: Vec::new(),
            proposed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            applied_anywhere: BTreeMap::new(),
            initial_peer_count,
            peers: None,
            max_voters,
            may_bootstrap: true,
            min_read_index: BTreeMap::new(),
            read_results: Vec::new(),
        };
        for _ in 0..size {
            cluster.add_replica();
        }
        cluster
    }

    /// Adds and starts a replica with an empty disk, and returns its id.
    pub fn add_replica(&mut self) -> NodeId {
        let id = self.replicas.keys().next_back().map_or(1, |last| last + 1);
        let replica = Replica {
            node: None,
            disk: Disk::default(),
            frozen: false,
            writing_until: Duration::ZERO,
            applied: BTreeMap::new(),
            applied_to: 0,
        };
        self.replicas.insert(id, replica);
        self.lose_disk(id);
        self.start(id);
        id
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    pub fn start(&mut self, id: NodeId) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        let config = Config {
            id,
            store_id: replica.disk.store_id,
            peers: self.peers.clone().unwrap_or_else(|| (1..=self.initial_peer_count).collect()),
            may_bootstrap: self.may_bootstrap,
            max_voters: self.max_voters,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: ELECTION_TIMEOUT / 10,
            seed: self.rng.random(),
        };
        replica.applied = BTreeMap::new();
        replica.applied_to = 0;
        if let Some(snapshot) = &replica.disk.restored.snapshot {
            replica.applied = postcard::from_bytes(&snapshot.data).expect("snapshot decodes");
            replica.applied_to = snapshot.position.index;
        }
        replica.frozen = false;
        replica.writing_until = now;
        replica.node = Some(Raft::new(config, replica.disk.restored.clone(), now));
    }

    pub fn restart(&mut self, id: NodeId) {
        self.start(id);
    }

    /// Returns true if the replica is a learner in the leader's membership.
    pub fn is_learner(&mut self, id: NodeId) -> bool {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().learners.contains_key(&id)
    }

    /// Returns true if the leader's membership names the replica with its store.
    pub fn is_member(&mut self, id: NodeId) -> bool {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().contains(id, self.replicas[&id].disk.store_id)
    }

    /// Returns the voters in the leader's membership.
    pub fn voters(&mut self) -> Vec<NodeId> {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().voters.keys().copied().collect()
    }

    pub fn kill(&mut self, id: NodeId) {
        self.replicas.get_mut(&id).expect("replica exists").node = None;
        self.appended.retain(|p| p.node != id);
    }

    /// Replaces the disk by an empty one. The replica must not be running.
    pub fn lose_disk(&mut self, id: NodeId) {
        let store_id = self.rng.random();
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        replica.disk = Disk { store_id, restored: Restored::default() };
    }

    pub fn set_frozen(&mut self, id: NodeId, frozen: bool) {
        self.replicas.get_mut(&id).expect("replica exists").frozen = frozen;
    }

    pub fn isolate(&mut self, id: NodeId) {
        for other in self.ids() {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    pub fn unblock_links(&mut self) {
        self.blocked_links.clear();
    }

    pub fn step(&mut self, id: NodeId, event: Event) {
        let now = self.now;
        // A write to a full disk is repeated until there is room.
        let room_at = self.full_until.get(&id).copied().unwrap_or_default().max(now);
        let written_at = room_at + self.write_time;
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        let Some(node) = replica.node.as_mut().filter(|_| !replica.frozen) else {
            return;
        };
        let actions = node.step(event, now);
        for action in &actions {
            if let Action::Persist(write) = action {
                replica.disk.write(write.clone());
                if let DiskWrite::InstallSnapshot(snapshot) = write {
                    // The log file that follows a snapshot holds what the log does.
                    let first = snapshot.position.index + 1;
                    replica.disk.restored.entries = node.log().slice(first, usize::MAX).to_vec();
                }
                replica.writing_until = written_at;
            }
        }
        if actions.iter().any(|action| matches!(action, Action::Persist(_))) {
            node.step(Event::Written { took: written_at.saturating_sub(now) }, now);
        }
        for action in actions {
            self.execute(id, action);
        }
    }

    pub fn execute(&mut self, id: NodeId, action: Action) {
        match action {
            Action::Persist(_) | Action::RoleChanged(_) | Action::ProposalRejected { .. } => {}
            Action::Send { to, message } => self.send(id, to, &message),
            Action::ProposalAppended { context, position } => {
                if let Some((node, command)) = self.proposed.remove(&context) {
                    let (index, term) = (position.index, position.term);
                    self.appended.push(Proposal { node, index, term, command });
                }
            }
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(id, entry.position.index, entry.position.term, entry.payload);
                }
            }
            Action::RestoreSnapshot(snapshot) => {
                let replica = self.replicas.get_mut(&id).expect("replica exists");
                replica.applied = postcard::from_bytes(&snapshot.data).expect("snapshot decodes");
                replica.applied_to = snapshot.position.index;
            }
            Action::ReadReady { context, index } => self.read_results.push((context, index)),
        }
    }

    pub fn apply(&mut self, id: NodeId, index: Index, term: u64, payload: Payload) {
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        assert_eq!(index, replica.applied_to + 1, "replica {id} applied an entry out of order");
        replica.applied_to = index;
        let command = match payload {
            Payload::Command(command) => command,
            Payload::Noop | Payload::Members(_) => Vec::new(),
        };
        replica.applied.insert(index, command.clone());
        let first = self.applied_anywhere.entry(index).or_insert_with(|| command.clone());
        assert_eq!(*first, command, "replicas applied different commands at index {index}");
        let position =
            self.appended.iter().position(|p| p.node == id && p.index == index && p.term == term);
        if let Some(at) = position {
            let proposal = self.appended.swap_remove(at);
            self.acknowledged.insert(index, proposal.command);
        }
    }

    pub fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.fault_rate) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.fault_rate));
        for _ in 0..copies {
            let delay = self.base_delay.mul_f64(self.rng.random_range(0.5..3.0));
            let sent = self.now.max(self.replicas[&from].writing_until);
            self.queue.push((sent + delay, to, message.clone()));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            let writing: BTreeSet<_> =
                self.ids().into_iter().filter(|id| self.is_writing(*id)).collect();
            let is_due = |at: Duration, to: NodeId| at <= now && !writing.contains(&to);
            let mut due: Vec<_> =
                self.queue.extract_if(.., |(at, to, _)| is_due(*at, *to)).collect();
            due.sort_by_key(|(at, _, _)| *at);
            for (_, to, message) in due {
                self.step(to, Event::Message(message));
            }
            for id in self.ids().into_iter().filter(|id| !writing.contains(id)) {
                self.step(id, Event::Tick);
            }
            self.check_leases();
        }
    }

    pub fn is_writing(&self, id: NodeId) -> bool {
        self.now < self.replicas[&id].writing_until
    }

    /// Checks that at most one replica holds the leader lease.
    pub fn check_leases(&self) {
        let now = self.now;
        let holds = |r: &&Replica| r.node.as_ref().is_some_and(|n| n.has_lease(now));
        assert!(
            self.replicas.values().filter(holds).count() <= 1,
            "more than one leader lease at {now:?}"
        );
    }

    /// Returns the replica that holds the leader lease and is not frozen.
    pub fn leader(&self) -> Option<NodeId> {
        let now = self.now;
        let leads = |r: &Replica| !r.frozen && r.node.as_ref().is_some_and(|n| n.has_lease(now));
        self.replicas.iter().find(|(_, r)| leads(r)).map(|(id, _)| *id)
    }

    pub fn wait_for_leader(&mut self) -> NodeId {
        for _ in 0..1_000 {
            if let Some(id) = self.leader() {
                return id;
            }
            self.run(TICK);
        }
        panic!("no leader within 10 s");
    }

    pub fn propose(&mut self, id: NodeId, command: &[u8]) {
        self.next_context += 1;
        let context = self.next_context;
        self.proposed.insert(context, (id, command.to_vec()));
        self.step(id, Event::Propose { context, command: command.to_vec() });
    }

    /// Proposes a command, repeatedly if needed, until it is acknowledged.
    pub fn commit(&mut self, command: &[u8]) {
        for _ in 0..100 {
            let leader = self.wait_for_leader();
            self.propose(leader, command);
            self.run(Duration::from_millis(200));
            if self.acknowledged.values().any(|c| c == command) {
                return;
            }
        }
        panic!("command not acknowledged after 100 proposals");
    }

    pub fn compact(&mut self, id: NodeId) {
        let replica = &self.replicas[&id];
        let (index, data) = (replica.applied_to, postcard::to_stdvec(&replica.applied));
        self.step(id, Event::Compact { index, data: data.expect("state encodes") });
    }

    /// Starts a read on a replica and returns its context.
    pub fn read(&mut self, id: NodeId) -> u64 {
        self.next_context += 1;
        let context = self.next_context;
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        self.min_read_index.insert(context, newest);
        self.step(id, Event::Read { context });
        context
    }

    /// Checks that every acknowledged command was applied at its index, and that
    /// every read that may be served includes the commands acknowledged before it.
    pub fn check_history(&mut self) {
        for (index, command) in &self.acknowledged {
            assert_eq!(
                self.applied_anywhere.get(index),
                Some(command),
                "acknowledged command at index {index} was not applied"
            );
        }
        for (context, index) in &self.read_results {
            if let Some(index) = index {
                assert!(
                    *index >= self.min_read_index[context],
                    "read {context} at index {index} is stale"
                );
            }
        }
    }

    /// Ends all faults and checks that every replica then applies all acknowledged
    /// commands.
    pub fn end_faults_and_verify(&mut self) {
        self.unblock_links();
        self.fault_rate = 0.0;
        for id in self.ids() {
            self.set_frozen(id, false);
            if self.replicas[&id].node.is_none() {
                self.restart(id);
            }
        }
        self.run(Duration::from_secs(5));
        self.commit(b"settled");
        self.run(Duration::from_secs(2));
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        for (id, replica) in &self.replicas {
            assert!(
                replica.applied_to >= newest,
                "replica {id} has applied index {} of {newest}",
                replica.applied_to
            );
            for (index, command) in &self.acknowledged {
                assert_eq!(
                    replica.applied.get(index),
                    Some(command),
                    "replica {id} lost the command at index {index}"
                );
            }
        }
        self.check_history();
    }
}
