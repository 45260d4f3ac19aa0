//! Batches of changes to write to the store.

use std::time::Duration;

use corianderfork_model::Time;
use serde::Serialize;

use super::Pool;
use crate::id::JobId;
use crate::record::Progress;
use crate::worker;

/// How long an exit that no caller waits for may stay unwritten. A worker lists an exit until
/// it is written, and a poll that waits for exits returns at once while one is listed. A longer
/// delay costs polls (a hundredfold on busy workers, counted in the worker histogram), a
/// shorter one costs writes.
pub(super) const WRITE_DELAY: Duration = Duration::from_millis(120);

/// A changed job in a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The job.
    pub id: JobId,
    /// The progress to write.
    pub progress: Progress,
    version: u64,
}

/// Changes to write in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Progress of jobs. The record of a job that has ended is removed in the same transaction.
    pub updates: Vec<Update>,
    /// Jobs whose progress is deleted.
    pub deletions: Vec<JobId>,
}

impl Batch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.deletions.is_empty()
    }
}

/// The changes that are not known to be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Unwritten {
    /// The number of changed jobs.
    pub jobs: usize,
    /// The number of those that have ended.
    pub ended: usize,
    /// How long ago the first of these ended, in milliseconds.
    pub oldest_end_ms: u64,
}

impl Pool {
    /// Returns what is not known to be written.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Pool, Unwritten};
    /// use corianderfork_model::Time;
    ///
    /// let pool = Pool::new(Config::new(7, Time::ZERO));
    /// assert_eq!(pool.unwritten(Time::ZERO), Unwritten::default());
    /// ```
    pub fn unwritten(&self, now: Time) -> Unwritten {
        let changed = self.dirty.iter().filter_map(|(_, id)| self.entry(*id));
        let ends = changed.filter_map(|entry| entry.ended);
        let oldest = ends.clone().min().unwrap_or(now);
        Unwritten {
            jobs: self.dirty.len(),
            ended: ends.count(),
            oldest_end_ms: worker::millis(now - oldest),
        }
    }

    /// Returns the changes to write now, at most `max_keys` keys. `wall_ms` is the time of day,
    /// which is stored as the end of jobs.
    pub fn next_batch(&mut self, now: Time, wall_ms: u64, max_keys: usize) -> Batch {
        let mut batch = Batch::default();
        let mut keys = 0;
        let due: Vec<JobId> =
            self.dirty.iter().take_while(|(at, _)| *at <= now).map(|(_, id)| *id).collect();
        if due.is_empty() {
            self.delete_old(now, max_keys, &mut batch);
            return batch;
        }
        // Once one write is due, later ones are included at no extra cost.
        let all: Vec<JobId> = self.dirty.iter().map(|(_, id)| *id).collect();
        for id in all {
            let Some(entry) = self.entry_mut_unmarked(id) else { continue };
            if entry.state.is_final() && entry.ended_ms == 0 {
                entry.ended_ms = wall_ms;
            }
            keys += if entry.state.is_final() { 2 } else { 1 };
            if keys > max_keys {
                break;
            }
            batch.updates.push(Update { id, progress: entry.progress(), version: entry.version });
        }
        batch
    }

    /// Returns whether all changes are written.
    pub fn is_all_written(&self) -> bool {
        self.dirty.is_empty()
    }

    fn delete_old(&mut self, now: Time, max_keys: usize, batch: &mut Batch) {
        let remember = self.config.remember;
        let old = self.ended.iter().take_while(|(at, _)| now - *at > remember).map(|(_, id)| *id);
        let written = old.filter(|id| self.is_written(*id));
        batch.deletions = written.take(max_keys / 2).collect();
        // A transaction for a few deletions isn't worth its cost.
        if batch.deletions.len() < max_keys / 4 {
            batch.deletions.clear();
        }
    }

    /// Records that a batch was written.
    pub fn confirm_batch(&mut self, batch: &Batch) {
        for update in &batch.updates {
            self.confirm_update(update);
        }
        for id in &batch.deletions {
            self.remove_job(*id);
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            self.advance_ack(key);
        }
    }

    fn confirm_update(&mut self, update: &Update) {
        let Some(entry) = self.entry_mut_unmarked(update.id) else { return };
        entry.written_version = entry.written_version.max(update.version);
        if entry.written_version == entry.version
            && let Some(due) = entry.write_due.take()
        {
            self.dirty.remove(&(due, update.id));
        }
    }
}
