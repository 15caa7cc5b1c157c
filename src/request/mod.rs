//! What lives as long as a request: its limit, its place in a queue, its
//! target, its retries and its answer.

pub mod gateway;
pub mod headers;
pub mod limit;
pub mod refusal;
pub mod retry;
pub mod schedule;
pub mod sse;
