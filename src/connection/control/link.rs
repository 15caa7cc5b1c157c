//! One connection to a control replica, shared by all calls of the process.

use std::sync;

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::{
    connection::peer::{self, Call, Reply},
    version::raft,
};

use super::{
    leader::Leader,
    pending::{Callee, PendingCalls},
};

/// Number of calls that may wait to be written to one connection.
const MAX_QUEUED_CALLS: usize = 1_024;

/// A call that waits to be written.
#[derive(Debug)]
pub(super) struct QueuedCall {
    pub(super) id: u64,
    pub(super) call: Call,
    /// Written before the call. The replica handles it first, so its reply proves that.
    pub(super) prefix: Option<peer::Body>,
}

/// An open connection.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) calls: tsync::mpsc::Sender<QueuedCall>,
    pub(super) pending: sync::Arc<Mutex<PendingCalls>>,
}

impl Link {
    /// Starts to send calls to `node` and receive replies after the handshake. What the replies
    /// tell of the leader is recorded in `leader`.
    pub(super) fn start(
        node: raft::NodeId,
        identity: peer::Identity,
        (sink, stream): (peer::Sink, peer::Stream),
        leader: sync::Arc<Leader>,
    ) -> Self {
        let (calls, queue) = tsync::mpsc::channel(MAX_QUEUED_CALLS);
        let pending = sync::Arc::<Mutex<PendingCalls>>::default();
        let connection = Connection { node, identity, pending: pending.clone(), leader };
        tokio::spawn(connection.run(sink, stream, queue));
        Self { calls, pending }
    }
}

/// What the task of a connection needs.
struct Connection {
    node: raft::NodeId,
    identity: peer::Identity,
    pending: sync::Arc<Mutex<PendingCalls>>,
    leader: sync::Arc<Leader>,
}

impl Connection {
    /// Sends calls and receives replies until the connection fails, or nobody can make calls.
    /// Then fails all calls that wait, by dropping the senders of their replies.
    async fn run(
        self,
        mut sink: peer::Sink,
        mut stream: peer::Stream,
        mut queue: tsync::mpsc::Receiver<QueuedCall>,
    ) {
        let sending = async {
            while let Some(QueuedCall { id, call, prefix }) = queue.recv().await {
                for body in prefix.into_iter().chain([peer::Body::Call { id, call }]) {
                    match self.identity.send(&mut sink, body).await {
                        Ok(()) => {}
                        Err(error) if error.is_recoverable() => {
                            self.answer(id, Reply::Unsupported);
                            break;
                        }
                        Err(_) => return,
                    }
                }
            }
        };
        let receiving = async {
            while let Ok(received) = self.identity.receive(&mut stream).await {
                if let peer::Received::Message(peer::Body::Reply { id, reply }) = received {
                    self.answer(id, reply);
                }
            }
        };
        tokio::select! {
            () = sending => {}
            () = receiving => {}
        }
        queue.close();
        if self.pending.lock().fail() {
            self.leader.record_missing(self.node);
        }
    }

    /// Hands a reply to its caller. It tells of the leader also if the caller has given up.
    fn answer(&self, id: u64, reply: Reply) {
        let mut pending = self.pending.lock();
        let now = self.identity.clock.now();
        // Recorded first, so that a caller that is redirected does not call this replica again.
        if pending.callee(id) == Some(Callee::Leader) {
            self.leader.record_reply(self.node, &reply);
        }
        pending.answer(id, reply, now);
    }
}
