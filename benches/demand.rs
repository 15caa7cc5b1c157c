//! Compares two estimators of the demand for a model when reports are late or
//! lost: the one in use, which takes reports as they arrive (`arrival`), and
//! event-time windows with a watermark (`windows`).
//!
//! `cargo bench --bench demand` prints for each fault and estimator the mean
//! relative error (`error`), the mean time in seconds until an estimate reaches
//! 80 % of the demand after a tenfold rise (`notice s`), and the mean relative
//! shortfall (`short`). The windows follow "The Dataflow Model": event-time
//! windows, a watermark over all sources except idle ones, allowed lateness, and
//! accumulating corrections.

#![allow(missing_docs, clippy::cast_precision_loss, reason = "a benchmark")]

use std::{collections::BTreeMap, time::Duration};

use hornbeamdock::version::{announce::Demand, claim::Session, placement::Demands};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: u64 = 13;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SIMULATED_TIME: Duration = Duration::from_mins(10);
/// Time between tenfold changes of the demand, up and down in turn.
const CHANGE_INTERVAL: Duration = Duration::from_mins(2);
const WINDOW: Duration = Duration::from_secs(1);
const ALLOWED_LATENESS: Duration = Duration::from_secs(5);
/// A source without a report for this long is left out of the watermark.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time constant of the exponential decay while demand falls, as in the
/// estimator in use.
const DECAY_SECONDS: f64 = 60.0;

/// A gateway's report of its part of the load.
#[derive(Clone, Copy)]
struct Report {
    gateway: u64,
    created: Duration,
    load: f64,
}

/// Estimator that uses event-time windows with a watermark.
#[derive(Default)]
struct Windows {
    /// Sum and number of the loads reported by each gateway in each window. The
    /// estimate uses their mean.
    sums: BTreeMap<u64, BTreeMap<u64, (f64, u32)>>,
    /// Newest creation time of a report of each gateway, and when its latest
    /// report arrived.
    newest: BTreeMap<u64, (Duration, Duration)>,
    estimate: f64,
    updated: Duration,
}

impl Windows {
    fn report(&mut self, report: Report, now: Duration) {
        let newest = self.newest.entry(report.gateway).or_insert((report.created, now));
        *newest = (newest.0.max(report.created), now);
        let window = report.created.as_secs() / WINDOW.as_secs();
        let sum = self.sums.entry(window).or_default().entry(report.gateway).or_default();
        *sum = (sum.0 + report.load, sum.1 + 1);
    }

    fn estimate(&mut self, now: Duration) -> f64 {
        let live = self.newest.values().filter(|(_, arrived)| now < *arrived + IDLE_TIMEOUT);
        let watermark = live.map(|(created, _)| *created).min().unwrap_or(now);
        let first_open = watermark.as_secs() / WINDOW.as_secs();
        self.sums.retain(|window, _| {
            WINDOW.as_secs() * window + ALLOWED_LATENESS.as_secs() >= watermark.as_secs()
        });
        let newest_closed = self.sums.range(..first_open).next_back();
        let sum: f64 = newest_closed.map_or(0.0, |(_, loads)| {
            loads.values().map(|(sum, count)| sum / f64::from(*count)).sum()
        });
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.estimate = sum.max(self.estimate * (-elapsed / DECAY_SECONDS).exp());
        self.estimate
    }
}

/// Delay and loss of reports in transit.
#[derive(Clone, Copy)]
struct Fault {
    name: &'static str,
    max_delay_ms: u64,
    loss_probability: f64,
}

fn true_demand(now: Duration) -> f64 {
    if (now.as_secs() / CHANGE_INTERVAL.as_secs()).is_multiple_of(2) { 4.0 } else { 40.0 }
}

/// Error of an estimator over a run.
#[derive(Default)]
struct Score {
    /// Sums of the relative errors and shortfalls of all samples.
    error_sum: f64,
    shortfall_sum: f64,
    samples: u32,
    /// Seconds from each rise of the demand to its detection.
    detection_times: Vec<f64>,
    /// Start of the latest rise that was detected.
    detected_rise: Option<Duration>,
}

impl Score {
    fn sample(&mut self, estimate: f64, now: Duration) {
        let demand = true_demand(now);
        self.error_sum += (estimate - demand).abs() / demand;
        self.shortfall_sum += (demand - estimate).max(0.0) / demand;
        self.samples += 1;
        let high = demand > 10.0;
        let phase_start = Duration::from_secs(
            now.as_secs() / CHANGE_INTERVAL.as_secs() * CHANGE_INTERVAL.as_secs(),
        );
        if high && estimate >= demand * 0.8 && self.detected_rise != Some(phase_start) {
            self.detected_rise = Some(phase_start);
            self.detection_times.push(now.saturating_sub(phase_start).as_secs_f64());
        }
    }

    fn table_row(&self) -> String {
        let n = f64::from(self.samples);
        let detection_time =
            self.detection_times.iter().sum::<f64>() / self.detection_times.len().max(1) as f64;
        format!(
            "{:>8.3} {:>10.2} {:>10.3}",
            self.error_sum / n,
            detection_time,
            self.shortfall_sum / n
        )
    }
}

fn main() {
    let faults = [
        Fault { name: "none", max_delay_ms: 0, loss_probability: 0.0 },
        Fault { name: "late up to 3 s", max_delay_ms: 3_000, loss_probability: 0.0 },
        Fault { name: "30 % lost", max_delay_ms: 0, loss_probability: 0.3 },
        Fault { name: "late and lost", max_delay_ms: 3_000, loss_probability: 0.3 },
        Fault { name: "late up to 10 s", max_delay_ms: 10_000, loss_probability: 0.0 },
    ];
    println!(
        "{:<18} {:<9} {:>8} {:>10} {:>10}",
        "reports", "estimate", "error", "notice s", "short"
    );
    for fault in faults {
        let (arrival_score, windows_score) = simulate(fault);
        println!("{:<18} {:<9} {}", fault.name, "arrival", arrival_score.table_row());
        println!("{:<18} {:<9} {}", fault.name, "windows", windows_score.table_row());
    }
}

fn simulate(fault: Fault) -> (Score, Score) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut demands, mut windows) = (Demands::default(), Windows::default());
    let (mut arrival_score, mut windows_score) = (Score::default(), Score::default());
    let mut in_transit: Vec<(Duration, Report)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < SIMULATED_TIME {
        now += REPORT_INTERVAL;
        for gateway in 0..GATEWAYS {
            if rng.random_bool(fault.loss_probability) {
                continue;
            }
            // The gateway's part of the load varies by up to half, as arrivals do.
            let load = true_demand(now) / GATEWAYS as f64 * rng.random_range(0.5..1.5);
            let delay = Duration::from_millis(rng.random_range(0..=fault.max_delay_ms));
            in_transit.push((now + delay, Report { gateway, created: now, load }));
        }
        let mut due: Vec<_> = in_transit.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, report) in due {
            let load_thousandths = Duration::from_secs_f64(report.load).as_millis();
            let load = u64::try_from(load_thousandths).unwrap_or(0);
            let demand = [Demand { model: "m".into(), load }];
            demands.report(Session(report.gateway), &demand, now);
            windows.report(report, now);
        }
        demands.advance(now);
        arrival_score.sample(demands.get("m"), now);
        windows_score.sample(windows.estimate(now), now);
    }
    (arrival_score, windows_score)
}
