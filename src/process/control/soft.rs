//! State of a replica that is not in the log: the target directory, the traffic and the
//! origins of streams.
//! Replicas exchange it by gossip, and gateways fetch it by sync calls.

use std::{collections, mem, sync, time};

use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::sync as tsync;

use crate::{
    connection::peer,
    process::clock,
    version::{
        difference::{Applied, Outgoing, ReceivedSums},
        directory, forwarding, origin, raft, traffic,
        view::Presence,
    },
};

/// How long streams that have begun are collected before the other replicas are told. Few
/// streams get their first event sooner.
const STREAM_BATCH_TIME: time::Duration = time::Duration::from_millis(15);

/// How long announcements are collected before the other replicas are told.
const ANNOUNCEMENT_BATCH_TIME: time::Duration = time::Duration::from_millis(25);

/// Most targets in one message to another replica. A directory with more is large.
pub(super) const MAX_BATCH: usize = 256;

/// How long the sums of another replica are kept after its last message.
const SUMS_TTL: time::Duration = time::Duration::from_secs(10);

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
    /// Notified when there are announcements that the other replicas need.
    targets_announced: tsync::Notify,
}

#[derive(Debug)]
struct Inner {
    directory: directory::Directory,
    traffic: traffic::Traffic,
    outgoing: Outgoing,
    incoming: collections::BTreeMap<raft::NodeId, Incoming>,
    forwarding: forwarding::Forwarding,
    origins: origin::Origins,
    /// Streams to tell the other replicas of.
    unsent_streams: Vec<origin::BegunStream>,
    /// Announcements to send on to the other replicas.
    unsent_announcements: Vec<directory::AnnouncedTarget>,
}

/// Traffic that another replica sends as differences.
#[derive(Debug, Default)]
struct Incoming {
    sums: ReceivedSums,
    /// Whether differences are missing, and a whole copy is needed.
    lacks_copy: bool,
    heard_at: time::Duration,
}

impl Inner {
    fn new(epoch: u64) -> Self {
        Self {
            directory: directory::Directory::default(),
            traffic: traffic::Traffic::default(),
            outgoing: Outgoing::new(epoch),
            incoming: collections::BTreeMap::new(),
            forwarding: forwarding::Forwarding::default(),
            origins: origin::Origins::default(),
            unsent_streams: Vec::new(),
            unsent_announcements: Vec::new(),
        }
    }

    fn apply_difference(
        &mut self,
        from: raft::NodeId,
        gossip: peer::TrafficDifference,
        now: time::Duration,
    ) {
        let peer::TrafficDifference { difference, brittle_services, relays, lacks_copy, paces } =
            gossip;
        if lacks_copy {
            self.outgoing.forget_replica(from);
        }
        let incoming = self.incoming.entry(from).or_default();
        incoming.heard_at = now;
        match incoming.sums.apply(difference) {
            Applied::Current => {
                incoming.lacks_copy = false;
                let sums = incoming.sums.report();
                let report = traffic::Report { brittle_services, relays, paces, ..sums };
                self.traffic.record(traffic::Source::Replica(from), report, now);
            }
            Applied::Outdated => {}
            Applied::Missing => incoming.lacks_copy = true,
        }
    }

    /// Returns the traffic of the gateways that report here, for another replica.
    fn difference_to(&mut self, to: raft::NodeId, now: time::Duration) -> peer::Gossip {
        let difference = self.outgoing.to_replica(&mut self.traffic, to, now);
        let services = self.traffic.local_services();
        peer::Gossip::TrafficDifference(Box::new(peer::TrafficDifference {
            difference,
            brittle_services: services.brittle_services,
            relays: services.relays,
            lacks_copy: self.incoming.get(&to).is_some_and(|incoming| incoming.lacks_copy),
            paces: services.paces,
        }))
    }
}

impl SoftState {
    /// Creates the state of a replica that has started, with the departures on its disk.
    pub(super) fn new<'a>(
        domain: &str,
        clock: sync::Arc<clock::Clock>,
        departures: impl Iterator<Item = &'a directory::Departure>,
    ) -> Self {
        let epoch = rand::rng().random();
        let mut inner = Inner::new(epoch);
        inner.directory.restore(departures.cloned(), clock.now());
        Self {
            domain: domain.to_owned(),
            epoch,
            clock,
            inner: Mutex::new(inner),
            streams_begun: tsync::Notify::new(),
            targets_announced: tsync::Notify::new(),
        }
    }

    /// Applies gossip of another replica, or of this one if `from` is its own id.
    pub(super) fn apply_gossip(&self, from: raft::NodeId, gossip: peer::Gossip) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match gossip {
            peer::Gossip::TargetAnnounced(announced) => {
                apply_announcement(&mut inner.directory, announced, from, now);
            }
            peer::Gossip::TargetsAnnounced(targets) => {
                for announced in targets {
                    apply_announcement(&mut inner.directory, announced.into(), from, now);
                }
            }
            peer::Gossip::Leaving { id, incarnation } => {
                log_leaving(&mut inner.directory, &id, from, |directory| {
                    directory.mark_leaving(&id, incarnation, now);
                });
            }
            peer::Gossip::HoldingsUpdated(update) => inner.directory.apply_update(&update, now),
            peer::Gossip::Traffic(report) => {
                inner.incoming.remove(&from);
                inner.traffic.record(traffic::Source::Replica(from), report, now);
            }
            peer::Gossip::TrafficDifference(gossip) => inner.apply_difference(from, *gossip, now),
            peer::Gossip::StreamsBegun(streams) => inner.origins.record(streams, now),
        }
    }

    /// Applies an announcement to this replica `own_id`, and returns it if the others are to be
    /// told at once. Others that they need are told of with the next batch.
    pub(super) fn announce(
        &self,
        own_id: raft::NodeId,
        announced: directory::AnnouncedTarget,
    ) -> Option<directory::AnnouncedTarget> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let directory = &mut inner.directory;
        let is_newest = apply_announcement(directory, announced.clone(), own_id, now);
        let is_disputed =
            directory.is_disputed(&announced.id, announced.incarnation, announced.seq);
        if !is_newest && !is_disputed {
            return None;
        }
        if announced.presence == Presence::Leaving {
            return Some(announced);
        }
        if inner.forwarding.is_due(&announced, now) || is_disputed {
            inner.unsent_announcements.push(announced);
            drop(inner);
            self.targets_announced.notify_one();
        }
        None
    }

    /// Waits for announcements that the other replicas need, and for a short time for more,
    /// and returns them.
    pub(super) async fn next_unsent_announcements(&self) -> Vec<directory::AnnouncedTarget> {
        self.targets_announced.notified().await;
        tokio::time::sleep(ANNOUNCEMENT_BATCH_TIME).await;
        mem::take(&mut self.inner.lock().unsent_announcements)
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

    /// Returns whether enough replicas have stored the departure.
    pub(super) fn is_confirmed(&self, departure: &directory::Departure) -> bool {
        self.inner.lock().directory.is_confirmed(departure)
    }

    /// Records that enough replicas have stored the departure.
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
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
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
        let loads = request.known_loads.map(|known| {
            inner.outgoing.to_gateway(&mut inner.traffic, request.gateway_id, known, now)
        });
        let mut others = match loads {
            Some(_) => inner.traffic.services_excluding(request.gateway_id),
            None => inner.traffic.excluding(request.gateway_id, now),
        };
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
            loads,
        }
    }

    /// Returns the traffic of the gateways that report here, to be sent to each of these
    /// replicas. Those that do not read differences get the whole sums.
    pub(super) fn traffic_to(
        &self,
        replicas: &[(raft::NodeId, bool)],
    ) -> Vec<(raft::NodeId, peer::Gossip)> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.traffic.advance(now);
        inner.outgoing.remove_silent(now);
        inner.forwarding.remove_silent(now);
        inner.incoming.retain(|_, incoming| now < incoming.heard_at + SUMS_TTL);
        let messages = replicas.iter().map(|(to, reads_differences)| {
            let gossip = if *reads_differences {
                inner.difference_to(*to, now)
            } else {
                peer::Gossip::Traffic(inner.traffic.local(now))
            };
            (*to, gossip)
        });
        messages.collect()
    }

    /// Handles time-outs of targets, and returns the departures to repeat to the other replicas:
    /// those of targets that are leaving or left lately, in case a replica missed one
    /// or has restarted.
    ///
    /// A replica that knows no leader may be cut off from the network. Missing
    /// announcements then say nothing about the targets, so their time-outs are
    /// restarted.
    pub(super) fn tick(&self, has_leader: bool) -> Vec<directory::Departure> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if has_leader {
            inner.directory.tick(now);
        } else {
            inner.directory.restart_timeouts(now);
        }
        let directory = &inner.directory;
        let departures = directory.leaving(now).chain(directory.departed_lately(now));
        departures.cloned().collect()
    }

    /// Returns all departures that this replica knows.
    pub(super) fn departures(&self) -> collections::HashSet<directory::Departure> {
        self.inner.lock().directory.departures().cloned().collect()
    }

    /// Returns the number of departures that this replica knows.
    pub(super) fn departure_count(&self) -> usize {
        self.inner.lock().directory.departures().len()
    }

    /// Returns whether a sync call is answered with the whole of a large directory.
    pub(super) fn needs_whole(&self, request: &peer::SyncRequest) -> bool {
        let knows_none = request.epoch != self.epoch || request.revision == 0;
        knows_none && self.inner.lock().directory.count() > MAX_BATCH
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
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        inner.traffic.advance(now);
        read(&inner.directory, &inner.traffic, now)
    }
}

/// Applies an announcement that the replica `from` received. Returns false if it is outdated.
fn apply_announcement(
    directory: &mut directory::Directory,
    announced: directory::AnnouncedTarget,
    from: raft::NodeId,
    now: time::Duration,
) -> bool {
    let id = announced.id.clone();
    log_leaving(directory, &id, from, |directory| directory.announce(announced, now))
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
