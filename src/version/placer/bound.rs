//! Models that requests need at some targets only: streams at the software version that began
//! them, and requests that may be served in some regions only in the failure domains there.
//!
//! A stream goes on only at targets of one version. During a release these become fewer, and when
//! the last of them that holds a model is lost, other targets of the version may still take it.
//! Demand for a model does not tell that: a copy at another version serves all new requests.
//!
//! A caller whose stream can't go on in time comes back, so what it needs counts for a while
//! after its request was answered.
//!
//! Alternatives: *refuse such streams* loses all of them for as long as the version lasts. *Keep two
//! copies of each model at a version with streams* takes the memory of other models during each
//! release, for the case that a target is lost. *Another version* would join two texts.

use std::{collections, time};

use super::{PlacementRequest, room::TargetState};

/// How long a model counts as needed after the latest request for it.
const RETENTION: time::Duration = time::Duration::from_secs(5);

/// A model of a service at a software version, or in one of some failure domains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BoundModel {
    pub(super) service: String,
    pub(super) model: String,
    /// `None` for any.
    pub(super) software: Option<String>,
    /// Empty for any.
    pub(super) domains: Vec<String>,
}

impl BoundModel {
    /// Returns true if a copy on the target serves the requests.
    pub(super) fn suits(&self, target: &TargetState) -> bool {
        self.software.as_ref().is_none_or(|s| *s == target.software)
            && (self.domains.is_empty() || self.domains.contains(&target.domain))
    }
}

/// The models, each with the time of the latest request.
#[derive(Debug, Default)]
pub(super) struct BoundModels {
    requested: collections::BTreeMap<BoundModel, time::Duration>,
}

impl BoundModels {
    /// Records a request, if only targets of a version or in some domains can serve it.
    pub(super) fn record(&mut self, request: &PlacementRequest, now: time::Duration) {
        let PlacementRequest { requirement, software, domains, .. } = request;
        if software.is_none() && domains.is_empty() {
            return;
        }
        let bound = BoundModel {
            service: requirement.service.clone(),
            model: requirement.model.clone(),
            software: software.clone(),
            domains: domains.clone(),
        };
        self.requested.insert(bound, now);
    }

    /// Forgets the models that have not been requested for long.
    pub(super) fn expire(&mut self, now: time::Duration) {
        self.requested.retain(|_, at| now < *at + RETENTION);
    }

    /// Returns the models of a service that are needed, the one first that has not been requested
    /// for longest.
    pub(super) fn of_service<'b>(&'b self, service: &str) -> Vec<&'b BoundModel> {
        let mut bound: Vec<_> =
            self.requested.iter().filter(|(bound, _)| bound.service == service).collect();
        bound.sort_by_key(|(_, at)| **at);
        bound.into_iter().map(|(bound, _)| bound).collect()
    }
}
