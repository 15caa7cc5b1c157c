//! What a gateway knows of crashed targets: which of its requests were on them, and what
//! it has served since.
//!
//! The leader compares the crashes that all gateways saw (see
//! [`culprit`](crate::version::culprit)). To tell the culprit from the many requests that
//! were there by chance, a gateway leaves out what it has served lately, and says so when
//! asked about a fingerprint that others suspect.

use std::{collections, time};

use crate::version::{
    culprit,
    suspect::{Fingerprint, Suspects},
};

use super::Prompt;

/// Events of a stream after which its request counts as served. A request that crashes its
/// target as the output begins may still get a few.
pub const SERVED_EVENTS: u32 = 5;

/// How long what was served counts.
const SERVED_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Time between two reports without news.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Shortest time between two reports. Requests on one target break at about the same time.
const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Most crashes kept.
const MAX_CRASHES: usize = 64;

/// Most fingerprints that are remembered as served.
const MAX_SERVED: usize = 8_192;

/// Returns the fingerprints of a request: its own, and one for each segment of the prompt
/// that other requests may have. `identity` is the name of the workspace and the URI.
#[must_use]
pub fn fingerprints(identity: &str, body: &[u8], prompt: Option<&Prompt>) -> Vec<Fingerprint> {
    let segments = prompt.map_or(&[][..], Prompt::shared_segments);
    let segments = segments.iter().map(|s| Fingerprint::of_segment(s.id));
    [Fingerprint::of(identity, body)].into_iter().chain(segments).collect()
}

#[derive(Clone, Debug)]
struct Crash {
    target: String,
    incarnation: u64,
    at: time::Duration,
    fingerprints: Vec<Fingerprint>,
}

/// Crashes that this gateway saw, and what it served.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    /// The latest crashes, oldest first.
    crashes: collections::VecDeque<Crash>,
    /// When each fingerprint was last served.
    served: collections::HashMap<Fingerprint, time::Duration>,
    /// Whether there is a crash that was not reported.
    has_news: bool,
    last_report: time::Duration,
    /// When the leader was last told that a fingerprint was served.
    told: collections::HashMap<Fingerprint, time::Duration>,
}

impl CrashLog {
    /// Records that a request was answered, or got [`SERVED_EVENTS`] events.
    pub fn record_served(&mut self, fingerprints: &[Fingerprint], now: time::Duration) {
        if self.served.len() >= MAX_SERVED {
            self.served.retain(|_, at| now < *at + SERVED_WINDOW);
        }
        if self.served.len() < MAX_SERVED {
            self.served.extend(fingerprints.iter().map(|f| (*f, now)));
        }
        for crash in &mut self.crashes {
            crash.fingerprints.retain(|f| !fingerprints.contains(f));
        }
    }

    /// Records that a target crashed with a request that had not been served.
    pub fn record_crash(
        &mut self,
        target: &str,
        incarnation: u64,
        fingerprints: &[Fingerprint],
        now: time::Duration,
    ) {
        let unserved: Vec<_> =
            fingerprints.iter().filter(|f| !self.served_lately(f, now)).copied().collect();
        self.has_news |= !unserved.is_empty();
        let known = |c: &&mut Crash| c.target == target && c.incarnation == incarnation;
        if let Some(crash) = self.crashes.iter_mut().find(known) {
            crash.fingerprints.extend(unserved);
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            target: target.to_owned(),
            incarnation,
            at: now,
            fingerprints: unserved,
        });
    }

    /// Returns the report to send to the leader now, if one is due. Crashes are reported again for
    /// as long as they count: only the leader keeps them, in memory, and it may change.
    pub fn due_report(
        &mut self,
        suspects: &Suspects,
        now: time::Duration,
    ) -> Option<culprit::Report> {
        self.crashes.retain(|c| now < c.at + culprit::WINDOW);
        self.told.retain(|_, at| now < *at + REPORT_INTERVAL);
        if now < self.last_report + MIN_REPORT_INTERVAL {
            return None;
        }
        let served = suspects.suspected().filter(|f| self.served_lately(f, now));
        let served: Vec<_> = served.filter(|f| !self.told.contains_key(f)).collect();
        let unexplained = self.crashes.iter().any(|c| !c.fingerprints.is_empty());
        let repeats = unexplained && now >= self.last_report + REPORT_INTERVAL;
        if !self.has_news && !repeats && served.is_empty() {
            return None;
        }
        self.has_news = false;
        self.last_report = now;
        self.told.extend(served.iter().map(|f| (*f, now)));
        let crashes = self.crashes.iter().filter(|c| !c.fingerprints.is_empty());
        let crashes = crashes.map(|c| culprit::Crash {
            target: c.target.clone(),
            incarnation: c.incarnation,
            age: now.saturating_sub(c.at),
            fingerprints: c.fingerprints.clone(),
        });
        Some(culprit::Report { crashes: crashes.collect(), served })
    }

    fn served_lately(&self, fingerprint: &Fingerprint, now: time::Duration) -> bool {
        self.served.get(fingerprint).is_some_and(|at| now < *at + SERVED_WINDOW)
    }
}
