//! Messages between replicas, and the membership of the group.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::log;

/// Identifies a replica in the settings. It stays the same when the replica
/// loses its disk.
pub type NodeId = u64;

/// Identifies a data folder. A new folder gets a new random id, so a replica
/// that lost its disk is not taken for the voter that it was before.
pub type StoreId = u128;

/// Voters and learners of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards a quorum, each with the store it must hold.
    pub voters: collections::BTreeMap<NodeId, StoreId>,
    /// Replicas that receive the log but do not vote, each with its store.
    pub learners: collections::BTreeMap<NodeId, StoreId>,
}

impl Members {
    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns true if `losses` voters can lose their data folders at the same time, and
    /// the others still hold every committed entry and form a majority.
    #[must_use]
    pub fn survives(&self, losses: usize) -> bool {
        self.voters.len() > 2 * losses
    }

    /// Returns true if `node` is a voter and `store` is the store named for it.
    #[must_use]
    pub fn is_voter(&self, node: NodeId, store_id: StoreId) -> bool {
        self.voters.get(&node) == Some(&store_id)
    }

    /// Returns true if `node` is a voter or learner and `store` is the store
    /// named for it.
    #[must_use]
    pub fn contains(&self, node: NodeId, store_id: StoreId) -> bool {
        self.is_voter(node, store_id) || self.learners.get(&node) == Some(&store_id)
    }

    /// Returns true if `node` is a voter or learner, with whichever store.
    #[must_use]
    pub fn has_node(&self, node: NodeId) -> bool {
        self.voters.contains_key(&node) || self.learners.contains_key(&node)
    }

    /// Returns all voters and learners except `except`.
    pub fn others(&self, except: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied().filter(move |n| *n != except)
    }
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Replica that sent the message.
    pub from: NodeId,
    /// Store of the sender.
    pub store_id: StoreId,
    /// Current term of the sender. In a pre-vote and in a granting reply to one,
    /// the term of the proposed election.
    pub term: log::Term,
    /// Request or reply.
    pub body: Body,
}

/// Requests and replies between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote; changes no term.
    PreVote {
        /// Last position in the sender's log.
        last: log::Position,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the receiver would grant the vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last position in the sender's log.
        last: log::Position,
        /// Whether the election is a leadership transfer. The voter then grants
        /// its vote even if it heard from the leader recently.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates log entries. Without entries it is a heartbeat.
    Append {
        /// Position of the entry before `entries`, for the consistency check.
        prev: log::Position,
        /// Entries to append.
        entries: Vec<log::Entry>,
        /// Commit index of the leader.
        commit: log::Index,
        /// Monotonic clock of the leader when it sent the message. The reply
        /// echoes it, which extends the leader's lease.
        sent: time::Duration,
    },
    /// Sends a snapshot to a replica that needs entries before the first one in
    /// the leader's log.
    InstallSnapshot {
        /// Snapshot to install.
        snapshot: log::Snapshot,
        /// Monotonic clock of the leader when it sent the message.
        sent: time::Duration,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// Last index that matches the leader's log, or the index to retry from.
        outcome: AppendOutcome,
        /// The leader's clock from the request.
        sent: time::Duration,
    },
    /// Asks the leader for an index at which a read is linearizable.
    ReadIndex {
        /// Number that the reply echoes, to match it to the request.
        context: u64,
    },
    /// Reply to a read index request.
    ReadIndexReply {
        /// The number from the request.
        context: u64,
        /// Commit index of the leader, or `None` if it can't prove that it leads.
        index: Option<log::Index>,
    },
    /// Asks a follower to start an election at once, to transfer leadership.
    TimeoutNow,
    /// Asks whether the receiver's log is empty, to bootstrap a new group.
    BootstrapProbe,
    /// Reply to a bootstrap probe.
    BootstrapProbeReply {
        /// Whether the sender's log holds neither entries nor a snapshot.
        empty: bool,
    },
    /// Asks the receiver to have the sender added as a learner with its store.
    Join,
    /// Forwards a [`Body::Join`] to the leader.
    ForwardJoin {
        /// Replica that sent the join request.
        node: NodeId,
        /// Store of that replica.
        store_id: StoreId,
    },
    /// Tells that the sender is about to stop, perhaps for good.
    Leaving,
}

/// Result of the consistency check of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's log up to this index.
    Matched(log::Index),
    /// The previous position did not match, or the sender's term is outdated. A
    /// current leader should retry with the entries from this index on.
    Conflict(log::Index),
}
