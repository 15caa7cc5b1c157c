//! The administration interface: records, keys, drains of targets, evacuations of failure domains,
//! status and time line.

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
    core::{Config, Core},
    serve,
};

/// Prefix of all paths of the administration interface.
const PREFIX: &str = "/admin/v1/";

/// How long a control replica may take to return its status or time line.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Status of the system as this entry process sees it. The fields of this type and those
/// that it contains are those of the JSON response.
#[derive(Debug, Serialize)]
struct StatusV1 {
    entry: EntryStatusV1,
    control: Vec<ReplicaStatusV1>,
    targets: Vec<TargetStatusV1>,
    records: Vec<RecordSummaryV1>,
    suspects: usize,
}

#[derive(Debug, Serialize)]
struct EntryStatusV1 {
    name: String,
    build: &'static str,
    messages: peer::version::Range,
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
struct ReplicaStatusV1 {
    id: raft::NodeId,
    /// Absent if the replica did not answer.
    #[serde(flatten)]
    status: Option<peer::Status>,
    /// Whether the replica states that it is the leader, which owns the rate limits of
    /// all workspaces.
    owner: bool,
    /// Absent if the replica's build does not state it, like the fields below.
    build: Option<String>,
    messages: Option<peer::version::Range>,
    /// Processes that are connected to the replica, of any build.
    connected: Vec<ConnectedV1>,
}

#[derive(Debug, Serialize)]
struct ConnectedV1 {
    name: String,
    /// Absent if the process's build does not state it.
    build: Option<String>,
    /// Versions of the messages that the process speaks.
    messages: peer::version::Range,
    /// The one that is in use.
    version: u32,
}

impl From<peer::Connected> for ConnectedV1 {
    fn from(connected: peer::Connected) -> Self {
        let peer::Connected { process, version } = connected;
        Self { name: process.name, build: process.build, messages: process.messages, version }
    }
}

#[derive(Debug, Serialize)]
struct TargetStatusV1 {
    name: String,
    state: String,
    domain: String,
    class: String,
    service: Option<String>,
    incarnation: u64,
    memory_mib: u64,
    charged_mib: u64,
    items: Vec<ItemStatusV1>,
}

#[derive(Debug, Serialize)]
struct ItemStatusV1 {
    item: String,
    phase: String,
    memory_mib: u64,
    pending: usize,
}

#[derive(Debug, Serialize)]
struct RecordSummaryV1 {
    id: String,
    version: u64,
    digest: String,
    removed: bool,
}

/// Handles an operator's request.
pub(super) async fn handle(core: &sync::Arc<Core>, request: http::Request<Incoming>) -> Response {
    let result = route(core, request).await;
    result.unwrap_or_else(Failure::into_response)
}

/// Why an operator's request failed.
enum Failure {
    /// Refused for a reason that applies to callers as well.
    Refusal(Refusal),
    /// The submitted records can't be parsed.
    InvalidRecords(record::wire::Error),
    /// The change was refused when it was checked or applied.
    ChangeRefused(view::Error),
    /// The change may have been committed; sending it again is safe.
    OutcomeUnknown,
    /// A control replica runs a build that can't apply the change, so it was not proposed.
    EarlierBuild,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

impl Failure {
    fn into_response(self) -> Response {
        let (status, error_type, message) = match self {
            Self::Refusal(refusal) => return answer::refusal(&refusal, ""),
            Self::InvalidRecords(error) => {
                (http::StatusCode::UNPROCESSABLE_ENTITY, "invalid_record", error.to_string())
            }
            Self::ChangeRefused(error) => {
                (refusal_status(&error), refusal_type(&error), error.to_string())
            }
            Self::OutcomeUnknown => (
                http::StatusCode::SERVICE_UNAVAILABLE,
                "outcome_unknown",
                "the change may be in force; sending it again is safe".to_owned(),
            ),
            Self::EarlierBuild => (
                http::StatusCode::SERVICE_UNAVAILABLE,
                "earlier_build",
                "a replica runs an earlier build that does not know this; upgrade it first"
                    .to_owned(),
            ),
        };
        let body = serde_json::json!({"error": {"type": error_type, "message": message}});
        answer::json(status, &body)
    }
}

fn refusal_status(error: &view::Error) -> http::StatusCode {
    match error {
        view::Error::VersionConflict { .. }
        | view::Error::VersionStale { .. }
        | view::Error::KeyTaken { .. }
        | view::Error::KeyWithdrawn { .. }
        | view::Error::LastSystemKey { .. }
        | view::Error::EvacuationSuperseded { .. } => http::StatusCode::CONFLICT,
        view::Error::KeyUnknown { .. } | view::Error::TargetUnknown { .. } => {
            http::StatusCode::NOT_FOUND
        }
        _ => http::StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn refusal_type(error: &view::Error) -> &'static str {
    match error {
        view::Error::VersionConflict { .. } => "version_conflict",
        view::Error::VersionStale { .. } => "version_stale",
        view::Error::MissingReference { .. } => "missing_reference",
        view::Error::SamePath { .. } => "same_path",
        view::Error::KeyTaken { .. } => "key_taken",
        view::Error::KeyWithdrawn { .. } => "key_withdrawn",
        view::Error::KeyUnknown { .. } => "key_unknown",
        view::Error::NoWorkspace { .. } => "no_workspace",
        view::Error::LastSystemKey { .. } => "last_operator",
        view::Error::TargetUnknown { .. } => "target_unknown",
        view::Error::Memory { .. }
        | view::Error::IncarnationMismatch { .. }
        | view::Error::TargetReserved { .. } => "refused",
        view::Error::InvalidCatalog { .. } | view::Error::CatalogMismatch => "catalog",
        view::Error::EvacuationRefused { .. } => "evacuation_refused",
        view::Error::EvacuationSuperseded { .. } => "evacuation_superseded",
    }
}

async fn route(
    core: &sync::Arc<Core>,
    request: http::Request<Incoming>,
) -> Result<Response, Failure> {
    let config = core.fresh_config().ok_or(Refusal::StaleConfiguration)?;
    let scope = operator_scope(&config, request.headers())?;
    let (head, body) = request.into_parts();
    let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default().to_owned();
    let options = ChangeOptions::parse(head.uri.query());
    let segments: Vec<&str> = path.split('/').collect();
    match (head.method.as_str(), segments.as_slice()) {
        ("GET", ["records"]) => Ok(list_records(&config)),
        ("POST", ["records"]) => {
            require_system_scope(&scope)?;
            apply_records(core, &config, body, options).await
        }
        ("POST", ["keys"]) => grant_key(core, &scope, body, options).await,
        ("DELETE", ["keys", id]) => withdraw_key(core, &config, &scope, id, options).await,
        ("GET", ["keys"]) => Ok(list_keys(&config, &scope)),
        ("POST", ["targets", name, "drain"]) => {
            require_system_scope(&scope)?;
            let command = view::Command::MarkLeaving { name: (*name).to_owned() };
            propose_command(core, command, options).await
        }
        ("GET", ["evacuations"]) => {
            require_system_scope(&scope)?;
            Ok(list_evacuations(&config))
        }
        ("POST", ["evacuations", domain, action @ ("begin" | "finish")]) => {
            require_system_scope(&scope)?;
            evacuate(core, &config, domain, *action == "begin", body, options).await
        }
        ("GET", ["status"]) => {
            require_system_scope(&scope)?;
            Ok(answer::json(http::StatusCode::OK, &system_status(core, &config).await))
        }
        ("GET", ["timeline"]) => {
            require_system_scope(&scope)?;
            Ok(answer::json(http::StatusCode::OK, &merged_events(core).await))
        }
        _ => Err(Refusal::NotFound { resource: format!("{PREFIX}{path}") }.into()),
    }
}

/// Query options of a change.
#[derive(Clone, Copy)]
struct ChangeOptions {
    /// Check the records without applying them. Other changes ignore it.
    dry_run: bool,
    /// Respond once the change is in force on every entry process.
    wait: bool,
}

impl ChangeOptions {
    fn parse(query: Option<&str>) -> Self {
        let has = |name: &str| query.unwrap_or_default().split('&').any(|option| option == name);
        Self { dry_run: has("dry_run=true"), wait: has("wait=true") }
    }
}

/// Returns the scope of the key sent with a request, if it is an operator's.
fn operator_scope(config: &Config, headers: &http::HeaderMap) -> Result<key::Scope, Refusal> {
    let Credential::Key { presented, .. } = headers::credential(headers) else {
        return Err(Refusal::Unauthorized);
    };
    match config.authorize(&presented) {
        None => Err(Refusal::Unauthorized),
        Some(key::Scope::Caller(_)) => Err(Refusal::Forbidden),
        Some(scope) => Ok(scope.clone()),
    }
}

fn require_system_scope(scope: &key::Scope) -> Result<(), Refusal> {
    if *scope == key::Scope::System { Ok(()) } else { Err(Refusal::Forbidden) }
}

fn list_records(config: &Config) -> Response {
    let records: Vec<_> = config.view().records().map(record::wire::to_json).collect();
    answer::json(http::StatusCode::OK, &records)
}

fn list_keys(config: &Config, scope: &key::Scope) -> Response {
    let visible = config.view().keys().filter(|(_, key)| may_manage(scope, &key.scope));
    let keys: Vec<_> = visible
        .map(|(id, key)| {
            let scope = key.scope.to_string();
            serde_json::json!({"id": id, "scope": scope, "withdrawn": key.withdrawn})
        })
        .collect();
    answer::json(http::StatusCode::OK, &keys)
}

/// Returns true if an operator with the first scope may list, grant and withdraw keys
/// with the second. An operator of a workspace manages only the keys of its callers.
fn may_manage(operator: &key::Scope, managed: &key::Scope) -> bool {
    match managed {
        key::Scope::Caller(workspace) => operator.may_operate(workspace),
        key::Scope::Workspace(_) | key::Scope::System => *operator == key::Scope::System,
    }
}

async fn apply_records(
    core: &sync::Arc<Core>,
    config: &Config,
    body: Incoming,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    let body = serve::read_body(body).await?;
    let text =
        std::str::from_utf8(&body).map_err(|e| Refusal::Invalid { reason: e.to_string() })?;
    let records = record::wire::parse(text).map_err(Failure::InvalidRecords)?;
    if options.dry_run {
        config.view().check_records(&records).map_err(Failure::ChangeRefused)?;
        return Ok(answer::json(http::StatusCode::OK, &serde_json::json!({"checked": true})));
    }
    propose_command(core, view::Command::PutRecords(records), options).await
}

async fn grant_key(
    core: &sync::Arc<Core>,
    scope: &key::Scope,
    body: Incoming,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    let body = serve::read_body(body).await?;
    let invalid = |reason: String| Refusal::Invalid { reason };
    let grant: GrantV1 = serde_json::from_slice(&body).map_err(|e| invalid(e.to_string()))?;
    let presented = key::Presented::parse(&grant.key).filter(|p| p.id == grant.id);
    let Some(presented) = presented else {
        return Err(invalid("key: expected hbd.<id>.<secret> with the given id".into()).into());
    };
    let granted_scope: key::Scope = grant.scope.into();
    if !may_manage(scope, &granted_scope) {
        return Err(Refusal::Forbidden.into());
    }
    let key::Presented { id, digest } = presented;
    propose_command(core, view::Command::GrantKey { id, digest, scope: granted_scope }, options)
        .await
}

async fn withdraw_key(
    core: &sync::Arc<Core>,
    config: &Config,
    scope: &key::Scope,
    id: &str,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    let key_scope = config.view().keys().find(|(k, _)| *k == id).map(|(_, k)| &k.scope);
    let permitted = key_scope.is_some_and(|key_scope| may_manage(scope, key_scope));
    // An operator of a workspace gets the same response for unknown keys as for those of
    // others. An operator of the system may withdraw a key that the cached view of this
    // process does not contain yet.
    if !permitted && *scope != key::Scope::System {
        return Err(Refusal::Forbidden.into());
    }
    propose_command(core, view::Command::WithdrawKey { id: id.to_owned() }, options).await
}

fn list_evacuations(config: &Config) -> Response {
    let domains = config.view().evacuations().domains();
    let evacuations: Vec<_> = domains
        .map(|(domain, index)| serde_json::json!({"domain": domain, "index": index}))
        .collect();
    answer::json(http::StatusCode::OK, &evacuations)
}

/// Begins or ends the evacuation of a failure domain.
async fn evacuate(
    core: &sync::Arc<Core>,
    config: &Config,
    domain: &str,
    begins: bool,
    body: Incoming,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    if !serve::read_body(body).await?.is_empty() {
        return Err(Refusal::Invalid { reason: "expected no body".to_owned() }.into());
    }
    let was_evacuated = config.view().evacuations().changed_at(domain) > 0;
    let mut targets = config.view().targets().values();
    let is_known = was_evacuated
        || core.options.domain == domain
        || targets.any(|target| target.domain == domain);
    if !is_known {
        return Err(Refusal::NotFound { resource: format!("failure domain {domain}") }.into());
    }
    let known_at = core.caught_up_at().await.ok_or(Refusal::ControlUnavailable)?;
    let domain = domain.to_owned();
    propose_change(core, state::Change::Evacuation { domain, begins, known_at }, options).await
}

async fn propose_command(
    core: &sync::Arc<Core>,
    command: view::Command,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    propose_change(core, state::Change::View(command), options).await
}

async fn propose_change(
    core: &sync::Arc<Core>,
    change: state::Change,
    options: ChangeOptions,
) -> Result<Response, Failure> {
    match core.propose_with_retry(&change).await {
        Ok((index, state::Outcome::Applied)) => {
            core.wait_for_view(index).await;
            if options.wait {
                // By then an entry process that has not polled since the commit refuses
                // requests, so the change is in force on all that serve any.
                tokio::time::sleep(placement::DRAIN_WAIT).await;
            }
            let body = serde_json::json!({"index": index, "in_force": options.wait});
            Ok(answer::json(http::StatusCode::OK, &body))
        }
        Ok((_, state::Outcome::Refused(error))) => Err(Failure::ChangeRefused(error)),
        Ok(_) | Err(control::Error::OutcomeUnknown) => Err(Failure::OutcomeUnknown),
        Err(control::Error::Unsupported) => Err(Failure::EarlierBuild),
        Err(control::Error::Unavailable) => Err(Refusal::ControlUnavailable.into()),
    }
}

async fn system_status(core: &sync::Arc<Core>, config: &Config) -> StatusV1 {
    let mut replicas = Vec::new();
    for node in core.control.replicas() {
        let reply = core.control.call(node, peer::Call::Status, STATUS_TIMEOUT).await;
        let status = match reply {
            Ok(peer::Reply::Status(status)) => Some(*status),
            _ => None,
        };
        replicas.push(replica_status(node, status));
    }
    let now = core.clock.now();
    let remaining = config.cached_view.fresh_until().saturating_sub(now);
    StatusV1 {
        entry: EntryStatusV1 {
            name: core.options.name.clone(),
            build: peer::BUILD,
            messages: peer::version::Range::OWN,
            domain: core.options.domain.clone(),
            index: config.cached_view.index(),
            fresh: config.cached_view.is_fresh(now),
            fresh_for_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            stopping: core.is_stopping(),
            running: core.dispatcher.running(),
            waiting: core.dispatcher.waiting(),
            session: format!("{:016x}", core.session().0),
        },
        control: replicas,
        targets: config.view().targets().iter().map(|(n, t)| target_status(config, n, t)).collect(),
        records: config.view().records().map(record_summary).collect(),
        suspects: config.view().suspects().len(),
    }
}

fn replica_status(node: raft::NodeId, mut status: Option<peer::Status>) -> ReplicaStatusV1 {
    let owner = status.as_ref().is_some_and(|s| s.leader == Some(node));
    let (own, connected) = status
        .as_mut()
        .and_then(|s| s.builds.take())
        .map(|builds| (builds.own, builds.connected))
        .unzip();
    ReplicaStatusV1 {
        id: node,
        status,
        owner,
        messages: own.as_ref().map(|process| process.messages),
        build: own.and_then(|process| process.build),
        connected: connected.into_iter().flatten().map(ConnectedV1::from).collect(),
    }
}

fn target_status(config: &Config, name: &str, target: &view::Target) -> TargetStatusV1 {
    let account = config.view().memory_allocations().account(name);
    let allocations = account.into_iter().flat_map(|a| &a.allocations);
    let items =
        allocations.map(|(item, allocation): (&memory::Item, &memory::Allocation)| ItemStatusV1 {
            item: item.to_string(),
            phase: format!("{:?}", allocation.phase).to_lowercase(),
            memory_mib: allocation.memory,
            pending: allocation.pending.len(),
        });
    TargetStatusV1 {
        name: name.to_owned(),
        state: format!("{:?}", target.presence).to_lowercase(),
        domain: target.domain.clone(),
        class: target.class.clone(),
        service: target.service.clone(),
        incarnation: target.incarnation,
        memory_mib: target.memory,
        charged_mib: account.map_or(0, memory::Account::charged),
        items: items.collect(),
    }
}

fn record_summary(record: &record::Record) -> RecordSummaryV1 {
    RecordSummaryV1 {
        id: record.id().to_string(),
        version: record.version,
        digest: record.digest().to_string(),
        removed: record.body.is_none(),
    }
}

/// Returns the events of this process and of all replicas that answer.
async fn merged_events(core: &sync::Arc<Core>) -> Vec<timeline::Event> {
    let mut events = core.timeline.events();
    for node in core.control.replicas() {
        let reply = core.control.call(node, peer::Call::Timeline, STATUS_TIMEOUT).await;
        if let Ok(peer::Reply::Timeline(replica_events)) = reply {
            events.extend(replica_events);
        }
    }
    timeline::merge(events)
}
