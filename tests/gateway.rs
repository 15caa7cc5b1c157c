//! Decisions of a gateway: choice of a target, attempts, retry budget, prefix
//! cache, fleet and admission.

use std::{collections::HashSet, net::SocketAddr, sync::LazyLock, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    request::{
        gateway::{
            Prompt, Segment,
            admit::{self, Arrival},
            budget::{Bounds, Budget},
            cache::PrefixCache,
            fleet::{
                Choice, GatewayCounts, Homes, Limited, Locality, Query, TargetTable, Unavailable,
            },
            inquiry::Inquiry,
            pick::{Candidate, RequestProfile, pick},
            tries::{FailedAttempts, Failure, Next},
        },
        refusal::Ran,
        stage::Stage,
    },
    version::{
        catalog::{Route, RouteKind, WeightedService},
        directory::{AnnouncedTarget, Holding, Requirement},
        placer::Availability,
        traffic::{Load, Report, Source, Traffic},
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
    least_pending_prefill_is_chosen => pick_least_pending();
    cached_prefix_outweighs_small_load => pick_cached(500, 1);
    large_load_outweighs_cached_prefix => pick_cached(20_000, 0);
    all_gateways_prefer_one_target_for_a_shared_prefix => pick_preferred();
    target_in_backoff_is_chosen_only_without_alternative => pick_in_backoff();
    full_target_is_avoided => pick_full();
    idempotent_request_is_retried => attempts_idempotent();
    request_that_may_run_once_is_not_retried => attempts_once();
    rejected_request_is_retried_and_counts_as_not_run => attempts_rejected();
    attempts_that_were_not_sent_are_bounded => attempts_not_sent();
    rejection_after_an_incomplete_attempt_leaves_outcome_unknown => attempts_mixed();
    budget_refills_after_the_window => budget_window();
    budgets_of_all_gateways_stay_within_the_common_bound => budget_sum();
    cached_tokens_count_from_the_prompt_start => cache_prefixes();
    cache_evicts_least_recently_used => cache_bound();
    missing_model_or_adapter_is_reported => fleet_unavailable();
    local_and_remote_load_count => fleet_loads();
    target_of_the_software_version_is_chosen => fleet_software();
    override_takes_precedence_over_announcement => fleet_override();
    leaving_target_gets_no_new_requests => fleet_leaving();
    leaving_target_is_not_revived_by_a_replica_that_lags => fleet_stale_presence();
    restarted_target_is_not_replaced_by_its_earlier_incarnation => fleet_stale_incarnation();
    incarnation_that_no_replica_names_any_more_is_replaced => fleet_dispute();
    only_targets_that_changed_are_reported => fleet_changes();
    restarted_target_has_no_load_or_cache => fleet_restart();
    failing_target_is_avoided_until_success => fleet_backoff();
    target_that_refuses_connections_is_not_chosen_for_a_second => fleet_refusing();
    target_without_a_free_turn_is_chosen_only_without_alternative => fleet_turns();
    limit_ends_with_a_response_that_states_none => fleet_limit_end();
    limit_holds_for_a_target_that_was_wrongly_announced_as_down => fleet_limit_return();
    target_that_left_is_not_used_again_after_it_was_announced_as_down => fleet_leaving_return();
    requests_count_at_a_target_that_was_wrongly_announced_as_down => fleet_load_return();
    demand_is_reported_per_adapter => fleet_demand();
    absurd_prompt_sizes_do_not_make_a_target_look_free => fleet_absurd_sizes();
    changes_of_targets_do_not_multiply_questions_to_the_leader => inquiry_interval();
    request_asks_at_once_for_an_adapter_of_a_loaded_model => inquiry_new_lack();
    request_asks_again_when_the_announced_load_should_have_ended => inquiry_after_load();
    prompts_that_would_be_late_are_refused => admission_under_overload();
    refused_caller_returns_to_a_short_queue => retry_after_short_queue();
    waiting_is_bounded_by_objective_and_deadline => admission_bounds();
    stream_that_has_begun_is_not_refused_for_new_requests => admission_of_begun();
}

fn candidate(hash: u64, pending_prefill: u32) -> Candidate {
    Candidate { hash, slots: 64, pending_prefill, ..Candidate::default() }
}

fn pick_least_pending() {
    let candidates = [candidate(1, 5_000), candidate(2, 100), candidate(3, 3_000)];
    let (index, _) =
        pick(&RequestProfile { tokens: 1_000, ..RequestProfile::default() }, &candidates).unwrap();
    expect_that!(index, eq(1));
}

/// The second candidate has 2,000 tokens of the prompt cached, and `load` more
/// tokens pending than the first.
fn pick_cached(load: u32, expected: usize) {
    let cached = Candidate { cached_tokens: 2_000, ..candidate(1, load) };
    let candidates = [candidate(2, 0), cached];
    let (index, _) =
        pick(&RequestProfile { tokens: 2_400, ..RequestProfile::default() }, &candidates).unwrap();
    expect_that!(index, eq(expected));
}

fn pick_preferred() {
    let profile =
        |shared_prefix| RequestProfile { tokens: 1_000, shared_tokens: 500, shared_prefix };
    let mut targets = std::collections::BTreeSet::new();
    for shared_prefix in 0..200 {
        let candidates = [candidate(1, 0), candidate(2, 0), candidate(3, 0)];
        let reordered = [candidate(3, 0), candidate(1, 0), candidate(2, 0)];
        let (index, _) = pick(&profile(shared_prefix), &candidates).unwrap();
        let (reordered_index, _) = pick(&profile(shared_prefix), &reordered).unwrap();
        expect_that!(candidates[index].hash, eq(reordered[reordered_index].hash));
        targets.insert(candidates[index].hash);
    }
    expect_that!(targets.len(), eq(3));
}

fn pick_in_backoff() {
    let failing = Candidate { in_backoff: true, ..candidate(1, 0) };
    let profile = RequestProfile { tokens: 1_000, ..RequestProfile::default() };
    expect_that!(pick(&profile, &[failing, candidate(2, 50_000)]).unwrap().0, eq(1));
    expect_that!(pick(&profile, &[failing]).unwrap().0, eq(0));
    expect_that!(pick(&profile, &[]), none());
}

fn pick_full() {
    let full = Candidate { slots: 6, running: 8, ..Candidate::default() };
    let busy = Candidate { slots: 6, running: 5, ..Candidate::default() };
    expect_that!(pick(&RequestProfile::default(), &[full, busy]).unwrap().0, eq(1));
}

fn route(kind: RouteKind, max_attempts: u32, resumable: bool) -> Route {
    Route {
        name: "r".into(),
        host: "shop".into(),
        prefix: "/".into(),
        kind,
        timeout: SECOND,
        latency_objective: SECOND,
        priority: 0,
        split: vec![WeightedService { service: "s".into(), weight: 1 }],
        max_attempts,
        public: true,
        names_model: false,
        resumable,
        gap_objective: std::time::Duration::ZERO,
        homes: Vec::new(),
    }
}

fn ran(next: &Next) -> Option<Ran> {
    match next {
        Next::RetryWithinBudget(refusal) | Next::Refuse(refusal) => Some(refusal.ran()),
        Next::Retry => None,
    }
}

fn attempts_idempotent() {
    for (kind, resumable) in [(RouteKind::Idempotent, false), (RouteKind::Streaming, true)] {
        let mut attempts = FailedAttempts::new(&route(kind, 2, resumable));
        expect_that!(
            matches!(attempts.record_failure(Failure::Incomplete), Next::RetryWithinBudget(_)),
            eq(true)
        );
        expect_that!(
            matches!(attempts.record_failure(Failure::Incomplete), Next::Refuse(_)),
            eq(true)
        );
    }
}

fn attempts_once() {
    for (kind, resumable) in [(RouteKind::NonIdempotent, false), (RouteKind::Streaming, false)] {
        for failure in [Failure::Incomplete, Failure::ErrorResponse] {
            let mut attempts = FailedAttempts::new(&route(kind, 3, resumable));
            let next = attempts.record_failure(failure);
            expect_that!(matches!(next, Next::Refuse(_)), eq(true));
            expect_that!(ran(&next), some(eq(Ran::Unknown)));
        }
    }
}

fn attempts_rejected() {
    let mut attempts = FailedAttempts::new(&route(RouteKind::NonIdempotent, 1, false));
    let next = attempts.record_failure(Failure::Rejected);
    expect_that!(matches!(next, Next::RetryWithinBudget(_)), eq(true));
    expect_that!(ran(&next), some(eq(Ran::No)));
    let mut last = next;
    while matches!(last, Next::RetryWithinBudget(_)) {
        last = attempts.record_failure(Failure::Misdirected);
    }
    expect_that!(ran(&last), some(eq(Ran::No)));
}

fn attempts_not_sent() {
    let mut attempts = FailedAttempts::new(&route(RouteKind::NonIdempotent, 1, false));
    let mut count = 0;
    while attempts.record_failure(Failure::NotSent) == Next::Retry {
        count += 1;
        assert_that!(count, lt(100));
    }
    expect_that!(attempts.sent(), eq(0));
    expect_that!(attempts.ran(), eq(Ran::No));
}

fn attempts_mixed() {
    let mut attempts = FailedAttempts::new(&route(RouteKind::Idempotent, 2, false));
    attempts.record_failure(Failure::Incomplete);
    expect_that!(ran(&attempts.record_failure(Failure::Rejected)), some(eq(Ran::Unknown)));
}

const BOUNDS: Bounds = Bounds { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

fn budget_window() {
    let mut budget = Budget::default();
    let taken = (0..100).filter(|_| budget.take(&BOUNDS, 1, SECOND)).count();
    expect_that!(taken, all![gt(0), le(10)]);
    expect_that!(budget.take(&BOUNDS, 1, SECOND * 5), eq(false));
    expect_that!(budget.take(&BOUNDS, 1, SECOND * 12), eq(true));
}

/// Thirteen gateways retry whenever their budget allows it, for a minute. In no
/// window do the retries of all together exceed the common bound.
fn budget_sum() {
    let gateways = 13_u32;
    let mut budgets: Vec<_> = (0..gateways).map(|_| Budget::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..6_000_u32 {
        let now = Duration::from_millis(u64::from(step) * 10);
        let budget = &mut budgets[(step % gateways) as usize];
        budget.record_request(&BOUNDS, now);
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
        let allowed = BOUNDS.ratio * within(&requests) + BOUNDS.slack;
        expect_that!(within(&retries), le(allowed));
    }
    expect_that!(retries.len(), gt(100));
}

fn prompt(model: &str, adapter: Option<&str>, segments: &[(u64, u32)]) -> Prompt {
    Prompt {
        model: model.into(),
        adapter: adapter.map(Into::into),
        tokens: segments.iter().map(|s| s.1).sum(),
        max_output_tokens: 10,
        segments: segments.iter().map(|&(id, tokens)| Segment { id, tokens }).collect(),
    }
}

fn cache_prefixes() {
    let mut cache = PrefixCache::default();
    cache.record(&prompt("m", None, &[(1, 100), (2, 50), (3, 30)]));
    expect_that!(cache.cached_tokens(&prompt("m", None, &[(1, 100), (2, 50), (9, 30)])), eq(150));
    expect_that!(cache.cached_tokens(&prompt("m", None, &[(9, 100), (2, 50), (3, 30)])), eq(0));
    expect_that!(cache.cached_tokens(&prompt("m", Some("a"), &[(1, 100)])), eq(0));
    expect_that!(cache.cached_tokens(&prompt("n", None, &[(1, 100)])), eq(0));
}

fn cache_bound() {
    let mut cache = PrefixCache::default();
    cache.record(&prompt("m", None, &[(1, 100)]));
    for id in 10..5_000 {
        cache.record(&prompt("m", None, &[(id, 100)]));
    }
    expect_that!(cache.cached_tokens(&prompt("m", None, &[(1, 100)])), eq(0));
    expect_that!(cache.cached_tokens(&prompt("m", None, &[(4_999, 100)])), eq(100));
}

fn announced(id: &str, port: u16, holdings: &[(&str, &[&str])]) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        software: "v1".into(),
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
        cold_left: std::time::Duration::ZERO,
    }
}

fn locality() -> Locality<'static> {
    static NONE: LazyLock<HashSet<SocketAddr>> = LazyLock::new(HashSet::new);
    Locality { domain: "a", connected: &NONE }
}

fn query(prompt: &Prompt) -> Query<'_> {
    Query {
        service: "llm",
        prompt: Some(prompt),
        software: None,
        tried: &[],
        homes: Homes::default(),
    }
}

fn fleet() -> TargetTable {
    let mut fleet = TargetTable::default();
    fleet.apply_announcements(vec![
        announced("one", 1, &[("m", &["a1"])]),
        announced("two", 2, &[("m", &[]), ("n", &[])]),
    ]);
    fleet
}

fn fleet_unavailable() {
    let fleet = fleet();
    let choose = |service: &str, prompt: &Prompt| {
        fleet.choose(&Query { service, ..query(prompt) }, &locality(), SECOND).map(|c| c.id)
    };
    expect_that!(choose("llm", &prompt("n", None, &[(1, 10)])), ok(eq("two")));
    expect_that!(choose("llm", &prompt("m", Some("a1"), &[(1, 10)])), ok(eq("one")));
    expect_that!(
        choose("llm", &prompt("m", Some("a2"), &[(1, 10)])),
        err(eq(&Unavailable::AdapterNotResident))
    );
    expect_that!(
        choose("llm", &prompt("x", None, &[(1, 10)])),
        err(eq(&Unavailable::ModelNotResident))
    );
    expect_that!(choose("other", &prompt("m", None, &[(1, 10)])), err(eq(&Unavailable::NoTarget)));
}

fn fleet_software() {
    let mut fleet = TargetTable::default();
    let newer = AnnouncedTarget { software: "v2".into(), ..announced("two", 2, &[("m", &[])]) };
    fleet.apply_announcements(vec![announced("one", 1, &[("m", &[]), ("n", &[])]), newer]);
    let tried = ["two".to_owned()];
    let choose = |software, model| {
        let prompt = prompt(model, None, &[(1, 10)]);
        let query = Query { software: Some(software), tried: &tried, ..query(&prompt) };
        fleet.choose(&query, &locality(), SECOND).map(|c| (c.id, c.software))
    };
    expect_that!(choose("v1", "m"), ok((eq("one"), eq("v1"))));
    // Another one was not tried, but has another version.
    expect_that!(choose("v2", "m"), ok((eq("two"), eq("v2"))));
    expect_that!(choose("v2", "n"), err(eq(&Unavailable::ModelNotResident)));
    expect_that!(choose("v3", "m"), err(eq(&Unavailable::NoSoftware)));
}

fn fleet_loads() {
    let mut fleet = fleet();
    let prompt = prompt("m", None, &[(1, 4_000)]);
    let load = |target: &str, prompt_tokens| Load {
        target: target.into(),
        running: 1,
        prompt_tokens,
        placed: Vec::new(),
    };
    let report = |loads| Report { loads, ..Report::default() };
    let gateways = GatewayCounts { reporting: 4, known: 6 };
    fleet.apply_report(&report(vec![load("one", 90_000)]), gateways);
    expect_that!(fleet.gateway_counts(), eq(gateways));
    let choice = fleet.choose(&query(&prompt), &locality(), SECOND).unwrap();
    expect_that!(choice.id, eq("two"));
    fleet.record_sent(&choice, Some(&prompt));
    expect_that!(fleet.local_traffic(SECOND).loads, elements_are![eq(&load("two", 4_000))]);
    fleet.record_first_output(&choice);
    fleet.record_end(&choice);
    expect_that!(fleet.local_traffic(SECOND).loads, is_empty());
}

fn fleet_override() {
    let mut fleet = fleet();
    let prompt = prompt("n", None, &[(1, 10)]);
    let requirement = Requirement { service: "llm".into(), model: "n".into(), adapter: None };
    fleet.override_holding("two", &requirement, false, SECOND);
    let unavailable = fleet.choose(&query(&prompt), &locality(), SECOND);
    expect_that!(unavailable, err(eq(&Unavailable::ModelNotResident)));
    fleet.override_holding("one", &requirement, true, SECOND);
    let choice = fleet.choose(&query(&prompt), &locality(), SECOND).unwrap();
    expect_that!(choice.id, eq("one"));
    let after_override = fleet.choose(&query(&prompt), &locality(), SECOND * 10).unwrap();
    expect_that!(after_override.id, eq("two"));
}

fn fleet_leaving() {
    let mut fleet = fleet();
    let leaving = AnnouncedTarget {
        presence: Presence::Leaving,
        seq: 2,
        ..announced("two", 2, &[("m", &[]), ("n", &[])])
    };
    fleet.apply_announcements(vec![leaving]);
    let unavailable = fleet.choose(&query(&prompt("n", None, &[])), &locality(), SECOND);
    expect_that!(unavailable, err(eq(&Unavailable::ModelNotResident)));
}

/// A gateway that goes to another replica gets that replica's whole directory, which
/// may lack the latest changes.
fn fleet_stale_presence() {
    let mut fleet = fleet();
    let up = announced("two", 2, &[("m", &[]), ("n", &[])]);
    let leaving = AnnouncedTarget { presence: Presence::Leaving, ..up.clone() };
    fleet.apply_announcements(vec![leaving]);
    fleet.apply_announcements(vec![AnnouncedTarget { seq: 2, ..up.clone() }]);
    let choose =
        |fleet: &TargetTable| fleet.choose(&query(&prompt("n", None, &[])), &locality(), SECOND);
    expect_that!(choose(&fleet), err(eq(&Unavailable::ModelNotResident)));
    fleet.apply_announcements(vec![AnnouncedTarget { incarnation: 2, ..up }]);
    expect_that!(choose(&fleet).map(|c| c.id), ok(eq("two")));
}

fn fleet_stale_incarnation() {
    let mut fleet = fleet();
    let earlier = announced("two", 2, &[("m", &[]), ("n", &[])]);
    let restarted = AnnouncedTarget { incarnation: 2, ..announced("two", 2, &[]) };
    fleet.apply_announcements(vec![restarted]);
    for presence in [Presence::Up, Presence::Down] {
        fleet.apply_announcements(vec![AnnouncedTarget { presence, ..earlier.clone() }]);
        let choice = fleet.choose(&query(&prompt("n", None, &[])), &locality(), SECOND);
        expect_that!(choice, err(eq(&Unavailable::ModelNotResident)));
        expect_that!(fleet.len(), eq(2));
    }
}

fn fleet_changes() {
    let mut fleet = fleet();
    let one = announced("one", 1, &[("m", &["a1"])]);
    let unchanged = AnnouncedTarget { seq: 9, cached_models: vec!["x".into()], ..one.clone() };
    let unknown_down = AnnouncedTarget { presence: Presence::Down, ..announced("three", 3, &[]) };
    expect_that!(fleet.apply_announcements(vec![unchanged, unknown_down]), is_empty());
    let leaving = AnnouncedTarget { presence: Presence::Leaving, ..one.clone() };
    let down = AnnouncedTarget { presence: Presence::Down, ..one };
    for changed in [leaving, down] {
        let reported = fleet.apply_announcements(vec![changed.clone()]);
        expect_that!(reported, elements_are![eq(&changed)]);
    }
}

fn fleet_restart() {
    let mut fleet = fleet();
    let prompt = prompt("n", None, &[(1, 100)]);
    let choice = fleet.choose(&query(&prompt), &locality(), SECOND).unwrap();
    fleet.record_sent(&choice, Some(&prompt));
    fleet.apply_announcements(vec![AnnouncedTarget {
        incarnation: 2,
        ..announced("two", 2, &[("n", &[])])
    }]);
    expect_that!(fleet.local_traffic(SECOND).loads, is_empty());
    fleet.record_end(&choice);
    let again = fleet.choose(&query(&prompt), &locality(), SECOND).unwrap();
    expect_that!(again.prefill_tokens, eq(100));
}

/// Targets change every 5 ms, and the leader names a target that this gateway does not
/// know yet, or none.
fn inquiry_interval() {
    for answer in [Availability::At("unknown".into()), Availability::Nowhere] {
        let mut inquiry = Inquiry::default();
        let mut asked = 0;
        for step in 0..200 {
            let now = Duration::from_millis(5) * step;
            if inquiry.is_due(Unavailable::ModelNotResident, now) {
                asked += 1;
                inquiry.record(Unavailable::ModelNotResident, &answer, now);
            }
        }
        expect_that!(asked, eq(10));
    }
}

fn inquiry_new_lack() {
    let mut inquiry = Inquiry::default();
    let soon = Availability::Soon(SECOND);
    inquiry.record(Unavailable::ModelNotResident, &soon, SECOND);
    expect_that!(inquiry.is_due(Unavailable::AdapterNotResident, SECOND), eq(true));
    expect_that!(inquiry.is_due(Unavailable::NoTarget, SECOND), eq(false));
}

fn inquiry_after_load() {
    let mut inquiry = Inquiry::default();
    let soon = Availability::Soon(SECOND * 2);
    inquiry.record(Unavailable::ModelNotResident, &soon, SECOND);
    expect_that!(inquiry.is_due(Unavailable::ModelNotResident, SECOND * 2), eq(false));
    expect_that!(inquiry.is_due(Unavailable::ModelNotResident, SECOND * 3), eq(true));
}

fn fleet_backoff() {
    let mut fleet = fleet();
    let prompt = prompt("m", None, &[]);
    for _ in 0..3 {
        fleet.record_failure("one", SECOND);
    }
    let chosen =
        |fleet: &TargetTable, now| fleet.choose(&query(&prompt), &locality(), now).unwrap().id;
    expect_that!(chosen(&fleet, SECOND), eq("two"));
    fleet.record_success("one");
    for _ in 0..3 {
        fleet.record_failure("two", SECOND);
    }
    expect_that!(chosen(&fleet, SECOND), eq("one"));
}

fn fleet_refusing() {
    let mut fleet = fleet();
    let choose = |fleet: &TargetTable, model: &str, now| {
        let prompt = prompt(model, None, &[]);
        fleet.choose(&query(&prompt), &locality(), now).map(|c| c.id)
    };
    fleet.record_refused("two", SECOND);
    expect_that!(choose(&fleet, "m", SECOND), ok(eq("one")));
    // Only the target that refuses has the model, so another must load it.
    expect_that!(choose(&fleet, "n", SECOND), err(eq(&Unavailable::ModelNotResident)));
    expect_that!(choose(&fleet, "n", SECOND * 2), ok(eq("two")));
    fleet.record_refused("one", SECOND * 2);
    fleet.record_refused("two", SECOND * 2);
    expect_that!(choose(&fleet, "m", SECOND * 2), err(eq(&Unavailable::NoTarget)));
    let restarted = AnnouncedTarget { incarnation: 2, ..announced("two", 2, &[("n", &[])]) };
    fleet.apply_announcements(vec![restarted]);
    expect_that!(choose(&fleet, "n", SECOND * 2), ok(eq("two")));
}

/// Returns the choice for a request that targets "one" and "two" can take.
fn choose_any(fleet: &TargetTable, now: Duration) -> Choice {
    fleet.choose(&query(&prompt("m", None, &[])), &locality(), now).unwrap()
}

fn fleet_turns() {
    let mut fleet = fleet();
    let first = choose_any(&fleet, SECOND);
    expect_that!(first.limited, none());
    expect_that!(fleet.record_limit(&first, Some(SECOND / 4)), eq(true));
    expect_that!(fleet.record_limit(&first, Some(SECOND / 4)), eq(false));
    let limited = Limited {
        interval: SECOND / 4,
        next_turn: Duration::ZERO,
        is_cold: false,
        needs_check: false,
        has_alternative: true,
    };
    expect_that!(choose_any(&fleet, SECOND).limited, some(eq(limited)));
    fleet.record_turn_denied(&first.id, SECOND * 2);
    let second = choose_any(&fleet, SECOND);
    expect_that!(second.id, not(eq(&first.id)));
    fleet.record_limit(&second, Some(SECOND));
    fleet.record_turn_denied(&second.id, SECOND * 3);
    let earliest = choose_any(&fleet, SECOND);
    expect_that!(earliest.id, eq(&first.id));
    let limited = Limited {
        interval: SECOND / 4,
        next_turn: SECOND * 2,
        is_cold: false,
        needs_check: false,
        has_alternative: false,
    };
    expect_that!(earliest.limited, some(eq(limited)));
}

/// Announces target `one` as down, and then as before or in another incarnation.
fn announce_again(fleet: &mut TargetTable, incarnation: u64, presence: Presence) {
    let one = announced("one", 1, &[("m", &["a1"])]);
    let down = AnnouncedTarget { presence: Presence::Down, ..one.clone() };
    fleet.apply_announcements(vec![down]);
    fleet.apply_announcements(vec![AnnouncedTarget { incarnation, presence, ..one }]);
}

fn choose_one(fleet: &TargetTable) -> std::result::Result<Choice, Unavailable> {
    fleet.choose(&query(&prompt("m", Some("a1"), &[(1, 10)])), &locality(), SECOND)
}

fn fleet_limit_return() {
    let mut fleet = fleet();
    let choice = choose_one(&fleet).unwrap();
    fleet.record_limit(&choice, Some(SECOND));
    fleet.record_turn_denied("one", SECOND * 9);
    announce_again(&mut fleet, choice.incarnation, Presence::Up);
    let limited = choose_one(&fleet).unwrap().limited.expect("the limit still holds");
    expect_that!(limited.interval, eq(SECOND));
    expect_that!(limited.next_turn, eq(SECOND * 9));
    announce_again(&mut fleet, choice.incarnation + 1, Presence::Up);
    expect_that!(choose_one(&fleet).unwrap().limited, none());
}

fn fleet_leaving_return() {
    let mut fleet = fleet();
    let incarnation = choose_one(&fleet).unwrap().incarnation;
    announce_again(&mut fleet, incarnation, Presence::Leaving);
    announce_again(&mut fleet, incarnation, Presence::Up);
    expect_that!(choose_one(&fleet).is_err(), eq(true));
    announce_again(&mut fleet, incarnation + 1, Presence::Up);
    expect_that!(choose_one(&fleet).map(|c| c.id), ok(eq("one")));
}

fn fleet_load_return() {
    let mut fleet = fleet();
    let choice = choose_one(&fleet).unwrap();
    fleet.record_sent(&choice, None);
    fleet.record_sent(&choice, None);
    let down = announced("one", 1, &[("m", &["a1"])]);
    fleet.apply_announcements(vec![AnnouncedTarget { presence: Presence::Down, ..down }]);
    fleet.record_end(&choice);
    announce_again(&mut fleet, choice.incarnation, Presence::Up);
    expect_that!(choose_one(&fleet).unwrap().own_running, eq(1));
}

fn fleet_limit_end() {
    let mut fleet = fleet();
    let choice = choose_any(&fleet, SECOND);
    fleet.record_limit(&choice, Some(SECOND));
    fleet.record_turn_denied(&choice.id, SECOND * 5);
    // A late response of an earlier start of the target says nothing about this one.
    let earlier = Choice { incarnation: choice.incarnation + 1, ..choice.clone() };
    expect_that!(fleet.record_limit(&earlier, None), eq(false));
    expect_that!(choose_any(&fleet, SECOND).id, not(eq(&choice.id)));
    expect_that!(fleet.record_limit(&choice, None), eq(true));
    expect_that!(choose_any(&fleet, SECOND), eq(&choice));
}

fn fleet_dispute() {
    let target = |incarnation, port| AnnouncedTarget {
        incarnation,
        ..announced("one", port, &[("m", &["a1"])])
    };
    let mut fleet = TargetTable::default();
    fleet.apply_announcements(vec![target(u64::MAX, 9)]);
    let address = |fleet: &TargetTable, now| {
        fleet.choose(&query(&prompt("m", None, &[])), &locality(), now).unwrap().address.port()
    };
    fleet.apply_announcements(vec![target(7, 1)]);
    // A replica that lagged behind names the later one again.
    expect_that!(fleet.settle_disputes(SECOND), is_empty());
    fleet.apply_announcements(vec![target(u64::MAX, 9)]);
    expect_that!(fleet.settle_disputes(SECOND * 20), is_empty());
    expect_that!(address(&fleet, SECOND * 20), eq(9));
    fleet.apply_announcements(vec![target(7, 1)]);
    expect_that!(fleet.settle_disputes(SECOND * 21), is_empty());
    fleet.apply_announcements(vec![target(7, 2)]);
    expect_that!(fleet.settle_disputes(SECOND * 24), is_empty());
    expect_that!(address(&fleet, SECOND * 24), eq(9));
    expect_that!(fleet.settle_disputes(SECOND * 27).len(), eq(1));
    expect_that!(address(&fleet, SECOND * 27), eq(2));
}

fn fleet_absurd_sizes() {
    let mut fleet = fleet();
    let absurd = Prompt { tokens: u32::MAX, max_output_tokens: u32::MAX, ..prompt("m", None, &[]) };
    let segments = (0..4_000).map(|id| Segment { id, tokens: u32::MAX }).collect();
    let absurd = Prompt { segments, ..absurd };
    let load = Load {
        target: "one".into(),
        running: u32::MAX,
        prompt_tokens: u32::MAX,
        placed: Vec::new(),
    };
    let counts = GatewayCounts::default();
    let mut traffic = Traffic::default();
    for gateway in 1..=3 {
        let report = Report { loads: vec![load.clone()], ..Report::default() };
        traffic.record(Source::Gateway(gateway), report, SECOND);
    }
    fleet.apply_report(&traffic.total(SECOND), counts);
    let sent: Vec<_> = (0..3)
        .map(|_| {
            let choice = fleet.choose(&query(&absurd), &locality(), SECOND).unwrap();
            fleet.record_arrival("llm", &absurd, SECOND);
            fleet.record_sent(&choice, Some(&absurd));
            choice
        })
        .collect();
    let usual = prompt("m", None, &[(90_001, 100), (90_002, 50)]);
    expect_that!(fleet.choose(&query(&usual), &locality(), SECOND).unwrap().id, eq("two"));
    expect_that!(fleet.local_traffic(SECOND).demands.len(), eq(1));
    for choice in &sent {
        fleet.record_first_output(choice);
        fleet.record_end(choice);
    }
    fleet.apply_report(&Report::default(), counts);
    let choice = fleet.choose(&query(&usual), &locality(), SECOND).unwrap();
    expect_that!(choice.estimate, lt(SECOND));
}

fn fleet_demand() {
    let mut fleet = fleet();
    let prompt = prompt("m", Some("a1"), &[(1, 1_000)]);
    fleet.record_arrival("llm", &prompt, SECOND);
    fleet.record_waiting("llm", &prompt, true);
    let report = fleet.local_traffic(SECOND);
    expect_that!(report.demands.len(), eq(1));
    expect_that!(report.demands[0].adapter.as_deref(), some(eq("a1")));
    expect_that!(report.demands[0].waiting, eq(1));
    expect_that!(report.demands[0].work, gt(0));
    fleet.record_waiting("llm", &prompt, false);
    expect_that!(fleet.local_traffic(SECOND * 10).demands, is_empty());
}

/// Outcomes of the requests to one engine.
#[derive(Debug, Default)]
struct Outcomes {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Prompts processed for callers that had left.
    wasted: u32,
    /// Longest time that a caller waited without a response.
    longest_wait: Duration,
}

/// Simulates an engine that prefills 25 prompt tokens per millisecond, first
/// in, first out, and receives `load` times as many for a minute. Every caller
/// has an objective of 600 ms and leaves after 3.2 s.
fn overload(load: f64, admits: impl Fn(Duration, Duration, Duration) -> bool) -> Outcomes {
    let (objective, remaining) = (Duration::from_millis(600), Duration::from_millis(3_200));
    let prefill = Duration::from_millis(96);
    let mut outcomes = Outcomes::default();
    let mut idle_at = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < SECOND * 60 {
        let estimate = idle_at.saturating_sub(now) + prefill;
        if !admits(objective, remaining, estimate) {
            outcomes.refused += 1;
        } else if estimate <= objective {
            outcomes.in_time += 1;
        } else if estimate <= remaining {
            outcomes.late += 1;
        } else {
            outcomes.wasted += 1;
            outcomes.longest_wait = remaining;
        }
        if admits(objective, remaining, estimate) {
            idle_at = now + estimate;
        }
        now += prefill.div_f64(load);
    }
    outcomes
}

fn new_arrival(objective: Duration, remaining: Duration, estimate: Duration) -> Arrival {
    Arrival { stage: Stage::New, objective, remaining, estimate, own_prefill: Duration::ZERO }
}

fn admits_new(objective: Duration, remaining: Duration, estimate: Duration) -> bool {
    admit::decide(&new_arrival(objective, remaining, estimate)).is_ok()
}

/// Returns the longest estimate with which a new request is admitted.
fn max_delay(objective: Duration, remaining: Duration) -> Duration {
    admit::decide(&new_arrival(objective, remaining, Duration::MAX)).unwrap_err().max_delay
}

/// With prompts for several engines sent to one, every admitted request is
/// answered before its caller leaves, and no fewer are answered than by the
/// baseline, which admits every request.
fn admission_under_overload() {
    for load in [1.2, 2.0, 8.0] {
        let naive = overload(load, |_, _, _| true);
        let outcomes = overload(load, admits_new);
        expect_that!(outcomes.wasted, eq(0), "load {load}: {outcomes:?}");
        expect_that!(outcomes.longest_wait, eq(Duration::ZERO));
        let (served, baseline) = (outcomes.in_time + outcomes.late, naive.in_time + naive.late);
        expect_that!(served, ge(baseline), "load {load}: {outcomes:?} against {naive:?}");
        expect_that!(served, ge(600), "the engine is kept busy: {outcomes:?}");
    }
    let light_load = overload(0.8, admits_new);
    expect_that!(light_load.refused, eq(0));
}

/// A caller that waits for the time it was told finds a queue short enough to
/// be admitted.
fn retry_after_short_queue() {
    for estimate in [700, 2_000, 20_000].map(Duration::from_millis) {
        let objective = Duration::from_millis(600);
        let refused = admit::decide(&new_arrival(objective, Duration::ZERO, estimate));
        let wait = refused.unwrap_err().retry_after;
        let remaining_delay = estimate.saturating_sub(wait);
        expect_that!(remaining_delay, le(max_delay(objective, Duration::from_secs(2))));
        expect_that!(wait, le(estimate));
    }
}

/// A request with a late deadline waits for a bounded multiple of its
/// objective; one with an early deadline never waits beyond it.
fn admission_bounds() {
    let delay = |objective, remaining| {
        max_delay(Duration::from_millis(objective), Duration::from_millis(remaining)).as_millis()
    };
    expect_that!(delay(600, 15_000), le(1_800));
    expect_that!(delay(600, 15_000), ge(600));
    expect_that!(delay(600, 400), eq(400));
    expect_that!(delay(600, 0), eq(0));
    let target_wait = |stage, objective, remaining| {
        let (objective, remaining) =
            (Duration::from_millis(objective), Duration::from_millis(remaining));
        admit::max_target_wait(stage, objective, remaining).as_millis()
    };
    expect_that!(target_wait(Stage::New, 600, 15_000), le(1_800));
    // A model may be loaded for a stream that has begun.
    expect_that!(target_wait(Stage::Begun, 600, 15_000), all![ge(5_000), lt(15_000)]);
    for stage in [Stage::New, Stage::Begun] {
        expect_that!(target_wait(stage, 600, 3_000), ge(delay(600, 3_000)));
        expect_that!(target_wait(stage, 600, 3_000), lt(3_000));
        expect_that!(target_wait(stage, 600, 400), eq(400));
    }
    // Without an objective only the deadline counts.
    expect_that!(target_wait(Stage::New, 0, 4_000), eq(4_000));
    expect_that!(delay(0, 4_000), eq(4_000));
    expect_that!(delay(5_000, 12_000), le(12_000));
}

/// A request that continues a stream is refused only if its own prompt takes too long, and
/// then told to come back; it goes before new requests of its priority and never before those
/// of a more urgent one.
fn admission_of_begun() {
    let millis = Duration::from_millis;
    let begun = Arrival {
        stage: Stage::Begun,
        own_prefill: millis(80),
        ..new_arrival(millis(600), millis(1_000), millis(20_000))
    };
    expect_that!(admit::decide(&begun), ok(eq(())));
    let late = admit::decide(&Arrival { remaining: millis(79), ..begun }).unwrap_err();
    expect_that!(late.max_delay, eq(millis(79)));
    expect_that!(late.retry_after, gt(Duration::ZERO));
    for priority in [1, 4, u32::MAX - 1] {
        let [new, begun] = [Stage::New, Stage::Begun].map(|stage| stage.urgency(priority));
        expect_that!(begun, lt(new));
        expect_that!(begun, ge(Stage::New.urgency(priority - 1)));
    }
    expect_that!(Stage::Begun.urgency(0), lt(Stage::New.urgency(0)));
}
