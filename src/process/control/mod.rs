//! The control daemon: a replica of the log with its connections, and the periodic
//! work of the leader.
//!
//! Gateways and other replicas connect to one TCP port. The connections of replicas are
//! served on a thread of their own. [`Handle`] serves interfaces outside this crate.

mod connected;
mod departure;
mod evacuate;
mod handle;
mod isolated;
mod leader;
mod mesh;
mod places;
mod placing;
mod server;
mod soft;
mod weight;
mod work;

use std::{collections, net, path, sync, time};

use snafu::{ResultExt as _, Snafu};
use tokio::{net as tnet, runtime};

use crate::{
    connection::{address, control, dialect, order, peer},
    version::{directory, key, lead, raft},
};

pub use self::{
    evacuate::EvacuationError,
    handle::{ConfigureError, Handle, Unavailable},
};
use super::{
    clock, disk, lag, metrics,
    replica::{self, Replica},
    timeline,
};

/// Default election timeout, for replicas connected by a local network.
const ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Begins the names of the processes of control replicas; followed by their ids.
const PROCESS_PREFIX: &str = "control-";

/// Time between two broadcasts of the soft state to the other replicas.
const BROADCAST_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time limit for telling the other replicas of a planned stop, and for the transfer of
/// leadership.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Shortest time without a batch of the replica's thread that is logged.
const MIN_THREAD_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Time for the last messages to be sent before a planned stop ends the process.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(300);

/// Why the daemon could not start or stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Binding the listening address failed.
    #[snafu(display("listening on {address} failed: {source}"))]
    Listen {
        /// Address from the settings.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The thread that serves the other replicas could not be started.
    #[snafu(display("starting the runtime for replicas failed: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The replica could not start.
    #[snafu(display("{source}"))]
    Replica {
        /// Error of the replica.
        source: replica::Error,
    },
    /// The file of departures in the data folder can't be read.
    #[snafu(display("{source}"))]
    Departures {
        /// Error of the disk.
        source: disk::Error,
    },
    /// The thread that writes the file of departures could not be started.
    #[snafu(display("starting the thread for departures failed: {source}"))]
    DepartureThread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics library.
        source: metrics::Error,
    },
    /// The replica's thread or a background task ended before the daemon was
    /// stopped.
    #[snafu(display("the replica's thread or a background task ended unexpectedly"))]
    TaskEnded,
}

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Id of this replica.
    pub id: raft::NodeId,
    /// Failure domain of this instance.
    pub domain: String,
    /// Address for gateways and other replicas.
    pub listen: net::SocketAddr,
    /// Replicas to bootstrap a group with, or to send join requests to, with their
    /// addresses. The address of any other replica is derived from its id.
    pub peers: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// Whether this replica may bootstrap a new group.
    pub may_bootstrap: bool,
    /// Maximum number of voters.
    pub max_voters: usize,
    /// Number of voters whose data folders may be lost at the same time. A catalog is
    /// acknowledged only by a group that survives this.
    pub tolerated_losses: usize,
    /// Failure domains that operators may evacuate, besides those of known targets.
    pub domains: Vec<String>,
    /// Settings that apply while this replica leads.
    pub leader_policy: lead::Policy,
    /// Path of the data folder, which is created if it does not exist.
    pub data_folder: path::PathBuf,
    /// Secret shared by all processes of the cluster.
    pub secret: String,
    /// Key granted with the system scope if no key with that scope exists.
    pub first_key: Option<key::Presented>,
    /// Address at which metrics are served; `None` serves none.
    pub metrics: Option<net::SocketAddr>,
    /// Minimum time without contact to a leader before an election starts.
    pub election_timeout: time::Duration,
}

impl Options {
    /// Returns the options of a replica that bootstraps a group by itself, with
    /// default values in the other fields.
    #[must_use]
    pub fn new(
        id: raft::NodeId,
        listen: net::SocketAddr,
        data_folder: &path::Path,
        secret: &str,
    ) -> Self {
        Self {
            id,
            domain: "a".to_owned(),
            listen,
            peers: collections::BTreeMap::from([(id, listen)]),
            may_bootstrap: true,
            max_voters: usize::MAX,
            tolerated_losses: 0,
            domains: Vec::new(),
            leader_policy: lead::Policy::default(),
            data_folder: data_folder.to_owned(),
            secret: secret.to_owned(),
            first_key: None,
            metrics: None,
            election_timeout: ELECTION_TIMEOUT,
        }
    }
}

/// A running control daemon.
#[derive(Debug)]
pub struct Control {
    handle: Handle,
    timeline: sync::Arc<timeline::Timeline>,
    address: net::SocketAddr,
    replica_ended: replica::Ended,
    tasks: tokio::task::JoinSet<()>,
    isolated: isolated::IsolatedRuntime,
}

impl Error {
    /// Returns true for an I/O error of the disk. It may be temporary, so starting
    /// again may succeed.
    #[must_use]
    pub fn is_disk(&self) -> bool {
        let (Self::Replica { source: replica::Error::Disk { source } }
        | Self::Departures { source }) = self
        else {
            return false;
        };
        matches!(source, disk::Error::Io { .. })
    }
}

impl Control {
    /// Starts the daemon without a placer.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound, the replica can't start or the
    /// metrics can't be set up.
    pub async fn start(options: Options) -> Result<Self, Error> {
        Self::start_with_engines(options, None).await
    }

    /// Starts the daemon. With `engine_dialect` it runs a placer while it leads, and
    /// `engine_dialect` encodes the placer's queries and orders to announced targets.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound, the replica can't start or the
    /// metrics can't be set up.
    pub async fn start_with_engines(
        options: Options,
        engine_dialect: Option<sync::Arc<dyn dialect::EngineDialect>>,
    ) -> Result<Self, Error> {
        let address = options.listen;
        let isolated = isolated::IsolatedRuntime::start("replicas").context(RuntimeSnafu)?;
        let listener = listen(address, isolated.handle()).await?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let clock = sync::Arc::new(clock::Clock::new());
        let process = format!("{PROCESS_PREFIX}{}", options.id);
        let timeline = sync::Arc::new(timeline::Timeline::new(&process, clock.clone()));
        let identity = peer::Identity::new(&options.secret, &process, clock.clone());
        let mut tasks = tokio::task::JoinSet::new();
        let addresses = address::AddressBook::new(options.peers.clone());
        let mesh = mesh::Mesh::new(addresses, identity.clone(), isolated.handle().clone());
        let control_client = control::Client::new(identity.clone(), options.peers.clone());
        let raft_sender = mesh.clone();
        let config = raft::Config {
            id: options.id,
            // Replaced by `Replica::start` with the id in the data folder.
            store_id: 0,
            peers: options.peers.keys().copied().collect(),
            may_bootstrap: options.may_bootstrap,
            max_voters: options.max_voters,
            election_timeout: options.election_timeout,
            heartbeat_interval: options.election_timeout / 10,
            seed: rand::random(),
        };
        let (replica, replica_ended) = Replica::start(replica::Options {
            raft: config,
            data_folder: options.data_folder.clone(),
            leader_policy: options.leader_policy,
            outbox: Box::new(move |to, message| raft_sender.send(to, peer::Body::Raft(message))),
            clock: clock.clone(),
            timeline: timeline.clone(),
        })
        .context(ReplicaSnafu)?;
        let version = env!("CARGO_PKG_VERSION").to_owned();
        timeline.record(timeline::Kind::Started { version });
        let instruments = sync::Arc::new(metrics::Replica::new().context(MetricsSnafu)?);
        let file = disk::DepartureFile::open(&options.data_folder).context(DeparturesSnafu)?;
        let soft_state = soft::SoftState::new(&options.domain, clock, file.departures());
        let departures = departure::DepartureStore::start(file, instruments.clone())
            .context(DepartureThreadSnafu)?;
        let handle = Handle {
            id: options.id,
            replica: replica.clone(),
            soft_state: sync::Arc::new(soft_state),
            departures,
            mesh,
            control_client: sync::Arc::new(control_client),
            tolerated_losses: options.tolerated_losses,
            domains: options.domains.into(),
            domain: options.domain.into(),
            started: time::Instant::now(),
            connections: sync::Arc::default(),
            work_log: sync::Arc::new(work::WorkLog::new(instruments.clone())),
            metrics: instruments,
        };
        if let Some(address) = options.metrics {
            let metrics = handle.metrics.clone();
            tasks.spawn(metrics::serve::run(address, move || metrics.encode()));
        }
        let (metrics, work_log) = (handle.metrics.clone(), handle.work_log.clone());
        tasks.spawn(lag::watch("gateways", move |seconds| metrics.record_loop_lag(seconds)));
        let metrics = handle.metrics.clone();
        let isolated_lag =
            lag::watch("replicas", move |seconds| metrics.record_isolated_lag(seconds));
        tasks.spawn_on(isolated_lag, isolated.handle());
        tasks.spawn(async move { work_log.run().await });
        tasks.spawn(watch_thread(replica.clone()));
        let placer = engine_dialect
            .map(|engine_dialect| placing::PlacerLoop::new(handle.clone(), engine_dialect));
        if let Some(placer) = &placer {
            tasks.spawn(placer.clone().run());
        }
        let place_loop = places::PlaceLoop::new(handle.clone());
        tasks.spawn(place_loop.clone().run());
        let server = server::Server {
            handle: handle.clone(),
            identity,
            process,
            timeline: timeline.clone(),
            placer,
            place_loop,
            gateway_runtime: runtime::Handle::current(),
            whole_replies: server::WholeReplies::new(),
        };
        tasks.spawn_on(server::accept(listener, server), isolated.handle());
        tasks.spawn_on(broadcast_soft_state(handle.clone()), isolated.handle());
        tasks.spawn_on(broadcast_streams(handle.clone()), isolated.handle());
        tasks.spawn_on(forward_announcements(handle.clone()), isolated.handle());
        let leader = leader::LeaderLoop {
            replica: replica.clone(),
            timeline: timeline.clone(),
            order_client: order::Client::new(),
            first_key: options.first_key,
        };
        tasks.spawn(leader.run());
        Ok(Self { handle, timeline, address, replica_ended, tasks, isolated })
    }

    /// Runs a task until this is dropped, on the thread that serves the other replicas. The
    /// calls of gateways do not delay it; it must not block that thread.
    pub fn spawn_isolated<F>(&self, task: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.isolated.handle().spawn(task)
    }

    /// Returns the bound address, with the actual port if the settings name port 0.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns a handle for interfaces to operators and targets.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until `stop` is ready, then transfers leadership, if this replica leads,
    /// and shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica's thread or a background task ends before
    /// `stop` is ready.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        tokio::select! {
            () = stop => {}
            _ = &mut self.replica_ended => return Err(Error::TaskEnded),
            Some(_) = self.tasks.join_next() => return Err(Error::TaskEnded),
        }
        self.timeline.record(timeline::Kind::Stopping);
        // This does not complete while a disk write hangs. The other replicas then elect a
        // leader after the election timeout.
        let _ = tokio::time::timeout(STOP_TIMEOUT, self.handle.replica.prepare_stop()).await;
        tokio::time::sleep(FLUSH_TIME).await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Sends the traffic of the gateways that report to this replica, and the targets that
/// are leaving, to the other replicas, at regular intervals. Departures that were learned from
/// other replicas or from gateways are stored here, too.
async fn broadcast_soft_state(handle: Handle) {
    let mut interval = tokio::time::interval(BROADCAST_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let departures = handle.soft_state.tick(handle.replica.leader().is_some());
        handle.departures.store_later(&departures);
        for directory::Departure { id, incarnation } in departures {
            handle.broadcast(&peer::Gossip::Leaving { id, incarnation: Some(incarnation) });
        }
        handle.departures.forget_old(&handle.soft_state);
        handle.send_traffic();
    }
}

/// Binds the listener for gateways and replicas on the given runtime.
async fn listen(
    address: net::SocketAddr,
    runtime: &runtime::Handle,
) -> Result<tnet::TcpListener, Error> {
    let bound = runtime.spawn(tnet::TcpListener::bind(address)).await;
    bound.map_err(std::io::Error::other).flatten().context(ListenSnafu { address })
}

/// Logs when the replica's thread completes no batch for long, and when it does again.
async fn watch_thread(replica: Replica) {
    let mut silent = false;
    loop {
        tokio::time::sleep(MIN_THREAD_SILENCE / 2).await;
        let silence = replica.thread_silence();
        let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        if !silent && silence >= MIN_THREAD_SILENCE {
            spdlog::warn!("replica thread completes no batches", kv: { for_ms = silence_ms });
        } else if silent && silence < MIN_THREAD_SILENCE {
            spdlog::info!("replica thread completes batches again");
        }
        silent = silence >= MIN_THREAD_SILENCE;
    }
}

/// Sends announcements that the other replicas need on to them.
async fn forward_announcements(handle: Handle) {
    loop {
        let announcements = handle.soft_state.next_unsent_announcements().await;
        handle.forward(&announcements);
    }
}

/// Tells the other replicas of the streams that gateways report to this one.
async fn broadcast_streams(handle: Handle) {
    loop {
        let streams = handle.soft_state.next_unsent_streams().await;
        handle.broadcast(&peer::Gossip::StreamsBegun(streams));
    }
}
