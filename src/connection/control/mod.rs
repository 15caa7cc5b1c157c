//! Client for calls to control replicas, used by gateways, entries and the
//! replicas themselves.
//!
//! All calls to a replica share one connection; each reply carries the id of its
//! call. When a connection fails, the calls in flight on it fail at once and the
//! next call opens a new connection.
//!
//! Calls to the leader wait while no leader is known, and one probe at a time searches for
//! it (see [`search`]).

mod counts;
mod link;

use std::{
    collections, mem, net, sync,
    sync::atomic::{self, AtomicU64},
    time,
};

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::{net::TcpStream, sync as tsync};

use crate::version::{
    culprit, raft,
    search::{self, Answer},
};

pub use self::counts::CallCounts;
use self::link::{Link, Opening};
use super::{
    address,
    peer::{self, Call, Reply},
    socket,
};

/// Time-out for connecting, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

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

/// Client for calls to control replicas.
#[derive(Debug)]
pub struct Client {
    identity: peer::Identity,
    addresses: address::AddressBook,
    /// Replicas among which the leader is searched for.
    replicas: Mutex<collections::BTreeSet<raft::NodeId>>,
    links: Mutex<collections::BTreeMap<raft::NodeId, Link>>,
    openings: Mutex<collections::BTreeMap<raft::NodeId, sync::Arc<Opening>>>,
    search: Mutex<search::LeaderSearch>,
    /// Held by the call that searches for the leader.
    searching: tsync::Mutex<()>,
    next_call_id: AtomicU64,
    counts: Mutex<CallCounts>,
}

impl Client {
    /// Creates a client of the given replicas. Connections are opened on demand.
    #[must_use]
    pub fn new(
        identity: peer::Identity,
        replicas: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    ) -> Self {
        let addresses = address::AddressBook::new(replicas);
        let replicas = Mutex::new(addresses.configured().collect());
        Self {
            identity,
            addresses,
            replicas,
            links: Mutex::default(),
            openings: Mutex::default(),
            search: Mutex::default(),
            searching: tsync::Mutex::default(),
            next_call_id: AtomicU64::new(0),
            counts: Mutex::default(),
        }
    }

    /// Returns the counts of calls to the leader, and starts them anew.
    pub fn take_counts(&self) -> CallCounts {
        mem::take(&mut *self.counts.lock())
    }

    /// Returns the number of calls that were sent and wait for a reply.
    #[must_use]
    pub fn waiting_calls(&self) -> usize {
        self.links.lock().values().map(|link| link.pending.lock().len()).sum()
    }

    /// Returns the ids of the replicas to call.
    #[must_use]
    pub fn replicas(&self) -> Vec<raft::NodeId> {
        self.replicas.lock().iter().copied().collect()
    }

    /// Replaces the replicas to call. An empty list is ignored, because without a
    /// replica to call the client could not learn about others.
    pub fn set_replicas(&self, replicas: &[raft::NodeId]) {
        if !replicas.is_empty() {
            *self.replicas.lock() = replicas.iter().copied().collect();
        }
    }

    /// Sets the leader, as known from another source than the replies to calls.
    pub fn set_leader(&self, leader: raft::NodeId) {
        self.search.lock().set_leader(leader, self.identity.clock.now());
    }

    /// Calls one replica.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the call was not sent, [`Error::Unsupported`] if the
    /// replica does not know it, and [`Error::OutcomeUnknown`] if it may have been sent and no reply came within
    /// `timeout`.
    pub async fn call(
        &self,
        node: raft::NodeId,
        call: Call,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        let link = self.link(node).await?;
        let id = self.next_call_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, reply) = tsync::oneshot::channel();
        link.pending.lock().insert(id, sender);
        if link.calls.send((id, call)).await.is_err() {
            link.pending.lock().remove(&id);
            self.remove_link(node, &link);
            return Err(Error::Unavailable);
        }
        let result = tokio::time::timeout(timeout, reply).await;
        link.pending.lock().remove(&id);
        match result {
            Ok(Ok(Reply::Unsupported)) => Err(Error::Unsupported),
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.remove_link(node, &link);
                Err(Error::OutcomeUnknown)
            }
            Err(_) => Err(Error::OutcomeUnknown),
        }
    }

    /// Calls the leader until `deadline`, after a search if no leader is known.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no leader accepted the call, [`Error::Unsupported`] if
    /// a replica that was called does not know it, and [`Error::OutcomeUnknown`] if the call may have taken effect. In that case it
    /// is repeated here only if [`Call::is_repeatable`]; callers may repeat idempotent
    /// calls.
    pub async fn call_leader(&self, call: &Call, deadline: time::Instant) -> Result<Reply, Error> {
        self.counts.lock().calls += 1;
        let end = tokio::time::Instant::from_std(deadline);
        for _ in 0..MAX_ATTEMPTS {
            let Ok(leader) = tokio::time::timeout_at(end, self.find_leader()).await else {
                break;
            };
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            let timeout =
                if call.is_repeatable() { remaining.min(ATTEMPT_TIMEOUT) } else { remaining };
            match self.attempt(leader, call.clone(), timeout).await {
                Ok(Reply::NotLeader { .. }) | Err(Error::Unavailable) => {}
                Ok(Reply::OutcomeUnknown) | Err(Error::OutcomeUnknown) if call.is_repeatable() => {}
                Ok(Reply::OutcomeUnknown) => return Err(Error::OutcomeUnknown),
                result => return result,
            }
        }
        Err(Error::Unavailable)
    }

    /// Calls a replica and records how it answered.
    async fn attempt(
        &self,
        node: raft::NodeId,
        call: Call,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        let result = self.call(node, call, timeout).await;
        self.counts.lock().record(&result);
        let answer = match &result {
            Ok(Reply::NotLeader { leader }) => Answer::Redirects(*leader),
            Ok(Reply::OutcomeUnknown) => Answer::Redirects(None),
            Ok(_) | Err(Error::Unsupported) => Answer::Leads,
            Err(Error::Unavailable | Error::OutcomeUnknown) => Answer::Missing,
        };
        self.search.lock().record(node, answer, self.identity.clock.now());
        result
    }

    /// Returns the leader, which this call searches for if none is known and no other call
    /// does.
    async fn find_leader(&self) -> raft::NodeId {
        let known = self.search.lock().leader();
        if let Some(leader) = known {
            return leader;
        }
        let _searching = self.searching.lock().await;
        loop {
            let known = self.search.lock().leader();
            if let Some(leader) = known {
                return leader;
            }
            self.probe().await;
        }
    }

    /// Asks the replica whose turn it is whether it leads.
    async fn probe(&self) {
        let now = self.identity.clock.now();
        let next = self.search.lock().next_probe(&self.replicas(), now);
        let Some((node, due)) = next else {
            return tokio::time::sleep(ATTEMPT_TIMEOUT).await;
        };
        tokio::time::sleep(due.saturating_sub(now)).await;
        self.search.lock().begin_probe(node, self.identity.clock.now());
        // Has no effect, and is answered by the leader only.
        let probe = Call::ReportCrashes(culprit::Report::default());
        // The answer is recorded.
        let _ = self.attempt(node, probe, ATTEMPT_TIMEOUT).await;
    }

    /// Returns the open connection to a replica, or opens one. While one is being opened,
    /// other calls wait for it.
    async fn link(&self, node: raft::NodeId) -> Result<Link, Error> {
        if let Some(link) = self.open_link(node) {
            return Ok(link);
        }
        let started = time::Instant::now();
        let opening = self.openings.lock().entry(node).or_default().clone();
        let mut failed_at = opening.failed_at.lock().await;
        if let Some(link) = self.open_link(node) {
            return Ok(link);
        }
        if failed_at.is_some_and(|at| at >= started) {
            return Err(Error::Unavailable);
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open(node)).await.ok().flatten();
        let Some(link) = opened else {
            *failed_at = Some(time::Instant::now());
            return Err(Error::Unavailable);
        };
        self.links.lock().insert(node, link.clone());
        Ok(link)
    }

    fn open_link(&self, node: raft::NodeId) -> Option<Link> {
        self.links.lock().get(&node).cloned()
    }

    async fn open(&self, node: raft::NodeId) -> Option<Link> {
        let address = self.addresses.resolve(node)?;
        let stream = TcpStream::connect(address).await.ok()?;
        socket::configure(&stream).ok()?;
        let (sink, stream) = self.identity.handshake(stream).await.ok()?;
        Some(Link::start(self.identity.clone(), sink, stream))
    }

    /// Removes a failed connection, unless it has been replaced already.
    fn remove_link(&self, node: raft::NodeId, link: &Link) {
        let mut links = self.links.lock();
        if links.get(&node).is_some_and(|l| l.calls.same_channel(&link.calls)) {
            links.remove(&node);
        }
    }
}
