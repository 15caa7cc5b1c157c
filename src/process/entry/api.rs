//! Wire types of the administration interface that the command line also uses.

use serde::{Deserialize, Serialize};

use crate::version::key;

/// Request to grant an API key.
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
    /// Sending requests on behalf of this workspace.
    Caller(String),
    /// Managing the callers' keys of this workspace.
    Workspace(String),
    /// All administration.
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
