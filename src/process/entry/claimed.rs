//! Non-idempotent requests, which are run at most once. One with an idempotency key is
//! claimed in the replicated log before it is sent, and its outcome is recorded there for
//! repeats with the same key.

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

/// Delay before a claim is proposed again under a new session.
const SESSION_RENEWAL_DELAY: time::Duration = time::Duration::from_millis(100);

/// Largest number of proposals of a claim, each but the first under a new session.
const MAX_SESSION_RENEWALS: usize = 20;

/// A claim held by this process whose outcome has not been recorded yet.
struct AcquiredClaim {
    core: sync::Arc<Core>,
    key: claim::RequestKey,
    attempt: claim::Attempt,
}

/// Whether a request is to be run, or was answered before.
pub(super) enum ClaimResult {
    /// This process holds the claim and is to run the request.
    Run(Permit),
    /// The request ran before and got this response.
    Replay(Response),
}

/// Permission to run a request once. `None` if the request has no idempotency key and
/// therefore no claim.
pub(super) struct Permit(Option<AcquiredClaim>);

/// Claims a request, of which `content` is digested. Without a key repeats of it can't
/// be recognised, so there is nothing to claim.
pub(super) async fn claim(
    core: &sync::Arc<Core>,
    key: Option<claim::RequestKey>,
    content: &[u8],
) -> Result<ClaimResult, Refusal> {
    let Some(key) = key else {
        return Ok(ClaimResult::Run(Permit(None)));
    };
    let digest = claim::RequestDigest(sha2::Sha256::digest(content).into());
    for _ in 0..MAX_SESSION_RENEWALS {
        let session = core.session();
        let attempt = claim::Attempt { session, number: core.next_number() };
        match propose_claim(core, &key, digest, attempt).await? {
            Outcome::Acquired => {
                let claim = AcquiredClaim { core: core.clone(), key, attempt };
                return Ok(ClaimResult::Run(Permit(Some(claim))));
            }
            Outcome::Done(stored) => return replay(stored).map(ClaimResult::Replay),
            Outcome::Running => return Err(Refusal::IdempotencyInProgress),
            Outcome::Unknown => return Err(Refusal::OutcomeUnknown),
            Outcome::DigestMismatch => return Err(Refusal::IdempotencyKeyReused),
            Outcome::SessionEnded => {
                core.renew_session(session);
                let begin = state::Change::BeginSession(core.session());
                // If this fails, the next claim reports the session as ended again.
                let _ = core.propose(begin).await;
                tokio::time::sleep(SESSION_RENEWAL_DELAY).await;
            }
            Outcome::Recorded => break,
        }
    }
    Err(Refusal::ControlUnavailable)
}

/// Proposes a claim until its outcome is known. Proposing the same attempt again is
/// safe, since an attempt that holds the claim acquires it again.
async fn propose_claim(
    core: &sync::Arc<Core>,
    key: &claim::RequestKey,
    digest: claim::RequestDigest,
    attempt: claim::Attempt,
) -> Result<Outcome, Refusal> {
    let command = Command::Claim { key: key.clone(), digest, attempt };
    match core.propose_with_retry(&state::Change::Claim(command)).await {
        Ok((_, state::Outcome::Claim(outcome))) => Ok(outcome),
        // The attempt may hold the claim, but the request will not be sent.
        Err(control::Error::OutcomeUnknown) => {
            release_in_background(core, key, attempt);
            Err(Refusal::ControlUnavailable)
        }
        Ok(_) | Err(control::Error::Unavailable | control::Error::Unsupported) => {
            Err(Refusal::ControlUnavailable)
        }
    }
}

/// Releases a claim that the attempt may hold, without waiting for the outcome.
fn release_in_background(core: &sync::Arc<Core>, key: &claim::RequestKey, attempt: claim::Attempt) {
    let release = Command::Release { key: key.clone(), attempt };
    let (core, change) = (core.clone(), state::Change::Claim(release));
    tokio::spawn(async move {
        // If this is lost, the claim ends with the session, and repeats are told that
        // the outcome is unknown.
        let _ = core.propose_with_retry(&change).await;
    });
}

/// Creates the response to a repeat of a request.
fn replay(stored: claim::StoredResponse) -> Result<Response, Refusal> {
    let body = stored.body.ok_or(Refusal::AnswerNotKept)?;
    let mut response = http::Response::new(answer::full_body(body));
    *response.status_mut() =
        http::StatusCode::from_u16(stored.status).map_err(|_| Refusal::AnswerNotKept)?;
    let content_type = stored.content_type.and_then(|c| http::HeaderValue::from_str(&c).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    }
    let replayed = http::HeaderValue::from_static("true");
    response.headers_mut().insert("idempotent-replayed", replayed);
    Ok(response)
}

impl Permit {
    /// Releases the claim of a request that was not sent. Awaited before the caller is
    /// refused, so that the caller can repeat the request at once.
    pub(super) async fn release(self) {
        if let Some(claim) = self.0 {
            let AcquiredClaim { core, key, attempt } = claim;
            let release = Command::Release { key, attempt };
            // If this is lost, the claim ends with the session, and repeats are told
            // that the outcome is unknown, although the request has not run.
            let _ = core.propose_with_retry(&state::Change::Claim(release)).await;
        }
    }

    /// Records the response, or an unknown outcome if it is `None`.
    async fn record_outcome(self, response: Option<claim::StoredResponse>) {
        if let Some(claim) = self.0 {
            let AcquiredClaim { core, key, attempt } = claim;
            let finish = Command::Finish { key, attempt, response };
            // If this is lost, repeats are told that the request is in progress until
            // the session ends, and after that that its outcome is unknown.
            let _ = core.propose_with_retry(&state::Change::Claim(finish)).await;
        }
    }
}

/// Runs a non-idempotent request at most once and records its outcome.
///
/// Runs in a separate task, so that the outcome is recorded even if the caller
/// disconnects.
pub(super) async fn run(
    core: &sync::Arc<Core>,
    job: Job,
    permit: Permit,
    charge: Option<ChargeGuard>,
) -> Result<Response, Refusal> {
    let core = core.clone();
    let task = tokio::spawn(async move { run_once(&core, job, permit, charge).await });
    task.await.unwrap_or(Err(Refusal::TargetFailed { ran: Ran::Unknown }))
}

async fn run_once(
    core: &sync::Arc<Core>,
    mut job: Job,
    permit: Permit,
    mut charge: Option<ChargeGuard>,
) -> Result<Response, Refusal> {
    let mut attempts = 0;
    loop {
        let slot = match job.acquire(core).await {
            Ok(slot) => slot,
            Err(refusal) => return refuse_unsent(permit, charge, refusal).await,
        };
        attempts += 1;
        if let Some(charge) = charge.as_mut() {
            charge.mark_sent();
        }
        core.timeline.record(timeline::Kind::Dispatched {
            request: job.id.clone(),
            target: slot.target.as_ref().to_owned(),
        });
        let failure = match job.send(core, &slot, None, true).await {
            Ok(response) => {
                let load = response.load;
                match relay::read_response(core, response).await {
                    Ok((head, body)) => {
                        slot.release(End::Finished, load);
                        permit.record_outcome(Some(stored_response(&head, &body))).await;
                        return Ok(relay::forwarded_response(&head, answer::full_body(body)));
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        if failure == Failure::NotSent {
            // No target has run the request, so it may be sent to another one.
            if let Err(refusal) = job.handle_failure(core, slot, failure, attempts).await {
                return refuse_unsent(permit, charge, refusal).await;
            }
            continue;
        }
        slot.release(if failure == Failure::Rejected { End::Rejected } else { End::Failed }, None);
        permit.record_outcome(None).await;
        return Err(match failure {
            Failure::TimedOut => Refusal::Timeout { ran: Ran::Unknown },
            _ => Refusal::TargetFailed { ran: Ran::Unknown },
        });
    }
}

/// Refunds the charge and releases the claim of a request that no target has run.
async fn refuse_unsent(
    permit: Permit,
    charge: Option<ChargeGuard>,
    refusal: Refusal,
) -> Result<Response, Refusal> {
    if let Some(mut charge) = charge {
        charge.used = 0;
    }
    permit.release().await;
    Err(refusal)
}

fn stored_response(head: &http::response::Parts, body: &[u8]) -> claim::StoredResponse {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|c| c.to_str().ok()).map(str::to_owned);
    let fits = body.len() <= claim::MAX_RESPONSE_BYTES;
    claim::StoredResponse {
        status: head.status.as_u16(),
        content_type,
        body: fits.then(|| body.to_vec()),
    }
}
