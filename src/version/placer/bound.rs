//! Models that streams need at the software version that began them.
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

use crate::version::directory::Requirement;

/// How long a model counts as needed after the latest request for it.
const RETENTION: time::Duration = time::Duration::from_secs(5);

/// A model of a service at a software version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BoundModel {
    pub(super) service: String,
    pub(super) model: String,
    pub(super) software: String,
}

/// The models, each with the time of the latest request.
#[derive(Debug, Default)]
pub(super) struct BoundModels {
    requested: collections::BTreeMap<BoundModel, time::Duration>,
}

impl BoundModels {
    /// Records a request that only targets of this version can serve.
    pub(super) fn record(
        &mut self,
        requirement: &Requirement,
        software: &str,
        now: time::Duration,
    ) {
        let bound = BoundModel {
            service: requirement.service.clone(),
            model: requirement.model.clone(),
            software: software.to_owned(),
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
