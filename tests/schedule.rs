//! Tests of the order in which an entry process sends waiting requests to targets.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        schedule::{Action, End, Pool, Request, Scheduler, TargetInfo},
        stage::Stage,
    },
    version::record::Objective,
};

const SECOND: Duration = Duration::from_secs(1);

fn pool() -> Pool {
    Pool::Service("s".into())
}

fn scheduler(width: u32, objective: Objective) -> Scheduler {
    let target = TargetInfo { name: "t".into(), width, adapters: Vec::new(), pools: vec![pool()] };
    let mut scheduler = Scheduler::new(1);
    scheduler.configure(vec![target], objective, Duration::ZERO);
    scheduler
}

fn request(id: u64, stage: Stage, deadline: Duration) -> Request {
    Request {
        id,
        workspace: "w".into(),
        weight: 1,
        pool: pool(),
        adapter: None,
        tokens: 1,
        deferrable: false,
        stage,
        deadline,
        prefix_hash: None,
        exclusive: false,
        avoid: Vec::new(),
    }
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        Action::Dispatch { request, .. } => Some(*request),
        _ => None,
    });
    ids.collect()
}

#[gtest]
fn resumed_stream_does_not_wait_behind_new_requests_with_earlier_deadlines() {
    for objective in [Objective::WorstServed, Objective::Attainment] {
        let mut scheduler = scheduler(1, objective);
        for id in 1..=4 {
            scheduler.submit(request(id, Stage::New, SECOND * 10), Duration::ZERO);
        }
        expect_that!((scheduler.running(), scheduler.waiting()), eq((2, 2)));
        scheduler.submit(request(5, Stage::Begun, SECOND * 30), Duration::ZERO);
        let actions = scheduler.complete(1, End::Finished, None, Duration::ZERO);
        expect_that!(dispatched(&actions), eq(&vec![5]), "{objective:?}");
    }
}

#[gtest]
fn resumed_stream_that_must_run_alone_does_not_hold_up_new_requests() {
    let mut scheduler = scheduler(4, Objective::WorstServed);
    scheduler.submit(request(1, Stage::New, SECOND * 10), Duration::ZERO);
    let alone = Request { exclusive: true, ..request(2, Stage::Begun, SECOND * 30) };
    expect_that!(dispatched(&scheduler.submit(alone, Duration::ZERO)), is_empty());
    let actions = scheduler.submit(request(3, Stage::New, SECOND * 10), Duration::ZERO);
    expect_that!(dispatched(&actions), eq(&vec![3]));
    scheduler.complete(1, End::Finished, None, Duration::ZERO);
    let actions = scheduler.complete(3, End::Finished, None, Duration::ZERO);
    expect_that!(dispatched(&actions), eq(&vec![2]));
}
