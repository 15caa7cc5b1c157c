//! Decisions of a gateway: choice of target, tries, retry budget, prompt cache
//! and the fleet as it sees it.

use std::{collections::HashSet, net::SocketAddr, sync::LazyLock, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            Part, Prompt, admit,
            budget::{Bounds, Budget},
            cache::Cache,
            fleet::{Fleet, Gateways, Lack, Near},
            pick::{Ask, Candidate, pick},
            tries::{Failure, Next, Tries},
        },
        refusal::Ran,
    },
    version::{
        catalog::{Effect, Route, Share},
        directory::{AnnouncedTarget, Holding, Requirement},
        traffic::{Load, Report},
        view::Presence,
    },
};

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
    least_unread_tokens_win => pick_least_unread();
    kept_prompt_outweighs_a_little_load => pick_kept(500, 1);
    load_outweighs_a_kept_prompt => pick_kept(20_000, 0);
    all_gateways_expect_a_beginning_at_one_target => pick_home();
    shunned_target_is_the_last_resort => pick_shunned();
    full_target_is_avoided => pick_full();
    idempotent_request_is_sent_again => tries_idempotent();
    request_that_may_run_once_is_not_sent_again => tries_once();
    rejected_request_is_sent_again_and_not_run => tries_rejected();
    unreached_targets_end_at_last => tries_unreached();
    rejection_after_a_broken_try_promises_nothing => tries_mixed();
    budget_runs_out_and_comes_back => budget_window();
    budgets_of_all_gateways_keep_the_common_bound => budget_sum();
    kept_parts_count_from_the_start => cache_chain();
    cache_forgets_the_oldest => cache_bound();
    model_held_nowhere_is_lacking => fleet_lack();
    own_and_others_load_add_up => fleet_loads();
    denial_goes_before_the_announcement => fleet_denial();
    leaving_target_gets_nothing_new => fleet_leaving();
    restarted_target_starts_anew => fleet_restart();
    failing_target_is_avoided_for_a_while => fleet_shun();
    demand_is_reported_by_adapter => fleet_demand();
    prompts_that_would_be_late_are_refused => refuses_what_would_be_late();
    refused_caller_comes_back_in_time => comes_back_to_a_short_queue();
    nobody_is_held_for_long => limits_of_waiting();
}

fn candidate(hash: u64, unread: u32) -> Candidate {
    Candidate { hash, slots: 64, unread, ..Candidate::default() }
}

fn pick_least_unread() {
    let candidates = [candidate(1, 5_000), candidate(2, 100), candidate(3, 3_000)];
    let (at, _) = pick(&Ask { tokens: 1_000, ..Ask::default() }, &candidates).unwrap();
    expect_that!(at, eq(1));
}

/// The first target has read 2,000 tokens of the prompt and has `load` more to
/// read than the second.
fn pick_kept(load: u32, expected: usize) {
    let kept = Candidate { kept: 2_000, ..candidate(1, load) };
    let candidates = [candidate(2, 0), kept];
    let (at, _) = pick(&Ask { tokens: 2_400, ..Ask::default() }, &candidates).unwrap();
    expect_that!(at, eq(expected));
}

fn pick_home() {
    let ask = |beginning| Ask { tokens: 1_000, shared: 500, beginning };
    let mut targets = std::collections::BTreeSet::new();
    for beginning in 0..200 {
        let one = [candidate(1, 0), candidate(2, 0), candidate(3, 0)];
        let other = [candidate(3, 0), candidate(1, 0), candidate(2, 0)];
        let (at, _) = pick(&ask(beginning), &one).unwrap();
        let (elsewhere, _) = pick(&ask(beginning), &other).unwrap();
        expect_that!(one[at].hash, eq(other[elsewhere].hash));
        targets.insert(one[at].hash);
    }
    expect_that!(targets.len(), eq(3));
}

fn pick_shunned() {
    let shunned = Candidate { shunned: true, ..candidate(1, 0) };
    let ask = Ask { tokens: 1_000, ..Ask::default() };
    expect_that!(pick(&ask, &[shunned, candidate(2, 50_000)]).unwrap().0, eq(1));
    expect_that!(pick(&ask, &[shunned]).unwrap().0, eq(0));
    expect_that!(pick(&ask, &[]), none());
}

fn pick_full() {
    let full = Candidate { slots: 6, running: 8, ..Candidate::default() };
    let busy = Candidate { slots: 6, running: 5, ..Candidate::default() };
    expect_that!(pick(&Ask::default(), &[full, busy]).unwrap().0, eq(1));
}

fn route(effect: Effect, tries: u32, resumable: bool) -> Route {
    Route {
        name: "r".into(),
        host: "shop".into(),
        prefix: "/".into(),
        effect,
        timeout: SECOND,
        objective: SECOND,
        priority: 0,
        shares: vec![Share { service: "s".into(), weight: 1 }],
        tries,
        open: true,
        modelled: false,
        resumable,
    }
}

fn ran(next: &Next) -> Option<Ran> {
    match next {
        Next::Again(refusal) | Next::Refuse(refusal) => Some(refusal.ran()),
        Next::Elsewhere => None,
    }
}

fn tries_idempotent() {
    for (effect, resumable) in [(Effect::Idempotent, false), (Effect::Stream, true)] {
        let mut tries = Tries::new(&route(effect, 2, resumable));
        expect_that!(matches!(tries.failed(Failure::Broken), Next::Again(_)), eq(true));
        expect_that!(matches!(tries.failed(Failure::Broken), Next::Refuse(_)), eq(true));
    }
}

fn tries_once() {
    for (effect, resumable) in [(Effect::Once, false), (Effect::Stream, false)] {
        for failure in [Failure::Broken, Failure::Failed] {
            let mut tries = Tries::new(&route(effect, 3, resumable));
            let next = tries.failed(failure);
            expect_that!(matches!(next, Next::Refuse(_)), eq(true));
            expect_that!(ran(&next), some(eq(Ran::Unknown)));
        }
    }
}

fn tries_rejected() {
    let mut tries = Tries::new(&route(Effect::Once, 1, false));
    let next = tries.failed(Failure::Rejected);
    expect_that!(matches!(next, Next::Again(_)), eq(true));
    expect_that!(ran(&next), some(eq(Ran::No)));
    let mut last = next;
    while matches!(last, Next::Again(_)) {
        last = tries.failed(Failure::Misdirected);
    }
    expect_that!(ran(&last), some(eq(Ran::No)));
}

fn tries_unreached() {
    let mut tries = Tries::new(&route(Effect::Once, 1, false));
    let mut count = 0;
    while tries.failed(Failure::Unreached) == Next::Elsewhere {
        count += 1;
        assert_that!(count, lt(100));
    }
    expect_that!(tries.sent(), eq(0));
    expect_that!(tries.ran(), eq(Ran::No));
}

fn tries_mixed() {
    let mut tries = Tries::new(&route(Effect::Idempotent, 2, false));
    tries.failed(Failure::Broken);
    expect_that!(ran(&tries.failed(Failure::Rejected)), some(eq(Ran::Unknown)));
}

const BOUNDS: Bounds = Bounds { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

fn budget_window() {
    let mut budget = Budget::default();
    let taken = (0..100).filter(|_| budget.take(&BOUNDS, 1, SECOND)).count();
    expect_that!(taken, all![gt(0), le(10)]);
    expect_that!(budget.take(&BOUNDS, 1, SECOND * 5), eq(false));
    expect_that!(budget.take(&BOUNDS, 1, SECOND * 12), eq(true));
}

/// Thirteen gateways fail every request for a minute; in no window do their
/// retries exceed the common bound.
fn budget_sum() {
    let gateways = 13_u32;
    let mut budgets: Vec<_> = (0..gateways).map(|_| Budget::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..6_000_u32 {
        let now = Duration::from_millis(u64::from(step) * 10);
        let budget = &mut budgets[(step % gateways) as usize];
        budget.request(&BOUNDS, now);
        requests.push(now);
        if budget.take(&BOUNDS, gateways, now) {
            retries.push(now);
        }
    }
    for start in 0..50 {
        let from = SECOND * start;
        let within = |times: &[Duration]| {
            let count = times.iter().filter(|t| **t >= from && **t < from + BOUNDS.window).count();
            f64::from(u32::try_from(count).unwrap())
        };
        let most = BOUNDS.ratio * within(&requests) + BOUNDS.slack;
        expect_that!(within(&retries), le(most));
    }
    expect_that!(retries.len(), gt(100));
}

fn prompt(model: &str, adapter: Option<&str>, parts: &[(u64, u32)]) -> Prompt {
    Prompt {
        model: model.into(),
        adapter: adapter.map(Into::into),
        tokens: parts.iter().map(|p| p.1).sum(),
        output: 10,
        parts: parts.iter().map(|&(id, tokens)| Part { id, tokens }).collect(),
    }
}

fn cache_chain() {
    let mut cache = Cache::default();
    cache.note(&prompt("m", None, &[(1, 100), (2, 50), (3, 30)]));
    expect_that!(cache.kept(&prompt("m", None, &[(1, 100), (2, 50), (9, 30)])), eq(150));
    expect_that!(cache.kept(&prompt("m", None, &[(9, 100), (2, 50), (3, 30)])), eq(0));
    expect_that!(cache.kept(&prompt("m", Some("a"), &[(1, 100)])), eq(0));
    expect_that!(cache.kept(&prompt("n", None, &[(1, 100)])), eq(0));
}

fn cache_bound() {
    let mut cache = Cache::default();
    cache.note(&prompt("m", None, &[(1, 100)]));
    for id in 10..5_000 {
        cache.note(&prompt("m", None, &[(id, 100)]));
    }
    expect_that!(cache.kept(&prompt("m", None, &[(1, 100)])), eq(0));
    expect_that!(cache.kept(&prompt("m", None, &[(4_999, 100)])), eq(100));
}

fn announced(id: &str, port: u16, holdings: &[(&str, &[&str])]) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        slots: 8,
        presence: Presence::Up,
        incarnation: 1,
        seq: 1,
        holdings: holdings
            .iter()
            .map(|(model, adapters)| Holding {
                model: (*model).into(),
                version: 1,
                adapters: adapters.iter().map(|a| (*a).into()).collect(),
            })
            .collect(),
        cached_models: Vec::new(),
    }
}

fn near() -> Near<'static> {
    static NONE: LazyLock<HashSet<SocketAddr>> = LazyLock::new(HashSet::new);
    Near { domain: "a", open: &NONE }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.announce(vec![
        announced("one", 1, &[("m", &["a1"])]),
        announced("two", 2, &[("m", &[]), ("n", &[])]),
    ]);
    fleet
}

fn fleet_lack() {
    let fleet = fleet();
    let choose = |service: &str, prompt: &Prompt| {
        fleet.choose(service, Some(prompt), &[], &near(), SECOND).map(|c| c.id)
    };
    expect_that!(choose("llm", &prompt("n", None, &[(1, 10)])), ok(eq("two")));
    expect_that!(choose("llm", &prompt("m", Some("a1"), &[(1, 10)])), ok(eq("one")));
    expect_that!(choose("llm", &prompt("m", Some("a2"), &[(1, 10)])), err(eq(&Lack::Adapter)));
    expect_that!(choose("llm", &prompt("x", None, &[(1, 10)])), err(eq(&Lack::Model)));
    expect_that!(choose("other", &prompt("m", None, &[(1, 10)])), err(eq(&Lack::Target)));
}

fn fleet_loads() {
    let mut fleet = fleet();
    let prompt = prompt("m", None, &[(1, 4_000)]);
    let load = |target: &str, prompt| Load { target: target.into(), running: 1, prompt };
    let report = |loads| Report { loads, ..Report::default() };
    let gateways = Gateways { heard: 4, all: 6 };
    fleet.report(&report(vec![load("one", 90_000)]), gateways);
    expect_that!(fleet.gateways(), eq(gateways));
    let choice = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND).unwrap();
    expect_that!(choice.id, eq("two"));
    fleet.begin(&choice, Some(&prompt));
    expect_that!(fleet.own(SECOND).loads, elements_are![eq(&load("two", 4_000))]);
    fleet.read(&choice);
    fleet.end(&choice);
    expect_that!(fleet.own(SECOND).loads, is_empty());
}

fn fleet_denial() {
    let mut fleet = fleet();
    let prompt = prompt("n", None, &[(1, 10)]);
    let want = Requirement { service: "llm".into(), model: "n".into(), adapter: None };
    fleet.word("two", &want, false, SECOND);
    let lack = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND);
    expect_that!(lack, err(eq(&Lack::Model)));
    fleet.word("one", &want, true, SECOND);
    let choice = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND).unwrap();
    expect_that!(choice.id, eq("one"));
    let later = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND * 10).unwrap();
    expect_that!(later.id, eq("two"));
}

fn fleet_leaving() {
    let mut fleet = fleet();
    let leaving = AnnouncedTarget {
        presence: Presence::Leaving,
        seq: 2,
        ..announced("two", 2, &[("m", &[]), ("n", &[])])
    };
    fleet.announce(vec![leaving]);
    let lack = fleet.choose("llm", Some(&prompt("n", None, &[])), &[], &near(), SECOND);
    expect_that!(lack, err(eq(&Lack::Model)));
}

fn fleet_restart() {
    let mut fleet = fleet();
    let prompt = prompt("n", None, &[(1, 100)]);
    let choice = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND).unwrap();
    fleet.begin(&choice, Some(&prompt));
    fleet.announce(vec![AnnouncedTarget { incarnation: 2, ..announced("two", 2, &[("n", &[])]) }]);
    expect_that!(fleet.own(SECOND).loads, is_empty());
    fleet.end(&choice);
    let again = fleet.choose("llm", Some(&prompt), &[], &near(), SECOND).unwrap();
    expect_that!(again.unread, eq(100));
}

fn fleet_shun() {
    let mut fleet = fleet();
    let prompt = prompt("m", None, &[]);
    for _ in 0..3 {
        fleet.failed("one", SECOND);
    }
    let chosen =
        |fleet: &Fleet, now| fleet.choose("llm", Some(&prompt), &[], &near(), now).unwrap().id;
    expect_that!(chosen(&fleet, SECOND), eq("two"));
    fleet.answered("one");
    for _ in 0..3 {
        fleet.failed("two", SECOND);
    }
    expect_that!(chosen(&fleet, SECOND), eq("one"));
}

fn fleet_demand() {
    let mut fleet = fleet();
    let prompt = prompt("m", Some("a1"), &[(1, 1_000)]);
    fleet.arrived("llm", &prompt, SECOND);
    fleet.waits("llm", &prompt, true);
    let report = fleet.own(SECOND);
    expect_that!(report.demands.len(), eq(1));
    expect_that!(report.demands[0].adapter.as_deref(), some(eq("a1")));
    expect_that!(report.demands[0].waiting, eq(1));
    expect_that!(report.demands[0].work, gt(0));
    fleet.waits("llm", &prompt, false);
    expect_that!(fleet.own(SECOND * 10).demands, is_empty());
}

/// What callers of one engine got.
#[derive(Debug, Default)]
struct Got {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Prompts read for callers who had left.
    in_vain: u32,
    /// Longest time after which a caller was refused.
    held: Duration,
}

/// An engine that reads 25 prompt tokens a millisecond in the order of arrival
/// gets `load` times as many for a minute. Every caller has an objective of
/// 600 ms and leaves after 3.2 s.
fn overload(load: f64, take: impl Fn(Duration, Duration, Duration) -> bool) -> Got {
    let (objective, left) = (Duration::from_millis(600), Duration::from_millis(3_200));
    let read = Duration::from_millis(96);
    let mut got = Got::default();
    let mut free = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < SECOND * 60 {
        let estimate = free.saturating_sub(now) + read;
        if !take(objective, left, estimate) {
            got.refused += 1;
        } else if estimate <= objective {
            got.in_time += 1;
        } else if estimate <= left {
            got.late += 1;
        } else {
            got.in_vain += 1;
            got.held = left;
        }
        if take(objective, left, estimate) {
            free = now + estimate;
        }
        now += read.div_f64(load);
    }
    got
}

/// With prompts for several engines at one, those that are taken are answered
/// soon, and nothing is read in vain. The naive twin takes all.
fn refuses_what_would_be_late() {
    for load in [1.2, 2.0, 8.0] {
        let naive = overload(load, |_, _, _| true);
        let got =
            overload(load, |objective, left, estimate| estimate <= admit::limit(objective, left));
        expect_that!(got.in_vain, eq(0), "load {load}: {got:?}");
        expect_that!(got.held, eq(Duration::ZERO));
        let (served, twin) = (got.in_time + got.late, naive.in_time + naive.late);
        expect_that!(served, ge(twin), "load {load}: {got:?} against {naive:?}");
        expect_that!(served, ge(600), "the engine is kept busy: {got:?}");
    }
    let calm = overload(0.8, |objective, left, estimate| estimate <= admit::limit(objective, left));
    expect_that!(calm.refused, eq(0));
}

/// A caller who comes back when told finds the queue short enough.
fn comes_back_to_a_short_queue() {
    for estimate in [700, 2_000, 20_000].map(Duration::from_millis) {
        let objective = Duration::from_millis(600);
        let wait = admit::wait(objective, estimate);
        let then = estimate.saturating_sub(wait);
        expect_that!(then, le(admit::limit(objective, Duration::from_secs(2))));
        expect_that!(wait, le(estimate));
    }
}

/// Callers with late deadlines are not held for long, those with early ones not
/// beyond them.
fn limits_of_waiting() {
    let limit = |objective, left| {
        admit::limit(Duration::from_millis(objective), Duration::from_millis(left)).as_millis()
    };
    expect_that!(limit(600, 15_000), le(1_800));
    expect_that!(limit(600, 15_000), ge(600));
    expect_that!(limit(600, 400), eq(400));
    expect_that!(limit(600, 0), eq(0));
    let patience = |objective, left| {
        admit::patience(Duration::from_millis(objective), Duration::from_millis(left)).as_millis()
    };
    expect_that!(patience(600, 15_000), le(1_800));
    expect_that!(patience(600, 3_000), ge(limit(600, 3_000)));
    expect_that!(patience(600, 3_000), lt(3_000));
    // Without an objective only the deadline counts.
    expect_that!(patience(0, 4_000), eq(4_000));
    expect_that!(limit(0, 4_000), eq(4_000));
    expect_that!(limit(5_000, 12_000), le(12_000));
}
