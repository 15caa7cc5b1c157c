//! What entries send to targets, summed over all entries.
//!
//! An entry knows its own requests at once and the other entries' only by
//! report. Each entry reports to one control replica; replicas exchange the
//! sums of what they heard. Who asks gets the sum without its own part, so that
//! it can add what it knows better itself.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::{census, raft};

/// A report that was not renewed for this long no longer counts.
const TTL: time::Duration = time::Duration::from_secs(2);

/// Requests at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the target.
    pub target: String,
    /// Requests sent and not yet answered in full.
    pub running: u32,
    /// Prompt tokens of those whose first output has not arrived.
    pub prompt: u32,
}

/// Demand for a model or for an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the demand is for one.
    pub adapter: Option<String>,
    /// Work that arrived, in prompt tokens per second.
    pub work: u64,
    /// Requests that wait because no target holds it.
    pub waiting: u32,
    /// Requests at targets.
    pub running: u32,
}

/// Tokens that a workspace asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spend {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens per second.
    pub rate: f64,
}

/// What one process tells about the traffic that it knows of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests at targets.
    pub loads: Vec<Load>,
    /// Demand for models.
    pub demands: Vec<Demand>,
    /// Spending of workspaces.
    pub spends: Vec<Spend>,
    /// Entries that the report sums up, in ascending order.
    pub entries: Vec<census::EntryId>,
}

/// Who a report came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// An entry that reports to this replica.
    Entry(census::EntryId),
    /// Another replica, for the entries that report to it.
    Replica(raft::NodeId),
}

/// The latest reports.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    reports: collections::BTreeMap<Source, (Report, time::Duration)>,
    census: census::Census,
}

impl Traffic {
    /// Takes in a report.
    pub fn report(&mut self, source: Source, report: Report, now: time::Duration) {
        self.census.observe(&report.entries, now);
        self.reports.insert(source, (report, now));
        self.reports.retain(|_, (_, at)| now < *at + TTL);
    }

    /// Returns which entries there are and were heard lately.
    #[must_use]
    pub fn census(&self) -> &census::Census {
        &self.census
    }

    /// Sums up the reports of the entries that report here.
    #[must_use]
    pub fn own(&self, now: time::Duration) -> Report {
        self.sum(now, |source| matches!(source, Source::Entry(_)))
    }

    /// Sums up all reports but those of one entry.
    #[must_use]
    pub fn others(&self, but: census::EntryId, now: time::Duration) -> Report {
        self.sum(now, |source| source != Source::Entry(but))
    }

    /// Sums up all reports.
    #[must_use]
    pub fn all(&self, now: time::Duration) -> Report {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: time::Duration, counts: impl Fn(Source) -> bool) -> Report {
        let live = self.reports.iter().filter(|(s, (_, at))| counts(**s) && now < *at + TTL);
        let mut loads = collections::BTreeMap::<&str, Load>::new();
        let mut demands = collections::BTreeMap::<(&str, &str, Option<&str>), Demand>::new();
        let mut spends = collections::BTreeMap::<&str, f64>::new();
        let mut entries = collections::BTreeSet::new();
        for (_, (report, _)) in live {
            entries.extend(&report.entries);
            for load in &report.loads {
                let sum = loads.entry(&load.target).or_default();
                sum.running += load.running;
                sum.prompt += load.prompt;
            }
            for spend in &report.spends {
                *spends.entry(&spend.workspace).or_default() += spend.rate;
            }
            for demand in &report.demands {
                let adapter = demand.adapter.as_deref();
                let place = (demand.service.as_str(), demand.model.as_str(), adapter);
                let sum = demands.entry(place).or_insert_with(|| Demand {
                    service: demand.service.clone(),
                    model: demand.model.clone(),
                    adapter: demand.adapter.clone(),
                    work: 0,
                    waiting: 0,
                    running: 0,
                });
                sum.work += demand.work;
                sum.waiting += demand.waiting;
                sum.running += demand.running;
            }
        }
        let loads = loads.into_iter().map(|(target, l)| Load { target: target.to_owned(), ..l });
        let spends = spends
            .into_iter()
            .map(|(workspace, rate)| Spend { workspace: workspace.to_owned(), rate });
        Report {
            loads: loads.collect(),
            demands: demands.into_values().collect(),
            spends: spends.collect(),
            entries: entries.into_iter().collect(),
        }
    }
}
