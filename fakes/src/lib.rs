//! Fake targets for tests, benchmarks and examples: a model engine and a plain
//! service.
//!
//! Each fake implements the interface of its kind of target and counts what
//! tests check: the peak memory in use, how often a call ran, and how many
//! requests contained a key of the system. The fakes share no code with the
//! system.

pub mod announce;
pub mod engine;
mod server;
pub mod service;
