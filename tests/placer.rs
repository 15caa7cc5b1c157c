//! Tests of the placer with simulated targets: orders get lost or arrive late,
//! and leaders change.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::{
    catalog::{Catalog, Engine, Model, Service},
    directory::{AnnouncedTarget, Directory, Holding, Requirement},
    placer::{Action, Availability, Op, Order, Outcome, PlacementRequest, Placer, TargetReport},
    traffic::{Demand, Report},
    view::Presence,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
/// How long a new leader sends no orders to targets that check fencing tokens.
const FENCED_TAKEOVER_DELAY: Duration = Duration::from_millis(200);
/// How long a new leader sends no orders to targets that don't check them.
const UNFENCED_TAKEOVER_DELAY: Duration = Duration::from_millis(3_200);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
const SIMULATED_REPORT_LAG: Duration = Duration::from_millis(200);
/// Memory of a target, in MB.
const MEMORY: u64 = 200_000;
const ADAPTER_SLOTS: u32 = 5;
/// Loads per second that the weight store allows.
const STORE_RATE: f64 = 1.4;
const LOAD_TIME: Duration = Duration::from_secs(5);
const DISK_LOAD_TIME: Duration = Duration::from_millis(1_200);

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
    model_in_demand_becomes_resident => model_on_demand();
    requested_adapter_becomes_resident_within_300_ms => adapter_on_demand();
    every_model_is_resident_somewhere => all_models_resident();
    busy_model_gets_copies => copies_of_busy_model();
    unload_is_retried_after_a_conflict => conflict();
    model_is_not_offered_again_while_its_unload_takes_long => slow_unload();
    model_that_an_earlier_leader_unloads_is_not_offered_again => unload_at_takeover();
    store_rate_is_not_exceeded_when_targets_are_replaced => replacement();
    adapters_in_use_are_not_evicted => evicts_unused_adapter();
    adapter_is_placed_on_a_target_of_the_software_version => adapter_for_software();
    model_is_loaded_at_the_version_that_began_a_stream => model_for_software(&["m1", "m2"]);
    memory_is_freed_at_the_version_that_began_a_stream =>
        model_for_software(&["m1", "m4", "m5"]);
    bound_request_waits_for_a_load_at_its_version => wait_for_software();
    requested_adapter_gets_a_slot => slot_reuse();
    adapter_without_a_copy_gets_a_slot_of_one_with_two => slot_of_second_copy();
    adapter_of_a_bound_request_gets_a_slot_of_one_that_another_version_has => slot_of_version();
    slot_of_the_adapter_with_fewest_requests_is_freed => slot_of_least_used();
    last_copy_of_a_model_at_a_version_stays_for_interrupted_streams => last_copy_of_version();
    adapter_reported_missing_is_loaded_again => missing_report();
    outdated_missing_report_frees_no_slot => outdated_missing_report();
    memory_holds_without_faults => check_memory_under_faults(Faults::default(), 1..6);
    memory_holds_when_answers_are_lost =>
        check_memory_under_faults(Faults { unanswered: 0.3, ..Faults::default() }, 10..20);
    memory_holds_when_leaders_change =>
        check_memory_under_faults(
            Faults { unanswered: 0.2, leader_changes: true, ..Faults::default() },
            20..30,
        );
    memory_holds_when_new_leaders_wait_longer =>
        check_memory_under_faults(
            Faults {
                unanswered: 0.2,
                leader_changes: true,
                long_takeover_delay: true,
                ..Faults::default()
            },
            20..30,
        );
    memory_holds_when_targets_restart =>
        check_memory_under_faults(
            Faults { unanswered: 0.2, restarts: true, ..Faults::default() },
            30..40,
        );
    memory_holds_under_all_faults =>
        check_memory_under_faults(
            Faults {
                unanswered: 0.4,
                undelivered: 0.2,
                leader_changes: true,
                restarts: true,
                long_takeover_delay: false,
            },
            40..60,
        );
    target_busy_for_an_earlier_leader_is_queried_again => busy_at_takeover();
    copies_found_by_a_new_leader_are_evicted => found_copies();
    hopeless_wait_is_answered_at_once => load_outlasts_request();
    request_waits_for_a_load_that_ends_in_time => short_wait();
    unknown_model_is_answered => unknown_model();
    lost_order_holds_its_target_up_for_half_a_second => lost_order();
    absurd_numbers_in_a_catalog_do_not_stop_the_placer => absurd_catalog();
    absurd_count_of_orders_in_a_report_does_not_stop_the_placer => absurd_report();
    memory_holds_when_orders_do_not_arrive =>
        check_memory_under_faults(Faults { undelivered: 0.4, ..Faults::default() }, 60..75);
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Fraction of the orders that get no answer. A third of these is lost, a
    /// third is carried out seconds later, a third at once.
    unanswered: f64,
    /// Fraction of the orders whose sending fails, so that the placer knows that they
    /// did not arrive.
    undelivered: f64,
    leader_changes: bool,
    restarts: bool,
    /// Whether new leaders wait for [`UNFENCED_TAKEOVER_DELAY`] instead of
    /// [`FENCED_TAKEOVER_DELAY`].
    long_takeover_delay: bool,
}

/// A simulated target that checks order counts and fencing tokens.
#[derive(Clone, Debug)]
struct Target {
    software: &'static str,
    incarnation: u64,
    seq: u64,
    /// Count of accepted orders.
    accepted: u64,
    /// Highest fencing token seen.
    fence: u64,
    /// Resident adapters, by resident model.
    models: BTreeMap<String, BTreeSet<String>>,
    cached_models: BTreeSet<String>,
    /// The order in progress and when it ends.
    busy: Option<(Duration, Op, String)>,
    announced_at: Duration,
    /// Recent states; a report shows the one of [`SIMULATED_REPORT_LAG`] ago.
    history: Vec<(Duration, TargetReport)>,
}

struct Simulation {
    now: Duration,
    rng: ChaCha8Rng,
    faults: Faults,
    catalog: Catalog,
    targets: BTreeMap<String, Target>,
    directory: Directory,
    placer: Placer,
    /// Fencing token of the current leader.
    fence: u64,
    /// Work and number of waiting requests, by model and adapter.
    demands: BTreeMap<(String, Option<String>), (u64, u32)>,
    /// Whether the traffic report states a running request for each model and
    /// adapter with work.
    running: bool,
    /// Models and adapters with a number of running requests and no arriving work, as after
    /// gateways ended.
    interrupted: Vec<(String, Option<String>, u32)>,
    /// How many of the next orders are lost without an answer.
    orders_to_lose: u32,
    /// Time that targets take to unload a model; `None` for a random one.
    unload_time: Option<Duration>,
    /// Orders whose sender has timed out, and when they arrive.
    delayed: Vec<(Duration, Order)>,
    answers: BTreeMap<u64, Availability>,
    /// When loads from the store began.
    store_loads: Vec<Duration>,
    /// Orders that made a target exceed its memory or adapter slots.
    violations: Vec<String>,
}

fn model(name: String, weights_mb: u64) -> Model {
    Model {
        name,
        weights_mb,
        adapter_mb: 66,
        store_load: LOAD_TIME,
        disk_load: DISK_LOAD_TIME,
        warm_load: DISK_LOAD_TIME,
    }
}

impl Simulation {
    fn new(targets: u16, models: u64, faults: Faults, seed: u64) -> Self {
        let models: Vec<_> =
            (0..models).map(|n| model(format!("m{n}"), 60_000 + 4_000 * (n % 4))).collect();
        let engine = Engine {
            slots: 64,
            cache_tokens: 150_000,
            models,
            memory_mb: MEMORY,
            adapter_slots: ADAPTER_SLOTS,
            load_rate: STORE_RATE,
        };
        let service = Service {
            name: "llm".into(),
            health_path: "/health".into(),
            max_connections: 100,
            engine: Some(engine),
            warm_up: None,
        };
        let mut sim = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            catalog: Catalog { version: 1, services: vec![service], ..Catalog::default() },
            targets: BTreeMap::new(),
            directory: Directory::default(),
            placer: Placer::new(1, Duration::from_secs(1), Duration::ZERO),
            fence: 1,
            demands: BTreeMap::new(),
            running: true,
            interrupted: Vec::new(),
            orders_to_lose: 0,
            unload_time: None,
            delayed: Vec::new(),
            answers: BTreeMap::new(),
            store_loads: Vec::new(),
            violations: Vec::new(),
        };
        for n in 0..targets {
            sim.targets.insert(format!("t{n}"), Target::new(1));
        }
        sim
    }

    fn announce(&mut self, id: &str) {
        let target = &self.targets[id];
        let port: u16 = id[1..].parse().expect("target ids are t0, t1 and so on");
        let announced = AnnouncedTarget {
            id: id.to_owned(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 1_000 + port).into(),
            domain: "a".into(),
            software: target.software.into(),
            slots: 64,
            presence: Presence::Up,
            incarnation: target.incarnation,
            seq: target.seq,
            holdings: target.holdings(),
            cached_models: target.cached_models.iter().cloned().collect(),
            cold_left: std::time::Duration::ZERO,
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
            let target = self.targets.get_mut(id).expect("target exists");
            let done = target.finish_order(now);
            target.record_state(now);
            if done || now >= target.announced_at + ANNOUNCE_INTERVAL {
                target.announced_at = now;
                target.seq += 1;
                self.announce(id);
            }
        }
        self.directory.tick(self.now);
        self.deliver_delayed();
        self.inject_faults(&ids);
        let report = self.traffic_report();
        let actions = self.placer.tick(&self.directory, &report, &self.catalog, self.now);
        self.execute(actions);
    }

    fn traffic_report(&self) -> Report {
        let demands = self.demands.iter().map(|((model, adapter), (work, waiting))| Demand {
            service: "llm".into(),
            model: model.clone(),
            adapter: adapter.clone(),
            work: *work,
            waiting: *waiting,
            running: u32::from(self.running && *work > 0),
        });
        let interrupted = self.interrupted.iter().map(|(model, adapter, running)| Demand {
            service: "llm".into(),
            model: model.clone(),
            adapter: adapter.clone(),
            work: 0,
            waiting: 0,
            running: *running,
        });
        Report { demands: demands.chain(interrupted).collect(), ..Report::default() }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.delayed.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            self.deliver(&order);
        }
    }

    /// Changes the leader or restarts a target at random.
    fn inject_faults(&mut self, ids: &[String]) {
        if self.faults.leader_changes && self.rng.random_bool(0.005) {
            self.fence += 1;
            let takeover_delay = if self.faults.long_takeover_delay {
                UNFENCED_TAKEOVER_DELAY
            } else {
                FENCED_TAKEOVER_DELAY
            };
            self.placer = Placer::new(self.fence, self.now, takeover_delay);
        }
        if self.faults.restarts && self.rng.random_bool(0.002) {
            let id = &ids[self.rng.random_range(0..ids.len())];
            let cached_models = self.targets[id].cached_models.clone();
            let incarnation = self.targets[id].incarnation + 1;
            self.targets.insert(id.clone(), Target { cached_models, ..Target::new(incarnation) });
            self.announce(id);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            let actions = match action {
                Action::QueryTarget { target, .. } => {
                    let report = self.targets.get(&target).and_then(|t| t.report(self.now));
                    self.placer.handle_report(&target, report, self.now)
                }
                Action::SendOrder(order) => self.send(&order),
                Action::PublishHoldings(update) => {
                    self.directory.apply_update(&update, self.now);
                    Vec::new()
                }
                Action::Answer { id, availability } => {
                    self.answers.insert(id, availability);
                    Vec::new()
                }
            };
            self.execute(actions);
        }
    }

    fn send(&mut self, order: &Order) -> Vec<Action> {
        let outcome = if self.orders_to_lose > 0 {
            self.orders_to_lose -= 1;
            Outcome::Unknown
        } else if self.rng.random_bool(self.faults.undelivered) {
            Outcome::Refused
        } else if self.rng.random_bool(self.faults.unanswered) {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            match self.rng.random_range(0..3) {
                0 => {}
                1 => self.delayed.push((self.now + delay, order.clone())),
                _ => {
                    self.deliver(order);
                }
            }
            Outcome::Unknown
        } else {
            self.deliver(order)
        };
        self.placer.handle_outcome(order, outcome, &self.catalog, self.now)
    }

    /// Lets a target accept or reject an order and start to carry it out.
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
        if order.expected_accepted.is_some_and(|e| e != target.accepted) || target.busy.is_some() {
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
            let resident = target.models.contains_key(&order.model);
            if resident == (order.op == Op::Load) {
                return Outcome::Complete;
            }
            target.accepted += 1;
            let time = match order.op {
                Op::Load if target.cached_models.contains(&order.model) => DISK_LOAD_TIME,
                Op::Load => {
                    self.store_loads.push(now);
                    LOAD_TIME
                }
                Op::Unload => self
                    .unload_time
                    .unwrap_or_else(|| Duration::from_millis(self.rng.random_range(50..2_500))),
            };
            target.busy = Some((now + time, order.op, order.model.clone()));
        }
        let loading = target.busy.iter().filter(|(_, op, _)| *op == Op::Load).map(|b| &b.2);
        let models = target.models.keys().chain(loading);
        let weights: u64 =
            models.map(|m| service.model(m).expect("model is in the catalog").weights_mb).sum();
        let adapters: usize = target.models.values().map(BTreeSet::len).sum();
        if weights + adapters as u64 * 66 > MEMORY || adapters > ADAPTER_SLOTS as usize {
            self.violations.push(format!("{now:?}: {order:?} with {target:?}"));
        }
        // An adapter without requests is unloaded at once.
        match (order.op, &order.adapter) {
            (Op::Unload, Some(_)) => Outcome::Complete,
            _ => Outcome::Accepted,
        }
    }

    fn holder_count(&self, model: &str) -> usize {
        self.targets.values().filter(|t| t.models.contains_key(model)).count()
    }

    fn set_demand(&mut self, model: &str, adapter: Option<&str>, work: u64, waiting: u32) {
        self.demands.insert((model.into(), adapter.map(Into::into)), (work, waiting));
    }

    fn request(&mut self, id: u64, model: &str, adapter: Option<&str>, missing_at: &[String]) {
        self.request_at(id, model, adapter, None, missing_at);
    }

    /// Requests a model or adapter at a target of a software version.
    fn request_at(
        &mut self,
        id: u64,
        model: &str,
        adapter: Option<&str>,
        software: Option<&str>,
        missing_at: &[String],
    ) {
        let requirement = Requirement {
            service: "llm".into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
        };
        let request = PlacementRequest {
            requirement,
            software: software.map(Into::into),
            domains: Vec::new(),
            exclude: Vec::new(),
            max_wait: Duration::from_secs(4),
        };
        let actions =
            self.placer.handle_placement_request(id, request, missing_at, &self.catalog, self.now);
        self.execute(actions);
    }
}

impl Target {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            software: "v1",
            seq: 0,
            accepted: 0,
            fence: 0,
            models: BTreeMap::new(),
            cached_models: BTreeSet::new(),
            busy: None,
            announced_at: Duration::ZERO,
            history: Vec::new(),
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

    fn finish_order(&mut self, now: Duration) -> bool {
        let Some((_, op, model)) = self.busy.take_if(|(at, _, _)| now >= *at) else {
            return false;
        };
        match op {
            Op::Load => {
                self.models.insert(model.clone(), BTreeSet::new());
                self.cached_models.insert(model);
            }
            Op::Unload => {
                self.models.remove(&model);
            }
        }
        true
    }

    fn record_state(&mut self, now: Duration) {
        let report = TargetReport {
            accepted: self.accepted,
            busy: self.busy.is_some(),
            holdings: self.holdings(),
            loading_adapters: Vec::new(),
        };
        self.history.push((now, report));
        self.history.retain(|(at, _)| now <= *at + SIMULATED_REPORT_LAG + STEP);
    }

    fn report(&self, now: Duration) -> Option<TargetReport> {
        let old = self.history.iter().rfind(|(at, _)| now >= *at + SIMULATED_REPORT_LAG);
        old.map(|(_, report)| report.clone())
    }
}

fn model_on_demand() {
    let mut sim = Simulation::new(2, 3, Faults::default(), 1);
    sim.set_demand("m1", None, 1_000, 1);
    sim.run(Duration::from_secs(8));
    expect_that!(sim.holder_count("m1"), ge(1));
    expect_that!(sim.violations, is_empty());
}

fn adapter_on_demand() {
    let mut sim = Simulation::new(2, 2, Faults::default(), 1);
    sim.run(Duration::from_secs(20));
    sim.request(7, "m0", Some("a1"), &[]);
    sim.run(Duration::from_millis(300));
    let Some(Availability::At(target)) = sim.answers.get(&7) else {
        panic!("no target has it: {:?}", sim.answers);
    };
    expect_that!(sim.targets[target].models["m0"].contains("a1"), eq(true));
}

fn all_models_resident() {
    let mut sim = Simulation::new(6, 12, Faults::default(), 1);
    sim.run(Duration::from_mins(1));
    for n in 0..12 {
        expect_that!(sim.holder_count(&format!("m{n}")), ge(1), "model m{n}");
    }
    expect_store_rate(&sim);
}

/// Expects at most the store's rate, plus a tenth, plus three loads in any five
/// seconds.
fn expect_store_rate(sim: &Simulation) {
    for (at, from) in sim.store_loads.iter().enumerate() {
        let until = *from + Duration::from_secs(5);
        let count = sim.store_loads[at..].iter().filter(|t| **t < until).count();
        let most = STORE_RATE * 5.0 * 1.1 + 3.0;
        expect_that!(f64::from(u32::try_from(count).unwrap()), le(most), "from {from:?}");
    }
}

/// A target has accepted orders that the placer does not know of. After the
/// conflict the placer queries it, and the model that requests
/// wait for is loaded.
fn conflict() {
    let mut sim = Simulation::new(1, 4, Faults::default(), 1);
    sim.run(Duration::from_secs(30));
    let resident: BTreeSet<_> = sim.targets["t0"].models.keys().cloned().collect();
    let missing = (0..4).map(|n| format!("m{n}")).find(|m| !resident.contains(m)).unwrap();
    sim.targets.get_mut("t0").unwrap().accepted += 3;
    sim.set_demand(&missing, None, 20_000, 5);
    sim.run(Duration::from_secs(12));
    expect_that!(sim.holder_count(&missing), eq(1));
}

/// The last requests of a model take eight seconds, and its target rejects new ones meanwhile.
fn slow_unload() {
    let mut sim = Simulation::new(1, 4, Faults::default(), 1);
    sim.unload_time = Some(Duration::from_secs(8));
    sim.run(Duration::from_secs(30));
    let missing = (0..4).map(|n| format!("m{n}")).find(|m| sim.holder_count(m) == 0).unwrap();
    sim.set_demand(&missing, None, 20_000, 5);
    let mut unloading = Duration::ZERO;
    while unloading < Duration::from_secs(7) {
        sim.run(STEP);
        let Some((_, Op::Unload, model)) = sim.targets["t0"].busy.clone() else {
            continue;
        };
        unloading += STEP;
        let requirement = Requirement { service: "llm".into(), model, adapter: None };
        let offered = sim.directory.get("t0").unwrap().holds(&requirement);
        assert!(!offered, "after {unloading:?}");
    }
}

/// The leader changes while a target unloads a model for seconds.
fn unload_at_takeover() {
    let mut sim = Simulation::new(1, 4, Faults::default(), 1);
    sim.unload_time = Some(Duration::from_secs(8));
    sim.run(Duration::from_secs(30));
    let missing = (0..4).map(|n| format!("m{n}")).find(|m| sim.holder_count(m) == 0).unwrap();
    sim.set_demand(&missing, None, 20_000, 5);
    let model = loop {
        sim.run(STEP);
        if let Some((_, Op::Unload, model)) = sim.targets["t0"].busy.clone() {
            break model;
        }
    };
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    let requirement = Requirement { service: "llm".into(), model, adapter: None };
    for step in 0..120 {
        sim.run(STEP);
        let offered = sim.directory.get("t0").unwrap().holds(&requirement);
        assert!(!offered, "after step {step}");
    }
}

/// All targets are replaced by empty ones, one after another, while every model
/// is in demand.
fn replacement() {
    for seed in 0..5 {
        let mut sim = Simulation::new(9, 14, Faults::default(), seed);
        for n in 0..14 {
            sim.set_demand(&format!("m{n}"), None, 3_000 * (14 - n), 0);
        }
        sim.run(Duration::from_secs(40));
        for n in 0..9 {
            sim.targets.insert(format!("t{}", 100 + n), Target::new(1));
            sim.run(Duration::from_millis(800));
            let id = format!("t{n}");
            sim.directory.mark_leaving(&id, None, sim.now);
            sim.targets.remove(&id);
        }
        sim.run(Duration::from_secs(20));
        expect_store_rate(&sim);
        expect_that!(sim.violations, is_empty());
    }
}

fn copies_of_busy_model() {
    let mut sim = Simulation::new(6, 4, Faults::default(), 1);
    sim.run(Duration::from_secs(20));
    sim.set_demand("m0", None, 60_000, 0);
    sim.run(Duration::from_secs(20));
    expect_that!(sim.holder_count("m0"), ge(3));
    expect_that!(sim.violations, is_empty());
}

fn evicts_unused_adapter() {
    let mut sim = Simulation::new(1, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(10));
    for n in 0..u64::from(ADAPTER_SLOTS) {
        let adapter = format!("a{n}");
        sim.request(n, "m0", Some(&adapter), &[]);
        sim.run(Duration::from_millis(200));
        sim.set_demand("m0", Some(&adapter), 100, 0);
    }
    sim.demands.remove(&("m0".into(), Some("a2".into())));
    sim.run(Duration::from_secs(3));
    sim.request(99, "m0", Some("a9"), &[]);
    sim.run(Duration::from_secs(1));
    let resident = &sim.targets["t0"].models["m0"];
    expect_that!(resident.contains("a9"), eq(true));
    expect_that!(resident.contains("a2"), eq(false));
    expect_that!(resident.len(), eq(ADAPTER_SLOTS as usize));
    expect_that!(sim.violations, is_empty());
}

/// A target of another software version holds the adapter already.
fn adapter_for_software() {
    let mut sim = Simulation::new(2, 1, Faults::default(), 1);
    sim.targets.get_mut("t1").unwrap().software = "v2";
    sim.run(Duration::from_secs(10));
    let adapters = BTreeSet::from(["a1".to_owned()]);
    sim.targets.get_mut("t0").unwrap().models.insert("m0".into(), adapters);
    sim.targets.get_mut("t1").unwrap().models.entry("m0".into()).or_default();
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    sim.run(Duration::from_secs(2));
    sim.request_at(1, "m0", Some("a1"), Some("v2"), &[]);
    sim.run(Duration::from_millis(300));
    expect_that!(sim.answers[&1], eq(&Availability::At("t1".into())));
    sim.request_at(2, "m0", Some("a1"), Some("v3"), &[]);
    sim.run(Duration::from_secs(5));
    expect_that!(sim.answers[&2], eq(&Availability::Nowhere));
}

/// Targets `t0` and `t1` of one version, and `t2` of a newer one. `m0` is resident on `t0`, which
/// has just ended, and on `t2`.
fn lost_copy_of_version(at_t1: &[&str]) -> Simulation {
    let mut sim = Simulation::new(3, 6, Faults::default(), 1);
    sim.targets.get_mut("t2").unwrap().software = "v2";
    sim.run(STEP);
    let resident = [&["m0"][..], at_t1, &["m0", "m3"]];
    for (target, models) in ["t0", "t1", "t2"].into_iter().zip(resident) {
        let models = models.iter().map(|m| ((*m).to_owned(), BTreeSet::new())).collect();
        let target = sim.targets.get_mut(target).unwrap();
        (target.models, target.busy) = (models, None);
    }
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    sim.run(Duration::from_secs(6));
    sim.targets.remove("t0");
    sim
}

/// A caller continues a stream at its version while no target of that holds the model.
fn model_for_software(at_t1: &[&str]) {
    let mut sim = lost_copy_of_version(at_t1);
    sim.request_at(1, "m0", None, Some("v1"), &["t0".into()]);
    // Memory may have to be freed first.
    sim.run(LOAD_TIME + Duration::from_secs(4));
    expect_that!(sim.targets["t1"].models.contains_key("m0"), eq(true));
    expect_that!(sim.violations, is_empty());
    sim.request_at(2, "m0", None, Some("v1"), &[]);
    expect_that!(sim.answers.get(&2), some(eq(&Availability::At("t1".into()))));
}

/// The target has the model on its own disk, so that the load ends in the time of the request.
fn wait_for_software() {
    let mut sim = lost_copy_of_version(&["m1"]);
    sim.targets.get_mut("t1").unwrap().cached_models.insert("m0".into());
    sim.run(ANNOUNCE_INTERVAL);
    sim.request_at(1, "m0", None, Some("v1"), &["t0".into()]);
    expect_that!(sim.answers.get(&1), none());
    sim.run(DISK_LOAD_TIME + STEP * 4);
    expect_that!(sim.answers.get(&1), some(eq(&Availability::At("t1".into()))));
}

/// All adapter slots are taken by adapters that are in demand but have no request
/// at a target at the moment; a requested adapter gets a slot.
fn slot_reuse() {
    let mut sim = Simulation::new(1, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(10));
    for n in 0..u64::from(ADAPTER_SLOTS) {
        let adapter = format!("a{n}");
        sim.request(n, "m0", Some(&adapter), &[]);
        sim.run(Duration::from_millis(200));
        sim.set_demand("m0", Some(&adapter), 100, 0);
    }
    sim.running = false;
    sim.run(Duration::from_secs(2));
    sim.request(99, "m0", Some("a9"), &[]);
    sim.run(Duration::from_secs(1));
    expect_that!(sim.targets["t0"].models["m0"].contains("a9"), eq(true));
    expect_that!(sim.violations, is_empty());
}

/// All adapters in all slots have requests at targets. Only one of them has two copies at
/// targets of the version; the copy at a target of another version does not count.
fn slot_of_second_copy() {
    let mut sim = Simulation::new(3, 1, Faults::default(), 1);
    sim.targets.get_mut("t2").unwrap().software = "v2";
    sim.run(Duration::from_secs(10));
    let resident = [["a0", "a1", "a2", "a3", "a4"], ["a0", "a5", "a6", "a7", "a8"]];
    for (target, adapters) in ["t0", "t1"].into_iter().zip(resident) {
        let adapters = adapters.map(String::from).into();
        sim.targets.get_mut(target).unwrap().models.insert("m0".into(), adapters);
    }
    let others = ["a1", "a9"].map(String::from).into();
    sim.targets.get_mut("t2").unwrap().models.insert("m0".into(), others);
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    for n in 0..9 {
        sim.set_demand("m0", Some(&format!("a{n}")), 100, 0);
    }
    sim.run(Duration::from_secs(2));
    let software = sim.targets["t0"].software;
    sim.request_at(1, "m0", Some("a9"), Some(software), &[]);
    sim.run(Duration::from_secs(1));
    expect_that!(sim.answers.get(&1), some(matches_pattern!(Availability::At(_))));
    let copies = |adapter: &str| {
        let targets = ["t0", "t1"].map(|id| &sim.targets[id].models["m0"]);
        targets.iter().filter(|adapters| adapters.contains(adapter)).count()
    };
    for n in 0..10 {
        expect_that!(copies(&format!("a{n}")), eq(1), "a{n}");
    }
    expect_that!(sim.violations, is_empty());
}

/// All adapters of a target have requests there. One of them has a copy at another version.
fn slot_of_version() {
    let mut sim = Simulation::new(2, 1, Faults::default(), 1);
    sim.targets.get_mut("t1").unwrap().software = "v2";
    sim.run(Duration::from_secs(10));
    let resident = [["a0", "a1", "a2", "a3", "a4"], ["a3", "a5", "a6", "a7", "a8"]];
    for (target, adapters) in ["t0", "t1"].into_iter().zip(resident) {
        let adapters = adapters.map(String::from).into();
        sim.targets.get_mut(target).unwrap().models.insert("m0".into(), adapters);
    }
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    for n in 0..9 {
        sim.set_demand("m0", Some(&format!("a{n}")), 100, 0);
    }
    sim.run(Duration::from_secs(2));
    sim.request(1, "m0", Some("a9"), &[]);
    sim.run(Duration::from_secs(2));
    expect_that!(sim.answers.get(&1), some(eq(&Availability::Nowhere)));
    let software = sim.targets["t0"].software;
    sim.request_at(2, "m0", Some("a9"), Some(software), &[]);
    sim.run(Duration::from_secs(1));
    expect_that!(sim.answers.get(&2), some(eq(&Availability::At("t0".into()))));
    expect_that!(sim.targets["t0"].models["m0"].contains("a3"), eq(false));
    expect_that!(sim.targets["t0"].models["m0"].len(), eq(ADAPTER_SLOTS as usize));
    expect_that!(sim.violations, is_empty());
}

/// Two adapters have two copies each; one of them has most of the requests.
fn slot_of_least_used() {
    let mut sim = Simulation::new(2, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(10));
    let resident = [["a0", "a1", "a2", "a3", "a4"], ["a0", "a1", "a5", "a6", "a7"]];
    for (target, adapters) in ["t0", "t1"].into_iter().zip(resident) {
        let adapters = adapters.map(String::from).into();
        sim.targets.get_mut(target).unwrap().models.insert("m0".into(), adapters);
    }
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    for n in 0..8 {
        let running = if n == 0 { 10 } else { 1 };
        sim.interrupted.push(("m0".into(), Some(format!("a{n}")), running));
    }
    sim.run(Duration::from_secs(2));
    sim.request(1, "m0", Some("a9"), &[]);
    sim.run(Duration::from_secs(1));
    let copies =
        |adapter: &str| sim.targets.values().filter(|t| t.models["m0"].contains(adapter)).count();
    expect_that!(copies("a9"), eq(1));
    expect_that!(copies("a0"), eq(2));
    expect_that!(copies("a1"), eq(1));
}

/// All targets are full when a further model is needed. `m1` has two copies at one version;
/// `m0` has one at each of two versions, and its streams ran until their gateways ended.
fn last_copy_of_version() {
    let mut sim = Simulation::new(3, 6, Faults::default(), 1);
    sim.targets.get_mut("t2").unwrap().software = "v2";
    sim.run(STEP);
    let resident = [["m0", "m1", "m2"], ["m1", "m2", "m4"], ["m0", "m3", "m4"]];
    for (target, models) in ["t0", "t1", "t2"].into_iter().zip(resident) {
        let models = models.map(|model| (model.to_owned(), BTreeSet::new())).into();
        let target = sim.targets.get_mut(target).unwrap();
        (target.models, target.busy) = (models, None);
    }
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    sim.interrupted = vec![("m0".into(), None, 20)];
    sim.set_demand("m1", None, 8_000, 0);
    sim.set_demand("m2", None, 9_000, 0);
    sim.set_demand("m4", None, 1_000, 0);
    sim.set_demand("m5", None, 3_000, 5);
    sim.run(Duration::from_secs(12));
    expect_that!(sim.holder_count("m5"), ge(1));
    for target in ["t0", "t2"] {
        expect_that!(sim.targets[target].models.contains_key("m0"), eq(true), "{target}");
    }
}

/// A target has lost an adapter without announcing it. After a request that found
/// it missing there, the adapter is loaded again.
fn missing_report() {
    let mut sim = Simulation::new(1, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(10));
    sim.request(1, "m0", Some("a1"), &[]);
    sim.run(Duration::from_millis(300));
    sim.targets.get_mut("t0").unwrap().models.get_mut("m0").unwrap().clear();
    sim.request(2, "m0", Some("a1"), &["t0".into()]);
    sim.run(Duration::from_secs(3));
    expect_that!(sim.targets["t0"].models["m0"].contains("a1"), eq(true));
}

/// All adapter slots of two targets are taken when a request brings an outdated
/// answer that a target lacks an adapter, which both hold by now.
fn outdated_missing_report() {
    let mut sim = Simulation::new(2, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(10));
    let adapters = |names: [&str; 5]| names.map(String::from).into_iter().collect();
    let resident =
        [adapters(["a0", "a1", "a2", "a3", "a4"]), adapters(["a2", "a5", "a6", "a7", "a8"])];
    for (target, adapters) in sim.targets.values_mut().zip(resident) {
        target.models.insert("m0".into(), adapters);
    }
    sim.run(Duration::from_secs(1));
    sim.placer = Placer::new(2, sim.now, Duration::ZERO);
    sim.run(Duration::from_secs(2));
    sim.request(50, "m0", Some("a2"), &["t0".into()]);
    expect_that!(sim.answers[&50], eq(&Availability::At("t1".into())));
    sim.request(51, "m0", Some("a9"), &[]);
    sim.run(Duration::from_secs(4));
    expect_that!(sim.violations, is_empty());
    expect_that!(sim.targets["t0"].models["m0"].contains("a2"), eq(true));
}

/// A leader takes over while a target carries out an order of the leader before,
/// and orders the next load once that has ended.
fn busy_at_takeover() {
    let mut sim = Simulation::new(1, 3, Faults::default(), 1);
    sim.set_demand("m0", None, 10_000, 1);
    sim.run(Duration::from_secs(1));
    expect_that!(sim.targets["t0"].busy, some(anything()));
    sim.placer = Placer::new(2, sim.now, FENCED_TAKEOVER_DELAY);
    sim.set_demand("m1", None, 10_000, 1);
    sim.run(LOAD_TIME * 2 + Duration::from_secs(2));
    expect_that!(sim.holder_count("m0"), eq(1));
    expect_that!(sim.holder_count("m1"), eq(1));
}

/// A new leader finds all memory taken by copies without demand, and frees memory
/// at once for a model that requests wait for.
fn found_copies() {
    let mut sim = Simulation::new(2, 8, Faults::default(), 1);
    sim.run(Duration::from_mins(1));
    let is_resident = |sim: &Simulation, n: u64| sim.holder_count(&format!("m{n}")) > 0;
    let missing = (0..8).find(|n| !is_resident(&sim, *n)).expect("not all models fit");
    sim.placer = Placer::new(2, sim.now, FENCED_TAKEOVER_DELAY);
    sim.set_demand(&format!("m{missing}"), None, 10_000, 3);
    sim.run(FENCED_TAKEOVER_DELAY + Duration::from_millis(3_500) + LOAD_TIME);
    expect_that!(is_resident(&sim, missing), eq(true));
}

/// A model takes five seconds to load, and the request can wait for four: the
/// answer comes at once and states the load time. Once the model is being loaded, a
/// request waits if the rest of the load time is short enough.
fn load_outlasts_request() {
    let mut sim = Simulation::new(1, 6, Faults::default(), 1);
    sim.run(Duration::from_secs(30));
    let missing =
        (0..6).find(|n| sim.holder_count(&format!("m{n}")) == 0).expect("not all models fit");
    let missing = format!("m{missing}");
    sim.request(1, &missing, None, &[]);
    let long =
        |a: &Availability| matches!(a, Availability::Soon(d) if *d >= Duration::from_secs(4));
    expect_that!(sim.answers.get(&1).is_some_and(long), eq(true), "{:?}", sim.answers);
    // While the model is being loaded, the rest of its load time counts.
    sim.set_demand(&missing, None, 10_000, 1);
    sim.run(Duration::from_secs(6));
    sim.request(2, &missing, None, &[]);
    expect_that!(sim.answers.get(&2), none());
    sim.run(LOAD_TIME);
    expect_that!(sim.answers.get(&2), some(anything()));
}

/// A request waits for a load that ends soon enough.
fn short_wait() {
    let mut sim = Simulation::new(1, 1, Faults::default(), 1);
    sim.run(Duration::from_secs(4));
    sim.request(1, "m0", None, &[]);
    expect_that!(sim.answers.get(&1), none());
    sim.run(Duration::from_secs(3));
    expect_that!(sim.answers.get(&1), some(anything()));
}

/// An order is lost and gets no answer. The target accepts the next one within
/// half a second.
fn lost_order() {
    let mut sim = Simulation::new(1, 6, Faults::default(), 1);
    sim.run(Duration::from_secs(30));
    let missing =
        (0..6).find(|n| sim.holder_count(&format!("m{n}")) == 0).expect("not all models fit");
    sim.set_demand(&format!("m{missing}"), None, 10_000, 1);
    let accepted = sim.targets["t0"].accepted;
    sim.orders_to_lose = 1;
    while sim.orders_to_lose > 0 {
        sim.step();
    }
    sim.run(Duration::from_millis(500));
    expect_that!(sim.targets["t0"].accepted, gt(accepted));
}

/// Returns a directory with a target that holds the model `m0`.
fn one_target() -> Directory {
    let mut directory = Directory::default();
    directory.announce(
        AnnouncedTarget {
            id: "t0".into(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "a".into(),
            software: "v1".into(),
            slots: u32::MAX,
            presence: Presence::Up,
            incarnation: 1,
            seq: 1,
            holdings: vec![Holding { model: "m0".into(), version: 1, adapters: Vec::new() }],
            cached_models: Vec::new(),
            cold_left: std::time::Duration::ZERO,
        },
        Duration::ZERO,
    );
    directory
}

fn one_service(engine: Engine) -> Catalog {
    let service = Service {
        name: "llm".into(),
        health_path: "/".into(),
        max_connections: 1,
        engine: Some(engine),
        warm_up: None,
    };
    Catalog { services: vec![service], ..Catalog::default() }
}

fn demand(work: u64) -> Report {
    let demand = |model: &str| Demand {
        service: "llm".into(),
        model: model.into(),
        adapter: None,
        work,
        waiting: u32::MAX,
        running: u32::MAX,
    };
    Report { demands: ["m0", "m1", "m1", "m2"].map(demand).into(), ..Report::default() }
}

/// Gives the placer `timeout` for its work in all.
fn in_time(timeout: Duration, work: impl FnOnce() + Send + 'static) {
    let (sender, done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        work();
        sender.send(()).unwrap();
    });
    expect_that!(done.recv_timeout(timeout), ok(anything()));
}

fn absurd_catalog() {
    let absurd = |name: &str, weights_mb| Model {
        adapter_mb: u64::MAX,
        store_load: Duration::MAX,
        disk_load: Duration::MAX,
        warm_load: Duration::MAX,
        ..model(name.into(), weights_mb)
    };
    let models = vec![absurd("m0", u64::MAX), absurd("m1", u64::MAX), absurd("m2", 1)];
    let catalog = one_service(Engine {
        slots: u32::MAX,
        cache_tokens: u64::MAX,
        models,
        memory_mb: u64::MAX,
        adapter_slots: u32::MAX,
        load_rate: f64::MAX,
    });
    in_time(Duration::from_secs(10), move || {
        let mut placer = Placer::new(1, Duration::ZERO, Duration::ZERO);
        let directory = one_target();
        for step in 1..100 {
            let now = STEP * step;
            for action in placer.tick(&directory, &demand(u64::MAX), &catalog, now) {
                match action {
                    Action::QueryTarget { target, .. } => {
                        let report =
                            TargetReport { holdings: Vec::new(), ..TargetReport::default() };
                        placer.handle_report(&target, Some(report), now);
                    }
                    Action::SendOrder(order) => {
                        placer.handle_outcome(&order, Outcome::Accepted, &catalog, now);
                    }
                    _ => {}
                }
            }
        }
    });
}

fn absurd_report() {
    let engine = Engine {
        slots: 8,
        cache_tokens: 150_000,
        models: vec![model("m0".into(), 10), model("m1".into(), 10), model("m2".into(), 10)],
        memory_mb: MEMORY,
        adapter_slots: 1,
        load_rate: 100.0,
    };
    let catalog = one_service(engine);
    let mut placer = Placer::new(1, Duration::ZERO, Duration::ZERO);
    let directory = one_target();
    let mut orders = 0;
    for step in 1..200 {
        let now = STEP * step;
        for action in placer.tick(&directory, &demand(1_000), &catalog, now) {
            match action {
                Action::QueryTarget { target, .. } => {
                    let holdings = directory.get(&target).unwrap().holdings.clone();
                    let report =
                        TargetReport { accepted: u64::MAX, holdings, ..TargetReport::default() };
                    placer.handle_report(&target, Some(report), now);
                }
                Action::SendOrder(order) => {
                    orders += 1;
                    placer.handle_outcome(&order, Outcome::Accepted, &catalog, now);
                }
                _ => {}
            }
        }
    }
    expect_that!(orders, gt(1));
}

/// A request for a model that is not in the catalog is answered with `Nowhere`.
fn unknown_model() {
    let mut sim = Simulation::new(1, 1, Faults::default(), 1);
    sim.request(1, "other", None, &[]);
    sim.run(Duration::from_secs(2));
    expect_that!(sim.answers.get(&1), some(eq(&Availability::Nowhere)));
}

/// Demand shifts between models and adapters while faults are injected. No order
/// may make a target exceed its memory or adapter slots.
fn check_memory_under_faults(faults: Faults, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut sim = Simulation::new(5, 9, faults, seed);
        for round in 0..60_u64 {
            let model = format!("m{}", sim.rng.random_range(0..9));
            let work = sim.rng.random_range(0..40_000);
            sim.set_demand(&model, None, work, u32::from(work % 3 == 0));
            for n in 0..4 {
                let adapter = format!("a{}", sim.rng.random_range(0..12));
                let model = format!("m{}", sim.rng.random_range(0..9));
                // Some requests found the adapter missing on a target, perhaps
                // before it was loaded there.
                let missing_at = format!("t{}", sim.rng.random_range(0..20));
                sim.request(round * 10 + n, &model, Some(&adapter), &[missing_at]);
            }
            sim.run(Duration::from_secs(1));
        }
        expect_that!(sim.violations, is_empty(), "seed {seed}");
    }
}
