//! What targets state about themselves in responses: that they are leaving, or that they want
//! no request for a while.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::gateway::fleet::{Choice, Homes, Locality, Query, TargetTable, Unavailable},
    version::{directory::AnnouncedTarget, traffic::LeavingTarget, view::Presence},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

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
    target_that_states_that_it_leaves_gets_no_request => leaving();
    leaving_target_stays_so_after_a_loss_of_the_directory => forgotten();
    leaving_target_is_used_again_after_a_restart => restarted();
    leaving_targets_are_reported_until_the_replicas_know => reported();
    paused_target_gets_no_request_until_the_pause_ends => paused();
    pause_is_not_shortened_by_a_later_response => shortened();
    pause_has_an_upper_bound => endless();
    pause_of_all_targets_tells_when_the_first_ends => all_paused();
    no_gateway_is_connected_to_a_target_that_wants_no_requests => relayed();
    no_request_reaches_a_target_in_its_pause => for seed in 0..20 { random_pauses(seed) };
}

fn announced(id: &str, incarnation: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "app".into(),
        address: ([127, 0, 0, 1], if id == "one" { 1 } else { 2 }).into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 6,
        presence: Presence::Up,
        incarnation,
        seq: 1,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
    }
}

fn two_targets() -> TargetTable {
    let mut table = TargetTable::default();
    table.apply_announcements(vec![announced("one", 7), announced("two", 7)]);
    table
}

fn choose(table: &TargetTable, now: Duration) -> std::result::Result<Choice, Unavailable> {
    let query =
        Query { service: "app", prompt: None, software: None, tried: &[], homes: Homes::default() };
    table.choose(&query, &Locality { domain: "a", connected: &HashSet::new() }, now)
}

/// Returns a choice of one target, as for a request that was sent there before.
fn choice(table: &TargetTable, id: &str) -> Choice {
    let query =
        Query { service: "app", prompt: None, software: None, tried: &[], homes: Homes::default() };
    let locality = Locality { domain: "a", connected: &HashSet::new() };
    let choices = table.choose_several(&query, &locality, 2, Duration::ZERO).expect("both are up");
    choices.into_iter().find(|c| c.id == id).expect("the target is up")
}

fn id(
    chosen: std::result::Result<Choice, Unavailable>,
) -> std::result::Result<String, Unavailable> {
    chosen.map(|c| c.id)
}

fn leaving() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    expect_that!(table.record_leaving(&one, SECOND), eq(true));
    expect_that!(table.record_leaving(&one, SECOND), eq(false));
    expect_that!(id(choose(&table, SECOND)), ok(eq("two")));
    expect_that!(table.still_takes_requests(&one, SECOND), eq(false));
    // A late announcement says that it is up.
    table.apply_announcements(vec![AnnouncedTarget { seq: 9, ..announced("one", 7) }]);
    expect_that!(id(choose(&table, SECOND * 100)), ok(eq("two")));
    table.record_leaving(&choice_of_two(&table), SECOND);
    expect_that!(choose(&table, SECOND), err(eq(&Unavailable::NoTarget)));
}

fn choice_of_two(table: &TargetTable) -> Choice {
    choose(table, SECOND).expect("one target is left")
}

fn forgotten() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    table.record_leaving(&one, SECOND);
    let down = AnnouncedTarget { presence: Presence::Down, ..announced("one", 7) };
    table.apply_announcements(vec![down]);
    // A replica that has restarted does not know that it leaves.
    table.apply_announcements(vec![announced("one", 7)]);
    expect_that!(id(choose(&table, SECOND * 2)), ok(eq("two")));
}

fn restarted() {
    let mut table = two_targets();
    for target in ["one", "two"] {
        let choice = choice(&two_targets(), target);
        table.record_leaving(&choice, SECOND);
    }
    table.apply_announcements(vec![announced("one", 8)]);
    expect_that!(id(choose(&table, SECOND * 2)), ok(eq("one")));
}

fn reported() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    table.record_leaving(&one, SECOND);
    let leaving = LeavingTarget { id: "one".into(), incarnation: 7 };
    expect_that!(table.local_traffic(SECOND).leaving, elements_are![eq(&leaving)]);
    // Once the replicas know, each gateway would only repeat it.
    let known = AnnouncedTarget { presence: Presence::Leaving, seq: 2, ..announced("one", 7) };
    table.apply_announcements(vec![known]);
    expect_that!(table.local_traffic(SECOND).leaving, is_empty());
}

fn paused() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    table.record_pause(&one, SECOND * 2, SECOND);
    expect_that!(id(choose(&table, SECOND * 29 / 10)), ok(eq("two")));
    expect_that!(table.still_takes_requests(&one, SECOND * 2), eq(false));
    expect_that!(table.still_takes_requests(&one, SECOND * 3), eq(true));
}

fn shortened() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    table.record_pause(&one, SECOND * 3, SECOND);
    table.record_pause(&one, Duration::ZERO, SECOND * 2);
    expect_that!(table.still_takes_requests(&one, SECOND * 3), eq(false));
}

fn endless() {
    let mut table = two_targets();
    let one = choice(&table, "one");
    table.record_pause(&one, Duration::MAX, SECOND);
    expect_that!(table.still_takes_requests(&one, SECOND * 60), eq(false));
    expect_that!(table.still_takes_requests(&one, SECOND * 600), eq(true));
}

fn all_paused() {
    let mut table = two_targets();
    for (target, pause) in [("one", SECOND * 4), ("two", SECOND * 2)] {
        let choice = choice(&two_targets(), target);
        table.record_pause(&choice, pause, SECOND);
    }
    let expected = Unavailable::Paused { until: SECOND * 3 };
    expect_that!(choose(&table, SECOND * 2), err(eq(&expected)));
    expect_that!(id(choose(&table, SECOND * 3)), ok(eq("two")));
}

fn relayed() {
    let mut table = two_targets();
    let (one, two) = (choice(&table, "one"), choice(&table, "two"));
    table.record_pause(&one, SECOND, SECOND);
    table.record_leaving(&two, SECOND);
    expect_that!(table.may_relay_to(one.address, SECOND), eq(false));
    expect_that!(table.may_relay_to(one.address, SECOND * 2), eq(true));
    expect_that!(table.may_relay_to(two.address, SECOND * 2), eq(false));
    expect_that!(table.may_relay_to(([127, 0, 0, 1], 9).into(), SECOND), eq(false));
}

/// Targets reject requests at random and state pauses of random length; announcements come
/// and go meanwhile.
fn random_pauses(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = two_targets();
    let mut until = BTreeMap::<String, Duration>::new();
    let mut sent = 0;
    for step in 0..2_000_u32 {
        let now = SECOND + Duration::from_millis(10) * step;
        if rng.random_bool(0.02) {
            let target = if rng.random_bool(0.5) { "one" } else { "two" };
            let presence = if rng.random_bool(0.3) { Presence::Down } else { Presence::Up };
            table.apply_announcements(vec![AnnouncedTarget { presence, ..announced(target, 7) }]);
        }
        let Ok(choice) = choose(&table, now) else {
            continue;
        };
        sent += 1;
        let end = until.get(&choice.id).copied().unwrap_or_default();
        expect_that!(now, ge(end), "seed {seed}: {} got a request in its pause", choice.id);
        if rng.random_bool(0.1) {
            let pause = Duration::from_millis(rng.random_range(0..1_500));
            table.record_pause(&choice, pause, now);
            until.insert(choice.id, now + pause);
        }
    }
    expect_that!(sent, gt(100), "seed {seed}");
}
