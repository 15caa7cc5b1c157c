//! Metrics of a process that serves callers: an entry or a gateway.

use opentelemetry::KeyValue;

use crate::version::evacuation::Evacuations;

use super::{Error, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0];

/// Counters and histograms of an entry or a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: opentelemetry::metrics::Counter<u64>,
    tokens: opentelemetry::metrics::Counter<u64>,
    retries: opentelemetry::metrics::Counter<u64>,
    turns: opentelemetry::metrics::Counter<u64>,
    cold_targets: opentelemetry::metrics::Gauge<u64>,
    places: opentelemetry::metrics::Counter<u64>,
    continuations: opentelemetry::metrics::Counter<u64>,
    framings: opentelemetry::metrics::Counter<u64>,
    endings: opentelemetry::metrics::Counter<u64>,
    relayed: opentelemetry::metrics::Counter<u64>,
    tunnels: opentelemetry::metrics::Counter<u64>,
    evacuated: opentelemetry::metrics::Gauge<u64>,
    excluded: opentelemetry::metrics::Counter<u64>,
    latency: opentelemetry::metrics::Histogram<f64>,
    sync_latency: opentelemetry::metrics::Histogram<f64>,
    loop_lag: opentelemetry::metrics::Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments in a registry of their own.
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
            turns: meter
                .u64_counter("hornbeamdock_turns")
                .with_description(
                    "Turns requested at targets that state a limit or are cold, by outcome",
                )
                .build(),
            cold_targets: meter
                .u64_gauge("hornbeamdock_cold_targets")
                .with_description("Targets that count as cold")
                .build(),
            places: meter
                .u64_counter("hornbeamdock_places")
                .with_description("Places requested at brittle targets, by outcome")
                .build(),
            continuations: meter
                .u64_counter("hornbeamdock_continuations")
                .with_description("Streams that callers continue, by what is known of their origin")
                .build(),
            framings: meter
                .u64_counter("hornbeamdock_framings")
                .with_description("Responses of targets, by what marks their end and their way")
                .build(),
            endings: meter
                .u64_counter("hornbeamdock_endings")
                .with_description("Responses that ended with their connection, by what followed")
                .build(),
            relayed: meter
                .u64_counter("hornbeamdock_relayed")
                .with_description("Connections to targets through other gateways, by outcome")
                .build(),
            tunnels: meter
                .u64_counter("hornbeamdock_tunnels")
                .with_description("Connections to targets for other gateways, by outcome")
                .build(),
            evacuated: meter
                .u64_gauge("hornbeamdock_evacuated")
                .with_description("Whether a failure domain is being evacuated: 1, or 0 afterwards")
                .build(),
            excluded: meter
                .u64_counter("hornbeamdock_excluded")
                .with_description("Requests refused as no target may take them, by reason")
                .build(),
            retries: meter
                .u64_counter("hornbeamdock_retries")
                .with_description("Requests sent to another target after a failure")
                .build(),
            latency: meter
                .f64_histogram("hornbeamdock_first_byte_seconds")
                .with_description("Time from arrival to the head of the answer")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build(),
            sync_latency: meter
                .f64_histogram("hornbeamdock_sync_seconds")
                .with_description("Time of a synchronization with control, by outcome")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build(),
            loop_lag: super::loop_lag(&meter),
            registry,
        })
    }

    /// Counts a finished request. `outcome` is a label value; `seconds` count from the
    /// arrival of the request.
    pub fn record_response(&self, route: &str, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels[..1]);
    }

    /// Counts tokens used by a workspace.
    pub fn record_tokens(&self, workspace: &str, tokens: u64) {
        self.tokens.add(tokens, &[KeyValue::new("workspace", workspace.to_owned())]);
    }

    /// Counts a request that is sent to a target again after a failure.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a request for a turn at a target that states a limit or is cold. `outcome` is a
    /// label value.
    pub fn record_turn(&self, outcome: &'static str, is_cold: bool) {
        let labels = [KeyValue::new("outcome", outcome), KeyValue::new("cold", is_cold)];
        self.turns.add(1, &labels);
    }

    /// Records the number of targets that count as cold.
    pub fn record_cold_targets(&self, count: u64) {
        self.cold_targets.record(count, &[]);
    }

    /// Counts a request for a place at a target that must not be overfilled. `outcome` is a
    /// label value.
    pub fn record_place(&self, outcome: &'static str) {
        self.places.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that continues a stream. `origin` is a label value.
    pub fn record_continuation(&self, origin: &'static str) {
        self.continuations.add(1, &[KeyValue::new("origin", origin)]);
    }

    /// Counts a response of a target that went to its caller whole. `framing` is a label value;
    /// `relayed` tells whether it came through another gateway.
    pub fn record_framing(&self, framing: &'static str, relayed: bool) {
        let labels = [KeyValue::new("framing", framing), KeyValue::new("relayed", relayed)];
        self.framings.add(1, &labels);
    }

    /// Counts a response that ended with its connection. `outcome` is a label value: that of the
    /// connection to its target that was then tried.
    pub fn record_ending(&self, outcome: &'static str) {
        self.endings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection to a target through another gateway. `outcome` is a label value.
    pub fn record_relayed(&self, outcome: &'static str) {
        self.relayed.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection to a target for another gateway. `outcome` is a label value.
    pub fn record_tunnel(&self, outcome: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the failure domains that are being evacuated, and that those in `before` which
    /// are not are no longer.
    pub fn record_evacuations(&self, before: &Evacuations, evacuations: &Evacuations) {
        let record = |domain: &str, evacuated: u64| {
            self.evacuated.record(evacuated, &[KeyValue::new("domain", domain.to_owned())]);
        };
        let ended = before.domains().filter(|(domain, _)| !evacuations.contains(domain));
        ended.for_each(|(domain, _)| record(domain, 0));
        evacuations.domains().for_each(|(domain, _)| record(domain, 1));
    }

    /// Counts a request, or the rest of a stream, that is refused although targets are up: none of
    /// them may take it. `reason` is a label value.
    pub fn record_excluded(&self, reason: &'static str) {
        self.excluded.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records a synchronization with a control replica. `outcome` is a label value.
    pub fn record_sync(&self, outcome: &'static str, seconds: f64) {
        self.sync_latency.record(seconds, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records by how much a timer of the event loop fired late.
    pub fn record_loop_lag(&self, seconds: f64) {
        self.loop_lag.record(seconds, &[]);
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
