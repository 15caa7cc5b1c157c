//! Where streams began: what control replicas keep, what gateways report, and whether a
//! request that continues a stream is served.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            begun::{Batch, BegunStreams},
            continuation::{Contact, Lookup, decide, decide_unnamed},
            fleet::TargetTable,
        },
        refusal::{Ran, Refusal, StreamLoss},
    },
    version::{
        catalog::{Route, RouteKind, WeightedService},
        directory::AnnouncedTarget,
        origin::{BegunStream, Origin, Origins, StreamId},
        view::Presence,
    },
};

const SECOND: Duration = Duration::from_secs(1);

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
    latest_target_of_a_stream_counts => latest_counts();
    stream_is_forgotten_when_its_caller_has_given_up => lifetime();
    same_request_id_in_another_workspace_is_another_stream => workspaces();
    memory_for_streams_is_bounded => bounded();
    report_without_an_answer_is_repeated => lost_report();
    streams_are_reported_again_to_another_run_of_a_replica => other_run();
    ended_streams_are_not_reported_again => ended();
    many_streams_take_few_reports => batches();
    stream_counts_as_reported_once_a_replica_has_its_record => reported();
    unnamed_stream_continues_only_if_one_version_served_all_along => software_history();
    stream_is_continued_where_it_began => found();
    stream_of_unknown_origin_is_refused_as_not_run => refused();
}

fn id(number: u64) -> StreamId {
    StreamId::of("lilies", &format!("r-{number}"))
}

fn origin(software: &str) -> Origin {
    Origin { service: "llm".into(), software: software.into() }
}

fn begun(number: u64, software: &str, lifetime: Duration) -> BegunStream {
    BegunStream { id: id(number), origin: origin(software), lifetime }
}

/// The second record of the stream names another version.
fn reported() {
    let mut begun = BegunStreams::default();
    let first = begun.record(id(1), origin("v1"), SECOND * 9);
    let batch = begun.next_batch(Duration::ZERO);
    let second = begun.record(id(1), origin("v2"), SECOND * 9);
    begun.record_reported(&batch);
    expect_that!(begun.is_reported(first), eq(true));
    expect_that!(begun.is_reported(second), eq(false));
    let batch = begun.next_batch(Duration::ZERO);
    begun.record_reported(&batch);
    expect_that!(begun.is_reported(second), eq(true));
    // Another run of the replica may not know either.
    begun.set_replica_run(1);
    begun.set_replica_run(2);
    expect_that!(begun.is_reported(first), eq(false));
}

fn target(id: &str, software: &str, presence: Presence) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        software: software.into(),
        slots: 6,
        presence,
        incarnation: 1,
        seq: 1,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
    }
}

fn software_history() {
    let mut table = TargetTable::default();
    let mut change = |now: u32, id: &str, software: &str, presence| {
        table.apply_announcements(vec![target(id, software, presence)]);
        table.record_software(SECOND * now);
        table.clone()
    };
    let one = change(10, "a", "v2", Presence::Up);
    expect_that!(one.has_one_software("llm", SECOND * 10), eq(true));
    // Targets of another version may have left before this gateway started.
    expect_that!(one.has_one_software("llm", SECOND * 9), eq(false));
    expect_that!(one.has_one_software("unknown", SECOND * 10), eq(false));
    let two = change(20, "b", "v1", Presence::Up);
    expect_that!(two.has_one_software("llm", SECOND * 20), eq(false));
    let left = change(30, "b", "v1", Presence::Down);
    expect_that!(left.has_one_software("llm", SECOND * 29), eq(false));
    expect_that!(left.has_one_software("llm", SECOND * 30), eq(true));
    // Another version may have come and gone while nothing was known of the targets.
    let mut missed = left.clone();
    missed.record_contact(SECOND * 35);
    expect_that!(missed.has_one_software("llm", SECOND * 30), eq(false));
    expect_that!(missed.has_one_software("llm", SECOND * 35), eq(true));
    // A version that was not told may be any.
    let unknown = change(40, "c", "", Presence::Up);
    expect_that!(unknown.has_one_software("llm", SECOND * 40), eq(false));
}

fn latest_counts() {
    let mut origins = Origins::default();
    origins.record(vec![begun(1, "v1", SECOND), begun(2, "v1", SECOND)], Duration::ZERO);
    origins.record(vec![begun(1, "v2", SECOND)], Duration::ZERO);
    expect_that!(origins.get(id(1), Duration::ZERO), some(eq(&origin("v2"))));
    expect_that!(origins.get(id(2), Duration::ZERO), some(eq(&origin("v1"))));
}

fn lifetime() {
    let mut origins = Origins::default();
    origins.record(vec![begun(1, "v1", SECOND), begun(2, "v1", SECOND * 9)], Duration::ZERO);
    expect_that!(origins.get(id(1), SECOND), none());
    expect_that!(origins.get(id(2), SECOND), some(anything()));
    origins.record(vec![begun(3, "v1", SECOND)], SECOND * 5);
    expect_that!(origins.len(), eq(2));
}

fn workspaces() {
    expect_that!(StreamId::of("a", "r-1") == StreamId::of("b", "r-1"), eq(false));
}

fn bounded() {
    let mut origins = Origins::default();
    for first in (0..600_000).step_by(1_000) {
        let streams = (first..first + 1_000).map(|n| begun(n, "v1", SECOND * 60)).collect();
        origins.record(streams, Duration::ZERO);
    }
    expect_that!(origins.len(), eq(500_000));
}

fn record(streams: &mut BegunStreams, numbers: std::ops::Range<u64>, until: Duration) {
    for number in numbers {
        streams.record(id(number), origin("v1"), until);
    }
}

fn ids(batch: &Batch) -> Vec<StreamId> {
    batch.streams.iter().map(|s| s.id).collect()
}

fn lost_report() {
    let mut streams = BegunStreams::default();
    record(&mut streams, 1..3, SECOND);
    let lost = streams.next_batch(Duration::ZERO);
    record(&mut streams, 3..4, SECOND);
    let batch = streams.next_batch(Duration::ZERO);
    expect_that!(ids(&lost), eq(&[id(1), id(2)]));
    expect_that!(ids(&batch), eq(&[id(1), id(2), id(3)]));
    streams.record_reported(&batch);
    expect_that!(streams.next_batch(Duration::ZERO).streams, is_empty());
}

fn other_run() {
    let mut streams = BegunStreams::default();
    expect_that!(streams.set_replica_run(7), eq(false));
    record(&mut streams, 1..3, SECOND);
    let batch = streams.next_batch(Duration::ZERO);
    streams.record_reported(&batch);
    expect_that!(streams.set_replica_run(7), eq(false));
    expect_that!(streams.next_batch(Duration::ZERO).streams, is_empty());
    expect_that!(streams.set_replica_run(8), eq(true));
    expect_that!(ids(&streams.next_batch(Duration::ZERO)), eq(&[id(1), id(2)]));
}

fn ended() {
    let mut streams = BegunStreams::default();
    streams.set_replica_run(7);
    record(&mut streams, 1..2, SECOND);
    record(&mut streams, 2..3, SECOND * 5);
    streams.set_replica_run(8);
    let batch = streams.next_batch(SECOND * 2);
    expect_that!(ids(&batch), eq(&[id(2)]));
    expect_that!(batch.streams[0].lifetime, eq(SECOND * 3));
}

fn batches() {
    let mut streams = BegunStreams::default();
    record(&mut streams, 0..1_000, SECOND);
    let mut reported = Vec::new();
    let mut reports = 0;
    loop {
        let batch = streams.next_batch(Duration::ZERO);
        if batch.streams.is_empty() {
            break;
        }
        reports += 1;
        reported.extend(ids(&batch));
        streams.record_reported(&batch);
    }
    expect_that!(reports, le(4));
    expect_that!(reported, eq(&(0..1_000).map(id).collect::<Vec<_>>()));
}

fn route(service: &str, weight: u32) -> Route {
    Route {
        name: "r".into(),
        host: "shop".into(),
        prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout: SECOND,
        latency_objective: SECOND,
        priority: 0,
        split: vec![WeightedService { service: service.into(), weight }],
        max_attempts: 2,
        public: true,
        names_model: true,
        resumable: true,
        gap_objective: std::time::Duration::ZERO,
        homes: Vec::new(),
    }
}

fn found() {
    let lookup = || Lookup::Found(origin("v2"));
    expect_that!(decide(lookup(), &route("llm", 1)), ok(eq(&origin("v2"))));
    let moved = [route("other", 1), route("llm", 0)];
    for route in moved {
        expect_that!(decide(lookup(), &route), err(eq(&StreamLoss::RouteChanged)));
    }
    let at = |millis| Some(Duration::from_millis(millis));
    let decide_at = |replied_at, current_at| {
        decide_unnamed(true, Contact { replied_at, current_at }, SECOND * 10)
    };
    expect_that!(decide_at(at(9_500), at(8_000)), ok(anything()));
    // Cut off from all replicas, connected to one that is cut off, and not yet connected.
    expect_that!(decide_at(at(8_500), at(8_500)), err(eq(StreamLoss::Unanswered)));
    expect_that!(decide_at(at(9_900), at(6_500)), err(eq(StreamLoss::Unanswered)));
    expect_that!(decide_at(None, None), err(eq(StreamLoss::Unanswered)));
}

fn refused() {
    let losses = [
        decide(Lookup::Unknown, &route("llm", 1)).unwrap_err(),
        decide(Lookup::Unanswered, &route("llm", 1)).unwrap_err(),
        decide_unnamed(false, Contact::default(), SECOND).unwrap_err(),
    ];
    expect_that!(losses, eq([StreamLoss::Unknown, StreamLoss::Unanswered, StreamLoss::Unnamed]));
    for reason in losses {
        let refusal = Refusal::StreamLost { reason };
        expect_that!(refusal.ran(), eq(Ran::No));
        expect_that!(refusal.status().as_u16(), eq(503));
        expect_that!(refusal.retry_after(), some(gt(Duration::ZERO)));
    }
}
