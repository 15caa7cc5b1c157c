//! Records, keys, claims, suspects and the feed: what each command does, and
//! that every copy of the state agrees.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::version::{
    claim::{self, Attempt, Claims, Outcome, RequestDigest, RequestKey, Session},
    feed::CachedView,
    key::{Presented, Scope, generate},
    placement::VIEW_TTL,
    record::{Record, wire},
    suspect::{Fingerprint, RETENTION_MS, Suspects, Verdict},
    view::{Command, Error, Presence, Target, View},
};

fn records(text: &str) -> Vec<Record> {
    wire::parse(text).unwrap_or_else(|e| panic!("{e}"))
}

fn workspace(version: u64, rate: u64) -> Vec<Record> {
    let json = serde_json::json!({"schema": 2, "kind": "workspace", "name": "w",
        "version": version, "rate": rate, "burst": 10});
    records(&json.to_string())
}

/// Applies commands in order, and returns the view and the last result.
fn apply(commands: &[Command]) -> (View, std::result::Result<(), Error>) {
    let mut view = View::default();
    let mut last = Ok(());
    for (index, command) in (1..).zip(commands) {
        last = view.apply(index, 0, command);
    }
    (view, last)
}

macro_rules! refused_records {
    ($($name:ident: $text:expr => $error:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let error = wire::parse($text).err().map(|e| e.to_string());
                expect_that!(error.as_deref(), some(contains_substring($error)));
            }
        )+
    };
}

refused_records! {
    text_that_is_no_json: "{" => "not JSON";
    unknown_kind: r#"{"schema": 2, "kind": "modle", "name": "m", "version": 1}"#
        => "records[0].kind: expected one of model, adapter";
    schema_from_the_future: r#"{"schema": 3, "kind": "model", "name": "m", "version": 1}"#
        => "records[0].schema: 3 is not read here, only 1 to 2";
    unknown_field: r#"[{"schema": 2, "kind": "model", "name": "m", "version": 1,
        "memory_mib": 1, "memroy": 2}]"# => "records[0].memroy: unknown field";
    field_of_a_newer_schema: r#"{"schema": 1, "kind": "workspace", "name": "w",
        "version": 1, "rate": 1, "burst": 1, "weight": 2}"# => "weight: unknown field";
    missing_field: r#"{"schema": 2, "kind": "model", "name": "m", "version": 1}"#
        => "records[0].memory_mib: missing field";
    wrong_type: r#"{"schema": 2, "kind": "model", "name": "m", "version": 1,
        "memory_mib": "much"}"# => "records[0].memory_mib: invalid type";
    number_out_of_range: r#"{"schema": 2, "kind": "workspace", "name": "w", "version": 1,
        "rate": 0, "burst": 1}"# => "records[0].rate: 0 is not within 1 to";
    version_zero: r#"{"schema": 2, "kind": "model", "name": "m", "version": 0,
        "memory_mib": 1}"# => "records[0].version: expected a version from 1 on";
    reserved_path: r#"{"schema": 2, "kind": "route", "name": "r", "version": 1,
        "path": "/admin/v1", "backend": "models", "access": "open", "repeat": "allowed"}"#
        => "records[0].path: reserved";
    second_of_a_batch: r#"[{"schema": 2, "kind": "model", "name": "m", "version": 1,
        "memory_mib": 1}, {"schema": 2, "kind": "model", "name": "", "version": 1,
        "memory_mib": 1}]"# => "records[1].name: expected 1 to 128";
}

/// Each record survives being shown and read again, whatever schema it came in.
#[gtest]
fn old_and_new_schemas_mean_the_same() {
    let old = records(
        r#"[{"schema": 1, "kind": "model", "name": "m", "version": 1, "memory_mib": 5},
            {"schema": 1, "kind": "workspace", "name": "w", "version": 1, "rate": 2, "burst": 3},
            {"schema": 1, "kind": "route", "name": "r", "version": 1, "path": "/r",
             "backend": {"service": "s"}, "access": "keyed", "repeat": "idempotency_key"},
            {"schema": 1, "kind": "policy", "name": "p", "version": 1,
             "objective": "attainment"},
            {"schema": 1, "kind": "workspace", "name": "gone", "version": 2, "removed": true}]"#,
    );
    let shown = serde_json::Value::Array(old.iter().map(wire::to_json).collect());
    expect_that!(records(&shown.to_string()), eq(&old));
}

#[gtest]
fn equal_version_and_content_is_the_same_success() {
    let (_, again) =
        apply(&[Command::PutRecords(workspace(1, 5)), Command::PutRecords(workspace(1, 5))]);
    expect_that!(again, ok(eq(&())));
}

#[gtest]
fn racing_operators_under_one_version_conflict() {
    let (view, second) =
        apply(&[Command::PutRecords(workspace(1, 5)), Command::PutRecords(workspace(1, 6))]);
    expect_that!(second, err(matches_pattern!(Error::VersionConflict { .. })));
    expect_that!(view.workspace("w").map(|w| w.rate), some(eq(5)));
}

#[gtest]
fn older_version_does_not_revert_a_newer_one() {
    let (view, late) =
        apply(&[Command::PutRecords(workspace(2, 5)), Command::PutRecords(workspace(1, 6))]);
    expect_that!(late, err(matches_pattern!(Error::VersionStale { .. })));
    expect_that!(view.workspace("w").map(|w| w.rate), some(eq(5)));
}

#[gtest]
fn batch_with_one_bad_record_changes_nothing() {
    let mut batch = workspace(1, 5);
    batch.extend(records(
        r#"{"schema": 2, "kind": "adapter", "name": "a", "version": 1, "model": "none",
            "memory_mib": 1}"#,
    ));
    let (view, result) = apply(&[Command::PutRecords(batch)]);
    expect_that!(result, err(matches_pattern!(Error::MissingReference { .. })));
    expect_that!(view.records().count(), eq(0));
}

#[gtest]
fn key_opens_only_while_granted() {
    let text = generate("k");
    let presented = Presented::parse(&text).expect("it has the shape of a key");
    let (id, digest) = (presented.id.clone(), presented.digest);
    let grant = Command::GrantKey { id: id.clone(), digest, scope: Scope::Caller("w".into()) };
    let (view, _) = apply(&[Command::PutRecords(workspace(1, 5)), grant.clone(), grant.clone()]);
    expect_that!(view.authorize(&presented), some(eq(&Scope::Caller("w".into()))));
    let guessed = Presented::parse("hbd.k.guess").expect("it has the shape of a key");
    expect_that!(view.authorize(&guessed), none());
    let withdraw = Command::WithdrawKey { id };
    let (view, again) = apply(&[
        Command::PutRecords(workspace(1, 5)),
        grant.clone(),
        withdraw.clone(),
        withdraw,
        grant,
    ]);
    expect_that!(again, err(matches_pattern!(Error::KeyWithdrawn { .. })));
    expect_that!(view.authorize(&presented), none());
}

#[gtest]
fn last_operator_is_not_locked_out() {
    let presented = Presented::parse(&generate("op")).expect("it has the shape of a key");
    let digest = presented.digest;
    let grant = Command::GrantKey { id: "op".into(), digest, scope: Scope::System };
    let (_, result) = apply(&[grant, Command::WithdrawKey { id: "op".into() }]);
    expect_that!(result, err(matches_pattern!(Error::LastOperator { .. })));
}

fn announce(incarnation: u64, presence: Presence) -> Command {
    let target = Target {
        address: ([127, 0, 0, 1], 1).into(),
        class: "engine".into(),
        service: None,
        domain: "a".into(),
        memory: 1_000,
        incarnation,
        slots: 8,
        presence,
    };
    Command::AnnounceTarget { name: "t".into(), target, resident: Vec::new() }
}

#[gtest]
fn leaving_target_stays_leaving_until_it_starts_again() {
    let leaving = [
        announce(1, Presence::Up),
        announce(1, Presence::Leaving),
        // Late announcements of the same and of an older process.
        announce(1, Presence::Up),
        announce(0, Presence::Up),
    ];
    let state = |commands: &[Command]| apply(commands).0.targets().get("t").map(|t| t.presence);
    expect_that!(state(&leaving), some(eq(Presence::Leaving)));
    let again = [leaving.to_vec(), vec![announce(2, Presence::Up)]].concat();
    expect_that!(state(&again), some(eq(Presence::Up)));
}

fn key() -> RequestKey {
    RequestKey { workspace: "w".into(), route: "r".into(), idempotency_key: "k".into() }
}

fn attempt(session: u64, number: u64) -> Attempt {
    Attempt { session: Session(session), number }
}

fn claim(attempt: Attempt, digest: u8) -> claim::Command {
    claim::Command::Claim { key: key(), digest: RequestDigest([digest; 32]), attempt }
}

fn answer() -> claim::StoredResponse {
    claim::StoredResponse { status: 200, content_type: None, body: Some(b"booked".to_vec()) }
}

fn finish(attempt: Attempt, response: Option<claim::StoredResponse>) -> claim::Command {
    claim::Command::Finish { key: key(), attempt, response }
}

/// Returns claims with two live sessions, 1 and 2.
fn claims() -> Claims {
    let mut claims = Claims::default();
    claims.begin_session(Session(1));
    claims.begin_session(Session(2));
    claims
}

macro_rules! claim_cases {
    ($($name:ident: $commands:expr => $outcome:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let mut claims = claims();
                let mut last = Outcome::Recorded;
                for command in $commands {
                    last = claims.apply(&command, 1_000);
                }
                expect_that!(last, eq(&$outcome));
            }
        )+
    };
}

claim_cases! {
    first_claim_wins: [claim(attempt(1, 1), 0)] => Outcome::Acquired;
    second_claim_waits: [claim(attempt(1, 1), 0), claim(attempt(2, 1), 0)] => Outcome::Running;
    same_attempt_still_holds_it: [claim(attempt(1, 1), 0), claim(attempt(1, 1), 0)]
        => Outcome::Acquired;
    other_body_is_refused: [claim(attempt(1, 1), 0), claim(attempt(2, 1), 1)]
        => Outcome::DigestMismatch;
    finished_call_is_answered: [claim(attempt(1, 1), 0), finish(attempt(1, 1), Some(answer())),
        claim(attempt(2, 1), 0)] => Outcome::Done(answer());
    lost_answer_is_unknown: [claim(attempt(1, 1), 0), finish(attempt(1, 1), None),
        claim(attempt(2, 1), 0)] => Outcome::Unknown;
    only_the_claimant_finishes: [claim(attempt(1, 1), 0),
        finish(attempt(2, 1), Some(answer())), claim(attempt(2, 1), 0)] => Outcome::Running;
    released_call_can_be_won_again: [claim(attempt(1, 1), 0),
        claim::Command::Release { key: key(), attempt: attempt(1, 1) },
        claim(attempt(2, 1), 0)] => Outcome::Acquired;
    finished_call_is_not_released: [claim(attempt(1, 1), 0),
        finish(attempt(1, 1), Some(answer())),
        claim::Command::Release { key: key(), attempt: attempt(1, 1) },
        claim(attempt(2, 1), 0)] => Outcome::Done(answer());
    unknown_session_wins_nothing: [claim(attempt(3, 1), 0)] => Outcome::SessionEnded;
}

#[gtest]
fn ended_session_leaves_an_unknown_outcome() {
    let mut claims = claims();
    claims.apply(&claim(attempt(1, 1), 0), 0);
    claims.end_session(Session(1));
    expect_that!(claims.apply(&claim(attempt(2, 1), 0), 0), eq(&Outcome::Unknown));
    // A late release by the ended session must not let the call run again.
    let release = claim::Command::Release { key: key(), attempt: attempt(1, 1) };
    claims.apply(&release, 0);
    expect_that!(claims.apply(&claim(attempt(2, 2), 0), 0), eq(&Outcome::Unknown));
    // But its late answer is the truth.
    claims.apply(&finish(attempt(1, 1), Some(answer())), 0);
    expect_that!(claims.apply(&claim(attempt(2, 3), 0), 0), eq(&Outcome::Done(answer())));
}

#[gtest]
fn claims_are_kept_for_the_horizon_and_not_for_ever() {
    let mut claims = claims();
    claims.apply(&claim(attempt(1, 1), 0), 1_000);
    let kept = claims.apply(&claim(attempt(2, 1), 0), 999 + claim::RETENTION_MS);
    expect_that!(kept, eq(&Outcome::Running));
    let dropped = claims.apply(&claim(attempt(2, 2), 0), 1_000 + 2 * claim::RETENTION_MS);
    expect_that!(dropped, eq(&Outcome::Acquired));
}

#[gtest]
fn two_crashes_alone_refuse_a_request_and_spare_bystanders() {
    let (poison, bystander) = (Fingerprint::of("/p", b"poison"), Fingerprint::of("/p", b"other"));
    let mut suspects = Suspects::default();
    suspects.record_crash(poison, false, 0);
    suspects.record_crash(bystander, false, 0);
    // A second crash beside others counts against nobody in particular.
    suspects.record_crash(bystander, false, 0);
    expect_that!(suspects.verdict(bystander), eq(Verdict::Suspect));
    suspects.clear(bystander);
    suspects.record_crash(poison, true, 0);
    suspects.clear(poison);
    expect_that!(suspects.verdict(bystander), eq(Verdict::Clear));
    expect_that!(suspects.verdict(poison), eq(Verdict::Refused));
    suspects.expire(RETENTION_MS);
    expect_that!(suspects.verdict(poison), eq(Verdict::Clear));
}

#[gtest]
fn target_is_given_to_one_suspect_at_a_time() {
    let (first, second) = (Fingerprint::of("/p", b"1"), Fingerprint::of("/p", b"2"));
    let attempt = |fingerprint| Command::ReserveTarget { fingerprint, target: "t".into() };
    let ended = Command::ClearSuspect { fingerprint: first };
    let (_, taken) = apply(&[attempt(first), attempt(first), attempt(second)]);
    expect_that!(taken, err(matches_pattern!(Error::TargetReserved { .. })));
    let (_, free) = apply(&[attempt(first), ended, attempt(second)]);
    expect_that!(free, ok(eq(&())));
    let crashed = Command::RecordCrash { fingerprint: first, exclusive: true };
    let (_, free) = apply(&[attempt(first), crashed, attempt(second)]);
    expect_that!(free, ok(eq(&())));
}

#[gtest]
fn feed_only_moves_forward() {
    let sent = Duration::from_secs(1);
    let (first, second) =
        (Command::PutRecords(workspace(1, 5)), Command::PutRecords(workspace(2, 6)));
    let mut feed = CachedView::default();
    feed.apply_changes(2, [(1, 0, &first), (2, 0, &second)], sent);
    // An answer from a replica that lags, or one that was overtaken.
    feed.apply_changes(1, [(1, 0, &first)], sent * 5);
    feed.replace(1, View::default(), sent * 5);
    expect_that!(feed.view().workspace("w").map(|w| w.rate), some(eq(6)));
    expect_that!(feed.index(), eq(2));
    expect_that!(
        feed.is_fresh((sent + VIEW_TTL).checked_sub(Duration::from_millis(1)).unwrap()),
        eq(true)
    );
    expect_that!(feed.is_fresh(sent + VIEW_TTL), eq(false));
}
