//! What gateways and the placer do while a failure domain is being evacuated, each beside what
//! they do without one.

use std::{
    collections::{BTreeMap, HashSet},
    sync::LazyLock,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::fleet::{Choice, Homes, Locality, Query, TargetTable, Unavailable},
        refusal::{Ran, Refusal},
    },
    version::{
        catalog::{Catalog, Engine, Model, Service},
        directory::{AnnouncedTarget, Directory, Holding, Requirement},
        placer::{
            Action, Availability, Op, Order, Outcome, PlacementRequest, Placer, TargetReport,
        },
        traffic::{Demand, Report},
        view::Presence,
    },
};

const NOW: Duration = Duration::from_secs(1);

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
    evacuated_target_is_not_chosen_even_if_it_is_nearer => choice_leaves_out();
    retry_does_not_go_back_to_an_evacuated_target => retry_leaves_out();
    target_evacuated_after_its_choice_is_not_sent_to => between_choice_and_sending();
    no_relay_to_an_evacuated_target => relays();
    request_waits_for_a_target_elsewhere_that_is_unreachable_for_a_moment => waits_elsewhere();
    stream_bound_to_evacuated_software_is_refused_for_that_reason => bound_stream();
    target_announced_during_an_evacuation_is_left_out => announced_later();
    refusal_states_whether_the_request_ran => refusal();
    model_of_an_evacuated_domain_is_loaded_elsewhere => copies_count_as_missing();
    adapter_is_not_ordered_in_an_evacuated_domain => adapter_elsewhere();
    copies_count_again_after_an_evacuation => copies_count_again();
}

fn target(id: &str, domain: &str, software: &str) -> AnnouncedTarget {
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

/// Two targets in different domains, with different software.
fn table() -> TargetTable {
    let mut table = TargetTable::default();
    table.apply_announcements(vec![target("a", "north", "v1"), target("b", "south", "v2")]);
    table
}

fn choose(
    table: &TargetTable,
    software: Option<&str>,
    tried: &[String],
) -> std::result::Result<Choice, Unavailable> {
    static CONNECTED: LazyLock<HashSet<std::net::SocketAddr>> = LazyLock::new(HashSet::new);
    let locality = Locality { domain: "north", connected: &CONNECTED };
    let homes = Homes::default();
    table.choose(&Query { service: "app", prompt: None, software, tried, homes }, &locality, NOW)
}

fn chosen(table: &TargetTable) -> std::result::Result<String, Unavailable> {
    choose(table, None, &[]).map(|c| c.id)
}

fn choice_leaves_out() {
    let mut table = table();
    expect_that!(chosen(&table), ok(eq("a")));
    expect_that!(table.set_evacuated(["north"]), eq(true));
    expect_that!(table.set_evacuated(["north"]), eq(false));
    expect_that!(chosen(&table), ok(eq("b")));
    table.set_evacuated(["north", "south"]);
    expect_that!(chosen(&table), err(eq(&Unavailable::Evacuated)));
    expect_that!(table.set_evacuated([]), eq(true));
    expect_that!(chosen(&table), ok(eq("a")));
}

fn retry_leaves_out() {
    let mut table = table();
    let tried = ["b".to_owned()];
    expect_that!(choose(&table, None, &tried).map(|c| c.id), ok(eq("a")));
    table.set_evacuated(["north"]);
    expect_that!(choose(&table, None, &tried).map(|c| c.id), ok(eq("b")));
}

fn between_choice_and_sending() {
    let mut table = table();
    let choice = choose(&table, None, &[]).unwrap();
    expect_that!(table.still_takes_requests(&choice, NOW), eq(true));
    expect_that!(table.is_choice_evacuated(&choice), eq(false));
    table.set_evacuated(["north"]);
    expect_that!(table.still_takes_requests(&choice, NOW), eq(false));
    expect_that!(table.is_choice_evacuated(&choice), eq(true));
}

fn relays() {
    let mut table = table();
    let [north, south] = ["a", "b"].map(|id| target(id, "", "").address);
    table.set_evacuated(["north"]);
    expect_that!(table.may_relay_to(north, NOW), eq(false));
    expect_that!(table.may_relay_to(south, NOW), eq(true));
    table.set_evacuated([]);
    expect_that!(table.may_relay_to(north, NOW), eq(true));
}

fn waits_elsewhere() {
    let mut table = table();
    table.set_evacuated(["north"]);
    table.record_refused("b", NOW);
    expect_that!(chosen(&table), err(eq(&Unavailable::NoTarget)));
}

fn bound_stream() {
    let mut table = table();
    let bound = |table: &TargetTable| choose(table, Some("v1"), &[]).map(|c| c.id);
    expect_that!(bound(&table), ok(eq("a")));
    table.set_evacuated(["north"]);
    expect_that!(bound(&table), err(eq(&Unavailable::Evacuated)));
    let unknown = choose(&table, Some("v3"), &[]);
    expect_that!(unknown.map(|c| c.id), err(eq(&Unavailable::NoSoftware)));
}

fn announced_later() {
    let mut table = TargetTable::default();
    table.set_evacuated(["north"]);
    expect_that!(chosen(&table), err(eq(&Unavailable::NoTarget)));
    table.apply_announcements(vec![target("a", "north", "v1")]);
    expect_that!(chosen(&table), err(eq(&Unavailable::Evacuated)));
}

fn refusal() {
    for (ran, retries) in [(Ran::No, true), (Ran::Unknown, false)] {
        let refusal = Refusal::Evacuated { ran };
        expect_that!(refusal.ran(), eq(ran));
        expect_that!(refusal.retry_after().is_some(), eq(retries));
        expect_that!(refusal.kind(), eq("evacuated"));
    }
}

/// A leader with engines that carry out each order at once. The one in the north holds `m`.
struct World {
    placer: Placer,
    directory: Directory,
    catalog: Catalog,
    holdings: BTreeMap<&'static str, Vec<Holding>>,
    orders: Vec<Order>,
    answers: Vec<Availability>,
    now: Duration,
}

impl World {
    fn new() -> Self {
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

    fn evacuate<const N: usize>(&mut self, domains: [&str; N]) {
        self.placer.set_evacuated(domains, self.now);
        self.run();
    }

    /// Plans for two seconds with some demand for the model.
    fn run(&mut self) {
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

    /// Requests the model or an adapter; returns the answer.
    fn request(&mut self, adapter: Option<&str>, exclude: &[&str]) -> Option<Availability> {
        let requirement = Requirement {
            service: "app".into(),
            model: "m".into(),
            adapter: adapter.map(Into::into),
        };
        let request = PlacementRequest {
            requirement,
            software: None,
            exclude: exclude.iter().map(|id| (*id).to_owned()).collect(),
            max_wait: NOW,
        };
        let actions =
            self.placer.handle_placement_request(1, request, &[], &self.catalog, self.now);
        self.execute(actions);
        self.run();
        self.answers.pop()
    }

    fn ordered_targets(&self) -> Vec<&str> {
        self.orders.iter().map(|o| o.target.as_str()).collect()
    }
}

fn copies_count_as_missing() {
    let mut world = World::new();
    expect_that!(world.ordered_targets(), is_empty());
    world.evacuate(["north"]);
    expect_that!(world.ordered_targets(), elements_are![eq(&"b")]);
    expect_that!(world.request(None, &[]), some(eq(&Availability::At("b".into()))));
    world.evacuate(["north", "south"]);
    expect_that!(world.request(None, &[]), some(eq(&Availability::Nowhere)));
    expect_that!(world.orders.len(), eq(1));
}

fn adapter_elsewhere() {
    let mut plain = World::new();
    expect_that!(plain.request(Some("x"), &[]), some(eq(&Availability::At("a".into()))));
    let mut world = World::new();
    world.evacuate(["north"]);
    expect_that!(world.request(Some("x"), &[]), some(eq(&Availability::At("b".into()))));
    expect_that!(world.ordered_targets(), each(eq(&"b")));
}

fn copies_count_again() {
    let mut world = World::new();
    world.evacuate(["north"]);
    world.evacuate([]);
    expect_that!(world.request(None, &["b"]), some(eq(&Availability::At("a".into()))));
    expect_that!(world.orders.len(), eq(1));
}
