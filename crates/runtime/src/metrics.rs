//! Metrics in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

use corianderfork_provider::count::Calls;

/// The prefix of all metric names.
const NAMESPACE: &str = "corianderfork";

/// The metrics registry of a process. Clones share the same metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    store_calls: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a registry that contains only `store_calls`.
    ///
    /// # Panics
    ///
    /// Never, because the names in this function are valid.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some(NAMESPACE.to_owned()), None)
            .expect("the namespace is a metric name");
        let store_calls = IntGaugeVec::new(
            Opts::new("store_calls", "Calls to the platform's store since the start"),
            &["kind"],
        )
        .expect("the name is a metric name");
        registry.register(Box::new(store_calls.clone())).expect("registered once");
        Self { registry, store_calls }
    }

    /// Registers a counter with `labels`.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("a metric name");
        self.registry.register(Box::new(counter.clone())).expect("registered once");
        counter
    }

    /// Registers a counter with `labels`, for a process that continues without it.
    ///
    /// ```
    /// let metrics = corianderfork_runtime::metrics::Metrics::new();
    /// assert!(metrics.try_counter("jobs", "Jobs", &["queue"]).is_ok());
    /// assert!(metrics.try_counter("jobs", "Jobs", &["queue"]).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the name is invalid or already registered.
    pub fn try_counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a gauge with `labels`.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("a metric name");
        self.registry.register(Box::new(gauge.clone())).expect("registered once");
        gauge
    }

    /// Registers a histogram of durations in seconds with `labels`.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered.
    pub fn duration_histogram(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let buckets = prometheus::exponential_buckets(0.0005, 2.0, 16).expect("growing buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let histogram = HistogramVec::new(options, labels).expect("a metric name");
        self.registry.register(Box::new(histogram.clone())).expect("registered once");
        histogram
    }

    /// Sets the gauges of calls to the platform's store.
    pub fn set_store_calls(&self, calls: Calls) {
        let set_gauge = |kind: &str, count: u64| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.store_calls.with_label_values(&[kind]).set(count);
        };
        set_gauge("read", calls.reads);
        set_gauge("write", calls.writes);
        set_gauge("watch", calls.watches);
        set_gauge("failed", calls.failures);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory cannot fail; on an encoding error, partial output is
        // better than none.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}
