//! The control daemon: a replica, its connections, and what the leader does by itself.

mod handle;
mod leader;
mod mesh;
mod placing;
mod soft;

use std::{collections, net, path, sync, time};

use snafu::{ResultExt as _, Snafu};
use tokio::{net as tnet, sync as tsync};

use crate::{
    connection::{address, control, dialect, order, peer, socket},
    request::limit,
    version::{announce, key, lead, placer, raft},
};

pub use self::handle::{ConfigureError, Handle, Unavailable};
use super::{
    clock, metrics,
    replica::{self, Decision, Replica},
    timeline,
};

/// Least time without a leader before an election, for replicas that are near to
/// each other.
const ELECTION: time::Duration = time::Duration::from_millis(300);

/// Time between two reports of traffic to the other replicas.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Replies that may queue for one entry.
const REPLIES: usize = 1_024;

/// How long handing over may take.
const HAND_OVER: time::Duration = time::Duration::from_secs(1);

/// Time for messages to leave before a planned stop ends the process.
const FLUSH: time::Duration = time::Duration::from_millis(300);

/// Why the daemon stopped.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not listen.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The replica could not start.
    #[snafu(display("{source}"))]
    Replica {
        /// Why.
        source: replica::Error,
    },
    /// The instruments could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: metrics::Error,
    },
    /// A part of the daemon ended, which none should.
    #[snafu(display("a part of the daemon ended unexpectedly"))]
    Ended,
}

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Id of this replica.
    pub id: raft::NodeId,
    /// Failure domain of this instance.
    pub domain: String,
    /// Where to listen.
    pub listen: net::SocketAddr,
    /// Replicas to form a group with or to ask for a place in one. Those that
    /// are not named here are reached by their ids.
    pub peers: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// Whether a new group may be formed.
    pub found: bool,
    /// Most voters.
    pub voters: usize,
    /// Copies of the log that may be lost at once; no catalog is acknowledged
    /// before more exist.
    pub losses: usize,
    /// How it leads.
    pub lead: lead::Policy,
    /// Data folder.
    pub data: path::PathBuf,
    /// The cluster's secret.
    pub secret: String,
    /// The operator's first key, granted when there is no other.
    pub first: Option<key::Presented>,
    /// Where metrics are served, if they are.
    pub metrics: Option<net::SocketAddr>,
    /// Least time without a leader before an election.
    pub election: time::Duration,
}

impl Options {
    /// Returns the options of a replica that forms a group by itself. The rest is
    /// set by field.
    #[must_use]
    pub fn new(id: raft::NodeId, listen: net::SocketAddr, data: &path::Path, secret: &str) -> Self {
        Self {
            id,
            domain: "a".to_owned(),
            listen,
            peers: collections::BTreeMap::from([(id, listen)]),
            found: true,
            voters: usize::MAX,
            losses: 0,
            lead: lead::Policy::default(),
            data: data.to_owned(),
            secret: secret.to_owned(),
            first: None,
            metrics: None,
            election: ELECTION,
        }
    }
}

/// A running control daemon.
#[derive(Debug)]
pub struct Control {
    handle: Handle,
    timeline: sync::Arc<timeline::Timeline>,
    address: net::SocketAddr,
    ended: replica::Ended,
    tasks: tokio::task::JoinSet<()>,
}

impl Error {
    /// Returns true if the disk refused something, which may pass.
    #[must_use]
    pub fn is_disk(&self) -> bool {
        let Self::Replica { source: replica::Error::Disk { source } } = self else {
            return false;
        };
        matches!(source, super::disk::Error::Io { .. })
    }
}

impl Control {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen or its data folder can't be used.
    pub async fn start(options: Options) -> Result<Self, Error> {
        Self::start_with(options, None).await
    }

    /// Starts the daemon, with orders to announced targets written as `engines`
    /// says.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen or its data folder can't be used.
    pub async fn start_with(
        options: Options,
        engines: Option<sync::Arc<dyn dialect::EngineDialect>>,
    ) -> Result<Self, Error> {
        let address = options.listen;
        let listener = tnet::TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let clock = sync::Arc::new(clock::Clock::new());
        let process = format!("control-{}", options.id);
        let timeline = sync::Arc::new(timeline::Timeline::new(&process, clock.clone()));
        let identity =
            peer::Identity { secret: options.secret.clone(), process, clock: clock.clone() };
        let mut tasks = tokio::task::JoinSet::new();
        let addresses = address::AddressBook::new(options.peers.clone());
        let mesh = mesh::Mesh::new(addresses, identity.clone());
        let caller = control::Client::new(identity.clone(), options.peers.clone());
        let outbox = mesh.clone();
        let config = raft::Config {
            id: options.id,
            store: 0,
            peers: options.peers.keys().copied().collect(),
            may_bootstrap: options.found,
            max_voters: options.voters,
            election_timeout: options.election,
            heartbeat_interval: options.election / 10,
            seed: rand::random(),
        };
        let (replica, ended) = Replica::start(replica::Options {
            raft: config,
            folder: options.data.clone(),
            lead: options.lead,
            outbox: Box::new(move |to, message| outbox.send(to, peer::Body::Raft(message))),
            clock: clock.clone(),
            timeline: timeline.clone(),
        })
        .context(ReplicaSnafu)?;
        let version = env!("CARGO_PKG_VERSION").to_owned();
        timeline.record(timeline::Kind::Started { version });
        let handle = Handle {
            id: options.id,
            replica: replica.clone(),
            soft: sync::Arc::new(soft::Soft::new(&options.domain, clock)),
            mesh,
            caller: sync::Arc::new(caller),
            losses: options.losses,
            metrics: sync::Arc::new(metrics::Replica::new().context(MetricsSnafu)?),
        };
        if let Some(address) = options.metrics {
            let metrics = handle.metrics.clone();
            tasks.spawn(metrics::serve::run(address, move || metrics.encode()));
        }
        let placing = engines.map(|engines| placing::Placing::new(handle.clone(), engines));
        if let Some(placing) = &placing {
            tasks.spawn(placing.clone().run());
        }
        let serving =
            Serving { handle: handle.clone(), identity, timeline: timeline.clone(), placing };
        tasks.spawn(accept(listener, serving));
        tasks.spawn(exchange(handle.clone()));
        let leader = leader::LeaderLoop {
            replica: replica.clone(),
            timeline: timeline.clone(),
            client: order::Client::new(),
            first: options.first,
        };
        tasks.spawn(leader.run());
        Ok(Self { handle, timeline, address, ended, tasks })
    }

    /// Returns where the daemon listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns a handle for outside interfaces.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until `stop` is ready, then hands over and stops.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the daemon ended before it was asked to.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        tokio::select! {
            () = stop => {}
            _ = &mut self.ended => return Err(Error::Ended),
            Some(_) = self.tasks.join_next() => return Err(Error::Ended),
        }
        self.timeline.record(timeline::Kind::Stopping);
        // A replica whose disk hangs can't hand over; another one is elected.
        let _ = tokio::time::timeout(HAND_OVER, self.handle.replica.transfer()).await;
        tokio::time::sleep(FLUSH).await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// What a connection needs to be served.
#[derive(Clone)]
struct Serving {
    handle: Handle,
    identity: peer::Identity,
    timeline: sync::Arc<timeline::Timeline>,
    placing: Option<sync::Arc<placing::Placing>>,
}

async fn accept(listener: tnet::TcpListener, serving: Serving) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serving.clone().serve(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

impl Serving {
    async fn serve(self, stream: tnet::TcpStream) {
        if socket::configure(&stream).is_err() {
            return;
        }
        let Ok((mut sink, mut stream)) = self.identity.handshake(stream).await else {
            return;
        };
        let (replies, mut queue) = tsync::mpsc::channel(REPLIES);
        let identity = self.identity.clone();
        let writing = async move {
            while let Some(body) = queue.recv().await {
                if identity.send(&mut sink, body).await.is_err() {
                    return;
                }
            }
        };
        let mut calls = tokio::task::JoinSet::new();
        let reading = async {
            while let Ok(body) = self.identity.receive(&mut stream).await {
                match body {
                    peer::Body::Raft(message) => self.handle.replica.receive(message),
                    peer::Body::Call { id, call } => {
                        let (serving, replies) = (self.clone(), replies.clone());
                        calls.spawn(async move {
                            let reply = serving.answer(call).await;
                            // The connection may be gone; the caller asks again.
                            let _ = replies.send(peer::Body::Reply { id, reply }).await;
                        });
                    }
                    peer::Body::Gossip { from, gossip } => {
                        self.handle.soft.hear(from, gossip);
                    }
                    peer::Body::Hello(_) | peer::Body::Reply { .. } => {}
                }
                while calls.try_join_next().is_some() {}
            }
        };
        tokio::select! {
            () = writing => {}
            () = reading => {}
        }
    }

    async fn answer(&self, call: peer::Call) -> peer::Reply {
        match call {
            peer::Call::Poll { index } => {
                let update = self.handle.replica.poll(index).await;
                update.map_or_else(|| self.not_leader(), peer::Reply::Update)
            }
            peer::Call::Sync(asked) => {
                let update = self.handle.replica.poll(asked.index).await;
                let members = self.handle.replica.members();
                let replicas = members.others(raft::NodeId::MAX).collect();
                peer::Reply::Sync(Box::new(self.handle.soft.sync(asked, update, replicas)))
            }
            peer::Call::RequestPlacement { requirement, lacking, exclude, max_wait } => {
                let asked = placer::PlacementRequest { requirement, exclude, max_wait };
                let found = match &self.placing {
                    Some(placing) => placing.want(asked, lacking).await,
                    None => None,
                };
                found.unwrap_or_else(|| self.not_leader())
            }
            peer::Call::Propose(change) => match self.handle.replica.propose(change).await {
                Decision::Decided { index, outcome } => peer::Reply::Committed { index, outcome },
                Decision::NotLeader { leader } => peer::Reply::NotLeader { leader },
                Decision::Lost => peer::Reply::OutcomeUnknown,
            },
            peer::Call::RequestGrant(ask) => {
                let absent =
                    self.handle.soft.look(|_, traffic, at| traffic.census().absent_fraction(at));
                let replied = self.handle.replica.lead(|leader, state, now| {
                    leader.handle_grant_request(&ask, &state.view, absent, now).unwrap_or(
                        // A workspace that was removed has no tokens.
                        limit::GrantReply::Unsatisfiable,
                    )
                });
                replied.map_or_else(|| self.not_leader(), peer::Reply::Grant)
            }
            peer::Call::Report(report) => self.report(&report).await,
            peer::Call::Status => peer::Reply::Status(Box::new(self.handle.replica.status())),
            peer::Call::Timeline => peer::Reply::Timeline(self.timeline.events()),
        }
    }

    async fn report(&self, report: &announce::Report) -> peer::Reply {
        let handled = self.handle.replica.lead(|leader, state, now| {
            let session_live = state.claims.is_session_live(report.session);
            (leader.handle_report(report, state, now), leader.next_loads(now), session_live)
        });
        let Some((changes, loads, session_live)) = handled else {
            return self.not_leader();
        };
        for change in changes {
            self.handle.replica.propose(change).await;
        }
        peer::Reply::ReportRecorded { session_live, loads }
    }

    fn not_leader(&self) -> peer::Reply {
        peer::Reply::NotLeader { leader: self.handle.replica.leader() }
    }
}

/// Tells the other replicas about the traffic of the gateways that report here.
async fn exchange(handle: Handle) {
    let mut interval = tokio::time::interval(GOSSIP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let report = handle.soft.tick(handle.replica.leader().is_some());
        handle.tell(&peer::Gossip::Traffic(report));
    }
}
