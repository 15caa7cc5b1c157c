//! The soft state of a replica: targets and traffic, exchanged with the other
//! replicas and handed out to gateways.

use std::{sync, time};

use parking_lot::Mutex;
use rand::RngExt as _;

use crate::{
    connection::peer,
    process::clock,
    version::{directory, raft, traffic},
};

/// Targets and traffic as this replica knows them.
#[derive(Debug)]
pub(super) struct Soft {
    /// Failure domain of the replica.
    domain: String,
    /// Tells this run of the replica from others.
    epoch: u64,
    clock: sync::Arc<clock::Clock>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    directory: directory::Directory,
    traffic: traffic::Traffic,
}

impl Soft {
    pub(super) fn new(domain: &str, clock: sync::Arc<clock::Clock>) -> Self {
        Self {
            domain: domain.to_owned(),
            epoch: rand::rng().random(),
            clock,
            state: Mutex::default(),
        }
    }

    /// Takes in what another replica tells, or what a target told this one.
    /// Returns true if it was news.
    pub(super) fn hear(&self, from: raft::NodeId, gossip: peer::Gossip) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match gossip {
            peer::Gossip::TargetAnnounced(announced) => state.directory.announce(announced, now),
            peer::Gossip::Leaving { id, incarnation } => {
                state.directory.mark_leaving(&id, incarnation);
                true
            }
            peer::Gossip::HoldingsUpdated(note) => {
                state.directory.apply_update(&note, now);
                true
            }
            peer::Gossip::Traffic(report) => {
                state.traffic.record(traffic::Source::Replica(from), report, now);
                true
            }
        }
    }

    /// Answers a gateway, but for the changes of the view.
    pub(super) fn sync(
        &self,
        mut asked: peer::SyncRequest,
        update: Option<peer::Update>,
        replicas: Vec<raft::NodeId>,
    ) -> peer::SyncReply {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let source = traffic::Source::Gateway(asked.gateway_id);
        asked.report.gateways = vec![asked.gateway_id];
        state.traffic.record(source, asked.report, now);
        let mut others = state.traffic.excluding(asked.gateway_id, now);
        // The numbers below tell a gateway all that it needs of them.
        others.gateways.clear();
        let known = if asked.epoch == self.epoch { asked.revision } else { 0 };
        peer::SyncReply {
            update,
            domain: self.domain.clone(),
            epoch: self.epoch,
            revision: state.directory.revision(),
            changed_targets: state.directory.changed_since(known).cloned().collect(),
            report: others,
            reporting_gateways: state.traffic.census().present(now),
            known_gateways: state.traffic.census().known(),
            replicas,
        }
    }

    /// Lets time pass, and returns the traffic to tell the other replicas.
    /// Without a leader this replica may be cut off, and its silence is no
    /// target's.
    pub(super) fn tick(&self, led: bool) -> traffic::Report {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if led {
            state.directory.tick(now);
        } else {
            state.directory.restart_timeouts(now);
        }
        state.traffic.local(now)
    }

    /// Returns the monotonic time.
    pub(super) fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Looks at targets and traffic.
    pub(super) fn look<T>(
        &self,
        with: impl FnOnce(&directory::Directory, &traffic::Traffic, time::Duration) -> T,
    ) -> T {
        let state = self.state.lock();
        with(&state.directory, &state.traffic, self.clock.now())
    }
}
