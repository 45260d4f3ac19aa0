//! Runs that a worker lists, and runs that it no longer lists.

use corianderfork_model::Time;

use super::Pool;
use super::copies::Copies;
use super::entry::{Entry, Phase, Placement, TaskState};
use super::poll::Report;
use super::proof::Proof;
use crate::record::State;
use crate::task::{self, Run};
use crate::worker::{self, Allocation, Stray};

impl Pool {
    /// Handles a run that a worker lists.
    pub(super) fn handle_running(&mut self, now: Time, key: worker::Key, running: &Run) {
        let name = running.task;
        let Some(entry) = self.entry_mut_unmarked(name.job) else {
            return self.track_stray(now, key, running);
        };
        entry.begin_known_occurrence(name.occurrence);
        let is_final = entry.state.is_final();
        let Some(task) = entry.task_mut(name) else {
            return self.track_stray(now, key, running);
        };
        match &mut task.state {
            TaskState::Placed(placement)
                if placement.worker == key && placement.run == running.run =>
            {
                let is_changed = placement.update(now, running);
                if task.take_saved(running.run, &running.saved)
                    && let TaskState::Placed(placement) = &mut task.state
                {
                    placement.saved_at = now;
                }
                if entry.state == State::Queued {
                    entry.state = State::Running;
                }
                // Further progress only puts off when the run counts as stalled.
                if is_changed {
                    self.entry_mut(name.job);
                }
            }
            TaskState::Waiting if !is_final => self.adopt(now, key, running),
            _ => self.track_stray(now, key, running),
        }
    }

    /// Adopts a run that a predecessor started.
    fn adopt(&mut self, now: Time, key: worker::Key, running: &Run) {
        let name = running.task;
        self.remove_crash(name, running.run);
        let Some(entry) = self.entry_mut(name.job) else { return };
        let Some(step) = entry.step(name).cloned() else { return };
        let organisation = entry.organisation;
        let mut placement =
            Placement::new(key, running.run, now, Phase::Running { confirmed: now });
        placement.update(now, running);
        entry.set_task_state(name, TaskState::Placed(placement));
        if entry.state == State::Queued {
            entry.state = State::Running;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.strays.remove(&name);
            worker.allocate(name, Allocation::new(running.run, &step, organisation));
        }
        self.track_suspect(now, name, key, running.run);
        self.note("task adopted", Some(name), Some(key), format!("run {}", running.run));
    }

    /// Tracks a run that this owner didn't order: its job has ended or isn't known yet. The run
    /// occupies room nevertheless.
    fn track_stray(&mut self, now: Time, key: worker::Key, running: &Run) {
        let entry = self.entry(running.task.job);
        let step = entry.and_then(|entry| entry.step(running.task)).cloned();
        let organisation = entry.and_then(|entry| entry.organisation);
        let is_job_over = self.entry(running.task.job).is_some_and(|entry| entry.state.is_final());
        let Some(worker) = self.workers.get_mut(key) else { return };
        let new = Stray {
            run: running.run,
            since: now,
            stop_sent: None,
            is_room_known: step.is_some(),
            is_job_over,
            is_start_pending: false,
            stop_confirmed: None,
        };
        let stray = worker.strays.entry(running.task).or_insert(new);
        if stray.run != running.run {
            *stray = new;
        }
        stray.is_job_over |= is_job_over;
        let is_allocated = worker
            .allocations
            .get(&running.task)
            .is_some_and(|allocation| allocation.run == running.run);
        if !is_allocated {
            let step = step.unwrap_or_default();
            let allocation = Allocation::new(running.run, &step, organisation);
            worker.allocate(running.task, allocation);
        }
    }

    /// Releases the runs that the worker lists neither as running nor as ended, although they
    /// were confirmed before the poll was sent: the worker has forgotten their end, or their
    /// job has ended.
    pub(super) fn release_unlisted(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        report: &Report,
    ) {
        let Some(worker) = self.workers.get(key) else { return };
        let is_pending = |name: &task::Name, run: u64| {
            let stray = worker.strays.get(name).filter(|stray| stray.run == run);
            stray.is_some_and(|stray| {
                stray.is_start_pending && stray.stop_confirmed.is_none_or(|at| at >= sent)
            })
        };
        let mut listed: Vec<_> = report.running.iter().map(|r| (r.task, r.run)).collect();
        listed.sort_unstable();
        let is_listed = |name: &task::Name, run: u64| listed.binary_search(&(*name, run)).is_ok();
        let unlisted: Vec<(task::Name, Allocation)> = worker
            .allocations
            .iter()
            .filter(|(name, allocation)| !is_listed(name, allocation.run))
            .filter(|(name, allocation)| !is_pending(name, allocation.run))
            .map(|(name, allocation)| (*name, *allocation))
            .collect();
        for (name, allocation) in unlisted {
            self.release_if_ended(now, sent, key, name, allocation.run);
        }
    }

    fn release_if_ended(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        name: task::Name,
        run: u64,
    ) {
        let placement = self.entry(name.job).and_then(|entry| entry.placement(name));
        let current = placement.filter(|placement| placement.worker == key && placement.run == run);
        let phase = current.map(|placement| placement.phase);
        let has_ended = match phase {
            Some(Phase::Starting { .. }) => false,
            Some(Phase::Running { confirmed }) => confirmed < sent,
            Some(Phase::Stopping { confirmed, .. }) => confirmed.is_some_and(|at| at < sent),
            // A report that was requested before the run became a stray may be older than its start.
            None => self.stray(key, name, run).is_none_or(|stray| stray.since < sent),
        };
        let is_stopped = matches!(phase, Some(Phase::Stopping { .. }));
        let proof = if is_stopped { Proof::Stopped } else { Proof::Unlisted };
        if !has_ended || phase.is_some() && !self.may_conclude(now, key, proof) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(name, run);
            worker.strays.remove(&name);
        }
        if phase.is_some() {
            let why = self.workers.get(key).map_or_else(String::new, |worker| {
                format!(
                    "run {run} is not listed; exits handled up to {}, acknowledged up to {}",
                    worker.last_exit, worker.acked
                )
            });
            self.end_run(now, key, name, proof, now);
            self.note("task vanished", Some(name), Some(key), why);
        }
    }
}

impl Entry {
    pub(super) fn placement(&self, name: task::Name) -> Option<&Placement> {
        match &self.task(name)?.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    pub(super) fn placement_mut(&mut self, name: task::Name) -> Option<&mut Placement> {
        match &mut self.task_mut(name)?.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

impl Placement {
    pub(super) fn new(worker: worker::Key, run: u64, now: Time, phase: Phase) -> Self {
        Self {
            worker,
            run,
            since: now,
            phase,
            copies: Copies::default(),
            percent: 0,
            progressed: now,
            saved_at: now,
            pace: 100,
            pace_sent: Time::ZERO,
            gauge: 0,
        }
    }

    /// Returns whether a copy of the start may still be carried out.
    pub(super) fn may_start_late(&self) -> bool {
        self.copies.may_arrive() || matches!(self.phase, Phase::Starting { .. })
    }

    /// Updates the progress. Returns whether anything else changed: the run is confirmed, or has
    /// fallen back.
    fn update(&mut self, now: Time, running: &Run) -> bool {
        let is_unconfirmed = matches!(self.phase, Phase::Starting { .. });
        if is_unconfirmed {
            self.phase = Phase::Running { confirmed: now };
        }
        let has_fallen_back = running.percent < self.percent;
        if running.percent != self.percent {
            self.percent = running.percent;
            self.progressed = now;
        }
        self.gauge = running.gauge;
        is_unconfirmed || has_fallen_back
    }
}
