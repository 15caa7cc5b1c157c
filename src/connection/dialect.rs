//! The words that callers and targets of a gateway use.
//!
//! A gateway decides on decoded requests. How they are written on the wire
//! differs between platforms, so the translation is a trait: one of the few
//! edges of a process at which behaviour is open. The same holds for the orders
//! that a control replica gives to engines.

use std::{fmt, net, time};

use bytes::Bytes;
use http_body_util::Full;

use crate::{
    request::{gateway, refusal::Refusal},
    version::placer,
};

/// What a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller.
    pub id: String,
    /// Host that the caller named.
    pub host: String,
    /// Key that came with it.
    pub api_key: Option<Bytes>,
    /// How long the caller will wait.
    pub timeout: Option<time::Duration>,
    /// Event after which a stream goes on.
    pub last_event_id: Option<u64>,
    /// Present if it is for a model engine.
    pub prompt: Option<gateway::Prompt>,
}

/// What a target is told beyond what the caller wrote.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'o> {
    /// Identifies the target that is meant.
    pub target: &'o str,
    /// Workspace that the request is for.
    pub workspace: Option<&'o str>,
    /// How long the target may work on it.
    pub timeout: time::Duration,
    /// Rank among requests at the target; zero is the most urgent.
    pub priority: Option<u32>,
    /// Event after which a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// It answers this request.
    Answer,
    /// It answers this request with a failure of the target's own.
    TargetError,
    /// The target did not run the request.
    Rejected,
    /// The target did not run the request because it is not the one that was
    /// meant, or lacks what the request needs.
    Misdirected,
    /// It does not answer this request.
    WrongRequest,
}

/// Translates between the wire and a gateway's types.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names what is malformed.
    fn parse_request(&self, head: &http::request::Parts) -> Result<CallerRequest, Refusal>;

    /// Writes the headers that a target gets.
    fn target_headers(
        &self,
        headers: &http::HeaderMap,
        context: &ForwardContext<'_>,
    ) -> http::HeaderMap;

    /// Reads the head of the answer to the request with the id `id`.
    fn classify_response(&self, id: &str, head: &http::response::Parts) -> ResponseKind;

    /// Writes the status and headers of a refusal.
    fn refusal_response(&self, id: &str, refusal: &Refusal) -> http::response::Parts;
}

/// Translates between the wire and orders to model engines.
pub trait EngineDialect: fmt::Debug + Send + Sync + 'static {
    /// Writes the question for a target's state.
    fn query_request(&self, address: net::SocketAddr) -> http::Request<Full<Bytes>>;

    /// Reads a target's state; `None` if it does not read.
    fn parse_report(&self, status: http::StatusCode, body: &[u8]) -> Option<placer::TargetReport>;

    /// Writes an order of the holder with this name.
    fn order_request(&self, order: &placer::Order, holder: &str) -> http::Request<Full<Bytes>>;

    /// Reads what became of an order.
    fn parse_outcome(&self, status: http::StatusCode) -> placer::Outcome;
}
