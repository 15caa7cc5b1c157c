//! Instruments of a control replica.

use opentelemetry::KeyValue;

use super::{Error, Registry};

/// Upper ends of the buckets for answers of targets, in seconds.
const BOUNDARIES: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.2, 0.4];

/// Counters and histograms of a control replica.
#[derive(Debug)]
pub struct Replica {
    registry: Registry,
    orders: opentelemetry::metrics::Counter<u64>,
    order_time: opentelemetry::metrics::Histogram<f64>,
    wants: opentelemetry::metrics::Counter<u64>,
    catalogs: opentelemetry::metrics::Counter<u64>,
}

impl Replica {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new()?;
        let meter = registry.meter();
        Ok(Self {
            orders: meter
                .u64_counter("hornbeamdock_orders")
                .with_description("Orders to targets, by operation and outcome")
                .build(),
            order_time: meter
                .f64_histogram("hornbeamdock_order_seconds")
                .with_description("Time until a target answered an order")
                .with_boundaries(BOUNDARIES.to_vec())
                .build(),
            wants: meter
                .u64_counter("hornbeamdock_wants")
                .with_description("Questions of gateways for a model or adapter, by answer")
                .build(),
            catalogs: meter
                .u64_counter("hornbeamdock_catalogs")
                .with_description("Catalogs given by operators, by outcome")
                .build(),
            registry,
        })
    }

    /// Counts an order and the time until it was answered or given up.
    pub fn ordered(&self, op: &'static str, outcome: &'static str, seconds: f64) {
        self.orders.add(1, &[KeyValue::new("op", op), KeyValue::new("outcome", outcome)]);
        self.order_time.record(seconds, &[]);
    }

    /// Counts an answered want.
    pub fn wanted(&self, answer: &'static str) {
        self.wants.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts a catalog that an operator gave.
    pub fn configured(&self, outcome: &'static str) {
        self.catalogs.add(1, &[KeyValue::new("outcome", outcome)]);
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
