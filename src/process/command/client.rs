//! HTTP client of the command-line tool.

use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy, rt};
use serde::Deserialize;

use super::Error;

/// Time-out for the response of an entry process.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Client of the administration API of entry processes.
pub(super) struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    entries: Vec<String>,
    key: String,
}

#[derive(Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(Deserialize)]
struct ErrorBody {
    message: String,
}

impl Client {
    pub(super) fn new(entries: Vec<String>, key: &str) -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self { http, entries, key: key.to_owned() }
    }

    pub(super) async fn get(&self, path: &str) -> Result<String, Error> {
        self.call(http::Method::GET, path, Vec::new()).await
    }

    /// Calls the entry processes in turn until one responds, and returns the body
    /// of its response.
    pub(super) async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<String, Error> {
        let mut last_error = None;
        for entry in &self.entries {
            match self.call_entry(entry, &method, path, body.clone()).await {
                Err(error @ Error::Unreachable { .. }) => last_error = Some(error),
                other => return other,
            }
        }
        let no_entry =
            || Error::Argument { argument: "entry", expected: "expected IP:PORT".into() };
        Err(last_error.unwrap_or_else(no_entry))
    }

    /// Calls every entry process, and returns the bodies of the successful responses.
    /// Fails if there are none.
    pub(super) async fn get_all(&self, path: &str) -> Result<Vec<String>, Error> {
        let mut responses = Vec::new();
        let mut last_error = None;
        for entry in &self.entries {
            match self.call_entry(entry, &http::Method::GET, path, Vec::new()).await {
                Ok(response) => responses.push(response),
                Err(error) => last_error = Some(error),
            }
        }
        match last_error {
            Some(error) if responses.is_empty() => Err(error),
            _ => Ok(responses),
        }
    }

    async fn call_entry(
        &self,
        entry: &str,
        method: &http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<String, Error> {
        let unreachable = |reason: String| Error::Unreachable { entry: entry.to_owned(), reason };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}/admin/v1/{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| unreachable(e.to_string()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|e| e.to_string())?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(TIMEOUT, exchange)
            .await
            .map_err(|_| unreachable("no response in time".into()))?
            .map_err(unreachable)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() {
            return Ok(text);
        }
        let message =
            serde_json::from_str::<ErrorResponse>(&text).map_or(text, |r| r.error.message);
        Err(Error::Refused { status: status.as_u16(), message })
    }
}
