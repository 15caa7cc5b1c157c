//! Forwarding of one request: chooses a target, sends the request, retries after
//! failures, and reads the response.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    connection::{
        buffer,
        dialect::{CallerRequest, ForwardContext, ResponseKind},
        pool::{self, Lease},
    },
    process::limits::ChargeGuard,
    request::{
        gateway::{
            Prompt, admit,
            fleet::{Choice, Locality},
            inquiry::Inquiry,
            tries::{FailedAttempts, Failure, Next},
        },
        refusal::{Ran, Refusal},
    },
    version::{catalog, directory, placer::Availability, suspect::Fingerprint},
};

use super::{
    body::{self, Response},
    core::Core,
    crashes, stream,
};

/// Least remaining time with which an attempt is still sent.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(20);

/// Longest time that a waiting request sleeps before it checks again for a target.
/// A change of the fleet wakes it earlier.
const FLEET_RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Least time after which a caller refused for overload is told to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Delay before a request that a target rejected is sent again, to the same target
/// if there is no other.
const REJECTED_RETRY_DELAY: time::Duration = time::Duration::from_millis(15);

/// A request that is sent to one target after another until one responds. Points
/// in time are readings of the clock in `core`.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) core: sync::Arc<Core>,
    pub(super) request: CallerRequest,
    pub(super) route: catalog::Route,
    pub(super) service: String,
    pub(super) method: http::Method,
    pub(super) uri: http::Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
    pub(super) workspace: Option<String>,
    pub(super) priority: Option<u32>,
    pub(super) arrived_at: time::Duration,
    /// When the caller's limit or the timeout of the route ends, whichever is earlier.
    pub(super) deadline: time::Duration,
    pub(super) attempts: FailedAttempts,
    /// What the request may have in common with others that crash targets.
    pub(super) fingerprints: sync::Arc<[Fingerprint]>,
    /// Ids of the targets of all attempts so far; may repeat.
    pub(super) tried_targets: Vec<String>,
    /// Targets that answered that they lack the model or adapter or are not the intended
    /// target, since the leader last named one that holds it.
    pub(super) missing_at: Vec<String>,
    /// Version of the catalog that was in force when the request arrived.
    pub(super) catalog_version: u64,
    /// Tokens charged to the workspace; `None` without a rate limit.
    pub(super) charge: Option<ChargeGuard>,
    /// Whether the request is counted in the demand for its model.
    pub(super) arrival_recorded: bool,
    pub(super) phase: RequestPhase,
    /// Estimated time to the first output at the target chosen last.
    pub(super) first_output_estimate: time::Duration,
    /// When the request was charged to its workspace. Logged as `charged_ms`.
    pub(super) charged_at: time::Duration,
    /// When the latest attempt was sent.
    pub(super) sent_at: time::Duration,
    /// When the head of the latest response arrived. Logged as `begun_ms`.
    pub(super) responded_at: time::Duration,
}

/// What a request is waiting for. The names appear in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// A target that can take it.
    Choosing,
    /// The response of a target.
    Sent,
    /// Nothing: the request was answered, refused or given up.
    Over,
}

/// A response of a target whose body has yet to be read.
#[derive(Debug)]
pub(super) struct TargetResponse {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) attempt: InFlightAttempt,
}

/// An attempt at a target. Counts towards the target's load until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    core: sync::Arc<Core>,
    pub(super) choice: Choice,
    output_recorded: bool,
}

impl InFlightAttempt {
    fn new(core: &sync::Arc<Core>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        core.fleet.lock().record_sent(&choice, prompt);
        Self { core: core.clone(), choice, output_recorded: false }
    }

    /// Records that the target has begun to send output, so that the tokens of the
    /// prompt no longer count towards its load. Repeated calls have no effect.
    pub(super) fn record_first_output(&mut self) {
        if !self.output_recorded {
            self.output_recorded = true;
            self.core.fleet.lock().record_first_output(&self.choice);
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.record_first_output();
        self.core.fleet.lock().record_end(&self.choice);
    }
}

/// The response that goes to the caller.
enum FinalResponse {
    /// Read to its end.
    Buffered(Response),
    /// A stream whose events have yet to be forwarded.
    Streamed(Box<TargetResponse>),
}

pub(super) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Job {
    pub(super) async fn run(mut self) -> Result<Response, Refusal> {
        let result = self.obtain_response().await;
        if result.is_err() {
            self.phase = RequestPhase::Over;
        }
        match result? {
            FinalResponse::Buffered(response) => Ok(response),
            FinalResponse::Streamed(response) => Ok(stream::relay(self, *response)),
        }
    }

    async fn obtain_response(&mut self) -> Result<FinalResponse, Refusal> {
        loop {
            let response = self.next_response().await?;
            if self.route.kind == catalog::RouteKind::Streaming && response.head.status.is_success()
            {
                return Ok(FinalResponse::Streamed(Box::new(response)));
            }
            match self.buffer_response(response).await {
                Ok(response) => return Ok(FinalResponse::Buffered(response)),
                Err(failure) => self.handle_failure(failure).await?,
            }
        }
    }

    /// Sends the request until a target responds; returns once the head of the
    /// response has arrived.
    pub(super) async fn next_response(&mut self) -> Result<TargetResponse, Refusal> {
        loop {
            let choice = self.choose_target().await?;
            match self.send(choice).await {
                Ok(response) => return Ok(response),
                Err(failure) => self.handle_failure(failure).await?,
            }
        }
    }

    /// Records a failed attempt. Returns a refusal if no further attempt is allowed.
    pub(super) async fn handle_failure(&mut self, failure: Failure) -> Result<(), Refusal> {
        match self.attempts.record_failure(failure) {
            Next::Retry => Ok(()),
            // It may have caused the failure, and would crash the next target.
            Next::RetryWithinBudget(refusal)
                if failure == Failure::Incomplete
                    && crashes::is_suspected(&self.core, &self.fingerprints) =>
            {
                Err(refusal)
            }
            Next::RetryWithinBudget(refusal) => {
                // With too little time left, the caller gets the refusal of the failed
                // attempt, as when the retry budget is used up.
                if self.remaining() < MIN_ATTEMPT_TIME || !self.core.take_retry(&self.service) {
                    return Err(refusal);
                }
                if failure == Failure::Rejected {
                    tokio::time::sleep(REJECTED_RETRY_DELAY).await;
                }
                Ok(())
            }
            Next::Refuse(refusal) => Err(refusal),
        }
    }

    /// Records that a target served the request or most of it, so that the request can't
    /// be what crashes targets.
    pub(super) fn record_served(&self) {
        let now = self.core.clock.now();
        self.core.crash_log.lock().record_served(&self.fingerprints, now);
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> time::Duration {
        self.deadline.saturating_sub(self.core.clock.now())
    }

    /// Chooses a target. Waits if no target can take the request, and asks the leader
    /// to place the model or adapter if no target holds it.
    async fn choose_target(&mut self) -> Result<Choice, Refusal> {
        let mut fleet_changes = self.core.watch_fleet();
        self.phase = RequestPhase::Choosing;
        if !self.arrival_recorded {
            self.arrival_recorded = true;
            if let Some(prompt) = &self.request.prompt {
                let now = self.core.clock.now();
                self.core.fleet.lock().record_arrival(&self.service, prompt, now);
            }
        }
        let mut waiting: Option<WaitingGuard> = None;
        let mut inquiry = Inquiry::default();
        let wait_deadline = self.target_wait_deadline();
        loop {
            let now = self.core.clock.now();
            let open_connections = self.core.pools.connected_addresses(now);
            if now + MIN_ATTEMPT_TIME >= wait_deadline {
                return Err(self.timeout_refusal());
            }
            let chosen = self.core.fleet.lock().choose(
                &self.service,
                self.request.prompt.as_ref(),
                &self.tried_targets,
                &Locality { domain: &self.core.options.domain, connected: &open_connections },
                now,
            );
            let unavailable = match chosen {
                Ok(choice) => {
                    self.first_output_estimate = choice.estimate;
                    self.check_estimate(&choice)?;
                    if let Some(requirement) = choice.scale_out() {
                        self.core.scale_out(requirement);
                    }
                    return Ok(choice);
                }
                // Another gateway has more time to wait for a target.
                Err(_) if self.core.is_stopping() && self.attempts.ran() == Ran::No => {
                    return Err(Refusal::Stopping);
                }
                Err(unavailable) => unavailable,
            };
            if let Some(prompt) =
                self.request.prompt.as_ref().filter(|_| inquiry.is_due(unavailable, now))
            {
                let requirement = prompt.requirement(&self.service);
                waiting.get_or_insert_with(|| WaitingGuard::new(&self.core, &self.service, prompt));
                let max_wait = wait_deadline.saturating_sub(now);
                let availability = self
                    .core
                    .request_placement(&requirement, &self.missing_at, &[], max_wait)
                    .await;
                let now = self.core.clock.now();
                inquiry.record(unavailable, &availability, now);
                match availability {
                    Availability::At(id) => {
                        self.missing_at.clear();
                        self.core.fleet.lock().override_holding(&id, &requirement, true, now);
                        continue;
                    }
                    Availability::Soon(after)
                        if now + after > wait_deadline && self.attempts.ran() == Ran::No =>
                    {
                        return Err(Refusal::Overloaded {
                            retry_after: after.max(MIN_RETRY_AFTER),
                        });
                    }
                    Availability::Soon(_) | Availability::Nowhere => {}
                }
            }
            let pause =
                FLEET_RECHECK_INTERVAL.min(wait_deadline.saturating_sub(self.core.clock.now()));
            // After a timeout, too, the loop checks again.
            let _ = tokio::time::timeout(pause, fleet_changes.changed()).await;
        }
    }

    /// Returns until when the request may wait for a target. A request that may have
    /// run already waits until its deadline.
    fn target_wait_deadline(&self) -> time::Duration {
        if self.attempts.ran() == Ran::No {
            self.core.clock.now()
                + admit::max_target_wait(self.route.latency_objective, self.remaining())
        } else {
            self.deadline
        }
    }

    /// Refuses a prompt whose first output is estimated to come too late. A request that
    /// reached a target before is not refused, nor is one whose chosen target is in
    /// backoff.
    fn check_estimate(&self, choice: &Choice) -> Result<(), Refusal> {
        if self.request.prompt.is_none() || self.attempts.sent() > 0 || choice.in_backoff {
            return Ok(());
        }
        let objective = self.route.latency_objective;
        if choice.estimate <= admit::max_first_output_delay(objective, self.remaining()) {
            return Ok(());
        }
        Err(Refusal::Overloaded { retry_after: admit::retry_after(objective, choice.estimate) })
    }

    fn timeout_refusal(&self) -> Refusal {
        match self.attempts.ran() {
            Ran::No => Refusal::Overloaded { retry_after: MIN_RETRY_AFTER },
            ran => Refusal::Timeout { ran },
        }
    }

    /// Sends the request to a target and classifies the response.
    async fn send(&mut self, choice: Choice) -> Result<TargetResponse, Failure> {
        let core = self.core.clone();
        if self.attempts.sent() == 0 {
            core.record_request(&self.service);
        }
        self.sent_at = core.clock.now();
        self.phase = RequestPhase::Sent;
        let attempt = InFlightAttempt::new(&core, choice, self.request.prompt.as_ref());
        let request = self.target_request(&attempt.choice.id);
        if let Some(charge) = &mut self.charge {
            charge.mark_sent();
        }
        let run_once = self.route.kind != catalog::RouteKind::Idempotent;
        let send = core.pools.send(attempt.choice.address, request, run_once, core.clock.now());
        let result = tokio::time::timeout(self.remaining(), send).await;
        let id = attempt.choice.id.clone();
        self.tried_targets.push(id.clone());
        let (response, lease) = match result {
            Ok(Ok(received)) => received,
            Ok(Err(pool::Error::NotSent { reason })) => {
                self.record_failure(&id, "not sent", &reason);
                return Err(Failure::NotSent);
            }
            Ok(Err(error @ pool::Error::Incomplete { .. })) => {
                crashes::check_target(&core, &attempt.choice, &self.fingerprints);
                self.record_failure(&id, "broken off", &error.to_string());
                return Err(Failure::Incomplete);
            }
            Err(_) => {
                self.record_failure(&id, "too late", "no response before the deadline");
                return Err(Failure::Incomplete);
            }
        };
        self.responded_at = core.clock.now();
        let (head, body) = response.into_parts();
        let failure = match core.dialect.classify_response(&self.request.id, &head) {
            ResponseKind::Answer => None,
            ResponseKind::TargetError => {
                self.record_failure(&id, "failed", head.status.as_str());
                // If there is no further attempt, the caller gets the target's own
                // error response.
                self.may_retry().then_some(Failure::ErrorResponse)
            }
            ResponseKind::Rejected => {
                core.pools.discard_and_release(body, lease, core.clock.now()).await;
                return Err(Failure::Rejected);
            }
            ResponseKind::Misdirected => {
                self.record_misdirected(&id);
                core.pools.discard_and_release(body, lease, core.clock.now()).await;
                return Err(Failure::Misdirected);
            }
            ResponseKind::WrongRequest => {
                self.record_failure(&id, "foreign answer", head.status.as_str());
                return Err(Failure::Incomplete);
            }
        };
        match failure {
            Some(failure) => Err(failure),
            None => Ok(TargetResponse { head, body, lease, attempt }),
        }
    }

    fn may_retry(&self) -> bool {
        let mut attempts = self.attempts;
        matches!(attempts.record_failure(Failure::ErrorResponse), Next::RetryWithinBudget(_))
            && self.remaining() > MIN_ATTEMPT_TIME
    }

    fn record_failure(&self, id: &str, kind: &str, reason: &str) {
        let now = self.core.clock.now();
        self.core.fleet.lock().record_failure(id, now);
        spdlog::warn!("attempt failed", kv: {
            request = self.request.id.as_str(),
            target = id,
            what = kind,
            reason = reason,
            segments = self.shared_segment_ids().as_str(),
            took_ms = millis(now.saturating_sub(self.arrived_at)),
            version = self.catalog_version
        });
    }

    /// Records that a target is not the one that the request was meant for, or lacks the
    /// model or adapter. Both count as lacking it.
    fn record_misdirected(&mut self, id: &str) {
        self.missing_at.push(id.to_owned());
        if let Some(prompt) = &self.request.prompt {
            let requirement: directory::Requirement = prompt.requirement(&self.service);
            let now = self.core.clock.now();
            self.core.fleet.lock().override_holding(id, &requirement, false, now);
        }
        spdlog::info!("target lacks the model or is not the intended one", kv: {
            request = self.request.id.as_str(),
            target = id
        });
    }

    /// Builds the request that is sent to `target`.
    fn target_request(&self, target: &str) -> http::Request<Full<Bytes>> {
        let context = ForwardContext {
            target,
            workspace: self.workspace.as_deref(),
            timeout: self.remaining(),
            priority: self.priority,
            last_event_id: self.request.last_event_id,
        };
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.core.dialect.target_headers(&self.headers, &context);
        request
    }

    /// Reads a response to its end. One that is cut short, late or longer than
    /// [`body::MAX_BUFFERED_BYTES`] is a failed attempt.
    async fn buffer_response(&mut self, response: TargetResponse) -> Result<Response, Failure> {
        let TargetResponse { head, body, lease, mut attempt } = response;
        let id = attempt.choice.id.clone();
        attempt.record_first_output();
        let core = self.core.clone();
        let reading = core.response_budget.read(body, body::MAX_BUFFERED_BYTES);
        let bytes = match tokio::time::timeout(self.remaining(), reading).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                if matches!(error, buffer::Error::Broken { .. }) {
                    crashes::check_target(&core, &attempt.choice, &self.fingerprints);
                }
                self.record_failure(&id, "broken off", &error.to_string());
                return Err(Failure::Incomplete);
            }
            Err(_) => {
                self.record_failure(&id, "too late", "response not complete before the deadline");
                return Err(Failure::Incomplete);
            }
        };
        drop(attempt);
        self.record_served();
        let now = self.core.clock.now();
        self.core.pools.release(lease, now);
        if head.status.is_success() {
            self.core.fleet.lock().record_success(&id);
        }
        self.record_response(&id, head.status);
        Ok(http::Response::from_parts(strip_connection_headers(head), body::from_bytes(bytes)))
    }

    /// Logs the response, counts it in the metrics and marks the request as over.
    pub(super) fn record_response(&mut self, target: &str, status: http::StatusCode) {
        self.phase = RequestPhase::Over;
        let took = self.core.clock.now().saturating_sub(self.arrived_at);
        // `sent` counts the attempts that reached a target, this one included.
        spdlog::info!("request answered", kv: {
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target,
            model = self.request.prompt.as_ref().map_or("", |p| p.model.as_str()),
            segments = self.shared_segment_ids().as_str(),
            estimate_ms = millis(self.first_output_estimate),
            status = status.as_u16(),
            sent = self.attempts.sent() + 1,
            charged_ms = millis(self.charged_at.saturating_sub(self.arrived_at)),
            sent_ms = millis(self.sent_at.saturating_sub(self.arrived_at)),
            workspace = self.workspace.as_deref().unwrap_or(""),
            begun_ms = millis(self.responded_at.saturating_sub(self.arrived_at)),
            took_ms = millis(took),
            version = self.catalog_version
        });
        let outcome = if status.is_success() { "answered" } else { "failed" };
        self.core.metrics.record_response(&self.route.name, outcome, took.as_secs_f64());
    }

    /// Returns the ids of the shared segments of the prompt; empty without a prompt.
    pub(super) fn shared_segment_ids(&self) -> String {
        self.request.prompt.as_ref().map(Prompt::shared_segment_ids).unwrap_or_default()
    }

    /// Marks the request as over, for callers that have logged its end themselves.
    pub(super) fn mark_over(&mut self) {
        self.phase = RequestPhase::Over;
    }

    /// Makes the next attempt ask for the stream from the event after `last_event`.
    pub(super) fn resume_after(&mut self, last_event: u64) {
        self.request.last_event_id = Some(last_event);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.phase == RequestPhase::Over {
            return;
        }
        let took = self.core.clock.now().saturating_sub(self.arrived_at);
        // `sent` counts the failed attempts that reached a target, without the one in
        // flight.
        spdlog::info!("request abandoned before its response was complete", kv: {
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            model = self.request.prompt.as_ref().map_or("", |p| p.model.as_str()),
            adapter = self.request.prompt.as_ref().and_then(|p| p.adapter.as_deref()).unwrap_or(""),
            phase = format!("{:?}", self.phase).as_str(),
            target = self.tried_targets.last().map_or("", String::as_str),
            estimate_ms = millis(self.first_output_estimate),
            deadline_ms = millis(self.deadline.saturating_sub(self.arrived_at)),
            sent = self.attempts.sent(),
            charged_ms = millis(self.charged_at.saturating_sub(self.arrived_at)),
            sent_ms = millis(self.sent_at.saturating_sub(self.arrived_at)),
            took_ms = millis(took),
            version = self.catalog_version
        });
    }
}

/// Removes the headers that describe the connection to the target and the framing
/// of its body.
pub(super) fn strip_connection_headers(head: http::response::Parts) -> http::response::Parts {
    let mut head = head;
    for name in ["connection", "keep-alive", "transfer-encoding", "content-length"] {
        head.headers.remove(name);
    }
    head
}

/// Counts a request as waiting for its model until this is dropped.
#[derive(Debug)]
struct WaitingGuard {
    core: sync::Arc<Core>,
    service: String,
    prompt: Prompt,
}

impl WaitingGuard {
    fn new(core: &sync::Arc<Core>, service: &str, prompt: &Prompt) -> Self {
        core.fleet.lock().record_waiting(service, prompt, true);
        Self { core: core.clone(), service: service.to_owned(), prompt: prompt.clone() }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.core.fleet.lock().record_waiting(&self.service, &self.prompt, false);
    }
}
