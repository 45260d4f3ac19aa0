//! Jobs whose tasks may not be started for a reason of their own.

use corianderfork_model::Time;

use super::Pool;
use crate::id::JobId;
use crate::task;

/// Why the tasks of a job may not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The owner learned of it when it may have been replaced. Its successor may start it too.
    Ownership,
    /// Its progress can't be read, so that any of its tasks may be done. Nothing is written of it.
    Progress,
}

impl Pool {
    /// Holds a job. An earlier hold for its progress stays.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_jobs::job::Room;
    /// use corianderfork_jobs::pool::{Config, Hold, Pool};
    /// use corianderfork_jobs::record::Record;
    /// use corianderfork_jobs::{Job, JobId, Step};
    /// use corianderfork_model::Time;
    ///
    /// let needs = Room { cpu: 500, memory_mb: 64, gpu: 0 };
    /// let step = Step { count: 1, needs, estimate_ms: 100, ..Step::default() };
    /// let job = Job::new("spec".to_owned(), vec![step]).unwrap();
    /// let record =
    ///     Record { queue: "q".into(), accepted_ms: 0, attempts: None, job, organisation: None };
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// pool.accept(Time::ZERO, Duration::ZERO, JobId(1), &record, None, 8);
    /// pool.hold(JobId(1), Hold::Ownership);
    /// assert!(pool.is_held(JobId(1)));
    /// pool.confirm_ownership();
    /// assert!(!pool.is_held(JobId(1)));
    /// ```
    pub fn hold(&mut self, id: JobId, hold: Hold) {
        let Some(entry) = self.entry_mut(id).filter(|entry| entry.hold != Some(Hold::Progress))
        else {
            return;
        };
        entry.hold = Some(hold);
        self.held_jobs.insert(id);
        let task = task::Name { job: id, occurrence: 0, step: 0, index: 0 };
        self.note("job held", Some(task), None, format!("{hold:?}"));
    }

    /// Returns whether the tasks of a job may not be started.
    pub fn is_held(&self, id: JobId) -> bool {
        self.entry(id).is_some_and(|entry| entry.hold.is_some())
    }

    /// Releases the jobs of which this owner learned when it may have been replaced: it has not been.
    pub fn confirm_ownership(&mut self) {
        for id in std::mem::take(&mut self.held_jobs) {
            if let Some(entry) = self.entry_mut(id).filter(|e| e.hold == Some(Hold::Ownership)) {
                entry.hold = None;
            }
        }
    }

    /// Waits for all leases of former owners, whichever workers they are on: the roster that names
    /// these can't be read.
    pub fn set_unreadable_roster(&mut self) {
        self.unnamed_until = self.config.inherited_until;
    }

    /// Returns whether workers that nobody names may run tasks.
    pub(super) fn has_unnamed_workers(&self, now: Time) -> bool {
        now < self.unnamed_until
    }
}
