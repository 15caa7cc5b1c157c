//! Operators' requests to evacuate failure domains.
//!
//! A request is acknowledged once it is committed by a group that survives the stated losses, as
//! a catalog is. Operators send it again until then, also to other replicas, and the log may
//! hold it several times. Before it is proposed, the replica catches up with the log, so that an
//! attempt that is committed late does not undo what operators have asked for since.

use std::time;

use snafu::Snafu;

use crate::version::{directory, raft, state, view};

use super::handle::{COMMIT_TIMEOUT, Handle, RETRY_DELAY, Unavailable};

/// Time after the start of a replica by which all targets have announced themselves. Until then
/// some failure domains may be unknown.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(3);

/// Why an evacuation is not known to be begun or ended.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EvacuationError {
    /// No target and no instance is known to be in a failure domain of this name.
    #[snafu(display("failure domain {domain} is not known"))]
    UnknownDomain {
        /// Name of the failure domain.
        domain: String,
    },
    /// The command was refused.
    #[snafu(display("{source}"))]
    Refused {
        /// Reason.
        source: view::Error,
    },
    /// Another command changed the evacuation after this one was received. Retrying is safe.
    #[snafu(display("{source}"))]
    Superseded {
        /// Reason.
        source: view::Error,
    },
    /// The change is not known to be committed. After [`Unavailable::OutcomeUnknown`] it may be
    /// committed nevertheless.
    #[snafu(display("{source}"))]
    Undecided {
        /// Reason at the last attempt.
        source: Unavailable,
    },
}

impl Handle {
    /// Begins or ends the evacuation of a failure domain. What is so already is acknowledged
    /// again. The change is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the domain is not known, or if the change is not known to be
    /// committed. In the latter case it may be committed nevertheless.
    pub async fn evacuate(&self, domain: &str, begins: bool) -> Result<(), EvacuationError> {
        let started = time::Instant::now();
        let result = self.commit_evacuation(domain, begins).await;
        let outcome = match &result {
            Ok(()) => "acknowledged",
            Err(EvacuationError::UnknownDomain { .. }) => "unknown",
            Err(EvacuationError::Refused { .. }) => "refused",
            Err(EvacuationError::Superseded { .. }) => "superseded",
            Err(EvacuationError::Undecided { .. }) => "undecided",
        };
        self.metrics.record_evacuation(if begins { "begin" } else { "finish" }, outcome);
        spdlog::info!("evacuation request answered", kv: {
            domain = domain,
            begins = begins,
            outcome = outcome,
            reason = result.as_ref().err().map(ToString::to_string).unwrap_or_default().as_str(),
            took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
        });
        result
    }

    async fn commit_evacuation(&self, domain: &str, begins: bool) -> Result<(), EvacuationError> {
        let undecided = |source| EvacuationError::Undecided { source };
        self.check_domain(domain)?;
        self.check_members().map_err(undecided)?;
        let known_at = self.caught_up_at().await.map_err(undecided)?;
        let change = state::Change::Evacuation { domain: domain.to_owned(), begins, known_at };
        match self.commit(change).await {
            Ok(state::Outcome::Refused(source @ view::Error::EvacuationSuperseded { .. })) => {
                Err(EvacuationError::Superseded { source })
            }
            Ok(state::Outcome::Refused(source)) => Err(EvacuationError::Refused { source }),
            // A voter may have been removed before the entry was committed.
            Ok(_) => self.check_members().map_err(undecided),
            Err(source) => Err(undecided(source)),
        }
    }

    /// Returns the failure domains being evacuated, each with the log index of its begin. The
    /// read is linearizable, as that of [`Self::catalog`].
    ///
    /// # Errors
    ///
    /// Returns an error if no leader confirmed the read.
    pub async fn evacuations(&self) -> Result<Vec<(String, raft::Index)>, Unavailable> {
        self.replica.catch_up().await.ok_or(Unavailable::NoLeader)?;
        Ok(self.replica.read_state(|state| {
            let domains = state.view.evacuations().domains();
            domains.map(|(domain, index)| (domain.to_owned(), index)).collect()
        }))
    }

    /// Catches up with the log, in several attempts if no leader answers, and returns the index
    /// up to which all changes are known here.
    async fn caught_up_at(&self) -> Result<raft::Index, Unavailable> {
        let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
        loop {
            let read = tokio::time::timeout_at(deadline, self.replica.catch_up()).await;
            match read {
                Ok(Some(index)) => return Ok(index),
                Ok(None) if tokio::time::Instant::now() < deadline => {}
                _ => return Err(Unavailable::NoLeader),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn check_domain(&self, domain: &str) -> Result<(), EvacuationError> {
        if self.knows_domain(domain) {
            return Ok(());
        }
        let is_learning = self.started.elapsed() < LEARNING_TIME || !self.knows_targets();
        Err(if self.domains.is_empty() && is_learning {
            EvacuationError::Undecided { source: Unavailable::UnknownDomains }
        } else {
            EvacuationError::UnknownDomain { domain: domain.to_owned() }
        })
    }

    fn knows_domain(&self, domain: &str) -> bool {
        let configured = self.domains.iter().any(|known| known == domain);
        let of_target = |directory: &directory::Directory| {
            directory.targets().any(|target| target.domain == domain)
        };
        configured
            || *self.domain == *domain
            || self.soft_state.read(|directory, _, _| of_target(directory))
            || self.replica.read_state(|state| {
                let mut targets = state.view.targets().values();
                let was_evacuated = state.view.evacuations().changed_at(domain) > 0;
                was_evacuated || targets.any(|t| t.domain == domain)
            })
    }

    fn knows_targets(&self) -> bool {
        self.soft_state.read(|directory, _, _| directory.targets().next().is_some())
            || self.replica.read_state(|state| !state.view.targets().is_empty())
    }
}
