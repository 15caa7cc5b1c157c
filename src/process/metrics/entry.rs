//! Metrics of a process, scraped as Prometheus text.

use opentelemetry::{KeyValue, metrics::MeterProvider as _};
use opentelemetry_sdk::metrics;
use prometheus::Encoder as _;
use snafu::Snafu;

/// Upper ends of the latency buckets, in seconds.
const BOUNDARIES: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0];

/// The metrics could not be set up or written.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {reason}"))]
pub struct Error {
    /// What the library says.
    reason: String,
}

/// Counters and histograms of an entry.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Keeps the instruments alive.
    _provider: metrics::SdkMeterProvider,
    requests: opentelemetry::metrics::Counter<u64>,
    tokens: opentelemetry::metrics::Counter<u64>,
    retries: opentelemetry::metrics::Counter<u64>,
    latency: opentelemetry::metrics::Histogram<f64>,
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error { reason: e.to_string() })?;
        let provider = metrics::SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("hornbeamdock");
        Ok(Self {
            requests: meter
                .u64_counter("hornbeamdock_requests")
                .with_description("Requests answered, by route and outcome")
                .build(),
            tokens: meter
                .u64_counter("hornbeamdock_tokens")
                .with_description("Tokens used, by workspace")
                .build(),
            retries: meter
                .u64_counter("hornbeamdock_retries")
                .with_description("Requests sent to another target after a failure")
                .build(),
            latency: meter
                .f64_histogram("hornbeamdock_first_byte_seconds")
                .with_description("Time from arrival to the head of the answer")
                .with_boundaries(BOUNDARIES.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answered request.
    pub fn answered(&self, route: &str, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels[..1]);
    }

    /// Counts tokens used.
    pub fn used(&self, workspace: &str, tokens: u64) {
        self.tokens.add(tokens, &[KeyValue::new("workspace", workspace.to_owned())]);
    }

    /// Counts a retry.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Writes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| Error { reason: e.to_string() })?;
        Ok(text)
    }
}
