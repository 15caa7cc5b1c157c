//! Bodies of requests and answers.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited, combinators};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::request::refusal::Refusal;

/// How long a caller may take to send its body.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest answer that is read whole before it is passed on, in bytes.
pub(super) const WHOLE: usize = 1 << 20;

/// The answer broke off and its connection must not end as if it were whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct Broken;

/// Body of an answer.
pub(super) type Body = combinators::UnsyncBoxBody<Bytes, Broken>;

/// An answer.
pub(super) type Response = http::Response<Body>;

/// Makes a body of bytes.
pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: convert::Infallible| match never {}).boxed_unsync()
}

/// Reads a caller's body.
pub(super) async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge { limit }),
        Ok(Err(error)) => Err(Refusal::Invalid { reason: error.to_string() }),
        Err(_) => Err(Refusal::Invalid { reason: "the body took too long".into() }),
    }
}
