//! How fast each target is, learned from the responses that this gateway reads and from what
//! other gateways report.
//!
//! Built for fleets of up to 100 targets a service whose speeds differ by a factor of 2.4 and
//! change by up to 8 within a second, and for gateways that send a few requests a second. For a
//! target and model the figures are a factor on the nominal prefill rate and one on the nominal
//! step time; for a target of a plain service, the service time and the number of requests
//! beyond which it grows. A service without samples has the nominal figures.
//!
//! Alternatives: *peak EWMA* of the response time confuses a long prompt with a slow target;
//! here each sample is compared with what the same request takes at nominal speed.
//! *Concurrency limiters* (AIMD, gradient) and *the law of Little* need many responses a target
//! and gateway, where there are a few a minute; the gradient is used for plain services only.

mod estimate;
mod figures;
mod length;
mod meter;
mod width;

use std::{cmp, collections, time};

use self::{
    estimate::Estimate, figures::PREFILL_TOKENS_PER_MS, length::Lengths, meter::millis,
    width::Width,
};
pub use self::{
    figures::Pace,
    meter::{Meter, Outcome, Sample, Sent},
};
use crate::version::{pace, traffic};

/// Response time of a plain service in relation to which others are kept.
const SERVICE_MS: f64 = 10.0;

/// Time between two updates of the figures that decisions use.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long a target that is not used keeps its figures.
const RETENTION: time::Duration = time::Duration::from_mins(5);

/// Most targets with figures; the ones used last are kept.
const MAX_TARGETS: usize = 4_096;

/// Most unanswered requests of a target that are watched.
const MAX_WAITING: usize = 32;

/// How long the figures of a target are reported after a sample.
const REPORT_TIME: time::Duration = time::Duration::from_millis(600);

/// Unit of reported logarithms, as part of one.
const REPORT_UNIT: f64 = 1_024.0;

/// Unit of reported weights, as part of a sample.
const WEIGHT_UNIT: f64 = 16.0;

/// Largest deviation of a target below the median of its pool, as a natural logarithm (a factor of
/// 2.5), so that one which responds at once without any work does not attract all requests.
const MAX_FASTER: f64 = 0.92;

/// Largest deviation above the median, as a natural logarithm (a factor of 16).
const MAX_SLOWER: f64 = 2.8;

/// From which deviation on a target counts as slow (a factor of 1.6), and gets probes.
const SLOW: f64 = 0.47;

/// Time between two probes of a slow target, by all gateways.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Identifies the targets whose figures are alike: those of one service, for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pool(u64);

impl Pool {
    /// Returns the pool of a service, for a model if it serves models.
    #[must_use]
    pub fn new(service: &str, model: Option<&str>) -> Self {
        let service = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
        // 32 bits are sent in reports, the lowest of which tells plain services.
        match model {
            Some(model) => {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(model.as_bytes(), service);
                Self(hash >> 33 << 1)
            }
            None => Self(service >> 33 << 1 | 1),
        }
    }

    /// Returns true if it is that of a plain service.
    fn is_plain(self) -> bool {
        self.0 & 1 == 1
    }
}

/// An incarnation of a target, with the model that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Subject(u64);

impl Subject {
    /// Returns the subject for requests of `pool` at a target with this [hash](target_hash).
    #[must_use]
    pub fn new(pool: Pool, target: u64) -> Self {
        Self((target ^ pool.0).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29))
    }
}

/// Returns the hash of an incarnation of a target.
#[must_use]
pub fn target_hash(id: &str, incarnation: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), incarnation)
}

/// What is known of one target.
#[derive(Clone, Debug)]
struct Entry {
    pool: Pool,
    /// Delay of the first event in relation to the nominal one.
    prefill: Estimate,
    /// Step time in relation to the nominal one, or service time of a plain service.
    step: Estimate,
    width: Option<Width>,
    /// Requests without a first event: when each was sent, and its nominal delay in ms.
    waiting: collections::VecDeque<(time::Duration, f64)>,
    used_at: time::Duration,
    /// When this gateway may probe the target, while it is slow.
    next_probe: Option<time::Duration>,
    /// Figures of the latest refresh.
    pace: Pace,
}

impl Entry {
    fn new(pool: Pool, prior: Prior, now: time::Duration) -> Self {
        Self {
            pool,
            prefill: Estimate::new(prior.prefill.unwrap_or(0.0)),
            step: Estimate::new(prior.step.unwrap_or(0.0)),
            width: None,
            waiting: collections::VecDeque::new(),
            used_at: now,
            next_probe: None,
            pace: prior.pace(pool),
        }
    }

    /// Returns the deviation from the nominal delay that the oldest request without a first
    /// event shows already.
    fn overdue(&self, now: time::Duration) -> f64 {
        let deviation = |(at, nominal): &(time::Duration, f64)| {
            (millis(now.saturating_sub(*at)).max(1.0) / nominal).ln()
        };
        self.waiting.front().map_or(f64::NEG_INFINITY, deviation)
    }

    /// Ceases to watch a request that was sent at `sent_at`.
    fn forget(&mut self, sent_at: time::Duration) {
        if let Some(index) = self.waiting.iter().position(|(at, _)| *at == sent_at) {
            self.waiting.remove(index);
        }
    }

    fn prefill(&self, now: time::Duration) -> f64 {
        self.prefill.value(now).max(self.overdue(now))
    }

    fn refresh(&mut self, prior: Prior, interval: time::Duration, seed: u64, now: time::Duration) {
        let bound = |value: f64, prior: f64| value.clamp(prior - MAX_FASTER, prior + MAX_SLOWER);
        let prefill_prior = prior.prefill.unwrap_or(0.0);
        let step_prior = prior.step.unwrap_or(0.0);
        let prefill = bound(self.prefill(now), prefill_prior);
        let step = bound(self.step.value(now), step_prior);
        let slow = prefill - prefill_prior > SLOW || step - step_prior > SLOW;
        let overdue = self.overdue(now) > SLOW;
        self.next_probe =
            slow.then(|| self.next_probe.unwrap_or_else(|| now + part_of(interval, seed)));
        let probes = !overdue && self.next_probe.is_some_and(|at| now >= at);
        self.pace = if probes {
            prior.pace(self.pool)
        } else {
            Prior { prefill: Some(prefill), step: Some(step) }.pace(self.pool)
        };
        self.pace.learned = prior.prefill.is_some() || prior.step.is_some();
        if let Some(width) = &self.width {
            self.pace.width = width.limit;
        }
    }
}

/// Returns a fixed part of an interval that differs between seeds.
fn part_of(interval: time::Duration, seed: u64) -> time::Duration {
    let hash = xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes());
    interval.mul_f64(f64::from((hash >> 40) as u32) / f64::from(1_u32 << 24))
}

/// Median levels of the targets of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Prior {
    prefill: Option<f64>,
    step: Option<f64>,
}

impl Prior {
    fn pace(self, pool: Pool) -> Pace {
        let step_factor = self.step.map_or(1.0, f64::exp);
        let learned = self.prefill.is_some() || self.step.is_some();
        if pool.is_plain() {
            let service_ms = if learned { SERVICE_MS * step_factor } else { 0.0 };
            return Pace { service_ms, learned, ..Pace::default() };
        }
        let prefill_rate = PREFILL_TOKENS_PER_MS * (-self.prefill.unwrap_or(0.0)).exp();
        Pace { prefill_rate, step_factor, learned, ..Pace::default() }
    }
}

/// The figures of all targets at one gateway.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    entries: collections::HashMap<Subject, Entry>,
    pools: collections::HashMap<Pool, Prior>,
    lengths: Lengths,
    refreshed_at: Option<time::Duration>,
    /// Gateways that send requests.
    gateways: u32,
    /// Differs between gateways.
    seed: u64,
}

impl Paces {
    /// Sets a number that differs between gateways, so that they probe at different times.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Returns the number that differs between gateways.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Sets how many gateways send requests.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Returns the figures of a target of which nothing else is known.
    #[must_use]
    pub fn prior(&self, pool: Pool) -> Pace {
        self.pools.get(&pool).map_or_else(Pace::default, |prior| prior.pace(pool))
    }

    /// Returns the figures of a target; `prior` is that of its pool.
    #[must_use]
    pub fn pace(&self, subject: Subject, prior: &Pace) -> Pace {
        if !prior.learned {
            return *prior;
        }
        self.entries.get(&subject).map_or(*prior, |entry| entry.pace)
    }

    /// Returns the number of targets with figures.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no target has figures.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, sent: Sent, now: time::Duration) -> Meter {
        let interval = PROBE_INTERVAL * self.gateways.max(1);
        let entry = self.entry(sent.subject, sent.pool, now);
        entry.used_at = now;
        if sent.pool.is_plain() && entry.width.is_none() {
            entry.width = Some(Width::new(sent.slots));
        }
        if entry.next_probe.is_some_and(|at| now >= at) {
            entry.next_probe = Some(now + interval);
        }
        if sent.tells_prefill() && entry.waiting.len() < MAX_WAITING {
            entry.waiting.push_back((now, sent.nominal_ms()));
        }
        self.refresh_if_due(now);
        Meter::new(sent, now)
    }

    /// Records a sample of a response.
    pub fn record(&mut self, meter: &Meter, sample: Sample, now: time::Duration) {
        let sent = &meter.sent;
        let entry = self.entry(sent.subject, sent.pool, now);
        match sample {
            Sample::First(took) => {
                entry.forget(meter.sent_at);
                if sent.tells_prefill() {
                    entry.prefill.record((took.max(1.0) / sent.nominal_ms()).ln(), now);
                }
            }
            Sample::Pause(pause) => {
                let nominal = Pace::default().pause(sent.running);
                entry.step.record((pause.max(1.0) / nominal).ln(), now);
            }
        }
        self.refresh_if_due(now);
    }

    /// Records the end of a request.
    pub fn end(&mut self, meter: &Meter, outcome: Outcome, now: time::Duration) {
        let sent = &meter.sent;
        let entry = self.entry(sent.subject, sent.pool, now);
        entry.forget(meter.sent_at);
        if outcome == Outcome::Served
            && let Some(width) = &mut entry.width
        {
            let took = millis(now.saturating_sub(meter.sent_at)).max(0.1);
            let deviation = (took / SERVICE_MS).ln();
            if entry.step.level().is_some() {
                width.record(deviation - entry.step.value(now), sent.running, sent.slots);
            }
            let crowd = ((f64::from(sent.running) + 1.0) / width.limit).max(1.0);
            entry.step.record(deviation - crowd.ln(), now);
        }
        self.refresh_if_due(now);
    }

    /// Records a complete stream of a route, whose request stated `stated` tokens of output.
    pub fn record_length(&mut self, route: &str, stated: u32, events: u32) {
        self.lengths.record(route, stated, events);
    }

    /// Returns how many events a response of a route will have, if that is known.
    #[must_use]
    pub fn expected_events(&self, route: &str, stated: u32) -> Option<f64> {
        self.lengths.expected(route, stated)
    }

    /// Returns what this gateway's latest samples say, the newest first.
    #[must_use]
    pub fn report(&self, now: time::Duration) -> Vec<traffic::Pace> {
        let mut fresh = Vec::new();
        for (subject, entry) in &self.entries {
            let is_new = now < entry.own_at() + REPORT_TIME;
            if !is_new && entry.waiting.is_empty() {
                continue;
            }
            let overdue = entry.overdue(now);
            let late = overdue > entry.prefill.value(now) + SLOW;
            if !late && !is_new {
                continue;
            }
            let at = if late { now } else { entry.own_at() };
            let (mut prefill, mut prefill_weight) = entry.prefill.own(now);
            if late {
                (prefill, prefill_weight) = (overdue, prefill_weight.max(1.0));
            }
            let (step, step_weight) = entry.step.own(now);
            let figures = [(prefill, prefill_weight), (step, step_weight)];
            let [prefill, step] = figures.map(|(value, weight)| traffic::PaceFigure {
                value: to_i16(value * REPORT_UNIT),
                weight: to_u8(weight * WEIGHT_UNIT),
            });
            let pace = traffic::Pace { subject: subject.0, pool: entry.pool.0, prefill, step };
            fresh.push((at, pace));
        }
        fresh.sort_by_key(|(at, pace)| (cmp::Reverse(*at), pace.subject));
        fresh.truncate(pace::MAX_REPORTED);
        fresh.into_iter().map(|(_, pace)| pace).collect()
    }

    /// Records what all gateways report. A figure that is this gateway's own adds nothing.
    pub fn apply(&mut self, reported: &[traffic::Pace], now: time::Duration) {
        for reported in reported.iter().take(pace::MAX_REPORTED) {
            let entry = self.entry(Subject(reported.subject), Pool(reported.pool), now);
            entry.used_at = now;
            for (figure, estimate) in
                [(reported.prefill, &mut entry.prefill), (reported.step, &mut entry.step)]
            {
                let is_own = figure.value == to_i16(estimate.own(now).0 * REPORT_UNIT);
                if figure.weight > 0 && !(is_own && estimate.own(now).1 > 0.0) {
                    let value = f64::from(figure.value) / REPORT_UNIT;
                    estimate.record_shared(value, f64::from(figure.weight) / WEIGHT_UNIT, now);
                }
            }
        }
        self.refresh_if_due(now);
    }

    fn entry(&mut self, subject: Subject, pool: Pool, now: time::Duration) -> &mut Entry {
        let prior = self.pools.get(&pool).copied().unwrap_or_default();
        self.entries.entry(subject).or_insert_with(|| Entry::new(pool, prior, now))
    }

    fn refresh_if_due(&mut self, now: time::Duration) {
        if self.refreshed_at.is_none_or(|at| now >= at + REFRESH_INTERVAL) {
            self.refreshed_at = Some(now);
            self.evict(now);
            self.refresh(now);
        }
    }

    fn evict(&mut self, now: time::Duration) {
        self.entries.retain(|_, entry| now < entry.used_at + RETENTION);
        let excess = self.entries.len().saturating_sub(MAX_TARGETS);
        if excess == 0 {
            return;
        }
        let mut used: Vec<_> = self.entries.iter().map(|(key, e)| (e.used_at, *key)).collect();
        used.sort_unstable_by_key(|(used_at, _)| *used_at);
        for (_, key) in used.iter().take(excess) {
            self.entries.remove(key);
        }
    }

    fn refresh(&mut self, now: time::Duration) {
        let mut levels = collections::HashMap::<Pool, [Vec<f64>; 2]>::new();
        for entry in self.entries.values() {
            let [prefill, step] = levels.entry(entry.pool).or_default();
            prefill.extend(entry.prefill.level());
            step.extend(entry.step.level());
        }
        let prior =
            |[prefill, step]: [Vec<f64>; 2]| Prior { prefill: median(prefill), step: median(step) };
        self.pools = levels.into_iter().map(|(pool, levels)| (pool, prior(levels))).collect();
        let interval = PROBE_INTERVAL * self.gateways.max(1);
        for (subject, entry) in &mut self.entries {
            let prior = self.pools.get(&entry.pool).copied().unwrap_or_default();
            entry.refresh(prior, interval, subject.0 ^ self.seed, now);
        }
    }
}

impl Entry {
    /// Returns when this gateway's latest sample arrived.
    fn own_at(&self) -> time::Duration {
        self.prefill.own_at().max(self.step.own_at())
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

#[expect(clippy::cast_possible_truncation, reason = "saturates")]
fn to_i16(number: f64) -> i16 {
    number as i16
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn to_u8(number: f64) -> u8 {
    number as u8
}
