//! Random orders of events around targets that leave: announcements that arrive late, gossip
//! that is lost, replicas that are suspended or that fail right after an acknowledgement, losses
//! of power at all replicas, disks that are slow, full or lost.
//!
//! The rule: once a replica has acknowledged that a target leaves, each replica in touch knows it
//! [`SETTLING_TIME`] later, and none routes to that incarnation. It must hold while at most
//! [`TOLERATED_LOSSES`] of [`REPLICAS`] replicas or disks are lost. A replica that acknowledges
//! what only it knows breaks it, and so do replicas that keep departures in memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::{
    directory::{AnnouncedTarget, Departure, Directory},
    raft::NodeId,
    spread::{ATTEMPT_TIMEOUT, Decision, Event, Kept, SPREAD_TIMEOUT, Spread},
    view::Presence,
};
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

const REPLICAS: u64 = 5;
const TOLERATED_LOSSES: usize = 2;
const TARGETS: usize = 6;
/// Time in which the replicas that were not needed for an acknowledgement learn of it.
const SETTLING_TIME: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// How late an announcement can arrive.
const MAX_LATENESS: Duration = Duration::from_secs(8);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(20);
/// Seeds played if the environment names no other number.
const SEEDS: u64 = 300;

/// Time of a write to a disk, and of one to a slow disk.
const WRITE_TIME: Duration = Duration::from_millis(10);
const SLOW_WRITE_TIME: Duration = Duration::from_millis(600);
/// How long the power is off.
const OUTAGE: Duration = Duration::from_millis(500);

/// How a replica handles departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Build {
    /// Acknowledges what enough replicas have stored.
    Stores,
    /// Acknowledges what enough replicas have in memory.
    Remembers,
    /// Acknowledges at once.
    Alone,
}

/// What arrives at a replica.
#[derive(Clone, Debug)]
enum Message {
    /// From the target itself, or from another replica.
    Announced(AnnouncedTarget, Option<NodeId>),
    /// A request to leave; the number is that of the target.
    Deregister(usize),
    /// From another replica or this one, which waits for a confirmation of its spread if one is
    /// named.
    Leaving(Departure, Option<(NodeId, usize)>),
    /// A write to the disk of this replica has ended.
    Written(Departure, Option<(NodeId, usize)>),
    Confirmed(NodeId, Kept, usize),
    Failed(NodeId, usize),
    Tell(NodeId, usize),
}

#[derive(Default)]
struct Replica {
    directory: Directory,
    spreads: BTreeMap<usize, (Spread, Departure)>,
    /// Departures on its disk, which outlast a loss of power.
    disk: BTreeSet<Departure>,
    is_disk_slow: bool,
    disk_full_until: Duration,
    suspended_until: Duration,
    /// When it starts again after a loss of power.
    starts_at: Option<Duration>,
    gossip_at: Duration,
}

/// A message on its way.
struct Envelope {
    arrives_at: Duration,
    sent_at: Duration,
    /// `None` for a target.
    from: Option<NodeId>,
    to: NodeId,
    message: Message,
}

struct World {
    rng: ChaCha8Rng,
    now: Duration,
    replicas: BTreeMap<NodeId, Replica>,
    messages: Vec<Envelope>,
    build: Build,
    /// Replicas and disks that were lost.
    losses: usize,
    /// When the departure of each target was acknowledged first.
    acknowledged: BTreeMap<usize, Duration>,
    leave_at: Vec<Duration>,
    last_spread: usize,
    refusals: usize,
}

fn announced(number: usize, seq: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        id: format!("t-{number}"),
        service: "app".into(),
        address: ([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap()).into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 4,
        presence: Presence::Up,
        incarnation: 7,
        seq,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
    }
}

fn number_of(departure: &Departure) -> usize {
    departure.id[2..].parse().unwrap()
}

impl World {
    fn new(seed: u64, build: Build) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leave_at = (0..TARGETS).map(|_| STEP * rng.random_range(200..900));
        let leave_at = leave_at.collect();
        let slow = rng.random_range(1..=REPLICAS);
        let replica = |id| Replica { is_disk_slow: id == slow, ..Replica::default() };
        let replicas = (1..=REPLICAS).map(|id| (id, replica(id))).collect();
        Self {
            rng,
            now: Duration::ZERO,
            replicas,
            messages: Vec::new(),
            build,
            losses: 0,
            acknowledged: BTreeMap::new(),
            leave_at,
            last_spread: 0,
            refusals: 0,
        }
    }

    fn any_replica(&mut self) -> NodeId {
        self.replicas.keys().copied().choose(&mut self.rng).unwrap()
    }

    fn send(&mut self, from: Option<NodeId>, to: NodeId, delay: Duration, message: Message) {
        let (sent_at, arrives_at) = (self.now, self.now + delay);
        self.messages.push(Envelope { arrives_at, sent_at, from, to, message });
    }

    fn hop(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..40))
    }

    fn others(&self, except: NodeId) -> Vec<NodeId> {
        self.replicas.keys().copied().filter(|id| *id != except).collect()
    }

    /// Gossip to all others, of which some is lost.
    fn gossip(&mut self, from: NodeId, message: &Message) {
        for to in self.others(from) {
            if self.rng.random_bool(0.9) {
                let hop = self.hop();
                self.send(Some(from), to, hop, message.clone());
            }
        }
    }

    fn targets_act(&mut self, step: u32) {
        for number in 0..TARGETS {
            let is_present = self.now < self.leave_at[number];
            let interval =
                u32::try_from(HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis()).unwrap();
            if is_present && step.is_multiple_of(interval) {
                let to = self.any_replica();
                let late = self.rng.random_bool(0.2);
                let delay = if late {
                    MAX_LATENESS.mul_f64(self.rng.random_range(0.0..1.0))
                } else {
                    self.hop()
                };
                let seq = u64::from(step / interval) + 1;
                self.send(None, to, delay, Message::Announced(announced(number, seq), None));
            }
            if self.now == self.leave_at[number] {
                let to = self.any_replica();
                self.send(None, to, Duration::ZERO, Message::Deregister(number));
            }
        }
    }

    fn replicas_act(&mut self) {
        if self.rng.random_bool(0.000_5) {
            self.lose_power();
        }
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            if !self.start_if_due(id) {
                continue;
            }
            if self.rng.random_bool(0.000_5) {
                let time = Duration::from_millis(self.rng.random_range(100..4_000));
                self.replica(id).disk_full_until = self.now + time;
            }
            if self.rng.random_bool(0.000_5) {
                let time = Duration::from_millis(self.rng.random_range(100..4_000));
                self.replica(id).suspended_until = self.now + time;
            }
            let now = self.now;
            let replica = self.replica(id);
            if now < replica.suspended_until {
                continue;
            }
            if now >= replica.gossip_at {
                replica.gossip_at = now + GOSSIP_INTERVAL;
                replica.directory.tick(now);
                let directory = &replica.directory;
                let known = directory.leaving(now).chain(directory.departed_lately(now));
                for departure in known.cloned().collect::<Vec<_>>() {
                    self.store(id, departure.clone(), None);
                    self.gossip(id, &Message::Leaving(departure, None));
                }
            }
            let spreads: Vec<_> = self.replica(id).spreads.keys().copied().collect();
            for spread in spreads {
                self.decide(id, spread, Event::Tick);
            }
        }
    }

    fn replica(&mut self, id: NodeId) -> &mut Replica {
        self.replicas.get_mut(&id).unwrap()
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |m| m.arrives_at <= now).collect();
        for envelope in due {
            let runs = |replica: &&Replica| replica.starts_at.is_none();
            match self.replicas.get(&envelope.to).filter(runs) {
                // A target whose replica is gone turns to another one.
                None if envelope.from.is_none() => {
                    let other = self.any_replica();
                    self.send(None, other, STEP, envelope.message);
                }
                None => {}
                Some(replica) if now < replica.suspended_until => {
                    let arrives_at = replica.suspended_until;
                    self.messages.push(Envelope { arrives_at, ..envelope });
                }
                Some(_) => self.receive(envelope.to, envelope.message),
            }
        }
    }

    fn receive(&mut self, id: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::Announced(target, from) => {
                let is_news = self.replica(id).directory.announce(target.clone(), now);
                if is_news && from.is_none() {
                    self.gossip(id, &Message::Announced(target, Some(id)));
                }
            }
            Message::Deregister(number) => {
                let name = format!("t-{number}");
                let departure = self.replica(id).directory.mark_leaving(&name, Some(7), now);
                self.last_spread += 1;
                let (spread, ids) = (self.last_spread, self.others(0));
                let needed = if self.build == Build::Alone { 0 } else { TOLERATED_LOSSES + 1 };
                let state = Spread::new(&ids, needed, now);
                self.replica(id).spreads.insert(spread, (state, departure.unwrap()));
                for to in ids {
                    self.tell(id, to, spread);
                }
                self.decide(id, spread, Event::Tick);
            }
            Message::Leaving(departure, asked_by) => {
                let Departure { id: name, incarnation } = &departure;
                self.replica(id).directory.mark_leaving(name, Some(*incarnation), now);
                self.store(id, departure, asked_by);
            }
            Message::Written(departure, asked_by) => {
                self.replica(id).disk.insert(departure);
                self.confirm(id, Kept::OnDisk, asked_by);
            }
            Message::Confirmed(from, kept, spread) => {
                self.decide(id, spread, Event::Confirmed(from, kept));
            }
            Message::Failed(from, spread) => self.decide(id, spread, Event::Failed(from)),
            Message::Tell(to, spread) => self.tell(id, to, spread),
        }
    }

    /// Begins to write a departure to the disk of a replica. A full disk writes nothing.
    fn store(&mut self, id: NodeId, departure: Departure, asked_by: Option<(NodeId, usize)>) {
        if self.build != Build::Stores {
            return self.confirm(id, Kept::InMemory, asked_by);
        }
        let (now, replica) = (self.now, self.replica(id));
        let write_time = if replica.is_disk_slow { SLOW_WRITE_TIME } else { WRITE_TIME };
        if replica.disk.contains(&departure) {
            self.confirm(id, Kept::OnDisk, asked_by);
        } else if now >= replica.disk_full_until {
            self.send(Some(id), id, write_time, Message::Written(departure, asked_by));
        }
    }

    fn confirm(&mut self, id: NodeId, kept: Kept, asked_by: Option<(NodeId, usize)>) {
        if let Some((asker, spread)) = asked_by {
            let hop = self.hop();
            self.send(Some(id), asker, hop, Message::Confirmed(id, kept, spread));
        }
    }

    /// Turns off the power of all replicas at once. Sometimes a disk is lost as well.
    fn lose_power(&mut self) {
        self.messages.retain(|m| m.from.is_none());
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            let loses_disk = self.losses < TOLERATED_LOSSES && self.rng.random_bool(0.3);
            self.losses += usize::from(loses_disk);
            let starts_at = self.now + OUTAGE + self.hop();
            let replica = self.replica(id);
            let disk = if loses_disk { BTreeSet::new() } else { std::mem::take(&mut replica.disk) };
            let spreads = std::mem::take(&mut replica.spreads);
            let is_disk_slow = replica.is_disk_slow;
            let starts_at = Some(starts_at);
            *replica = Replica { disk, is_disk_slow, starts_at, ..Replica::default() };
            self.tell_others(spreads);
        }
    }

    /// Returns whether a replica runs. After a loss of power it starts with what its disk has.
    fn start_if_due(&mut self, id: NodeId) -> bool {
        let (now, replica) = (self.now, self.replica(id));
        let Some(starts_at) = replica.starts_at else {
            return true;
        };
        if now < starts_at {
            return false;
        }
        replica.starts_at = None;
        // Only from here on it is expected to know what it must.
        replica.suspended_until = now;
        replica.directory.restore(replica.disk.iter().cloned(), now);
        true
    }

    /// The targets that wait for the answer of a replica that is gone turn to others.
    fn tell_others(&mut self, spreads: BTreeMap<usize, (Spread, Departure)>) {
        for (_, departure) in spreads.into_values() {
            let (number, other) = (number_of(&departure), self.any_replica());
            self.send(None, other, STEP, Message::Deregister(number));
        }
    }

    /// Tells one replica of a departure. Some of these messages are lost.
    fn tell(&mut self, from: NodeId, to: NodeId, spread: usize) {
        let Some((_, departure)) = self.replica(from).spreads.get(&spread).cloned() else {
            return;
        };
        if to == from || self.rng.random_bool(0.85) {
            let hop = self.hop();
            self.send(Some(from), to, hop, Message::Leaving(departure, Some((from, spread))));
        }
        // Ignored if the confirmation comes before.
        self.send(Some(from), from, ATTEMPT_TIMEOUT, Message::Failed(to, spread));
    }

    fn decide(&mut self, id: NodeId, spread: usize, event: Event) {
        let now = self.now;
        let Some((state, departure)) = self.replica(id).spreads.get_mut(&spread) else {
            return;
        };
        let number = number_of(departure);
        match state.decide(event, now) {
            Decision::Wait => {}
            Decision::Retry { to, delay } => {
                self.send(Some(id), id, delay, Message::Tell(to, spread));
            }
            Decision::Acknowledge => {
                self.replica(id).spreads.remove(&spread);
                self.acknowledged.entry(number).or_insert(now);
                self.may_fail(id);
            }
            Decision::Refuse => {
                self.refusals += 1;
                self.replica(id).spreads.remove(&spread);
                let other = self.any_replica();
                self.send(None, other, STEP, Message::Deregister(number));
            }
        }
    }

    /// Often a replica fails right after it has acknowledged something. What it sent last is
    /// lost with it, and the targets that wait for it turn to others.
    fn may_fail(&mut self, id: NodeId) {
        if self.rng.random_bool(0.1) {
            return self.lose_power();
        }
        if self.losses == TOLERATED_LOSSES || self.rng.random_bool(0.5) {
            return;
        }
        self.losses += 1;
        let now = self.now;
        self.messages.retain(|m| m.from != Some(id) || m.sent_at < now);
        let spreads = self.replicas.remove(&id).unwrap().spreads;
        self.tell_others(spreads);
    }

    /// Returns the targets of which a replica in touch does not know that they have left, or to
    /// which it routes.
    fn violations(&self) -> BTreeSet<(NodeId, usize)> {
        let mut violations = BTreeSet::new();
        for (number, at) in &self.acknowledged {
            for (id, replica) in &self.replicas {
                let runs = replica.starts_at.is_none();
                let in_touch = runs && self.now > replica.suspended_until + SETTLING_TIME;
                let target = replica.directory.get(&format!("t-{number}"));
                let is_up = target.is_some_and(|t| t.presence == Presence::Up);
                let departure = Departure { id: format!("t-{number}"), incarnation: 7 };
                let is_known = replica.directory.has_departed(&departure);
                if in_touch && (is_up || !is_known) && self.now > *at + SETTLING_TIME {
                    violations.insert((*id, *number));
                }
            }
        }
        violations
    }
}

/// Plays a day; returns the first violations with their time, and the numbers of departures
/// that were acknowledged and refused.
fn play(seed: u64, build: Build) -> (Option<String>, usize, usize) {
    let mut world = World::new(seed, build);
    for step in 0.. {
        world.now = STEP * step;
        if world.now >= DAY {
            break;
        }
        world.targets_act(step);
        world.deliver_due();
        world.replicas_act();
        let violations = world.violations();
        if !violations.is_empty() {
            let text = format!("seed {seed}: {violations:?} at {:?}", world.now);
            return (Some(text), world.acknowledged.len(), world.refusals);
        }
    }
    (None, world.acknowledged.len(), world.refusals)
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against departures that are acknowledged while only one replica knows them, or all in
/// memory only, and are lost with it. Plays `HORNBEAMDOCK_SEEDS` days from seed `HORNBEAMDOCK_SEED` on.
#[gtest]
fn acknowledged_departure_outlasts_the_tolerated_losses() {
    let (first, seeds) = (setting("HORNBEAMDOCK_SEED", 1), setting("HORNBEAMDOCK_SEEDS", SEEDS));
    let (mut acknowledged, mut refused) = (0, 0);
    for seed in first..first + seeds {
        let (violation, acks, refusals) = play(seed, Build::Stores);
        acknowledged += acks;
        refused += refusals;
        assert_that!(violation, none());
    }
    println!("{seeds} days: {acknowledged} departures acknowledged, {refused} refused");
    expect_that!(acknowledged, eq(usize::try_from(seeds).unwrap() * TARGETS));
}

/// The naive baseline acknowledges at once. The same days break the rule with it.
#[gtest]
fn departure_acknowledged_by_one_replica_is_lost_with_it() {
    expect_that!(broken_days(Build::Alone), gt(0));
}

/// The replicas of earlier builds keep departures in memory. The same days break the rule with
/// them.
#[gtest]
fn departure_in_memory_is_lost_with_the_power() {
    expect_that!(broken_days(Build::Remembers), gt(0));
}

fn broken_days(build: Build) -> usize {
    let broken = (1..=SEEDS).filter(|seed| play(*seed, build).0.is_some()).count();
    println!("{build:?}: {broken} of {SEEDS} days broken");
    broken
}

/// A replica that knows too few others refuses at once; one whose others are silent in time.
#[gtest]
fn departure_is_refused_in_time() {
    let mut alone = Spread::new(&[1, 2], 3, Duration::ZERO);
    expect_that!(alone.decide(Event::Tick, Duration::ZERO), eq(Decision::Refuse));
    let mut silent = Spread::new(&[1, 2, 3, 4, 5], 3, Duration::ZERO);
    for from in [1, 3, 3] {
        expect_that!(silent.decide(Event::Confirmed(from, Kept::OnDisk), STEP), eq(Decision::Wait));
    }
    let retry = silent.decide(Event::Failed(2), ATTEMPT_TIMEOUT);
    expect_that!(matches!(retry, Decision::Retry { to: 2, .. }), eq(true));
    expect_that!(silent.decide(Event::Tick, SPREAD_TIMEOUT), eq(Decision::Refuse));
}

/// Beside replicas of an earlier build, as many as can must have stored a departure if they are
/// enough, and all count if they are not.
#[gtest]
fn copies_in_memory_count_where_too_few_replicas_store() {
    let confirm = |copies: &[(NodeId, Kept)]| {
        let mut spread = Spread::new(&[1, 2, 3, 4, 5], 3, Duration::ZERO);
        let decide =
            |(from, kept): &(NodeId, Kept)| spread.decide(Event::Confirmed(*from, *kept), STEP);
        copies.iter().map(decide).last()
    };
    let (disk, memory) = (Kept::OnDisk, Kept::InMemory);
    let two_earlier = [(4, memory), (5, memory), (1, disk)];
    expect_that!(confirm(&two_earlier), some(eq(Decision::Wait)));
    let two_earlier = [(4, memory), (5, memory), (1, disk), (2, disk), (3, disk)];
    expect_that!(confirm(&two_earlier), some(eq(Decision::Acknowledge)));
    let three_earlier = [(3, memory), (4, memory), (5, memory)];
    expect_that!(confirm(&three_earlier), some(eq(Decision::Acknowledge)));
}
