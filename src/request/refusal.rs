//! Refusals and failures, as callers see them.
//!
//! Each says whether the request ran. `No` is a promise: no byte of it went to
//! a target. A refusal is given as soon as it is decided, and says when coming
//! back makes sense.

use std::time;

use serde::Serialize;
use snafu::Snafu;

/// Whether a request ran on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not, and will not.
    No,
    /// It did, at least in part.
    Yes,
    /// It may have.
    Unknown,
}

/// Why a request was not answered by a target.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The request is malformed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// The body is larger than accepted.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Largest body, in bytes.
        limit: usize,
    },
    /// No valid key came with it.
    #[snafu(display("a valid key is needed"))]
    Unauthorized,
    /// The key does not open this.
    #[snafu(display("the key does not open this"))]
    Forbidden,
    /// Nothing is served there.
    #[snafu(display("{what} is not served here"))]
    NotFound {
        /// What was asked for.
        what: String,
    },
    /// The path does not take the method.
    #[snafu(display("the method is not taken here"))]
    Method,
    /// The workspace is over its rate.
    #[snafu(display("workspace {workspace} is over its rate and burst"))]
    Rate {
        /// The workspace.
        workspace: String,
        /// When to come back; `None` if it can never fit the burst.
        wait: Option<time::Duration>,
    },
    /// It can't start before its deadline, or too many requests wait already.
    #[snafu(display("there is no room for it in time"))]
    Overloaded {
        /// When to come back.
        wait: time::Duration,
    },
    /// This entry can't prove that its configuration is current.
    #[snafu(display("this instance has no current configuration"))]
    Stale,
    /// The control replicas can't be reached.
    #[snafu(display("the control replicas can't be reached"))]
    NoControl,
    /// The entry is stopping.
    #[snafu(display("this instance is stopping"))]
    Stopping,
    /// A request like this crashed several targets.
    #[snafu(display("this request crashed the targets that ran it"))]
    Crashes,
    /// The targets that it was sent to could not answer it.
    #[snafu(display("no target could answer it"))]
    Target {
        /// Whether one may have run it.
        ran: Ran,
    },
    /// A target took too long.
    #[snafu(display("the target took too long"))]
    Timeout {
        /// Whether it ran.
        ran: Ran,
    },
    /// A call that may not be repeated came without an idempotency key.
    #[snafu(display("this route needs an Idempotency-Key"))]
    KeyNeeded,
    /// Another attempt with the same idempotency key is running.
    #[snafu(display("a call with this Idempotency-Key is in progress"))]
    InProgress,
    /// A call with this idempotency key may have run, and is not repeated.
    #[snafu(display("the outcome of the call with this Idempotency-Key is unknown"))]
    OutcomeUnknown,
    /// The idempotency key was used for another body.
    #[snafu(display("this Idempotency-Key was used for a call with another body"))]
    KeyReused,
    /// It ran, but the answer was too long to be kept for a repeated call.
    #[snafu(display("the call ran; its answer was too long to be kept"))]
    AnswerGone,
    /// The key was withdrawn while the request ran.
    #[snafu(display("the key was withdrawn"))]
    Withdrawn,
}

/// How long a caller should stay away when nothing better is known.
const DEFAULT_WAIT: time::Duration = time::Duration::from_secs(1);

/// How long a caller should stay away from an instance that stops. Another one
/// takes the request at once.
const ELSEWHERE_WAIT: time::Duration = time::Duration::from_millis(100);

impl Refusal {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> http::StatusCode {
        match self {
            Self::Invalid { .. } => http::StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthorized | Self::Withdrawn => http::StatusCode::UNAUTHORIZED,
            Self::Forbidden => http::StatusCode::FORBIDDEN,
            Self::NotFound { .. } => http::StatusCode::NOT_FOUND,
            Self::Method => http::StatusCode::METHOD_NOT_ALLOWED,
            Self::Rate { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded { .. }
            | Self::Stale
            | Self::NoControl
            | Self::Stopping
            | Self::Target { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout { .. } => http::StatusCode::GATEWAY_TIMEOUT,
            Self::Crashes | Self::KeyNeeded | Self::KeyReused => {
                http::StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::InProgress | Self::OutcomeUnknown | Self::AnswerGone => {
                http::StatusCode::CONFLICT
            }
        }
    }

    /// Returns the type that programs match on.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "invalid_request_error",
            Self::TooLarge { .. } => "request_too_large",
            Self::Unauthorized => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::NotFound { .. } => "not_found_error",
            Self::Method => "method_not_allowed",
            Self::Rate { .. } => "rate_limit_error",
            Self::Overloaded { .. } => "overloaded_error",
            Self::Stale => "stale_configuration",
            Self::NoControl => "control_unavailable",
            Self::Stopping => "stopping",
            Self::Crashes => "request_crashes_targets",
            Self::Target { .. } => "target_error",
            Self::Timeout { .. } => "timeout_error",
            Self::KeyNeeded => "idempotency_key_required",
            Self::InProgress => "idempotency_in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyReused => "idempotency_key_reused",
            Self::AnswerGone => "answer_not_kept",
            Self::Withdrawn => "key_withdrawn",
        }
    }

    /// Returns whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Crashes | Self::AnswerGone | Self::Withdrawn => Ran::Yes,
            Self::InProgress | Self::OutcomeUnknown => Ran::Unknown,
            Self::Target { ran } | Self::Timeout { ran } => *ran,
            _ => Ran::No,
        }
    }

    /// Returns when coming back makes sense, if it does.
    #[must_use]
    pub fn wait(&self) -> Option<time::Duration> {
        match self {
            Self::Rate { wait, .. } => *wait,
            Self::Overloaded { wait } => Some(*wait),
            Self::Stopping => Some(ELSEWHERE_WAIT),
            Self::Stale
            | Self::NoControl
            | Self::InProgress
            | Self::Target { ran: Ran::No }
            | Self::Timeout { ran: Ran::No } => Some(DEFAULT_WAIT),
            Self::Crashes => {
                Some(time::Duration::from_millis(crate::version::suspect::RETENTION_MS))
            }
            _ => None,
        }
    }
}
