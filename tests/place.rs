//! Places at targets that must not be overfilled: what the leader gives, and what many
//! gateways make the targets reject together, beside two naive policies.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::request::limit::place::{
    Answer, Candidate, LocalCandidate, PlaceReply, PlaceRequest, PlaceUpdate, Places, Progress,
    local_place,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);
const TERM: u64 = 3;

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
    target_gets_one_request_more_than_it_runs => capacity();
    first_candidate_with_room_is_chosen => candidates();
    waiting_request_gets_the_next_free_place => waiting();
    urgent_request_is_served_first => priorities();
    request_that_would_wait_too_long_is_denied_at_once => denial();
    request_that_has_waited_too_long_is_denied => late_denial();
    place_that_is_not_released_is_free_again => lifetime();
    cancelled_request_gets_no_place => cancellation();
    requests_without_a_place_count => unplaced();
    rejection_takes_a_place_away_for_a_second => rejection();
    rejection_by_a_target_with_room_changes_nothing => other_rejection();
    engine_that_rejects_gets_fewer_requests_that_await_output => output();
    restarted_target_has_places_of_its_own => restart();
    absurd_number_of_slots_does_not_close_a_target => absurd_slots();
    gateway_without_a_leader_keeps_to_its_part => local();
    thirteen_gateways_do_not_overfill_targets => check_fleet(&Fleet::new(13, 3, 6));
    a_hundred_gateways_do_not_overfill_targets => check_fleet(&Fleet::new(107, 3, 6));
    gateways_do_not_overfill_engines =>
        check_fleet(&Fleet { work_time: SECOND * 2, ..Fleet::new(13, 9, 64) });
    gateways_do_not_overfill_targets_after_a_change_of_leader =>
        for gateways in [13, 107] {
            check_fleet(&Fleet { new_leader: Some(SECOND * 6), ..Fleet::new(gateways, 3, 6) });
        };
}

fn request(permit: u64, targets: &[&str], max_wait: Duration) -> PlaceRequest {
    let candidate =
        |target: &&str| Candidate { target: (*target).into(), incarnation: 1, slots: 2 };
    PlaceRequest {
        gateway: 1,
        permit,
        service: "app".into(),
        candidates: targets.iter().map(candidate).collect(),
        priority: 1,
        states_output: false,
        rejection_limit: 4.0,
        lifetime: SECOND * 5,
        max_wait,
        prefill: None,
    }
}

fn granted(call: u64, candidate: u32) -> Answer {
    Answer { call, reply: PlaceReply::Granted { candidate, term: TERM } }
}

fn ended(permit: u64) -> [PlaceUpdate; 1] {
    [PlaceUpdate { permit, progress: Progress::Ended }]
}

/// Places of which three are taken at the target `a`, which runs two requests at once.
fn full() -> Places {
    let mut places = Places::new(TERM);
    for permit in 1..=3 {
        places.request(permit, request(permit, &["a"], Duration::ZERO), |_| 0, Duration::ZERO);
    }
    places
}

fn capacity() {
    let mut places = Places::new(TERM);
    for permit in 1..=3 {
        let request = request(permit, &["a"], Duration::ZERO);
        let answers = places.request(permit, request, |_| 0, Duration::ZERO);
        expect_that!(answers, elements_are![eq(&granted(permit, 0))]);
    }
    let answers = places.request(4, request(4, &["a"], SECOND), |_| 0, Duration::ZERO);
    expect_that!(answers, is_empty());
}

fn absurd_slots() {
    for rejection_limit in [0.0, -1.0, f64::MAX, f64::INFINITY, f64::NAN] {
        let absurd = |permit| {
            let mut request = request(permit, &["a"], Duration::ZERO);
            request.candidates[0].slots = u32::MAX;
            PlaceRequest { rejection_limit, ..request }
        };
        let mut places = Places::new(TERM);
        let answers = places.request(1, absurd(1), |_| u32::MAX - 1, Duration::ZERO);
        expect_that!(answers, elements_are![eq(&granted(1, 0))]);
        places.tick(|_| u32::MAX, SECOND);
        let rejected = [PlaceUpdate { permit: 1, progress: Progress::Rejected }];
        places.update(1, &rejected, SECOND);
        places.tick(|_| 0, SECOND * 2);
        let answers = places.request(2, absurd(2), |_| 0, SECOND * 2);
        expect_that!(answers, elements_are![eq(&granted(2, 0))]);
    }
}

fn candidates() {
    let mut places = full();
    let answers = places.request(4, request(4, &["a", "b"], SECOND), |_| 0, Duration::ZERO);
    expect_that!(answers, elements_are![eq(&granted(4, 1))]);
}

fn waiting() {
    let mut places = full();
    places.request(4, request(4, &["a"], SECOND), |_| 0, Duration::ZERO);
    places.request(5, request(5, &["a"], SECOND), |_| 0, Duration::ZERO);
    expect_that!(places.update(1, &ended(2), SECOND / 2), elements_are![eq(&granted(4, 0))]);
    expect_that!(places.update(1, &ended(1), SECOND / 2), elements_are![eq(&granted(5, 0))]);
    expect_that!(places.update(1, &ended(1), SECOND / 2), is_empty());
}

fn priorities() {
    let mut places = full();
    places.request(4, request(4, &["a"], SECOND), |_| 0, Duration::ZERO);
    let urgent = PlaceRequest { priority: 0, ..request(5, &["a"], SECOND) };
    places.request(5, urgent, |_| 0, Duration::ZERO);
    expect_that!(places.update(1, &ended(2), SECOND / 2), elements_are![eq(&granted(5, 0))]);
}

fn denial() {
    let mut places = full();
    // One place is released a second.
    places.update(1, &ended(1), SECOND);
    places.request(1, request(1, &["a"], Duration::ZERO), |_| 0, SECOND);
    for call in 4..8 {
        let answers = places.request(call, request(call, &["a"], SECOND * 9), |_| 0, SECOND);
        expect_that!(answers, is_empty());
    }
    let answers = places.request(8, request(8, &["a"], SECOND), |_| 0, SECOND);
    let denied = Answer { call: 8, reply: PlaceReply::Denied { wait: SECOND * 3 } };
    expect_that!(answers, elements_are![eq(&denied)]);
}

fn late_denial() {
    let mut places = full();
    places.request(4, request(4, &["a"], SECOND), |_| 0, Duration::ZERO);
    expect_that!(places.tick(|_| 0, SECOND / 2), is_empty());
    let answers = places.tick(|_| 0, SECOND);
    expect_that!(answers.len(), eq(1));
    expect_that!(answers[0].call, eq(4));
    expect_that!(matches!(answers[0].reply, PlaceReply::Denied { .. }), eq(true));
}

fn lifetime() {
    let mut places = full();
    places.request(4, request(4, &["a"], SECOND * 9), |_| 0, Duration::ZERO);
    expect_that!(places.tick(|_| 0, SECOND * 4), is_empty());
    expect_that!(places.tick(|_| 0, SECOND * 5), elements_are![eq(&granted(4, 0))]);
}

fn cancellation() {
    let mut places = full();
    places.request(4, request(4, &["a"], SECOND), |_| 0, Duration::ZERO);
    places.request(5, request(5, &["a"], SECOND), |_| 0, Duration::ZERO);
    places.update(1, &ended(4), Duration::ZERO);
    expect_that!(places.update(1, &ended(1), SECOND / 2), elements_are![eq(&granted(5, 0))]);
}

fn unplaced() {
    let mut places = Places::new(TERM);
    let answers = places.request(1, request(1, &["a"], SECOND), |_| 3, Duration::ZERO);
    expect_that!(answers, is_empty());
    expect_that!(places.tick(|_| 2, SECOND / 10), elements_are![eq(&granted(1, 0))]);
}

fn rejected(permit: u64) -> [PlaceUpdate; 1] {
    [PlaceUpdate { permit, progress: Progress::Rejected }]
}

fn rejection() {
    let mut places = full();
    places.update(1, &rejected(1), Duration::ZERO);
    let answers = places.request(4, request(4, &["a"], SECOND * 2), |_| 0, Duration::ZERO);
    expect_that!(answers, is_empty());
    expect_that!(places.tick(|_| 0, SECOND / 2), is_empty());
    // It bears four rejections a second, and its places grow by one.
    expect_that!(places.tick(|_| 0, SECOND), elements_are![eq(&granted(4, 0))]);
}

/// With one request of two, the target has room, and the rejection has another reason.
fn other_rejection() {
    let mut places = full();
    places.update(1, &ended(1), Duration::ZERO);
    places.update(1, &ended(2), Duration::ZERO);
    places.update(1, &rejected(3), Duration::ZERO);
    for permit in 4..=6 {
        let answers = places.request(permit, request(permit, &["a"], SECOND), |_| 0, SECOND);
        expect_that!(answers, elements_are![eq(&granted(permit, 0))]);
    }
}

/// An engine that rejects one of five requests that await their output gets four at a time.
fn output() {
    let engine_request = |permit| {
        let mut request = request(permit, &["e"], SECOND);
        request.candidates[0].slots = 16;
        PlaceRequest { states_output: true, ..request }
    };
    let begun = |permit| [PlaceUpdate { permit, progress: Progress::Output }];
    let mut places = Places::new(TERM);
    for permit in 1..=5 {
        let answers = places.request(permit, engine_request(permit), |_| 0, Duration::ZERO);
        expect_that!(answers, elements_are![eq(&granted(permit, 0))]);
    }
    places.update(1, &rejected(5), SECOND / 2);
    expect_that!(places.request(6, engine_request(6), |_| 0, SECOND / 2), is_empty());
    expect_that!(places.update(1, &begun(1), SECOND / 2), elements_are![eq(&granted(6, 0))]);
    expect_that!(places.request(7, engine_request(7), |_| 0, SECOND / 2), is_empty());
    // It bears four rejections a second, and its places grow by one.
    expect_that!(places.tick(|_| 0, SECOND * 3 / 2), elements_are![eq(&granted(7, 0))]);
}

fn restart() {
    let mut places = full();
    let mut restarted = request(4, &["a"], SECOND);
    restarted.candidates[0].incarnation = 2;
    let answers = places.request(4, restarted, |_| 0, Duration::ZERO);
    expect_that!(answers, elements_are![eq(&granted(4, 0))]);
}

fn local() {
    let candidate = |running, own| LocalCandidate { slots: 6, running, own };
    expect_that!(local_place(&[candidate(0, 0)], 13), some(eq(0)));
    expect_that!(local_place(&[candidate(1, 1), candidate(0, 0)], 13), some(eq(1)));
    expect_that!(local_place(&[candidate(2, 2)], 3), none());
    expect_that!(local_place(&[candidate(6, 0)], 13), none());
}

/// How gateways decide whether to send a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// With a place from the leader.
    Places,
    /// If the target has room by the reports of all gateways.
    Reports,
    /// Always.
    Always,
}

/// Gateways with callers that send more than the targets take, and targets that reject what
/// they have no room for.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    gateways: u32,
    targets: usize,
    slots: u32,
    /// How long a target works on a request.
    work_time: Duration,
    /// When another replica leads, which knows nothing.
    new_leader: Option<Duration>,
}

/// Requests that may wait at a target.
const TARGET_QUEUE: u32 = 2;
/// Time between a decision and the arrival at the target.
const SEND_TIME: Duration = Duration::from_millis(2);
/// Age of the reports of other gateways.
const REPORT_AGE: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(2);
const FLEET_TIME: Duration = Duration::from_secs(12);
/// How long a request waits for a place.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Requests sent, as a multiple of what the targets can take.
const OVERLOAD: f64 = 2.0;

impl Fleet {
    fn new(gateways: u32, targets: usize, slots: u32) -> Self {
        let work_time = Duration::from_millis(60);
        Self { gateways, targets, slots, work_time, new_leader: None }
    }

    /// Returns how many requests the targets take a second.
    fn capacity(&self) -> f64 {
        let slots = self.targets * self.slots as usize;
        f64::from(u32::try_from(slots).unwrap()) / self.work_time.as_secs_f64()
    }

    /// Returns a request for a place at any target, `first` before the others.
    fn request(&self, gateway: u32, permit: u64, first: usize) -> PlaceRequest {
        let candidate = |n: usize| Candidate {
            target: ((first + n) % self.targets).to_string(),
            incarnation: 1,
            slots: self.slots,
        };
        PlaceRequest {
            gateway,
            permit,
            service: "app".into(),
            candidates: (0..self.targets).map(candidate).collect(),
            priority: 1,
            states_output: false,
            rejection_limit: 4.0,
            lifetime: SECOND * 10,
            max_wait: MAX_WAIT,
            prefill: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    served: usize,
    /// Most requests that one target rejected within a second.
    most_rejected: usize,
}

/// A request on its way to a target or there.
#[derive(Clone, Copy, Debug)]
struct Sent {
    target: usize,
    gateway: u32,
    permit: u64,
    /// Term of the leader that gave its place.
    term: u64,
    arrives: Duration,
    /// When it ends, once it runs.
    ends: Option<Duration>,
}

struct Simulation<'f> {
    fleet: &'f Fleet,
    policy: Policy,
    rng: ChaCha8Rng,
    now: Duration,
    places: Places,
    calls: u64,
    /// Requests that wait for a place, by call: gateway and first candidate.
    waiting: BTreeMap<u64, (u32, usize)>,
    sent: Vec<Sent>,
    /// Requests of each target at earlier moments: all, and those without a place of the
    /// leader.
    reports: VecDeque<(Duration, Vec<(u32, u32)>)>,
    rejected: Vec<Vec<Duration>>,
    served: usize,
}

impl<'f> Simulation<'f> {
    fn run(fleet: &'f Fleet, policy: Policy, seed: u64) -> Outcome {
        let mut sim = Self {
            fleet,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            places: Places::new(TERM),
            calls: 0,
            waiting: BTreeMap::new(),
            sent: Vec::new(),
            reports: VecDeque::new(),
            rejected: vec![Vec::new(); fleet.targets],
            served: 0,
        };
        let mut due = 0.0;
        while sim.now < FLEET_TIME {
            if fleet.new_leader == Some(sim.now) {
                sim.places = Places::new(TERM + 1);
                sim.waiting.clear();
            }
            sim.end_requests();
            due += fleet.capacity() * OVERLOAD * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                sim.begin_request();
            }
            sim.arrive();
            sim.report();
            sim.now += TICK;
        }
        let most_rejected = sim.rejected.iter().map(|times| most_in_a_second(times)).max();
        Outcome { served: sim.served, most_rejected: most_rejected.unwrap_or(0) }
    }

    fn begin_request(&mut self) {
        // A quarter of the gateways gets most of the requests.
        let busy = (self.fleet.gateways / 4).max(1);
        let gateways = if self.rng.random_bool(0.7) { busy } else { self.fleet.gateways };
        let gateway = self.rng.random_range(0..gateways);
        let first = self.rng.random_range(0..self.fleet.targets);
        self.calls += 1;
        match self.policy {
            Policy::Places => {
                self.waiting.insert(self.calls, (gateway, first));
                let request = self.fleet.request(gateway, self.calls, first);
                let report = self.latest_report();
                let unplaced = |target: &str| report[target.parse::<usize>().unwrap()].1;
                let answers = self.places.request(self.calls, request, unplaced, self.now);
                self.apply(answers);
            }
            Policy::Reports => {
                if self.latest_report()[first].0 < self.fleet.slots {
                    self.send(first, gateway, self.calls);
                }
            }
            Policy::Always => self.send(first, gateway, self.calls),
        }
    }

    /// Sends the requests that were given a place.
    fn apply(&mut self, answers: Vec<Answer>) {
        for Answer { call, reply } in answers {
            let waiting = self.waiting.remove(&call);
            if let (Some((gateway, first)), PlaceReply::Granted { candidate, .. }) =
                (waiting, reply)
            {
                let target = (first + candidate as usize) % self.fleet.targets;
                self.send(target, gateway, call);
            }
        }
    }

    fn send(&mut self, target: usize, gateway: u32, permit: u64) {
        let arrives = self.now + SEND_TIME;
        let term = self.places.term();
        self.sent.push(Sent { target, gateway, permit, term, arrives, ends: None });
    }

    fn present(&self, target: usize) -> u32 {
        let present = self.sent.iter().filter(|s| s.target == target && s.arrives <= self.now);
        u32::try_from(present.count()).unwrap()
    }

    /// Lets requests arrive, and rejects those without room; runs as many as fit.
    fn arrive(&mut self) {
        let arriving: Vec<_> =
            self.sent.extract_if(.., |s| s.arrives == self.now && s.ends.is_none()).collect();
        for sent in arriving {
            if self.present(sent.target) >= self.fleet.slots + TARGET_QUEUE {
                self.rejected[sent.target].push(self.now);
                self.release(sent, true);
            } else {
                self.sent.push(sent);
            }
        }
        let now = self.now;
        for target in 0..self.fleet.targets {
            let at_target = |s: &&mut Sent| s.target == target && s.arrives <= now;
            let slots = self.fleet.slots as usize;
            for sent in self.sent.iter_mut().filter(at_target).take(slots) {
                sent.ends.get_or_insert(now + self.fleet.work_time);
            }
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<_> =
            self.sent.extract_if(.., |s| s.ends.is_some_and(|at| now >= at)).collect();
        self.served += ended.len();
        for sent in ended {
            self.release(sent, false);
        }
        if now.as_millis().is_multiple_of(100) {
            let report = self.latest_report();
            let unplaced = |target: &str| report[target.parse::<usize>().unwrap()].1;
            let answers = self.places.tick(unplaced, now);
            self.apply(answers);
        }
    }

    fn release(&mut self, sent: Sent, rejected: bool) {
        let progress = if rejected { Progress::Rejected } else { Progress::Ended };
        let update = [PlaceUpdate { permit: sent.permit, progress }];
        let answers = self.places.update(sent.gateway, &update, self.now);
        self.apply(answers);
    }

    /// Records what gateways report later.
    fn report(&mut self) {
        let term = self.places.term();
        let count = |target, all: bool| {
            let at_target = self.sent.iter().filter(|s| s.target == target);
            let counted = at_target.filter(|s| all || s.term != term).count();
            u32::try_from(counted).unwrap()
        };
        let report = (0..self.fleet.targets).map(|t| (count(t, true), count(t, false))).collect();
        self.reports.push_back((self.now, report));
        while self.reports.get(1).is_some_and(|(at, _)| *at + REPORT_AGE <= self.now) {
            self.reports.pop_front();
        }
    }

    fn latest_report(&self) -> Vec<(u32, u32)> {
        let report = self.reports.front().map(|(_, report)| report.clone());
        report.unwrap_or_else(|| vec![(0, 0); self.fleet.targets])
    }
}

/// `times` are in ascending order.
fn most_in_a_second(times: &[Duration]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + SECOND <= *at {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

/// A target bears half as many rejections a second as it runs requests. Gateways that always
/// send keep the targets as busy as can be.
fn check_fleet(fleet: &Fleet) {
    let bearable = fleet.slots as usize / 2;
    for seed in 0..3 {
        let [places, reports, always] = [Policy::Places, Policy::Reports, Policy::Always]
            .map(|policy| Simulation::run(fleet, policy, seed));
        println!("{fleet:?} seed {seed}: {places:?}, by reports {reports:?}, always {always:?}");
        expect_that!(places.most_rejected, le(bearable), "seed {seed}");
        expect_that!(reports.most_rejected, gt(bearable), "seed {seed}");
        expect_that!(always.most_rejected, gt(bearable), "seed {seed}");
        let percent = if fleet.new_leader.is_some() { 80 } else { 90 };
        expect_that!(places.served * 100, ge(always.served * percent), "seed {seed}");
    }
}
