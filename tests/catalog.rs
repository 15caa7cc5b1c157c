//! The catalog and its look-up, the directory of targets, and traffic.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use hornbeamdock::version::{
    catalog::{
        self, Catalog, Error, Route, RouteKind, Service, WeightedService, Workspace,
        table::{self, Caller, Table},
    },
    directory::{AnnouncedTarget, Directory, Holding, HoldingsUpdate, TTL},
    traffic::{Demand, Load, Report, Source, TokenRate, Traffic},
    view::{Command, Presence, View},
};

const SECOND: Duration = Duration::from_secs(1);

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
    longest_prefix_wins => longest_prefix();
    host_is_compared_without_port_and_case => host();
    key_opens_its_workspace_only => keys();
    open_route_needs_no_key => open_route();
    weights_share_a_route => weights();
    unknown_service_is_refused => refused(&unknown_service(), "unknown service");
    same_place_twice_is_refused => refused(&same_place(), "same place");
    weight_zero_is_refused => refused(&no_weight(), "no weight");
    timeout_zero_is_refused => refused(&no_timeout(), "no timeout");
    shared_key_is_refused => refused(&shared_key(), "shared key");
    refused_catalog_changes_nothing => refused_changes_nothing();
    highest_version_is_in_force => versions();
    newer_word_wins_whatever_comes_last => directory_order();
    leaving_target_stays_leaving_until_it_starts_again => directory_leaving();
    earlier_target_at_an_address_is_down => directory_address();
    late_word_of_an_earlier_target_is_ignored => directory_ghost();
    silent_target_is_down => directory_silent();
    own_pause_is_not_the_targets_silence => directory_pause();
    confirmed_order_goes_before_an_older_word => directory_note();
    revision_tells_what_changed => directory_revision();
    sums_leave_out_who_asks => traffic_sums();
    old_reports_do_not_count => traffic_ttl();
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: SECOND,
        latency_objective: SECOND,
        priority: 0,
        split: vec![WeightedService { service: "s".into(), weight: 1 }],
        max_attempts: 1,
        public: false,
        sticky: false,
        resumable: false,
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![catalog::key_digest(key.as_bytes())],
        priority: None,
        rate_limit: None,
    }
}

fn sound() -> Catalog {
    Catalog {
        version: 1,
        routes: vec![
            route("root", "shop.example", "/"),
            route("orders", "shop.example", "/orders/"),
            route("old", "shop.example", "/orders/old/"),
        ],
        services: vec![Service {
            name: "s".into(),
            health_path: "/health".into(),
            max_connections: 10,
            engine: None,
        }],
        workspaces: vec![workspace("lilies", "key-1"), workspace("winches", "key-2")],
        ..Catalog::default()
    }
}

fn table() -> Table {
    Table::new(Arc::new(sound()))
}

fn longest_prefix() {
    let table = table();
    let name = |path| table.route("shop.example", path).map(|r| r.name.as_str());
    expect_that!(name("/orders/old/7"), some(eq("old")));
    expect_that!(name("/orders/7"), some(eq("orders")));
    expect_that!(name("/orders"), some(eq("root")));
    expect_that!(name("/"), some(eq("root")));
}

fn host() {
    let table = table();
    expect_that!(table.route("SHOP.example:8080", "/").is_some(), eq(true));
    expect_that!(table.route("other.example", "/").is_none(), eq(true));
}

fn keys() {
    let table = table();
    let route = table.route("shop.example", "/").unwrap();
    let name = |key: Option<&[u8]>| match table.caller(route, key) {
        Caller::Workspace(workspace) => workspace.name.clone(),
        Caller::Anonymous => "anyone".into(),
        Caller::Unauthenticated => "unknown".into(),
    };
    expect_that!(name(Some(b"key-1")), eq("lilies"));
    expect_that!(name(Some(b"key-2")), eq("winches"));
    expect_that!(name(Some(b"key-3")), eq("unknown"));
    expect_that!(name(None), eq("unknown"));
}

fn open_route() {
    let mut catalog = sound();
    catalog.routes[0].public = true;
    let table = Table::new(Arc::new(catalog));
    let route = table.route("shop.example", "/").unwrap();
    expect_that!(matches!(table.caller(route, None), Caller::Anonymous), eq(true));
}

fn weights() {
    let mut split = route("r", "h", "/");
    split.split = vec![
        WeightedService { service: "a".into(), weight: 90 },
        WeightedService { service: "none".into(), weight: 0 },
        WeightedService { service: "b".into(), weight: 10 },
    ];
    let drawn = |name| (0..1_000).filter(|d| table::pick_service(&split, *d) == Some(name)).count();
    expect_that!(drawn("a"), eq(900));
    expect_that!(drawn("b"), eq(100));
    expect_that!(drawn("none"), eq(0));
}

fn unknown_service() -> Catalog {
    let mut catalog = sound();
    catalog.routes[0].split[0].service = "missing".into();
    catalog
}

fn same_place() -> Catalog {
    let mut catalog = sound();
    catalog.routes[1].prefix = "/".into();
    catalog
}

fn no_weight() -> Catalog {
    let mut catalog = sound();
    catalog.routes[0].split[0].weight = 0;
    catalog
}

fn no_timeout() -> Catalog {
    let mut catalog = sound();
    catalog.routes[0].timeout = Duration::ZERO;
    catalog
}

fn shared_key() -> Catalog {
    let mut catalog = sound();
    let keys = catalog.workspaces[0].keys.clone();
    catalog.workspaces[1].keys = keys;
    catalog
}

fn refused(catalog: &Catalog, what: &str) {
    let error = catalog.check().expect_err(what);
    let named = match error {
        Error::UnknownService { .. } => "unknown service",
        Error::DuplicateRoute { .. } => "same place",
        Error::ZeroWeight { .. } => "no weight",
        Error::ZeroTimeout { .. } => "no timeout",
        Error::SharedKey { .. } => "shared key",
        _ => "another",
    };
    expect_that!(named, eq(what));
}

fn configure(view: &mut View, catalog: Catalog) -> bool {
    view.apply(1, 0, &Command::PutCatalog(Arc::new(catalog))).is_ok()
}

fn version(view: &View) -> Option<u64> {
    view.catalog().map(|c| c.version)
}

fn refused_changes_nothing() {
    let mut view = View::default();
    expect_that!(configure(&mut view, sound()), eq(true));
    expect_that!(configure(&mut view, Catalog { version: 9, ..unknown_service() }), eq(false));
    expect_that!(version(&view), some(eq(1)));
}

fn versions() {
    let mut view = View::default();
    for (given, held) in [(5, 5), (3, 5), (9, 9), (9, 9)] {
        expect_that!(configure(&mut view, Catalog { version: given, ..sound() }), eq(true));
        expect_that!(version(&view), some(eq(held)));
    }
    let other = Catalog { version: 9, routes: Vec::new(), ..sound() };
    expect_that!(configure(&mut view, other), eq(true));
    expect_that!(view.catalog().unwrap().routes.len(), eq(3));
}

fn announced(id: &str, incarnation: u64, seq: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        presence: Presence::Up,
        incarnation,
        seq,
        holdings: Vec::new(),
        cached_models: Vec::new(),
    }
}

fn presence(directory: &Directory, id: &str) -> Option<Presence> {
    directory.get(id).map(|a| a.presence)
}

fn directory_order() {
    let mut directory = Directory::default();
    let newer = AnnouncedTarget { slots: 8, ..announced("t", 1, 5) };
    expect_that!(directory.announce(newer, SECOND), eq(true));
    expect_that!(directory.announce(announced("t", 1, 4), SECOND), eq(false));
    expect_that!(directory.announce(announced("t", 0, 9), SECOND), eq(false));
    expect_that!(directory.get("t").unwrap().slots, eq(8));
    expect_that!(directory.announce(announced("t", 2, 1), SECOND), eq(true));
    expect_that!(directory.get("t").unwrap().incarnation, eq(2));
}

fn directory_leaving() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    directory.mark_leaving("t", Some(0));
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
    directory.mark_leaving("t", None);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Leaving)));
    directory.announce(announced("t", 1, 2), SECOND);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Leaving)));
    directory.announce(announced("t", 2, 1), SECOND);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
}

fn directory_address() {
    let mut directory = Directory::default();
    directory.announce(announced("old", 1, 9), SECOND);
    directory.announce(announced("new", 2, 1), SECOND);
    expect_that!(presence(&directory, "old"), some(eq(Presence::Down)));
    expect_that!(presence(&directory, "new"), some(eq(Presence::Up)));
}

fn directory_ghost() {
    let mut directory = Directory::default();
    directory.announce(announced("new", 2, 1), SECOND);
    expect_that!(directory.announce(announced("old", 1, 50), SECOND), eq(false));
    expect_that!(presence(&directory, "new"), some(eq(Presence::Up)));
    expect_that!(presence(&directory, "old"), none());
}

fn tick_until(directory: &mut Directory, from: Duration, to: Duration) {
    let mut now = from;
    while now < to {
        directory.tick(now);
        now += Duration::from_millis(100);
    }
}

fn directory_silent() {
    let mut directory = Directory::default();
    directory.tick(SECOND);
    directory.announce(announced("t", 1, 1), SECOND);
    tick_until(&mut directory, SECOND, SECOND + TTL);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
    tick_until(&mut directory, SECOND + TTL, SECOND * 2 + TTL);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Down)));
    directory.announce(announced("t", 1, 2), SECOND * 10);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
}

fn directory_pause() {
    let mut directory = Directory::default();
    directory.tick(SECOND);
    directory.announce(announced("t", 1, 1), SECOND);
    directory.tick(SECOND * 60);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
}

fn directory_note() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    let holdings = vec![Holding { model: "m".into(), version: 1, adapters: vec!["a1".into()] }];
    let note = HoldingsUpdate { id: "t".into(), incarnation: 1, holdings: holdings.clone() };
    directory.apply_update(&note, SECOND);
    directory.announce(announced("t", 1, 2), SECOND);
    expect_that!(directory.get("t").unwrap().holdings, eq(&holdings));
    directory.announce(announced("t", 1, 3), SECOND * 10);
    expect_that!(directory.get("t").unwrap().holdings, is_empty());
    directory.apply_update(&HoldingsUpdate { incarnation: 0, ..note }, SECOND * 10);
    expect_that!(directory.get("t").unwrap().holdings, is_empty());
}

fn directory_revision() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    let known = directory.revision();
    directory.announce(announced("t", 1, 2), SECOND);
    expect_that!(directory.changed_since(known).count(), eq(0));
    directory.mark_leaving("t", None);
    expect_that!(directory.changed_since(known).count(), eq(1));
    expect_that!(directory.changed_since(directory.revision()).count(), eq(0));
}

fn report(running: u32) -> Report {
    let demand = |adapter: Option<&str>| Demand {
        service: "s".into(),
        model: "m".into(),
        adapter: adapter.map(Into::into),
        work: 10,
        waiting: 1,
        running: 2,
    };
    Report {
        loads: vec![Load { target: "t".into(), running, prompt_tokens: 7 }],
        demands: vec![demand(None), demand(Some("a1"))],
        token_rates: vec![TokenRate { workspace: "w".into(), rate: 100.0 }],
        gateways: vec![1],
    }
}

fn traffic_sums() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report(1), SECOND);
    traffic.record(Source::Gateway(2), Report { gateways: vec![2], ..report(2) }, SECOND);
    let gateways = vec![3, 4, 5, 6];
    traffic.record(Source::Replica(9), Report { gateways, ..report(8) }, SECOND);
    let running = |report: Report| report.loads[0].running;
    expect_that!(running(traffic.total(SECOND)), eq(11));
    expect_that!(running(traffic.local(SECOND)), eq(3));
    expect_that!(running(traffic.excluding(1, SECOND)), eq(10));
    let all = traffic.total(SECOND);
    expect_that!(all.gateways, eq(&vec![1, 2, 3, 4, 5, 6]));
    expect_that!(all.demands.len(), eq(2));
    expect_that!(all.demands[0].work, eq(30));
    expect_that!(all.token_rates[0].rate, eq(300.0));
}

fn traffic_ttl() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report(1), SECOND);
    expect_that!(traffic.total(SECOND * 5).loads, is_empty());
}
