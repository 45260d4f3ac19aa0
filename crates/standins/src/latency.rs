//! Latency statistics.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records latencies into a histogram.
#[derive(Clone, Debug)]
pub struct Recorder(Histogram<u64>);

/// A summary of recorded latencies, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Latency {
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
}

impl Default for Recorder {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Recorder {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.record_us(latency.as_micros() as u64);
    }

    /// Records one latency in microseconds.
    pub fn record_us(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// Returns the summary of the recorded latencies.
    ///
    /// ```
    /// use corianderfork_standins::latency::Recorder;
    ///
    /// let mut recorder = Recorder::default();
    /// (1..=100).for_each(|us| recorder.record_us(us));
    /// assert_eq!(recorder.latency().p50_us, 50);
    /// ```
    pub fn latency(&self) -> Latency {
        let quantile = |q| self.0.value_at_quantile(q);
        let (count, max_us) = (self.0.len(), self.0.max());
        Latency { count, p50_us: quantile(0.5), p99_us: quantile(0.99), max_us }
    }
}
