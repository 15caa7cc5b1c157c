//! Copies of the sums of a replica, when differences are lost, doubled or reordered, gateways move
//! between replicas and replicas restart. A copy that stays wrong would send requests to targets
//! that are full for as long as the process runs.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::version::{
    difference::{Applied, Difference, Loads, Outgoing, Position, ReceivedSums},
    traffic::{Demand, Load, Placed, Report, Source, TokenRate, Traffic},
};
use proptest::{collection::vec, prelude::*};

const QUARTER: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);

/// One run of a replica.
struct Replica {
    traffic: Traffic,
    outgoing: Outgoing,
}

impl Replica {
    fn new(epoch: u64) -> Self {
        Self { traffic: Traffic::default(), outgoing: Outgoing::new(epoch) }
    }

    fn sync(&mut self, gateway: u32, known: Position, now: Duration) -> Option<Difference> {
        match self.outgoing.to_gateway(&mut self.traffic, gateway, known, now) {
            Loads::Difference(difference) => Some(*difference),
            Loads::Withheld => None,
        }
    }

    fn record(&mut self, gateway: u32, loads: &[(u32, u32)], now: Duration) {
        let loads = loads.iter().map(|(target, running)| load(*target, *running, vec![]));
        let report = Report { loads: loads.collect(), ..Report::default() };
        self.traffic.record(Source::Gateway(gateway), report, now);
    }
}

fn load(target: u32, running: u32, placed: Vec<Placed>) -> Load {
    Load { target: format!("t{target}"), running, prompt_tokens: running * 100, placed }
}

/// What happens to a difference on its way.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    Lost,
    Doubled,
    /// Arrives after the next one.
    Late,
    /// The replica restarts before the next one.
    Restart,
    /// The gateway asks the other replica the next time.
    Move,
}

fn fate() -> impl Strategy<Value = Fate> {
    use Fate::*;
    prop::sample::select(vec![Arrives, Arrives, Arrives, Lost, Doubled, Late, Restart, Move])
}

proptest! {
    #[test]
    fn copy_is_exact_a_second_after_the_last_disturbance(
        steps in vec((fate(), vec((0..8_u32, 1..40_u32), 0..6)), 1..30),
    ) {
        let mut epoch = 2;
        let mut replicas = [Replica::new(1), Replica::new(2)];
        let (mut copy, mut late) = (ReceivedSums::default(), None);
        let (mut at, mut now) = (0, SECOND);
        let quiet = (0..5).map(|_| (Fate::Arrives, vec![(1, 3), (2, 30)]));
        for (fate, loads) in steps.into_iter().chain(quiet) {
            now += QUARTER;
            for replica in &mut replicas {
                replica.record(7, &loads, now);
            }
            let difference = replicas[at].sync(1, copy.position(), now).unwrap();
            match fate {
                Fate::Lost => {}
                Fate::Late => late = Some(difference.clone()),
                _ => drop(copy.apply(difference.clone())),
            }
            if matches!(fate, Fate::Doubled) {
                prop_assert_eq!(copy.apply(difference), Applied::Outdated);
            }
            if !matches!(fate, Fate::Late) && let Some(late) = late.take() {
                copy.apply(late);
            }
            match fate {
                Fate::Restart => {
                    epoch += 1;
                    replicas[at] = Replica::new(epoch);
                }
                Fate::Move => at = 1 - at,
                _ => {}
            }
        }
        let expected = replicas[at].traffic.excluding(1, now);
        prop_assert_eq!(copy.report().loads, expected.loads);
    }

    #[test]
    fn other_replicas_get_exact_figures(
        reports in vec((0..3_u32, vec((0..5_u32, 0..40_u32, 0..3_u32), 0..5), 0.0..1e6_f64), 1..20),
    ) {
        let (mut replica, mut copy) = (Replica::new(1), ReceivedSums::default());
        let mut now = SECOND;
        for (gateway, loads, rate) in reports {
            now += QUARTER * 3;
            let demands = loads.iter().map(|(model, work, running)| Demand {
                service: "s".into(), model: format!("m{model}"), adapter: None,
                work: (*work).into(), waiting: 1, running: *running,
            });
            let demands = demands.collect();
            let loads = loads.iter().map(|(target, running, count)| {
                load(*target, *running, vec![Placed { term: 1, count: *count }])
            });
            let token_rates = vec![TokenRate { workspace: format!("w{gateway}"), rate }];
            let gateways = vec![gateway];
            let report = Report { loads: loads.collect(), demands, token_rates, gateways, ..Report::default() };
            replica.traffic.record(Source::Gateway(gateway), report, now);
            let difference = replica.outgoing.to_replica(&mut replica.traffic, 2, now);
            prop_assert_eq!(copy.apply(difference), Applied::Current);
            prop_assert_eq!(copy.report(), replica.traffic.local(now));
        }
    }
}

#[gtest]
fn small_change_is_held_back_for_at_most_a_second() {
    let (mut replica, mut copy) = (Replica::new(1), ReceivedSums::default());
    replica.record(7, &[(1, 30), (2, 4)], SECOND);
    copy.apply(replica.sync(1, copy.position(), SECOND).unwrap());
    let mut held = 0;
    for quarter in 1..=4 {
        let now = SECOND + QUARTER * quarter;
        replica.record(7, &[(1, 31), (2, 5)], now);
        copy.apply(replica.sync(1, copy.position(), now).unwrap());
        // A fourth of the other load is no small change.
        expect_that!(copy.report().loads[1].running, eq(5));
        held += u32::from(copy.report().loads[0].running == 30);
    }
    expect_that!(held, all!(gt(0), lt(4)));
}

#[gtest]
fn requests_with_a_place_are_told_at_once() {
    let (mut replica, mut copy) = (Replica::new(1), ReceivedSums::default());
    for (quarter, count) in (0..).zip([3, 4, 0, 1]) {
        let now = SECOND + QUARTER * quarter;
        let placed = vec![Placed { term: 2, count }];
        let report = Report { loads: vec![load(1, 30, placed)], ..Report::default() };
        replica.traffic.record(Source::Gateway(7), report.clone(), now);
        copy.apply(replica.sync(1, copy.position(), now).unwrap());
        expect_that!(copy.report().loads, eq(&report.loads));
    }
}

#[gtest]
fn whole_copies_after_a_start_of_everything_are_spread_over_a_second() {
    let mut replica = Replica::new(1);
    let loads: Vec<_> = (0..3_000).map(|target| (target, 3)).collect();
    let mut without: Vec<u32> = (0..300).collect();
    let mut most = 0;
    for quarter in 0..5 {
        let now = SECOND + QUARTER * quarter;
        replica.record(1_000, &loads, now);
        let before = without.len();
        without.retain(|gateway| replica.sync(*gateway, Position::default(), now).is_none());
        most = most.max(before - without.len());
    }
    expect_that!(without, is_empty());
    expect_that!(most, le(80));
}

#[gtest]
fn targets_that_come_and_go_do_not_use_up_numbers() {
    let (mut replica, mut copy) = (Replica::new(1), ReceivedSums::default());
    let mut whole = 0;
    for round in 0..40 {
        let now = SECOND + SECOND * round;
        let loads: Vec<_> = (0..100).map(|n| (round * 100 + n, 1)).collect();
        replica.record(7, &loads, now);
        let difference = replica.sync(1, copy.position(), now).unwrap();
        whole += u32::from(difference.base == 0);
        expect_that!(difference.loads.iter().map(|l| l.number).max(), some(lt(1_400)));
        copy.apply(difference);
        expect_that!(copy.report().loads, eq(&replica.traffic.excluding(1, now).loads));
    }
    expect_that!(whole, all!(gt(1), lt(6)));
}

/// Returns the requests of the others at target 1, and those that a gateway counts there.
fn counted(replica: &Replica, gateway: u32, copy: &ReceivedSums, now: Duration) -> (u32, u32) {
    let running = |report: Report| report.loads.first().map_or(0, |load| load.running);
    (running(replica.traffic.excluding(gateway, now)), running(copy.report()))
}

#[gtest]
fn gateway_that_moves_each_second_counts_what_its_replica_knows() {
    let mut replicas = [Replica::new(1), Replica::new(2)];
    let mut copy = ReceivedSums::default();
    for quarter in 0..40_u32 {
        let now = SECOND + QUARTER * quarter;
        replicas[0].record(7, &[(1, 4 + quarter % 3)], now);
        replicas[1].record(8, &[(1, 6 + quarter % 3)], now);
        let replica = &mut replicas[quarter as usize / 4 % 2];
        let difference = replica.sync(1, copy.position(), now).unwrap();
        expect_that!(difference.base == 0, eq(quarter % 4 == 0));
        expect_that!(copy.apply(difference), eq(Applied::Current));
        let (expected, counted) = counted(replica, 1, &copy, now);
        expect_that!(counted, eq(expected));
    }
}

#[gtest]
fn replica_that_restarts_under_300_syncs_tells_all_gateways_again_within_five_syncs() {
    let loads: Vec<_> = (1..3_001).map(|target| (target, 3)).collect();
    let mut replica = Replica::new(1);
    let mut copies = vec![ReceivedSums::default(); 300];
    let mut missing = Vec::new();
    for quarter in 0..24 {
        if quarter == 12 {
            replica = Replica::new(2);
        }
        let mut unsynced = 0;
        for (gateway, copy) in (0..).zip(&mut copies) {
            let now = SECOND + QUARTER * quarter + QUARTER / 300 * gateway;
            replica.record(1_000, &loads, now);
            match replica.sync(gateway, copy.position(), now) {
                Some(difference) => expect_that!(copy.apply(difference), eq(Applied::Current)),
                None => unsynced += 1,
            }
            // What it knew before a restart counts until then.
            if quarter % 12 >= 5 && gateway % 10 == 0 {
                let (expected, counted) = counted(&replica, gateway, copy, now);
                expect_that!(counted, eq(expected));
            }
        }
        missing.push(unsynced);
    }
    expect_that!([missing[0], missing[12]], each(gt(0)));
    expect_that!([missing[5], missing[17]], each(eq(0)));
}
