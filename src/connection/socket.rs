//! Options of TCP connections.
//!
//! A connection can go silent without a reset, when a machine loses power or a
//! network drops packets. The system's own retransmission gives up only after
//! minutes, so every connection carries limits of its own.

use std::{io, time};

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How long a connection may be silent before it is probed, and time between
/// probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection of this system's own making.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
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
