//! The targets as one gateway sees them: their announcements, the load on them
//! and their recent failures.

mod choice;
mod cold;
mod evacuated;
mod homes;
mod notice;
mod report;
mod software;
mod target;

use std::{collections, net, time};

use crate::{
    request::limit::cold as limit,
    version::{
        catalog::WarmUp,
        directory::{self, AnnouncedTarget, Requirement},
        traffic,
        view::Presence,
    },
};

pub use self::{
    choice::{Choice, Limited, Locality, Query, Unavailable, Wanted},
    homes::Homes,
};
use self::{cold::ColdTargets, notice::Notices, software::SoftwareHistory, target::Target};
use super::{Prompt, cache, pace, pick};

/// Least time between two requests for a further target of the same adapter.
const SCALE_OUT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long a target's statement that it must not be overfilled counts for its service.
const BRITTLE_TTL: time::Duration = time::Duration::from_secs(2);

/// How long control replicas must name an earlier incarnation of a target, without naming a
/// later one again, until it counts. A replica that lags behind catches up sooner.
const DISPUTE_TIME: time::Duration = time::Duration::from_secs(5);

/// Most targets that are kept after they were announced as down.
const MAX_ABSENT: usize = 512;

/// Requests of this gateway for one model or adapter.
#[derive(Clone, Debug, Default)]
struct LocalDemand {
    /// Arrival time and work of each request, in prompt tokens.
    work: collections::VecDeque<(time::Duration, u64)>,
    waiting: u32,
    running: u32,
}

/// Numbers of gateways, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayCounts {
    /// Gateways whose reports reached a control replica lately; at least 1.
    pub reporting: u32,
    /// All counted gateways, including those not heard from lately.
    pub known: u32,
}

impl Default for GatewayCounts {
    fn default() -> Self {
        Self { reporting: 1, known: 1 }
    }
}

/// All targets, with what this gateway knows about each.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: collections::BTreeMap<String, Target>,
    /// Targets that are announced as down, in case that was wrong: what they stated still
    /// holds if the same incarnation comes back.
    absent: collections::BTreeMap<String, Target>,
    /// Latest announcements of earlier incarnations than are known, and since when the replicas
    /// name them. Another writer may have announced the known one.
    disputed: collections::BTreeMap<String, (AnnouncedTarget, Option<time::Duration>)>,
    demands: collections::BTreeMap<Requirement, LocalDemand>,
    gateway_counts: GatewayCounts,
    /// When a further target was last requested.
    scale_outs: collections::HashMap<Requirement, time::Duration>,
    /// How many rejections a second the targets of each service bear, and when one last
    /// stated that in a response to this gateway.
    brittle: collections::HashMap<String, (f64, time::Duration)>,
    /// The same, as other gateways report.
    reported_brittle: collections::HashMap<String, f64>,
    /// What targets stated in responses to this gateway.
    notices: Notices,
    cold: ColdTargets,
    software_history: SoftwareHistory,
    /// Tokens per second requested at the other gateways, by workspace.
    other_token_rates: collections::HashMap<String, f64>,
    /// Failure domains that are being evacuated.
    evacuated: collections::BTreeSet<String>,
    /// Region of each failure domain.
    regions: collections::BTreeMap<String, String>,
    /// How fast the targets are.
    paces: pace::Paces,
    /// Requests sent.
    sent: u64,
}

impl TargetTable {
    /// Returns how fast the targets are.
    pub fn paces(&mut self) -> &mut pace::Paces {
        &mut self.paces
    }

    /// Adds, updates or removes the targets that changed. A target with a new
    /// incarnation starts without load, cache and failures. One that was announced as down
    /// and comes back in the same incarnation goes on with all of that, and with its limits.
    ///
    /// The announcements may come from a replica that lags behind the one before it. So
    /// those of an earlier incarnation have no effect for now, see
    /// [`Self::settle_disputes`], and a target that is leaving stays so until it restarts.
    ///
    /// Returns the targets whose state differs from the one known before. A replica that
    /// is asked for the first time lists every target, known or not.
    pub fn apply_announcements(&mut self, announced: Vec<AnnouncedTarget>) -> Vec<AnnouncedTarget> {
        announced.into_iter().filter_map(|new| self.apply_announcement(new)).collect()
    }

    /// Records incarnations that have left, and removes them. A replica that has restarted may
    /// know that a target has left without any announcement of it, while another replica
    /// listed it as up.
    ///
    /// Returns the targets that were removed.
    pub fn apply_departures(
        &mut self,
        departed: &[traffic::LeavingTarget],
        now: time::Duration,
    ) -> Vec<AnnouncedTarget> {
        departed.iter().filter_map(|target| self.apply_departure(target, now)).collect()
    }

    fn apply_departure(
        &mut self,
        departed: &traffic::LeavingTarget,
        now: time::Duration,
    ) -> Option<AnnouncedTarget> {
        let traffic::LeavingTarget { id, incarnation } = departed;
        self.notices.record_departed(id, *incarnation, now);
        self.targets.get(id).filter(|t| t.announced.incarnation == *incarnation)?;
        let mut target = self.targets.remove(id)?;
        target.announced.presence = Presence::Leaving;
        let removed = AnnouncedTarget { presence: Presence::Down, ..target.announced.clone() };
        self.keep_absent(target);
        Some(removed)
    }

    /// Puts announcements of earlier incarnations in force that have been the latest ones for
    /// long. To be called regularly while a replica answers that is not cut off. Returns the
    /// targets that changed.
    pub fn settle_disputes(&mut self, now: time::Duration) -> Vec<AnnouncedTarget> {
        for (_, since) in self.disputed.values_mut() {
            since.get_or_insert(now);
        }
        let is_due = |since: &time::Duration| now >= *since + DISPUTE_TIME;
        let settled: Vec<_> = self
            .disputed
            .extract_if(.., |_, (_, since)| since.is_some_and(|s| is_due(&s)))
            .collect();
        for (id, (announced, _)) in &settled {
            self.targets.remove(id);
            self.cold.replace(announced, now);
        }
        settled.into_iter().filter_map(|(_, (new, _))| self.apply_announcement(new)).collect()
    }

    /// Applies an announcement, and returns it if it changes the state of the target.
    fn apply_announcement(&mut self, mut new: AnnouncedTarget) -> Option<AnnouncedTarget> {
        let since = self.disputed.remove(&new.id).and_then(|(_, since)| since);
        let known = self.targets.get_mut(&new.id);
        if known.as_ref().is_some_and(|t| t.announced.incarnation > new.incarnation) {
            self.disputed.insert(new.id.clone(), (new, since));
            return None;
        }
        if new.presence == Presence::Down {
            let target = self.targets.remove(&new.id)?;
            self.keep_absent(target);
            return Some(new);
        }
        match known {
            Some(known) if known.announced.incarnation == new.incarnation => {
                if known.announced.presence == Presence::Leaving {
                    new.presence = Presence::Leaving;
                }
                if new.software == directory::UNKNOWN_SOFTWARE {
                    new.software.clone_from(&known.announced.software);
                }
                let changed = !known.announced.has_same_state(&new);
                known.announced = new.clone();
                changed.then_some(new)
            }
            _ => {
                let target = self.returned(&mut new);
                self.targets.insert(new.id.clone(), target);
                Some(new)
            }
        }
    }

    fn keep_absent(&mut self, target: Target) {
        self.absent.insert(target.announced.id.clone(), target);
        if self.absent.len() > MAX_ABSENT {
            self.absent.pop_first();
        }
    }

    /// Returns the target as it was before it was announced as down, or a new one.
    fn returned(&mut self, new: &mut AnnouncedTarget) -> Target {
        let absent = self.absent.remove(&new.id);
        match absent.filter(|t| t.announced.incarnation == new.incarnation) {
            Some(mut target) => {
                if target.announced.presence == Presence::Leaving {
                    new.presence = Presence::Leaving;
                }
                target.announced = new.clone();
                target
            }
            None => Target::new(new.clone()),
        }
    }

    /// Returns a target that is known, also if it is announced as down.
    fn known_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.get_mut(id).or_else(|| self.absent.get_mut(id))
    }

    /// Returns the numbers of gateways, this one included.
    #[must_use]
    pub fn gateway_counts(&self) -> GatewayCounts {
        self.gateway_counts
    }

    /// Returns the tokens per second requested at the other gateways for a
    /// workspace.
    #[must_use]
    pub fn other_token_rate(&self, workspace: &str) -> f64 {
        self.other_token_rates.get(workspace).copied().unwrap_or(0.0)
    }

    /// Returns the number of known targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns true if no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the addresses of the targets that announce that they are up.
    #[must_use]
    pub fn addresses_up(&self) -> Vec<net::SocketAddr> {
        let up = self.targets.values().filter(|t| t.announced.presence == Presence::Up);
        up.map(|t| t.announced.address).collect()
    }

    /// Returns true if a known target has this address.
    #[must_use]
    pub fn has_address(&self, address: net::SocketAddr) -> bool {
        self.targets.values().any(|t| t.announced.address == address)
    }

    /// Forgets the failures of the targets at these addresses, of which another part of the
    /// network was the cause.
    pub fn forget_failures(&mut self, addresses: &[net::SocketAddr]) {
        let is_affected = |t: &&mut Target| addresses.contains(&t.announced.address);
        for target in self.targets.values_mut().filter(is_affected) {
            target.record_success();
            target.forget_refusal();
        }
    }

    /// Records that a replica has told which targets there are now.
    pub fn record_contact(&mut self, now: time::Duration) {
        self.software_history.observe(now);
        self.cold.record_contact(now);
    }

    /// Records which software versions the targets have now. To be called after changes.
    pub fn record_software(&mut self, now: time::Duration) {
        let announced = self.targets.values().map(|t| &t.announced);
        let present = announced.map(|a| (a.service.as_str(), a.software.as_str()));
        self.software_history.update(present, now);
    }

    /// Returns true if all targets of a service that were known since the time `since` have
    /// the same software version, and it is known.
    #[must_use]
    pub fn has_one_software(&self, service: &str, since: time::Duration) -> bool {
        if !self.software_history.had_one_version(service, since) {
            return false;
        }
        let mut targets = self.targets.values().filter(|t| t.announced.service == service);
        let Some(first) = targets.next() else {
            return true;
        };
        let software = &first.announced.software;
        first.has_software(software) && targets.all(|t| t.has_software(software))
    }

    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Returns an error if no target that takes requests has the software version, the
    /// model and the adapter.
    pub fn choose(
        &self,
        query: &Query<'_>,
        locality: &Locality<'_>,
        now: time::Duration,
    ) -> Result<Choice, Unavailable> {
        let mut best = self.choose_several(query, locality, 1, now)?;
        best.pop().ok_or(Unavailable::NoTarget)
    }

    /// Chooses up to `count` targets, the best first.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::choose`] does.
    pub fn choose_several(
        &self,
        query: &Query<'_>,
        locality: &Locality<'_>,
        count: usize,
        now: time::Duration,
    ) -> Result<Vec<Choice>, Unavailable> {
        let wanted = Wanted { count, route: "", remaining: time::Duration::ZERO };
        self.choose_wanted(query, locality, &wanted, now)
    }

    /// Chooses targets, the best first. If the length of the responses of the route is known,
    /// one at which the response ends in time is preferred.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::choose`] does.
    pub fn choose_wanted(
        &self,
        query: &Query<'_>,
        locality: &Locality<'_>,
        wanted: &Wanted<'_>,
        now: time::Duration,
    ) -> Result<Vec<Choice>, Unavailable> {
        let Query { service, prompt, software, tried, homes } = *query;
        let of_service = self.targets.values().filter(|t| t.announced.service == service);
        let up = of_service.filter(|t| self.is_home(t, homes));
        let mut up: Vec<_> = up.filter(|t| self.takes_requests(t, now)).collect();
        let has_target = !up.is_empty();
        up.retain(|t| software.is_none_or(|s| t.has_software(s)));
        if up.is_empty() {
            return Err(match has_target {
                _ if self.lacks_home(service, homes) => Unavailable::NoHome,
                _ if self.has_only_evacuated(query) => Unavailable::Evacuated,
                true => Unavailable::NoSoftware,
                false => Unavailable::NoTarget,
            });
        }
        let suitable: Vec<_> = match prompt.map(|p| p.requirement(service)) {
            Some(requirement) => {
                up.iter().copied().filter(|t| t.holds(&requirement, now)).collect()
            }
            None => up.clone(),
        };
        if suitable.is_empty() {
            let base = prompt.map(|p| Requirement { adapter: None, ..p.requirement(service) });
            let holds_model = base.is_some_and(|b| up.iter().any(|t| t.holds(&b, now)));
            return Err(if holds_model {
                Unavailable::AdapterNotResident
            } else {
                Unavailable::ModelNotResident
            });
        }
        let suitable = self.without_paused(suitable, now)?;
        let untried: Vec<_> =
            suitable.iter().copied().filter(|t| !tried.contains(&t.announced.id)).collect();
        let preferred = if untried.is_empty() { suitable } else { untried };
        let preferred = target::free_first(preferred, |t| self.next_turn(t, now), now);
        let preferred = self.without_avoided(preferred, now);
        let pool = pace::Pool::new(service, prompt.map(|p| p.model.as_str()));
        let prior = self.paces.prior(pool);
        let candidate = |target: &&Target| {
            let pace = self.paces.pace(pace::Subject::new(pool, target.pace_hash), &prior);
            target.candidate(prompt, locality, pace, now)
        };
        let candidates: Vec<_> = preferred.iter().map(candidate).collect();
        let profile = request_profile(prompt);
        let outlook = self.outlook(wanted, prompt, now);
        let least_duration = least_duration(&profile, &outlook, &candidates);
        let has_alternative = preferred.len() > 1;
        let best = pick::rank(&profile, &outlook, &candidates, wanted.count).into_iter();
        let choices = best.map(|(index, estimate)| {
            let candidate = &candidates[index];
            let limited = self.limited(preferred[index], has_alternative, now);
            let base = preferred[index].choice(pool, limited);
            let prefill_tokens = profile.tokens.saturating_sub(candidate.cached_tokens);
            Choice {
                prefill_tokens,
                estimate: from_millis(estimate),
                base_delay: from_millis(pick::base_delay(candidate)),
                own_prefill: from_millis(f64::from(prefill_tokens) / candidate.pace.prefill_rate),
                least_duration,
                sent: pace::Sent {
                    own_tokens: prefill_tokens,
                    queued_tokens: candidate.pending_prefill,
                    running: candidate.running,
                    ..base.sent
                },
                in_backoff: candidate.in_backoff,
                running: candidate.running,
                pending_prefill: candidate.pending_prefill,
                candidates: candidates.len(),
                requirement: prompt.map(|p| p.requirement(service)),
                ..base
            }
        });
        Ok(choices.collect())
    }

    /// Returns what is expected of the response.
    fn outlook(
        &self,
        wanted: &Wanted<'_>,
        prompt: Option<&Prompt>,
        now: time::Duration,
    ) -> pick::Outlook {
        let stated = prompt.map(|p| p.max_output_tokens);
        let events = stated.and_then(|stated| self.paces.expected_events(wanted.route, stated));
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.paces.seed().to_le_bytes());
        bytes[8..16].copy_from_slice(&self.sent.to_le_bytes());
        bytes[16..].copy_from_slice(&now.as_secs_f64().to_le_bytes());
        pick::Outlook {
            events,
            remaining_ms: wanted.remaining.as_secs_f64() * 1_000.0,
            draw: xxhash_rust::xxh3::xxh3_64(&bytes),
            gateways: self.gateway_counts.reporting,
        }
    }

    /// Records that a request is about to be sent to a target.
    pub fn record_sent(&mut self, choice: &Choice, prompt: Option<&Prompt>) {
        if let Some(requirement) = &choice.requirement {
            self.demands.entry(requirement.clone()).or_default().running += 1;
        }
        let Some(target) = self.targets.get_mut(&choice.id) else {
            return;
        };
        target.local_load.running += 1;
        self.sent += 1;
        if let Some(term) = choice.place_term {
            target.local_load.add_placed(term, 1);
        }
        let pending = &mut target.local_load.prompt_tokens;
        *pending = pending.saturating_add(choice.prefill_tokens);
        if let Some(prompt) = prompt {
            target.cache.record(prompt);
        }
    }

    /// Records that a target has processed the prompt of a request.
    pub fn record_first_output(&mut self, choice: &Choice) {
        if let Some(target) = self.known_mut(&choice.id) {
            target.local_load.prompt_tokens =
                target.local_load.prompt_tokens.saturating_sub(choice.prefill_tokens);
        }
    }

    /// Records that a request at a target has ended, whatever its outcome.
    pub fn record_end(&mut self, choice: &Choice) {
        if let Some(requirement) = &choice.requirement
            && let Some(demand) = self.demands.get_mut(requirement)
        {
            demand.running = demand.running.saturating_sub(1);
        }
        if let Some(target) = self.known_mut(&choice.id) {
            target.local_load.running = target.local_load.running.saturating_sub(1);
            if let Some(term) = choice.place_term {
                target.local_load.remove_placed(term);
            }
        }
    }

    /// Records a complete response, which ends the backoff of a target.
    pub fn record_success(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_success();
        }
    }

    /// Records that a target could not be reached, failed, or gave no complete
    /// response.
    pub fn record_failure(&mut self, id: &str, now: time::Duration) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_failure(now);
        }
    }

    /// Records the limit that a target stated in a response, or that it stated none, as
    /// the least time between two requests of all gateways. Returns true if that is new.
    pub fn record_limit(&mut self, choice: &Choice, interval: Option<time::Duration>) -> bool {
        let target = self.known_mut(&choice.id);
        target
            .filter(|t| t.announced.incarnation == choice.incarnation)
            .is_some_and(|t| t.record_limit(interval))
    }

    /// Records how many rejections a second a target of a service stated that it bears, or
    /// that it stated none. Returns true if it stated the contrary before.
    pub fn record_rejection_limit(
        &mut self,
        service: &str,
        limit: Option<f64>,
        now: time::Duration,
    ) -> bool {
        let Some(limit) = limit else {
            return self.brittle.remove(service).is_some();
        };
        self.brittle.insert(service.to_owned(), (limit, now)).is_none()
    }

    /// Returns how many rejections a second the targets of a service bear, if they must not
    /// be overfilled.
    #[must_use]
    pub fn rejection_limit(&self, service: &str, now: time::Duration) -> Option<f64> {
        let stated = self.brittle.get(service).filter(|(_, at)| now < *at + BRITTLE_TTL);
        let stated = stated.map(|(limit, _)| *limit);
        stated.or_else(|| self.reported_brittle.get(service).copied())
    }

    /// Records that no turn at a target is free before `next_turn`.
    pub fn record_turn_denied(&mut self, id: &str, next_turn: time::Duration) {
        if let Some(target) = self.known_mut(id) {
            target.next_turn = next_turn;
        }
    }

    /// Sets how many requests cold targets may get.
    pub fn set_cold_bounds(&mut self, bounds: limit::Bounds) {
        self.cold.set_bounds(bounds);
    }

    /// Replaces what the services state about their cold targets.
    pub fn set_warm_ups(&mut self, warm_ups: collections::HashMap<String, WarmUp>) {
        self.cold.set_warm_ups(warm_ups);
    }

    /// Records which of the announced targets are cold. To be called with all announcements that
    /// a replica tells, changed or not.
    pub fn record_cold(&mut self, announced: &[AnnouncedTarget], now: time::Duration) {
        for target in announced {
            self.cold.observe(target, now);
        }
    }

    /// Records that the evacuation of a failure domain has ended. Its targets count as cold.
    pub fn record_domain_returned(&mut self, domain: &str, now: time::Duration) {
        self.cold.record_returned(domain, now);
    }

    /// Records that a target broke off a response. It may have restarted, and be cold.
    pub fn record_broken(&mut self, id: &str) {
        self.cold.record_doubt(id);
    }

    /// Records that a target closed an idle connection. It may have restarted, and be cold.
    pub fn record_closed(&mut self, address: net::SocketAddr) {
        let Self { targets, cold, .. } = self;
        let closed = targets.values().filter(|t| t.announced.address == address);
        closed.for_each(|t| cold.record_closed_idle(&t.announced.id));
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self, id: &str, now: time::Duration) {
        self.cold.record_answer(id, now);
    }

    /// Records that a health check of a target is sent.
    pub fn begin_check(&mut self, id: &str, now: time::Duration) {
        self.cold.begin_check(id, now);
    }

    /// Records how long a target stays cold, as it stated in a response.
    pub fn record_cold_stated(&mut self, id: &str, left: time::Duration, now: time::Duration) {
        self.cold.record_stated(id, left, now);
    }

    /// Records that this gateway was denied a turn at a cold target while others can take the
    /// request.
    pub fn record_cold_denied(&mut self, id: &str, now: time::Duration) {
        self.cold.record_denied(id, self.gateway_counts.known, now);
    }

    /// Returns the number of targets that count as cold. To be called after each synchronization.
    pub fn cold_targets(&mut self, now: time::Duration) -> usize {
        self.cold.count(now)
    }

    /// Returns what a request must observe at a target that states a limit or is cold.
    fn limited(
        &self,
        target: &Target,
        has_alternative: bool,
        now: time::Duration,
    ) -> Option<Limited> {
        let cold = self.cold.limit(&target.announced.id, now);
        let interval = target.request_interval.max(cold.map(|c| c.interval))?;
        Some(Limited {
            interval,
            next_turn: self.next_turn(target, now),
            has_alternative,
            is_cold: cold.is_some(),
            needs_check: cold.is_some_and(|c| c.needs_check),
        })
    }

    /// Returns when the next turn at a target is free, as far as is known.
    fn next_turn(&self, target: &Target, now: time::Duration) -> time::Duration {
        let cold = self.cold.limit(&target.announced.id, now);
        cold.map_or(target.next_turn, |c| target.next_turn.max(c.rests_until))
    }

    /// Returns the targets without those that are cold and denied this gateway a turn lately, or
    /// the one that did so first if all did. Otherwise each request would ask all cold targets.
    fn without_avoided<'t>(
        &self,
        targets: Vec<&'t Target>,
        now: time::Duration,
    ) -> Vec<&'t Target> {
        if self.cold.is_quiet(now) {
            return targets;
        }
        let avoided_until = |t: &&Target| self.cold.avoided_until(&t.announced.id, now);
        let asked: Vec<_> =
            targets.iter().copied().filter(|t| avoided_until(t).is_none()).collect();
        if asked.is_empty() {
            return targets.into_iter().min_by_key(avoided_until).into_iter().collect();
        }
        asked
    }

    /// Returns true if a target that was chosen earlier still takes requests.
    #[must_use]
    pub fn still_takes_requests(&self, choice: &Choice, now: time::Duration) -> bool {
        let target = self.targets.get(&choice.id);
        target
            .filter(|t| t.announced.incarnation == choice.incarnation)
            .is_some_and(|t| self.takes_requests(t, now) && self.paused_until(t, now).is_none())
    }

    /// Records that a target stated in a response that it is leaving. Returns true if that is
    /// new.
    pub fn record_leaving(&mut self, choice: &Choice, now: time::Duration) -> bool {
        self.notices.record_leaving(&choice.id, choice.incarnation, now)
    }

    /// Records that a target stated in a response that it wants no request for the time
    /// `pause`.
    pub fn record_pause(&mut self, choice: &Choice, pause: time::Duration, now: time::Duration) {
        self.notices.record_pause(&choice.id, choice.incarnation, pause, now);
    }

    /// Returns true if another gateway may be connected to the target at this address.
    #[must_use]
    pub fn may_relay_to(&self, address: net::SocketAddr, now: time::Duration) -> bool {
        let mut targets = self.targets.values().filter(|t| t.announced.address == address);
        targets.any(|t| !self.is_leaving(t) && self.paused_until(t, now).is_none())
            && !self.is_address_evacuated(address)
    }

    fn takes_requests(&self, target: &Target, now: time::Duration) -> bool {
        target.takes_requests(now) && !self.is_leaving(target) && !self.is_evacuated(target)
    }

    fn is_leaving(&self, target: &Target) -> bool {
        self.notices.is_leaving(&target.announced.id, target.announced.incarnation)
    }

    fn paused_until(&self, target: &Target, now: time::Duration) -> Option<time::Duration> {
        self.notices.paused_until(&target.announced.id, target.announced.incarnation, now)
    }

    /// Returns the targets that take requests now, or until when all of them are paused.
    fn without_paused<'t>(
        &self,
        suitable: Vec<&'t Target>,
        now: time::Duration,
    ) -> Result<Vec<&'t Target>, Unavailable> {
        let paused = suitable.iter().map(|t| self.paused_until(t, now)).min().flatten();
        if let Some(until) = paused {
            return Err(Unavailable::Paused { until });
        }
        let awake = suitable.into_iter().filter(|t| self.paused_until(t, now).is_none());
        Ok(awake.collect())
    }

    /// Records that a target refused a connection.
    pub fn record_refused(&mut self, id: &str, now: time::Duration) {
        self.cold.record_doubt(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.record_refused(now);
        }
    }

    /// Records that a target holds, or lacks, a model or adapter in spite of
    /// its announcement.
    pub fn override_holding(
        &mut self,
        id: &str,
        requirement: &Requirement,
        holds: bool,
        now: time::Duration,
    ) {
        if let Some(target) = self.targets.get_mut(id) {
            target.override_holding(requirement, holds, now);
        }
    }

    /// Returns the ids of the targets that hold a model and adapter, whether they take
    /// requests or are leaving.
    #[must_use]
    pub fn holders(&self, requirement: &Requirement, now: time::Duration) -> Vec<String> {
        let held = self.targets.values().filter(|t| t.holds(requirement, now));
        held.map(|t| t.announced.id.clone()).collect()
    }

    /// Returns true if a further target may be requested now, and then records
    /// the time. A request repeated sooner would be made before the first one
    /// could take effect.
    pub fn try_begin_scale_out(&mut self, requirement: &Requirement, now: time::Duration) -> bool {
        self.scale_outs.retain(|_, at| now < *at + SCALE_OUT_INTERVAL);
        let due = !self.scale_outs.contains_key(requirement);
        if due {
            self.scale_outs.insert(requirement.clone(), now);
        }
        due
    }
}

/// Returns the least time expected for the whole response at an idle target.
fn least_duration(
    profile: &pick::RequestProfile,
    outlook: &pick::Outlook,
    candidates: &[pick::Candidate],
) -> Option<time::Duration> {
    let events = outlook.events?;
    let duration = |candidate: &pick::Candidate| {
        let tokens = f64::from(profile.tokens.saturating_sub(candidate.cached_tokens));
        let first = candidate.pace.first_event(tokens, 0, candidate.slots);
        candidate.pace.duration(first, events, 0)
    };
    let least = candidates.iter().map(duration).min_by(f64::total_cmp)?;
    Some(from_millis(least))
}

fn from_millis(ms: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(time::Duration::MAX)
}

fn request_profile(prompt: Option<&Prompt>) -> pick::RequestProfile {
    let Some(prompt) = prompt else {
        return pick::RequestProfile::default();
    };
    // All segments but the last are assumed to be shared with other prompts.
    let shared = prompt.segments.iter().rev().skip(1);
    pick::RequestProfile {
        tokens: prompt.tokens,
        shared_tokens: shared.fold(0, |sum, s| sum.saturating_add(s.tokens)),
        shared_prefix: cache::shared_prefix_hash(prompt),
    }
}
