//! Requests that may be served in some regions only, each beside one without such a limit.

#[path = "support/engines.rs"]
mod engines;

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::fleet::{Homes, Locality, Query, TargetTable, Unavailable},
        refusal::{Ran, Refusal},
    },
    version::{directory::AnnouncedTarget, placer::Availability},
};

use self::engines::World;

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

// The gateway and the target `a` are in `north`, in Europe; `b` is in Asia, `c` in a failure domain
// of unknown region.
cases! {
    request_without_homes_goes_anywhere => chosen(&[], &[], &["a", "b", "c"], ok(eq("a")));
    target_outside_the_homes_of_the_route_is_not_chosen =>
        chosen(&["asia"], &[], &["a", "b", "c"], ok(eq("b")));
    target_outside_the_homes_of_the_workspace_is_not_chosen =>
        chosen(&[], &["asia"], &["a", "b", "c"], ok(eq("b")));
    homes_of_route_and_workspace_both_apply =>
        chosen(&["europe", "asia"], &["asia", "africa"], &["a", "b", "c"], ok(eq("b")));
    request_whose_homes_have_nothing_in_common_is_refused =>
        chosen(&["europe"], &["asia"], &["a", "b", "c"], err(eq(&Unavailable::NoHome)));
    request_without_a_target_in_its_homes_is_refused_at_once =>
        chosen(&["asia"], &[], &["a", "c"], err(eq(&Unavailable::NoHome)));
    target_of_unknown_region_is_in_no_home =>
        chosen(&["europe"], &[], &["c"], err(eq(&Unavailable::NoHome)));
    retry_stays_within_the_homes => retry();
    evacuated_home_is_not_left => evacuated();
    target_in_the_homes_that_is_unreachable_for_a_moment_is_waited_for => unreachable();
    domains_of_the_homes_are_named => domains();
    refusal_states_whether_the_request_ran => refusal();
    model_is_loaded_in_the_homes_of_a_request => placed_at_home();
    adapter_is_loaded_in_the_homes_of_a_request => adapter_at_home();
    nothing_is_loaded_in_evacuated_homes => evacuated_home();
}

fn target(id: &str) -> AnnouncedTarget {
    let domain = match id {
        "a" => "north",
        "b" => "east",
        _ => "nowhere",
    };
    engines::target(id, domain, "v1")
}

fn table(ids: &[&str]) -> TargetTable {
    let mut table = TargetTable::default();
    let regions = [("north", "europe"), ("east", "asia")];
    table.set_regions(regions.map(|(d, r)| (d.to_owned(), r.to_owned())).into());
    table.apply_announcements(ids.iter().map(|id| target(id)).collect());
    table
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn choose(
    table: &TargetTable,
    homes: Homes<'_>,
    tried: &[String],
) -> std::result::Result<String, Unavailable> {
    let connected = HashSet::new();
    let locality = Locality { domain: "north", connected: &connected };
    let query = Query { service: "app", prompt: None, software: None, tried, homes };
    table.choose(&query, &locality, NOW).map(|c| c.id)
}

fn chosen<M>(route: &[&str], workspace: &[&str], targets: &[&str], expected: M)
where
    M: for<'r> Matcher<&'r std::result::Result<String, Unavailable>>,
{
    let (route, workspace) = (owned(route), owned(workspace));
    let homes = Homes { route: &route, workspace: &workspace };
    expect_that!(&choose(&table(targets), homes, &[]), expected);
}

fn retry() {
    let (table, asia, tried) = (table(&["a", "b"]), owned(&["asia"]), owned(&["b"]));
    expect_that!(choose(&table, Homes::default(), &tried), ok(eq("a")));
    let homes = Homes { route: &asia, workspace: &[] };
    expect_that!(choose(&table, homes, &tried), ok(eq("b")));
}

fn evacuated() {
    let (mut table, asia) = (table(&["a", "b"]), owned(&["asia"]));
    table.set_evacuated(["east"]);
    let homes = Homes { route: &asia, workspace: &[] };
    expect_that!(choose(&table, Homes::default(), &[]), ok(eq("a")));
    expect_that!(choose(&table, homes, &[]), err(eq(&Unavailable::Evacuated)));
}

fn unreachable() {
    let (mut table, asia) = (table(&["a", "b"]), owned(&["asia"]));
    table.record_refused("b", NOW);
    let homes = Homes { route: &asia, workspace: &[] };
    expect_that!(choose(&table, homes, &[]), err(eq(&Unavailable::NoTarget)));
}

fn domains() {
    let (table, asia) = (table(&[]), owned(&["asia"]));
    expect_that!(table.home_domains(Homes::default()), is_empty());
    let homes = Homes { route: &[], workspace: &asia };
    expect_that!(table.home_domains(homes), elements_are![eq("east")]);
}

fn refusal() {
    let outcomes = BTreeMap::from([("no", Ran::No), ("unknown", Ran::Unknown)]);
    for (name, ran) in outcomes {
        let refusal = Refusal::NoHome { ran };
        expect_that!(refusal.ran(), eq(ran), "{name}");
        expect_that!(refusal.kind(), eq("no_target_in_regions"));
    }
}

fn placed_at_home() {
    let at = |id: &str| Some(Availability::At(id.into()));
    let mut world = World::new();
    expect_that!(world.request(None, &[], &[]), eq(&at("a")));
    expect_that!(world.ordered_targets(), is_empty());
    // The load takes longer than the first request waits.
    expect_that!(world.request(None, &[], &["south"]), some(eq(&Availability::Soon(NOW))));
    expect_that!(world.request(None, &[], &["south"]), eq(&at("b")));
    expect_that!(world.ordered_targets(), elements_are![eq(&"b")]);
    expect_that!(world.request(None, &[], &["west"]), some(eq(&Availability::Nowhere)));
    expect_that!(world.orders.len(), eq(1));
}

fn adapter_at_home() {
    let mut plain = World::new();
    expect_that!(plain.request(Some("x"), &[], &[]), some(eq(&Availability::At("a".into()))));
    let mut world = World::new();
    // The first request has the model loaded, which an adapter needs.
    world.request(Some("x"), &[], &["south"]);
    let answer = world.request(Some("x"), &[], &["south"]);
    expect_that!(answer, some(eq(&Availability::At("b".into()))));
    expect_that!(world.ordered_targets(), each(eq(&"b")));
}

fn evacuated_home() {
    let mut world = World::new();
    world.evacuate(["south"]);
    expect_that!(world.request(None, &[], &["south"]), some(eq(&Availability::Nowhere)));
    expect_that!(world.ordered_targets(), is_empty());
}
