//! Bodies of requests and responses.

use std::convert;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators};
use snafu::Snafu;

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
