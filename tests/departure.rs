//! Random orders of events around targets that leave: announcements that arrive late, gossip
//! that is lost, replicas that are suspended or that fail right after an acknowledgement.
//!
//! The rule: once a replica has acknowledged that a target leaves, no replica in touch routes to
//! that incarnation later than [`SETTLING_TIME`] after it. It must hold while at most
//! [`TOLERATED_LOSSES`] of [`REPLICAS`] replicas fail. A replica that acknowledges what only it
//! knows breaks it.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::{
    directory::{AnnouncedTarget, Departure, Directory},
    raft::NodeId,
    spread::{ATTEMPT_TIMEOUT, Decision, Event, SPREAD_TIMEOUT, Spread},
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

/// What arrives at a replica.
#[derive(Clone, Debug)]
enum Message {
    /// From the target itself, or from another replica.
    Announced(AnnouncedTarget, Option<NodeId>),
    /// A request to leave; the number is that of the target.
    Deregister(usize),
    /// From another replica, which waits for a confirmation of its spread if one is named.
    Leaving(Departure, Option<(NodeId, usize)>),
    Confirmed(NodeId, usize),
    Failed(NodeId, usize),
    Tell(NodeId, usize),
}

#[derive(Default)]
struct Replica {
    directory: Directory,
    spreads: BTreeMap<usize, (Spread, Departure)>,
    suspended_until: Duration,
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
    needed: usize,
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
    fn new(seed: u64, needed: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leave_at = (0..TARGETS).map(|_| STEP * rng.random_range(200..900));
        let leave_at = leave_at.collect();
        let replicas = (1..=REPLICAS).map(|id| (id, Replica::default())).collect();
        Self {
            rng,
            now: Duration::ZERO,
            replicas,
            messages: Vec::new(),
            needed,
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
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
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
                let leaving: Vec<_> = replica.directory.leaving(now).cloned().collect();
                for departure in leaving {
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
            match self.replicas.get(&envelope.to) {
                // A target whose replica has failed turns to another one.
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
                let (spread, others) = (self.last_spread, self.others(id));
                let state = Spread::new(&others, self.needed, now);
                self.replica(id).spreads.insert(spread, (state, departure.unwrap()));
                for other in others {
                    self.tell(id, other, spread);
                }
                self.decide(id, spread, Event::Tick);
            }
            Message::Leaving(departure, asked_by) => {
                let Departure { id: name, incarnation } = &departure;
                self.replica(id).directory.mark_leaving(name, Some(*incarnation), now);
                if let Some((asker, spread)) = asked_by {
                    let hop = self.hop();
                    self.send(Some(id), asker, hop, Message::Confirmed(id, spread));
                }
            }
            Message::Confirmed(from, spread) => self.decide(id, spread, Event::Confirmed(from)),
            Message::Failed(from, spread) => self.decide(id, spread, Event::Failed(from)),
            Message::Tell(to, spread) => self.tell(id, to, spread),
        }
    }

    /// Tells one replica of a departure. Some of these messages are lost.
    fn tell(&mut self, from: NodeId, to: NodeId, spread: usize) {
        let Some((_, departure)) = self.replica(from).spreads.get(&spread).cloned() else {
            return;
        };
        if self.rng.random_bool(0.85) {
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
        let least = usize::try_from(REPLICAS).unwrap() - TOLERATED_LOSSES;
        if self.replicas.len() == least || self.rng.random_bool(0.5) {
            return;
        }
        let now = self.now;
        self.messages.retain(|m| m.from != Some(id) || m.sent_at < now);
        for (_, departure) in self.replicas.remove(&id).unwrap().spreads.into_values() {
            let (number, other) = (number_of(&departure), self.any_replica());
            self.send(None, other, STEP, Message::Deregister(number));
        }
    }

    /// Returns the targets that a replica in touch routes to though they have left.
    fn violations(&self) -> BTreeSet<(NodeId, usize)> {
        let mut violations = BTreeSet::new();
        for (number, at) in &self.acknowledged {
            for (id, replica) in &self.replicas {
                let in_touch = self.now > replica.suspended_until + SETTLING_TIME;
                let target = replica.directory.get(&format!("t-{number}"));
                let is_up = target.is_some_and(|t| t.presence == Presence::Up);
                if in_touch && is_up && self.now > *at + SETTLING_TIME {
                    violations.insert((*id, *number));
                }
            }
        }
        violations
    }
}

/// Plays a day; returns the first violations with their time, and the numbers of departures
/// that were acknowledged and refused.
fn play(seed: u64, needed: usize) -> (Option<String>, usize, usize) {
    let mut world = World::new(seed, needed);
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

/// Guards against departures that are acknowledged while only one replica knows them, and are
/// lost with it. Plays `HORNBEAMDOCK_SEEDS` days from seed `HORNBEAMDOCK_SEED` on.
#[gtest]
fn acknowledged_departure_outlasts_the_tolerated_losses() {
    let (first, seeds) = (setting("HORNBEAMDOCK_SEED", 1), setting("HORNBEAMDOCK_SEEDS", SEEDS));
    let (mut acknowledged, mut refused) = (0, 0);
    for seed in first..first + seeds {
        let (violation, acks, refusals) = play(seed, TOLERATED_LOSSES);
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
    let broken = (1..=SEEDS).filter(|seed| play(*seed, 0).0.is_some()).count();
    println!("{broken} of {SEEDS} days broken");
    expect_that!(broken, gt(0));
}

/// A replica that knows too few others refuses at once; one whose others are silent in time.
#[gtest]
fn departure_is_refused_in_time() {
    let mut alone = Spread::new(&[2], 2, Duration::ZERO);
    expect_that!(alone.decide(Event::Tick, Duration::ZERO), eq(Decision::Refuse));
    let mut silent = Spread::new(&[2, 3, 4, 5], 2, Duration::ZERO);
    expect_that!(silent.decide(Event::Confirmed(3), STEP), eq(Decision::Wait));
    expect_that!(silent.decide(Event::Confirmed(3), STEP), eq(Decision::Wait));
    let retry = silent.decide(Event::Failed(2), ATTEMPT_TIMEOUT);
    expect_that!(matches!(retry, Decision::Retry { to: 2, .. }), eq(true));
    expect_that!(silent.decide(Event::Tick, SPREAD_TIMEOUT), eq(Decision::Refuse));
}
