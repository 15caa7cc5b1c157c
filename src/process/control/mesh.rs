//! Outgoing connections of a replica to the other replicas.

use std::{collections, sync, time};

use parking_lot::Mutex;
use tokio::{net as tnet, runtime, sync as tsync};

use crate::{
    connection::{address, peer, socket},
    version::raft,
};

/// Maximum number of messages queued for one replica. Messages beyond it are
/// dropped: Raft, gossip and traffic reports all send again.
const QUEUE_CAPACITY: usize = 4_096;

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
    queues: Mutex<collections::BTreeMap<raft::NodeId, tsync::mpsc::Sender<peer::Body>>>,
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

    /// Queues a message for a replica, or drops it if the queue is full.
    pub(super) fn send(&self, to: raft::NodeId, body: peer::Body) {
        let mut queues = self.queues.lock();
        let queue = queues.entry(to).or_insert_with(|| self.open_queue(to));
        if queue.try_send(body).is_err() && queue.is_closed() {
            queues.remove(&to);
        }
    }

    fn open_queue(&self, to: raft::NodeId) -> tsync::mpsc::Sender<peer::Body> {
        let (sender, queue) = tsync::mpsc::channel(QUEUE_CAPACITY);
        if let Some(address) = self.addresses.resolve(to) {
            self.runtime.spawn(send_queued(self.identity.clone(), address, queue));
        } else {
            spdlog::warn!("replica has no known address; message dropped", kv: { replica = to });
        }
        sender
    }
}

/// Sends queued messages to one replica, and reconnects when the connection fails.
async fn send_queued(
    identity: peer::Identity,
    address: std::net::SocketAddr,
    mut queue: tsync::mpsc::Receiver<peer::Body>,
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
            while queue.try_recv().is_ok() {}
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
                body = queue.recv() => body,
                // The other side sends nothing on this connection after the
                // handshake, so this completes only when the connection ends.
                _ = identity.receive(&mut stream) => break,
            };
            let Some(body) = body else {
                return;
            };
            // A message that the other build does not know is left out.
            if identity.send(&mut sink, body).await.is_err_and(|error| !error.is_recoverable()) {
                break;
            }
        }
    }
}
