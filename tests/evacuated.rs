//! What gateways and the placer do while a failure domain is being evacuated, each beside what
//! they do without one.

#[path = "support/engines.rs"]
mod engines;

use std::{collections::HashSet, sync::LazyLock, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            fleet::{Choice, Homes, Locality, Query, TargetTable, Unavailable},
            suspension::LatestAttempt,
        },
        refusal::{Ran, Refusal},
    },
    version::placer::Availability,
};

use self::engines::{World, target};

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
    request_waits_after_a_suspension_but_not_while_no_replica_answers => suspension();
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

fn copies_count_as_missing() {
    let mut world = World::new();
    expect_that!(world.ordered_targets(), is_empty());
    world.evacuate(["north"]);
    expect_that!(world.ordered_targets(), elements_are![eq(&"b")]);
    expect_that!(world.request(None, &[], &[]), some(eq(&Availability::At("b".into()))));
    world.evacuate(["north", "south"]);
    expect_that!(world.request(None, &[], &[]), some(eq(&Availability::Nowhere)));
    expect_that!(world.orders.len(), eq(1));
}

fn adapter_elsewhere() {
    let mut plain = World::new();
    expect_that!(plain.request(Some("x"), &[], &[]), some(eq(&Availability::At("a".into()))));
    let mut world = World::new();
    world.evacuate(["north"]);
    expect_that!(world.request(Some("x"), &[], &[]), some(eq(&Availability::At("b".into()))));
    expect_that!(world.ordered_targets(), each(eq(&"b")));
}

fn copies_count_again() {
    let mut world = World::new();
    world.evacuate(["north"]);
    world.evacuate([]);
    expect_that!(world.request(None, &["b"], &[]), some(eq(&Availability::At("a".into()))));
    expect_that!(world.orders.len(), eq(1));
}

/// Attempts end after 0.9 s without an answer, and the next one begins 0.25 s later.
fn suspension() {
    let mut attempt = LatestAttempt::default();
    let mut began_at = NOW;
    for _ in 0..100 {
        let ended_at = began_at + Duration::from_millis(900);
        expect_that!(attempt.is_overdue(ended_at), eq(false));
        attempt.record_end(began_at);
        began_at = ended_at + Duration::from_millis(250);
    }
    let resumed_at = began_at + Duration::from_secs(5);
    expect_that!(attempt.is_overdue(resumed_at), eq(true));
    // What was sent before the suspension and answered after it proves nothing.
    attempt.record_end(began_at);
    expect_that!(attempt.is_overdue(resumed_at), eq(true));
    attempt.record_end(resumed_at);
    expect_that!(attempt.is_overdue(resumed_at + NOW), eq(false));
}
