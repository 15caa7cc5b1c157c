//! Choice of the target for a request: waits for one, and has the model or adapter placed
//! if no target holds it.

use std::{collections, net, sync, time};

use crate::{
    request::{
        gateway::{
            Prompt, admit,
            fleet::{Choice, Locality, Query, Unavailable, Wanted},
            inquiry::Inquiry,
        },
        limit::prefill,
        refusal::{Ran, Refusal, StreamLoss},
        stage::Stage,
    },
    version::placer::{Availability, PlacementRequest},
};

use super::{
    core::Core,
    excluded,
    job::{Job, MIN_ATTEMPT_TIME, RequestPhase, millis},
    places,
};

/// Longest time that a waiting request sleeps before it checks again for a target.
/// A change of the fleet wakes it earlier.
pub(super) const FLEET_RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Least time after which a caller refused for overload is told to retry.
pub(super) const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Most targets among which the leader chooses one with room.
const MAX_CANDIDATES: usize = 8;

/// Most engines among which the leader chooses one that can read a prompt.
const MAX_PREFILL_CANDIDATES: usize = 16;

/// An engine reads prompts in one piece for this part of the longest pause between events. An
/// event holds the tokens of several steps, each of which may read such a piece.
const PREFILL_WINDOW_SHARE: f64 = 0.2;

/// Targets that could take a request, the best first.
struct Candidates {
    choices: Vec<Choice>,
    /// What bounds the requests there, if the leader has to say which has room.
    bound: Option<places::Bound>,
}

impl Job {
    /// Chooses a target. Waits if no target can take the request, and asks the leader
    /// to place the model or adapter if no target holds it.
    pub(super) async fn choose_target(&mut self) -> Result<Choice, Refusal> {
        let mut fleet_changes = self.core.watch_fleet();
        self.phase = RequestPhase::Choosing;
        if !self.arrival_recorded {
            self.arrival_recorded = true;
            if let Some(prompt) = &self.request.prompt {
                let now = self.core.clock.now();
                self.core.fleet.lock().record_arrival(&self.service, prompt, now);
            }
        }
        let mut waiting: Option<WaitingGuard> = None;
        let mut inquiry = Inquiry::default();
        let wait_deadline = self.target_wait_deadline();
        loop {
            excluded::wait_if_suspended(&self.core).await;
            let now = self.core.clock.now();
            let open_connections = self.core.pools.connected_addresses(now);
            if now + MIN_ATTEMPT_TIME >= wait_deadline {
                if waiting.is_some() {
                    self.log_not_placed();
                }
                return Err(self.timeout_refusal());
            }
            let chosen = self.choose_candidates(&open_connections, now);
            let unavailable = match chosen {
                Ok(candidates) => {
                    if let Some(choice) = self.reserve(candidates, wait_deadline).await? {
                        return Ok(choice);
                    }
                    continue;
                }
                // Another gateway has more time to wait for a target.
                Err(_) if self.core.is_stopping() && self.attempts.ran() == Ran::No => {
                    return Err(Refusal::Stopping);
                }
                Err(unavailable) => unavailable,
            };
            if let Unavailable::Paused { until } = unavailable {
                self.wait_for_pause(until, wait_deadline).await?;
                continue;
            }
            if unavailable == Unavailable::NoSoftware {
                return Err(self.no_continuation_refusal());
            }
            if let Some(refusal) = self.excluded_refusal(unavailable) {
                return Err(refusal);
            }
            if let Some(prompt) =
                self.request.prompt.as_ref().filter(|_| inquiry.is_due(unavailable, now))
            {
                let requirement = prompt.requirement(&self.service);
                waiting.get_or_insert_with(|| WaitingGuard::new(&self.core, &self.service, prompt));
                let request = PlacementRequest {
                    requirement: requirement.clone(),
                    software: self.required_software.clone(),
                    domains: self.home_domains(),
                    exclude: Vec::new(),
                    max_wait: wait_deadline.saturating_sub(now),
                };
                let availability = self.core.request_placement(request, &self.missing_at).await;
                let now = self.core.clock.now();
                inquiry.record(unavailable, &availability, now);
                match availability {
                    Availability::At(id) => {
                        self.missing_at.clear();
                        self.core.fleet.lock().override_holding(&id, &requirement, true, now);
                        continue;
                    }
                    Availability::Soon(after) if now.saturating_add(after) > wait_deadline => {
                        self.refuse_late_load(after)?;
                    }
                    Availability::Soon(_) | Availability::Nowhere => {}
                }
            }
            let pause =
                FLEET_RECHECK_INTERVAL.min(wait_deadline.saturating_sub(self.core.clock.now()));
            // After a timeout, too, the loop checks again.
            let _ = tokio::time::timeout(pause, fleet_changes.changed()).await;
        }
    }

    /// Waits while all targets that could take the request want none, and has a model or
    /// adapter loaded on a further target meanwhile.
    ///
    /// # Errors
    ///
    /// Returns a refusal at once if the pause ends too late for the request.
    async fn wait_for_pause(
        &self,
        until: time::Duration,
        wait_deadline: time::Duration,
    ) -> Result<(), Refusal> {
        if let Some(prompt) = &self.request.prompt {
            self.core.scale_out(&prompt.requirement(&self.service), self.home_domains());
        }
        let pause = until.saturating_sub(self.core.clock.now());
        if until + MIN_ATTEMPT_TIME < wait_deadline {
            // Another target may come up meanwhile.
            tokio::time::sleep(pause.min(FLEET_RECHECK_INTERVAL)).await;
            return Ok(());
        }
        spdlog::info!("all targets that could take the request want none in time", kv: {
            request = self.request.id.as_str(),
            service = self.service.as_str(),
            pause_ms = millis(pause)
        });
        match self.attempts.ran() {
            Ran::No => Err(Refusal::Overloaded { retry_after: pause.max(MIN_RETRY_AFTER) }),
            ran => Err(Refusal::TargetFailed { ran }),
        }
    }

    /// Chooses the best target, or several if the leader has to say which has room.
    fn choose_candidates(
        &self,
        open_connections: &collections::HashSet<net::SocketAddr>,
        now: time::Duration,
    ) -> Result<Candidates, Unavailable> {
        let fleet = self.core.fleet.lock();
        let rejection_limit = fleet.rejection_limit(&self.service, now);
        let paced = !self.route.gap_objective.is_zero() && self.request.prompt.is_some();
        let count = match rejection_limit {
            Some(_) => MAX_CANDIDATES,
            None if paced => MAX_PREFILL_CANDIDATES,
            None => 1,
        };
        let locality = Locality { domain: &self.core.options.domain, connected: open_connections };
        let route = if self.stage() == Stage::New { self.route.name.as_str() } else { "" };
        let wanted = Wanted { count, route, remaining: self.remaining() };
        let choices = fleet.choose_wanted(&self.query(), &locality, &wanted, now)?;
        let bound = match rejection_limit {
            Some(limit) => Some(places::Bound::Rejections(limit)),
            None if paced => Some(places::Bound::Prefill(self.prefill(&choices, now))),
            None => None,
        };
        Ok(Candidates { choices, bound })
    }

    /// Obtains what a request needs before it is sent to one of the candidates: a place if
    /// they must not be overfilled, and a turn if the target states a limit. Returns `None`
    /// if a target must be chosen again.
    async fn reserve(
        &mut self,
        candidates: Candidates,
        wait_deadline: time::Duration,
    ) -> Result<Option<Choice>, Refusal> {
        let Candidates { mut choices, bound } = candidates;
        let Some(best) = choices.first() else {
            return Ok(None);
        };
        self.first_output_estimate = best.estimate;
        match bound {
            Some(places::Bound::Prefill(_)) => self.check_end(best)?,
            _ => self.check_estimate(best)?,
        }
        if let Some(requirement) = best.scale_out() {
            self.core.scale_out(requirement, self.home_domains());
        }
        let chosen = match bound {
            Some(bound) => self.take_place(&choices, bound, wait_deadline).await?,
            None => Some(choices.swap_remove(0)),
        };
        let Some(choice) = chosen else {
            return Ok(None);
        };
        let has_turn = self.take_turn(&choice, wait_deadline).await?;
        if has_turn && excluded::may_send(&self.core, &choice) {
            return Ok(Some(choice));
        }
        self.permit = None;
        Ok(None)
    }

    /// Returns what the leader has to know of a prompt besides the candidates.
    fn prefill(&self, choices: &[Choice], now: time::Duration) -> prefill::Prefill {
        let waited = now.saturating_sub(self.arrived_at);
        let own = choices.iter().map(|c| c.own_prefill).min();
        let objective = self.route.latency_objective.saturating_sub(waited);
        prefill::Prefill {
            workspace: self.workspace.clone().unwrap_or_default(),
            tokens: choices.iter().map(|c| c.prefill_tokens).collect(),
            delays: choices.iter().map(|c| c.base_delay).collect(),
            slack: objective.saturating_sub(own.unwrap_or_default()),
            window: self.route.gap_objective.mul_f64(PREFILL_WINDOW_SHARE),
        }
    }

    fn query(&self) -> Query<'_> {
        Query {
            service: &self.service,
            prompt: self.request.prompt.as_ref(),
            software: self.required_software.as_deref(),
            tried: &self.tried_targets,
            homes: self.homes(),
        }
    }

    /// Refuses a request for which a model would be loaded too late. One that may have run goes
    /// on waiting for a target, unless it continues a stream.
    fn refuse_late_load(&self, after: time::Duration) -> Result<(), Refusal> {
        let prompt = self.request.prompt.as_ref();
        let refusal = match self.attempts.ran() {
            Ran::No => Refusal::Overloaded { retry_after: after.max(MIN_RETRY_AFTER) },
            ran if self.required_software.is_some() => Refusal::TargetFailed { ran },
            _ => return Ok(()),
        };
        spdlog::info!("model would be loaded too late", kv: {
            request = self.request.id.as_str(),
            model = prompt.map_or("", |p| p.model.as_str()),
            software = self.required_software.as_deref().unwrap_or(""),
            load_ms = millis(after),
            remaining_ms = millis(self.remaining())
        });
        Err(refusal)
    }

    /// Returns the refusal of a request that is bound to a software version which no known
    /// target has.
    fn no_continuation_refusal(&self) -> Refusal {
        spdlog::info!("no target can continue the stream", kv: {
            request = self.request.id.as_str(),
            software = self.required_software.as_deref().unwrap_or("")
        });
        match self.attempts.ran() {
            Ran::No => Refusal::StreamLost { reason: StreamLoss::NoTarget },
            ran => Refusal::TargetFailed { ran },
        }
    }

    /// Returns until when the request may wait for a target. A request that may have
    /// run already waits until its deadline.
    fn target_wait_deadline(&self) -> time::Duration {
        if self.attempts.ran() == Ran::No {
            self.core.clock.now()
                + admit::max_target_wait(
                    self.stage(),
                    self.route.latency_objective,
                    self.remaining(),
                )
        } else {
            self.deadline
        }
    }

    /// Refuses a prompt whose first output is estimated to come too late. A request that
    /// reached a target before is not refused, nor is one whose chosen target is in
    /// backoff.
    pub(super) fn check_estimate(&self, choice: &Choice) -> Result<(), Refusal> {
        if self.request.prompt.is_none() || self.attempts.sent() > 0 || choice.in_backoff {
            return Ok(());
        }
        let arrival = admit::Arrival {
            stage: self.stage(),
            objective: self.route.latency_objective,
            remaining: self.remaining(),
            estimate: choice.estimate,
            own_prefill: choice.own_prefill,
        };
        admit::decide(&arrival).map_err(|late| self.late_refusal(choice, &late))?;
        self.check_end(choice)
    }

    /// Refuses a stream that can't end before its caller leaves, even at an idle target.
    fn check_end(&self, choice: &Choice) -> Result<(), Refusal> {
        if self.request.prompt.is_none() || self.attempts.sent() > 0 {
            return Ok(());
        }
        admit::decide_end(self.stage(), self.remaining(), choice.least_duration)
            .map_err(|late| self.late_refusal(choice, &late))
    }

    fn late_refusal(&self, choice: &Choice, late: &admit::Late) -> Refusal {
        self.log_late(choice, late);
        Refusal::Overloaded { retry_after: late.retry_after }
    }

    /// Logs what the estimate of a request that is refused was made of.
    fn log_late(&self, choice: &Choice, late: &admit::Late) {
        let now = self.core.clock.now();
        let synced = *self.core.latest_sync.borrow();
        spdlog::info!("first output expected too late", kv: {
            request = self.request.id.as_str(),
            resumes = self.request.resumed_id.as_deref().unwrap_or(""),
            target = choice.id.as_str(),
            candidates = choice.candidates,
            estimate_ms = millis(choice.estimate),
            max_ms = millis(late.max_delay),
            least_duration_ms = millis(choice.least_duration.unwrap_or_default()),
            slots = choice.slots,
            running = choice.running,
            own_running = choice.own_running,
            pending_tokens = choice.pending_prefill,
            prefill_tokens = choice.prefill_tokens,
            report_age_ms = synced.map_or(0, |s| millis(now.saturating_sub(s.at)))
        });
    }

    /// Logs what the leader was asked to place, and did not in time.
    fn log_not_placed(&self) {
        let prompt = self.request.prompt.as_ref();
        let waited = self.core.clock.now().saturating_sub(self.arrived_at);
        spdlog::info!("no target held the model or adapter in time", kv: {
            request = self.request.id.as_str(),
            resumes = self.request.resumed_id.as_deref().unwrap_or(""),
            model = prompt.map_or("", |p| p.model.as_str()),
            adapter = prompt.and_then(|p| p.adapter.as_deref()).unwrap_or(""),
            software = self.required_software.as_deref().unwrap_or(""),
            missing_at = self.missing_at.len(),
            waited_ms = millis(waited)
        });
    }

    fn timeout_refusal(&self) -> Refusal {
        match self.attempts.ran() {
            Ran::No => Refusal::Overloaded { retry_after: MIN_RETRY_AFTER },
            ran => Refusal::Timeout { ran },
        }
    }
}

/// Counts a request as waiting for its model until this is dropped.
#[derive(Debug)]
struct WaitingGuard {
    core: sync::Arc<Core>,
    service: String,
    prompt: Prompt,
}

impl WaitingGuard {
    fn new(core: &sync::Arc<Core>, service: &str, prompt: &Prompt) -> Self {
        core.fleet.lock().record_waiting(service, prompt, true);
        Self { core: core.clone(), service: service.to_owned(), prompt: prompt.clone() }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.core.fleet.lock().record_waiting(&self.service, &self.prompt, false);
    }
}
