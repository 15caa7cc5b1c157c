//! Counts of the calls to the leader, for the log.

use super::{Error, Reply};

/// Calls since the counts were taken last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls to the leader.
    pub calls: u64,
    /// Attempts to reach it, probes included. Each is a call to one replica.
    pub attempts: u64,
    /// Attempts that were answered with "not the leader".
    pub redirected: u64,
    /// Attempts without an answer, and those that could not be sent.
    pub unanswered: u64,
}

impl CallCounts {
    pub(super) fn record(&mut self, result: &Result<Reply, Error>) {
        self.attempts += 1;
        match result {
            Ok(Reply::NotLeader { .. }) => self.redirected += 1,
            Err(Error::Unavailable | Error::OutcomeUnknown) => self.unanswered += 1,
            Ok(_) | Err(Error::Unsupported) => {}
        }
    }
}
