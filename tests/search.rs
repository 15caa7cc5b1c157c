//! Search for the leader: which replica is probed when.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::version::search::{Answer, LeaderSearch};

const REPLICAS: [u64; 5] = [1, 2, 3, 4, 5];

/// Attempts of a client without a search in a second: every 50 ms, for each of the calls.
const NAIVE_ATTEMPTS_PER_CALL: usize = 8;

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
    every_replica_is_probed_before_one_is_probed_again => check_order();
    replica_that_is_named_as_the_leader_is_probed_next => check_hint();
    silent_replica_is_not_probed_on_a_hint => check_silent_hint();
    leader_that_names_itself_does_not_get_probe_after_probe => check_own_name();
    probes_become_rare_while_there_is_no_leader => check_pace();
    late_answer_of_a_former_leader_changes_nothing => check_late_answer();
    leader_that_does_not_answer_is_left => check_leader_lost();
}

/// Sends the next probe and returns its replica and time.
fn probe(search: &mut LeaderSearch, now: Duration) -> (u64, Duration) {
    let (node, at) = search.next_probe(&REPLICAS, now).unwrap();
    search.begin_probe(node, at);
    (node, at)
}

/// Sends probes, all answered alike, until `end`; returns their replicas.
fn probes_until(search: &mut LeaderSearch, answer: Answer, end: Duration) -> Vec<u64> {
    let mut probed = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        let (node, at) = search.next_probe(&REPLICAS, now).unwrap();
        if at >= end {
            return probed;
        }
        search.begin_probe(node, at);
        search.record(node, answer, at);
        probed.push(node);
        now = at;
    }
}

fn check_order() {
    let mut search = LeaderSearch::default();
    let probed = probes_until(&mut search, Answer::Redirects(None), Duration::from_millis(120));
    expect_that!(probed, unordered_elements_are![eq(&1), eq(&2), eq(&3), eq(&4), eq(&5)]);
}

fn check_hint() {
    let mut search = LeaderSearch::default();
    let (node, at) = probe(&mut search, Duration::ZERO);
    search.record(node, Answer::Redirects(Some(4)), at);
    expect_that!(search.next_probe(&REPLICAS, at), some(eq((4, at))));
}

fn check_silent_hint() {
    let mut search = LeaderSearch::default();
    let at = Duration::from_millis(400);
    search.record(4, Answer::Missing, at);
    let (node, at) = probe(&mut search, at);
    search.record(node, Answer::Redirects(Some(4)), at);
    let (next, _) = search.next_probe(&REPLICAS, at).unwrap();
    expect_that!(next, not(eq(4)));
}

fn check_own_name() {
    let mut search = LeaderSearch::default();
    let probed = probes_until(&mut search, Answer::Redirects(Some(2)), Duration::from_secs(1));
    let leader = probed.iter().filter(|node| **node == 2).count();
    expect_that!(leader, le(10));
}

fn check_pace() {
    let mut search = LeaderSearch::default();
    let end = Duration::from_secs(10);
    let probed = probes_until(&mut search, Answer::Redirects(None), end).len();
    expect_that!(probed, all![ge(25), le(50)]);
    let mut search = LeaderSearch::default();
    let in_a_second =
        probes_until(&mut search, Answer::Redirects(None), Duration::from_secs(1)).len();
    // Two calls alone made as many attempts before there was a search.
    expect_that!(in_a_second, le(2 * NAIVE_ATTEMPTS_PER_CALL));
}

fn check_late_answer() {
    let mut search = LeaderSearch::default();
    search.record(2, Answer::Leads, Duration::ZERO);
    search.record(1, Answer::Missing, Duration::from_millis(10));
    search.record(3, Answer::Redirects(Some(1)), Duration::from_millis(20));
    expect_that!(search.leader(), some(eq(2)));
}

fn check_leader_lost() {
    let mut search = LeaderSearch::default();
    search.record(2, Answer::Leads, Duration::ZERO);
    search.record(2, Answer::Missing, Duration::from_millis(400));
    expect_that!(search.leader(), none());
    let (next, _) = search.next_probe(&REPLICAS, Duration::from_millis(400)).unwrap();
    expect_that!(next, not(eq(2)));
}
