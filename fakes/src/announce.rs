//! Announces a target to an entry process.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// Sends an announcement to the internal address of an entry process.
///
/// Returns true if the entry process responded with a success status.
pub async fn send(entry: SocketAddr, announcement: &serde_json::Value) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{entry}/targets/announce"))
        .body(Full::new(Bytes::from(announcement.to_string())));
    let Ok(request) = request else {
        return false;
    };
    client.request(request).await.is_ok_and(|response| response.status().is_success())
}
