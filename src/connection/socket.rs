//! Options of TCP connections.
//!
//! A peer may become unreachable without a reset, when its machine loses power or
//! the network drops packets. By default the operating system gives up
//! retransmission only after minutes, so every connection gets shorter time-outs.

use std::{io, net, time};

use rustix::net::sockopt;
use tokio::net::{TcpSocket, TcpStream};

/// How long sent data may stay unacknowledged before a connection within the system fails.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The same for connections to targets, which may be silent for a second and go on. It
/// also ends an idle connection at the first probe that is due later than this after the
/// latest answer, so it covers two probes.
const TARGET_USER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection fails, if that is
/// not sooner than the time-outs above.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection from the local address `source`, or from one that the operating
/// system picks.
///
/// # Errors
///
/// Returns an error if the connection can't be opened, or `source` is not a local address
/// or of another family than `address`.
pub async fn connect(
    address: net::SocketAddr,
    source: Option<net::IpAddr>,
) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}

/// Sets the options of a connection to another process of the system.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, USER_TIMEOUT)
}

/// Sets the options of a connection to a target.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub fn configure_to_target(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, TARGET_USER_TIMEOUT)
}

fn set_options(stream: &TcpStream, user_timeout: time::Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let limit = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, limit)?;
    Ok(())
}
