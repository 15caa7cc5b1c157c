//! Connections from one replica to the others.

use std::{collections, sync, time};

use parking_lot::Mutex;
use tokio::{net as tnet, runtime, sync as tsync};

use crate::{
    connection::{address, peer, socket},
    version::raft,
};

/// Messages that may queue for one replica. Consensus repeats what is dropped,
/// and so do gossip and reports.
const QUEUE: usize = 4_096;

/// Pause before a connection to a replica is tried again.
const RECONNECT: time::Duration = time::Duration::from_millis(200);

/// How long a connection may take to open.
const CONNECT: time::Duration = time::Duration::from_secs(1);

/// Sends messages to other replicas, over one connection to each, which opens
/// with the first message.
#[derive(Debug)]
pub(super) struct Mesh {
    addresses: address::AddressBook,
    identity: peer::Identity,
    runtime: runtime::Handle,
    queues: Mutex<collections::BTreeMap<raft::NodeId, tsync::mpsc::Sender<peer::Body>>>,
}

impl Mesh {
    /// Creates a mesh without connections, on the current runtime.
    pub(super) fn new(
        addresses: address::AddressBook,
        identity: peer::Identity,
    ) -> sync::Arc<Self> {
        let runtime = runtime::Handle::current();
        sync::Arc::new(Self { addresses, identity, runtime, queues: Mutex::default() })
    }

    /// Sends a message, or drops it if too many wait already.
    pub(super) fn send(&self, to: raft::NodeId, body: peer::Body) {
        let mut queues = self.queues.lock();
        let queue = queues.entry(to).or_insert_with(|| self.open(to));
        if queue.try_send(body).is_err() && queue.is_closed() {
            queues.remove(&to);
        }
    }

    fn open(&self, to: raft::NodeId) -> tsync::mpsc::Sender<peer::Body> {
        let (sender, queue) = tsync::mpsc::channel(QUEUE);
        if let Some(address) = self.addresses.resolve(to) {
            self.runtime.spawn(forward(self.identity.clone(), address, queue));
        } else {
            spdlog::warn!("a replica without an address", kv: { replica = to });
        }
        sender
    }
}

/// Sends messages to one replica, over one connection at a time.
async fn forward(
    identity: peer::Identity,
    address: std::net::SocketAddr,
    mut queue: tsync::mpsc::Receiver<peer::Body>,
) {
    let mut reached = true;
    loop {
        let opened = async {
            let stream = tnet::TcpStream::connect(address).await.ok()?;
            socket::configure(&stream).ok()?;
            identity.handshake(stream).await.ok()
        };
        let opened = tokio::time::timeout(CONNECT, opened).await;
        let Ok(Some((mut sink, mut stream))) = opened else {
            if reached {
                spdlog::warn!("lost a replica", kv: { address = address.to_string().as_str() });
            }
            reached = false;
            tokio::time::sleep(RECONNECT).await;
            // What queued up meanwhile is out of date.
            while queue.try_recv().is_ok() {}
            continue;
        };
        if !reached {
            spdlog::info!("regained a replica", kv: { address = address.to_string().as_str() });
        }
        reached = true;
        loop {
            let body = tokio::select! {
                body = queue.recv() => body,
                // Nothing is sent back on this connection, so whatever arrives
                // is its end.
                _ = identity.receive(&mut stream) => break,
            };
            let Some(body) = body else {
                return;
            };
            if identity.send(&mut sink, body).await.is_err() {
                break;
            }
        }
    }
}
