//! Tests of the catalog and its index, the directory of targets, and traffic.

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
    key_identifies_its_workspace => keys();
    public_route_needs_no_key => public_route();
    route_is_split_by_weight => weights();
    unknown_service_is_refused => expect_refused(&unknown_service(), "unknown service");
    duplicate_route_is_refused => expect_refused(&duplicate_route(), "duplicate route");
    zero_weight_is_refused => expect_refused(&zero_weight(), "zero weight");
    zero_timeout_is_refused => expect_refused(&zero_timeout(), "zero timeout");
    shared_key_is_refused => expect_refused(&shared_key(), "shared key");
    refused_catalog_changes_nothing => refused_catalog();
    highest_version_is_in_force => highest_version();
    older_announcement_that_arrives_late_is_ignored => directory_order();
    entry_with_absurd_numbers_is_replaced_when_its_target_goes_on => directory_dispute();
    late_announcements_do_not_bring_an_earlier_incarnation_back => directory_late();
    entry_at_the_address_of_a_target_counts_while_it_is_announced => directory_address_dispute();
    leaving_target_stays_leaving_until_it_starts_again => directory_leaving();
    leaving_targets_are_listed_until_they_are_down => directory_leaving_list();
    departure_counts_for_an_announcement_that_arrives_later => directory_early_departure();
    late_announcement_does_not_bring_a_departed_target_back => directory_late_after_departure();
    departures_are_forgotten_after_their_retention => directory_departure_retention();
    target_displaced_from_its_address_is_down => directory_address();
    late_announcement_of_a_displaced_target_is_ignored => directory_displaced();
    target_without_announcements_is_down => directory_timeout();
    suspended_directory_does_not_time_out_targets => directory_suspended();
    known_target_is_sent_elsewhere_by_a_replica_that_is_cut_off => directory_isolated();
    holdings_update_takes_precedence_for_a_while => directory_update();
    changed_targets_are_found_by_revision => directory_revision();
    traffic_sums_exclude_a_gateway => traffic_sums();
    expired_reports_do_not_count => traffic_ttl();
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
        names_model: false,
        resumable: false,
        gap_objective: std::time::Duration::ZERO,
        homes: Vec::new(),
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![catalog::key_digest(key.as_bytes())],
        priority: None,
        rate_limit: None,
        homes: Vec::new(),
    }
}

fn valid_catalog() -> Catalog {
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
            warm_up: None,
        }],
        workspaces: vec![workspace("lilies", "key-1"), workspace("winches", "key-2")],
        ..Catalog::default()
    }
}

fn table() -> Table {
    Table::new(Arc::new(valid_catalog()))
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
        Caller::Anonymous => "anonymous".into(),
        Caller::Unauthenticated => "unauthenticated".into(),
    };
    expect_that!(name(Some(b"key-1")), eq("lilies"));
    expect_that!(name(Some(b"key-2")), eq("winches"));
    expect_that!(name(Some(b"key-3")), eq("unauthenticated"));
    expect_that!(name(None), eq("unauthenticated"));
}

fn public_route() {
    let mut catalog = valid_catalog();
    catalog.routes[0].public = true;
    let table = Table::new(Arc::new(catalog));
    let route = table.route("shop.example", "/").unwrap();
    expect_that!(matches!(table.caller(route, None), Caller::Anonymous), eq(true));
}

fn weights() {
    let mut route = route("r", "h", "/");
    route.split = vec![
        WeightedService { service: "a".into(), weight: 90 },
        WeightedService { service: "none".into(), weight: 0 },
        WeightedService { service: "b".into(), weight: 10 },
    ];
    let times_picked =
        |name| (0..1_000).filter(|draw| table::pick_service(&route, *draw) == Some(name)).count();
    expect_that!(times_picked("a"), eq(900));
    expect_that!(times_picked("b"), eq(100));
    expect_that!(times_picked("none"), eq(0));
}

fn unknown_service() -> Catalog {
    let mut catalog = valid_catalog();
    catalog.routes[0].split[0].service = "missing".into();
    catalog
}

fn duplicate_route() -> Catalog {
    let mut catalog = valid_catalog();
    catalog.routes[1].prefix = "/".into();
    catalog
}

fn zero_weight() -> Catalog {
    let mut catalog = valid_catalog();
    catalog.routes[0].split[0].weight = 0;
    catalog
}

fn zero_timeout() -> Catalog {
    let mut catalog = valid_catalog();
    catalog.routes[0].timeout = Duration::ZERO;
    catalog
}

fn shared_key() -> Catalog {
    let mut catalog = valid_catalog();
    let keys = catalog.workspaces[0].keys.clone();
    catalog.workspaces[1].keys = keys;
    catalog
}

fn expect_refused(catalog: &Catalog, expected: &str) {
    let error = catalog.check().expect_err(expected);
    let found = match error {
        Error::UnknownService { .. } => "unknown service",
        Error::DuplicateRoute { .. } => "duplicate route",
        Error::ZeroWeight { .. } => "zero weight",
        Error::ZeroTimeout { .. } => "zero timeout",
        Error::SharedKey { .. } => "shared key",
        _ => "other",
    };
    expect_that!(found, eq(expected));
}

fn put_catalog(view: &mut View, catalog: Catalog) -> bool {
    view.apply(1, 0, &Command::PutCatalog(Arc::new(catalog))).is_ok()
}

fn version_in_force(view: &View) -> Option<u64> {
    view.catalog().map(|c| c.version)
}

fn refused_catalog() {
    let mut view = View::default();
    expect_that!(put_catalog(&mut view, valid_catalog()), eq(true));
    expect_that!(put_catalog(&mut view, Catalog { version: 9, ..unknown_service() }), eq(false));
    expect_that!(version_in_force(&view), some(eq(1)));
}

fn highest_version() {
    let mut view = View::default();
    for (given, in_force) in [(5, 5), (3, 5), (9, 9), (9, 9)] {
        expect_that!(
            put_catalog(&mut view, Catalog { version: given, ..valid_catalog() }),
            eq(true)
        );
        expect_that!(version_in_force(&view), some(eq(in_force)));
    }
    let other = Catalog { version: 9, routes: Vec::new(), ..valid_catalog() };
    expect_that!(put_catalog(&mut view, other), eq(true));
    expect_that!(view.catalog().unwrap().routes.len(), eq(3));
}

fn announced(id: &str, incarnation: u64, seq: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 4,
        presence: Presence::Up,
        incarnation,
        seq,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
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

/// Announces the target every second from `from` to `to`, with sequence numbers from `seq` on.
fn announce_for(
    directory: &mut Directory,
    target: &AnnouncedTarget,
    seconds: std::ops::Range<u32>,
) -> Vec<bool> {
    let announcements = seconds.map(|second| {
        let seq = target.seq + u64::from(second);
        for tick in 0..10 {
            directory.tick(SECOND * second + Duration::from_millis(100) * tick);
        }
        directory.announce(AnnouncedTarget { seq, ..target.clone() }, SECOND * (second + 1))
    });
    announcements.collect()
}

fn directory_dispute() {
    for (incarnation, seq) in [(7, u64::MAX), (u64::MAX, 1), (u64::MAX, u64::MAX)] {
        let mut directory = Directory::default();
        let target = announced("t", 7, 1);
        expect_that!(announce_for(&mut directory, &target, 0..5), each(eq(&true)));
        let odd = AnnouncedTarget { slots: 1, ..announced("t", incarnation, seq) };
        expect_that!(directory.announce(odd.clone(), SECOND * 5), eq(true));
        expect_that!(directory.announce(odd, SECOND * 5), eq(false));
        let other_odd = announced("t", incarnation.min(8), seq.saturating_sub(1).max(1));
        directory.announce(other_odd, SECOND * 5);
        let after = announce_for(&mut directory, &target, 5..25);
        expect_that!(after[..3], each(eq(&false)));
        expect_that!(after[12..], each(eq(&true)));
        expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
        expect_that!(directory.get("t").unwrap().slots, eq(4));
    }
}

fn directory_late() {
    let mut directory = Directory::default();
    let (old, new) = (announced("t", 1, 1), announced("t", 2, 1));
    announce_for(&mut directory, &old, 0..5);
    announce_for(&mut directory, &new, 5..8);
    // The new incarnation goes on.
    for second in 8..40 {
        let outdated = announce_for(&mut directory, &old, second..second + 1);
        expect_that!(outdated, each(eq(&false)));
        let current = announce_for(&mut directory, &new, second..second + 1);
        expect_that!(current, each(eq(&true)));
    }
    // It has crashed, and what was held up arrives at once.
    tick_until(&mut directory, SECOND * 41, SECOND * 50);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Down)));
    for seq in 100..200 {
        expect_that!(directory.announce(announced("t", 1, seq), SECOND * 50), eq(false));
    }
    expect_that!(directory.announce(announced("t", 1, 199), SECOND * 60), eq(false));
}

fn directory_address_dispute() {
    let mut directory = Directory::default();
    let target = announced("t", 7, 1);
    announce_for(&mut directory, &target, 0..5);
    expect_that!(directory.announce(announced("other", u64::MAX, 1), SECOND * 5), eq(true));
    let after = announce_for(&mut directory, &target, 5..15);
    expect_that!(after[..3], each(eq(&false)));
    expect_that!(after[7..], each(eq(&true)));
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
}

fn directory_leaving_list() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    expect_that!(directory.leaving(SECOND).count(), eq(0));
    directory.mark_leaving("t", Some(1), SECOND);
    let ids = |d: &Directory, now| d.leaving(now).map(|t| t.id.clone()).collect::<Vec<_>>();
    expect_that!(ids(&directory, SECOND), elements_are![eq("t")]);
    directory.tick(SECOND);
    directory.tick(SECOND + TTL / 8);
    expect_that!(ids(&directory, SECOND + TTL / 8), elements_are![eq("t")]);
    for step in 1..=8 {
        directory.tick(SECOND + TTL * step / 8);
    }
    expect_that!(ids(&directory, SECOND + TTL), is_empty());
}

/// Guards against a replica that confirms the departure of a target it does not know, and then
/// takes it for up.
fn directory_early_departure() {
    let mut directory = Directory::default();
    let departure = directory.mark_leaving("t", Some(1), SECOND);
    expect_that!(directory.leaving(SECOND).count(), eq(1));
    directory.announce(announced("t", 1, 1), SECOND);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Leaving)));
    expect_that!(directory.has_departed(&departure.unwrap()), eq(true));
    directory.announce(announced("t", 2, 1), SECOND);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
    expect_that!(directory.mark_leaving("unknown", None, SECOND), none());
}

/// Guards against an announcement that was sent before a target left and arrives after it has
/// timed out.
fn directory_late_after_departure() {
    let mut directory = Directory::default();
    directory.tick(SECOND);
    directory.announce(announced("t", 1, 1), SECOND);
    directory.mark_leaving("t", Some(1), SECOND);
    tick_until(&mut directory, SECOND, SECOND * 2 + TTL);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Down)));
    directory.announce(announced("t", 1, 2), SECOND * 2 + TTL);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Leaving)));
}

fn directory_departure_retention() {
    let mut directory = Directory::default();
    let departure = directory.mark_leaving("t", Some(1), SECOND).unwrap();
    tick_until(&mut directory, SECOND, SECOND * 100);
    expect_that!(directory.has_departed(&departure), eq(true));
    expect_that!(directory.leaving(SECOND * 100).count(), eq(0));
    tick_until(&mut directory, SECOND * 100, SECOND * 200);
    expect_that!(directory.has_departed(&departure), eq(false));
}

fn directory_leaving() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    directory.mark_leaving("t", Some(0), SECOND);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
    directory.mark_leaving("t", None, SECOND);
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

fn directory_displaced() {
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

fn directory_timeout() {
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

fn directory_suspended() {
    let mut directory = Directory::default();
    directory.tick(SECOND);
    directory.announce(announced("t", 1, 1), SECOND);
    directory.tick(SECOND * 60);
    expect_that!(presence(&directory, "t"), some(eq(Presence::Up)));
}

/// A target that announces itself to this replica alone would be taken for down by the others.
fn directory_isolated() {
    let mut directory = Directory::default();
    directory.tick(SECOND);
    directory.announce(announced("t", 1, 1), SECOND);
    let next = announced("t", 1, 2);
    let leaving = AnnouncedTarget { presence: Presence::Leaving, ..next.clone() };
    directory.restart_timeouts(SECOND * 2);
    // An election is no reason.
    expect_that!(directory.should_go_elsewhere(&next, SECOND * 3), eq(false));
    directory.restart_timeouts(SECOND * 4);
    expect_that!(directory.should_go_elsewhere(&next, SECOND * 4), eq(true));
    expect_that!(directory.should_go_elsewhere(&leaving, SECOND * 4), eq(false));
    expect_that!(directory.should_go_elsewhere(&announced("t", 2, 1), SECOND * 4), eq(false));
    expect_that!(directory.should_go_elsewhere(&announced("u", 1, 1), SECOND * 4), eq(false));
    directory.tick(SECOND * 5);
    expect_that!(directory.should_go_elsewhere(&next, SECOND * 9), eq(false));
}

fn directory_update() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    let holdings = vec![Holding { model: "m".into(), version: 1, adapters: vec!["a1".into()] }];
    let update = HoldingsUpdate { id: "t".into(), incarnation: 1, holdings: holdings.clone() };
    directory.apply_update(&update, SECOND);
    directory.announce(announced("t", 1, 2), SECOND);
    expect_that!(directory.get("t").unwrap().holdings, eq(&holdings));
    directory.announce(announced("t", 1, 3), SECOND * 10);
    expect_that!(directory.get("t").unwrap().holdings, is_empty());
    directory.apply_update(&HoldingsUpdate { incarnation: 0, ..update }, SECOND * 10);
    expect_that!(directory.get("t").unwrap().holdings, is_empty());
}

fn directory_revision() {
    let mut directory = Directory::default();
    directory.announce(announced("t", 1, 1), SECOND);
    let known = directory.revision();
    directory.announce(announced("t", 1, 2), SECOND);
    expect_that!(directory.changed_since(known).count(), eq(0));
    directory.mark_leaving("t", None, SECOND);
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
        loads: vec![Load { target: "t".into(), running, prompt_tokens: 7, placed: Vec::new() }],
        demands: vec![demand(None), demand(Some("a1"))],
        token_rates: vec![TokenRate { workspace: "w".into(), rate: 100.0 }],
        gateways: vec![1],
        brittle_services: Vec::new(),
        leaving: Vec::new(),
        relays: Vec::new(),
        paces: Vec::new(),
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
    let total = traffic.total(SECOND);
    expect_that!(total.gateways, eq(&vec![1, 2, 3, 4, 5, 6]));
    expect_that!(total.demands.len(), eq(2));
    expect_that!(total.demands[0].work, eq(30));
    expect_that!(total.token_rates[0].rate, eq(300.0));
}

fn traffic_ttl() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report(1), SECOND);
    expect_that!(traffic.total(SECOND * 5).loads, is_empty());
}
