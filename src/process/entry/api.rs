//! Wire types of the administration interface that the command line also uses.

use serde::{Deserialize, Serialize};

use crate::version::key;

/// Request to grant an API key. `serde` puts the names of this type and the next one into
/// error messages, which operators see.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GrantV1 {
    /// Id of the key, which is the part that need not be kept secret.
    pub(crate) id: String,
    /// The whole key. Only the digest of its secret is stored.
    pub(crate) key: String,
    /// What the key permits.
    pub(crate) scope: ScopeV1,
}

/// What a key permits.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ScopeV1 {
    /// Sending requests for this workspace.
    Caller(String),
    /// Administration of this workspace: the keys of its callers.
    Workspace(String),
    /// Administration of the whole system.
    System,
}

impl From<ScopeV1> for key::Scope {
    fn from(scope: ScopeV1) -> Self {
        match scope {
            ScopeV1::Caller(workspace) => Self::Caller(workspace),
            ScopeV1::Workspace(workspace) => Self::Workspace(workspace),
            ScopeV1::System => Self::System,
        }
    }
}
