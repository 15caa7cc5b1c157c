//! Announcements of targets, and the reports in which entry processes
//! (`hornbeamdock-entry`) pass them to the leader.

use serde::{Deserialize, Serialize};

use super::{claim, memory::Item, view};

/// State of a target, as the target announced it to an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the target.
    pub name: String,
    /// Class, address and other properties of the target.
    pub target: view::Target,
    /// Models and adapters in its memory, with their sizes in MiB.
    pub resident: Vec<(Item, u64)>,
    /// Number of requests that it runs or queues.
    pub load: u32,
    /// Models and adapters with requests in flight.
    pub busy: Vec<Item>,
}

/// Demand for a model at one entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the model.
    pub model: String,
    /// Average number of running and waiting requests since the last report, in
    /// thousandths.
    pub load: u64,
}

/// What an entry process reports to the leader: every 500 ms, and sooner when
/// requests wait for an item to be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Session of the entry process.
    pub session: claim::Session,
    /// Latest announcement of each target that sent one since the last report.
    pub announcements: Vec<Announcement>,
    /// Demand by model since the last report.
    pub demand: Vec<Demand>,
    /// Models and adapters that requests wait for.
    pub wanted: Vec<Item>,
}

/// Load of a target, which the leader sends back to entry processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the target.
    pub target: String,
    /// Number of requests that it runs or queues, from all entry processes.
    pub requests: u32,
}
