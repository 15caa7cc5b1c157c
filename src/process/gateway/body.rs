//! Bodies of requests and responses.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited, combinators};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::request::refusal::Refusal;

/// How long a caller may take to send its body.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest response that is read completely before it is forwarded, in bytes.
pub(super) const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Memory for the responses that are read completely at a time, in bytes. An instance may
/// have as little as 112 MB for the whole gateway.
pub(super) const BUFFERED_BUDGET_BYTES: usize = 16 << 20;

/// The response was cut short. As an error of the body it makes the server close
/// the connection, so that the caller does not take the response for complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct Truncated;

pub(super) type Body = combinators::UnsyncBoxBody<Bytes, Truncated>;

pub(super) type Response = http::Response<Body>;

pub(super) fn from_bytes(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: convert::Infallible| match never {}).boxed_unsync()
}

/// Reads the body of a caller's request, of at most `limit` bytes.
pub(super) async fn read_request(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(READ_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge { limit }),
        Ok(Err(error)) => Err(Refusal::Invalid { reason: error.to_string() }),
        Err(_) => Err(Refusal::Invalid { reason: "the body took too long".into() }),
    }
}
