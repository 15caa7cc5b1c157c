//! What gateways tell one another through the control replicas: the load that they cause, the
//! demand for models, and what targets have stated.

use std::time;

use crate::{
    request::gateway::Prompt,
    version::{traffic, view::Presence},
};

use super::{BRITTLE_TTL, GatewayCounts, TargetTable};

/// Window over which demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Work of one output token, in prompt tokens: its part of a decoding step of a
/// full batch takes as long as the prefill of this many tokens.
const WORK_PER_OUTPUT_TOKEN: u64 = 5;

impl TargetTable {
    /// Replaces the load and token rates reported by the other gateways, and
    /// the numbers of gateways.
    pub fn apply_report(&mut self, report: &traffic::Report, gateways: GatewayCounts) {
        let reporting = gateways.reporting.max(1);
        self.gateway_counts = GatewayCounts { reporting, known: gateways.known.max(reporting) };
        self.paces.set_gateways(reporting);
        self.other_token_rates =
            report.token_rates.iter().map(|t| (t.workspace.clone(), t.rate)).collect();
        let reported = report.brittle_services.iter();
        self.reported_brittle =
            reported.map(|b| (b.service.clone(), f64::from(b.rejection_limit))).collect();
        for target in self.targets.values_mut() {
            target.remote_load = traffic::Load::default();
        }
        for load in &report.loads {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.remote_load = load.clone();
            }
        }
    }

    /// Records the arrival of a request, once for all of its attempts.
    pub fn record_arrival(&mut self, service: &str, prompt: &Prompt, now: time::Duration) {
        let requirement = prompt.requirement(service);
        let work =
            u64::from(prompt.tokens) + WORK_PER_OUTPUT_TOKEN * u64::from(prompt.max_output_tokens);
        self.demands.entry(requirement).or_default().work.push_back((now, work));
    }

    /// Records that a request begins or ceases to wait for a target with its
    /// model or adapter.
    pub fn record_waiting(&mut self, service: &str, prompt: &Prompt, begins: bool) {
        let requirement = prompt.requirement(service);
        let demand = self.demands.entry(requirement).or_default();
        demand.waiting = if begins { demand.waiting + 1 } else { demand.waiting.saturating_sub(1) };
    }

    /// Returns the targets that stated that they are leaving and are announced as up: the
    /// control replicas do not know it yet.
    fn unannounced_leaving(&self) -> Vec<traffic::LeavingTarget> {
        let is_up = |id: &str, incarnation| {
            let target = self.targets.get(id).map(|t| &t.announced);
            target.is_some_and(|a| a.incarnation == incarnation && a.presence == Presence::Up)
        };
        let stated = self.notices.leaving().filter(|(id, incarnation)| is_up(id, *incarnation));
        let leaving = stated
            .map(|(id, incarnation)| traffic::LeavingTarget { id: id.to_owned(), incarnation });
        leaving.collect()
    }

    /// Returns the load and demand of this gateway, as reported to control
    /// replicas.
    pub fn local_traffic(&mut self, now: time::Duration) -> traffic::Report {
        let busy = self
            .targets
            .values()
            .filter(|t| t.local_load.running > 0 || t.local_load.prompt_tokens > 0);
        let loads =
            busy.map(|t| traffic::Load { target: t.announced.id.clone(), ..t.local_load.clone() });
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
        let brittle = self.brittle.iter().filter(|(_, (_, at))| now < *at + BRITTLE_TTL);
        let brittle_services = brittle.map(|(service, (limit, _))| traffic::BrittleService {
            service: service.clone(),
            rejection_limit: whole(*limit),
        });
        let brittle_services = brittle_services.collect();
        let leaving = self.unannounced_leaving();
        let paces = self.paces.report(now);
        traffic::Report {
            loads,
            demands,
            brittle_services,
            leaving,
            paces,
            ..traffic::Report::default()
        }
    }
}

/// Rounds a number of requests a second down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole(number: f64) -> u32 {
    number as u32
}
