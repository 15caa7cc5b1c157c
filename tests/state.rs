//! Tests of the commands for records, keys, targets, claims and suspects, and of the
//! gateways' copy of the view.

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

/// Applies commands in order and returns the view and the result of the last one.
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
    text_that_is_not_json: "{" => "not JSON";
    unknown_kind: r#"{"schema": 2, "kind": "modle", "name": "m", "version": 1}"#
        => "records[0].kind: expected one of model, adapter";
    schema_that_is_too_new: r#"{"schema": 3, "kind": "model", "name": "m", "version": 1}"#
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
    invalid_second_record_of_a_batch: r#"[{"schema": 2, "kind": "model", "name": "m", "version": 1,
        "memory_mib": 1}, {"schema": 2, "kind": "model", "name": "", "version": 1,
        "memory_mib": 1}]"# => "records[1].name: expected 1 to 128";
}

/// Guards against fields that are lost or changed when a record of an old schema is
/// written in the newest one.
#[gtest]
fn records_of_an_old_schema_are_unchanged_in_the_newest() {
    let old = records(
        r#"[{"schema": 1, "kind": "model", "name": "m", "version": 1, "memory_mib": 5},
            {"schema": 1, "kind": "workspace", "name": "w", "version": 1, "rate": 2, "burst": 3},
            {"schema": 1, "kind": "route", "name": "r", "version": 1, "path": "/r",
             "backend": {"service": "s"}, "access": "keyed", "repeat": "idempotency_key"},
            {"schema": 1, "kind": "policy", "name": "p", "version": 1,
             "objective": "attainment"},
            {"schema": 1, "kind": "workspace", "name": "gone", "version": 2, "removed": true}]"#,
    );
    let json = serde_json::Value::Array(old.iter().map(wire::to_json).collect());
    expect_that!(records(&json.to_string()), eq(&old));
}

#[gtest]
fn equal_record_is_accepted_again() {
    let (_, again) =
        apply(&[Command::PutRecords(workspace(1, 5)), Command::PutRecords(workspace(1, 5))]);
    expect_that!(again, ok(eq(&())));
}

#[gtest]
fn same_version_with_other_content_conflicts() {
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
fn batch_with_a_missing_reference_changes_nothing() {
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
fn key_gives_access_only_while_granted() {
    let text = generate("k");
    let presented = Presented::parse(&text).expect("malformed key");
    let (id, digest) = (presented.id.clone(), presented.digest);
    let grant = Command::GrantKey { id: id.clone(), digest, scope: Scope::Caller("w".into()) };
    let (view, _) = apply(&[Command::PutRecords(workspace(1, 5)), grant.clone(), grant.clone()]);
    expect_that!(view.authorize(&presented), some(eq(&Scope::Caller("w".into()))));
    let wrong_secret = Presented::parse("hbd.k.guess").expect("malformed key");
    expect_that!(view.authorize(&wrong_secret), none());
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
fn last_operator_cannot_be_withdrawn() {
    let presented = Presented::parse(&generate("op")).expect("malformed key");
    let digest = presented.digest;
    let grant = Command::GrantKey { id: "op".into(), digest, scope: Scope::System };
    let (_, result) = apply(&[grant, Command::WithdrawKey { id: "op".into() }]);
    expect_that!(result, err(matches_pattern!(Error::LastSystemKey { .. })));
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
        // Late announcements of the same incarnation and of an older one.
        announce(1, Presence::Up),
        announce(0, Presence::Up),
    ];
    let presence = |commands: &[Command]| apply(commands).0.targets().get("t").map(|t| t.presence);
    expect_that!(presence(&leaving), some(eq(Presence::Leaving)));
    let restarted = [leaving.to_vec(), vec![announce(2, Presence::Up)]].concat();
    expect_that!(presence(&restarted), some(eq(Presence::Up)));
}

fn request_key() -> RequestKey {
    RequestKey { workspace: "w".into(), route: "r".into(), idempotency_key: "k".into() }
}

fn attempt(session: u64, number: u64) -> Attempt {
    Attempt { session: Session(session), number }
}

fn claim(attempt: Attempt, digest: u8) -> claim::Command {
    claim::Command::Claim { key: request_key(), digest: RequestDigest([digest; 32]), attempt }
}

fn response() -> claim::StoredResponse {
    claim::StoredResponse { status: 200, content_type: None, body: Some(b"booked".to_vec()) }
}

fn finish(attempt: Attempt, response: Option<claim::StoredResponse>) -> claim::Command {
    claim::Command::Finish { key: request_key(), attempt, response }
}

/// Returns claims with the live sessions 1 and 2.
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
    first_claim_is_acquired: [claim(attempt(1, 1), 0)] => Outcome::Acquired;
    claim_by_another_session_is_running: [claim(attempt(1, 1), 0), claim(attempt(2, 1), 0)]
        => Outcome::Running;
    claim_is_acquired_again_by_the_same_attempt: [claim(attempt(1, 1), 0), claim(attempt(1, 1), 0)]
        => Outcome::Acquired;
    other_digest_is_refused: [claim(attempt(1, 1), 0), claim(attempt(2, 1), 1)]
        => Outcome::DigestMismatch;
    finished_request_returns_the_stored_response: [claim(attempt(1, 1), 0),
        finish(attempt(1, 1), Some(response())), claim(attempt(2, 1), 0)] => Outcome::Done(response());
    lost_response_is_unknown: [claim(attempt(1, 1), 0), finish(attempt(1, 1), None),
        claim(attempt(2, 1), 0)] => Outcome::Unknown;
    only_the_holder_finishes_a_claim: [claim(attempt(1, 1), 0),
        finish(attempt(2, 1), Some(response())), claim(attempt(2, 1), 0)] => Outcome::Running;
    released_claim_can_be_acquired_again: [claim(attempt(1, 1), 0),
        claim::Command::Release { key: request_key(), attempt: attempt(1, 1) },
        claim(attempt(2, 1), 0)] => Outcome::Acquired;
    finished_claim_is_not_released: [claim(attempt(1, 1), 0),
        finish(attempt(1, 1), Some(response())),
        claim::Command::Release { key: request_key(), attempt: attempt(1, 1) },
        claim(attempt(2, 1), 0)] => Outcome::Done(response());
    unknown_session_acquires_no_claim: [claim(attempt(3, 1), 0)] => Outcome::SessionEnded;
}

#[gtest]
fn ended_session_leaves_an_unknown_outcome() {
    let mut claims = claims();
    claims.apply(&claim(attempt(1, 1), 0), 0);
    claims.end_session(Session(1));
    expect_that!(claims.apply(&claim(attempt(2, 1), 0), 0), eq(&Outcome::Unknown));
    // A late release by the ended session must not let the request run again.
    let release = claim::Command::Release { key: request_key(), attempt: attempt(1, 1) };
    claims.apply(&release, 0);
    expect_that!(claims.apply(&claim(attempt(2, 2), 0), 0), eq(&Outcome::Unknown));
    // A late response from the ended session is still recorded.
    claims.apply(&finish(attempt(1, 1), Some(response())), 0);
    expect_that!(claims.apply(&claim(attempt(2, 3), 0), 0), eq(&Outcome::Done(response())));
}

#[gtest]
fn claims_are_kept_for_the_retention_period_only() {
    let mut claims = claims();
    claims.apply(&claim(attempt(1, 1), 0), 1_000);
    let kept = claims.apply(&claim(attempt(2, 1), 0), 999 + claim::RETENTION_MS);
    expect_that!(kept, eq(&Outcome::Running));
    let dropped = claims.apply(&claim(attempt(2, 2), 0), 1_000 + 2 * claim::RETENTION_MS);
    expect_that!(dropped, eq(&Outcome::Acquired));
}

#[gtest]
fn two_crashes_refuse_a_request_but_not_a_bystander() {
    let (crashing, bystander) = (Fingerprint::of("/p", b"poison"), Fingerprint::of("/p", b"other"));
    let mut suspects = Suspects::default();
    suspects.record_crash(crashing, false, 0);
    suspects.record_crash(bystander, false, 0);
    // A further crash does not count if other requests ran on the target.
    suspects.record_crash(bystander, false, 0);
    expect_that!(suspects.verdict(bystander), eq(Verdict::Suspect));
    suspects.clear(bystander);
    suspects.record_crash(crashing, true, 0);
    suspects.clear(crashing);
    expect_that!(suspects.verdict(bystander), eq(Verdict::Clear));
    expect_that!(suspects.verdict(crashing), eq(Verdict::Refused));
    suspects.expire(RETENTION_MS);
    expect_that!(suspects.verdict(crashing), eq(Verdict::Clear));
}

#[gtest]
fn target_is_reserved_for_one_suspect_at_a_time() {
    let (first, second) = (Fingerprint::of("/p", b"1"), Fingerprint::of("/p", b"2"));
    let reserve = |fingerprint| Command::ReserveTarget { fingerprint, target: "t".into() };
    let finished = Command::ClearSuspect { fingerprint: first };
    let (_, reserved) = apply(&[reserve(first), reserve(first), reserve(second)]);
    expect_that!(reserved, err(matches_pattern!(Error::TargetReserved { .. })));
    let (_, free) = apply(&[reserve(first), finished, reserve(second)]);
    expect_that!(free, ok(eq(&())));
    let crashed = Command::RecordCrash { fingerprint: first, exclusive: true };
    let (_, free) = apply(&[reserve(first), crashed, reserve(second)]);
    expect_that!(free, ok(eq(&())));
}

#[gtest]
fn cached_view_only_moves_forward() {
    let sent = Duration::from_secs(1);
    let (first, second) =
        (Command::PutRecords(workspace(1, 5)), Command::PutRecords(workspace(2, 6)));
    let mut cached = CachedView::default();
    cached.apply_changes(2, [(1, 0, &first), (2, 0, &second)], sent);
    // An answer of a replica that lags behind, and one that was overtaken by another.
    cached.apply_changes(1, [(1, 0, &first)], sent * 5);
    cached.replace(1, View::default(), sent * 5);
    expect_that!(cached.view().workspace("w").map(|w| w.rate), some(eq(6)));
    expect_that!(cached.index(), eq(2));
    expect_that!(
        cached.is_fresh((sent + VIEW_TTL).checked_sub(Duration::from_millis(1)).unwrap()),
        eq(true)
    );
    expect_that!(cached.is_fresh(sent + VIEW_TTL), eq(false));
}
