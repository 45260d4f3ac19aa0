//! The last known counts of queued jobs.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// The greatest age of a count that is reported. Callers assume that a count is at most two
/// seconds old; older ones are not reported.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// The number of queued jobs of each queue, and when it was reported. It does no I/O.
#[derive(Clone, Debug, Default)]
pub struct QueueCounts {
    counts: HashMap<String, (usize, Time)>,
}

impl QueueCounts {
    /// Records the count that a queue's owner reported.
    pub fn note(&mut self, now: Time, queue: &str, jobs: usize) {
        self.counts.insert(queue.to_owned(), (jobs, now));
    }

    /// Returns the count if it is recent.
    ///
    /// An older one is not reported: while an owner is being replaced the jobs of its queue
    /// still wait, and an old count could say that there are none.
    pub fn recent(&self, now: Time, queue: &str) -> Option<usize> {
        let (jobs, at) = self.counts.get(queue)?;
        (now - *at <= MAX_AGE).then_some(*jobs)
    }
}
