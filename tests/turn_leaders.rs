//! Turns at a target that states a limit, while its leader is cut off, stands still or is
//! replaced, twice in a row too: how many requests reach the target, and how much of the limit
//! callers get.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::request::limit::turn::{self, LocalTurns, TurnReply, TurnRequest, Turns};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long a gateway waits for the leader's answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Length of a play.
const LENGTH: Duration = Duration::from_secs(24);
/// Fraction of the limit that a target may get beyond it, and requests on top.
const EXCESS: f64 = 0.5;
const SLACK: f64 = 5.0;

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
    limit_holds_while_the_leader_is_cut_off => check(&[Lead::until(8.0, 0.0), Lead::from(8.6)]);
    limit_holds_while_answers_of_the_leader_are_lost =>
        check(&[Lead::until(8.0, 4.0), Lead::from(12.0)]);
    limit_holds_while_the_leader_stands_still => check(&[Lead::until(8.0, 0.0), Lead::from(9.5)]);
    limit_holds_when_the_leader_is_replaced_twice_in_a_row =>
        check(&[Lead::until(8.0, 0.0), Lead::between(8.6, 9.6), Lead::from(10.2)]);
    limit_holds_when_leaders_follow_each_other_at_once =>
        check(&[Lead::until(8.0, 0.0), Lead::between(8.0, 9.0), Lead::between(9.0, 10.0),
            Lead::from(10.0)]);
}

/// When a replica leads, and for how long after that it grants turns whose answers are lost.
#[derive(Clone, Copy, Debug)]
struct Lead {
    begin: Duration,
    end: Duration,
    deaf_until: Duration,
}

impl Lead {
    fn between(begin: f64, end: f64) -> Self {
        let [begin, end] = [begin, end].map(Duration::from_secs_f64);
        Self { begin, end, deaf_until: end }
    }

    fn from(begin: f64) -> Self {
        Self::between(begin, LENGTH.as_secs_f64())
    }

    fn until(end: f64, lost_for: f64) -> Self {
        let lead = Self::between(0.0, end);
        Self { deaf_until: lead.end + Duration::from_secs_f64(lost_for), ..lead }
    }
}

/// Requests of callers, a few times as many as the target takes.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    gateways: u32,
    rate: f64,
}

/// Returns the times of the arrivals at the target.
fn play(traffic: Traffic, leads: &[Lead], seed: u64) -> Vec<Duration> {
    let Traffic { gateways, rate } = traffic;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let interval = turn::interval(rate);
    let mut leaders: Vec<_> =
        leads.iter().map(|lead| (*lead, Turns::after_takeover(lead.begin))).collect();
    let mut locals: Vec<_> = (0..gateways).map(|g| LocalTurns::new(g.into())).collect();
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        now += Duration::from_millis(1);
        if rng.random_range(0.0..1.0) >= rate * 4.0 / 1_000.0 {
            continue;
        }
        let request = TurnRequest {
            target: "t".into(),
            incarnation: 1,
            interval,
            max_wait: turn::MAX_RESERVATION,
        };
        let local = &mut locals[rng.random_range(0..gateways as usize)];
        let mut granted = None;
        let mut asked_at = now;
        if local.asks_leader(now) {
            for (lead, turns) in &mut leaders {
                if now < lead.begin || now >= lead.deaf_until {
                    continue;
                }
                let reply = turns.request(&request, now);
                if now < lead.end {
                    granted = Some(reply);
                }
            }
            if granted.is_some() {
                local.record_answer();
            } else {
                asked_at += REPLY_TIMEOUT;
                local.record_silence(asked_at);
            }
        }
        let reply = granted.unwrap_or_else(|| local.request(request, gateways, asked_at));
        if let TurnReply::Granted { wait } = reply {
            arrivals.push(asked_at + wait);
        }
    }
    arrivals.sort();
    arrivals
}

fn most_in_window(arrivals: &[Duration]) -> usize {
    let in_window =
        |start: &Duration| arrivals.iter().filter(|a| *a >= start && **a < *start + WINDOW).count();
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// In no window may the target get more than half beyond its limit, and five requests. Over the
/// change of leader callers get a part of the limit, which is printed beside that of refusing all
/// requests without a leader.
fn check(leads: &[Lead]) {
    const SEEDS: u32 = 20;
    let changed = Duration::from_secs(8)..Duration::from_secs(13);
    for traffic in [(13, 1.5), (13, 2.6), (107, 1.5), (107, 3.7)] {
        let traffic = Traffic { gateways: traffic.0, rate: traffic.1 };
        let allowed = traffic.rate * WINDOW.as_secs_f64() * (1.0 + EXCESS) + SLACK;
        let mut taken = 0;
        let mut most = 0;
        for seed in 0..SEEDS {
            let arrivals = play(traffic, leads, seed.into());
            most = most.max(most_in_window(&arrivals));
            taken += arrivals.iter().filter(|at| changed.contains(at)).count();
        }
        let figure = |count: usize| f64::from(u32::try_from(count).unwrap());
        let length = changed.end.saturating_sub(changed.start);
        let led =
            |lead: &Lead| lead.end.min(changed.end).saturating_sub(lead.begin.max(changed.start));
        let naive = leads.iter().map(led).sum::<Duration>().as_secs_f64() / length.as_secs_f64();
        let share = figure(taken) / (traffic.rate * length.as_secs_f64() * f64::from(SEEDS));
        println!("{traffic:?}: most {most} of {allowed:.1}, share {share:.2}, naive {naive:.2}");
        expect_that!(figure(most), le(allowed), "{traffic:?}");
    }
}
