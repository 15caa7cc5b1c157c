//! Crashes of targets: notes the requests that were on them, and reports them to the
//! leader.

use std::{sync, time};

use crate::{
    connection::peer,
    request::gateway::fleet::Choice,
    version::suspect::{Fingerprint, Verdict},
};

use super::core::Core;

/// How long the leader may take to answer a report. A report that is lost is sent again.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Checks, after a request on a target broke off, whether the target has crashed, and
/// records the crash in the background.
pub(super) fn check_target(
    core: &sync::Arc<Core>,
    choice: &Choice,
    fingerprints: &sync::Arc<[Fingerprint]>,
) {
    let (core, choice, fingerprints) = (core.clone(), choice.clone(), fingerprints.clone());
    tokio::spawn(async move {
        if !core.has_crashed(choice.address).await {
            return;
        }
        spdlog::warn!("target crashed with a request that had no output yet", kv: {
            target = choice.id.as_str(),
            incarnation = choice.incarnation,
            fingerprints = fingerprints.len()
        });
        let now = core.clock.now();
        core.crash_log.lock().record_crash(&choice.id, choice.incarnation, &fingerprints, now);
    });
}

/// Reports to the leader in the background what it does not know yet. Called regularly.
pub(super) fn report(core: &sync::Arc<Core>) {
    let config = core.config();
    let suspects = config.cached_view.view().suspects();
    let due = core.crash_log.lock().due_report(suspects, core.clock.now());
    let Some(report) = due else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        let (crashes, served) = (report.crashes.len(), report.served.len());
        let deadline = time::Instant::now() + REPORT_TIMEOUT;
        let call = peer::Call::ReportCrashes(report);
        let recorded = core.control.call_leader(&call, deadline).await.is_ok();
        spdlog::info!("crashes of targets reported", kv: {
            crashes = crashes,
            served = served,
            recorded = recorded
        });
    });
}

/// Returns a fingerprint of a request that is refused, if there is one.
pub(super) fn refused_fingerprint(
    core: &Core,
    fingerprints: &[Fingerprint],
) -> Option<Fingerprint> {
    let config = core.config();
    let suspects = config.cached_view.view().suspects();
    fingerprints.iter().copied().find(|f| suspects.verdict(*f) == Verdict::Refused)
}

/// Returns true if a request may be what crashes targets.
pub(super) fn is_suspected(core: &Core, fingerprints: &[Fingerprint]) -> bool {
    let config = core.config();
    let suspects = config.cached_view.view().suspects();
    fingerprints.iter().any(|f| suspects.verdict(*f) != Verdict::Clear)
}
