//! Two engines in different failure domains that carry out each order at once, and a leader that
//! places a model on them.

use std::{collections::BTreeMap, time::Duration};

use hornbeamdock::version::{
    catalog::{Catalog, Engine, Model, Service},
    directory::{AnnouncedTarget, Directory, Holding, Requirement},
    placer::{Action, Availability, Op, Order, Outcome, PlacementRequest, Placer, TargetReport},
    traffic::{Demand, Report},
    view::Presence,
};

const NOW: Duration = Duration::from_secs(1);

pub fn target(id: &str, domain: &str, software: &str) -> AnnouncedTarget {
    let port = 8_000 + id.bytes().map(u16::from).sum::<u16>();
    AnnouncedTarget {
        id: id.into(),
        service: "app".into(),
        domain: domain.into(),
        address: ([127, 0, 0, 1], port).into(),
        software: software.into(),
        incarnation: 1,
        slots: 4,
        seq: 1,
        presence: Presence::Up,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Engine `a` in the north holds the model `m`, `b` in the south holds nothing.
pub struct World {
    placer: Placer,
    directory: Directory,
    catalog: Catalog,
    holdings: BTreeMap<&'static str, Vec<Holding>>,
    pub orders: Vec<Order>,
    answers: Vec<Availability>,
    now: Duration,
}

impl World {
    pub fn new() -> Self {
        let model = |name: &str| Model {
            name: name.into(),
            weights_mb: 10,
            adapter_mb: 1,
            store_load: NOW,
            disk_load: NOW,
            warm_load: NOW,
        };
        let engine = Engine {
            slots: 4,
            cache_tokens: 1_000,
            models: vec![model("m")],
            memory_mb: 100,
            adapter_slots: 4,
            load_rate: 10.0,
        };
        let service = Service {
            name: "app".into(),
            health_path: "/health".into(),
            max_connections: 10,
            engine: Some(engine),
            warm_up: None,
        };
        let held = Holding { model: "m".into(), version: 0, adapters: Vec::new() };
        let mut world = Self {
            placer: Placer::new(1, Duration::ZERO, Duration::ZERO),
            directory: Directory::default(),
            catalog: Catalog { version: 1, services: vec![service], ..Catalog::default() },
            holdings: BTreeMap::from([("a", vec![held]), ("b", Vec::new())]),
            orders: Vec::new(),
            answers: Vec::new(),
            now: NOW,
        };
        world.run();
        world
    }

    pub fn evacuate<const N: usize>(&mut self, domains: [&str; N]) {
        self.placer.set_evacuated(domains, self.now);
        self.run();
    }

    /// Plans for two seconds with some demand for the model.
    pub fn run(&mut self) {
        let demand = Demand {
            service: "app".into(),
            model: "m".into(),
            adapter: None,
            work: 100,
            waiting: 0,
            running: 1,
        };
        let traffic = Report { demands: vec![demand], ..Report::default() };
        for _ in 0..20 {
            self.now += Duration::from_millis(100);
            for (id, domain) in [("a", "north"), ("b", "south")] {
                let holdings = self.holdings[id].clone();
                let seq = u64::try_from(self.now.as_millis()).unwrap();
                self.directory.announce(
                    AnnouncedTarget { holdings, seq, ..target(id, domain, "v1") },
                    self.now,
                );
            }
            let actions = self.placer.tick(&self.directory, &traffic, &self.catalog, self.now);
            self.execute(actions);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            let more = match action {
                Action::QueryTarget { target, .. } => {
                    let holdings = self.holdings[target.as_str()].clone();
                    let report = TargetReport { holdings, ..TargetReport::default() };
                    self.placer.handle_report(&target, Some(report), self.now)
                }
                Action::SendOrder(order) => {
                    let held = self.holdings.get_mut(order.target.as_str()).unwrap();
                    if order.op == Op::Load && order.adapter.is_none() {
                        held.push(Holding {
                            model: order.model.clone(),
                            version: 0,
                            adapters: Vec::new(),
                        });
                    }
                    self.orders.push(order.clone());
                    self.placer.handle_outcome(&order, Outcome::Complete, &self.catalog, self.now)
                }
                Action::Answer { availability, .. } => {
                    self.answers.push(availability);
                    Vec::new()
                }
                Action::PublishHoldings(_) => Vec::new(),
            };
            self.execute(more);
        }
    }

    /// Requests the model or an adapter, in some failure domains if they are not empty. Returns the
    /// answer.
    pub fn request(
        &mut self,
        adapter: Option<&str>,
        exclude: &[&str],
        domains: &[&str],
    ) -> Option<Availability> {
        let requirement = Requirement {
            service: "app".into(),
            model: "m".into(),
            adapter: adapter.map(Into::into),
        };
        let request = PlacementRequest {
            requirement,
            software: None,
            domains: owned(domains),
            exclude: owned(exclude),
            max_wait: NOW,
        };
        let actions =
            self.placer.handle_placement_request(1, request, &[], &self.catalog, self.now);
        self.execute(actions);
        self.run();
        self.answers.pop()
    }

    pub fn ordered_targets(&self) -> Vec<&str> {
        self.orders.iter().map(|o| o.target.as_str()).collect()
    }
}
