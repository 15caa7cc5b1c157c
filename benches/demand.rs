//! Estimating the demand for a model from late and gapped reports: the
//! estimator in use beside windows of event time with a watermark.
//!
//! `cargo bench --bench demand` prints, for each kind of trouble, how far each
//! estimate is from the truth on average, how long it takes to notice a tenfold
//! rise, and by how much it falls short on average. The candidate follows "The
//! Dataflow model" as described in the related reading: windows of event time, a
//! watermark over all sources with idle ones left out, allowed lateness, and
//! accumulating corrections.

#![allow(missing_docs, clippy::cast_precision_loss, reason = "a benchmark")]

use std::{collections::BTreeMap, time::Duration};

use hornbeamdock::version::{announce::Demand, claim::Session, placement::Demands};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: u64 = 13;
const REPORT: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_mins(10);
/// Time between two tenfold changes.
const SWING: Duration = Duration::from_mins(2);
const WINDOW: Duration = Duration::from_secs(1);
const LATENESS: Duration = Duration::from_secs(5);
/// A source that is silent for this long no longer holds the watermark back.
const IDLE: Duration = Duration::from_secs(3);
/// Time constant while demand falls, as in the estimator in use.
const FALL: f64 = 60.0;

/// One entry's report: when it was made, and its part of the load.
#[derive(Clone, Copy)]
struct Report {
    entry: u64,
    made: Duration,
    load: f64,
}

/// Windows of event time with a watermark.
#[derive(Default)]
struct Windows {
    /// Load by window and entry; several reports of one window are averaged.
    sums: BTreeMap<u64, BTreeMap<u64, (f64, u32)>>,
    newest: BTreeMap<u64, (Duration, Duration)>,
    smooth: f64,
    updated: Duration,
}

impl Windows {
    fn report(&mut self, report: Report, now: Duration) {
        let newest = self.newest.entry(report.entry).or_insert((report.made, now));
        *newest = (newest.0.max(report.made), now);
        let window = report.made.as_secs() / WINDOW.as_secs();
        let sum = self.sums.entry(window).or_default().entry(report.entry).or_default();
        *sum = (sum.0 + report.load, sum.1 + 1);
    }

    fn estimate(&mut self, now: Duration) -> f64 {
        let live = self.newest.values().filter(|(_, heard)| now < *heard + IDLE);
        let watermark = live.map(|(made, _)| *made).min().unwrap_or(now);
        let closed = watermark.as_secs() / WINDOW.as_secs();
        self.sums.retain(|w, _| WINDOW.as_secs() * w + LATENESS.as_secs() >= watermark.as_secs());
        let complete = self.sums.range(..closed).next_back();
        let sum: f64 = complete.map_or(0.0, |(_, loads)| {
            loads.values().map(|(sum, count)| sum / f64::from(*count)).sum()
        });
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.smooth = sum.max(self.smooth * (-elapsed / FALL).exp());
        self.smooth
    }
}

/// What befalls reports on their way.
#[derive(Clone, Copy)]
struct Trouble {
    name: &'static str,
    delay: u64,
    lost: f64,
}

fn truth(now: Duration) -> f64 {
    if (now.as_secs() / SWING.as_secs()).is_multiple_of(2) { 4.0 } else { 40.0 }
}

/// How an estimate did.
#[derive(Default)]
struct Score {
    error: f64,
    short: f64,
    samples: u32,
    noticed: Vec<f64>,
    risen: Option<Duration>,
}

impl Score {
    fn sample(&mut self, estimate: f64, now: Duration) {
        let truth = truth(now);
        self.error += (estimate - truth).abs() / truth;
        self.short += (truth - estimate).max(0.0) / truth;
        self.samples += 1;
        let high = truth > 10.0;
        let phase = Duration::from_secs(now.as_secs() / SWING.as_secs() * SWING.as_secs());
        if high && estimate >= truth * 0.8 && self.risen != Some(phase) {
            self.risen = Some(phase);
            self.noticed.push(now.saturating_sub(phase).as_secs_f64());
        }
    }

    fn line(&self) -> String {
        let n = f64::from(self.samples);
        let noticed = self.noticed.iter().sum::<f64>() / self.noticed.len().max(1) as f64;
        format!("{:>8.3} {:>10.2} {:>10.3}", self.error / n, noticed, self.short / n)
    }
}

fn main() {
    let troubles = [
        Trouble { name: "none", delay: 0, lost: 0.0 },
        Trouble { name: "late up to 3 s", delay: 3_000, lost: 0.0 },
        Trouble { name: "30 % lost", delay: 0, lost: 0.3 },
        Trouble { name: "late and lost", delay: 3_000, lost: 0.3 },
        Trouble { name: "late up to 10 s", delay: 10_000, lost: 0.0 },
    ];
    println!(
        "{:<18} {:<9} {:>8} {:>10} {:>10}",
        "reports", "estimate", "error", "notice s", "short"
    );
    for trouble in troubles {
        let (arrival, windows) = run(trouble);
        println!("{:<18} {:<9} {}", trouble.name, "arrival", arrival.line());
        println!("{:<18} {:<9} {}", trouble.name, "windows", windows.line());
    }
}

fn run(trouble: Trouble) -> (Score, Score) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut demands, mut windows) = (Demands::default(), Windows::default());
    let (mut arrival_score, mut windows_score) = (Score::default(), Score::default());
    let mut queue: Vec<(Duration, Report)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < SPAN {
        now += REPORT;
        for entry in 0..ENTRIES {
            if rng.random_bool(trouble.lost) {
                continue;
            }
            // Each entry sees its part of the load, which varies as arrivals do.
            let load = truth(now) / ENTRIES as f64 * rng.random_range(0.5..1.5);
            let delay = Duration::from_millis(rng.random_range(0..=trouble.delay));
            queue.push((now + delay, Report { entry, made: now, load }));
        }
        let mut due: Vec<_> = queue.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, report) in due {
            let thousandths = Duration::from_secs_f64(report.load).as_millis();
            let load = u64::try_from(thousandths).unwrap_or(0);
            let demand = [Demand { model: "m".into(), load }];
            demands.report(Session(report.entry), &demand, now);
            windows.report(report, now);
        }
        demands.advance(now);
        arrival_score.sample(demands.get("m"), now);
        windows_score.sample(windows.estimate(now), now);
    }
    (arrival_score, windows_score)
}
