//! The memory of jobs that have not ended.
//!
//! An owner that accepted jobs without end would exceed its VM's memory, and so would each successor,
//! which reads the same jobs. So the memory of a job is estimated, not too low, and entry VMs are told
//! when a pool holds as much as an owner can.

use super::entry::{Entry, MAX_UNSTARTED_STEPS};
use super::{JobKey, Pool};

/// What a job takes besides its steps, in bytes: its state, and its places in the indices of a pool.
const JOB_BYTES: usize = 1_024;
/// What a step takes, in bytes: its declaration and rank, and its state in one occurrence.
const STEP_BYTES: usize = 832;

impl Pool {
    /// Returns how much memory the jobs that have not ended may take, in bytes, apart from what their
    /// runs take.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_jobs::record::Record;
    /// use corianderfork_jobs::{Job, JobId, Step};
    /// use corianderfork_model::Time;
    ///
    /// let job = Job::new("spec".to_owned(), vec![Step::new(10_000)]).unwrap();
    /// let record =
    ///     Record { queue: "q".into(), accepted_ms: 0, attempts: None, job, organisation: None };
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// pool.accept(Time::ZERO, Duration::ZERO, JobId(1), &record, None, 8);
    /// assert!(pool.active_bytes() > 0);
    /// pool.cancel(Time::ZERO, JobId(1));
    /// assert_eq!(pool.active_bytes(), 0);
    /// ```
    pub fn active_bytes(&self) -> usize {
        self.active_bytes
    }

    /// Counts a job as one that has not ended.
    pub(super) fn activate(&mut self, key: JobKey) {
        if self.active.insert(key) {
            self.active_bytes += self.jobs.get(key).map_or(0, Entry::bytes);
        }
    }

    /// Counts a job as one that has ended, or is removed. Its steps have to be there still.
    pub(super) fn deactivate(&mut self, key: JobKey) {
        if self.active.remove(&key) {
            self.active_bytes -= self.jobs.get(key).map_or(0, Entry::bytes);
        }
    }
}

impl Entry {
    /// Returns how much memory the job may take while it has not ended. It doesn't change.
    fn bytes(&self) -> usize {
        let texts = |step: &crate::Step| {
            let label = step.label.as_deref().map_or(0, str::len);
            let rack = step.preferred_rack.as_deref().map_or(0, str::len);
            let image = step.image.as_deref().map_or(0, str::len);
            label + rack + image + size_of_val(step.after.as_slice())
        };
        let steps: usize = self.steps.iter().map(|step| STEP_BYTES + texts(step)).sum();
        let occurrences =
            if self.schedule.is_some() { MAX_UNSTARTED_STEPS * STEP_BYTES } else { 0 };
        JOB_BYTES + self.spec.len() + self.queue.len() + steps + occurrences
    }
}
