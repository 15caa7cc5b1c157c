//! Targets that a request may not reach: those in failure domains that are being evacuated, and
//! those outside the regions in which it may be served.

use crate::{
    connection::pool,
    request::{
        gateway::fleet::{Choice, Homes, Unavailable},
        refusal::Refusal,
    },
    version::evacuation::Evacuations,
};

use super::{core::Core, job::Job};

/// Puts the evacuations of the view in force, and wakes the requests that wait for a target if
/// they have changed.
pub(super) fn update(core: &Core, evacuations: &Evacuations) {
    let (domains, targets) = {
        let mut fleet = core.fleet.lock();
        if !fleet.set_evacuated(evacuations.domains().map(|(domain, _)| domain)) {
            return;
        }
        (fleet.evacuated().collect::<Vec<_>>().join(","), fleet.evacuated_targets())
    };
    spdlog::info!("failure domains being evacuated changed", kv: {
        domains = domains.as_str(),
        targets
    });
    core.notify_fleet_change();
}

/// Checks, just before a request is sent, that its target may still get it.
pub(super) fn check(core: &Core, choice: &Choice) -> Result<(), pool::Error> {
    if core.fleet.lock().is_choice_evacuated(choice) {
        let reason = "the failure domain of the target is being evacuated".to_owned();
        return Err(pool::Error::NotSent { reason, failure: None });
    }
    Ok(())
}

impl Job {
    /// Returns the regions in which the request may be served.
    pub(super) fn homes(&self) -> Homes<'_> {
        Homes { route: &self.route.homes, workspace: &self.workspace_homes }
    }

    /// Returns the failure domains in which the request may be served; none if these are all.
    pub(super) fn home_domains(&self) -> Vec<String> {
        self.core.fleet.lock().home_domains(self.homes())
    }

    /// Returns the refusal of a request that no target may take; `None` if it is unavailable for
    /// another reason.
    pub(super) fn excluded_refusal(&self, unavailable: Unavailable) -> Option<Refusal> {
        let ran = self.attempts.ran();
        let (reason, refusal) = match unavailable {
            Unavailable::Evacuated => ("evacuated", Refusal::Evacuated { ran }),
            Unavailable::NoHome => ("homes", Refusal::NoHome { ran }),
            _ => return None,
        };
        let Homes { route, workspace } = self.homes();
        spdlog::warn!("no target may take the request", kv: {
            request = self.request.id.as_str(),
            reason,
            service = self.service.as_str(),
            software = self.required_software.as_deref().unwrap_or(""),
            route_regions = route.join(",").as_str(),
            workspace_regions = workspace.join(",").as_str(),
            ran = format!("{ran:?}").as_str()
        });
        self.core.metrics.record_excluded(reason);
        Some(refusal)
    }
}
