//! The replicated state machine: the view, the claims and the log's clock.

use serde::{Deserialize, Serialize};

use super::{claim, raft, view};

/// A command as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Wall clock of the leader that proposed it, in ms. Only used for
    /// horizons; the log's time never goes back.
    pub proposed_at: u64,
    /// What to do.
    pub change: Change,
}

/// The kinds of command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Changes what entries hold a copy of.
    View(view::Command),
    /// Changes the claims.
    Claim(claim::Command),
    /// Admits an entry's session.
    BeginSession(claim::Session),
    /// Ends an entry's session.
    EndSession(claim::Session),
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The view changed, or held this already.
    Applied,
    /// The view refused it.
    Refused(view::Error),
    /// What became of a claim.
    Claim(claim::Outcome),
    /// The entry in the log could not be decoded by this version.
    Undecodable,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last entry applied.
    pub index: raft::Index,
    /// Latest time of the log, in ms.
    pub log_time: u64,
    /// What entries hold a copy of.
    pub view: view::View,
    /// The claims.
    pub claims: claim::Claims,
}

impl State {
    /// Applies the command at `index`.
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
