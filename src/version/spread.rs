//! When a fact that is not in the log may be acknowledged.
//!
//! A target that leaves may tell one replica, once. What is acknowledged to it must outlast the
//! loss of as many disks as are to be tolerated, while all other replicas restart or lose power at
//! the same moment. So a replica acknowledges a departure only when one replica more than that has
//! it on its disk, synced. Its own disk counts as one of them.
//!
//! All replicas store it at once, and any of them count: one that is suspended or disconnected, or
//! whose disk is slow or full, delays nothing while enough others answer. One that fails to answer
//! is told again. The target waits for the answer for a limited time and then calls another
//! replica, so the replica refuses in time, or at once if it knows too few others.
//!
//! Replicas of earlier builds confirm what they have only in memory. They count where the rest is
//! too few to keep a departure by itself, as in the first half of an upgrade.
//!
//! This answers single departures and a whole service that is replaced at once: each takes one
//! exchange with the fastest replicas and one sync, which departures that arrive together share.
//! The log would need a leader, which a target can't wait for: an election takes longer than its
//! call. It would give departures an order among the other changes, which they don't need.
//!
//! The state machine performs no I/O. Points in time are readings of one monotonic clock.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use hornbeamdock::version::spread::{Decision, Event, Kept, Spread};
//!
//! // Two of five disks may be lost, so three must have it.
//! let mut spread = Spread::new(&[1, 2, 3, 4, 5], 3, Duration::ZERO);
//! let at = Duration::from_millis(2);
//! assert_eq!(spread.decide(Event::Confirmed(4, Kept::OnDisk), at), Decision::Wait);
//! assert_eq!(spread.decide(Event::Confirmed(1, Kept::OnDisk), at), Decision::Wait);
//! assert_eq!(spread.decide(Event::Confirmed(2, Kept::OnDisk), at), Decision::Acknowledge);
//! ```

use std::{collections, time};

use super::raft;

/// Longest time until a departure is acknowledged or refused. Targets wait for 1 s.
pub const SPREAD_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Time limit for one replica to confirm, before it is told again.
pub const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Delay before a replica is told again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Where a replica keeps a fact that it has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// On its disk, synced.
    OnDisk,
    /// In memory only, as earlier builds do.
    InMemory,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This replica has confirmed that it keeps the fact.
    Confirmed(raft::NodeId, Kept),
    /// This replica could not be told, could not store it, or has not confirmed in time.
    Failed(raft::NodeId),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Wait for the next event.
    Wait,
    /// Tell this replica again after the delay.
    Retry {
        /// The replica.
        to: raft::NodeId,
        /// Time to wait before.
        delay: time::Duration,
    },
    /// Enough replicas keep the fact.
    Acknowledge,
    /// Too few replicas have confirmed in time, or too few are known.
    Refuse,
}

/// One fact that the replicas store.
#[derive(Clone, Debug)]
pub struct Spread {
    /// Replicas that have not confirmed.
    missing: collections::BTreeSet<raft::NodeId>,
    /// Number of replicas that have it on disk.
    synced: usize,
    /// Number of replicas that have it in memory only.
    unsynced: usize,
    /// Number of copies that are needed.
    needed: usize,
    deadline: time::Duration,
}

impl Spread {
    /// Begins to have `replicas` store a fact of which `needed` copies are needed. The replica
    /// that decides is one of them.
    #[must_use]
    pub fn new(replicas: &[raft::NodeId], needed: usize, now: time::Duration) -> Self {
        let missing = replicas.iter().copied().collect();
        Self { missing, synced: 0, unsynced: 0, needed, deadline: now + SPREAD_TIMEOUT }
    }

    /// Returns the number of copies that are still missing.
    #[must_use]
    pub fn needed(&self) -> usize {
        self.needed.saturating_sub(self.synced + self.unsynced)
    }

    /// Returns when a decision is due at the latest.
    #[must_use]
    pub fn deadline(&self) -> time::Duration {
        self.deadline
    }

    /// Handles an event. A replica that confirms more than once counts once.
    pub fn decide(&mut self, event: Event, now: time::Duration) -> Decision {
        if let Event::Confirmed(from, kept) = event
            && self.missing.remove(&from)
        {
            match kept {
                Kept::OnDisk => self.synced += 1,
                Kept::InMemory => self.unsynced += 1,
            }
        }
        if self.is_kept() {
            return Decision::Acknowledge;
        }
        if self.missing.len() < self.needed() || now >= self.deadline {
            return Decision::Refuse;
        }
        match event {
            Event::Failed(to) if self.missing.contains(&to) => {
                Decision::Retry { to, delay: RETRY_DELAY }
            }
            _ => Decision::Wait,
        }
    }

    /// Returns true if enough replicas keep the fact: on their disks, or in part in memory if too
    /// few replicas have a build that stores it.
    fn is_kept(&self) -> bool {
        let can_be_synced = self.synced + self.missing.len() >= self.needed;
        self.synced >= self.needed || (self.needed() == 0 && !can_be_synced)
    }
}
