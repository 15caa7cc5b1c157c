//! Time that the leader spends on each kind of work.
//!
//! While this replica leads, a summary is logged at regular intervals. It shows what
//! the processor time of the leader is used for.

use std::{collections, mem, sync, time};

use parking_lot::Mutex;

use crate::process::metrics;

/// Time between two summaries in the log.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Kind of a call that only the leader handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Work {
    /// Request of a gateway for tokens of a rate limit.
    Grant,
    /// Request of a gateway for a model or adapter.
    PlacementRequest,
    /// Report of a gateway about crashed targets.
    CrashReport,
    /// Request of a gateway for a turn at a target.
    Turn,
    /// Request of a gateway for a place at a target, or its message about some.
    Place,
    /// Periodic planning of models and adapters.
    PlacementTick,
    /// Report of a target.
    TargetReport,
    /// Outcome of an order to a target.
    OrderOutcome,
}

impl Work {
    /// Returns the value used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Grant => "grant",
            Self::PlacementRequest => "placement_request",
            Self::CrashReport => "crash_report",
            Self::Turn => "turn",
            Self::Place => "place",
            Self::PlacementTick => "placement_tick",
            Self::TargetReport => "target_report",
            Self::OrderOutcome => "order_outcome",
        }
    }
}

/// Calls of one kind since the last summary.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: u64,
    total: time::Duration,
    longest: time::Duration,
}

/// Records the leader's calls in the metrics and sums them for the log.
#[derive(Debug)]
pub(super) struct WorkLog {
    metrics: sync::Arc<metrics::Replica>,
    sums: Mutex<collections::BTreeMap<Work, Sum>>,
}

impl WorkLog {
    pub(super) fn new(metrics: sync::Arc<metrics::Replica>) -> Self {
        Self { metrics, sums: Mutex::default() }
    }

    /// Records a call that took `time`.
    pub(super) fn record(&self, work: Work, time: time::Duration) {
        self.metrics.record_leader_work(work.name(), time.as_secs_f64());
        let mut sums = self.sums.lock();
        let sum = sums.entry(work).or_default();
        sum.count += 1;
        sum.total += time;
        sum.longest = sum.longest.max(time);
    }

    /// Logs a summary at regular intervals, unless there were no calls. Never returns.
    pub(super) async fn run(&self) {
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            let sums = mem::take(&mut *self.sums.lock());
            for (work, sum) in sums {
                spdlog::info!("work of the leader", kv: {
                    work = work.name(),
                    count = sum.count,
                    total_ms = millis(sum.total),
                    longest_ms = millis(sum.longest)
                });
            }
        }
    }
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
