//! Metrics of the proxy.

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use corianderfork_runtime::metrics::Metrics as Registry;

/// The metrics of a proxy. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// The registry of all metrics of the process.
    pub registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// The time from receiving a request until its response, by service.
    pub request_seconds: HistogramVec,
    /// Tries at backend servers, by service and result.
    pub tries: IntCounterVec,
    /// Tries after the first of a request, by service.
    pub retries: IntCounterVec,
    /// Requests not run, by reason.
    pub refusals: IntCounterVec,
    /// Claim requests by verdict.
    pub claims: IntCounterVec,
    /// Calls to peers, by kind and result.
    pub peer_calls: IntCounterVec,
    /// The time between the answer to a watch of the store and the next watch.
    pub watch_gap: HistogramVec,
    gauges: IntGaugeVec,
}

/// A gauge.
#[derive(Clone, Copy, Debug)]
pub enum Gauge {
    /// Requests received and not yet answered.
    InFlight,
    /// Requests that wait for a slot.
    Waiting,
    /// The revision of the configuration in force.
    ConfigRevision,
    /// The store revision up to which all records are known.
    StoreRevision,
    /// Known members, including this process.
    Members,
    /// Whether this process is in touch.
    InTouch,
    /// Runners ejected for failing.
    Ejected,
    /// Claim shards owned by this process.
    Shards,
    /// Connections that were abandoned because their request body is too long to discard.
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
    /// Creates the metrics with all values at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name, help, labels: &[&str]| registry.counter(name, help, labels);
        Self {
            requests: counter("requests", "Requests", &["service", "outcome"]),
            request_seconds: registry.duration_histogram(
                "request_seconds",
                "Time until the answer",
                &["service"],
            ),
            tries: counter("tries", "Tries at backend servers", &["service", "result"]),
            retries: counter("retries", "Tries after the first", &["service"]),
            refusals: counter("refusals", "Requests not run", &["reason"]),
            claims: counter("claims", "Verdicts on claims", &["verdict"]),
            peer_calls: counter("peer_calls", "Calls to peers", &["kind", "result"]),
            watch_gap: registry.duration_histogram(
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

    /// Increments a gauge.
    pub fn add(&self, gauge: Gauge) {
        self.gauges.with_label_values(&[gauge.name()]).inc();
    }

    /// Decrements a gauge.
    pub fn sub(&self, gauge: Gauge) {
        self.gauges.with_label_values(&[gauge.name()]).dec();
    }

    /// Returns the value of a gauge.
    pub fn get(&self, gauge: Gauge) -> u64 {
        u64::try_from(self.gauges.with_label_values(&[gauge.name()]).get()).unwrap_or(0)
    }
}
