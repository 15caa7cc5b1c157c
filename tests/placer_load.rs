//! Processor time of the placer while many requests wait. It runs on the event loop
//! of the leader, together with elections, reads and changes of the configuration,
//! so its time for one event must not grow with the number of waiting requests.

#[path = "support/placer_world.rs"]
mod placer_world;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use googletest::prelude::*;

use self::placer_world::{Size, World};

/// Waiting requests of a quiet day and of an overloaded one.
const FEW: usize = 4;
const MANY: usize = 400;
/// Largest ratio of the time with [`MANY`] to that with [`FEW`], which are 100 times
/// as many. Leaves room for a busy machine, none for work for each waiting request.
const MAX_RATIO: f64 = 10.0;
const ROUNDS: usize = 15;

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
    placement_request_is_not_slowed_by_waiting_requests =>
        check_ratio(|waiting| Size { waiting, ..SIZE }, World::request);
    order_outcome_is_not_slowed_by_requests_for_other_models =>
        check_ratio(|waiting| Size { waiting, ..SIZE }, World::outcome);
    planning_is_not_slowed_by_models_without_demand =>
        check_ratio(
            |other_models| Size { other_models, ..SIZE },
            |world| drop(black_box(world.tick())),
        );
}

const SIZE: Size = Size { targets: 90, resident_models: 60, other_models: 0, waiting: FEW };

/// Checks that the shortest time of an operation does not grow with the load.
fn check_ratio(size: impl Fn(usize) -> Size, operation: impl Fn(&mut World)) {
    let time = |load| {
        let mut world = World::new(size(load));
        shortest(|| operation(&mut world))
    };
    let few = time(FEW);
    let many = time(MANY);
    let ratio = many.as_secs_f64() / few.as_secs_f64();
    println!("{FEW}: {few:?}, {MANY}: {many:?}, ratio {ratio:.1}");
    expect_that!(ratio, le(MAX_RATIO));
}

/// Returns the shortest time of several calls: the others were interrupted.
fn shortest(mut call: impl FnMut()) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        call();
        shortest = shortest.min(started.elapsed());
    }
    shortest
}
