//! The operators' interface: records, keys, drains, status and the time line.

use std::{sync, time};

use hyper::body::Incoming;
use serde::Serialize;

use crate::{
    connection::{control, peer},
    process::timeline,
    request::{
        headers::{self, Credential},
        refusal::Refusal,
    },
    version::{key, memory, placement, raft, record, state, view},
};

use super::{
    answer::{self, Response},
    api::GrantV1,
    core::{Core, Live},
    serve,
};

/// Path below which operators act.
const PREFIX: &str = "/admin/v1/";

/// How long a replica may take to describe itself.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The status of the system as one entry sees it.
#[derive(Debug, Serialize)]
struct StatusV1 {
    entry: EntryV1,
    control: Vec<ReplicaV1>,
    targets: Vec<TargetV1>,
    records: Vec<RecordV1>,
    suspects: usize,
}

#[derive(Debug, Serialize)]
struct EntryV1 {
    name: String,
    domain: String,
    index: raft::Index,
    fresh: bool,
    fresh_for_ms: u64,
    stopping: bool,
    running: usize,
    waiting: usize,
    session: String,
}

#[derive(Debug, Serialize)]
struct ReplicaV1 {
    id: raft::NodeId,
    /// Absent if it did not answer.
    #[serde(flatten)]
    status: Option<peer::Status>,
    /// Owns the rates of all workspaces.
    owner: bool,
}

#[derive(Debug, Serialize)]
struct TargetV1 {
    name: String,
    state: String,
    domain: String,
    class: String,
    service: Option<String>,
    incarnation: u64,
    memory_mib: u64,
    charged_mib: u64,
    items: Vec<SlotV1>,
}

#[derive(Debug, Serialize)]
struct SlotV1 {
    item: String,
    phase: String,
    memory_mib: u64,
    pending: usize,
}

#[derive(Debug, Serialize)]
struct RecordV1 {
    id: String,
    version: u64,
    digest: String,
    removed: bool,
}

/// Answers an operator's request.
pub(super) async fn handle(core: &sync::Arc<Core>, request: http::Request<Incoming>) -> Response {
    let result = route(core, request).await;
    result.unwrap_or_else(Failure::answer)
}

/// Why an operator's request failed.
enum Failure {
    /// As for any caller.
    Refusal(Refusal),
    /// The records do not read.
    Records(record::wire::Error),
    /// The system refused the change.
    Change(view::Error),
    /// The change may or may not be in force; sending it again is safe.
    Lost,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

impl Failure {
    fn answer(self) -> Response {
        let (status, kind, message) = match self {
            Self::Refusal(refusal) => return answer::refusal(&refusal, ""),
            Self::Records(error) => {
                (http::StatusCode::UNPROCESSABLE_ENTITY, "invalid_record", error.to_string())
            }
            Self::Change(error) => (change_status(&error), change_kind(&error), error.to_string()),
            Self::Lost => (
                http::StatusCode::SERVICE_UNAVAILABLE,
                "outcome_unknown",
                "the change may be in force; sending it again is safe".to_owned(),
            ),
        };
        let body = serde_json::json!({"error": {"type": kind, "message": message}});
        answer::json(status, &body)
    }
}

fn change_status(error: &view::Error) -> http::StatusCode {
    match error {
        view::Error::Conflict { .. }
        | view::Error::Stale { .. }
        | view::Error::KeyTaken { .. }
        | view::Error::KeyWithdrawn { .. }
        | view::Error::LastOperator { .. } => http::StatusCode::CONFLICT,
        view::Error::KeyUnknown { .. } | view::Error::TargetUnknown { .. } => {
            http::StatusCode::NOT_FOUND
        }
        _ => http::StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn change_kind(error: &view::Error) -> &'static str {
    match error {
        view::Error::Conflict { .. } => "version_conflict",
        view::Error::Stale { .. } => "version_stale",
        view::Error::Reference { .. } => "missing_reference",
        view::Error::SamePath { .. } => "same_path",
        view::Error::KeyTaken { .. } => "key_taken",
        view::Error::KeyWithdrawn { .. } => "key_withdrawn",
        view::Error::KeyUnknown { .. } => "key_unknown",
        view::Error::NoWorkspace { .. } => "no_workspace",
        view::Error::LastOperator { .. } => "last_operator",
        view::Error::TargetUnknown { .. } => "target_unknown",
        view::Error::Memory { .. }
        | view::Error::Incarnation { .. }
        | view::Error::Occupied { .. } => "refused",
        view::Error::Catalog { .. } | view::Error::Base => "catalog",
    }
}

async fn route(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
) -> Result<Response, Failure> {
    let live = core.fresh().ok_or(Refusal::StaleConfiguration)?;
    let scope = operator(&live, request.headers())?;
    let (head, body) = request.into_parts();
    let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default().to_owned();
    let options = Options::of(head.uri.query());
    let segments: Vec<&str> = path.split('/').collect();
    match (head.method.as_str(), segments.as_slice()) {
        ("GET", ["records"]) => Ok(records(&live)),
        ("POST", ["records"]) => {
            system_only(&scope)?;
            apply(core, &live, body, options).await
        }
        ("POST", ["keys"]) => grant(core, &scope, body, options).await,
        ("DELETE", ["keys", id]) => withdraw(core, &live, &scope, id, options).await,
        ("GET", ["keys"]) => Ok(keys(&live, &scope)),
        ("POST", ["targets", name, "drain"]) => {
            system_only(&scope)?;
            let command = view::Command::Leave { name: (*name).to_owned() };
            change(core, command, options).await
        }
        ("GET", ["status"]) => {
            system_only(&scope)?;
            Ok(answer::json(http::StatusCode::OK, &status(core, &live).await))
        }
        ("GET", ["timeline"]) => {
            system_only(&scope)?;
            Ok(answer::json(http::StatusCode::OK, &events(core).await))
        }
        _ => Err(Refusal::NotFound { resource: format!("{PREFIX}{path}") }.into()),
    }
}

/// How a change is to be made.
#[derive(Clone, Copy)]
struct Options {
    /// Only check.
    dry: bool,
    /// Answer once the change is in force everywhere.
    wait: bool,
}

impl Options {
    fn of(query: Option<&str>) -> Self {
        let has = |name: &str| query.unwrap_or_default().split('&').any(|part| part == name);
        Self { dry: has("dry_run=true"), wait: has("wait=true") }
    }
}

fn operator(live: &Live, headers: &http::HeaderMap) -> Result<key::Scope, Refusal> {
    let Credential::Key { presented, .. } = headers::credential(headers) else {
        return Err(Refusal::Unauthorized);
    };
    match live.scope(&presented) {
        None => Err(Refusal::Unauthorized),
        Some(key::Scope::Caller(_)) => Err(Refusal::Forbidden),
        Some(scope) => Ok(scope.clone()),
    }
}

fn system_only(scope: &key::Scope) -> Result<(), Refusal> {
    if *scope == key::Scope::System { Ok(()) } else { Err(Refusal::Forbidden) }
}

fn records(live: &Live) -> Response {
    let records: Vec<_> = live.view().records().map(record::wire::show).collect();
    answer::json(http::StatusCode::OK, &records)
}

fn keys(live: &Live, scope: &key::Scope) -> Response {
    let shown = live.view().keys().filter(|(_, key)| may_touch(scope, &key.scope));
    let keys: Vec<_> = shown
        .map(|(id, key)| {
            let scope = key.scope.to_string();
            serde_json::json!({"id": id, "scope": scope, "withdrawn": key.withdrawn})
        })
        .collect();
    answer::json(http::StatusCode::OK, &keys)
}

/// Returns true if an operator with this scope may grant or withdraw a key of
/// that scope. An operator of a workspace handles its callers' keys only.
fn may_touch(operator: &key::Scope, held: &key::Scope) -> bool {
    match held {
        key::Scope::Caller(workspace) => operator.may_operate(workspace),
        key::Scope::Workspace(_) | key::Scope::System => *operator == key::Scope::System,
    }
}

async fn apply(
    core: &sync::Arc<Core>,
    live: &Live,
    body: Incoming,
    options: Options,
) -> Result<Response, Failure> {
    let body = serve::read_body(body).await?;
    let text =
        std::str::from_utf8(&body).map_err(|e| Refusal::Invalid { reason: e.to_string() })?;
    let records = record::wire::read(text).map_err(Failure::Records)?;
    if options.dry {
        live.view().check(&records).map_err(Failure::Change)?;
        return Ok(answer::json(http::StatusCode::OK, &serde_json::json!({"checked": true})));
    }
    change(core, view::Command::Apply(records), options).await
}

async fn grant(
    core: &sync::Arc<Core>,
    scope: &key::Scope,
    body: Incoming,
    options: Options,
) -> Result<Response, Failure> {
    let body = serve::read_body(body).await?;
    let invalid = |reason: String| Refusal::Invalid { reason };
    let grant: GrantV1 = serde_json::from_slice(&body).map_err(|e| invalid(e.to_string()))?;
    let presented = key::Presented::parse(&grant.key).filter(|p| p.id == grant.id);
    let Some(presented) = presented else {
        return Err(invalid("key: expected hbd.<id>.<secret> with the given id".into()).into());
    };
    let granted: key::Scope = grant.scope.into();
    if !may_touch(scope, &granted) {
        return Err(Refusal::Forbidden.into());
    }
    let key::Presented { id, digest } = presented;
    change(core, view::Command::Grant { id, digest, scope: granted }, options).await
}

async fn withdraw(
    core: &sync::Arc<Core>,
    live: &Live,
    scope: &key::Scope,
    id: &str,
    options: Options,
) -> Result<Response, Failure> {
    let held = live.view().keys().find(|(k, _)| *k == id).map(|(_, k)| &k.scope);
    let touched = held.is_some_and(|held| may_touch(scope, held));
    // An operator of a workspace learns nothing about others' keys. One of the
    // system may withdraw a key that this entry has not heard of yet.
    if !touched && *scope != key::Scope::System {
        return Err(Refusal::Forbidden.into());
    }
    change(core, view::Command::Withdraw { id: id.to_owned() }, options).await
}

async fn change(
    core: &sync::Arc<Core>,
    command: view::Command,
    options: Options,
) -> Result<Response, Failure> {
    match core.propose_again(&state::Change::View(command)).await {
        Ok((index, state::Outcome::Applied)) => {
            if options.wait {
                // An entry that has not polled since the commit refuses to
                // serve by then, so the change is in force wherever it counts.
                tokio::time::sleep(placement::DRAIN_WAIT).await;
            }
            let body = serde_json::json!({"index": index, "in_force": options.wait});
            Ok(answer::json(http::StatusCode::OK, &body))
        }
        Ok((_, state::Outcome::Refused(error))) => Err(Failure::Change(error)),
        Ok(_) | Err(control::Error::OutcomeUnknown) => Err(Failure::Lost),
        Err(control::Error::Unavailable) => Err(Refusal::ControlUnavailable.into()),
    }
}

async fn status(core: &sync::Arc<Core>, live: &Live) -> StatusV1 {
    let mut replicas = Vec::new();
    for node in core.control.replicas() {
        let reply = core.control.call(node, peer::Call::Status, STATUS_TIMEOUT).await;
        let status = match reply {
            Ok(peer::Reply::Status(status)) => Some(*status),
            _ => None,
        };
        let owner = status.as_ref().is_some_and(|s| s.leader == Some(node));
        replicas.push(ReplicaV1 { id: node, status, owner });
    }
    let now = core.clock.now();
    let left = live.feed.fresh_until().saturating_sub(now);
    StatusV1 {
        entry: EntryV1 {
            name: core.options.name.clone(),
            domain: core.options.domain.clone(),
            index: live.feed.index(),
            fresh: live.feed.is_fresh(now),
            fresh_for_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            stopping: core.is_stopping(),
            running: core.dispatch.running(),
            waiting: core.dispatch.waiting(),
            session: format!("{:016x}", core.session().0),
        },
        control: replicas,
        targets: live.view().targets().iter().map(|(n, t)| target(live, n, t)).collect(),
        records: live.view().records().map(summary).collect(),
        suspects: live.view().suspects().len(),
    }
}

fn target(live: &Live, name: &str, target: &view::Target) -> TargetV1 {
    let room = live.view().ledger().account(name);
    let slots = room.into_iter().flat_map(|r| &r.allocations);
    let items = slots.map(|(item, slot): (&memory::Item, &memory::Allocation)| SlotV1 {
        item: item.to_string(),
        phase: format!("{:?}", slot.phase).to_lowercase(),
        memory_mib: slot.memory,
        pending: slot.pending.len(),
    });
    TargetV1 {
        name: name.to_owned(),
        state: format!("{:?}", target.state).to_lowercase(),
        domain: target.domain.clone(),
        class: target.class.clone(),
        service: target.service.clone(),
        incarnation: target.incarnation,
        memory_mib: target.memory,
        charged_mib: room.map_or(0, memory::Account::charged),
        items: items.collect(),
    }
}

fn summary(record: &record::Record) -> RecordV1 {
    RecordV1 {
        id: record.id().to_string(),
        version: record.version,
        digest: record.digest().to_string(),
        removed: record.body.is_none(),
    }
}

async fn events(core: &sync::Arc<Core>) -> Vec<timeline::Event> {
    let mut events = core.timeline.events();
    for node in core.control.replicas() {
        let reply = core.control.call(node, peer::Call::Timeline, STATUS_TIMEOUT).await;
        if let Ok(peer::Reply::Timeline(more)) = reply {
            events.extend(more);
        }
    }
    timeline::merge(events)
}
