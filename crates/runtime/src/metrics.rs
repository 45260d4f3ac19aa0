//! Metrics in the text form that Prometheus reads.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

use corianderfork_provider::count::Calls;

/// The prefix of all names.
const NAMESPACE: &str = "corianderfork";

/// The metrics of a process. Clones share the same numbers.
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
    /// No metrics yet, but for the calls to the platform's store.
    ///
    /// # Panics
    ///
    /// Only if a constant name in here is not a metric name.
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

    /// A counter, by labels.
    ///
    /// # Panics
    ///
    /// If the name is taken or no metric name: a fault of the program.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("a metric name");
        self.registry.register(Box::new(counter.clone())).expect("registered once");
        counter
    }

    /// A gauge, by labels.
    ///
    /// # Panics
    ///
    /// If the name is taken or no metric name: a fault of the program.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("a metric name");
        self.registry.register(Box::new(gauge.clone())).expect("registered once");
        gauge
    }

    /// A histogram of seconds, by labels.
    ///
    /// # Panics
    ///
    /// If the name is taken or no metric name: a fault of the program.
    pub fn duration_histogram(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let buckets = prometheus::exponential_buckets(0.0005, 2.0, 16).expect("growing buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let histogram = HistogramVec::new(options, labels).expect("a metric name");
        self.registry.register(Box::new(histogram.clone())).expect("registered once");
        histogram
    }

    /// Tells how many calls were made to the platform's store.
    pub fn set_store_calls(&self, calls: Calls) {
        let set = |kind: &str, count: u64| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.store_calls.with_label_values(&[kind]).set(count);
        };
        set("read", calls.reads);
        set("write", calls.writes);
        set("watch", calls.watches);
        set("failed", calls.failures);
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory cannot fail, and half a page is better than none.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}
