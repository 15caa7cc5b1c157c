//! The gateway daemon: an HTTP reverse proxy that routes by a catalog.
//!
//! Bodies of requests and responses are forwarded unchanged. A
//! [`Dialect`](crate::connection::dialect::Dialect) defines the headers used between
//! callers, gateway and targets. Like [`entry`](super::entry), the daemon performs I/O
//! for state machines and keeps no state that must survive a restart. Unlike `entry`, it
//! is configured by a [catalog](crate::version::catalog) instead of records, and learns
//! its targets from the control replicas instead of from the targets themselves.

mod attempt;
mod body;
mod choosing;
mod cold;
mod core;
mod crashes;
mod ending;
mod excluded;
mod intake;
mod job;
mod origins;
mod places;
mod reach;
mod relay;
mod request;
mod serve;
mod stream;
mod sync;
mod turns;

use std::{collections, net, sync as stdsync, time};

use tokio::net as tnet;

use crate::{
    connection::{control, dialect, peer},
    request::{gateway::budget, limit::cold as cold_limit},
    version::raft,
};

use self::core::Core;
pub use super::entry::Error;
use super::{clock, entry::listen, lag, metrics};

/// Time between two calls of the periodic work of the state machines.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time between two log lines on the calls to the leader.
const CALL_LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time for the last responses to be sent before the process ends.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(100);

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process, unique among gateways.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Region of each failure domain, as far as known.
    pub regions: collections::BTreeMap<String, String>,
    /// Address at which callers are served.
    pub listen: net::SocketAddr,
    /// Address at which readiness probes are answered.
    pub readiness: net::SocketAddr,
    /// Address on the network between instances, at which this gateway connects others to
    /// targets that they can't reach. Connections to targets come from its IP address. `None`
    /// relays for no other gateway and leaves the address to the operating system.
    pub internal: Option<net::SocketAddr>,
    /// Address at which metrics are served; `None` serves none.
    pub metrics: Option<net::SocketAddr>,
    /// Initial control replicas; the current members are learned from them.
    pub control_replicas: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// Secret shared by all processes of the cluster.
    pub secret: String,
    /// Grace period: longest time from the stop signal until the process ends.
    pub grace: time::Duration,
    /// Bounds on the retries of all gateways together.
    pub retry_bounds: budget::Bounds,
    /// Bound on the requests of all gateways together to a cold target.
    pub cold_bounds: cold_limit::Bounds,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    core: stdsync::Arc<Core>,
    caller_listener: tnet::TcpListener,
    readiness_listener: tnet::TcpListener,
    tasks: tokio::task::JoinSet<()>,
}

impl Gateway {
    /// Binds the listeners and starts the background tasks. Requests are served by
    /// [`Self::run`].
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the metrics can't be set up.
    pub async fn start(
        options: Options,
        dialect: stdsync::Arc<dyn dialect::Dialect>,
    ) -> Result<Self, Error> {
        let caller_listener = listen(options.listen).await?;
        let readiness_listener = listen(options.readiness).await?;
        let clock = stdsync::Arc::new(clock::Clock::new());
        let identity = peer::Identity::new(&options.secret, &options.name, clock);
        let control = control::Client::new(identity.clone(), options.control_replicas.clone());
        let instruments = metrics::Metrics::new().map_err(|source| Error::Metrics { source })?;
        let metrics_address = options.metrics;
        let internal_listener = match options.internal {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let core = Core::new(options, identity, control, instruments, dialect);
        let mut tasks = tokio::task::JoinSet::new();
        if let Some(listener) = internal_listener {
            tasks.spawn(relay::run(core.clone(), listener));
        }
        if let Some(address) = metrics_address {
            let metrics = core.metrics.clone();
            tasks.spawn(metrics::serve::run(address, move || metrics.encode()));
        }
        let metrics = core.metrics.clone();
        tasks.spawn(lag::watch("callers", move |seconds| metrics.record_loop_lag(seconds)));
        tasks.spawn(sync::run(core.clone()));
        tasks.spawn(origins::run(core.clone()));
        tasks.spawn(places::run(core.clone()));
        tasks.spawn(tick(core.clone()));
        tasks.spawn(watch_reach(core.clone()));
        tasks.spawn(log_calls(core.clone()));
        Ok(Self { core, caller_listener, readiness_listener, tasks })
    }

    /// Returns the address at which callers are served.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not return the address.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.caller_listener.local_addr()
    }

    /// Returns a handle that changes the settings of the running gateway.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle { core: self.core.clone() }
    }

    /// Serves until `stop` is ready, then shuts down gracefully.
    ///
    /// From the stop on readiness probes fail, so that the load balancer sends requests
    /// elsewhere. For a while connections are still accepted and served, since callers
    /// keep using open ones; each response asks its caller to close the connection.
    /// After that each connection is closed after its current request. The process ends
    /// with the last request, or at the end of the grace period.
    ///
    /// # Errors
    ///
    /// Returns an error if a background task ends unexpectedly.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        let core = self.core.clone();
        let mut stop_requested_at = self.core.clock.now();
        let close = async {
            stop.await;
            stop_requested_at = core.clock.now();
            core.begin_stop();
            core.shutdown_delay().await;
        };
        let mut close = Box::pin(close);
        loop {
            tokio::select! {
                () = &mut close => break,
                Some(_) = self.tasks.join_next() => return Err(Error::TaskEnded),
                accepted = self.caller_listener.accept() => serve::caller(&self.core, accepted),
                accepted = self.readiness_listener.accept() =>
                    serve::readiness(&self.core, accepted),
            }
        }
        drop(close);
        drop(self.caller_listener);
        self.core.close_connections.send_replace(true);
        let elapsed = self.core.clock.now().saturating_sub(stop_requested_at);
        self.core.drain(self.core.options.grace.saturating_sub(elapsed)).await;
        self.core.limits.close().await;
        tokio::time::sleep(FLUSH_TIME).await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Changes settings of a running gateway.
#[derive(Clone, Debug)]
pub struct Handle {
    core: stdsync::Arc<Core>,
}

impl Handle {
    /// Replaces the control replicas named in the settings. Members learned from
    /// control replicas stay known.
    pub fn set_control_replicas(&self, replicas: &[raft::NodeId]) {
        self.core.seeds.store(stdsync::Arc::new(replicas.to_vec()));
    }
}

/// Drives the periodic work of the rate limits, the connection pools and the log of
/// crashes.
async fn tick(core: stdsync::Arc<Core>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.limits.tick();
        core.bodies.tick(core.clock.now());
        core.pools.close_expired(core.clock.now());
        core.note_closed_connections();
        core.note_silent_connections();
        crashes::report(&core);
    }
}

/// Tries targets while it is not clear whether this gateway reaches any, also without
/// requests.
async fn watch_reach(core: stdsync::Arc<Core>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.probe().await;
    }
}

/// Logs at regular intervals how many attempts the calls to the leader took, unless there
/// were no calls.
async fn log_calls(core: stdsync::Arc<Core>) {
    loop {
        tokio::time::sleep(CALL_LOG_INTERVAL).await;
        let control::CallCounts { calls, attempts, redirected, unanswered } =
            core.control.take_counts();
        if calls > 0 {
            let waiting = core.control.waiting_calls();
            spdlog::info!("calls to the leader", kv: {
                calls,
                attempts,
                redirected,
                unanswered,
                waiting
            });
        }
    }
}
