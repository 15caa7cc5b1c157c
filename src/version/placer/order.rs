//! Orders to targets, what becomes of them, and what targets report.

use std::net;

use crate::version::directory;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Make resident.
    Load,
    /// Remove.
    Unload,
}

impl Op {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Names the order.
    pub id: u64,
    /// Identifies the target.
    pub target: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// What to do.
    pub op: Op,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the order is about one.
    pub adapter: Option<String>,
    /// Orders that the target must have accepted before.
    pub expected: Option<u64>,
    /// Fencing token.
    pub fence: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// It holds already, or was carried out at once.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The target saw a higher fencing token.
    Fenced,
    /// The target did not take it.
    Refused,
    /// It may be carried out later.
    Unknown,
}

impl Outcome {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// What a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reported {
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Whether it carries one out.
    pub busy: bool,
    /// What it holds.
    pub holdings: Vec<directory::Holding>,
    /// Models and adapters on their way, as (model, adapter).
    pub coming: Vec<(String, String)>,
}
