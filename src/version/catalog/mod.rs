//! The catalog: routes, services, models and workspaces under one version number.
//!
//! A deployment is configured either by [records](super::record), which change
//! separately, or by an external operator, who always sends a complete catalog.
//! The catalog with the highest version is in force, and one with an equal or
//! lower version has no effect. This module defines the content of a catalog and
//! validates it. [`table::Table`] is the index that requests are looked up in.
//!
//! # Examples
//!
//! ```
//! use hornbeamdock::version::catalog;
//!
//! let catalog = catalog::Catalog { version: 3, ..Default::default() };
//! assert!(catalog.check().is_ok());
//! ```

pub mod attributes;
mod error;
pub mod patch;
pub mod table;

use std::{collections, time};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use self::error::Error;

/// SHA-256 digest of the API key of a caller.
pub type KeyDigest = [u8; 32];

/// Returns the digest by which the catalog lists a key.
#[must_use]
pub fn key_digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

/// Whether a request may be sent again after a target may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The response is a stream of server-sent events. The request may run at most
    /// once, unless the route is resumable.
    Streaming,
}

/// A service that gets part of the traffic of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// The service gets this weight divided by the sum of the weights of the route.
    pub weight: u32,
}

/// Destination and handling of requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, used in metrics and errors.
    pub name: String,
    /// Host without a port, compared regardless of case.
    pub host: String,
    /// Path prefix, with a slash at both ends. The longest match is used.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: RouteKind,
    /// Longest time to the complete response. Not zero.
    pub timeout: time::Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub latency_objective: time::Duration,
    /// Priority that is passed to the target; zero is the most urgent.
    pub priority: u32,
    /// Services that the traffic is split over, by weight.
    pub split: Vec<WeightedService>,
    /// Largest number of attempts that may run one request; zero counts as one.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether requests name a model and the segments of their prompt. No code reads
    /// this field; it is part of the stored format.
    pub names_model: bool,
    /// Whether an interrupted stream may be continued on another target.
    pub resumable: bool,
    /// Longest pause between two events of a stream that is aimed at; zero if none is stated.
    #[serde(skip)]
    pub gap_objective: time::Duration,
    /// Regions in which requests may be served; empty for all.
    #[serde(skip)]
    pub homes: Vec<String>,
}

/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory for the weights, in MB.
    pub weights_mb: u64,
    /// Memory for one adapter of the model, in MB.
    pub adapter_mb: u64,
    /// Time to load the model from the weight store.
    pub store_load: time::Duration,
    /// Time to load the model from the target's own disk.
    pub disk_load: time::Duration,
    /// Time to load the model from the target's main memory.
    pub warm_load: time::Duration,
}

/// Properties that are the same for all engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Largest number of concurrent requests of one engine.
    pub slots: u32,
    /// Capacity of the KV cache of one engine, in tokens.
    pub cache_tokens: u64,
    /// Models that the engines can load.
    pub models: Vec<Model>,
    /// Memory of one engine for weights and adapters, in MB.
    pub memory_mb: u64,
    /// Largest number of adapters loaded on one engine.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows to all engines together.
    pub load_rate: f64,
}

/// A set of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique within the catalog.
    pub name: String,
    /// Path of the health check of its targets.
    pub health_path: String,
    /// Largest number of connections of one target.
    pub max_connections: u32,
    /// Set if the targets are model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// What the targets bear while they are cold; `None` if they need no care then.
    #[serde(skip)]
    pub warm_up: Option<WarmUp>,
}

/// What a target bears that has just started, or has become cold for another reason.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long a target is cold after its start.
    pub time: time::Duration,
    /// Requests a second that a cold target takes, from all gateways together. Positive and
    /// finite.
    pub rate: f64,
}

impl Service {
    /// Returns the model with this name, or `None` if the service has no such model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.engine.as_ref()?.models.iter().find(|m| m.name == name)
    }
}

/// Token bucket that limits the requests of a workspace.
///
/// The unit is a token of a model, or a request if `counts_tokens` is false.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Refill rate, in units per second.
    pub rate: u64,
    /// Capacity of the bucket, in units.
    pub burst: u64,
    /// Tokens charged for a request that does not state its tokens.
    pub default_tokens: u64,
    /// Whether a request is charged its prompt and output tokens, instead of 1.
    pub counts_tokens: bool,
}

/// A customer, whose callers share a set of keys and a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique within the catalog.
    pub name: String,
    /// Digests of its keys. Workspaces have no key in common.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, instead of that of the route; zero is the most
    /// urgent.
    pub priority: Option<u32>,
    /// Rate limit, or `None` for unlimited requests.
    pub rate_limit: Option<RateLimit>,
    /// Regions in which its requests may be served; empty for all.
    #[serde(skip)]
    pub homes: Vec<String>,
}

/// Bounds on the size and timing of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Largest request line and headers, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for sending the request line and headers. The gateway applies the larger
    /// of this and `idle_timeout` to both.
    pub head_timeout: time::Duration,
    /// Time that a connection of a caller may stay idle.
    pub idle_timeout: time::Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version number; a catalog replaces only one with a lower version.
    pub version: u64,
    /// Routes, each with a different host and prefix.
    pub routes: Vec<Route>,
    /// Services, which routes refer to by name.
    pub services: Vec<Service>,
    /// Workspaces. If there are none, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// Bounds on the size and timing of requests.
    pub bounds: Bounds,
    /// JSON document as sent by the operator, returned when an operator reads the
    /// catalog. It contains secret keys and must not get into logs or to targets.
    pub document: Vec<u8>,
}

// The floating-point numbers, `Engine::load_rate` and `WarmUp::rate`, are finite, so equality is
// reflexive.
impl Eq for Catalog {}

impl Catalog {
    /// Validates the catalog.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), Error> {
        self.check_services()?;
        self.check_routes()?;
        self.check_workspaces()
    }

    /// Returns a copy with an empty `document`, for gateways.
    #[must_use]
    pub fn without_document(&self) -> Self {
        let Self { version, routes, services, workspaces, bounds, document: _ } = self;
        Self {
            version: *version,
            routes: routes.clone(),
            services: services.clone(),
            workspaces: workspaces.clone(),
            bounds: *bounds,
            document: Vec::new(),
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.name == name)
    }

    fn check_services(&self) -> Result<(), Error> {
        let mut names = collections::HashSet::new();
        match self.services.iter().find(|s| !names.insert(s.name.as_str())) {
            Some(duplicate) => Err(Error::DuplicateService { service: duplicate.name.clone() }),
            None => Ok(()),
        }
    }

    fn check_routes(&self) -> Result<(), Error> {
        let services: collections::HashSet<_> =
            self.services.iter().map(|s| s.name.as_str()).collect();
        let mut seen = collections::HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !seen.insert((route.host.as_str(), route.prefix.as_str())) {
                return Err(Error::DuplicateRoute { route: route.name.clone() });
            }
        }
        Ok(())
    }

    fn check_workspaces(&self) -> Result<(), Error> {
        let mut names = collections::HashSet::new();
        let mut key_owners = collections::HashMap::new();
        for workspace in &self.workspaces {
            if !names.insert(workspace.name.as_str()) {
                return Err(Error::DuplicateWorkspace { workspace: workspace.name.clone() });
            }
            for key in &workspace.keys {
                let owner = key_owners.insert(key, &workspace.name);
                if owner.is_some_and(|o| *o != workspace.name) {
                    return Err(Error::SharedKey { workspace: workspace.name.clone() });
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &collections::HashSet<&str>) -> Result<(), Error> {
    let name = || route.name.clone();
    if route.timeout.is_zero() {
        return Err(Error::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::InvalidPrefix { route: name() });
    }
    if route.split.iter().map(|s| u64::from(s.weight)).sum::<u64>() == 0 {
        return Err(Error::ZeroWeight { route: name() });
    }
    match route.split.iter().find(|s| !services.contains(s.service.as_str())) {
        Some(missing) => {
            Err(Error::UnknownService { route: name(), service: missing.service.clone() })
        }
        None => Ok(()),
    }
}
