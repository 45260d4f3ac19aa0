//! The owner's writes: in order, and each retried until it is confirmed.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Item, MAX_ROWS, Outcome, Txn};
use corianderfork_jobs::Batch;
use corianderfork_jobs::worker::Location;
use serde_json::json;
use tokio::time::timeout;

use super::{Owner, ROSTER_PREFIX, WRITE_PREFIX, ms};
use crate::clock;
use crate::duty::DUTY_PREFIX;
use crate::lookup::{job_key, run_key};

/// Rows of a write besides those of the batch: the duty, the write's number twice, and
/// the roster.
const FIXED_ROWS: usize = 4;
/// How far ahead of their due time changes are written at a planned stop.
const FLUSH_AHEAD: Duration = Duration::from_secs(2);
/// How often, and how many times, a planned stop checks whether everything is written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(15);
const FLUSH_CHECKS: u32 = 40;

impl Owner {
    pub(super) async fn write_loop(self: Rc<Self>) {
        while !self.retired.get() {
            if !self.write_once().await {
                let _ = timeout(Duration::from_millis(200), self.write_wake.notified()).await;
            }
        }
    }

    /// Writes what is due. Returns whether there may be more.
    async fn write_once(&self) -> bool {
        let ahead = if self.flushing.get() { FLUSH_AHEAD } else { Duration::ZERO };
        let now = clock::now() + ahead;
        let max_rows = MAX_ROWS - FIXED_ROWS;
        let next = || self.pool.borrow_mut().next_batch(now, clock::wall_ms(), max_rows);
        let batch = self.node.effort.measure("writes", next);
        let roster = self.pool.borrow().roster_update();
        if batch.is_empty() && roster.is_none() {
            return false;
        }
        let number = self.last_write_number.get() + 1;
        self.last_write_number.set(number);
        // One process may own the pool several times, each time with another fence.
        let (name, boot, fence) = (&self.node.settings.name, self.node.boot, self.fence());
        let token = format!("{name}.{boot}.{fence}.{number}");
        let build = || self.build_txn(&batch, roster.as_ref(), &token);
        let txn = self.node.effort.measure("writes", build);
        let started = clock::now();
        let is_written = self.commit(&txn, &token).await;
        if is_written {
            self.log_ends(&batch, clock::now() - started);
            self.node.effort.measure("writes", || self.pool.borrow_mut().confirm_batch(&batch));
            if let Some(locations) = roster {
                self.pool.borrow_mut().confirm_roster(locations);
            }
            self.confirm_cancellations();
            self.wake.notify_one();
        }
        is_written
    }

    /// Logs the store's revision at which jobs ended, to compare with reads of the store
    /// that found no such job. It is one line per write, with one write at a time, so it
    /// bypasses the rate limit that a busy owner's other lines exceed.
    fn log_ends(&self, batch: &Batch, took: Duration) {
        let ended = batch.updates.iter().filter(|update| update.progress.state.is_final());
        let jobs: Vec<String> = ended.map(|update| update.id.to_string()).collect();
        if !jobs.is_empty() {
            self.node.trace.unlimited(
                "job ends written",
                json!({ "duty": self.name, "fence": self.fence(),
                    "revision": self.write_revision.get(), "jobs": jobs, "took_ms": ms(took) }),
            );
        }
    }

    fn build_txn(&self, batch: &Batch, roster: Option<&Vec<Location>>, token: &str) -> Txn {
        let write_key = format!("{WRITE_PREFIX}{}", self.name);
        let mut txn = Txn::default();
        txn.expect.push((format!("{DUTY_PREFIX}{}", self.name), self.fence()));
        // A write without a response may be applied seconds later. Each write expects the
        // revision of the previous one's number, so that it can't undo a newer one.
        txn.expect.push((write_key.clone(), self.write_revision.get()));
        txn.set.push((write_key, token.as_bytes().to_vec(), 0));
        if let Some(locations) = roster {
            let value = serde_json::to_vec(locations).unwrap_or_default();
            txn.set.push((format!("{ROSTER_PREFIX}{}", self.name), value, 0));
        }
        for update in &batch.updates {
            let id = update.id.to_string();
            let value = serde_json::to_vec(&update.progress).unwrap_or_default();
            txn.set.push((run_key(&self.name, &id), value, 0));
            if update.progress.state.is_final() {
                txn.remove.push(job_key(&self.name, &id));
            }
        }
        txn.remove.extend(batch.deletions.iter().map(|id| run_key(&self.name, &id.to_string())));
        txn
    }

    /// Retries a write until it is confirmed or another holder has the duty.
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
                            || json!({ "duty": self.name, "write": token }),
                        );
                    }
                    tokio::time::sleep(Duration::from_millis(80)).await;
                }
            }
        }
        false
    }

    /// Handles a failed condition: either this very write was applied before, or another
    /// holder has the duty.
    fn resolve(&self, items: &[Item], token: &str) -> bool {
        let key = format!("{WRITE_PREFIX}{}", self.name);
        let duty = format!("{DUTY_PREFIX}{}", self.name);
        let is_own_write = |item: &&Item| item.key == key && item.value == token.as_bytes();
        if let Some(item) = items.iter().find(is_own_write) {
            self.write_revision.set(item.revision);
            return true;
        }
        if items.iter().any(|item| item.key == duty && item.revision != self.fence()) {
            self.retire("the store names another holder");
        } else if let Some(item) = items.iter().find(|item| item.key == key) {
            // A late write of the previous holder: continue after its revision.
            self.write_revision.set(item.revision);
        }
        false
    }

    fn confirm_cancellations(&self) {
        let cancel_waiters = std::mem::take(&mut *self.cancel_waiters.borrow_mut());
        let pool = self.pool.borrow();
        for (id, confirmation) in cancel_waiters {
            if pool.is_written(id) {
                // The receiver may have stopped waiting.
                let _ = confirmation.send(());
            } else {
                self.cancel_waiters.borrow_mut().push((id, confirmation));
            }
        }
    }

    /// Writes everything that is left, for a planned stop.
    pub async fn flush(&self) {
        self.halted.set(true);
        self.flushing.set(true);
        for _ in 0..FLUSH_CHECKS {
            if self.pool.borrow().is_all_written() || self.retired.get() {
                return;
            }
            self.write_wake.notify_one();
            tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }
}
