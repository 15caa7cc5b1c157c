//! From a caller's request to its answer.

use std::{convert, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use crate::{
    connection::announcement,
    request::{
        headers::{self, Credential},
        refusal::Refusal,
        schedule,
    },
    version::{claim, key, record, suspect},
};

use crate::process::limits::ChargeGuard;

use super::{
    Side, admin,
    answer::{self, Response},
    claimed::{self, Claimed},
    core::{Core, Live},
    relay::{self, Job},
    stream,
};

/// Largest body of a request, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// How long a caller may take to send its body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;

/// Bytes of a prompt that count as one token in an estimate. English text has
/// about four and Japanese about two and a half, so this errs upward; what is
/// not used is refunded.
const BYTES_PER_TOKEN: u64 = 2;

/// Start of a prompt that decides which target is likely to have it cached, in
/// bytes.
const PREFIX_BYTES: usize = 512;

/// Workspace under which open routes are scheduled.
const OPEN: &str = "";

/// Answers one request. Never fails: every failure is an answer.
pub(super) async fn handle(
    core: sync::Arc<Core>,
    request: http::Request<Incoming>,
    side: Side,
) -> Result<Response, convert::Infallible> {
    let start = core.clock.now();
    let id = request_id(&core, request.headers());
    let path = request.uri().path().to_owned();
    let mut response = match answer_own(&core, request, &path, side).await {
        Own::Answered(response) => response,
        Own::Relayed(request) => relay_request(&core, *request, &id, start).await,
    };
    if let Ok(id) = http::HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", id);
    }
    Ok(response)
}

/// What became of a request that may be for the system itself.
enum Own {
    Answered(Response),
    Relayed(Box<http::Request<Incoming>>),
}

async fn answer_own(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
    path: &str,
    side: Side,
) -> Own {
    let response = match path {
        "/health" => answer::text(http::StatusCode::OK, "ok\n"),
        "/ready" => ready(core),
        "/metrics" => metrics(core),
        "/targets/announce" if side == Side::Internal => announce(core, request).await,
        _ if side == Side::Internal => {
            let resource = path.to_owned();
            answer::refusal(&Refusal::NotFound { resource }, "")
        }
        _ if path.starts_with("/admin/") => admin::handle(core, request).await,
        _ => return Own::Relayed(Box::new(request)),
    };
    Own::Answered(response)
}

fn ready(core: &Core) -> Response {
    let refusal = if core.is_stopping() {
        Refusal::Stopping
    } else if core.fresh().is_none() {
        Refusal::StaleConfiguration
    } else {
        return answer::text(http::StatusCode::OK, "ready\n");
    };
    answer::refusal(&refusal, "")
}

fn metrics(core: &Core) -> Response {
    match core.metrics.encode() {
        Ok(text) => answer::text(http::StatusCode::OK, text),
        Err(error) => answer::text(http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

async fn announce(core: &Core, request: http::Request<Incoming>) -> Response {
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(refusal) => return answer::refusal(&refusal, ""),
    };
    match announcement::parse(&body) {
        Ok(announcement) => {
            core.reports.heard(announcement);
            answer::text(http::StatusCode::ACCEPTED, "")
        }
        Err(error) => answer::refusal(&Refusal::Invalid { reason: error.to_string() }, ""),
    }
}

/// Takes the caller's request id if it is a sound one, else makes one.
fn request_id(core: &Core, headers: &http::HeaderMap) -> String {
    let given = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    let sound =
        |id: &&str| !id.is_empty() && id.len() <= 128 && id.chars().all(|c| c.is_ascii_graphic());
    match given.filter(sound) {
        Some(id) => id.to_owned(),
        None => format!("{}-{:x}-{}", core.options.name, core.session().0, core.number()),
    }
}

async fn relay_request(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
    id: &str,
    start: time::Duration,
) -> Response {
    let live = core.fresh();
    let route = live.as_ref().and_then(|l| l.route(request.uri().path()).cloned());
    let result = match (live, &route) {
        (None, _) => Err(Refusal::StaleConfiguration),
        (Some(live), _) if is_model_list(&request) => list_models(&live, request.headers()),
        (Some(_), None) => Err(Refusal::NotFound { resource: request.uri().path().to_owned() }),
        (Some(live), Some((name, route))) => {
            Arrival { core, live, name, route, id, start }.serve(request).await
        }
    };
    let name = route.as_ref().map_or("none", |(name, _)| name);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.kind(),
    };
    let elapsed = core.clock.now().saturating_sub(start);
    core.metrics.record_response(name, outcome, elapsed.as_secs_f64());
    result.unwrap_or_else(|refusal| answer::refusal(&refusal, id))
}

fn is_model_list(request: &http::Request<Incoming>) -> bool {
    request.method() == http::Method::GET && request.uri().path() == "/v1/models"
}

fn list_models(live: &Live, headers: &http::HeaderMap) -> Result<Response, Refusal> {
    let Credential::Key { presented, .. } = headers::credential(headers) else {
        return Err(Refusal::Unauthorized);
    };
    live.scope(&presented).ok_or(Refusal::Unauthorized)?;
    let view = live.view();
    let models = view.models().map(|(name, _)| (name, name));
    let adapters = view.adapters().map(|(name, adapter)| (name, adapter.base.as_str()));
    let entries = models.chain(adapters).map(|(id, root)| {
        serde_json::json!({"id": id, "object": "model", "owned_by": "hornbeamdock", "root": root})
    });
    let data: Vec<_> = entries.collect();
    let list = serde_json::json!({"object": "list", "data": data});
    Ok(answer::json(http::StatusCode::OK, &list))
}

/// What the system reads of a request to a model.
#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Option<Box<serde_json::value::RawValue>>,
    prompt: Option<Box<serde_json::value::RawValue>>,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A request to a route, and what it meets on arrival.
struct Arrival<'r> {
    core: &'r sync::Arc<Core>,
    live: sync::Arc<Live>,
    name: &'r str,
    route: &'r record::Route,
    id: &'r str,
    start: time::Duration,
}

/// Who a request is served for.
struct Caller {
    /// Workspace, or `None` on an open route.
    workspace: Option<String>,
    key: Option<key::Presented>,
}

impl Arrival<'_> {
    async fn serve(&self, request: http::Request<Incoming>) -> Result<Response, Refusal> {
        let (mut head, body) = request.into_parts();
        let credential = headers::credential(&head.headers);
        let caller = self.authorize(&credential)?;
        let body = read_body(body).await?;
        let headers = headers::forwarded(&head.headers);
        if let Credential::Key { text, .. } = &credential
            && headers::leaks_key(text, &head.uri, &headers, &body)
        {
            let reason = "the key must stand in the Authorization header only".to_owned();
            return Err(Refusal::Invalid { reason });
        }
        head.headers = headers;
        match &self.route.backend {
            record::Backend::Models => self.serve_model(caller, head, body).await,
            record::Backend::Service(service) => {
                self.serve_service(caller, head, body, service).await
            }
        }
    }

    fn authorize(&self, credential: &Credential) -> Result<Caller, Refusal> {
        if self.route.open {
            return Ok(Caller { workspace: None, key: None });
        }
        let Credential::Key { presented, .. } = credential else {
            return Err(Refusal::Unauthorized);
        };
        match self.live.scope(presented) {
            Some(key::Scope::Caller(workspace)) => {
                Ok(Caller { workspace: Some(workspace.clone()), key: Some(presented.clone()) })
            }
            Some(key::Scope::Workspace(_) | key::Scope::System) => Err(Refusal::Forbidden),
            None => Err(Refusal::Unauthorized),
        }
    }

    async fn serve_model(
        &self,
        caller: Caller,
        head: http::request::Parts,
        body: Bytes,
    ) -> Result<Response, Refusal> {
        if head.method != http::Method::POST {
            return Err(Refusal::MethodNotAllowed);
        }
        let prompt: Completion = serde_json::from_slice(&body)
            .map_err(|e| Refusal::Invalid { reason: e.to_string() })?;
        let view = self.live.view();
        let adapter = view.adapter(&prompt.model);
        let base = adapter.map_or(prompt.model.as_str(), |a| a.base.as_str());
        let Some(model) = view.model(base) else {
            return Err(Refusal::NotFound { resource: format!("model {}", prompt.model) });
        };
        let pool = schedule::Pool::Model(base.into());
        let adapter = adapter.map(|_| prompt.model.as_str().into());
        let most = prompt.max_completion_tokens.or(prompt.max_tokens).unwrap_or(model.output);
        let text = prompt.messages.as_ref().or(prompt.prompt.as_ref()).map_or("", |t| t.get());
        let taken = text.len() as u64 / BYTES_PER_TOKEN + 1;
        let tokens = taken.saturating_add(most);
        let body = complete(&body, &prompt, most)?;
        let mut job = self.job(&caller, head, body, pool, tokens)?;
        job.plan.adapter = adapter;
        job.plan.prefix_hash = Some(prefix(base, text));
        let charged = self.charge(&caller, tokens).await?;
        if prompt.stream {
            let usage = prompt.stream_options.include_usage;
            return stream::relay(self.core, job, charged, taken, usage).await;
        }
        relay::whole(self.core, job, charged).await
    }

    async fn serve_service(
        &self,
        caller: Caller,
        head: http::request::Parts,
        body: Bytes,
        service: &str,
    ) -> Result<Response, Refusal> {
        let pool = schedule::Pool::Service(service.into());
        let cost = self.route.cost;
        let safe = head.method.is_safe();
        if self.route.repeat == record::Repeat::Allowed || safe {
            let job = self.job(&caller, head, body, pool, cost)?;
            let charged = self.charge(&caller, cost).await?;
            return relay::whole(self.core, job, charged).await;
        }
        let key = self.claim_key(&caller, &head)?;
        let digested = [head.method.as_str().as_bytes(), head.uri.path().as_bytes(), &body[..]];
        let digested = digested.join(&0);
        let permit = match claimed::claim(self.core, key, &digested).await? {
            Claimed::Run(permit) => permit,
            Claimed::Answer(response) => return Ok(response),
        };
        let prepared = match self.job(&caller, head, body, pool, cost) {
            Ok(job) => self.charge(&caller, cost).await.map(|charged| (job, charged)),
            Err(refusal) => Err(refusal),
        };
        match prepared {
            Ok((job, charged)) => claimed::run(self.core, job, permit, charged).await,
            Err(refusal) => {
                permit.release().await;
                Err(refusal)
            }
        }
    }

    /// Names a call that may not be repeated, by the caller's idempotency key.
    fn claim_key(
        &self,
        caller: &Caller,
        head: &http::request::Parts,
    ) -> Result<Option<claim::RequestKey>, Refusal> {
        let mut keys = head.headers.get_all("idempotency-key").iter();
        let (given, more) = (keys.next(), keys.next());
        let Some(given) = given else {
            let once = self.route.repeat == record::Repeat::Once;
            return if once { Ok(None) } else { Err(Refusal::IdempotencyKeyRequired) };
        };
        let text = given.to_str().ok().filter(|t| !t.is_empty() && t.len() <= KEY_BYTES);
        let Some(text) = text.filter(|_| more.is_none()) else {
            let reason = format!("expected one Idempotency-Key of 1 to {KEY_BYTES} bytes");
            return Err(Refusal::Invalid { reason });
        };
        Ok(Some(claim::RequestKey {
            workspace: caller.workspace.clone().unwrap_or_default(),
            route: self.name.to_owned(),
            idempotency_key: text.to_owned(),
        }))
    }

    fn job(
        &self,
        caller: &Caller,
        head: http::request::Parts,
        body: Bytes,
        pool: schedule::Pool,
        tokens: u64,
    ) -> Result<Job, Refusal> {
        let workspace = caller.workspace.as_deref().unwrap_or(OPEN);
        let weight = self.live.view().workspace(workspace).map_or(1, |w| w.weight);
        let path = format!("{workspace}{}", head.uri);
        let fingerprint = suspect::Fingerprint::of(&path, &body);
        let exclusive = match self.live.view().suspects().verdict(fingerprint) {
            suspect::Verdict::Clear => false,
            suspect::Verdict::Suspect => true,
            suspect::Verdict::Refused => return Err(Refusal::CrashesTargets),
        };
        let plan = schedule::Request {
            id: self.core.number(),
            workspace: workspace.into(),
            weight,
            pool,
            adapter: None,
            tokens,
            deferrable: self.route.deferrable,
            deadline: self.deadline(),
            prefix_hash: None,
            exclusive,
            avoid: Vec::new(),
        };
        Ok(Job {
            id: self.id.to_owned(),
            key: caller.key.clone(),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            plan,
            fingerprint,
            crashes: 0,
            sent: false,
        })
    }

    /// Returns the last moment for the request to start.
    fn deadline(&self) -> time::Duration {
        self.start + time::Duration::from_millis(self.route.deadline)
    }

    async fn charge(&self, caller: &Caller, tokens: u64) -> Result<Option<ChargeGuard>, Refusal> {
        match &caller.workspace {
            Some(workspace) if tokens > 0 => {
                let limits = &self.core.limits;
                limits.charge(workspace, tokens, self.deadline(), None).await.map(Some)
            }
            _ => Ok(None),
        }
    }
}

/// Bounds the output to what is charged for, and has the engine state the usage
/// of a stream.
fn complete(body: &Bytes, prompt: &Completion, most: u64) -> Result<Bytes, Refusal> {
    let bounded = prompt.max_tokens.or(prompt.max_completion_tokens).is_some();
    let told = !prompt.stream || prompt.stream_options.include_usage;
    if bounded && told {
        return Ok(body.clone());
    }
    let invalid = |e: serde_json::Error| Refusal::Invalid { reason: e.to_string() };
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(invalid)?;
    if !bounded {
        fields.insert("max_tokens".into(), most.into());
    }
    if !told {
        let options = serde_json::json!({"include_usage": true});
        fields.insert("stream_options".into(), options);
    }
    serde_json::to_vec(&fields).map(Bytes::from).map_err(invalid)
}

fn prefix(model: &str, text: &str) -> u64 {
    let start = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    xxhash_rust::xxh3::xxh3_64_with_seed(start, xxhash_rust::xxh3::xxh3_64(model.as_bytes()))
}

/// Reads a whole request body within the limits of size and time.
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::TooLarge { limit: BODY_BYTES })
        }
        Ok(Err(error)) => Err(Refusal::Invalid { reason: format!("body: {error}") }),
        Err(_) => Err(Refusal::Invalid { reason: "the body took too long to arrive".into() }),
    }
}
