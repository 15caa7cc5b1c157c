//! What replicas count: entries that are heard, that move and that are cut off.

use std::{ops, time::Duration};

use googletest::prelude::*;
use hornbeamdock::version::traffic::{Report, Source, Traffic};

const SECOND: Duration = Duration::from_secs(1);

/// Reports of an entry or of another replica, at each quarter of a second.
struct Told {
    source: Source,
    entries: Vec<u32>,
    from: u32,
    to: u32,
}

fn entry(id: u32, from: u32, to: u32) -> Told {
    Told { source: Source::Entry(id), entries: vec![id], from, to }
}

fn replica(id: u64, entries: ops::RangeInclusive<u32>, from: u32, to: u32) -> Told {
    Told { source: Source::Replica(id), entries: entries.collect(), from, to }
}

/// Hears the reports until a moment, in seconds.
fn hear(told: &[Told], until: u32) -> (Traffic, Duration) {
    let mut traffic = Traffic::default();
    let mut now = Duration::ZERO;
    while now <= SECOND * until {
        for told in told {
            if (SECOND * told.from..SECOND * told.to).contains(&now) {
                let report = Report { entries: told.entries.clone(), ..Report::default() };
                traffic.report(told.source, report, now);
            }
        }
        now += SECOND / 4;
    }
    (traffic, SECOND * until)
}

/// Names each case with what is told, until when, the number of entries and the
/// part of them that is absent.
macro_rules! cases {
    ($($name:ident: $told:expr, $until:literal => $entries:literal, $absent:literal;)*) => {
        $(
            #[gtest]
            fn $name() {
                let (traffic, now) = hear(&$told, $until);
                expect_that!(traffic.census().size(), eq($entries));
                expect_that!(traffic.census().absent(now), near($absent, 0.001));
            }
        )*
    };
}

cases! {
    nobody: [], 5 => 0, 0.0;
    all_heard: [entry(1, 0, 20), replica(7, 2..=10, 0, 20)], 19 => 10, 0.0;
    first_moment: [entry(1, 0, 20), replica(7, 2..=10, 0, 20)], 0 => 10, 0.0;
    replica_cut_off: [entry(1, 0, 60), replica(7, 2..=10, 0, 10)], 14 => 10, 0.9;
    cut_off_for_long: [entry(1, 0, 60), replica(7, 2..=10, 0, 10)], 50 => 10, 0.9;
    gone_for_good: [entry(1, 0, 90), replica(7, 2..=10, 0, 10)], 85 => 1, 0.0;
    turned_to_another_replica: [replica(7, 1..=5, 0, 10), replica(8, 6..=10, 0, 10),
        replica(8, 1..=10, 9, 40)], 30 => 10, 0.0;
    just_turned: [replica(7, 1..=5, 0, 10), replica(8, 6..=10, 0, 10),
        replica(8, 1..=10, 9, 40)], 10 => 10, 0.0;
    turned_at_the_start: [replica(7, 1..=5, 0, 1), replica(8, 1..=5, 1, 2),
        replica(9, 1..=5, 2, 40)], 30 => 5, 0.0;
    added: [replica(7, 1..=5, 0, 10), replica(7, 1..=10, 10, 40)], 30 => 10, 0.0;
}
