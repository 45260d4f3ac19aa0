//! What the proxy counts.

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use corianderfork_runtime::metrics::Metrics as Registry;

/// The metrics of a proxy. Clones share the same numbers.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// All of the process.
    pub registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// The time from taking a request in until its answer, by service.
    pub seconds: HistogramVec,
    /// Tries at backend servers, by service and result.
    pub tries: IntCounterVec,
    /// Tries that were not the first of their request, by service.
    pub retries: IntCounterVec,
    /// Requests not run, by reason.
    pub refusals: IntCounterVec,
    /// Verdicts on claims.
    pub claims: IntCounterVec,
    /// Calls to peers, by kind and result.
    pub peer_calls: IntCounterVec,
    /// The time between the answer to a watch of the store and the next watch.
    pub watch_gap: HistogramVec,
    gauges: IntGaugeVec,
}

/// A number that goes up and down.
#[derive(Clone, Copy, Debug)]
pub enum Gauge {
    /// Requests taken in and not answered yet.
    InFlight,
    /// Requests that wait for a slot.
    Waiting,
    /// The revision of the configuration in force.
    ConfigRevision,
    /// The store's revision up to which all records are known.
    StoreRevision,
    /// Members known, this one included.
    Members,
    /// Whether this process is in touch.
    InTouch,
    /// Runners ejected for failing.
    Ejected,
    /// Shards of claims owned.
    Shards,
    /// Bodies given up on whose connection could not be closed.
    Abandoned,
}

impl Gauge {
    const fn name(self) -> &'static str {
        match self {
            Self::InFlight => "in_flight",
            Self::Waiting => "waiting",
            Self::ConfigRevision => "config_revision",
            Self::StoreRevision => "store_revision",
            Self::Members => "members",
            Self::InTouch => "in_touch",
            Self::Ejected => "ejected",
            Self::Shards => "shards",
            Self::Abandoned => "abandoned",
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Nothing counted yet.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name, help, labels: &[&str]| registry.counter(name, help, labels);
        Self {
            requests: counter("requests", "Requests", &["service", "outcome"]),
            seconds: registry.seconds("request_seconds", "Time until the answer", &["service"]),
            tries: counter("tries", "Tries at backend servers", &["service", "result"]),
            retries: counter("retries", "Tries after the first", &["service"]),
            refusals: counter("refusals", "Requests not run", &["reason"]),
            claims: counter("claims", "Verdicts on claims", &["verdict"]),
            peer_calls: counter("peer_calls", "Calls to peers", &["kind", "result"]),
            watch_gap: registry.seconds(
                "watch_gap_seconds",
                "Time from the answer to a watch of the store until the next one is sent",
                &["keys"],
            ),
            gauges: registry.gauge("proxy", "State of the proxy", &["what"]),
            registry,
        }
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[gauge.name()]).set(value);
    }

    /// Counts one more.
    pub fn add(&self, gauge: Gauge) {
        self.gauges.with_label_values(&[gauge.name()]).inc();
    }

    /// Counts one less.
    pub fn sub(&self, gauge: Gauge) {
        self.gauges.with_label_values(&[gauge.name()]).dec();
    }

    /// The value of a gauge.
    pub fn get(&self, gauge: Gauge) -> u64 {
        u64::try_from(self.gauges.with_label_values(&[gauge.name()]).get()).unwrap_or(0)
    }
}
