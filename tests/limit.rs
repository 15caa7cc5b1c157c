//! Rate and burst over all gateways, under lost, delayed and duplicated messages,
//! restarts of gateways and changes of owner.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts in tests are small"
)]

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use hornbeamdock::request::{
    limit::{
        GRANT_TTL, GrantId, GrantReply, GrantRequest, SPEND_TTL, Usage,
        holder::{Action, Charge, Demand, MAX_WAIT, WorkspaceGrants},
        owner::{Limit, Owner},
        share::{Share, ShareInputs},
    },
    stage::Stage,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);

/// Time within which each request must start.
const DEADLINE: Duration = Duration::from_secs(10);

const LIMIT: Limit = Limit { rate: 1_000, burst: 4_000 };

/// Parameters of a simulation.
#[derive(Clone, Copy)]
struct Plan {
    seed: u64,
    gateways: usize,
    /// Requested tokens per second, as a multiple of the rate; ignored with `floods`.
    demand_ratio: f64,
    /// Probability that a message is lost, and that one is duplicated.
    faults: f64,
    /// Longest delay of a message.
    delay: Duration,
    /// Time between restarts of a randomly chosen gateway, which loses its grants.
    restart_interval: Option<Duration>,
    /// Time between changes of owner.
    owner_change_interval: Option<Duration>,
    /// Fraction of the rate that a new owner grants at once.
    takeover_fraction: f64,
    /// Fraction of requests that use all tokens that they are charged. The others use
    /// a twentieth.
    full_use_fraction: f64,
    /// Whether requests arrive in floods, which are periods with one request per step,
    /// with pauses between them.
    floods: bool,
    span: Duration,
}

const BASELINE: Plan = Plan {
    seed: 1,
    gateways: 3,
    demand_ratio: 0.7,
    faults: 0.0,
    delay: Duration::from_millis(3),
    restart_interval: None,
    owner_change_interval: None,
    takeover_fraction: 0.0,
    full_use_fraction: 1.0,
    floods: false,
    span: Duration::from_mins(1),
};

/// Floods of large requests, with pauses in which the bucket refills.
const FLOODS: Plan = Plan { floods: true, full_use_fraction: 0.3, demand_ratio: 3.0, ..BASELINE };

enum Event {
    ToOwner {
        gateway: usize,
        generation: u64,
        sent: Duration,
        request: GrantRequest,
    },
    ToGateway {
        gateway: usize,
        generation: u64,
        sent: Duration,
        needs_tokens: bool,
        reply: GrantReply,
    },
    Finished {
        gateway: usize,
        generation: u64,
        charge: Charge,
        unused: u64,
    },
}

/// Tokens that a request uses, counted at its admission.
struct Spending {
    at: Duration,
    tokens: u64,
}

struct Simulation {
    plan: Plan,
    now: Duration,
    rng: ChaCha8Rng,
    owner: Owner,
    term: u64,
    /// Until when no owner replies, during a change.
    no_owner_until: Duration,
    /// By gateway, with the number of its restarts.
    holders: Vec<(u64, WorkspaceGrants)>,
    queue: Vec<(Duration, Event)>,
    /// Tokens charged, by request.
    requests: BTreeMap<u64, u64>,
    last_request: u64,
    spendings: Vec<Spending>,
    admitted: u64,
    refused: u64,
    /// Time, request and tokens charged.
    arrivals: Vec<(Duration, u64, u64)>,
    /// Requests refused.
    refusals: Vec<u64>,
    /// Whether a flood is in progress.
    flooding: bool,
    /// End of the current flood or pause.
    phase_end: Duration,
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut owner = Owner::new(1, Duration::ZERO);
        owner.create("w", LIMIT, Duration::ZERO);
        let holders =
            (0..plan.gateways).map(|_| (0, WorkspaceGrants::new("w", Duration::ZERO))).collect();
        Self {
            plan,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            owner,
            term: 1,
            no_owner_until: Duration::ZERO,
            holders,
            queue: Vec::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            spendings: Vec::new(),
            admitted: 0,
            refused: 0,
            arrivals: Vec::new(),
            refusals: Vec::new(),
            flooding: false,
            phase_end: Duration::ZERO,
        }
    }

    fn run(mut self) -> Self {
        let mut last_restart = Duration::ZERO;
        let mut last_owner_change = Duration::ZERO;
        while self.now < self.plan.span {
            self.now += STEP;
            let now = self.now;
            let (due, later) = self.queue.drain(..).partition(|(at, _)| *at <= now);
            self.queue = later;
            let due: Vec<(Duration, Event)> = due;
            for (_, event) in due {
                self.handle(event);
            }
            self.generate_requests();
            for gateway in 0..self.plan.gateways {
                let actions = self.holders[gateway].1.tick(now);
                self.carry_out(gateway, actions);
            }
            if self.plan.restart_interval.is_some_and(|every| now >= last_restart + every) {
                last_restart = now;
                let gateway = self.rng.random_range(0..self.plan.gateways);
                let generation = self.holders[gateway].0 + 1;
                self.holders[gateway] = (generation, WorkspaceGrants::new("w", now));
            }
            if self.plan.owner_change_interval.is_some_and(|every| now >= last_owner_change + every)
            {
                last_owner_change = now;
                self.term += 1;
                // The previous owner's lease must end and an election take place.
                self.no_owner_until = now + Duration::from_millis(700);
                self.owner = Owner::new(self.term, self.no_owner_until)
                    .with_takeover_fraction(self.plan.takeover_fraction);
            }
        }
        self
    }

    fn generate_requests(&mut self) {
        if self.plan.floods {
            if self.now >= self.phase_end {
                self.flooding = !self.flooding;
                let millis = if self.flooding { 50..600 } else { 200..5_000 };
                self.phase_end = self.now + Duration::from_millis(self.rng.random_range(millis));
            }
            if self.flooding {
                let size = self.rng.random_range(100..1_500_u64);
                self.send_request(size);
            }
            return;
        }
        let size = self.rng.random_range(20..400_u64);
        let probability = self.plan.demand_ratio * LIMIT.rate as f64 * STEP.as_secs_f64() / 210.0;
        if self.rng.random_bool(probability.min(1.0)) {
            self.send_request(size);
        }
    }

    fn send_request(&mut self, size: u64) {
        let gateway = self.rng.random_range(0..self.plan.gateways);
        self.last_request += 1;
        self.requests.insert(self.last_request, size);
        self.arrivals.push((self.now, self.last_request, size));
        let actions =
            self.holders[gateway].1.submit(self.last_request, size, self.now + DEADLINE, self.now);
        self.carry_out(gateway, actions);
    }

    fn carry_out(&mut self, gateway: usize, actions: Vec<Action>) {
        let generation = self.holders[gateway].0;
        for action in actions {
            match action {
                Action::Admit { request, charge } => {
                    let size = self.requests[&request];
                    // A request uses all that it was charged, or a twentieth.
                    let all = self.rng.random_bool(self.plan.full_use_fraction);
                    let used = if all { size } else { size / 20 };
                    self.spendings.push(Spending { at: self.now, tokens: used });
                    self.admitted += 1;
                    let end = self.now + Duration::from_millis(self.rng.random_range(10..4_000));
                    let finished =
                        Event::Finished { gateway, generation, charge, unused: size - used };
                    self.queue.push((end, finished));
                }
                Action::Refuse { request, .. } => {
                    self.refused += 1;
                    self.refusals.push(request);
                }
                Action::Send(grant_request) => {
                    let sent = self.now;
                    for _ in 0..self.copies() {
                        let at = self.delivery_time();
                        let request = grant_request.clone();
                        self.queue
                            .push((at, Event::ToOwner { gateway, generation, sent, request }));
                    }
                }
            }
        }
    }

    /// Returns how many times a message arrives: 0, 1 or 2.
    fn copies(&mut self) -> u32 {
        let kept = !self.rng.random_bool(self.plan.faults);
        u32::from(kept) * (1 + u32::from(self.rng.random_bool(self.plan.faults)))
    }

    fn delivery_time(&mut self) -> Duration {
        self.now + self.plan.delay.mul_f64(self.rng.random_range(0.1..1.0))
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::ToOwner { gateway, generation, sent, request } => {
                if now < self.no_owner_until {
                    return;
                }
                let needs_tokens = request.required > 0;
                let reply = self.owner.handle(&request, LIMIT, now);
                for _ in 0..self.copies() {
                    let at = self.delivery_time();
                    let event = Event::ToGateway { gateway, generation, sent, needs_tokens, reply };
                    self.queue.push((at, event));
                }
            }
            Event::ToGateway { gateway, generation, sent, needs_tokens, reply } => {
                if self.holders[gateway].0 == generation {
                    let actions =
                        self.holders[gateway].1.handle_reply(reply, sent, needs_tokens, now);
                    self.carry_out(gateway, actions);
                }
            }
            Event::Finished { gateway, generation, charge, unused } => {
                if self.holders[gateway].0 == generation {
                    self.holders[gateway].1.refund(&charge, unused);
                }
            }
        }
    }

    /// Counts the refused requests that a single exact bucket would have admitted. The
    /// bucket charges full sizes and gets no refunds.
    fn refused_within_rate(&self) -> usize {
        let mut level = LIMIT.burst as f64;
        let mut last = Duration::ZERO;
        let mut refused_within_rate = 0;
        for (at, request, size) in &self.arrivals {
            let accrued = LIMIT.rate as f64 * (*at).checked_sub(last).unwrap().as_secs_f64();
            level = (level + accrued).min(LIMIT.burst as f64);
            last = *at;
            if level >= *size as f64 {
                level -= *size as f64;
                refused_within_rate += usize::from(self.refusals.contains(request));
            }
        }
        refused_within_rate
    }
}

/// Checks that no window between two admissions exceeds burst and rate.
///
/// With `s(t)` the tokens spent up to and including `t`, and `r(t)` those spent before
/// the admission at `t`, this holds if `s(b) - rate * b` never exceeds the smallest
/// `r(a) - rate * a`, with `a` up to `b`, by more than the burst.
fn check_windows(spendings: &[Spending], seed: u64) {
    let mut spent = 0.0;
    let mut least = f64::INFINITY;
    for spending in spendings {
        let accrued = LIMIT.rate as f64 * spending.at.as_secs_f64();
        least = least.min(spent - accrued);
        spent += spending.tokens as f64;
        let window = spent - accrued - least;
        // This check itself rounds; allow for a millionth of a token.
        assert!(
            window <= LIMIT.burst as f64 + 1e-6,
            "seed {seed}: a window up to {:?} holds {window} tokens over its rate",
            spending.at,
        );
    }
}

macro_rules! cases {
    ($($name:ident: $plan:expr => $check:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                for seed in 0..8 {
                    let simulation = Simulation::new(Plan { seed, ..$plan }).run();
                    check_windows(&simulation.spendings, seed);
                    #[allow(clippy::redundant_closure_call)]
                    ($check)(&simulation);
                }
            }
        )+
    };
}

/// Most requests that may be refused although within the rate, per thousand.
const MAX_WRONG_PER_THOUSAND: usize = 1;

fn rarely_refuses_within_rate(simulation: &Simulation) {
    let wrong = simulation.refused_within_rate();
    println!(
        "seed {}: {} of {} refused, {wrong} within the rate",
        simulation.plan.seed,
        simulation.refused,
        simulation.arrivals.len()
    );
    expect_that!(wrong * 1_000, le(simulation.arrivals.len() * MAX_WRONG_PER_THOUSAND));
}

fn spends_half_the_rate(simulation: &Simulation) {
    let rate = LIMIT.rate as f64 * simulation.plan.span.as_secs_f64();
    let spent: u64 = simulation.spendings.iter().map(|s| s.tokens).sum();
    println!("seed {}: spent {spent} of {rate}", simulation.plan.seed);
    // At least half of the tokens that accrue must be spent while callers request
    // more than the rate.
    expect_that!(spent as f64, ge(rate * 0.5));
}

cases! {
    within_the_rate: BASELINE => rarely_refuses_within_rate;
    one_gateway: Plan { gateways: 1, ..BASELINE } => rarely_refuses_within_rate;
    twenty_gateways: Plan { gateways: 20, ..BASELINE } => rarely_refuses_within_rate;
    half_is_refunded: Plan {
        full_use_fraction: 0.5, demand_ratio: 1.2, ..BASELINE
    } => rarely_refuses_within_rate;
    several_times_the_rate: Plan { demand_ratio: 4.0, ..BASELINE } => spends_half_the_rate;
    several_times_the_rate_at_twenty_gateways: Plan {
        demand_ratio: 4.0, gateways: 20, ..BASELINE
    } => spends_half_the_rate;
    refunds_of_a_flood: Plan {
        demand_ratio: 6.0, full_use_fraction: 0.3, ..BASELINE
    } => |_: &Simulation| ();
    lost_and_duplicated_messages: Plan {
        demand_ratio: 3.0, faults: 0.2, full_use_fraction: 0.6, ..BASELINE
    } => spends_half_the_rate;
    delayed_messages: Plan {
        demand_ratio: 3.0, delay: Duration::from_secs(4), full_use_fraction: 0.6, ..BASELINE
    } => |_: &Simulation| ();
    killed_gateways: Plan {
        demand_ratio: 3.0, restart_interval: Some(Duration::from_secs(1)),
        full_use_fraction: 0.6, ..BASELINE
    } => |_: &Simulation| ();
    changing_owners: Plan {
        demand_ratio: 3.0, owner_change_interval: Some(Duration::from_secs(7)),
        full_use_fraction: 0.6, ..BASELINE
    } => |_: &Simulation| ();
    floods: FLOODS => |_: &Simulation| ();
    floods_that_use_all: Plan { full_use_fraction: 1.0, ..FLOODS } => |_: &Simulation| ();
    floods_at_twenty_gateways: Plan { gateways: 20, ..FLOODS } => |_: &Simulation| ();
    floods_with_delayed_messages: Plan {
        delay: Duration::from_millis(2_500), ..FLOODS
    } => |_: &Simulation| ();
    floods_with_killed_gateways: Plan {
        restart_interval: Some(Duration::from_millis(500)), ..FLOODS
    } => |_: &Simulation| ();
    floods_with_lost_messages: Plan { faults: 0.3, ..FLOODS } => |_: &Simulation| ();
    floods_and_changing_owners: Plan {
        owner_change_interval: Some(Duration::from_millis(5_300)), full_use_fraction: 1.0, ..FLOODS
    } => |_: &Simulation| ();
    all_faults_at_once: Plan {
        demand_ratio: 3.0,
        faults: 0.1,
        delay: Duration::from_secs(1),
        restart_interval: Some(Duration::from_secs(2)),
        owner_change_interval: Some(Duration::from_secs(9)),
        full_use_fraction: 0.4,
        ..BASELINE
    } => |_: &Simulation| ();
}

/// A grant held by an adversarial gateway.
/// Length of the windows, tolerance of the users' platform, and the part of it that the
/// limit itself takes.
const TOLERATED_WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: f64 = 0.1;
const TOLERANCE_OF_LIMIT: f64 = 0.02;

/// Owners change several times. Each grants half of the rate at once.
const QUICK_TAKEOVERS: Plan = Plan {
    takeover_fraction: 0.5,
    owner_change_interval: Some(Duration::from_millis(5_300)),
    ..BASELINE
};

macro_rules! takeover_cases {
    ($($name:ident: $plan:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                for seed in 0..8 {
                    let simulation = Simulation::new(Plan { seed, ..$plan }).run();
                    check_tolerated_windows(&simulation.spendings, seed);
                }
            }
        )+
    };
}

takeover_cases! {
    quick_takeovers_stay_within_the_tolerance: Plan { demand_ratio: 3.0, ..QUICK_TAKEOVERS };
    quick_takeovers_after_floods_stay_within_the_tolerance: Plan {
        floods: true, demand_ratio: 3.0, ..QUICK_TAKEOVERS
    };
    quick_takeovers_at_forty_gateways_stay_within_the_tolerance: Plan {
        gateways: 40, demand_ratio: 3.0, ..QUICK_TAKEOVERS
    };
    frequent_quick_takeovers_stay_within_the_tolerance: Plan {
        owner_change_interval: Some(Duration::from_millis(2_900)),
        floods: true,
        gateways: 12,
        ..QUICK_TAKEOVERS
    };
    quick_takeovers_with_faults_stay_within_the_tolerance: Plan {
        faults: 0.2,
        delay: Duration::from_millis(900),
        restart_interval: Some(Duration::from_secs(1)),
        demand_ratio: 3.0,
        ..QUICK_TAKEOVERS
    };
}

/// Checks that no window of [`TOLERATED_WINDOW`] exceeds the limit by more than the
/// tolerance that the limit leaves.
fn check_tolerated_windows(spendings: &[Spending], seed: u64) {
    let limit = LIMIT.burst as f64 + LIMIT.rate as f64 * TOLERATED_WINDOW.as_secs_f64();
    let allowed = limit * (1.0 + TOLERANCE - TOLERANCE_OF_LIMIT);
    for (index, first) in spendings.iter().enumerate() {
        let window = spendings[index..].iter().take_while(|s| s.at < first.at + TOLERATED_WINDOW);
        let tokens: u64 = window.map(|s| s.tokens).sum();
        assert!(
            tokens as f64 <= allowed,
            "seed {seed}: the window from {:?} holds {tokens} tokens, {allowed} are allowed",
            first.at
        );
    }
}

/// In the two seconds after a change of owner, callers that request half of the rate get
/// more than half of that; without the fraction they get nothing from the owner.
#[gtest]
fn new_owner_serves_callers_within_half_of_the_rate_at_once() {
    let spent_after_changes = |takeover_fraction| {
        let plan = Plan { demand_ratio: 0.5, takeover_fraction, ..QUICK_TAKEOVERS };
        let simulation = Simulation::new(plan).run();
        let interval = plan.owner_change_interval.unwrap().as_secs_f64();
        let in_takeover = |s: &&Spending| {
            let since_change = s.at.as_secs_f64() % interval;
            s.at.as_secs_f64() > interval && (0.7..2.7).contains(&since_change)
        };
        let spent: u64 = simulation.spendings.iter().filter(in_takeover).map(|s| s.tokens).sum();
        let changes = (plan.span.as_secs_f64() / interval).floor();
        spent as f64 / (changes * 2.0 * LIMIT.rate as f64)
    };
    expect_that!(spent_after_changes(0.5), gt(0.25));
    expect_that!(spent_after_changes(0.0), lt(0.1));
}

struct HeldGrant {
    id: GrantId,
    tokens: u64,
    spent: u64,
    refunded: u64,
    spend_until: Duration,
    /// Spendings not yet refunded, as indices into the list of all.
    spendings: Vec<usize>,
}

/// Runs gateways that request as many tokens as possible, spend at any time until
/// the grant expires, report late or never, and refund at any later time.
fn run_adversaries(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut owner = Owner::new(1, Duration::ZERO);
    owner.create("w", LIMIT, Duration::ZERO);
    let mut term = 1;
    let mut now = GRANT_TTL;
    let mut held: Vec<HeldGrant> = Vec::new();
    let mut spendings: Vec<Spending> = Vec::new();
    for _ in 0..3_000 {
        let pause = if rng.random_bool(0.05) { 6_000 } else { 120 };
        now += Duration::from_millis(rng.random_range(0..pause));
        if rng.random_bool(0.004) {
            term += 1;
            owner = Owner::new(term, now);
        }
        let required = rng.random_range(1..=LIMIT.burst);
        let request = GrantRequest {
            workspace: "w".into(),
            required,
            desired: LIMIT.burst,
            usage: Vec::new(),
        };
        if rng.random_bool(0.6)
            && let GrantReply::Granted { id, tokens } = owner.handle(&request, LIMIT, now)
        {
            let (spend_until, spendings) = (now + SPEND_TTL, Vec::new());
            held.push(HeldGrant { id, tokens, spent: 0, refunded: 0, spend_until, spendings });
        }
        for grant in &mut held {
            let left = grant.tokens - grant.spent;
            if left > 0 && now < grant.spend_until && rng.random_bool(0.3) {
                let tokens = rng.random_range(1..=left);
                grant.spent += tokens;
                grant.spendings.push(spendings.len());
                spendings.push(Spending { at: now, tokens });
            }
            if !grant.spendings.is_empty() && rng.random_bool(0.1) {
                // A request turns out to have used nothing.
                let chosen = rng.random_range(0..grant.spendings.len());
                let index = grant.spendings.swap_remove(chosen);
                grant.refunded += spendings[index].tokens;
                spendings[index].tokens = 0;
            }
            if rng.random_bool(0.2) {
                let closed = rng.random_bool(0.3);
                if closed {
                    grant.spend_until = Duration::ZERO;
                }
                let (spent, refunded) = (grant.spent, grant.refunded);
                let usage = vec![Usage { grant: grant.id, spent, refunded, closed }];
                let request =
                    GrantRequest { workspace: "w".into(), required: 0, desired: 0, usage };
                owner.handle(&request, LIMIT, now);
            }
        }
        held.retain(|g| now < g.spend_until + Duration::from_secs(20));
    }
    check_windows(&spendings, seed);
}

#[gtest]
fn adversarial_gateways_stay_within_the_limit() {
    for seed in 0..200 {
        run_adversaries(seed);
    }
}

fn request(required: u64) -> GrantRequest {
    GrantRequest { workspace: "w".into(), required, ..GrantRequest::default() }
}

/// Returns an owner whose bucket is full at `now`.
fn full_owner(now: Duration) -> Owner {
    let mut owner = Owner::new(1, Duration::ZERO);
    owner.create("w", LIMIT, Duration::ZERO);
    owner.handle(&request(0), LIMIT, now);
    owner
}

#[gtest]
fn new_owner_waits_until_earlier_grants_expire() {
    let now = Duration::from_secs(10);
    expect_that!(
        full_owner(now).handle(&request(4_000), LIMIT, now),
        matches_pattern!(GrantReply::Granted { .. })
    );
    let mut successor = Owner::new(2, now);
    let expired = now + GRANT_TTL;
    let early = expired.checked_sub(Duration::from_millis(1)).unwrap();
    expect_that!(
        successor.handle(&request(1), LIMIT, early),
        matches_pattern!(GrantReply::TakingOver { .. })
    );
    expect_that!(
        successor.handle(&request(1), LIMIT, expired),
        matches_pattern!(GrantReply::Denied { .. })
    );
    let accrued = expired + Duration::from_secs(1);
    expect_that!(
        successor.handle(&request(1_001), LIMIT, accrued),
        matches_pattern!(GrantReply::Denied { .. })
    );
    expect_that!(
        successor.handle(&request(1_000), LIMIT, accrued),
        matches_pattern!(GrantReply::Granted { .. })
    );
}

#[gtest]
fn outstanding_tokens_leave_no_room_to_accrue() {
    let now = Duration::from_secs(10);
    let mut owner = full_owner(now);
    expect_that!(
        owner.handle(&request(4_000), LIMIT, now),
        matches_pattern!(GrantReply::Granted { .. })
    );
    let later = (now + GRANT_TTL).checked_sub(Duration::from_millis(1)).unwrap();
    expect_that!(
        owner.handle(&request(1), LIMIT, later),
        matches_pattern!(GrantReply::Denied { .. })
    );
}

#[gtest]
fn late_grant_is_not_spent() {
    let sent = Duration::from_secs(10);
    let mut holder = WorkspaceGrants::new("w", sent);
    holder.submit(1, 100, sent + DEADLINE, sent);
    let granted = GrantReply::Granted { id: GrantId { term: 1, number: 1 }, tokens: 100 };
    let late = sent + SPEND_TTL;
    let actions = holder.handle_reply(granted, sent, true, late);
    let admitted = actions.iter().any(|a| matches!(a, Action::Admit { .. }));
    expect_that!(admitted, eq(false));
}

/// Returns the numbers of the requests that are admitted, in order.
fn admitted(actions: &[Action]) -> Vec<u64> {
    let admitted = actions.iter().filter_map(|action| match action {
        Action::Admit { request, .. } => Some(*request),
        _ => None,
    });
    admitted.collect()
}

#[gtest]
fn stream_that_has_begun_is_not_refused_for_tokens_that_new_requests_take() {
    let now = Duration::from_secs(10);
    let mut holder = WorkspaceGrants::new("w", now);
    let demand = |request, stage, denied_wait| Demand {
        request,
        tokens: 100,
        deadline: now + DEADLINE,
        denied_wait,
        stage,
    };
    let short_wait = Duration::from_millis(300);
    for request in 1..=2 {
        holder.submit_demand(demand(request, Stage::New, short_wait), now);
    }
    for request in 3..=4 {
        holder.submit_demand(demand(request, Stage::Begun, MAX_WAIT), now);
    }
    let granted = |number| GrantReply::Granted { id: GrantId { term: 1, number }, tokens: 100 };
    let actions = holder.handle_reply(granted(1), now, true, now);
    expect_that!(admitted(&actions), eq(&vec![3]));
    let wait = Duration::from_secs(1);
    let actions = holder.handle_reply(GrantReply::Denied { wait }, now, true, now);
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    expect_that!(refused, eq(2));
    let later = now + wait;
    let actions = holder.handle_reply(granted(2), later, true, later);
    expect_that!(admitted(&actions), eq(&vec![4]));
}

#[gtest]
fn stream_that_has_begun_is_not_refused_in_place_of_a_request_above_the_burst() {
    let now = Duration::from_secs(10);
    let mut holder = WorkspaceGrants::new("w", now);
    holder.submit(1, LIMIT.burst + 1, now + DEADLINE, now);
    let deadline = now + DEADLINE;
    let stage = Stage::Begun;
    let begun = Demand { request: 2, tokens: 100, deadline, denied_wait: MAX_WAIT, stage };
    holder.submit_demand(begun, now);
    let actions = holder.handle_reply(GrantReply::Unsatisfiable, now, true, now);
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { request, .. } => Some(*request),
        _ => None,
    });
    expect_that!(refused.collect::<Vec<_>>(), eq(&vec![1]));
}

#[gtest]
fn refund_does_not_restore_overflowed_tokens() {
    let now = Duration::from_secs(10);
    let mut owner = full_owner(now);
    let GrantReply::Granted { id, .. } = owner.handle(&request(4_000), LIMIT, now) else {
        panic!("a full bucket grants its burst");
    };
    let usage = |spent, refunded| GrantRequest {
        usage: vec![Usage { grant: id, spent, refunded, closed: true }],
        ..request(0)
    };
    owner.handle(&usage(4_000, 0), LIMIT, now);
    // The bucket fills up to its burst while the request runs, so there is no room
    // for a refund: the same burst can't be spent twice at once.
    let later = now + Duration::from_secs(10);
    expect_that!(
        owner.handle(&request(4_000), LIMIT, later),
        matches_pattern!(GrantReply::Granted { .. })
    );
    owner.handle(&usage(4_000, 4_000), LIMIT, later);
    expect_that!(
        owner.handle(&request(1), LIMIT, later),
        matches_pattern!(GrantReply::Denied { .. })
    );
}

/// A request that fits into a grant is admitted without a message to the owner.
#[gtest]
fn spending_from_a_grant_sends_no_message() {
    let now = Duration::from_secs(10);
    let mut holder = WorkspaceGrants::new("w", now);
    holder.submit(0, 10, now + DEADLINE, now);
    let granted = GrantReply::Granted { id: GrantId { term: 1, number: 1 }, tokens: 1_000 };
    holder.handle_reply(granted, now, true, now);
    for request in 1..=9 {
        let actions = holder.submit(request, 100, now + DEADLINE, now);
        expect_that!(matches!(actions[..], [Action::Admit { .. }]), eq(true));
    }
}

#[gtest]
fn immediate_refund_is_credited_in_full() {
    let now = Duration::from_secs(10);
    let mut owner = full_owner(now);
    let GrantReply::Granted { id, .. } = owner.handle(&request(4_000), LIMIT, now) else {
        panic!("a full bucket grants its burst");
    };
    let usage = vec![Usage { grant: id, spent: 4_000, refunded: 3_900, closed: true }];
    owner.handle(&GrantRequest { usage, ..request(0) }, LIMIT, now);
    expect_that!(
        owner.handle(&request(3_900), LIMIT, now),
        matches_pattern!(GrantReply::Granted { .. })
    );
}

/// Tokens of an expired grant do not return to the bucket.
#[gtest]
fn expired_grant_counts_as_spent() {
    let mut owner = Owner::new(1, Duration::ZERO);
    owner.create("w", LIMIT, Duration::ZERO);
    let request =
        GrantRequest { workspace: "w".into(), required: 4_000, ..GrantRequest::default() };
    let start = GRANT_TTL * 10;
    expect_that!(
        owner.handle(&request, LIMIT, start),
        matches_pattern!(GrantReply::Granted { .. })
    );
    let later = start + GRANT_TTL;
    expect_that!(owner.handle(&request, LIMIT, later), matches_pattern!(GrantReply::Denied { .. }));
    // Nothing accrued while the grant was outstanding, because level and grant
    // together were at the burst.
    let refilled = later + Duration::from_secs(4);
    expect_that!(
        owner.handle(&request, LIMIT, refilled),
        matches_pattern!(GrantReply::Granted { .. })
    );
}

/// Spends as many tokens as possible for `span`, while some gateways are cut off
/// from the owner and spend their shares. Returns the tokens spent.
fn spend_with_gateways_cut_off(cut_off_gateways: u32, rates_known: u32, span: Duration) -> u64 {
    const GATEWAYS: u32 = 13;
    const REQUEST: u64 = 20;
    let start = Duration::from_secs(20);
    let mut owner = full_owner(start);
    owner.set_non_reporting_fraction(f64::from(cut_off_gateways) / f64::from(GATEWAYS));
    let inputs = ShareInputs {
        rate: LIMIT.rate as f64,
        burst: LIMIT.burst as f64,
        gateways: GATEWAYS,
        reporting: rates_known,
        own_rate: 100.0,
        total_rate: 100.0 * f64::from(rates_known),
        seed: 0,
    };
    let seeded = |seed| Share::new(&ShareInputs { seed, ..inputs }, start);
    let mut shares: Vec<_> = (0..u64::from(cut_off_gateways)).map(seeded).collect();
    let mut spent = 0;
    let mut now = start;
    while now < start + span {
        let reply = owner.handle(&request(REQUEST), LIMIT, now);
        if let GrantReply::Granted { id, tokens } = reply {
            spent += tokens;
            let usage = Usage { grant: id, spent: tokens, refunded: 0, closed: true };
            owner.handle(&GrantRequest { usage: vec![usage], ..request(0) }, LIMIT, now);
        }
        let spends = shares.iter_mut().filter_map(|s| s.try_spend(REQUEST, now).then_some(REQUEST));
        spent += spends.sum::<u64>();
        now += STEP;
    }
    spent
}

/// Returns the most tokens that may be spent in a window of length `span`.
fn max_tokens(span: Duration) -> u64 {
    LIMIT.burst + LIMIT.rate * span.as_secs()
}

#[gtest]
fn owner_withholds_what_gateways_that_are_cut_off_spend() {
    let span = Duration::from_secs(8);
    for cut in 0..=13 {
        expect_that!(
            spend_with_gateways_cut_off(cut, cut.max(1), span),
            le(max_tokens(span)),
            "{cut} cut off"
        );
    }
}

#[gtest]
fn minority_that_is_cut_off_does_not_split_the_whole_rate() {
    let span = Duration::from_secs(8);
    // A gateway that is cut off knows its own rate and at most those of the others
    // that are cut off.
    for rates_known in 1..=6 {
        expect_that!(
            spend_with_gateways_cut_off(6, rates_known, span),
            le(max_tokens(span)),
            "{rates_known} rates known"
        );
    }
}

#[gtest]
fn request_within_the_burst_is_granted_while_gateways_are_absent() {
    let now = Duration::from_secs(20);
    let mut owner = full_owner(now);
    owner.set_non_reporting_fraction(0.9);
    let reply = owner.handle(&request(LIMIT.burst), LIMIT, now);
    expect_that!(reply, matches_pattern!(GrantReply::Granted { .. }));
}

/// There are more gateways than requests that fit the burst, and none of them
/// reaches the owner. Together they admit no more than the limit allows, and at
/// least half of it on average.
#[gtest]
fn many_small_shares_stay_within_the_limit() {
    const GATEWAYS: u32 = 107;
    const REQUEST: u64 = 600;
    const ROUNDS: u64 = 20;
    let mut all = 0;
    for round in 0..ROUNDS {
        let share = |at: u64| {
            let inputs = ShareInputs {
                rate: LIMIT.rate as f64,
                burst: LIMIT.burst as f64,
                gateways: GATEWAYS,
                reporting: GATEWAYS,
                own_rate: 100.0,
                total_rate: 100.0 * f64::from(GATEWAYS),
                seed: at + round * 1_000,
            };
            Share::new(&inputs, Duration::ZERO)
        };
        let mut shares: Vec<_> = (0..u64::from(GATEWAYS)).map(share).collect();
        let span = Duration::from_secs(8);
        let mut spent = 0;
        let mut now = Duration::ZERO;
        while now < span {
            let spends =
                shares.iter_mut().filter_map(|s| s.try_spend(REQUEST, now).then_some(REQUEST));
            spent += spends.sum::<u64>();
            now += Duration::from_millis(250);
        }
        expect_that!(spent, le(max_tokens(span)), "round {round}");
        all += spent;
    }
    expect_that!(all, ge(ROUNDS * max_tokens(Duration::from_secs(8)) / 2));
}

/// An idle holder is dropped and created again with the next request. While no
/// owner replies, this must not refill the holder's share: a new share is full.
#[gtest]
fn recreating_idle_holders_refills_no_share() {
    const REQUEST: u64 = 200;
    let inputs = ShareInputs {
        rate: LIMIT.rate as f64,
        burst: LIMIT.burst as f64,
        gateways: 1,
        reporting: 1,
        own_rate: 1.0,
        total_rate: 1.0,
        seed: 1,
    };
    let span = Duration::from_secs(8);
    let mut kept: Option<WorkspaceGrants> = None;
    let mut spent = 0;
    let mut now = Duration::ZERO;
    for request in 0..u64::try_from(span.as_millis() / 50).unwrap() {
        let holder = kept.get_or_insert_with(|| {
            let mut holder = WorkspaceGrants::new("w", now);
            holder.set_share(&inputs, now);
            holder
        });
        let mut actions = holder.submit(request, REQUEST, now + DEADLINE, now);
        if actions.iter().any(|a| matches!(a, Action::Send(_))) {
            holder.handle_no_reply(true);
            actions.extend(holder.tick(now));
        }
        if actions.iter().any(|a| matches!(a, Action::Admit { .. })) {
            spent += REQUEST;
        }
        holder.cancel(request);
        now += Duration::from_millis(50);
        holder.tick(now);
        if holder.is_idle() {
            kept = None;
        }
    }
    expect_that!(spent, le(max_tokens(span)));
    expect_that!(spent, ge(max_tokens(span) / 4));
}

/// The client of the owner repeats a request by itself, so a second one beside it adds load
/// to an owner that is late.
#[gtest]
fn unanswered_request_for_tokens_is_not_made_twice() {
    let mut holder = WorkspaceGrants::new("w", Duration::ZERO);
    let mut sent = 0;
    for request in 0..18 {
        let now = Duration::from_millis(50 * request);
        let actions = holder.submit(request, 10, now + DEADLINE, now);
        sent += actions.iter().filter(|a| matches!(a, Action::Send(_))).count();
    }
    expect_that!(sent, eq(1));
}
