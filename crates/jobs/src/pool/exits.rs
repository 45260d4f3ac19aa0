//! Runs that have ended, and which of their exits a worker may forget.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Phase, TaskState};
use super::proof::Proof;
use crate::record::State;
use crate::task::{self, Exit, Outcome};
use crate::worker::{self, Pending, Stray};

/// Minimum time that an exit of an unknown job is kept; see [`Pool::may_lack_jobs`] for the
/// other condition. Exits of unknown jobs are rare, and listing one for a few seconds longer
/// costs nothing.
const ORPHAN_RETENTION: Duration = Duration::from_secs(4);
/// Number of consecutive failed runs, of different jobs, after which a worker is avoided. A
/// worker that fails every run at once looks idle and would attract all work.
const MAX_FAILURES_IN_ROW: u32 = 3;
/// How long a worker is avoided that fails or stalls its runs.
pub(super) const AVOID_TIME: Duration = Duration::from_secs(5);
/// Delay until a failed task is started again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Pool {
    /// Handles an exit that a worker lists, unless it was handled before.
    pub(super) fn handle_listed_exit(&mut self, now: Time, key: worker::Key, exit: &Exit) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if exit.number <= worker.last_exit {
            return;
        }
        worker.last_exit = exit.number;
        if worker.strays.get(&exit.task).is_some_and(|stray| stray.run == exit.run) {
            worker.strays.remove(&exit.task);
        }
        self.handle_exit(now, key, exit);
    }

    pub(super) fn handle_exit(&mut self, now: Time, key: worker::Key, exit: &Exit) {
        let name = exit.task;
        if self.entry(name.job).is_none() {
            let Some(worker) = self.workers.get_mut(key) else { return };
            worker.orphans.push(exit.clone());
            worker.pending.insert(exit.number, Pending::Unknown { since: now });
            worker.release(name, exit.run);
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(name, exit.run);
            worker.pending.remove(&exit.number);
        }
        self.remove_crash(name, exit.run);
        let is_stop_ordered = self.is_stop_ordered(key, exit);
        let placed_at = self.clear_placement(now, key, exit);
        match exit.outcome {
            Outcome::Done => self.task_done(now, key, exit, placed_at),
            Outcome::Failed => self.task_failed(now, key, exit, placed_at.is_some()),
            _ => {
                self.note_stopped(exit, is_stop_ordered);
                self.persist_saved(now, key, exit);
            }
        }
    }

    /// Stores the saved progress of a run. If the run is the current one of its task, returns
    /// the task to the waiting state and returns when the run was placed.
    fn clear_placement(&mut self, now: Time, key: worker::Key, exit: &Exit) -> Option<Time> {
        self.note_proven(now, exit.task);
        let entry = self.entry_mut(exit.task.job)?;
        entry.begin_known_occurrence(exit.task.occurrence);
        let task = entry.task_mut(exit.task)?;
        task.take_saved(exit.run, &exit.saved);
        let TaskState::Placed(placement) = &task.state else { return None };
        if placement.worker != key || placement.run != exit.run {
            return None;
        }
        let placed_at = placement.since;
        let why = format!("{:?} after {} ms", exit.outcome, worker::millis(now - placement.since));
        self.end_run(now, key, exit.task, Proof::Exit(exit.outcome), now);
        if let Some(task) =
            self.entry_mut(exit.task.job).and_then(|entry| entry.task_mut(exit.task))
        {
            task.not_before = now;
        }
        self.note("task ended", Some(exit.task), Some(key), why);
        Some(placed_at)
    }

    /// Returns whether this owner ordered the stop of a run.
    fn is_stop_ordered(&self, key: worker::Key, exit: &Exit) -> bool {
        let placement = self.entry(exit.task.job).and_then(|entry| entry.placement(exit.task));
        placement.is_some_and(|placement| {
            placement.worker == key
                && placement.run == exit.run
                && matches!(placement.phase, Phase::Stopping { .. })
        })
    }

    /// Counts the stop of a run that a predecessor may have ordered, whatever its reason: the
    /// predecessor may have been replaced before it wrote the count. The run may have been listed,
    /// and adopted, while it saved its progress.
    fn note_stopped(&mut self, exit: &Exit, is_stop_ordered: bool) {
        if is_stop_ordered
            || exit.outcome != Outcome::Stopped
            || !self.config.contention.stops_tasks()
        {
            return;
        }
        if let Some(entry) = self.entry_mut(exit.task.job)
            && let Some(task) = entry.task_mut(exit.task)
            && matches!(task.state, TaskState::Waiting)
            && !task.stopped.contains(&exit.run)
        {
            task.stopped.push(exit.run);
        }
    }

    /// Requires the saved progress of a run to be written before its worker may forget the
    /// exit. The task resumes from it, and until it runs again no other process has it.
    ///
    /// This also holds for a run that a predecessor stopped and whose task runs elsewhere by now:
    /// the predecessor may not have written the progress, and the other worker may crash.
    fn persist_saved(&mut self, now: Time, key: worker::Key, exit: &Exit) {
        let job = exit.task.job;
        let Some(entry) = self.entry_mut(job).filter(|_| !exit.saved.is_empty()) else { return };
        if entry.state.is_final() {
            // A successor that finds the job running resumes the task.
            return self.hold_until_written(key, exit);
        }
        let Some(task) = entry.task_mut(exit.task) else { return };
        if matches!(task.state, TaskState::Done) {
            return;
        }
        task.has_resumed = true;
        let version = self.mark_dirty(now, job, false);
        self.set_pending(key, exit.number, Pending::Written { job, version });
    }

    /// Updates the duration estimates, unless the run resumed from saved progress.
    fn learn_duration(&mut self, now: Time, name: task::Name, placed_at: Option<Time>) {
        let (Some(placed_at), Some(entry)) = (placed_at, self.entry(name.job)) else { return };
        let ran_from_start = entry.task(name).is_some_and(|task| task.saved.is_empty());
        let (queue, declared) =
            (entry.queue.clone(), entry.step(name).map_or(0, |step| step.estimate_ms));
        if ran_from_start && declared > 0 {
            let actual = worker::millis(now - placed_at);
            self.estimates.entry(queue).or_default().learn(declared, actual);
        }
    }

    fn task_done(&mut self, now: Time, key: worker::Key, exit: &Exit, placed_at: Option<Time>) {
        let name = exit.task;
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures_in_row = 0;
        }
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.is_long_running(name) {
            return;
        }
        if entry.state.is_final() {
            return self.hold_until_written(key, exit);
        }
        self.learn_duration(now, name, placed_at);
        let Some(entry) = self.entry_mut(name.job) else { return };
        let is_gang = entry.step(name).is_some_and(|step| step.gang);
        let members = if is_gang { entry.step(name).map_or(1, |step| step.count) } else { 1 };
        for member in 0..members {
            let index = if is_gang { member } else { name.index };
            self.mark_done(now, task::Name { index, ..name }, is_gang);
        }
        let outcome = self.outcome_now(now, name);
        let Some(entry) = self.entry_mut(name.job) else { return };
        let finished_before = entry.finished_occurrences;
        let is_job_done = entry.finish_occurrence(name.occurrence);
        let is_finished = entry.finished_occurrences > finished_before;
        if let Some(outcome) = outcome.filter(|_| is_finished) {
            self.count(name.job, outcome);
        }
        let version = if is_job_done {
            self.end_job(now, name.job, State::Completed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            self.mark_dirty(now, name.job, false)
        };
        self.set_pending(key, exit.number, Pending::Written { job: name.job, version });
    }

    /// Marks a task as done. A run of it on another worker continues until it is stopped and
    /// occupies room until then, so it becomes a stray.
    fn mark_done(&mut self, now: Time, name: task::Name, is_member: bool) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        let placement = entry
            .placement(name)
            .map(|placement| (placement.worker, placement.run, placement.may_start_late()));
        entry.set_task_state(name, TaskState::Done);
        // The members of a gang end by themselves, together.
        let Some((key, run, is_start_pending)) = placement.filter(|_| !is_member) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let stray = Stray {
            run,
            since: now,
            stop_sent: None,
            is_room_known: true,
            is_job_over: true,
            is_start_pending,
            stop_confirmed: None,
        };
        worker.strays.insert(name, stray);
        self.note(
            "task done elsewhere",
            Some(name),
            Some(key),
            format!("run {run} is being stopped"),
        );
    }

    fn task_failed(&mut self, now: Time, key: worker::Key, exit: &Exit, was_current: bool) {
        let name = exit.task;
        self.count_worker_failure(now, key, name);
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.is_long_running(name) {
            if was_current {
                self.delay_start(name, now + RETRY_DELAY);
            }
            return;
        }
        // A run of a task that is done elsewhere may fail before it is stopped. If that
        // counted, a job whose tasks are all done could end as failed.
        let is_done = entry.task(name).is_some_and(|task| matches!(task.state, TaskState::Done));
        if entry.state.is_final() || is_done {
            return self.hold_until_written(key, exit);
        }
        let Some(failed) = self.count_failure(name, exit.run) else { return };
        let attempts = self.entry(name.job).and_then(|entry| self.attempts(entry));
        if attempts.is_none() {
            let why = format!("run {} has failed, and the queue isn't configured", exit.run);
            self.note("task held", Some(name), Some(key), why);
        }
        let version = if attempts.is_some_and(|attempts| failed >= attempts) {
            self.end_job(now, name.job, State::Failed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            if was_current {
                self.delay_start(name, now + RETRY_DELAY);
            }
            self.mark_dirty(now, name.job, false)
        };
        self.set_pending(key, exit.number, Pending::Written { job: name.job, version });
    }

    /// Keeps an exit without effect until the change that made it irrelevant is written: the
    /// end of its job, or the completion of its task.
    ///
    /// Until then a successor finds the job running and no record of this exit. If the worker
    /// were allowed to forget it, the successor would start a finished task again.
    fn hold_until_written(&mut self, key: worker::Key, exit: &Exit) {
        let job = exit.task.job;
        let Some(entry) = self.entry(job) else { return };
        if entry.written_version < entry.version {
            let version = entry.version;
            self.set_pending(key, exit.number, Pending::Written { job, version });
        }
    }

    /// Counts a failed run once, however often its exit is listed, and returns the number of
    /// failed runs of the task. A run of a gang counts once, whichever member failed; it is
    /// counted at the first member.
    fn count_failure(&mut self, name: task::Name, run: u64) -> Option<u32> {
        let entry = self.entry_mut(name.job)?;
        let index = if entry.step(name)?.gang { 0 } else { name.index };
        let task = entry.task_mut(task::Name { index, ..name })?;
        if !task.failed.contains(&run) {
            task.failed.push(run);
        }
        u32::try_from(task.failed.len()).ok()
    }

    /// Counts consecutive failures of different jobs on a worker. A single failing job must not
    /// cause the workers that it fails on to be avoided.
    fn count_worker_failure(&mut self, now: Time, key: worker::Key, name: task::Name) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.last_failed_job == Some(name.job) {
            return;
        }
        worker.last_failed_job = Some(name.job);
        worker.failures_in_row += 1;
        if worker.failures_in_row >= MAX_FAILURES_IN_ROW && now >= worker.avoid_until {
            worker.avoid_until = now + AVOID_TIME;
            worker.failures_in_row = MAX_FAILURES_IN_ROW - 1;
            let why = format!("{MAX_FAILURES_IN_ROW} runs of different jobs failed in a row");
            self.note("worker avoided", Some(name), Some(key), why);
        }
    }

    /// Drops the exits of jobs that certainly don't exist.
    pub(super) fn expire_orphans(&mut self, now: Time, key: worker::Key) {
        let known_until = self.jobs_known_until;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_expired = |pending: &Pending| match pending {
            Pending::Unknown { since } => known_until >= *since && now >= *since + ORPHAN_RETENTION,
            Pending::Written { .. } => false,
        };
        let expired: Vec<u64> =
            worker.pending.iter().filter(|(_, p)| is_expired(p)).map(|(n, _)| *n).collect();
        for number in expired {
            worker.pending.remove(&number);
            worker.orphans.retain(|exit| exit.number != number);
        }
    }

    /// Lets the worker forget all exits before the first one that has to be kept.
    pub(super) fn advance_ack(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else { return };
        let must_keep = |pending: &Pending| match pending {
            Pending::Written { job, version } => {
                self.entry(*job).is_some_and(|entry| entry.written_version < *version)
            }
            Pending::Unknown { .. } => true,
        };
        let first_kept = worker.pending.iter().find(|(_, p)| must_keep(p)).map(|(n, _)| *n);
        let acked = first_kept.map_or(worker.last_exit, |number| number - 1);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.acked = worker.acked.max(acked);
            worker.pending.retain(|number, _| *number > acked);
        }
    }
}
