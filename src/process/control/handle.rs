//! What an outside interface may ask of a running control daemon.

use std::{sync, time};

use snafu::Snafu;

use crate::{
    connection::{control, peer},
    process::{
        metrics,
        replica::{Decision, Replica},
    },
    version::{catalog, directory, raft, state, view},
};

use super::{mesh::Mesh, soft::Soft};

/// How long a change may take to be decided, all tries together.
const DECIDE: time::Duration = time::Duration::from_millis(2_500);

/// Pause before a change is proposed again.
const AGAIN: time::Duration = time::Duration::from_millis(50);

/// Why a question has no answer now; asking again later or elsewhere may help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unavailable {
    /// No replica can prove that it leads.
    #[snafu(display("no replica can prove that it leads"))]
    NoLeader,
    /// Too few replicas hold the log to bear the losses that must be borne.
    #[snafu(display("too few replicas hold the log to bear the stated losses"))]
    TooFew,
    /// It may or may not be decided later.
    #[snafu(display("the outcome is not known"))]
    Unknown,
}

/// Why a catalog was not put in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigureError {
    /// It is not valid.
    #[snafu(display("{source}"))]
    Invalid {
        /// Why.
        source: view::Error,
    },
    /// It could not be decided.
    #[snafu(display("{source}"))]
    Undecided {
        /// Why.
        source: Unavailable,
    },
}

/// A handle to a control daemon.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) id: raft::NodeId,
    pub(super) replica: Replica,
    pub(super) soft: sync::Arc<Soft>,
    pub(super) mesh: sync::Arc<Mesh>,
    pub(super) caller: sync::Arc<control::Client>,
    /// Copies that may be lost at once.
    pub(super) losses: usize,
    pub(super) metrics: sync::Arc<metrics::Replica>,
}

impl Handle {
    /// Takes in an announcement and tells the other replicas.
    pub fn announce(&self, announced: directory::AnnouncedTarget) {
        self.spread(&peer::Gossip::TargetAnnounced(announced));
    }

    /// Takes in that a target leaves and tells the other replicas.
    pub fn depart(&self, id: &str, incarnation: Option<u64>) {
        self.spread(&peer::Gossip::Leaving { id: id.to_owned(), incarnation });
    }

    /// Names other replicas to ask for a place in the group.
    pub fn set_peers(&self, peers: Vec<raft::NodeId>) {
        self.caller.set_replicas(&peers);
        self.replica.set_peers(peers);
    }

    /// Puts a catalog in force, unless its version is not higher than that of
    /// the one in force. Whichever is the case, it is durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error if the catalog is invalid, or if it is not known to be
    /// durable. In the latter case it may be in force all the same.
    pub async fn configure(&self, catalog: catalog::Catalog) -> Result<(), ConfigureError> {
        let configured = self.put_in_force(catalog).await;
        self.metrics.record_catalog(match &configured {
            Ok(()) => "in force",
            Err(ConfigureError::Invalid { .. }) => "invalid",
            Err(ConfigureError::Undecided { .. }) => "undecided",
        });
        configured
    }

    async fn put_in_force(&self, catalog: catalog::Catalog) -> Result<(), ConfigureError> {
        catalog.check().map_err(|source| ConfigureError::Invalid {
            source: view::Error::Catalog { source },
        })?;
        let members = self.replica.members();
        if members.voters.is_empty() {
            return Err(ConfigureError::Undecided { source: Unavailable::NoLeader });
        }
        if members.quorum() <= self.losses {
            return Err(ConfigureError::Undecided { source: Unavailable::TooFew });
        }
        let command = view::Command::Configure(sync::Arc::new(catalog));
        match self.decide(state::Change::View(command)).await {
            Ok(state::Outcome::Refused(source)) => Err(ConfigureError::Invalid { source }),
            Ok(_) => Ok(()),
            Err(source) => Err(ConfigureError::Undecided { source }),
        }
    }

    /// Returns the catalog in force, which is at least as new as any that was
    /// put in force before this call.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica can't be sure that it is the newest.
    pub async fn catalog(&self) -> Result<Option<sync::Arc<catalog::Catalog>>, Unavailable> {
        let index = self.replica.look(|state| state.index);
        self.replica.poll(index).await.ok_or(Unavailable::NoLeader)?;
        Ok(self.replica.look(|state| state.view.catalog().cloned()))
    }

    /// Describes the replica.
    #[must_use]
    pub fn status(&self) -> peer::Status {
        self.replica.status()
    }

    fn spread(&self, gossip: &peer::Gossip) {
        if self.soft.hear(self.id, gossip.clone()) {
            self.tell(gossip);
        }
    }

    /// Tells every other replica.
    pub(super) fn tell(&self, gossip: &peer::Gossip) {
        for to in self.replica.members().others(self.id) {
            let body = peer::Body::Gossip { from: self.id, gossip: gossip.clone() };
            self.mesh.send(to, body);
        }
    }

    /// Has an idempotent change decided, here or by the leader.
    async fn decide(&self, change: state::Change) -> Result<state::Outcome, Unavailable> {
        let deadline = time::Instant::now() + DECIDE;
        let mut failure = Unavailable::NoLeader;
        while time::Instant::now() < deadline {
            match self.replica.propose(change.clone()).await {
                Decision::Decided { outcome, .. } => return Ok(outcome),
                Decision::NotLeader { leader: Some(_) } => {
                    let call = peer::Call::Propose(change.clone());
                    if let Ok(peer::Reply::Committed { outcome, .. }) =
                        self.caller.call_leader(&call, deadline).await
                    {
                        return Ok(outcome);
                    }
                    failure = Unavailable::Unknown;
                }
                Decision::NotLeader { leader: None } => {}
                Decision::Lost => failure = Unavailable::Unknown,
            }
            tokio::time::sleep(AGAIN).await;
        }
        Err(failure)
    }
}
