//! One connection to a control replica, shared by all calls of the process.

use std::{collections, sync, time};

use parking_lot::Mutex;
use tokio::sync as tsync;

use crate::connection::peer::{self, Call, Reply};

/// Number of calls that may wait to be written to one connection.
const MAX_QUEUED_CALLS: usize = 1_024;

pub(super) type Pending =
    sync::Arc<Mutex<collections::HashMap<u64, tsync::oneshot::Sender<Reply>>>>;

/// An open connection.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) calls: tsync::mpsc::Sender<(u64, Call)>,
    /// Calls without a reply, by id.
    pub(super) pending: Pending,
}

impl Link {
    /// Starts to send calls and receive replies after the handshake.
    pub(super) fn start(identity: peer::Identity, sink: peer::Sink, stream: peer::Stream) -> Self {
        let (calls, queue) = tsync::mpsc::channel(MAX_QUEUED_CALLS);
        let pending = Pending::default();
        tokio::spawn(run(identity, sink, stream, queue, pending.clone()));
        Self { calls, pending }
    }
}

/// The opening of connections to one replica: one at a time, also if many calls need it.
#[derive(Debug, Default)]
pub(super) struct Opening {
    /// When the latest attempt failed.
    pub(super) failed_at: tsync::Mutex<Option<time::Instant>>,
}

/// Sends calls and receives replies until the connection fails. Then fails all
/// calls in flight by dropping the senders of their replies.
async fn run(
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
