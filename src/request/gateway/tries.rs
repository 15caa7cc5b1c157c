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
const REJECTED: u32 = 2;

/// Connections that may fail to open before a request is given up.
const UNREACHED: u32 = 6;

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it was sent.
    Unreached,
    /// The target states that it did not run it.
    Rejected,
    /// The target states that it did not run it because it is not the one that
    /// was meant, or lacks what the request needs.
    Misdirected,
    /// It was sent, and no answer to it is known.
    Broken,
    /// The target answered that it failed.
    Failed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another target, if the retry budget allows; else refuse as
    /// stated.
    Again(Refusal),
    /// Send it to another target; nothing reached the one before.
    Elsewhere,
    /// Give up.
    Refuse(Refusal),
}

/// The tries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tries {
    /// Whether it may run more than once.
    repeatable: bool,
    /// Targets that it may run on.
    most: u32,
    unreached: u32,
    rejected: u32,
    /// Tries that may have run.
    ran: u32,
}

impl Tries {
    /// Starts without a try.
    #[must_use]
    pub fn new(route: &catalog::Route) -> Self {
        let repeatable = match route.effect {
            catalog::Effect::Idempotent => true,
            catalog::Effect::Once => false,
            catalog::Effect::Stream => route.resumable,
        };
        Self { repeatable, most: route.tries.max(1), unreached: 0, rejected: 0, ran: 0 }
    }

    /// Returns how many tries reached a target.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.rejected + self.ran
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn ran(&self) -> Ran {
        if self.ran == 0 { Ran::No } else { Ran::Unknown }
    }

    /// Takes in a failed try.
    pub fn failed(&mut self, failure: Failure) -> Next {
        match failure {
            Failure::Unreached => {
                self.unreached += 1;
                if self.unreached < UNREACHED {
                    return Next::Elsewhere;
                }
            }
            Failure::Rejected | Failure::Misdirected => {
                self.rejected += 1;
                if self.rejected + self.ran < self.most + REJECTED {
                    return Next::Again(self.refusal());
                }
            }
            Failure::Broken | Failure::Failed => {
                self.ran += 1;
                if self.repeatable && self.ran < self.most {
                    return Next::Again(self.refusal());
                }
            }
        }
        Next::Refuse(self.refusal())
    }

    fn refusal(&self) -> Refusal {
        Refusal::TargetFailed { ran: self.ran() }
    }
}
