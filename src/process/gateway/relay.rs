//! Connects other gateways to targets that they can't reach themselves.

use std::{net, sync, time};

use tokio::net as tnet;

use crate::{
    connection::{
        peer,
        tunnel::{self, TunnelReply},
    },
    request::gateway::reach::ConnectFailure,
};

use super::{core::Core, job::millis};

/// Most connections of other gateways that are relayed at a time, with two descriptors each.
const MAX_TUNNELS: usize = 512;

/// Accepts the connections of other gateways.
pub(super) async fn run(core: sync::Arc<Core>, listener: tnet::TcpListener) {
    let open = sync::Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (core, open) = (core.clone(), open.clone());
                tokio::spawn(async move {
                    serve(&core, stream, sync::Arc::strong_count(&open)).await;
                    drop(open);
                });
            }
            Err(error) => {
                spdlog::warn!("accepting a connection of a gateway failed", kv: {
                    reason = error.to_string().as_str()
                });
            }
        }
    }
}

/// Relays one connection. `open` is the number of connections that are relayed.
async fn serve(core: &sync::Arc<Core>, stream: tnet::TcpStream, open: usize) {
    let Some((target, sink, stream)) = tunnel::accept(&core.identity, stream).await else {
        return;
    };
    let connected = connect(core, target, open).await;
    let reply = connected.as_ref().err().copied().unwrap_or(TunnelReply::Open);
    core.metrics.record_tunnel(reply.name());
    let mark = tunnel::EndMark::of_version(sink.version());
    let gateway = sink.other().map(|other| other.name.clone()).unwrap_or_default();
    let Some(caller) = send_reply(core, reply, sink, stream).await else {
        return;
    };
    if let Ok(connection) = connected {
        // Counts as a request, so that a gateway that stops lets it end.
        let _in_flight = core.track_request();
        let began = core.clock.now();
        log_opened(&gateway, target);
        let ended = tunnel::copy(caller, connection, mark).await;
        log_ended(&gateway, target, ended, core.clock.now().saturating_sub(began));
    }
}

/// Connects to `target`, if this gateway knows it, reaches it as far as it knows, and may send
/// it requests.
async fn connect(
    core: &Core,
    target: net::SocketAddr,
    open: usize,
) -> Result<tnet::TcpStream, TunnelReply> {
    check(core, target, open)?;
    let connected = tunnel::connect(target, core.source()).await;
    match &connected {
        Ok(_) => core.note_connected(target),
        Err(TunnelReply::Unreachable) => core.note_failed(target, ConnectFailure::TimedOut),
        Err(_) => {}
    }
    connected
}

/// Checks whether this gateway can connect another one to `target`.
fn check(core: &Core, target: net::SocketAddr, open: usize) -> Result<(), TunnelReply> {
    let known = core.fleet.lock().may_relay_to(target, core.clock.now());
    let lost = core.reach.lock().is_lost(target);
    if !known || lost || open > MAX_TUNNELS || core.is_stopping() {
        return Err(TunnelReply::Declined);
    }
    Ok(())
}

fn log_opened(gateway: &str, target: net::SocketAddr) {
    spdlog::info!("relaying a connection to a target", kv: {
        gateway,
        target = target.to_string().as_str()
    });
}

fn log_ended(gateway: &str, target: net::SocketAddr, ended: tunnel::Ended, took: time::Duration) {
    spdlog::info!("relayed connection ended", kv: {
        gateway,
        target = target.to_string().as_str(),
        ended = ended.name(),
        took_ms = millis(took)
    });
}

async fn send_reply(
    core: &Core,
    reply: TunnelReply,
    mut sink: peer::Sink,
    stream: peer::Stream,
) -> Option<tnet::TcpStream> {
    core.identity.send(&mut sink, peer::Body::TunnelOpened(reply)).await.ok()?;
    peer::into_stream(sink, stream)
}
