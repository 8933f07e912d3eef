//! Prometheus metrics of an entry host.

mod usage;

pub use usage::Usage;

use prometheus::{
    Error, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder, core::Collector,
};
use std::time::Duration;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0];

/// Upper bounds of the buckets of the age of changes, in seconds.
const AGE_BUCKETS: [f64; 10] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0];

/// Upper bounds of the buckets of the time to apply changes, in seconds.
const BATCH_BUCKETS: [f64; 8] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

/// Prometheus metrics of an entry host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    latency: HistogramVec,
    store: IntCounterVec,
    follows: IntGaugeVec,
    relays: IntCounterVec,
    look_ups: IntCounterVec,
    changes: Changes,
    accepted: IntCounterVec,
    server_limits: IntCounterVec,
    reports: Reports,
    suspects: Suspects,
    limited_sends: IntCounterVec,
    limited_servers: IntGaugeVec,
    limit_part: GaugeVec,
    /// Number of requests that have not ended.
    pub in_flight: IntGauge,
    /// Number of open connections of callers.
    pub connections: IntGauge,
    connection_limit: IntGaugeVec,
    store_era: IntGauge,
    held_rows: IntGauge,
    keys_age: Gauge,
    /// Time in seconds by which tasks last ran late.
    pub lag: Gauge,
}

/// Metrics about requests under which servers crashed.
#[derive(Debug)]
struct Suspects {
    events: IntCounterVec,
    requests: IntGaugeVec,
}

impl Suspects {
    fn new(new: &Factory<'_>) -> Result<Self, Error> {
        Ok(Self {
            events: new.counters(
                "azurenotch_entry_suspect_events_total",
                "What was learnt and decided about requests under which servers crashed, by event",
                &["event"],
            )?,
            requests: new.gauges(
                "azurenotch_entry_suspects",
                "Requests under which servers crashed, by whether they are rejected, and runs whose \
                 callers have left",
                &["state"],
            )?,
        })
    }
}

/// Metrics about what backend servers report about themselves.
#[derive(Debug)]
struct Reports {
    malformed: IntCounterVec,
    checks: IntCounterVec,
}

impl Reports {
    fn new(new: &Factory<'_>) -> Result<Self, Error> {
        Ok(Self {
            malformed: new.counters(
                "azurenotch_entry_malformed_loads_total",
                "Answers of backend servers with a load that cannot be read, by service",
                &["service"],
            )?,
            checks: new.counters(
                "azurenotch_entry_checks_total",
                "Health checks of backend servers before sends, by service and result",
                &["service", "result"],
            )?,
        })
    }
}

/// Metrics about changes of the platform's rows.
#[derive(Debug)]
struct Changes {
    age: HistogramVec,
    time: HistogramVec,
}

impl Changes {
    fn new(new: &Factory<'_>) -> Result<Self, Error> {
        Ok(Self {
            age: new.histogram(
                "azurenotch_entry_change_age_seconds",
                "Longest time for which the store may have had a change when this host applied it",
                &["kind", "source"],
                &AGE_BUCKETS,
            )?,
            time: new.histogram(
                "azurenotch_entry_batch_seconds",
                "Time to apply the changes of rows that arrived together",
                &["source"],
                &BATCH_BUCKETS,
            )?,
        })
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name, which is a programming error.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let new = Factory(&registry);
        Ok(Self {
            answers: new.counters(
                "azurenotch_entry_answers_total",
                "Answers by route, status and reason",
                &["route", "status", "reason"],
            )?,
            attempts: new.counters(
                "azurenotch_entry_attempts_total",
                "Sends to backend servers by service and ending",
                &["service", "ending"],
            )?,
            accepted: new.counters(
                "azurenotch_entry_accepted_connections_total",
                "New connections by port and what became of them",
                &["port", "decision"],
            )?,
            limited_sends: new.counters(
                "azurenotch_entry_limited_sends_total",
                "Sends to backend servers that have named a limit, by service",
                &["service"],
            )?,
            limited_servers: new.gauges(
                "azurenotch_entry_limited_servers",
                "Backend servers that have named a limit, by service",
                &["service"],
            )?,
            limit_part: new.numbers(
                "azurenotch_entry_limit_part",
                "Requests per second that this host may send to limited servers, by service",
                &["service"],
            )?,
            server_limits: new.counters(
                "azurenotch_entry_server_limits_total",
                "Statements of backend servers about their limit, by service and event",
                &["service", "event"],
            )?,
            reports: Reports::new(&new)?,
            suspects: Suspects::new(&new)?,
            follows: new.gauges(
                "azurenotch_entry_follows_store",
                "Whether this host follows a subject's changes at the store",
                &["subject"],
            )?,
            relays: new.counters(
                "azurenotch_entry_relay_requests_total",
                "Requests to other hosts for their newer rows, by result",
                &["result"],
            )?,
            look_ups: new.counters(
                "azurenotch_entry_look_ups_total",
                "Answers to look-ups by which hosts they name",
                &["scope"],
            )?,
            changes: Changes::new(&new)?,
            store: new.counters(
                "azurenotch_entry_store_calls_total",
                "Calls to the platform's store by subject and result",
                &["subject", "result"],
            )?,
            in_flight: new.gauge("azurenotch_entry_in_flight", "Requests that have not ended")?,
            connections: new.gauge(
                "azurenotch_entry_connections",
                "Open connections of callers",
            )?,
            connection_limit: new.gauges(
                "azurenotch_entry_connection_limit",
                "Connections above which idle ones are closed for new ones, by port",
                &["port"],
            )?,
            store_era: new.gauge(
                "azurenotch_entry_store_era",
                "Era of the store in which its rows were last read",
            )?,
            held_rows: new.gauge(
                "azurenotch_entry_held_rows",
                "Rows in force that the store has lost or has in another form",
            )?,
            keys_age: new.number(
                "azurenotch_entry_keys_age_seconds",
                "Time since the keys were last confirmed",
            )?,
            lag: new.number(
                "azurenotch_entry_lag_seconds",
                "Time by which tasks last ran late",
            )?,
            latency: new.histogram(
                "azurenotch_entry_latency_seconds",
                "Time from the header of a request to that of its answer",
                &["route"],
                &LATENCY_BUCKETS,
            )?,
            registry,
        })
    }

    /// Counts an answer to a caller and records its latency.
    pub fn count_answer(&self, route: &str, status: u16, reason: &str, latency: Duration) {
        let mut digits = itoa(status);
        let status = digits.text();
        self.answers
            .with_label_values(&[route, status, reason])
            .inc();
        self.latency
            .with_label_values(&[route])
            .observe(latency.as_secs_f64());
    }

    /// Counts a send to a backend server.
    pub fn count_attempt(&self, service: &str, ending: &str) {
        self.attempts.with_label_values(&[service, ending]).inc();
    }

    /// Sets the number of a port's connections above which idle ones are closed for new ones.
    pub fn set_connection_limit(&self, port: &str, limit: usize) {
        let limit = i64::try_from(limit).unwrap_or(i64::MAX);
        self.connection_limit.with_label_values(&[port]).set(limit);
    }

    /// Counts a new connection of a port.
    pub fn count_connection(&self, port: &str, decision: &str) {
        self.accepted.with_label_values(&[port, decision]).inc();
    }

    /// Sets how many servers of a service have named a limit, and this host's part in requests per
    /// second.
    pub fn set_limited_servers(&self, service: &str, servers: usize, part: f64) {
        let count = i64::try_from(servers).unwrap_or(i64::MAX);
        self.limited_servers
            .with_label_values(&[service])
            .set(count);
        self.limit_part.with_label_values(&[service]).set(part);
    }

    /// Counts what was learnt or decided about a request under which servers crashed.
    pub fn count_suspect(&self, event: &str) {
        self.suspects.events.with_label_values(&[event]).inc();
    }

    /// Sets the numbers of requests under which servers crashed, and of those that are rejected.
    pub fn set_suspects(&self, suspected: usize, rejected: usize) {
        for (state, count) in [("suspected", suspected), ("rejected", rejected)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let requests = &self.suspects.requests;
            requests.with_label_values(&[state]).set(count);
        }
    }

    /// Sets the number of runs whose callers have left.
    pub fn set_abandoned(&self, runs: usize) {
        let count = i64::try_from(runs).unwrap_or(i64::MAX);
        let requests = &self.suspects.requests;
        requests.with_label_values(&["abandoned"]).set(count);
    }

    /// Counts a send to a backend server that has named a limit.
    pub fn count_limited_send(&self, service: &str) {
        self.limited_sends.with_label_values(&[service]).inc();
    }

    /// Counts a change of a backend server's limit, or one that cannot be read.
    pub fn count_server_limit(&self, service: &str, event: &str) {
        self.server_limits
            .with_label_values(&[service, event])
            .inc();
    }

    /// Counts a health check of a backend server before a send.
    pub fn count_check(&self, service: &str, result: &str) {
        let checks = &self.reports.checks;
        checks.with_label_values(&[service, result]).inc();
    }

    /// Counts an answer of a backend server with a load that cannot be read.
    pub fn count_malformed_load(&self, service: &str) {
        let malformed = &self.reports.malformed;
        malformed.with_label_values(&[service]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, subject: &str, result: &str) {
        self.store.with_label_values(&[subject, result]).inc();
    }

    /// Sets whether this host follows a subject's changes at the store.
    pub fn set_follows(&self, subject: &str, follows: bool) {
        let follows = i64::from(follows);
        self.follows.with_label_values(&[subject]).set(follows);
    }

    /// Counts a request to another host for its newer rows.
    pub fn count_relay(&self, result: &str) {
        self.relays.with_label_values(&[result]).inc();
    }

    /// Counts an answer to a look-up.
    pub fn count_look_up(&self, scope: &str) {
        self.look_ups.with_label_values(&[scope]).inc();
    }

    /// Records the longest time for which the store may have had a change that was applied now.
    pub fn observe_change_age(&self, kind: &str, origin: &str, age: Duration) {
        self.changes
            .age
            .with_label_values(&[kind, origin])
            .observe(age.as_secs_f64());
    }

    /// Records the time to apply the changes of rows that arrived together.
    pub fn observe_batch(&self, origin: &str, time: Duration) {
        self.changes
            .time
            .with_label_values(&[origin])
            .observe(time.as_secs_f64());
    }

    /// Sets the era of the store, the number of rows that it has lost, and the age of the keys.
    pub fn set_store(&self, era: u16, held_rows: usize, keys_age: Option<Duration>) {
        self.store_era.set(era.into());
        self.held_rows
            .set(i64::try_from(held_rows).unwrap_or(i64::MAX));
        let age = keys_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.keys_age.set(age);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}

/// Creates metrics and registers them.
#[derive(Debug)]
struct Factory<'a>(&'a Registry);

impl Factory<'_> {
    fn register<T: Collector + Clone + 'static>(&self, metric: T) -> Result<T, Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, Error> {
        self.register(IntGauge::new(name, help)?)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, Error> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn number(&self, name: &str, help: &str) -> Result<Gauge, Error> {
        self.register(Gauge::new(name, help)?)
    }

    fn numbers(&self, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec, Error> {
        self.register(GaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec, Error> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.register(HistogramVec::new(options, labels)?)
    }
}

/// Digits of a status code, formatted without an allocation per answer.
struct Digits([u8; 3]);

impl Digits {
    fn text(&mut self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("000")
    }
}

fn itoa(status: u16) -> Digits {
    let digit = |power: u16| b'0' + (status / power % 10) as u8;
    Digits([digit(100), digit(10), digit(1)])
}
