//! API keys of callers and operators.
//!
//! The system stores only the SHA-256 digest of a key's secret. A random 256-bit
//! secret can't be guessed, so its digest needs neither a salt nor a slow hash.
//! The operator's client generates the secret, so that it can safely resend a
//! grant whose response was lost.

use std::fmt;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// Prefix of every key, by which secret scanners can recognise leaked keys.
const PREFIX: &str = "hbd";

/// Maximum length of a key id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// What a key gives access to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// Sending requests for one workspace.
    Caller(String),
    /// Administration of one workspace: its keys and its own record.
    Workspace(String),
    /// Administration of the whole system.
    System,
}

impl Scope {
    /// Returns true if a key with this scope may administer `workspace`.
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

/// SHA-256 digest of the secret part of a key.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretDigest([u8; 32]);

impl fmt::Debug for SecretDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl SecretDigest {
    /// Computes the digest of a secret.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(sha2::Sha256::digest(secret.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// A key as sent by its holder, `hbd.<id>.<secret>`, with the secret hashed.
#[derive(Clone, PartialEq, Eq)]
pub struct Presented {
    /// Public id, by which the key is granted and withdrawn.
    pub id: String,
    /// Digest of the secret.
    pub digest: SecretDigest,
}

impl fmt::Debug for Presented {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Presented").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Presented {
    /// Parses a key, or returns `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '.');
        let (prefix, id, secret) = (parts.next()?, parts.next()?, parts.next()?);
        let well_formed = prefix == PREFIX && is_valid_id(id) && !secret.is_empty();
        well_formed.then(|| Self { id: id.to_owned(), digest: SecretDigest::of(secret) })
    }
}

/// Returns true if `id` is a valid key id: 1 to 64 ASCII letters, digits, `-` or
/// `_`.
#[must_use]
pub fn is_valid_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.chars().all(is_allowed)
}

/// Generates a key with a random secret.
#[must_use]
pub fn generate(id: &str) -> String {
    let halves: [u128; 2] = rand::rng().random();
    format!("{PREFIX}.{id}.{:032x}{:032x}", halves[0], halves[1])
}

/// A key as stored by the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Digest of the secret.
    pub digest: SecretDigest,
    /// What it gives access to.
    pub scope: Scope,
    /// Whether it was withdrawn. A withdrawn key can't be granted again.
    pub withdrawn: bool,
}
