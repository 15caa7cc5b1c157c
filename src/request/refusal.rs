//! Refusals and failures that callers are told about.
//!
//! Each of them states whether the request ran on a target and, where a
//! repeated request may succeed, how long to wait before sending it.
//! [`Ran::No`] is a guarantee: no target ran any part of the request. A refusal
//! is returned as soon as it is decided.

use std::{fmt, time};

use serde::Serialize;
use snafu::Snafu;

use crate::version::suspect;

/// Whether a request ran on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No target ran it or will run it.
    No,
    /// A target ran it, at least in part.
    Yes,
    /// A target may have run it.
    Unknown,
}

/// Why a stream can't be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamLoss {
    /// No control replica knows where it began.
    Unknown,
    /// No control replica answered where it began.
    Unanswered,
    /// The request does not name the one that began it, and targets of several software
    /// versions serve.
    Unnamed,
    /// Its route no longer leads to the service that began it.
    RouteChanged,
    /// No target that could do so has the software version that began it.
    NoTarget,
}

impl fmt::Display for StreamLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "it is not known where it began",
            Self::Unanswered => "the control replicas did not tell where it began",
            Self::Unnamed => "the request does not name the one that began it",
            Self::RouteChanged => "its route leads to another service now",
            Self::NoTarget => "no target of the software version that began it can take it",
        })
    }
}

/// Why a request got no response from a target.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The request is malformed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// Describes the problem.
        reason: String,
    },
    /// The body exceeds the size limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// In bytes.
        limit: usize,
    },
    /// The request carries no valid key.
    #[snafu(display("a valid key is needed"))]
    Unauthorized,
    /// The key is valid, but does not permit this request.
    #[snafu(display("the key does not open this"))]
    Forbidden,
    /// No route, model or administrative resource has this name.
    #[snafu(display("{resource} is not served here"))]
    NotFound {
        /// The requested path or name.
        resource: String,
    },
    /// The path does not support the method.
    #[snafu(display("the method is not taken here"))]
    MethodNotAllowed,
    /// The workspace has exceeded its rate limit.
    #[snafu(display("workspace {workspace} is over its rate and burst"))]
    RateLimited {
        /// Name of the workspace.
        workspace: String,
        /// `None` if the request needs more than the burst and can never be
        /// admitted.
        retry_after: Option<time::Duration>,
    },
    /// No target can start it early enough, or too many requests are waiting.
    #[snafu(display("there is no room for it in time"))]
    Overloaded {
        /// Time after which the request may be admitted.
        retry_after: time::Duration,
    },
    /// The request continues a stream, which is not possible now.
    #[snafu(display("the stream can't be continued: {reason}"))]
    StreamLost {
        /// What is missing.
        reason: StreamLoss,
    },
    /// No target is in a region in which it may be served.
    #[snafu(display("no target is in the regions in which the request may be served"))]
    NoHome {
        /// Whether a target may have run it before.
        ran: Ran,
    },
    /// All targets that could take it are in failure domains that are being evacuated.
    #[snafu(display(
        "the failure domains of all targets that could serve the request are being evacuated"
    ))]
    Evacuated {
        /// Whether a target may have run it before.
        ran: Ran,
    },
    /// The configuration of this gateway is missing or may be out of date.
    #[snafu(display("this instance has no current configuration"))]
    StaleConfiguration,
    /// The control replicas could not be reached or did not decide in time.
    #[snafu(display("the control replicas can't be reached"))]
    ControlUnavailable,
    /// This gateway is shutting down.
    #[snafu(display("this instance is stopping"))]
    Stopping,
    /// This request, or one like it, crashed several targets.
    #[snafu(display("this request crashed the targets that ran it"))]
    CrashesTargets,
    /// Other requests with the same content, or with a segment of its prompt, crashed
    /// several targets, so it is not sent to any.
    #[snafu(display("requests with the fingerprint {fingerprint} crashed several targets"))]
    Quarantined {
        /// Hash of what it has in common with those requests.
        fingerprint: suspect::Fingerprint,
    },
    /// No target that was tried gave a usable response.
    #[snafu(display("no target could answer it"))]
    TargetFailed {
        /// Whether one of the targets may have run it.
        ran: Ran,
    },
    /// No complete response arrived in time.
    #[snafu(display("the target took too long"))]
    Timeout {
        /// Whether the target ran it.
        ran: Ran,
    },
    /// The route requires an idempotency key, and the request has none.
    #[snafu(display("this route needs an Idempotency-Key"))]
    IdempotencyKeyRequired,
    /// Another call with the same idempotency key is running.
    #[snafu(display("a call with this Idempotency-Key is in progress"))]
    IdempotencyInProgress,
    /// An earlier call with this idempotency key may have run, so it is not
    /// repeated.
    #[snafu(display("the outcome of the call with this Idempotency-Key is unknown"))]
    OutcomeUnknown,
    /// The idempotency key was used for a call with another body.
    #[snafu(display("this Idempotency-Key was used for a call with another body"))]
    IdempotencyKeyReused,
    /// The call ran, but its response was too large to be stored for repeated
    /// calls.
    #[snafu(display("the call ran; its answer was too long to be kept"))]
    AnswerNotKept,
    /// The key was withdrawn while the request was running.
    #[snafu(display("the key was withdrawn"))]
    KeyWithdrawn,
}

/// Used where the time until a repeated request may succeed is not known.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Short, because another instance can take the request at once.
const STOPPING_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

impl Refusal {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> http::StatusCode {
        match self {
            Self::Invalid { .. } => http::StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthorized | Self::KeyWithdrawn => http::StatusCode::UNAUTHORIZED,
            Self::Forbidden => http::StatusCode::FORBIDDEN,
            Self::NotFound { .. } => http::StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => http::StatusCode::METHOD_NOT_ALLOWED,
            Self::RateLimited { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded { .. }
            | Self::StaleConfiguration
            | Self::ControlUnavailable
            | Self::Stopping
            | Self::Quarantined { .. }
            | Self::StreamLost { .. }
            | Self::Evacuated { .. }
            | Self::NoHome { .. }
            | Self::TargetFailed { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout { .. } => http::StatusCode::GATEWAY_TIMEOUT,
            Self::CrashesTargets | Self::IdempotencyKeyRequired | Self::IdempotencyKeyReused => {
                http::StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::IdempotencyInProgress | Self::OutcomeUnknown | Self::AnswerNotKept => {
                http::StatusCode::CONFLICT
            }
        }
    }

    /// Returns the error type, a fixed string for programs to match.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "invalid_request_error",
            Self::TooLarge { .. } => "request_too_large",
            Self::Unauthorized => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::NotFound { .. } => "not_found_error",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::RateLimited { .. } => "rate_limit_error",
            Self::Overloaded { .. } => "overloaded_error",
            Self::StreamLost { .. } => "stream_lost",
            Self::Evacuated { .. } => "evacuated",
            Self::NoHome { .. } => "no_target_in_regions",
            Self::StaleConfiguration => "stale_configuration",
            Self::ControlUnavailable => "control_unavailable",
            Self::Stopping => "stopping",
            Self::CrashesTargets => "request_crashes_targets",
            Self::Quarantined { .. } => "request_quarantined",
            Self::TargetFailed { .. } => "target_error",
            Self::Timeout { .. } => "timeout_error",
            Self::IdempotencyKeyRequired => "idempotency_key_required",
            Self::IdempotencyInProgress => "idempotency_in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::AnswerNotKept => "answer_not_kept",
            Self::KeyWithdrawn => "key_withdrawn",
        }
    }

    /// Returns whether the request ran on a target.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::CrashesTargets | Self::AnswerNotKept | Self::KeyWithdrawn => Ran::Yes,
            Self::IdempotencyInProgress | Self::OutcomeUnknown => Ran::Unknown,
            Self::TargetFailed { ran }
            | Self::Timeout { ran }
            | Self::Evacuated { ran }
            | Self::NoHome { ran } => *ran,
            _ => Ran::No,
        }
    }

    /// Returns how long the caller should wait before it sends the request
    /// again, or `None` if repeating it is of no use.
    #[must_use]
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::RateLimited { retry_after, .. } => *retry_after,
            Self::Overloaded { retry_after } => Some(*retry_after),
            Self::Stopping => Some(STOPPING_RETRY_AFTER),
            Self::StaleConfiguration
            | Self::StreamLost { .. }
            | Self::ControlUnavailable
            | Self::IdempotencyInProgress
            | Self::Evacuated { ran: Ran::No }
            | Self::NoHome { ran: Ran::No }
            | Self::TargetFailed { ran: Ran::No }
            | Self::Timeout { ran: Ran::No } => Some(DEFAULT_RETRY_AFTER),
            Self::CrashesTargets | Self::Quarantined { .. } => {
                Some(time::Duration::from_millis(suspect::RETENTION_MS))
            }
            _ => None,
        }
    }
}
