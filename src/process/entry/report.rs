//! The reports of an entry process to the leader: announcements of targets, demand by
//! model, and the models and adapters that requests wait for.

use std::{collections, sync, time};

use parking_lot::Mutex;

use crate::{
    connection::peer,
    request::schedule,
    version::{announce, memory::Item},
};

use super::core::Core;

/// Time between reports if no request begins to wait for an item.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Least time between reports. A report is sent this soon if a request waits for a
/// model or adapter that the next report does not yet contain.
const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How long the leader may take to reply.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Content of the next report.
#[derive(Debug, Default)]
pub(super) struct PendingReport {
    /// Latest announcement of each target, by its name.
    announcements: Mutex<collections::BTreeMap<String, announce::Announcement>>,
    wanted: Mutex<collections::BTreeSet<Item>>,
    demand: Mutex<DemandSamples>,
    /// Notified when an item is added to `wanted`.
    item_wanted: tokio::sync::Notify,
}

/// Samples of the demand since the last report.
#[derive(Debug, Default)]
struct DemandSamples {
    count: u64,
    /// Sums of running and waiting requests over all samples, by model.
    load_sums: collections::BTreeMap<String, u64>,
}

impl PendingReport {
    /// Records an announcement. It replaces an earlier one of the same target unless its
    /// incarnation is lower.
    pub(super) fn record_announcement(&self, announcement: announce::Announcement) {
        let mut announcements = self.announcements.lock();
        let outdated = announcements
            .get(&announcement.name)
            .is_some_and(|a| a.target.incarnation > announcement.target.incarnation);
        if !outdated {
            announcements.insert(announcement.name.clone(), announcement);
        }
    }

    /// Records that requests wait for an item.
    pub(super) fn record_wanted(&self, item: Item) {
        if self.wanted.lock().insert(item) {
            self.item_wanted.notify_one();
        }
    }

    /// Adds a sample of the running and waiting requests of each model.
    pub(super) fn sample_demand(&self, loads: &[schedule::PoolLoad]) {
        let mut samples = self.demand.lock();
        samples.count += 1;
        for load in loads {
            if let schedule::Pool::Model(name) = &load.pool {
                let sum = samples.load_sums.entry(name.as_ref().to_owned()).or_default();
                *sum += load.requests as u64;
            }
        }
    }

    /// Returns the report and starts an empty one.
    fn take_report(&self, session: crate::version::claim::Session) -> announce::Report {
        let samples = std::mem::take(&mut *self.demand.lock());
        let count = samples.count.max(1);
        let demand = samples
            .load_sums
            .into_iter()
            .map(|(model, sum)| announce::Demand { model, load: sum * 1_000 / count })
            .collect();
        announce::Report {
            session,
            announcements: std::mem::take(&mut *self.announcements.lock()).into_values().collect(),
            demand,
            wanted: std::mem::take(&mut *self.wanted.lock()).into_iter().collect(),
        }
    }
}

/// Sends reports as long as the process runs.
pub(super) async fn run(core: sync::Arc<Core>) {
    loop {
        send_report(&core).await;
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        let remaining = REPORT_INTERVAL.saturating_sub(MIN_REPORT_INTERVAL);
        // Returns early if an item is wanted; usually the timeout ends the wait.
        let _ = tokio::time::timeout(remaining, core.pending_report.item_wanted.notified()).await;
    }
}

async fn send_report(core: &sync::Arc<Core>) {
    let session = core.session();
    let report = core.pending_report.take_report(session);
    let call = peer::Call::Report(report);
    let deadline = time::Instant::now() + REPLY_TIMEOUT;
    let Ok(peer::Reply::ReportRecorded { loads, .. }) =
        core.control.call_leader(&call, deadline).await
    else {
        return;
    };
    core.dispatcher.report_loads(core, &loads);
}
