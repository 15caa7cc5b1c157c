//! The targets as one gateway sees them: what they announced, what is sent to
//! them, and how they behaved.

use std::{collections, net, time};

use crate::version::{
    directory::{self, Announced, Want},
    traffic,
    view::Presence,
};

use super::{
    Prompt,
    cache::{self, PrefixCache},
    pick,
};

/// Estimated time to the first output above which an adapter is wanted at a
/// further target.
const SCALE_OUT_DELAY: time::Duration = time::Duration::from_millis(250);

/// How long a target that broke off or could not be reached is avoided at
/// first. Each further failure in a row doubles it.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(400);

/// Longest time that a target is avoided.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);

/// Failures in a row after which a target is avoided. One may be chance.
const FAILURES_FOR_BACKOFF: u32 = 2;

/// How long a target's own word that it lacks something goes before what it
/// announced, and a leader's word that it has it.
const OVERRIDE_TTL: time::Duration = time::Duration::from_millis(2_500);

/// Least time between two wishes for a further target of one adapter.
const SCALE_OUT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Span over which demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Work of one token of output, in prompt tokens: a step of a full batch takes
/// that much of the time in which prompts could be read.
const WORK_PER_OUTPUT_TOKEN: u64 = 5;

/// A target.
#[derive(Clone, Debug)]
struct Target {
    announced: Announced,
    hash: u64,
    /// What this gateway sent there.
    local_load: traffic::Load,
    /// What the others sent there, by their latest reports.
    remote_load: traffic::Load,
    cache: PrefixCache,
    consecutive_failures: u32,
    backoff_until: time::Duration,
    /// What its holdings differ by from those announced, and until when that
    /// counts.
    holding_overrides: collections::HashMap<Want, (bool, time::Duration)>,
}

/// The target that a request is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifies the target.
    pub id: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Prompt tokens that it will have to read.
    pub prefill_tokens: u32,
    /// Estimated time until the first output.
    pub estimate: time::Duration,
    /// Whether it failed lately, as all that would do.
    pub in_backoff: bool,
    /// What the target is used for, if it is an engine.
    pub requirement: Option<Want>,
}

impl Choice {
    /// Returns the adapter that is wanted at a further target, if there is one.
    #[must_use]
    pub fn scale_out(&self) -> Option<&Want> {
        self.requirement.as_ref().filter(|w| w.adapter.is_some() && self.estimate > SCALE_OUT_DELAY)
    }
}

/// What is near to this gateway.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'n> {
    /// Its failure domain.
    pub domain: &'n str,
    /// Addresses that an idle connection is open to.
    pub connected: &'n collections::HashSet<net::SocketAddr>,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no target that takes requests.
    Target,
    /// No target holds the model.
    Model,
    /// No target holds the adapter, but some hold its model.
    Adapter,
}

/// Requests for one model or adapter.
#[derive(Clone, Debug, Default)]
struct LocalDemand {
    /// Work in each of the latest reports, with its time.
    work: collections::VecDeque<(time::Duration, u64)>,
    waiting: u32,
    running: u32,
}

/// How many gateways there are, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayCounts {
    /// Those that a replica hears at present.
    pub reporting: u32,
    /// All, including those that are cut off.
    pub known: u32,
}

impl Default for GatewayCounts {
    fn default() -> Self {
        Self { reporting: 1, known: 1 }
    }
}

/// All targets, with what this gateway knows about each.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: collections::BTreeMap<String, Target>,
    demands: collections::BTreeMap<Want, LocalDemand>,
    gateway_counts: GatewayCounts,
    /// When a further target was last asked for.
    scale_outs: collections::HashMap<Want, time::Duration>,
    /// What the other gateways spend, in tokens per second by workspace.
    other_token_rates: collections::HashMap<String, f64>,
}

impl Fleet {
    /// Takes in targets that changed.
    pub fn apply_announcements(&mut self, announced: Vec<Announced>) {
        for given in announced {
            if given.presence == Presence::Down {
                self.targets.remove(&given.id);
                continue;
            }
            match self.targets.get_mut(&given.id) {
                Some(known) if known.announced.born == given.born => known.announced = given,
                _ => {
                    self.targets.insert(given.id.clone(), Target::new(given));
                }
            }
        }
    }

    /// Takes in what the other gateways sent, and how many `gateways` there are.
    pub fn apply_report(&mut self, report: &traffic::Report, gateways: GatewayCounts) {
        let reporting = gateways.reporting.max(1);
        self.gateway_counts = GatewayCounts { reporting, known: gateways.known.max(reporting) };
        self.other_token_rates =
            report.spends.iter().map(|s| (s.workspace.clone(), s.rate)).collect();
        for target in self.targets.values_mut() {
            target.remote_load = traffic::Load::default();
        }
        for load in &report.loads {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.remote_load = load.clone();
            }
        }
    }

    /// Returns how many gateways there are, this one included.
    #[must_use]
    pub fn gateway_counts(&self) -> GatewayCounts {
        self.gateway_counts
    }

    /// Returns what the other gateways spend for a workspace, in tokens per
    /// second.
    #[must_use]
    pub fn other_token_rate(&self, workspace: &str) -> f64 {
        self.other_token_rates.get(workspace).copied().unwrap_or(0.0)
    }

    /// Returns how many targets are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns true if no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Chooses a target of a service that takes new requests, other than those
    /// that were `tried` if there is one.
    ///
    /// # Errors
    ///
    /// Returns what is lacking if no target will do.
    pub fn choose(
        &self,
        service: &str,
        prompt: Option<&Prompt>,
        tried: &[String],
        locality: &Locality<'_>,
        now: time::Duration,
    ) -> Result<Choice, Unavailable> {
        let live = self
            .targets
            .values()
            .filter(|t| t.announced.service == service && t.announced.presence == Presence::Up);
        let live: Vec<_> = live.collect();
        if live.is_empty() {
            return Err(Unavailable::Target);
        }
        let able: Vec<_> = match prompt.map(|p| p.requirement(service)) {
            Some(requirement) => {
                live.iter().copied().filter(|t| t.holds(&requirement, now)).collect()
            }
            None => live.clone(),
        };
        if able.is_empty() {
            let base = prompt.map(|p| Want { adapter: None, ..p.requirement(service) });
            let holds_model = base.is_some_and(|b| live.iter().any(|t| t.holds(&b, now)));
            return Err(if holds_model { Unavailable::Adapter } else { Unavailable::Model });
        }
        let untried: Vec<_> =
            able.iter().copied().filter(|t| !tried.contains(&t.announced.id)).collect();
        let allowed = if untried.is_empty() { able } else { untried };
        let candidates: Vec<_> =
            allowed.iter().map(|t| t.candidate(prompt, locality, now)).collect();
        let profile = request_profile(prompt);
        let (index, estimate) = pick::pick(&profile, &candidates).ok_or(Unavailable::Target)?;
        Ok(Choice {
            id: allowed[index].announced.id.clone(),
            address: allowed[index].announced.address,
            prefill_tokens: profile.tokens.saturating_sub(candidates[index].cached_tokens),
            estimate: time::Duration::from_secs_f64(estimate / 1_000.0),
            in_backoff: candidates[index].in_backoff,
            requirement: prompt.map(|p| p.requirement(service)),
        })
    }

    /// Notes that a request is sent to a target.
    pub fn record_sent(&mut self, choice: &Choice, prompt: Option<&Prompt>) {
        if let Some(requirement) = &choice.requirement {
            self.demands.entry(requirement.clone()).or_default().running += 1;
        }
        let Some(target) = self.targets.get_mut(&choice.id) else {
            return;
        };
        target.local_load.running += 1;
        target.local_load.prompt += choice.prefill_tokens;
        if let Some(prompt) = prompt {
            target.cache.record(prompt);
        }
    }

    /// Notes that a target has read the prompt of a request.
    pub fn record_first_output(&mut self, choice: &Choice) {
        if let Some(target) = self.targets.get_mut(&choice.id) {
            target.local_load.prompt =
                target.local_load.prompt.saturating_sub(choice.prefill_tokens);
        }
    }

    /// Notes that a request is no longer at a target.
    pub fn record_end(&mut self, choice: &Choice) {
        if let Some(requirement) = &choice.requirement
            && let Some(demand) = self.demands.get_mut(requirement)
        {
            demand.running = demand.running.saturating_sub(1);
        }
        if let Some(target) = self.targets.get_mut(&choice.id) {
            target.local_load.running = target.local_load.running.saturating_sub(1);
        }
    }

    /// Notes that a target answered.
    pub fn record_success(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.consecutive_failures = 0;
            target.backoff_until = time::Duration::ZERO;
        }
    }

    /// Notes that a target broke off, failed or could not be reached.
    pub fn record_failure(&mut self, id: &str, now: time::Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.consecutive_failures += 1;
        if target.consecutive_failures >= FAILURES_FOR_BACKOFF {
            let backoff = INITIAL_BACKOFF
                * 2_u32.saturating_pow((target.consecutive_failures - FAILURES_FOR_BACKOFF).min(8));
            target.backoff_until = now + backoff.min(MAX_BACKOFF);
        }
    }

    /// Notes that a target's holdings differ from what it announced.
    pub fn override_holding(
        &mut self,
        id: &str,
        requirement: &Want,
        holds: bool,
        now: time::Duration,
    ) {
        if let Some(target) = self.targets.get_mut(id) {
            target.holding_overrides.retain(|_, (_, until)| now < *until);
            target.holding_overrides.insert(requirement.clone(), (holds, now + OVERRIDE_TTL));
        }
    }

    /// Returns the targets that hold something.
    #[must_use]
    pub fn holders(&self, requirement: &Want, now: time::Duration) -> Vec<String> {
        let held = self.targets.values().filter(|t| t.holds(requirement, now));
        held.map(|t| t.announced.id.clone()).collect()
    }

    /// Returns true if a further target for something may be asked for, which is
    /// not done more often than it can make a difference.
    pub fn may_scale_out(&mut self, requirement: &Want, now: time::Duration) -> bool {
        self.scale_outs.retain(|_, at| now < *at + SCALE_OUT_INTERVAL);
        let due = !self.scale_outs.contains_key(requirement);
        if due {
            self.scale_outs.insert(requirement.clone(), now);
        }
        due
    }

    /// Notes that a request arrived.
    pub fn record_arrival(&mut self, service: &str, prompt: &Prompt, now: time::Duration) {
        let requirement = prompt.requirement(service);
        let work =
            u64::from(prompt.tokens) + WORK_PER_OUTPUT_TOKEN * u64::from(prompt.max_output_tokens);
        self.demands.entry(requirement).or_default().work.push_back((now, work));
    }

    /// Notes that a request begins or stops to wait for its model.
    pub fn record_waiting(&mut self, service: &str, prompt: &Prompt, begins: bool) {
        let requirement = prompt.requirement(service);
        let demand = self.demands.entry(requirement).or_default();
        demand.waiting = if begins { demand.waiting + 1 } else { demand.waiting.saturating_sub(1) };
    }

    /// Returns the traffic of this gateway, to be told to the others.
    pub fn local_traffic(&mut self, now: time::Duration) -> traffic::Report {
        let busy =
            self.targets.values().filter(|t| t.local_load.running > 0 || t.local_load.prompt > 0);
        let loads = busy.map(|t| traffic::Load { target: t.announced.id.clone(), ..t.local_load });
        let loads = loads.collect();
        for demand in self.demands.values_mut() {
            demand.work.retain(|(at, _)| now < *at + DEMAND_WINDOW);
        }
        self.demands.retain(|_, d| !d.work.is_empty() || d.waiting > 0 || d.running > 0);
        let mut demands = Vec::new();
        for (requirement, demand) in &self.demands {
            let sum: u64 = demand.work.iter().map(|(_, work)| work).sum();
            demands.push(traffic::Demand {
                service: requirement.service.clone(),
                model: requirement.model.clone(),
                adapter: requirement.adapter.clone(),
                work: sum / DEMAND_WINDOW.as_secs(),
                waiting: demand.waiting,
                running: demand.running,
            });
        }
        traffic::Report { loads, demands, spends: Vec::new(), entries: Vec::new() }
    }
}

impl Target {
    fn new(announced: Announced) -> Self {
        Self {
            hash: xxhash_rust::xxh3::xxh3_64(announced.id.as_bytes()),
            announced,
            local_load: traffic::Load::default(),
            remote_load: traffic::Load::default(),
            cache: PrefixCache::default(),
            consecutive_failures: 0,
            backoff_until: time::Duration::ZERO,
            holding_overrides: collections::HashMap::new(),
        }
    }

    fn holds(&self, requirement: &directory::Want, now: time::Duration) -> bool {
        match self.holding_overrides.get(requirement) {
            Some((holds, until)) if now < *until => *holds,
            _ => self.announced.holds(requirement),
        }
    }

    fn candidate(
        &self,
        prompt: Option<&Prompt>,
        locality: &Locality<'_>,
        now: time::Duration,
    ) -> pick::Candidate {
        pick::Candidate {
            hash: self.hash,
            slots: self.announced.slots,
            running: self.local_load.running + self.remote_load.running,
            pending_prefill: self.local_load.prompt + self.remote_load.prompt,
            cached_tokens: prompt.map_or(0, |p| self.cache.cached_tokens(p)),
            other_domain: self.announced.domain != locality.domain,
            needs_connection: !locality.connected.contains(&self.announced.address),
            in_backoff: now < self.backoff_until,
        }
    }
}

fn request_profile(prompt: Option<&Prompt>) -> pick::RequestProfile {
    let Some(prompt) = prompt else {
        return pick::RequestProfile::default();
    };
    let last = prompt.segments.last().map_or(0, |s| s.tokens);
    let total: u32 = prompt.segments.iter().map(|s| s.tokens).sum();
    pick::RequestProfile {
        tokens: prompt.tokens,
        shared_tokens: total - last,
        shared_prefix: cache::shared_prefix_hash(prompt),
    }
}
