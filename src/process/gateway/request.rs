//! Admission of a caller's request: checks and charges it, then forwards it or
//! answers with a refusal.

use std::{convert, sync, time};

use bytes::Bytes;
use hyper::body::Incoming;

use crate::{
    connection::dialect::CallerRequest,
    process::limits::ChargeGuard,
    request::{
        gateway::{crash_log, tries::FailedAttempts},
        limit::holder,
        refusal::{Ran, Refusal},
        stage::Stage,
    },
    version::catalog::{self, table},
};

use super::{
    body::{self, Response},
    core::Core,
    crashes, intake,
    job::{self, Job, RequestPhase, millis},
    origins, stream,
};

/// Least time that a request may wait for rate-limit tokens, if the objective of its
/// route is shorter. A stopping gateway uses it for all requests.
const MIN_TOKEN_WAIT: time::Duration = time::Duration::from_millis(300);

/// Handles one request. A failure becomes an error response to the caller.
pub(super) async fn handle(
    core: sync::Arc<Core>,
    request: http::Request<Incoming>,
) -> Result<Response, convert::Infallible> {
    let in_flight = core.track_request();
    let arrived_at = core.clock.now();
    let (head, incoming_body) = request.into_parts();
    let mut response = match core.dialect.parse_request(&head) {
        Ok(decoded) => {
            let id = decoded.id.clone();
            let responding = respond(&core, decoded, head, incoming_body, arrived_at);
            let result = tokio::select! {
                result = responding => result,
                // The process ends before the target responds.
                () = core.grace_over() => Err(Refusal::Timeout { ran: Ran::Unknown }),
            };
            result.unwrap_or_else(|refusal| refuse(&core, &id, &refusal, arrived_at))
        }
        Err(refusal) => refuse(&core, "", &refusal, arrived_at),
    };
    if core.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| stream::track(body, in_flight)))
}

async fn respond(
    core: &sync::Arc<Core>,
    request: CallerRequest,
    head: http::request::Parts,
    incoming_body: Incoming,
    arrived_at: time::Duration,
) -> Result<Response, Refusal> {
    let config = core.config();
    let table = config.table.as_ref().ok_or(Refusal::StaleConfiguration)?;
    let bounds = table.catalog().bounds;
    let path = head.uri.path();
    let route = table.route(&request.host, path);
    let caller = route.map(|route| table.caller(route, request.api_key.as_deref()));
    let terms = intake::Terms {
        urgency: urgency(route, caller.as_ref()),
        timeout: route.map_or(time::Duration::MAX, |route| route.timeout),
    };
    let (body, reservation) = intake::read(core, incoming_body, bounds.body_bytes, terms).await?;
    let not_found = || Refusal::NotFound { resource: path.to_owned() };
    let (route, caller) = route.zip(caller).ok_or_else(not_found)?;
    let workspace = match caller {
        table::Caller::Workspace(workspace) => Some(workspace),
        table::Caller::Anonymous => None,
        table::Caller::Unauthenticated => return Err(Refusal::Unauthorized),
    };
    let workspace_name = workspace.map_or("", |w| w.name.as_str());
    let identity = format!("{workspace_name}{}", head.uri);
    let fingerprints = crash_log::fingerprints(&identity, &body, request.prompt.as_ref());
    if let Some(fingerprint) = crashes::refused_fingerprint(core, &fingerprints) {
        return Err(Refusal::Quarantined { fingerprint });
    }
    let origin = origins::find(core, &request, route, workspace_name).await?;
    let picked = table::pick_service(route, rand::random());
    let service =
        origin.as_ref().map_or(picked, |o| Some(&o.service)).unwrap_or_default().to_owned();
    let timeout = request.timeout.map_or(route.timeout, |w| w.min(route.timeout));
    let deadline = arrived_at + timeout;
    if core.ends_before(deadline) {
        return Err(Refusal::Stopping);
    }
    let charge = match workspace {
        Some(workspace) => {
            let stage = job::stage(origin.as_ref().map(|o| o.software.as_str()));
            charge(core, workspace, route, &request, stage, deadline).await?
        }
        None => None,
    };
    let job = Job {
        core: core.clone(),
        attempts: FailedAttempts::new(route),
        fingerprints: fingerprints.into(),
        service,
        method: head.method,
        uri: head.uri.clone(),
        headers: head.headers,
        body,
        _reservation: reservation,
        workspace: workspace.map(|w| w.name.clone()),
        workspace_homes: workspace.map_or_else(Vec::new, |w| w.homes.clone()),
        priority: workspace.and_then(|w| w.priority).or(Some(route.priority)),
        route: route.clone(),
        request,
        arrived_at,
        deadline,
        tried_targets: Vec::new(),
        missing_at: Vec::new(),
        catalog_version: table.catalog().version,
        charge,
        arrival_recorded: false,
        phase: RequestPhase::Choosing,
        first_output_estimate: time::Duration::ZERO,
        responded_at: time::Duration::ZERO,
        charged_at: core.clock.now(),
        sent_at: time::Duration::ZERO,
        permit: None,
        required_software: origin.map(|o| o.software),
        software: String::new(),
        begun_software: None,
        unconfirmed_begin: None,
    };
    job.run().await
}

/// Returns the rank of a request before its body is read. One that will be refused is the
/// least urgent.
fn urgency(route: Option<&catalog::Route>, caller: Option<&table::Caller>) -> u32 {
    let (Some(route), Some(caller)) = (route, caller) else {
        return u32::MAX;
    };
    match caller {
        table::Caller::Workspace(workspace) => workspace.priority.unwrap_or(route.priority),
        table::Caller::Anonymous => route.priority,
        table::Caller::Unauthenticated => u32::MAX,
    }
}

/// Charges a request to its workspace, if that has a rate limit. A limit in tokens
/// charges the stated prompt and output tokens, or the default of the workspace if none
/// are stated; a limit in requests charges 1.
async fn charge(
    core: &sync::Arc<Core>,
    workspace: &catalog::Workspace,
    route: &catalog::Route,
    request: &CallerRequest,
    stage: Stage,
    deadline: time::Duration,
) -> Result<Option<ChargeGuard>, Refusal> {
    let Some(rate_limit) = workspace.rate_limit else {
        return Ok(None);
    };
    let stated =
        request.prompt.as_ref().map(|p| u64::from(p.tokens) + u64::from(p.max_output_tokens));
    let tokens = match stated {
        _ if !rate_limit.counts_tokens => 1,
        Some(tokens) if tokens > 0 => tokens,
        _ => rate_limit.default_tokens,
    };
    let denied_wait = match stage {
        // Another gateway has more time to wait.
        _ if core.is_stopping() => MIN_TOKEN_WAIT,
        Stage::New => route.latency_objective.max(MIN_TOKEN_WAIT),
        Stage::Begun => holder::MAX_WAIT,
    };
    let demand = holder::Demand { denied_wait, stage, ..core.limits.demand(tokens, deadline) };
    core.limits.charge(&workspace.name, demand).await.map(Some)
}

fn refuse(core: &Core, id: &str, refusal: &Refusal, arrived_at: time::Duration) -> Response {
    let took = core.clock.now().saturating_sub(arrived_at);
    spdlog::warn!("request refused", kv: {
        request = id,
        kind = refusal.kind(),
        reason = refusal.to_string().as_str(),
        ran = format!("{:?}", refusal.ran()).as_str(),
        took_ms = millis(took),
        index = core.config().cached_view.index()
    });
    core.metrics.record_response("", refusal.kind(), took.as_secs_f64());
    let head = core.dialect.refusal_response(id, refusal);
    http::Response::from_parts(head, body::from_bytes(Bytes::new()))
}
