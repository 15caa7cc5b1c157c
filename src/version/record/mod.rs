//! Configuration records: what operators declare about models, targets,
//! workspaces and routes.
//!
//! A record has a kind, a name, a version and a body. The types here are the
//! ones the system works with; [`wire`] holds the JSON that operators write,
//! in every schema that is still accepted. Keeping the two apart lets an old
//! and a new schema stay in force side by side.

pub mod wire;

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A model that engines serve.
    Model,
    /// An adapter on top of a model.
    Adapter,
    /// A class of targets, and what they check.
    Class,
    /// A workspace with its rate and burst.
    Workspace,
    /// A path that callers use.
    Route,
    /// The store that weights come from.
    Store,
    /// The objective of the scheduler.
    Policy,
}

impl Kind {
    /// Every kind, in the order in which a batch is validated.
    pub const ALL: [Self; 7] = [
        Self::Model,
        Self::Adapter,
        Self::Class,
        Self::Workspace,
        Self::Route,
        Self::Store,
        Self::Policy,
    ];

    /// Returns the name that operators write.
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

    /// Finds the kind with the given name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.name() == name)
    }
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// What it is about.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: String,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.name)
    }
}

/// Digest of a record's content.
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
    /// Name within its kind.
    pub name: String,
    /// Version, which must grow with every change of content.
    pub version: u64,
    /// Content, or `None` for a record that was removed.
    pub body: Option<Body>,
    /// Kind, which a removed record keeps.
    pub kind: Kind,
}

impl Record {
    /// Returns the identity.
    #[must_use]
    pub fn id(&self) -> Id {
        Id { kind: self.kind, name: self.name.clone() }
    }

    /// Returns the digest of kind, name, version and body.
    ///
    /// # Panics
    ///
    /// Never: encoding a record into memory can't fail.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = postcard::to_stdvec(self).expect("encoding to memory can't fail");
        Digest(sha2::Sha256::digest(bytes).into())
    }
}

/// The content of a record.
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

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Accelerator memory of one copy, in MiB.
    pub memory: u64,
    /// Copies to keep resident even without demand.
    pub min_copies: u32,
    /// Tokens generated at most when the caller names no limit.
    pub max_output: u64,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Model that it belongs to.
    pub base_model: String,
    /// Accelerator memory of one copy, in MiB.
    pub memory: u64,
}

/// A class of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Whether its targets refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether its targets check who gives an order.
    pub checks_sender: bool,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be spent at once.
    pub burst: u64,
    /// Share under contention, relative to the other workspaces.
    pub weight: u32,
}

/// A path that callers use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix; the longest match wins.
    pub path: String,
    /// What serves it.
    pub backend: Backend,
    /// Whether a key is needed.
    pub public: bool,
    /// Whether a call may be run again.
    pub repeat: Repeat,
    /// Whether its requests may wait for quiet hours.
    pub deferrable: bool,
    /// Time from arrival to the last moment a target may start, in ms.
    pub deadline_ms: u64,
    /// Tokens charged for a call to a plain service.
    pub cost: u64,
}

/// What serves a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Backend {
    /// Engines, by the model that the request names.
    Models,
    /// The plain service with this name.
    Service(String),
}

/// Whether a call may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not, and needs an idempotency key.
    IdempotencyKey,
    /// It may not, but one try without an idempotency key is allowed.
    SingleAttempt,
}

/// The store that weights come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Loads per thousand seconds.
    pub loads_per_1000s: u64,
    /// Model loads at once at full speed.
    pub parallel_loads: u32,
    /// Adapter loads at once at full speed.
    pub parallel_adapters: u32,
}

impl Default for Store {
    /// One load a second, two at once, sixteen adapters at once.
    fn default() -> Self {
        Self { loads_per_1000s: 1_000, parallel_loads: 2, parallel_adapters: 16 }
    }
}

/// What the scheduler favours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Objective {
    /// The worst-served workspace first.
    #[default]
    WorstServed,
    /// Requests answered on time first.
    Attainment,
}

/// The policy record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// The objective in force.
    pub objective: Objective,
}
