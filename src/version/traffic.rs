//! The load of targets and the demand for models, summed over all gateways.
//!
//! A gateway knows its own requests at once and those of other gateways only by
//! report. Each gateway reports to one control replica, and replicas exchange the
//! sums of the reports that they received. A gateway gets the sum without its own
//! report in answer, since its own figures are more recent.

use std::{collections, mem, net, time};

use serde::{Deserialize, Serialize};

use super::{
    census, directory,
    interrupted::{self, Interrupted},
    pace, raft,
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

    /// Adds the load that another gateway causes at the same target.
    fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        other.placed.iter().for_each(|p| self.add_placed(p.term, p.count));
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

impl Demand {
    /// Adds the demand of other requests for the same.
    fn add(&mut self, other: &Self) {
        self.work = self.work.saturating_add(other.work);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.running = self.running.saturating_add(other.running);
    }
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

/// The latest report of each source, with its time of arrival. One that no longer counts is
/// kept for [`interrupted::RETURN_TIME`], as its requests may come back.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    reports: collections::BTreeMap<Source, (Report, time::Duration)>,
    interrupted: Interrupted,
    gateway_registry: census::GatewayRegistry,
    paces: pace::Paces,
}

impl Traffic {
    /// Records a report in place of the source's earlier one.
    pub fn record(&mut self, source: Source, mut report: Report, now: time::Duration) {
        self.paces.record(source, mem::take(&mut report.paces), now);
        self.gateway_registry.observe(&report.gateways, now);
        self.reports.insert(source, (report, now));
        self.interrupted.remove_expired(now);
        self.reports.retain(|_, (_, at)| now < *at + interrupted::RETURN_TIME);
    }

    /// Records the first report of a gateway since it started. Its earlier requests ended
    /// with the run before.
    pub fn record_restart(
        &mut self,
        gateway: census::GatewayId,
        report: Report,
        now: time::Duration,
    ) {
        let source = Source::Gateway(gateway);
        if let Some((earlier, at)) = self.reports.remove(&source) {
            self.interrupted.record(&earlier, at);
        }
        self.record(source, report, now);
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
        let live = self.reports.values().filter(|(_, at)| now < *at + REPORT_TTL);
        let loads = live.flat_map(|(report, _)| &report.loads);
        let unplaced = loads.filter(|load| load.target == target).map(|load| load.unplaced(term));
        unplaced.fold(0, u32::saturating_add)
    }

    /// Sums the reports of the gateways that report to this replica.
    #[must_use]
    pub fn local(&self, now: time::Duration) -> Report {
        let mut sum = self.sum(now, |source| matches!(source, Source::Gateway(_)));
        sum.relays.truncate(MAX_EXCHANGED_RELAYS);
        sum.paces = self.paces.local().to_vec();
        sum
    }

    /// Sums all reports except that of one gateway. Its relays are a few of all, so that
    /// gateways in need spread over them.
    #[must_use]
    pub fn excluding(&self, gateway: census::GatewayId, now: time::Duration) -> Report {
        let mut sum = self.sum(now, |source| source != Source::Gateway(gateway));
        let own = self.reports.get(&Source::Gateway(gateway));
        sum.relays.retain(|relay| own.is_none_or(|(report, _)| !report.relays.contains(relay)));
        if !sum.relays.is_empty() {
            let first = usize::try_from(gateway).unwrap_or(0) % sum.relays.len();
            sum.relays.rotate_left(first);
        }
        sum.relays.truncate(MAX_RELAYS);
        sum.paces = self.paces.all().to_vec();
        sum
    }

    /// Sums all reports.
    #[must_use]
    pub fn total(&self, now: time::Duration) -> Report {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: time::Duration, counts: impl Fn(Source) -> bool) -> Report {
        let is_live =
            |(s, (_, at)): &(&Source, &(Report, _))| counts(**s) && now < *at + REPORT_TTL;
        let live = self.reports.iter().filter(is_live).map(|(_, (report, _))| report);
        let mut interrupted = self.interrupted.clone();
        for (source, (report, at)) in &self.reports {
            if counts(*source) && now >= *at + REPORT_TTL {
                interrupted.record(report, *at);
            }
        }
        let demands = live.clone().flat_map(|report| &report.demands);
        let demands = sum_demands(demands.chain(interrupted.live(now)));
        let mut loads = collections::BTreeMap::<&str, Load>::new();
        let mut token_rates = collections::BTreeMap::<&str, f64>::new();
        let mut gateways = collections::BTreeSet::new();
        let mut relays = collections::BTreeSet::new();
        let mut brittle_services = collections::BTreeMap::new();
        for report in live {
            gateways.extend(&report.gateways);
            relays.extend(&report.relays);
            for brittle in &report.brittle_services {
                let limit = brittle_services.entry(&brittle.service).or_insert(u32::MAX);
                *limit = brittle.rejection_limit.min(*limit);
            }
            for load in &report.loads {
                loads.entry(&load.target).or_default().add(load);
            }
            for requested in &report.token_rates {
                *token_rates.entry(&requested.workspace).or_default() += requested.rate;
            }
        }
        let loads = loads.into_iter().map(|(target, l)| Load { target: target.to_owned(), ..l });
        let token_rates = token_rates
            .into_iter()
            .map(|(workspace, rate)| TokenRate { workspace: workspace.to_owned(), rate });
        let brittle_services = brittle_services.into_iter().map(|(service, rejection_limit)| {
            BrittleService { service: service.clone(), rejection_limit }
        });
        Report {
            loads: loads.collect(),
            demands,
            token_rates: token_rates.collect(),
            gateways: gateways.into_iter().collect(),
            brittle_services: brittle_services.collect(),
            leaving: Vec::new(),
            relays: relays.into_iter().collect(),
            paces: Vec::new(),
        }
    }
}

/// Sums demands for the same thing, in ascending order of service, model and adapter.
fn sum_demands<'d>(demands: impl Iterator<Item = &'d Demand>) -> Vec<Demand> {
    let mut sums = collections::BTreeMap::<(&str, &str, Option<&str>), Demand>::new();
    for demand in demands {
        let key = (demand.service.as_str(), demand.model.as_str(), demand.adapter.as_deref());
        let sum = sums.entry(key).or_insert_with(|| Demand {
            service: demand.service.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
            work: 0,
            waiting: 0,
            running: 0,
        });
        sum.add(demand);
    }
    sums.into_values().collect()
}
