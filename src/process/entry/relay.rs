//! Sending a request to a target and telling what became of it.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt};

use crate::{
    process::timeline,
    request::{
        headers,
        refusal::{Ran, Refusal},
        retry, schedule,
        schedule::End,
        sse,
    },
    version::{key, state, suspect, view},
};

use crate::process::limits::ChargeGuard;

use super::{answer, core::Core, dispatch::Slot};

/// How long a target may be silent.
pub(super) const STALL: time::Duration = time::Duration::from_secs(30);

/// How long a request that has started may wait for another target.
const RETRY_PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Pause before a suspect looks for a target again.
const TRIAL_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Largest whole answer, in bytes.
const ANSWER_BYTES: usize = 32 << 20;

/// Header in which a target reports its requests.
const LOAD_HEADER: &str = "x-load";

/// Header that names the output already delivered, in events.
pub(super) const RESUME_HEADER: &str = "x-resume-offset";

/// Header by which a target says that it can resume a stream.
pub(super) const RESUMABLE_HEADER: &str = "x-resumable";

type Http = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Clients towards targets.
#[derive(Debug)]
pub(super) struct Clients {
    /// Keeps connections; for requests that may be repeated.
    pooled: Http,
    /// Opens a connection for each call, so that a failure to connect proves
    /// that nothing was sent.
    single: Http,
}

impl Clients {
    pub(super) fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(time::Duration::from_secs(1)));
        let builder = || legacy::Client::builder(rt::TokioExecutor::new());
        Self {
            pooled: builder().build(connector.clone()),
            single: builder()
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

/// A request on its way to a target.
#[derive(Debug)]
pub(super) struct Job {
    /// Id of the request, for the caller and the logs.
    pub(super) id: String,
    /// Key that it came with.
    pub(super) key: Option<key::Presented>,
    pub(super) method: http::Method,
    pub(super) uri: http::Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
    /// How it is to be scheduled.
    pub(super) plan: schedule::Request,
    pub(super) fingerprint: suspect::Fingerprint,
    /// Crashes of targets that ran it, as far as this entry saw them.
    pub(super) crashes: u32,
    /// Whether a target may have run it.
    pub(super) sent: bool,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The connection broke after something was sent.
    Broken,
    /// The target was silent for too long.
    Stalled,
    /// The target refused for want of room, or lacks the model.
    Busy,
}

/// The head of a target's answer, and its body to be read.
pub(super) struct Answer {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    pub(super) load: Option<u32>,
}

impl Job {
    /// Waits for a place on a target, and checks on the way out that the
    /// request may still run.
    pub(super) async fn acquire(&self, core: &sync::Arc<Core>) -> Result<Slot, Refusal> {
        loop {
            let slot = core.dispatch.acquire(core, self.plan.clone()).await;
            let checked = slot.and_then(|slot| self.check(core).map(|()| slot));
            let slot = checked.map_err(|refusal| self.restate(refusal))?;
            if !self.plan.exclusive || self.begin_trial(core, &slot.target).await {
                return Ok(slot);
            }
            drop(slot);
            tokio::time::sleep(TRIAL_PAUSE).await;
        }
    }

    /// Has the target given to this suspect, apart from those of all entries.
    async fn begin_trial(&self, core: &sync::Arc<Core>, target: &str) -> bool {
        let (fingerprint, target) = (self.fingerprint, target.to_owned());
        let change = state::Change::View(view::Command::Try { fingerprint, target });
        match core.propose_again(&change).await {
            Ok((_, outcome)) => outcome == state::Outcome::Applied,
            // Without control it is kept apart on this entry only.
            Err(_) => true,
        }
    }

    /// Makes sure that a refusal after a try does not claim that nothing ran.
    fn restate(&self, refusal: Refusal) -> Refusal {
        if self.sent && refusal.ran() == Ran::No {
            return Refusal::TargetFailed { ran: Ran::Unknown };
        }
        refusal
    }

    /// Checks that the view is fresh, that the key still opens the workspace,
    /// and that the request is not known to crash targets.
    fn check(&self, core: &sync::Arc<Core>) -> Result<(), Refusal> {
        let live = core.fresh().ok_or(Refusal::StaleConfiguration)?;
        if self.key.as_ref().is_some_and(|k| live.scope(k).is_none()) {
            return Err(Refusal::Unauthorized);
        }
        match live.view().suspects().verdict(self.fingerprint) {
            suspect::Verdict::Refused => Err(Refusal::CrashesTargets),
            suspect::Verdict::Suspect | suspect::Verdict::Clear => Ok(()),
        }
    }

    /// Sends the request to the target of a slot and waits for the head of its
    /// answer.
    pub(super) async fn send(
        &self,
        core: &sync::Arc<Core>,
        slot: &Slot,
        resume: Option<u64>,
        single: bool,
    ) -> Result<Answer, Failure> {
        let live = core.live();
        let target = live.view().targets().get(&*slot.target).ok_or(Failure::NotSent)?;
        let path = self.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() =
            format!("http://{}{path}", target.address).parse().map_err(|_| Failure::NotSent)?;
        let sent = request.headers_mut();
        *sent = self.headers.clone();
        if let Ok(id) = http::HeaderValue::from_str(&self.id) {
            sent.insert("x-request-id", id);
        }
        let priority = if self.plan.deferrable { "low" } else { "high" };
        sent.insert("x-priority", http::HeaderValue::from_static(priority));
        if let Some(offset) = resume {
            sent.insert(RESUME_HEADER, offset.into());
        }
        let client = if single { &core.clients.single } else { &core.clients.pooled };
        match tokio::time::timeout(STALL, client.request(request)).await {
            Ok(Ok(response)) => judge(response, single),
            Ok(Err(error)) if error.is_connect() => Err(Failure::NotSent),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => Err(Failure::Stalled),
        }
    }

    /// Takes in a failed try, and says whether another may follow.
    ///
    /// # Errors
    ///
    /// Returns what to tell the caller if there must not be another.
    pub(super) async fn failed(
        &mut self,
        core: &sync::Arc<Core>,
        slot: Slot,
        failure: Failure,
        tries: usize,
    ) -> Result<(), Refusal> {
        let target = slot.target.clone();
        self.plan.avoid.push(target.clone());
        let alone = self.plan.exclusive;
        slot.end(if failure == Failure::Busy { End::Busy } else { End::Failed }, None);
        self.sent |= matches!(failure, Failure::Broken | Failure::Stalled);
        if failure == Failure::Broken {
            self.crashed(core, &target, alone).await?;
        }
        let now = core.clock.now();
        if tries >= retry::MAX_ATTEMPTS || !core.retries.lock().take(now) {
            return Err(self.restate(Refusal::TargetFailed { ran: Ran::No }));
        }
        // It started in time; going on elsewhere may take longer than that.
        self.plan.deadline = self.plan.deadline.max(now + RETRY_PATIENCE);
        core.metrics.record_retry();
        core.timeline.record(timeline::Kind::Retried {
            request: self.id.clone(),
            target: target.as_ref().to_owned(),
        });
        Ok(())
    }

    /// Notes that a target crashed with this request, and has it run apart from
    /// others from now on.
    async fn crashed(
        &mut self,
        core: &sync::Arc<Core>,
        target: &str,
        alone: bool,
    ) -> Result<(), Refusal> {
        let target = target.to_owned();
        core.timeline.record(timeline::Kind::TargetFailed { target });
        self.crashes += u32::from(alone || self.crashes == 0);
        self.plan.exclusive = true;
        let crash = view::Command::Crash { fingerprint: self.fingerprint, alone };
        let change = state::Change::View(crash);
        // Without control the count of this entry alone decides.
        let _ = core.propose_again(&change).await;
        let refused = self.crashes >= suspect::REFUSE_AFTER_CRASHES;
        if refused { Err(Refusal::CrashesTargets) } else { Ok(()) }
    }

    /// Clears the request after it finished, if it was under suspicion.
    pub(super) fn finished(&self, core: &sync::Arc<Core>) {
        if self.plan.exclusive {
            core.tell(view::Command::Clear { fingerprint: self.fingerprint });
        }
    }
}

/// Reads the load that a target reports, and sorts out refusals that another
/// target may not give. A call that may not be repeated takes every answer.
fn judge(response: http::Response<Incoming>, single: bool) -> Result<Answer, Failure> {
    let (head, body) = response.into_parts();
    let load = head.headers.get(LOAD_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    let lacking =
        head.status == http::StatusCode::NOT_FOUND && head.headers.get("x-lacks-model").is_some();
    let busy = head.status == http::StatusCode::SERVICE_UNAVAILABLE;
    if !single && (lacking || busy) {
        return Err(Failure::Busy);
    }
    Ok(Answer { head, body, load })
}

/// Reads a whole answer.
pub(super) async fn collect(body: Incoming) -> Result<Bytes, Failure> {
    let collecting = Limited::new(body, ANSWER_BYTES).collect();
    match tokio::time::timeout(STALL * 4, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(Failure::Broken),
        Err(_) => Err(Failure::Stalled),
    }
}

/// Relays a request whose whole answer is read before it is passed on, with
/// retries on other targets.
pub(super) async fn whole(
    core: &sync::Arc<Core>,
    mut job: Job,
    mut charged: Option<ChargeGuard>,
) -> Result<answer::Response, Refusal> {
    let mut tries = 0;
    loop {
        let slot = match job.acquire(core).await {
            Ok(slot) => slot,
            Err(refusal) => {
                unused_unless_ran(charged.as_mut(), &refusal);
                return Err(refusal);
            }
        };
        tries += 1;
        core.retries.lock().record_attempt();
        if let Some(charged) = charged.as_mut() {
            charged.mark_sent();
        }
        let outcome = async {
            let answer = job.send(core, &slot, None, false).await?;
            let body = collect(answer.body).await?;
            Ok((answer.head, body, answer.load))
        };
        match outcome.await {
            Ok((head, body, load)) => {
                slot.end(End::Finished, load);
                job.finished(core);
                settle(charged.as_mut(), &head, &body);
                return Ok(passed_on(&head, answer::full(body)));
            }
            Err(failure) => {
                if let Err(refusal) = job.failed(core, slot, failure, tries).await {
                    unused_unless_ran(charged.as_mut(), &refusal);
                    return Err(refusal);
                }
            }
        }
    }
}

fn unused_unless_ran(charged: Option<&mut ChargeGuard>, refusal: &Refusal) {
    if let Some(charged) = charged.filter(|_| refusal.ran() == Ran::No) {
        charged.used = 0;
    }
}

/// Settles a charge by the usage that the answer states.
fn settle(charged: Option<&mut ChargeGuard>, head: &http::response::Parts, body: &[u8]) {
    let Some(charged) = charged else {
        return;
    };
    if head.status.is_client_error() {
        charged.used = 0;
    } else if let Ok(Some(tokens)) = sse::usage(body) {
        charged.used = tokens;
    }
}

/// Makes the caller's answer from the head of a target's.
pub(super) fn passed_on(head: &http::response::Parts, body: answer::Body) -> answer::Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    let mut headers = headers::forwarded(&head.headers);
    for internal in [LOAD_HEADER, RESUMABLE_HEADER] {
        headers.remove(internal);
    }
    *response.headers_mut() = headers;
    response
}
