//! Metrics of a control replica.

use opentelemetry::KeyValue;

use super::{Error, Registry};

/// Upper bounds of the buckets for the time until a target answers an order, in
/// seconds.
const ORDER_BUCKETS: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.2, 0.4];

/// Upper bounds of the buckets for the time that the leader spends on one call, in
/// seconds.
const WORK_BUCKETS: [f64; 9] = [0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0];

/// Upper bounds of the buckets for the time until enough replicas have stored that a target
/// leaves, in seconds.
const DEPARTURE_BUCKETS: [f64; 8] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.5, 0.8];

/// Counters and histograms of a control replica.
#[derive(Debug)]
pub struct Replica {
    registry: Registry,
    leader_work: opentelemetry::metrics::Histogram<f64>,
    loop_lag: opentelemetry::metrics::Histogram<f64>,
    orders: opentelemetry::metrics::Counter<u64>,
    order_latency: opentelemetry::metrics::Histogram<f64>,
    placement_requests: opentelemetry::metrics::Counter<u64>,
    catalogs: opentelemetry::metrics::Counter<u64>,
    evacuations: opentelemetry::metrics::Counter<u64>,
    calls: opentelemetry::metrics::Counter<u64>,
    synced_loads: opentelemetry::metrics::Counter<u64>,
    departures: opentelemetry::metrics::Counter<u64>,
    departure_latency: opentelemetry::metrics::Histogram<f64>,
    departure_writes: opentelemetry::metrics::Counter<u64>,
}

impl Replica {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new()?;
        let meter = registry.meter();
        Ok(Self {
            leader_work: meter
                .f64_histogram("hornbeamdock_leader_work_seconds")
                .with_description("Time that the leader spent on one call, by kind of work")
                .with_boundaries(WORK_BUCKETS.to_vec())
                .build(),
            loop_lag: super::loop_lag(&meter),
            orders: meter
                .u64_counter("hornbeamdock_orders")
                .with_description("Orders to targets, by operation and outcome")
                .build(),
            order_latency: meter
                .f64_histogram("hornbeamdock_order_seconds")
                .with_description("Time until a target answered an order")
                .with_boundaries(ORDER_BUCKETS.to_vec())
                .build(),
            placement_requests: meter
                .u64_counter("hornbeamdock_wants")
                .with_description("Questions of gateways for a model or adapter, by answer")
                .build(),
            catalogs: meter
                .u64_counter("hornbeamdock_catalogs")
                .with_description("Catalogs given by operators, by outcome")
                .build(),
            evacuations: meter
                .u64_counter("hornbeamdock_evacuations")
                .with_description("Requests to begin or finish an evacuation, by outcome")
                .build(),
            calls: meter
                .u64_counter("hornbeamdock_calls")
                .with_description("Calls of gateways and replicas, by kind and reply")
                .build(),
            synced_loads: meter
                .u64_counter("hornbeamdock_synced_loads")
                .with_description("Replies to gateways, by how they tell the loads of targets")
                .build(),
            departures: meter
                .u64_counter("hornbeamdock_departures")
                .with_description("Targets that told this replica that they leave, by outcome")
                .build(),
            departure_latency: meter
                .f64_histogram("hornbeamdock_departure_seconds")
                .with_description("Time until enough replicas had stored that a target leaves")
                .with_boundaries(DEPARTURE_BUCKETS.to_vec())
                .build(),
            departure_writes: meter
                .u64_counter("hornbeamdock_departure_writes")
                .with_description("Batches of departures for the disk, by outcome")
                .build(),
            registry,
        })
    }

    /// Counts a call of another process. `call` and `reply` are label values.
    pub fn record_call(&self, call: &'static str, reply: &'static str) {
        self.calls.add(1, &[KeyValue::new("call", call), KeyValue::new("reply", reply)]);
    }

    /// Counts a reply to a gateway that tells the loads of targets. `kind` is a label value.
    pub fn record_synced_loads(&self, kind: &'static str) {
        self.synced_loads.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time that the leader spent on one call. `work` is a label value.
    pub fn record_leader_work(&self, work: &'static str, seconds: f64) {
        self.leader_work.record(seconds, &[KeyValue::new("work", work)]);
    }

    /// Records by how much a timer of the event loop for gateways fired late.
    pub fn record_loop_lag(&self, seconds: f64) {
        self.loop_lag.record(seconds, &[KeyValue::new("serves", "gateways")]);
    }

    /// Records by how much a timer of the event loop for replicas fired late.
    pub fn record_isolated_lag(&self, seconds: f64) {
        self.loop_lag.record(seconds, &[KeyValue::new("serves", "replicas")]);
    }

    /// Counts an order to a target, with the time until it was answered or timed out.
    pub fn record_order(&self, op: &'static str, outcome: &'static str, seconds: f64) {
        self.orders.add(1, &[KeyValue::new("op", op), KeyValue::new("outcome", outcome)]);
        self.order_latency.record(seconds, &[]);
    }

    /// Counts an answer to a gateway that asked for a model or adapter.
    pub fn record_placement_request(&self, answer: &'static str) {
        self.placement_requests.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts a target that told this replica that it leaves, with the time until it was
    /// acknowledged or refused.
    pub fn record_departure(&self, outcome: &'static str, seconds: f64) {
        self.departures.add(1, &[KeyValue::new("outcome", outcome)]);
        self.departure_latency.record(seconds, &[]);
    }

    /// Counts a batch of departures for the disk. `outcome` is a label value.
    pub fn record_departure_write(&self, outcome: &'static str) {
        self.departure_writes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a catalog submitted by an operator.
    pub fn record_catalog(&self, outcome: &'static str) {
        self.catalogs.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an operator's request about an evacuation. Both are label values.
    pub fn record_evacuation(&self, request: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("request", request), KeyValue::new("outcome", outcome)];
        self.evacuations.add(1, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.registry.encode()
    }
}
