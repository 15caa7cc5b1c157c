//! What the calls of a process share: the connections, and the search for the leader.
//!
//! Connections are opened and the leader is searched for by tasks of their own. A call that
//! begins one of these, and ends before it, does not end it for the others.

use std::{
    collections, sync,
    sync::atomic::{self, AtomicU64},
    time,
};

use parking_lot::Mutex;
use tokio::{net::TcpStream, sync as tsync};

use crate::{
    connection::{
        address,
        peer::{self, Call, Reply},
        socket,
    },
    version::{culprit, raft},
};

use super::{
    ATTEMPT_TIMEOUT, CallCounts, Error,
    leader::Leader,
    link::{Link, QueuedCall},
    pending::Callee,
};

/// Time-out for connecting, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A connection that is being opened: `None` until that has ended.
type Opening = tsync::watch::Receiver<Option<Result<Link, Error>>>;

/// Shared state of all calls.
#[derive(Debug)]
pub(super) struct Shared {
    identity: peer::Identity,
    addresses: address::AddressBook,
    /// Replicas among which the leader is searched for.
    pub(super) replicas: Mutex<collections::BTreeSet<raft::NodeId>>,
    pub(super) links: Mutex<collections::BTreeMap<raft::NodeId, Link>>,
    openings: Mutex<collections::BTreeMap<raft::NodeId, Opening>>,
    pub(super) leader: sync::Arc<Leader>,
    next_call_id: AtomicU64,
    pub(super) counts: Mutex<CallCounts>,
}

impl Shared {
    pub(super) fn new(identity: peer::Identity, addresses: address::AddressBook) -> Self {
        let replicas = Mutex::new(addresses.configured().collect());
        let leader = sync::Arc::new(Leader::new(identity.clock.clone()));
        Self {
            identity,
            addresses,
            replicas,
            links: Mutex::default(),
            openings: Mutex::default(),
            leader,
            next_call_id: AtomicU64::new(0),
            counts: Mutex::default(),
        }
    }

    pub(super) fn replicas(&self) -> Vec<raft::NodeId> {
        self.replicas.lock().iter().copied().collect()
    }

    /// Calls one replica, and waits for its reply for at most `timeout`.
    pub(super) async fn call(
        self: &sync::Arc<Self>,
        node: raft::NodeId,
        call: Call,
        callee: Callee,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        self.call_after(node, None, call, callee, timeout).await
    }

    /// Sends `prefix` to one replica and then calls it on the same connection, and waits for
    /// its reply for at most `timeout`.
    pub(super) async fn call_after(
        self: &sync::Arc<Self>,
        node: raft::NodeId,
        prefix: Option<peer::Body>,
        call: Call,
        callee: Callee,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        let deadline = tokio::time::Instant::now() + timeout;
        let link = self.link(node, deadline).await?;
        self.expire(node, &link);
        let id = self.next_call_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, reply) = tsync::oneshot::channel();
        let now = self.identity.clock.now();
        let time_limit = timeout.max(ATTEMPT_TIMEOUT);
        link.pending.lock().insert(id, (sender, callee), time_limit, now);
        if link.calls.try_send(QueuedCall { id, call, prefix }).is_err() {
            link.pending.lock().remove(id);
            self.remove_closed(node, &link);
            // It reads nothing, if the queue is full.
            self.leader.record_missing(node);
            return Err(Error::Unavailable);
        }
        let result = tokio::time::timeout_at(deadline, reply).await;
        match result {
            Ok(Ok(Reply::Unsupported)) => Err(Error::Unsupported),
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.remove_closed(node, &link);
                Err(Error::OutcomeUnknown)
            }
            Err(_) => {
                self.expire(node, &link);
                Err(Error::OutcomeUnknown)
            }
        }
    }

    /// Calls a replica that may be the leader.
    pub(super) async fn attempt(
        self: &sync::Arc<Self>,
        node: raft::NodeId,
        call: Call,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        let result = self.call(node, call, Callee::Leader, timeout).await;
        self.counts.lock().record(&result);
        result
    }

    /// Returns the leader, once it is known.
    pub(super) async fn find_leader(self: &sync::Arc<Self>) -> raft::NodeId {
        loop {
            let known = self.leader.get();
            let open = known.and_then(|leader| self.open_link(leader));
            if let Some((leader, link)) = known.zip(open) {
                self.expire(leader, &link);
            }
            if let Some(leader) = self.leader.get() {
                return leader;
            }
            if self.leader.begin_search() {
                let search = Search { leader: self.leader.clone() };
                tokio::spawn(search.run(sync::Arc::downgrade(self)));
            }
            if let Some(leader) = self.leader.wait().await {
                return leader;
            }
        }
    }

    /// Asks the replica whose turn it is whether it leads.
    async fn probe(self: &sync::Arc<Self>) {
        let Some((node, wait)) = self.leader.next_probe(&self.replicas()) else {
            return tokio::time::sleep(ATTEMPT_TIMEOUT).await;
        };
        tokio::time::sleep(wait).await;
        self.leader.begin_probe(node);
        // Has no effect, and is answered by the leader only.
        let probe = Call::ReportCrashes(culprit::Report::default());
        // The reply is recorded.
        let _ = self.attempt(node, probe, ATTEMPT_TIMEOUT).await;
    }

    /// Returns the open connection to a replica, or waits until `deadline` for one that is
    /// being opened.
    async fn link(
        self: &sync::Arc<Self>,
        node: raft::NodeId,
        deadline: tokio::time::Instant,
    ) -> Result<Link, Error> {
        if let Some(link) = self.open_link(node) {
            return Ok(link);
        }
        let mut opening = self.opening(node);
        let opened = tokio::time::timeout_at(deadline, opening.wait_for(Option::is_some)).await;
        let opened = opened.ok().and_then(Result::ok).and_then(|opened| opened.clone());
        opened.unwrap_or(Err(Error::Unavailable))
    }

    /// Returns the opening of a connection, and begins it if there is none.
    fn opening(self: &sync::Arc<Self>, node: raft::NodeId) -> Opening {
        let mut openings = self.openings.lock();
        // The task of an opening may have been cancelled.
        if let Some(opening) = openings.get(&node).filter(|o| o.has_changed().is_ok()) {
            return opening.clone();
        }
        let (sender, opening) = tsync::watch::channel(self.open_link(node).map(Ok));
        if opening.borrow().is_some() {
            return opening;
        }
        openings.insert(node, opening.clone());
        let shared = self.clone();
        tokio::spawn(async move {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, shared.open(node)).await;
            let opened = opened.ok().flatten().ok_or(Error::Unavailable);
            match &opened {
                Ok(link) => drop(shared.links.lock().insert(node, link.clone())),
                Err(_) => shared.leader.record_missing(node),
            }
            shared.openings.lock().remove(&node);
            sender.send_replace(Some(opened));
        });
        opening
    }

    async fn open(&self, node: raft::NodeId) -> Option<Link> {
        let address = self.addresses.resolve(node)?;
        let stream = TcpStream::connect(address).await.ok()?;
        socket::configure(&stream).ok()?;
        let connected = self.identity.handshake(stream).await.ok()?;
        Some(Link::start(node, self.identity.clone(), connected, self.leader.clone()))
    }

    fn open_link(&self, node: raft::NodeId) -> Option<Link> {
        self.links.lock().get(&node).cloned()
    }

    /// Forgets the calls whose time is over. The replica is silent if it left one unanswered
    /// that was for the leader.
    fn expire(&self, node: raft::NodeId, link: &Link) {
        if link.pending.lock().expire(self.identity.clock.now()) {
            self.leader.record_missing(node);
        }
    }

    /// Removes a connection that has ended, unless it has been replaced already.
    fn remove_closed(&self, node: raft::NodeId, link: &Link) {
        let mut links = self.links.lock();
        let is_present = links.get(&node).is_some_and(|l| l.calls.same_channel(&link.calls));
        if is_present && link.calls.is_closed() {
            links.remove(&node);
        }
    }
}

/// The task that searches for the leader. Ended by dropping it.
struct Search {
    leader: sync::Arc<Leader>,
}

impl Search {
    /// Probes one replica after the other until the leader is known, or nobody can make calls.
    async fn run(self, shared: sync::Weak<Shared>) {
        while self.leader.continues_search() {
            let Some(shared) = shared.upgrade() else {
                return;
            };
            shared.probe().await;
        }
    }
}

impl Drop for Search {
    fn drop(&mut self) {
        self.leader.end_search();
    }
}
