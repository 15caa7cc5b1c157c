//! Detection of requests that crash targets.
//!
//! Every request in flight on a target that crashes becomes a suspect. A suspect
//! is run again only as a *trial*: on a target that runs no other suspect, of any
//! gateway. The replicated log assigns each target to at most one trial at a
//! time. If the target crashes during a trial, all gateways refuse the request's
//! fingerprint for [`RETENTION_MS`]. If the suspect finishes, it is cleared.

use std::{collections, fmt};

use serde::{Deserialize, Serialize};

/// Number of crashes from which on a fingerprint is refused.
pub const REFUSE_AFTER_CRASHES: u32 = 2;

/// Time for which a fingerprint stays suspected or refused after its latest
/// crash, in ms of log time.
pub const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// Maximum number of fingerprints kept. Beyond it, the one with the oldest crash
/// is dropped.
const MAX_FINGERPRINTS: usize = 10_000;

/// Hash that identifies what crashes a target: the workspace, URI and body of a request,
/// or a segment of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` is the workspace followed by
    /// the URI. Gateways of different builds must agree on the result.
    #[must_use]
    pub fn of(path: &str, body: &[u8]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(path.as_bytes());
        hash.update(&[0]);
        hash.update(body);
        Self(hash.digest128())
    }

    /// Computes the fingerprint of a segment of a prompt, which many requests may have.
    /// Gateways of different builds must agree on the result.
    #[must_use]
    pub fn of_segment(id: u64) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(b"segment");
        hash.update(&id.to_le_bytes());
        Self(hash.digest128())
    }
}

/// Time after which a target is free again if the gateway does not report the
/// end of its trial, in ms of log time.
const TRIAL_TIMEOUT_MS: u64 = 30_000;

/// Run of a suspect on a target without other suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    fingerprint: Fingerprint,
    /// Log time, in ms.
    started: u64,
}

/// Crashes recorded for a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Number of crashes counted, see [`Suspects::record_crash`].
    pub crashes: u32,
    /// When the latest crash was reported, in ms of log time.
    pub last_crash: u64,
}

/// Whether a request may run, by the crashes of its fingerprint. The worst comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may run; no crash is recorded.
    Clear,
    /// It may run only as a trial.
    Suspect,
    /// It must not run.
    Refused,
}

/// Fingerprints with recorded crashes, and the running trials.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    suspects: collections::BTreeMap<Fingerprint, Suspect>,
    /// Running trials, by name of the target.
    trials: collections::BTreeMap<String, Trial>,
}

impl Suspects {
    /// Returns whether requests with this fingerprint may run.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.suspects.get(&fingerprint) {
            None => Verdict::Clear,
            Some(s) if s.crashes < REFUSE_AFTER_CRASHES => Verdict::Suspect,
            Some(_) => Verdict::Refused,
        }
    }

    /// Returns the fingerprints that are suspected but not refused.
    pub fn suspected(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let suspected = self.suspects.iter().filter(|(_, s)| s.crashes < REFUSE_AFTER_CRASHES);
        suspected.map(|(fingerprint, _)| *fingerprint)
    }

    /// Reserves a target for a trial at `now`, in ms of log time. Returns false if
    /// another suspect has it.
    pub fn reserve_target(&mut self, fingerprint: Fingerprint, target: &str, now: u64) -> bool {
        let current = self.trials.get(target).filter(|t| now < t.started + TRIAL_TIMEOUT_MS);
        if current.is_some_and(|t| t.fingerprint != fingerprint) {
            return false;
        }
        self.trials.insert(target.to_owned(), Trial { fingerprint, started: now });
        true
    }

    /// Ends all trials of a suspect.
    fn release_targets(&mut self, fingerprint: Fingerprint) {
        self.trials.retain(|_, t| t.fingerprint != fingerprint);
    }

    /// Records that a target crashed with this request in flight, at `now` in ms
    /// of log time.
    ///
    /// The first crash always counts. A further one counts only if the run was
    /// `exclusive`, that is, a trial, since otherwise another request may have caused
    /// it.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, exclusive: bool, now: u64) {
        self.release_targets(fingerprint);
        let suspect =
            self.suspects.entry(fingerprint).or_insert(Suspect { crashes: 0, last_crash: now });
        if suspect.crashes == 0 || exclusive {
            suspect.crashes += 1;
        }
        suspect.last_crash = now;
        if self.suspects.len() > MAX_FINGERPRINTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash).map(|(f, _)| *f);
            oldest.map(|f| self.suspects.remove(&f));
        }
    }

    /// Clears a suspect that finished without a crash. A refused fingerprint stays
    /// refused.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.release_targets(fingerprint);
        if self.verdict(fingerprint) == Verdict::Suspect {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops fingerprints and trials that have expired at `now`, in ms of log time.
    pub fn expire(&mut self, now: u64) {
        self.suspects.retain(|_, s| s.last_crash + RETENTION_MS > now);
        self.trials.retain(|_, t| t.started + TRIAL_TIMEOUT_MS > now);
    }

    /// Returns true if a fingerprint has expired at `now`, in ms of log time.
    #[must_use]
    pub fn has_expired(&self, now: u64) -> bool {
        self.suspects.values().any(|s| s.last_crash + RETENTION_MS <= now)
    }

    /// Returns the number of fingerprints with recorded crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
