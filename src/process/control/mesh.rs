//! Outgoing connections of a replica to the other replicas.

use std::{collections, sync, time};

use parking_lot::Mutex;
use tokio::{net as tnet, runtime, sync as tsync};

use crate::{
    connection::{
        address,
        outbox::{Class, Outbox},
        peer, socket,
    },
    version::raft,
};

use super::weight;

/// Maximum number of bytes queued for one replica. Messages beyond it are dropped: Raft, gossip
/// and traffic reports all send again.
const QUEUE_BYTES: usize = 4 << 20;

/// Delay before connecting to a replica is tried again.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(200);

/// Time limit for connecting, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Sends messages to the other replicas, over one connection to each, which is
/// opened by the first message.
#[derive(Debug)]
pub(super) struct Mesh {
    addresses: address::AddressBook,
    identity: peer::Identity,
    runtime: runtime::Handle,
    queues: Mutex<collections::BTreeMap<raft::NodeId, sync::Arc<Queue>>>,
}

/// Messages for one replica.
#[derive(Debug)]
struct Queue {
    outbox: Mutex<Outbox<peer::Body>>,
    /// Notified when there are messages.
    filled: tsync::Notify,
}

impl Queue {
    fn new() -> Self {
        Self { outbox: Mutex::new(Outbox::new(QUEUE_BYTES)), filled: tsync::Notify::new() }
    }

    fn push(&self, body: peer::Body) {
        let class = weight::class(&body);
        let mut outbox = self.outbox.lock();
        // A departure is repeated for as long as it may not be known.
        if class == Class::Departure && outbox.waiting(class).any(|b| is_same_departure(b, &body)) {
            return;
        }
        outbox.push(class, weight::bytes(&body), body);
        drop(outbox);
        self.filled.notify_one();
    }

    /// Waits for the next message.
    async fn next(&self) -> peer::Body {
        loop {
            if let Some(body) = self.outbox.lock().pop() {
                return body;
            }
            self.filled.notified().await;
        }
    }
}

fn is_same_departure(a: &peer::Body, b: &peer::Body) -> bool {
    let departure = |body: &peer::Body| match body {
        peer::Body::Gossip { gossip: peer::Gossip::Leaving { id, incarnation }, .. } => {
            Some((id.clone(), *incarnation))
        }
        _ => None,
    };
    departure(a) == departure(b)
}

impl Mesh {
    /// Creates a mesh without connections. Its tasks run on `runtime`, wherever
    /// [`Mesh::send`] is called.
    pub(super) fn new(
        addresses: address::AddressBook,
        identity: peer::Identity,
        runtime: runtime::Handle,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self { addresses, identity, runtime, queues: Mutex::default() })
    }

    /// Queues a message for a replica. If the queue is full, what is out of date first is
    /// dropped.
    pub(super) fn send(&self, to: raft::NodeId, body: peer::Body) {
        if let Some(queue) = self.queue(to) {
            queue.push(body);
        } else {
            spdlog::warn!("replica has no known address; message dropped", kv: { replica = to });
        }
    }

    fn queue(&self, to: raft::NodeId) -> Option<sync::Arc<Queue>> {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(&to) {
            return Some(queue.clone());
        }
        let address = self.addresses.resolve(to)?;
        let queue = sync::Arc::new(Queue::new());
        self.runtime.spawn(send_queued(self.identity.clone(), address, queue.clone()));
        queues.insert(to, queue.clone());
        Some(queue)
    }
}

/// Sends queued messages to one replica, and reconnects when the connection fails. Never returns.
async fn send_queued(
    identity: peer::Identity,
    address: std::net::SocketAddr,
    queue: sync::Arc<Queue>,
) {
    let mut reachable = true;
    loop {
        let connecting = async {
            let stream = tnet::TcpStream::connect(address).await.ok()?;
            socket::configure(&stream).ok()?;
            identity.handshake(stream).await.ok()
        };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Some((mut sink, mut stream))) = connected else {
            if reachable {
                spdlog::warn!("connecting to a replica failed; retrying", kv: {
                    address = address.to_string().as_str()
                });
            }
            reachable = false;
            tokio::time::sleep(RECONNECT_DELAY).await;
            // Messages queued in the meantime are out of date.
            queue.outbox.lock().clear();
            continue;
        };
        if !reachable {
            spdlog::info!("connected to a replica again", kv: {
                address = address.to_string().as_str()
            });
        }
        reachable = true;
        loop {
            let body = tokio::select! {
                body = queue.next() => body,
                // The other side sends nothing on this connection after the
                // handshake, so this completes only when the connection ends.
                _ = identity.receive(&mut stream) => break,
            };
            // A message that the other build does not know is left out.
            if identity.send(&mut sink, body).await.is_err_and(|error| !error.is_recoverable()) {
                break;
            }
        }
    }
}
