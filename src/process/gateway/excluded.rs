//! Targets that a request may not reach: those in failure domains that are being evacuated, and
//! those outside the regions in which it may be served.

use std::time;

use crate::{
    connection::pool,
    request::{
        gateway::{
            fleet::{Choice, Homes, Unavailable},
            suspension::LatestAttempt,
        },
        refusal::Refusal,
    },
    version::evacuation::Evacuations,
};

use super::{core::Core, job::Job};

/// Longest wait for the end of an attempt to synchronize.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

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

/// Returns true if a target that was chosen earlier may get a request now, as far as is known.
/// What is known may be out of date after a suspension.
pub(super) fn may_send(core: &Core, choice: &Choice) -> bool {
    let is_overdue = core.latest_attempt.borrow().is_overdue(core.clock.now());
    !is_overdue && !core.fleet.lock().is_choice_evacuated(choice)
}

/// Checks, just before a request is sent, that its target may still get it.
pub(super) fn check(core: &Core, choice: &Choice) -> Result<(), pool::Error> {
    if may_send(core, choice) {
        return Ok(());
    }
    let reason = "the target may not get requests any more".to_owned();
    Err(pool::Error::NotSent { reason, failure: None })
}

/// Waits, if this process may have been suspended, for the end of an attempt to synchronize that
/// was begun since.
pub(super) async fn wait_if_suspended(core: &Core) {
    let mut attempts = core.latest_attempt.subscribe();
    let is_current = |attempt: &LatestAttempt| !attempt.is_overdue(core.clock.now());
    if is_current(&attempts.borrow()) {
        return;
    }
    spdlog::info!("request waits for changes, as the gateway may have been suspended");
    core.sync_due.notify_one();
    // After a timeout, too, the caller checks again.
    let _ = tokio::time::timeout(MAX_WAIT, attempts.wait_for(is_current)).await;
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
