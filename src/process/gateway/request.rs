//! From a caller's request to an admitted job, and to the answer where there is
//! none.

use std::{convert, sync, time};

use bytes::Bytes;
use hyper::body::Incoming;

use crate::{
    connection::dialect::Ask,
    process::limits::ChargeGuard,
    request::{gateway::tries::Tries, refusal::Refusal},
    version::catalog::{self, table},
};

use super::{
    body::{self, Response},
    core::Core,
    job::{Job, Phase, millis},
    stream,
};

/// How long a request waits for tokens at least, if its objective is shorter.
const LEAST_PATIENCE: time::Duration = time::Duration::from_millis(300);

/// Answers one request. Never fails: every failure is an answer.
pub(super) async fn handle(
    core: sync::Arc<Core>,
    request: http::Request<Incoming>,
) -> Result<Response, convert::Infallible> {
    let running = core.enter();
    let arrived = core.clock.now();
    let (head, incoming) = request.into_parts();
    let mut response = match core.dialect.ask(&head) {
        Ok(ask) => {
            let id = ask.id.clone();
            let answered = answer(&core, ask, head, incoming, arrived).await;
            answered.unwrap_or_else(|refusal| refuse(&core, &id, &refusal, arrived))
        }
        Err(refusal) => refuse(&core, "", &refusal, arrived),
    };
    if core.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| stream::guard(body, running)))
}

async fn answer(
    core: &sync::Arc<Core>,
    ask: Ask,
    head: http::request::Parts,
    incoming: Incoming,
    arrived: time::Duration,
) -> Result<Response, Refusal> {
    let live = core.live();
    let table = live.table.as_ref().ok_or(Refusal::Stale)?;
    let bounds = table.catalog().bounds;
    let body = body::read(incoming, bounds.body_bytes).await?;
    let path = head.uri.path();
    let missing = || Refusal::NotFound { what: path.to_owned() };
    let route = table.route(&ask.host, path).ok_or_else(missing)?;
    let workspace = match table.caller(route, ask.key.as_deref()) {
        table::Caller::Workspace(workspace) => Some(workspace),
        table::Caller::Anyone => None,
        table::Caller::Unknown => return Err(Refusal::Unauthorized),
    };
    let service = table::share(route, rand::random()).unwrap_or_default().to_owned();
    let wait = ask.wait.map_or(route.timeout, |w| w.min(route.timeout));
    let deadline = arrived + wait;
    let charged = match workspace {
        Some(workspace) => {
            let objective = if core.is_stopping() { LEAST_PATIENCE } else { route.objective };
            let patience = objective.max(LEAST_PATIENCE);
            charge(core, workspace, &ask, deadline, patience).await?
        }
        None => None,
    };
    let job = Job {
        core: core.clone(),
        tries: Tries::new(route),
        service,
        method: head.method,
        uri: head.uri.clone(),
        headers: head.headers,
        body,
        workspace: workspace.map(|w| w.name.clone()),
        priority: workspace.and_then(|w| w.priority).or(Some(route.priority)),
        route: route.clone(),
        ask,
        arrived,
        deadline,
        tried: Vec::new(),
        lacking: Vec::new(),
        version: table.catalog().version,
        charged,
        noted: false,
        phase: Phase::Choosing,
        estimate: time::Duration::ZERO,
        begun_at: time::Duration::ZERO,
        admitted: core.clock.now(),
        sent_at: time::Duration::ZERO,
    };
    job.run().await
}

/// Charges a request to its workspace, if that has a limit.
async fn charge(
    core: &sync::Arc<Core>,
    workspace: &catalog::Workspace,
    ask: &Ask,
    deadline: time::Duration,
    patience: time::Duration,
) -> Result<Option<ChargeGuard>, Refusal> {
    let Some(allowance) = workspace.allowance else {
        return Ok(None);
    };
    let stated = ask.prompt.as_ref().map(|p| u64::from(p.tokens) + u64::from(p.output));
    let tokens = match stated {
        _ if !allowance.by_tokens => 1,
        Some(tokens) if tokens > 0 => tokens,
        _ => allowance.plain,
    };
    core.limits.charge(&workspace.name, tokens, deadline, Some(patience)).await.map(Some)
}

fn refuse(core: &Core, id: &str, refusal: &Refusal, arrived: time::Duration) -> Response {
    let took = core.clock.now().saturating_sub(arrived);
    spdlog::warn!("refused", kv: {
        request = id,
        kind = refusal.kind(),
        reason = refusal.to_string().as_str(),
        ran = format!("{:?}", refusal.ran()).as_str(),
        took_ms = millis(took),
        index = core.live().feed.index()
    });
    core.metrics.answered("", refusal.kind(), took.as_secs_f64());
    let head = core.dialect.refuse(id, refusal);
    http::Response::from_parts(head, body::full(Bytes::new()))
}
