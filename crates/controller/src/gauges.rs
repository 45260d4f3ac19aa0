//! The controller's metrics.

use std::sync::Arc;
use std::time::Duration;

use corianderfork_provider::count::CountingStore;
use corianderfork_provider::http::Client;
use corianderfork_provider::record::Wave;
use corianderfork_runtime::metrics::Metrics;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::plan::count::Count;

/// The controller's metrics. Clones share the same values.
#[derive(Clone)]
pub struct Gauges {
    metrics: Metrics,
    store: Arc<CountingStore<Client>>,
    lease: IntGaugeVec,
    decide: HistogramVec,
    steps: IntCounterVec,
    writes: IntCounterVec,
    calls: IntCounterVec,
    deferred: IntGaugeVec,
    wave: IntGaugeVec,
    copies: IntGaugeVec,
    moves: IntCounterVec,
}

fn number(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Gauges {
    /// Registers the metrics with `metrics`.
    pub fn new(metrics: Metrics, store: Arc<CountingStore<Client>>) -> Self {
        let gauge = |name, help, labels: &[&str]| metrics.gauge(name, help, labels);
        let counter = |name, help, labels: &[&str]| metrics.counter(name, help, labels);
        Self {
            lease: gauge("lease_held", "1 while this process decides for the fleet", &[]),
            decide: metrics.duration_histogram(
                "decide_seconds",
                "Time that one decision took",
                &[],
            ),
            steps: counter("steps", "Writes and calls decided", &["kind"]),
            writes: counter("record_writes", "Writes of records by their end", &["end"]),
            calls: counter("platform_calls", "Calls to the platform's control", &["kind", "end"]),
            deferred: gauge("steps_deferred", "Steps left for later by the rate limit", &[]),
            wave: gauge("wave_vms", "VMs of the wave under way", &["state"]),
            copies: gauge("copies", "Copies of a service", &["service", "state"]),
            moves: counter("moves", "VMs that changed pool and copies stopped", &["kind"]),
            store,
            metrics,
        }
    }

    /// Updates whether the lease is held, and the number of calls to the store.
    pub fn on_tick(&self, held: bool) {
        self.lease.with_label_values::<&str>(&[]).set(i64::from(held));
        self.metrics.set_store_calls(self.store.calls());
    }

    /// Records a decision: its duration, deferred steps and counts of copies.
    pub fn on_decision(&self, took: Duration, deferred: usize, counts: &[Count]) {
        self.decide.with_label_values::<&str>(&[]).observe(took.as_secs_f64());
        self.deferred.with_label_values::<&str>(&[]).set(number(deferred));
        for count in counts {
            let service = count.service.as_str();
            let set = |state, value: u32| {
                self.copies.with_label_values(&[service, state]).set(i64::from(value));
            };
            set("able", count.able);
            set("licensed", count.licensed);
            set("idle", count.idle);
        }
    }

    /// Counts a step that was carried out.
    pub fn on_step(&self, kind: &str) {
        self.steps.with_label_values(&[kind]).inc();
        if kind == "stop" {
            self.moves.with_label_values(&["copy"]).inc();
        }
    }

    /// Counts a VM that changed its pool.
    pub fn on_vm_moved(&self) {
        self.moves.with_label_values(&["vm"]).inc();
    }

    /// Counts a write by its outcome.
    pub fn on_written(&self, end: &str) {
        self.writes.with_label_values(&[end]).inc();
    }

    /// Counts a call by its kind and outcome.
    pub fn on_called(&self, kind: &str, ok: bool) {
        let end = if ok { "ok" } else { "failed" };
        self.calls.with_label_values(&[kind, end]).inc();
    }

    /// Updates the progress of the wave.
    pub fn on_wave(&self, wave: &Wave) {
        let set = |state, count| self.wave.with_label_values(&[state]).set(number(count));
        set("todo", wave.todo.len());
        set("doing", wave.doing.len());
        set("done", wave.done.len());
        set("failed", wave.failed.len());
    }
}
