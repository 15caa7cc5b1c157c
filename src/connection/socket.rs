//! Options of TCP connections.
//!
//! A peer may become unreachable without a reset, when its machine loses power or
//! the network drops packets. By default the operating system gives up
//! retransmission only after minutes, so every connection gets shorter time-outs.

use std::{io, time};

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged before the connection fails.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection to a target or to another process of the system.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let limit = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, limit)?;
    Ok(())
}
