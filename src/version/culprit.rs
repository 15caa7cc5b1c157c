//! Finds what crashes targets, from the crashes that gateways saw.
//!
//! A gateway knows which of its requests were on a target that crashed, before they got
//! any output. Some of them were there by chance. What requests have in common is a
//! fingerprint: the same request, or a segment of its prompt. The culprit is in every
//! crash that it causes, at any gateway, and is never served; a bystander is served
//! sooner or later by some gateway.
//!
//! The leading replica runs one [`Finder`]. A fingerprint that was in
//! [`MIN_CRASHES`] crashes is suspected, which every gateway learns with its view. A
//! gateway that served it lately says so, and it is cleared. If nobody does, and no other
//! fingerprint explains as many crashes, it is refused at all gateways.
//!
//! The finder performs no I/O. It serves deployments in which a few requests a second
//! crash targets that are back within seconds; what it decides is committed to the log,
//! what it knows is not: gateways report crashes again for as long as they count.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::suspect::{Fingerprint, Suspects, Verdict};

/// Crashes from which on a fingerprint is suspected.
pub const MIN_CRASHES: usize = 3;

/// Crashes from which on fingerprints are refused that were in the same crashes.
const MIN_SHARED_CRASHES: usize = 5;

/// How long gateways have to clear a suspected fingerprint: a synchronization, a report,
/// and a margin.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(1);

/// How long a fingerprint that was cleared is not suspected again.
const IMMUNITY: time::Duration = time::Duration::from_secs(10);

/// How long a crash counts.
pub const WINDOW: time::Duration = time::Duration::from_mins(1);

/// Most fingerprints that become suspected within [`INVESTIGATION_TIME`]. Each costs every
/// gateway a look and perhaps a report.
const MAX_SUSPECTED: usize = 8;

/// Time in which most suspected fingerprints are cleared or refused.
const INVESTIGATION_TIME: time::Duration = time::Duration::from_secs(2);

/// Most crashes kept. The oldest are dropped first.
const MAX_CRASHES: usize = 512;

/// Most fingerprints kept of one crash.
const MAX_FINGERPRINTS: usize = 256;

/// Crash of a target, as one gateway saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the target.
    pub target: String,
    /// Incarnation that crashed.
    pub incarnation: u64,
    /// Time since the crash.
    pub age: time::Duration,
    /// Fingerprints of the gateway's requests on the target that had got no output, as
    /// far as the gateway has not served them lately.
    pub fingerprints: Vec<Fingerprint>,
}

/// What a gateway reports to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The latest crashes. May repeat earlier ones.
    pub crashes: Vec<Crash>,
    /// Suspected fingerprints that the gateway has served lately.
    pub served: Vec<Fingerprint>,
}

/// Decision about a fingerprint, to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Identifies what crashes targets, or is suspected to.
    pub fingerprint: Fingerprint,
    /// New verdict.
    pub verdict: Verdict,
    /// Crashes that it was in and that nothing else explains.
    pub crashes: usize,
}

/// Crash of a target, as all gateways saw it.
#[derive(Clone, Debug)]
struct SeenCrash {
    at: time::Duration,
    fingerprints: collections::BTreeSet<Fingerprint>,
}

/// Decides which fingerprints are suspected, cleared and refused.
#[derive(Clone, Debug, Default)]
pub struct Finder {
    /// By target and incarnation.
    crashes: collections::BTreeMap<(String, u64), SeenCrash>,
    /// Since when fingerprints are suspected.
    suspected: collections::BTreeMap<Fingerprint, time::Duration>,
    /// When fingerprints were last reported as served.
    cleared: collections::BTreeMap<Fingerprint, time::Duration>,
}

impl Finder {
    /// Records the report of a gateway.
    pub fn record(&mut self, report: Report, now: time::Duration) {
        self.cleared.extend(report.served.into_iter().map(|fingerprint| (fingerprint, now)));
        for crash in report.crashes {
            let at = now.saturating_sub(crash.age);
            let seen = self
                .crashes
                .entry((crash.target, crash.incarnation))
                .or_insert(SeenCrash { at, fingerprints: collections::BTreeSet::new() });
            let room = MAX_FINGERPRINTS.saturating_sub(seen.fingerprints.len());
            seen.fingerprints.extend(crash.fingerprints.into_iter().take(room));
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at).map(|(key, _)| key.clone());
            oldest.map(|key| self.crashes.remove(&key));
        }
    }

    /// Returns what is to be committed. To be called several times a second.
    pub fn tick(&mut self, suspects: &Suspects, now: time::Duration) -> Vec<Decision> {
        self.crashes.retain(|_, c| now < c.at + WINDOW);
        self.cleared.retain(|_, at| now < *at + IMMUNITY);
        self.follow(suspects, now);
        let counts = self.count_crashes(suspects);
        let mut decisions = self.clear();
        decisions.extend(self.refuse(&counts, now));
        decisions.extend(self.suspect(&counts, now));
        decisions
    }

    /// Takes over which fingerprints are suspected, perhaps by an earlier leader.
    fn follow(&mut self, suspects: &Suspects, now: time::Duration) {
        self.suspected.retain(|f, _| suspects.verdict(*f) == Verdict::Suspect);
        for fingerprint in suspects.suspected() {
            self.suspected.entry(fingerprint).or_insert(now);
        }
    }

    /// Counts the crashes in which each fingerprint was, without those that a refused
    /// fingerprint explains. Fingerprints that were cleared or refused are left out.
    fn count_crashes(&self, suspects: &Suspects) -> collections::BTreeMap<Fingerprint, usize> {
        let is_refused = |f: &Fingerprint| suspects.verdict(*f) == Verdict::Refused;
        let unexplained = self.crashes.values().filter(|c| !c.fingerprints.iter().any(is_refused));
        let mut counts = collections::BTreeMap::new();
        for fingerprint in unexplained.flat_map(|c| &c.fingerprints) {
            if !self.cleared.contains_key(fingerprint) {
                *counts.entry(*fingerprint).or_insert(0) += 1;
            }
        }
        counts
    }

    fn clear(&self) -> Vec<Decision> {
        let cleared = self.suspected.keys().filter(|f| self.cleared.contains_key(f));
        let decision =
            |f: &Fingerprint| Decision { fingerprint: *f, verdict: Verdict::Clear, crashes: 0 };
        cleared.map(decision).collect()
    }

    /// Refuses the suspected fingerprint that was in the most crashes, if nobody has
    /// cleared it in time. Several with the same count are told apart by further crashes,
    /// and refused together if these don't.
    fn refuse(
        &self,
        counts: &collections::BTreeMap<Fingerprint, usize>,
        now: time::Duration,
    ) -> Vec<Decision> {
        let Some(most) = counts.values().max().copied().filter(|c| *c >= MIN_CRASHES) else {
            return Vec::new();
        };
        let first: Vec<_> = counts.iter().filter(|(_, c)| **c == most).map(|(f, _)| *f).collect();
        if first.len() > 1 && most < MIN_SHARED_CRASHES {
            return Vec::new();
        }
        let is_due =
            |f: &Fingerprint| self.suspected.get(f).is_some_and(|at| now >= *at + CLEARANCE_TIME);
        let due = first.into_iter().filter(is_due);
        let decision =
            |fingerprint| Decision { fingerprint, verdict: Verdict::Refused, crashes: most };
        due.map(decision).collect()
    }

    /// Suspects the fingerprints that were in the most crashes.
    fn suspect(
        &self,
        counts: &collections::BTreeMap<Fingerprint, usize>,
        now: time::Duration,
    ) -> Vec<Decision> {
        let mut candidates: Vec<_> = counts
            .iter()
            .filter(|(f, count)| **count >= MIN_CRASHES && !self.suspected.contains_key(f))
            .collect();
        candidates.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let recent = self.suspected.values().filter(|at| now < **at + INVESTIGATION_TIME).count();
        let room = MAX_SUSPECTED.saturating_sub(recent);
        let decision = |(f, crashes): (&Fingerprint, &usize)| Decision {
            fingerprint: *f,
            verdict: Verdict::Suspect,
            crashes: *crashes,
        };
        candidates.into_iter().take(room).map(decision).collect()
    }
}
