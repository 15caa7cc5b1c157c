//! Targets in failure domains that are being evacuated. They are left out of every choice.
//!
//! An evacuation begins and ends with the view of this gateway, and a target belongs to a domain
//! by its announcement. So the exclusion is looked up by domain for each choice, instead of being
//! kept with each target: a target that is announced later, or again, is covered too.

use std::{collections, net};

use crate::version::view::Presence;

use super::{Choice, Query, TargetTable, target::Target};

impl TargetTable {
    /// Sets the failure domains that are being evacuated. Returns true if they differ from those
    /// before.
    pub fn set_evacuated<'d>(&mut self, domains: impl IntoIterator<Item = &'d str>) -> bool {
        let domains: collections::BTreeSet<_> =
            domains.into_iter().map(ToOwned::to_owned).collect();
        let changed = self.evacuated != domains;
        self.evacuated = domains;
        changed
    }

    /// Returns the failure domains that are being evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Returns the number of known targets in domains that are being evacuated.
    #[must_use]
    pub fn evacuated_targets(&self) -> usize {
        self.targets.values().filter(|t| self.is_evacuated(t)).count()
    }

    /// Returns true if nothing may be sent to a target that was chosen earlier, since its domain
    /// is being evacuated now.
    #[must_use]
    pub fn is_choice_evacuated(&self, choice: &Choice) -> bool {
        // One that is announced as down meanwhile may still accept connections.
        let known = || self.targets.get(&choice.id).or_else(|| self.absent.get(&choice.id));
        !self.evacuated.is_empty() && known().is_some_and(|t| self.is_evacuated(t))
    }

    /// Returns true if a target at this address is in a domain that is being evacuated.
    pub(super) fn is_address_evacuated(&self, address: net::SocketAddr) -> bool {
        !self.evacuated.is_empty()
            && self.targets.values().any(|t| t.announced.address == address && self.is_evacuated(t))
    }

    pub(super) fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.announced.domain)
    }

    /// Returns true if some targets of the software version, in the homes of the request, announce
    /// that they are up, and all of them are being evacuated. One that is unreachable for a moment
    /// is one to wait for.
    pub(super) fn has_only_evacuated(&self, query: &Query<'_>) -> bool {
        let Query { service, software, homes, .. } = *query;
        if self.evacuated.is_empty() {
            return false;
        }
        let of_service = self.targets.values().filter(|t| t.announced.service == service);
        let mut up = of_service
            .filter(|t| t.announced.presence == Presence::Up && !self.is_leaving(t))
            .filter(|t| software.is_none_or(|s| t.has_software(s)) && self.is_home(t, homes))
            .peekable();
        up.peek().is_some() && up.all(|t| self.is_evacuated(t))
    }
}
