//! The address at which metrics are scraped.

use std::net;

use tokio::net as tnet;

use crate::process::plain;

use super::Error;

/// Answers every request with the metrics, until the process ends. A process
/// goes on without if the address can't be used.
pub(crate) async fn run<F>(address: net::SocketAddr, text: F)
where
    F: Fn() -> Result<Vec<u8>, Error> + Send + Sync + 'static,
{
    let answer = move || match text() {
        Ok(text) => (http::StatusCode::OK, text),
        Err(error) => (http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    };
    match tnet::TcpListener::bind(address).await {
        Ok(listener) => plain::serve(listener, answer).await,
        Err(error) => {
            spdlog::error!("metrics are not served", kv: {
                address = address.to_string().as_str(),
                reason = error.to_string().as_str()
            });
            std::future::pending::<()>().await;
        }
    }
}
