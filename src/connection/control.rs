//! The entry's connections to the control replicas.
//!
//! One connection per replica carries all calls, each answered under its own
//! id. A connection that fails is opened again by the next call; calls in
//! flight on it fail at once.

use std::{
    collections, net, sync,
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

/// How long a connection may take to open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Calls that may queue for one connection.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Redirects followed, and replicas tried, for one call.
const MAX_ATTEMPTS: usize = 8;

/// Pause before the next replica is tried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No replica could be reached, or none leads.
    #[snafu(display("no control replica can result"))]
    Unavailable,
    /// It is not known whether the call had an effect.
    #[snafu(display("the result of the control replica was lost"))]
    OutcomeUnknown,
}

type Pending = sync::Arc<Mutex<collections::HashMap<u64, tsync::oneshot::Sender<Reply>>>>;

#[derive(Clone, Debug)]
struct Connection {
    calls: tsync::mpsc::Sender<(u64, Call)>,
    pending: Pending,
}

/// Calls control replicas.
#[derive(Debug)]
pub struct Client {
    identity: peer::Identity,
    addresses: address::AddressBook,
    replicas: Mutex<collections::BTreeSet<raft::NodeId>>,
    connections: Mutex<collections::BTreeMap<raft::NodeId, Connection>>,
    leader: Mutex<Option<raft::NodeId>>,
    next_call_id: AtomicU64,
}

impl Client {
    /// Creates a caller of the given replicas; connections open on demand.
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
            next_call_id: AtomicU64::new(0),
        }
    }

    /// Returns the replicas.
    #[must_use]
    pub fn replicas(&self) -> Vec<raft::NodeId> {
        self.replicas.lock().iter().copied().collect()
    }

    /// Replaces the replicas that may be called. Without any the present ones
    /// stay, since nobody could be asked for others then.
    pub fn set_replicas(&self, replicas: &[raft::NodeId]) {
        if !replicas.is_empty() {
            *self.replicas.lock() = replicas.iter().copied().collect();
        }
    }

    /// Calls one replica.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the call was not sent, and
    /// [`Error::OutcomeUnknown`] if it was and no result came within `timeout`.
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
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.remove_connection(node, &connection);
                Err(Error::OutcomeUnknown)
            }
            Err(_) => Err(Error::OutcomeUnknown),
        }
    }

    /// Calls the leader, following redirects until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no replica took the call, and
    /// [`Error::OutcomeUnknown`] if one may have. A call that was lost is not repeated
    /// here; whoever makes an idempotent one may call again.
    pub async fn call_leader(&self, call: &Call, deadline: time::Instant) -> Result<Reply, Error> {
        for attempt in 0..MAX_ATTEMPTS {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                break;
            }
            let Some(node) = self.next_replica(attempt) else {
                break;
            };
            match self.call(node, call.clone(), remaining).await {
                Ok(Reply::NotLeader { leader }) => {
                    *self.leader.lock() = leader.filter(|l| *l != node);
                    tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
                }
                Ok(Reply::OutcomeUnknown) | Err(Error::OutcomeUnknown) => {
                    *self.leader.lock() = None;
                    return Err(Error::OutcomeUnknown);
                }
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

    fn next_replica(&self, attempt: usize) -> Option<raft::NodeId> {
        let known = *self.leader.lock();
        known.or_else(|| self.replicas.lock().iter().copied().cycle().nth(attempt))
    }

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

    fn remove_connection(&self, node: raft::NodeId, connection: &Connection) {
        let mut connections = self.connections.lock();
        if connections.get(&node).is_some_and(|l| l.calls.same_channel(&connection.calls)) {
            connections.remove(&node);
        }
    }
}

/// Carries calls and replies until the connection fails, then fails all calls
/// in flight by dropping their senders.
async fn run_connection(
    identity: peer::Identity,
    mut sink: peer::Sink,
    mut stream: peer::Stream,
    mut queue: tsync::mpsc::Receiver<(u64, Call)>,
    pending: Pending,
) {
    let sending = async {
        while let Some((id, call)) = queue.recv().await {
            if identity.send(&mut sink, peer::Body::Call { id, call }).await.is_err() {
                return;
            }
        }
    };
    let receiving = async {
        while let Ok(body) = identity.receive(&mut stream).await {
            if let peer::Body::Reply { id, reply } = body
                && let Some(sender) = pending.lock().remove(&id)
            {
                // The caller may have given up; then nobody needs the reply.
                let _ = sender.send(reply);
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
