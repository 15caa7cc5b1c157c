//! The entry process (`hornbeamdock-entry`): an HTTP reverse proxy that routes by
//! records, and serves the administration interface.
//!
//! The daemon performs I/O for the state machines of [`request`](crate::request) and
//! [`version`](crate::version). It keeps no state that must survive a restart.
//!
//! - Targets announce themselves at the internal listener. The announcements are
//!   reported to the leader of the control replicas (`report`).
//! - Records, keys and known targets are read from a cached copy of the replicated view, which
//!   is kept fresh by polls (`feed`). Without a fresh copy the process refuses requests of
//!   callers and operators.
//! - Non-idempotent requests with an idempotency key are claimed in the replicated log
//!   before they are sent (`claimed`).

mod admin;
mod answer;
pub(crate) mod api;
mod claimed;
mod core;
mod dispatch;
mod ending;
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

/// Time between two calls of the periodic work of the state machines.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Why the daemon could not start, or ended unexpectedly.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener could not be bound.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A background task ended before the daemon was stopped.
    #[snafu(display("a background task of the daemon ended unexpectedly"))]
    TaskEnded,
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics exporter.
        source: metrics::Error,
    },
}

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process, unique among entry processes.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Address at which callers and operators are served.
    pub listen: net::SocketAddr,
    /// Address at which targets announce themselves.
    pub internal_listen: net::SocketAddr,
    /// Ids and addresses of the control replicas.
    pub control_replicas: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// Secret shared by all processes of the cluster.
    pub secret: String,
    /// How long to accept connections after the stop signal, so that the load balancer
    /// has time to notice that the process is not ready.
    pub shutdown_delay: time::Duration,
    /// How long requests in flight may take after that.
    pub drain_timeout: time::Duration,
}

/// The listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    /// Serves callers and operators.
    Public,
    /// Serves announcements of targets.
    Internal,
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    core: sync::Arc<Core>,
    public_listener: tnet::TcpListener,
    internal_listener: tnet::TcpListener,
    tasks: tokio::task::JoinSet<()>,
}

impl Entry {
    /// Binds the listeners and starts the background tasks. Requests are served by
    /// [`Self::run`].
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the metrics can't be set up.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let public_listener = listen(options.listen).await?;
        let internal_listener = listen(options.internal_listen).await?;
        let clock = sync::Arc::new(clock::Clock::new());
        let timeline = sync::Arc::new(timeline::Timeline::new(&options.name, clock.clone()));
        let version = env!("CARGO_PKG_VERSION").to_owned();
        timeline.record(timeline::Kind::Started { version });
        let identity = peer::Identity::new(&options.secret, &options.name, clock.clone());
        let control =
            sync::Arc::new(control::Client::new(identity, options.control_replicas.clone()));
        let metrics = metrics::Metrics::new().context(MetricsSnafu)?;
        let core = Core::new(options, clock, timeline, control, metrics);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(feed::run(core.clone()));
        tasks.spawn(report::run(core.clone()));
        tasks.spawn(tick(core.clone()));
        Ok(Self { core, public_listener, internal_listener, tasks })
    }

    /// Returns the address at which callers and operators are served.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not return the address.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.public_listener.local_addr()
    }

    /// Returns the address at which targets announce themselves.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not return the address.
    pub fn internal_address(&self) -> std::io::Result<net::SocketAddr> {
        self.internal_listener.local_addr()
    }

    /// Serves until `stop` is ready, then shuts down gracefully.
    ///
    /// From the stop on `/ready` answers 503, so that the load balancer sends requests
    /// elsewhere. After [`Options::shutdown_delay`] no connection is accepted any more,
    /// and each open one is closed after its current requests. The process ends with the
    /// last request, or after [`Options::drain_timeout`].
    ///
    /// # Errors
    ///
    /// Returns an error if a background task ends unexpectedly.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        let graceful = server::graceful::GracefulShutdown::new();
        let shutdown_delay = self.core.options.shutdown_delay;
        let shutdown_begin = async {
            stop.await;
            self.core.begin_stop();
            tokio::time::sleep(shutdown_delay).await;
        };
        tokio::pin!(shutdown_begin);
        loop {
            let (accepted, listener) = tokio::select! {
                () = &mut shutdown_begin => break,
                Some(_) = self.tasks.join_next() => return Err(Error::TaskEnded),
                accepted = self.public_listener.accept() => (accepted, Listener::Public),
                accepted = self.internal_listener.accept() => (accepted, Listener::Internal),
            };
            if let Ok((stream, _)) = accepted {
                serve_connection(&self.core, stream, listener, &graceful);
            }
        }
        drop(self.public_listener);
        let drain_timeout = self.core.options.drain_timeout;
        if tokio::time::timeout(drain_timeout, graceful.shutdown()).await.is_err() {
            spdlog::error!("drain timed out; stopping with requests in flight", kv: {
                running = self.core.dispatcher.running()
            });
        }
        self.core.close().await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Binds a listener.
pub(super) async fn listen(address: net::SocketAddr) -> Result<tnet::TcpListener, Error> {
    tnet::TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves one connection in a new task.
fn serve_connection(
    core: &sync::Arc<Core>,
    stream: tnet::TcpStream,
    listener: Listener,
    graceful: &server::graceful::GracefulShutdown,
) {
    // Without Nagle's algorithm small writes are sent at once. An error of the socket
    // comes up again at the first read.
    let _ = stream.set_nodelay(true);
    let core = core.clone();
    let handler = tower::service_fn(move |request| serve::handle(core.clone(), request, listener));
    let service = service::TowerToHyperService::new(handler);
    let builder = server::conn::auto::Builder::new(rt::TokioExecutor::new());
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A broken connection affects only its caller, who sees the error.
        let _ = watched.await;
    });
}

/// Drives the periodic work of the rate limits and the scheduler, and checks whether
/// the view is fresh.
async fn tick(core: sync::Arc<Core>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.limits.tick();
        core.dispatcher.tick(&core);
        core.record_freshness();
    }
}
