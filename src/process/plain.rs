//! Addresses at which every request gets the same answer, such as readiness and
//! metrics.

use std::{convert, sync};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net as tnet;

use crate::connection::socket;

/// Answers with status and text, until the process ends.
pub(crate) async fn serve<F>(listener: tnet::TcpListener, answer: F)
where
    F: Fn() -> (http::StatusCode, Vec<u8>) + Send + Sync + 'static,
{
    let answer = sync::Arc::new(answer);
    loop {
        let stream = socket::accept(&listener).await;
        let answer = answer.clone();
        let service = service::service_fn(move |_: http::Request<Incoming>| {
            let (status, text) = answer();
            let mut response = http::Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async { Ok::<_, convert::Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Whoever asks notices and asks again.
            let _ = connection.await;
        });
    }
}
