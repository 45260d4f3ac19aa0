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
        let ids = self.dirty.iter().map(|(_, id)| id).chain(&self.being_written);
        let changed = ids.filter_map(|id| self.entry(*id));
        let ends = changed.filter_map(|entry| entry.ended);
        let oldest = ends.clone().min().unwrap_or(now);
        Unwritten {
            jobs: self.dirty.len() + self.being_written.len(),
            ended: ends.count(),
            oldest_end_ms: worker::millis(now - oldest),
        }
    }

    /// Returns the changes to write now, at most `max_keys` keys. `wall_ms` is the time of day,
    /// which is stored as the end of jobs.
    ///
    /// The batch is under way until [`Pool::confirm_batch`] or [`Pool::return_batch`]. Others may be
    /// under way at the same time: a job is in one of them at most, so that they may be carried out
    /// in any order. Beside another batch only a full one is returned, since what is left goes with
    /// the next one at no extra cost.
    pub fn next_batch(&mut self, now: Time, wall_ms: u64, max_keys: usize) -> Batch {
        let mut batch = Batch::default();
        let is_due = self.dirty.first().is_some_and(|(at, _)| *at <= now);
        if !is_due {
            self.delete_old(now, max_keys, &mut batch);
            return batch;
        }
        // Once one write is due, later ones are included at no extra cost.
        let mut keys = 0;
        let mut ids = Vec::new();
        for (_, id) in &self.dirty {
            let Some(entry) = self.entry(*id) else { continue };
            let needed = if entry.state.is_final() { 2 } else { 1 };
            if keys + needed > max_keys {
                break;
            }
            keys += needed;
            ids.push(*id);
        }
        let is_full = ids.len() < self.dirty.len();
        if !is_full && !self.being_written.is_empty() {
            return batch;
        }
        batch.updates = ids.into_iter().filter_map(|id| self.begin_write(id, wall_ms)).collect();
        batch
    }

    fn begin_write(&mut self, id: JobId, wall_ms: u64) -> Option<Update> {
        let entry = self.entry_mut_unmarked(id)?;
        if entry.state.is_final() && entry.ended_ms == 0 {
            entry.ended_ms = wall_ms;
        }
        entry.is_being_written = true;
        let due = entry.write_due.take();
        let update = Update { id, progress: entry.progress(), version: entry.version };
        if let Some(due) = due {
            self.dirty.remove(&(due, id));
        }
        self.being_written.insert(id);
        Some(update)
    }

    /// Returns whether all changes are written.
    pub fn is_all_written(&self) -> bool {
        self.dirty.is_empty() && self.being_written.is_empty()
    }

    /// Returns a batch that was certainly not written, and won't be. Its changes are due again.
    pub fn return_batch(&mut self, batch: &Batch) {
        for update in &batch.updates {
            self.end_write(update, false);
        }
        self.is_deleting &= batch.deletions.is_empty();
    }

    /// Ends the write of a job, and schedules the next one if changes are left.
    fn end_write(&mut self, update: &Update, is_written: bool) {
        self.being_written.remove(&update.id);
        let Some(entry) = self.entry_mut_unmarked(update.id) else { return };
        entry.is_being_written = false;
        if is_written {
            entry.written_version = entry.written_version.max(update.version);
        } else {
            entry.write_due = Some(Time::ZERO);
        }
        if let Some(due) = entry.write_due {
            self.dirty.insert((due, update.id));
        }
    }

    fn delete_old(&mut self, now: Time, max_keys: usize, batch: &mut Batch) {
        if self.is_deleting {
            return;
        }
        let remember = self.config.remember;
        let old = self.ended.iter().take_while(|(at, _)| now - *at > remember).map(|(_, id)| *id);
        let written = old.filter(|id| self.is_written(*id));
        batch.deletions = written.take(max_keys / 2).collect();
        // A transaction for a few deletions isn't worth its cost.
        if batch.deletions.len() < max_keys / 4 {
            batch.deletions.clear();
        }
        self.is_deleting = !batch.deletions.is_empty();
    }

    /// Records that a batch was written.
    pub fn confirm_batch(&mut self, batch: &Batch) {
        for update in &batch.updates {
            self.end_write(update, true);
        }
        for id in &batch.deletions {
            self.remove_job(*id);
        }
        self.is_deleting &= batch.deletions.is_empty();
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            self.advance_ack(key);
        }
    }
}
