//! An HTTP server that can close all its connections at once, as in a crash.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Error that makes the server close the connection in the middle of a
/// response body.
#[derive(Debug)]
pub(crate) struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}

impl std::error::Error for ConnectionCut {}

pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionCut>;

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body without a length that does not end.
pub(crate) fn endless_body() -> Body {
    let chunk = Bytes::from_static(&[b'x'; 16 << 10]);
    let frames = tokio_stream::iter(std::iter::repeat_with(move || Ok(Frame::data(chunk.clone()))));
    StreamBody::new(frames).boxed_unsync()
}

pub(crate) fn text_response(code: u16, body: &str) -> Response<Body> {
    let mut response = Response::new(full_body(body.to_owned()));
    *response.status_mut() = hyper::StatusCode::from_u16(code).expect("a valid status");
    response
}

/// A running server. Dropping it closes every connection.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Listens on `listen` and passes each request to `handler`.
    pub(crate) async fn start<H, F>(listen: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, mut stopped) = watch::channel(false);
        let handler = Arc::new(handler);
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => continue,
                    },
                    _ = stopped.changed() => return,
                };
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let response = handler(request);
                        async move { Ok::<_, Infallible>(response.await) }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { address, stop })
    }

    /// Stops listening and closes every connection.
    pub(crate) fn crash(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Reads a request body to its end; empty if the connection fails.
pub(crate) async fn read_body(body: Incoming) -> Bytes {
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}
