//! The targets as one gateway sees them: what they announced, what is sent to
//! them, and how they behaved.

use std::{collections, net, time};

use crate::version::{
    directory::{self, AnnouncedTarget, Requirement},
    traffic,
    view::Presence,
};

use super::{
    Prompt,
    cache::{self, Cache},
    pick,
};

/// Estimated time to the first output above which an adapter is wanted at a
/// further target.
const CROWDED: time::Duration = time::Duration::from_millis(250);

/// How long a target that broke off or could not be reached is avoided at
/// first. Each further failure in a row doubles it.
const SHUN: time::Duration = time::Duration::from_millis(400);

/// Longest time that a target is avoided.
const SHUN_MOST: time::Duration = time::Duration::from_secs(5);

/// Failures in a row after which a target is avoided. One may be chance.
const PATIENCE: u32 = 2;

/// How long a target's own word that it lacks something goes before what it
/// announced, and a leader's word that it has it.
const WORD: time::Duration = time::Duration::from_millis(2_500);

/// Least time between two wishes for a further target of one adapter.
const SPREAD: time::Duration = time::Duration::from_secs(1);

/// Span over which demand is averaged.
const DEMAND_SPAN: time::Duration = time::Duration::from_secs(2);

/// Work of one token of output, in prompt tokens: a step of a full batch takes
/// that much of the time in which prompts could be read.
const OUTPUT_WORK: u64 = 5;

/// A target.
#[derive(Clone, Debug)]
struct Target {
    announced: AnnouncedTarget,
    hash: u64,
    /// What this gateway sent there.
    own: traffic::Load,
    /// What the others sent there, by their latest reports.
    others: traffic::Load,
    cache: Cache,
    failures: u32,
    shunned: time::Duration,
    /// What its holdings differ by from those announced, and until when that
    /// counts.
    words: collections::HashMap<Requirement, (bool, time::Duration)>,
}

/// The target that a request is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifies the target.
    pub id: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Prompt tokens that it will have to read.
    pub unread: u32,
    /// Estimated time until the first output.
    pub estimate: time::Duration,
    /// Whether it failed lately, as all that would do.
    pub shunned: bool,
    /// What the target is used for, if it is an engine.
    pub want: Option<Requirement>,
}

impl Choice {
    /// Returns the adapter that is wanted at a further target, if there is one.
    #[must_use]
    pub fn crowded(&self) -> Option<&Requirement> {
        self.want.as_ref().filter(|w| w.adapter.is_some() && self.estimate > CROWDED)
    }
}

/// What is near to this gateway.
#[derive(Clone, Copy, Debug)]
pub struct Near<'n> {
    /// Its failure domain.
    pub domain: &'n str,
    /// Addresses that an idle connection is open to.
    pub open: &'n collections::HashSet<net::SocketAddr>,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// The service has no target that takes requests.
    Target,
    /// No target holds the model.
    Model,
    /// No target holds the adapter, but some hold its model.
    Adapter,
}

/// Requests for one model or adapter.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    /// Work in each of the latest reports, with its time.
    work: collections::VecDeque<(time::Duration, u64)>,
    waiting: u32,
    running: u32,
}

/// How many gateways there are, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gateways {
    /// Those that a replica hears at present.
    pub heard: u32,
    /// All, including those that are cut off.
    pub all: u32,
}

impl Default for Gateways {
    fn default() -> Self {
        Self { heard: 1, all: 1 }
    }
}

/// All targets, with what this gateway knows about each.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: collections::BTreeMap<String, Target>,
    arrivals: collections::BTreeMap<Requirement, Arrivals>,
    gateways: Gateways,
    /// When a further target was last asked for.
    spread: collections::HashMap<Requirement, time::Duration>,
    /// What the other gateways spend, in tokens per second by workspace.
    spends: collections::HashMap<String, f64>,
}

impl Fleet {
    /// Takes in targets that changed.
    pub fn announce(&mut self, announced: Vec<AnnouncedTarget>) {
        for given in announced {
            if given.presence == Presence::Down {
                self.targets.remove(&given.id);
                continue;
            }
            match self.targets.get_mut(&given.id) {
                Some(known) if known.announced.incarnation == given.incarnation => {
                    known.announced = given;
                }
                _ => {
                    self.targets.insert(given.id.clone(), Target::new(given));
                }
            }
        }
    }

    /// Takes in what the other gateways sent, and how many `gateways` there are.
    pub fn report(&mut self, report: &traffic::Report, gateways: Gateways) {
        let heard = gateways.heard.max(1);
        self.gateways = Gateways { heard, all: gateways.all.max(heard) };
        self.spends = report.spends.iter().map(|s| (s.workspace.clone(), s.rate)).collect();
        for target in self.targets.values_mut() {
            target.others = traffic::Load::default();
        }
        for load in &report.loads {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.others = load.clone();
            }
        }
    }

    /// Returns how many gateways there are, this one included.
    #[must_use]
    pub fn gateways(&self) -> Gateways {
        self.gateways
    }

    /// Returns what the other gateways spend for a workspace, in tokens per
    /// second.
    #[must_use]
    pub fn spends(&self, workspace: &str) -> f64 {
        self.spends.get(workspace).copied().unwrap_or(0.0)
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
        near: &Near<'_>,
        now: time::Duration,
    ) -> Result<Choice, Lack> {
        let live = self
            .targets
            .values()
            .filter(|t| t.announced.service == service && t.announced.presence == Presence::Up);
        let live: Vec<_> = live.collect();
        if live.is_empty() {
            return Err(Lack::Target);
        }
        let fit: Vec<_> = match prompt.map(|p| p.want(service)) {
            Some(want) => live.iter().copied().filter(|t| t.holds(&want, now)).collect(),
            None => live.clone(),
        };
        if fit.is_empty() {
            let base = prompt.map(|p| Requirement { adapter: None, ..p.want(service) });
            let near = base.is_some_and(|b| live.iter().any(|t| t.holds(&b, now)));
            return Err(if near { Lack::Adapter } else { Lack::Model });
        }
        let fresh: Vec<_> =
            fit.iter().copied().filter(|t| !tried.contains(&t.announced.id)).collect();
        let among = if fresh.is_empty() { fit } else { fresh };
        let candidates: Vec<_> = among.iter().map(|t| t.candidate(prompt, near, now)).collect();
        let ask = ask_of(prompt);
        let (at, estimate) = pick::pick(&ask, &candidates).ok_or(Lack::Target)?;
        Ok(Choice {
            id: among[at].announced.id.clone(),
            address: among[at].announced.address,
            unread: ask.tokens.saturating_sub(candidates[at].kept),
            estimate: time::Duration::from_secs_f64(estimate / 1_000.0),
            shunned: candidates[at].shunned,
            want: prompt.map(|p| p.want(service)),
        })
    }

    /// Notes that a request is sent to a target.
    pub fn begin(&mut self, choice: &Choice, prompt: Option<&Prompt>) {
        if let Some(want) = &choice.want {
            self.arrivals.entry(want.clone()).or_default().running += 1;
        }
        let Some(target) = self.targets.get_mut(&choice.id) else {
            return;
        };
        target.own.running += 1;
        target.own.prompt += choice.unread;
        if let Some(prompt) = prompt {
            target.cache.note(prompt);
        }
    }

    /// Notes that a target has read the prompt of a request.
    pub fn read(&mut self, choice: &Choice) {
        if let Some(target) = self.targets.get_mut(&choice.id) {
            target.own.prompt = target.own.prompt.saturating_sub(choice.unread);
        }
    }

    /// Notes that a request is no longer at a target.
    pub fn end(&mut self, choice: &Choice) {
        if let Some(want) = &choice.want
            && let Some(arrivals) = self.arrivals.get_mut(want)
        {
            arrivals.running = arrivals.running.saturating_sub(1);
        }
        if let Some(target) = self.targets.get_mut(&choice.id) {
            target.own.running = target.own.running.saturating_sub(1);
        }
    }

    /// Notes that a target answered.
    pub fn answered(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.failures = 0;
            target.shunned = time::Duration::ZERO;
        }
    }

    /// Notes that a target broke off, failed or could not be reached.
    pub fn failed(&mut self, id: &str, now: time::Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.failures += 1;
        if target.failures >= PATIENCE {
            let doubled = SHUN * 2_u32.saturating_pow((target.failures - PATIENCE).min(8));
            target.shunned = now + doubled.min(SHUN_MOST);
        }
    }

    /// Notes that a target's holdings differ from what it announced.
    pub fn word(&mut self, id: &str, want: &Requirement, holds: bool, now: time::Duration) {
        if let Some(target) = self.targets.get_mut(id) {
            target.words.retain(|_, (_, until)| now < *until);
            target.words.insert(want.clone(), (holds, now + WORD));
        }
    }

    /// Returns the targets that hold something.
    #[must_use]
    pub fn holders(&self, want: &Requirement, now: time::Duration) -> Vec<String> {
        let held = self.targets.values().filter(|t| t.holds(want, now));
        held.map(|t| t.announced.id.clone()).collect()
    }

    /// Returns true if a further target for something may be asked for, which is
    /// not done more often than it can make a difference.
    pub fn may_spread(&mut self, want: &Requirement, now: time::Duration) -> bool {
        self.spread.retain(|_, at| now < *at + SPREAD);
        let due = !self.spread.contains_key(want);
        if due {
            self.spread.insert(want.clone(), now);
        }
        due
    }

    /// Notes that a request arrived.
    pub fn arrived(&mut self, service: &str, prompt: &Prompt, now: time::Duration) {
        let place = prompt.want(service);
        let work = u64::from(prompt.tokens) + OUTPUT_WORK * u64::from(prompt.output);
        self.arrivals.entry(place).or_default().work.push_back((now, work));
    }

    /// Notes that a request begins or stops to wait for its model.
    pub fn waits(&mut self, service: &str, prompt: &Prompt, begins: bool) {
        let place = prompt.want(service);
        let arrivals = self.arrivals.entry(place).or_default();
        arrivals.waiting =
            if begins { arrivals.waiting + 1 } else { arrivals.waiting.saturating_sub(1) };
    }

    /// Returns the traffic of this gateway, to be told to the others.
    pub fn own(&mut self, now: time::Duration) -> traffic::Report {
        let busy = self.targets.values().filter(|t| t.own.running > 0 || t.own.prompt > 0);
        let loads = busy.map(|t| traffic::Load { target: t.announced.id.clone(), ..t.own });
        let loads = loads.collect();
        for arrivals in self.arrivals.values_mut() {
            arrivals.work.retain(|(at, _)| now < *at + DEMAND_SPAN);
        }
        self.arrivals.retain(|_, a| !a.work.is_empty() || a.waiting > 0 || a.running > 0);
        let mut demands = Vec::new();
        for (want, arrivals) in &self.arrivals {
            let sum: u64 = arrivals.work.iter().map(|(_, work)| work).sum();
            demands.push(traffic::Demand {
                service: want.service.clone(),
                model: want.model.clone(),
                adapter: want.adapter.clone(),
                work: sum / DEMAND_SPAN.as_secs(),
                waiting: arrivals.waiting,
                running: arrivals.running,
            });
        }
        traffic::Report { loads, demands, spends: Vec::new(), entries: Vec::new() }
    }
}

impl Target {
    fn new(announced: AnnouncedTarget) -> Self {
        Self {
            hash: xxhash_rust::xxh3::xxh3_64(announced.id.as_bytes()),
            announced,
            own: traffic::Load::default(),
            others: traffic::Load::default(),
            cache: Cache::default(),
            failures: 0,
            shunned: time::Duration::ZERO,
            words: collections::HashMap::new(),
        }
    }

    fn holds(&self, want: &directory::Requirement, now: time::Duration) -> bool {
        match self.words.get(want) {
            Some((holds, until)) if now < *until => *holds,
            _ => self.announced.holds(want),
        }
    }

    fn candidate(
        &self,
        prompt: Option<&Prompt>,
        near: &Near<'_>,
        now: time::Duration,
    ) -> pick::Candidate {
        pick::Candidate {
            hash: self.hash,
            slots: self.announced.slots,
            running: self.own.running + self.others.running,
            unread: self.own.prompt + self.others.prompt,
            kept: prompt.map_or(0, |p| self.cache.kept(p)),
            away: self.announced.domain != near.domain,
            unconnected: !near.open.contains(&self.announced.address),
            shunned: now < self.shunned,
        }
    }
}

fn ask_of(prompt: Option<&Prompt>) -> pick::Ask {
    let Some(prompt) = prompt else {
        return pick::Ask::default();
    };
    let own = prompt.parts.last().map_or(0, |p| p.tokens);
    let all: u32 = prompt.parts.iter().map(|p| p.tokens).sum();
    pick::Ask { tokens: prompt.tokens, shared: all - own, beginning: cache::shared(prompt) }
}
