//! State of a replica that is not in the log: the target directory, the traffic and the
//! origins of streams.
//! Replicas exchange it by gossip, and gateways fetch it by sync calls.

use std::{iter, mem, sync, time};

use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::sync as tsync;

use crate::{
    connection::peer,
    process::clock,
    version::{directory, origin, raft, traffic, view::Presence},
};

/// How long streams that have begun are collected before the other replicas are told. Few
/// streams get their first event sooner.
const STREAM_BATCH_TIME: time::Duration = time::Duration::from_millis(15);

/// Target directory, traffic and origins of streams of this replica.
#[derive(Debug)]
pub(super) struct SoftState {
    /// Failure domain of this replica.
    domain: String,
    /// Random id of this run of the process. Revisions of the directory count only
    /// within one run.
    epoch: u64,
    clock: sync::Arc<clock::Clock>,
    inner: Mutex<Inner>,
    /// Notified when there are streams that the other replicas do not know.
    streams_begun: tsync::Notify,
}

#[derive(Debug, Default)]
struct Inner {
    directory: directory::Directory,
    traffic: traffic::Traffic,
    origins: origin::Origins,
    /// Streams to tell the other replicas of.
    unsent_streams: Vec<origin::BegunStream>,
}

impl SoftState {
    pub(super) fn new(domain: &str, clock: sync::Arc<clock::Clock>) -> Self {
        Self {
            domain: domain.to_owned(),
            epoch: rand::rng().random(),
            clock,
            inner: Mutex::default(),
            streams_begun: tsync::Notify::new(),
        }
    }

    /// Applies gossip of another replica, or of this one if `from` is its own id.
    /// Returns false if the gossip is an outdated announcement that no replica needs.
    pub(super) fn apply_gossip(&self, from: raft::NodeId, gossip: peer::Gossip) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match gossip {
            peer::Gossip::TargetAnnounced(announced) => {
                let directory::AnnouncedTarget { id, incarnation, seq, .. } = &announced;
                let (id, incarnation, seq) = (id.clone(), *incarnation, *seq);
                log_leaving(&mut inner.directory, &id, from, |d| {
                    d.announce(announced, now) || d.is_disputed(&id, incarnation, seq)
                })
            }
            peer::Gossip::Leaving { id, incarnation } => {
                log_leaving(&mut inner.directory, &id, from, |directory| {
                    directory.mark_leaving(&id, incarnation, now);
                    true
                })
            }
            peer::Gossip::HoldingsUpdated(update) => {
                inner.directory.apply_update(&update, now);
                true
            }
            peer::Gossip::Traffic(report) => {
                inner.traffic.record(traffic::Source::Replica(from), report, now);
                true
            }
            peer::Gossip::StreamsBegun(streams) => {
                inner.origins.record(streams, now);
                true
            }
        }
    }

    /// Marks a target as leaving, as it told this replica `own_id`, and returns the departure;
    /// `None` if it names no incarnation and is not known here.
    pub(super) fn mark_leaving(
        &self,
        own_id: raft::NodeId,
        id: &str,
        incarnation: Option<u64>,
    ) -> Option<directory::Departure> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        log_leaving(&mut inner.directory, id, own_id, |d| d.mark_leaving(id, incarnation, now))
    }

    /// Returns whether enough other replicas know the departure.
    pub(super) fn is_confirmed(&self, departure: &directory::Departure) -> bool {
        self.inner.lock().directory.is_confirmed(departure)
    }

    /// Records that enough other replicas know the departure.
    pub(super) fn record_confirmed(&self, departure: &directory::Departure) {
        self.inner.lock().directory.record_confirmed(departure);
    }

    /// Records streams that a gateway has sent to targets, to be told to the other replicas.
    pub(super) fn record_streams(&self, streams: Vec<origin::BegunStream>) {
        let mut inner = self.inner.lock();
        inner.unsent_streams.extend(streams.iter().cloned());
        inner.origins.record(streams, self.clock.now());
        drop(inner);
        self.streams_begun.notify_one();
    }

    /// Returns where a stream began, if this replica knows it.
    pub(super) fn find_stream(&self, id: origin::StreamId) -> Option<origin::Origin> {
        self.inner.lock().origins.get(id, self.clock.now()).cloned()
    }

    /// Waits for streams that the other replicas do not know, and for a short time for
    /// more, and returns them.
    pub(super) async fn next_unsent_streams(&self) -> Vec<origin::BegunStream> {
        self.streams_begun.notified().await;
        tokio::time::sleep(STREAM_BATCH_TIME).await;
        mem::take(&mut self.inner.lock().unsent_streams)
    }

    /// Records the traffic report of a gateway and returns the reply to its sync
    /// call. `update` holds the changes of the view.
    pub(super) fn handle_sync(
        &self,
        mut request: peer::SyncRequest,
        update: Option<peer::Update>,
        replicas: Vec<raft::NodeId>,
    ) -> peer::SyncReply {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        // The other replicas learn of it as of other targets that are leaving.
        for traffic::LeavingTarget { id, incarnation } in mem::take(&mut request.report.leaving) {
            inner.directory.mark_leaving(&id, Some(incarnation), now);
        }
        request.report.gateways = vec![request.gateway_id];
        // A gateway knows the directory of a replica from its first synchronization on.
        if request.epoch == 0 {
            inner.traffic.record_restart(request.gateway_id, request.report, now);
        } else {
            let source = traffic::Source::Gateway(request.gateway_id);
            inner.traffic.record(source, request.report, now);
        }
        let mut others = inner.traffic.excluding(request.gateway_id, now);
        // A gateway needs only the numbers of gateways, which are returned below.
        others.gateways.clear();
        let known = if request.epoch == self.epoch { request.revision } else { 0 };
        let departed = inner.directory.departed_since(known);
        others.leaving = departed.map(traffic::LeavingTarget::from).collect();
        peer::SyncReply {
            update,
            domain: self.domain.clone(),
            epoch: self.epoch,
            revision: inner.directory.revision(),
            changed_targets: inner.directory.updates_since(known, now).collect(),
            report: others,
            reporting_gateways: inner.traffic.gateway_registry().reporting(now),
            known_gateways: inner.traffic.gateway_registry().known(),
            replicas,
            supplement: None,
        }
    }

    /// Handles time-outs of targets, and returns what to send to the other replicas: the
    /// traffic, and the targets that are leaving or left lately, in case a replica missed that
    /// or has restarted.
    ///
    /// A replica that knows no leader may be cut off from the network. Missing
    /// announcements then say nothing about the targets, so their time-outs are
    /// restarted.
    pub(super) fn tick(&self, has_leader: bool) -> Vec<peer::Gossip> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if has_leader {
            inner.directory.tick(now);
        } else {
            inner.directory.restart_timeouts(now);
        }
        let directory = &inner.directory;
        let departures = directory.leaving(now).chain(directory.departed_lately(now));
        let leaving = departures.map(|departure| peer::Gossip::Leaving {
            id: departure.id.clone(),
            incarnation: Some(departure.incarnation),
        });
        let traffic = peer::Gossip::Traffic(inner.traffic.local(now));
        iter::once(traffic).chain(leaving).collect()
    }

    /// Returns the monotonic time of this process.
    pub(super) fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Calls `read` with the directory, the traffic and the time, under the lock.
    pub(super) fn read<T>(
        &self,
        read: impl FnOnce(&directory::Directory, &traffic::Traffic, time::Duration) -> T,
    ) -> T {
        let inner = self.inner.lock();
        read(&inner.directory, &inner.traffic, self.clock.now())
    }
}

/// Changes the directory, and logs if the target `id` is leaving from then on. `from` is
/// the replica that the target told.
fn log_leaving<T>(
    directory: &mut directory::Directory,
    id: &str,
    from: raft::NodeId,
    change: impl FnOnce(&mut directory::Directory) -> T,
) -> T {
    let is_leaving = |d: &directory::Directory| {
        d.get(id).is_some_and(|target| target.presence == Presence::Leaving)
    };
    let was_leaving = is_leaving(directory);
    let result = change(directory);
    if !was_leaving && is_leaving(directory) {
        spdlog::info!("target is leaving", kv: {
            target = id,
            born = directory.get(id).map_or(0, |t| t.incarnation),
            told = from
        });
    }
    result
}
