//! Translation between HTTP and the types of a gateway.
//!
//! The headers of callers and targets differ between platforms. A platform
//! implements [`Dialect`] to translate them for a gateway, and [`EngineDialect`]
//! to translate the orders that a control replica sends to model engines.

use std::{fmt, net, time};

use bytes::Bytes;
use http_body_util::Full;

use super::carried;
use crate::{
    request::{gateway, refusal::Refusal},
    version::placer,
};

/// Request of a caller, as decoded from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller; empty if the caller gave no id.
    pub id: String,
    /// Host in the request; empty if there is none.
    pub host: String,
    /// API key of the caller.
    pub api_key: Option<Bytes>,
    /// How long the caller waits for the response.
    pub timeout: Option<time::Duration>,
    /// Event after which a stream is resumed.
    pub last_event_id: Option<u64>,
    /// Id of the request that began the stream, if this one resumes it.
    pub resumed_id: Option<String>,
    /// Present if the request is for a model engine.
    pub prompt: Option<gateway::Prompt>,
}

/// What a gateway adds to the headers of a request that it forwards.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'o> {
    /// Id of the target that the request is meant for.
    pub target: &'o str,
    /// Workspace that the request is for.
    pub workspace: Option<&'o str>,
    /// Time left until the deadline of the request.
    pub timeout: time::Duration,
    /// Priority among the requests at the target; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Event after which a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// Kind of a target's response, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Response to this request, which may be a client error.
    Answer,
    /// Error of the target; the request may have run.
    TargetError,
    /// The target did not run the request.
    Rejected,
    /// The target did not run the request because the request was meant for another
    /// target, or needs a model or adapter that the target does not hold.
    Misdirected,
    /// Response to another request, or without a request id.
    WrongRequest,
}

/// Translates requests and responses between HTTP and the types of a gateway.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the malformed part.
    fn parse_request(&self, head: &http::request::Parts) -> Result<CallerRequest, Refusal>;

    /// Builds the headers of a forwarded request from those of the caller.
    fn target_headers(
        &self,
        headers: &http::HeaderMap,
        context: &ForwardContext<'_>,
    ) -> http::HeaderMap;

    /// Classifies the response to the request with the id `id`. `reused` tells whether the
    /// connection carried an earlier response, of which a faulty target may send another copy.
    fn classify_response(
        &self,
        id: &str,
        head: &http::response::Parts,
        reused: bool,
    ) -> ResponseKind;

    /// Returns the name of the header in which a response names its request, in lowercase.
    fn id_header(&self) -> &'static str;

    /// Returns how many requests a second the target takes from all gateways together, if
    /// the response states that.
    fn stated_limit(&self, head: &http::response::Parts) -> Option<f64>;

    /// Returns how many requests a second the target can reject for lack of room without
    /// failing, if the response states that.
    fn rejection_limit(&self, head: &http::response::Parts) -> Option<f64>;

    /// Returns true if the response states that the target is leaving.
    fn states_leaving(&self, head: &http::response::Parts) -> bool;

    /// Returns for how long the target wants no request from this gateway, if the response is
    /// a rejection that states that.
    fn stated_pause(&self, head: &http::response::Parts) -> Option<time::Duration>;

    /// Returns how much longer the target is cold, zero if it is warm, if the response states that.
    fn stated_cold(&self, head: &http::response::Parts) -> Option<time::Duration>;

    /// Builds the status and headers of a response that refuses the request `id`.
    fn refusal_response(&self, id: &str, refusal: &Refusal) -> http::response::Parts;
}

/// Translates orders to model engines, and their responses, between HTTP and the
/// types of a control replica.
pub trait EngineDialect: fmt::Debug + Send + Sync + 'static {
    /// Builds the request that queries the state of a target.
    fn query_request(&self, address: net::SocketAddr) -> http::Request<Full<Bytes>>;

    /// Decodes the state of a target; `None` if the response is an error or malformed.
    fn parse_report(&self, status: http::StatusCode, body: &[u8]) -> Option<placer::TargetReport>;

    /// Builds the request that sends an order. `holder` names the replica that sends
    /// it.
    fn order_request(&self, order: &placer::Order, holder: &str) -> http::Request<Full<Bytes>>;

    /// Returns the kind of a response to a query or order. It must be [`carried::Answer::Report`]
    /// unless no report can look like the response.
    fn classify_answer(&self, status: http::StatusCode, body: &[u8]) -> carried::Answer;

    /// Decodes the outcome of an order.
    fn parse_outcome(&self, status: http::StatusCode) -> placer::Outcome;
}
