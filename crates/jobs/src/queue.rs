//! What the operators say of a queue.

use std::time::Duration;

/// How a queue's jobs are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// 0 comes first.
    pub priority: u32,
    /// How many failed runs of a task fail its job.
    pub attempts: u32,
    /// A job is in time within so many times its longest chain, and
    /// [`Queue::slack`] more.
    pub stretch: f64,
    /// See [`Queue::stretch`].
    pub slack: Duration,
    /// Set where a service has to be asked which workers may run a step.
    pub advice: Option<AdviceCost>,
}

/// How long the service takes that says which workers may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceCost {
    /// For each question.
    pub per_query: Duration,
    /// And for each worker that it names.
    pub per_worker: Duration,
}

impl Default for Queue {
    /// What holds for a queue that the configuration no longer has: its jobs
    /// were accepted and run on, after the others.
    fn default() -> Self {
        Self {
            priority: u32::MAX,
            attempts: 1,
            stretch: 2.0,
            slack: Duration::from_secs(2),
            advice: None,
        }
    }
}
