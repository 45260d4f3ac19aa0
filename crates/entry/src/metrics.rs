//! The daemon's metrics.

use std::time::Duration;

use corianderfork_runtime::metrics;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Counters, gauges and histograms. Clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    all: metrics::Metrics,
    store: HistogramVec,
    requests: HistogramVec,
    worker_calls: HistogramVec,
    events: IntCounterVec,
    gauges: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let all = metrics::Metrics::new();
        Self {
            store: all.duration_histogram(
                "store_seconds",
                "Calls to the store",
                &["kind", "outcome"],
            ),
            requests: all.duration_histogram(
                "request_seconds",
                "Requests of callers",
                &["kind", "status"],
            ),
            worker_calls: all.duration_histogram(
                "worker_seconds",
                "Calls to workers",
                &["kind", "outcome"],
            ),
            events: all.counter("events", "Decisions and beliefs, by kind", &["event"]),
            gauges: all.gauge("state", "What is held", &["what"]),
            all,
        }
    }
}

impl Metrics {
    /// Records a call to the store.
    pub fn store(&self, kind: &str, outcome: &str, took: Duration) {
        self.store.with_label_values(&[kind, outcome]).observe(took.as_secs_f64());
    }

    /// Records a request.
    pub fn request(&self, kind: &str, status: u16, took: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[kind, &status]).observe(took.as_secs_f64());
    }

    /// Records a call to a worker.
    pub fn worker(&self, kind: &str, outcome: &str, took: Duration) {
        self.worker_calls.with_label_values(&[kind, outcome]).observe(took.as_secs_f64());
    }

    /// Counts an event.
    pub fn event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets a gauge.
    pub fn set(&self, what: &str, number: usize) {
        self.gauges.with_label_values(&[what]).set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        self.all.text()
    }
}
