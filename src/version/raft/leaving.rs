//! Replicas that have told this one that they are about to stop.
//!
//! A voter that stops for good would count until it has been silent for a while, and again after
//! each change of leader. As it says so, a learner replaces it while it still runs. A replica
//! that only restarts becomes a learner then, which is as good as long as no other stops.

use std::{collections, time};

use super::message::{NodeId, StoreId};

/// How long a replica counts as leaving. It has stopped by then, and is silent unless it runs
/// again.
const LEAVING_TIME: time::Duration = time::Duration::from_secs(10);

/// The replicas, each with its store.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    since: collections::BTreeMap<NodeId, (StoreId, time::Duration)>,
}

impl Leaving {
    /// Records that a replica is about to stop.
    pub(super) fn record(&mut self, node: NodeId, store_id: StoreId, now: time::Duration) {
        self.since.insert(node, (store_id, now));
    }

    /// Records a message that no replica sends which is about to stop: it has started again.
    pub(super) fn forget(&mut self, node: NodeId) {
        self.since.remove(&node);
    }

    /// Returns whether the replica with this store is about to stop, or has stopped.
    pub(super) fn contains(&self, node: NodeId, store_id: StoreId, now: time::Duration) -> bool {
        self.since
            .get(&node)
            .is_some_and(|(store, since)| *store == store_id && now < *since + LEAVING_TIME)
    }
}
