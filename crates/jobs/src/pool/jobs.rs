//! Jobs that are accepted, taken back, and end.

use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Phase, TaskState, new_entry};
use super::{JobKey, Pool};
use crate::id::JobId;
use crate::job::{Job, Step, chain_ms};
use crate::record::{Progress, Record, State};
use crate::task;
use crate::work::Work;
use crate::worker::{self, Pending};

impl Pool {
    /// Takes in an accepted job, with what was written of it since. A job that
    /// is known already is left as it is.
    ///
    /// `revision` is the store's when the job was written; `age` is how long
    /// ago it was accepted.
    pub fn accept(
        &mut self,
        now: Time,
        age: Duration,
        id: JobId,
        record: &Record,
        progress: Option<&Progress>,
        revision: u64,
    ) {
        if self.by_job.contains_key(&id) {
            return;
        }
        let queue = self.queue(&record.queue);
        let mut entry = new_entry(id, &record.job, &record.queue, revision);
        let chain = chain_ms(&record.job.steps, |_, step| self.predict(&record.queue, step));
        entry.accepted = Time::from_millis(now.as_millis().saturating_sub(worker::millis(age)));
        let chain = Duration::from_millis(chain).mul_f64(queue.stretch.clamp(0.0, 100.0));
        entry.time_allowed = chain + queue.slack;
        entry.known_since = now;
        if entry.schedule.is_none() {
            entry.begin_due_occurrences(now, 0);
        }
        if let Some(progress) = progress {
            entry.restore(progress);
        }
        let is_final = entry.state.is_final();
        if !entry.long_running && entry.schedule.is_none() {
            let work = self.work(&record.queue, &record.job.steps);
            self.flow.note(entry.accepted, work);
        }
        if is_final {
            entry.ended = Some(now);
            entry.occurrences.clear();
        }
        let key = self.jobs.insert(entry);
        self.by_job.insert(id, key);
        if !is_final {
            self.complete_if_done(now, id, key);
        }
        self.adopt_orphans(now, id);
    }

    /// What the tasks of steps take, as far as that can be predicted.
    fn work(&self, queue: &str, steps: &[Step]) -> Work {
        let mut work = Work::default();
        for step in steps {
            let takes = Duration::from_millis(self.predict(queue, step));
            work.add(&Work::of(&step.room().times(step.count), takes));
        }
        work
    }

    /// Takes in that each job which was accepted before `at` has been told by
    /// [`Pool::accept`]: a reading of the store that was asked for at `at` was
    /// answered whole.
    ///
    /// Until then an end or a run of a job that isn't known waits: that the job
    /// wasn't heard of doesn't say that there is none. A worker that were let
    /// forget the end meanwhile would leave nobody who knows that the task is done,
    /// and it would run again once the store tells of its job.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// let asked = Time::from_millis(2_000);
    /// pool.set_jobs_known_until(asked);
    /// // An answer that was overtaken changes nothing.
    /// pool.set_jobs_known_until(Time::from_millis(1_000));
    /// assert!(!pool.may_lack_jobs(asked));
    /// assert!(pool.may_lack_jobs(asked + Duration::from_millis(1)));
    /// ```
    pub fn set_jobs_known_until(&mut self, at: Time) {
        self.jobs_known_until = self.jobs_known_until.max(at);
    }

    /// Whether a job that was accepted before `at` may not have been told yet.
    pub fn may_lack_jobs(&self, at: Time) -> bool {
        self.jobs_known_until < at
    }

    /// Takes in that a job ended under an owner before.
    pub fn accept_ended(&mut self, now: Time, id: JobId, progress: &Progress) {
        if self.by_job.contains_key(&id) {
            return;
        }
        let job = Job { spec: String::new(), steps: Vec::new(), schedule: None };
        let mut entry = new_entry(id, &job, &progress.queue, 0);
        entry.restore(progress);
        entry.ended = Some(now);
        let key = self.jobs.insert(entry);
        self.by_job.insert(id, key);
    }

    /// A job whose last end was written, but not that it is completed.
    fn complete_if_done(&mut self, now: Time, id: JobId, key: JobKey) {
        let Some(entry) = self.jobs.get(key) else { return };
        let is_done = entry.occurrences.values().all(|o| o.steps.iter().all(|s| s.unfinished == 0));
        if entry.begun_occurrences == entry.occurrence_count
            && is_done
            && entry.occurrence_count > 0
        {
            self.end_job(now, id, State::Completed);
        }
    }

    /// Takes a job back. Whether there is such a job.
    pub fn cancel(&mut self, now: Time, id: JobId) -> bool {
        let Some(entry) = self.entry(id) else { return false };
        if !entry.state.is_final() {
            self.end_job(now, id, State::Cancelled);
        }
        true
    }

    /// Whether all that is known of a job is written.
    pub fn is_written(&self, id: JobId) -> bool {
        self.entry(id).is_none_or(|entry| entry.written_version >= entry.version)
    }

    pub(super) fn end_job(&mut self, now: Time, id: JobId, state: State) {
        let Some(entry) = self.entry_mut(id) else { return };
        entry.state = state;
        entry.ended = Some(now);
        let why = format!("{state:?}");
        self.mark_dirty(now, id, true);
        let task = task::Name { job: id, occurrence: 0, step: 0, index: 0 };
        self.note("job ended", Some(task), None, why);
        self.stop_runs(now, id);
    }

    /// Asks for the stop of all that runs of a job.
    fn stop_runs(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.entry(id) else { return };
        for name in entry.placed_tasks() {
            self.request_stop(now, name);
        }
    }

    pub(super) fn request_stop(&mut self, now: Time, name: task::Name) {
        let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        if let TaskState::Placed(placement) = &mut task.state
            && !matches!(placement.phase, Phase::Stopping { .. })
        {
            placement.phase = Phase::Stopping { retry_at: now, confirmed: None };
        }
    }

    /// Notes that a job has something to write: at once for what callers wait
    /// for, else with what comes within [`super::batch::LINGER`].
    pub(super) fn mark_dirty(&mut self, now: Time, id: JobId, urgent: bool) -> u64 {
        let Some(entry) = self.entry_mut(id) else { return 0 };
        let is_clean = entry.version == entry.written_version;
        entry.version += 1;
        let version = entry.version;
        if urgent {
            self.dirty.retain(|(_, dirty)| *dirty != id);
            self.dirty.insert((Time::ZERO, id));
        } else if is_clean || !self.dirty.iter().any(|(_, dirty)| *dirty == id) {
            self.dirty.insert((now + super::batch::WRITE_DELAY, id));
        }
        version
    }

    /// Puts a task back that has no run any more.
    pub(super) fn requeue(&mut self, name: task::Name, not_before: Time) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        entry.set_task_state(name, TaskState::Waiting);
        if let Some(task) = entry.task_mut(name) {
            task.not_before = not_before;
        }
    }

    /// Takes in again the ends of a job that was not known when they came.
    fn adopt_orphans(&mut self, now: Time, id: JobId) {
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            let (mine, others) =
                std::mem::take(&mut worker.orphans).into_iter().partition(|e| e.task.job == id);
            worker.orphans = others;
            let mine: Vec<task::Exit> = mine;
            for ended in mine {
                self.handle_exit(now, key, &ended);
            }
        }
    }

    pub(super) fn set_pending(&mut self, key: worker::Key, number: u64, pending: Pending) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.pending.insert(number, pending);
        }
    }
}
