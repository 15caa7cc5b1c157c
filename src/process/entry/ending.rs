//! Checks that the target of a response which ended with its connection is still there.

use std::{net, time};

use crate::{
    connection::{
        ending::{self, Probe, Verdict},
        framing::Framing,
        pool, socket,
    },
    request::gateway::reach::ConnectFailure,
};

use super::relay::Failure;

/// Time-out for connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Returns an error if a response whose body came to a regular end may be cut short. Opens a
/// connection to the target if its framing doesn't tell.
pub(super) async fn confirm(target: net::SocketAddr, framing: Framing) -> Result<(), Failure> {
    let mut verdict = ending::judge(framing, None);
    if verdict == Verdict::Unknown {
        let probe = probe(target).await;
        verdict = ending::judge(framing, Some(probe));
        if verdict != Verdict::Complete {
            spdlog::warn!("target is gone after a response without a length", kv: {
                target = target.to_string().as_str(),
                probe = probe.name()
            });
        }
    }
    match verdict {
        Verdict::Complete => Ok(()),
        Verdict::Truncated | Verdict::Unknown => Err(Failure::Incomplete),
    }
}

async fn probe(target: net::SocketAddr) -> Probe {
    match tokio::time::timeout(CONNECT_TIMEOUT, socket::connect(target, None)).await {
        Ok(Ok(_)) => Probe::Opened,
        Ok(Err(error)) => Probe::failed(Some(pool::connect_failure(&error))),
        Err(_) => Probe::failed(Some(ConnectFailure::TimedOut)),
    }
}
