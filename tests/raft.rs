//! The replicated log under lost, late, doubled and reordered messages, cuts,
//! frozen and killed replicas, and lost disks.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::raft::{
    Action, Body, Change, Config, Event, Index, Message, NodeId, Payload, Raft, Restored, Role,
    StoreId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const ELECTION: Duration = Duration::from_millis(500);

/// Disk of a replica: what was made durable.
#[derive(Clone, Default)]
struct Disk {
    store: StoreId,
    restored: Restored,
}

impl Disk {
    fn write(&mut self, change: Change) {
        match change {
            Change::Hard(hard) => self.restored.hard = hard,
            Change::Append(entries) => self.restored.entries.extend(entries),
            Change::Truncate(first) => {
                self.restored.entries.retain(|e| e.position.index < first);
            }
            Change::Install(snapshot) => {
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
struct Net {
    now: Duration,
    replicas: BTreeMap<NodeId, Replica>,
    queue: Vec<(Duration, NodeId, Message)>,
    cut: BTreeSet<(NodeId, NodeId)>,
    /// Share of messages dropped, and doubled.
    faults: f64,
    delay: Duration,
    rng: ChaCha8Rng,
    next: u64,
    waiting: Vec<Proposal>,
    pending: BTreeMap<u64, (NodeId, Vec<u8>)>,
    /// Commands acknowledged to a client, by index.
    acknowledged: BTreeMap<Index, Vec<u8>>,
    /// Commands that any replica applied, by index.
    history: BTreeMap<Index, Vec<u8>>,
    /// Replicas that the settings name; the lowest ids.
    seeds: u64,
    /// Most voters.
    voters: usize,
    /// Whether the settings allow to form a group.
    first: bool,
    reads: BTreeMap<u64, Index>,
    read_results: Vec<(u64, Option<Index>)>,
}

impl Net {
    fn new(size: u64, seed: u64) -> Self {
        Self::seeded(size, size, usize::MAX, seed)
    }

    fn seeded(size: u64, seeds: u64, voters: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            queue: Vec::new(),
            cut: BTreeSet::new(),
            faults: 0.0,
            delay: Duration::from_millis(5),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 1,
            waiting: Vec::new(),
            pending: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            history: BTreeMap::new(),
            seeds,
            voters,
            first: true,
            reads: BTreeMap::new(),
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
            net.replicas.insert(*id, replica);
            net.lose_disk(*id);
            net.boot(*id);
        }
        net
    }

    fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    fn boot(&mut self, id: NodeId) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("it exists");
        let config = Config {
            id,
            store: replica.disk.store,
            peers: (1..=self.seeds).collect(),
            found: self.first,
            voters: self.voters,
            election: ELECTION,
            heartbeat: ELECTION / 10,
            seed: self.rng.random(),
        };
        replica.applied = BTreeMap::new();
        replica.applied_to = 0;
        if let Some(snapshot) = &replica.disk.restored.snapshot {
            replica.applied = postcard::from_bytes(&snapshot.data).expect("it decodes");
            replica.applied_to = snapshot.position.index;
        }
        replica.frozen = false;
        replica.node = Some(Raft::new(config, replica.disk.restored.clone(), now));
    }

    fn reboot(&mut self, id: NodeId) {
        self.boot(id);
    }

    /// Returns true if the leader knows a replica as a follower without a vote.
    fn follows(&mut self, id: NodeId) -> bool {
        let leader = self.elect();
        let node = self.replicas[&leader].node.as_ref().expect("it runs");
        node.members().learners.contains_key(&id)
    }

    /// Returns the voters that the leader knows.
    fn voters(&mut self) -> Vec<NodeId> {
        let leader = self.elect();
        let node = self.replicas[&leader].node.as_ref().expect("it runs");
        node.members().voters.keys().copied().collect()
    }

    fn kill(&mut self, id: NodeId) {
        self.replicas.get_mut(&id).expect("it exists").node = None;
        self.waiting.retain(|p| p.node != id);
    }

    fn lose_disk(&mut self, id: NodeId) {
        let store = self.rng.random();
        let replica = self.replicas.get_mut(&id).expect("it exists");
        replica.disk = Disk { store, restored: Restored::default() };
    }

    fn freeze(&mut self, id: NodeId, frozen: bool) {
        self.replicas.get_mut(&id).expect("it exists").frozen = frozen;
    }

    fn isolate(&mut self, id: NodeId) {
        for other in self.ids() {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
    }

    fn step(&mut self, id: NodeId, event: Event) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("it exists");
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
            self.carry_out(id, action);
        }
    }

    fn carry_out(&mut self, id: NodeId, action: Action) {
        match action {
            Action::Persist(_) | Action::Became(_) | Action::Rejected { .. } => {}
            Action::Send { to, message } => self.send(id, to, &message),
            Action::Accepted { context, position } => {
                if let Some((node, command)) = self.pending.remove(&context) {
                    let (index, term) = (position.index, position.term);
                    self.waiting.push(Proposal { node, index, term, command });
                }
            }
            Action::Commit(entries) => {
                for entry in entries {
                    self.apply(id, entry.position.index, entry.position.term, entry.payload);
                }
            }
            Action::Restore(snapshot) => {
                let replica = self.replicas.get_mut(&id).expect("it exists");
                replica.applied = postcard::from_bytes(&snapshot.data).expect("it decodes");
                replica.applied_to = snapshot.position.index;
            }
            Action::ReadReady { context, index } => self.read_results.push((context, index)),
        }
    }

    fn apply(&mut self, id: NodeId, index: Index, term: u64, payload: Payload) {
        let replica = self.replicas.get_mut(&id).expect("it exists");
        assert_eq!(index, replica.applied_to + 1, "entries are applied in order");
        replica.applied_to = index;
        let command = match payload {
            Payload::Command(command) => command,
            Payload::Noop | Payload::Members(_) => Vec::new(),
        };
        replica.applied.insert(index, command.clone());
        let first = self.history.entry(index).or_insert_with(|| command.clone());
        assert_eq!(*first, command, "index {index} was applied with other content elsewhere");
        let decided =
            self.waiting.iter().position(|p| p.node == id && p.index == index && p.term == term);
        if let Some(at) = decided {
            let proposal = self.waiting.swap_remove(at);
            self.acknowledged.insert(index, proposal.command);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.faults) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults));
        for _ in 0..copies {
            let delay = self.delay.mul_f64(self.rng.random_range(0.5..3.0));
            self.queue.push((self.now + delay, to, message.clone()));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
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

    fn elect(&mut self) -> NodeId {
        for _ in 0..1_000 {
            if let Some(id) = self.leader() {
                return id;
            }
            self.run(STEP);
        }
        panic!("no leader after 10 s");
    }

    fn propose(&mut self, id: NodeId, command: &[u8]) {
        self.next += 1;
        let context = self.next;
        self.pending.insert(context, (id, command.to_vec()));
        self.step(id, Event::Propose { context, command: command.to_vec() });
    }

    /// Proposes until the command is acknowledged.
    fn commit(&mut self, command: &[u8]) {
        for _ in 0..100 {
            let leader = self.elect();
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
        self.step(id, Event::Compact { index, data: data.expect("it encodes") });
    }

    /// Asks a replica for a read, and returns its number.
    fn read(&mut self, id: NodeId) -> u64 {
        self.next += 1;
        let context = self.next;
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(context, newest);
        self.step(id, Event::Read { context });
        context
    }

    /// Every acknowledged command must be in every replica that is up to date,
    /// and every read must have seen what was acknowledged before it.
    fn check(&mut self) {
        for (index, command) in &self.acknowledged {
            assert_eq!(self.history.get(index), Some(command), "lost index {index}");
        }
        for (context, index) in &self.read_results {
            if let Some(index) = index {
                assert!(*index >= self.reads[context], "read {context} was stale");
            }
        }
    }

    /// Heals everything and checks that all replicas agree in the end.
    fn settle(&mut self) {
        self.heal();
        self.faults = 0.0;
        for id in self.ids() {
            self.freeze(id, false);
            if self.replicas[&id].node.is_none() {
                self.reboot(id);
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
        self.check();
    }
}

macro_rules! cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let mut net = Net::new($size, $seed);
                #[allow(clippy::redundant_closure_call)]
                ($run)(&mut net);
                net.settle();
            }
        )+
    };
}

cases! {
    single_replica_commits: 1, 1 => |net: &mut Net| net.commit(b"a");
    three_replicas_commit: 3, 2 => |net: &mut Net| net.commit(b"a");
    five_replicas_commit: 5, 3 => |net: &mut Net| net.commit(b"a");
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
                let mut net = Net::seeded($size, 3, 5, $seed);
                ($run)(&mut net);
                net.settle();
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

fn grows(net: &mut Net) {
    net.run(Duration::from_secs(5));
    expect_that!(net.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn surplus_follows(net: &mut Net) {
    net.run(Duration::from_secs(10));
    expect_that!(net.voters().len(), eq(5));
    net.commit(b"a");
}

/// The group must bear two further losses 4 s after one was replaced.
fn voter_replaced(net: &mut Net) {
    net.run(Duration::from_secs(10));
    let leader = net.elect();
    let lost = net.voters().into_iter().find(|v| *v != leader).expect("there are five");
    net.kill(lost);
    net.run(Duration::from_secs(4));
    let voters = net.voters();
    expect_that!(voters.len(), eq(5));
    expect_that!(voters.contains(&lost), eq(false));
    let leader = net.elect();
    let further: Vec<_> = voters.into_iter().filter(|v| *v != leader).take(2).collect();
    for id in &further {
        net.kill(*id);
    }
    net.commit(b"after three losses");
}

fn no_second_founding(net: &mut Net) {
    net.run(Duration::from_secs(5));
    net.commit(b"a");
    net.first = false;
    for id in 1..=3 {
        net.kill(id);
        net.lose_disk(id);
        net.reboot(id);
    }
    net.isolate(4);
    net.isolate(5);
    net.run(Duration::from_secs(10));
    for id in 1..=3 {
        let node = net.replicas[&id].node.as_ref().expect("it runs");
        expect_that!(node.role(), not(eq(Role::Leader)));
    }
    // What a majority of the disks held is gone for good: start over.
    *net = Net::seeded(5, 3, 5, 27);
}

fn joins_by_follower(net: &mut Net) {
    net.run(Duration::from_secs(5));
    let leader = net.elect();
    let joiner = net.ids().into_iter().rfind(|id| *id != leader).expect("there are five");
    net.kill(joiner);
    net.lose_disk(joiner);
    // Its question reaches the followers only.
    net.cut.insert((joiner, leader));
    net.reboot(joiner);
    net.run(Duration::from_secs(2));
    net.cut.clear();
    net.run(Duration::from_secs(2));
    expect_that!(net.voters().contains(&joiner), eq(true));
}

fn killed_while_forming(net: &mut Net) {
    for round in 0..10 {
        let id = 1 + round % 3;
        net.run(Duration::from_millis(30));
        net.kill(id);
        net.run(Duration::from_millis(30));
        net.reboot(id);
    }
    net.run(Duration::from_secs(10));
    expect_that!(net.voters().len(), eq(5));
}

/// The last replica is made a voter, and what it lacks is exactly that word when
/// two others lose their disks.
fn unheard_promotion(net: &mut Net) {
    let last = 5;
    net.elect();
    while !net.follows(last) {
        net.run(STEP);
    }
    // It has answered the leader once, and hears nothing more.
    net.run(Duration::from_millis(30));
    for id in 1..last {
        net.cut.insert((id, last));
    }
    while net.voters().len() < 5 {
        net.run(STEP);
    }
    net.isolate(last);
    net.commit(b"acknowledged");
    let leader = net.elect();
    let behind = net.replicas[&last].node.as_ref().expect("it runs").members().voters.len();
    expect_that!(behind, lt(5), "it has heard already");
    let other = (1..=4).find(|id| *id != leader).expect("there are four");
    for id in [leader, other] {
        net.kill(id);
        net.lose_disk(id);
    }
    net.heal();
    net.run(Duration::from_secs(5));
    net.commit(b"by the three that are left");
}

fn two_emptied(net: &mut Net) {
    net.run(Duration::from_secs(5));
    for round in 0..5_u8 {
        net.commit(&[round]);
        let leader = net.elect();
        let other = net.ids().into_iter().find(|id| *id != leader).expect("there are five");
        for id in [leader, other] {
            net.kill(id);
            net.lose_disk(id);
        }
        net.run(Duration::from_millis(500));
        net.reboot(leader);
        net.reboot(other);
        net.run(Duration::from_secs(8));
    }
}

fn leader_killed(net: &mut Net) {
    for round in 0..5_u8 {
        let leader = net.elect();
        net.propose(leader, &[round, 0]);
        net.run(STEP);
        net.propose(leader, &[round, 1]);
        net.kill(leader);
        net.commit(&[round, 2]);
        net.reboot(leader);
    }
}

fn leader_cut_off(net: &mut Net) {
    net.commit(b"before");
    let old = net.elect();
    net.isolate(old);
    net.propose(old, b"never acknowledged");
    net.run(ELECTION);
    let read = net.read(old);
    net.commit(b"after");
    net.run(Duration::from_secs(30));
    expect_that!(net.replicas[&old].node.as_ref().map(Raft::role), not(some(eq(Role::Leader))));
    let term = net.replicas[&old].node.as_ref().map(Raft::term);
    net.heal();
    net.run(Duration::from_secs(2));
    // Pre-vote kept the isolated replica from raising its term.
    let leader = net.elect();
    expect_that!(term, le(net.replicas[&leader].node.as_ref().map(Raft::term)));
    expect_that!(net.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
    let lost = net.acknowledged.values().any(|c| c == b"never acknowledged");
    expect_that!(lost, eq(false));
}

fn leader_cut_one_way(net: &mut Net) {
    net.commit(b"before");
    let old = net.elect();
    for other in net.ids() {
        net.cut.insert((other, old));
    }
    net.run(Duration::from_secs(5));
    // It can't hear a quorum, so it must have given way, though its heartbeats
    // arrive for a while.
    net.commit(b"after");
    expect_that!(net.elect(), not(eq(old)));
}

fn frozen_leader(net: &mut Net) {
    net.commit(b"before");
    let old = net.elect();
    net.freeze(old, true);
    net.commit(b"during");
    net.freeze(old, false);
    // Before any message reaches it, it must know that its lease has ended.
    let read = net.read(old);
    net.propose(old, b"late");
    net.run(Duration::from_secs(2));
    expect_that!(net.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
}

fn emptied_voter(net: &mut Net) {
    net.commit(b"a");
    let leader = net.elect();
    let victim = net.ids().into_iter().find(|id| *id != leader).expect("there is one");
    net.kill(victim);
    net.commit(b"b");
    net.lose_disk(victim);
    // Only the emptied replica and one that misses "b" may talk.
    let third = net.ids().into_iter().find(|id| *id != leader && *id != victim).expect("one");
    net.isolate(third);
    net.run(Duration::from_secs(1));
    net.kill(leader);
    net.heal();
    net.reboot(victim);
    net.run(Duration::from_secs(10));
    // The emptied replica must not have helped to elect a leader.
    expect_that!(net.leader(), none());
    net.reboot(leader);
}

fn second_loss(net: &mut Net) {
    net.commit(b"a");
    let leader = net.elect();
    for n in 0..3_000_u32 {
        net.propose(leader, &n.to_le_bytes());
    }
    net.run(Duration::from_secs(2));
    for victim in [1, 2, 3, 1] {
        net.kill(victim);
        net.lose_disk(victim);
        net.commit(&victim.to_le_bytes());
        net.reboot(victim);
        // The next loss follows as soon as the replica votes again.
        for _ in 0..1_000 {
            let leader = net.elect();
            let members = net.replicas[&leader].node.as_ref().map(|n| n.members().clone());
            let store = net.replicas[&victim].disk.store;
            if members.is_some_and(|m| m.votes(victim, store)) {
                let newest = net.acknowledged.keys().next_back().copied();
                let held = net.replicas[&victim].node.as_ref().map(|n| n.log().last().index);
                expect_that!(held, ge(newest), "a voter that lacks acknowledged entries");
                break;
            }
            net.run(STEP);
        }
    }
}

fn emptied_majority(net: &mut Net) {
    net.commit(b"a");
    net.run(Duration::from_secs(1));
    net.kill(1);
    net.kill(2);
    let kept = (net.replicas[&1].disk.clone(), net.replicas[&2].disk.clone());
    net.lose_disk(1);
    net.lose_disk(2);
    net.reboot(1);
    net.reboot(2);
    net.run(Duration::from_secs(10));
    expect_that!(net.leader(), none());
    expect_that!(net.replicas[&3].node.as_ref().map(|n| n.log().last().index), some(gt(0)));
    // The disks are found again, so that the group can go on.
    for (id, disk) in [(1, kept.0), (2, kept.1)] {
        net.kill(id);
        net.replicas.get_mut(&id).expect("it exists").disk = disk;
        net.reboot(id);
    }
}

fn snapshot(net: &mut Net) {
    net.commit(b"a");
    let leader = net.elect();
    let victim = net.ids().into_iter().find(|id| *id != leader).expect("there is one");
    net.kill(victim);
    for n in 0..50_u8 {
        net.commit(&[n]);
    }
    for id in net.ids() {
        if id != victim {
            net.compact(id);
        }
    }
    net.commit(b"tail");
    net.reboot(victim);
    net.run(Duration::from_secs(2));
    expect_that!(net.replicas[&victim].applied, eq(&net.replicas[&leader].applied));
    net.kill(victim);
    net.reboot(victim);
}

fn hand_over(net: &mut Net) {
    net.commit(b"a");
    let old = net.elect();
    net.step(old, Event::Transfer);
    net.run(Duration::from_millis(100));
    let new = net.leader();
    expect_that!(new, some(not(eq(old))));
    net.commit(b"b");
}

fn hand_over_unheard(net: &mut Net) {
    net.commit(b"a");
    let old = net.elect();
    net.step(old, Event::Transfer);
    // Nothing tells the old leader that its successor was elected.
    for other in net.ids() {
        net.cut.insert((other, old));
    }
    net.run(Duration::from_secs(1));
    net.commit(b"b");
}

fn founder_restarts(net: &mut Net) {
    // The founder's entry reaches nobody before it restarts.
    for _ in 0..200 {
        net.run(STEP);
        if net.replicas[&1].node.as_ref().is_some_and(|n| n.log().last().index > 0) {
            break;
        }
    }
    net.queue.clear();
    net.kill(1);
    net.run(Duration::from_secs(1));
    net.reboot(1);
    net.commit(b"a");
}

fn restarted_voter(net: &mut Net) {
    net.commit(b"a");
    for offset in 0..100 {
        let leader = net.elect();
        let others: Vec<_> = net.ids().into_iter().filter(|id| *id != leader).collect();
        let (candidate, voter) = (others[0], others[1]);
        net.cut.insert((leader, candidate));
        net.cut.insert((candidate, leader));
        net.run(STEP * offset);
        // The leader's lease rests on the voter, which now hears it no more,
        // restarts, and is asked for its vote at some offset.
        net.isolate(leader);
        net.kill(voter);
        net.reboot(voter);
        net.run(ELECTION);
        net.heal();
        net.run(ELECTION * 4);
    }
}

fn half_a_log(net: &mut Net) {
    net.commit(b"start");
    let leader = net.elect();
    let others: Vec<_> = net.ids().into_iter().filter(|id| *id != leader).collect();
    let (behind, victim) = (others[0], others[1]);
    net.isolate(behind);
    // More than one message holds, so that the emptied replica gets the first
    // membership, which names it, before the one that does not.
    for n in 0..1_500_u32 {
        net.propose(leader, &n.to_le_bytes());
    }
    net.run(Duration::from_secs(2));
    let acknowledged = net.acknowledged.len();
    net.kill(victim);
    net.lose_disk(victim);
    net.reboot(victim);
    for _ in 0..1_000 {
        net.run(Duration::from_millis(1));
        if net.replicas[&victim].node.as_ref().is_some_and(|n| !n.log().is_empty()) {
            break;
        }
    }
    net.kill(leader);
    net.queue.clear();
    net.heal();
    net.run(Duration::from_secs(10));
    expect_that!(acknowledged, gt(1_500));
    expect_that!(net.leader(), none());
    net.reboot(leader);
}

/// A voter that restarts remembers whom it voted for in a term.
#[gtest]
fn vote_survives_a_restart() {
    let mut net = Net::new(3, 16);
    net.commit(b"a");
    let voter = net.ids().into_iter().find(|id| Some(*id) != net.leader()).expect("there is one");
    let others: Vec<_> = net.ids().into_iter().filter(|id| *id != voter).collect();
    net.isolate(voter);
    net.run(Duration::from_secs(3));
    let mut grants = 0;
    for candidate in others {
        let last = net.replicas[&voter].disk.restored.entries.last().map(|e| e.position);
        let body = Body::Vote { last: last.expect("it holds entries"), transfer: false };
        let store = net.replicas[&candidate].disk.store;
        let message = Message { from: candidate, store, term: 1_000, body };
        let replica = net.replicas.get_mut(&voter).expect("it exists");
        let node = replica.node.as_mut().expect("it runs");
        for action in node.step(Event::Message(message), net.now) {
            match action {
                Action::Persist(change) => replica.disk.write(change),
                Action::Send { message, .. } => {
                    grants += u32::from(message.body == Body::VoteReply { granted: true });
                }
                _ => {}
            }
        }
        net.kill(voter);
        net.reboot(voter);
        net.run(Duration::from_secs(3));
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
    let mut net = Net::new(size, seed);
    net.commit(b"start");
    net.faults = 0.05;
    for round in 0..60_u64 {
        let id = net.rng.random_range(1..=size);
        let down = net.replicas.values().filter(|r| r.node.is_none() || r.frozen).count();
        let few = down < if size == 3 { 1 } else { 2 };
        match net.rng.random_range(0..9) {
            0 if few => net.kill(id),
            1 if few => net.freeze(id, true),
            2 => net.isolate(id),
            3 => {
                let other = net.rng.random_range(1..=size);
                net.cut.insert((id, other));
            }
            4 | 5 => {
                net.heal();
                for id in net.ids() {
                    net.freeze(id, false);
                    if net.replicas[&id].node.is_none() {
                        net.reboot(id);
                    }
                }
            }
            6 => net.compact(id),
            _ => {
                net.read(id);
            }
        }
        for at in net.ids() {
            net.propose(at, &round.to_le_bytes());
        }
        let span = net.rng.random_range(10..400);
        net.run(Duration::from_millis(span));
        net.check();
    }
    net.settle();
}
