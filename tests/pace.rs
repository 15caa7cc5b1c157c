//! Learned speeds of targets: a fleet of uneven engines in steps of 1 ms, compared with the
//! nominal speeds, and wrong evidence that must not lead requests astray.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            Prompt,
            admit::{self, Arrival},
            fleet::{Choice, GatewayCounts, Homes, Locality, Query, TargetTable, Wanted},
            pace::{Meter, Outcome, Pace, Paces, Pool, Sample, Sent, Subject, target_hash},
            pick::{Candidate, Outlook, RequestProfile, rank},
        },
        stage::Stage,
    },
    version::{
        directory::{AnnouncedTarget, Holding},
        traffic::{Report, Source, Traffic},
        view::Presence,
    },
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 100;
const ENGINES: usize = 60;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const OBJECTIVE: Duration = Duration::from_secs(1);
const DEADLINE_MS: u64 = 5_000;
const PROMPT_TOKENS: u32 = 2_368;
const CHUNK_TOKENS: f64 = 4_096.0;
const TOKENS_PER_MS: f64 = 22.0;
const TOKENS_PER_EVENT: u32 = 4;
/// Events of a short and of a long response; one in four is long.
const EVENTS: [u32; 4] = [6, 6, 6, 43];

/// Which speeds the gateways assume.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Nominal,
    /// Nominal speeds, but drawn among targets as with learned ones.
    Drawn,
    /// Learned by each gateway from its own responses.
    Own,
    /// Learned, with what other gateways report.
    Shared,
}

/// What slows engines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Each engine is 2.5 times slower for 600 ms of every 4 s.
    Spells,
    /// Engines with even numbers are 2.5 times slower every other second.
    Alternating,
    /// One engine is 8 times slower from second 10 to 20.
    Slow,
}

#[derive(Debug)]
struct Running {
    gateway: usize,
    choice: Choice,
    meter: Option<Meter>,
    sent_ms: u64,
    prompt_left: f64,
    tokens_left: u32,
}

#[derive(Debug, Default)]
struct Engine {
    requests: Vec<Running>,
    step_ends: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    all: f64,
    on_time: f64,
    refused: f64,
}

struct World {
    policy: Policy,
    trouble: Trouble,
    rate: f64,
    rng: ChaCha8Rng,
    gateways: Vec<TargetTable>,
    engines: Vec<Engine>,
    traffic: Traffic,
    tally: Tally,
    /// Requests sent to engine 0, by second.
    sent_to_first: Vec<u32>,
}

impl World {
    fn new(policy: Policy, trouble: Trouble, rate: f64, seed: u64) -> Self {
        let mut table = TargetTable::default();
        table.apply_announcements((0..ENGINES).map(announced).collect());
        let mut gateways = vec![table; GATEWAYS];
        for (gateway, number) in gateways.iter_mut().zip(seed * 1_000..) {
            gateway.paces().set_seed(number);
        }
        Self {
            policy,
            trouble,
            rate,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            traffic: Traffic::default(),
            tally: Tally::default(),
            sent_to_first: vec![0; 60],
        }
    }

    fn run(mut self, seconds: u64) -> Self {
        for now_ms in 0..seconds * 1_000 {
            for gateway in (0..GATEWAYS).filter(|g| now_ms % 250 == *g as u64 * 5 / 2) {
                self.synchronize(gateway, Duration::from_millis(now_ms));
            }
            if self.rng.random::<f64>() < self.rate / 1_000.0 {
                self.arrive(now_ms);
            }
            for engine in 0..ENGINES {
                self.step(engine, now_ms);
            }
        }
        self
    }

    fn synchronize(&mut self, gateway: usize, now: Duration) {
        let table = &mut self.gateways[gateway];
        let id = u32::try_from(gateway).unwrap();
        self.traffic.record(Source::Gateway(id), table.local_traffic(now), now);
        let report = self.traffic.excluding(id, now);
        table.apply_report(&report, GatewayCounts { reporting: 100, known: 100 });
        if self.policy == Policy::Shared {
            table.paces().apply(&report.paces, now);
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let (gateway, kind) = (self.rng.random_range(0..GATEWAYS), self.rng.random_range(0..4));
        let now = Duration::from_millis(now_ms);
        let prompt = Prompt { model: "m".into(), tokens: PROMPT_TOKENS, ..Prompt::default() };
        let query = Query {
            service: "llm",
            prompt: Some(&prompt),
            software: None,
            tried: &[],
            homes: Homes::default(),
        };
        let locality = Locality { domain: "a", connected: &HashSet::new() };
        let remaining = Duration::from_millis(DEADLINE_MS);
        let wanted = Wanted { count: 1, route: "r", remaining };
        let table = &mut self.gateways[gateway];
        let choice = table.choose_wanted(&query, &locality, &wanted, now).unwrap().remove(0);
        let arrival = Arrival {
            stage: Stage::New,
            objective: OBJECTIVE,
            remaining,
            estimate: choice.estimate,
            own_prefill: choice.own_prefill,
        };
        let counted = now_ms > 3_000;
        self.tally.all += f64::from(u8::from(counted));
        if admit::decide(&arrival).is_err() {
            self.tally.refused += f64::from(u8::from(counted));
            return;
        }
        table.record_sent(&choice, Some(&prompt));
        let learns = self.policy != Policy::Nominal;
        let meter = learns.then(|| table.paces().begin(choice.sent, now));
        let engine: usize = choice.id.trim_start_matches('t').parse().unwrap();
        self.sent_to_first[usize::try_from(now_ms / 1_000).unwrap()] += u32::from(engine == 0);
        self.engines[engine].requests.push(Running {
            gateway,
            prompt_left: f64::from(choice.prefill_tokens),
            choice,
            meter,
            sent_ms: now_ms,
            tokens_left: EVENTS[kind] * TOKENS_PER_EVENT,
        });
    }

    fn slowness(&self, engine: usize, now_ms: u64) -> f64 {
        match self.trouble {
            Trouble::Spells if (now_ms + engine as u64 * 709) % 4_000 < 600 => 2.5,
            Trouble::Alternating if engine.is_multiple_of(2) && now_ms % 2_000 < 1_000 => 2.5,
            Trouble::Slow if engine == 0 && (10_000..20_000).contains(&now_ms) => 8.0,
            _ => 1.0,
        }
    }

    /// Ends the step of an engine that is due, and begins the next one.
    fn step(&mut self, number: usize, now_ms: u64) {
        let speed = SPEEDS[number % 3] / self.slowness(number, now_ms);
        let now = Duration::from_millis(now_ms);
        let engine = &mut self.engines[number];
        #[expect(clippy::cast_precision_loss, reason = "below 2^52")]
        let now_f64 = now_ms as f64;
        if engine.step_ends.is_some_and(|end| end > now_f64) || engine.requests.is_empty() {
            return;
        }
        if engine.step_ends.take().is_some() {
            for running in engine.requests.iter_mut().filter(|r| r.prompt_left <= 0.0) {
                let table = &mut self.gateways[running.gateway];
                running.tokens_left -= 1;
                let produced = running.tokens_left + 1;
                let first = running.sent_ms != u64::MAX;
                if first {
                    table.record_first_output(&running.choice);
                    if running.sent_ms > 3_000 && now_ms - running.sent_ms <= 1_000 {
                        self.tally.on_time += 1.0;
                    }
                    running.sent_ms = u64::MAX;
                }
                if let Some(meter) = &mut running.meter
                    && (first || produced.is_multiple_of(TOKENS_PER_EVENT))
                    && let Some(sample) = meter.count(1, now)
                {
                    let sample = match (self.policy, sample) {
                        (Policy::Drawn, Sample::First(_)) => {
                            Sample::First(running.choice.sent.nominal_ms())
                        }
                        (Policy::Drawn, Sample::Pause(_)) => {
                            Sample::Pause(Pace::default().pause(running.choice.running))
                        }
                        (_, sample) => sample,
                    };
                    table.paces().record(meter, sample, now);
                }
                if running.tokens_left == 0 {
                    table.record_end(&running.choice);
                    if let Some(meter) = &running.meter {
                        table.paces().end(meter, Outcome::Served, now);
                    }
                }
            }
            engine.requests.retain(|r| r.tokens_left > 0);
        }
        let mut chunk = CHUNK_TOKENS;
        let mut decoding = 0.0;
        for running in &mut engine.requests {
            if running.prompt_left <= 0.0 {
                decoding += 1.0;
            }
            let read = chunk.min(running.prompt_left.max(0.0));
            chunk -= read;
            running.prompt_left -= read;
        }
        if !engine.requests.is_empty() {
            let took = 7.8 + 0.1 * decoding + (CHUNK_TOKENS - chunk) / TOKENS_PER_MS;
            engine.step_ends = Some(now_f64 + took / speed);
        }
    }

    fn share(&self) -> f64 {
        self.tally.on_time / self.tally.all
    }
}

fn announced(number: usize) -> AnnouncedTarget {
    AnnouncedTarget {
        id: format!("t{number}"),
        service: "llm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap())),
        domain: "a".into(),
        software: "v1".into(),
        slots: 64,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: vec![Holding { model: "m".into(), version: 1, adapters: Vec::new() }],
        cached_models: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

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
    learned_speeds_serve_more_in_time_than_nominal_ones => compare(Trouble::Spells, 0.4);
    one_gateway_is_enough_to_hear_of_a_slow_target => hearsay();
    one_gateway_with_wrong_figures_changes_little => wrong_report();
    targets_that_alternate_each_second_do_no_harm => compare(Trouble::Alternating, 0.4);
    a_target_that_is_slow_for_a_while_loses_and_regains_requests => slow_target();
    a_change_of_speed_is_followed => changes();
    a_single_outlier_changes_little => outlier();
    a_target_that_responds_at_once_attracts_a_bounded_share => instant_target();
    responses_without_events_tell_nothing => empty_responses();
    a_service_without_samples_has_nominal_speeds => no_samples();
    another_incarnation_starts_from_the_speed_of_the_others => incarnations();
    absurd_lengths_are_replaced_by_those_observed => lengths();
    the_target_where_the_response_ends_in_time_is_preferred => ends_in_time();
    memory_is_bounded => memory();
    a_plain_service_shows_its_concurrency => plain_service();
}

fn compare(trouble: Trouble, least_gain: f64) {
    let run = |policy| World::new(policy, trouble, 380.0, 1).run(15).share();
    let [nominal, drawn, own, shared] =
        [Policy::Nominal, Policy::Drawn, Policy::Own, Policy::Shared].map(run);
    println!(
        "{trouble:?}: first event on time {nominal:.3} with nominal speeds, {drawn:.3} if drawn \
         among targets, {own:.3} with learned speeds, {shared:.3} with shared ones"
    );
    expect_that!(shared, gt(nominal + least_gain));
    expect_that!(shared, gt(drawn));
}

fn slow_target() {
    let world = World::new(Policy::Shared, Trouble::Slow, 350.0, 1).run(26);
    let sent = |seconds: std::ops::Range<usize>| world.sent_to_first[seconds].iter().sum::<u32>();
    println!("on time {:.3}, sent to it each second {:?}", world.share(), world.sent_to_first);
    expect_that!(sent(12..20), lt(sent(2..10)));
    expect_that!(sent(20..25), gt(0));
}

const POOL_MODEL: Option<&str> = Some("m");

fn sent(id: &str, incarnation: u64) -> Sent {
    let pool = Pool::new("llm", POOL_MODEL);
    Sent {
        pool,
        subject: Subject::new(pool, target_hash(id, incarnation)),
        own_tokens: 2_000,
        queued_tokens: 0,
        running: 4,
        slots: 64,
    }
}

/// Sends a request whose first event takes `factor` times as long as at nominal speed.
fn observe(paces: &mut Paces, sent: Sent, factor: f64, now: Duration) {
    let mut meter = paces.begin(sent, now);
    let end = now + Duration::from_secs_f64(sent.nominal_ms() * factor / 1_000.0);
    let sample = meter.count(1, end).unwrap();
    paces.record(&meter, sample, end);
    paces.end(&meter, Outcome::Served, end);
}

fn pace(paces: &Paces, sent: &Sent) -> Pace {
    paces.pace(sent.subject, &paces.prior(sent.pool))
}

/// Returns how many times slower than at nominal speed prompts are expected to be.
fn slowness(paces: &Paces, sent: &Sent) -> f64 {
    Pace::default().prefill_rate / pace(paces, sent).prefill_rate
}

/// Observes targets of nominal speed for 10 s, four times a second each.
fn known(targets: &[&str]) -> (Paces, Duration) {
    let mut paces = Paces::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        for id in targets {
            observe(&mut paces, sent(id, 1), 1.0, now);
        }
        now += Duration::from_millis(250);
    }
    (paces, now)
}

fn changes() {
    for (factor, range) in [(2.4, 1.8..2.6), (8.0, 5.0..9.0)] {
        let (mut paces, mut now) = known(&["a", "b", "c"]);
        let end = now + Duration::from_secs(2);
        while now < end {
            for id in ["b", "c"] {
                observe(&mut paces, sent(id, 1), 1.0, now);
            }
            observe(&mut paces, sent("a", 1), factor, now);
            now += Duration::from_millis(250);
        }
        paces.end(&paces.clone().begin(sent("b", 1), now), Outcome::Failed, now);
        let followed = slowness(&paces, &sent("a", 1));
        expect_that!(range.contains(&followed), eq(true), "{factor}: {followed}");
        expect_that!(slowness(&paces, &sent("b", 1)), near(1.0, 0.1));
    }
}

fn outlier() {
    let (mut paces, now) = known(&["a", "b", "c"]);
    observe(&mut paces, sent("a", 1), 50.0, now);
    observe(&mut paces, sent("a", 1), 1.0, now + Duration::from_secs(10));
    expect_that!(slowness(&paces, &sent("a", 1)), lt(1.6));
}

fn instant_target() {
    let (mut paces, mut now) = known(&["a", "b", "c"]);
    for _ in 0..100 {
        observe(&mut paces, sent("a", 1), 0.001, now);
        now += Duration::from_millis(20);
    }
    expect_that!(slowness(&paces, &sent("a", 1)), gt(1.0 / 2.6));
    expect_that!(slowness(&paces, &sent("b", 1)), near(1.0, 0.2));
}

fn empty_responses() {
    let (mut paces, now) = known(&["a", "b"]);
    for step in 0..100 {
        let at = now + Duration::from_millis(step * 20);
        let meter = paces.begin(sent("a", 1), at);
        paces.end(&meter, Outcome::Served, at);
    }
    expect_that!(slowness(&paces, &sent("a", 1)), near(1.0, 0.1));
}

/// Has a gateway hear once, after a second, what these gateways report.
fn hear(hearer: &mut Paces, reporters: &[&Paces], now: Duration) {
    let mut traffic = Traffic::default();
    for (reporter, id) in reporters.iter().zip(1..) {
        let report = Report { paces: reporter.report(now), ..Report::default() };
        traffic.record(Source::Gateway(id), report, now);
    }
    let later = now + Duration::from_secs(1);
    traffic.record(Source::Gateway(9), Report::default(), now + Duration::from_millis(250));
    hearer.apply(&traffic.excluding(9, later).paces, later);
}

fn hearsay() {
    let (mut slow, mut now) = known(&["a", "b", "c"]);
    let (mut hearer, _) = known(&["a", "b", "c"]);
    for _ in 0..10 {
        observe(&mut slow, sent("a", 1), 4.0, now);
        now += Duration::from_millis(200);
    }
    hear(&mut hearer, &[&slow], now + Duration::from_millis(300));
    expect_that!(slowness(&hearer, &sent("a", 1)), all!(gt(1.8), lt(4.5)));
    // Ten seconds without reports.
    let later = now + Duration::from_secs(11);
    hearer.begin(sent("b", 1), later);
    expect_that!(slowness(&hearer, &sent("a", 1)), lt(1.3));
}

fn wrong_report() {
    let (mut wrong, now) = known(&["a", "b", "c"]);
    let (right, _) = known(&["a", "b", "c"]);
    let (mut hearer, _) = known(&["a", "b", "c"]);
    for _ in 0..10 {
        observe(&mut wrong, sent("a", 1), 0.01, now);
    }
    hear(&mut hearer, &[&right, &wrong, &right], now + Duration::from_millis(300));
    expect_that!(slowness(&hearer, &sent("a", 1)), near(1.0, 0.2));
}

fn no_samples() {
    let (paces, _) = known(&["a"]);
    let pool = Pool::new("llm", Some("other"));
    expect_that!(paces.prior(pool), eq(Pace::default()));
    expect_that!(Paces::default().prior(sent("a", 1).pool), eq(Pace::default()));
}

fn incarnations() {
    let (mut paces, mut now) = known(&["a", "b", "c"]);
    for _ in 0..40 {
        observe(&mut paces, sent("a", 1), 8.0, now);
        now += Duration::from_millis(250);
    }
    expect_that!(slowness(&paces, &sent("a", 1)), gt(4.0));
    expect_that!(slowness(&paces, &sent("a", 2)), near(1.0, 0.1));
}

fn lengths() {
    let mut paces = Paces::default();
    expect_that!(paces.expected_events("r", 100), none());
    for stated in [0, 1 << 31, 100, 200].repeat(20) {
        paces.record_length("r", stated, if stated == 200 { 40 } else { 20 });
    }
    for (stated, events) in [(0, 25.0), (1 << 31, 25.0), (u32::MAX, 25.0), (100, 20.0)] {
        expect_that!(paces.expected_events("r", stated), some(near(events, 2.5)), "{stated}");
    }
    let late = admit::decide_end(Stage::New, Duration::from_secs(1), Some(OBJECTIVE * 2));
    expect_that!(late.is_err(), eq(true));
    expect_that!(admit::decide_end(Stage::New, Duration::from_secs(1), None), ok(eq(())));
}

fn ends_in_time() {
    let candidate = |step_factor, pending_prefill| Candidate {
        slots: 64,
        pending_prefill,
        pace: Pace { step_factor, learned: true, ..Pace::default() },
        ..Candidate::default()
    };
    let profile = RequestProfile { tokens: 2_000, ..RequestProfile::default() };
    let candidates = [candidate(4.0, 0), candidate(1.0, 5_000)];
    for (events, expected) in [(None, 0), (Some(57.0), 1)] {
        let outlook = Outlook { events, remaining_ms: 3_000.0, draw: 1, gateways: 100 };
        expect_that!(rank(&profile, &outlook, &candidates, 1)[0].0, eq(expected));
    }
}

fn memory() {
    let mut paces = Paces::default();
    for number in 0..10_000_u64 {
        let now = Duration::from_millis(number);
        observe(&mut paces, sent("a", number), 1.0, now);
        paces.record_length(&number.to_string(), 1, 1);
    }
    expect_that!(paces.len(), le(4_500));
}

fn plain_service() {
    let pool = Pool::new("app", None);
    let subject = Subject::new(pool, target_hash("p", 1));
    let base = Sent { pool, subject, own_tokens: 0, queued_tokens: 0, running: 0, slots: 8 };
    let mut paces = Paces::default();
    for step in 0..200_u32 {
        let now = Duration::from_millis(u64::from(step) * 100);
        // Beyond four requests at once each takes three times as long.
        let running = step % 7;
        let meter = paces.begin(Sent { running, ..base }, now);
        let took = if running < 4 { 20 } else { 60 };
        paces.end(&meter, Outcome::Served, now + Duration::from_millis(took));
    }
    let pace = paces.pace(subject, &paces.prior(pool));
    expect_that!(pace.service_ms, all!(gt(10.0), lt(45.0)));
    expect_that!(pace.width, all!(ge(2.0), lt(6.5)));
}
