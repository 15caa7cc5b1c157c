//! Instruments of a process that serves callers.

use opentelemetry::KeyValue;

use super::{Error, Registry};

/// Upper ends of the latency buckets, in seconds.
const BOUNDARIES: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0];

/// Counters and histograms of an entry or a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
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
        let registry = Registry::new()?;
        let meter = registry.meter();
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
        self.registry.text()
    }
}
