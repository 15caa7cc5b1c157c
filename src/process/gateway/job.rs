//! One request on its way: the choice of a target, the tries, and the reading
//! of the answer.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use crate::{
    connection::{
        dialect::{Ask, Onward, Verdict},
        pool::{self, Lease},
    },
    process::limits::Charged,
    request::{
        gateway::{
            Prompt, admit,
            fleet::{Choice, Lack, Near},
            tries::{Failure, Next, Tries},
        },
        refusal::{Ran, Refusal},
    },
    version::{catalog, directory, placer::Availability},
};

use super::{
    body::{self, Response},
    core::Core,
    stream,
};

/// Least time that must be left for a try to be worth sending.
const LEAST: time::Duration = time::Duration::from_millis(20);

/// How long a request waits for a change of the fleet before it looks again.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// How long to stay away from an overloaded gateway at least.
const STAY_AWAY: time::Duration = time::Duration::from_millis(200);

/// Pause before a rejected request is sent again to the only target.
const PAUSE: time::Duration = time::Duration::from_millis(15);

/// A request that is sent to targets until it has an answer.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) core: sync::Arc<Core>,
    pub(super) ask: Ask,
    pub(super) route: catalog::Route,
    pub(super) service: String,
    pub(super) method: http::Method,
    pub(super) uri: http::Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
    pub(super) workspace: Option<String>,
    pub(super) priority: Option<u32>,
    pub(super) arrived: time::Duration,
    /// When it is given up.
    pub(super) deadline: time::Duration,
    pub(super) tries: Tries,
    /// Targets that it was sent to.
    pub(super) tried: Vec<String>,
    /// Targets that said that they lack what it needs.
    pub(super) lacking: Vec<String>,
    /// Version of the catalog that it was admitted under.
    pub(super) version: u64,
    pub(super) charged: Option<Charged>,
    pub(super) noted: bool,
    pub(super) phase: Phase,
    /// Estimated time to the first output at the target chosen last.
    pub(super) estimate: time::Duration,
    /// When it was charged, when the latest try was sent, and when the target
    /// began to answer it.
    pub(super) admitted: time::Duration,
    pub(super) sent_at: time::Duration,
    pub(super) begun_at: time::Duration,
}

/// What is being waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A target that can take it.
    Choosing,
    /// A target's answer.
    Sent,
    /// Nothing: it was answered or refused.
    Over,
}

/// The head of an answer, with the rest still to be read.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) head: http::response::Parts,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) place: Place,
}

/// A request at a target, counted while this lives.
#[derive(Debug)]
pub(super) struct Place {
    core: sync::Arc<Core>,
    pub(super) choice: Choice,
    read: bool,
}

impl Place {
    fn new(core: &sync::Arc<Core>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        core.fleet.lock().begin(&choice, prompt);
        Self { core: core.clone(), choice, read: false }
    }

    /// Notes that the target has read the prompt.
    pub(super) fn read(&mut self) {
        if !self.read {
            self.read = true;
            self.core.fleet.lock().read(&self.choice);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.read();
        self.core.fleet.lock().end(&self.choice);
    }
}

/// How a request is answered.
enum Answered {
    /// By a whole answer.
    Whole(Response),
    /// By a stream that has begun.
    Stream(Box<Answer>),
}

/// Returns whole milliseconds, for logs.
pub(super) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Job {
    pub(super) async fn run(mut self) -> Result<Response, Refusal> {
        let answered = self.answer().await;
        if answered.is_err() {
            self.phase = Phase::Over;
        }
        match answered? {
            Answered::Whole(response) => Ok(response),
            Answered::Stream(answer) => Ok(stream::relay(self, *answer)),
        }
    }

    async fn answer(&mut self) -> Result<Answered, Refusal> {
        loop {
            let answer = self.next_answer().await?;
            if self.route.effect == catalog::Effect::Stream && answer.head.status.is_success() {
                return Ok(Answered::Stream(Box::new(answer)));
            }
            match self.whole(answer).await {
                Ok(response) => return Ok(Answered::Whole(response)),
                Err(failure) => self.failed(failure).await?,
            }
        }
    }

    /// Sends it until a target has begun to answer.
    pub(super) async fn next_answer(&mut self) -> Result<Answer, Refusal> {
        loop {
            let choice = self.choose().await?;
            match self.send(choice).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => self.failed(failure).await?,
            }
        }
    }

    /// Takes in a failed try, and returns a refusal if it was the last.
    pub(super) async fn failed(&mut self, failure: Failure) -> Result<(), Refusal> {
        match self.tries.failed(failure) {
            Next::Elsewhere => Ok(()),
            Next::Again(refusal) => {
                if self.left() < LEAST || !self.core.take_retry(&self.service) {
                    return Err(refusal);
                }
                if failure == Failure::Rejected {
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(())
            }
            Next::Refuse(refusal) => Err(refusal),
        }
    }

    /// Returns the time that is left.
    pub(super) fn left(&self) -> time::Duration {
        self.deadline.saturating_sub(self.core.clock.now())
    }

    /// Chooses a target, waiting for one that holds the model if need be.
    async fn choose(&mut self) -> Result<Choice, Refusal> {
        let mut changes = self.core.changes();
        self.phase = Phase::Choosing;
        if !self.noted {
            self.noted = true;
            if let Some(prompt) = &self.ask.prompt {
                let now = self.core.clock.now();
                self.core.fleet.lock().arrived(&self.service, prompt, now);
            }
        }
        let mut waits: Option<Waits> = None;
        let until = self.patience();
        loop {
            let now = self.core.clock.now();
            let open = self.core.pools.open(now);
            if now + LEAST >= until {
                return Err(self.late());
            }
            let chosen = self.core.fleet.lock().choose(
                &self.service,
                self.ask.prompt.as_ref(),
                &self.tried,
                &Near { domain: &self.core.options.domain, open: &open },
                now,
            );
            let lack = match chosen {
                Ok(choice) => {
                    self.estimate = choice.estimate;
                    self.admit(&choice)?;
                    if let Some(want) = choice.crowded() {
                        self.core.spread(want);
                    }
                    return Ok(choice);
                }
                // Another gateway can wait for longer.
                Err(_) if self.core.is_stopping() && self.tries.ran() == Ran::No => {
                    return Err(Refusal::Stopping);
                }
                Err(lack) => lack,
            };
            if let Some(prompt) = self.ask.prompt.as_ref().filter(|_| lack != Lack::Target) {
                let want = prompt.want(&self.service);
                waits.get_or_insert_with(|| Waits::new(&self.core, &self.service, prompt));
                let limit = until.saturating_sub(now);
                let found = self.core.want(&want, &self.lacking, &[], limit).await;
                let now = self.core.clock.now();
                match found {
                    Availability::At(id) => {
                        self.lacking.clear();
                        self.core.fleet.lock().word(&id, &want, true, now);
                        continue;
                    }
                    Availability::Soon(after)
                        if now + after > until && self.tries.ran() == Ran::No =>
                    {
                        return Err(Refusal::Overloaded { wait: after.max(STAY_AWAY) });
                    }
                    Availability::Soon(_) | Availability::Nowhere => {}
                }
            }
            let pause = LOOK.min(until.saturating_sub(self.core.clock.now()));
            // Either way the next turn looks again.
            let _ = tokio::time::timeout(pause, changes.changed()).await;
        }
    }

    /// Returns until when it waits for a target. What ran in part already waits
    /// for as long as its caller does.
    fn patience(&self) -> time::Duration {
        if self.tries.ran() == Ran::No {
            self.core.clock.now() + admit::patience(self.route.objective, self.left())
        } else {
            self.deadline
        }
    }

    /// Refuses a prompt that the engines would get to too late.
    fn admit(&self, choice: &Choice) -> Result<(), Refusal> {
        if self.ask.prompt.is_none() || self.tries.sent() > 0 || choice.shunned {
            return Ok(());
        }
        let objective = self.route.objective;
        if choice.estimate <= admit::limit(objective, self.left()) {
            return Ok(());
        }
        Err(Refusal::Overloaded { wait: admit::wait(objective, choice.estimate) })
    }

    fn late(&self) -> Refusal {
        match self.tries.ran() {
            Ran::No => Refusal::Overloaded { wait: STAY_AWAY },
            ran => Refusal::Timeout { ran },
        }
    }

    /// Sends it to a target.
    async fn send(&mut self, choice: Choice) -> Result<Answer, Failure> {
        let core = self.core.clone();
        if self.tries.sent() == 0 {
            core.first_try(&self.service);
        }
        self.sent_at = core.clock.now();
        self.phase = Phase::Sent;
        let place = Place::new(&core, choice, self.ask.prompt.as_ref());
        let request = self.onward(&place.choice.id);
        if let Some(charged) = &mut self.charged {
            charged.sent();
        }
        let once = self.route.effect != catalog::Effect::Idempotent;
        let sending = core.pools.send(place.choice.address, request, once, core.clock.now());
        let sent = tokio::time::timeout(self.left(), sending).await;
        let id = place.choice.id.clone();
        self.tried.push(id.clone());
        let (answer, lease) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(pool::Error::NotSent { reason })) => {
                self.note_failure(&id, "not sent", &reason);
                return Err(Failure::Unreached);
            }
            Ok(Err(error @ pool::Error::Broken { .. })) => {
                self.note_failure(&id, "broken off", &error.to_string());
                return Err(Failure::Broken);
            }
            Err(_) => {
                self.note_failure(&id, "too late", "no answer by the deadline");
                return Err(Failure::Broken);
            }
        };
        self.begun_at = core.clock.now();
        let (head, body) = answer.into_parts();
        let failure = match core.dialect.verdict(&self.ask.id, &head) {
            Verdict::Answer => None,
            Verdict::Failed => {
                self.note_failure(&id, "failed", head.status.as_str());
                // Without a further try the target's own answer is the best.
                self.may_repeat().then_some(Failure::Failed)
            }
            Verdict::Rejected => {
                core.pools.keep_after(body, lease, core.clock.now()).await;
                return Err(Failure::Rejected);
            }
            Verdict::Misdirected => {
                self.misdirected(&id);
                core.pools.keep_after(body, lease, core.clock.now()).await;
                return Err(Failure::Misdirected);
            }
            Verdict::Foreign => {
                self.note_failure(&id, "foreign answer", head.status.as_str());
                return Err(Failure::Broken);
            }
        };
        match failure {
            Some(failure) => Err(failure),
            None => Ok(Answer { head, body, lease, place }),
        }
    }

    fn may_repeat(&self) -> bool {
        let mut tries = self.tries;
        matches!(tries.failed(Failure::Failed), Next::Again(_)) && self.left() > LEAST
    }

    fn note_failure(&self, id: &str, what: &str, reason: &str) {
        let now = self.core.clock.now();
        self.core.fleet.lock().failed(id, now);
        spdlog::warn!("try failed", kv: {
            request = self.ask.id.as_str(),
            target = id,
            what = what,
            reason = reason,
            took_ms = millis(now.saturating_sub(self.arrived)),
            version = self.version
        });
    }

    /// Notes that a target lacks what the request needs.
    fn misdirected(&mut self, id: &str) {
        self.lacking.push(id.to_owned());
        if let Some(prompt) = &self.ask.prompt {
            let want: directory::Requirement = prompt.want(&self.service);
            let now = self.core.clock.now();
            self.core.fleet.lock().word(id, &want, false, now);
        }
        spdlog::info!("misdirected", kv: { request = self.ask.id.as_str(), target = id });
    }

    /// Writes the request as a target gets it.
    fn onward(&self, target: &str) -> http::Request<Full<Bytes>> {
        let onward = Onward {
            target,
            workspace: self.workspace.as_deref(),
            left: self.left(),
            priority: self.priority,
            last: self.ask.last,
        };
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.core.dialect.onward(&self.headers, &onward);
        request
    }

    /// Reads an answer to its end and passes it on. One that breaks off is a
    /// failed try.
    async fn whole(&mut self, answer: Answer) -> Result<Response, Failure> {
        let Answer { head, body, lease, mut place } = answer;
        let id = place.choice.id.clone();
        place.read();
        let reading = http_body_util::Limited::new(body, body::WHOLE).collect();
        let bytes = match tokio::time::timeout(self.left(), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) => {
                self.note_failure(&id, "broken off", &error.to_string());
                return Err(Failure::Broken);
            }
            Err(_) => {
                self.note_failure(&id, "too late", "no whole answer by the deadline");
                return Err(Failure::Broken);
            }
        };
        drop(place);
        let now = self.core.clock.now();
        self.core.pools.keep(lease, now);
        if head.status.is_success() {
            self.core.fleet.lock().answered(&id);
        }
        self.answered(&id, head.status);
        Ok(http::Response::from_parts(passed(head), body::full(bytes)))
    }

    /// Logs and counts that it was answered.
    pub(super) fn answered(&mut self, target: &str, status: http::StatusCode) {
        self.phase = Phase::Over;
        let took = self.core.clock.now().saturating_sub(self.arrived);
        spdlog::info!("answered", kv: {
            request = self.ask.id.as_str(),
            route = self.route.name.as_str(),
            target = target,
            model = self.ask.prompt.as_ref().map_or("", |p| p.model.as_str()),
            estimate_ms = millis(self.estimate),
            status = status.as_u16(),
            sent = self.tries.sent() + 1,
            charged_ms = millis(self.admitted.saturating_sub(self.arrived)),
            sent_ms = millis(self.sent_at.saturating_sub(self.arrived)),
            workspace = self.workspace.as_deref().unwrap_or(""),
            begun_ms = millis(self.begun_at.saturating_sub(self.arrived)),
            took_ms = millis(took),
            version = self.version
        });
        let outcome = if status.is_success() { "answered" } else { "failed" };
        self.core.metrics.answered(&self.route.name, outcome, took.as_secs_f64());
    }

    /// Notes that the rest of its answer was given up.
    pub(super) fn given_up(&mut self) {
        self.phase = Phase::Over;
    }

    /// Goes on with a stream after the event `last`.
    pub(super) fn resume_after(&mut self, last: u64) {
        self.ask.last = Some(last);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.phase == Phase::Over {
            return;
        }
        let took = self.core.clock.now().saturating_sub(self.arrived);
        spdlog::info!("abandoned", kv: {
            request = self.ask.id.as_str(),
            route = self.route.name.as_str(),
            model = self.ask.prompt.as_ref().map_or("", |p| p.model.as_str()),
            adapter = self.ask.prompt.as_ref().and_then(|p| p.adapter.as_deref()).unwrap_or(""),
            phase = format!("{:?}", self.phase).as_str(),
            target = self.tried.last().map_or("", String::as_str),
            estimate_ms = millis(self.estimate),
            deadline_ms = millis(self.deadline.saturating_sub(self.arrived)),
            sent = self.tries.sent(),
            charged_ms = millis(self.admitted.saturating_sub(self.arrived)),
            sent_ms = millis(self.sent_at.saturating_sub(self.arrived)),
            took_ms = millis(took),
            version = self.version
        });
    }
}

/// Returns the head of a target's answer as the caller gets it.
pub(super) fn passed(head: http::response::Parts) -> http::response::Parts {
    let mut head = head;
    for name in ["connection", "keep-alive", "transfer-encoding", "content-length"] {
        head.headers.remove(name);
    }
    head
}

/// Counts a request among those that wait for a model while this lives.
#[derive(Debug)]
struct Waits {
    core: sync::Arc<Core>,
    service: String,
    prompt: Prompt,
}

impl Waits {
    fn new(core: &sync::Arc<Core>, service: &str, prompt: &Prompt) -> Self {
        core.fleet.lock().waits(service, prompt, true);
        Self { core: core.clone(), service: service.to_owned(), prompt: prompt.clone() }
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.core.fleet.lock().waits(&self.service, &self.prompt, false);
    }
}
