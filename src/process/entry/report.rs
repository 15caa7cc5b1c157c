//! What an entry tells the leader once a second: what it heard from targets,
//! the demand that it saw, and what requests wait for.

use std::{collections, sync, time};

use parking_lot::Mutex;

use crate::{
    connection::peer,
    request::schedule,
    version::{announce, memory::Item},
};

use super::core::Core;

/// Time between reports.
const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time between reports while requests wait for something to be loaded.
const URGENT: time::Duration = time::Duration::from_millis(50);

/// How long the leader may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What has gathered since the last report.
#[derive(Debug, Default)]
pub(super) struct Reports {
    heard: Mutex<collections::BTreeMap<String, announce::Announcement>>,
    wanted: Mutex<collections::BTreeSet<Item>>,
    demand: Mutex<Samples>,
    urgent: tokio::sync::Notify,
}

/// Sums of sampled loads.
#[derive(Debug, Default)]
struct Samples {
    count: u64,
    loads: collections::BTreeMap<String, u64>,
}

impl Reports {
    /// Notes an announcement; a later one of the same target replaces it.
    pub(super) fn heard(&self, announcement: announce::Announcement) {
        let mut heard = self.heard.lock();
        let older = heard
            .get(&announcement.name)
            .is_some_and(|h| h.target.incarnation > announcement.target.incarnation);
        if !older {
            heard.insert(announcement.name.clone(), announcement);
        }
    }

    /// Notes that requests wait for an item.
    pub(super) fn want(&self, item: Item) {
        if self.wanted.lock().insert(item) {
            self.urgent.notify_one();
        }
    }

    /// Takes a sample of the requests that run or wait.
    pub(super) fn sample(&self, loads: &[schedule::PoolLoad]) {
        let mut samples = self.demand.lock();
        samples.count += 1;
        for load in loads {
            if let schedule::Pool::Model(name) = &load.pool {
                let sum = samples.loads.entry(name.as_ref().to_owned()).or_default();
                *sum += load.requests as u64;
            }
        }
    }

    fn take(&self, session: crate::version::claim::Session) -> announce::Report {
        let samples = std::mem::take(&mut *self.demand.lock());
        let count = samples.count.max(1);
        let demand = samples
            .loads
            .into_iter()
            .map(|(model, sum)| announce::Demand { model, load: sum * 1_000 / count })
            .collect();
        announce::Report {
            session,
            announcements: std::mem::take(&mut *self.heard.lock()).into_values().collect(),
            demand,
            wanted: std::mem::take(&mut *self.wanted.lock()).into_iter().collect(),
        }
    }
}

/// Reports for as long as the entry runs.
pub(super) async fn run(core: sync::Arc<Core>) {
    loop {
        report(&core).await;
        tokio::time::sleep(URGENT).await;
        let rest = INTERVAL.saturating_sub(URGENT);
        // An urgent want ends the pause; the timeout is the ordinary case.
        let _ = tokio::time::timeout(rest, core.reports.urgent.notified()).await;
    }
}

async fn report(core: &sync::Arc<Core>) {
    let session = core.session();
    let report = core.reports.take(session);
    let call = peer::Call::Report(report);
    let deadline = time::Instant::now() + TIMEOUT;
    let Ok(peer::Reply::ReportRecorded { loads, .. }) =
        core.control.call_leader(&call, deadline).await
    else {
        return;
    };
    core.dispatch.loads(core, &loads);
}
