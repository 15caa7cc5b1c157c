//! The placer against engines whose orders get lost, come late, or meet a
//! change of leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::{
    catalog::{Catalog, Engine, Model, Service},
    directory::{Announced, Directory, Holding, Want},
    placer::{Action, Asked, Found, Op, Order, Outcome, Placer, Reported},
    traffic::{Demand, Report},
    view::Presence,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
/// How long a new leader gives no orders to targets that check fences.
const QUIET: Duration = Duration::from_millis(200);
/// The same for targets that don't.
const LEASE_QUIET: Duration = Duration::from_millis(3_200);
const BEAT: Duration = Duration::from_millis(1_200);
const REPORT_LAG: Duration = Duration::from_millis(200);
const MEMORY: u64 = 200_000;
const PLACES: u32 = 5;
const STORE_RATE: f64 = 1.4;
const LOAD: Duration = Duration::from_secs(5);
const DISK_LOAD: Duration = Duration::from_millis(1_200);

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                $run;
            }
        )+
    };
}

cases! {
    asked_model_becomes_resident => model_on_demand();
    asked_adapter_becomes_resident_at_once => adapter_on_demand();
    every_model_is_held_somewhere => all_reachable();
    busy_model_gets_copies => relief();
    unload_is_retried_after_a_surprise => surprise();
    store_rate_holds_when_engines_are_replaced => replaced();
    adapters_in_use_are_not_evicted => eviction();
    waited_for_adapter_gets_a_place => rotation();
    denied_holding_is_asked_for_again => denial();
    outdated_denial_frees_no_place => outdated_denial();
    memory_holds_on_calm_days => memory(Trouble::default(), 1..6);
    memory_holds_when_answers_are_lost =>
        memory(Trouble { unanswered: 0.3, ..Trouble::default() }, 10..20);
    memory_holds_when_leaders_change =>
        memory(Trouble { unanswered: 0.2, leaders: true, ..Trouble::default() }, 20..30);
    memory_holds_when_leaders_change_slowly =>
        memory(Trouble { unanswered: 0.2, leaders: true, slow: true, ..Trouble::default() }, 20..30);
    memory_holds_when_engines_restart =>
        memory(Trouble { unanswered: 0.2, restarts: true, ..Trouble::default() }, 30..40);
    memory_holds_under_all_of_it =>
        memory(Trouble { unanswered: 0.4, unreached: 0.2, leaders: true, restarts: true, slow: false }, 40..60);
    target_busy_for_an_earlier_leader_is_asked_again => busy_at_takeover();
    copies_found_by_a_new_leader_give_way => found_copies();
    hopeless_wait_is_answered_at_once => hopeless_wait();
    wait_for_a_load_that_ends_in_time_is_kept => short_wait();
    unknown_model_is_answered => unknown_model();
    lost_order_holds_its_target_up_for_half_a_second => lost_order();
    memory_holds_when_orders_do_not_arrive =>
        memory(Trouble { unreached: 0.4, ..Trouble::default() }, 60..75);
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Share of the orders that are not answered; a third of these are carried
    /// out seconds later.
    unanswered: f64,
    /// Share of the orders that never reach their target, for sure.
    unreached: f64,
    leaders: bool,
    restarts: bool,
    /// Whether new leaders wait until no order of the one before can come.
    slow: bool,
}

/// A model engine with the rules of memory, numbers of orders and fences.
#[derive(Clone, Debug)]
struct Target {
    born: u64,
    seq: u64,
    accepted: u64,
    fence: u64,
    models: BTreeMap<String, BTreeSet<String>>,
    copies: BTreeSet<String>,
    /// The order in progress and when it ends.
    busy: Option<(Duration, Op, String)>,
    beat: Duration,
    /// States of a while ago, as reports show them.
    past: Vec<(Duration, Reported)>,
}

struct World {
    now: Duration,
    rng: ChaCha8Rng,
    trouble: Trouble,
    catalog: Catalog,
    targets: BTreeMap<String, Target>,
    directory: Directory,
    placer: Placer,
    fence: u64,
    demands: BTreeMap<(String, Option<String>), (u64, u32)>,
    /// Whether requests are at targets for whatever is in demand.
    running: bool,
    /// Orders that are yet to be lost without an answer.
    lost: u32,
    /// Orders on their way that nobody waits for.
    late: Vec<(Duration, Order)>,
    answers: BTreeMap<u64, Found>,
    /// When loads from the store began.
    loads: Vec<Duration>,
    violations: Vec<String>,
}

fn model(name: String, memory: u64) -> Model {
    Model {
        name,
        memory,
        adapter_memory: 66,
        load: LOAD,
        disk_load: DISK_LOAD,
        warm_load: DISK_LOAD,
    }
}

impl World {
    fn new(targets: u16, models: u64, trouble: Trouble, seed: u64) -> Self {
        let models: Vec<_> =
            (0..models).map(|n| model(format!("m{n}"), 60_000 + 4_000 * (n % 4))).collect();
        let engine = Engine {
            slots: 64,
            cache_tokens: 150_000,
            models,
            memory: MEMORY,
            adapter_slots: PLACES,
            load_rate: STORE_RATE,
        };
        let service = Service {
            name: "llm".into(),
            health: "/health".into(),
            connections: 100,
            engine: Some(engine),
        };
        let mut world = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            catalog: Catalog { version: 1, services: vec![service], ..Catalog::default() },
            targets: BTreeMap::new(),
            directory: Directory::default(),
            placer: Placer::new(1, Duration::from_secs(1), Duration::ZERO),
            fence: 1,
            demands: BTreeMap::new(),
            running: true,
            lost: 0,
            late: Vec::new(),
            answers: BTreeMap::new(),
            loads: Vec::new(),
            violations: Vec::new(),
        };
        for n in 0..targets {
            world.targets.insert(format!("t{n}"), Target::new(1));
        }
        world
    }

    fn announce(&mut self, id: &str) {
        let target = &self.targets[id];
        let port: u16 = id[1..].parse().expect("a number");
        let announced = Announced {
            id: id.to_owned(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 1_000 + port).into(),
            domain: "a".into(),
            slots: 64,
            presence: Presence::Up,
            born: target.born,
            seq: target.seq,
            holdings: target.holdings(),
            copies: target.copies.iter().cloned().collect(),
        };
        self.directory.announce(announced, self.now);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let ids: Vec<_> = self.targets.keys().cloned().collect();
        for id in &ids {
            let now = self.now;
            let target = self.targets.get_mut(id).expect("it exists");
            let done = target.finish(now);
            target.remember(now);
            if done || now >= target.beat + BEAT {
                target.beat = now;
                target.seq += 1;
                self.announce(id);
            }
        }
        self.directory.tick(self.now);
        self.late_orders();
        self.strike(&ids);
        let report = self.report();
        let actions = self.placer.tick(&self.directory, &report, &self.catalog, self.now);
        self.carry_out(actions);
    }

    fn report(&self) -> Report {
        let demands = self.demands.iter().map(|((model, adapter), (work, waiting))| Demand {
            service: "llm".into(),
            model: model.clone(),
            adapter: adapter.clone(),
            work: *work,
            waiting: *waiting,
            running: u32::from(self.running && *work > 0),
        });
        Report { demands: demands.collect(), ..Report::default() }
    }

    fn late_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            self.deliver(&order);
        }
    }

    /// Changes the leader or restarts a target now and then.
    fn strike(&mut self, ids: &[String]) {
        if self.trouble.leaders && self.rng.random_bool(0.005) {
            self.fence += 1;
            let quiet = if self.trouble.slow { LEASE_QUIET } else { QUIET };
            self.placer = Placer::new(self.fence, self.now, quiet);
        }
        if self.trouble.restarts && self.rng.random_bool(0.002) {
            let id = &ids[self.rng.random_range(0..ids.len())];
            let copies = self.targets[id].copies.clone();
            let born = self.targets[id].born + 1;
            self.targets.insert(id.clone(), Target { copies, ..Target::new(born) });
            self.announce(id);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let actions = match action {
                Action::Ask { target, .. } => {
                    let reported = self.targets.get(&target).and_then(|t| t.report(self.now));
                    self.placer.reported(&target, reported, self.now)
                }
                Action::Send(order) => self.send(&order),
                Action::Note(note) => {
                    self.directory.note(&note, self.now);
                    Vec::new()
                }
                Action::Answer { id, found } => {
                    self.answers.insert(id, found);
                    Vec::new()
                }
            };
            self.carry_out(actions);
        }
    }

    fn send(&mut self, order: &Order) -> Vec<Action> {
        let outcome = if self.lost > 0 {
            self.lost -= 1;
            Outcome::Unknown
        } else if self.rng.random_bool(self.trouble.unreached) {
            Outcome::Refused
        } else if self.rng.random_bool(self.trouble.unanswered) {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            match self.rng.random_range(0..3) {
                0 => {}
                1 => self.late.push((self.now + delay, order.clone())),
                _ => {
                    self.deliver(order);
                }
            }
            Outcome::Unknown
        } else {
            self.deliver(order)
        };
        self.placer.ordered(order, outcome, &self.catalog, self.now)
    }

    /// Has a target judge an order and carry it out.
    fn deliver(&mut self, order: &Order) -> Outcome {
        let now = self.now;
        let service = &self.catalog.services[0];
        let Some(target) = self.targets.get_mut(&order.target) else {
            return Outcome::Refused;
        };
        if order.fence < target.fence {
            return Outcome::Fenced;
        }
        target.fence = order.fence;
        if order.expected.is_some_and(|e| e != target.accepted) || target.busy.is_some() {
            return Outcome::Conflict;
        }
        if let Some(adapter) = &order.adapter {
            let Some(adapters) = target.models.get_mut(&order.model) else {
                return Outcome::Refused;
            };
            target.accepted += 1;
            match order.op {
                Op::Load => adapters.insert(adapter.clone()),
                Op::Unload => adapters.remove(adapter),
            };
        } else {
            let held = target.models.contains_key(&order.model);
            if held == (order.op == Op::Load) {
                return Outcome::Holds;
            }
            target.accepted += 1;
            let time = match order.op {
                Op::Load if target.copies.contains(&order.model) => DISK_LOAD,
                Op::Load => {
                    self.loads.push(now);
                    LOAD
                }
                Op::Unload => Duration::from_millis(self.rng.random_range(50..2_500)),
            };
            target.busy = Some((now + time, order.op, order.model.clone()));
        }
        let coming = target.busy.iter().filter(|(_, op, _)| *op == Op::Load).map(|b| &b.2);
        let models = target.models.keys().chain(coming);
        let weights: u64 = models.map(|m| service.model(m).expect("it is known").memory).sum();
        let adapters: usize = target.models.values().map(BTreeSet::len).sum();
        if weights + adapters as u64 * 66 > MEMORY || adapters > PLACES as usize {
            self.violations.push(format!("{now:?}: {order:?} with {target:?}"));
        }
        // An adapter that no request uses goes at once.
        match (order.op, &order.adapter) {
            (Op::Unload, Some(_)) => Outcome::Holds,
            _ => Outcome::Accepted,
        }
    }

    fn holders(&self, model: &str) -> usize {
        self.targets.values().filter(|t| t.models.contains_key(model)).count()
    }

    fn demand(&mut self, model: &str, adapter: Option<&str>, work: u64, waiting: u32) {
        self.demands.insert((model.into(), adapter.map(Into::into)), (work, waiting));
    }

    fn want(&mut self, id: u64, model: &str, adapter: Option<&str>, lacking: &[String]) {
        let want =
            Want { service: "llm".into(), model: model.into(), adapter: adapter.map(Into::into) };
        let asked = Asked { want, beside: Vec::new(), patience: Duration::from_secs(4) };
        let actions = self.placer.want(id, asked, lacking, &self.catalog, self.now);
        self.carry_out(actions);
    }
}

impl Target {
    fn new(born: u64) -> Self {
        Self {
            born,
            seq: 0,
            accepted: 0,
            fence: 0,
            models: BTreeMap::new(),
            copies: BTreeSet::new(),
            busy: None,
            beat: Duration::ZERO,
            past: Vec::new(),
        }
    }

    fn holdings(&self) -> Vec<Holding> {
        let holding = |(model, adapters): (&String, &BTreeSet<String>)| Holding {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.models.iter().map(holding).collect()
    }

    fn finish(&mut self, now: Duration) -> bool {
        let Some((_, op, model)) = self.busy.take_if(|(at, _, _)| now >= *at) else {
            return false;
        };
        match op {
            Op::Load => {
                self.models.insert(model.clone(), BTreeSet::new());
                self.copies.insert(model);
            }
            Op::Unload => {
                self.models.remove(&model);
            }
        }
        true
    }

    fn remember(&mut self, now: Duration) {
        let reported = Reported {
            accepted: self.accepted,
            busy: self.busy.is_some(),
            holdings: self.holdings(),
            coming: Vec::new(),
        };
        self.past.push((now, reported));
        self.past.retain(|(at, _)| now <= *at + REPORT_LAG + STEP);
    }

    fn report(&self, now: Duration) -> Option<Reported> {
        let old = self.past.iter().rfind(|(at, _)| now >= *at + REPORT_LAG);
        old.map(|(_, reported)| reported.clone())
    }
}

fn model_on_demand() {
    let mut world = World::new(2, 3, Trouble::default(), 1);
    world.demand("m1", None, 1_000, 1);
    world.run(Duration::from_secs(8));
    expect_that!(world.holders("m1"), ge(1));
    expect_that!(world.violations, is_empty());
}

fn adapter_on_demand() {
    let mut world = World::new(2, 2, Trouble::default(), 1);
    world.run(Duration::from_secs(20));
    world.want(7, "m0", Some("a1"), &[]);
    world.run(Duration::from_millis(300));
    let Some(Found::At(target)) = world.answers.get(&7) else {
        panic!("no target has it: {:?}", world.answers);
    };
    expect_that!(world.targets[target].models["m0"].contains("a1"), eq(true));
}

fn all_reachable() {
    let mut world = World::new(6, 12, Trouble::default(), 1);
    world.run(Duration::from_mins(1));
    for n in 0..12 {
        expect_that!(world.holders(&format!("m{n}")), ge(1), "model m{n}");
    }
    expect_store_rate(&world);
}

/// Loads from the store in any five seconds stay within its rate, a tenth more
/// and three.
fn expect_store_rate(world: &World) {
    for (at, from) in world.loads.iter().enumerate() {
        let until = *from + Duration::from_secs(5);
        let count = world.loads[at..].iter().filter(|t| **t < until).count();
        let most = STORE_RATE * 5.0 * 1.1 + 3.0;
        expect_that!(f64::from(u32::try_from(count).unwrap()), le(most), "from {from:?}");
    }
}

/// A target has accepted orders that the placer does not know of. Its refusals
/// lead to a report, and the model that is waited for arrives all the same.
fn surprise() {
    let mut world = World::new(1, 4, Trouble::default(), 1);
    world.run(Duration::from_secs(30));
    let held: BTreeSet<_> = world.targets["t0"].models.keys().cloned().collect();
    let missing = (0..4).map(|n| format!("m{n}")).find(|m| !held.contains(m)).unwrap();
    world.targets.get_mut("t0").unwrap().accepted += 3;
    world.demand(&missing, None, 20_000, 5);
    world.run(Duration::from_secs(12));
    expect_that!(world.holders(&missing), eq(1));
}

/// All engines are replaced by empty ones, one after the other, while all models
/// are asked for.
fn replaced() {
    for seed in 0..5 {
        let mut world = World::new(9, 14, Trouble::default(), seed);
        for n in 0..14 {
            world.demand(&format!("m{n}"), None, 3_000 * (14 - n), 0);
        }
        world.run(Duration::from_secs(40));
        for n in 0..9 {
            world.targets.insert(format!("t{}", 100 + n), Target::new(1));
            world.run(Duration::from_millis(800));
            let id = format!("t{n}");
            world.directory.depart(&id, None);
            world.targets.remove(&id);
        }
        world.run(Duration::from_secs(20));
        expect_store_rate(&world);
        expect_that!(world.violations, is_empty());
    }
}

fn relief() {
    let mut world = World::new(6, 4, Trouble::default(), 1);
    world.run(Duration::from_secs(20));
    world.demand("m0", None, 60_000, 0);
    world.run(Duration::from_secs(20));
    expect_that!(world.holders("m0"), ge(3));
    expect_that!(world.violations, is_empty());
}

fn eviction() {
    let mut world = World::new(1, 1, Trouble::default(), 1);
    world.run(Duration::from_secs(10));
    for n in 0..u64::from(PLACES) {
        let adapter = format!("a{n}");
        world.want(n, "m0", Some(&adapter), &[]);
        world.run(Duration::from_millis(200));
        world.demand("m0", Some(&adapter), 100, 0);
    }
    world.demands.remove(&("m0".into(), Some("a2".into())));
    world.run(Duration::from_secs(3));
    world.want(99, "m0", Some("a9"), &[]);
    world.run(Duration::from_secs(1));
    let held = &world.targets["t0"].models["m0"];
    expect_that!(held.contains("a9"), eq(true));
    expect_that!(held.contains("a2"), eq(false));
    expect_that!(held.len(), eq(PLACES as usize));
    expect_that!(world.violations, is_empty());
}

/// All places hold adapters that are asked for all the time but have no request
/// at a target at the moment; one that is waited for gets a place.
fn rotation() {
    let mut world = World::new(1, 1, Trouble::default(), 1);
    world.run(Duration::from_secs(10));
    for n in 0..u64::from(PLACES) {
        let adapter = format!("a{n}");
        world.want(n, "m0", Some(&adapter), &[]);
        world.run(Duration::from_millis(200));
        world.demand("m0", Some(&adapter), 100, 0);
    }
    world.running = false;
    world.run(Duration::from_secs(2));
    world.want(99, "m0", Some("a9"), &[]);
    world.run(Duration::from_secs(1));
    expect_that!(world.targets["t0"].models["m0"].contains("a9"), eq(true));
    expect_that!(world.violations, is_empty());
}

/// A target has lost an adapter without a word; a caller who was denied it there
/// gets it all the same.
fn denial() {
    let mut world = World::new(1, 1, Trouble::default(), 1);
    world.run(Duration::from_secs(10));
    world.want(1, "m0", Some("a1"), &[]);
    world.run(Duration::from_millis(300));
    world.targets.get_mut("t0").unwrap().models.get_mut("m0").unwrap().clear();
    world.want(2, "m0", Some("a1"), &["t0".into()]);
    world.run(Duration::from_secs(3));
    expect_that!(world.targets["t0"].models["m0"].contains("a1"), eq(true));
}

/// All places of two targets are taken when someone brings an old denial of an
/// adapter that is at both by now.
fn outdated_denial() {
    let mut world = World::new(2, 1, Trouble::default(), 1);
    world.run(Duration::from_secs(10));
    let adapters = |names: [&str; 5]| names.map(String::from).into_iter().collect();
    let held = [adapters(["a0", "a1", "a2", "a3", "a4"]), adapters(["a2", "a5", "a6", "a7", "a8"])];
    for (target, adapters) in world.targets.values_mut().zip(held) {
        target.models.insert("m0".into(), adapters);
    }
    world.run(Duration::from_secs(1));
    world.placer = Placer::new(2, world.now, Duration::ZERO);
    world.run(Duration::from_secs(2));
    world.want(50, "m0", Some("a2"), &["t0".into()]);
    expect_that!(world.answers[&50], eq(&Found::At("t1".into())));
    world.want(51, "m0", Some("a9"), &[]);
    world.run(Duration::from_secs(4));
    expect_that!(world.violations, is_empty());
    expect_that!(world.targets["t0"].models["m0"].contains("a2"), eq(true));
}

/// A leader takes over while a target carries out an order of the one before,
/// and gives it orders once that is done.
fn busy_at_takeover() {
    let mut world = World::new(1, 3, Trouble::default(), 1);
    world.demand("m0", None, 10_000, 1);
    world.run(Duration::from_secs(1));
    expect_that!(world.targets["t0"].busy, some(anything()));
    world.placer = Placer::new(2, world.now, QUIET);
    world.demand("m1", None, 10_000, 1);
    world.run(LOAD * 2 + Duration::from_secs(2));
    expect_that!(world.holders("m0"), eq(1));
    expect_that!(world.holders("m1"), eq(1));
}

/// A new leader finds all memory taken by copies that nobody asks for, and makes
/// room at once for a model that is waited for.
fn found_copies() {
    let mut world = World::new(2, 8, Trouble::default(), 1);
    world.run(Duration::from_mins(1));
    let held = |w: &World, n: u64| w.holders(&format!("m{n}")) > 0;
    let missing = (0..8).find(|n| !held(&world, *n)).expect("not all fit");
    world.placer = Placer::new(2, world.now, QUIET);
    world.demand(&format!("m{missing}"), None, 10_000, 3);
    world.run(QUIET + Duration::from_millis(3_500) + LOAD);
    expect_that!(held(&world, missing), eq(true));
}

/// A model that takes five seconds to load is asked for by someone who can wait
/// for four: the answer comes at once and says how long it takes.
fn hopeless_wait() {
    let mut world = World::new(1, 6, Trouble::default(), 1);
    world.run(Duration::from_secs(30));
    let missing = (0..6).find(|n| world.holders(&format!("m{n}")) == 0).expect("not all fit");
    let missing = format!("m{missing}");
    world.want(1, &missing, None, &[]);
    let long = |found: &Found| matches!(found, Found::Soon(d) if *d >= Duration::from_secs(4));
    expect_that!(world.answers.get(&1).is_some_and(long), eq(true), "{:?}", world.answers);
    // Once room is made and it is being loaded, the rest of the load counts.
    world.demand(&missing, None, 10_000, 1);
    world.run(Duration::from_secs(6));
    world.want(2, &missing, None, &[]);
    expect_that!(world.answers.get(&2), none());
    world.run(LOAD);
    expect_that!(world.answers.get(&2), some(anything()));
}

/// A load that is nearly complete is waited for.
fn short_wait() {
    let mut world = World::new(1, 1, Trouble::default(), 1);
    world.run(Duration::from_secs(4));
    world.want(1, "m0", None, &[]);
    expect_that!(world.answers.get(&1), none());
    world.run(Duration::from_secs(3));
    expect_that!(world.answers.get(&1), some(anything()));
}

/// An order never arrives and is not answered. The target gets the next one
/// within half a second.
fn lost_order() {
    let mut world = World::new(1, 6, Trouble::default(), 1);
    world.run(Duration::from_secs(30));
    let missing = (0..6).find(|n| world.holders(&format!("m{n}")) == 0).expect("not all fit");
    world.demand(&format!("m{missing}"), None, 10_000, 1);
    let accepted = world.targets["t0"].accepted;
    world.lost = 1;
    while world.lost > 0 {
        world.step();
    }
    world.run(Duration::from_millis(500));
    expect_that!(world.targets["t0"].accepted, gt(accepted));
}

/// Nothing is known of a model that no catalog names.
fn unknown_model() {
    let mut world = World::new(1, 1, Trouble::default(), 1);
    world.want(1, "other", None, &[]);
    world.run(Duration::from_secs(2));
    expect_that!(world.answers.get(&1), some(eq(&Found::Nowhere)));
}

/// Demand wanders over models and adapters while things go wrong; no order ever
/// exceeds a target's memory or places.
fn memory(trouble: Trouble, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::new(5, 9, trouble, seed);
        for round in 0..60_u64 {
            let model = format!("m{}", world.rng.random_range(0..9));
            let work = world.rng.random_range(0..40_000);
            world.demand(&model, None, work, u32::from(work % 3 == 0));
            for n in 0..4 {
                let adapter = format!("a{}", world.rng.random_range(0..12));
                let model = format!("m{}", world.rng.random_range(0..9));
                // Some were told by a target that it lacks the adapter, maybe
                // before it got it.
                let lacking = format!("t{}", world.rng.random_range(0..20));
                world.want(round * 10 + n, &model, Some(&adapter), &[lacking]);
            }
            world.run(Duration::from_secs(1));
        }
        expect_that!(world.violations, is_empty(), "seed {seed}");
    }
}
