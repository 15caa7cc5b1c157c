//! The choice of a target for a request, and what it depends on besides the targets.

use std::{collections, net, time};

use crate::{
    request::gateway::{Prompt, pace},
    version::{directory::Requirement, raft},
};

use super::Homes;

/// A further target is requested for an adapter if the estimated delay of the
/// first output exceeds this.
const SCALE_OUT_DELAY: time::Duration = time::Duration::from_millis(250);

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Present if the request is for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Software version that the target must have; `None` for any.
    pub software: Option<&'a str>,
    /// Ids of the targets that were tried. They are chosen only if there is no other.
    pub tried: &'a [String],
    /// Regions that the target must be in.
    pub homes: Homes<'a>,
}

/// What is wanted of a choice besides the query.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Number of targets.
    pub count: usize,
    /// Route of the request, if its response should end in time; empty otherwise.
    pub route: &'a str,
    /// Time until the caller gives up.
    pub remaining: time::Duration,
}

/// The target chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifies the target.
    pub id: String,
    /// Start time of the target, as it announced.
    pub incarnation: u64,
    /// Where the target listens.
    pub address: net::SocketAddr,
    /// Version of the target's software, as it announced.
    pub software: String,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests of all gateways at the target, as far as was known.
    pub running: u32,
    /// Those of this gateway.
    pub own_running: u32,
    /// Prompt tokens of other requests that it has yet to process, as far as was known.
    pub pending_prefill: u32,
    /// Prompt tokens that are not expected to be cached there.
    pub prefill_tokens: u32,
    /// Estimated delay of the first output.
    pub estimate: time::Duration,
    /// The part of it that does not depend on the requests at the target.
    pub base_delay: time::Duration,
    /// Time that the target is expected to take for the prompt of the request alone.
    pub own_prefill: time::Duration,
    /// Least time expected for the whole response at any suitable target if it were idle, if
    /// that is known.
    pub least_duration: Option<time::Duration>,
    /// What the speed of the target is learned from.
    pub sent: pace::Sent,
    /// Whether the target was in backoff when it was chosen.
    pub in_backoff: bool,
    /// Model and adapter that the target must hold, if the request has a prompt.
    pub requirement: Option<Requirement>,
    /// Term of the leader that gave the request a place at the target, if it has one.
    pub place_term: Option<raft::Term>,
    /// Number of targets among which it was chosen.
    pub candidates: usize,
    /// Present if the target states a limit or is cold, so that the request needs a turn.
    pub limited: Option<Limited>,
}

/// What a request must observe at a target that states a limit or is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limited {
    /// Least time between two requests of all gateways.
    pub interval: time::Duration,
    /// When the next turn is free, as far as is known.
    pub next_turn: time::Duration,
    /// Whether the target is cold.
    pub is_cold: bool,
    /// Whether a health check is needed to know whether it is cold.
    pub needs_check: bool,
    /// Whether another target could take the request as well.
    pub has_alternative: bool,
}

impl Choice {
    /// Returns the requirement that a further target should meet, if an adapter
    /// is needed and the estimated delay is too long.
    #[must_use]
    pub fn scale_out(&self) -> Option<&Requirement> {
        self.requirement.as_ref().filter(|r| r.adapter.is_some() && self.estimate > SCALE_OUT_DELAY)
    }
}

/// What determines the delay between this gateway and a target.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// Failure domain of this gateway.
    pub domain: &'a str,
    /// Addresses to which an idle connection is open.
    pub connected: &'a collections::HashSet<net::SocketAddr>,
}

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// No target of the service takes requests.
    NoTarget,
    /// Targets of the service take requests, but none of them has the software version.
    NoSoftware,
    /// No target of the service is in a region in which the request may be served.
    NoHome,
    /// All targets that could take the request are in failure domains that are being evacuated.
    Evacuated,
    /// No target holds the model.
    ModelNotResident,
    /// Targets hold the model, but none of them the adapter.
    AdapterNotResident,
    /// All targets that could take the request have stated that they want none for a while.
    Paused {
        /// When the first of them takes requests again.
        until: time::Duration,
    },
}
