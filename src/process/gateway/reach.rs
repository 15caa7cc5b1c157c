//! Connections to targets: directly, or through other gateways while this one reaches no
//! target.

use std::{io, net, time};

use futures_util::future;

use crate::{
    connection::{
        pool::{self, Opened},
        socket, tunnel,
    },
    request::gateway::reach::{Change, ConnectFailure},
};

use super::core::Core;

/// Time-out for trying whether a target can be reached.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Most gateways that are asked for one connection.
const MAX_RELAYS: usize = 2;

impl Core {
    /// Opens a connection to a target.
    ///
    /// After a time-out a few other targets are tried, to find out whether this gateway
    /// reaches any.
    pub(super) async fn open(&self, target: net::SocketAddr) -> Result<Opened, pool::Error> {
        if let Some(opened) = self.open_relayed(target).await {
            return opened;
        }
        let error = match self.pools.open(target).await {
            Ok(opened) => {
                self.note_connected();
                return Ok(opened);
            }
            Err(error) => error,
        };
        if let pool::Error::NotSent { failure: Some(failure), .. } = &error {
            self.note_failed(target, *failure);
            self.probe().await;
        }
        self.open_relayed(target).await.unwrap_or(Err(error))
    }

    /// Opens a connection through another gateway. Returns `None` if this one reaches
    /// targets itself or knows no other.
    async fn open_relayed(&self, target: net::SocketAddr) -> Option<Result<Opened, pool::Error>> {
        if !self.reach.lock().is_cut_off() {
            return None;
        }
        let relays = self.relays.lock().clone();
        let mut last = None;
        for relay in relays.into_iter().take(MAX_RELAYS) {
            match tunnel::open(&self.identity, relay, self.source(), target).await {
                Ok(stream) => {
                    self.metrics.record_relayed("open");
                    return Some(Ok(Opened { stream, relayed: true }));
                }
                Err(error) => {
                    self.metrics.record_relayed("failed");
                    last = Some(error);
                    if error == tunnel::Error::Refused {
                        break;
                    }
                }
            }
        }
        last.map(|error| {
            let refused = error == tunnel::Error::Refused;
            let failure = if refused { ConnectFailure::Refused } else { ConnectFailure::Other };
            Err(pool::Error::NotSent { reason: error.to_string(), failure: Some(failure) })
        })
    }

    /// Returns true if a target refuses connections, as after a crash, while this gateway
    /// reaches others. A target that does not respond at all may be behind a partition, and
    /// so may this gateway.
    pub(super) async fn has_crashed(&self, target: net::SocketAddr) -> bool {
        let began = self.clock.now();
        let connecting =
            tokio::time::timeout(PROBE_TIMEOUT, socket::connect(target, self.source()));
        let refused = matches!(
            connecting.await,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
        );
        if !refused {
            return false;
        }
        if !self.reach.lock().has_connected_since(began) {
            let others = self.fleet.lock().addresses_up();
            let Some(other) = others.into_iter().find(|address| *address != target) else {
                return true;
            };
            self.probe_target(other).await;
        }
        self.reach.lock().has_connected_since(began)
    }

    /// Tries some targets, if it is not clear whether this gateway reaches any.
    pub(super) async fn probe(&self) {
        let now = self.clock.now();
        if !self.reach.lock().has_probe_due(now) {
            return;
        }
        let up = self.fleet.lock().addresses_up();
        let targets = self.reach.lock().next_probe(&up, now);
        future::join_all(targets.into_iter().map(|target| self.probe_target(target))).await;
    }

    /// Records the direct connections that went silent.
    pub(super) fn note_silent_connections(&self) {
        for target in self.pools.take_silent() {
            self.note_failed(target, ConnectFailure::TimedOut);
        }
    }

    /// Returns the local address of connections to targets and gateways.
    pub(super) fn source(&self) -> Option<net::IpAddr> {
        self.options.internal.map(|address| address.ip())
    }

    async fn probe_target(&self, target: net::SocketAddr) {
        let connecting = socket::connect(target, self.source());
        match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Ok(_)) => self.note_connected(),
            Ok(Err(error)) => self.note_probe_failed(target, pool::connect_failure(&error)),
            Err(_) => self.note_probe_failed(target, ConnectFailure::TimedOut),
        }
    }

    /// Records that a connection to a target was opened.
    pub(super) fn note_connected(&self) {
        let change = self.reach.lock().record_connected(self.clock.now());
        self.apply_change(change);
    }

    fn note_probe_failed(&self, target: net::SocketAddr, failure: ConnectFailure) {
        let (known, now) = (self.fleet.lock().count_up(), self.clock.now());
        let change = self.reach.lock().record_probe_failed(target, failure, known, now);
        self.apply_change(change);
    }

    /// Records that a connection to a target could not be opened, or went silent.
    pub(super) fn note_failed(&self, target: net::SocketAddr, failure: ConnectFailure) {
        let known = self.fleet.lock().count_up();
        let change = self.reach.lock().record_failed(target, failure, known, self.clock.now());
        self.apply_change(change);
    }

    fn apply_change(&self, change: Option<Change>) {
        match change {
            Some(Change::Lost) => {
                spdlog::warn!("no target can be reached; connecting through other gateways", kv: {
                    relays = self.relays.lock().len()
                });
                // Connections that are open may hang.
                self.pools.close_idle(false);
                // The failures were not those of the targets.
                self.fleet.lock().forget_failures();
                self.notify_fleet_change();
            }
            Some(Change::Regained) => {
                spdlog::info!("targets can be reached again");
                self.pools.close_idle(true);
                self.fleet.lock().forget_failures();
                self.notify_fleet_change();
            }
            None => {}
        }
    }
}
