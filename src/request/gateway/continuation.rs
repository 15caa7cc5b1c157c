//! Whether a request that continues a stream can be served, and by which targets.
//!
//! Only targets of the service and the software version that began the stream may continue
//! it. If these are not known, the request is refused at once: its caller holds the first
//! events, and those of another version would not fit to them.

use std::time;

use crate::{
    request::refusal::StreamLoss,
    version::{catalog::Route, origin::Origin},
};

/// What the control replicas answer about a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The stream began there.
    Found(Origin),
    /// None of the replicas that answered knows the stream.
    Unknown,
    /// No replica answered.
    Unanswered,
}

impl Lookup {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Decides where a stream is continued, of which the caller names the first request.
///
/// # Errors
///
/// Returns why it can't be continued.
pub fn decide(lookup: Lookup, route: &Route) -> Result<Origin, StreamLoss> {
    match lookup {
        Lookup::Found(origin) => {
            let serves = route.split.iter().any(|s| s.service == origin.service && s.weight > 0);
            if serves { Ok(origin) } else { Err(StreamLoss::RouteChanged) }
        }
        Lookup::Unknown => Err(StreamLoss::Unknown),
        Lookup::Unanswered => Err(StreamLoss::Unanswered),
    }
}

/// Longest time since a replica last told which targets there are. A target of another version
/// needs longer to join, begin a stream elsewhere and break it off.
const MAX_REPLY_AGE: time::Duration = time::Duration::from_secs(1);

/// Longest time since that replica was last up to date. Longer than an election; a replica
/// that is cut off from the others is out of date for longer.
const MAX_CURRENT_AGE: time::Duration = time::Duration::from_secs(3);

/// When replicas last told this gateway which targets there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// When any replica did.
    pub replied_at: Option<time::Duration>,
    /// When one did that was up to date.
    pub current_at: Option<time::Duration>,
}

impl Contact {
    /// Returns whether this gateway knows the targets that joined lately.
    fn is_recent(self, now: time::Duration) -> bool {
        let within = |at: Option<time::Duration>, age| at.is_some_and(|at| now < at + age);
        within(self.replied_at, MAX_REPLY_AGE) && within(self.current_at, MAX_CURRENT_AGE)
    }
}

/// Decides whether a stream is continued of which the caller names no first request.
/// `has_one_software` tells whether all known targets of the service have the same version. A
/// gateway that was cut off or suspended may not know those of another one.
///
/// # Errors
///
/// Returns why it can't be continued.
pub fn decide_unnamed(
    has_one_software: bool,
    contact: Contact,
    now: time::Duration,
) -> Result<(), StreamLoss> {
    if !has_one_software {
        return Err(StreamLoss::Unnamed);
    }
    if contact.is_recent(now) { Ok(()) } else { Err(StreamLoss::Unanswered) }
}
