//! Configuration of a queue.

use std::time::Duration;

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failed runs of a task that fails its job.
    pub attempts: u32,
    /// A job is in time if it ends within its longest chain of steps times this factor, plus
    /// [`Queue::slack`].
    pub stretch: f64,
    /// See [`Queue::stretch`].
    pub slack: Duration,
    /// The cost of advice, if a service decides which workers may run a step.
    pub advice: Option<AdviceCost>,
}

/// How long the advice service takes for a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceCost {
    /// For each query.
    pub per_query: Duration,
    /// In addition, for each worker in the query.
    pub per_worker: Duration,
}

impl Default for Queue {
    /// The settings for a queue that the configuration no longer contains: its accepted jobs
    /// still run, after those of other queues. The number of attempts isn't meant for these; a pool
    /// takes it from the job's record.
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
