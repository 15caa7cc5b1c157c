//! The number of gateways that a control replica counts, when gateways report,
//! report to another replica or are cut off.

use std::{ops, time::Duration};

use googletest::prelude::*;
use hornbeamdock::version::traffic::{Demand, Pace, PaceFigure, Report, Source, Traffic};

const SECOND: Duration = Duration::from_secs(1);

/// A source that reports the same gateways every 250 ms, from second `from` up to
/// second `to`.
struct Reporter {
    source: Source,
    gateways: Vec<u32>,
    from: u32,
    to: u32,
}

fn gateway(id: u32, from: u32, to: u32) -> Reporter {
    Reporter { source: Source::Gateway(id), gateways: vec![id], from, to }
}

fn replica(id: u64, gateways: ops::RangeInclusive<u32>, from: u32, to: u32) -> Reporter {
    Reporter { source: Source::Replica(id), gateways: gateways.collect(), from, to }
}

/// Records all reports up to second `until`, and returns that time as well.
fn record(reporters: &[Reporter], until: u32) -> (Traffic, Duration) {
    let mut traffic = Traffic::default();
    let mut now = Duration::ZERO;
    while now <= SECOND * until {
        for reporter in reporters {
            if (SECOND * reporter.from..SECOND * reporter.to).contains(&now) {
                let report = Report { gateways: reporter.gateways.clone(), ..Report::default() };
                traffic.record(reporter.source, report, now);
            }
        }
        now += SECOND / 4;
    }
    (traffic, SECOND * until)
}

/// Each case gives the reporters, the second at which the gateways are counted,
/// their number and the fraction of them that is not reporting.
macro_rules! cases {
    ($($name:ident: $reporters:expr, $until:literal => $known:literal, $non_reporting:literal;)*) => {
        $(
            #[gtest]
            fn $name() {
                let (traffic, now) = record(&$reporters, $until);
                expect_that!(traffic.gateway_registry().known(), eq($known));
                expect_that!(traffic.gateway_registry().non_reporting_fraction(now), near($non_reporting, 0.001));
            }
        )*
    };
}

cases! {
    no_gateways: [], 5 => 0, 0.0;
    all_report: [gateway(1, 0, 20), replica(7, 2..=10, 0, 20)], 19 => 10, 0.0;
    first_moment: [gateway(1, 0, 20), replica(7, 2..=10, 0, 20)], 0 => 10, 0.0;
    other_replica_cut_off: [gateway(1, 0, 60), replica(7, 2..=10, 0, 10)], 14 => 10, 0.9;
    other_replica_cut_off_within_retention: [gateway(1, 0, 60), replica(7, 2..=10, 0, 10)], 50 => 10, 0.9;
    not_counted_after_retention: [gateway(1, 0, 90), replica(7, 2..=10, 0, 10)], 85 => 1, 0.0;
    moved_to_another_replica: [replica(7, 1..=5, 0, 10), replica(8, 6..=10, 0, 10),
        replica(8, 1..=10, 9, 40)], 30 => 10, 0.0;
    moved_a_moment_ago: [replica(7, 1..=5, 0, 10), replica(8, 6..=10, 0, 10),
        replica(8, 1..=10, 9, 40)], 10 => 10, 0.0;
    moved_at_the_start: [replica(7, 1..=5, 0, 1), replica(8, 1..=5, 1, 2),
        replica(9, 1..=5, 2, 40)], 30 => 5, 0.0;
    gateways_added: [replica(7, 1..=5, 0, 10), replica(7, 1..=10, 10, 40)], 30 => 10, 0.0;
}

/// Returns the running requests for an adapter in the sum of all reports.
fn running(traffic: &Traffic, adapter: &str, now: Duration) -> u32 {
    let demands = traffic.total(now).demands;
    demands.iter().filter(|d| d.adapter.as_deref() == Some(adapter)).map(|d| d.running).sum()
}

/// The speeds of targets must go with differences as with whole sums: to gateways those of all, to
/// replicas those that the gateways here report.
#[gtest]
fn speeds_go_with_differences_and_whole_sums() {
    let pace = |subject| {
        let figure = PaceFigure { value: 512, weight: 16 };
        Pace { subject, pool: 1, prefill: figure, step: figure }
    };
    let mut traffic = Traffic::default();
    for (source, subject) in [(Source::Gateway(1), 1), (Source::Replica(7), 2)] {
        let report = Report { paces: vec![pace(subject)], ..Report::default() };
        traffic.record(source, report, SECOND);
    }
    let now = SECOND + SECOND / 4;
    traffic.record(Source::Gateway(2), Report::default(), now);
    for sum in [traffic.excluding(2, now), traffic.services_excluding(2)] {
        expect_that!(sum.paces, unordered_elements_are![eq(&pace(1)), eq(&pace(2))]);
    }
    for sum in [traffic.local(now), traffic.local_services()] {
        expect_that!(sum.paces, elements_are![eq(&pace(1))]);
    }
}

fn report_of(adapter: &str) -> Report {
    let demand = Demand {
        service: "adviser".into(),
        model: "m".into(),
        adapter: Some(adapter.into()),
        work: 1_000,
        waiting: 2,
        running: 3,
    };
    Report { demands: vec![demand], ..Report::default() }
}

#[gtest]
fn adapter_of_a_gateway_that_lost_power_counts_as_used_until_its_callers_are_back() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report_of("a1"), Duration::ZERO);
    traffic.record(Source::Gateway(2), report_of("a2"), Duration::ZERO);
    // Gateway 1 restarts and reports here again; gateway 2 no longer does.
    traffic.record_restart(1, Report::default(), SECOND);
    for quarter in 0..16 {
        traffic.record(Source::Gateway(3), Report::default(), SECOND + SECOND / 4 * quarter);
    }
    let now = SECOND * 4;
    expect_that!(running(&traffic, "a1", now), eq(3));
    expect_that!(running(&traffic, "a2", now), eq(3));
    let work: u64 = traffic.total(now).demands.iter().map(|d| d.work + u64::from(d.waiting)).sum();
    expect_that!(work, eq(0));
    expect_that!(running(&traffic, "a1", SECOND * 6), eq(0));
    expect_that!(running(&traffic, "a2", SECOND * 6), eq(0));
}

#[gtest]
fn adapter_without_requests_counts_as_unused_while_its_gateway_runs() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report_of("a1"), Duration::ZERO);
    traffic.record(Source::Gateway(1), Report::default(), SECOND / 4);
    expect_that!(running(&traffic, "a1", SECOND / 2), eq(0));
}

#[gtest]
fn adapter_of_gateways_that_lost_power_counts_as_used_while_no_report_arrives() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Gateway(1), report_of("a1"), Duration::ZERO);
    expect_that!(running(&traffic, "a1", SECOND * 3), eq(3));
    expect_that!(running(&traffic, "a1", SECOND * 6), eq(0));
}

#[gtest]
fn adapter_counts_as_used_when_the_replica_that_reported_it_lost_power_as_well() {
    let mut traffic = Traffic::default();
    traffic.record(Source::Replica(2), report_of("a1"), Duration::ZERO);
    for quarter in 0..16 {
        traffic.record(Source::Gateway(3), Report::default(), SECOND / 4 * quarter);
    }
    expect_that!(running(&traffic, "a1", SECOND * 4), eq(3));
    expect_that!(running(&traffic, "a1", SECOND * 6), eq(0));
    // Replicas would otherwise repeat to each other what none of them is told any more.
    expect_that!(traffic.local(SECOND * 4).demands, is_empty());
}
