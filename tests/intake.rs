//! Tests of the memory for the bodies of requests, alone and against a baseline under load.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::request::gateway::intake::{
    BodyId, Decision, Event, Intake, Need, PROMISE_TIME, naive::Naive,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const MIB: usize = 1 << 20;

/// Budget of the tests, in MiB.
const BUDGET: usize = 32;

const MAX_WAIT: Duration = Duration::from_secs(1);

fn requested(id: BodyId, mib: usize, urgency: u32) -> Event {
    Event::Requested { id, need: Need { bytes: mib * MIB, urgency, max_wait: MAX_WAIT } }
}

fn arrived(id: BodyId, mib: usize) -> Event {
    Event::Arrived { id, bytes: mib * MIB }
}

fn ended(id: BodyId) -> Event {
    Event::Ended { id }
}

fn granted(id: BodyId) -> Decision {
    Decision::Granted { id }
}

fn refused(id: BodyId) -> Decision {
    Decision::Refused { id }
}

/// An event, when it comes in ms, and the decisions that follow.
type Step = (u64, Event, Vec<Decision>);

fn check_steps(steps: &[Step]) {
    let mut intake = Intake::new(BUDGET * MIB);
    for (number, (at_ms, event, expected)) in steps.iter().enumerate() {
        let decisions = intake.handle(*event, Duration::from_millis(*at_ms));
        expect_that!(decisions, eq(expected), "step {number}");
    }
}

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
    body_waits_until_there_is_room_for_all_of_it => check_steps(&[
        (0, requested(1, 30, 0), vec![granted(1)]),
        (0, requested(2, 4, 0), vec![]),
        (10, arrived(1, 30), vec![granted(1)]),
        (20, ended(1), vec![granted(2)]),
    ]);
    smaller_body_is_not_let_past_one_that_waits => check_steps(&[
        (0, requested(1, 30, 0), vec![granted(1)]),
        (0, requested(2, 20, 0), vec![]),
        (0, requested(3, 1, 0), vec![]),
        (10, ended(1), vec![granted(2), granted(3)]),
    ]);
    more_urgent_body_is_let_past_one_that_waits => check_steps(&[
        (0, requested(1, 20, 1), vec![granted(1)]),
        (0, requested(2, 8, 1), vec![]),
        (0, requested(3, 8, 0), vec![granted(3)]),
    ]);
    less_urgent_bodies_fill_only_a_part => check_steps(&[
        (0, requested(1, 16, 5), vec![granted(1)]),
        (0, requested(2, 1, 2), vec![]),
        (0, requested(3, 8, 1), vec![granted(3)]),
        (0, requested(4, 1, 1), vec![]),
        (0, requested(5, 8, 0), vec![granted(5)]),
    ]);
    body_that_waits_too_long_is_refused => check_steps(&[
        (0, requested(1, 32, 0), vec![granted(1)]),
        (0, requested(2, 1, 0), vec![]),
        (1_000, Event::Tick, vec![]),
        (1_001, Event::Tick, vec![refused(2)]),
        (1_002, ended(1), vec![]),
    ]);
    bodies_beyond_a_second_budget_are_refused_at_once => check_steps(&[
        (0, requested(1, 32, 0), vec![granted(1)]),
        (0, requested(2, 32, 1), vec![]),
        (0, requested(3, 1, 1), vec![refused(3)]),
        (0, requested(4, 1, 0), vec![]),
        (0, requested(5, 31, 0), vec![refused(2)]),
    ]);
    slow_body_counts_with_what_has_arrived_after_its_promise => check_steps(&[
        (0, requested(1, 32, 0), vec![granted(1)]),
        (100, arrived(1, 2), vec![granted(1)]),
        (1_500, requested(2, 30, 0), vec![]),
        (1_999, Event::Tick, vec![]),
        (2_000, Event::Tick, vec![granted(2)]),
        (2_100, arrived(1, 3), vec![refused(1)]),
        (2_200, requested(3, 2, 0), vec![granted(3)]),
    ]);
    body_without_a_length_counts_as_it_arrives => check_steps(&[
        (0, requested(1, 0, 0), vec![granted(1)]),
        (10, arrived(1, 20), vec![granted(1)]),
        (20, requested(2, 12, 0), vec![granted(2)]),
        (30, arrived(1, 21), vec![refused(1)]),
        (40, requested(3, 20, 0), vec![granted(3)]),
    ]);
    body_larger_than_its_part_is_read_alone => check_steps(&[
        (0, requested(1, 1, 9), vec![granted(1)]),
        (0, requested(2, 40, 9), vec![]),
        (10, ended(1), vec![granted(2)]),
        (10, requested(3, 1, 0), vec![]),
        (20, ended(2), vec![granted(3)]),
    ]);
    absurd_lengths_take_the_whole_budget_one_at_a_time => check_steps(&[
        (0, requested(1, usize::MAX / MIB, 0), vec![granted(1)]),
        (0, requested(2, usize::MAX / MIB, 0), vec![]),
        (0, requested(3, 1, 0), vec![refused(3)]),
        (10, arrived(1, 1), vec![granted(1)]),
        (20, ended(1), vec![granted(2)]),
    ]);
    request_that_no_longer_waits_gives_way => check_steps(&[
        (0, requested(1, 30, 0), vec![granted(1)]),
        (0, requested(2, 20, 0), vec![]),
        (0, requested(3, 2, 0), vec![]),
        (10, ended(2), vec![granted(3)]),
        (10, ended(9), vec![]),
    ]);
    promise_covers_a_body_that_arrives_in_time => check_promise();
    burst_of_large_bodies_stays_within_the_budget => check_burst();
    large_bodies_are_read_among_smaller_ones => check_large();
    urgent_bodies_are_read_beside_many_others => check_urgent();
    slow_senders_hold_only_what_they_sent => check_slow();
}

fn check_promise() {
    let mut intake = Intake::new(BUDGET * MIB);
    intake.handle(requested(1, 32, 0), Duration::ZERO);
    intake.handle(arrived(1, 32), PROMISE_TIME / 2);
    intake.handle(Event::Tick, PROMISE_TIME * 2);
    expect_that!(intake.counted_bytes(), eq(32 * MIB));
}

/// Bodies that come in the first millisecond or at random, and are kept for a while once they were granted.
#[derive(Clone, Copy)]
struct Load {
    mib: usize,
    urgency: u32,
    /// Mean time between two arrivals; zero for one arrival at the start.
    interval_ms: u64,
    kept_ms: u64,
    /// Bodies that come each time.
    count: u64,
    /// Whether callers send nothing of the body.
    is_slow: bool,
}

/// What became of the bodies of each load, and the largest memory.
#[derive(Debug, Default)]
struct Played {
    sent: BTreeMap<usize, u64>,
    granted: BTreeMap<usize, u64>,
    peak: usize,
}

impl Played {
    fn share(&self, load: usize) -> f64 {
        let count = |of: &BTreeMap<usize, u64>| f64::from(u32::try_from(of[&load]).unwrap());
        if self.granted.contains_key(&load) {
            count(&self.granted) / count(&self.sent)
        } else {
            0.0
        }
    }
}

/// Plays loads for 40 s against a machine that returns its decisions and its memory.
fn play(
    loads: &[Load],
    mut handle: impl FnMut(Event, Duration) -> (Vec<Decision>, usize),
) -> Played {
    let mut played = Played::default();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut load_by_id = HashMap::new();
    let mut ends: BTreeMap<u64, Vec<BodyId>> = BTreeMap::new();
    for at_ms in 0..40_000 {
        let mut events = vec![Event::Tick];
        events.extend(ends.remove(&at_ms).unwrap_or_default().into_iter().map(ended));
        for (number, load) in loads.iter().enumerate() {
            let arrives = match load.interval_ms {
                0 => at_ms == 0,
                interval => random.random_range(0..interval) == 0,
            };
            if !arrives {
                continue;
            }
            for _ in 0..load.count {
                let id = load_by_id.len() as u64;
                load_by_id.insert(id, number);
                *played.sent.entry(number).or_default() += 1;
                events.push(requested(id, load.mib, load.urgency));
            }
        }
        while let Some(event) = events.pop() {
            let (decisions, memory) = handle(event, Duration::from_millis(at_ms));
            played.peak = played.peak.max(memory);
            let is_request = !matches!(event, Event::Arrived { .. });
            for decision in decisions {
                if let (Decision::Granted { id }, true) = (decision, is_request) {
                    let number = load_by_id[&id];
                    let load = loads[number];
                    *played.granted.entry(number).or_default() += 1;
                    ends.entry(at_ms + load.kept_ms).or_default().push(id);
                    if !load.is_slow {
                        events.push(arrived(id, load.mib));
                    }
                }
            }
        }
    }
    played
}

fn play_policy(loads: &[Load]) -> Played {
    let mut intake = Intake::new(BUDGET * MIB);
    play(loads, |event, now| (intake.handle(event, now), intake.counted_bytes()))
}

fn play_naive(loads: &[Load], budget: Option<usize>) -> Played {
    let mut naive = Naive::new(budget);
    play(loads, |event, _| (naive.handle(event).into_iter().collect(), naive.counted_bytes()))
}

const PLAIN: Load =
    Load { mib: 1, urgency: 0, interval_ms: 10, kept_ms: 500, count: 1, is_slow: false };

fn check_burst() {
    let loads = [Load { mib: 4, interval_ms: 0, count: 80, ..PLAIN }];
    let (policy, unbounded) = (play_policy(&loads), play_naive(&loads, None));
    expect_that!(unbounded.peak, eq(320 * MIB));
    expect_that!(policy.peak, le(BUDGET * MIB));
    // The budget twice: those read at once, and those that wait for them.
    expect_that!(policy.granted[&0], eq(16));
}

fn check_large() {
    let loads = [PLAIN, Load { mib: 8, interval_ms: 500, ..PLAIN }];
    let (policy, naive) = (play_policy(&loads), play_naive(&loads, Some(BUDGET * MIB)));
    println!(
        "large bodies read: {:.2}, baseline {:.2}; smaller ones: {:.2}, baseline {:.2}",
        policy.share(1),
        naive.share(1),
        policy.share(0),
        naive.share(0)
    );
    expect_that!(policy.peak, le(BUDGET * MIB));
    // As often as the smaller ones, which together need more than the budget.
    expect_that!(policy.share(1), ge(policy.share(0) * 0.8));
    expect_that!(naive.share(1), le(0.25));
}

fn check_urgent() {
    let loads = [Load { urgency: 3, ..PLAIN }, Load { interval_ms: 100, ..PLAIN }];
    let (policy, naive) = (play_policy(&loads), play_naive(&loads, Some(BUDGET * MIB)));
    println!("urgent bodies read: {:.2}, baseline {:.2}", policy.share(1), naive.share(1));
    expect_that!(policy.share(1), eq(1.0));
    expect_that!(naive.share(1), le(0.9));
    expect_that!(policy.peak, le(BUDGET * MIB));
}

fn check_slow() {
    let slow = Load { interval_ms: 0, kept_ms: 40_000, count: 80, ..PLAIN };
    let loads = [Load { is_slow: true, ..slow }, Load { interval_ms: 100, ..PLAIN }];
    let (policy, naive) = (play_policy(&loads), play_naive(&loads, Some(BUDGET * MIB)));
    println!(
        "bodies beside slow ones read: {:.2}, baseline {:.2}",
        policy.share(1),
        naive.share(1)
    );
    expect_that!(policy.share(1), ge(0.7));
    expect_that!(naive.share(1), le(0.5));
    expect_that!(policy.peak, le(BUDGET * MIB));
}
