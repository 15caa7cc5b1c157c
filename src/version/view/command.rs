//! The commands that change a view, and the targets that they speak of.

use std::{net, sync};

use serde::{Deserialize, Serialize};

use crate::version::{
    catalog, key,
    memory::{self, Item},
    raft, record, suspect,
};

/// What a target announces itself as.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Name of its class record; without such a record it checks nothing.
    pub class: String,
    /// Plain service that it is an instance of, or `None` for an engine.
    pub service: Option<String>,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Accelerator memory, in MiB.
    pub memory: u64,
    /// Grows with every start of the target.
    pub incarnation: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub presence: Presence,
}

/// Whether a target takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It announces itself and takes requests.
    Up,
    /// It said that it leaves; it gets no new work.
    Leaving,
    /// It stopped announcing itself.
    Down,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put records in force, all or none.
    PutRecords(Vec<record::Record>),
    /// Put a catalog in force, unless its version is not higher than that of
    /// the one in force.
    PutCatalog(sync::Arc<catalog::Catalog>),
    /// Put a catalog in force that is told as a change of the one in force. Only
    /// copies of the view get this; the log holds whole catalogs.
    PatchCatalog(sync::Arc<catalog::patch::Patch>),
    /// Grant a key.
    GrantKey {
        /// Public part of the key.
        id: String,
        /// Digest of its secret part.
        digest: key::SecretDigest,
        /// What it opens.
        scope: key::Scope,
    },
    /// Withdraw a key for ever.
    WithdrawKey {
        /// Public part of the key.
        id: String,
    },
    /// A target announced itself with something new.
    AnnounceTarget {
        /// Name of the target.
        name: String,
        /// What it announced.
        target: Target,
        /// What it holds, with memory in MiB; counts for a new incarnation.
        resident: Vec<(Item, u64)>,
    },
    /// An operator takes a target out of service.
    MarkLeaving {
        /// Name of the target.
        name: String,
    },
    /// A target's announcements lapsed.
    MarkDown {
        /// Name of the target.
        name: String,
        /// Incarnation that lapsed.
        incarnation: u64,
    },
    /// A target that lapsed long ago is dropped.
    RemoveTarget {
        /// Name of the target.
        name: String,
        /// Incarnation that lapsed.
        incarnation: u64,
    },
    /// Order a load or unload; the log index is the fencing number.
    Order {
        /// Name of the target.
        target: String,
        /// Incarnation that the order is for.
        incarnation: u64,
        /// What to do.
        verb: memory::Verb,
        /// With what.
        item: Item,
        /// Memory that a load takes, in MiB.
        memory: u64,
    },
    /// A target answered an order.
    Acknowledge {
        /// Name of the target.
        target: String,
        /// Incarnation that answered.
        incarnation: u64,
        /// With what.
        item: Item,
        /// Fencing number of the order.
        fence: raft::Index,
        /// The answer.
        ack: memory::Ack,
    },
    /// Stop routing to an item on a target, or route to it again.
    Drain {
        /// Name of the target.
        target: String,
        /// The item.
        item: Item,
        /// Whether to stop.
        stop: bool,
    },
    /// A target reports that it lacks an item that it should hold.
    ReportMissing {
        /// Name of the target.
        target: String,
        /// Incarnation that reports it.
        incarnation: u64,
        /// The item.
        item: Item,
    },
    /// A target crashed with a request in flight.
    RecordCrash {
        /// The request.
        fingerprint: suspect::Fingerprint,
        /// Whether it ran apart from others.
        exclusive: bool,
    },
    /// Give a target to a suspect for as long as it runs there.
    ReserveTarget {
        /// The request.
        fingerprint: suspect::Fingerprint,
        /// Name of the target.
        target: String,
    },
    /// A suspect finished.
    ClearSuspect {
        /// The request.
        fingerprint: suspect::Fingerprint,
    },
    /// Drop suspicions behind the horizon.
    ExpireSuspects,
}
