//! Counts as last heard from their owners.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How old a count may be that is passed on. Callers take it for at most two
/// seconds old; beyond that none is told.
const FRESH: Duration = Duration::from_millis(1_500);

/// How many jobs of each queue have not begun, and when that was heard. Pure.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    counts: HashMap<String, (usize, Time)>,
}

impl Heard {
    /// Notes what a queue's owner said.
    pub fn note(&mut self, now: Time, queue: &str, jobs: usize) {
        self.counts.insert(queue.to_owned(), (jobs, now));
    }

    /// The count, if it was heard a moment ago.
    ///
    /// An older one is not passed on: while an owner is being replaced the jobs
    /// of its queue go on waiting, and a count from before that says there are
    /// none.
    pub fn recent(&self, now: Time, queue: &str) -> Option<usize> {
        let (jobs, at) = self.counts.get(queue)?;
        (now - *at <= FRESH).then_some(*jobs)
    }
}
