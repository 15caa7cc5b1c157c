//! Connections of callers, and those that ask for readiness.

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

/// Serves a caller's connection in a task of its own.
pub(super) fn caller(core: &sync::Arc<Core>, accepted: Accepted) {
    let Some(stream) = sound(accepted) else {
        return;
    };
    let bounds = core.live().table.as_ref().map(|table| table.catalog().bounds).unwrap_or_default();
    let mut closing = core.closing.subscribe();
    let core = core.clone();
    let service = service::service_fn(move |r| request::handle(core.clone(), r));
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(bounds.idle_time.max(bounds.head_time))
        .max_buf_size(bounds.head_bytes.max(LEAST_BUFFER))
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::spawn(async move {
        let mut connection = std::pin::pin!(connection);
        // A connection that breaks concerns only its caller, who notices.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    });
}

/// Least buffer that the library takes, in bytes.
const LEAST_BUFFER: usize = 16 << 10;

/// Answers whether new callers are welcome.
pub(super) fn readiness(core: &sync::Arc<Core>, accepted: Accepted) {
    let core = core.clone();
    short(accepted, move || {
        let status = if core.is_ready() {
            http::StatusCode::OK
        } else {
            http::StatusCode::SERVICE_UNAVAILABLE
        };
        plain(status, Vec::new())
    });
}

/// Serves a connection whose answers need nothing of the request.
fn short(accepted: Accepted, answer: impl Fn() -> Response + Send + Sync + 'static) {
    let Some(stream) = sound(accepted) else {
        return;
    };
    let service = service::service_fn(move |_: http::Request<Incoming>| {
        let response = answer();
        async { Ok::<_, convert::Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    tokio::spawn(async move {
        // Whoever asks notices and asks again.
        let _ = connection.await;
    });
}

fn plain(status: http::StatusCode, text: Vec<u8>) -> Response {
    let mut response = http::Response::new(body::full(text));
    *response.status_mut() = status;
    response
}

fn sound(accepted: Accepted) -> Option<tnet::TcpStream> {
    match accepted {
        Ok((stream, _)) => {
            // Small writes must not wait for each other; a failure here shows
            // again with the first read.
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(error) => {
            spdlog::warn!("accepting failed", kv: { reason = error.to_string().as_str() });
            None
        }
    }
}
