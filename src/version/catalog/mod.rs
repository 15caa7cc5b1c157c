//! The catalog: routes, services, models and workspaces as one versioned whole.
//!
//! Records change one at a time. A deployment that is configured by an outside
//! operator sends everything at once instead, under one version number. The
//! highest version is in force; an equal or lower one changes nothing. This
//! module holds the content and its rules. [`table::Table`] is what requests
//! are looked up in.
//!
//! # Examples
//!
//! ```
//! use hornbeamdock::version::catalog;
//!
//! let catalog = catalog::Catalog { version: 3, ..Default::default() };
//! assert!(catalog.check().is_ok());
//! ```

mod error;
pub mod patch;
pub mod table;

use std::{collections, time};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use self::error::Error;

/// Digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// Returns the digest that stands for a key.
#[must_use]
pub fn key_digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    NonIdempotent,
    /// It is answered by a stream of events, and may run once unless the route
    /// is resumable.
    Streaming,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Where requests for a host and path go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers name, without a port.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer (of a stream: its first event) is on time.
    pub latency_objective: time::Duration,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Services that share the traffic.
    pub split: Vec<WeightedService>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests name a model and the parts of their prompt.
    pub sticky: bool,
    /// Whether a stream may be continued on another target.
    pub resumable: bool,
}

/// A model that engines of a service may hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory that its weights take, in MB.
    pub weights_mb: u64,
    /// Memory that one adapter of it takes, in MB.
    pub adapter_mb: u64,
    /// Time to load it from the weight store.
    pub store_load: time::Duration,
    /// Time to load it from a target's own disk.
    pub disk_load: time::Duration,
    /// Time to load it from a target's own main memory.
    pub warm_load: time::Duration,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that its cache holds.
    pub cache_tokens: u64,
    /// Models that it may hold.
    pub models: Vec<Model>,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: u64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all engines.
    pub load_rate: f64,
}

/// A set of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one target takes from all callers.
    pub max_connections: u32,
    /// Present if the targets are model engines.
    pub engine: Option<Engine>,
}

impl Service {
    /// Returns a model of the service.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.engine.as_ref()?.models.iter().find(|m| m.name == name)
    }
}

/// Tokens that a workspace may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
    /// Tokens that a request counts as if it states none.
    pub default_tokens: u64,
    /// Whether requests are charged by their stated tokens, or one each.
    pub counts_tokens: bool,
}

/// A group of callers with common keys and a common limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before the route's; zero is the most urgent.
    pub priority: Option<u32>,
    /// Its limit, if it has one.
    pub rate_limit: Option<RateLimit>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout: time::Duration,
    /// How long a caller's connection may stay idle.
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

/// Everything that is in force under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces. With none, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// Bounds on what callers may send.
    pub bounds: Bounds,
    /// The text that the operator sent, handed back to whoever reads the
    /// catalog. It holds keys, so it is kept from logs and targets.
    pub document: Vec<u8>,
}

// Every number in a catalog is finite, so equality is reflexive.
impl Eq for Catalog {}

impl Catalog {
    /// Checks what must hold between the parts.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction.
    pub fn check(&self) -> Result<(), Error> {
        self.check_services()?;
        self.check_routes()?;
        self.check_workspaces()
    }

    /// Returns a copy without the operator's text, which only control hands out.
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

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns a workspace.
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
        let mut prefixes = collections::HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
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
