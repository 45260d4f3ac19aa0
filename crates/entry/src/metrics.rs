//! The daemon's metrics.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_jobs::pool::Use;
use corianderfork_runtime::metrics;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::job_counters::JobCounters;
use crate::traffic::Tally;

/// The most organisations that are named for each pool: those that use most of its room.
const MAX_ORGANISATIONS: usize = 20;
/// The label of all others.
const OTHER_ORGANISATIONS: &str = "(others)";

/// Counters, gauges and histograms. Clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    all: metrics::Metrics,
    store: HistogramVec,
    requests: HistogramVec,
    worker_calls: HistogramVec,
    plans: HistogramVec,
    calls: IntGaugeVec,
    call_bytes: IntGaugeVec,
    effort: IntGaugeVec,
    events: IntCounterVec,
    gauges: IntGaugeVec,
    organisations: IntGaugeVec,
    /// What became of jobs.
    pub jobs: Rc<JobCounters>,
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
            plans: all.duration_histogram("plan_seconds", "Decisions of an owner", &["duty"]),
            calls: all.gauge("calls_in_flight", "Calls in progress, by kind", &["kind"]),
            call_bytes: all.gauge(
                "call_bytes",
                "Bytes of calls since the start, by kind",
                &["kind", "direction"],
            ),
            effort: all.gauge(
                "effort_ms",
                "Time spent in activities since the start",
                &["activity"],
            ),
            events: all.counter("events", "Decisions and beliefs, by kind", &["event"]),
            gauges: all.gauge("state", "What is held", &["what"]),
            organisations: all.gauge(
                "organisation",
                "What organisations use in a pool, in thousandths of a core and MB, and whether \
                 their tasks wait for a part of their limit; those that use most, the others summed up",
                &["pool", "organisation", "what"],
            ),
            jobs: Rc::new(JobCounters::register(&all)),
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

    /// Records a decision of the owner of a pool.
    pub fn plan(&self, duty: &str, took: Duration) {
        self.plans.with_label_values(&[duty]).observe(took.as_secs_f64());
    }

    /// Sets the counts of calls and bytes.
    pub fn set_traffic(&self, tallies: &BTreeMap<&'static str, Tally>) {
        let to_i64 = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        for (kind, tally) in tallies {
            self.calls.with_label_values(&[kind]).set(to_i64(tally.in_flight));
            self.call_bytes.with_label_values(&[kind, &"sent"]).set(to_i64(tally.sent));
            self.call_bytes.with_label_values(&[kind, &"received"]).set(to_i64(tally.received));
        }
    }

    /// Sets the time that activities have taken.
    pub fn set_effort(&self, totals: &BTreeMap<&'static str, Duration>) {
        for (activity, total) in totals {
            let millis = i64::try_from(total.as_millis()).unwrap_or(i64::MAX);
            self.effort.with_label_values(&[activity]).set(millis);
        }
    }

    /// Counts an event.
    pub fn event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets a gauge.
    pub fn set(&self, what: &str, number: usize) {
        self.gauges.with_label_values(&[what]).set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets what organisations use in the pools that this process owns.
    pub fn set_organisations(&self, pools: impl IntoIterator<Item = (String, Vec<Use>)>) {
        self.organisations.reset();
        for (pool, mut uses) in pools {
            uses.sort_by_key(|usage| std::cmp::Reverse((usage.used.cpu, usage.used.memory_mb)));
            for (rank, usage) in uses.iter().enumerate() {
                let is_named = rank < MAX_ORGANISATIONS;
                let name = if is_named { &usage.organisation } else { OTHER_ORGANISATIONS };
                let values = [
                    ("cpu", usage.used.cpu),
                    ("memory", usage.used.memory_mb),
                    ("blocked", u64::from(usage.is_blocked)),
                ];
                for (what, value) in values {
                    let gauge = self.organisations.with_label_values(&[pool.as_str(), name, what]);
                    gauge.add(i64::try_from(value).unwrap_or(i64::MAX));
                }
            }
        }
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        self.all.text()
    }
}
