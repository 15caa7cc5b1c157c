//! Connections of callers.

use std::sync;

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use tokio::net as tnet;

use super::{core::Core, request};

/// Least buffer that the library takes, in bytes.
const LEAST_BUFFER: usize = 16 << 10;

/// Serves a caller's connection in a task of its own.
pub(super) fn caller(core: &sync::Arc<Core>, stream: tnet::TcpStream) {
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
