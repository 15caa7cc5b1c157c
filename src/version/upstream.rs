//! Which control replica a gateway synchronizes with.
//!
//! A gateway that goes to another replica gets that replica's whole directory of
//! targets, which is far more than the changes it gets otherwise. Replicas that can't
//! answer make every gateway change at once, so a change must not be repeated for as
//! long as the cause lasts: a replica that failed is left alone for a time that doubles
//! with each failure. Among the others one in the gateway's own failure domain is
//! preferred, which saves traffic between domains.
//!
//! Up to where the gateway knows the directory is kept for each replica. While no replica can
//! answer and the gateway asks one after the other, it gets each directory once.

use std::{collections, time};

use super::raft::NodeId;

/// How long a replica is left alone after its first failure in a row.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// Upper bound of the time that a replica is left alone.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);

/// Up to where a gateway knows the directory of targets of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryPosition {
    /// Identifies one run of the replica, with its own revisions; zero for none.
    pub epoch: u64,
    /// Revision of the latest change that the gateway has got.
    pub revision: u64,
}

/// What is known of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Replica {
    /// Whether it is in the gateway's failure domain; `None` until it has answered.
    same_domain: Option<bool>,
    consecutive_failures: u32,
    backoff_until: time::Duration,
    position: DirectoryPosition,
}

impl Replica {
    /// Returns the replica without its failures.
    fn recovered(self) -> Self {
        Self { consecutive_failures: 0, backoff_until: time::Duration::ZERO, ..self }
    }
}

/// The control replicas of a gateway, and the one that it uses.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::version::upstream::Upstreams;
///
/// let mut upstreams = Upstreams::new(0);
/// let first = upstreams.next(&[1, 2], Duration::ZERO).unwrap();
/// upstreams.record_failure(first, Duration::ZERO);
/// assert_ne!(upstreams.next(&[1, 2], Duration::ZERO), Some(first));
/// ```
#[derive(Clone, Debug)]
pub struct Upstreams {
    replicas: collections::BTreeMap<NodeId, Replica>,
    /// Replica of the latest success.
    current: Option<NodeId>,
    /// Differs between gateways, so that they spread over equally good replicas.
    seed: usize,
}

impl Upstreams {
    /// Creates the state of a gateway that has asked no replica yet.
    #[must_use]
    pub fn new(seed: usize) -> Self {
        Self { replicas: collections::BTreeMap::new(), current: None, seed }
    }

    /// Returns the replica to ask at `now`; `None` if `replicas` is empty. Forgets the
    /// replicas that are not in `replicas`.
    ///
    /// If all of them are in backoff, this is the one whose backoff ends first.
    pub fn next(&mut self, replicas: &[NodeId], now: time::Duration) -> Option<NodeId> {
        self.replicas.retain(|node, _| replicas.contains(node));
        for node in replicas {
            self.replicas.entry(*node).or_default();
        }
        let count = self.replicas.len();
        let order = |position: usize| (position + self.seed) % count;
        let rank = |(position, (node, replica)): &(usize, (&NodeId, &Replica))| {
            let backoff = replica.backoff_until.saturating_sub(now);
            (backoff, self.preference(**node, replica), order(*position))
        };
        let best = self.replicas.iter().enumerate().min_by_key(rank)?;
        Some(*best.1.0)
    }

    /// Records a synchronization with a replica that was up to date.
    ///
    /// If all replicas were in backoff, the cause was not one of them, but most likely an
    /// election, and all may be asked again.
    pub fn record_success(&mut self, node: NodeId, same_domain: bool, now: time::Duration) {
        self.current = Some(node);
        if self.replicas.values().all(|r| now < r.backoff_until) {
            for replica in self.replicas.values_mut() {
                *replica = replica.recovered();
            }
        }
        let replica = self.replicas.entry(node).or_default();
        *replica = Replica { same_domain: Some(same_domain), ..replica.recovered() };
    }

    /// Returns up to where the gateway knows the directory of a replica.
    #[must_use]
    pub fn position(&self, node: NodeId) -> DirectoryPosition {
        self.replicas.get(&node).map_or(DirectoryPosition::default(), |r| r.position)
    }

    /// Records what a replica has answered of its directory.
    pub fn record_position(&mut self, node: NodeId, position: DirectoryPosition) {
        self.replicas.entry(node).or_default().position = position;
    }

    /// Records that a replica did not answer, or can't prove that it is up to date.
    /// Returns true if another replica is not in backoff, and may be asked at once.
    pub fn record_failure(&mut self, node: NodeId, now: time::Duration) -> bool {
        let replica = self.replicas.entry(node).or_default();
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(replica.consecutive_failures.min(8));
        replica.consecutive_failures += 1;
        replica.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.replicas.values().any(|r| now >= r.backoff_until)
    }

    /// Returns the rank of a replica among those that are not in backoff; the lowest is
    /// the best. Each replica of unknown domain is tried once, since it may be nearby.
    fn preference(&self, node: NodeId, replica: &Replica) -> u8 {
        match replica.same_domain {
            Some(true) => 0,
            None if replica.consecutive_failures == 0 => 1,
            _ if self.current == Some(node) => 2,
            _ => 3,
        }
    }
}
