//! What targets state about themselves in their responses: that they are leaving, or that
//! they want no request for a while.
//!
//! A target's own word counts at once and at every gateway that has read it, whatever the
//! control replicas announce: an announcement may be late, and a replica that has restarted
//! may not know that a target is leaving. So notices are kept apart from the announcements,
//! by target and incarnation, and outlast the removal of a target from the directory.
//!
//! Only the target itself knows whether the reason for a pause is the load of one gateway or
//! of all, so a pause is observed by the gateway that was told, and by no other.

use std::{collections, time};

/// How long a notice is kept after the latest response with it. A target that is leaving is
/// gone long before.
const RETENTION: time::Duration = time::Duration::from_mins(10);

/// Longest pause that is observed. A longer one would take a target out of service for good.
const MAX_PAUSE: time::Duration = time::Duration::from_mins(5);

/// Time between two removals of old notices.
const CLEAN_INTERVAL: time::Duration = time::Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Notice {
    incarnation: u64,
    leaving: bool,
    paused_until: time::Duration,
    stated_at: time::Duration,
}

/// The notices of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    by_target: collections::HashMap<String, Notice>,
    cleaned_at: time::Duration,
}

impl Notices {
    /// Records that a target is leaving. Returns true if that is new.
    pub(super) fn record_leaving(
        &mut self,
        id: &str,
        incarnation: u64,
        now: time::Duration,
    ) -> bool {
        let notice = self.entry(id, incarnation, now);
        let known = notice.leaving;
        notice.leaving = true;
        !known
    }

    /// Records that a target has left, unless something is known of a later incarnation.
    pub(super) fn record_departed(&mut self, id: &str, incarnation: u64, now: time::Duration) {
        if self.by_target.get(id).is_none_or(|n| n.incarnation <= incarnation) {
            self.record_leaving(id, incarnation, now);
        }
    }

    /// Records that a target wants no request for the time `pause`. A pause that was stated
    /// before is not shortened.
    pub(super) fn record_pause(
        &mut self,
        id: &str,
        incarnation: u64,
        pause: time::Duration,
        now: time::Duration,
    ) {
        let until = now + pause.min(MAX_PAUSE);
        let notice = self.entry(id, incarnation, now);
        notice.paused_until = notice.paused_until.max(until);
    }

    /// Returns true if a target has stated that it is leaving.
    pub(super) fn is_leaving(&self, id: &str, incarnation: u64) -> bool {
        self.get(id, incarnation).is_some_and(|n| n.leaving)
    }

    /// Returns until when a target wants no request, if that is not over.
    pub(super) fn paused_until(
        &self,
        id: &str,
        incarnation: u64,
        now: time::Duration,
    ) -> Option<time::Duration> {
        self.get(id, incarnation).map(|n| n.paused_until).filter(|until| now < *until)
    }

    /// Returns the targets that have stated that they are leaving, with their incarnations.
    pub(super) fn leaving(&self) -> impl Iterator<Item = (&str, u64)> {
        let leaving = self.by_target.iter().filter(|(_, n)| n.leaving);
        leaving.map(|(id, n)| (id.as_str(), n.incarnation))
    }

    fn get(&self, id: &str, incarnation: u64) -> Option<&Notice> {
        if self.by_target.is_empty() {
            return None;
        }
        self.by_target.get(id).filter(|n| n.incarnation == incarnation)
    }

    /// Returns the notice of an incarnation. That of an earlier one is replaced.
    fn entry(&mut self, id: &str, incarnation: u64, now: time::Duration) -> &mut Notice {
        self.drop_old(now);
        let new = Notice {
            incarnation,
            leaving: false,
            paused_until: time::Duration::ZERO,
            stated_at: now,
        };
        let notice = self.by_target.entry(id.to_owned()).or_insert(new);
        if notice.incarnation != incarnation {
            *notice = new;
        }
        notice.stated_at = now;
        notice
    }

    fn drop_old(&mut self, now: time::Duration) {
        if now >= self.cleaned_at + CLEAN_INTERVAL {
            self.cleaned_at = now;
            self.by_target.retain(|_, n| now < n.stated_at + RETENTION);
        }
    }
}
