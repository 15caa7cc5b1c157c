//! The gateway daemon: an entry that routes by a catalog.
//!
//! It passes requests and answers on unchanged, over a
//! [`Dialect`](crate::connection::dialect::Dialect) that says how they are
//! written. Like the other entry it is a shell around state machines and keeps
//! nothing that must survive it. The difference is where its configuration comes
//! from (a [catalog](crate::version::catalog) in place of records) and that its
//! targets are listed by the control replicas, not by itself.

mod body;
mod core;
mod job;
mod request;
mod serve;
mod stream;
mod sync;

use std::{collections, net, sync as stdsync, time};

use tokio::net as tnet;

use crate::{
    connection::{control, dialect, peer},
    request::gateway::budget,
    version::raft,
};

use self::core::Core;
pub use super::entry::Error;
use super::{clock, entry::listen, metrics};

/// Time between two ticks of the state machines.
const TICK: time::Duration = time::Duration::from_millis(50);

/// Time for the last answers to leave before the process ends.
const FLUSH: time::Duration = time::Duration::from_millis(100);

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process, unique among gateways.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Where callers connect.
    pub listen: net::SocketAddr,
    /// Where readiness is asked for.
    pub readiness: net::SocketAddr,
    /// Where metrics are served, if they are.
    pub metrics: Option<net::SocketAddr>,
    /// Control replicas to begin with; more are learnt from them.
    pub control: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    /// The cluster's secret.
    pub secret: String,
    /// Time from the request to stop until the process ends at the latest.
    pub grace: time::Duration,
    /// Bounds on the retries of all gateways together.
    pub retries: budget::Bounds,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    core: stdsync::Arc<Core>,
    callers: tnet::TcpListener,
    readiness: tnet::TcpListener,
    tasks: tokio::task::JoinSet<()>,
}

impl Gateway {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen.
    pub async fn start(
        options: Options,
        dialect: stdsync::Arc<dyn dialect::Dialect>,
    ) -> Result<Self, Error> {
        let callers = listen(options.listen).await?;
        let readiness = listen(options.readiness).await?;
        let clock = stdsync::Arc::new(clock::Clock::new());
        let identity = peer::Identity {
            secret: options.secret.clone(),
            process: options.name.clone(),
            clock: clock.clone(),
        };
        let control = control::Control::new(identity, options.control.clone());
        let instruments = metrics::Metrics::new().map_err(|source| Error::Metrics { source })?;
        let scraped = options.metrics;
        let core = Core::new(options, clock, control, instruments, dialect);
        let mut tasks = tokio::task::JoinSet::new();
        if let Some(address) = scraped {
            let metrics = core.metrics.clone();
            tasks.spawn(metrics::serve::run(address, move || metrics.text()));
        }
        tasks.spawn(sync::run(core.clone()));
        tasks.spawn(tick(core.clone()));
        Ok(Self { core, callers, readiness, tasks })
    }

    /// Returns where callers connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not say.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns a handle that names other control replicas.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle { core: self.core.clone() }
    }

    /// Serves until `stop` is ready, then stops without cutting a request.
    ///
    /// Readiness turns false at once, so that the balancer looks elsewhere.
    /// Connections are still accepted and served for a while, since callers
    /// keep using open ones; each answer asks its caller to close. After that
    /// each connection ends with the request that it carries, and the process
    /// with the last one, or with the grace period.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the daemon ended before it was asked to.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        let stopping = self.core.clone();
        let mut begun = self.core.clock.now();
        let closing = async {
            stop.await;
            begun = stopping.clock.now();
            stopping.begin_stop();
            stopping.noticed().await;
        };
        let mut closing = Box::pin(closing);
        loop {
            tokio::select! {
                () = &mut closing => break,
                Some(_) = self.tasks.join_next() => return Err(Error::Ended),
                accepted = self.callers.accept() => serve::caller(&self.core, accepted),
                accepted = self.readiness.accept() => serve::readiness(&self.core, accepted),
            }
        }
        drop(closing);
        drop(self.callers);
        self.core.closing.send_replace(true);
        let passed = self.core.clock.now().saturating_sub(begun);
        self.core.drained(self.core.options.grace.saturating_sub(passed)).await;
        self.core.limits.close().await;
        tokio::time::sleep(FLUSH).await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Changes a running gateway.
#[derive(Clone, Debug)]
pub struct Handle {
    core: stdsync::Arc<Core>,
}

impl Handle {
    /// Names other control replicas to ask, after the settings changed.
    pub fn set_control(&self, replicas: &[raft::NodeId]) {
        self.core.seeds.store(stdsync::Arc::new(replicas.to_vec()));
    }
}

/// Lets time pass for the state machines.
async fn tick(core: stdsync::Arc<Core>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.limits.tick();
        core.pools.expire(core.clock.now());
    }
}
