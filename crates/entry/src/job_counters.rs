//! Metrics of what became of jobs, by queue and by organisation.
//!
//! The number of labels is bounded, and a name keeps its label while the process runs, so that no
//! counter decreases: also not when the process loses a pool and gets it back.

use std::cell::RefCell;

use corianderfork_jobs::tally::{MAX_NAMED, Names, Outcome, Tally};
use corianderfork_runtime::metrics::Metrics;
use prometheus::IntCounterVec;

/// The most pools that are named. Later ones are counted together.
pub const MAX_POOLS: usize = 40;
/// The label of jobs without an organisation among refusals.
const NO_ORGANISATION: &str = "(none)";

/// The names that have a label of their own.
#[derive(Debug)]
struct Labels {
    pools: Names,
    /// The queues and the organisations of each pool.
    by_pool: Vec<(Names, Names)>,
    /// The queues and the organisations of refused jobs.
    refused: (Names, Names),
}

fn names() -> (Names, Names) {
    (Names::new(MAX_NAMED), Names::new(MAX_NAMED))
}

/// Counters of jobs. A counter that can't be registered is left out.
#[derive(Debug)]
pub struct JobCounters {
    by_queue: Option<IntCounterVec>,
    by_organisation: Option<IntCounterVec>,
    refused: Option<IntCounterVec>,
    labels: RefCell<Labels>,
    failures: Vec<String>,
}

impl JobCounters {
    /// Registers the counters.
    ///
    /// ```
    /// use corianderfork_entry::job_counters::JobCounters;
    /// use corianderfork_jobs::tally::{Outcome, Tally};
    /// use corianderfork_runtime::metrics::Metrics;
    ///
    /// let metrics = Metrics::new();
    /// let counters = JobCounters::register(&metrics);
    /// let mut tally = Tally::default();
    /// tally.add("quick", Some("club"), Outcome::InTime);
    /// counters.collect("small", &mut tally);
    /// counters.count_refused("quick", None);
    /// let text = metrics.text();
    /// let line = r#"jobs_by_queue{outcome="in_time",pool="small",queue="quick"} 1"#;
    /// assert!(text.contains(line));
    /// assert!(text.contains(r#"refused{organisation="(none)",queue="quick"} 1"#));
    /// ```
    pub fn register(metrics: &Metrics) -> Self {
        let mut failures = Vec::new();
        let mut register = |name: &str, help: &str, labels: &[&str]| {
            let counter = metrics.try_counter(name, help, labels);
            counter.map_err(|error| failures.push(format!("{name}: {error}"))).ok()
        };
        let by_queue = register(
            "jobs_by_queue",
            "What became of the jobs of this process's pools, by queue",
            &["pool", "queue", "outcome"],
        );
        let by_organisation = register(
            "jobs_by_organisation",
            "What became of the jobs of this process's pools, by organisation",
            &["pool", "organisation", "outcome"],
        );
        let refused = register(
            "refused",
            "Jobs that this process refused since they can't be served",
            &["queue", "organisation"],
        );
        let labels = Labels { pools: Names::new(MAX_POOLS), by_pool: Vec::new(), refused: names() };
        Self { by_queue, by_organisation, refused, labels: RefCell::new(labels), failures }
    }

    /// Returns why counters were left out.
    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    /// Adds the counts of a pool, and sets them to zero.
    pub fn collect(&self, pool: &str, tally: &mut Tally) {
        let Labels { pools, by_pool, .. } = &mut *self.labels.borrow_mut();
        let index = pools.index(pool);
        if by_pool.len() <= index {
            by_pool.resize_with(index + 1, names);
        }
        let (queues, organisations) = &mut by_pool[index];
        let pool = pools.name(index);
        tally.drain_queues(|queue, outcome, count| {
            add(self.by_queue.as_ref(), (pool, queues, queue), outcome, count);
        });
        tally.drain_organisations(|organisation, outcome, count| {
            let names = (pool, &mut *organisations, organisation);
            add(self.by_organisation.as_ref(), names, outcome, count);
        });
    }

    /// Counts a refused job.
    pub fn count_refused(&self, queue: &str, organisation: Option<&str>) {
        let Some(counter) = &self.refused else { return };
        let (queues, organisations) = &mut self.labels.borrow_mut().refused;
        let (queue, organisation) =
            (queues.index(queue), organisations.index(organisation.unwrap_or(NO_ORGANISATION)));
        counter.with_label_values(&[queues.name(queue), organisations.name(organisation)]).inc();
    }
}

fn add(
    counter: Option<&IntCounterVec>,
    (pool, names, name): (&str, &mut Names, &str),
    outcome: Outcome,
    count: u64,
) {
    if let Some(counter) = counter {
        let index = names.index(name);
        counter.with_label_values(&[pool, names.name(index), outcome.name()]).inc_by(count);
    }
}
