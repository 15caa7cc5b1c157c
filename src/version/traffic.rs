//! The load of targets and the demand for models, summed over all gateways.
//!
//! A gateway knows its own requests at once and those of other gateways only by
//! report. Each gateway reports to one control replica, and replicas exchange the
//! sums of the reports that they received. A gateway gets the sum without its own
//! report in answer, since its own figures are more recent.

use std::{borrow, collections, mem, net, time};

use serde::{Deserialize, Serialize};

use super::{
    census, directory,
    interrupted::{self, Interrupted},
    pace, raft,
    sums::{Form, Rest, Sums},
};

/// How long a report counts if no later one of its source arrives.
const REPORT_TTL: time::Duration = time::Duration::from_secs(2);

/// Load of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the target.
    pub target: String,
    /// Number of requests sent and not yet answered in full.
    pub running: u32,
    /// Prompt tokens that the target has yet to process: those of requests whose
    /// first output has not arrived, less those expected in its prefix cache.
    pub prompt_tokens: u32,
    /// How many of the requests hold a place, by the leader that gave it, in ascending order
    /// of terms.
    #[serde(skip)]
    pub placed: Vec<Placed>,
}

/// Requests at a target that hold a place of one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// Term of the leader.
    pub term: raft::Term,
    /// Number of requests.
    pub count: u32,
}

impl Load {
    /// Counts more requests that hold a place of the leader of `term`.
    pub fn add_placed(&mut self, term: raft::Term, count: u32) {
        match self.placed.binary_search_by_key(&term, |p| p.term) {
            Ok(at) => self.placed[at].count = self.placed[at].count.saturating_add(count),
            Err(at) => self.placed.insert(at, Placed { term, count }),
        }
    }

    /// Counts a request less that holds a place of the leader of `term`.
    pub fn remove_placed(&mut self, term: raft::Term) {
        for placed in self.placed.iter_mut().filter(|p| p.term == term) {
            placed.count = placed.count.saturating_sub(1);
        }
        self.placed.retain(|p| p.count > 0);
    }

    /// Returns the number of requests without a place of the leader of `term`.
    #[must_use]
    pub fn unplaced(&self, term: raft::Term) -> u32 {
        let placed = self.placed.iter().find(|p| p.term == term).map_or(0, |p| p.count);
        self.running.saturating_sub(placed)
    }
}

/// Demand for a model or for an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<String>,
    /// Work that arrived, in prompt tokens per second. A token of output counts as
    /// several prompt tokens.
    pub work: u64,
    /// Number of requests that wait because no target holds the model or adapter.
    pub waiting: u32,
    /// Number of requests at targets.
    pub running: u32,
}

/// A service whose targets fail when they must reject many requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleService {
    /// Name of the service.
    pub service: String,
    /// Rejections a second that each target bears.
    pub rejection_limit: u32,
}

/// An incarnation of a target that is leaving or has left.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// Id of the target.
    pub id: String,
    /// Start time of the target, as it announced.
    pub incarnation: u64,
}

impl From<&directory::Departure> for LeavingTarget {
    fn from(departure: &directory::Departure) -> Self {
        Self { id: departure.id.clone(), incarnation: departure.incarnation }
    }
}

impl From<LeavingTarget> for directory::Departure {
    fn from(target: LeavingTarget) -> Self {
        Self { id: target.id, incarnation: target.incarnation }
    }
}

/// Rate at which a workspace requests tokens, refused requests included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRate {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens per second.
    pub rate: f64,
}

/// How fast a target is, by the latest responses, in relation to nominal figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Hash of an incarnation of a target and the model.
    pub subject: u64,
    /// Hash of the service and the model, in 32 bits.
    pub pool: u64,
    /// Delay of the first event.
    pub prefill: PaceFigure,
    /// Time of a step, or of a response of a plain service.
    pub step: PaceFigure,
}

/// One figure of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceFigure {
    /// Logarithm of the ratio to the nominal figure, in 1 / 1,024.
    pub value: i16,
    /// Samples behind it, in 1 / 16; zero if there are none.
    pub weight: u8,
}

/// Traffic of one gateway, or the sum of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Loads by target.
    pub loads: Vec<Load>,
    /// Demands by service, model and adapter.
    pub demands: Vec<Demand>,
    /// Rates by workspace.
    pub token_rates: Vec<TokenRate>,
    /// Gateways in the sum, in ascending order. Empty in what a gateway sends and
    /// gets.
    pub gateways: Vec<census::GatewayId>,
    /// Services whose targets state that they fail when they must reject many requests, in
    /// ascending order of names in a sum.
    #[serde(skip)]
    pub brittle_services: Vec<BrittleService>,
    /// In what a gateway sends, targets that stated that they are leaving; in what it gets,
    /// those that have left. Empty in what replicas exchange.
    #[serde(skip)]
    pub leaving: Vec<LeavingTarget>,
    /// Internal addresses of gateways that reach targets and connect others to them, in
    /// ascending order. In what a gateway sends, its own or none; in what it gets, a few.
    pub relays: Vec<net::SocketAddr>,
    /// How fast targets are, at most [`pace::MAX_REPORTED`]. In what a gateway gets, over all
    /// gateways.
    #[serde(skip)]
    pub paces: Vec<Pace>,
}

/// Most relays in a sum that replicas exchange.
const MAX_EXCHANGED_RELAYS: usize = 16;

/// Most relays that a gateway gets.
const MAX_RELAYS: usize = 4;

/// Sender of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A gateway that reports to this replica.
    Gateway(census::GatewayId),
    /// Another replica, for the gateways that report to it.
    Replica(raft::NodeId),
}

/// The latest report of a source.
#[derive(Clone, Debug)]
struct Latest {
    report: Report,
    at: time::Duration,
    form: Form,
}

impl Latest {
    /// Returns when the report next counts in another form.
    fn until(&self) -> Option<time::Duration> {
        match self.form {
            Form::Live => Some(self.at + REPORT_TTL),
            Form::Lapsed => Some(self.at + interrupted::RETURN_TIME),
            Form::Ended => None,
        }
    }

    /// Returns the form in which a report that arrived at `at` counts at `now`.
    fn form_at(at: time::Duration, now: time::Duration) -> Form {
        if now < at + REPORT_TTL {
            Form::Live
        } else if now < at + interrupted::RETURN_TIME {
            Form::Lapsed
        } else {
            Form::Ended
        }
    }
}

/// The latest report of each source, with its time of arrival, and their sums. One that no longer
/// counts is kept for [`interrupted::RETURN_TIME`], as its requests may come back.
///
/// Times must not decrease from one call to the next; an earlier one counts as the latest.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    reports: collections::BTreeMap<Source, Latest>,
    /// When each report next counts in another form.
    deadlines: collections::BTreeSet<(time::Duration, Source)>,
    interrupted: Interrupted,
    gateway_registry: census::GatewayRegistry,
    /// Sums of all reports.
    all: Sums,
    /// Sums of the reports of gateways.
    local: Sums,
    paces: pace::Paces,
}

impl Traffic {
    /// Records a report in place of the source's earlier one.
    pub fn record(&mut self, source: Source, mut report: Report, now: time::Duration) {
        self.advance(now);
        self.paces.record(source, mem::take(&mut report.paces), now);
        self.gateway_registry.observe(&report.gateways, now);
        self.reports.retain(|s, latest| *s == source || now < latest.at + interrupted::RETURN_TIME);
        match self.reports.get_mut(&source) {
            Some(latest) if latest.form == Form::Live => {
                self.deadlines.remove(&(latest.at + REPORT_TTL, source));
                self.all.replace(source, &latest.report, &report);
                if is_local(source) {
                    self.local.replace(source, &latest.report, &report);
                }
                (latest.report, latest.at) = (report, now);
                self.deadlines.insert((now + REPORT_TTL, source));
            }
            _ => {
                self.remove(source);
                self.insert(source, Latest { report, at: now, form: Form::Live });
            }
        }
    }

    /// Records the first report of a gateway since it started. Its earlier requests ended
    /// with the run before.
    pub fn record_restart(
        &mut self,
        gateway: census::GatewayId,
        report: Report,
        now: time::Duration,
    ) {
        self.advance(now);
        let source = Source::Gateway(gateway);
        if let Some(Latest { report: earlier, at, .. }) = self.remove(source)
            && Latest::form_at(at, now) != Form::Ended
        {
            self.all.add_interrupted(&earlier);
            self.local.add_interrupted(&earlier);
            self.interrupted.record(&earlier, at);
        }
        self.record(source, report, now);
    }

    /// Brings the sums up to date. What is read at a time for which that was not done, is
    /// worked out on a copy.
    pub fn advance(&mut self, now: time::Duration) {
        while let Some((_, source)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            let Some(latest) = self.remove(source) else {
                return;
            };
            let form = Latest::form_at(latest.at, now);
            self.insert(source, Latest { form, ..latest });
        }
        for demand in self.interrupted.take_expired(now) {
            self.all.remove_interrupted(&demand);
            self.local.remove_interrupted(&demand);
        }
    }

    fn insert(&mut self, source: Source, latest: Latest) {
        self.all.add(source, &latest.report, latest.form);
        if is_local(source) {
            self.local.add(source, &latest.report, latest.form);
        }
        self.deadlines.extend(latest.until().map(|until| (until, source)));
        self.reports.insert(source, latest);
    }

    fn remove(&mut self, source: Source) -> Option<Latest> {
        let latest = self.reports.remove(&source)?;
        if let Some(until) = latest.until() {
            self.deadlines.remove(&(until, source));
        }
        self.all.remove(source, &latest.report, latest.form);
        if is_local(source) {
            self.local.remove(source, &latest.report, latest.form);
        }
        Some(latest)
    }

    /// Returns this with the sums as of `now`.
    fn current(&self, now: time::Duration) -> borrow::Cow<'_, Self> {
        let is_due = self.deadlines.first().is_some_and(|(at, _)| *at <= now);
        if !is_due && self.interrupted.is_current(now) {
            return borrow::Cow::Borrowed(self);
        }
        let mut current = self.clone();
        current.advance(now);
        borrow::Cow::Owned(current)
    }

    /// Returns the registry of the gateways named in reports.
    #[must_use]
    pub fn gateway_registry(&self) -> &census::GatewayRegistry {
        &self.gateway_registry
    }

    /// Returns the number of requests at a target without a place of the leader of `term`,
    /// by all reports.
    #[must_use]
    pub fn unplaced(&self, target: &str, term: raft::Term, now: time::Duration) -> u32 {
        self.current(now).all.unplaced(target, term)
    }

    /// Sums the reports of the gateways that report to this replica.
    #[must_use]
    pub fn local(&self, now: time::Duration) -> Report {
        let mut sum = self.current(now).local.all().report();
        sum.relays.truncate(MAX_EXCHANGED_RELAYS);
        sum.paces = self.paces.local().to_vec();
        sum
    }

    /// Sums all reports except that of one gateway. Its relays are a few of all, so that
    /// gateways in need spread over them.
    #[must_use]
    pub fn excluding(&self, gateway: census::GatewayId, now: time::Duration) -> Report {
        let current = self.current(now);
        let mut sum = current.rest(gateway).report();
        sum.relays = current.relays_for(gateway, sum.relays);
        sum.paces = self.paces.all().to_vec();
        sum
    }

    /// Returns the relays, the brittle services and the speeds in [`Self::excluding`], and nothing
    /// else of it.
    #[must_use]
    pub fn services_excluding(&self, gateway: census::GatewayId) -> Report {
        let rest = self.rest(gateway);
        Report {
            brittle_services: rest.brittle_services().collect(),
            relays: self.relays_for(gateway, rest.relays().collect()),
            paces: self.paces.all().to_vec(),
            ..Report::default()
        }
    }

    /// Returns the relays, the brittle services and the speeds in [`Self::local`], and nothing
    /// else of it.
    #[must_use]
    pub fn local_services(&self) -> Report {
        let sums = self.local.all();
        Report {
            brittle_services: sums.brittle_services().collect(),
            relays: sums.relays().take(MAX_EXCHANGED_RELAYS).collect(),
            paces: self.paces.local().to_vec(),
            ..Report::default()
        }
    }

    /// Returns the sums of the reports of gateways, as of the latest [`Self::advance`].
    pub(super) fn local_sums(&self) -> Rest<'_> {
        self.local.all()
    }

    /// Identifies the numbers of the targets in the sums of all reports.
    pub(super) fn layout(&self) -> u64 {
        self.all.layout()
    }

    /// Identifies the numbers of the targets in the sums of the reports of gateways.
    pub(super) fn local_layout(&self) -> u64 {
        self.local.layout()
    }

    /// Returns how many targets have a number in the sums of all reports.
    pub(super) fn numbered_targets(&self) -> usize {
        self.all.numbers()
    }

    /// Returns the sums of all reports except that of one gateway, as of the latest
    /// [`Self::advance`].
    pub(super) fn rest(&self, gateway: census::GatewayId) -> Rest<'_> {
        let source = Source::Gateway(gateway);
        match self.reports.get(&source) {
            Some(own) => self.all.without(source, &own.report, own.form),
            None => self.all.all(),
        }
    }

    /// Chooses those of `relays` that a gateway gets.
    fn relays_for(
        &self,
        gateway: census::GatewayId,
        mut relays: Vec<net::SocketAddr>,
    ) -> Vec<net::SocketAddr> {
        let own = self.reports.get(&Source::Gateway(gateway));
        relays.retain(|relay| own.is_none_or(|own| !own.report.relays.contains(relay)));
        if !relays.is_empty() {
            let first = usize::try_from(gateway).unwrap_or(0) % relays.len();
            relays.rotate_left(first);
        }
        relays.truncate(MAX_RELAYS);
        relays
    }

    /// Sums all reports.
    #[must_use]
    pub fn total(&self, now: time::Duration) -> Report {
        self.current(now).all.all().report()
    }
}

fn is_local(source: Source) -> bool {
    matches!(source, Source::Gateway(_))
}
