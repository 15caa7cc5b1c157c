//! Turns at targets that state a limit: schedules of the leader and of gateways, and the
//! arrivals that many gateways cause together.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::request::limit::turn::{self, LocalTurns, TurnReply, TurnRequest, Turns};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time in which the target takes more than its limit from gateways that adjust.
const ADJUSTMENT_TIME: Duration = Duration::from_secs(3);

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
    turns_are_an_interval_apart => spacing();
    short_burst_follows_a_pause => burst();
    reserved_turn_is_not_given_twice => reservation();
    denial_reserves_nothing => denial();
    restarted_target_has_a_schedule_of_its_own => restart();
    rate_gives_the_interval => rates();
    first_turns_of_gateways_differ => phases();
    denial_without_a_leader_ends_when_the_leader_is_asked_again => local_denial();
    leader_keeps_the_limit_of_13_gateways => check_fleet(13, 2.6, Policy::Leader);
    leader_keeps_the_limit_of_107_gateways => check_fleet(107, 3.7, Policy::Leader);
    gateways_keep_the_limit_of_13_without_a_leader => check_fleet(13, 2.6, Policy::Local);
    gateways_keep_the_limit_of_107_without_a_leader => check_fleet(107, 3.7, Policy::Local);
    gateways_keep_the_limit_when_the_leader_is_gone_again =>
        for gateways in [13, 107] {
            check_traffic(Traffic { pause: SECOND * 100, ..Traffic::new(gateways, 2.6) });
        };
    gateways_keep_the_limit_when_all_get_requests =>
        for gateways in [13, 107] {
            check_traffic(Traffic { evenly: true, ..Traffic::new(gateways, 2.6) });
        };
    leader_serves_more_than_fixed_parts_of_the_limit => compare_with_parts();
}

fn ask(target: &str, max_wait: Duration) -> TurnRequest {
    TurnRequest { target: target.into(), incarnation: 1, interval: SECOND / 2, max_wait }
}

fn granted(wait: Duration) -> TurnReply {
    TurnReply::Granted { wait }
}

fn denied(wait: Duration) -> TurnReply {
    TurnReply::Denied { wait }
}

fn spacing() {
    let mut turns = Turns::default();
    expect_that!(turns.request(&ask("t", Duration::ZERO), SECOND), eq(granted(Duration::ZERO)));
    expect_that!(turns.request(&ask("t", SECOND), SECOND), eq(granted(SECOND / 2)));
    expect_that!(turns.request(&ask("t", SECOND), SECOND), eq(granted(SECOND)));
    expect_that!(turns.request(&ask("u", Duration::ZERO), SECOND), eq(granted(Duration::ZERO)));
}

fn burst() {
    let mut turns = Turns::default();
    turns.request(&ask("t", Duration::ZERO), SECOND);
    let later = SECOND * 10;
    let replies: Vec<_> = (0..3).map(|_| turns.request(&ask("t", Duration::ZERO), later)).collect();
    expect_that!(
        replies,
        elements_are![
            eq(&granted(Duration::ZERO)),
            eq(&granted(Duration::ZERO)),
            eq(&denied(SECOND / 2))
        ]
    );
}

fn reservation() {
    let mut turns = Turns::default();
    turns.request(&ask("t", Duration::ZERO), SECOND);
    expect_that!(turns.request(&ask("t", SECOND), SECOND), eq(granted(SECOND / 2)));
    let reserved_time = SECOND + SECOND / 2;
    let reply = turns.request(&ask("t", Duration::ZERO), reserved_time);
    expect_that!(reply, eq(denied(SECOND / 2)));
}

fn denial() {
    let mut turns = Turns::default();
    turns.request(&ask("t", Duration::ZERO), SECOND);
    for _ in 0..3 {
        let reply = turns.request(&ask("t", SECOND / 4), SECOND);
        expect_that!(reply, eq(denied(SECOND / 2)));
    }
}

fn restart() {
    let mut turns = Turns::default();
    turns.request(&ask("t", Duration::ZERO), SECOND);
    let restarted = TurnRequest { incarnation: 2, ..ask("t", Duration::ZERO) };
    expect_that!(turns.request(&restarted, SECOND), eq(granted(Duration::ZERO)));
}

fn rates() {
    expect_that!(turn::interval(4.0), eq(SECOND / 4));
    let longest = turn::interval(0.0);
    expect_that!(longest, ge(SECOND));
    for rate in [-1.0, 1e-300, f64::NAN, f64::INFINITY] {
        expect_that!(turn::interval(rate), eq(longest));
    }
}

fn phases() {
    let wait = |seed| match Turns::with_seed(seed).request(&ask("t", SECOND), SECOND) {
        TurnReply::Granted { wait } | TurnReply::Denied { wait } => wait,
    };
    let waits: std::collections::BTreeSet<_> = (0..20).map(wait).collect();
    expect_that!(waits.len(), eq(20));
    expect_that!(waits.last(), some(le(&(SECOND / 2))));
}

fn local_denial() {
    let mut local = LocalTurns::new(1);
    expect_that!(local.asks_leader(SECOND), eq(true));
    local.record_silence(SECOND);
    expect_that!(local.asks_leader(SECOND), eq(false));
    // With 100 gateways the next turn of this one is up to 50 s away.
    let reply = local.request(ask("t", Duration::ZERO), 100, SECOND);
    let TurnReply::Denied { wait } = reply else {
        panic!("a turn at the very moment of the request is not expected");
    };
    expect_that!(local.asks_leader(SECOND + wait), eq(true));
    expect_that!(wait, le(SECOND));
}

/// How gateways keep the limit of a target.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The leader gives turns.
    Leader,
    /// Each gateway keeps its own schedule, as without a leader.
    Local,
    /// The naive twin: each gateway sends at most its part of the limit in each second,
    /// rounded up.
    FixedParts,
}

/// Requests of callers for 20 s: four times as many as a target takes, in bursts.
#[derive(Clone, Copy)]
struct Traffic {
    gateways: u32,
    /// Requests a second that the target takes.
    rate: f64,
    /// Whether all gateways get as many requests; else three of four requests come to a
    /// quarter of the gateways.
    evenly: bool,
    /// Time since each gateway had its latest turn; zero if there was none.
    pause: Duration,
}

impl Traffic {
    fn new(gateways: u32, rate: f64) -> Self {
        Self { gateways, rate, evenly: false, pause: Duration::ZERO }
    }
}

/// Returns the times of the arrivals at the target.
fn play(traffic: Traffic, policy: Policy, seed: u64) -> Vec<Duration> {
    let Traffic { gateways, rate, evenly, pause } = traffic;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let interval = turn::interval(rate);
    let mut leader = Turns::default();
    let mut locals: Vec<_> = (0..gateways).map(|g| Turns::with_seed(g.into())).collect();
    if pause > Duration::ZERO {
        let request =
            TurnRequest { interval: interval * gateways, ..ask("t", interval * gateways) };
        for local in &mut locals {
            local.request(&request, Duration::ZERO);
        }
    }
    let mut sent_in_second = vec![(0, 0_u32); usize::try_from(gateways).unwrap()];
    let part = (rate / f64::from(gateways)).ceil();
    let mut arrivals = Vec::new();
    for step in 0..20_000_u32 {
        let now = pause + SECOND * step / 1_000;
        let factor = if (step / 3_000).is_multiple_of(2) { 2.0 } else { 6.0 };
        if rng.random_range(0.0..1.0) >= rate * factor / 1_000.0 {
            continue;
        }
        let few = !evenly && rng.random_range(0..4) > 0;
        let gateway = rng.random_range(0..if few { gateways / 4 } else { gateways });
        let index = usize::try_from(gateway).unwrap();
        let mut request = TurnRequest { interval, ..ask("t", SECOND / 2) };
        let reply = match policy {
            Policy::Leader => leader.request(&request, now),
            Policy::Local => {
                request.interval = interval * gateways;
                locals[index].request(&request, now)
            }
            Policy::FixedParts => {
                let (second, sent) = &mut sent_in_second[index];
                if *second != step / 1_000 {
                    (*second, *sent) = (step / 1_000, 0);
                }
                *sent += 1;
                if f64::from(*sent) <= part { granted(Duration::ZERO) } else { denied(SECOND) }
            }
        };
        if let TurnReply::Granted { wait } = reply {
            arrivals.push((now + wait).saturating_sub(pause));
        }
    }
    arrivals.sort();
    arrivals
}

/// Returns the largest number of arrivals in a window after the time to adjust.
fn most_in_window(arrivals: &[Duration]) -> u32 {
    let counted: Vec<_> = arrivals.iter().filter(|at| **at >= ADJUSTMENT_TIME).collect();
    let in_window = |start: &Duration| {
        counted.iter().filter(|at| ***at >= *start && ***at < *start + WINDOW).count()
    };
    let most = counted.iter().map(|start| in_window(start)).max();
    u32::try_from(most.unwrap_or(0)).unwrap()
}

/// In no window may a target get more than one and a half times its limit, and five.
fn check_limit(traffic: Traffic, policy: Policy) {
    for seed in 0..20 {
        let arrivals = play(traffic, policy, seed);
        let allowed = traffic.rate * WINDOW.as_secs_f64() * 1.5 + 5.0;
        expect_that!(f64::from(most_in_window(&arrivals)), le(allowed), "seed {seed}");
    }
}

fn check_fleet(gateways: u32, rate: f64, policy: Policy) {
    check_limit(Traffic::new(gateways, rate), policy);
}

/// Checks traffic without a leader.
fn check_traffic(traffic: Traffic) {
    check_limit(traffic, Policy::Local);
}

fn compare_with_parts() {
    let traffic = Traffic::new(13, 2.6);
    let total = |policy| (0..20).map(|seed| play(traffic, policy, seed).len()).sum::<usize>();
    let taken_by_limit = 2.6 * 20.0 * 20.0;
    let (leader, local) = (total(Policy::Leader), total(Policy::Local));
    let served = |count: usize| f64::from(u32::try_from(count).unwrap()) / taken_by_limit;
    println!("part of the limit used: leader {:.2}, local {:.2}", served(leader), served(local));
    expect_that!(served(leader), gt(0.95));
    expect_that!(leader, gt(local));
    // Parts of less than one request, rounded up, exceed the limit by far.
    let naive = most_in_window(&play(traffic, Policy::FixedParts, 0));
    expect_that!(f64::from(naive), gt(2.6 * 4.0 * 1.5 + 5.0));
}
