//! What has to be written, in batches.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use crate::id::JobId;
use crate::record::Progress;
use crate::worker;

/// How long an end that nobody waits for may stay unwritten. A worker lists it
/// until then, and a look that waits for ends returns at once as long as one is
/// listed: a longer pause costs looks (a hundredfold on busy workers, counted in
/// the worker histogram), a shorter one writes.
pub(super) const WRITE_DELAY: Duration = Duration::from_millis(120);

/// A job's row of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The job.
    pub id: JobId,
    /// How far it is.
    pub progress: Progress,
    version: u64,
}

/// Changes to be written all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// How far jobs are. The record of one that ended goes in the same write.
    pub updates: Vec<Update>,
    /// Jobs to be forgotten.
    pub deletions: Vec<JobId>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.deletions.is_empty()
    }
}

impl Pool {
    /// What is to be written now, at most `most` keys. `wall_ms` is the time of
    /// day, kept with ends.
    pub fn next_batch(&mut self, now: Time, wall_ms: u64, most: usize) -> Batch {
        let mut batch = Batch::default();
        let mut keys = 0;
        let due: Vec<JobId> =
            self.dirty.iter().take_while(|(at, _)| *at <= now).map(|(_, id)| *id).collect();
        if due.is_empty() {
            self.delete_old(now, most, &mut batch);
            return batch;
        }
        // Once a write is due, what could wait goes with it for nothing.
        let all: Vec<JobId> = self.dirty.iter().map(|(_, id)| *id).collect();
        for id in all {
            let Some(entry) = self.entry_mut(id) else { continue };
            if entry.state.is_final() && entry.ended_ms == 0 {
                entry.ended_ms = wall_ms;
            }
            keys += if entry.state.is_final() { 2 } else { 1 };
            if keys > most {
                break;
            }
            batch.updates.push(Update { id, progress: entry.progress(), version: entry.version });
        }
        batch
    }

    /// Whether nothing is left to write.
    pub fn is_all_written(&self) -> bool {
        self.dirty.is_empty()
    }

    fn delete_old(&mut self, now: Time, most: usize, batch: &mut Batch) {
        let remember = self.config.remember;
        let is_old = |ended: Option<Time>| ended.is_some_and(|at| now - at > remember);
        let old = self.jobs.values().filter(|e| is_old(e.ended) && e.written_version == e.version);
        batch.deletions = old.map(|entry| entry.id).take(most / 2).collect();
        // A write for one or two is not worth its price.
        if batch.deletions.len() < most / 4 {
            batch.deletions.clear();
        }
    }

    /// Takes in that a batch was written.
    pub fn confirm_batch(&mut self, batch: &Batch) {
        for row in &batch.updates {
            self.confirm_update(row);
        }
        for id in &batch.deletions {
            if let Some(key) = self.by_job.remove(id) {
                self.jobs.remove(key);
            }
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            self.advance_ack(key);
        }
    }

    fn confirm_update(&mut self, row: &Update) {
        let Some(entry) = self.entry_mut(row.id) else { return };
        entry.written_version = entry.written_version.max(row.version);
        if entry.written_version == entry.version {
            self.dirty.retain(|(_, id)| *id != row.id);
        }
    }
}
