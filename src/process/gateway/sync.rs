//! Synchronization with the control replicas: reports this gateway's traffic, and
//! receives changes of the view and of the targets.

use std::{sync, time};

use rand::RngExt as _;

use crate::{
    connection::peer::{self, SyncReply},
    request::gateway::fleet,
    version::{
        difference::{Applied, Loads, ReceivedSums},
        raft, traffic,
        upstream::{DirectoryPosition, Upstreams},
    },
};

use super::{
    core::{Core, Synced},
    job::millis,
};

/// Time between two synchronizations.
const SYNC_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// How long a replica may take to answer.
const SYNC_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Shortest time between two synchronizations.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Delay after a failure before another replica is asked.
const FAILOVER_DELAY: time::Duration = time::Duration::from_millis(50);

/// Time between two log lines while synchronizations fail.
const OUTAGE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Result of a synchronization.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncOutcome {
    /// The replica has all changes of the view and is in this failure domain.
    SameDomain,
    /// The replica has all changes of the view and is in another failure domain.
    OtherDomain,
    /// The replica did not answer in time.
    NoReply,
    /// The replica can't prove that it has all changes of the view.
    NotCurrent,
}

impl SyncOutcome {
    /// Returns the value used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::SameDomain => "same_domain",
            Self::OtherDomain => "other_domain",
            Self::NoReply => "no_reply",
            Self::NotCurrent => "not_current",
        }
    }

    fn succeeded(self) -> bool {
        matches!(self, Self::SameDomain | Self::OtherDomain)
    }
}

/// Log of the times in which no synchronization succeeds.
#[derive(Debug, Default)]
struct OutageLog {
    since: Option<time::Duration>,
    logged_at: time::Duration,
    /// Failures since then that got no reply in time.
    no_reply: u64,
    /// Failures since then at replicas that were not up to date.
    not_current: u64,
}

impl OutageLog {
    /// Records how a synchronization with `node` ended that began at `sent_at`. `known` tells
    /// whether this gateway knows a catalog.
    fn record(
        &mut self,
        node: raft::NodeId,
        outcome: SyncOutcome,
        known: bool,
        sent_at: time::Duration,
        now: time::Duration,
    ) {
        if outcome.succeeded() {
            if let Some(since) = self.since {
                spdlog::info!("synchronizing with control again", kv: {
                    replica = node,
                    lasted_ms = millis(now.saturating_sub(since))
                });
            }
            *self = Self::default();
            return;
        }
        match outcome {
            SyncOutcome::NoReply => self.no_reply += 1,
            _ => self.not_current += 1,
        }
        let since = *self.since.get_or_insert(sent_at);
        let first = self.no_reply + self.not_current == 1;
        if first || now >= self.logged_at + OUTAGE_LOG_INTERVAL {
            self.logged_at = now;
            spdlog::warn!("synchronizing with control failed", kv: {
                replica = node,
                outcome = outcome.name(),
                took_ms = millis(now.saturating_sub(sent_at)),
                for_ms = millis(now.saturating_sub(since)),
                no_reply = self.no_reply,
                not_current = self.not_current,
                catalog = known
            });
        }
    }
}

/// Synchronizes at regular intervals with the replica that [`Upstreams`] chooses.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut upstreams = Upstreams::new(rand::rng().random_range(0..1_000));
    let mut outage_log = OutageLog::default();
    let mut sums = ReceivedSums::default();
    loop {
        let sent_at = core.clock.now();
        let Some(node) = upstreams.next(&candidates(&core), sent_at) else {
            core.latest_attempt.send_modify(|attempt| attempt.record_end(sent_at));
            tokio::time::sleep(SYNC_INTERVAL).await;
            continue;
        };
        let outcome = sync_once(&core, node, &mut upstreams, &mut sums).await;
        core.latest_attempt.send_modify(|attempt| attempt.record_end(sent_at));
        let now = core.clock.now();
        let took = now.saturating_sub(sent_at);
        core.metrics.record_sync(outcome.name(), took.as_secs_f64());
        outage_log.record(node, outcome, core.config().table.is_some(), sent_at, now);
        let pause = match outcome {
            SyncOutcome::SameDomain | SyncOutcome::OtherDomain => {
                upstreams.record_success(node, outcome == SyncOutcome::SameDomain, now);
                SYNC_INTERVAL
            }
            SyncOutcome::NoReply | SyncOutcome::NotCurrent => {
                if upstreams.record_failure(node, now) { FAILOVER_DELAY } else { SYNC_INTERVAL }
            }
        };
        pause_for(&core, pause).await;
    }
}

/// Waits until the next synchronization is due after the regular pause, or needed before.
async fn pause_for(core: &Core, pause: time::Duration) {
    tokio::time::sleep(MIN_PAUSE).await;
    // After a timeout, too, it is due.
    let _ = tokio::time::timeout(pause.saturating_sub(MIN_PAUSE), core.sync_due.notified()).await;
}

/// Returns the replicas to ask: the current members of the control group, and those
/// named in the settings, in case all known members were replaced while this gateway
/// could reach none.
fn candidates(core: &Core) -> Vec<raft::NodeId> {
    let mut replicas = core.control.replicas();
    replicas.extend(core.seeds.load().iter());
    replicas.sort_unstable();
    replicas.dedup();
    replicas
}

/// Returns a received report with the loads and rates that were received beside it, or before.
/// The speeds of targets are in the report itself.
fn with_loads(
    report: traffic::Report,
    loads: Option<Loads>,
    sums: &mut ReceivedSums,
) -> traffic::Report {
    match loads {
        // A build that sends whole sums.
        None => return report,
        Some(Loads::Withheld) => {}
        Some(Loads::Difference(difference)) => {
            let (epoch, base) = (difference.epoch, difference.base);
            if sums.apply(*difference) == Applied::Missing {
                spdlog::debug!("loads belong to another copy; a whole one is due", kv: {
                    epoch = epoch,
                    base = base
                });
            }
        }
    }
    let traffic::Report { brittle_services, leaving, relays, paces, .. } = report;
    traffic::Report { brittle_services, leaving, relays, paces, ..sums.report() }
}

/// Synchronizes once with the replica `node`.
async fn sync_once(
    core: &sync::Arc<Core>,
    node: raft::NodeId,
    upstreams: &mut Upstreams,
    sums: &mut ReceivedSums,
) -> SyncOutcome {
    let position = upstreams.position(node);
    let config = core.config();
    let sent_at = core.clock.now();
    let mut report = core.fleet.lock().local_traffic(sent_at);
    let requested_rates = core.limits.requested_rates().into_iter();
    report.token_rates =
        requested_rates.map(|(workspace, rate)| traffic::TokenRate { workspace, rate }).collect();
    report.relays = core.relay_address().into_iter().collect();
    let call = peer::Call::Sync(peer::SyncRequest {
        gateway_id: core.gateway_id,
        index: config.cached_view.index(),
        epoch: position.epoch,
        revision: position.revision,
        report,
        supplemented_at: config.cached_view.supplemented_at(),
        known_loads: Some(sums.position()),
    });
    let Ok(peer::Reply::Sync(synced)) = core.control.call(node, call, SYNC_TIMEOUT).await else {
        return SyncOutcome::NoReply;
    };
    let SyncReply {
        update,
        domain,
        epoch,
        revision,
        changed_targets,
        report,
        reporting_gateways,
        known_gateways,
        replicas,
        supplement,
        loads,
    } = *synced;
    let report = with_loads(report, loads, sums);
    upstreams.record_position(node, DirectoryPosition { epoch, revision });
    if core.begun_streams.lock().set_replica_run(epoch) {
        core.streams_begun.notify_one();
    }
    core.control.set_replicas(&replicas);
    if update.is_some() {
        *core.current_at.lock() = Some(sent_at);
    }
    core.update_fleet(
        changed_targets,
        &report,
        fleet::GatewayCounts { reporting: reporting_gateways, known: known_gateways },
        update.is_some(),
    );
    core.measure_cold();
    core.latest_sync.send_replace(Some(Synced { replica: node, at: sent_at }));
    core.relays.lock().clone_from(&report.relays);
    core.update_fallback_limits();
    let Some(update) = update else {
        return SyncOutcome::NotCurrent;
    };
    let mut cached_view = config.cached_view.clone();
    update.apply_to(&mut cached_view, sent_at);
    if let Some(supplement) = supplement {
        cached_view.supplement(supplement);
    }
    core.update_config(cached_view);
    if domain == core.options.domain { SyncOutcome::SameDomain } else { SyncOutcome::OtherDomain }
}
