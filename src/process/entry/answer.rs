//! Answers to callers: bodies, refusals and their headers.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators};
use serde::Serialize;
use snafu::Snafu;

use crate::request::refusal::{Ran, Refusal};

/// The answer broke off and its connection must not end as if it were whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct Broken;

/// Body of an answer.
pub(super) type Body = combinators::UnsyncBoxBody<Bytes, Broken>;

/// An answer.
pub(super) type Response = http::Response<Body>;

#[derive(Serialize)]
struct ErrorV1<'e> {
    #[serde(rename = "type")]
    kind: &'e str,
    message: String,
    ran: Ran,
    request_id: &'e str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct EnvelopeV1<'e> {
    error: ErrorV1<'e>,
}

/// Makes a body of bytes.
pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: convert::Infallible| match never {}).boxed_unsync()
}

/// Makes a JSON answer.
pub(super) fn json(status: http::StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = http::Response::new(full(body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Makes a plain text answer.
pub(super) fn text(status: http::StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// Makes the answer that carries a refusal.
pub(super) fn refusal(refusal: &Refusal, request: &str) -> Response {
    let mut response = json(refusal.status(), &envelope(refusal, request));
    let headers = response.headers_mut();
    if let Some(wait) = refusal.retry_after() {
        headers.insert(http::header::RETRY_AFTER, seconds(wait).into());
    }
    if *refusal == Refusal::Unauthorized {
        let scheme = http::HeaderValue::from_static("Bearer");
        headers.insert(http::header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Makes the event that ends a stream which could not be completed.
pub(super) fn event(refusal: &Refusal, request: &str) -> Bytes {
    let error = serde_json::to_string(&envelope(refusal, request)).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}

fn envelope<'e>(refusal: &Refusal, request: &'e str) -> EnvelopeV1<'e> {
    let wait = refusal.retry_after().map(|w| u64::try_from(w.as_millis()).unwrap_or(u64::MAX));
    EnvelopeV1 {
        error: ErrorV1 {
            kind: refusal.kind(),
            message: refusal.to_string(),
            ran: refusal.ran(),
            request_id: request,
            retry_after_ms: wait,
        },
    }
}

/// Rounds up, since coming back early means being refused again.
fn seconds(wait: time::Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
