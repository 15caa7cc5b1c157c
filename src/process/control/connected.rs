//! The processes that are connected to this replica.

use std::{
    collections, sync,
    sync::atomic::{self, AtomicU64},
};

use parking_lot::Mutex;

use crate::connection::peer;

use super::PROCESS_PREFIX;

/// The open connections that other processes have made, each with its process.
#[derive(Debug, Default)]
pub(super) struct Connections {
    last_id: AtomicU64,
    /// Version of the message format in the latest connection of each control replica, by name.
    last_versions: Mutex<collections::BTreeMap<String, u32>>,
    open: Mutex<collections::BTreeMap<u64, peer::Connected>>,
}

impl Connections {
    /// Adds a connection until the returned guard is dropped.
    pub(super) fn add(self: &sync::Arc<Self>, sink: &peer::Sink) -> Open {
        let id = self.last_id.fetch_add(1, atomic::Ordering::Relaxed);
        if let Some(process) = sink.other().cloned() {
            if process.name.starts_with(PROCESS_PREFIX) {
                self.last_versions.lock().insert(process.name.clone(), sink.version());
            }
            let connected = peer::Connected { process, version: sink.version() };
            self.open.lock().insert(id, connected);
        }
        Open { connections: self.clone(), id }
    }

    /// Returns the version of the message format that the control replica with this name uses,
    /// or used in its latest connection; `None` if it has made none.
    pub(super) fn version(&self, name: &str) -> Option<u32> {
        let open = self.open.lock();
        let of_process = open.values().filter(|c| c.process.name == name);
        let oldest = of_process.map(|c| c.version).min();
        oldest.or_else(|| self.last_versions.lock().get(name).copied())
    }

    /// Returns the processes in the order of their names, each once per version in use.
    pub(super) fn list(&self) -> Vec<peer::Connected> {
        let open = self.open.lock();
        open.values().cloned().collect::<collections::BTreeSet<_>>().into_iter().collect()
    }
}

/// Guard of an open connection.
#[derive(Debug)]
pub(super) struct Open {
    connections: sync::Arc<Connections>,
    id: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
    }
}
