//! Lag of the event loop: by how much its timers fire late.
//!
//! A task that runs for long, or a processor that is too slow for the load, delays
//! every other task of the process. The lag shows this without a profiler.

use std::time;

use tokio::time as ttime;

/// Time between two measurements.
const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A lag of this length or more is logged.
const MIN_LOGGED: time::Duration = time::Duration::from_millis(200);

/// Measures the lag at regular intervals, passes it to `record` in seconds, and logs
/// long ones with the name of the loop. Never returns.
pub(super) async fn watch(name: &str, record: impl Fn(f64)) {
    loop {
        let due = ttime::Instant::now() + INTERVAL;
        ttime::sleep_until(due).await;
        let lag = due.elapsed();
        record(lag.as_secs_f64());
        if lag >= MIN_LOGGED {
            let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
            spdlog::warn!("event loop was late", kv: { serves = name, lag_ms = lag_ms });
        }
    }
}
