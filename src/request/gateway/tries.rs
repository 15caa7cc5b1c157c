//! Retry policy: whether a request is sent again after a failed attempt.
//!
//! An attempt was not sent, or the target states that it did not run the
//! request, or the outcome is unknown. In the last case the request may have
//! run, and it is sent again only if it may run more than once.

use crate::{
    request::refusal::{Ran, Refusal},
    version::catalog,
};

/// Attempts that targets may reject in addition to the route's number of
/// attempts.
const MAX_EXTRA_REJECTED: u32 = 2;

/// The request is refused when this many attempts could not be sent.
const MAX_NOT_SENT: u32 = 6;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No part of the request was sent.
    NotSent,
    /// The target states that it did not run the request.
    Rejected,
    /// The target states that it did not run the request, which was meant for
    /// another target or needs a model or adapter that this one lacks.
    Misdirected,
    /// The request was sent, and no complete response arrived.
    Incomplete,
    /// The target responded with an error.
    ErrorResponse,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request again if the retry budget allows it, else give up with
    /// this refusal.
    RetryWithinBudget(Refusal),
    /// Send the request again without using the retry budget, because no part
    /// of it was sent.
    Retry,
    /// Give up.
    Refuse(Refusal),
}

/// Failed attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempts {
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Largest number of attempts that may run the request.
    max_runs: u32,
    not_sent: u32,
    rejected: u32,
    /// Attempts of which the outcome is unknown, and those with an error
    /// response.
    may_have_run: u32,
}

impl FailedAttempts {
    /// Creates the state before the first attempt.
    #[must_use]
    pub fn new(route: &catalog::Route) -> Self {
        let repeatable = match route.kind {
            catalog::RouteKind::Idempotent => true,
            catalog::RouteKind::NonIdempotent => false,
            catalog::RouteKind::Streaming => route.resumable,
        };
        Self {
            repeatable,
            max_runs: route.max_attempts.max(1),
            not_sent: 0,
            rejected: 0,
            may_have_run: 0,
        }
    }

    /// Returns how many failed attempts reached a target.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.rejected + self.may_have_run
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn ran(&self) -> Ran {
        if self.may_have_run == 0 { Ran::No } else { Ran::Unknown }
    }

    /// Records a failed attempt and returns what follows.
    pub fn record_failure(&mut self, failure: Failure) -> Next {
        match failure {
            Failure::NotSent => {
                self.not_sent += 1;
                if self.not_sent < MAX_NOT_SENT {
                    return Next::Retry;
                }
            }
            Failure::Rejected | Failure::Misdirected => {
                self.rejected += 1;
                if self.rejected + self.may_have_run < self.max_runs + MAX_EXTRA_REJECTED {
                    return Next::RetryWithinBudget(self.refusal());
                }
            }
            Failure::Incomplete | Failure::ErrorResponse => {
                self.may_have_run += 1;
                if self.repeatable && self.may_have_run < self.max_runs {
                    return Next::RetryWithinBudget(self.refusal());
                }
            }
        }
        Next::Refuse(self.refusal())
    }

    fn refusal(&self) -> Refusal {
        Refusal::TargetFailed { ran: self.ran() }
    }
}
