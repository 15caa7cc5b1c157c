//! Connections to targets: directly, or through other gateways to targets that this one
//! can't reach.

use std::{io, net, time};

use futures_util::future;

use crate::{
    connection::{
        pool::{self, Opened},
        socket, tunnel,
    },
    request::gateway::reach::{Changes, ConnectFailure},
};

use super::core::Core;

/// Time-out for trying whether a target can be reached.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Most gateways that are asked for one connection.
const MAX_RELAYS: usize = 2;

impl Core {
    /// Opens a connection to a target: directly, unless the target is known to be out of
    /// reach, and otherwise through another gateway.
    pub(super) async fn open(&self, target: net::SocketAddr) -> Result<Opened, pool::Error> {
        if self.reach.lock().is_lost(target) {
            match self.open_relayed(target).await {
                Err(tunnel::Error::NoRelay) => {}
                result => return result.map_err(relay_error),
            }
        }
        let error = match self.pools.open(target).await {
            Ok(opened) => {
                self.note_connected(target);
                return Ok(opened);
            }
            Err(error) => error,
        };
        let pool::Error::NotSent { failure: Some(failure), .. } = &error else {
            return Err(error);
        };
        let relayed = self.open_relayed(target).await;
        if matches!(relayed, Ok(_) | Err(tunnel::Error::NoRelay)) {
            self.note_failed(target, *failure);
        }
        match relayed {
            Ok(opened) => Ok(opened),
            // Only a target that refuses both has certainly crashed.
            Err(tunnel::Error::Unreachable) => Err(relay_error(tunnel::Error::Unreachable)),
            Err(tunnel::Error::Refused | tunnel::Error::NoRelay) => Err(error),
        }
    }

    /// Opens a connection to a target without another gateway, also if the target is known to be
    /// out of reach. A failure does not tell whether others reach it.
    pub(super) async fn open_direct(&self, target: net::SocketAddr) -> Result<Opened, pool::Error> {
        let opened = self.pools.open(target).await?;
        self.note_connected(target);
        Ok(opened)
    }

    /// Opens a connection through another gateway. If that does not reach the target
    /// either, the target is no longer out of reach of this one in particular.
    async fn open_relayed(&self, target: net::SocketAddr) -> Result<Opened, tunnel::Error> {
        let relays = self.relays.lock().clone();
        let mut failure = tunnel::Error::NoRelay;
        for relay in relays.into_iter().take(MAX_RELAYS) {
            let opened = tunnel::open(&self.identity, relay, self.source(), target).await;
            self.metrics.record_relayed(opened.as_ref().err().map_or("open", |e| e.name()));
            match opened {
                Ok(stream) => return Ok(Opened::Relayed(stream)),
                Err(tunnel::Error::NoRelay) => {}
                Err(error) => failure = error,
            }
            if failure == tunnel::Error::Refused {
                break;
            }
        }
        if failure != tunnel::Error::NoRelay {
            self.reach.lock().record_failed_elsewhere(target);
        }
        Err(failure)
    }

    /// Returns true if a target refuses connections, as after a crash, and that is not due
    /// to a partition of this gateway: it reaches others, or another gateway is refused too.
    /// A target that does not respond at all may be behind a partition.
    pub(super) async fn has_crashed(&self, target: net::SocketAddr) -> bool {
        let began = self.clock.now();
        let connecting = socket::connect(target, self.source());
        let refused = matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connecting).await,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
        );
        if !refused {
            return false;
        }
        if self.reach.lock().has_connected_since(began) {
            return true;
        }
        match self.open_relayed(target).await {
            Err(tunnel::Error::Refused) => true,
            Ok(_) | Err(tunnel::Error::Unreachable) => false,
            Err(tunnel::Error::NoRelay) => !self.is_cut_off(),
        }
    }

    /// Tries some targets: those that could not be reached, or others while it is not clear
    /// whether any can be reached.
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

    /// Returns true if this gateway can't reach any target by itself.
    pub(super) fn is_cut_off(&self) -> bool {
        let up = self.fleet.lock().addresses_up();
        self.reach.lock().is_cut_off(&up)
    }

    async fn probe_target(&self, target: net::SocketAddr) {
        let connecting = socket::connect(target, self.source());
        let failure = match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Ok(_)) => return self.note_connected(target),
            Ok(Err(error)) => pool::connect_failure(&error),
            Err(_) => ConnectFailure::TimedOut,
        };
        let (up, now) = (self.fleet.lock().addresses_up(), self.clock.now());
        let changes = self.reach.lock().record_probe_failed(target, failure, &up, now);
        self.apply_changes(&changes);
    }

    /// Records that a connection to a target was opened.
    pub(super) fn note_connected(&self, target: net::SocketAddr) {
        let changes = self.reach.lock().record_connected(target, self.clock.now());
        self.apply_changes(&changes);
    }

    /// Records that a connection to a target could not be opened, or went silent.
    pub(super) fn note_failed(&self, target: net::SocketAddr, failure: ConnectFailure) {
        let (up, now) = (self.fleet.lock().addresses_up(), self.clock.now());
        let changes = self.reach.lock().record_failed(target, failure, &up, now);
        self.apply_changes(&changes);
    }

    fn apply_changes(&self, changes: &Changes) {
        if !changes.lost.is_empty() {
            spdlog::warn!("targets are out of reach; connecting through other gateways", kv: {
                targets = changes.lost.len(),
                first = changes.lost[0].to_string().as_str(),
                relays = self.relays.lock().len()
            });
            // Open connections may hang.
            self.pools.close_idle(&changes.lost, false);
            // The failures were those of the way to the targets.
            self.fleet.lock().forget_failures(&changes.lost);
        }
        if !changes.restored.is_empty() {
            spdlog::info!("targets are in reach again", kv: {
                targets = changes.restored.len(),
                first = changes.restored[0].to_string().as_str()
            });
            self.pools.close_idle(&changes.restored, true);
        }
    }
}

fn relay_error(error: tunnel::Error) -> pool::Error {
    let failure = match error {
        tunnel::Error::Refused => ConnectFailure::Refused,
        tunnel::Error::Unreachable | tunnel::Error::NoRelay => ConnectFailure::Other,
    };
    pool::Error::NotSent { reason: error.to_string(), failure: Some(failure) }
}
