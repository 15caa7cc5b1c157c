//! HTTP server for scrapes of the metrics.

use std::{convert, net, sync};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net as tnet;

use super::Error;

type Response = http::Response<Full<Bytes>>;

/// Answers every request at `address` with the metrics, and never returns. If the
/// address can't be bound, logs the error and serves nothing.
pub(crate) async fn run<F>(address: net::SocketAddr, encode: F)
where
    F: Fn() -> Result<Vec<u8>, Error> + Send + Sync + 'static,
{
    match tnet::TcpListener::bind(address).await {
        Ok(listener) => accept(listener, sync::Arc::new(encode)).await,
        Err(error) => {
            spdlog::error!("binding the metrics address failed; metrics are not served", kv: {
                address = address.to_string().as_str(),
                reason = error.to_string().as_str()
            });
            std::future::pending::<()>().await;
        }
    }
}

async fn accept<F>(listener: tnet::TcpListener, encode: sync::Arc<F>)
where
    F: Fn() -> Result<Vec<u8>, Error> + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accepting a metrics connection failed", kv: {
                    reason = error.to_string().as_str()
                });
                continue;
            }
        };
        let encode = encode.clone();
        let service = service::service_fn(move |_: http::Request<Incoming>| {
            let response = respond(encode());
            async { Ok::<_, convert::Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A failed scrape is repeated by the scraper.
            let _ = connection.await;
        });
    }
}

fn respond(encoded: Result<Vec<u8>, Error>) -> Response {
    match encoded {
        Ok(text) => http::Response::new(Full::new(text.into())),
        Err(error) => {
            let mut response = http::Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
