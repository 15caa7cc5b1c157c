//! Configuration records: declarations of operators about models, targets,
//! workspaces and routes.
//!
//! A record has a kind, a name, a version and a body. This module defines the
//! internal types. [`wire`] defines the JSON that operators write, in every schema
//! that is still accepted. Because the two are separate, records of an old and of a
//! new schema can be in force at the same time.

pub mod wire;

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A model that engines can load.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A class of targets, with the checks that they make on orders.
    Class,
    /// A workspace with its rate limit.
    Workspace,
    /// A path prefix that callers send requests to.
    Route,
    /// The store that model weights are loaded from.
    Store,
    /// The settings of the scheduler.
    Policy,
}

impl Kind {
    /// Every kind, in the order in which error messages list them.
    pub const ALL: [Self; 7] = [
        Self::Model,
        Self::Adapter,
        Self::Class,
        Self::Workspace,
        Self::Route,
        Self::Store,
        Self::Policy,
    ];

    /// Returns the name of the kind in JSON.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Class => "class",
            Self::Workspace => "workspace",
            Self::Route => "route",
            Self::Store => "store",
            Self::Policy => "policy",
        }
    }

    /// Returns the kind with this name in JSON.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.name() == name)
    }
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Kind of the record.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.name)
    }
}

/// SHA-256 digest of a record. Displayed as its first 8 bytes in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(8).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// One version of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name, unique within the kind.
    pub name: String,
    /// Version number, from 1. Every change of content must increase it.
    pub version: u64,
    /// Content, or `None` if the record was removed.
    pub body: Option<Body>,
    /// Kind, also known for a removed record.
    pub kind: Kind,
}

impl Record {
    /// Returns kind and name.
    #[must_use]
    pub fn id(&self) -> Id {
        Id { kind: self.kind, name: self.name.clone() }
    }

    /// Returns the digest of kind, name, version and body.
    ///
    /// # Panics
    ///
    /// Never panics: encoding a record to memory cannot fail.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = postcard::to_stdvec(self).expect("a record can be encoded to memory");
        Digest(sha2::Sha256::digest(bytes).into())
    }
}

/// Content of a record, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// See [`Kind::Model`].
    Model(Model),
    /// See [`Kind::Adapter`].
    Adapter(Adapter),
    /// See [`Kind::Class`].
    Class(Class),
    /// See [`Kind::Workspace`].
    Workspace(Workspace),
    /// See [`Kind::Route`].
    Route(Route),
    /// See [`Kind::Store`].
    Store(Store),
    /// See [`Kind::Policy`].
    Policy(Policy),
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Accelerator memory for one copy, in MiB.
    pub memory: u64,
    /// Number of copies that stay loaded without demand.
    pub min_copies: u32,
    /// Largest number of output tokens of a request that states no limit.
    pub max_output: u64,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the model that it is applied to.
    pub base_model: String,
    /// Accelerator memory for one copy, in MiB.
    pub memory: u64,
}

/// A class of targets, with the checks that they make on orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Whether its targets reject an order with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether its targets check the sender of an order. Stored and returned to
    /// operators, but not used.
    pub checks_sender: bool,
}

/// A workspace, with its rate limit and its weight in scheduling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Refill rate of its token bucket, in tokens per second.
    pub rate: u64,
    /// Capacity of its token bucket, in tokens.
    pub burst: u64,
    /// Weight in weighted fair queueing, relative to the other workspaces.
    pub weight: u32,
}

/// A path prefix that callers send requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix; the longest match is used.
    pub path: String,
    /// Targets that serve the requests.
    pub backend: Backend,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the scheduler puts its requests behind interactive ones and sends them
    /// only to targets with a low load.
    pub deferrable: bool,
    /// Time from arrival within which a target must start the request, in ms.
    pub deadline_ms: u64,
    /// Tokens charged for a request to a plain service.
    pub cost: u64,
}

/// Targets that serve a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Backend {
    /// Engines that have loaded the model named in the request.
    Models,
    /// Targets of the plain service (other than a model engine) with this name.
    Service(String),
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run more than once.
    Allowed,
    /// The request must run at most once and must have an idempotency key.
    IdempotencyKey,
    /// The request must run at most once. Without an idempotency key it gets a single
    /// attempt.
    SingleAttempt,
}

/// Limits of the store that model weights are loaded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Loads per 1000 s, so that rates below one load per second are whole numbers.
    pub loads_per_1000s: u64,
    /// Number of concurrent model loads that the store serves at full speed.
    pub parallel_loads: u32,
    /// Number of concurrent adapter loads that the store serves at full speed.
    pub parallel_adapters: u32,
}

impl Default for Store {
    /// One load per second, with two models and sixteen adapters concurrently.
    fn default() -> Self {
        Self { loads_per_1000s: 1_000, parallel_loads: 2, parallel_adapters: 16 }
    }
}

/// Order in which the scheduler serves workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Objective {
    /// Weighted fair queueing, which serves the worst-served workspace first.
    #[default]
    WorstServed,
    /// Earliest deadline first, to start as many requests as possible in time.
    Attainment,
}

/// Settings of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Order in which workspaces are served.
    pub objective: Objective,
}
