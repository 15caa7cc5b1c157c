//! Keys: what a caller or operator presents, and what the system keeps of it.
//!
//! The system stores only the SHA-256 digest of a key's secret. A digest of a
//! random 256-bit secret needs no salt and no slow hash, because it can't be
//! guessed. The secret is made where it is granted, on the operator's side, so
//! that resending a grant after a lost answer is idempotent.

use std::fmt;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// Prefix of every key, so that a key is recognised when it leaks.
const PREFIX: &str = "hbd";

/// Longest id of a key, in bytes.
const MAX_ID_BYTES: usize = 64;

/// What a key opens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// Requests of one workspace.
    Caller(String),
    /// Operation of one workspace: its keys and its own record.
    Workspace(String),
    /// Operation of the whole system.
    System,
}

impl Scope {
    /// Returns true if an operator with this scope may act on `workspace`.
    #[must_use]
    pub fn may_operate(&self, workspace: &str) -> bool {
        match self {
            Self::System => true,
            Self::Workspace(own) => own == workspace,
            Self::Caller(_) => false,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller(w) => write!(f, "caller of {w}"),
            Self::Workspace(w) => write!(f, "operator of {w}"),
            Self::System => f.write_str("operator of the system"),
        }
    }
}

/// Digest of a secret.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretDigest([u8; 32]);

impl fmt::Debug for SecretDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl SecretDigest {
    /// Digests a secret.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(sha2::Sha256::digest(secret.as_bytes()).into())
    }

    /// Compares in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// A key as it is presented: `hbd.<id>.<secret>`.
#[derive(Clone, PartialEq, Eq)]
pub struct Presented {
    /// Public part, under which the key is granted and withdrawn.
    pub id: String,
    /// Digest of the secret part.
    pub digest: SecretDigest,
}

impl fmt::Debug for Presented {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Presented").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Presented {
    /// Reads a key, or returns `None` if it has not the shape of one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '.');
        let (prefix, id, secret) = (parts.next()?, parts.next()?, parts.next()?);
        let well_formed = prefix == PREFIX && is_valid_id(id) && !secret.is_empty();
        well_formed.then(|| Self { id: id.to_owned(), digest: SecretDigest::of(secret) })
    }
}

/// Returns true if `id` can name a key.
#[must_use]
pub fn is_valid_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.chars().all(is_allowed)
}

/// Makes a key with a fresh secret.
#[must_use]
pub fn generate(id: &str) -> String {
    let halves: [u128; 2] = rand::rng().random();
    format!("{PREFIX}.{id}.{:032x}{:032x}", halves[0], halves[1])
}

/// A key as the system keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Digest of the secret.
    pub digest: SecretDigest,
    /// What it opens.
    pub scope: Scope,
    /// Whether it was withdrawn. A withdrawn key is never granted again.
    pub withdrawn: bool,
}
