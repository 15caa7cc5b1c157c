//! The JSON form of records, in every schema that is still accepted.
//!
//! A record is an object with `schema`, `kind`, `name`, `version` and the fields of
//! its kind. Unknown fields, unknown kinds and newer schemas are rejected with the
//! path of the field, so that a misspelled setting is not ignored.
//!
//! Schema 2 added the `weight` of a workspace, the `copies` of a model and the
//! `cost` of a route. Both schemas are converted to the same internal types.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{
    Adapter, Backend, Body, Class, Kind, Model, Objective, Policy, Record, Repeat, Route, Store,
    Workspace,
};

/// The newest schema, in which records are written.
pub const NEWEST_SCHEMA: u64 = 2;

/// The oldest schema that is still read.
const OLDEST_SCHEMA: u64 = 1;

/// Longest name of a record, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Largest number of output tokens if neither the request nor the record states it.
const DEFAULT_MAX_OUTPUT: u64 = 256;

/// Deadline of a route whose record states none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Largest number accepted in a record. Sums of such numbers do not overflow.
const MAX_VALUE: u64 = 1 << 40;

/// Why a batch of records is invalid.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The text is not JSON.
    #[snafu(display("not JSON: {reason}"))]
    Json {
        /// Message of the parser, with line and column.
        reason: String,
    },
    /// A field is missing, unknown, of the wrong type or out of range.
    #[snafu(display("records[{index}].{path}: {expected}"))]
    Field {
        /// Position of the record in the batch, from zero.
        index: usize,
        /// Path of the field in the record.
        path: String,
        /// The expected value, or the message of the decoder.
        expected: String,
    },
    /// This build does not read the schema.
    #[snafu(display(
        "records[{index}].schema: {found} is not read here, only {OLDEST_SCHEMA} to {NEWEST_SCHEMA}"
    ))]
    Schema {
        /// Position of the record in the batch, from zero.
        index: usize,
        /// Schema of the record.
        found: u64,
    },
}

/// Fields that every record has; `rest` are the fields of its kind.
#[derive(Deserialize)]
struct Envelope {
    schema: u64,
    kind: String,
    name: String,
    version: u64,
    #[serde(default)]
    removed: bool,
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelV1 {
    memory_mib: u64,
    max_output: Option<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelV2 {
    memory_mib: u64,
    #[serde(default)]
    copies: u32,
    max_output: Option<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AdapterV1 {
    model: String,
    memory_mib: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassV1 {
    checks_fencing: bool,
    checks_sender: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV1 {
    rate: u64,
    burst: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV2 {
    rate: u64,
    burst: u64,
    weight: Option<u32>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BackendV1 {
    Models,
    Service(String),
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AccessV1 {
    Open,
    Keyed,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatV1 {
    Allowed,
    IdempotencyKey,
    SingleTry,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV1 {
    path: String,
    backend: BackendV1,
    access: AccessV1,
    repeat: RepeatV1,
    #[serde(default)]
    deferrable: bool,
    deadline_ms: Option<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV2 {
    path: String,
    backend: BackendV1,
    access: AccessV1,
    repeat: RepeatV1,
    #[serde(default)]
    deferrable: bool,
    deadline_ms: Option<u64>,
    cost: Option<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreV1 {
    loads_per_1000s: u64,
    parallel_loads: u32,
    parallel_adapters: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ObjectiveV1 {
    WorstServed,
    Attainment,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyV1 {
    objective: ObjectiveV1,
}

impl From<ModelV1> for Model {
    fn from(w: ModelV1) -> Self {
        Self {
            memory: w.memory_mib,
            min_copies: 0,
            max_output: w.max_output.unwrap_or(DEFAULT_MAX_OUTPUT),
        }
    }
}

impl From<ModelV2> for Model {
    fn from(w: ModelV2) -> Self {
        let max_output = w.max_output.unwrap_or(DEFAULT_MAX_OUTPUT);
        Self { memory: w.memory_mib, min_copies: w.copies, max_output }
    }
}

impl From<&Model> for ModelV2 {
    fn from(m: &Model) -> Self {
        Self { memory_mib: m.memory, copies: m.min_copies, max_output: Some(m.max_output) }
    }
}

impl From<AdapterV1> for Adapter {
    fn from(w: AdapterV1) -> Self {
        Self { base_model: w.model, memory: w.memory_mib }
    }
}

impl From<&Adapter> for AdapterV1 {
    fn from(a: &Adapter) -> Self {
        Self { model: a.base_model.clone(), memory_mib: a.memory }
    }
}

impl From<ClassV1> for Class {
    fn from(w: ClassV1) -> Self {
        Self { checks_fencing: w.checks_fencing, checks_sender: w.checks_sender }
    }
}

impl From<&Class> for ClassV1 {
    fn from(c: &Class) -> Self {
        Self { checks_fencing: c.checks_fencing, checks_sender: c.checks_sender }
    }
}

impl From<WorkspaceV1> for Workspace {
    fn from(w: WorkspaceV1) -> Self {
        Self { rate: w.rate, burst: w.burst, weight: 1 }
    }
}

impl From<WorkspaceV2> for Workspace {
    fn from(w: WorkspaceV2) -> Self {
        Self { rate: w.rate, burst: w.burst, weight: w.weight.unwrap_or(1) }
    }
}

impl From<&Workspace> for WorkspaceV2 {
    fn from(w: &Workspace) -> Self {
        Self { rate: w.rate, burst: w.burst, weight: Some(w.weight) }
    }
}

impl From<RouteV1> for Route {
    fn from(w: RouteV1) -> Self {
        let RouteV1 { path, backend, access, repeat, deferrable, deadline_ms } = w;
        RouteV2 { path, backend, access, repeat, deferrable, deadline_ms, cost: None }.into()
    }
}

impl From<RouteV2> for Route {
    fn from(w: RouteV2) -> Self {
        Self {
            path: w.path,
            backend: match w.backend {
                BackendV1::Models => Backend::Models,
                BackendV1::Service(name) => Backend::Service(name),
            },
            public: matches!(w.access, AccessV1::Open),
            repeat: match w.repeat {
                RepeatV1::Allowed => Repeat::Allowed,
                RepeatV1::IdempotencyKey => Repeat::IdempotencyKey,
                RepeatV1::SingleTry => Repeat::SingleAttempt,
            },
            deferrable: w.deferrable,
            deadline_ms: w.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
            cost: w.cost.unwrap_or(1),
        }
    }
}

impl From<&Route> for RouteV2 {
    fn from(r: &Route) -> Self {
        Self {
            path: r.path.clone(),
            backend: match &r.backend {
                Backend::Models => BackendV1::Models,
                Backend::Service(name) => BackendV1::Service(name.clone()),
            },
            access: if r.public { AccessV1::Open } else { AccessV1::Keyed },
            repeat: match r.repeat {
                Repeat::Allowed => RepeatV1::Allowed,
                Repeat::IdempotencyKey => RepeatV1::IdempotencyKey,
                Repeat::SingleAttempt => RepeatV1::SingleTry,
            },
            deferrable: r.deferrable,
            deadline_ms: Some(r.deadline_ms),
            cost: Some(r.cost),
        }
    }
}

impl From<StoreV1> for Store {
    fn from(w: StoreV1) -> Self {
        Self {
            loads_per_1000s: w.loads_per_1000s,
            parallel_loads: w.parallel_loads,
            parallel_adapters: w.parallel_adapters,
        }
    }
}

impl From<&Store> for StoreV1 {
    fn from(s: &Store) -> Self {
        Self {
            loads_per_1000s: s.loads_per_1000s,
            parallel_loads: s.parallel_loads,
            parallel_adapters: s.parallel_adapters,
        }
    }
}

impl From<PolicyV1> for Policy {
    fn from(w: PolicyV1) -> Self {
        let objective = match w.objective {
            ObjectiveV1::WorstServed => Objective::WorstServed,
            ObjectiveV1::Attainment => Objective::Attainment,
        };
        Self { objective }
    }
}

impl From<&Policy> for PolicyV1 {
    fn from(p: &Policy) -> Self {
        let objective = match p.objective {
            Objective::WorstServed => ObjectiveV1::WorstServed,
            Objective::Attainment => ObjectiveV1::Attainment,
        };
        Self { objective }
    }
}

/// Parses a batch: one record or an array of records.
///
/// # Errors
///
/// Returns an error that names the first invalid field. If any record is invalid,
/// none is returned.
///
/// # Examples
///
/// ```
/// use hornbeamdock::version::record::wire;
///
/// let text = r#"{"schema": 2, "kind": "workspace", "name": "shop", "version": 1,
///                "rate": 100, "burst": 500}"#;
/// assert_eq!(wire::parse(text)?.len(), 1);
/// let text = text.replace("burst", "brust");
/// assert_eq!(
///     wire::parse(&text).unwrap_err().to_string(),
///     "records[0].brust: unknown field `brust`, expected one of `rate`, `burst`, `weight`",
/// );
/// # Ok::<(), wire::Error>(())
/// ```
pub fn parse(text: &str) -> Result<Vec<Record>, Error> {
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| Error::Json { reason: e.to_string() })?;
    let values = match value {
        serde_json::Value::Array(values) => values,
        other => vec![other],
    };
    values.into_iter().enumerate().map(|(index, value)| parse_record(index, value)).collect()
}

/// Returns the JSON form of a record in the newest schema.
#[must_use]
pub fn to_json(record: &Record) -> serde_json::Value {
    let fields =
        record.body.as_ref().map_or_else(|| serde_json::json!({"removed": true}), body_fields);
    let mut object = serde_json::Map::new();
    object.insert("schema".into(), NEWEST_SCHEMA.into());
    object.insert("kind".into(), record.kind.name().into());
    object.insert("name".into(), record.name.clone().into());
    object.insert("version".into(), record.version.into());
    if let serde_json::Value::Object(fields) = fields {
        object.extend(fields);
    }
    serde_json::Value::Object(object)
}

fn body_fields(body: &Body) -> serde_json::Value {
    match body {
        Body::Model(m) => serde_json::json!(ModelV2::from(m)),
        Body::Adapter(a) => serde_json::json!(AdapterV1::from(a)),
        Body::Class(c) => serde_json::json!(ClassV1::from(c)),
        Body::Workspace(w) => serde_json::json!(WorkspaceV2::from(w)),
        Body::Route(r) => serde_json::json!(RouteV2::from(r)),
        Body::Store(s) => serde_json::json!(StoreV1::from(s)),
        Body::Policy(p) => serde_json::json!(PolicyV1::from(p)),
    }
}

fn parse_record(index: usize, value: serde_json::Value) -> Result<Record, Error> {
    let envelope: Envelope = decode(index, value)?;
    let Envelope { schema, kind, name, version, removed, rest } = envelope;
    if !(OLDEST_SCHEMA..=NEWEST_SCHEMA).contains(&schema) {
        return Err(Error::Schema { index, found: schema });
    }
    let Some(kind) = Kind::parse(&kind) else {
        let names = Kind::ALL.map(Kind::name).join(", ");
        return Err(field_error(index, "kind", format!("expected one of {names}")));
    };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(field_error(
            index,
            "name",
            format!("expected 1 to {MAX_NAME_BYTES} printable bytes"),
        ));
    }
    if version == 0 {
        return Err(field_error(index, "version", "expected a version from 1 on".into()));
    }
    if removed {
        if let Some(extra) = rest.keys().next() {
            return Err(field_error(index, extra, "a removed record has no other fields".into()));
        }
        return Ok(Record { name, version, body: None, kind });
    }
    let body = parse_body(index, schema, kind, rest)?;
    check_ranges(index, &body)?;
    Ok(Record { name, version, body: Some(body), kind })
}

fn parse_body(
    index: usize,
    schema: u64,
    kind: Kind,
    rest: serde_json::Map<String, serde_json::Value>,
) -> Result<Body, Error> {
    let rest = serde_json::Value::Object(rest);
    let body = match (kind, schema) {
        (Kind::Model, 1) => Body::Model(decode::<ModelV1>(index, rest)?.into()),
        (Kind::Model, _) => Body::Model(decode::<ModelV2>(index, rest)?.into()),
        (Kind::Adapter, _) => Body::Adapter(decode::<AdapterV1>(index, rest)?.into()),
        (Kind::Class, _) => Body::Class(decode::<ClassV1>(index, rest)?.into()),
        (Kind::Workspace, 1) => Body::Workspace(decode::<WorkspaceV1>(index, rest)?.into()),
        (Kind::Workspace, _) => Body::Workspace(decode::<WorkspaceV2>(index, rest)?.into()),
        (Kind::Route, 1) => Body::Route(decode::<RouteV1>(index, rest)?.into()),
        (Kind::Route, _) => Body::Route(decode::<RouteV2>(index, rest)?.into()),
        (Kind::Store, _) => Body::Store(decode::<StoreV1>(index, rest)?.into()),
        (Kind::Policy, _) => Body::Policy(decode::<PolicyV1>(index, rest)?.into()),
    };
    Ok(body)
}

/// Checks constraints that the types do not express.
fn check_ranges(index: usize, body: &Body) -> Result<(), Error> {
    match body {
        Body::Model(m) => {
            check_range(index, "memory_mib", m.memory, 1)?;
            check_range(index, "max_output", m.max_output, 1)
        }
        Body::Adapter(a) => check_range(index, "memory_mib", a.memory, 1),
        Body::Class(_) | Body::Policy(_) => Ok(()),
        Body::Workspace(w) => {
            check_range(index, "rate", w.rate, 1)?;
            check_range(index, "burst", w.burst, 1)?;
            check_range(index, "weight", w.weight.into(), 1)
        }
        Body::Route(r) => {
            if !r.path.starts_with('/') {
                return Err(field_error(
                    index,
                    "path",
                    "expected a path that starts with /".into(),
                ));
            }
            if r.path.starts_with("/admin") || r.path.starts_with("/health") {
                return Err(field_error(
                    index,
                    "path",
                    "reserved for the system's own paths".into(),
                ));
            }
            if matches!(r.backend, Backend::Models) && r.repeat != Repeat::Allowed {
                let expected = "engines' calls may be repeated; expected allowed";
                return Err(field_error(index, "repeat", expected.into()));
            }
            check_range(index, "deadline_ms", r.deadline_ms, 1)?;
            check_range(index, "cost", r.cost, 0)
        }
        Body::Store(s) => {
            check_range(index, "loads_per_1000s", s.loads_per_1000s, 1)?;
            check_range(index, "parallel_loads", s.parallel_loads.into(), 1)?;
            check_range(index, "parallel_adapters", s.parallel_adapters.into(), 1)
        }
    }
}

fn check_range(index: usize, path: &str, value: u64, least: u64) -> Result<(), Error> {
    if (least..=MAX_VALUE).contains(&value) {
        return Ok(());
    }
    Err(field_error(index, path, format!("{value} is not within {least} to {MAX_VALUE}")))
}

fn field_error(index: usize, path: &str, expected: String) -> Error {
    Error::Field { index, path: path.to_owned(), expected }
}

fn decode<T: serde::de::DeserializeOwned>(
    index: usize,
    value: serde_json::Value,
) -> Result<T, Error> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let expected = e.into_inner().to_string();
        Error::Field { index, path: field_path(path, &expected), expected }
    })
}

/// Returns the path of the invalid field. For a missing field the decoder gives only
/// the path of the record itself; the name is then taken from its message.
fn field_path(path: String, expected: &str) -> String {
    if path != "." {
        return path;
    }
    expected.split('`').nth(1).map_or(path, str::to_owned)
}
