//! Finding what crashes targets, from what gateways saw and served.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::gateway::{
        Prompt, Segment,
        crash_log::{self, CrashLog},
    },
    version::{
        culprit::{Crash, Decision, Finder, Report},
        suspect::{Fingerprint, Suspects, Verdict},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two rounds of the leader.
const TICK: Duration = Duration::from_millis(100);
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
    fingerprint_in_three_crashes_is_refused_if_nobody_served_it => refused_after_three();
    fingerprint_in_two_crashes_is_not_suspected => two_crashes();
    crash_seen_by_several_gateways_counts_once => same_crash();
    fingerprint_that_was_served_is_cleared => cleared_by_service();
    cleared_fingerprint_is_not_suspected_again_at_once => immunity();
    bystander_in_fewer_crashes_is_not_refused => bystander();
    crashes_that_are_explained_do_not_count_for_bystanders => explained();
    fingerprints_in_the_same_crashes_are_told_apart_by_further_ones => tie();
    old_crashes_do_not_count => expiry();
    new_leader_goes_on_with_the_suspects_of_the_view => new_leader();
    crashes_that_earlier_leaders_knew_count => changing_leaders();
    segments_but_the_last_have_fingerprints => request_fingerprints();
    gateway_reports_only_what_it_has_not_served => log_unserved();
    gateway_repeats_its_report_for_a_new_leader => log_repeats();
    gateway_answers_for_suspects_that_it_served => log_served();
    gateway_without_crashes_reports_nothing => log_quiet();
    deadly_segment_is_found_on_a_small_deployment =>
        check_fleet(Deployment { gateways: 13, targets: 9, requests_per_s: 45, deadly: 0.05 });
    deadly_segment_is_found_on_a_large_deployment =>
        check_fleet(Deployment { gateways: 107, targets: 90, requests_per_s: 520, deadly: 0.05 });
    rare_deadly_segment_is_found =>
        check_fleet(Deployment { gateways: 13, targets: 9, requests_per_s: 45, deadly: 0.015 });
    no_segment_is_refused_when_targets_crash_by_themselves =>
        check_fleet(Deployment { gateways: 13, targets: 9, requests_per_s: 45, deadly: 0.0 });
}

fn segment(id: u64) -> Fingerprint {
    Fingerprint::of_segment(id)
}

fn crash(target: &str, fingerprints: &[u64]) -> Crash {
    Crash {
        target: target.into(),
        incarnation: 1,
        age: Duration::ZERO,
        fingerprints: fingerprints.iter().map(|id| segment(*id)).collect(),
    }
}

/// The finder, and the verdicts in force.
#[derive(Default)]
struct Leader {
    finder: Finder,
    suspects: Suspects,
    now: Duration,
}

impl Leader {
    fn report(&mut self, crashes: Vec<Crash>) {
        self.finder.record(Report { crashes, served: Vec::new() }, self.now);
    }

    fn served(&mut self, id: u64) {
        let report = Report { crashes: Vec::new(), served: vec![segment(id)] };
        self.finder.record(report, self.now);
    }

    /// Decides once, and puts the decisions in force as the log would.
    fn tick(&mut self) -> Vec<Decision> {
        self.now += TICK;
        let decisions = self.finder.tick(&self.suspects, self.now);
        for decision in &decisions {
            let Decision { fingerprint, verdict, .. } = *decision;
            match verdict {
                Verdict::Clear => self.suspects.clear(fingerprint),
                Verdict::Suspect => self.suspects.record_crash(fingerprint, false, 0),
                Verdict::Refused => self.suspects.record_crash(fingerprint, true, 0),
            }
        }
        decisions
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    fn verdict(&self, id: u64) -> Verdict {
        self.suspects.verdict(segment(id))
    }
}

fn leader_with(crashes: Vec<Crash>) -> Leader {
    let mut leader = Leader { now: SECOND, ..Leader::default() };
    leader.report(crashes);
    leader
}

fn refused_after_three() {
    let crashes = vec![crash("a", &[1]), crash("b", &[1]), crash("c", &[1])];
    let mut leader = leader_with(crashes);
    leader.tick();
    expect_that!(leader.verdict(1), eq(Verdict::Suspect));
    leader.run(SECOND / 2);
    expect_that!(leader.verdict(1), eq(Verdict::Suspect));
    leader.run(SECOND);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
}

fn two_crashes() {
    let mut leader = leader_with(vec![crash("a", &[1]), crash("b", &[1])]);
    leader.run(SECOND * 5);
    expect_that!(leader.verdict(1), eq(Verdict::Clear));
}

fn same_crash() {
    let mut leader = leader_with(vec![crash("a", &[1]), crash("b", &[1])]);
    leader.report(vec![crash("a", &[1, 2]), crash("b", &[1])]);
    leader.run(SECOND * 5);
    expect_that!(leader.verdict(1), eq(Verdict::Clear));
}

fn cleared_by_service() {
    let mut leader = leader_with(vec![crash("a", &[1]), crash("b", &[1]), crash("c", &[1])]);
    leader.tick();
    leader.served(1);
    leader.run(SECOND * 5);
    expect_that!(leader.verdict(1), eq(Verdict::Clear));
}

fn immunity() {
    let mut leader = leader_with(Vec::new());
    leader.served(1);
    leader.report(vec![crash("a", &[1]), crash("b", &[1]), crash("c", &[1])]);
    leader.run(SECOND * 9);
    expect_that!(leader.verdict(1), eq(Verdict::Clear));
    leader.run(SECOND * 3);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
}

fn bystander() {
    let crashes =
        vec![crash("a", &[1, 2]), crash("b", &[1, 2]), crash("c", &[1, 2]), crash("d", &[1])];
    let mut leader = leader_with(crashes);
    leader.run(SECOND * 5);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
    expect_that!(leader.verdict(2), not(eq(Verdict::Refused)));
}

fn explained() {
    let crashes =
        vec![crash("a", &[1, 2]), crash("b", &[1, 2]), crash("c", &[1]), crash("d", &[1])];
    let mut leader = leader_with(crashes);
    leader.run(SECOND * 3);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
    leader.report(vec![crash("e", &[1, 2]), crash("f", &[1, 2])]);
    leader.run(SECOND * 3);
    expect_that!(leader.verdict(2), eq(Verdict::Clear));
}

fn tie() {
    let crashes = vec![crash("a", &[1, 2]), crash("b", &[1, 2]), crash("c", &[1, 2])];
    let mut leader = leader_with(crashes);
    leader.run(SECOND * 3);
    expect_that!(leader.verdict(1), eq(Verdict::Suspect));
    leader.report(vec![crash("d", &[1])]);
    leader.run(SECOND);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
    expect_that!(leader.verdict(2), eq(Verdict::Suspect));
}

fn expiry() {
    let mut leader = leader_with(vec![crash("a", &[1]), crash("b", &[1])]);
    leader.run(SECOND * 61);
    leader.report(vec![crash("c", &[1])]);
    leader.run(SECOND * 5);
    expect_that!(leader.verdict(1), eq(Verdict::Clear));
}

fn new_leader() {
    let crashes = vec![crash("a", &[1]), crash("b", &[1]), crash("c", &[1])];
    let mut old = leader_with(crashes.clone());
    old.tick();
    let mut new = Leader { suspects: old.suspects, now: SECOND, ..Leader::default() };
    new.run(SECOND * 2);
    expect_that!(new.verdict(1), eq(Verdict::Suspect));
    new.report(crashes);
    new.run(SECOND * 2);
    expect_that!(new.verdict(1), eq(Verdict::Refused));
}

/// Guards against a count of crashes that begins anew with each leader: gateways told a new one
/// only of the latest, so a request that comes less often than leaders change was never found.
fn changing_leaders() {
    /// Times until the leader changes after a crash, and from then until the next crash.
    const BEFORE: Duration = Duration::from_secs(7);
    const AFTER: Duration = Duration::from_millis(7_500);
    let mut logs = [CrashLog::default(), CrashLog::default()];
    let mut leader = Leader::default();
    for number in 0..3 {
        let target = format!("t-{number}");
        logs[number % 2].record_crash(&target, 1, &[segment(1)], leader.now);
        expect_that!(leader.verdict(1), eq(Verdict::Clear));
        if number < 2 {
            run_with_gateways(&mut leader, &mut logs, BEFORE);
            leader = Leader { suspects: leader.suspects, now: leader.now, ..Leader::default() };
            run_with_gateways(&mut leader, &mut logs, AFTER);
        }
    }
    run_with_gateways(&mut leader, &mut logs, SECOND * 3);
    expect_that!(leader.verdict(1), eq(Verdict::Refused));
}

fn run_with_gateways(leader: &mut Leader, logs: &mut [CrashLog], time: Duration) {
    let end = leader.now + time;
    while leader.now < end {
        for log in &mut *logs {
            let report = log.due_report(&leader.suspects, leader.now);
            leader.finder.record(report.unwrap_or_default(), leader.now);
        }
        leader.tick();
    }
}

fn prompt(segments: &[u64]) -> Prompt {
    let segments = segments.iter().map(|id| Segment { id: *id, tokens: 10 }).collect();
    Prompt { segments, ..Prompt::default() }
}

fn request_fingerprints() {
    let all = crash_log::fingerprints("w/chat", b"body", Some(&prompt(&[7, 8, 9])));
    expect_that!(
        all,
        elements_are![eq(&Fingerprint::of("w/chat", b"body")), eq(&segment(7)), eq(&segment(8))]
    );
    expect_that!(crash_log::fingerprints("w/orders", b"body", None).len(), eq(1));
}

fn log_unserved() {
    let mut log = CrashLog::default();
    log.record_served(&[segment(1)], SECOND);
    log.record_crash("a", 1, &[segment(1), segment(2), segment(3)], SECOND * 2);
    log.record_served(&[segment(3)], SECOND * 2);
    let report = log.due_report(&Suspects::default(), SECOND * 2).expect("a report is due");
    expect_that!(report.crashes[0].fingerprints, elements_are![eq(&segment(2))]);
    // What was served long ago may crash targets by now.
    log.record_crash("b", 1, &[segment(1)], SECOND * 12);
    let report = log.due_report(&Suspects::default(), SECOND * 12).expect("a report is due");
    expect_that!(report.crashes.last().unwrap().fingerprints, elements_are![eq(&segment(1))]);
}

fn log_repeats() {
    let mut log = CrashLog::default();
    log.record_crash("a", 1, &[segment(1)], SECOND);
    let due = |log: &mut CrashLog, now| log.due_report(&Suspects::default(), now).is_some();
    expect_that!(due(&mut log, SECOND), eq(true));
    expect_that!(due(&mut log, SECOND + TICK), eq(false));
    expect_that!(due(&mut log, SECOND * 4), eq(true));
    expect_that!(due(&mut log, SECOND * 12), eq(true));
    expect_that!(due(&mut log, SECOND * 59), eq(true));
    // It counts no more.
    expect_that!(due(&mut log, SECOND * 62), eq(false));
    // What was served since needs no repetition.
    log.record_crash("b", 1, &[segment(1)], SECOND * 70);
    expect_that!(due(&mut log, SECOND * 70), eq(true));
    log.record_served(&[segment(1)], SECOND * 71);
    expect_that!(due(&mut log, SECOND * 73), eq(false));
}

fn log_served() {
    let mut suspects = Suspects::default();
    suspects.record_crash(segment(1), false, 0);
    suspects.record_crash(segment(2), false, 0);
    let mut log = CrashLog::default();
    log.record_served(&[segment(1)], SECOND);
    let report = log.due_report(&suspects, SECOND * 2).expect("a report is due");
    expect_that!(report.served, elements_are![eq(&segment(1))]);
    expect_that!(log.due_report(&suspects, SECOND * 2 + TICK), none());
    expect_that!(log.due_report(&suspects, SECOND * 12), none());
}

fn log_quiet() {
    let mut log = CrashLog::default();
    log.record_served(&[segment(1)], SECOND);
    expect_that!(log.due_report(&Suspects::default(), SECOND * 2), none());
}

/// Size of a deployment, and the fraction of its requests that crash targets.
#[derive(Clone, Copy)]
struct Deployment {
    gateways: usize,
    targets: usize,
    requests_per_s: u32,
    deadly: f64,
}

/// First segments, each with several second ones.
const APPLICATIONS: u64 = 5;
const SUBJECTS: u64 = 16;
/// Segment that crashes targets. It follows others that sound prompts have, too.
const DEADLY: u64 = 999;
/// How long a target is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Mean time from one crash to the next that no request causes.
const MEAN_CRASH_INTERVAL: f64 = 4.0;
/// Time of a prompt on a target before its first output, and until it counts as served.
const PREFILL: Duration = Duration::from_millis(300);
const OUTPUT: Duration = Duration::from_millis(150);
/// Time until a gateway applies what was committed.
const SYNC_DELAY: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(10);

/// A request on a target.
struct Running {
    gateway: usize,
    target: usize,
    fingerprints: Vec<Fingerprint>,
    deadly: bool,
    started: Duration,
}

/// Gateways with their logs, targets that crash, and the leader.
struct Fleet {
    deployment: Deployment,
    rng: ChaCha8Rng,
    now: Duration,
    logs: Vec<CrashLog>,
    leader: Leader,
    /// Verdicts as the gateways know them, with the time from which they do.
    views: Vec<(Duration, Suspects)>,
    running: Vec<Running>,
    down_until: Vec<Duration>,
    incarnations: Vec<u64>,
    /// Times of the crashes that requests caused.
    crashes: Vec<Duration>,
    /// Times at which requests with the deadly segment reached targets.
    deadly_arrivals: Vec<Duration>,
    /// Fingerprints that a rule refuses which counts crashes only.
    refused_by_baseline: BTreeSet<Fingerprint>,
    baseline: BTreeMap<Fingerprint, BTreeSet<(usize, u64)>>,
    next_id: u64,
}

impl Fleet {
    fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            logs: vec![CrashLog::default(); deployment.gateways],
            leader: Leader { now: SECOND, ..Leader::default() },
            views: vec![(Duration::ZERO, Suspects::default())],
            running: Vec::new(),
            down_until: vec![Duration::ZERO; deployment.targets],
            incarnations: vec![1; deployment.targets],
            crashes: Vec::new(),
            deadly_arrivals: Vec::new(),
            refused_by_baseline: BTreeSet::new(),
            baseline: BTreeMap::new(),
            next_id: 1_000,
        }
    }

    fn view(&self) -> &Suspects {
        let known = self.views.iter().rev().find(|(at, _)| *at + SYNC_DELAY <= self.now);
        &known.expect("the first view is known from the start").1
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let rate = f64::from(self.deployment.requests_per_s) * STEP.as_secs_f64();
        let mut arrivals = rate;
        while arrivals > 0.0 {
            if self.rng.random_bool(arrivals.min(1.0)) {
                self.arrive();
            }
            arrivals -= 1.0;
        }
        self.progress();
        if self.rng.random_bool(STEP.as_secs_f64() / MEAN_CRASH_INTERVAL) {
            let target = self.rng.random_range(0..self.deployment.targets);
            self.crash(target);
        }
        self.report();
        if self.now >= self.leader.now + TICK {
            self.leader.tick();
            self.views.push((self.now, self.leader.suspects.clone()));
        }
    }

    fn arrive(&mut self) {
        // Popular applications and subjects have most of the requests.
        let skewed = |rng: &mut ChaCha8Rng, count: u64| {
            let draw: f64 = rng.random_range(0.0_f64..1.0);
            (0..count)
                .find(|n| draw < 1.0 - 0.6_f64.powi(i32::try_from(*n).unwrap() + 1))
                .unwrap_or(count - 1)
        };
        let application = skewed(&mut self.rng, APPLICATIONS);
        let subject = application * SUBJECTS + self.rng.random_range(0..SUBJECTS);
        let deadly = self.rng.random_bool(self.deployment.deadly);
        self.next_id += 1;
        let mut ids = vec![application + 1, subject + 100];
        ids.extend(deadly.then_some(DEADLY));
        ids.push(self.next_id);
        let body = self.next_id.to_le_bytes();
        let fingerprints = crash_log::fingerprints("w/chat", &body, Some(&prompt(&ids)));
        let view = self.view();
        if fingerprints.iter().any(|f| view.verdict(*f) == Verdict::Refused) {
            return;
        }
        let up: Vec<_> = (0..self.deployment.targets)
            .filter(|target| self.down_until[*target] <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        if deadly {
            self.deadly_arrivals.push(self.now);
        }
        let gateway = self.rng.random_range(0..self.deployment.gateways);
        let started = self.now;
        self.running.push(Running { gateway, target, fingerprints, deadly, started });
    }

    /// Lets requests begin their output, which crashes a target or serves them.
    fn progress(&mut self) {
        let begun = self.running.iter().find(|r| r.deadly && r.started + PREFILL <= self.now);
        if let Some(target) = begun.map(|r| r.target) {
            self.crashes.push(self.now);
            self.crash(target);
        }
        let now = self.now;
        let done = |r: &mut Running| !r.deadly && r.started + PREFILL + OUTPUT <= now;
        for request in self.running.extract_if(.., done).collect::<Vec<_>>() {
            self.logs[request.gateway].record_served(&request.fingerprints, now);
        }
    }

    fn crash(&mut self, target: usize) {
        if self.down_until[target] > self.now {
            return;
        }
        let incarnation = self.incarnations[target];
        self.down_until[target] = self.now + DOWN_TIME;
        self.incarnations[target] += 1;
        for request in self.running.extract_if(.., |r| r.target == target).collect::<Vec<_>>() {
            let (log, id) = (&mut self.logs[request.gateway], format!("t{target}"));
            log.record_crash(&id, incarnation, &request.fingerprints, self.now);
            for fingerprint in request.fingerprints {
                let crashes = self.baseline.entry(fingerprint).or_default();
                crashes.insert((target, incarnation));
                if crashes.len() >= 3 {
                    self.refused_by_baseline.insert(fingerprint);
                }
            }
        }
    }

    fn report(&mut self) {
        let view = self.view().clone();
        for log in &mut self.logs {
            if let Some(report) = log.due_report(&view, self.now) {
                self.leader.finder.record(report, self.now);
            }
        }
    }
}

/// Plays 30 s of calm and 25 s with requests that crash targets, on several seeds, while
/// other crashes go on. Only the deadly segment may be refused, in time. A rule that counts
/// crashes only refuses sound segments.
fn check_fleet(deployment: Deployment) {
    /// From the fifth crash until no more than three may reach targets.
    const DETECTION_TIME: Duration = Duration::from_secs(3);
    let mut refused_by_baseline = 0;
    for seed in 0..5 {
        let mut fleet = Fleet::new(Deployment { deadly: 0.0, ..deployment }, seed);
        fleet.run(SECOND * 30);
        fleet.deployment = deployment;
        fleet.run(SECOND * 25);
        let suspects = &fleet.leader.suspects;
        let sound = (1..999).filter(|id| suspects.verdict(segment(*id)) == Verdict::Refused);
        expect_that!(sound.count(), eq(0), "seed {seed}");
        if deployment.deadly > 0.0 {
            expect_that!(suspects.verdict(segment(DEADLY)), eq(Verdict::Refused), "seed {seed}");
        }
        if let Some(fifth) = fleet.crashes.get(4) {
            let late = fleet.deadly_arrivals.iter().filter(|at| **at > *fifth + DETECTION_TIME);
            expect_that!(late.count(), le(3), "seed {seed}");
        }
        refused_by_baseline +=
            fleet.refused_by_baseline.iter().filter(|f| **f != segment(DEADLY)).count();
    }
    expect_that!(refused_by_baseline, gt(0));
}
