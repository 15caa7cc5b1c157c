//! Client for calls to control replicas, used by gateways, entries and the
//! replicas themselves.
//!
//! All calls to a replica share one connection; each reply carries the id of its
//! call. When a connection fails, the calls in flight on it fail at once and the
//! next call opens a new connection.

use std::{
    collections, mem, net, sync,
    sync::atomic::{self, AtomicU64},
    time,
};

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::{net::TcpStream, sync as tsync};

use crate::version::raft;

use super::{
    address,
    peer::{self, Call, Reply},
    socket,
};

/// Time-out for connecting, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Number of calls that may wait to be written to one connection.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Maximum number of replicas called to reach the leader, redirects included.
const MAX_ATTEMPTS: usize = 8;

/// How long a replica may take to answer a call that may be repeated and needs no wait,
/// before the next replica is called.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long a leader that left a call unanswered is not called first, also if other
/// replicas name it.
const SILENT_TIME: time::Duration = time::Duration::from_secs(1);

/// Delay before the next replica is called.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

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

/// Calls since the counts were taken last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls to the leader.
    pub calls: u64,
    /// Attempts to reach it, of which each is a call to one replica.
    pub attempts: u64,
    /// Attempts that were answered with "not the leader".
    pub redirected: u64,
    /// Attempts without an answer, and those that could not be sent.
    pub unanswered: u64,
}

impl CallCounts {
    fn record(&mut self, result: &Result<Reply, Error>) {
        self.attempts += 1;
        match result {
            Ok(Reply::NotLeader { .. }) => self.redirected += 1,
            Err(Error::Unavailable | Error::OutcomeUnknown) => self.unanswered += 1,
            Ok(_) | Err(Error::Unsupported) => {}
        }
    }
}

type Pending = sync::Arc<Mutex<collections::HashMap<u64, tsync::oneshot::Sender<Reply>>>>;

#[derive(Clone, Debug)]
struct Connection {
    calls: tsync::mpsc::Sender<(u64, Call)>,
    pending: Pending,
}

/// Client for calls to control replicas.
#[derive(Debug)]
pub struct Client {
    identity: peer::Identity,
    addresses: address::AddressBook,
    /// Replicas to try while the leader is not known.
    replicas: Mutex<collections::BTreeSet<raft::NodeId>>,
    connections: Mutex<collections::BTreeMap<raft::NodeId, Connection>>,
    /// Leader as of the latest reply.
    leader: Mutex<Option<raft::NodeId>>,
    /// Replicas that left their latest call unanswered, and when. One on a suspended
    /// machine accepts calls without answering.
    silent: Mutex<collections::BTreeMap<raft::NodeId, time::Instant>>,
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
            connections: Mutex::default(),
            leader: Mutex::new(None),
            silent: Mutex::default(),
            next_call_id: AtomicU64::new(0),
            counts: Mutex::default(),
        }
    }

    /// Returns the counts of calls to the leader, and starts them anew.
    pub fn take_counts(&self) -> CallCounts {
        mem::take(&mut *self.counts.lock())
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
        *self.leader.lock() = Some(leader);
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
        let connection = self.connection(node).await?;
        let id = self.next_call_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, reply) = tsync::oneshot::channel();
        connection.pending.lock().insert(id, sender);
        if connection.calls.send((id, call)).await.is_err() {
            connection.pending.lock().remove(&id);
            self.remove_connection(node, &connection);
            return Err(Error::Unavailable);
        }
        let result = tokio::time::timeout(timeout, reply).await;
        connection.pending.lock().remove(&id);
        match result {
            Ok(Ok(reply)) => {
                self.silent.lock().remove(&node);
                if matches!(reply, Reply::Unsupported) {
                    Err(Error::Unsupported)
                } else {
                    Ok(reply)
                }
            }
            Ok(Err(_)) => {
                self.remove_connection(node, &connection);
                Err(Error::OutcomeUnknown)
            }
            Err(_) => {
                self.silent.lock().insert(node, time::Instant::now());
                Err(Error::OutcomeUnknown)
            }
        }
    }

    /// Calls the leader, following redirects until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no leader accepted the call, [`Error::Unsupported`] if
    /// a replica that was called does not know it, and [`Error::OutcomeUnknown`] if the call may have taken effect. In that case it
    /// is repeated here only if [`Call::is_repeatable`]; callers may repeat idempotent
    /// calls.
    pub async fn call_leader(&self, call: &Call, deadline: time::Instant) -> Result<Reply, Error> {
        self.counts.lock().calls += 1;
        for attempt in 0..MAX_ATTEMPTS {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                break;
            }
            let Some(node) = self.next_replica(attempt) else {
                break;
            };
            let timeout =
                if call.is_repeatable() { remaining.min(ATTEMPT_TIMEOUT) } else { remaining };
            let result = self.call(node, call.clone(), timeout).await;
            self.counts.lock().record(&result);
            match result {
                Ok(Reply::NotLeader { leader }) => {
                    *self.leader.lock() = leader.filter(|l| *l != node);
                    tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
                }
                Ok(Reply::OutcomeUnknown) | Err(Error::OutcomeUnknown) => {
                    *self.leader.lock() = None;
                    if !call.is_repeatable() {
                        return Err(Error::OutcomeUnknown);
                    }
                }
                Err(Error::Unsupported) => return Err(Error::Unsupported),
                Err(Error::Unavailable) => {
                    *self.leader.lock() = None;
                    tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
                }
                Ok(reply) => {
                    *self.leader.lock() = Some(node);
                    return Ok(reply);
                }
            }
        }
        Err(Error::Unavailable)
    }

    /// Returns the leader if it is known and answers, and otherwise each replica in turn,
    /// the silent ones last and of these the latest one last.
    fn next_replica(&self, attempt: usize) -> Option<raft::NodeId> {
        let now = time::Instant::now();
        let silent = self.silent.lock();
        let answers =
            |node: &raft::NodeId| silent.get(node).is_none_or(|at| now >= *at + SILENT_TIME);
        let leader = (*self.leader.lock()).filter(answers);
        leader.or_else(|| {
            let mut replicas: Vec<_> = self.replicas.lock().iter().copied().collect();
            replicas.sort_by_key(|node| silent.get(node));
            replicas.into_iter().cycle().nth(attempt)
        })
    }

    /// Returns the open connection to a replica, or opens one.
    async fn connection(&self, node: raft::NodeId) -> Result<Connection, Error> {
        if let Some(connection) = self.connections.lock().get(&node) {
            return Ok(connection.clone());
        }
        let address = self.addresses.resolve(node).ok_or(Error::Unavailable)?;
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            socket::configure(&stream).ok()?;
            self.identity.handshake(stream).await.ok()
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let Ok(Some((sink, stream))) = opened else {
            return Err(Error::Unavailable);
        };
        let (calls, queue) = tsync::mpsc::channel(MAX_QUEUED_CALLS);
        let pending = Pending::default();
        let connection = Connection { calls, pending: pending.clone() };
        tokio::spawn(run_connection(self.identity.clone(), sink, stream, queue, pending));
        self.connections.lock().insert(node, connection.clone());
        Ok(connection)
    }

    /// Removes a failed connection, unless it has been replaced already.
    fn remove_connection(&self, node: raft::NodeId, connection: &Connection) {
        let mut connections = self.connections.lock();
        if connections.get(&node).is_some_and(|c| c.calls.same_channel(&connection.calls)) {
            connections.remove(&node);
        }
    }
}

/// Sends calls and receives replies until the connection fails. Then fails all
/// calls in flight by dropping the senders of their replies.
async fn run_connection(
    identity: peer::Identity,
    mut sink: peer::Sink,
    mut stream: peer::Stream,
    mut queue: tsync::mpsc::Receiver<(u64, Call)>,
    pending: Pending,
) {
    let answer = |id, reply| {
        // Sending fails if the caller has stopped waiting for the reply.
        let _ = pending.lock().remove(&id).map(|sender| sender.send(reply));
    };
    let sending = async {
        while let Some((id, call)) = queue.recv().await {
            match identity.send(&mut sink, peer::Body::Call { id, call }).await {
                Ok(()) => {}
                Err(error) if error.is_recoverable() => answer(id, Reply::Unsupported),
                Err(_) => return,
            }
        }
    };
    let receiving = async {
        while let Ok(received) = identity.receive(&mut stream).await {
            if let peer::Received::Message(peer::Body::Reply { id, reply }) = received {
                answer(id, reply);
            }
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
    }
    queue.close();
    pending.lock().clear();
}
