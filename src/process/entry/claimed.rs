//! Calls that may not be repeated: claim, dispatch once, record.

use std::{sync, time};

use sha2::Digest as _;

use crate::{
    connection::control,
    process::timeline,
    request::{
        refusal::{Ran, Refusal},
        schedule::End,
    },
    version::{
        claim::{self, Command, Outcome},
        state,
    },
};

use crate::process::limits::ChargeGuard;

use super::{
    answer::{self, Response},
    core::Core,
    relay::{self, Failure, Job},
};

/// Pause before a claim is tried again with a new session.
const RENEW_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Times that a session is renewed for one call.
const RENEWALS: usize = 20;

/// A claim that was won, until its outcome is recorded.
struct Won {
    core: sync::Arc<Core>,
    key: claim::RequestKey,
    attempt: claim::Attempt,
}

/// Takes part of a call before it is charged: claims it, or answers from what
/// is recorded.
pub(super) enum Claimed {
    /// The call was won and is to be run.
    Run(Permit),
    /// It ran before; this is the answer.
    Answer(Response),
}

/// The right to run a call once.
pub(super) struct Permit(Option<Won>);

/// Claims a call. Without a key it can't be repeated by its caller, so that
/// there is nothing to claim.
pub(super) async fn claim(
    core: &sync::Arc<Core>,
    key: Option<claim::RequestKey>,
    body: &[u8],
) -> Result<Claimed, Refusal> {
    let Some(key) = key else {
        return Ok(Claimed::Run(Permit(None)));
    };
    let digest = claim::RequestDigest(sha2::Sha256::digest(body).into());
    for _ in 0..RENEWALS {
        let session = core.session();
        let attempt = claim::Attempt { session, number: core.number() };
        match propose(core, &key, digest, attempt).await? {
            Outcome::Acquired => {
                let won = Won { core: core.clone(), key, attempt };
                return Ok(Claimed::Run(Permit(Some(won))));
            }
            Outcome::Done(recorded) => return replay(recorded).map(Claimed::Answer),
            Outcome::Running => return Err(Refusal::IdempotencyInProgress),
            Outcome::Unknown => return Err(Refusal::OutcomeUnknown),
            Outcome::DigestMismatch => return Err(Refusal::IdempotencyKeyReused),
            Outcome::SessionEnded => {
                core.renew_session(session);
                let begin = state::Change::Begin(core.session());
                // If this fails the next turn of the loop finds out.
                let _ = core.propose(begin).await;
                tokio::time::sleep(RENEW_PAUSE).await;
            }
            Outcome::Recorded => break,
        }
    }
    Err(Refusal::ControlUnavailable)
}

/// Proposes a claim until its outcome is known. Proposing the same attempt
/// again is harmless: it wins what it has won.
async fn propose(
    core: &sync::Arc<Core>,
    key: &claim::RequestKey,
    digest: claim::RequestDigest,
    attempt: claim::Attempt,
) -> Result<Outcome, Refusal> {
    let command = Command::Claim { key: key.clone(), digest, attempt };
    match core.propose_again(&state::Change::Claim(command)).await {
        Ok((_, state::Outcome::Claim(outcome))) => Ok(outcome),
        // This attempt may hold the claim and will not use it.
        Err(control::Error::OutcomeUnknown) => {
            abandon(core, key, attempt);
            Err(Refusal::ControlUnavailable)
        }
        Ok(_) | Err(control::Error::Unavailable) => Err(Refusal::ControlUnavailable),
    }
}

/// Releases, in the background, a claim that may have been won and is not used.
fn abandon(core: &sync::Arc<Core>, key: &claim::RequestKey, attempt: claim::Attempt) {
    let release = Command::Release { key: key.clone(), attempt };
    let (core, change) = (core.clone(), state::Change::Claim(release));
    tokio::spawn(async move {
        // If this is lost, the end of the session settles the claim.
        let _ = core.propose_again(&change).await;
    });
}

/// Makes an answer from a recorded one.
fn replay(recorded: claim::StoredResponse) -> Result<Response, Refusal> {
    let body = recorded.body.ok_or(Refusal::AnswerNotKept)?;
    let mut response = http::Response::new(answer::full(body));
    *response.status_mut() =
        http::StatusCode::from_u16(recorded.status).map_err(|_| Refusal::AnswerNotKept)?;
    let content_type = recorded.content_type.and_then(|c| http::HeaderValue::from_str(&c).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    }
    let replayed = http::HeaderValue::from_static("true");
    response.headers_mut().insert("idempotent-replayed", replayed);
    Ok(response)
}

impl Permit {
    /// Gives up the right because the call will not run. The claim is released
    /// before the caller is told so.
    pub(super) async fn release(self) {
        if let Some(won) = self.0 {
            let Won { core, key, attempt } = won;
            let release = Command::Release { key, attempt };
            // If this is lost, the end of the session settles the claim; the
            // call has not run in any case.
            let _ = core.propose_again(&state::Change::Claim(release)).await;
        }
    }

    async fn record(self, response: Option<claim::StoredResponse>) {
        if let Some(won) = self.0 {
            let Won { core, key, attempt } = won;
            let finish = Command::Finish { key, attempt, response };
            // If this is lost, a repeated call is told that the outcome is
            // unknown, which is true of what was recorded.
            let _ = core.propose_again(&state::Change::Claim(finish)).await;
        }
    }
}

/// Runs a call that may not be repeated, at most once.
///
/// The work goes on in a task of its own, so that a caller who goes away does
/// not stop a call whose outcome must be recorded.
pub(super) async fn run(
    core: &sync::Arc<Core>,
    job: Job,
    permit: Permit,
    charged: Option<ChargeGuard>,
) -> Result<Response, Refusal> {
    let core = core.clone();
    let task = tokio::spawn(async move { run_once(&core, job, permit, charged).await });
    task.await.unwrap_or(Err(Refusal::TargetFailed { ran: Ran::Unknown }))
}

async fn run_once(
    core: &sync::Arc<Core>,
    mut job: Job,
    permit: Permit,
    mut charged: Option<ChargeGuard>,
) -> Result<Response, Refusal> {
    let mut tries = 0;
    loop {
        let slot = match job.acquire(core).await {
            Ok(slot) => slot,
            Err(refusal) => return not_run(permit, charged, refusal).await,
        };
        tries += 1;
        if let Some(charged) = charged.as_mut() {
            charged.mark_sent();
        }
        core.timeline.record(timeline::Kind::Dispatched {
            request: job.id.clone(),
            target: slot.target.as_ref().to_owned(),
        });
        let failure = match job.send(core, &slot, None, true).await {
            Ok(answer) => {
                let load = answer.load;
                let head = answer.head;
                match relay::collect(answer.body).await {
                    Ok(body) => {
                        slot.end(End::Finished, load);
                        permit.record(Some(recorded(&head, &body))).await;
                        return Ok(relay::passed_on(&head, answer::full(body)));
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        if failure == Failure::NotSent {
            // Nothing was sent, so trying another target is still the first run.
            if let Err(refusal) = job.failed(core, slot, failure, tries).await {
                return not_run(permit, charged, refusal).await;
            }
            continue;
        }
        slot.end(if failure == Failure::Busy { End::Busy } else { End::Failed }, None);
        permit.record(None).await;
        return Err(match failure {
            Failure::Stalled => Refusal::Timeout { ran: Ran::Unknown },
            _ => Refusal::TargetFailed { ran: Ran::Unknown },
        });
    }
}

async fn not_run(
    permit: Permit,
    charged: Option<ChargeGuard>,
    refusal: Refusal,
) -> Result<Response, Refusal> {
    if let Some(mut charged) = charged {
        charged.used = 0;
    }
    permit.release().await;
    Err(refusal)
}

fn recorded(head: &http::response::Parts, body: &[u8]) -> claim::StoredResponse {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|c| c.to_str().ok()).map(str::to_owned);
    let kept = body.len() <= claim::MAX_RESPONSE_BYTES;
    claim::StoredResponse {
        status: head.status.as_u16(),
        content_type,
        body: kept.then(|| body.to_vec()),
    }
}
