//! What happens after a try has failed.
//!
//! Whether a request may be sent again follows from what is known about the try
//! before: it was never sent, the target states that it did not run it, or
//! nothing is known. In the last case it may have run, and only a request that
//! may run more than once is sent again.

use crate::{
    request::refusal::{Ran, Refusal},
    version::catalog,
};

/// Sends beyond a route's tries that rejected tries may be repeated for.
const MAX_EXTRA_REJECTED: u32 = 2;

/// Connections that may fail to open before a request is given up.
const MAX_NOT_SENT: u32 = 6;

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it was sent.
    NotSent,
    /// The target states that it did not run it.
    Rejected,
    /// The target states that it did not run it because it is not the one that
    /// was meant, or lacks what the request needs.
    Misdirected,
    /// It was sent, and no answer to it is known.
    Incomplete,
    /// The target answered that it failed.
    ErrorResponse,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another target, if the retry budget allows; else refuse as
    /// stated.
    RetryWithinBudget(Refusal),
    /// Send it to another target; nothing reached the one before.
    Retry,
    /// Give up.
    Refuse(Refusal),
}

/// The tries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Whether it may run more than once.
    repeatable: bool,
    /// Targets that it may run on.
    max_runs: u32,
    not_sent: u32,
    rejected: u32,
    /// Tries that may have run.
    may_have_run: u32,
}

impl Attempts {
    /// Starts without a try.
    #[must_use]
    pub fn new(route: &catalog::Route) -> Self {
        let repeatable = match route.effect {
            catalog::Effect::Idempotent => true,
            catalog::Effect::Once => false,
            catalog::Effect::Stream => route.resumable,
        };
        Self { repeatable, max_runs: route.tries.max(1), not_sent: 0, rejected: 0, may_have_run: 0 }
    }

    /// Returns how many tries reached a target.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.rejected + self.may_have_run
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn ran(&self) -> Ran {
        if self.may_have_run == 0 { Ran::No } else { Ran::Unknown }
    }

    /// Takes in a failed try.
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
