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
const QUEUE: usize = 1_024;

/// Redirects followed, and replicas tried, for one call.
const TRIES: usize = 8;

/// Pause before the next replica is tried.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No replica could be reached, or none leads.
    #[snafu(display("no control replica can answer"))]
    Unavailable,
    /// It is not known whether the call had an effect.
    #[snafu(display("the answer of the control replica was lost"))]
    Lost,
}

type Pending = sync::Arc<Mutex<collections::HashMap<u64, tsync::oneshot::Sender<Reply>>>>;

#[derive(Clone, Debug)]
struct Line {
    calls: tsync::mpsc::Sender<(u64, Call)>,
    pending: Pending,
}

/// Calls control replicas.
#[derive(Debug)]
pub struct Control {
    identity: peer::Identity,
    book: address::Book,
    replicas: Mutex<collections::BTreeSet<raft::NodeId>>,
    lines: Mutex<collections::BTreeMap<raft::NodeId, Line>>,
    leader: Mutex<Option<raft::NodeId>>,
    next: AtomicU64,
}

impl Control {
    /// Creates a caller of the given replicas; connections open on demand.
    #[must_use]
    pub fn new(
        identity: peer::Identity,
        replicas: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
    ) -> Self {
        let book = address::Book::new(replicas);
        let replicas = Mutex::new(book.named().collect());
        Self {
            identity,
            book,
            replicas,
            lines: Mutex::default(),
            leader: Mutex::new(None),
            next: AtomicU64::new(0),
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
    /// [`Error::Lost`] if it was and no answer came within `timeout`.
    pub async fn call(
        &self,
        node: raft::NodeId,
        call: Call,
        timeout: time::Duration,
    ) -> Result<Reply, Error> {
        let line = self.line(node).await?;
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, reply) = tsync::oneshot::channel();
        line.pending.lock().insert(id, sender);
        if line.calls.send((id, call)).await.is_err() {
            line.pending.lock().remove(&id);
            self.drop_line(node, &line);
            return Err(Error::Unavailable);
        }
        let answer = tokio::time::timeout(timeout, reply).await;
        line.pending.lock().remove(&id);
        match answer {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.drop_line(node, &line);
                Err(Error::Lost)
            }
            Err(_) => Err(Error::Lost),
        }
    }

    /// Calls the leader, following redirects until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no replica took the call, and
    /// [`Error::Lost`] if one may have. A call that was lost is not repeated
    /// here; whoever makes an idempotent one may call again.
    pub async fn lead(&self, call: &Call, deadline: time::Instant) -> Result<Reply, Error> {
        for turn in 0..TRIES {
            let left = deadline.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            let Some(node) = self.guess(turn) else {
                break;
            };
            match self.call(node, call.clone(), left).await {
                Ok(Reply::NotLeader { leader }) => {
                    *self.leader.lock() = leader.filter(|l| *l != node);
                    tokio::time::sleep(PAUSE.min(left)).await;
                }
                Ok(Reply::Lost) | Err(Error::Lost) => {
                    *self.leader.lock() = None;
                    return Err(Error::Lost);
                }
                Err(Error::Unavailable) => {
                    *self.leader.lock() = None;
                    tokio::time::sleep(PAUSE.min(left)).await;
                }
                Ok(reply) => {
                    *self.leader.lock() = Some(node);
                    return Ok(reply);
                }
            }
        }
        Err(Error::Unavailable)
    }

    fn guess(&self, turn: usize) -> Option<raft::NodeId> {
        let known = *self.leader.lock();
        known.or_else(|| self.replicas.lock().iter().copied().cycle().nth(turn))
    }

    async fn line(&self, node: raft::NodeId) -> Result<Line, Error> {
        if let Some(line) = self.lines.lock().get(&node) {
            return Ok(line.clone());
        }
        let address = self.book.find(node).ok_or(Error::Unavailable)?;
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            socket::tune(&stream).ok()?;
            self.identity.greet(stream).await.ok()
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let Ok(Some((sink, stream))) = opened else {
            return Err(Error::Unavailable);
        };
        let (calls, queue) = tsync::mpsc::channel(QUEUE);
        let pending = Pending::default();
        let line = Line { calls, pending: pending.clone() };
        tokio::spawn(carry(self.identity.clone(), sink, stream, queue, pending));
        self.lines.lock().insert(node, line.clone());
        Ok(line)
    }

    fn drop_line(&self, node: raft::NodeId, line: &Line) {
        let mut lines = self.lines.lock();
        if lines.get(&node).is_some_and(|l| l.calls.same_channel(&line.calls)) {
            lines.remove(&node);
        }
    }
}

/// Carries calls and replies until the connection fails, then fails all calls
/// in flight by dropping their senders.
async fn carry(
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
