//! Connections to targets.
//!
//! A connection carries one request at a time. It is reused for the next one only
//! if the response was read to its end and the target announced no close. What a
//! target sends on a reused connection without being asked ends it.

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::net::TcpStream;

use super::socket;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long a connection is reused if the target does not say.
const DEFAULT_MAX_IDLE: time::Duration = time::Duration::from_secs(4);

/// Part of the time that a target keeps a connection for which it is used, in
/// percent. The rest covers the way and the target's clock.
const MAX_IDLE_PERCENT: u32 = 75;

/// How long a connection may have been idle to carry a request that may run
/// only non_idempotent: if it is reset, nobody knows whether the request ran. A reset while
/// it is idle is noticed before.
const NON_IDEMPOTENT_MAX_IDLE: time::Duration = time::Duration::from_secs(4);

/// Longest body of a rejection that is read to max_idle its connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// How long that may take.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_millis(20);

/// Connections reused to one target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Why a request has no response.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// No byte of it was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Why.
        reason: String,
    },
    /// It was sent, at least in part.
    #[snafu(display("broken off: {source}"))]
    Incomplete {
        /// Why.
        source: hyper::Error,
    },
}

type Sender = http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    idle_since: time::Duration,
    max_idle: time::Duration,
}

/// Connections to all targets.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    idle: sync::Arc<Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>>,
}

/// A connection whose response is being read. It goes back to its pool by
/// [`Pools::release`], and is closed if it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    address: net::SocketAddr,
    sender: Sender,
    max_idle: time::Duration,
}

impl Pools {
    /// Sends a request and returns the head of the response.
    ///
    /// With `non_idempotent` set the request may run only non_idempotent, and only a connection
    /// that was used a moment ago is taken from the pool.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        non_idempotent: bool,
        now: time::Duration,
    ) -> Result<(http::Response<Incoming>, Lease), Error> {
        let mut request = request;
        loop {
            let reused = self.take(address, non_idempotent, now);
            let fresh = reused.is_none();
            let mut sender = match reused {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let max_idle = max_idle(response.headers());
                    return Ok((response, Lease { address, sender, max_idle }));
                }
                Err(mut error) => match error.take_message() {
                    // The connection had ended before a byte was written.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => {
                        return Err(Error::NotSent { reason: error.error().to_string() });
                    }
                    None => return Err(Error::Incomplete { source: error.into_error() }),
                },
            }
        }
    }

    /// Puts a connection back after its response was read.
    pub(crate) fn release(&self, lease: Lease, now: time::Duration) {
        let Lease { address, sender, max_idle } = lease;
        if max_idle.is_zero() || sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_TARGET {
            idle.push(Idle { sender, idle_since: now, max_idle });
        }
    }

    /// Reads the short body of an response that is not passed on, and puts the
    /// connection back.
    pub(crate) async fn discard_and_release(
        &self,
        body: Incoming,
        lease: Lease,
        now: time::Duration,
    ) {
        let rest = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, rest).await {
            self.release(lease, now);
        }
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn close_expired(&self, now: time::Duration) {
        self.idle.lock().retain(|_, idle| {
            idle.retain(|i| now < i.idle_since + i.max_idle && !i.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Returns the addresses that an idle connection is open to.
    pub(crate) fn connected_addresses(
        &self,
        now: time::Duration,
    ) -> collections::HashSet<net::SocketAddr> {
        let idle = self.idle.lock();
        let usable = |i: &Idle| now < i.idle_since + i.max_idle && i.sender.is_ready();
        let open = idle.iter().filter(|(_, idle)| idle.iter().any(usable));
        open.map(|(address, _)| *address).collect()
    }

    /// Takes the connection that was used last.
    fn take(
        &self,
        address: net::SocketAddr,
        non_idempotent: bool,
        now: time::Duration,
    ) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            let max_idle = if non_idempotent {
                last.max_idle.min(NON_IDEMPOTENT_MAX_IDLE)
            } else {
                last.max_idle
            };
            if now < last.idle_since + max_idle && last.sender.is_ready() {
                return Some(last.sender);
            }
        }
        None
    }
}

async fn connect(address: net::SocketAddr) -> Result<Sender, Error> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        socket::configure(&stream)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::NotSent { reason: error.to_string() }),
        Err(_) => return Err(Error::NotSent { reason: "connecting took too long".into() }),
    };
    let handshake = http1::Builder::new().handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|error| Error::NotSent { reason: error.to_string() })?;
    tokio::spawn(async move {
        // How it ended shows at the request that it carried, if there is one.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Returns how long a connection may be used again after this response.
fn max_idle(headers: &http::HeaderMap) -> time::Duration {
    let closes = headers
        .get(http::header::CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return time::Duration::ZERO;
    }
    let stated = headers.get("max_idle-alive").and_then(|v| v.to_str().ok()).and_then(|text| {
        let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(time::Duration::from_secs)
    });
    stated.map_or(DEFAULT_MAX_IDLE, |s| s * MAX_IDLE_PERCENT / 100)
}
