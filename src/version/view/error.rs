//! Why a view refuses a command.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::version::{catalog, memory, record};

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum Error {
    /// A change of a catalog is for another catalog than the one held.
    #[snafu(display("the change is for another catalog"))]
    CatalogMismatch,
    /// A catalog contradicts itself.
    #[snafu(display("{source}"))]
    InvalidCatalog {
        /// How.
        source: catalog::Error,
    },
    /// The version is in force with other content.
    #[snafu(display("{id} version {version} is in force with content {held}, not {given}"))]
    VersionConflict {
        /// The record.
        id: record::Id,
        /// Its version.
        version: u64,
        /// Digest of the content in force.
        held: record::Digest,
        /// Digest of the content given.
        given: record::Digest,
    },
    /// A newer version is in force.
    #[snafu(display("{id} is in force in version {held}, which is newer than {given}"))]
    VersionStale {
        /// The record.
        id: record::Id,
        /// Version in force.
        held: u64,
        /// Version given.
        given: u64,
    },
    /// A record names one that is not in force.
    #[snafu(display("{id} needs {missing}, which is not in force"))]
    MissingReference {
        /// The record.
        id: record::Id,
        /// What it needs.
        missing: record::Id,
    },
    /// Two routes have the same path.
    #[snafu(display("{id} has the path {path} of {other}"))]
    SamePath {
        /// The record.
        id: record::Id,
        /// The other route.
        other: record::Id,
        /// The path.
        path: String,
    },
    /// The key id was granted with another secret or scope.
    #[snafu(display("key {id} was granted with another secret or scope"))]
    KeyTaken {
        /// Public part of the key.
        id: String,
    },
    /// The key was withdrawn.
    #[snafu(display("key {id} was withdrawn and is not granted again"))]
    KeyWithdrawn {
        /// Public part of the key.
        id: String,
    },
    /// The key is not known.
    #[snafu(display("key {id} is not known"))]
    KeyUnknown {
        /// Public part of the key.
        id: String,
    },
    /// The workspace has no record.
    #[snafu(display("workspace {workspace} has no record"))]
    NoWorkspace {
        /// Its name.
        workspace: String,
    },
    /// The last key that operates the whole system can't be withdrawn.
    #[snafu(display("key {id} is the last that operates the system"))]
    LastOperator {
        /// Public part of the key.
        id: String,
    },
    /// The target is not known.
    #[snafu(display("target {name} is not known"))]
    TargetUnknown {
        /// Name of the target.
        name: String,
    },
    /// Another suspect is on the target.
    #[snafu(display("another suspect is on target {target}"))]
    TargetReserved {
        /// Name of the target.
        target: String,
    },
    /// The memory ledger refused.
    #[snafu(display("{source}"))]
    Memory {
        /// What it says.
        source: memory::Error,
    },
    /// The target has another incarnation by now.
    #[snafu(display("target {name} is not in incarnation {incarnation}"))]
    IncarnationMismatch {
        /// Name of the target.
        name: String,
        /// Incarnation that the command is for.
        incarnation: u64,
    },
}

impl From<memory::Error> for Error {
    fn from(source: memory::Error) -> Self {
        Self::Memory { source }
    }
}
