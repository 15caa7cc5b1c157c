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
