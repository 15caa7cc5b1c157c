//! The replicated state machine: the view, the claims and the time of the log.

use std::sync;

use serde::{Deserialize, Serialize};

use super::{
    catalog::{self, attributes::Attributes},
    claim, raft,
    supplement::Supplement,
    view,
};

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
        /// Log index up to which the proposer knew all changes after the operator had asked. The
        /// command is refused if it contradicts a later change of the domain, as it may be a late
        /// duplicate.
        known_at: raft::Index,
    },
    /// Puts a catalog in force that has later fields. Has no effect if its version is not higher
    /// than that of the catalog in force.
    PutCatalog {
        /// The catalog, encoded without these fields.
        catalog: sync::Arc<catalog::Catalog>,
        /// The fields.
        attributes: Attributes,
    },
}

impl Change {
    /// Returns the change that puts a catalog in force.
    #[must_use]
    pub fn catalog(catalog: catalog::Catalog) -> Self {
        let attributes = Attributes::of(&catalog);
        let catalog = sync::Arc::new(catalog);
        if attributes.is_empty() {
            return Self::View(view::Command::PutCatalog(catalog));
        }
        Self::PutCatalog { catalog, attributes }
    }

    /// Returns the change that earlier builds can apply in place of this one, which leaves the
    /// later fields out; `None` if there is none.
    #[must_use]
    pub fn without_attributes(&self) -> Option<Self> {
        let Self::PutCatalog { catalog, .. } = self else {
            return None;
        };
        Some(Self::View(view::Command::PutCatalog(catalog.clone())))
    }

    /// Returns the command that has the same effect on the encoded part of the view, if any.
    #[must_use]
    pub fn into_view_command(self) -> Option<view::Command> {
        match self {
            Self::View(command) => Some(command),
            Self::PutCatalog { catalog, .. } => Some(view::Command::PutCatalog(catalog)),
            Self::Claim(_)
            | Self::BeginSession(_)
            | Self::EndSession(_)
            | Self::Evacuation { .. } => None,
        }
    }

    fn may_change_supplement(&self) -> bool {
        match self {
            Self::View(view::Command::PutCatalog(_))
            | Self::Evacuation { .. }
            | Self::PutCatalog { .. } => true,
            Self::View(_) | Self::Claim(_) | Self::BeginSession(_) | Self::EndSession(_) => false,
        }
    }

    /// Returns the first version of the message format whose builds can apply this change.
    #[must_use]
    pub fn since(&self) -> u32 {
        match self {
            Self::Evacuation { .. } | Self::PutCatalog { .. } => 7,
            Self::View(_) | Self::Claim(_) | Self::BeginSession(_) | Self::EndSession(_) => 2,
        }
    }
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
    /// Log index of the latest change of the [`Supplement`]. Like that, it is not part of the
    /// encoding, which earlier builds read, but follows it in a snapshot.
    #[serde(skip)]
    pub supplemented_at: raft::Index,
}

impl State {
    /// Applies the log entry at `index`.
    pub fn apply(&mut self, index: raft::Index, command: &Command) -> Outcome {
        self.index = index;
        self.log_time = self.log_time.max(command.proposed_at);
        let may_change = command.change.may_change_supplement();
        let before = may_change.then(|| self.supplement());
        let outcome = self.apply_change(index, &command.change);
        if before.is_some_and(|before| before != self.supplement()) {
            self.supplemented_at = index;
        }
        outcome
    }

    fn apply_change(&mut self, index: raft::Index, change: &Change) -> Outcome {
        match change {
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
            Change::Evacuation { domain, begins, known_at } => {
                match self.evacuate(index, domain, *begins, *known_at) {
                    Ok(()) => Outcome::Applied,
                    Err(error) => Outcome::Refused(error),
                }
            }
            Change::PutCatalog { catalog, attributes } => {
                let mut catalog = catalog::Catalog::clone(catalog);
                attributes.apply(&mut catalog);
                let command = view::Command::PutCatalog(sync::Arc::new(catalog));
                match self.view.apply(index, self.log_time, &command) {
                    Ok(()) => Outcome::Applied,
                    Err(error) => Outcome::Refused(error),
                }
            }
        }
    }

    /// Returns the later parts of the view.
    #[must_use]
    pub fn supplement(&self) -> Supplement {
        Supplement::of(&self.view, self.supplemented_at)
    }

    /// Returns the later parts of the view if they have changed after the log entry at `index`.
    #[must_use]
    pub fn supplement_after(&self, index: raft::Index) -> Option<Supplement> {
        (self.supplemented_at > index).then(|| self.supplement())
    }

    fn evacuate(
        &mut self,
        index: raft::Index,
        domain: &str,
        begins: bool,
        known_at: raft::Index,
    ) -> Result<(), view::Error> {
        let evacuations = self.view.evacuations_mut();
        if evacuations.contains(domain) == begins {
            return Ok(());
        }
        if evacuations.changed_at(domain) > known_at {
            return Err(view::Error::EvacuationSuperseded { domain: domain.to_owned() });
        }
        if !begins {
            evacuations.finish(domain, index);
        } else if !evacuations.begin(domain, index) {
            return Err(view::Error::EvacuationRefused { domain: domain.to_owned() });
        }
        Ok(())
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        let supplement = self.supplement();
        if supplement == Supplement::default() {
            return Ok(bytes);
        }
        postcard::to_extend(&supplement, bytes)
    }

    /// Decodes the state in a snapshot, which may be that of an earlier build.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            let supplement: Supplement = postcard::from_bytes(rest)?;
            supplement.apply(&mut state.view);
            state.supplemented_at = supplement.changed_at;
        }
        Ok(state)
    }
}
