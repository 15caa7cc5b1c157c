//! Time of the decisions made for each request: scheduling, compared with the
//! baseline scheduler, charging a rate limit, giving turns, admission of requests that
//! continue a stream, compared with that of new ones, room for a body, the search for the
//! leader, and the choice among targets.
//!
//! After the criterion benchmarks, the program panics if a decision of the
//! scheduler takes more than [`MAX_RATIO`] times as long as one of the baseline
//! in the same run.

#![allow(missing_docs, reason = "criterion's macros generate undocumented items")]

use std::{
    collections::HashSet,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group};
use hornbeamdock::{
    request::{
        gateway::{
            Prompt,
            admit::{Arrival, decide},
            fleet::{Choice, Homes, Locality, Query, TargetTable},
            intake::{Event, Intake, Need, naive::Naive as NaiveIntake},
            pace::Outcome,
        },
        limit::{
            GrantId, GrantReply,
            holder::WorkspaceGrants,
            turn::{TurnRequest, Turns},
        },
        schedule::{End, Pool, Request, Scheduler, TargetInfo, naive::Naive},
        stage::Stage,
    },
    version::{
        directory::{AnnouncedTarget, Holding},
        record::Objective,
        search::{Answer, LeaderSearch},
        view::Presence,
    },
};

/// Bound on the time of a decision, as a multiple of the baseline's.
const MAX_RATIO: f64 = 40.0;

const TARGET_COUNT: usize = 12;

/// Targets that state a limit at the same time.
const LIMITED_TARGETS: usize = 1_000;

fn pool() -> Pool {
    Pool::Model("m".into())
}

fn target_infos() -> Vec<TargetInfo> {
    let target = |n| TargetInfo {
        name: format!("t{n}").into(),
        width: 8,
        adapters: Vec::new(),
        pools: vec![pool()],
    };
    (0..TARGET_COUNT).map(target).collect()
}

fn request(id: u64) -> Request {
    Request {
        id,
        workspace: "w".into(),
        weight: 1,
        pool: pool(),
        adapter: None,
        tokens: 300,
        deferrable: false,
        stage: Stage::New,
        deadline: Duration::from_secs(9),
        prefix_hash: Some(id),
        exclusive: false,
        avoid: Vec::new(),
    }
}

fn scheduler_decision() -> impl FnMut() {
    let mut scheduler = Scheduler::new(1);
    scheduler.configure(target_infos(), Objective::WorstServed, Duration::ZERO);
    let mut id = 0;
    move || {
        id += 1;
        black_box(scheduler.submit(request(id), Duration::ZERO));
        scheduler.complete(id, End::Finished, Some(3), Duration::ZERO);
    }
}

fn baseline_decision() -> impl FnMut() {
    let mut naive = Naive::new();
    naive.configure(&target_infos());
    let mut id = 0;
    move || {
        id += 1;
        black_box(naive.submit(request(id)));
        naive.complete(id, End::Finished);
    }
}

/// Charges a grant that is never used up, so that no message is sent.
fn grant_charge() -> impl FnMut() {
    let mut holder = WorkspaceGrants::new("w", Duration::ZERO);
    holder.submit(0, 1, Duration::from_secs(1), Duration::ZERO);
    let granted = GrantReply::Granted { id: GrantId { term: 1, number: 1 }, tokens: u64::MAX / 2 };
    holder.handle_reply(granted, Duration::ZERO, true, Duration::ZERO);
    let mut id = 0;
    move || {
        id += 1;
        black_box(holder.submit(id, 300, Duration::from_secs(1), Duration::from_millis(1)));
    }
}

/// Requests turns at [`LIMITED_TARGETS`] targets, one after the other.
fn turn_request() -> impl FnMut() {
    let request = |n| TurnRequest {
        target: format!("t{n}"),
        incarnation: 1,
        interval: Duration::from_millis(250),
        max_wait: Duration::ZERO,
    };
    let requests: Vec<_> = (0..LIMITED_TARGETS).map(request).collect();
    let mut turns = Turns::default();
    let mut count = 0;
    move || {
        count += 1;
        let now = Duration::from_micros(count);
        black_box(turns.request(&requests[usize::try_from(count).unwrap() % LIMITED_TARGETS], now));
    }
}

/// Decides about requests whose prompts wait ever longer.
fn admission(stage: Stage) -> impl FnMut() {
    let mut count = 0;
    move || {
        count += 1;
        let arrival = Arrival {
            stage,
            objective: Duration::from_millis(600),
            remaining: Duration::from_secs(3),
            estimate: Duration::from_millis(count % 2_000),
            own_prefill: Duration::from_millis(80),
        };
        let _ = black_box(decide(black_box(&arrival)));
    }
}

/// The events of a body that is read and kept while 63 others are.
fn intake_events() -> impl FnMut(&mut dyn FnMut(Event, Duration)) {
    let mut id = 0;
    move |handle| {
        id += 1;
        let need = Need { bytes: 1 << 16, urgency: 1, max_wait: Duration::from_secs(1) };
        let now = Duration::from_micros(id);
        handle(Event::Requested { id, need }, now);
        handle(Event::Arrived { id, bytes: 1 << 16 }, now);
        handle(Event::Ended { id: id.saturating_sub(63) }, now);
    }
}

fn intake_policy() -> impl FnMut() {
    let (mut intake, mut events) = (Intake::new(48 << 20), intake_events());
    move || {
        events(&mut |event, now| {
            black_box(intake.handle(event, now));
        });
    }
}

fn intake_baseline() -> impl FnMut() {
    let (mut naive, mut events) = (NaiveIntake::new(Some(48 << 20)), intake_events());
    move || {
        events(&mut |event, _| {
            black_box(naive.handle(event));
        });
    }
}

/// The next probe among nine replicas, none of which leads.
fn search_step() -> impl FnMut() {
    let replicas: Vec<u64> = (1..=9).collect();
    let mut search = LeaderSearch::default();
    let mut now = Duration::ZERO;
    move || {
        if let Some((node, at)) = search.next_probe(black_box(&replicas), now) {
            search.begin_probe(node, at);
            search.record(node, Answer::Redirects(None), at);
            now = at;
        }
    }
}

/// Targets that hold one model. Each service has at most 100 of them.
fn engines(count: usize) -> TargetTable {
    let engine = |number: usize| AnnouncedTarget {
        id: format!("t{number}"),
        service: format!("llm{}", number / 100),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap())),
        domain: "a".into(),
        software: "v1".into(),
        slots: 64,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: vec![Holding { model: "m".into(), version: 1, adapters: Vec::new() }],
        cached_models: Vec::new(),
        cold_left: Duration::ZERO,
    };
    let mut table = TargetTable::default();
    table.apply_announcements((0..count).map(engine).collect());
    table
}

/// Chooses a target for a prompt, sends it there and reads the first event.
fn choice(count: usize, learns: bool) -> impl FnMut() {
    let mut table = engines(count);
    let prompt = Prompt { model: "m".into(), tokens: 2_000, ..Prompt::default() };
    let connected = HashSet::new();
    let mut step = 0;
    move || {
        step += 1;
        let now = Duration::from_millis(step);
        let query = Query {
            service: "llm0",
            prompt: Some(&prompt),
            software: None,
            tried: &[],
            homes: Homes::default(),
        };
        let locality = Locality { domain: "a", connected: &connected };
        let choice = black_box(table.choose(&query, &locality, now)).unwrap();
        table.record_sent(&choice, Some(&prompt));
        if learns {
            learn(&mut table, &choice, now);
        }
        table.record_first_output(&choice);
        table.record_end(&choice);
    }
}

fn learn(table: &mut TargetTable, choice: &Choice, now: Duration) {
    let mut meter = table.paces().begin(choice.sent, now);
    let end = now + Duration::from_millis(80);
    if let Some(sample) = meter.count(1, end) {
        table.paces().record(&meter, sample, end);
    }
    table.paces().end(&meter, Outcome::Served, end);
}

fn decisions(criterion: &mut Criterion) {
    criterion.bench_function("intake/policy", |b| b.iter(intake_policy()));
    criterion.bench_function("intake/naive", |b| b.iter(intake_baseline()));
    for count in [60, 600, 3_000] {
        criterion.bench_function(&format!("choose/nominal/{count}"), |b| {
            b.iter(choice(count, false));
        });
        criterion.bench_function(&format!("choose/learned/{count}"), |b| {
            b.iter(choice(count, true));
        });
    }
    criterion.bench_function("search/probe", |b| b.iter(search_step()));
    criterion.bench_function("schedule/policy", |b| b.iter(scheduler_decision()));
    criterion.bench_function("schedule/naive", |b| b.iter(baseline_decision()));
    criterion.bench_function("limit/charge", |b| b.iter(grant_charge()));
    criterion.bench_function("limit/turn", |b| b.iter(turn_request()));
    criterion.bench_function("admit/begun", |b| b.iter(admission(Stage::Begun)));
    criterion.bench_function("admit/new", |b| b.iter(admission(Stage::New)));
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = decisions
}

/// Returns the least time of 20,000 calls among 5 runs, in seconds.
fn least_seconds(mut run: impl FnMut()) -> f64 {
    let time = |run: &mut dyn FnMut()| {
        let start = Instant::now();
        (0..20_000).for_each(|_| run());
        start.elapsed().as_secs_f64()
    };
    (0..5).map(|_| time(&mut run)).fold(f64::INFINITY, f64::min)
}

fn main() {
    benches();
    let ratio = least_seconds(scheduler_decision()) / least_seconds(baseline_decision());
    println!(
        "schedule: the scheduler takes {ratio:.2} times as long as the baseline, {MAX_RATIO} allowed"
    );
    assert!(
        ratio <= MAX_RATIO,
        "a scheduling decision takes {ratio:.2} times as long as the baseline, {MAX_RATIO} allowed"
    );
}
