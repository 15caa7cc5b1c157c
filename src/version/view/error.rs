//! Errors of commands that a view refuses.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::version::{catalog, memory, record};

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum Error {
    /// A catalog patch applies to another version than the one in force.
    #[snafu(display("the change is for another catalog"))]
    CatalogMismatch,
    /// The catalog is invalid.
    #[snafu(display("{source}"))]
    InvalidCatalog {
        /// The problem found.
        source: catalog::Error,
    },
    /// The same version of the record is in force with other content.
    #[snafu(display("{id} version {version} is in force with content {held}, not {given}"))]
    VersionConflict {
        /// The record.
        id: record::Id,
        /// Version of both.
        version: u64,
        /// Digest of the content in force.
        held: record::Digest,
        /// Digest of the content given.
        given: record::Digest,
    },
    /// A newer version of the record is in force.
    #[snafu(display("{id} is in force in version {held}, which is newer than {given}"))]
    VersionStale {
        /// The record.
        id: record::Id,
        /// Version in force.
        held: u64,
        /// Version given.
        given: u64,
    },
    /// The record refers to another that is not in force.
    #[snafu(display("{id} needs {missing}, which is not in force"))]
    MissingReference {
        /// The record.
        id: record::Id,
        /// The record that it refers to.
        missing: record::Id,
    },
    /// Two routes have the same path.
    #[snafu(display("{id} has the path {path} of {other}"))]
    SamePath {
        /// The record.
        id: record::Id,
        /// The route that has the path already.
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
    /// The key was withdrawn, which is permanent.
    #[snafu(display("key {id} was withdrawn and is not granted again"))]
    KeyWithdrawn {
        /// Public part of the key.
        id: String,
    },
    /// No key with this id was granted.
    #[snafu(display("key {id} is not known"))]
    KeyUnknown {
        /// Public part of the key.
        id: String,
    },
    /// The workspace has no record.
    #[snafu(display("workspace {workspace} has no record"))]
    NoWorkspace {
        /// Name of the workspace.
        workspace: String,
    },
    /// The key is the last one with access to the whole system and cannot be withdrawn.
    #[snafu(display("key {id} is the last that operates the system"))]
    LastSystemKey {
        /// Public part of the key.
        id: String,
    },
    /// No target with this name is in the view.
    #[snafu(display("target {name} is not known"))]
    TargetUnknown {
        /// Name of the target.
        name: String,
    },
    /// The target is reserved for a trial of another suspect.
    #[snafu(display("another suspect is on target {target}"))]
    TargetReserved {
        /// Name of the target.
        target: String,
    },
    /// The memory ledger refused the command.
    #[snafu(display("{source}"))]
    Memory {
        /// Error of the ledger.
        source: memory::Error,
    },
    /// The target is unknown or has another incarnation.
    #[snafu(display("target {name} is not in incarnation {incarnation}"))]
    IncarnationMismatch {
        /// Name of the target.
        name: String,
        /// Incarnation that the command is for.
        incarnation: u64,
    },
    /// The name is empty or too long, or too many failure domains are being evacuated.
    #[snafu(display(
        "failure domain {domain} can't be evacuated: its name is invalid, or too many others are being evacuated"
    ))]
    EvacuationRefused {
        /// Name of the failure domain.
        domain: String,
    },
    /// The evacuation was begun or ended after the operator had asked for the opposite.
    #[snafu(display(
        "the evacuation of failure domain {domain} was changed by another command; retry"
    ))]
    EvacuationSuperseded {
        /// Name of the failure domain.
        domain: String,
    },
}

impl From<memory::Error> for Error {
    fn from(source: memory::Error) -> Self {
        Self::Memory { source }
    }
}
