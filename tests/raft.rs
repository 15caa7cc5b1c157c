//! The replicated log under lost, late, doubled and reordered messages, cuts,
//! frozen and killed replicas, and lost disks.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::raft::{
    Action, Body, Config, DurableWrite, Event, Index, Message, NodeId, Payload, Raft, Restored,
    Role, StoreId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(10);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Disk of a replica: what was made durable.
#[derive(Clone, Default)]
struct Disk {
    store: StoreId,
    restored: Restored,
}

impl Disk {
    fn write(&mut self, change: DurableWrite) {
        match change {
            DurableWrite::HardState(hard_state) => self.restored.hard_state = hard_state,
            DurableWrite::Append(entries) => self.restored.entries.extend(entries),
            DurableWrite::Truncate(first) => {
                self.restored.entries.retain(|e| e.position.index < first);
            }
            DurableWrite::InstallSnapshot(snapshot) => {
                let index = snapshot.position.index;
                self.restored.entries.retain(|e| e.position.index > index);
                self.restored.snapshot = Some(snapshot);
            }
        }
    }
}

/// One replica: its machine while it runs, its disk, and what it applied.
struct Replica {
    node: Option<Raft>,
    disk: Disk,
    frozen: bool,
    applied: BTreeMap<Index, Vec<u8>>,
    applied_to: Index,
}

/// A command that was proposed and where it was appended.
struct Proposal {
    node: NodeId,
    index: Index,
    term: u64,
    command: Vec<u8>,
}

/// Replicas joined by a queue that can drop, delay, double, reorder and cut.
struct Cluster {
    now: Duration,
    replicas: BTreeMap<NodeId, Replica>,
    queue: Vec<(Duration, NodeId, Message)>,
    blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// Share of messages dropped, and doubled.
    fault_rate: f64,
    base_delay: Duration,
    rng: ChaCha8Rng,
    next_context: u64,
    undecided: Vec<Proposal>,
    unplaced: BTreeMap<u64, (NodeId, Vec<u8>)>,
    /// Commands acknowledged to a client, by index.
    acknowledged: BTreeMap<Index, Vec<u8>>,
    /// Commands that any replica applied, by index.
    applied_anywhere: BTreeMap<Index, Vec<u8>>,
    /// Replicas that the settings name; the lowest ids.
    seed_count: u64,
    /// Most voters.
    max_voters: usize,
    /// Whether the settings allow to form a group.
    may_bootstrap: bool,
    read_floors: BTreeMap<u64, Index>,
    read_results: Vec<(u64, Option<Index>)>,
}

impl Cluster {
    fn new(size: u64, seed: u64) -> Self {
        Self::with_seeds(size, size, usize::MAX, seed)
    }

    fn with_seeds(size: u64, seed_count: u64, max_voters: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            queue: Vec::new(),
            blocked_links: BTreeSet::new(),
            fault_rate: 0.0,
            base_delay: Duration::from_millis(5),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_context: 1,
            undecided: Vec::new(),
            unplaced: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            applied_anywhere: BTreeMap::new(),
            seed_count,
            max_voters,
            may_bootstrap: true,
            read_floors: BTreeMap::new(),
            read_results: Vec::new(),
        };
        for id in &(1..=size).collect::<Vec<_>>() {
            let replica = Replica {
                node: None,
                disk: Disk::default(),
                frozen: false,
                applied: BTreeMap::new(),
                applied_to: 0,
            };
            cluster.replicas.insert(*id, replica);
            cluster.lose_disk(*id);
            cluster.start(*id);
        }
        cluster
    }

    fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    fn start(&mut self, id: NodeId) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        let config = Config {
            id,
            store: replica.disk.store,
            peers: (1..=self.seed_count).collect(),
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
        replica.node = Some(Raft::new(config, replica.disk.restored.clone(), now));
    }

    fn restart(&mut self, id: NodeId) {
        self.start(id);
    }

    /// Returns true if the leader knows a replica as a follower without a vote.
    fn is_learner(&mut self, id: NodeId) -> bool {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().learners.contains_key(&id)
    }

    /// Returns the voters that the leader knows.
    fn voters(&mut self) -> Vec<NodeId> {
        let leader = self.wait_for_leader();
        let node = self.replicas[&leader].node.as_ref().expect("replica is running");
        node.members().voters.keys().copied().collect()
    }

    fn kill(&mut self, id: NodeId) {
        self.replicas.get_mut(&id).expect("replica exists").node = None;
        self.undecided.retain(|p| p.node != id);
    }

    fn lose_disk(&mut self, id: NodeId) {
        let store = self.rng.random();
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        replica.disk = Disk { store, restored: Restored::default() };
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

    fn heal(&mut self) {
        self.blocked_links.clear();
    }

    fn step(&mut self, id: NodeId, event: Event) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("replica exists");
        let Some(node) = replica.node.as_mut().filter(|_| !replica.frozen) else {
            return;
        };
        let actions = node.step(event, now);
        for action in &actions {
            if let Action::Persist(change) = action {
                replica.disk.write(change.clone());
            }
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
                if let Some((node, command)) = self.unplaced.remove(&context) {
                    let (index, term) = (position.index, position.term);
                    self.undecided.push(Proposal { node, index, term, command });
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
        assert_eq!(index, replica.applied_to + 1, "entries are applied in order");
        replica.applied_to = index;
        let command = match payload {
            Payload::Command(command) => command,
            Payload::Noop | Payload::Members(_) => Vec::new(),
        };
        replica.applied.insert(index, command.clone());
        let first = self.applied_anywhere.entry(index).or_insert_with(|| command.clone());
        assert_eq!(*first, command, "index {index} was applied with other content elsewhere");
        let decided =
            self.undecided.iter().position(|p| p.node == id && p.index == index && p.term == term);
        if let Some(at) = decided {
            let proposal = self.undecided.swap_remove(at);
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
            self.queue.push((self.now + delay, to, message.clone()));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            let mut due: Vec<_> = self.queue.extract_if(.., |(at, _, _)| *at <= now).collect();
            due.sort_by_key(|(at, _, _)| *at);
            for (_, to, message) in due {
                self.step(to, Event::Message(message));
            }
            for id in self.ids() {
                self.step(id, Event::Tick);
            }
            self.check_leases();
        }
    }

    /// At no time may two replicas hold a lease.
    fn check_leases(&self) {
        let now = self.now;
        let holds = |r: &&Replica| r.node.as_ref().is_some_and(|n| n.has_lease(now));
        assert!(self.replicas.values().filter(holds).count() <= 1, "two leases at {now:?}");
    }

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
        panic!("no leader after 10 s");
    }

    fn propose(&mut self, id: NodeId, command: &[u8]) {
        self.next_context += 1;
        let context = self.next_context;
        self.unplaced.insert(context, (id, command.to_vec()));
        self.step(id, Event::Propose { context, command: command.to_vec() });
    }

    /// Proposes until the command is acknowledged.
    fn commit(&mut self, command: &[u8]) {
        for _ in 0..100 {
            let leader = self.wait_for_leader();
            self.propose(leader, command);
            self.run(Duration::from_millis(200));
            if self.acknowledged.values().any(|c| c == command) {
                return;
            }
        }
        panic!("not committed");
    }

    fn compact(&mut self, id: NodeId) {
        let replica = &self.replicas[&id];
        let (index, data) = (replica.applied_to, postcard::to_stdvec(&replica.applied));
        self.step(id, Event::Compact { index, data: data.expect("state encodes") });
    }

    /// Asks a replica for a read, and returns its number.
    fn read(&mut self, id: NodeId) -> u64 {
        self.next_context += 1;
        let context = self.next_context;
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        self.read_floors.insert(context, newest);
        self.step(id, Event::Read { context });
        context
    }

    /// Every acknowledged command must be in every replica that is up to date,
    /// and every read must have seen what was acknowledged before it.
    fn check_history(&mut self) {
        for (index, command) in &self.acknowledged {
            assert_eq!(self.applied_anywhere.get(index), Some(command), "lost index {index}");
        }
        for (context, index) in &self.read_results {
            if let Some(index) = index {
                assert!(*index >= self.read_floors[context], "read {context} was stale");
            }
        }
    }

    /// Heals everything and checks that all replicas agree in the end.
    fn heal_and_verify(&mut self) {
        self.heal();
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
            assert!(replica.applied_to >= newest, "{id} lags at {}", replica.applied_to);
            for (index, command) in &self.acknowledged {
                assert_eq!(replica.applied.get(index), Some(command), "{id} lost {index}");
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
                cluster.heal_and_verify();
            }
        )+
    };
}

cases! {
    single_replica_commits: 1, 1 => |cluster: &mut Cluster| cluster.commit(b"a");
    three_replicas_commit: 3, 2 => |cluster: &mut Cluster| cluster.commit(b"a");
    five_replicas_commit: 5, 3 => |cluster: &mut Cluster| cluster.commit(b"a");
    leader_killed_in_the_middle_of_an_append: 3, 4 => leader_killed;
    leader_cut_off_for_long: 3, 5 => leader_cut_off;
    leader_cut_off_one_way: 3, 6 => leader_cut_one_way;
    frozen_leader_wakes_up: 3, 7 => frozen_leader;
    emptied_voter_returns_under_its_id: 3, 8 => emptied_voter;
    second_disk_lost_straight_after_a_repair: 3, 9 => second_loss;
    emptied_majority_does_not_form_a_new_group: 3, 10 => emptied_majority;
    follower_behind_the_log_gets_a_snapshot: 3, 11 => snapshot;
    leadership_is_handed_over: 3, 12 => hand_over;
    old_leader_that_hears_no_more_holds_no_lease: 3, 17 => hand_over_unheard;
    formation_survives_a_restart_of_its_founder: 3, 13 => founder_restarts;
    restarted_voter_keeps_its_promise_to_the_leader: 3, 14 => restarted_voter;
    emptied_voter_with_half_the_log_does_not_vote: 3, 15 => half_a_log;
}

macro_rules! seeded_cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                // Three seeds, and two losses to be borne.
                let mut cluster = Cluster::with_seeds($size, 3, 5, $seed);
                ($run)(&mut cluster);
                cluster.heal_and_verify();
            }
        )+
    };
}

seeded_cases! {
    group_grows_beyond_its_seeds: 5, 20 => grows;
    replicas_beyond_the_voters_only_follow: 7, 21 => surplus_follows;
    silent_voter_gives_way_to_a_follower: 6, 22 => voter_replaced;
    replica_that_may_not_found_forms_no_group: 5, 23 => no_second_founding;
    joiner_that_knows_only_a_follower_gets_in: 5, 24 => joins_by_follower;
    killed_seeds_form_one_group: 5, 25 => killed_while_forming;
    two_emptied_disks_lose_nothing: 5, 26 => two_emptied;
    voter_that_has_not_heard_of_it_votes: 5, 28 => unheard_promotion;
}

fn grows(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn surplus_follows(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(5));
    cluster.commit(b"a");
}

/// The group must bear two further losses 4 s after one was replaced.
fn voter_replaced(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let lost =
        cluster.voters().into_iter().find(|v| *v != leader).expect("cluster has five replicas");
    cluster.kill(lost);
    cluster.run(Duration::from_secs(4));
    let voters = cluster.voters();
    expect_that!(voters.len(), eq(5));
    expect_that!(voters.contains(&lost), eq(false));
    let leader = cluster.wait_for_leader();
    let further: Vec<_> = voters.into_iter().filter(|v| *v != leader).take(2).collect();
    for id in &further {
        cluster.kill(*id);
    }
    cluster.commit(b"after three losses");
}

fn no_second_founding(cluster: &mut Cluster) {
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
    // What a majority of the disks held is gone for good: start over.
    *cluster = Cluster::with_seeds(5, 3, 5, 27);
}

fn joins_by_follower(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let joiner =
        cluster.ids().into_iter().rfind(|id| *id != leader).expect("cluster has five replicas");
    cluster.kill(joiner);
    cluster.lose_disk(joiner);
    // Its question reaches the followers only.
    cluster.blocked_links.insert((joiner, leader));
    cluster.restart(joiner);
    cluster.run(Duration::from_secs(2));
    cluster.blocked_links.clear();
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.voters().contains(&joiner), eq(true));
}

fn killed_while_forming(cluster: &mut Cluster) {
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

/// The last replica is made a voter, and what it lacks is exactly that word when
/// two others lose their disks.
fn unheard_promotion(cluster: &mut Cluster) {
    let last = 5;
    cluster.wait_for_leader();
    while !cluster.is_learner(last) {
        cluster.run(TICK);
    }
    // It has answered the leader once, and hears nothing more.
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
    expect_that!(behind, lt(5), "it has heard already");
    let other = (1..=4).find(|id| *id != leader).expect("cluster has four other replicas");
    for id in [leader, other] {
        cluster.kill(id);
        cluster.lose_disk(id);
    }
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"by the three that are left");
}

fn two_emptied(cluster: &mut Cluster) {
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

fn leader_killed(cluster: &mut Cluster) {
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

fn leader_cut_off(cluster: &mut Cluster) {
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
    cluster.heal();
    cluster.run(Duration::from_secs(2));
    // Pre-vote kept the isolated replica from raising its term.
    let leader = cluster.wait_for_leader();
    expect_that!(term, le(cluster.replicas[&leader].node.as_ref().map(Raft::term)));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
    let lost = cluster.acknowledged.values().any(|c| c == b"never acknowledged");
    expect_that!(lost, eq(false));
}

fn leader_cut_one_way(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(5));
    // It can't hear a quorum, so it must have given way, though its heartbeats
    // arrive for a while.
    cluster.commit(b"after");
    expect_that!(cluster.wait_for_leader(), not(eq(old)));
}

fn frozen_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    cluster.set_frozen(old, true);
    cluster.commit(b"during");
    cluster.set_frozen(old, false);
    // Before any message reaches it, it must know that its lease has ended.
    let read = cluster.read(old);
    cluster.propose(old, b"late");
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
}

fn emptied_voter(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let victim =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(victim);
    cluster.commit(b"b");
    cluster.lose_disk(victim);
    // Only the emptied replica and one that misses "b" may talk.
    let third = cluster
        .ids()
        .into_iter()
        .find(|id| *id != leader && *id != victim)
        .expect("third replica exists");
    cluster.isolate(third);
    cluster.run(Duration::from_secs(1));
    cluster.kill(leader);
    cluster.heal();
    cluster.restart(victim);
    cluster.run(Duration::from_secs(10));
    // The emptied replica must not have helped to elect a leader.
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

fn second_loss(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    for n in 0..3_000_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    for victim in [1, 2, 3, 1] {
        cluster.kill(victim);
        cluster.lose_disk(victim);
        cluster.commit(&victim.to_le_bytes());
        cluster.restart(victim);
        // The next loss follows as soon as the replica votes again.
        for _ in 0..1_000 {
            let leader = cluster.wait_for_leader();
            let members = cluster.replicas[&leader].node.as_ref().map(|n| n.members().clone());
            let store = cluster.replicas[&victim].disk.store;
            if members.is_some_and(|m| m.is_voter(victim, store)) {
                let newest = cluster.acknowledged.keys().next_back().copied();
                let held =
                    cluster.replicas[&victim].node.as_ref().map(|n| n.log().last_position().index);
                expect_that!(held, ge(newest), "a voter that lacks acknowledged entries");
                break;
            }
            cluster.run(TICK);
        }
    }
}

fn emptied_majority(cluster: &mut Cluster) {
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
    // The disks are found again, so that the group can go on.
    for (id, disk) in [(1, kept.0), (2, kept.1)] {
        cluster.kill(id);
        cluster.replicas.get_mut(&id).expect("replica exists").disk = disk;
        cluster.restart(id);
    }
}

fn snapshot(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let victim =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(victim);
    for n in 0..50_u8 {
        cluster.commit(&[n]);
    }
    for id in cluster.ids() {
        if id != victim {
            cluster.compact(id);
        }
    }
    cluster.commit(b"tail");
    cluster.restart(victim);
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.replicas[&victim].applied, eq(&cluster.replicas[&leader].applied));
    cluster.kill(victim);
    cluster.restart(victim);
}

fn hand_over(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::TransferLeadership);
    cluster.run(Duration::from_millis(100));
    let new = cluster.leader();
    expect_that!(new, some(not(eq(old))));
    cluster.commit(b"b");
}

fn hand_over_unheard(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::TransferLeadership);
    // Nothing tells the old leader that its successor was elected.
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(1));
    cluster.commit(b"b");
}

fn founder_restarts(cluster: &mut Cluster) {
    // The founder's entry reaches nobody before it restarts.
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

fn restarted_voter(cluster: &mut Cluster) {
    cluster.commit(b"a");
    for offset in 0..100 {
        let leader = cluster.wait_for_leader();
        let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
        let (candidate, voter) = (others[0], others[1]);
        cluster.blocked_links.insert((leader, candidate));
        cluster.blocked_links.insert((candidate, leader));
        cluster.run(TICK * offset);
        // The leader's lease rests on the voter, which now hears it no more,
        // restarts, and is asked for its vote at some offset.
        cluster.isolate(leader);
        cluster.kill(voter);
        cluster.restart(voter);
        cluster.run(ELECTION_TIMEOUT);
        cluster.heal();
        cluster.run(ELECTION_TIMEOUT * 4);
    }
}

fn half_a_log(cluster: &mut Cluster) {
    cluster.commit(b"start");
    let leader = cluster.wait_for_leader();
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let (behind, victim) = (others[0], others[1]);
    cluster.isolate(behind);
    // More than one message holds, so that the emptied replica gets the first
    // membership, which names it, before the one that does not.
    for n in 0..1_500_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    let acknowledged = cluster.acknowledged.len();
    cluster.kill(victim);
    cluster.lose_disk(victim);
    cluster.restart(victim);
    for _ in 0..1_000 {
        cluster.run(Duration::from_millis(1));
        if cluster.replicas[&victim].node.as_ref().is_some_and(|n| !n.log().is_empty()) {
            break;
        }
    }
    cluster.kill(leader);
    cluster.queue.clear();
    cluster.heal();
    cluster.run(Duration::from_secs(10));
    expect_that!(acknowledged, gt(1_500));
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

/// A voter that restarts remembers whom it voted for in a term.
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
        let store = cluster.replicas[&candidate].disk.store;
        let message = Message { from: candidate, store, term: 1_000, body };
        let replica = cluster.replicas.get_mut(&voter).expect("replica exists");
        let node = replica.node.as_mut().expect("replica is running");
        for action in node.step(Event::Message(message), cluster.now) {
            match action {
                Action::Persist(change) => replica.disk.write(change),
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

/// Random faults over seeds: kills, freezes, cuts, lost and doubled messages,
/// snapshots. `HORNBEAMDOCK_SEEDS` sets how many seeds; a failure names its own.
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
        let few = down < if size == 3 { 1 } else { 2 };
        match cluster.rng.random_range(0..9) {
            0 if few => cluster.kill(id),
            1 if few => cluster.set_frozen(id, true),
            2 => cluster.isolate(id),
            3 => {
                let other = cluster.rng.random_range(1..=size);
                cluster.blocked_links.insert((id, other));
            }
            4 | 5 => {
                cluster.heal();
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
    cluster.heal_and_verify();
}
