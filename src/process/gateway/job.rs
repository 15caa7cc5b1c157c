//! Forwarding of one request to one target after another until one responds.

use std::{sync, time};

use bytes::Bytes;

use crate::{
    connection::dialect::CallerRequest,
    process::limits::ChargeGuard,
    request::{
        gateway::{
            Prompt,
            tries::{FailedAttempts, Failure, Next},
        },
        refusal::Refusal,
        stage::Stage,
    },
    version::{catalog, suspect::Fingerprint},
};

use super::{
    attempt::{Delivery, TargetResponse},
    body::Response,
    core::Core,
    crashes, intake,
    places::Permit,
    stream,
};

/// Least remaining time with which an attempt is still sent.
pub(super) const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(20);

/// Ranks of routes that are told apart among requests of the same urgency.
const ROUTE_RANKS: u32 = 16;

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
    /// Memory that the body takes.
    pub(super) _reservation: Option<intake::Reservation>,
    pub(super) workspace: Option<String>,
    /// Regions that the workspace allows; any if empty.
    pub(super) workspace_homes: Vec<String>,
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
    /// Place at the target that was chosen, until the request is sent.
    pub(super) permit: Option<Permit>,
    /// Software version that the target must have, since it has sent events of the stream.
    pub(super) required_software: Option<String>,
    /// Software version of the target of the latest attempt.
    pub(super) software: String,
    /// Software version at which the stream begins, as told to control replicas.
    pub(super) begun_software: Option<String>,
    /// Number of the record of that, if an earlier one names another version.
    pub(super) unconfirmed_begin: Option<u64>,
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

/// The response that goes to the caller.
enum FinalResponse {
    /// Read to its end.
    Buffered(Response),
    /// A stream whose events have yet to be forwarded.
    Streamed(Box<TargetResponse>),
}

/// Returns whether a request continues a stream that is known to have begun, at targets of
/// this software version. What a caller states alone gives it no precedence.
pub(super) fn stage(required_software: Option<&str>) -> Stage {
    if required_software.is_some() { Stage::Begun } else { Stage::New }
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
                self.confirm_begun().await?;
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

    /// Records how many events the complete response had.
    pub(super) fn record_length(&self, events: u32) {
        let stated = self.request.prompt.as_ref().map_or(0, |p| p.max_output_tokens);
        self.core.fleet.lock().paces().record_length(&self.route.name, stated, events);
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> time::Duration {
        self.deadline.saturating_sub(self.core.clock.now())
    }

    /// Logs the response, counts it in the metrics and marks the request as over.
    pub(super) fn record_response(
        &mut self,
        target: &str,
        status: http::StatusCode,
        delivery: Delivery,
    ) {
        self.phase = RequestPhase::Over;
        let took = self.core.clock.now().saturating_sub(self.arrived_at);
        // `sent` counts the attempts that reached a target, this one included.
        spdlog::info!("request answered", kv: {
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target,
            software = self.software.as_str(),
            resumes = self.request.resumed_id.as_deref().unwrap_or(""),
            model = self.request.prompt.as_ref().map_or("", |p| p.model.as_str()),
            segments = self.shared_segment_ids().as_str(),
            estimate_ms = millis(self.first_output_estimate),
            status = status.as_u16(),
            framing = delivery.framing.name(),
            relayed = delivery.relayed,
            last = delivery.last.unwrap_or(0),
            sent = self.attempts.sent() + 1,
            charged_ms = millis(self.charged_at.saturating_sub(self.arrived_at)),
            sent_ms = millis(self.sent_at.saturating_sub(self.arrived_at)),
            workspace = self.workspace.as_deref().unwrap_or(""),
            begun_ms = millis(self.responded_at.saturating_sub(self.arrived_at)),
            took_ms = millis(took),
            version = self.catalog_version
        });
        self.core.metrics.record_framing(delivery.framing.name(), delivery.relayed);
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

    /// Binds the request to targets of a software version. What another version writes does
    /// not fit to the events that the caller has.
    pub(super) fn require_software(&mut self, software: &str) {
        self.required_software.get_or_insert_with(|| software.to_owned());
    }

    /// Returns whether the request continues a stream, for its caller or after a target
    /// failed.
    pub(super) fn stage(&self) -> Stage {
        stage(self.required_software.as_deref())
    }

    /// Returns the rank of the request among those that wait at a target.
    pub(super) fn urgency(&self) -> Option<u32> {
        self.priority.map(|priority| self.stage().urgency(priority))
    }

    /// Returns the rank of the request among those that wait at the leader: by the priority of
    /// its workspace, or else of its route, and among equals by that of its route.
    pub(super) fn rank(&self) -> u32 {
        let urgency = self.urgency().unwrap_or(u32::MAX / ROUTE_RANKS);
        urgency.saturating_mul(ROUTE_RANKS).saturating_add(self.route.priority.min(ROUTE_RANKS - 1))
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
            begun_ms = millis(self.responded_at.saturating_sub(self.arrived_at)),
            took_ms = millis(took),
            version = self.catalog_version
        });
    }
}
