//! Sums of traffic reports that are built anew from all reports whenever they are read.

use std::{collections, time};

use hornbeamdock::version::{
    interrupted::Interrupted,
    traffic::{BrittleService, Demand, Load, Report, Source, TokenRate},
};

const REPORT_TTL: time::Duration = time::Duration::from_secs(2);
const RETURN_TIME: time::Duration = time::Duration::from_secs(5);
const MAX_EXCHANGED_RELAYS: usize = 16;
const MAX_RELAYS: usize = 4;

/// Adds the load that another gateway causes at the same target.
fn add(sum: &mut Load, other: &Load) {
    sum.running = sum.running.saturating_add(other.running);
    sum.prompt_tokens = sum.prompt_tokens.saturating_add(other.prompt_tokens);
    other.placed.iter().for_each(|p| sum.add_placed(p.term, p.count));
}

/// The latest report of each source, with its time of arrival. One that no longer counts is
/// kept for [`RETURN_TIME`], as its requests may come back.
#[derive(Clone, Debug, Default)]
pub struct Model {
    reports: collections::BTreeMap<Source, (Report, time::Duration)>,
    interrupted: Interrupted,
}

impl Model {
    /// Records a report in place of the source's earlier one.
    pub fn record(&mut self, source: Source, report: Report, now: time::Duration) {
        self.reports.insert(source, (report, now));
        self.reports.retain(|_, (_, at)| now < *at + RETURN_TIME);
    }

    /// Records the first report of a gateway since it started. Its earlier requests ended
    /// with the run before.
    pub fn record_restart(&mut self, gateway: u32, report: Report, now: time::Duration) {
        let source = Source::Gateway(gateway);
        if let Some((earlier, at)) = self.reports.remove(&source) {
            self.interrupted.record(&earlier, at);
        }
        self.record(source, report, now);
    }

    /// Returns the number of requests at a target without a place of the leader of `term`,
    /// by all reports.
    pub fn unplaced(&self, target: &str, term: u64, now: time::Duration) -> u32 {
        let live = self.reports.values().filter(|(_, at)| now < *at + REPORT_TTL);
        let loads = live.flat_map(|(report, _)| &report.loads);
        let unplaced = loads.filter(|load| load.target == target).map(|load| load.unplaced(term));
        unplaced.fold(0, u32::saturating_add)
    }

    /// Sums the reports of the gateways that report to this replica.
    pub fn local(&self, now: time::Duration) -> Report {
        let mut sum = self.sum(now, |source| matches!(source, Source::Gateway(_)));
        sum.relays.truncate(MAX_EXCHANGED_RELAYS);
        sum
    }

    /// Sums all reports except that of one gateway. Its relays are a few of all, so that
    /// gateways in need spread over them.
    pub fn excluding(&self, gateway: u32, now: time::Duration) -> Report {
        let mut sum = self.sum(now, |source| source != Source::Gateway(gateway));
        let own = self.reports.get(&Source::Gateway(gateway));
        sum.relays.retain(|relay| own.is_none_or(|(report, _)| !report.relays.contains(relay)));
        if !sum.relays.is_empty() {
            let first = usize::try_from(gateway).unwrap_or(0) % sum.relays.len();
            sum.relays.rotate_left(first);
        }
        sum.relays.truncate(MAX_RELAYS);
        sum
    }

    /// Sums all reports.
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
                add(loads.entry(&load.target).or_default(), load);
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
        sum.work = sum.work.saturating_add(demand.work);
        sum.waiting = sum.waiting.saturating_add(demand.waiting);
        sum.running = sum.running.saturating_add(demand.running);
    }
    sums.into_values().collect()
}
