//! Counting of what becomes of a pool's jobs.

use corianderfork_model::Time;

use super::Pool;
use super::victim::Outlook;
use crate::contention;
use crate::id::JobId;
use crate::record::State;
use crate::tally::{Outcome, Tally};
use crate::task;

impl Pool {
    /// Counts an accepted job. Jobs that a predecessor counted aren't passed to it.
    pub fn count_accepted(&mut self, id: JobId) {
        self.count(id, Outcome::Accepted);
        if self.config.contention.meter && self.meter.is_recovered() {
            let outcome = if self.is_owed(id) { Outcome::Owed } else { Outcome::NotOwed };
            self.count(id, outcome);
        }
    }

    /// Returns the counts since they were last drained. Nothing is counted while all decisions about
    /// contention are off.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_jobs::contention::Settings;
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_jobs::tally::Outcome;
    /// use corianderfork_jobs::{Job, JobId, Record, Step};
    /// use corianderfork_model::Time;
    ///
    /// let settings = Settings { relocate: true, ..Settings::default() };
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO).contention(settings));
    /// let job = Job::new(String::new(), vec![Step::new(1)])?;
    /// let record = Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None };
    /// pool.accept(Time::ZERO, Duration::ZERO, JobId(1), &record, None, 8);
    /// pool.count_accepted(JobId(1));
    /// pool.cancel(Time::ZERO, JobId(1));
    /// let mut counts = Vec::new();
    /// pool.tally().drain_queues(|_, outcome, count| counts.push((outcome, count)));
    /// assert_eq!(counts, [(Outcome::Accepted, 1), (Outcome::Cancelled, 1)]);
    /// # Ok::<(), corianderfork_jobs::job::Error>(())
    /// ```
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    pub(super) fn count(&mut self, id: JobId, outcome: Outcome) {
        if self.config.contention == contention::Settings::default() {
            return;
        }
        if let Some(entry) = self.by_job.get(&id).and_then(|key| self.jobs.get(*key)) {
            self.tally.add(&entry.queue, entry.organisation_name.as_deref(), outcome);
        }
    }

    /// Counts the end of a job that isn't completed. A completed one is counted with its last
    /// occurrence, as each occurrence of a scheduled job is.
    pub(super) fn count_end(&mut self, id: JobId, state: State) {
        match state {
            State::Failed => self.count(id, Outcome::Failed),
            State::Cancelled => self.count(id, Outcome::Cancelled),
            _ => {}
        }
    }

    /// Returns the outcome of the occurrence of a task if it ends now.
    pub(super) fn outcome_now(&self, now: Time, name: task::Name) -> Option<Outcome> {
        let entry = self.entry(name.job)?;
        let outlook = entry.outlook(entry.occurrences.get(&name.occurrence)?, now).0;
        Some(match outlook {
            Outlook::InTime => Outcome::InTime,
            Outlook::Late => Outcome::Late,
            Outlook::Expired => Outcome::Expired,
        })
    }
}
