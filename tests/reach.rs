//! Whether a gateway finds out which targets it is cut off from, and when it only seems so.
//! Simulated requests open connections to targets; two naive policies run beside.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    request::gateway::reach::{ConnectFailure, Reach},
    version::directory,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGETS: u16 = 12;
/// Targets of a small service; the others are engines.
const SERVICES: u16 = 3;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(50);
/// Part of the requests that need a new connection.
const NEW_CONNECTIONS: f64 = 0.5;
/// When the fault begins, and how long it lasts.
const FAULT_START: Duration = Duration::from_secs(10);
const FAULT_TIME: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(30);
/// Time within which a gateway that is cut off must send requests another way.
const DETECTION_TIME: Duration = Duration::from_secs(3);

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
    partition_that_hangs_is_found => partition(Fault::Hangs { count: TARGETS });
    partition_that_refuses_is_found => partition(Fault::Refuses);
    targets_behind_a_partition_are_found => partition(Fault::Hangs { count: TARGETS - 2 });
    crash_of_one_target_is_no_partition => no_partition(Fault::Crash { count: 1 });
    crash_of_a_whole_service_is_no_partition => no_partition(Fault::Crash { count: SERVICES });
    crash_of_half_of_the_targets_is_no_partition =>
        no_partition(Fault::Crash { count: TARGETS / 2 });
    lost_packets_are_no_partition => no_partition(Fault::Lossy);
    single_target_that_fails_is_lost => single_target();
    old_failures_do_not_count => old_failures();
    lost_targets_are_tried_in_turn => turns();
    success_during_the_probe_ends_the_doubt => doubt_ends();
    target_that_fails_elsewhere_is_not_lost => fails_elsewhere();
    all_targets_are_restored_when_some_answer => all_restored();
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The gateway is cut off from the first targets; connections get no answer.
    Hangs { count: u16 },
    /// The gateway is cut off from all; connections are refused.
    Refuses,
    /// The first targets have crashed.
    Crash { count: u16 },
    /// A tenth of the connections gets no answer.
    Lossy,
}

impl Fault {
    fn is_partition(self) -> bool {
        matches!(self, Self::Hangs { .. } | Self::Refuses)
    }

    /// Returns true if the target is out of reach, or down.
    fn concerns(self, target: SocketAddr) -> bool {
        match self {
            Self::Hangs { count } | Self::Crash { count } => target.port() <= count,
            Self::Refuses => true,
            Self::Lossy => false,
        }
    }
}

/// What decides whether connections go through another gateway.
enum Policy {
    Reach(Box<Reach>),
    /// All do from the first failure until a connection succeeds.
    FirstFailure(bool),
    Never,
}

impl Policy {
    fn relays(&self, to: SocketAddr) -> bool {
        match self {
            Self::Reach(reach) => reach.is_lost(to),
            Self::FirstFailure(cut_off) => *cut_off,
            Self::Never => false,
        }
    }
}

fn target(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number + 1).into()
}

fn all_targets() -> Vec<SocketAddr> {
    (0..TARGETS).map(target).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    connections: usize,
    /// Connections through another gateway to targets that could be reached, but for
    /// [`DETECTION_TIME`] after the fault.
    needlessly_relayed: usize,
    /// Direct connections that failed later than [`DETECTION_TIME`] after the fault began.
    failed_late: usize,
    /// The same, of those that the policy tried for itself.
    probes: usize,
    /// Connections through another gateway later than that after the fault.
    relayed_late: usize,
}

struct Simulation {
    fault: Fault,
    now: Duration,
    rng: ChaCha8Rng,
    policy: Policy,
    outcome: Outcome,
    /// Connections that get no answer, when they fail, and whether they are probes.
    hanging: Vec<(Duration, SocketAddr, bool)>,
}

impl Simulation {
    fn run(fault: Fault, policy: Policy, seed: u64) -> Outcome {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Self {
            fault,
            now: Duration::ZERO,
            rng,
            policy,
            outcome: Outcome::default(),
            hanging: Vec::new(),
        };
        let mut next_request = Duration::ZERO;
        while sim.now < END {
            if sim.now >= next_request {
                next_request += REQUEST_INTERVAL;
                sim.request();
            }
            sim.end_hanging();
            sim.probe();
            sim.now += TICK;
        }
        sim.outcome
    }

    fn in_fault(&self) -> bool {
        self.now >= FAULT_START && self.now < FAULT_START + FAULT_TIME
    }

    /// Returns the targets that count as up: those that announced themselves lately.
    fn up(&self) -> Vec<SocketAddr> {
        let mut up = all_targets();
        if matches!(self.fault, Fault::Crash { .. })
            && self.in_fault()
            && self.now >= FAULT_START + directory::TTL
        {
            up.retain(|t| !self.fault.concerns(*t));
        }
        up
    }

    /// Returns how a direct connection fails now, if it does.
    fn failure(&mut self, to: SocketAddr) -> Option<ConnectFailure> {
        if !self.in_fault() {
            return None;
        }
        let concerned = self.fault.concerns(to);
        match self.fault {
            Fault::Hangs { .. } => concerned.then_some(ConnectFailure::TimedOut),
            Fault::Refuses | Fault::Crash { .. } => concerned.then_some(ConnectFailure::Refused),
            Fault::Lossy => self.rng.random_bool(0.1).then_some(ConnectFailure::TimedOut),
        }
    }

    /// A request to a random target, on an open connection or a new one.
    fn request(&mut self) {
        if !self.rng.random_bool(NEW_CONNECTIONS) {
            return;
        }
        self.outcome.connections += 1;
        let up = self.up();
        let to = up[self.rng.random_range(0..up.len())];
        if !self.policy.relays(to) {
            return self.connect(to, false);
        }
        let lost = self.in_fault() && self.fault.concerns(to);
        let fault_end = FAULT_START + FAULT_TIME;
        let recovering = self.now >= fault_end && self.now < fault_end + DETECTION_TIME;
        self.outcome.needlessly_relayed += usize::from(!lost && !recovering);
        self.outcome.relayed_late += usize::from(self.now >= fault_end + DETECTION_TIME);
        let down = !self.fault.is_partition() && self.in_fault() && self.fault.concerns(to);
        if let (true, Policy::Reach(reach)) = (down, &mut self.policy) {
            reach.record_failed_elsewhere(to);
        }
    }

    fn connect(&mut self, to: SocketAddr, probe: bool) {
        let failure = self.failure(to);
        if failure.is_some() && self.now >= FAULT_START + DETECTION_TIME {
            self.outcome.failed_late += usize::from(!probe);
            self.outcome.probes += usize::from(probe);
        }
        match failure {
            Some(ConnectFailure::TimedOut) => {
                self.hanging.push((self.now + CONNECT_TIMEOUT, to, probe));
            }
            Some(failure) => self.record_failed(to, failure, probe),
            None => match &mut self.policy {
                Policy::Reach(reach) => drop(reach.record_connected(to, self.now)),
                Policy::FirstFailure(cut_off) => *cut_off = false,
                Policy::Never => {}
            },
        }
    }

    fn record_failed(&mut self, to: SocketAddr, failure: ConnectFailure, probe: bool) {
        let up = self.up();
        let elsewhere = matches!(self.fault, Fault::Crash { .. }) && self.fault.concerns(to);
        match &mut self.policy {
            Policy::Reach(reach) if probe => {
                reach.record_probe_failed(to, failure, &up, self.now);
            }
            Policy::Reach(reach) => {
                reach.record_failed(to, failure, &up, self.now);
                // Another gateway is asked at once.
                if elsewhere {
                    reach.record_failed_elsewhere(to);
                }
            }
            Policy::FirstFailure(cut_off) => *cut_off = true,
            Policy::Never => {}
        }
    }

    fn end_hanging(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.hanging.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, probe) in ended {
            self.record_failed(to, ConnectFailure::TimedOut, probe);
        }
    }

    fn probe(&mut self) {
        let (now, up) = (self.now, self.up());
        let targets = match &mut self.policy {
            Policy::Reach(reach) if reach.has_probe_due(now) => reach.next_probe(&up, now),
            // The naive policy tries any target once a second.
            Policy::FirstFailure(true) if now.subsec_millis() == 0 => {
                vec![up[self.rng.random_range(0..up.len())]]
            }
            _ => Vec::new(),
        };
        for to in targets {
            self.connect(to, true);
        }
    }
}

fn all_policies(fault: Fault, seed: u64) -> [Outcome; 3] {
    [Policy::Reach(Box::default()), Policy::FirstFailure(false), Policy::Never]
        .map(|policy| Simulation::run(fault, policy, seed))
}

/// From [`DETECTION_TIME`] on after the partition began, no request waits for a connection
/// that fails; and after it ended, none takes the longer way.
fn partition(fault: Fault) {
    let mut sums = [0; 3];
    for seed in 0..50 {
        let outcomes = all_policies(fault, seed);
        for (sum, outcome) in sums.iter_mut().zip(outcomes) {
            *sum += outcome.failed_late;
        }
        let [reach, ..] = outcomes;
        expect_that!(reach.failed_late, eq(0), "seed {seed}");
        expect_that!(reach.relayed_late, eq(0), "seed {seed}");
        expect_that!(reach.probes, le(150), "seed {seed}");
        expect_that!(reach.needlessly_relayed * 20, le(reach.connections), "seed {seed}");
    }
    println!("failed late, of all seeds: reach, first failure, never {sums:?}");
    expect_that!(sums[2], gt(0));
}

/// At most one connection in twenty takes the longer way.
fn no_partition(fault: Fault) {
    let mut relayed_by_first_failure = 0;
    for seed in 0..50 {
        let [reach, first_failure, _] = all_policies(fault, seed);
        expect_that!(reach.needlessly_relayed * 20, le(reach.connections), "seed {seed}");
        relayed_by_first_failure += first_failure.needlessly_relayed;
    }
    expect_that!(relayed_by_first_failure, gt(0));
}

fn single_target() {
    let up = [target(0)];
    let mut reach = Reach::default();
    let changes = reach.record_failed(target(0), ConnectFailure::Refused, &up, Duration::ZERO);
    expect_that!(changes.lost, eq(&up));
    expect_that!(reach.is_cut_off(&up), eq(true));
    let changes = reach.record_connected(target(0), Duration::ZERO);
    expect_that!(changes.restored, eq(&up));
    expect_that!(reach.is_cut_off(&up), eq(false));
}

fn old_failures() {
    let up = all_targets();
    let mut reach = Reach::default();
    for number in 0..TARGETS - 1 {
        let now = Duration::from_secs(u64::from(number) * 6);
        reach.record_probe_failed(target(number), ConnectFailure::TimedOut, &up, now);
    }
    expect_that!(reach.is_cut_off(&up), eq(false));
}

fn cut_off(now: Duration) -> Reach {
    let up = all_targets();
    let mut reach = Reach::default();
    for number in 0..5 {
        reach.record_probe_failed(target(number), ConnectFailure::TimedOut, &up, now);
    }
    expect_that!(reach.is_cut_off(&up), eq(true));
    reach
}

fn turns() {
    let mut now = Duration::from_secs(1);
    let mut reach = cut_off(now);
    let mut tried = std::collections::BTreeSet::new();
    now += Duration::from_secs(1);
    for _ in 0..3 {
        expect_that!(reach.has_probe_due(now), eq(true));
        tried.extend(reach.next_probe(&all_targets(), now));
        expect_that!(reach.has_probe_due(now), eq(false));
        now += Duration::from_millis(300);
    }
    expect_that!(tried.len(), eq(usize::from(TARGETS)));
}

fn doubt_ends() {
    let up = all_targets();
    let mut reach = Reach::default();
    let now = Duration::from_secs(1);
    reach.record_failed(target(0), ConnectFailure::TimedOut, &up, now);
    let probed = reach.next_probe(&up, now);
    expect_that!(probed, not(contains(eq(&target(0)))));
    reach.record_probe_failed(probed[0], ConnectFailure::TimedOut, &up, now);
    reach.record_connected(probed[1], now);
    expect_that!(reach.has_connected_since(now), eq(true));
    for target in &probed[2..] {
        reach.record_probe_failed(*target, ConnectFailure::TimedOut, &up, now);
    }
    expect_that!(reach.is_cut_off(&up), eq(false));
    expect_that!(reach.is_lost(probed[1]), eq(false));
    expect_that!(reach.is_lost(target(0)), eq(true));
}

fn fails_elsewhere() {
    let up = all_targets();
    let now = Duration::from_secs(1);
    let mut reach = Reach::default();
    reach.record_failed(target(0), ConnectFailure::Refused, &up, now);
    expect_that!(reach.is_lost(target(0)), eq(true));
    reach.record_failed_elsewhere(target(0));
    expect_that!(reach.is_lost(target(0)), eq(false));
}

fn all_restored() {
    let up = all_targets();
    let now = Duration::from_secs(1);
    let mut reach = cut_off(now);
    reach.record_connected(target(1), now);
    reach.record_connected(target(2), now);
    expect_that!(reach.is_lost(target(3)), eq(true));
    let changes = reach.record_connected(target(3), now);
    expect_that!(changes.restored.len(), eq(usize::from(TARGETS) - 2));
    expect_that!(up.iter().any(|t| reach.is_lost(*t)), eq(false));
}
