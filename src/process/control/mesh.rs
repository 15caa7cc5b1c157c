//! Outgoing connections of a replica to the other replicas.

use std::{collections, sync, time};

use parking_lot::Mutex;
use tokio::{net as tnet, runtime, sync as tsync};

use crate::{
    connection::{address, outbox::Outbox, peer, socket},
    version::{directory, raft},
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
    waiting: Mutex<Waiting>,
    /// Notified when there are messages.
    filled: tsync::Notify,
}

#[derive(Debug)]
struct Waiting {
    outbox: Outbox<peer::Body>,
    /// Departures in the outbox. They are repeated for as long as they may not be known.
    departures: collections::HashSet<directory::Departure>,
}

impl Waiting {
    fn push(&mut self, body: peer::Body) {
        if departure(&body).is_none_or(|departure| self.departures.insert(departure)) {
            self.outbox.push(weight::class(&body), weight::bytes(&body), body);
        }
    }

    fn pop(&mut self) -> Option<peer::Body> {
        let body = self.outbox.pop()?;
        if let Some(departure) = departure(&body) {
            self.departures.remove(&departure);
        }
        Some(body)
    }
}

impl Queue {
    fn new() -> Self {
        let departures = collections::HashSet::new();
        let waiting = Waiting { outbox: Outbox::new(QUEUE_BYTES), departures };
        Self { waiting: Mutex::new(waiting), filled: tsync::Notify::new() }
    }

    fn push(&self, body: peer::Body) {
        self.waiting.lock().push(body);
        self.filled.notify_one();
    }

    /// Waits for the next message.
    async fn next(&self) -> peer::Body {
        loop {
            if let Some(body) = self.waiting.lock().pop() {
                return body;
            }
            self.filled.notified().await;
        }
    }
}

/// Returns the departure that a message tells of.
fn departure(body: &peer::Body) -> Option<directory::Departure> {
    let peer::Body::Gossip { gossip: peer::Gossip::Leaving { id, incarnation }, .. } = body else {
        return None;
    };
    incarnation.map(|incarnation| directory::Departure { id: id.clone(), incarnation })
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
            queue.waiting.lock().outbox.clear();
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
