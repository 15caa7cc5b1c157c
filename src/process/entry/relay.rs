//! Sending of a request to targets, with retries after failed attempts.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt};

use crate::{
    connection::{buffer, framing::Framing},
    process::timeline,
    request::{
        headers,
        refusal::{Ran, Refusal},
        retry, schedule,
        schedule::{End, Request},
        sse,
    },
    version::{key, state, suspect, view},
};

use crate::process::limits::ChargeGuard;

use super::{answer, core::Core, dispatch::Slot, ending};

/// How long a target may take to begin its response, and between two parts of a
/// stream. The complete body of a response that is not a stream may take four times as
/// long.
pub(super) const TARGET_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How long a request may at least wait for another target after a failed attempt.
const RETRY_WAIT: time::Duration = time::Duration::from_secs(30);

/// Delay before a request suspected of crashing targets (a suspect) waits for a slot
/// again, after the target was found to be reserved for another suspect.
const TRIAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Largest response that is read completely before it is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Memory for the responses that are read completely at a time, in bytes.
pub(super) const RESPONSE_BUDGET_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Header in which a target reports how many requests it runs or queues.
const LOAD_HEADER: &str = "x-load";

/// Header that states how many output events of a stream the caller already has.
pub(super) const RESUME_HEADER: &str = "x-resume-offset";

/// Header with which a target states that its streams can be resumed, by targets that state
/// the same value. Targets whose output does not fit together state different ones.
pub(super) const RESUMABLE_HEADER: &str = "x-resumable";

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// HTTP clients for requests to targets.
#[derive(Debug)]
pub(super) struct TargetClients {
    /// Reuses connections. For requests that may be sent more than once.
    pooled: HttpClient,
    /// Opens a connection for each request, so that a failure to connect proves that
    /// nothing was sent. For requests that may run at most once.
    unpooled: HttpClient,
}

impl TargetClients {
    pub(super) fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(time::Duration::from_secs(1)));
        let builder = || {
            let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
            builder.http1_max_buf_size(MAX_HEAD_BYTES);
            builder
        };
        Self {
            pooled: builder().build(connector.clone()),
            unpooled: builder()
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

/// A request that is sent to one target after another until one responds.
#[derive(Debug)]
pub(super) struct Job {
    /// Id of the request in headers, error responses and the timeline, which is the
    /// log of events.
    pub(super) id: String,
    /// Key of the caller; `None` on a route that needs no key.
    pub(super) key: Option<key::Presented>,
    pub(super) method: http::Method,
    pub(super) uri: http::Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
    /// What the scheduler needs to know: model, deadline, targets to avoid and so on.
    pub(super) schedule_request: schedule::Request,
    pub(super) fingerprint: suspect::Fingerprint,
    /// Incomplete responses that this process counted as crashes of targets, as in
    /// [`suspect::Suspects::record_crash`].
    pub(super) crashes: u32,
    /// Whether an earlier attempt may have run it.
    pub(super) may_have_run: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No part of the request was sent.
    NotSent,
    /// The request was sent, and the connection failed before the response was complete.
    Incomplete,
    /// The target sent a response above a size limit, or bytes that are none. It may have
    /// run the request and has not crashed.
    Unusable,
    /// The target did not begin or continue its response in time.
    TimedOut,
    /// The target rejected the request because it was full or lacked the model.
    Rejected,
    /// The target would continue a stream with output that does not fit to what the caller
    /// has.
    OtherVersion,
}

/// A response of a target whose body has yet to be read.
pub(super) struct TargetResponse {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    /// Address of the target.
    address: net::SocketAddr,
    /// Requests that the target runs or queues, if it reported them.
    pub(super) load: Option<u32>,
}

impl Job {
    /// Waits for a slot on a target; then checks that the request may still run. A
    /// suspect also waits until the target is reserved for it.
    pub(super) async fn acquire(&self, core: &sync::Arc<Core>) -> Result<Slot, Refusal> {
        loop {
            let slot = core.dispatcher.acquire(core, self.schedule_request.clone()).await;
            let permitted = slot.and_then(|slot| self.check_permitted(core).map(|()| slot));
            let slot = permitted.map_err(|refusal| self.adjust_refusal(refusal))?;
            if !self.schedule_request.exclusive || self.begin_trial(core, &slot.target).await {
                return Ok(slot);
            }
            drop(slot);
            tokio::time::sleep(TRIAL_RETRY_DELAY).await;
        }
    }

    /// Reserves the target for a trial of this suspect. Returns false if the command was
    /// not applied, usually because the target is reserved for another suspect, perhaps
    /// of another entry process.
    async fn begin_trial(&self, core: &sync::Arc<Core>, target: &str) -> bool {
        let (fingerprint, target) = (self.fingerprint, target.to_owned());
        let change = state::Change::View(view::Command::ReserveTarget { fingerprint, target });
        match core.propose_with_retry(&change).await {
            Ok((_, outcome)) => outcome == state::Outcome::Applied,
            // If the leader does not answer, the target is perhaps shared with suspects of
            // other entry processes, which only the replicated log excludes. The slot
            // excludes other requests of this process.
            Err(_) => true,
        }
    }

    /// Replaces a refusal stating that the request did not run, if an earlier attempt
    /// may have run it.
    fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.ran() == Ran::No {
            return Refusal::TargetFailed { ran: Ran::Unknown };
        }
        refusal
    }

    /// Checks that the view is fresh, that the key is still valid, and that the request
    /// is not refused for crashing targets.
    fn check_permitted(&self, core: &sync::Arc<Core>) -> Result<(), Refusal> {
        let config = core.fresh_config().ok_or(Refusal::StaleConfiguration)?;
        if self.key.as_ref().is_some_and(|k| config.authorize(k).is_none()) {
            return Err(Refusal::Unauthorized);
        }
        match config.view().suspects().verdict(self.fingerprint) {
            suspect::Verdict::Refused => Err(Refusal::CrashesTargets),
            suspect::Verdict::Suspect | suspect::Verdict::Clear => Ok(()),
        }
    }

    /// Sends the request to the target of a slot and waits for the head of the response.
    ///
    /// `resume` is the number of output events after which to resume a stream. With
    /// `at_most_once` a connection of its own is used, and a response that rejects the
    /// request is returned like any other.
    pub(super) async fn send(
        &self,
        core: &sync::Arc<Core>,
        slot: &Slot,
        resume: Option<u64>,
        at_most_once: bool,
    ) -> Result<TargetResponse, Failure> {
        let config = core.config();
        let target = config.view().targets().get(&*slot.target).ok_or(Failure::NotSent)?;
        let path = self.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() =
            format!("http://{}{path}", target.address).parse().map_err(|_| Failure::NotSent)?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        if let Ok(id) = http::HeaderValue::from_str(&self.id) {
            headers.insert("x-request-id", id);
        }
        let priority = if self.schedule_request.deferrable { "low" } else { "high" };
        headers.insert("x-priority", http::HeaderValue::from_static(priority));
        if let Some(offset) = resume {
            headers.insert(RESUME_HEADER, offset.into());
        }
        let client =
            if at_most_once { &core.target_clients.unpooled } else { &core.target_clients.pooled };
        match tokio::time::timeout(TARGET_IDLE_TIMEOUT, client.request(request)).await {
            Ok(Ok(response)) => check_response(response, target.address, at_most_once),
            Ok(Err(error)) if error.is_connect() => Err(Failure::NotSent),
            Ok(Err(error)) if is_malformed(&error) => Err(Failure::Unusable),
            Ok(Err(_)) => Err(Failure::Incomplete),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Records a failed attempt. `attempts` is the number of attempts so far, this one
    /// included. Another may follow if the result is `Ok`.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt is allowed.
    pub(super) async fn handle_failure(
        &mut self,
        core: &sync::Arc<Core>,
        slot: Slot,
        failure: Failure,
        attempts: usize,
    ) -> Result<(), Refusal> {
        let target = slot.target.clone();
        self.schedule_request.avoid.push(target.clone());
        let exclusive = self.schedule_request.exclusive;
        let blameless = matches!(failure, Failure::Rejected | Failure::OtherVersion);
        slot.release(if blameless { End::Rejected } else { End::Failed }, None);
        self.may_have_run |=
            matches!(failure, Failure::Incomplete | Failure::Unusable | Failure::TimedOut);
        if failure == Failure::Incomplete {
            self.record_crash(core, &target, exclusive).await?;
        }
        let now = core.clock.now();
        let needs_untried = matches!(failure, Failure::Unusable | Failure::OtherVersion);
        if needs_untried && !self.has_untried_target(core) {
            return Err(self.adjust_refusal(Refusal::TargetFailed { ran: Ran::No }));
        }
        if attempts >= retry::MAX_ATTEMPTS || !core.retry_budget.lock().take(now) {
            return Err(self.adjust_refusal(Refusal::TargetFailed { ran: Ran::No }));
        }
        // The deadline applies to the start of the first attempt only.
        self.schedule_request.deadline = self.schedule_request.deadline.max(now + RETRY_WAIT);
        core.metrics.record_retry();
        core.timeline.record(timeline::Kind::Retried {
            request: self.id.clone(),
            target: target.as_ref().to_owned(),
        });
        Ok(())
    }

    /// Returns true if a target that the request has not been sent to could serve it.
    fn has_untried_target(&self, core: &Core) -> bool {
        let config = core.config();
        let targets = schedule::available_targets(config.view());
        let Request { pool, avoid, .. } = &self.schedule_request;
        targets.iter().any(|t| t.pools.contains(pool) && !avoid.contains(&t.name))
    }

    /// Records an incomplete response as a crash of the target, and makes the request
    /// exclusive. `exclusive` states whether it was so in the failed attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if [`suspect::REFUSE_AFTER_CRASHES`] crashes were counted for the
    /// request.
    async fn record_crash(
        &mut self,
        core: &sync::Arc<Core>,
        target: &str,
        exclusive: bool,
    ) -> Result<(), Refusal> {
        let target = target.to_owned();
        core.timeline.record(timeline::Kind::TargetFailed { target });
        self.crashes += u32::from(exclusive || self.crashes == 0);
        self.schedule_request.exclusive = true;
        let crash = view::Command::RecordCrash { fingerprint: self.fingerprint, exclusive };
        let change = state::Change::View(crash);
        // The count of this process decides, also if the leader does not answer.
        let _ = core.propose_with_retry(&change).await;
        let refused = self.crashes >= suspect::REFUSE_AFTER_CRASHES;
        if refused { Err(Refusal::CrashesTargets) } else { Ok(()) }
    }

    /// Clears the request as a suspect after it has finished, if it was exclusive.
    pub(super) fn clear_suspect(&self, core: &sync::Arc<Core>) {
        if self.schedule_request.exclusive {
            core.propose_in_background(view::Command::ClearSuspect {
                fingerprint: self.fingerprint,
            });
        }
    }
}

/// Reads the load that a target reports, and fails if the target rejected the request
/// because it is full or lacks the model; every 503 response counts as full. With
/// `at_most_once` such a response is returned as well.
fn check_response(
    response: http::Response<Incoming>,
    address: net::SocketAddr,
    at_most_once: bool,
) -> Result<TargetResponse, Failure> {
    let (head, body) = response.into_parts();
    let load = head.headers.get(LOAD_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    let lacks_model =
        head.status == http::StatusCode::NOT_FOUND && head.headers.get("x-lacks-model").is_some();
    let busy = head.status == http::StatusCode::SERVICE_UNAVAILABLE;
    if !at_most_once && (lacks_model || busy) {
        return Err(Failure::Rejected);
    }
    Ok(TargetResponse { head, body, address, load })
}

/// Returns true if the target sent bytes that are no response.
fn is_malformed(error: &legacy::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|s| s.downcast_ref::<hyper::Error>());
    source.is_some_and(|e| e.is_parse() || e.is_parse_too_large())
}

/// Reads a response with a body of at most [`MAX_RESPONSE_BYTES`].
pub(super) async fn read_response(
    core: &Core,
    response: TargetResponse,
) -> Result<(http::response::Parts, Bytes), Failure> {
    let TargetResponse { head, body, address, .. } = response;
    let framing = Framing::of(&head, &body);
    let body = read_body(core, body).await?;
    ending::confirm(address, framing).await?;
    Ok((head, body))
}

async fn read_body(core: &Core, body: Incoming) -> Result<Bytes, Failure> {
    let reading = core.response_budget.read(body, MAX_RESPONSE_BYTES);
    match tokio::time::timeout(TARGET_IDLE_TIMEOUT * 4, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(buffer::Error::Broken { .. })) => Err(Failure::Incomplete),
        Ok(Err(buffer::Error::TooLong { .. } | buffer::Error::BudgetExhausted { .. })) => {
            Err(Failure::Unusable)
        }
        Err(_) => Err(Failure::TimedOut),
    }
}

/// Sends a request and returns the response once it has been read completely. After a
/// failure the request is sent to another target.
pub(super) async fn send_buffered(
    core: &sync::Arc<Core>,
    mut job: Job,
    mut charge: Option<ChargeGuard>,
) -> Result<answer::Response, Refusal> {
    let mut attempts = 0;
    loop {
        let slot = match job.acquire(core).await {
            Ok(slot) => slot,
            Err(refusal) => {
                refund_unless_ran(charge.as_mut(), &refusal);
                return Err(refusal);
            }
        };
        attempts += 1;
        core.retry_budget.lock().record_attempt();
        if let Some(charge) = charge.as_mut() {
            charge.mark_sent();
        }
        let attempt = async {
            let response = job.send(core, &slot, None, false).await?;
            let load = response.load;
            let (head, body) = read_response(core, response).await?;
            Ok((head, body, load))
        };
        match attempt.await {
            Ok((head, body, load)) => {
                slot.release(End::Finished, load);
                job.clear_suspect(core);
                record_usage(charge.as_mut(), &head, &body);
                return Ok(forwarded_response(&head, answer::full_body(body)));
            }
            Err(failure) => {
                if let Err(refusal) = job.handle_failure(core, slot, failure, attempts).await {
                    refund_unless_ran(charge.as_mut(), &refusal);
                    return Err(refusal);
                }
            }
        }
    }
}

/// Refunds the charge if the refusal states that the request did not run.
fn refund_unless_ran(charge: Option<&mut ChargeGuard>, refusal: &Refusal) {
    if let Some(charge) = charge.filter(|_| refusal.ran() == Ran::No) {
        charge.used = 0;
    }
}

/// Records the tokens used: none after a client error, else those that the response
/// states, if any.
fn record_usage(charge: Option<&mut ChargeGuard>, head: &http::response::Parts, body: &[u8]) {
    let Some(charge) = charge else {
        return;
    };
    if head.status.is_client_error() {
        charge.used = 0;
    } else if let Ok(Some(tokens)) = sse::usage(body) {
        charge.used = tokens;
    }
}

/// Creates the response for the caller from the head of the target's response.
pub(super) fn forwarded_response(
    head: &http::response::Parts,
    body: answer::Body,
) -> answer::Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    let mut headers = headers::forwarded(&head.headers);
    for name in [LOAD_HEADER, RESUMABLE_HEADER] {
        headers.remove(name);
    }
    *response.headers_mut() = headers;
    response
}
