//! Regions in which a request may be served: its homes. Targets elsewhere are left out of every
//! choice.
//!
//! The region of a target is that of its failure domain in the settings of this gateway. A target
//! whose region is not known is in no home. Routes and workspaces without homes are not affected.

use std::collections;

use crate::version::view::Presence;

use super::{TargetTable, target::Target};

/// Regions that the route and the workspace of a request allow. Both apply; an empty list allows
/// any region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Homes<'a> {
    /// Of the route.
    pub route: &'a [String],
    /// Of the workspace.
    pub workspace: &'a [String],
}

impl Homes<'_> {
    /// Returns true if any region is allowed, also one that is not known.
    #[must_use]
    pub fn is_any(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }

    /// Returns true if the request may be served in a region.
    #[must_use]
    pub fn allow(&self, region: &str) -> bool {
        let lists = |regions: &[String]| regions.is_empty() || regions.iter().any(|r| r == region);
        lists(self.route) && lists(self.workspace)
    }
}

impl TargetTable {
    /// Sets the region of each failure domain.
    pub fn set_regions(&mut self, regions: collections::BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Returns the failure domains in the homes; none if these are any region.
    #[must_use]
    pub fn home_domains(&self, homes: Homes<'_>) -> Vec<String> {
        if homes.is_any() {
            return Vec::new();
        }
        let allowed = self.regions.iter().filter(|(_, region)| homes.allow(region));
        allowed.map(|(domain, _)| domain.clone()).collect()
    }

    pub(super) fn is_home(&self, target: &Target, homes: Homes<'_>) -> bool {
        homes.is_any()
            || self.regions.get(&target.announced.domain).is_some_and(|region| homes.allow(region))
    }

    /// Returns true if no target of the service that announces that it is up is in the homes.
    pub(super) fn lacks_home(&self, service: &str, homes: Homes<'_>) -> bool {
        let up = self.targets.values().filter(|t| t.announced.presence == Presence::Up);
        let mut of_service = up.filter(|t| t.announced.service == service);
        !homes.is_any() && !of_service.any(|t| self.is_home(t, homes))
    }
}
