//! Demand for each model, from the reports of all gateways.

use std::{collections, time};

use crate::version::{announce, claim};

/// A report expires after this time, so that a silent gateway no longer counts.
const REPORT_TTL: time::Duration = time::Duration::from_secs(5);

/// Time constant of the exponential decay while demand falls.
const DECAY_TIME: time::Duration = time::Duration::from_mins(1);

/// The latest report of one gateway.
#[derive(Debug)]
struct GatewayReport {
    received_at: time::Duration,
    /// Load by model, in thousandths of a request.
    loads: collections::BTreeMap<String, u64>,
}

/// Demand for each model, as the number of requests that run or wait at a time.
///
/// The demand rises with the reports at once and falls with a time constant of a
/// minute: a missing copy delays requests, an unneeded one does not.
#[derive(Debug, Default)]
pub struct Demands {
    reports: collections::BTreeMap<claim::Session, GatewayReport>,
    averages: collections::BTreeMap<String, f64>,
    updated: time::Duration,
}

impl Demands {
    /// Replaces the report of a gateway.
    pub fn report(
        &mut self,
        session: claim::Session,
        demand: &[announce::Demand],
        now: time::Duration,
    ) {
        let loads = demand.iter().map(|d| (d.model.clone(), d.load)).collect();
        self.reports.insert(session, GatewayReport { received_at: now, loads });
    }

    /// Drops expired reports and updates the averages.
    pub fn advance(&mut self, now: time::Duration) {
        self.reports.retain(|_, r| now < r.received_at + REPORT_TTL);
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let mut sums: collections::BTreeMap<&str, u64> = collections::BTreeMap::new();
        for report in self.reports.values() {
            for (model, load) in &report.loads {
                *sums.entry(model).or_default() += load;
            }
        }
        for (model, average) in &mut self.averages {
            let sum = sums.remove(model.as_str()).unwrap_or(0);
            *average = to_requests(sum).max(*average * decay);
        }
        for (model, sum) in sums {
            self.averages.insert(model.to_owned(), to_requests(sum));
        }
        self.averages.retain(|_, a| *a > 0.001);
    }

    /// Returns the demand for a model, or zero if there is none.
    #[must_use]
    pub fn get(&self, model: &str) -> f64 {
        self.averages.get(model).copied().unwrap_or(0.0)
    }
}

fn to_requests(thousandths: u64) -> f64 {
    f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1_000.0
}
