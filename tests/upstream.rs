//! Choice of the control replica that a gateway synchronizes with, while replicas can't
//! answer.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::version::{
    raft::NodeId,
    upstream::{DirectoryPosition, Upstreams},
};

const REPLICAS: [NodeId; 5] = [1, 2, 3, 4, 5];
/// In the failure domain of the gateway.
const LOCAL: NodeId = 3;
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
const FAILOVER_DELAY: Duration = Duration::from_millis(50);
/// Bytes of a directory of 90 targets, which a gateway gets after each change of the
/// replica.
const DIRECTORY_BYTES: u64 = 30_000;
/// Bytes per second that a node may spend on control.
const MAX_BYTES_PER_S: u64 = 8_000;

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
    directory_is_not_fetched_over_and_over_while_the_local_replica_is_cut_off =>
        check_traffic(|node| node != LOCAL);
    directory_is_not_fetched_over_and_over_while_two_replicas_are_cut_off =>
        check_traffic(|node| node != LOCAL && node != 1);
    directory_is_not_fetched_over_and_over_without_failures => check_traffic(|_| true);
    taking_replicas_in_turn_exceeds_the_traffic => baseline();
    local_replica_is_used_again_after_a_failure => return_to_local();
    every_replica_is_tried_soon_after_an_election => election();
    local_replica_is_used_again_soon_after_an_election => return_after_election();
    gateways_spread_over_replicas => spread();
    removed_replica_is_not_asked => removed();
    directory_of_a_replica_is_fetched_once_while_none_can_answer => positions();
    no_replica_is_returned_without_replicas => {
        expect_that!(Upstreams::new(1).next(&[], Duration::ZERO), none());
    };
}

/// A gateway that synchronizes with replicas of which only some can answer.
struct Gateway {
    upstreams: Upstreams,
    now: Duration,
    /// Replica asked last.
    asked: Option<NodeId>,
    changes: u64,
}

impl Gateway {
    fn new(seed: usize) -> Self {
        Self { upstreams: Upstreams::new(seed), now: Duration::ZERO, asked: None, changes: 0 }
    }

    /// Synchronizes for some time.
    fn run(&mut self, time: Duration, answers: impl Fn(NodeId) -> bool) {
        let end = self.now + time;
        while self.now < end {
            self.sync(&answers);
        }
    }

    fn sync(&mut self, answers: impl Fn(NodeId) -> bool) {
        let node = self.upstreams.next(&REPLICAS, self.now).expect("there are replicas");
        self.changes += u64::from(self.asked != Some(node));
        self.asked = Some(node);
        self.now += if answers(node) {
            self.upstreams.record_success(node, node == LOCAL, self.now);
            SYNC_INTERVAL
        } else if self.upstreams.record_failure(node, self.now) {
            FAILOVER_DELAY
        } else {
            SYNC_INTERVAL
        };
    }
}

/// Checks the bytes for directories over a minute, after the first search for a replica.
fn check_traffic(answers: impl Fn(NodeId) -> bool) {
    for seed in 0..20 {
        let mut gateway = Gateway::new(seed);
        gateway.run(Duration::from_secs(2), |_| true);
        gateway.changes = 0;
        gateway.run(Duration::from_mins(1), &answers);
        expect_that!(gateway.changes * DIRECTORY_BYTES, le(MAX_BYTES_PER_S * 60));
        expect_that!(gateway.asked.map(&answers), some(eq(true)));
    }
}

/// The naive rule: goes to the next replica after a failure, and looks for a nearby one
/// until each replica was asked since. It shows that the bound above is not met by any
/// rule.
fn baseline() {
    let (mut now, mut current, mut other_domain) = (Duration::ZERO, 0, 0);
    let mut changes = 0;
    while now < Duration::from_mins(1) {
        let node = REPLICAS[current % REPLICAS.len()];
        let before = current;
        now += if node == LOCAL {
            other_domain = 0;
            current += 1;
            FAILOVER_DELAY
        } else {
            let search = other_domain < REPLICAS.len();
            other_domain += usize::from(search);
            current += usize::from(search);
            SYNC_INTERVAL
        };
        changes += u64::from(current != before);
    }
    expect_that!(changes * DIRECTORY_BYTES, gt(10 * MAX_BYTES_PER_S * 60));
}

fn return_to_local() {
    let mut gateway = Gateway::new(1);
    gateway.run(Duration::from_secs(2), |_| true);
    expect_that!(gateway.asked, some(eq(LOCAL)));
    gateway.run(Duration::from_secs(20), |node| node != LOCAL);
    expect_that!(gateway.asked, some(not(eq(LOCAL))));
    gateway.run(Duration::from_secs(31), |_| true);
    expect_that!(gateway.asked, some(eq(LOCAL)));
}

/// For five seconds no replica can answer, then only one of them.
fn election() {
    for survivor in REPLICAS {
        let mut gateway = Gateway::new(1);
        gateway.run(Duration::from_secs(2), |_| true);
        gateway.run(Duration::from_secs(5), |_| false);
        let deadline = gateway.now + Duration::from_millis(1_500);
        while gateway.asked != Some(survivor) {
            gateway.sync(|node| node == survivor);
        }
        expect_that!(gateway.now, le(deadline));
    }
}

fn return_after_election() {
    for seed in 0..20 {
        let mut gateway = Gateway::new(seed);
        gateway.run(Duration::from_secs(2), |_| true);
        gateway.run(Duration::from_secs(3), |_| false);
        gateway.run(Duration::from_secs(2), |_| true);
        expect_that!(gateway.asked, some(eq(LOCAL)));
    }
}

fn spread() {
    let first = |seed| Upstreams::new(seed).next(&REPLICAS, Duration::ZERO);
    let asked: std::collections::BTreeSet<_> = (0..20).filter_map(first).collect();
    expect_that!(asked.len(), eq(REPLICAS.len()));
}

fn removed() {
    let mut upstreams = Upstreams::new(0);
    upstreams.record_success(1, true, Duration::ZERO);
    for _ in 0..3 {
        expect_that!(upstreams.next(&[4, 5], Duration::ZERO), some(not(eq(1))));
    }
}

/// All replicas answer, none of them as one that is up to date.
fn positions() {
    let mut upstreams = Upstreams::new(0);
    let mut fetched = 0;
    for step in 0..40 {
        let now = step * SYNC_INTERVAL;
        let node = upstreams.next(&REPLICAS, now).unwrap();
        let known = upstreams.position(node);
        fetched += u32::from(known == DirectoryPosition::default());
        upstreams.record_position(node, DirectoryPosition { epoch: node, revision: 7 });
        upstreams.record_failure(node, now);
    }
    expect_that!(fetched, eq(5));
}
