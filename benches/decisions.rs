//! The decisions on the path of a request beside their naive twins, by
//! criterion. A decision of the policy may take at most [`BOUND`] times as long
//! as its twin in the same run, which the end of the run checks.

#![allow(missing_docs, reason = "criterion's macros write no comments")]

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group};
use hornbeamdock::{
    request::{
        limit::{GrantId, GrantReply, holder::WorkspaceGrants},
        schedule::{End, Pool, Request, Scheduler, TargetInfo, naive::Naive},
    },
    version::record::Objective,
};

/// Most that a decision may cost in terms of its twin's.
const BOUND: f64 = 40.0;

/// Targets of the pool.
const TARGETS: usize = 12;

fn pool() -> Pool {
    Pool::Model("m".into())
}

fn all_hosts() -> Vec<TargetInfo> {
    let host = |n| TargetInfo {
        name: format!("t{n}").into(),
        width: 8,
        adapters: Vec::new(),
        pools: vec![pool()],
    };
    (0..TARGETS).map(host).collect()
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
        deadline: Duration::from_secs(9),
        prefix_hash: Some(id),
        exclusive: false,
        avoid: Vec::new(),
    }
}

fn policy() -> impl FnMut() {
    let mut scheduler = Scheduler::new(1);
    scheduler.configure(all_hosts(), Objective::WorstServed, Duration::ZERO);
    let mut id = 0;
    move || {
        id += 1;
        black_box(scheduler.submit(request(id), Duration::ZERO));
        scheduler.complete(id, End::Finished, Some(3), Duration::ZERO);
    }
}

fn twin() -> impl FnMut() {
    let mut naive = Naive::new();
    naive.configure(&all_hosts());
    let mut id = 0;
    move || {
        id += 1;
        black_box(naive.submit(request(id)));
        naive.complete(id, End::Finished);
    }
}

/// A charge from a grant that lasts, which sends no message.
fn charge() -> impl FnMut() {
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

fn decisions(criterion: &mut Criterion) {
    criterion.bench_function("schedule/policy", |b| b.iter(policy()));
    criterion.bench_function("schedule/naive", |b| b.iter(twin()));
    criterion.bench_function("limit/charge", |b| b.iter(charge()));
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = decisions
}

/// Time of many calls, the least of several runs.
fn least(mut run: impl FnMut()) -> f64 {
    let time = |run: &mut dyn FnMut()| {
        let start = Instant::now();
        (0..20_000).for_each(|_| run());
        start.elapsed().as_secs_f64()
    };
    (0..5).map(|_| time(&mut run)).fold(f64::INFINITY, f64::min)
}

fn main() {
    benches();
    let ratio = least(policy()) / least(twin());
    println!("schedule: policy takes {ratio:.2} times its twin, {BOUND} allowed");
    assert!(ratio <= BOUND, "the decision became too dear");
}
