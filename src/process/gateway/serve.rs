//! Connections of callers and of readiness probes.

use std::{convert, io, net, sync};

use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net as tnet;

use super::{
    body::{self, Response},
    core::Core,
    request,
};

type Accepted = io::Result<(tnet::TcpStream, net::SocketAddr)>;

/// Serves a caller's connection in a new task.
pub(super) fn caller(core: &sync::Arc<Core>, accepted: Accepted) {
    let Some(stream) = accepted_stream(accepted) else {
        return;
    };
    let bounds =
        core.config().table.as_ref().map(|table| table.catalog().bounds).unwrap_or_default();
    let mut close = core.close_connections.subscribe();
    let core = core.clone();
    let service = service::service_fn(move |r| request::handle(core.clone(), r));
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout.max(bounds.head_timeout))
        .max_buf_size(bounds.head_bytes.max(MIN_BUFFER))
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::spawn(async move {
        let mut connection = std::pin::pin!(connection);
        // A broken connection affects only its caller, who sees the error.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = close.wait_for(|close| *close) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    });
}

/// Least read buffer of a connection, in bytes. hyper panics if it is below 8 KiB.
const MIN_BUFFER: usize = 16 << 10;

/// Answers a readiness probe: 200 if the gateway is ready, 503 if not.
pub(super) fn readiness(core: &sync::Arc<Core>, accepted: Accepted) {
    let core = core.clone();
    serve_fixed(accepted, move || {
        let status = if core.is_ready() {
            http::StatusCode::OK
        } else {
            http::StatusCode::SERVICE_UNAVAILABLE
        };
        status_response(status, Vec::new())
    });
}

/// Serves a connection whose responses do not depend on the request.
fn serve_fixed(accepted: Accepted, respond: impl Fn() -> Response + Send + Sync + 'static) {
    let Some(stream) = accepted_stream(accepted) else {
        return;
    };
    let service = service::service_fn(move |_: http::Request<Incoming>| {
        let response = respond();
        async { Ok::<_, convert::Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    tokio::spawn(async move {
        // A probe that gets no response is repeated by its sender.
        let _ = connection.await;
    });
}

fn status_response(status: http::StatusCode, bytes: Vec<u8>) -> Response {
    let mut response = http::Response::new(body::from_bytes(bytes));
    *response.status_mut() = status;
    response
}

fn accepted_stream(accepted: Accepted) -> Option<tnet::TcpStream> {
    match accepted {
        Ok((stream, _)) => {
            // Without Nagle's algorithm small writes are sent at once. An error of
            // the socket comes up again at the first read.
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(error) => {
            spdlog::warn!("accepting a connection failed", kv: {
                reason = error.to_string().as_str()
            });
            None
        }
    }
}
