//! Requests that crash targets.
//!
//! Every request in flight on a target that crashed is a suspect. A suspect is
//! run again only on a target that no other suspect is on, over all entries: the
//! log gives each target to one *trial* at a time. If the target crashes again while it runs
//! a suspect alone, the request's fingerprint is refused by every entry for a
//! time; if the suspect finishes, it is cleared.

use std::collections;

use serde::{Deserialize, Serialize};

/// Crashes after which a fingerprint is refused.
pub const REFUSE_AFTER_CRASHES: u32 = 2;

/// How long a fingerprint stays under suspicion or refused after its last
/// crash, in ms.
pub const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// Most fingerprints kept; the oldest goes first.
const MAX_FINGERPRINTS: usize = 10_000;

/// Identifies a request by workspace, route and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(path: &str, body: &[u8]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(path.as_bytes());
        hash.update(&[0]);
        hash.update(body);
        Self(hash.digest128())
    }
}

/// How long a target stays with a trial whose entry does not say how it ended,
/// in ms.
const TRIAL_TIMEOUT_MS: u64 = 30_000;

/// A suspect that has a target to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    fingerprint: Fingerprint,
    started: u64,
}

/// What is held against a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Crashes that count against it.
    pub crashes: u32,
    /// When the last crash was reported, in ms of log time.
    pub last_crash: u64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It may run, but apart from others.
    Suspect,
    /// It must not run.
    Refused,
}

/// The fingerprints under suspicion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    suspects: collections::BTreeMap<Fingerprint, Suspect>,
    /// Trials by target.
    trials: collections::BTreeMap<String, Trial>,
}

impl Suspects {
    /// Returns whether a request may run.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.suspects.get(&fingerprint) {
            None => Verdict::Clear,
            Some(s) if s.crashes < REFUSE_AFTER_CRASHES => Verdict::Suspect,
            Some(_) => Verdict::Refused,
        }
    }

    /// Gives a target to a suspect, unless it is another's.
    pub fn reserve_target(&mut self, fingerprint: Fingerprint, target: &str, now: u64) -> bool {
        let current = self.trials.get(target).filter(|t| now < t.started + TRIAL_TIMEOUT_MS);
        if current.is_some_and(|t| t.fingerprint != fingerprint) {
            return false;
        }
        self.trials.insert(target.to_owned(), Trial { fingerprint, started: now });
        true
    }

    /// Takes its targets back from a suspect.
    fn release_targets(&mut self, fingerprint: Fingerprint) {
        self.trials.retain(|_, t| t.fingerprint != fingerprint);
    }

    /// Notes that a target crashed with this request in flight.
    ///
    /// A crash counts against a request that is under suspicion already only if
    /// it ran `alone`, since otherwise another request may be the cause.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, alone: bool, now: u64) {
        self.release_targets(fingerprint);
        let suspect =
            self.suspects.entry(fingerprint).or_insert(Suspect { crashes: 0, last_crash: now });
        if suspect.crashes == 0 || alone {
            suspect.crashes += 1;
        }
        suspect.last_crash = now;
        if self.suspects.len() > MAX_FINGERPRINTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash).map(|(f, _)| *f);
            oldest.map(|f| self.suspects.remove(&f));
        }
    }

    /// Clears a suspect that finished. A refused fingerprint stays refused.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.release_targets(fingerprint);
        if self.verdict(fingerprint) == Verdict::Suspect {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops what is older than the horizon.
    pub fn expire(&mut self, now: u64) {
        self.suspects.retain(|_, s| s.last_crash + RETENTION_MS > now);
        self.trials.retain(|_, t| t.started + TRIAL_TIMEOUT_MS > now);
    }

    /// Returns true if something is older than the horizon.
    #[must_use]
    pub fn has_expired(&self, now: u64) -> bool {
        self.suspects.values().any(|s| s.last_crash + RETENTION_MS <= now)
    }

    /// Returns how many fingerprints are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
