//! The replicated state machine: the view, the claims and the time of the log.

use serde::{Deserialize, Serialize};

use super::{claim, raft, view};

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Wall clock of the leader when it proposed the entry, in ms since the Unix
    /// epoch. Used only for retention periods and the time-out of trials.
    pub proposed_at: u64,
    /// Change of the replicated state.
    pub change: Change,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Changes the view.
    View(view::Command),
    /// Changes the claims.
    Claim(claim::Command),
    /// Starts the session of a gateway, which may then make claims.
    BeginSession(claim::Session),
    /// Ends the session of a gateway.
    EndSession(claim::Session),
}

/// Result of a log entry, the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is in force, now or since an earlier entry.
    Applied,
    /// The view refused the command and is unchanged.
    Refused(view::Error),
    /// Result of a claim command.
    Claim(claim::Outcome),
    /// The build could not decode the entry and skipped it. Only builds that speak no later
    /// version of the messages than 3 do that.
    Undecodable,
}

/// The replicated state after a log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied log entry.
    pub index: raft::Index,
    /// Largest `proposed_at` of the applied entries, in ms. It never decreases, even
    /// if the wall clock of a leader does.
    pub log_time: u64,
    /// The part that gateways have a copy of.
    pub view: view::View,
    /// Idempotency keys in use, with the responses kept for them.
    pub claims: claim::Claims,
}

impl State {
    /// Applies the log entry at `index`.
    pub fn apply(&mut self, index: raft::Index, command: &Command) -> Outcome {
        self.index = index;
        self.log_time = self.log_time.max(command.proposed_at);
        match &command.change {
            Change::View(change) => match self.view.apply(index, self.log_time, change) {
                Ok(()) => Outcome::Applied,
                Err(error) => Outcome::Refused(error),
            },
            Change::Claim(change) => Outcome::Claim(self.claims.apply(change, self.log_time)),
            Change::BeginSession(session) => {
                self.claims.begin_session(*session);
                Outcome::Applied
            }
            Change::EndSession(session) => {
                self.claims.end_session(*session);
                Outcome::Applied
            }
        }
    }
}
