//! Acceptance, cancellation and end of jobs.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Phase, TaskState, new_entry};
use super::hold::Hold;
use super::{JobKey, Pool};
use crate::id::JobId;
use crate::job::{Job, Step, chain_ms};
use crate::record::{Progress, Record, State};
use crate::task;
use crate::work::Work;
use crate::worker::{self, Pending, Worker};

impl Pool {
    /// Adds an accepted job with its written progress, if any. Does nothing if the job is
    /// already known.
    ///
    /// `revision` is the store's revision at which the job was written; `age` is how long ago
    /// it was accepted.
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
        entry.accepted_attempts = record.attempts;
        entry.organisation_name = record.organisation.as_deref().map(Rc::from);
        entry.organisation = record.organisation.as_deref().map(|name| self.accounts.key(name));
        let chain = chain_ms(&record.job.steps, |_, step| self.predict(&record.queue, step));
        entry.accepted = Time::from_millis(now.as_millis().saturating_sub(worker::millis(age)));
        let chain = Duration::from_millis(chain);
        entry.time_allowed = chain.mul_f64(queue.stretch.clamp(0.0, 100.0)) + queue.slack;
        self.note_pressure_job(&entry, chain);
        entry.known_since = now;
        if entry.schedule.is_none() {
            entry.begin_due_occurrences(now, 0);
        }
        if let Some(progress) = progress {
            entry.restore(progress);
            self.inherited_starts.extend(entry.tasks_with_inherited_starts());
        }
        let is_final = entry.state.is_final();
        if !entry.long_running && entry.schedule.is_none() {
            let work = self.work(&record.queue, &record.job.steps);
            self.flow.record(entry.accepted, work);
            self.backlog.record(&record.queue, &work);
        }
        if is_final {
            entry.ended = Some(now);
            entry.occurrences.clear();
        }
        let key = self.insert_job(entry);
        if !is_final {
            self.meter_accepted(key);
            self.complete_if_done(now, id, key);
        }
        self.adopt_orphans(now, id);
    }

    /// Returns the predicted work of the tasks of some steps.
    pub(super) fn work(&self, queue: &str, steps: &[Step]) -> Work {
        let mut work = Work::default();
        for step in steps {
            let duration = Duration::from_millis(self.predict(queue, step));
            work.add(&Work::of(&step.room().times(step.count), duration));
        }
        work
    }

    /// Records that every job accepted before `at` has been passed to [`Pool::accept`], because a
    /// complete read of the store that was requested at `at` has been processed.
    ///
    /// Until then, exits and runs of unknown jobs are kept: the job may exist although it isn't
    /// known here. If the worker were allowed to forget an exit meanwhile, nothing would record
    /// that the task is done, and it would run again once its job becomes known.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// let requested_at = Time::from_millis(2_000);
    /// pool.set_jobs_known_until(requested_at);
    /// // An earlier read that is processed late changes nothing.
    /// pool.set_jobs_known_until(Time::from_millis(1_000));
    /// assert!(!pool.may_lack_jobs(requested_at));
    /// assert!(pool.may_lack_jobs(requested_at + Duration::from_millis(1)));
    /// ```
    pub fn set_jobs_known_until(&mut self, at: Time) {
        self.jobs_known_until = self.jobs_known_until.max(at);
    }

    /// Returns whether a job accepted before `at` may still be unknown.
    pub fn may_lack_jobs(&self, at: Time) -> bool {
        self.jobs_known_until < at
    }

    /// Adds a job that ended under a previous owner.
    pub fn accept_ended(&mut self, now: Time, id: JobId, progress: &Progress) {
        if self.by_job.contains_key(&id) {
            return;
        }
        let job = Job { spec: String::new(), steps: Vec::new(), schedule: None };
        let mut entry = new_entry(id, &job, &progress.queue, 0);
        entry.organisation_name = progress.organisation.as_deref().map(Rc::from);
        if self.config.contention.meter {
            let name = progress.organisation.as_deref();
            entry.organisation = name.map(|name| self.accounts.key(name));
        }
        entry.restore(progress);
        entry.ended = Some(now);
        self.insert_job(entry);
    }

    fn insert_job(&mut self, entry: Entry) -> JobKey {
        let (id, ended) = (entry.id, entry.ended);
        for step in entry.steps.iter() {
            step.label.iter().chain(&step.preferred_rack).for_each(|text| {
                self.symbols.intern(text);
            });
        }
        let key = self.jobs.insert(entry);
        self.by_job.insert(id, key);
        match ended {
            Some(at) => drop(self.ended.insert((at, id))),
            None => self.activate(key),
        }
        self.mark_changed(key);
        key
    }

    pub(super) fn remove_job(&mut self, id: JobId) {
        let Some(key) = self.by_job.remove(&id) else { return };
        self.remove_rank(key);
        self.deactivate(key);
        self.unplaced.remove(&key);
        let Some(entry) = self.jobs.remove(key) else { return };
        self.agenda.remove(key, &entry);
        if let Some(at) = entry.ended {
            self.ended.remove(&(at, id));
        }
    }

    /// Completes a job whose last exit was written, but not that the job is completed.
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

    /// Cancels a job. Returns whether it is known.
    pub fn cancel(&mut self, now: Time, id: JobId) -> bool {
        let Some(entry) = self.entry(id) else { return false };
        if !entry.state.is_final() {
            self.end_job(now, id, State::Cancelled);
        }
        true
    }

    /// Returns whether all changes of a job are written.
    pub fn is_written(&self, id: JobId) -> bool {
        self.entry(id).is_none_or(|entry| entry.written_version >= entry.version)
    }

    pub(super) fn end_job(&mut self, now: Time, id: JobId, state: State) {
        let Some(key) = self.by_job.get(&id).copied() else { return };
        self.remove_rank(key);
        self.deactivate(key);
        let Some(entry) = self.entry_mut(id) else { return };
        entry.state = state;
        if let Some(before) = entry.ended.replace(now) {
            self.ended.remove(&(before, id));
        }
        self.ended.insert((now, id));
        let why = format!("{state:?}");
        self.mark_dirty(now, id, true);
        let task = task::Name { job: id, occurrence: 0, step: 0, index: 0 };
        self.note("job ended", Some(task), None, why);
        self.count_end(id, state);
        self.stop_runs(now, id);
    }

    /// Requests the stop of all runs of a job.
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

    /// Marks a job as changed and returns its new version. The write is due at once if
    /// `urgent`, which is for changes that callers wait for, else within
    /// [`super::batch::WRITE_DELAY`].
    pub(super) fn mark_dirty(&mut self, now: Time, id: JobId, urgent: bool) -> u64 {
        let Some(entry) = self.entry_mut(id) else { return 0 };
        entry.version += 1;
        let version = entry.version;
        // Writing it would hide which tasks were done before.
        if entry.hold == Some(Hold::Progress) {
            return version;
        }
        let due = if urgent { Time::ZERO } else { now + super::batch::WRITE_DELAY };
        let before = entry.write_due;
        if before.is_none_or(|before| due < before) {
            entry.write_due = Some(due);
            // The answer to the write under way adds it to those that are due.
            if entry.is_being_written {
                return version;
            }
            if let Some(before) = before {
                self.dirty.remove(&(before, id));
            }
            self.dirty.insert((due, id));
        }
        version
    }

    /// Delays the next start of a task that waits.
    pub(super) fn delay_start(&mut self, name: task::Name, not_before: Time) {
        let task = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name));
        if let Some(task) = task {
            task.not_before = task.not_before.max(not_before);
        }
    }

    /// Handles the exits of a job that arrived before the job was known.
    fn adopt_orphans(&mut self, now: Time, id: JobId) {
        let has_orphans = |(_, worker): &(worker::Key, &Worker)| !worker.orphans.is_empty();
        let keys: Vec<worker::Key> =
            self.workers.iter().filter(has_orphans).map(|(key, _)| key).collect();
        for key in keys {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            let (own, others) = std::mem::take(&mut worker.orphans)
                .into_iter()
                .partition(|exit| exit.task.job == id);
            worker.orphans = others;
            let own: Vec<task::Exit> = own;
            for exit in own {
                self.handle_exit(now, key, &exit);
            }
        }
    }

    pub(super) fn set_pending(&mut self, key: worker::Key, number: u64, pending: Pending) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.pending.insert(number, pending);
        }
    }
}
