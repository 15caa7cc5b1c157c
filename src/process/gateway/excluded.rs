//! Targets that a request may not reach: those in failure domains that are being evacuated.

use crate::{
    connection::pool,
    request::{gateway::fleet::Choice, refusal::Refusal},
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
    /// Returns the refusal of a request for which only targets are left that are being
    /// evacuated.
    pub(super) fn evacuated_refusal(&self) -> Refusal {
        let ran = self.attempts.ran();
        spdlog::warn!("all targets that could take the request are being evacuated", kv: {
            request = self.request.id.as_str(),
            service = self.service.as_str(),
            software = self.required_software.as_deref().unwrap_or(""),
            ran = format!("{ran:?}").as_str()
        });
        self.core.metrics.record_excluded("evacuated");
        Refusal::Evacuated { ran }
    }
}
