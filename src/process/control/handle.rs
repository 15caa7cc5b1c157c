//! A handle to a running control replica, for interfaces to operators and targets.

use std::{sync, time};

use snafu::Snafu;

use crate::{
    connection::{control, peer},
    process::{
        metrics,
        replica::{ProposalResult, Replica},
    },
    version::{catalog, directory, lead, raft, state, view},
};

use super::{
    PROCESS_PREFIX, connected,
    departure::DepartureStore,
    mesh::Mesh,
    soft::{self, SoftState},
    work::{Work, WorkLog},
};

/// Time limit for a change to be committed, with all attempts to propose it.
pub(super) const COMMIT_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Time limit for one proposal at the leader. It may be suspended.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Delay before a change is proposed again.
pub(super) const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Version of the message format with differences of traffic and batches of announcements.
const DIFFERENCES_SINCE: u32 = 7;

/// Why a request can't be served now. It may succeed later or at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unavailable {
    /// No replica is known to lead, or none holds a valid lease.
    #[snafu(display("no replica can prove that it leads"))]
    NoLeader,
    /// The group has too few voters: after the losses to be tolerated, a committed
    /// entry might be lost, or the rest would be no majority.
    #[snafu(display("too few replicas hold the log to bear the stated losses"))]
    TooFewReplicas,
    /// This replica has just started, or no target has announced itself yet, and the settings name
    /// no failure domains.
    #[snafu(display("the failure domains are not known here yet"))]
    UnknownDomains,
    /// A change was proposed, and it may or may not be committed.
    #[snafu(display("the outcome is not known"))]
    OutcomeUnknown,
    /// This replica is cut off from the others, which would not hear of the target.
    #[snafu(display("this replica is cut off from the others; announce to another one"))]
    Isolated,
    /// A replica runs a build that can't apply the change. It would apply no more.
    #[snafu(display(
        "a replica runs an earlier build that does not support this change; upgrade it first"
    ))]
    EarlierBuild,
    /// Too few replicas have confirmed in time that they have stored that the target leaves.
    #[snafu(display("too few replicas have stored yet that the target leaves; tell another one"))]
    Unconfirmed,
    /// A target that leaves has not stated when it started, and this replica does not know it.
    #[snafu(display("the target is not known here, nor when it started; tell another replica"))]
    UnknownTarget,
}

/// Why a catalog is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigureError {
    /// The catalog is invalid and was rejected.
    #[snafu(display("{source}"))]
    Invalid {
        /// Error in the catalog.
        source: view::Error,
    },
    /// The catalog is not known to be committed. After
    /// [`Unavailable::OutcomeUnknown`] it may be committed nevertheless.
    #[snafu(display("{source}"))]
    Undecided {
        /// Reason at the last attempt.
        source: Unavailable,
    },
}

/// A handle to a control replica.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) id: raft::NodeId,
    pub(super) replica: Replica,
    pub(super) soft_state: sync::Arc<SoftState>,
    pub(super) departures: DepartureStore,
    pub(super) mesh: sync::Arc<Mesh>,
    pub(super) control_client: sync::Arc<control::Client>,
    /// Number of copies of the log that may be lost at the same time.
    pub(super) tolerated_losses: usize,
    /// Failure domains from the settings.
    pub(super) domains: sync::Arc<[String]>,
    /// When this replica was started.
    pub(super) started: time::Instant,
    /// Failure domain of this replica.
    pub(super) domain: sync::Arc<str>,
    pub(super) connections: sync::Arc<connected::Connections>,
    pub(super) metrics: sync::Arc<metrics::Replica>,
    pub(super) work_log: sync::Arc<WorkLog>,
}

impl Handle {
    /// Applies the announcement of a target and sends it to the other replicas.
    /// An outdated announcement is ignored. One of a target that is leaving is handled as by
    /// [`Self::mark_leaving`], too.
    ///
    /// # Errors
    ///
    /// Returns an error if the target should announce itself to another replica: this one is
    /// cut off from the others, or has not told enough of them that the target leaves.
    pub async fn announce(&self, announced: directory::AnnouncedTarget) -> Result<(), Unavailable> {
        let elsewhere = self
            .soft_state
            .read(|directory, _, now| directory.should_go_elsewhere(&announced, now));
        if elsewhere {
            return Err(Unavailable::Isolated);
        }
        let mut announced = announced;
        let departure = announced.departure();
        // Sent before the target left, if it says that it is up. The others may not know.
        if self.soft_state.read(|directory, _, _| directory.has_departed(&departure)) {
            announced.presence = view::Presence::Leaving;
        }
        let is_leaving = announced.presence == view::Presence::Leaving;
        if let Some(announced) = self.soft_state.announce(self.id, announced) {
            self.broadcast(&peer::Gossip::TargetAnnounced(announced));
        }
        if is_leaving {
            return self.mark_leaving(&departure.id, Some(departure.incarnation)).await;
        }
        Ok(())
    }

    /// Replaces the replicas named in the settings, after a change of the settings.
    /// This replica sends join requests to them while it is not a member.
    pub fn set_peers(&self, peers: Vec<raft::NodeId>) {
        self.control_client.set_replicas(&peers);
        self.replica.set_peers(peers);
    }

    /// Commits a catalog. It takes effect if its version is higher than that of the
    /// catalog in force; otherwise the committed command has no effect. In both
    /// cases the command is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the catalog is invalid, or if it is not known to be
    /// committed. In the latter case it may be committed nevertheless.
    pub async fn configure(&self, catalog: catalog::Catalog) -> Result<(), ConfigureError> {
        let configured = self.commit_catalog(catalog).await;
        self.metrics.record_catalog(match &configured {
            Ok(()) => "in force",
            Err(ConfigureError::Invalid { .. }) => "invalid",
            Err(ConfigureError::Undecided { .. }) => "undecided",
        });
        configured
    }

    async fn commit_catalog(&self, catalog: catalog::Catalog) -> Result<(), ConfigureError> {
        catalog.check().map_err(|source| ConfigureError::Invalid {
            source: view::Error::InvalidCatalog { source },
        })?;
        self.check_members().map_err(undecided)?;
        let change = state::Change::catalog(catalog);
        let mut committed = self.commit(change.clone()).await;
        if committed == Err(Unavailable::EarlierBuild)
            && let Some(plain) = change.without_attributes()
        {
            spdlog::warn!("committing the catalog without its later fields", kv: {
                reason = Unavailable::EarlierBuild.to_string().as_str()
            });
            committed = self.commit(plain).await;
        }
        match committed {
            Ok(state::Outcome::Refused(source)) => Err(ConfigureError::Invalid { source }),
            // A voter may have been removed before the entry was committed.
            Ok(_) => self.check_members().map_err(undecided),
            Err(source) => Err(undecided(source)),
        }
    }

    /// Proposes a change here. Returns `None` if another member is known to run a build that
    /// can't apply it, from its connections or, while it has none, from its last one. A member
    /// that has never been connected is not waited for: an evacuation must not wait for one that
    /// is lost, and one that comes back with an earlier build applies no more until it is
    /// upgraded.
    pub(super) async fn propose(&self, change: state::Change) -> Option<ProposalResult> {
        let needed = change.since();
        let members = self.replica.members();
        let is_earlier = |id| self.version_of(id).is_some_and(|version| version < needed);
        if members.others(self.id).any(is_earlier) {
            return None;
        }
        Some(self.replica.propose(change).await)
    }

    /// Returns an error unless an entry committed by the present members survives the
    /// tolerated losses.
    pub(super) fn check_members(&self) -> Result<(), Unavailable> {
        let members = self.replica.members();
        if members.voters.is_empty() {
            return Err(Unavailable::NoLeader);
        }
        if !members.survives(self.tolerated_losses) {
            return Err(Unavailable::TooFewReplicas);
        }
        Ok(())
    }

    /// Returns the catalog in force. The read is linearizable: the result is at
    /// least as new as every catalog that was committed before this call.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader confirmed the read.
    pub async fn catalog(&self) -> Result<Option<sync::Arc<catalog::Catalog>>, Unavailable> {
        let index = self.replica.read_state(|state| state.index);
        self.replica.poll(index).await.ok_or(Unavailable::NoLeader)?;
        Ok(self.replica.read_state(|state| state.view.catalog().cloned()))
    }

    /// Returns the role, the membership and the log indices of the replica.
    #[must_use]
    pub fn status(&self) -> peer::Status {
        self.replica.status()
    }

    /// Calls `act` as [`Replica::as_leader`] does, and records how long it took.
    pub(super) fn as_leader<T>(
        &self,
        work: Work,
        act: impl FnOnce(&mut lead::Leader, &state::State, time::Duration) -> T,
    ) -> Option<T> {
        let started = time::Instant::now();
        let result = self.replica.as_leader(act);
        if result.is_some() {
            self.work_log.record(work, started.elapsed());
        }
        result
    }

    /// Returns the version of the message format that another replica uses, if it is connected
    /// to this one.
    fn version_of(&self, replica: raft::NodeId) -> Option<u32> {
        self.connections.version(&format!("{PROCESS_PREFIX}{replica}"))
    }

    /// Returns the other replicas, each with whether it is known to read messages of this
    /// version of the format.
    fn others_reading(&self, version: u32) -> Vec<(raft::NodeId, bool)> {
        let members = self.replica.members();
        let others = members.others(self.id);
        others.map(|id| (id, self.version_of(id).is_some_and(|v| v >= version))).collect()
    }

    /// Sends the traffic of the gateways that report to this replica to the others.
    pub(super) fn send_traffic(&self) {
        let others = self.others_reading(DIFFERENCES_SINCE);
        for (to, gossip) in self.soft_state.traffic_to(&others) {
            self.mesh.send(to, peer::Body::Gossip { from: self.id, gossip });
        }
    }

    /// Sends announcements on to the other replicas.
    pub(super) fn forward(&self, announcements: &[directory::AnnouncedTarget]) {
        for (to, reads_batches) in self.others_reading(DIFFERENCES_SINCE) {
            let send = |gossip| self.mesh.send(to, peer::Body::Gossip { from: self.id, gossip });
            if reads_batches {
                let batches = announcements.chunks(soft::MAX_BATCH);
                let batches = batches.map(|batch| batch.iter().cloned().map(Into::into).collect());
                batches.map(peer::Gossip::TargetsAnnounced).for_each(send);
            } else {
                let announcements = announcements.iter().cloned();
                announcements.map(peer::Gossip::TargetAnnounced).for_each(send);
            }
        }
    }

    /// Sends gossip to every other replica.
    pub(super) fn broadcast(&self, gossip: &peer::Gossip) {
        for to in self.replica.members().others(self.id) {
            let body = peer::Body::Gossip { from: self.id, gossip: gossip.clone() };
            self.mesh.send(to, body);
        }
    }

    /// Proposes a change here or at the leader until it is committed or
    /// [`COMMIT_TIMEOUT`] has passed, which is checked between attempts. The change
    /// must be idempotent, since it may be committed more than once.
    pub(super) async fn commit(
        &self,
        change: state::Change,
    ) -> Result<state::Outcome, Unavailable> {
        let deadline = time::Instant::now() + COMMIT_TIMEOUT;
        let mut failure = Unavailable::NoLeader;
        while time::Instant::now() < deadline {
            match self.propose(change.clone()).await {
                Some(ProposalResult::Committed { outcome, .. }) => return Ok(outcome),
                Some(ProposalResult::NotLeader { leader: Some(leader) }) => {
                    let call = peer::Call::Propose(change.clone());
                    let deadline = deadline.min(time::Instant::now() + ATTEMPT_TIMEOUT);
                    self.control_client.set_leader(leader);
                    match self.control_client.call_leader(&call, deadline).await {
                        Ok(peer::Reply::Committed { outcome, .. }) => return Ok(outcome),
                        Err(control::Error::Unsupported) => return Err(not_proposed(failure)),
                        _ => failure = Unavailable::OutcomeUnknown,
                    }
                }
                Some(ProposalResult::NotLeader { leader: None }) => {}
                Some(ProposalResult::OutcomeUnknown) => failure = Unavailable::OutcomeUnknown,
                None => return Err(not_proposed(failure)),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(failure)
    }
}

/// Returns the reason after an attempt that was not proposed because of an earlier build. One
/// before it may have been, at another leader.
fn not_proposed(failure: Unavailable) -> Unavailable {
    match failure {
        Unavailable::OutcomeUnknown => failure,
        _ => Unavailable::EarlierBuild,
    }
}

fn undecided(source: Unavailable) -> ConfigureError {
    ConfigureError::Undecided { source }
}
