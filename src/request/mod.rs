//! Handling of a single request: rate limits, admission, scheduling, choice of a
//! target, retries, and forwarding of headers and streams.

pub mod gateway;
pub mod headers;
pub mod limit;
pub mod refusal;
pub mod retry;
pub mod schedule;
pub mod sse;
pub mod stage;
