//! Pool of HTTP/1.1 connections to targets.
//!
//! A connection carries one request at a time. It is reused only if the response
//! was read to its end and did not announce a close. If a target sends data on an
//! idle connection, the connection is closed.

use std::{collections, error, io, mem, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use super::{
    carried::{Answer, Call, Carried},
    rejected::RejectedIds,
    socket, tunnel,
};
use crate::request::gateway::reach::ConnectFailure;

/// Time-out for connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long a connection may be idle and be reused, if the target states no
/// keep-alive time-out.
const DEFAULT_MAX_IDLE: time::Duration = time::Duration::from_secs(4);

/// How long a connection may be idle and be reused, in percent of the keep-alive
/// time-out that the target states. The rest is a margin for the network delay and
/// the drift of the target's clock.
const MAX_IDLE_PERCENT: u32 = 75;

/// Longest time that a connection may be idle and be reused, whatever the target states.
const MAX_IDLE: time::Duration = time::Duration::from_hours(1);

/// How long a connection may be idle and be reused for a non-idempotent request. If
/// the connection is reset after the request was sent, it is not known whether the
/// request ran. A reset while the connection is idle is noticed before sending.
const NON_IDEMPOTENT_MAX_IDLE: time::Duration = time::Duration::from_secs(4);

/// Longest response body that is read and discarded to reuse its connection, in
/// bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// Time-out for reading a body that is discarded.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_millis(20);

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Why a request got no response.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// No byte of the request was sent.
    #[snafu(display("request not sent: {reason}"))]
    NotSent {
        /// Error of the connection.
        reason: String,
        /// How opening a connection failed; `None` if one was open.
        failure: Option<ConnectFailure>,
    },
    /// The request was sent, at least in part, and may have run.
    #[snafu(display("connection failed before the response: {source}"))]
    Incomplete {
        /// Error of the connection.
        source: hyper::Error,
    },
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection to a target that was just opened.
pub(crate) enum Opened {
    /// From this process to the target.
    Direct(TcpStream),
    /// Through another gateway.
    Relayed(tunnel::RelayedStream),
}

/// Result of [`Pools::send_reused`].
#[derive(Debug)]
pub(crate) enum Reuse {
    /// The response, with its body yet to be read.
    Response(Box<http::Response<Incoming>>, Lease),
    /// No connection is open. The request was not sent.
    NoConnection(http::Request<Full<Bytes>>),
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    relayed: bool,
    rejected: RejectedIds,
    carried: Carried,
    /// Monotonic time at which the connection became idle.
    idle_since: time::Duration,
    max_idle: time::Duration,
}

/// Idle connections, by target.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// Local address of the connections; `None` leaves it to the operating system.
    source: Option<net::IpAddr>,
    idle: sync::Arc<Mutex<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>>,
    /// Targets of direct connections that went silent since the latest
    /// [`Self::take_silent`].
    silent: sync::Arc<Mutex<Vec<net::SocketAddr>>>,
    /// Targets that have closed idle direct connections since the latest [`Self::take_closed`].
    closed: sync::Arc<Mutex<collections::HashSet<net::SocketAddr>>>,
}

/// A connection whose response is being read. [`Pools::release`] returns it to the
/// pool; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    address: net::SocketAddr,
    sender: Sender,
    relayed: bool,
    reused: bool,
    rejected: RejectedIds,
    carried: Carried,
    max_idle: time::Duration,
}

impl Lease {
    /// Returns true if the connection carried an earlier response, of which a faulty target
    /// may send another copy.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns true if the connection goes through another gateway.
    pub(crate) fn is_relayed(&self) -> bool {
        self.relayed
    }

    /// Records that the target rejected the request with this id. It is not sent again on
    /// this connection, see [`rejected`](super::rejected).
    pub(crate) fn record_rejected(&mut self, id: &str) {
        self.rejected.record(id);
    }

    /// Records the answer that was read for a call without an id, and returns whether it
    /// belongs to that call, see [`Carried::settle`].
    pub(crate) fn settle(&mut self, call: Call, answer: Answer) -> bool {
        self.carried.settle(call, answer)
    }
}

/// What decides on which open connection a request may be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reusing<'r> {
    /// Id of the request.
    pub(crate) id: &'r str,
    /// Whether it may run only once.
    pub(crate) run_once: bool,
    /// The call, if it has no id.
    pub(crate) call: Option<Call>,
    /// Whether it must not go through another gateway.
    pub(crate) direct: bool,
}

impl Pools {
    /// Creates pools whose connections come from the local address `source`.
    pub(crate) fn from_address(source: Option<net::IpAddr>) -> Self {
        Self { source, ..Self::default() }
    }

    /// Sends a request and returns the response, with its body yet to be read. Opens a
    /// connection if none is open.
    ///
    /// A request that may run only once reuses only a connection that has been idle for less
    /// than [`NON_IDEMPOTENT_MAX_IDLE`]. A request is sent again only if no byte of it
    /// was sent.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        reusing: Reusing<'_>,
        now: time::Duration,
    ) -> Result<(http::Response<Incoming>, Lease), Error> {
        match self.send_reused(address, request, reusing, now).await? {
            Reuse::Response(response, lease) => Ok((*response, lease)),
            Reuse::NoConnection(request) => {
                let opened = self.open(address).await?;
                self.send_on(address, opened, request).await
            }
        }
    }

    /// Sends a request as [`Self::send`] does, but only on a connection that is open.
    pub(crate) async fn send_reused(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        reusing: Reusing<'_>,
        now: time::Duration,
    ) -> Result<Reuse, Error> {
        let mut request = request;
        while let Some(idle) = self.take(address, reusing, now) {
            let IdleConnection { mut sender, relayed, rejected, carried, .. } = idle;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let max_idle = max_idle(response.headers());
                    let reused = true;
                    let lease =
                        Lease { address, sender, relayed, reused, rejected, carried, max_idle };
                    return Ok(Reuse::Response(Box::new(response), lease));
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed before a byte was written.
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Incomplete { source: error.into_error() }),
                },
            }
        }
        Ok(Reuse::NoConnection(request))
    }

    /// Opens a connection from this process.
    pub(crate) async fn open(&self, address: net::SocketAddr) -> Result<Opened, Error> {
        let opening = async {
            let stream = socket::connect(address, self.source).await?;
            socket::configure_to_target(&stream)?;
            Ok::<_, io::Error>(stream)
        };
        let (reason, failure) = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
            Ok(Ok(stream)) => return Ok(Opened::Direct(stream)),
            Ok(Err(error)) => (error.to_string(), connect_failure(&error)),
            Err(_) => ("timed out while connecting".to_owned(), ConnectFailure::TimedOut),
        };
        Err(Error::NotSent { reason, failure: Some(failure) })
    }

    /// Sends a request on a connection that was just opened.
    pub(crate) async fn send_on(
        &self,
        address: net::SocketAddr,
        opened: Opened,
        request: http::Request<Full<Bytes>>,
    ) -> Result<(http::Response<Incoming>, Lease), Error> {
        let relayed = matches!(opened, Opened::Relayed(_));
        let mut sender = match opened {
            Opened::Direct(stream) => self.handshake(address, stream, relayed).await?,
            Opened::Relayed(stream) => self.handshake(address, stream, relayed).await?,
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                let max_idle = max_idle(response.headers());
                let (reused, rejected) = (false, RejectedIds::default());
                let carried = Carried::default();
                let lease = Lease { address, sender, relayed, reused, rejected, carried, max_idle };
                Ok((response, lease))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(not_sent(&error.error().to_string())),
                None => Err(Error::Incomplete { source: error.into_error() }),
            },
        }
    }

    async fn handshake(
        &self,
        address: net::SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        relayed: bool,
    ) -> Result<Sender, Error> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error.to_string()))?;
        let silent = self.silent.clone();
        tokio::spawn(async move {
            // An error is also returned to the request in flight, if there is one.
            let ended = connection.await;
            if !relayed && ended.is_err_and(|error| is_timeout(&error)) {
                silent.lock().push(address);
            }
        });
        Ok(sender)
    }

    /// Returns the targets of direct connections that went silent since the latest call.
    pub(crate) fn take_silent(&self) -> Vec<net::SocketAddr> {
        mem::take(&mut *self.silent.lock())
    }

    /// Closes the idle connections to some targets that go through other gateways, or those
    /// that do not.
    pub(crate) fn close_idle(&self, targets: &[net::SocketAddr], relayed: bool) {
        let mut idle = self.idle.lock();
        for target in targets {
            if let Some(idle) = idle.get_mut(target) {
                idle.retain(|i| i.relayed != relayed);
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn release(&self, lease: Lease, now: time::Duration) {
        let Lease { address, sender, relayed, rejected, carried, max_idle, .. } = lease;
        if max_idle.is_zero() || sender.is_closed() || rejected.is_full() {
            return;
        }
        let mut idle = self.idle.lock();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_TARGET {
            let idle_since = now;
            idle.push(IdleConnection { sender, relayed, rejected, carried, idle_since, max_idle });
        }
    }

    /// Reads and discards the body of a response that is not forwarded, and returns
    /// the connection to the pool. If the body is too long or late, the connection is
    /// closed.
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

    /// Closes connections that have been idle for too long or that targets have
    /// closed.
    pub(crate) fn close_expired(&self, now: time::Duration) {
        let mut idle = self.idle.lock();
        let mut closed = self.closed.lock();
        idle.retain(|address, idle| {
            idle.retain(|i| now < i.idle_since + i.max_idle);
            if idle.iter().any(|i| i.sender.is_closed() && !i.relayed) {
                closed.insert(*address);
            }
            idle.retain(|i| !i.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Returns the targets that have closed idle direct connections since the latest call, before
    /// these were idle for too long.
    pub(crate) fn take_closed(&self) -> collections::HashSet<net::SocketAddr> {
        mem::take(&mut *self.closed.lock())
    }

    /// Returns the addresses to which there is an idle connection.
    pub(crate) fn connected_addresses(
        &self,
        now: time::Duration,
    ) -> collections::HashSet<net::SocketAddr> {
        let idle = self.idle.lock();
        let usable = |i: &IdleConnection| now < i.idle_since + i.max_idle && i.sender.is_ready();
        let open = idle.iter().filter(|(_, idle)| idle.iter().any(usable));
        open.map(|(address, _)| *address).collect()
    }

    /// Takes the most recently used connection on which the request may be sent.
    fn take(
        &self,
        address: net::SocketAddr,
        reusing: Reusing<'_>,
        now: time::Duration,
    ) -> Option<IdleConnection> {
        let Reusing { id, run_once, call, direct } = reusing;
        let allows = |i: &IdleConnection| {
            !(direct && i.relayed)
                && i.rejected.allows(id)
                && call.is_none_or(|call| i.carried.allows(call))
        };
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&address)?;
        while let Some(index) = idle.iter().rposition(allows) {
            let last = idle.remove(index);
            let max_idle =
                if run_once { last.max_idle.min(NON_IDEMPOTENT_MAX_IDLE) } else { last.max_idle };
            if now < last.idle_since + max_idle && last.sender.is_ready() {
                return Some(last);
            }
            if now < last.idle_since + max_idle && last.sender.is_closed() && !last.relayed {
                self.closed.lock().insert(address);
            }
        }
        None
    }
}

/// Returns how opening a connection failed.
pub(crate) fn connect_failure(error: &io::Error) -> ConnectFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ConnectFailure::Refused,
        io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
        _ => ConnectFailure::Other,
    }
}

/// Returns true if the other side of the connection no longer answered.
fn is_timeout(error: &hyper::Error) -> bool {
    let mut source = error::Error::source(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return error.kind() == io::ErrorKind::TimedOut;
        }
        source = error.source();
    }
    false
}

fn not_sent(reason: &str) -> Error {
    Error::NotSent { reason: reason.to_owned(), failure: None }
}

/// Returns how long a connection may be idle and be reused after a response with
/// these headers; zero if it may not be reused.
fn max_idle(headers: &http::HeaderMap) -> time::Duration {
    let closes = headers
        .get(http::header::CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return time::Duration::ZERO;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|text| {
        let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(time::Duration::from_secs)
    });
    stated.map_or(DEFAULT_MAX_IDLE, |s| s.min(MAX_IDLE) * MAX_IDLE_PERCENT / 100)
}
