//! Client for calls to control replicas, used by gateways, entries and the
//! replicas themselves.
//!
//! All calls to a replica share one connection; each reply carries the id of its
//! call. When a connection fails, the calls in flight on it fail at once and the
//! next call opens a new connection.
//!
//! Calls to the leader wait while no leader is known, and one task searches for it with one
//! probe at a time (see [`search`](crate::version::search)). What a reply tells of the leader is
//! recorded whether or not its caller still waits, so calls that have less time than the replies
//! take do not keep the process from finding the leader.

mod counts;
mod leader;
mod link;
mod pending;
mod shared;

use std::{collections, mem, net, sync, time};

use snafu::Snafu;

use crate::version::raft;

pub use self::counts::CallCounts;
use self::{pending::Callee, shared::Shared};
use super::{
    address,
    peer::{self, Call, Reply},
};

/// Maximum number of times that a call is made to a leader.
const MAX_ATTEMPTS: usize = 3;

/// How long a replica may take to answer a call that may be repeated and needs no wait,
/// before it is made again.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No replica could be reached, or none is the leader.
    #[snafu(display("no control replica can answer"))]
    Unavailable,
    /// The replica does not know the call, so that it has not taken effect.
    #[snafu(display("the control replica does not know this call"))]
    Unsupported,
    /// The call was sent, but there was no reply; it may have taken effect.
    #[snafu(display("the reply of the control replica was lost"))]
    OutcomeUnknown,
}

/// Client for calls to control replicas. Its methods must be called on a runtime.
#[derive(Debug)]
pub struct Client {
    shared: sync::Arc<Shared>,
}

impl Client {
    /// Creates a client of the given replicas. Connections are opened on demand.
    #[must_use]
    pub fn new(
        identity: peer::Identity,
        replicas: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    ) -> Self {
        let addresses = address::AddressBook::new(replicas);
        Self { shared: sync::Arc::new(Shared::new(identity, addresses)) }
    }

    /// Returns the counts of calls to the leader, and starts them anew.
    #[must_use]
    pub fn take_counts(&self) -> CallCounts {
        mem::take(&mut *self.shared.counts.lock())
    }

    /// Returns the number of calls that were sent and wait for a reply.
    #[must_use]
    pub fn waiting_calls(&self) -> usize {
        self.shared.links.lock().values().map(|link| link.pending.lock().len()).sum()
    }

    /// Returns the ids of the replicas to call.
    #[must_use]
    pub fn replicas(&self) -> Vec<raft::NodeId> {
        self.shared.replicas()
    }

    /// Replaces the replicas to call. An empty list is ignored, because without a
    /// replica to call the client could not learn about others.
    pub fn set_replicas(&self, replicas: &[raft::NodeId]) {
        if !replicas.is_empty() {
            *self.shared.replicas.lock() = replicas.iter().copied().collect();
        }
    }

    /// Sets the leader, as known from another source than the replies to calls.
    pub fn set_leader(&self, leader: raft::NodeId) {
        self.shared.leader.set(leader);
    }

    /// Calls one replica.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the call was not sent, [`Error::Unsupported`] if the
    /// replica does not know it, and [`Error::OutcomeUnknown`] if it may have been sent and no
    /// reply came. Each within `timeout`.
    pub async fn call(
        &self,
        node: raft::NodeId,
        call: Call,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        self.shared.call(node, call, Callee::Replica, timeout).await
    }

    /// Sends gossip of the replica `from` to another one, and waits until that has applied it.
    ///
    /// A replica handles the messages of a connection in their order, so its reply to a call
    /// that follows the gossip proves that the gossip was applied. Builds of all versions do
    /// so, while a call of its own would be unknown to earlier ones.
    ///
    /// # Errors
    ///
    /// Returns an error within `timeout` if it is not known that the gossip was applied.
    pub async fn deliver(
        &self,
        node: raft::NodeId,
        from: raft::NodeId,
        gossip: peer::Gossip,
        timeout: time::Duration,
    ) -> Result<(), Error> {
        let prefix = Some(peer::Body::Gossip { from, gossip });
        let reply = self.shared.call_after(node, prefix, Call::Status, Callee::Replica, timeout);
        reply.await.map(|_| ())
    }

    /// Calls the leader until `deadline`, after a search if no leader is known.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no leader accepted the call, [`Error::Unsupported`] if
    /// a replica that was called does not know it, and [`Error::OutcomeUnknown`] if the call may
    /// have taken effect. In that case it is repeated here only if [`Call::is_repeatable`];
    /// callers may repeat idempotent calls.
    pub async fn call_leader(&self, call: &Call, deadline: time::Instant) -> Result<Reply, Error> {
        self.shared.counts.lock().calls += 1;
        let end = tokio::time::Instant::from_std(deadline);
        for _ in 0..MAX_ATTEMPTS {
            let found = tokio::time::timeout_at(end, self.shared.find_leader()).await;
            let Ok(leader) = found else {
                break;
            };
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            let timeout =
                if call.is_repeatable() { remaining.min(ATTEMPT_TIMEOUT) } else { remaining };
            match self.shared.attempt(leader, call.clone(), timeout).await {
                Ok(Reply::NotLeader { .. }) | Err(Error::Unavailable) => {}
                Ok(Reply::OutcomeUnknown) | Err(Error::OutcomeUnknown) if call.is_repeatable() => {}
                Ok(Reply::OutcomeUnknown) => return Err(Error::OutcomeUnknown),
                result => return result,
            }
        }
        Err(Error::Unavailable)
    }
}
