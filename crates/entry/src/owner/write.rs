//! The owner's writes: in order, and each retried until it is confirmed.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Item, MAX_ROWS, Outcome, Txn};
use corianderfork_jobs::Batch;
use corianderfork_jobs::worker::Location;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Owner, ROSTER_PREFIX, ms};
use crate::clock;
use crate::duty;
use crate::lookup::{job_key, run_key};
use crate::write_slots::Slot;

/// Rows of a write besides those of the batch: the duty, the write's number twice, and
/// the roster.
const FIXED_ROWS: usize = 4;
/// How often writes are started without any event.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// The pause before a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// How far ahead of their due time changes are written at a planned stop.
const FLUSH_AHEAD: Duration = Duration::from_secs(2);
/// How often, and how many times, a planned stop checks whether everything is written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(15);
const FLUSH_CHECKS: u32 = 40;

/// How a write ended that the store didn't confirm at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resolution {
    /// It was carried out before.
    Written,
    /// It was not, and won't be with the revision that it expected; a newer one is known.
    Outdated,
    /// Another holder has the duty.
    Deposed,
}

impl Owner {
    pub(super) async fn write_loop(self: Rc<Self>) {
        while !self.retired.get() {
            while self.begin_write() {}
            let _ = timeout(WRITE_INTERVAL, self.write_wake.notified()).await;
        }
    }

    /// Starts to write what is due, if another write may be under way. Returns whether there may be
    /// more.
    fn begin_write(self: &Rc<Self>) -> bool {
        let Some(slot) = self.write_slots.borrow_mut().take() else { return false };
        let ahead = if self.flushing.get() { FLUSH_AHEAD } else { Duration::ZERO };
        let now = clock::now() + ahead;
        let max_rows = MAX_ROWS - FIXED_ROWS;
        let next = || self.pool.borrow_mut().next_batch(now, clock::wall_ms(), max_rows);
        let batch = self.node.effort.measure("writes", next);
        let may_write_roster = !self.is_roster_being_written.get();
        let roster = self.pool.borrow().roster_update().filter(|_| may_write_roster);
        if batch.is_empty() && roster.is_none() {
            self.write_slots.borrow_mut().free(slot);
            return false;
        }
        self.is_roster_being_written.set(!may_write_roster || roster.is_some());
        spawn_local(self.clone().write(slot, batch, roster));
        true
    }

    async fn write(self: Rc<Self>, slot: Slot, batch: Batch, roster: Option<Vec<Location>>) {
        let number = self.last_write_number.get() + 1;
        self.last_write_number.set(number);
        // One process may own the pool several times, each time with another fence.
        let (name, boot, fence) = (&self.node.settings.name, self.node.boot, self.fence());
        let token = format!("{name}.{boot}.{fence}.{number}");
        let started = clock::now();
        let is_written = self.commit(slot, &batch, roster.as_ref(), &token).await;
        if roster.is_some() {
            self.is_roster_being_written.set(false);
        }
        if is_written {
            self.pool.borrow_mut().raise_fence(self.write_slots.borrow().revision(slot));
            self.log_ends(slot, &batch, clock::now() - started);
            self.node.effort.measure("writes", || self.pool.borrow_mut().confirm_batch(&batch));
            if let Some(locations) = roster {
                self.pool.borrow_mut().confirm_roster(locations);
            }
            self.wake_waiters(&batch);
            self.wake.notify_one();
        } else {
            self.pool.borrow_mut().return_batch(&batch);
        }
        self.write_slots.borrow_mut().free(slot);
        self.write_wake.notify_one();
    }

    /// Logs the store's revision at which jobs ended, to compare with reads of the store
    /// that found no such job. It is one line per write, with few writes at a time, so it
    /// bypasses the rate limit that a busy owner's other lines exceed.
    fn log_ends(&self, slot: Slot, batch: &Batch, took: Duration) {
        let ended = batch.updates.iter().filter(|update| update.progress.state.is_final());
        let jobs: Vec<String> = ended.map(|update| update.id.to_string()).collect();
        if !jobs.is_empty() {
            self.node.trace.unlimited(
                "job ends written",
                json!({ "duty": self.name, "fence": self.fence(),
                    "revision": self.write_slots.borrow().revision(slot), "jobs": jobs, "took_ms": ms(took) }),
            );
        }
    }

    fn build_txn(
        &self,
        slot: Slot,
        batch: &Batch,
        roster: Option<&Vec<Location>>,
        token: &str,
    ) -> Txn {
        let slots = self.write_slots.borrow();
        let write_key = slots.key(slot);
        let mut txn = Txn::default();
        txn.expect.push((duty::key(&self.duty), self.fence()));
        // See `write_slots`.
        txn.expect.push((write_key.clone(), slots.revision(slot)));
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
    async fn commit(
        &self,
        slot: Slot,
        batch: &Batch,
        roster: Option<&Vec<Location>>,
        token: &str,
    ) -> bool {
        let build = || self.build_txn(slot, batch, roster, token);
        let mut txn = self.node.effort.measure("writes", build);
        let (mut failures, mut conflicts) = (0, 0);
        while !self.retired.get() {
            match self.node.store.txn(&txn).await {
                Ok(Outcome::Written(revision)) => {
                    self.write_slots.borrow_mut().set_revision(slot, revision);
                    return true;
                }
                Ok(Outcome::Conflict(items)) => match self.resolve(slot, &items, token) {
                    Resolution::Written => return true,
                    Resolution::Deposed => return false,
                    Resolution::Outdated => {
                        conflicts += 1;
                        // The first one is expected of a slot's first write.
                        if conflicts > 1 {
                            tokio::time::sleep(RETRY_PAUSE).await;
                        }
                        txn = build();
                    }
                },
                Ok(Outcome::NoLease) | Err(_) => {
                    failures += 1;
                    if failures == 1 {
                        self.node.trace.line(
                            "write not confirmed",
                            || json!({ "duty": self.name, "write": token }),
                        );
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        false
    }

    /// Handles a failed condition: either this very write was applied before, or another
    /// holder has the duty, or the slot's revision is another one.
    fn resolve(&self, slot: Slot, items: &[Item], token: &str) -> Resolution {
        let mut slots = self.write_slots.borrow_mut();
        let key = slots.key(slot);
        let duty = duty::key(&self.duty);
        let is_own_write = |item: &&Item| item.key == key && item.value == token.as_bytes();
        if let Some(item) = items.iter().find(is_own_write) {
            slots.set_revision(slot, item.revision);
            return Resolution::Written;
        }
        if items.iter().any(|item| item.key == duty && item.revision != self.fence()) {
            drop(slots);
            self.retire("the store names another holder");
            return Resolution::Deposed;
        }
        // A previous holder used the slot, or wrote late: continue after its revision. A key that
        // isn't there was removed.
        let revision = items.iter().find(|item| item.key == key).map_or(0, |item| item.revision);
        slots.set_revision(slot, revision);
        Resolution::Outdated
    }

    /// Wakes the requests that wait for the write of a job of the batch.
    fn wake_waiters(&self, batch: &Batch) {
        let pool = self.pool.borrow();
        let mut waiters = self.write_waiters.borrow_mut();
        let written = batch.updates.iter().filter(|update| pool.is_written(update.id));
        written.for_each(|update| waiters.wake(update.id));
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
