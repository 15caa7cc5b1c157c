//! Connections to targets.
//!
//! A connection carries one request at a time. It is kept for the next one only
//! if the answer was read to its end and the target announced no close. What a
//! target sends on a kept connection without being asked ends it.

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
const CONNECT: time::Duration = time::Duration::from_millis(400);

/// How long a connection is kept if the target does not say.
const KEEP: time::Duration = time::Duration::from_secs(4);

/// Part of the time that a target keeps a connection for which it is used, in
/// percent. The rest covers the way and the target's clock.
const KEEP_PERCENT: u32 = 75;

/// How long a connection may have been idle to carry a request that may run
/// only once: if it is reset, nobody knows whether the request ran. A reset while
/// it is idle is noticed before.
const ONCE: time::Duration = time::Duration::from_secs(4);

/// Longest body of a rejection that is read to keep its connection, in bytes.
const SHORT: usize = 16 << 10;

/// How long that may take.
const SHORT_TIME: time::Duration = time::Duration::from_millis(20);

/// Connections kept to one target.
const IDLE: usize = 64;

/// Why a request has no answer.
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
    Broken {
        /// Why.
        source: hyper::Error,
    },
}

type Sender = http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: time::Duration,
    keep: time::Duration,
}

/// Connections to all targets.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    idle: sync::Arc<Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>>,
}

/// A connection whose answer is being read. It goes back to its pool by
/// [`Lease::keep`], and is closed if it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    address: net::SocketAddr,
    sender: Sender,
    keep: time::Duration,
}

impl Pools {
    /// Sends a request and returns the head of the answer.
    ///
    /// With `once` set the request may run only once, and only a connection
    /// that was used a moment ago is taken from the pool.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
        once: bool,
        now: time::Duration,
    ) -> Result<(http::Response<Incoming>, Lease), Error> {
        let mut request = request;
        loop {
            let kept = self.take(address, once, now);
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            match sender.try_send_request(request).await {
                Ok(answer) => {
                    let keep = keep(answer.headers());
                    return Ok((answer, Lease { address, sender, keep }));
                }
                Err(mut failed) => match failed.take_message() {
                    // The connection had ended before a byte was written.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => {
                        return Err(Error::NotSent { reason: failed.error().to_string() });
                    }
                    None => return Err(Error::Broken { source: failed.into_error() }),
                },
            }
        }
    }

    /// Puts a connection back after its answer was read.
    pub(crate) fn keep(&self, lease: Lease, now: time::Duration) {
        let Lease { address, sender, keep } = lease;
        if keep.is_zero() || sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let idle = idle.entry(address).or_default();
        if idle.len() < IDLE {
            idle.push(Idle { sender, since: now, keep });
        }
    }

    /// Reads the short body of an answer that is not passed on, and puts the
    /// connection back.
    pub(crate) async fn keep_after(&self, body: Incoming, lease: Lease, now: time::Duration) {
        let rest = Limited::new(body, SHORT).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(SHORT_TIME, rest).await {
            self.keep(lease, now);
        }
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn expire(&self, now: time::Duration) {
        self.idle.lock().retain(|_, idle| {
            idle.retain(|i| now < i.since + i.keep && !i.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Returns the addresses that an idle connection is open to.
    pub(crate) fn open(&self, now: time::Duration) -> collections::HashSet<net::SocketAddr> {
        let idle = self.idle.lock();
        let usable = |i: &Idle| now < i.since + i.keep && i.sender.is_ready();
        let open = idle.iter().filter(|(_, idle)| idle.iter().any(usable));
        open.map(|(address, _)| *address).collect()
    }

    /// Takes the connection that was used last.
    fn take(&self, address: net::SocketAddr, once: bool, now: time::Duration) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            let keep = if once { last.keep.min(ONCE) } else { last.keep };
            if now < last.since + keep && last.sender.is_ready() {
                return Some(last.sender);
            }
        }
        None
    }
}

async fn connect(address: net::SocketAddr) -> Result<Sender, Error> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        socket::tune(&stream)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = match tokio::time::timeout(CONNECT, opening).await {
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

/// Returns how long a connection may be used again after this answer.
fn keep(headers: &http::HeaderMap) -> time::Duration {
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
    stated.map_or(KEEP, |s| s * KEEP_PERCENT / 100)
}
