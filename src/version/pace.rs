//! What gateways report of the speed of targets, combined at a control replica.
//!
//! Of each target the median over the gateways counts, weighted by their samples, so that one
//! gateway with slow callers or wrong figures changes little. It is formed a few times a second
//! for all gateways together, not for each synchronization.

use std::{cmp, collections, time};

use super::traffic::{Pace, PaceFigure, Source};

/// Most targets in a report.
pub const MAX_REPORTED: usize = 64;

/// How long the report of a source counts.
const TTL: time::Duration = time::Duration::from_secs(1);

/// Time between two combinations.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Most weight of one gateway.
const MAX_WEIGHT: u8 = 64;

/// The latest reports, and their medians.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    reports: collections::BTreeMap<Source, (Vec<Pace>, time::Duration)>,
    combined_at: Option<time::Duration>,
    all: Vec<Pace>,
    local: Vec<Pace>,
}

impl Paces {
    /// Records a report in place of the source's earlier one.
    pub fn record(&mut self, source: Source, mut reported: Vec<Pace>, now: time::Duration) {
        reported.truncate(MAX_REPORTED);
        if reported.is_empty() {
            self.reports.remove(&source);
        } else {
            self.reports.insert(source, (reported, now));
        }
        if self.combined_at.is_none_or(|at| now >= at + INTERVAL) {
            self.combined_at = Some(now);
            self.reports.retain(|_, (_, at)| now < *at + TTL);
            self.all = self.combine(|_| true);
            self.local = self.combine(|source| matches!(source, Source::Gateway(_)));
        }
    }

    /// Returns the medians over all gateways.
    #[must_use]
    pub fn all(&self) -> &[Pace] {
        &self.all
    }

    /// Returns the medians over the gateways that report to this replica.
    #[must_use]
    pub fn local(&self) -> &[Pace] {
        &self.local
    }

    /// Returns the medians over some sources, those with the most samples first.
    fn combine(&self, counts: impl Fn(Source) -> bool) -> Vec<Pace> {
        let mut targets = collections::BTreeMap::<u64, Vec<Pace>>::new();
        for (source, (reported, _)) in self.reports.iter().filter(|(source, _)| counts(**source)) {
            for pace in reported {
                targets.entry(pace.subject).or_default().push(limited(*source, *pace));
            }
        }
        let mut combined: Vec<_> = targets.into_values().filter_map(|p| median(&p)).collect();
        combined.sort_by_key(|pace| cmp::Reverse(pace.prefill.weight.max(pace.step.weight)));
        combined.truncate(MAX_REPORTED);
        combined
    }
}

/// Bounds the weight of one gateway.
fn limited(source: Source, mut pace: Pace) -> Pace {
    if matches!(source, Source::Gateway(_)) {
        pace.prefill.weight = pace.prefill.weight.min(MAX_WEIGHT);
        pace.step.weight = pace.step.weight.min(MAX_WEIGHT);
    }
    pace
}

fn median(reported: &[Pace]) -> Option<Pace> {
    let first = reported.first()?;
    let prefill = median_figure(reported.iter().map(|p| p.prefill));
    let step = median_figure(reported.iter().map(|p| p.step));
    Some(Pace { prefill, step, ..*first })
}

/// Returns the weighted median, with the sum of the weights.
fn median_figure(figures: impl Iterator<Item = PaceFigure>) -> PaceFigure {
    let mut figures: Vec<_> = figures.filter(|f| f.weight > 0).collect();
    figures.sort_unstable_by_key(|f| f.value);
    let total: u32 = figures.iter().map(|f| u32::from(f.weight)).sum();
    let mut below = 0;
    for figure in figures {
        below += u32::from(figure.weight);
        if below * 2 >= total {
            let weight = u8::try_from(total).unwrap_or(u8::MAX);
            return PaceFigure { value: figure.value, weight };
        }
    }
    PaceFigure::default()
}
