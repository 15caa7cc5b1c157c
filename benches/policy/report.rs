//! Results of a simulation, as a row of a table and as JSON.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::deployment::{ARRIVAL_PERIOD, Deployment, TOKEN_TIME};

/// Counts of the requests of one workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceCounts {
    pub offered: u64,
    /// Requests that one token bucket for all gateways would have admitted.
    pub within_limit: u64,
    pub on_time: u64,
    /// Requests refused by the rate limit.
    pub rate_limited: u64,
    /// Requests given up for lack of capacity or after failed attempts.
    pub shed: u64,
}

impl WorkspaceCounts {
    /// Returns the requests served on time, but at most as many as are within
    /// the rate limit. Which requests are within the limit depends on their
    /// order, so only the counts are compared.
    fn attained(&self) -> u64 {
        self.on_time.min(self.within_limit)
    }

    /// Returns how many more requests the rate limit refused than were over it.
    fn wrongly_limited(&self) -> u64 {
        self.rate_limited.saturating_sub(self.offered - self.within_limit)
    }
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub workspaces: Vec<WorkspaceCounts>,
    /// Model loads after the warm-up.
    pub model_loads: u64,
    /// Number of targets.
    pub accelerators: usize,
    /// Time to the first token of interactive requests, in ms.
    pub first_token_ms: Histogram<u64>,
}

impl Outcome {
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            workspaces: vec![WorkspaceCounts::default(); deployment.workspaces.len()],
            model_loads: 0,
            accelerators: 0,
            first_token_ms: Histogram::new_with_bounds(1, 600_000, 3)
                .expect("the bounds are valid"),
        }
    }

    pub fn record_arrival(&mut self, workspace: usize, within_limit: bool) {
        self.workspaces[workspace].offered += 1;
        self.workspaces[workspace].within_limit += u64::from(within_limit);
    }

    pub fn record_rate_limited(&mut self, workspace: usize) {
        self.workspaces[workspace].rate_limited += 1;
    }

    pub fn record_shed(&mut self, workspace: usize) {
        self.workspaces[workspace].shed += 1;
    }

    pub fn record_finished(
        &mut self,
        workspace: usize,
        on_time: bool,
        first_token: Duration,
        deferrable: bool,
    ) {
        self.workspaces[workspace].on_time += u64::from(on_time);
        if !deferrable {
            let millis = u64::try_from(first_token.as_millis()).unwrap_or(u64::MAX);
            self.first_token_ms.saturating_record(millis.max(1));
        }
    }

    fn sum(&self, field: impl Fn(&WorkspaceCounts) -> u64) -> u64 {
        self.workspaces.iter().map(field).sum()
    }

    /// Returns the fraction of the requests within the rate limit that were
    /// served on time.
    pub fn attainment(&self) -> f64 {
        ratio(self.sum(WorkspaceCounts::attained), self.sum(|w| w.within_limit))
    }

    /// Returns the attainment of the workspace with the lowest one.
    pub fn worst_attainment(&self) -> f64 {
        let attainments = self.workspaces.iter().map(|w| ratio(w.attained(), w.within_limit));
        attainments.fold(f64::INFINITY, f64::min)
    }

    /// Returns the requests served on time per target and second. A target has
    /// one accelerator.
    pub fn per_accelerator(&self) -> f64 {
        let seconds = ARRIVAL_PERIOD.as_secs_f64() * self.accelerators as f64;
        self.sum(WorkspaceCounts::attained) as f64 / seconds
    }

    /// Returns the wrongly refused requests as a fraction of those within the
    /// rate limit.
    pub fn wrongly_limited(&self) -> f64 {
        ratio(self.sum(WorkspaceCounts::wrongly_limited), self.sum(|w| w.within_limit))
    }

    pub fn table_row(&self) -> String {
        format!(
            "{:>9.4} {:>8.4} {:>8.3} {:>6} {:>9.5} {:>7.4} {:>6} {:>6} {:>6}",
            self.attainment(),
            self.worst_attainment(),
            self.per_accelerator(),
            self.model_loads,
            self.wrongly_limited(),
            ratio(self.sum(|w| w.shed), self.sum(|w| w.within_limit)),
            self.first_token_ms.value_at_quantile(0.5),
            self.first_token_ms.value_at_quantile(0.95),
            self.first_token_ms.value_at_quantile(0.99),
        )
    }

    pub fn json(&self) -> serde_json::Value {
        let workspaces: Vec<_> = self
            .workspaces
            .iter()
            .map(|w| {
                serde_json::json!({"offered": w.offered, "within": w.within_limit,
                    "attained": w.attained(), "limited": w.rate_limited, "shed": w.shed})
            })
            .collect();
        serde_json::json!({
            "attainment": self.attainment(),
            "worst": self.worst_attainment(),
            "per_accelerator": self.per_accelerator(),
            "moves": self.model_loads,
            "wrongly_limited": self.wrongly_limited(),
            "first_p50_ms": self.first_token_ms.value_at_quantile(0.5),
            "first_p95_ms": self.first_token_ms.value_at_quantile(0.95),
            "first_p99_ms": self.first_token_ms.value_at_quantile(0.99),
            "inter_token_ms": TOKEN_TIME.as_millis() as u64,
            "workspaces": workspaces,
        })
    }
}

/// Returns the column headings of [`Outcome::table_row`]. `moves` is the number of
/// model loads, `limited` the fraction of wrongly refused requests, and `p50` to
/// `p99` are times to the first token in ms.
pub fn table_heading() -> &'static str {
    " attained    worst  per-acc  moves   limited    shed    p50    p95    p99"
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}
