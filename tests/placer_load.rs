//! Processor time of the placer while many requests wait. It runs on the event loop
//! of the leader, together with elections, reads and changes of the configuration,
//! so its time for one event must not grow with the number of waiting requests.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use hornbeamdock::version::{
    catalog::{Catalog, Engine, Model, Service},
    directory::{AnnouncedTarget, Directory, Holding, Requirement},
    placer::{Action, Op, Order, Outcome, PlacementRequest, Placer, TargetReport},
    traffic::{Demand, Report},
    view::Presence,
};

const SERVICE: &str = "llm";
const TARGETS: usize = 90;
const MODELS_PER_TARGET: usize = 2;
const ADAPTER_SLOTS: usize = 5;
/// Models that are resident on some target.
const RESIDENT_MODELS: usize = 60;
/// Waiting requests of a quiet day and of an overloaded one.
const FEW: usize = 4;
const MANY: usize = 400;
/// Largest ratio of the time with [`MANY`] to that with [`FEW`], which are 100 times
/// as many. Leaves room for a busy machine, none for work for each waiting request.
const MAX_RATIO: f64 = 10.0;
const ROUNDS: usize = 15;

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
    placement_request_is_not_slowed_by_waiting_requests =>
        check_ratio(|waiting| World::new(RESIDENT_MODELS, waiting).time_request());
    order_outcome_is_not_slowed_by_requests_for_other_models =>
        check_ratio(|waiting| World::new(RESIDENT_MODELS, waiting).time_outcome());
    planning_is_not_slowed_by_models_without_demand =>
        check_ratio(|missing| World::new(RESIDENT_MODELS + missing, FEW).time_tick());
}

/// Checks that the shortest time of an operation does not grow with the load.
fn check_ratio(time: impl Fn(usize) -> Duration) {
    let few = time(FEW);
    let many = time(MANY);
    let ratio = many.as_secs_f64() / few.as_secs_f64();
    println!("{FEW}: {few:?}, {MANY}: {many:?}, ratio {ratio:.1}");
    expect_that!(ratio, le(MAX_RATIO));
}

/// A deployment whose adapter slots are all taken by adapters in use.
struct World {
    catalog: Catalog,
    directory: Directory,
    traffic: Report,
    placer: Placer,
    now: Duration,
    last_id: u64,
}

impl World {
    /// Creates a deployment with `models` models and `waiting` requests, each for
    /// another adapter that can't be loaded now.
    fn new(models: usize, waiting: usize) -> Self {
        let mut world = Self {
            catalog: catalog(models),
            directory: Directory::default(),
            traffic: traffic(),
            placer: Placer::new(1, Duration::ZERO, Duration::ZERO),
            now: Duration::from_secs(1),
            last_id: 0,
        };
        for target in 0..TARGETS {
            world.directory.announce(announced(target), world.now);
        }
        let actions = world.tick();
        for action in actions {
            if let Action::QueryTarget { target, .. } = action {
                let number: usize = target[1..].parse().expect("ids are t0, t1 and so on");
                let report = TargetReport { holdings: holdings(number), ..Default::default() };
                world.placer.handle_report(&target, Some(report), world.now);
            }
        }
        world.tick();
        for _ in 0..waiting {
            world.request();
        }
        world
    }

    fn tick(&mut self) -> Vec<Action> {
        self.placer.tick(&self.directory, &self.traffic, &self.catalog, self.now)
    }

    /// Adds a request for an adapter that is not resident.
    fn request(&mut self) {
        self.last_id += 1;
        let number = usize::try_from(self.last_id).expect("a small number");
        // The models on the first target are left out.
        let model = MODELS_PER_TARGET + number % (RESIDENT_MODELS - MODELS_PER_TARGET);
        let requirement = Requirement {
            service: SERVICE.into(),
            model: model_name(model),
            adapter: Some(format!("absent-{}", self.last_id)),
        };
        let request =
            PlacementRequest { requirement, exclude: Vec::new(), max_wait: Duration::from_secs(1) };
        let actions = self.placer.handle_placement_request(
            self.last_id,
            request,
            &[],
            &self.catalog,
            self.now,
        );
        assert_that!(actions, is_empty());
    }

    fn time_request(&mut self) -> Duration {
        shortest(|| self.request())
    }

    /// Returns the time to handle the outcome of an order to the first target.
    fn time_outcome(&mut self) -> Duration {
        let order = Order {
            id: 1,
            target: target_id(0),
            address: ([127, 0, 0, 1], 1_000).into(),
            op: Op::Load,
            model: model_name(0),
            adapter: Some("resident-0".into()),
            expected_accepted: None,
            fence: 1,
        };
        shortest(|| {
            let Self { placer, catalog, now, .. } = self;
            black_box(placer.handle_outcome(&order, Outcome::Complete, catalog, *now));
        })
    }

    fn time_tick(&mut self) -> Duration {
        shortest(|| drop(black_box(self.tick())))
    }
}

/// Returns the shortest time of several calls: the others were interrupted.
fn shortest(mut call: impl FnMut()) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        call();
        shortest = shortest.min(started.elapsed());
    }
    shortest
}

fn model_name(number: usize) -> String {
    format!("model-{number}")
}

fn target_id(number: usize) -> String {
    format!("t{number}")
}

fn catalog(models: usize) -> Catalog {
    let model = |number| Model {
        name: model_name(number),
        weights_mb: 90_000,
        adapter_mb: 66,
        store_load: Duration::from_secs(1),
        disk_load: Duration::from_secs(1),
        warm_load: Duration::from_secs(1),
    };
    let engine = Engine {
        slots: 64,
        cache_tokens: 150_000,
        models: (0..models).map(model).collect(),
        memory_mb: 200_000,
        adapter_slots: u32::try_from(ADAPTER_SLOTS).expect("a small number"),
        load_rate: 16.0,
    };
    let service = Service {
        name: SERVICE.into(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(engine),
    };
    Catalog { version: 1, services: vec![service], ..Catalog::default() }
}

fn resident_models(target: usize) -> impl Iterator<Item = usize> {
    (0..MODELS_PER_TARGET).map(move |n| (target * MODELS_PER_TARGET + n) % RESIDENT_MODELS)
}

fn holdings(target: usize) -> Vec<Holding> {
    let adapters_of = |model: usize| {
        let first = model.is_multiple_of(MODELS_PER_TARGET);
        (0..if first { ADAPTER_SLOTS } else { 0 }).map(|n| format!("resident-{n}")).collect()
    };
    let holding =
        |model| Holding { model: model_name(model), version: 1, adapters: adapters_of(model) };
    resident_models(target).map(holding).collect()
}

fn announced(number: usize) -> AnnouncedTarget {
    let port = u16::try_from(number).expect("a small number") + 1_000;
    AnnouncedTarget {
        id: target_id(number),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        slots: 64,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: holdings(number),
        cached_models: Vec::new(),
    }
}

/// Returns traffic that uses every resident adapter.
fn traffic() -> Report {
    let demand = |model, adapter| Demand {
        service: SERVICE.into(),
        model: model_name(model),
        adapter,
        work: 100,
        waiting: 0,
        running: 1,
    };
    let adapters =
        |model| (0..ADAPTER_SLOTS).map(move |n| demand(model, Some(format!("resident-{n}"))));
    Report { demands: (0..RESIDENT_MODELS).flat_map(adapters).collect(), ..Report::default() }
}
