//! Whether a request that continues a stream can be served, and by which targets.
//!
//! Only targets of the service and the software version that began the stream may continue
//! it. If these are not known, the request is refused at once: its caller holds the first
//! events, and those of another version would not fit to them.

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

/// Decides whether a stream is continued of which the caller names no first request.
/// `has_one_software` tells whether all known targets of the service have the same version.
///
/// # Errors
///
/// Returns why it can't be continued.
pub fn decide_unnamed(has_one_software: bool) -> Result<(), StreamLoss> {
    if has_one_software { Ok(()) } else { Err(StreamLoss::Unnamed) }
}
