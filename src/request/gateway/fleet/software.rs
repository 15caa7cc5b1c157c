//! Which software versions the targets of each service had lately.
//!
//! A stream of which it is not known where it began may be continued only if all targets
//! that could have begun it had the version of those that serve now. The targets of an
//! earlier version may have left meanwhile, and a gateway that has just started has not seen
//! them at all.

use std::{collections, time};

#[cfg(doc)]
use crate::version::directory;

/// Longest time between two observations in which no version is missed: a target that joins
/// and is lost meanwhile is still announced then (see [`directory::TTL`]).
const MAX_GAP: time::Duration = time::Duration::from_secs(4);

/// Versions of each service, with the time from which on each was no longer there.
#[derive(Clone, Debug, Default)]
pub(super) struct SoftwareHistory {
    /// When the first targets were known, or were known again after a gap.
    began: Option<time::Duration>,
    /// When the targets were last known to be complete.
    observed: Option<time::Duration>,
    versions: collections::HashMap<String, collections::BTreeMap<String, Option<time::Duration>>>,
}

impl SoftwareHistory {
    /// Records which versions are `present` now, as pairs of service and version.
    pub(super) fn update<'t>(
        &mut self,
        present: impl Iterator<Item = (&'t str, &'t str)>,
        now: time::Duration,
    ) {
        self.observe(now);
        let gone = self.versions.values_mut().flat_map(collections::BTreeMap::values_mut);
        gone.for_each(|gone_at| *gone_at = gone_at.or(Some(now)));
        for (service, software) in present {
            let versions = self.versions.entry(service.to_owned()).or_default();
            versions.insert(software.to_owned(), None);
        }
    }

    /// Records that the versions are as they were at the latest update. After a gap the
    /// history starts anew.
    pub(super) fn observe(&mut self, now: time::Duration) {
        if self.observed.is_none_or(|at| now > at + MAX_GAP) {
            self.began = Some(now);
        }
        self.observed = Some(now);
    }

    /// Returns true if the service had no more than one version since the time `since`.
    pub(super) fn had_one_version(&self, service: &str, since: time::Duration) -> bool {
        let Some(versions) = self.versions.get(service) else {
            return false;
        };
        let recent = versions.values().filter(|gone_at| gone_at.is_none_or(|at| at > since));
        self.began.is_some_and(|began| began <= since) && recent.count() <= 1
    }
}
