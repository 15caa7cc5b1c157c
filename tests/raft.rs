//! The Raft log under lost, delayed, duplicated and reordered messages, network
//! partitions, frozen and killed replicas, and lost disks.
//!
//! The tests run all replicas in one thread with simulated time and network.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::raft::{
    Action, Body, Config, DiskWrite, Event, Index, Message, NodeId, Payload, Raft, Restored, Role,
    StoreId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(10);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Simulated disk of a replica.
#[derive(Clone, Default)]
struct Disk {
    store_id: StoreId,
    restored: Restored,
}

impl Disk {
    fn write(&mut self, write: DiskWrite) {
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
struct Replica {
    node: Option<Raft>,
    disk: Disk,
    /// Whether it gets neither ticks nor messages; messages to it are lost.
    frozen: bool,
    /// End of its latest disk write. Until then it handles nothing and sends nothing.
    writing_until: Duration,
    /// Commands applied, by index; empty for other entries.
    applied: BTreeMap<Index, Vec<u8>>,
    applied_to: Index,
}

/// A command that was appended by a leader and not yet committed.
struct Proposal {
    node: NodeId,
    index: Index,
    term: u64,
    command: Vec<u8>,
}

/// Replicas connected by a simulated network.
struct Cluster {
    now: Duration,
    replicas: BTreeMap<NodeId, Replica>,
    /// Messages in flight, each with its time of arrival and receiver.
    queue: Vec<(Duration, NodeId, Message)>,
    /// Sender and receiver of each link that drops all messages.
    blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// Probability that a message is dropped, and that it is duplicated.
    fault_rate: f64,
    /// Messages arrive after 0.5 to 3 times this.
    base_delay: Duration,
    /// Duration of every disk write.
    write_time: Duration,
    /// Replicas whose disk is full, each with the time from which on it has room again.
    full_until: BTreeMap<NodeId, Duration>,
    rng: ChaCha8Rng,
    next_context: u64,
    /// Appended commands that are not yet committed.
    appended: Vec<Proposal>,
    /// Commands that were proposed and not appended, by context. Rejected ones stay.
    proposed: BTreeMap<u64, (NodeId, Vec<u8>)>,
    /// Commands that the replica which proposed them has applied, by index.
    acknowledged: BTreeMap<Index, Vec<u8>>,
    /// Commands that at least one replica applied, by index.
    applied_anywhere: BTreeMap<Index, Vec<u8>>,
    /// Number of configured peers, which are the replicas with the lowest ids.
    initial_peer_count: u64,
    max_voters: usize,
    /// Applies to replicas that start from now on.
    may_bootstrap: bool,
    /// Latest acknowledged index when each read began, by context. A read at a lower
    /// index is stale.
    min_read_index: BTreeMap<u64, Index>,
    /// Context of each finished read, and its index if it may be served.
    read_results: Vec<(u64, Option<Index>)>,
}

impl Cluster {
    fn new(size: u64, seed: u64) -> Self {
        Self::with_initial_peers(size, size, usize::MAX, seed)
    }

    fn with_initial_peers(
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
    fn add_replica(&mut self) -> NodeId {
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

    fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    fn start(&mut self, id: NodeId) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        let config = Config {
            id,
            store_id: replica.disk.store_id,
            peers: (1..=self.initial_peer_count).collect(),
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

    fn restart(&mut self, id: NodeId) {
        self.start(id);
    }

    /// Returns true if the replica is a learner in the leader's membership.
    fn is_learner(&mut self, id: NodeId) -> bool {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().learners.contains_key(&id)
    }

    /// Returns true if the leader's membership names the replica with its store.
    fn is_member(&mut self, id: NodeId) -> bool {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().contains(id, self.replicas[&id].disk.store_id)
    }

    /// Returns the voters in the leader's membership.
    fn voters(&mut self) -> Vec<NodeId> {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().voters.keys().copied().collect()
    }

    fn kill(&mut self, id: NodeId) {
        self.replicas.get_mut(&id).expect("replica exists").node = None;
        self.appended.retain(|p| p.node != id);
    }

    /// Replaces the disk by an empty one. The replica must not be running.
    fn lose_disk(&mut self, id: NodeId) {
        let store_id = self.rng.random();
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        replica.disk = Disk { store_id, restored: Restored::default() };
    }

    fn set_frozen(&mut self, id: NodeId, frozen: bool) {
        self.replicas.get_mut(&id).expect("replica exists").frozen = frozen;
    }

    fn isolate(&mut self, id: NodeId) {
        for other in self.ids() {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    fn unblock_links(&mut self) {
        self.blocked_links.clear();
    }

    fn step(&mut self, id: NodeId, event: Event) {
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

    fn execute(&mut self, id: NodeId, action: Action) {
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

    fn apply(&mut self, id: NodeId, index: Index, term: u64, payload: Payload) {
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

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
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

    fn run(&mut self, span: Duration) {
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

    fn is_writing(&self, id: NodeId) -> bool {
        self.now < self.replicas[&id].writing_until
    }

    /// Checks that at most one replica holds the leader lease.
    fn check_leases(&self) {
        let now = self.now;
        let holds = |r: &&Replica| r.node.as_ref().is_some_and(|n| n.has_lease(now));
        assert!(
            self.replicas.values().filter(holds).count() <= 1,
            "more than one leader lease at {now:?}"
        );
    }

    /// Returns the replica that holds the leader lease and is not frozen.
    fn leader(&self) -> Option<NodeId> {
        let now = self.now;
        let leads = |r: &Replica| !r.frozen && r.node.as_ref().is_some_and(|n| n.has_lease(now));
        self.replicas.iter().find(|(_, r)| leads(r)).map(|(id, _)| *id)
    }

    fn wait_for_leader(&mut self) -> NodeId {
        for _ in 0..1_000 {
            if let Some(id) = self.leader() {
                return id;
            }
            self.run(TICK);
        }
        panic!("no leader within 10 s");
    }

    fn propose(&mut self, id: NodeId, command: &[u8]) {
        self.next_context += 1;
        let context = self.next_context;
        self.proposed.insert(context, (id, command.to_vec()));
        self.step(id, Event::Propose { context, command: command.to_vec() });
    }

    /// Proposes a command, repeatedly if needed, until it is acknowledged.
    fn commit(&mut self, command: &[u8]) {
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

    fn compact(&mut self, id: NodeId) {
        let replica = &self.replicas[&id];
        let (index, data) = (replica.applied_to, postcard::to_stdvec(&replica.applied));
        self.step(id, Event::Compact { index, data: data.expect("state encodes") });
    }

    /// Starts a read on a replica and returns its context.
    fn read(&mut self, id: NodeId) -> u64 {
        self.next_context += 1;
        let context = self.next_context;
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        self.min_read_index.insert(context, newest);
        self.step(id, Event::Read { context });
        context
    }

    /// Checks that every acknowledged command was applied at its index, and that
    /// every read that may be served includes the commands acknowledged before it.
    fn check_history(&mut self) {
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
    fn end_faults_and_verify(&mut self) {
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

macro_rules! cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let mut cluster = Cluster::new($size, $seed);
                #[allow(clippy::redundant_closure_call)]
                ($run)(&mut cluster);
                cluster.end_faults_and_verify();
            }
        )+
    };
}

cases! {
    single_replica_commits: 1, 1 => |cluster: &mut Cluster| cluster.commit(b"a");
    three_replicas_commit: 3, 2 => |cluster: &mut Cluster| cluster.commit(b"a");
    five_replicas_commit: 5, 3 => |cluster: &mut Cluster| cluster.commit(b"a");
    leader_killed_during_an_append_loses_no_entry: 3, 4 => kill_leader_during_append;
    isolated_leader_steps_down: 3, 5 => isolate_leader;
    leader_that_receives_nothing_steps_down: 3, 6 => block_links_to_leader;
    resumed_leader_does_not_use_its_expired_lease: 3, 7 => freeze_leader;
    voter_that_lost_its_disk_does_not_vote: 3, 8 => lose_disk_of_voter;
    replica_promoted_after_disk_loss_holds_all_entries: 3, 9 => lose_disks_in_turn;
    majority_that_lost_its_disks_does_not_bootstrap: 3, 10 => lose_disks_of_majority;
    follower_behind_the_log_receives_a_snapshot: 3, 11 => compact_ahead_of_follower;
    leadership_is_transferred: 3, 12 => transfer;
    old_leader_holds_no_lease_after_a_transfer: 3, 17 => transfer_unnoticed;
    bootstrap_survives_a_restart_of_its_leader: 3, 13 => restart_during_bootstrap;
    restarted_voter_respects_the_lease: 3, 14 => restart_voter_under_lease;
    voter_that_lost_its_disk_does_not_vote_with_half_the_log: 3, 15 => receive_half_the_log;
    changes_commit_soon_after_disks_were_full_in_turn: 5, 18 => fill_disks_in_turn;
    changes_commit_soon_after_disks_of_three_were_full_in_turn: 3, 19 => fill_disks_in_turn;
    read_after_a_restart_is_not_served_by_an_earlier_reply: 3, 33 => delay_read_reply;
}

macro_rules! initial_peers_cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                // Three initial peers; five voters tolerate the loss of two.
                let mut cluster = Cluster::with_initial_peers($size, 3, 5, $seed);
                ($run)(&mut cluster);
                cluster.end_faults_and_verify();
            }
        )+
    };
}

initial_peers_cases! {
    cluster_grows_beyond_its_initial_peers: 5, 20 => grow;
    replicas_beyond_the_maximum_of_voters_stay_learners: 7, 21 => exceed_max_voters;
    silent_voter_is_replaced_by_a_learner: 6, 22 => replace_voter;
    initial_peers_that_may_not_bootstrap_form_no_cluster: 5, 23 => lose_initial_peers_without_bootstrap;
    join_request_to_a_follower_reaches_the_leader: 5, 24 => join_through_follower;
    initial_peers_killed_during_bootstrap_form_one_cluster: 5, 25 => kill_initial_peers_during_bootstrap;
    loss_of_two_disks_loses_no_entry: 5, 26 => lose_two_disks;
    promoted_learner_that_has_not_heard_of_it_votes: 5, 28 => promote_unnoticed;
    group_forms_on_disks_slower_than_the_election_timeout: 5, 29 => form_on_slow_disks;
    learner_whose_addition_was_overwritten_joins_again: 5, 30 => overwrite_addition;
    changes_commit_soon_after_disks_of_six_were_full_in_turn: 6, 31 => fill_disks_in_turn;
    changes_commit_soon_after_disks_of_seven_were_full_in_turn: 7, 32 => fill_disks_in_turn;
    removed_voter_joins_again_while_changes_go_on: 6, 34 => remove_voter_under_changes;
    removed_voter_with_a_full_disk_joins_again_while_changes_go_on: 6, 35 => remove_full_voter;
    removed_voter_whose_disk_hung_joins_again_in_time: 6, 38 => remove_hung_voter;
    losses_after_a_replacement_and_a_change_of_leader_leave_a_majority: 5, 39 => replace_across_leaders;
    losses_after_a_planned_replacement_leave_a_majority: 5, 36 => replace_then_lose_two;
    losses_after_a_planned_replacement_of_the_leader_leave_a_majority: 5, 37 => replace_leader_then_lose_two;
}

fn grow(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn exceed_max_voters(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(5));
    cluster.commit(b"a");
}

/// Kills a voter and, 4 s later, two more of the five. The cluster only has a
/// quorum then if a learner has replaced the first.
fn replace_voter(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let killed =
        cluster.voters().into_iter().find(|v| *v != leader).expect("cluster has another voter");
    cluster.kill(killed);
    cluster.run(Duration::from_secs(4));
    let voters = cluster.voters();
    expect_that!(voters.len(), eq(5));
    expect_that!(voters.contains(&killed), eq(false));
    let leader = cluster.wait_for_leader();
    let further: Vec<_> = voters.into_iter().filter(|v| *v != leader).take(2).collect();
    for id in &further {
        cluster.kill(*id);
    }
    cluster.commit(b"after three losses");
}

fn lose_initial_peers_without_bootstrap(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"a");
    cluster.may_bootstrap = false;
    for id in 1..=3 {
        cluster.kill(id);
        cluster.lose_disk(id);
        cluster.restart(id);
    }
    cluster.isolate(4);
    cluster.isolate(5);
    cluster.run(Duration::from_secs(10));
    for id in 1..=3 {
        let node = cluster.replicas[&id].node.as_ref().expect("replica is running");
        expect_that!(node.role(), not(eq(Role::Leader)));
    }
    // The log is lost with the disks of a majority, so the final check runs on a
    // new cluster.
    *cluster = Cluster::with_initial_peers(5, 3, 5, 27);
}

fn join_through_follower(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let joiner =
        cluster.ids().into_iter().rfind(|id| *id != leader).expect("cluster has five replicas");
    cluster.kill(joiner);
    cluster.lose_disk(joiner);
    // Its join requests reach only followers.
    cluster.blocked_links.insert((joiner, leader));
    cluster.restart(joiner);
    cluster.run(Duration::from_secs(2));
    cluster.blocked_links.clear();
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.voters().contains(&joiner), eq(true));
}

fn kill_initial_peers_during_bootstrap(cluster: &mut Cluster) {
    for round in 0..10 {
        let id = 1 + round % 3;
        cluster.run(Duration::from_millis(30));
        cluster.kill(id);
        cluster.run(Duration::from_millis(30));
        cluster.restart(id);
    }
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(5));
}

/// Replaces the leader after it has added a learner, which only that learner has heard of.
fn overwrite_addition(cluster: &mut Cluster) {
    let old = cluster.wait_for_leader();
    for id in (1..=3).filter(|id| *id != old) {
        cluster.blocked_links.insert((old, id));
    }
    let names_learner = |cluster: &Cluster, id: &NodeId| {
        let node = cluster.replicas[id].node.as_ref().expect("replica is running");
        !node.members().learners.is_empty()
    };
    while ![4, 5].iter().any(|id| names_learner(cluster, id)) {
        cluster.run(TICK);
    }
    cluster.isolate(old);
    let heard = (1..=3).filter(|id| names_learner(cluster, id));
    expect_that!(heard.collect::<Vec<_>>(), eq(&[old]));
    cluster.run(ELECTION_TIMEOUT * 4);
    expect_that!(cluster.wait_for_leader(), not(eq(old)));
    cluster.unblock_links();
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn form_on_slow_disks(cluster: &mut Cluster) {
    cluster.write_time = ELECTION_TIMEOUT * 6 / 5;
    cluster.run(Duration::from_secs(25));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
    cluster.commit(b"a");
}

/// Disks are full one after the other, never two at once, while changes go on; that of the
/// leader, too. Voters that are silent for so long may be replaced.
fn fill_disks_in_turn(cluster: &mut Cluster) {
    const FULL_TIME: Duration = Duration::from_millis(3_500);
    const PAUSE: Duration = Duration::from_millis(700);
    /// Within which a change must be acknowledged.
    const ACK_TIME: Duration = Duration::from_secs(4);
    cluster.run(Duration::from_secs(10));
    cluster.commit(b"before");
    let voters = cluster.voters().len();
    let ids = cluster.ids();
    let mut change = 0_u32;
    for turn in 0..2 * ids.len() {
        // Every other one is the leader's.
        let id = if turn % 2 == 0 { cluster.wait_for_leader() } else { ids[turn / 2] };
        cluster.full_until.insert(id, cluster.now + FULL_TIME);
        let end = cluster.now + FULL_TIME + PAUSE;
        while cluster.now < end {
            change += 1;
            for at in cluster.ids() {
                cluster.propose(at, &change.to_le_bytes());
            }
            cluster.run(Duration::from_millis(100));
        }
    }
    for _ in 0..20 {
        change += 1;
        let begun = cluster.now;
        cluster.commit(&change.to_le_bytes());
        expect_that!(cluster.now.saturating_sub(begun), lt(ACK_TIME));
    }
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(voters));
}

/// Time after which a replica that is back counts as whole.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time until a replica is connected again after its connections ended.
const RECONNECT_TIME: Duration = Duration::from_millis(300);

/// Commits a change every 100 ms.
fn change_for(cluster: &mut Cluster, span: Duration) {
    let end = cluster.now + span;
    while cluster.now < end {
        let leader = cluster.wait_for_leader();
        let change = cluster.now.as_millis().to_le_bytes();
        cluster.propose(leader, &change);
        cluster.run(Duration::from_millis(100));
    }
}

/// A voter is frozen for long enough to be replaced by the learner, and to lose its connections:
/// what it sends first is lost.
fn remove_voter_under_changes(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let voters = cluster.voters();
    let silent = voters.iter().copied().find(|id| *id != leader).expect("another voter");
    cluster.set_frozen(silent, true);
    change_for(cluster, Duration::from_secs(4));
    expect_that!(cluster.voters().contains(&silent), eq(false), "it was replaced");
    cluster.set_frozen(silent, false);
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != silent).collect();
    cluster.blocked_links.extend(others.iter().map(|id| (silent, *id)));
    change_for(cluster, RECONNECT_TIME);
    cluster.unblock_links();
    change_for(cluster, CATCH_UP_TIME.saturating_sub(RECONNECT_TIME));
    expect_that!(cluster.is_member(silent), eq(true));
}

/// The disk of a voter is full for long enough for it to be replaced, and some messages to it
/// are lost.
fn remove_full_voter(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let voters = cluster.voters();
    let full = voters.iter().copied().find(|id| *id != leader).expect("another voter");
    cluster.full_until.insert(full, cluster.now + Duration::from_secs(4));
    change_for(cluster, Duration::from_secs(1));
    cluster.blocked_links.extend(voters.iter().map(|id| (*id, full)));
    change_for(cluster, RECONNECT_TIME);
    cluster.unblock_links();
    change_for(cluster, Duration::from_secs(3));
    expect_that!(cluster.voters().contains(&full), eq(false), "it was replaced");
    change_for(cluster, CATCH_UP_TIME);
    expect_that!(cluster.is_member(full), eq(true));
}

/// The disk of a voter hangs in one write, for long enough for the voter to be replaced.
fn remove_hung_voter(cluster: &mut Cluster) {
    for round in 0..4_u8 {
        cluster.run(Duration::from_secs(10));
        let leader = cluster.wait_for_leader();
        let voters = cluster.voters();
        let hung = voters.iter().copied().find(|id| *id != leader).expect("another voter");
        cluster.full_until.insert(hung, cluster.now + Duration::from_secs(4));
        cluster.commit(&[round]);
        let back_at = cluster.replicas[&hung].writing_until;
        // A message to it is lost meanwhile, and it has nothing to write afterwards.
        cluster.blocked_links.extend(voters.iter().map(|id| (*id, hung)));
        cluster.run(back_at.saturating_sub(cluster.now));
        cluster.unblock_links();
        expect_that!(cluster.voters().contains(&hung), eq(false), "it was replaced");
        cluster.run((back_at + CATCH_UP_TIME).saturating_sub(cluster.now));
        expect_that!(cluster.is_member(hung), eq(true), "round {round}");
    }
}

/// A replica is gone for good; the leader is lost soon after the successor has started.
fn replace_across_leaders(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let old = cluster.ids().into_iter().find(|id| *id != leader).expect("another replica");
    cluster.kill(old);
    cluster.run(Duration::from_secs(1));
    let whole_at = cluster.now + CATCH_UP_TIME;
    let further = cluster.add_replica();
    cluster.run(Duration::from_millis(1_300));
    cluster.kill(leader);
    cluster.lose_disk(leader);
    cluster.run(whole_at.saturating_sub(cluster.now));
    let lost = [old, leader, further];
    let other = cluster.ids().into_iter().find(|id| !lost.contains(id)).expect("another replica");
    cluster.kill(other);
    cluster.lose_disk(other);
    cluster.run(Duration::from_secs(1));
    cluster.restart(leader);
    cluster.restart(other);
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"after the losses");
}

fn replace_then_lose_two(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let old = cluster.ids().into_iter().rfind(|id| *id != leader).expect("another replica");
    replace_and_lose_two(cluster, old);
}

fn replace_leader_then_lose_two(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    replace_and_lose_two(cluster, leader);
}

/// Starts a further replica, then stops `old` for good. Once the further one counts as whole,
/// two others lose their disks.
fn replace_and_lose_two(cluster: &mut Cluster, old: NodeId) {
    const STOP_TIME: Duration = Duration::from_millis(300);
    let started = cluster.now;
    let further = cluster.add_replica();
    cluster.run(Duration::from_secs(3));
    cluster.step(old, Event::Stop);
    cluster.run(STOP_TIME);
    cluster.kill(old);
    let whole_at = started + CATCH_UP_TIME;
    cluster.run(whole_at.saturating_sub(cluster.now));
    let others: Vec<_> =
        cluster.ids().into_iter().filter(|id| ![old, further].contains(id)).take(2).collect();
    for id in &others {
        cluster.kill(*id);
        cluster.lose_disk(*id);
    }
    cluster.run(Duration::from_secs(1));
    for id in others {
        cluster.restart(id);
    }
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"after the losses");
}

/// A follower restarts while the reply to a read of its earlier run is on its way.
fn delay_read_reply(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let leader = cluster.wait_for_leader();
    let follower = cluster.ids().into_iter().find(|id| *id != leader).expect("another replica");
    cluster.read(follower);
    let is_reply = |(_, to, message): &mut (Duration, NodeId, Message)| {
        *to == follower && matches!(message.body, Body::ReadIndexReply { .. })
    };
    let mut delayed = Vec::new();
    while delayed.is_empty() {
        cluster.run(TICK);
        delayed = cluster.queue.extract_if(.., is_reply).collect();
    }
    cluster.commit(b"after");
    cluster.kill(follower);
    cluster.restart(follower);
    cluster.run(Duration::from_secs(1));
    let read = cluster.read(follower);
    for (_, to, message) in delayed {
        cluster.step(to, Event::Message(message));
    }
    cluster.run(Duration::from_secs(1));
    cluster.check_history();
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(true));
}

/// Promotes a learner that does not receive the entry of its promotion, then loses
/// the disks of two other voters. The remaining three voters can elect a leader
/// only if the promoted replica grants its vote.
fn promote_unnoticed(cluster: &mut Cluster) {
    let last = 5;
    cluster.wait_for_leader();
    while !cluster.is_learner(last) {
        cluster.run(TICK);
    }
    // Time for one reply to the leader. From now on it receives nothing.
    cluster.run(Duration::from_millis(30));
    for id in 1..last {
        cluster.blocked_links.insert((id, last));
    }
    while cluster.voters().len() < 5 {
        cluster.run(TICK);
    }
    cluster.isolate(last);
    cluster.commit(b"acknowledged");
    let leader = cluster.wait_for_leader();
    let behind =
        cluster.replicas[&last].node.as_ref().expect("replica is running").members().voters.len();
    expect_that!(behind, lt(5), "the promoted replica has received its promotion");
    let other = (1..=4).find(|id| *id != leader).expect("replicas 1 to 4 include a follower");
    for id in [leader, other] {
        cluster.kill(id);
        cluster.lose_disk(id);
    }
    cluster.unblock_links();
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"by the three remaining voters");
}

fn lose_two_disks(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    for round in 0..5_u8 {
        cluster.commit(&[round]);
        let leader = cluster.wait_for_leader();
        let other =
            cluster.ids().into_iter().find(|id| *id != leader).expect("cluster has five replicas");
        for id in [leader, other] {
            cluster.kill(id);
            cluster.lose_disk(id);
        }
        cluster.run(Duration::from_millis(500));
        cluster.restart(leader);
        cluster.restart(other);
        cluster.run(Duration::from_secs(8));
    }
}

fn kill_leader_during_append(cluster: &mut Cluster) {
    for round in 0..5_u8 {
        let leader = cluster.wait_for_leader();
        cluster.propose(leader, &[round, 0]);
        cluster.run(TICK);
        cluster.propose(leader, &[round, 1]);
        cluster.kill(leader);
        cluster.commit(&[round, 2]);
        cluster.restart(leader);
    }
}

fn isolate_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    cluster.isolate(old);
    cluster.propose(old, b"never acknowledged");
    cluster.run(ELECTION_TIMEOUT);
    let read = cluster.read(old);
    cluster.commit(b"after");
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.replicas[&old].node.as_ref().map(Raft::role), not(some(eq(Role::Leader))));
    let term = cluster.replicas[&old].node.as_ref().map(Raft::term);
    cluster.unblock_links();
    cluster.run(Duration::from_secs(2));
    // Pre-vote kept the isolated replica from raising its term.
    let leader = cluster.wait_for_leader();
    expect_that!(term, le(cluster.replicas[&leader].node.as_ref().map(Raft::term)));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
    let acknowledged = cluster.acknowledged.values().any(|c| c == b"never acknowledged");
    expect_that!(acknowledged, eq(false));
}

fn block_links_to_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(5));
    // It gets no replies from a quorum, so it must step down, although its own
    // heartbeats still arrive.
    cluster.commit(b"after");
    expect_that!(cluster.wait_for_leader(), not(eq(old)));
}

fn freeze_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    cluster.set_frozen(old, true);
    cluster.commit(b"during");
    cluster.set_frozen(old, false);
    // It must notice that its lease has expired before any message reaches it.
    let read = cluster.read(old);
    cluster.propose(old, b"late");
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
}

fn lose_disk_of_voter(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let diskless =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(diskless);
    cluster.commit(b"b");
    cluster.lose_disk(diskless);
    // Leaves only the replica that lost its disk and one other follower.
    let other_follower = cluster
        .ids()
        .into_iter()
        .find(|id| *id != leader && *id != diskless)
        .expect("another follower exists");
    cluster.isolate(other_follower);
    cluster.run(Duration::from_secs(1));
    cluster.kill(leader);
    cluster.unblock_links();
    cluster.restart(diskless);
    cluster.run(Duration::from_secs(10));
    // The replica that lost its disk must not have voted.
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

fn lose_disks_in_turn(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    for n in 0..3_000_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    for diskless in [1, 2, 3, 1] {
        cluster.kill(diskless);
        cluster.lose_disk(diskless);
        cluster.commit(&diskless.to_le_bytes());
        cluster.restart(diskless);
        // The next disk is lost as soon as this replica is a voter again.
        for _ in 0..1_000 {
            let leader = cluster.wait_for_leader();
            let members = cluster.replicas[&leader].node.as_ref().map(|n| n.members().clone());
            let store_id = cluster.replicas[&diskless].disk.store_id;
            if members.is_some_and(|m| m.is_voter(diskless, store_id)) {
                let newest = cluster.acknowledged.keys().next_back().copied();
                let held = cluster.replicas[&diskless]
                    .node
                    .as_ref()
                    .map(|n| n.log().last_position().index);
                expect_that!(held, ge(newest), "a voter lacks acknowledged entries");
                break;
            }
            cluster.run(TICK);
        }
    }
}

fn lose_disks_of_majority(cluster: &mut Cluster) {
    cluster.commit(b"a");
    cluster.run(Duration::from_secs(1));
    cluster.kill(1);
    cluster.kill(2);
    let kept = (cluster.replicas[&1].disk.clone(), cluster.replicas[&2].disk.clone());
    cluster.lose_disk(1);
    cluster.lose_disk(2);
    cluster.restart(1);
    cluster.restart(2);
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.leader(), none());
    expect_that!(
        cluster.replicas[&3].node.as_ref().map(|n| n.log().last_position().index),
        some(gt(0))
    );
    // Restores the disks, so that the final check can run.
    for (id, disk) in [(1, kept.0), (2, kept.1)] {
        cluster.kill(id);
        cluster.replicas.get_mut(&id).expect("replica exists").disk = disk;
        cluster.restart(id);
    }
}

fn compact_ahead_of_follower(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let lagging =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(lagging);
    for n in 0..50_u8 {
        cluster.commit(&[n]);
    }
    for id in cluster.ids() {
        if id != lagging {
            cluster.compact(id);
        }
    }
    cluster.commit(b"tail");
    cluster.restart(lagging);
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.replicas[&lagging].applied, eq(&cluster.replicas[&leader].applied));
    cluster.kill(lagging);
    cluster.restart(lagging);
}

fn transfer(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::Stop);
    cluster.run(Duration::from_millis(100));
    let new = cluster.leader();
    expect_that!(new, some(not(eq(old))));
    cluster.commit(b"b");
}

fn transfer_unnoticed(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::Stop);
    // The old leader does not learn that its successor was elected.
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(1));
    cluster.commit(b"b");
}

fn restart_during_bootstrap(cluster: &mut Cluster) {
    // Replica 1, which bootstraps the cluster because it has the lowest id, restarts
    // before its first entry reaches another replica.
    for _ in 0..200 {
        cluster.run(TICK);
        if cluster.replicas[&1].node.as_ref().is_some_and(|n| n.log().last_position().index > 0) {
            break;
        }
    }
    cluster.queue.clear();
    cluster.kill(1);
    cluster.run(Duration::from_secs(1));
    cluster.restart(1);
    cluster.commit(b"a");
}

fn restart_voter_under_lease(cluster: &mut Cluster) {
    cluster.commit(b"a");
    for offset in 0..100 {
        let leader = cluster.wait_for_leader();
        let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
        let (candidate, voter) = (others[0], others[1]);
        cluster.blocked_links.insert((leader, candidate));
        cluster.blocked_links.insert((candidate, leader));
        cluster.run(TICK * offset);
        // Only the replies of this voter uphold the leader's lease. The voter
        // restarts and is then asked for its vote, at varying times after the
        // leader's latest heartbeat.
        cluster.isolate(leader);
        cluster.kill(voter);
        cluster.restart(voter);
        cluster.run(ELECTION_TIMEOUT);
        cluster.unblock_links();
        cluster.run(ELECTION_TIMEOUT * 4);
    }
}

fn receive_half_the_log(cluster: &mut Cluster) {
    cluster.commit(b"start");
    let leader = cluster.wait_for_leader();
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let (behind, diskless) = (others[0], others[1]);
    cluster.isolate(behind);
    // More entries than fit into one message. The replica that lost its disk thus
    // receives the first membership, which names it as a voter, before the later
    // one, which does not.
    for n in 0..1_500_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    let acknowledged = cluster.acknowledged.len();
    cluster.kill(diskless);
    cluster.lose_disk(diskless);
    cluster.restart(diskless);
    for _ in 0..1_000 {
        cluster.run(Duration::from_millis(1));
        if cluster.replicas[&diskless].node.as_ref().is_some_and(|n| !n.log().is_empty()) {
            break;
        }
    }
    cluster.kill(leader);
    cluster.queue.clear();
    cluster.unblock_links();
    cluster.run(Duration::from_secs(10));
    expect_that!(acknowledged, gt(1_500));
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

/// Two voters lose their disks at the same time, in groups of different sizes.
#[gtest]
fn only_groups_that_survive_two_losses_recover_from_them() {
    for size in 3..=6 {
        let mut cluster = Cluster::new(size, 30 + size);
        cluster.commit(b"a");
        let leader = cluster.wait_for_leader();
        let node = cluster.replicas[&leader].node.as_ref().expect("replica is running");
        let survives = node.members().survives(2);
        for id in [1, 2] {
            cluster.kill(id);
            cluster.lose_disk(id);
        }
        cluster.run(Duration::from_millis(500));
        cluster.restart(1);
        cluster.restart(2);
        cluster.run(Duration::from_secs(10));
        expect_that!(cluster.leader().is_some(), eq(survives), "{size} voters");
    }
}

/// Asks a voter for its vote in the same term for two candidates, with a restart in
/// between. It must grant only one.
#[gtest]
fn vote_survives_a_restart() {
    let mut cluster = Cluster::new(3, 16);
    cluster.commit(b"a");
    let voter = cluster
        .ids()
        .into_iter()
        .find(|id| Some(*id) != cluster.leader())
        .expect("another replica exists");
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != voter).collect();
    cluster.isolate(voter);
    cluster.run(Duration::from_secs(3));
    let mut grants = 0;
    for candidate in others {
        let last = cluster.replicas[&voter].disk.restored.entries.last().map(|e| e.position);
        let body = Body::Vote { last: last.expect("voter holds entries"), transfer: false };
        let store_id = cluster.replicas[&candidate].disk.store_id;
        let message = Message { from: candidate, store_id, term: 1_000, body };
        let replica = cluster.replicas.get_mut(&voter).expect("replica exists");
        let node = replica.node.as_mut().expect("replica is running");
        for action in node.step(Event::Message(message), cluster.now) {
            match action {
                Action::Persist(write) => replica.disk.write(write),
                Action::Send { message, .. } => {
                    grants += u32::from(message.body == Body::VoteReply { granted: true });
                }
                _ => {}
            }
        }
        cluster.kill(voter);
        cluster.restart(voter);
        cluster.run(Duration::from_secs(3));
    }
    expect_that!(grants, eq(1));
}

/// Runs random sequences of kills, freezes, partitions, lost and duplicated
/// messages, and snapshots. `HORNBEAMDOCK_SEEDS` sets the number of seeds and
/// `HORNBEAMDOCK_SEED` the first. After a failure, the last seed printed is the one
/// that failed.
#[gtest]
fn random_faults_lose_nothing() {
    let count = env::var("HORNBEAMDOCK_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let first = env::var("HORNBEAMDOCK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    for seed in first..first + count {
        println!("seed {seed}");
        random_faults(seed);
    }
}

fn random_faults(seed: u64) {
    let size = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut cluster = Cluster::new(size, seed);
    cluster.commit(b"start");
    cluster.fault_rate = 0.05;
    for round in 0..60_u64 {
        let id = cluster.rng.random_range(1..=size);
        let down = cluster.replicas.values().filter(|r| r.node.is_none() || r.frozen).count();
        let may_stop_another = down < if size == 3 { 1 } else { 2 };
        match cluster.rng.random_range(0..9) {
            0 if may_stop_another => cluster.kill(id),
            1 if may_stop_another => cluster.set_frozen(id, true),
            2 => cluster.isolate(id),
            3 => {
                let other = cluster.rng.random_range(1..=size);
                cluster.blocked_links.insert((id, other));
            }
            4 | 5 => {
                cluster.unblock_links();
                for id in cluster.ids() {
                    cluster.set_frozen(id, false);
                    if cluster.replicas[&id].node.is_none() {
                        cluster.restart(id);
                    }
                }
            }
            6 => cluster.compact(id),
            _ => {
                cluster.read(id);
            }
        }
        for at in cluster.ids() {
            cluster.propose(at, &round.to_le_bytes());
        }
        let span = cluster.rng.random_range(10..400);
        cluster.run(Duration::from_millis(span));
        cluster.check_history();
    }
    cluster.end_faults_and_verify();
}
