//! Messages between replicas, and the membership that gives them weight.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::log;

/// Identifies a replica by its place in the settings.
pub type NodeId = u64;

/// Identifies a data folder. A folder that was emptied gets a new one, so a
/// replica that lost its disk can't pass for the voter that it was.
pub type StoreId = u128;

/// Who votes and who only follows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards a quorum, with the store each must hold.
    pub voters: collections::BTreeMap<NodeId, StoreId>,
    /// Replicas that receive the log but do not vote.
    pub learners: collections::BTreeMap<NodeId, StoreId>,
}

impl Members {
    /// Returns how many voters make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns true if `node` votes with the store `store`.
    #[must_use]
    pub fn is_voter(&self, node: NodeId, store: StoreId) -> bool {
        self.voters.get(&node) == Some(&store)
    }

    /// Returns true if `node` is a voter or learner with the store `store`.
    #[must_use]
    pub fn contains(&self, node: NodeId, store: StoreId) -> bool {
        self.is_voter(node, store) || self.learners.get(&node) == Some(&store)
    }

    /// Returns every replica but `except`.
    pub fn others(&self, except: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied().filter(move |n| *n != except)
    }
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Store that the sender holds.
    pub store: StoreId,
    /// Term of the sender; for a pre-vote the term it would campaign in.
    pub term: log::Term,
    /// Content.
    pub body: Body,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without raising any term.
    PreVote {
        /// Last position in the sender's log.
        last: log::Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last position in the sender's log.
        last: log::Position,
        /// Whether the leader handed over, which sets the lease aside.
        transfer: bool,
    },
    /// Answers a vote.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; with none, a heartbeat.
    Append {
        /// Position before the first entry.
        prev: log::Position,
        /// Entries to store.
        entries: Vec<log::Entry>,
        /// Leader's commit index.
        commit: log::Index,
        /// Leader's clock when it sent this; echoed to extend its lease.
        sent: time::Duration,
    },
    /// Sends a snapshot to a replica that lags behind the log's start.
    InstallSnapshot {
        /// The snapshot.
        snapshot: log::Snapshot,
        /// Leader's clock when it sent this.
        sent: time::Duration,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Last index known to match the leader, or where to try next.
        outcome: AppendOutcome,
        /// Echo of the leader's clock.
        sent: time::Duration,
    },
    /// Asks the leader for an index that is safe to read at.
    ReadIndex {
        /// Chosen by the sender, echoed in the answer.
        context: u64,
    },
    /// Answers a read.
    ReadIndexReply {
        /// Echo of the sender's context.
        context: u64,
        /// Commit index, if the leader held its lease.
        index: Option<log::Index>,
    },
    /// Tells a follower to campaign at once.
    TimeoutNow,
    /// Asks whether the receiver's data folder is empty, to form a new group.
    BootstrapProbe,
    /// Answers a probe.
    BootstrapProbeReply {
        /// Whether the sender holds no log at all.
        empty: bool,
    },
    /// Asks to be taken in as a learner with the sender's store.
    Join,
    /// Passes a [`Body::Join`] on to the leader.
    ForwardJoin {
        /// Replica that asks.
        node: NodeId,
        /// Store that it holds.
        store: StoreId,
    },
}

/// Whether an append matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's up to this index.
    Matched(log::Index),
    /// The previous position did not match; the leader should go back to here.
    Conflict(log::Index),
}
