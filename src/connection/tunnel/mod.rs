//! Connections to targets through another gateway.
//!
//! A gateway that can't reach a target asks another one to connect to it. From then on
//! that gateway copies bytes in both directions and takes no part in the requests: the
//! first one chooses targets, retries and counts as before, and closing its side closes
//! the connection to the target. The end of the connection is marked ([`EndMark`]), so that a
//! response without a length does not look complete when the other gateway ends.

mod copy;
mod end;

use std::{io, net, time};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::net::TcpStream;

pub use self::{
    copy::{Ended, copy},
    end::{EndMark, RelayedStream, relayed},
};
use super::{peer, socket};

/// Time-out for reaching the other gateway, with its connection to the target.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time-out for the connection of the other gateway to the target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Answer of a gateway to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The bytes of the target follow, with the mark of their end that the version has.
    Open,
    /// The target refused the connection.
    Refused,
    /// The target did not answer the gateway.
    Unreachable,
    /// The gateway is cut off from the target, knows no target at this address or one that
    /// wants no requests, relays for too many others, or is shutting down.
    Declined,
}

impl TunnelReply {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
        }
    }
}

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The target refused the connection of the other gateway.
    #[snafu(display("the target refused a connection of another gateway"))]
    Refused,
    /// The other gateway could not reach the target either.
    #[snafu(display("another gateway could not reach the target either"))]
    Unreachable,
    /// The other gateway could not be reached, or did not take the request.
    #[snafu(display("no other gateway could connect to the target"))]
    NoRelay,
}

impl Error {
    /// Returns the value used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::NoRelay => "no_relay",
        }
    }
}

/// Opens a connection to `target` through the gateway at `relay`.
///
/// # Errors
///
/// Returns an error if the gateway or the target can't be reached.
pub async fn open(
    identity: &peer::Identity,
    relay: net::SocketAddr,
    source: Option<net::IpAddr>,
    target: net::SocketAddr,
) -> Result<RelayedStream, Error> {
    let opening = async {
        let stream = socket::connect(relay, source).await.ok()?;
        socket::configure(&stream).ok()?;
        let (mut sink, mut stream) = identity.handshake(stream).await.ok()?;
        identity.send(&mut sink, peer::Body::OpenTunnel(target)).await.ok()?;
        let received = identity.receive(&mut stream).await.ok()?;
        let peer::Received::Message(peer::Body::TunnelOpened(reply)) = received else {
            return None;
        };
        let mark = EndMark::of_version(sink.version());
        Some((reply, relayed(peer::into_stream(sink, stream)?, mark)))
    };
    match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
        Ok(Some((TunnelReply::Open, stream))) => Ok(stream),
        Ok(Some((TunnelReply::Refused, _))) => Err(Error::Refused),
        Ok(Some((TunnelReply::Unreachable, _))) => Err(Error::Unreachable),
        _ => Err(Error::NoRelay),
    }
}

/// Reads which target the caller of a new connection asks for. Returns `None` if it sends
/// something else or is not a process of this cluster.
pub(crate) async fn accept(
    identity: &peer::Identity,
    stream: TcpStream,
) -> Option<(net::SocketAddr, peer::Sink, peer::Stream)> {
    socket::configure(&stream).ok()?;
    let (sink, mut stream) = identity.accept(stream).await.ok()?;
    match identity.receive(&mut stream).await {
        Ok(peer::Received::Message(peer::Body::OpenTunnel(target))) => Some((target, sink, stream)),
        _ => None,
    }
}

/// Connects to a target for another gateway.
pub(crate) async fn connect(
    target: net::SocketAddr,
    source: Option<net::IpAddr>,
) -> Result<TcpStream, TunnelReply> {
    let connecting = async {
        let stream = socket::connect(target, source).await?;
        socket::configure_to_target(&stream)?;
        Ok::<_, io::Error>(stream)
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(TunnelReply::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(TunnelReply::Unreachable),
    }
}
