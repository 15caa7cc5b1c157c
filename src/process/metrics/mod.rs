//! Metrics of a process, served in the Prometheus text format.
//!
//! Processes that serve callers use [`Metrics`], control replicas [`Replica`].

mod entry;
mod replica;
pub(crate) mod serve;

use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics;
use prometheus::Encoder as _;
use snafu::Snafu;

pub use self::{entry::Metrics, replica::Replica};

/// Upper bounds of the buckets for the lag of the event loop, in seconds.
const LAG_BUCKETS: [f64; 8] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

/// The metrics could not be set up or encoded.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {reason}"))]
pub struct Error {
    /// Error text of the metrics library.
    reason: String,
}

/// Registry of the instruments of a process.
#[derive(Debug)]
struct Registry {
    registry: prometheus::Registry,
    /// Kept alive because dropping it shuts down the collection of the metrics.
    provider: metrics::SdkMeterProvider,
}

impl Registry {
    fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error { reason: e.to_string() })?;
        let provider = metrics::SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    fn meter(&self) -> opentelemetry::metrics::Meter {
        self.provider.meter("hornbeamdock")
    }

    fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| Error { reason: e.to_string() })?;
        Ok(text)
    }
}

/// Creates the histogram of the time by which timers of the event loop fire late.
fn loop_lag(meter: &opentelemetry::metrics::Meter) -> opentelemetry::metrics::Histogram<f64> {
    meter
        .f64_histogram("hornbeamdock_loop_lag_seconds")
        .with_description("Time by which timers of the event loop fired late")
        .with_boundaries(LAG_BUCKETS.to_vec())
        .build()
}
