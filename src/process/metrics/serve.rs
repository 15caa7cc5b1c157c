//! The address at which metrics are scraped.

use std::{convert, net, sync};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net as tnet;

use super::Error;

type Response = http::Response<Full<Bytes>>;

/// Answers every request with the metrics, until the process ends. A process
/// goes on without if the address can't be used.
pub(crate) async fn run<F>(address: net::SocketAddr, text: F)
where
    F: Fn() -> Result<Vec<u8>, Error> + Send + Sync + 'static,
{
    match tnet::TcpListener::bind(address).await {
        Ok(listener) => accept(listener, sync::Arc::new(text)).await,
        Err(error) => {
            spdlog::error!("metrics are not served", kv: {
                address = address.to_string().as_str(),
                reason = error.to_string().as_str()
            });
            std::future::pending::<()>().await;
        }
    }
}

async fn accept<F>(listener: tnet::TcpListener, text: sync::Arc<F>)
where
    F: Fn() -> Result<Vec<u8>, Error> + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accepting failed", kv: { reason = error.to_string().as_str() });
                continue;
            }
        };
        let text = text.clone();
        let service = service::service_fn(move |_: http::Request<Incoming>| {
            let response = answer(text());
            async { Ok::<_, convert::Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Whoever scrapes notices and scrapes again.
            let _ = connection.await;
        });
    }
}

fn answer(text: Result<Vec<u8>, Error>) -> Response {
    match text {
        Ok(text) => http::Response::new(Full::new(text.into())),
        Err(error) => {
            let mut response = http::Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
