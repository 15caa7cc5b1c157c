//! The commands that change a view, and the targets in it.

use std::{net, sync};

use serde::{Deserialize, Serialize};

use crate::version::{
    catalog, key,
    memory::{self, Item},
    raft, record, suspect,
};

/// Properties that a target announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Address for requests and orders.
    pub address: net::SocketAddr,
    /// Name of its class record. Without such a record it is assumed to check nothing.
    pub class: String,
    /// Name of the plain service that it runs, or `None` for a model engine.
    pub service: Option<String>,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Accelerator memory, in MiB.
    pub memory: u64,
    /// Identifies one start of the target; a later start has a higher number.
    pub incarnation: u64,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts requests.
    pub presence: Presence,
}

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It sends announcements and accepts requests.
    Up,
    /// It is shutting down or was taken out of service, and gets no new requests.
    Leaving,
    /// Its announcements stopped.
    Down,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts all of these records in force, or none if one is refused.
    PutRecords(Vec<record::Record>),
    /// Puts a catalog in force. Has no effect if its version is not higher than that
    /// of the catalog in force.
    PutCatalog(sync::Arc<catalog::Catalog>),
    /// Puts a catalog in force that is given as a patch of the one in force. Sent only
    /// to the copies of the view in gateways; the log contains complete catalogs.
    PatchCatalog(sync::Arc<catalog::patch::Patch>),
    /// Grants a key.
    GrantKey {
        /// Public part of the key.
        id: String,
        /// Digest of the secret part of the key.
        digest: key::SecretDigest,
        /// Access that the key gives.
        scope: key::Scope,
    },
    /// Withdraws a key permanently. Its id cannot be granted again.
    WithdrawKey {
        /// Public part of the key.
        id: String,
    },
    /// Records an announcement of a target that differs from the earlier ones.
    AnnounceTarget {
        /// Name of the target.
        name: String,
        /// Announced properties.
        target: Target,
        /// Resident items with their memory in MiB. Only used for a new incarnation.
        resident: Vec<(Item, u64)>,
    },
    /// Takes a target out of service, on request of an operator.
    MarkLeaving {
        /// Name of the target.
        name: String,
    },
    /// Marks a target as down, because its announcements stopped.
    MarkDown {
        /// Name of the target.
        name: String,
        /// Incarnation that the command is for.
        incarnation: u64,
    },
    /// Removes a target that has been leaving or down for the retention period. Has no
    /// effect while an order to it is pending.
    RemoveTarget {
        /// Name of the target.
        name: String,
        /// Incarnation that the command is for.
        incarnation: u64,
    },
    /// Charges the memory ledger for an order to load or unload an item. The index of
    /// the log entry is the fencing token of the order.
    Order {
        /// Name of the target.
        target: String,
        /// Incarnation that the order is for.
        incarnation: u64,
        /// Load or unload.
        verb: memory::Verb,
        /// Item to load or unload.
        item: Item,
        /// Memory charged for a load, in MiB.
        memory: u64,
    },
    /// Records the response of a target to an order.
    Acknowledge {
        /// Name of the target.
        target: String,
        /// Incarnation that responded.
        incarnation: u64,
        /// Item of the order.
        item: Item,
        /// Fencing token of the order.
        fence: raft::Index,
        /// The response.
        ack: memory::Ack,
    },
    /// Stops or resumes the routing of requests to an item on a target.
    Drain {
        /// Name of the target.
        target: String,
        /// The item.
        item: Item,
        /// True to stop the routing, false to resume it.
        draining: bool,
    },
    /// Records that an item which is resident according to the ledger is missing from
    /// the announcements of its target.
    ReportMissing {
        /// Name of the target.
        target: String,
        /// Incarnation that announced itself without the item.
        incarnation: u64,
        /// The item.
        item: Item,
    },
    /// Records that a target crashed with a request in flight.
    RecordCrash {
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
        /// Whether it ran as a trial, with no other request of its gateway on the target.
        exclusive: bool,
    },
    /// Reserves a target for a trial of a suspect, until it finishes or times out.
    ReserveTarget {
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
        /// Name of the target.
        target: String,
    },
    /// Clears a suspect that finished without a crash.
    ClearSuspect {
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
    },
    /// Drops suspects and trials that have expired.
    ExpireSuspects,
}
