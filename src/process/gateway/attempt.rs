//! One attempt at a target: sends the request, classifies the response and reads it.

use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    connection::{
        buffer,
        dialect::{ForwardContext, ResponseKind},
        framing::Framing,
        pool::{self, Lease, Reuse, Reusing},
        stray,
    },
    request::{
        gateway::{
            Prompt,
            fleet::Choice,
            pace::{Meter, Outcome},
            reach::ConnectFailure,
            tries::{Failure, Next},
        },
        limit::turn,
    },
    version::{catalog, directory},
};

use super::{
    body::{self, Response},
    core::Core,
    crashes, excluded,
    job::{Job, MIN_ATTEMPT_TIME, RequestPhase, millis},
    places::Permit,
};

/// A response of a target whose body has yet to be read.
#[derive(Debug)]
pub(super) struct TargetResponse {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) attempt: InFlightAttempt,
}

impl TargetResponse {
    /// Returns what the log tells about the way of the response.
    pub(super) fn delivery(&self) -> Delivery {
        let framing = Framing::of(&self.head, &self.body);
        Delivery { framing, relayed: self.lease.is_relayed(), last: None }
    }
}

/// How a response came from its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delivery {
    /// What marks its end.
    pub(super) framing: Framing,
    /// Whether its connection goes through another gateway.
    pub(super) relayed: bool,
    /// Id of the last event that was forwarded.
    pub(super) last: Option<u64>,
}

/// An attempt at a target. Counts towards the target's load until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    core: sync::Arc<Core>,
    pub(super) choice: Choice,
    /// Place at the target, if that must not be overfilled.
    permit: Option<Permit>,
    output_recorded: bool,
    /// Watches how fast the target is.
    meter: Meter,
    outcome: Outcome,
}

impl InFlightAttempt {
    fn new(
        core: &sync::Arc<Core>,
        choice: Choice,
        permit: Option<Permit>,
        prompt: Option<&Prompt>,
    ) -> Self {
        let meter = {
            let mut fleet = core.fleet.lock();
            fleet.record_sent(&choice, prompt);
            fleet.paces().begin(choice.sent, core.clock.now())
        };
        let outcome = Outcome::Failed;
        Self { core: core.clone(), choice, permit, output_recorded: false, meter, outcome }
    }

    /// Records that events of a stream have arrived.
    pub(super) fn record_events(&mut self, count: u32) {
        let now = self.core.clock.now();
        if let Some(sample) = self.meter.count(count, now) {
            self.core.fleet.lock().paces().record(&self.meter, sample, now);
        }
    }

    /// Records that the response is complete.
    pub(super) fn record_served(&mut self) {
        self.outcome = Outcome::Served;
    }

    /// Records that the target has begun to send output, so that the tokens of the
    /// prompt no longer count towards its load. Repeated calls have no effect.
    pub(super) fn record_first_output(&mut self) {
        if !self.output_recorded {
            self.output_recorded = true;
            self.core.fleet.lock().record_first_output(&self.choice);
            if let Some(permit) = self.permit.as_ref().filter(|_| self.choice.requirement.is_some())
            {
                permit.record_output();
            }
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut fleet = self.core.fleet.lock();
        if !self.output_recorded {
            fleet.record_first_output(&self.choice);
        }
        fleet.record_end(&self.choice);
        fleet.paces().end(&self.meter, self.outcome, self.core.clock.now());
    }
}

impl Job {
    /// Sends the request to a target and classifies the response.
    pub(super) async fn send(&mut self, choice: Choice) -> Result<TargetResponse, Failure> {
        let core = self.core.clone();
        if self.attempts.sent() == 0 {
            core.record_request(&self.service);
        }
        self.sent_at = core.clock.now();
        self.software.clone_from(&choice.software);
        self.record_begun(&choice.software);
        self.phase = RequestPhase::Sent;
        let prompt = self.request.prompt.as_ref();
        let mut attempt = InFlightAttempt::new(&core, choice, self.permit.take(), prompt);
        let request = self.target_request(&attempt.choice.id);
        if let Some(charge) = &mut self.charge {
            charge.mark_sent();
        }
        let run_once = self.route.kind != catalog::RouteKind::Idempotent;
        // The regions of other gateways are not known here.
        let direct = !self.homes().is_any();
        let reusing = Reusing { id: &self.request.id, run_once, call: None, direct };
        let send = exchange(&core, &attempt.choice, request, reusing);
        let result = tokio::time::timeout(self.remaining(), send).await;
        let id = attempt.choice.id.clone();
        self.tried_targets.push(id.clone());
        let (response, mut lease) = match result {
            Ok(Ok(received)) => received,
            Ok(Err(pool::Error::NotSent { reason, failure })) => {
                if failure == Some(ConnectFailure::Refused) {
                    self.record_refused(&id);
                }
                self.record_failure(&id, "not sent", &reason);
                return Err(Failure::NotSent);
            }
            Ok(Err(error @ pool::Error::Incomplete { .. })) => {
                core.fleet.lock().record_broken(&attempt.choice.id);
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
        let kind = core.dialect.classify_response(&self.request.id, &head, lease.is_reused());
        if kind != ResponseKind::WrongRequest {
            let interval = core.dialect.stated_limit(&head).map(turn::interval);
            core.record_limit(&attempt.choice, interval);
            core.record_rejection_limit(&self.service, core.dialect.rejection_limit(&head));
            core.record_notice(&attempt.choice, &head);
            core.record_cold_stated(&attempt.choice, &head);
        }
        let failure = match kind {
            ResponseKind::Answer => None,
            ResponseKind::TargetError => {
                self.record_failure(&id, "failed", head.status.as_str());
                // If there is no further attempt, the caller gets the target's own
                // error response.
                self.may_retry().then_some(Failure::ErrorResponse)
            }
            ResponseKind::Rejected => {
                if let Some(permit) = &mut attempt.permit {
                    permit.record_rejection();
                }
                spdlog::info!("target rejected the request", kv: {
                    request = self.request.id.as_str(),
                    target = id.as_str(),
                    status = head.status.as_u16(),
                    slots = attempt.choice.slots,
                    running = attempt.choice.running
                });
                lease.record_rejected(&self.request.id);
                core.pools.discard_and_release(body, lease, core.clock.now()).await;
                return Err(Failure::Rejected);
            }
            ResponseKind::Misdirected => {
                self.record_misdirected(&id);
                lease.record_rejected(&self.request.id);
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

    pub(super) fn record_failure(&self, id: &str, kind: &str, reason: &str) {
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

    /// Records that a target refused a connection. Like one that lacks the model, it can't
    /// serve it, so the leader may place the model elsewhere.
    fn record_refused(&mut self, id: &str) {
        self.core.fleet.lock().record_refused(id, self.core.clock.now());
        if self.request.prompt.is_some() {
            self.missing_at.push(id.to_owned());
        }
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
            priority: self.urgency(),
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
    pub(super) async fn buffer_response(
        &mut self,
        response: TargetResponse,
    ) -> Result<Response, Failure> {
        let delivery = response.delivery();
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
        if delivery.framing == Framing::CloseDelimited
            && stray::contains_head(&bytes, core.dialect.id_header())
        {
            self.record_failure(&id, "foreign bytes", "the body contains another response");
            return Err(Failure::Incomplete);
        }
        if let Err(failure) = self.confirm_end(&attempt.choice, delivery.framing).await {
            crashes::check_target(&core, &attempt.choice, &self.fingerprints);
            self.record_failure(&id, "cut short", "the target is gone");
            return Err(failure);
        }
        if head.status.is_success() {
            attempt.record_served();
        }
        drop(attempt);
        // A target may fail before it runs the request, so an error clears nothing.
        if !head.status.is_server_error() {
            self.record_served();
        }
        let now = self.core.clock.now();
        self.core.pools.release(lease, now);
        if head.status.is_success() {
            self.core.fleet.lock().record_success(&id);
        }
        self.record_response(&id, head.status, delivery);
        Ok(http::Response::from_parts(strip_connection_headers(head), body::from_bytes(bytes)))
    }
}

/// Sends a request to the chosen target, on an open connection if there is one.
async fn exchange(
    core: &Core,
    choice: &Choice,
    request: http::Request<Full<Bytes>>,
    reusing: Reusing<'_>,
) -> Result<(http::Response<Incoming>, Lease), pool::Error> {
    let (target, direct) = (choice.address, reusing.direct);
    match core.pools.send_reused(target, request, reusing, core.clock.now()).await? {
        Reuse::Response(response, lease) => Ok((*response, lease)),
        Reuse::NoConnection(request) => {
            let opened =
                if direct { core.open_direct(target).await? } else { core.open(target).await? };
            // Opening may take longer than the time in which an evacuation must take effect.
            excluded::check(core, choice)?;
            core.pools.send_on(target, opened, request).await
        }
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
