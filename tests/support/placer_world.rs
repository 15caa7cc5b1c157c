//! A deployment in which many requests wait for the placer. Used by tests and
//! benchmarks.

use std::{hint::black_box, time::Duration};

use hornbeamdock::version::{
    catalog::{Catalog, Engine, Model, Service},
    directory::{AnnouncedTarget, Directory, Holding, Requirement},
    placer::{Action, Op, Order, Outcome, PlacementRequest, Placer, TargetReport},
    traffic::{Demand, Report},
    view::Presence,
};

const SERVICE: &str = "llm";
const MODELS_PER_TARGET: usize = 2;
const ADAPTER_SLOTS: usize = 5;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub targets: usize,
    /// Models that are resident on some target.
    pub resident_models: usize,
    /// Models that are resident nowhere and in no demand.
    pub other_models: usize,
    /// Requests that wait, each for another adapter that can't be loaded now.
    pub waiting: usize,
}

/// A deployment whose adapter slots are all taken by adapters in use, each of them on one
/// target only.
pub struct World {
    size: Size,
    catalog: Catalog,
    directory: Directory,
    traffic: Report,
    placer: Placer,
    now: Duration,
    last_id: u64,
}

impl World {
    pub fn new(size: Size) -> Self {
        let mut world = Self {
            size,
            catalog: catalog(size.resident_models + size.other_models),
            directory: Directory::default(),
            traffic: traffic(size),
            placer: Placer::new(1, Duration::ZERO, Duration::ZERO),
            now: Duration::from_secs(1),
            last_id: 0,
        };
        for target in 0..size.targets {
            world.directory.announce(announced(target, size), world.now);
        }
        let actions = world.tick();
        for action in actions {
            if let Action::QueryTarget { target, .. } = action {
                let number: usize = target[1..].parse().expect("ids are t0, t1 and so on");
                let report =
                    TargetReport { holdings: holdings(number, size), ..Default::default() };
                world.placer.handle_report(&target, Some(report), world.now);
            }
        }
        world.tick();
        for _ in 0..size.waiting {
            world.request();
        }
        world
    }

    /// Plans once.
    pub fn tick(&mut self) -> Vec<Action> {
        self.placer.tick(&self.directory, &self.traffic, &self.catalog, self.now)
    }

    /// Adds a request for an adapter that is not resident.
    ///
    /// # Panics
    ///
    /// Panics if the placer finds something to do for it.
    pub fn request(&mut self) {
        self.last_id += 1;
        let number = usize::try_from(self.last_id).expect("a small number");
        // The models on the first target are left out.
        let model = MODELS_PER_TARGET + number % (self.size.resident_models - MODELS_PER_TARGET);
        let requirement = Requirement {
            service: SERVICE.into(),
            model: model_name(model),
            adapter: Some(format!("absent-{}", self.last_id)),
        };
        let request = PlacementRequest {
            requirement,
            software: None,
            domains: Vec::new(),
            exclude: Vec::new(),
            max_wait: Duration::from_secs(1),
        };
        let actions = self.placer.handle_placement_request(
            self.last_id,
            request,
            &[],
            &self.catalog,
            self.now,
        );
        assert!(actions.is_empty(), "{actions:?}");
    }

    /// Handles the outcome of an order to the first target.
    pub fn outcome(&mut self) {
        let order = Order {
            id: 1,
            target: target_id(0),
            address: ([127, 0, 0, 1], 1_000).into(),
            op: Op::Load,
            model: model_name(0),
            adapter: Some(adapter_name(0, 0)),
            expected_accepted: None,
            fence: 1,
        };
        let Self { placer, catalog, now, .. } = self;
        black_box(placer.handle_outcome(&order, Outcome::Complete, catalog, *now));
    }
}

fn model_name(number: usize) -> String {
    format!("model-{number}")
}

/// Returns the name of a resident adapter of a target.
fn adapter_name(target: usize, slot: usize) -> String {
    format!("resident-{target}-{slot}")
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
        warm_up: None,
    };
    Catalog { version: 1, services: vec![service], ..Catalog::default() }
}

fn resident_models(target: usize, size: Size) -> impl Iterator<Item = usize> {
    (0..MODELS_PER_TARGET).map(move |n| (target * MODELS_PER_TARGET + n) % size.resident_models)
}

fn holdings(target: usize, size: Size) -> Vec<Holding> {
    let adapters_of = |model: usize| {
        let first = model.is_multiple_of(MODELS_PER_TARGET);
        (0..if first { ADAPTER_SLOTS } else { 0 }).map(|n| adapter_name(target, n)).collect()
    };
    let holding =
        |model| Holding { model: model_name(model), version: 1, adapters: adapters_of(model) };
    resident_models(target, size).map(holding).collect()
}

fn announced(number: usize, size: Size) -> AnnouncedTarget {
    let port = u16::try_from(number).expect("a small number") + 1_000;
    AnnouncedTarget {
        id: target_id(number),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 64,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: holdings(number, size),
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
    }
}

/// Returns traffic that uses every resident adapter.
fn traffic(size: Size) -> Report {
    let demand = |model, adapter| Demand {
        service: SERVICE.into(),
        model: model_name(model),
        adapter,
        work: 100,
        waiting: 0,
        running: 1,
    };
    let adapters = |target| {
        let model = resident_models(target, size).next().expect("each target holds models");
        (0..ADAPTER_SLOTS).map(move |n| demand(model, Some(adapter_name(target, n))))
    };
    Report { demands: (0..size.targets).flat_map(adapters).collect(), ..Report::default() }
}
