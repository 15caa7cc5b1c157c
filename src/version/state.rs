//! The replicated state machine: the view, the claims and the time of the log.

use serde::{Deserialize, Serialize};

use super::{claim, evacuation, raft, view};

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
    /// Begins or ends the evacuation of a failure domain.
    Evacuation {
        /// Name of the failure domain.
        domain: String,
        /// Whether the evacuation begins.
        begins: bool,
    },
}

impl Change {
    /// Returns the first version of the message format whose builds can apply this change.
    #[must_use]
    pub fn since(&self) -> u32 {
        match self {
            Self::Evacuation { .. } => 7,
            Self::View(_) | Self::Claim(_) | Self::BeginSession(_) | Self::EndSession(_) => 2,
        }
    }
}

/// The parts of the state that were added after the encoding of [`State`] was fixed. They
/// follow it in a snapshot, where earlier builds do not read them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Appendix {
    evacuations: evacuation::Evacuations,
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
            Change::Evacuation { domain, begins } => self.evacuate(index, domain, *begins),
        }
    }

    fn evacuate(&mut self, index: raft::Index, domain: &str, begins: bool) -> Outcome {
        let evacuations = self.view.evacuations_mut();
        if !begins {
            evacuations.finish(domain, index);
            return Outcome::Applied;
        }
        if evacuations.begin(domain, index) {
            Outcome::Applied
        } else {
            Outcome::Refused(view::Error::EvacuationRefused { domain: domain.to_owned() })
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        let appendix = Appendix { evacuations: self.view.evacuations().clone() };
        if appendix == Appendix::default() {
            return Ok(bytes);
        }
        postcard::to_extend(&appendix, bytes)
    }

    /// Decodes the state in a snapshot, which may be that of an earlier build.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            let appendix: Appendix = postcard::from_bytes(rest)?;
            *state.view.evacuations_mut() = appendix.evacuations;
        }
        Ok(state)
    }
}
