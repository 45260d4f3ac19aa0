//! What an owner writes, in order, until it is known to be written.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Item, MAX_ROWS, Outcome, Txn};
use corianderfork_jobs::Batch;
use corianderfork_jobs::worker::Location;
use serde_json::json;
use tokio::time::timeout;

use super::{Owner, ROSTERS, WRITES, ms};
use crate::clock;
use crate::duty::DUTIES;
use crate::lookup::{job_key, run_key};

/// Rows of a write besides those of the batch: the duty, the number of the
/// write twice, the roster.
const FIXED_ROWS: usize = 4;
/// How far ahead of its time all is written at a planned stop.
const FLUSH_AHEAD: Duration = Duration::from_secs(2);
/// How often, and how many times, a planned stop looks whether all is written.
const FLUSH_LOOK: Duration = Duration::from_millis(15);
const FLUSH_LOOKS: u32 = 40;

impl Owner {
    pub(super) async fn write_loop(self: Rc<Self>) {
        while !self.retired.get() {
            if !self.write_once().await {
                let _ = timeout(Duration::from_millis(200), self.journal.notified()).await;
            }
        }
    }

    /// Writes what is due. Whether there may be more.
    async fn write_once(&self) -> bool {
        let ahead = if self.flushing.get() { FLUSH_AHEAD } else { Duration::ZERO };
        let now = clock::now() + ahead;
        let most = MAX_ROWS - FIXED_ROWS;
        let batch = self.pool.borrow_mut().next_batch(now, clock::wall_ms(), most);
        let roster = self.pool.borrow().roster_update();
        if batch.is_empty() && roster.is_none() {
            return false;
        }
        let number = self.writes.get() + 1;
        self.writes.set(number);
        let token = format!("{}.{}.{number}", self.node.settings.name, self.node.boot);
        let txn = self.txn(&batch, roster.as_ref(), &token);
        let begun = clock::now();
        let is_written = self.commit(&txn, &token).await;
        if is_written {
            self.log_ends(&batch, clock::now() - begun);
            self.pool.borrow_mut().confirm_batch(&batch);
            if let Some(seats) = roster {
                self.pool.borrow_mut().confirm_roster(seats);
            }
            self.tell_waiting();
            self.wake.notify_one();
        }
        is_written
    }

    /// Tells at which revision of the store jobs ended: a reading of the store
    /// that found no such job is held against it. A line a write, and one write goes
    /// out at a time: it is told also where a busy owner's other lines are too many.
    fn log_ends(&self, batch: &Batch, took: Duration) {
        let ended = batch.updates.iter().filter(|row| row.progress.state.is_final());
        let jobs: Vec<String> = ended.map(|row| row.id.to_string()).collect();
        if !jobs.is_empty() {
            self.node.trace.key(
                "ends written",
                json!({ "duty": self.name, "fence": self.fence(),
                    "revision": self.write_revision.get(), "jobs": jobs, "took_ms": ms(took) }),
            );
        }
    }

    fn txn(&self, batch: &Batch, roster: Option<&Vec<Location>>, token: &str) -> Txn {
        let write_key = format!("{WRITES}{}", self.name);
        let mut txn = Txn::default();
        txn.expect.push((format!("{DUTIES}{}", self.name), self.fence()));
        // A write whose answer was lost may be carried out seconds later. Each
        // one is bound to the number of the one before, so that it can't undo
        // a newer one.
        txn.expect.push((write_key.clone(), self.write_revision.get()));
        txn.set.push((write_key, token.as_bytes().to_vec(), 0));
        if let Some(seats) = roster {
            let value = serde_json::to_vec(seats).unwrap_or_default();
            txn.set.push((format!("{ROSTERS}{}", self.name), value, 0));
        }
        for row in &batch.updates {
            let id = row.id.to_string();
            let value = serde_json::to_vec(&row.progress).unwrap_or_default();
            txn.set.push((run_key(&self.name, &id), value, 0));
            if row.progress.state.is_final() {
                txn.remove.push(job_key(&self.name, &id));
            }
        }
        txn.remove.extend(batch.deletions.iter().map(|id| run_key(&self.name, &id.to_string())));
        txn
    }

    /// Writes until it is known to be written, or another holds the duty.
    async fn commit(&self, txn: &Txn, token: &str) -> bool {
        let mut failures = 0;
        while !self.retired.get() {
            match self.node.store.txn(txn).await {
                Ok(Outcome::Written(revision)) => {
                    self.write_revision.set(revision);
                    return true;
                }
                Ok(Outcome::Conflict(items)) => return self.resolve(&items, token),
                Ok(Outcome::NoLease) | Err(_) => {
                    failures += 1;
                    if failures == 1 {
                        self.node.trace.line(
                            "write not confirmed",
                            json!({ "duty": self.name, "write": token }),
                        );
                    }
                    tokio::time::sleep(Duration::from_millis(80)).await;
                }
            }
        }
        false
    }

    /// A condition didn't hold: because this very write was done before, or
    /// because the duty is another's.
    fn resolve(&self, items: &[Item], token: &str) -> bool {
        let key = format!("{WRITES}{}", self.name);
        let duty = format!("{DUTIES}{}", self.name);
        let is_mine = |item: &&Item| item.key == key && item.value == token.as_bytes();
        if let Some(item) = items.iter().find(is_mine) {
            self.write_revision.set(item.revision);
            return true;
        }
        if items.iter().any(|item| item.key == duty && item.revision != self.fence()) {
            self.retire("the store names another holder");
        } else if let Some(item) = items.iter().find(|item| item.key == key) {
            // A late write of the holder before: go on behind it.
            self.write_revision.set(item.revision);
        }
        false
    }

    fn tell_waiting(&self) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let pool = self.pool.borrow();
        for (id, told) in waiting {
            if pool.is_written(id) {
                // One that no longer waits doesn't matter.
                let _ = told.send(());
            } else {
                self.waiting.borrow_mut().push((id, told));
            }
        }
    }

    /// Writes what is left, for a planned stop.
    pub async fn flush(&self) {
        self.halted.set(true);
        self.flushing.set(true);
        for _ in 0..FLUSH_LOOKS {
            if self.pool.borrow().is_all_written() || self.retired.get() {
                return;
            }
            self.journal.notify_one();
            tokio::time::sleep(FLUSH_LOOK).await;
        }
    }
}
