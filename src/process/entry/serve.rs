//! Handling of requests: endpoints of the process itself, and authentication, charging
//! and forwarding of requests to routes.

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
        stage::Stage,
    },
    version::{claim, key, record, suspect},
};

use crate::process::limits::ChargeGuard;

use super::{
    Listener, admin,
    answer::{self, Response},
    claimed::{self, ClaimResult},
    core::{Config, Core},
    relay::{self, Job},
    stream,
};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// How long a sender may take for the body of a request.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Bytes of a prompt that count as one token in estimates. English text has about 4
/// bytes per token and Japanese about 2.5, so the estimate is high. Unused tokens are
/// refunded.
const BYTES_PER_TOKEN: u64 = 2;

/// Length of the prompt prefix that is hashed to find a target that may have it cached,
/// in bytes.
const PROMPT_PREFIX_BYTES: usize = 512;

/// Name of the workspace under which requests to public routes are scheduled.
const PUBLIC_WORKSPACE: &str = "";

/// Responds to one request. A failure results in an error response.
pub(super) async fn handle(
    core: sync::Arc<Core>,
    request: http::Request<Incoming>,
    listener: Listener,
) -> Result<Response, convert::Infallible> {
    let arrived_at = core.clock.now();
    let request_id = make_request_id(&core, request.headers());
    let path = request.uri().path().to_owned();
    let mut response = match respond_locally(&core, request, &path, listener).await {
        LocalResult::Answered(response) => response,
        LocalResult::Forward(request) => {
            forward_request(&core, *request, &request_id, arrived_at).await
        }
    };
    if let Ok(id) = http::HeaderValue::from_str(&request_id) {
        response.headers_mut().insert("x-request-id", id);
    }
    Ok(response)
}

/// Result of [`respond_locally`].
enum LocalResult {
    /// The process itself responds.
    Answered(Response),
    /// The request is to be forwarded to a target.
    Forward(Box<http::Request<Incoming>>),
}

async fn respond_locally(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
    path: &str,
    listener: Listener,
) -> LocalResult {
    let response = match path {
        "/health" => answer::text(http::StatusCode::OK, "ok\n"),
        "/ready" => readiness(core),
        "/metrics" => metrics(core),
        "/targets/announce" if listener == Listener::Internal => {
            handle_announcement(core, request).await
        }
        _ if listener == Listener::Internal => {
            let resource = path.to_owned();
            answer::refusal(&Refusal::NotFound { resource }, "")
        }
        _ if path.starts_with("/admin/") => admin::handle(core, request).await,
        _ => return LocalResult::Forward(Box::new(request)),
    };
    LocalResult::Answered(response)
}

fn readiness(core: &Core) -> Response {
    let refusal = if core.is_stopping() {
        Refusal::Stopping
    } else if core.fresh_config().is_none() {
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

async fn handle_announcement(core: &Core, request: http::Request<Incoming>) -> Response {
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(refusal) => return answer::refusal(&refusal, ""),
    };
    match announcement::parse(&body) {
        Ok(announcement) => {
            core.pending_report.record_announcement(announcement);
            answer::text(http::StatusCode::ACCEPTED, "")
        }
        Err(error) => answer::refusal(&Refusal::Invalid { reason: error.to_string() }, ""),
    }
}

/// Returns the request id that the caller sent if it is valid, else a new one.
fn make_request_id(core: &Core, headers: &http::HeaderMap) -> String {
    let sent_id = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    let valid =
        |id: &&str| !id.is_empty() && id.len() <= 128 && id.chars().all(|c| c.is_ascii_graphic());
    match sent_id.filter(valid) {
        Some(id) => id.to_owned(),
        None => format!("{}-{:x}-{}", core.options.name, core.session().0, core.next_number()),
    }
}

async fn forward_request(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
    request_id: &str,
    arrived_at: time::Duration,
) -> Response {
    let config = core.fresh_config();
    let route = config.as_ref().and_then(|c| c.find_route(request.uri().path()).cloned());
    let result = match (config, &route) {
        (None, _) => Err(Refusal::StaleConfiguration),
        (Some(config), _) if is_model_list(&request) => list_models(&config, request.headers()),
        (Some(_), None) => Err(Refusal::NotFound { resource: request.uri().path().to_owned() }),
        (Some(config), Some((route_name, route))) => {
            RouteRequest { core, config, route_name, route, request_id, arrived_at }
                .serve(request)
                .await
        }
    };
    let route_name = route.as_ref().map_or("none", |(name, _)| name);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.kind(),
    };
    let elapsed = core.clock.now().saturating_sub(arrived_at);
    core.metrics.record_response(route_name, outcome, elapsed.as_secs_f64());
    result.unwrap_or_else(|refusal| answer::refusal(&refusal, request_id))
}

fn is_model_list(request: &http::Request<Incoming>) -> bool {
    request.method() == http::Method::GET && request.uri().path() == "/v1/models"
}

/// Lists models and adapters in the format of the OpenAI API.
fn list_models(config: &Config, headers: &http::HeaderMap) -> Result<Response, Refusal> {
    let Credential::Key { presented, .. } = headers::credential(headers) else {
        return Err(Refusal::Unauthorized);
    };
    config.authorize(&presented).ok_or(Refusal::Unauthorized)?;
    let view = config.view();
    let models = view.models().map(|(name, _)| (name, name));
    let adapters = view.adapters().map(|(name, adapter)| (name, adapter.base_model.as_str()));
    let entries = models.chain(adapters).map(|(id, root)| {
        serde_json::json!({"id": id, "object": "model", "owned_by": "hornbeamdock", "root": root})
    });
    let data: Vec<_> = entries.collect();
    let body = serde_json::json!({"object": "list", "data": data});
    Ok(answer::json(http::StatusCode::OK, &body))
}

/// Fields of a completion request that are read. `serde` puts the name of this type into
/// error messages, which callers see.
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

/// A request to a route, with the configuration in force on its arrival.
struct RouteRequest<'r> {
    core: &'r sync::Arc<Core>,
    config: sync::Arc<Config>,
    route_name: &'r str,
    route: &'r record::Route,
    request_id: &'r str,
    arrived_at: time::Duration,
}

/// The caller of a request.
struct Caller {
    /// `None` on a public route.
    workspace: Option<String>,
    /// `None` on a public route.
    key: Option<key::Presented>,
}

impl RouteRequest<'_> {
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
        if self.route.public {
            return Ok(Caller { workspace: None, key: None });
        }
        let Credential::Key { presented, .. } = credential else {
            return Err(Refusal::Unauthorized);
        };
        match self.config.authorize(presented) {
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
        let completion: Completion = serde_json::from_slice(&body)
            .map_err(|e| Refusal::Invalid { reason: e.to_string() })?;
        let view = self.config.view();
        let adapter = view.adapter(&completion.model);
        let base = adapter.map_or(completion.model.as_str(), |a| a.base_model.as_str());
        let Some(model) = view.model(base) else {
            return Err(Refusal::NotFound { resource: format!("model {}", completion.model) });
        };
        let pool = schedule::Pool::Model(base.into());
        let adapter = adapter.map(|_| completion.model.as_str().into());
        let max_output_tokens =
            completion.max_completion_tokens.or(completion.max_tokens).unwrap_or(model.max_output);
        let prompt =
            completion.messages.as_ref().or(completion.prompt.as_ref()).map_or("", |t| t.get());
        let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN + 1;
        let tokens = prompt_tokens.saturating_add(max_output_tokens);
        let body = add_defaults(&body, &completion, max_output_tokens)?;
        let mut job = self.create_job(&caller, head, body, pool, tokens)?;
        job.schedule_request.adapter = adapter;
        job.schedule_request.prefix_hash = Some(prompt_prefix_hash(base, prompt));
        let charge_guard = self.charge(&caller, tokens).await?;
        if completion.stream {
            let include_usage = completion.stream_options.include_usage;
            return stream::relay(self.core, job, charge_guard, prompt_tokens, include_usage).await;
        }
        relay::send_buffered(self.core, job, charge_guard).await
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
        let is_safe = head.method.is_safe();
        if self.route.repeat == record::Repeat::Allowed || is_safe {
            let job = self.create_job(&caller, head, body, pool, cost)?;
            let charge_guard = self.charge(&caller, cost).await?;
            return relay::send_buffered(self.core, job, charge_guard).await;
        }
        let key = self.request_key(&caller, &head)?;
        let digest_input = [head.method.as_str().as_bytes(), head.uri.path().as_bytes(), &body[..]];
        let digest_input = digest_input.join(&0);
        let permit = match claimed::claim(self.core, key, &digest_input).await? {
            ClaimResult::Run(permit) => permit,
            ClaimResult::Replay(response) => return Ok(response),
        };
        let prepared = match self.create_job(&caller, head, body, pool, cost) {
            Ok(job) => self.charge(&caller, cost).await.map(|charge_guard| (job, charge_guard)),
            Err(refusal) => Err(refusal),
        };
        match prepared {
            Ok((job, charge_guard)) => claimed::run(self.core, job, permit, charge_guard).await,
            Err(refusal) => {
                permit.release().await;
                Err(refusal)
            }
        }
    }

    /// Returns the key of the claim on a non-idempotent request, made from its
    /// idempotency key. `None` if it has none and the route does not require one.
    fn request_key(
        &self,
        caller: &Caller,
        head: &http::request::Parts,
    ) -> Result<Option<claim::RequestKey>, Refusal> {
        let mut keys = head.headers.get_all("idempotency-key").iter();
        let (first, second) = (keys.next(), keys.next());
        let Some(first) = first else {
            let optional = self.route.repeat == record::Repeat::SingleAttempt;
            return if optional { Ok(None) } else { Err(Refusal::IdempotencyKeyRequired) };
        };
        let key =
            first.to_str().ok().filter(|t| !t.is_empty() && t.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
        let Some(key) = key.filter(|_| second.is_none()) else {
            let reason =
                format!("expected one Idempotency-Key of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            return Err(Refusal::Invalid { reason });
        };
        Ok(Some(claim::RequestKey {
            workspace: caller.workspace.clone().unwrap_or_default(),
            route: self.route_name.to_owned(),
            idempotency_key: key.to_owned(),
        }))
    }

    fn create_job(
        &self,
        caller: &Caller,
        head: http::request::Parts,
        body: Bytes,
        pool: schedule::Pool,
        tokens: u64,
    ) -> Result<Job, Refusal> {
        let workspace = caller.workspace.as_deref().unwrap_or(PUBLIC_WORKSPACE);
        let weight = self.config.view().workspace(workspace).map_or(1, |w| w.weight);
        let identity = format!("{workspace}{}", head.uri);
        let fingerprint = suspect::Fingerprint::of(&identity, &body);
        let exclusive = match self.config.view().suspects().verdict(fingerprint) {
            suspect::Verdict::Clear => false,
            suspect::Verdict::Suspect => true,
            suspect::Verdict::Refused => return Err(Refusal::CrashesTargets),
        };
        let schedule_request = schedule::Request {
            id: self.core.next_number(),
            workspace: workspace.into(),
            weight,
            pool,
            adapter: None,
            tokens,
            deferrable: self.route.deferrable,
            stage: Stage::New,
            deadline: self.start_deadline(),
            prefix_hash: None,
            exclusive,
            avoid: Vec::new(),
        };
        Ok(Job {
            id: self.request_id.to_owned(),
            key: caller.key.clone(),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            schedule_request,
            fingerprint,
            crashes: 0,
            may_have_run: false,
        })
    }

    /// Returns the latest time at which the request may start.
    fn start_deadline(&self) -> time::Duration {
        self.arrived_at + time::Duration::from_millis(self.route.deadline_ms)
    }

    /// Charges the tokens to the caller's workspace, if any.
    async fn charge(&self, caller: &Caller, tokens: u64) -> Result<Option<ChargeGuard>, Refusal> {
        match &caller.workspace {
            Some(workspace) if tokens > 0 => {
                let limits = &self.core.limits;
                let demand = limits.demand(tokens, self.start_deadline());
                limits.charge(workspace, demand).await.map(Some)
            }
            _ => Ok(None),
        }
    }
}

/// Returns the body with `max_tokens` set to the number charged, if the caller set no
/// bound. For a stream without `include_usage`, `stream_options` is replaced by one
/// that requests the usage event.
fn add_defaults(
    body: &Bytes,
    completion: &Completion,
    max_output_tokens: u64,
) -> Result<Bytes, Refusal> {
    let bounded = completion.max_tokens.or(completion.max_completion_tokens).is_some();
    let states_usage = !completion.stream || completion.stream_options.include_usage;
    if bounded && states_usage {
        return Ok(body.clone());
    }
    let invalid = |e: serde_json::Error| Refusal::Invalid { reason: e.to_string() };
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(invalid)?;
    if !bounded {
        fields.insert("max_tokens".into(), max_output_tokens.into());
    }
    if !states_usage {
        let options = serde_json::json!({"include_usage": true});
        fields.insert("stream_options".into(), options);
    }
    serde_json::to_vec(&fields).map(Bytes::from).map_err(invalid)
}

/// Hashes the start of a prompt together with the model.
fn prompt_prefix_hash(model: &str, prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)];
    xxhash_rust::xxh3::xxh3_64_with_seed(start, xxhash_rust::xxh3::xxh3_64(model.as_bytes()))
}

/// Reads a request body of at most [`MAX_BODY_BYTES`] within [`BODY_TIMEOUT`].
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::TooLarge { limit: MAX_BODY_BYTES })
        }
        Ok(Err(error)) => Err(Refusal::Invalid { reason: format!("body: {error}") }),
        Err(_) => Err(Refusal::Invalid { reason: "the body took too long to arrive".into() }),
    }
}
