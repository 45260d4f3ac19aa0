//! Runs that ended, and which of that a worker may forget.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::TaskState;
use crate::record::State;
use crate::task::{self, Exit, Outcome};
use crate::worker::{self, Pending, Stray};

/// How long an end of an unknown job is kept at least, see [`Pool::may_lack_jobs`]
/// for how long besides. Ends are seldom of jobs that aren't known, and one that is
/// listed a few seconds longer costs nothing.
const ORPHAN_RETENTION: Duration = Duration::from_secs(4);
/// After how many failed runs in a row, of different jobs, a worker is avoided:
/// one that fails everything at once looks idle and would draw all work.
const MAX_FAILURES_IN_ROW: u32 = 3;
/// How long a worker is avoided that fails or stalls what it runs.
pub(super) const AVOID_TIME: Duration = Duration::from_secs(5);
/// The pause before a failed task is started anew.
const RETRY_DELAY: Duration = Duration::from_millis(50);
impl Pool {
    pub(super) fn handle_listed_exit(&mut self, now: Time, key: worker::Key, ended: &Exit) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if ended.number <= worker.last_exit {
            return;
        }
        worker.last_exit = ended.number;
        worker.strays.remove(&ended.task);
        self.handle_exit(now, key, ended);
    }

    /// Takes in that a run ended.
    pub(super) fn handle_exit(&mut self, now: Time, key: worker::Key, ended: &Exit) {
        let name = ended.task;
        if self.entry(name.job).is_none() {
            let Some(worker) = self.workers.get_mut(key) else { return };
            worker.orphans.push(ended.clone());
            worker.pending.insert(ended.number, Pending::Unknown { since: now });
            worker.release(name, ended.run);
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(name, ended.run);
            worker.pending.remove(&ended.number);
        }
        self.remove_crash(name, ended.run);
        let began = self.clear_placement(now, key, ended);
        match ended.outcome {
            Outcome::Done => self.task_done(now, key, ended, began),
            Outcome::Failed => self.task_failed(now, key, ended, began.is_some()),
            _ if began.is_some() => self.persist_saved(now, key, ended),
            _ => {}
        }
    }

    /// Frees the task if this was its current run, and tells since when that ran;
    /// keeps its progress.
    fn clear_placement(&mut self, now: Time, key: worker::Key, ended: &Exit) -> Option<Time> {
        let entry = self.entry_mut(ended.task.job)?;
        let task = entry.task_mut(ended.task)?;
        if !ended.saved.is_empty() {
            task.saved = Rc::from(ended.saved.as_str());
        }
        let TaskState::Placed(placement) = &task.state else { return None };
        if placement.worker != key || placement.run != ended.run {
            return None;
        }
        let since = placement.since;
        let why = format!("{:?} after {} ms", ended.outcome, worker::millis(now - placement.since));
        entry.set_task_state(ended.task, TaskState::Waiting);
        if let Some(task) = entry.task_mut(ended.task) {
            task.not_before = now;
        }
        self.note("task ended", Some(ended.task), Some(key), why);
        Some(since)
    }

    /// Has what a run saved written before its worker may forget it: the task goes on
    /// from there, and until it runs again nobody else has it.
    fn persist_saved(&mut self, now: Time, key: worker::Key, ended: &Exit) {
        let job = ended.task.job;
        let is_open = self.entry(job).is_some_and(|entry| !entry.state.is_final());
        if is_open && !ended.saved.is_empty() {
            let version = self.mark_dirty(now, job, false);
            self.set_pending(key, ended.number, Pending::Written { job, version });
        }
    }

    /// Learns how long a task took, unless it went on from saved progress.
    fn learn_duration(&mut self, now: Time, name: task::Name, began: Option<Time>) {
        let (Some(began), Some(entry)) = (began, self.entry(name.job)) else { return };
        let is_whole = entry.task(name).is_some_and(|task| task.saved.is_empty());
        let (queue, declared) =
            (entry.queue.clone(), entry.step(name).map_or(0, |step| step.estimate_ms));
        if is_whole && declared > 0 {
            let actual = worker::millis(now - began);
            self.estimates.entry(queue).or_default().learn(declared, actual);
        }
    }

    fn task_done(&mut self, now: Time, key: worker::Key, ended: &Exit, began: Option<Time>) {
        let name = ended.task;
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures_in_row = 0;
        }
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.long_running {
            return;
        }
        if entry.state.is_final() {
            return self.hold_until_written(key, ended);
        }
        self.learn_duration(now, name, began);
        let Some(entry) = self.entry_mut(name.job) else { return };
        let is_gang = entry.step(name).is_some_and(|step| step.gang);
        let members = if is_gang { entry.step(name).map_or(1, |step| step.count) } else { 1 };
        for member in 0..members {
            let index = if is_gang { member } else { name.index };
            self.mark_done(now, task::Name { index, ..name }, is_gang);
        }
        let Some(entry) = self.entry_mut(name.job) else { return };
        let is_all = entry.finish_occurrence(name.occurrence);
        let version = if is_all {
            self.end_job(now, name.job, State::Completed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            self.mark_dirty(now, name.job, false)
        };
        self.set_pending(key, ended.number, Pending::Written { job: name.job, version });
    }

    /// Notes a task as done. A run of it elsewhere goes on until it is stopped,
    /// and takes room until then: it is a stray from now on.
    fn mark_done(&mut self, now: Time, name: task::Name, is_member: bool) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        let placement = entry.placement(name).map(|placement| (placement.worker, placement.run));
        entry.set_task_state(name, TaskState::Done);
        // Members of a gang end by themselves, together.
        let Some((key, run)) = placement.filter(|_| !is_member) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let stray =
            Stray { run, since: now, stop_sent: None, is_room_known: true, is_job_over: true };
        worker.strays.insert(name, stray);
        self.note("task done elsewhere", Some(name), Some(key), format!("run {run} is stopped"));
    }

    fn task_failed(&mut self, now: Time, key: worker::Key, ended: &Exit, was_current: bool) {
        let name = ended.task;
        self.count_worker_failure(now, key, name);
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.long_running {
            if was_current {
                self.requeue(name, now + RETRY_DELAY);
            }
            return;
        }
        // A run of a task that is done elsewhere may fail before its stop arrives.
        // Counted, it would end a job as failed each task of which is done.
        let is_done = entry.task(name).is_some_and(|task| matches!(task.state, TaskState::Done));
        if entry.state.is_final() || is_done {
            return self.hold_until_written(key, ended);
        }
        let queue = entry.queue.clone();
        let attempts = self.queue(&queue).attempts.max(1);
        let Some(failed) = self.count_failure(name, ended.run) else { return };
        let version = if failed >= attempts {
            self.end_job(now, name.job, State::Failed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            if was_current {
                self.requeue(name, now + RETRY_DELAY);
            }
            self.mark_dirty(now, name.job, false)
        };
        self.set_pending(key, ended.number, Pending::Written { job: name.job, version });
    }

    /// Keeps an end that changes nothing until what it came after is written: that
    /// its job is over, or its task done.
    ///
    /// Until then a successor finds the job under way and nothing of this end. Were
    /// the worker let forget it, the successor would start a task again that is done.
    fn hold_until_written(&mut self, key: worker::Key, ended: &Exit) {
        let job = ended.task.job;
        let Some(entry) = self.entry(job) else { return };
        if entry.written_version < entry.version {
            let version = entry.version;
            self.set_pending(key, ended.number, Pending::Written { job, version });
        }
    }

    /// Counts a failed run once, however often its end is listed; a gang's run
    /// once, whoever of it failed. The runs of a gang are kept at its first
    /// member.
    fn count_failure(&mut self, name: task::Name, run: u64) -> Option<u32> {
        let entry = self.entry_mut(name.job)?;
        let index = if entry.step(name)?.gang { 0 } else { name.index };
        let task = entry.task_mut(task::Name { index, ..name })?;
        if !task.failed.contains(&run) {
            task.failed.push(run);
        }
        u32::try_from(task.failed.len()).ok()
    }

    /// Counts failures of different jobs in a row against the worker: one
    /// hopeless job must not condemn the workers that it failed on.
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

    /// Gives up ends of jobs that are certainly not there.
    pub(super) fn expire_orphans(&mut self, now: Time, key: worker::Key) {
        let known = self.jobs_known_until;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_over = |pending: &Pending| match pending {
            Pending::Unknown { since } => known >= *since && now >= *since + ORPHAN_RETENTION,
            Pending::Written { .. } => false,
        };
        let over: Vec<u64> =
            worker.pending.iter().filter(|(_, p)| is_over(p)).map(|(n, _)| *n).collect();
        for number in over {
            worker.pending.remove(&number);
            worker.orphans.retain(|ended| ended.number != number);
        }
    }

    /// Lets the worker forget ends up to the first that isn't written.
    pub(super) fn advance_ack(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else { return };
        let is_open = |pending: &Pending| match pending {
            Pending::Written { job, version } => {
                self.entry(*job).is_some_and(|entry| entry.written_version < *version)
            }
            Pending::Unknown { .. } => true,
        };
        let first_open = worker.pending.iter().find(|(_, p)| is_open(p)).map(|(n, _)| *n);
        let acked = first_open.map_or(worker.last_exit, |number| number - 1);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.acked = worker.acked.max(acked);
            worker.pending.retain(|number, _| *number > acked);
        }
    }
}
