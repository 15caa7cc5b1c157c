//! Cold targets: what directories pass on and gateways take from it, and the sum of the requests
//! of all gateways to a target that restarts, becomes cold again, or returns from an evacuation.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::LazyLock,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::fleet::{Choice, GatewayCounts, Homes, Locality, Query, TargetTable},
        limit::{
            cold::{self, Bounds},
            turn::{LocalTurns, TurnReply, TurnRequest, Turns},
        },
    },
    version::{
        catalog::WarmUp,
        directory::{AnnouncedTarget, Directory},
        traffic::Report,
        view::Presence,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);
const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(6), rate: 10.0 };
/// Requests that a cold target may get in a second.
const MAX_ARRIVALS: usize = 20;
/// The target that becomes cold. Without load it is chosen first.
const TARGET: &str = "a";

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
    directory_passes_on_what_is_left => directory_left();
    late_announcement_does_not_make_a_target_warm => directory_late();
    directory_confirms_a_target_that_came_back => directory_return();
    gateway_takes_turns_at_a_cold_target_and_then_more_of_them => gateway_ramp();
    target_that_came_back_is_cold_until_a_later_announcement => gateway_return();
    lower_numbers_count_if_they_go_on => gateway_dispute();
    announcement_of_the_time_before_an_evacuation_does_not_count => gateway_evacuation();
    target_that_closed_its_connections_is_in_doubt => gateway_doubt();
    rate_leaves_room_in_strict_bounds => rates();
    restarted_target_gets_few_requests_of_13_gateways => check(13, Event::Restart, Fault::None);
    restarted_target_gets_few_requests_of_142_gateways => check(142, Event::Restart, Fault::None);
    target_that_is_cold_again_gets_few_requests_of_13_gateways =>
        check(13, Event::ColdAgain, Fault::None);
    target_that_is_cold_again_gets_few_requests_of_142_gateways =>
        check(142, Event::ColdAgain, Fault::None);
    returned_domain_gets_few_requests_of_13_gateways => check(13, Event::Return, Fault::None);
    returned_domain_gets_few_requests_of_142_gateways => check(142, Event::Return, Fault::None);
    gateways_that_ignore_closed_connections_exceed_the_bound => exceed(13, Event::Restart, Fault::NoDoubt);
    gateways_that_send_no_health_checks_exceed_the_bound =>
        exceed(13, Event::ColdAgain, Fault::NoCheck);
    gateways_that_count_only_themselves_exceed_the_bound => exceed(142, Event::Restart, Fault::WholeRate);
}

fn announced(id: &str, incarnation: u64, seq: u64, cold_left: Duration) -> AnnouncedTarget {
    let port = 80 + u16::from(id.as_bytes()[0]);
    AnnouncedTarget {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "north".into(),
        software: "v1".into(),
        slots: 64,
        presence: Presence::Up,
        incarnation,
        seq,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left,
    }
}

/// Returns the changes after `known`, as pairs of the sequence number and the time left.
fn updates(directory: &Directory, known: u64, now: Duration) -> Vec<(u64, Duration)> {
    directory.updates_since(known, now).map(|t| (t.seq, t.cold_left)).collect()
}

fn directory_left() {
    let mut directory = Directory::default();
    directory.announce(announced(TARGET, 1, 1, SECOND * 6), SECOND);
    let known = directory.revision();
    expect_that!(updates(&directory, 0, SECOND * 3), eq(&[(1, SECOND * 4)]));
    // The same end, heard a little later.
    let late = Duration::from_millis(200);
    directory.announce(announced(TARGET, 1, 2, SECOND * 5), SECOND * 2 + late);
    expect_that!(updates(&directory, known, SECOND * 3), is_empty());
    directory.announce(announced(TARGET, 1, 3, Duration::ZERO), SECOND * 3);
    expect_that!(updates(&directory, known, SECOND * 3), eq(&[(3, Duration::ZERO)]));
    let known = directory.revision();
    directory.announce(announced(TARGET, 1, 4, Duration::ZERO), SECOND * 4);
    expect_that!(updates(&directory, known, SECOND * 4), is_empty());
    directory.announce(announced(TARGET, 1, 5, SECOND), SECOND * 5);
    expect_that!(updates(&directory, known, SECOND * 5), eq(&[(5, SECOND)]));
}

fn directory_late() {
    let mut directory = Directory::default();
    directory.announce(announced(TARGET, 1, 2, SECOND * 6), SECOND);
    let known = directory.revision();
    directory.announce(announced(TARGET, 1, 1, Duration::ZERO), SECOND);
    expect_that!(updates(&directory, known, SECOND), is_empty());
}

fn directory_return() {
    let mut directory = Directory::default();
    let mut known = 0;
    let mut passed = Vec::new();
    directory.announce(announced(TARGET, 1, 1, Duration::ZERO), SECOND);
    directory.tick(SECOND);
    for seconds in 2..7 {
        directory.tick(SECOND * seconds);
    }
    for seq in 2..6 {
        directory.announce(announced(TARGET, 1, seq, Duration::ZERO), SECOND * 7);
        passed.extend(updates(&directory, known, SECOND * 7).iter().map(|(seq, _)| *seq));
        known = directory.revision();
    }
    expect_that!(passed, eq(&[2, 3]));
}

fn table() -> TargetTable {
    let mut table = TargetTable::default();
    table.set_warm_ups(HashMap::from([("s".to_owned(), WARM_UP)]));
    table
}

fn hear(table: &mut TargetTable, announced: &AnnouncedTarget, now: Duration) {
    table.record_contact(now);
    table.record_cold(std::slice::from_ref(announced), now);
    table.apply_announcements(vec![announced.clone()]);
}

fn choose(table: &TargetTable, now: Duration) -> Option<Choice> {
    static NONE: LazyLock<HashSet<std::net::SocketAddr>> = LazyLock::new(HashSet::new);
    let query =
        Query { service: "s", prompt: None, software: None, tried: &[], homes: Homes::default() };
    table.choose(&query, &Locality { domain: "north", connected: &NONE }, now).ok()
}

/// Returns how many requests a second all gateways may send to the target, if that is limited.
fn rate(table: &mut TargetTable, now: Duration) -> Option<f64> {
    table.record_contact(now);
    Some(1.0 / choose(table, now)?.limited?.interval.as_secs_f64())
}

fn gateway_ramp() {
    let mut table = table();
    hear(&mut table, &announced(TARGET, 1, 1, SECOND * 2), SECOND);
    let mut at = |millis| rate(&mut table, Duration::from_millis(millis));
    expect_that!(at(2_999), some(near(10.0, 0.01)));
    expect_that!(at(3_100), some(near(20.0, 0.01)));
    expect_that!(at(3_600), some(near(40.0, 0.01)));
    expect_that!(at(4_100), none());
    hear(&mut table, &announced(TARGET, 2, 1, Duration::ZERO), SECOND * 5);
    expect_that!(rate(&mut table, SECOND * 5), none());
}

fn gateway_return() {
    let mut table = table();
    let warm = |seq| announced(TARGET, 1, seq, Duration::ZERO);
    hear(&mut table, &warm(1), SECOND);
    hear(&mut table, &AnnouncedTarget { presence: Presence::Down, ..warm(1) }, SECOND * 2);
    hear(&mut table, &warm(3), SECOND * 3);
    hear(&mut table, &warm(2), SECOND * 4);
    expect_that!(rate(&mut table, SECOND * 4), some(anything()));
    hear(&mut table, &warm(4), SECOND * 5);
    expect_that!(rate(&mut table, SECOND * 7), none());
}

/// Another writer may have announced a higher number.
fn gateway_dispute() {
    let mut table = table();
    hear(&mut table, &announced(TARGET, 1, 900, Duration::ZERO), SECOND);
    hear(&mut table, &announced(TARGET, 1, 2, SECOND * 4), SECOND * 2);
    expect_that!(rate(&mut table, SECOND * 2), none());
    hear(&mut table, &announced(TARGET, 1, 9, SECOND * 4), SECOND * 9);
    expect_that!(rate(&mut table, SECOND * 10), some(anything()));
}

fn gateway_evacuation() {
    let mut table = table();
    hear(&mut table, &announced(TARGET, 1, 1, Duration::ZERO), SECOND);
    table.record_domain_returned("south", SECOND);
    expect_that!(rate(&mut table, SECOND), none());
    table.record_domain_returned("north", SECOND);
    hear(&mut table, &announced(TARGET, 1, 2, Duration::ZERO), SECOND * 2);
    expect_that!(rate(&mut table, SECOND * 2), some(anything()));
    hear(&mut table, &announced(TARGET, 1, 3, Duration::ZERO), SECOND * 4);
    expect_that!(rate(&mut table, SECOND * 6), none());
}

fn gateway_doubt() {
    let mut table = table();
    let target = announced(TARGET, 1, 1, Duration::ZERO);
    hear(&mut table, &target, SECOND);
    table.record_closed(target.address);
    expect_that!(rate(&mut table, SECOND * 60), some(anything()));
    table.record_answer(TARGET, SECOND * 60);
    expect_that!(rate(&mut table, SECOND * 60 + SECOND / 2), some(anything()));
    expect_that!(rate(&mut table, SECOND * 62), none());
    // A target that goes on closing connections does not restart each time.
    for seconds in [70, 80, 90] {
        table.record_closed(target.address);
        table.record_answer(TARGET, SECOND * seconds);
        table.record_contact(SECOND * (seconds + 2));
    }
    table.record_closed(target.address);
    expect_that!(rate(&mut table, SECOND * 95), none());
}

fn rates() {
    let rate =
        |overshoot, slack, rate| 1.0 / Bounds { overshoot, slack }.interval(rate).as_secs_f64();
    expect_that!(rate(1.5, 5.0, 10.0), near(10.0, 0.01));
    expect_that!(rate(1.5, 5.0, 2.0), near(1.43, 0.01));
    expect_that!(rate(1.0, 0.0, 10.0), near(2.86, 0.01));
    expect_that!(rate(1.0, 0.0, 1.0), near(0.25, 0.01));
}

/// Why the target becomes cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Its process ends, and another one starts with the same id and address.
    Restart,
    /// It tells that it is cold, and goes on.
    ColdAgain,
    /// Its failure domain was evacuated, and it does not tell that it is cold.
    Return,
}

/// What the gateways do wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// They take no notice of connections that the target closes or refuses.
    NoDoubt,
    /// A gateway without contact relies on what it knew.
    NoCheck,
    /// Each uses the whole rate while no leader answers.
    WholeRate,
}

struct Gateway {
    table: TargetTable,
    turns: LocalTurns,
    replica: usize,
    known: u64,
    next_sync: Duration,
    used_at: Option<Duration>,
    learns_return_at: Duration,
    cut: std::ops::Range<Duration>,
}

/// A request that has yet to be sent or to be given up.
struct Waiting {
    gateway: usize,
    deadline: Duration,
}

struct Play {
    rng: ChaCha8Rng,
    event: Event,
    fault: Fault,
    gateways: Vec<Gateway>,
    replicas: Vec<Directory>,
    /// Announcements on their way to a replica.
    heartbeats: BTreeMap<(Duration, u64), (usize, AnnouncedTarget)>,
    sent: u64,
    /// Times of the changes of leader, and how long none answers then.
    leads: Vec<std::ops::Range<Duration>>,
    leaders: Vec<Turns>,
    queue: BTreeMap<(Duration, u64), Waiting>,
    arrivals: Vec<Duration>,
    down: std::ops::Range<Duration>,
    cold: std::ops::Range<Duration>,
    /// Whether the service has no other target.
    is_alone: bool,
    now: Duration,
}

const LENGTH: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(5);

impl Play {
    fn new(gateways: u32, event: Event, fault: Fault, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let begin = STEP * rng.random_range(1_400..1_800);
        let pause = match event {
            Event::Restart => STEP * rng.random_range(40..600),
            Event::ColdAgain => Duration::ZERO,
            Event::Return => SECOND * 3,
        };
        let cold = begin + pause..begin + pause + WARM_UP.time;
        let mut leads = Vec::new();
        let mut lead_begin = Duration::ZERO;
        while lead_begin < LENGTH {
            let last = Duration::from_millis(rng.random_range(1_000..8_000));
            leads.push(lead_begin..lead_begin + last);
            lead_begin += last + Duration::from_millis(rng.random_range(0..2_500));
        }
        let leaders = leads.iter().map(|lead| Turns::after_takeover(lead.start)).collect();
        let share_cut = rng.random_range(0.0..1.0);
        let gateways = (0..gateways).map(|number| {
            let mut table = table();
            let counts = GatewayCounts { reporting: gateways, known: gateways };
            table.apply_report(&Report::default(), counts);
            let cut_at = Duration::from_millis(rng.random_range(5_000..14_000));
            let is_cut = rng.random_bool(share_cut);
            Gateway {
                table,
                turns: LocalTurns::new(rng.random()),
                replica: usize::try_from(number).unwrap() % 3,
                known: 0,
                next_sync: Duration::from_millis(rng.random_range(0..250)),
                used_at: None,
                learns_return_at: cold.start + Duration::from_millis(rng.random_range(0..400)),
                cut: if is_cut { cut_at..cut_at + SECOND * 4 } else { cut_at..cut_at },
            }
        });
        let gateways = gateways.collect();
        Self {
            rng,
            event,
            fault,
            gateways,
            replicas: vec![Directory::default(); 3],
            heartbeats: BTreeMap::new(),
            sent: 0,
            leads,
            leaders,
            queue: BTreeMap::new(),
            arrivals: Vec::new(),
            down: begin..begin + pause,
            cold,
            is_alone: seed.is_multiple_of(2),
            now: Duration::ZERO,
        }
    }

    fn run(mut self, load: f64) -> Vec<Duration> {
        let mut burst = 1.0;
        while self.now < LENGTH {
            self.now += STEP;
            if self.now.as_millis().is_multiple_of(500) {
                burst = [0.5, 1.0, 1.0, 1.5][self.rng.random_range(0..4)];
            }
            self.announce();
            self.synchronize();
            if self.rng.random_bool((load * burst * STEP.as_secs_f64()).min(1.0)) {
                let gateway = self.rng.random_range(0..self.gateways.len());
                let deadline = self.now + SECOND;
                self.wait_until(self.now, Waiting { gateway, deadline });
            }
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let waiting = entry.remove();
                self.attempt(waiting);
            }
        }
        let Self { mut arrivals, cold, .. } = self;
        arrivals.retain(|at| cold.contains(at));
        arrivals.sort();
        arrivals
    }

    fn wait_until(&mut self, at: Duration, waiting: Waiting) {
        self.sent += 1;
        self.queue.insert((at, self.sent), waiting);
    }

    /// Returns how long the target stays cold.
    fn left(&self) -> Duration {
        let is_cold = self.cold.contains(&self.now);
        if is_cold { self.cold.end.saturating_sub(self.now) } else { Duration::ZERO }
    }

    fn is_down(&self) -> bool {
        self.event == Event::Restart && self.down.contains(&self.now)
    }

    /// Sends the announcements that are due to all replicas, with delays of their own, and
    /// delivers those that have arrived.
    fn announce(&mut self) {
        let phase = self.now.saturating_sub(self.cold.start).as_millis();
        let due = if self.now < self.cold.start {
            self.now.as_millis().is_multiple_of(1_000)
        } else {
            phase.is_multiple_of(1_000)
        };
        if due && !self.is_down() {
            let told = if self.event == Event::Return { Duration::ZERO } else { self.left() };
            let restarted = self.event == Event::Restart && self.now >= self.cold.start;
            let born = if restarted { 2 } else { 1 };
            let seq = u64::try_from(self.now.as_millis()).unwrap();
            let others = ["b", "c"].map(|id| announced(id, 1, seq, Duration::ZERO));
            let others = others.into_iter().filter(|_| !self.is_alone);
            for target in [announced(TARGET, born, seq, told)].into_iter().chain(others) {
                for replica in 0..3 {
                    self.sent += 1;
                    let delay = Duration::from_millis(self.rng.random_range(1..150));
                    let key = (self.now + delay, self.sent);
                    self.heartbeats.insert(key, (replica, target.clone()));
                }
            }
        }
        while let Some(entry) = self.heartbeats.first_entry().filter(|e| e.key().0 <= self.now) {
            let (replica, target) = entry.remove();
            self.replicas[replica].announce(target, self.now);
        }
    }

    fn synchronize(&mut self) {
        let now = self.now;
        let closes = self.event == Event::Restart && now < self.down.start + STEP;
        let closes = closes && self.down.contains(&now) && self.fault != Fault::NoDoubt;
        let address = announced(TARGET, 1, 1, Duration::ZERO).address;
        for gateway in &mut self.gateways {
            if closes && gateway.used_at.is_some_and(|at| now < at + SECOND * 4) {
                gateway.table.record_closed(address);
            }
            let returns = gateway.learns_return_at <= now && now < gateway.learns_return_at + STEP;
            if self.event == Event::Return && returns {
                gateway.table.record_domain_returned("north", now);
            }
            if now < gateway.next_sync || gateway.cut.contains(&now) {
                continue;
            }
            gateway.next_sync = now + Duration::from_millis(self.rng.random_range(250..300));
            let directory = &self.replicas[gateway.replica];
            for target in directory.updates_since(gateway.known, now) {
                hear(&mut gateway.table, &target, now);
            }
            gateway.known = directory.revision();
            gateway.table.record_contact(now);
            gateway.table.cold_targets(now);
        }
    }

    /// Does for a request what a gateway does, with the decisions of the library.
    fn attempt(&mut self, waiting: Waiting) {
        let now = self.now;
        let index = waiting.gateway;
        for _ in 0..4 {
            let gateway = &mut self.gateways[index];
            let evacuated = self.event == Event::Return && self.down.start <= now;
            let Some(choice) = choose(&gateway.table, now) else {
                return;
            };
            let excluded = evacuated && now < gateway.learns_return_at;
            if choice.id != TARGET || excluded || now >= waiting.deadline {
                return;
            }
            let Some(limited) = choice.limited else {
                return self.send(index, now);
            };
            if limited.needs_check && self.fault == Fault::NoCheck {
                return self.send(index, now);
            }
            if limited.needs_check {
                let left = self.left();
                let gateway = &mut self.gateways[index];
                gateway.table.begin_check(TARGET, now);
                if !(self.event == Event::Restart && self.down.contains(&now)) {
                    gateway.table.record_cold_stated(TARGET, left, now);
                }
                continue;
            }
            if limited.next_turn > now {
                let at = limited.next_turn.min(now + SECOND / 10);
                return self.wait_until(at, waiting);
            }
            let max_wait =
                if limited.has_alternative { Duration::ZERO } else { cold::MAX_RESERVATION };
            let request = TurnRequest {
                target: TARGET.into(),
                incarnation: 0,
                interval: limited.interval,
                max_wait,
            };
            let (reply, at) = self.ask(index, request);
            let gateway = &mut self.gateways[index];
            match reply {
                TurnReply::Granted { wait } => return self.send(index, at + wait),
                TurnReply::Denied { wait } => {
                    gateway.table.record_turn_denied(TARGET, at + wait.saturating_sub(max_wait));
                    if limited.has_alternative {
                        gateway.table.record_cold_denied(TARGET, at);
                    }
                }
            }
        }
    }

    /// Returns the reply to a request for a turn, and when the gateway has it.
    fn ask(&mut self, index: usize, request: TurnRequest) -> (TurnReply, Duration) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let mut at = now;
        if gateway.turns.asks_leader(now) {
            let lead = self.leads.iter().position(|lead| lead.contains(&now));
            let delay = Duration::from_millis(self.rng.random_range(1..165));
            let lead = lead.filter(|_| !gateway.cut.contains(&now));
            let reply = lead.map(|lead| self.leaders[lead].request(&request, now));
            if let Some(reply) = reply.filter(|_| delay.as_millis() < 150) {
                gateway.turns.record_answer();
                return (reply, now + delay);
            }
            at = now + Duration::from_millis(150);
            gateway.turns.record_silence(at);
        }
        let known = u32::try_from(self.gateways.len()).unwrap();
        let gateways = match self.fault {
            Fault::WholeRate => 1,
            Fault::None | Fault::NoDoubt | Fault::NoCheck => known * cold::LOCAL_SPACING,
        };
        (self.gateways[index].turns.request(request, gateways, at), at)
    }

    fn send(&mut self, index: usize, at: Duration) {
        let gateway = &mut self.gateways[index];
        if self.event == Event::Restart && self.down.contains(&at) {
            if self.fault != Fault::NoDoubt {
                gateway.table.record_refused(TARGET, at);
            }
            return;
        }
        gateway.used_at = Some(at);
        gateway.table.record_answer(TARGET, at);
        self.arrivals.push(at);
    }
}

fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let in_window =
        |start: &Duration| arrivals.iter().filter(|a| *a >= start && **a < *start + SECOND).count();
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Returns the most requests in a second over plays with different seeds.
fn most(gateways: u32, event: Event, fault: Fault) -> usize {
    let load = if event == Event::ColdAgain { 30.0 } else { 60.0 };
    let mut counts = Vec::new();
    for seed in 0..40 {
        let arrivals = Play::new(gateways, event, fault, seed).run(load);
        counts.push((most_in_a_second(&arrivals), arrivals.len()));
    }
    let served: usize = counts.iter().map(|(_, count)| count).sum();
    let most = counts.iter().map(|(most, _)| *most).max().unwrap();
    eprintln!(
        "{gateways} gateways, {event:?}, {fault:?}: most {most}, served {served}; {counts:?}"
    );
    most
}

fn check(gateways: u32, event: Event, fault: Fault) {
    expect_that!(most(gateways, event, fault), le(MAX_ARRIVALS));
}

fn exceed(gateways: u32, event: Event, fault: Fault) {
    expect_that!(most(gateways, event, fault), gt(MAX_ARRIVALS));
}
