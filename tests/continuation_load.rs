//! The load after all gateways have restarted: the callers of their streams come back at
//! once, together with new requests, and the gateways know only what they cause themselves
//! and what others reported up to a quarter of a second ago. Compares admission as it is
//! with one that treats the streams as new requests.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            Prompt, Segment,
            admit::{self, Arrival},
            fleet::{Choice, GatewayCounts, Homes, Locality, Query, TargetTable},
            pick,
        },
        stage::Stage,
    },
    version::{
        directory::{AnnouncedTarget, Holding},
        traffic::{Source, Traffic},
        view::Presence,
    },
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: u32 = 13;
const TARGETS: usize = 4;
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const STREAMS: usize = 120;
const NEW_AT_ONCE: usize = 80;
const NEW_AFTERWARDS: usize = 240;
const NEW_INTERVAL_MS: u64 = 25;
/// Time in which callers come back.
const RETURN_MS: u64 = 300;
const PROMPT_TOKENS: u32 = 1_600;
const REPORT_INTERVAL_MS: u64 = 250;
/// How long a target sends output.
const OUTPUT_MS: u64 = 1_200;
/// Longest time without output after which a caller leaves, and tries again.
const PATIENCE_MS: u64 = 2_400;
const OBJECTIVE: Duration = Duration::from_millis(600);
const NEW_DEADLINE_MS: u64 = 5_000;
/// Time that the callers of streams have left.
const REMAINING_MS: std::ops::Range<u64> = 1_000..4_000;
const MAX_RETRIES: u32 = 3;
const END_MS: u64 = 12_000;
const SEEDS: u64 = 16;
/// Least share of the streams that go on, in proportion to that of the new requests that
/// begin.
const LEAST_RATIO: f64 = 0.9;

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
    streams_go_on_as_often_as_new_requests_begin_after_a_restart_of_all_gateways =>
        compare_with_baseline();
}

/// Whether requests that continue a stream are told from new ones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    AsBegun,
    AsNew,
}

#[derive(Clone, Debug)]
struct Request {
    /// Software version that began the stream; `None` for a new request.
    software: Option<&'static str>,
    deadline_ms: u64,
    retries: u32,
    prompt: Prompt,
}

/// A prompt that waits at a target.
#[derive(Debug)]
struct Waiting {
    urgency: u32,
    request: Request,
    gateway: usize,
    choice: Choice,
    left_ms: u64,
}

#[derive(Debug, Default)]
struct Target {
    /// In order of arrival.
    waiting: Vec<Waiting>,
    reading: Option<(Waiting, u64)>,
}

/// Requests served, of all of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    all: u32,
    served: u32,
}

impl Outcome {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.all)
    }
}

struct World {
    policy: Policy,
    rng: ChaCha8Rng,
    gateways: Vec<TargetTable>,
    targets: Vec<Target>,
    traffic: Traffic,
    /// Requests by their time of arrival.
    arrivals: BTreeMap<u64, Vec<Request>>,
    /// Ends of outputs, by time.
    ends: BTreeMap<u64, Vec<(usize, Choice)>>,
    streams: Outcome,
    fresh: Outcome,
}

impl World {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut table = TargetTable::default();
        table.apply_announcements((0..TARGETS).map(announced).collect());
        let mut world = Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways: vec![table; GATEWAYS as usize],
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            traffic: Traffic::default(),
            arrivals: BTreeMap::new(),
            ends: BTreeMap::new(),
            streams: Outcome::default(),
            fresh: Outcome::default(),
        };
        for number in 0..STREAMS {
            let at = world.rng.random_range(0..RETURN_MS);
            let deadline_ms = at + world.rng.random_range(REMAINING_MS);
            world.add(at, Some(VERSIONS[number % 2]), deadline_ms);
        }
        for _ in 0..NEW_AT_ONCE {
            let at = world.rng.random_range(0..RETURN_MS);
            world.add(at, None, at + NEW_DEADLINE_MS);
        }
        for number in 0..NEW_AFTERWARDS as u64 {
            let at = RETURN_MS + number * NEW_INTERVAL_MS;
            world.add(at, None, at + NEW_DEADLINE_MS);
        }
        world
    }

    fn add(&mut self, at: u64, software: Option<&'static str>, deadline_ms: u64) {
        let segment = Segment { id: self.rng.random(), tokens: PROMPT_TOKENS };
        let prompt = Prompt {
            model: "m".into(),
            tokens: PROMPT_TOKENS,
            segments: vec![segment],
            ..Prompt::default()
        };
        self.outcome(software).all += 1;
        let request = Request { software, deadline_ms, retries: 0, prompt };
        self.arrivals.entry(at).or_default().push(request);
    }

    fn outcome(&mut self, software: Option<&'static str>) -> &mut Outcome {
        if software.is_some() { &mut self.streams } else { &mut self.fresh }
    }

    fn run(&mut self) {
        for now_ms in 0..END_MS {
            for (gateway, choice) in self.ends.remove(&now_ms).unwrap_or_default() {
                self.gateways[gateway].record_end(&choice);
            }
            for gateway in 0..GATEWAYS {
                if now_ms % REPORT_INTERVAL_MS == u64::from(gateway) * REPORT_INTERVAL_MS / 13 {
                    self.synchronize(gateway, Duration::from_millis(now_ms));
                }
            }
            for request in self.arrivals.remove(&now_ms).unwrap_or_default() {
                self.arrive(request, now_ms);
            }
            for target in 0..TARGETS {
                self.read(target, now_ms);
            }
        }
    }

    fn synchronize(&mut self, gateway: u32, now: Duration) {
        let table = &mut self.gateways[gateway as usize];
        self.traffic.record(Source::Gateway(gateway), table.local_traffic(now), now);
        let counts = GatewayCounts { reporting: GATEWAYS, known: GATEWAYS };
        table.apply_report(&self.traffic.excluding(gateway, now), counts);
    }

    fn arrive(&mut self, request: Request, now_ms: u64) {
        let gateway = self.rng.random_range(0..GATEWAYS as usize);
        let now = Duration::from_millis(now_ms);
        let query = Query {
            service: "adviser",
            prompt: Some(&request.prompt),
            software: request.software,
            tried: &[],
            homes: Homes::default(),
        };
        let locality = Locality { domain: "a", connected: &HashSet::new() };
        let choice = self.gateways[gateway].choose(&query, &locality, now).unwrap();
        let stage = match (request.software, self.policy) {
            (Some(_), Policy::AsBegun) => Stage::Begun,
            _ => Stage::New,
        };
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let arrival = Arrival {
            stage,
            objective: OBJECTIVE,
            remaining: Duration::from_millis(remaining_ms),
            estimate: choice.estimate,
            own_prefill: pick::prefill_time(choice.prefill_tokens),
        };
        match admit::decide(&arrival) {
            Ok(()) => {
                self.gateways[gateway].record_sent(&choice, Some(&request.prompt));
                let target: usize = choice.id.trim_start_matches('t').parse().unwrap();
                let left_ms = request.deadline_ms.min(now_ms + PATIENCE_MS);
                let urgency = stage.urgency(0);
                let waiting = Waiting { urgency, request, gateway, choice, left_ms };
                self.targets[target].waiting.push(waiting);
            }
            Err(late) => {
                let wait = u64::try_from(late.retry_after.as_millis()).unwrap();
                self.come_back(request, now_ms + wait.min(remaining_ms / 3), now_ms);
            }
        }
    }

    /// Has a caller send its request again at `at`, if it has time and tries left.
    fn come_back(&mut self, request: Request, at: u64, now_ms: u64) {
        if request.retries < MAX_RETRIES && at < request.deadline_ms {
            let request = Request { retries: request.retries + 1, ..request };
            self.arrivals.entry(at.max(now_ms + 1)).or_default().push(request);
        }
    }

    /// Reads the prompts at a target one after the other, the most urgent one first.
    fn read(&mut self, target: usize, now_ms: u64) {
        while self.targets[target].reading.as_ref().is_none_or(|(_, done)| *done <= now_ms) {
            if let Some((read, _)) = self.targets[target].reading.take() {
                self.begin_output(read, now_ms);
            }
            let waiting = &mut self.targets[target].waiting;
            let next = waiting.iter().enumerate().min_by_key(|(index, w)| (w.urgency, *index));
            let Some((index, _)) = next else {
                return;
            };
            let next = waiting.remove(index);
            if next.left_ms <= now_ms {
                self.leave(next, now_ms);
                continue;
            }
            let time = pick::prefill_time(next.choice.prefill_tokens);
            let done = now_ms + u64::try_from(time.as_millis()).unwrap();
            self.targets[target].reading = Some((next, done));
        }
    }

    fn begin_output(&mut self, read: Waiting, now_ms: u64) {
        if read.left_ms <= now_ms {
            return self.leave(read, now_ms);
        }
        self.outcome(read.request.software).served += 1;
        self.gateways[read.gateway].record_first_output(&read.choice);
        self.ends.entry(now_ms + OUTPUT_MS).or_default().push((read.gateway, read.choice));
    }

    /// Frees the place of a request whose caller has left, and may try again.
    fn leave(&mut self, left: Waiting, now_ms: u64) {
        self.gateways[left.gateway].record_first_output(&left.choice);
        self.gateways[left.gateway].record_end(&left.choice);
        self.come_back(left.request, now_ms, now_ms);
    }
}

fn announced(number: usize) -> AnnouncedTarget {
    AnnouncedTarget {
        id: format!("t{number}"),
        service: "adviser".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap())),
        domain: "a".into(),
        software: VERSIONS[number % 2].into(),
        slots: 64,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: vec![Holding { model: "m".into(), version: 1, adapters: Vec::new() }],
        cached_models: Vec::new(),
        cold_left: std::time::Duration::ZERO,
    }
}

fn compare_with_baseline() {
    for seed in 1..=SEEDS {
        let [product, baseline] = [Policy::AsBegun, Policy::AsNew].map(|policy| {
            let mut world = World::new(policy, seed);
            world.run();
            (world.streams, world.fresh)
        });
        let ratio = |(streams, fresh): (Outcome, Outcome)| streams.share() / fresh.share();
        let total = |(streams, fresh): (Outcome, Outcome)| streams.served + fresh.served;
        println!("seed {seed}: {product:?}, as new requests {baseline:?}");
        expect_that!(ratio(product), ge(LEAST_RATIO), "seed {seed}");
        expect_that!(total(product), ge(total(baseline)), "seed {seed}");
        // Otherwise the load tells the two apart no longer.
        expect_that!(ratio(baseline), lt(LEAST_RATIO), "seed {seed}");
    }
}
