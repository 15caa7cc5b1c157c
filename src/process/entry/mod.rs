//! The entry daemon: what stands between callers and targets.
//!
//! The daemon is a shell. It reads requests, feeds the state machines of
//! [`request`](crate::request) and [`version`](crate::version), and carries out
//! what they decide. It keeps nothing that must survive it.

mod admin;
mod answer;
pub(crate) mod api;
mod claimed;
mod core;
mod dispatch;
mod feed;
mod relay;
mod report;
mod serve;
mod stream;

use std::{collections, net, sync, time};

use hyper_util::{rt, server, service};
use snafu::{ResultExt as _, Snafu};
use tokio::net as tnet;

use crate::{
    connection::{control, peer},
    version::raft,
};

use self::core::Core;
use super::{clock, metrics, timeline};

/// Time between two ticks of the state machines.
const TICK: time::Duration = time::Duration::from_millis(50);

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
    /// A part of the daemon ended, which none should.
    #[snafu(display("a part of the daemon ended unexpectedly"))]
    Ended,
    /// Metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: metrics::Error,
    },
}

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process, unique among entries.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Where callers and operators connect.
    pub listen: net::SocketAddr,
    /// Where targets announce themselves.
    pub internal: net::SocketAddr,
    /// Control replicas.
    pub control: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// The cluster's secret.
    pub secret: String,
    /// How long to go on accepting after a stop was asked for, so that the
    /// balancer notices first.
    pub notice: time::Duration,
    /// How long running requests may take after that.
    pub drain: time::Duration,
}

/// Which listener a request came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    /// Callers and operators.
    Public,
    /// Targets.
    Internal,
}

/// A running entry daemon.
#[derive(Debug)]
pub struct Entry {
    core: sync::Arc<Core>,
    public: tnet::TcpListener,
    internal: tnet::TcpListener,
    tasks: tokio::task::JoinSet<()>,
}

impl Entry {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let public = listen(options.listen).await?;
        let internal = listen(options.internal).await?;
        let clock = sync::Arc::new(clock::Clock::new());
        let timeline = sync::Arc::new(timeline::Timeline::new(&options.name, clock.clone()));
        let version = env!("CARGO_PKG_VERSION").to_owned();
        timeline.record(timeline::Kind::Started { version });
        let identity = peer::Identity {
            secret: options.secret.clone(),
            process: options.name.clone(),
            clock: clock.clone(),
        };
        let control = sync::Arc::new(control::Client::new(identity, options.control.clone()));
        let metrics = metrics::Metrics::new().context(MetricsSnafu)?;
        let core = Core::new(options, clock, timeline, control, metrics);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(feed::run(core.clone()));
        tasks.spawn(report::run(core.clone()));
        tasks.spawn(tick(core.clone()));
        Ok(Self { core, public, internal, tasks })
    }

    /// Returns where callers connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not say.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.public.local_addr()
    }

    /// Returns where targets announce themselves.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not say.
    pub fn internal(&self) -> std::io::Result<net::SocketAddr> {
        self.internal.local_addr()
    }

    /// Serves until `stop` is ready, then stops without cutting a request.
    ///
    /// Readiness turns false at once, so that the balancer looks elsewhere.
    /// After the notice no connection is accepted any more, and each one ends
    /// with the request that it carries.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the daemon ended before it was asked to.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        let graceful = server::graceful::GracefulShutdown::new();
        let notice = self.core.options.notice;
        let closing = async {
            stop.await;
            self.core.begin_stop();
            tokio::time::sleep(notice).await;
        };
        tokio::pin!(closing);
        loop {
            let (accepted, side) = tokio::select! {
                () = &mut closing => break,
                Some(_) = self.tasks.join_next() => return Err(Error::Ended),
                accepted = self.public.accept() => (accepted, Side::Public),
                accepted = self.internal.accept() => (accepted, Side::Internal),
            };
            if let Ok((stream, _)) = accepted {
                connect(&self.core, stream, side, &graceful);
            }
        }
        drop(self.public);
        let drain = self.core.options.drain;
        if tokio::time::timeout(drain, graceful.shutdown()).await.is_err() {
            spdlog::error!("stopped with requests running", kv: {
                running = self.core.dispatch.running()
            });
        }
        self.core.release_all().await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Listens at an address.
pub(super) async fn listen(address: net::SocketAddr) -> Result<tnet::TcpListener, Error> {
    tnet::TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves one connection in a task of its own.
fn connect(
    core: &sync::Arc<Core>,
    stream: tnet::TcpStream,
    side: Side,
    graceful: &server::graceful::GracefulShutdown,
) {
    // Small writes must not wait for each other; a failure here shows again
    // with the first read.
    let _ = stream.set_nodelay(true);
    let core = core.clone();
    let handler = tower::service_fn(move |request| serve::handle(core.clone(), request, side));
    let service = service::TowerToHyperService::new(handler);
    let builder = server::conn::auto::Builder::new(rt::TokioExecutor::new());
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection that breaks concerns only its caller, who notices.
        let _ = watched.await;
    });
}

/// Lets time pass for the state machines.
async fn tick(core: sync::Arc<Core>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.limits.tick();
        core.dispatch.tick(&core);
        core.watch_freshness();
    }
}
