//! Processor time and bytes of the synchronization between gateways and control replicas, on
//! one of three replicas.
//!
//! "rebuilt" are the sums of `tests/support/traffic_model.rs`, which are built anew from all
//! reports whenever they are read. Each gateway has requests at [`LOADS`] targets, of which a quarter change from one
//! report to the next.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use hornbeamdock::{
    connection::peer,
    version::{
        difference::{Loads, Outgoing, Position},
        directory::{AnnouncedTarget, Holding},
        traffic::{Demand, Load, Report, Source, TokenRate, Traffic},
        view::Presence,
    },
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::{as_micros, frame_size, mean_time, traffic_model::Model};

/// Sums of reports.
trait Sums: Default {
    fn record(&mut self, source: Source, report: Report, now: Duration);
    fn excluding(&self, gateway: u32, now: Duration) -> Report;
    fn local(&self, now: Duration) -> Report;
}

macro_rules! sums {
    ($($sums:ty),*) => {
        $(
            impl Sums for $sums {
                fn record(&mut self, source: Source, report: Report, now: Duration) {
                    self.record(source, report, now);
                }
                fn excluding(&self, gateway: u32, now: Duration) -> Report {
                    self.excluding(gateway, now)
                }
                fn local(&self, now: Duration) -> Report {
                    self.local(now)
                }
            }
        )*
    };
}

sums!(Model, Traffic);

/// Size of a deployment.
#[derive(Clone, Copy)]
struct Size {
    gateways: u32,
    targets: u32,
}

const SIZES: [Size; 4] = [
    Size { gateways: 30, targets: 300 },
    Size { gateways: 100, targets: 1_000 },
    Size { gateways: 300, targets: 3_000 },
    Size { gateways: 1_000, targets: 10_000 },
];

const REPLICAS: u32 = 3;

/// Targets with requests of one gateway.
const LOADS: usize = 50;

/// Adapters and workspaces with requests, per gateway and in all.
const ADAPTERS: (usize, u32) = (20, 400);
const WORKSPACES: (usize, u32) = (10, 50);

/// Time between two reports of a gateway.
const INTERVAL: Duration = Duration::from_millis(250);

pub fn print() {
    let sizes =
        SIZES.map(|size| format!("{:>14}", format!("{} x {}", size.gateways, size.targets)));
    println!("{:<44} {}", "gateways x targets", sizes.join(" "));
    let mut rows: Vec<(&str, Vec<f64>)> = Vec::new();
    for size in SIZES {
        for (at, (name, value)) in measure(size).into_iter().enumerate() {
            match rows.get_mut(at) {
                Some((_, values)) => values.push(value),
                None => rows.push((name, vec![value])),
            }
        }
    }
    for (name, values) in rows {
        let cells: Vec<String> = values.iter().map(|value| format!("{value:>14.2}")).collect();
        println!("{name:<44} {}", cells.join(" "));
    }
}

/// One replica, and the reports that the gateways of all replicas send.
struct World<S> {
    size: Size,
    rng: StdRng,
    reports: Vec<Report>,
    traffic: S,
    now: Duration,
}

impl<S: Sums> World<S> {
    fn new(size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(1);
        let reports = (0..size.gateways).map(|id| report(id, size, &mut rng)).collect();
        let (traffic, now) = (S::default(), Duration::from_secs(1));
        let mut world = Self { size, rng, reports, traffic, now };
        for gateway in (0..size.gateways).step_by(REPLICAS as usize) {
            world.record(gateway);
        }
        for replica in 1..REPLICAS {
            let sum = world.sum_of(replica);
            world.traffic.record(Source::Replica(u64::from(replica)), sum, world.now);
        }
        world
    }

    fn record(&mut self, gateway: u32) {
        let report = self.reports[gateway as usize].clone();
        self.traffic.record(Source::Gateway(gateway), report, self.now);
    }

    /// Returns the sum that another replica sends.
    fn sum_of(&self, replica: u32) -> Report {
        let mut traffic = Traffic::default();
        for gateway in (replica..self.size.gateways).step_by(REPLICAS as usize) {
            let report = self.reports[gateway as usize].clone();
            traffic.record(Source::Gateway(gateway), report, self.now);
        }
        traffic.local(self.now)
    }

    /// Moves a quarter of a gateway's requests to other targets.
    fn change(&mut self, gateway: u32) {
        self.change_without_time(gateway);
        self.now += INTERVAL * REPLICAS / self.size.gateways;
    }

    fn change_without_time(&mut self, gateway: u32) {
        let loads = &mut self.reports[gateway as usize].loads;
        for load in loads.iter_mut().step_by(4) {
            *load = random_load(self.size, &mut self.rng);
        }
        loads.sort_by(|a, b| a.target.cmp(&b.target));
    }

    /// Returns a gateway of this replica, each in turn.
    fn next_gateway(&self, number: &mut u32) -> u32 {
        *number = (*number + REPLICAS) % (self.size.gateways / REPLICAS * REPLICAS);
        *number
    }
}

fn random_load(size: Size, rng: &mut StdRng) -> Load {
    Load {
        target: format!("target-{}", rng.random_range(0..size.targets)),
        running: rng.random_range(1..4),
        prompt_tokens: rng.random_range(0..6_000),
        placed: Vec::new(),
    }
}

fn report(id: u32, size: Size, rng: &mut StdRng) -> Report {
    let mut loads: Vec<Load> = (0..LOADS).map(|_| random_load(size, rng)).collect();
    loads.sort_by(|a, b| a.target.cmp(&b.target));
    let demands = (0..ADAPTERS.0).map(|_| {
        let adapter = rng.random_range(0..ADAPTERS.1);
        Demand {
            service: "advice".into(),
            model: format!("model-{}", adapter % 20),
            adapter: Some(format!("adapter-{adapter}")),
            work: rng.random_range(0..9_000),
            waiting: 0,
            running: 2,
        }
    });
    let demands = demands.collect();
    let token_rates = (0..WORKSPACES.0).map(|_| TokenRate {
        workspace: format!("workspace-{}", rng.random_range(0..WORKSPACES.1)),
        rate: rng.random_range(0.0..9_000.0),
    });
    let token_rates = token_rates.collect();
    Report { loads, demands, token_rates, gateways: vec![id], ..Report::default() }
}

fn measure(size: Size) -> Vec<(&'static str, f64)> {
    let (rebuilt, bytes) = time_sync::<Model>(size);
    let targets: Vec<AnnouncedTarget> = (0..size.targets).map(target).collect();
    let (differences, sent) = (time_difference(size), time_sent(size));
    let (rebuilt_round, sum_bytes) = time_gossip::<Model>(size);
    vec![
        ("sync call, rebuilt, whole reply, us", rebuilt),
        ("sync call, whole reply, us", time_sync::<Traffic>(size).0),
        ("sync call, difference, us", differences.0),
        ("whole reply, bytes", bytes),
        ("difference in place of it, bytes", differences.1),
        ("gossip round, rebuilt, whole sums, us", rebuilt_round),
        ("gossip round, whole sums, us", time_gossip::<Traffic>(size).0),
        ("gossip round, differences sent, us", sent.0),
        ("whole sum to each other replica, bytes", sum_bytes),
        ("difference in place of it, bytes", sent.1),
        (
            "whole directory to a gateway, bytes",
            frame_size(reply(Report::default(), &targets)) as f64,
        ),
        ("one in memory before it is encoded, KiB", directory_memory(&targets)),
    ]
}

fn target(number: u32) -> AnnouncedTarget {
    AnnouncedTarget {
        id: format!("target-{number}"),
        service: "advice".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "a".into(),
        software: "1.2.3".into(),
        slots: 32,
        presence: Presence::Up,
        incarnation: 1_796_000_000_000,
        seq: 1_000,
        holdings: (0..4)
            .map(|n| Holding {
                model: format!("model-{n}"),
                version: 1,
                adapters: (0..4).map(|a| format!("adapter-{a}")).collect(),
            })
            .collect(),
        cached_models: vec!["model-1".into(), "model-2".into()],
        cold_left: Duration::ZERO,
    }
}

/// Returns the KiB of the memory of this process that are resident; 0 where they are not known.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Returns the KiB of the targets in one reply, as a mean of 40.
fn directory_memory(targets: &[AnnouncedTarget]) -> f64 {
    let before = resident();
    let copies: Vec<Vec<AnnouncedTarget>> = (0..40).map(|_| targets.to_vec()).collect();
    let after = resident();
    drop(black_box(copies));
    (after - before) / 40.0
}

/// Times a sync call with a difference, and returns the mean bytes of the reply.
fn time_difference(size: Size) -> (f64, f64) {
    let mut world = World::<Traffic>::new(size);
    let mut outgoing = Outgoing::new(7);
    let mut known = vec![Position::default(); size.gateways as usize];
    let (mut number, mut calls, mut bytes) = (0, 0, 0);
    let round = size.gateways / REPLICAS;
    // Whole copies are paced, so that the first rounds have some.
    let mut sync = |calls: u32| {
        let gateway = world.next_gateway(&mut number);
        world.change(gateway);
        world.record(gateway);
        if calls.is_multiple_of(round) {
            for replica in 1..REPLICAS {
                for other in (replica..size.gateways).step_by(REPLICAS as usize) {
                    world.change_without_time(other);
                }
                let sum = world.sum_of(replica);
                world.traffic.record(Source::Replica(u64::from(replica)), sum, world.now);
            }
        }
        let start = Instant::now();
        let position = known[gateway as usize];
        let loads = outgoing.to_gateway(&mut world.traffic, gateway, position, world.now);
        let report = world.traffic.services_excluding(gateway);
        let encoded =
            frame_size(reply(report, &[])) + postcard::to_stdvec(&loads).map_or(0, |b| b.len());
        let took = start.elapsed();
        if let Loads::Difference(difference) = loads {
            known[gateway as usize] =
                Position { epoch: difference.epoch, revision: difference.revision };
        }
        (took, encoded)
    };
    let mut time = Duration::ZERO;
    for call in 0..round * 20 {
        let (took, encoded) = sync(call);
        if call >= round * 10 {
            calls += 1;
            time += took;
            bytes += encoded;
        }
    }
    (as_micros(time) / f64::from(calls), bytes as f64 / f64::from(calls))
}

/// Times the differences for the other replicas after each gateway has reported, and returns the
/// mean bytes of one.
fn time_sent(size: Size) -> (f64, f64) {
    let mut world = World::<Traffic>::new(size);
    let mut outgoing = Outgoing::new(7);
    let (mut time, mut bytes) = (Duration::ZERO, 0);
    for round in 0..=20 {
        for gateway in (0..size.gateways).step_by(REPLICAS as usize) {
            world.change(gateway);
            world.record(gateway);
        }
        let start = Instant::now();
        for replica in 1..REPLICAS {
            let difference = outgoing.to_replica(&mut world.traffic, replica.into(), world.now);
            let encoded = postcard::to_stdvec(&difference).map_or(0, |b| b.len());
            bytes += if round > 0 { encoded } else { 0 };
        }
        time += if round > 0 { start.elapsed() } else { Duration::ZERO };
    }
    (as_micros(time) / 20.0, bytes as f64 / 20.0 / f64::from(REPLICAS - 1))
}

/// Times a sync call with its reply, and returns the bytes of the reply as well.
fn time_sync<S: Sums>(size: Size) -> (f64, f64) {
    let mut world = World::<S>::new(size);
    let mut number = 0;
    let mut bytes = 0;
    let time = mean_time(200, || {
        let gateway = world.next_gateway(&mut number);
        world.change(gateway);
        world.record(gateway);
        let report = world.traffic.excluding(gateway, world.now);
        bytes = frame_size(reply(report, &[]));
    });
    (as_micros(time), bytes as f64)
}

/// Times the encoding of the sum for each other replica and the recording of their sums, and
/// returns the bytes of a sum as well.
fn time_gossip<S: Sums>(size: Size) -> (f64, f64) {
    let mut world = World::<S>::new(size);
    let sums: Vec<Report> = (1..REPLICAS).map(|replica| world.sum_of(replica)).collect();
    let mut bytes = 0;
    let time = mean_time(20, || {
        let report = world.traffic.local(world.now);
        for (sum, replica) in sums.iter().zip(1..) {
            let gossip = peer::Gossip::Traffic(report.clone());
            bytes = frame_size(peer::Body::Gossip { from: 1, gossip });
            world.traffic.record(Source::Replica(replica), black_box(sum.clone()), world.now);
        }
    });
    (as_micros(time), bytes as f64)
}

fn reply(report: Report, targets: &[AnnouncedTarget]) -> peer::Body {
    let reply = peer::SyncReply {
        update: None,
        domain: "a".into(),
        epoch: 7,
        revision: 9,
        changed_targets: targets.to_vec(),
        report,
        reporting_gateways: 1,
        known_gateways: 1,
        replicas: vec![1, 2, 3],
        supplement: None,
        loads: None,
    };
    peer::Body::Reply { id: 1, reply: peer::Reply::Sync(Box::new(reply)) }
}
