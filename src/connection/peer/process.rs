//! What processes state about themselves when they connect.

use serde::{Deserialize, Serialize};

use super::version;

/// Name of this build: `HORNBEAMDOCK_BUILD` when it was compiled, or else the version of the
/// package.
pub const BUILD: &str = match option_env!("HORNBEAMDOCK_BUILD") {
    Some(name) => name,
    None => env!("CARGO_PKG_VERSION"),
};

/// A process and its build.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Name of the process.
    pub name: String,
    /// Name of its build; `None` for builds that do not state it.
    pub build: Option<String>,
    /// Versions of the message format that it speaks.
    pub messages: version::Range,
}

/// A process that is connected to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Connected {
    /// The process.
    pub process: Process,
    /// Version of the message format on the connection.
    pub version: u32,
}

/// Builds of a control replica and of the processes that are connected to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Builds {
    /// The replica.
    pub own: Process,
    /// The processes that are connected to it, each once per version in use.
    pub connected: Vec<Connected>,
}
