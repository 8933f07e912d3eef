//! Metrics of the data path.

use azurenotch_wire::refusal::Refusal;
use prometheus::{
    Error, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry,
};
use std::time::Duration;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];
/// Upper bounds of the buckets of latency that the host adds, in seconds.
const ADDED_BUCKETS: [f64; 10] = [
    0.000_01, 0.000_02, 0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.005, 0.02, 0.1,
];

/// Metrics of the data path.
#[derive(Debug, Clone)]
pub struct Metrics {
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    broken_answers: IntCounterVec,
    once: IntCounterVec,
    latency: HistogramVec,
    added: Histogram,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests that have not ended.
    pub in_flight: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let latency = HistogramOpts::new(
            "azurenotch_request_seconds",
            "Time from a request's arrival to its answer's header",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let added = HistogramOpts::new(
            "azurenotch_added_seconds",
            "Part of that time not spent waiting for a backend server",
        )
        .buckets(ADDED_BUCKETS.to_vec());
        let metrics = Self {
            requests: counters("requests", "Requests", &["route", "outcome"])?,
            refusals: counters("refusals", "Refused requests", &["reason", "workspace"])?,
            retries: counters("retries", "Attempts made again", &["route"])?,
            broken_answers: counters("broken_answers", "Answers whose body broke", &["route"])?,
            once: counters("once", "Requests with an idempotency key", &["result"])?,
            latency: HistogramVec::new(latency, &["route"])?,
            added: Histogram::with_opts(added)?,
            connections: IntGauge::new("azurenotch_connections", "Open caller connections")?,
            in_flight: IntGauge::new("azurenotch_in_flight", "Requests that have not ended")?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.broken_answers.clone()))?;
        registry.register(Box::new(metrics.once.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.added.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that a backend server answered.
    pub fn answered(&self, route: &str, total: Duration, waited: Duration) {
        self.requests.with_label_values(&[route, "answered"]).inc();
        let latency = self.latency.with_label_values(&[route]);
        latency.observe(total.as_secs_f64());
        self.added
            .observe(total.saturating_sub(waited).as_secs_f64());
    }

    /// Counts a refused request; `route` is empty if none matched.
    pub fn refused(&self, route: &str, refusal: &Refusal) {
        let outcome = refusal.outcome.to_string();
        let reason = refusal.reason.to_string();
        let workspace = refusal.workspace.as_ref().map_or("", |name| name.as_str());
        self.requests.with_label_values(&[route, &outcome]).inc();
        self.refusals.with_label_values(&[&reason, workspace]).inc();
    }

    /// Returns the counter of answers whose body breaks after their header was passed on.
    pub fn broken_answers(&self, route: &str) -> IntCounter {
        self.broken_answers.with_label_values(&[route])
    }

    /// Counts a request with an idempotency key by decision: `run`, `replay` or a refusal reason.
    pub fn once(&self, result: &str) {
        self.once.with_label_values(&[result]).inc();
    }

    /// Counts a request that got a stored answer.
    pub fn replayed(&self, route: &str) {
        self.requests.with_label_values(&[route, "replayed"]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, route: &str) {
        self.retries.with_label_values(&[route]).inc();
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
    IntCounterVec::new(Opts::new(format!("azurenotch_{name}_total"), help), labels)
}
