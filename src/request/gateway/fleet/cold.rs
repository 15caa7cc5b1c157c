//! Which targets are cold, as one gateway sees it.
//!
//! A target is cold for the time that it announces. In some cases it may be cold without having
//! announced that yet, and counts as cold:
//! - it comes back after it was down, or the evacuation of its failure domain has ended: for the
//!   warm-up time of its service, or until a later announcement;
//! - it closed an idle connection, refused one, or broke off a response, as a process that ends
//!   does: until a second after it answers again. By then this gateway has heard of a restart;
//! - no replica has told this gateway anything for a while: unless a health check of the target
//!   has just stated that it is warm.
//!
//! A target that becomes cold while it has requests gets none from a gateway that learns of it for
//! a moment, in which the others learn of it too.
//!
//! After that the rate is raised in steps before it ends, so that the gateways do not all
//! turn to the target at once.
//!
//! This serves 3,000 targets of which a third starts at the same time. The alternative, to rely on
//! announcements alone, leaves the time in which a target has restarted and gateways do not
//! know it: half a second of the load of a warm target.

use std::{collections, time};

use super::DISPUTE_TIME;
use crate::{
    request::limit::cold::Bounds,
    version::{catalog::WarmUp, directory::AnnouncedTarget, view::Presence},
};

/// How long after a target that may have restarted has answered a replica must tell nothing of it
/// until it counts as before. Longer than announcements take to the gateways.
const DOUBT_TIME: time::Duration = time::Duration::from_secs(1);

/// How long after an evacuation an announcement of a warm target does not count: it may have been
/// sent before the target became cold.
const STALE_TIME: time::Duration = time::Duration::from_secs(2);

/// How often a target may close idle connections without having restarted, until that is no longer
/// a sign of it. Some targets close each connection that is idle for a second.
const MAX_FALSE_ALARMS: u32 = 2;

/// How long after the latest synchronization targets need a health check. Longer than the time
/// between two of them.
const CONTACT_TTL: time::Duration = time::Duration::from_millis(600);

/// How long the result of a health check counts, and least time between two of them.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// How long a target that becomes cold while it has requests gets no more. The requests of the
/// gateways that take it for warm and the first turns then fall into different seconds.
const REST_TIME: time::Duration = time::Duration::from_secs(1);

/// Time of each step in which the rate doubles after a target has become warm.
const RAMP_STEP: time::Duration = time::Duration::from_millis(500);

/// Number of these steps.
const RAMP_STEPS: u32 = 2;

/// Share of its part of the turns after which a gateway that was denied one, and has other
/// targets, asks again: the gateways together ask four times for each turn.
const ASKS_PER_TURN: u32 = 4;

/// Longest time for which it does not ask.
const MAX_AVOIDANCE: time::Duration = time::Duration::from_secs(2);

/// How long a target that is down is remembered.
const RETENTION: time::Duration = time::Duration::from_mins(10);

/// What is known of one incarnation.
#[derive(Clone, Debug)]
struct Cold {
    service: String,
    domain: String,
    incarnation: u64,
    seq: u64,
    /// When the announcement with that number was heard.
    heard_at: time::Duration,
    down_since: Option<time::Duration>,
    until: time::Duration,
    /// Until when the target counts as cold although it announces that it is warm.
    distrusted_until: time::Duration,
    doubt: Option<Doubt>,
    /// How often the target was in doubt without having restarted.
    false_alarms: u32,
    /// Until when other targets are asked for turns first.
    avoided_until: time::Duration,
    /// Until when it gets no request, after it has become cold.
    rests_until: time::Duration,
    /// Until when the result of a health check counts.
    checked_until: time::Duration,
    /// When the next health check may be sent.
    check_from: time::Duration,
}

/// What a request must observe at a target that may be cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit {
    /// Least time between two requests of all gateways.
    pub(super) interval: time::Duration,
    /// Until when the target gets no request.
    pub(super) rests_until: time::Duration,
    /// Whether a health check is needed to know whether it is cold.
    pub(super) needs_check: bool,
}

/// The target may have restarted.
#[derive(Clone, Copy, Debug, Default)]
struct Doubt {
    /// When it answered for the first time since.
    answered_at: Option<time::Duration>,
}

/// The cold targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdTargets {
    bounds: Bounds,
    warm_ups: collections::HashMap<String, WarmUp>,
    by_target: collections::HashMap<String, Cold>,
    /// When a replica last told which targets there are.
    contact_at: Option<time::Duration>,
    /// From when on no target is cold or in doubt, unless something is recorded.
    quiet_from: time::Duration,
}

impl ColdTargets {
    pub(super) fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Replaces what the services state about their cold targets.
    pub(super) fn set_warm_ups(&mut self, warm_ups: collections::HashMap<String, WarmUp>) {
        self.warm_ups = warm_ups;
    }

    /// Records an announcement. One that is older than the known one has no effect, unless that
    /// was heard long ago: a replica then took the lower number for the right one.
    pub(super) fn observe(&mut self, announced: &AnnouncedTarget, now: time::Duration) {
        self.quiet_from = time::Duration::MAX;
        let warm_up = self.warm_ups.get(&announced.service).map(|w| w.time);
        let stated = now.saturating_add(announced.cold_left);
        let Some(known) = self.by_target.get_mut(&announced.id) else {
            self.by_target.insert(announced.id.clone(), Cold::new(announced, stated, now));
            return;
        };
        let becomes_cold = !announced.cold_left.is_zero() && now >= known.until;
        if announced.incarnation > known.incarnation {
            *known = Cold::new(announced, stated, now);
            known.rest(becomes_cold, now);
            return;
        }
        let is_late = announced.seq < known.seq && now < known.heard_at + DISPUTE_TIME;
        if announced.incarnation < known.incarnation || is_late {
            return;
        }
        let is_later = announced.seq != known.seq;
        known.seq = announced.seq;
        known.heard_at = now;
        if announced.presence == Presence::Down {
            known.down_since.get_or_insert(now);
            return;
        }
        if known.down_since.take().is_some() {
            known.until = known.until.max(now + warm_up.unwrap_or_default()).max(stated);
            return;
        }
        if !announced.cold_left.is_zero() {
            known.until = if is_later { stated } else { known.until.max(stated) };
            known.rest(becomes_cold, now);
            return;
        }
        if is_later && now >= known.distrusted_until {
            known.until = known.until.min(now);
        }
    }

    /// Replaces what is known of a target, whatever its incarnation was.
    pub(super) fn replace(&mut self, announced: &AnnouncedTarget, now: time::Duration) {
        self.by_target.remove(&announced.id);
        self.observe(announced, now);
    }

    /// Records that the evacuation of a failure domain has ended. Its targets count as cold.
    pub(super) fn record_returned(&mut self, domain: &str, now: time::Duration) {
        self.quiet_from = time::Duration::MAX;
        let Self { warm_ups, by_target, .. } = self;
        for cold in by_target.values_mut().filter(|c| c.domain == domain) {
            let warm_up = warm_ups.get(&cold.service).map(|w| w.time);
            cold.until = cold.until.max(now + warm_up.unwrap_or_default());
            cold.distrusted_until = now + STALE_TIME;
        }
    }

    /// Records a sign that the process of a target has ended.
    pub(super) fn record_doubt(&mut self, id: &str) {
        self.quiet_from = time::Duration::MAX;
        if let Some(cold) = self.by_target.get_mut(id) {
            cold.doubt = Some(Doubt::default());
        }
    }

    /// Records that a target closed an idle connection, which is a sign of that unless it often
    /// does so.
    pub(super) fn record_closed_idle(&mut self, id: &str) {
        self.quiet_from = time::Duration::MAX;
        let Some(cold) = self.by_target.get_mut(id) else {
            return;
        };
        if cold.doubt.is_some_and(|doubt| !doubt.lasts(self.contact_at)) {
            cold.false_alarms += 1;
            cold.doubt = None;
        }
        if cold.doubt.is_none() && cold.false_alarms < MAX_FALSE_ALARMS {
            cold.doubt = Some(Doubt::default());
        }
    }

    /// Records that a target answered a request.
    pub(super) fn record_answer(&mut self, id: &str, now: time::Duration) {
        let doubt = self.by_target.get_mut(id).and_then(|cold| cold.doubt.as_mut());
        if let Some(doubt) = doubt {
            doubt.answered_at.get_or_insert(now);
        }
    }

    /// Records that a replica has told which targets there are now.
    pub(super) fn record_contact(&mut self, now: time::Duration) {
        self.contact_at = Some(now);
    }

    /// Records that a health check of a target is sent.
    pub(super) fn begin_check(&mut self, id: &str, now: time::Duration) {
        if let Some(cold) = self.by_target.get_mut(id) {
            cold.check_from = now + CHECK_INTERVAL;
        }
    }

    /// Records how long a target stays cold, as it stated in a response.
    pub(super) fn record_stated(&mut self, id: &str, left: time::Duration, now: time::Duration) {
        self.quiet_from = time::Duration::MAX;
        let Some(cold) = self.by_target.get_mut(id) else {
            return;
        };
        cold.checked_until = now + CHECK_INTERVAL;
        if !left.is_zero() {
            cold.rest(now >= cold.until, now);
            cold.until = now.saturating_add(left);
        } else if now >= cold.distrusted_until {
            cold.until = cold.until.min(now);
        }
        cold.doubt = None;
    }

    /// Records that a turn at a target was denied while others can take requests. `gateways` is
    /// the number of those that take turns.
    pub(super) fn record_denied(&mut self, id: &str, gateways: u32, now: time::Duration) {
        let interval = self.limit(id, now).map_or(time::Duration::ZERO, |limit| limit.interval);
        if let Some(cold) = self.by_target.get_mut(id) {
            let avoided = interval.saturating_mul(gateways) / ASKS_PER_TURN;
            cold.avoided_until = now + avoided.min(MAX_AVOIDANCE);
        }
    }

    /// Returns what a request must observe at a target that may be cold or has become warm
    /// lately; `None` if the target takes all requests.
    pub(super) fn limit(&self, id: &str, now: time::Duration) -> Option<ColdLimit> {
        if self.is_quiet(now) {
            return None;
        }
        let cold = self.by_target.get(id)?;
        let rate = self.warm_ups.get(&cold.service)?.rate;
        let is_known = !self.is_out_of_touch(now) || now < cold.checked_until;
        let divisor = if is_known { self.divisor(cold, now)? } else { 1 };
        Some(ColdLimit {
            interval: self.bounds.interval(rate) / divisor,
            rests_until: cold.rests_until,
            needs_check: !is_known && now >= cold.check_from,
        })
    }

    /// Returns by what the interval of a cold target is divided; `None` if the target takes all
    /// requests.
    fn divisor(&self, cold: &Cold, now: time::Duration) -> Option<u32> {
        let is_in_doubt = cold.doubt.is_some_and(|doubt| doubt.lasts(self.contact_at));
        if now < cold.until || is_in_doubt {
            return Some(1);
        }
        if cold.until.is_zero() {
            return None;
        }
        let steps = now.saturating_sub(cold.until).as_millis() / RAMP_STEP.as_millis();
        let steps = u32::try_from(steps).ok().filter(|steps| *steps < RAMP_STEPS)?;
        Some(2 << steps)
    }

    /// Returns true if no target is limited, as for most of the time.
    pub(super) fn is_quiet(&self, now: time::Duration) -> bool {
        let is_quiet = now >= self.quiet_from && !self.is_out_of_touch(now);
        self.warm_ups.is_empty() || is_quiet
    }

    fn is_out_of_touch(&self, now: time::Duration) -> bool {
        self.contact_at.is_some_and(|at| now > at + CONTACT_TTL)
    }

    /// Returns until when others should be asked for turns first, if the target is cold.
    pub(super) fn avoided_until(&self, id: &str, now: time::Duration) -> Option<time::Duration> {
        let until = self.by_target.get(id)?.avoided_until;
        (now < until && self.limit(id, now).is_some()).then_some(until)
    }

    /// Returns the number of targets that count as cold, and forgets those that have been down
    /// for long. To be called after each synchronization.
    pub(super) fn count(&mut self, now: time::Duration) -> usize {
        let present = self.by_target.values().filter(|c| c.down_since.is_none());
        let ends = present.map(|c| c.limited_until(self.contact_at));
        self.quiet_from = ends.max().unwrap_or_default();
        self.by_target.retain(|_, c| c.down_since.is_none_or(|at| now < at + RETENTION));
        let present = self.by_target.values().filter(|c| c.down_since.is_none());
        let limited = present.filter(|c| self.warm_ups.contains_key(&c.service));
        limited.filter(|c| self.divisor(c, now) == Some(1)).count()
    }
}

impl Cold {
    fn new(announced: &AnnouncedTarget, until: time::Duration, now: time::Duration) -> Self {
        Self {
            service: announced.service.clone(),
            domain: announced.domain.clone(),
            incarnation: announced.incarnation,
            seq: announced.seq,
            heard_at: now,
            down_since: (announced.presence == Presence::Down).then_some(now),
            until: if announced.cold_left.is_zero() { time::Duration::ZERO } else { until },
            distrusted_until: time::Duration::ZERO,
            doubt: None,
            false_alarms: 0,
            avoided_until: time::Duration::ZERO,
            rests_until: time::Duration::ZERO,
            checked_until: time::Duration::ZERO,
            check_from: time::Duration::ZERO,
        }
    }

    /// Returns until when the target is limited, as far as is known.
    fn limited_until(&self, contact_at: Option<time::Duration>) -> time::Duration {
        if self.doubt.is_some_and(|doubt| doubt.lasts(contact_at)) {
            return time::Duration::MAX;
        }
        self.until.saturating_add(RAMP_STEP * RAMP_STEPS)
    }

    /// Sends the target no requests for a while if it `becomes_cold`.
    fn rest(&mut self, becomes_cold: bool, now: time::Duration) {
        if becomes_cold {
            self.rests_until = now + REST_TIME;
        }
    }
}

impl Doubt {
    /// Returns true unless a replica has told of the target long enough after it answered.
    fn lasts(self, contact_at: Option<time::Duration>) -> bool {
        let has_heard = |at| contact_at.is_some_and(|contact| contact >= at + DOUBT_TIME);
        !self.answered_at.is_some_and(has_heard)
    }
}
