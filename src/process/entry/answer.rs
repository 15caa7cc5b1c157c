//! Construction of responses: bodies, refusals and their headers.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators};
use serde::Serialize;
use snafu::Snafu;

use crate::request::refusal::{Ran, Refusal};

/// The response was cut short. As an error of the body it makes the server close the
/// connection, so that the caller does not take the response for complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct Truncated;

/// Body of a response, whole or streamed.
pub(super) type Body = combinators::UnsyncBoxBody<Bytes, Truncated>;

/// A response to a caller, operator or target.
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
struct ErrorEnvelopeV1<'e> {
    error: ErrorV1<'e>,
}

/// Creates a body whose content is complete.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: convert::Infallible| match never {}).boxed_unsync()
}

/// Creates a response with a JSON body.
pub(super) fn json(status: http::StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = http::Response::new(full_body(body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Creates a response with a plain text body and no `Content-Type`.
pub(super) fn text(status: http::StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Creates the response for a refusal.
pub(super) fn refusal(refusal: &Refusal, request_id: &str) -> Response {
    let mut response = json(refusal.status(), &error_envelope(refusal, request_id));
    let headers = response.headers_mut();
    if let Some(retry_after) = refusal.retry_after() {
        headers.insert(http::header::RETRY_AFTER, whole_seconds(retry_after).into());
    }
    if *refusal == Refusal::Unauthorized {
        let scheme = http::HeaderValue::from_static("Bearer");
        headers.insert(http::header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Creates the server-sent event that ends an incomplete stream.
pub(super) fn error_event(refusal: &Refusal, request_id: &str) -> Bytes {
    let error = serde_json::to_string(&error_envelope(refusal, request_id)).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}

fn error_envelope<'e>(refusal: &Refusal, request_id: &'e str) -> ErrorEnvelopeV1<'e> {
    let retry_after_ms =
        refusal.retry_after().map(|w| u64::try_from(w.as_millis()).unwrap_or(u64::MAX));
    ErrorEnvelopeV1 {
        error: ErrorV1 {
            kind: refusal.kind(),
            message: refusal.to_string(),
            ran: refusal.ran(),
            request_id,
            retry_after_ms,
        },
    }
}

/// Rounds up, since a request repeated too early is refused again.
fn whole_seconds(retry_after: time::Duration) -> u64 {
    retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0)
}
