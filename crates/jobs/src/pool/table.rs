//! Jobs and the states of their tasks.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::{JobKey, Pool};
use crate::id::JobId;
use crate::job::{Job, Room, Step, chain_ms};
use crate::record::{Progress, Record, State};
use crate::task;
use crate::worker::{self, Pending};

/// How long a task waits before its pool asks for one more worker for it. A task
/// that fits somewhere is placed within milliseconds.
const UNFIT: Duration = Duration::from_millis(500);
/// Bits of one word of the tasks done.
const WORD: u32 = 64;

/// A job of the pool.
#[derive(Debug)]
pub(super) struct Entry {
    pub id: JobId,
    pub queue: String,
    pub spec: Rc<str>,
    pub steps: Rc<[Step]>,
    pub schedule: Option<crate::job::Schedule>,
    pub times: u32,
    pub lasts: bool,
    pub state: State,
    /// The store's revision at which it was accepted.
    pub revision: u64,
    /// When it was accepted.
    pub accepted: Time,
    /// When it is no longer in time.
    pub due: Time,
    /// When this owner heard of it.
    pub begun_at: Time,
    pub ended: Option<Time>,
    pub ended_ms: u64,
    /// Occurrences that have begun and aren't all done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences below this have begun.
    pub begun: u32,
    pub finished: u32,
    /// Grows with each change that has to be written.
    pub version: u64,
    pub written: u64,
}

/// One time that the steps run.
#[derive(Debug)]
pub(super) struct Occurrence {
    pub steps: Vec<StepState>,
}

#[derive(Debug)]
pub(super) struct StepState {
    pub tasks: Vec<Task>,
    /// Tasks that aren't done.
    pub left: u32,
    /// Tasks that wait to be started.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub at: At,
    /// Runs that failed; those of a gang at its first member.
    pub failed: Vec<u64>,
    pub saved: Rc<str>,
    /// Not to be started before.
    pub not_before: Time,
}

/// Where a task is.
#[derive(Clone, Debug)]
pub(super) enum At {
    Waiting,
    On(Place),
    Done,
}

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub worker: worker::Key,
    pub run: u64,
    pub since: Time,
    pub phase: Phase,
    /// Whether a start of it got no answer.
    pub lost: bool,
    pub percent: u32,
    /// When the percentage last grew.
    pub moved: Time,
    /// The share that a filling task is let work at.
    pub pace: u32,
    pub pace_asked: Time,
    pub gauge: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; not known to run. Asked again from `again`.
    Starting { again: Time },
    /// Confirmed by an answer, or listed.
    Running { confirmed: Time },
    /// To be stopped; asked again from `again`.
    Stopping { again: Time, confirmed: Option<Time> },
}

impl Occurrence {
    fn new(steps: &[Step]) -> Self {
        let fresh = Task {
            at: At::Waiting,
            failed: Vec::new(),
            saved: Rc::from(""),
            not_before: Time::ZERO,
        };
        let state = |step: &Step| StepState {
            tasks: vec![fresh.clone(); step.count as usize],
            left: step.count,
            waiting: step.count,
        };
        Self { steps: steps.iter().map(state).collect() }
    }

    /// Whether all tasks of the steps that `step` runs after are done.
    pub fn is_ready(&self, step: &Step) -> bool {
        let is_done = |after: &u32| self.steps.get(*after as usize).is_some_and(|s| s.left == 0);
        step.after.iter().all(is_done)
    }
}

impl Entry {
    pub fn task(&self, name: task::Name) -> Option<&Task> {
        let occurrence = self.occurrences.get(&name.occurrence)?;
        occurrence.steps.get(name.step as usize)?.tasks.get(name.index as usize)
    }

    pub fn task_mut(&mut self, name: task::Name) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(&name.occurrence)?;
        occurrence.steps.get_mut(name.step as usize)?.tasks.get_mut(name.index as usize)
    }

    pub fn step(&self, name: task::Name) -> Option<&Step> {
        self.steps.get(name.step as usize)
    }

    fn step_state(&mut self, name: task::Name) -> Option<&mut StepState> {
        self.occurrences.get_mut(&name.occurrence)?.steps.get_mut(name.step as usize)
    }

    /// Moves a task, keeping the counts of its step.
    pub fn put(&mut self, name: task::Name, at: At) {
        let Some(step) = self.step_state(name) else { return };
        let Some(task) = step.tasks.get_mut(name.index as usize) else { return };
        match (&task.at, &at) {
            (At::Done, _) => return,
            (At::Waiting, At::Waiting) | (At::On(_), At::On(_)) => {}
            (At::Waiting, _) => step.waiting -= 1,
            (At::On(_), At::Waiting) => step.waiting += 1,
            (At::On(_), At::Done) => {}
        }
        if matches!(at, At::Done) {
            step.left -= 1;
        }
        task.at = at;
    }

    /// Adds what its tasks wait for now, and what the widest step to come will
    /// want.
    pub fn add_demand(&self, waiting: &mut Room, later: &mut Room) {
        for occurrence in self.occurrences.values() {
            let mut widest = Room::default();
            for (step, state) in self.steps.iter().zip(&occurrence.steps) {
                let wanted = step.room().times(state.waiting);
                if occurrence.is_ready(step) {
                    waiting.add(&wanted);
                } else if wanted.cpu > widest.cpu {
                    widest = wanted;
                }
            }
            later.add(&widest);
        }
    }

    /// When nothing is earned by it any more: after three times the time within
    /// which it is in time.
    pub fn over(&self) -> Time {
        self.due + (self.due - self.accepted) * 2
    }

    /// Lasting tasks that have waited for longer than it takes to place one.
    pub fn unfit(&self, now: Time) -> u32 {
        if !self.lasts {
            return 0;
        }
        let is_unfit = |task: &&Task| {
            matches!(task.at, At::Waiting) && now - task.not_before.max(self.begun_at) > UNFIT
        };
        let steps = self.occurrences.values().flat_map(|row| &row.steps);
        let unfit = steps.flat_map(|state| &state.tasks).filter(is_unfit).count();
        u32::try_from(unfit).unwrap_or(u32::MAX)
    }

    /// Names of the tasks that are on a worker.
    pub fn placed(&self) -> Vec<task::Name> {
        let mut names = Vec::new();
        for (occurrence, row) in &self.occurrences {
            for (step, state) in row.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    if matches!(task.at, At::On(_)) {
                        names.push(name(self.id, *occurrence, step, index));
                    }
                }
            }
        }
        names
    }

    /// Begins the occurrences whose time has come.
    pub fn begin_due(&mut self, wall_ms: u64) {
        while self.begun < self.times && self.due_ms(self.begun) <= wall_ms {
            let steps = Occurrence::new(&self.steps);
            self.occurrences.insert(self.begun, steps);
            self.begun += 1;
        }
    }

    fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            schedule.first_ms.saturating_add(schedule.every_ms * u64::from(occurrence))
        })
    }

    /// Drops an occurrence that is all done; whether that ends the job.
    pub fn finish(&mut self, occurrence: u32) -> bool {
        let is_done =
            self.occurrences.get(&occurrence).is_some_and(|o| o.steps.iter().all(|s| s.left == 0));
        if is_done && self.schedule.is_some() {
            self.occurrences.remove(&occurrence);
        }
        self.finished += u32::from(is_done);
        is_done && self.finished >= self.times
    }

    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            queue: self.queue.clone(),
            ended_ms: self.ended_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for occurrence in 0..self.begun {
            match self.occurrences.get(&occurrence) {
                Some(row) => row.tell(occurrence, &mut progress),
                None => drop(progress.done.insert(format!("{occurrence}"), Vec::new())),
            }
        }
        progress
    }

    fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_ms = progress.ended_ms;
        for (key, bits) in &progress.done {
            self.restore_done(key, bits);
        }
        for (key, failed) in &progress.failed {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.failed.clone_from(failed);
            }
        }
    }

    fn restore_done(&mut self, key: &str, bits: &[u64]) {
        let mut parts = key.split('.').map_while(|part| part.parse::<u32>().ok());
        let Some(occurrence) = parts.next() else { return };
        while self.begun <= occurrence && self.begun < self.times {
            let steps = Occurrence::new(&self.steps);
            self.occurrences.insert(self.begun, steps);
            self.begun += 1;
        }
        let Some(step) = parts.next() else {
            self.occurrences.remove(&occurrence);
            self.finished += 1;
            return;
        };
        for (word, value) in bits.iter().enumerate() {
            for bit in (0..WORD).filter(|bit| value & (1 << bit) != 0) {
                let index = word * WORD as usize + bit as usize;
                self.put(name(self.id, occurrence, step as usize, index), At::Done);
            }
        }
    }
}

impl Occurrence {
    fn tell(&self, occurrence: u32, progress: &mut Progress) {
        for (step, state) in self.steps.iter().enumerate() {
            let mut bits = vec![0u64; state.tasks.len().div_ceil(WORD as usize)];
            for (index, task) in state.tasks.iter().enumerate() {
                if matches!(task.at, At::Done) {
                    bits[index / WORD as usize] |= 1 << (index % WORD as usize);
                }
                if !task.failed.is_empty() {
                    let key = format!("{occurrence}.{step}.{index}");
                    progress.failed.insert(key, task.failed.clone());
                }
            }
            if bits.iter().any(|word| *word != 0) {
                progress.done.insert(format!("{occurrence}.{step}"), bits);
            }
        }
    }
}

pub(super) fn name(job: JobId, occurrence: u32, step: usize, index: usize) -> task::Name {
    let small = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    task::Name { job, occurrence, step: small(step), index: small(index) }
}

fn parse_task(job: JobId, key: &str) -> Option<task::Name> {
    let mut parts = key.split('.').map(|part| part.parse().ok());
    Some(task::Name {
        job,
        occurrence: parts.next()??,
        step: parts.next()??,
        index: parts.next()??,
    })
}

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
        entry.due = entry.accepted + chain + queue.aim;
        entry.begun_at = now;
        if entry.schedule.is_none() {
            entry.begin_due(0);
        }
        if let Some(progress) = progress {
            entry.restore(progress);
        }
        let is_final = entry.state.is_final();
        if is_final {
            entry.ended = Some(now);
            entry.occurrences.clear();
        }
        let key = self.jobs.insert(entry);
        self.by_job.insert(id, key);
        if !is_final {
            self.check_finished(now, id, key);
        }
        self.adopt_orphans(now, id);
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
    fn check_finished(&mut self, now: Time, id: JobId, key: JobKey) {
        let Some(entry) = self.jobs.get(key) else { return };
        let is_done = entry.occurrences.values().all(|o| o.steps.iter().all(|s| s.left == 0));
        if entry.begun == entry.times && is_done && entry.times > 0 {
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
        self.entry(id).is_none_or(|entry| entry.written >= entry.version)
    }

    pub(super) fn end_job(&mut self, now: Time, id: JobId, state: State) {
        let Some(entry) = self.entry_mut(id) else { return };
        entry.state = state;
        entry.ended = Some(now);
        let why = format!("{state:?}");
        self.touch(now, id, true);
        let task = task::Name { job: id, occurrence: 0, step: 0, index: 0 };
        self.note("job ended", Some(task), None, why);
        self.stop_all(now, id);
    }

    /// Asks for the stop of all that runs of a job.
    fn stop_all(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.entry(id) else { return };
        for name in entry.placed() {
            self.ask_stop(now, name);
        }
    }

    pub(super) fn ask_stop(&mut self, now: Time, name: task::Name) {
        let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        if let At::On(place) = &mut task.at
            && !matches!(place.phase, Phase::Stopping { .. })
        {
            place.phase = Phase::Stopping { again: now, confirmed: None };
        }
    }

    /// Notes that a job has something to write: at once for what callers wait
    /// for, else with what comes within [`super::journal::LINGER`].
    pub(super) fn touch(&mut self, now: Time, id: JobId, urgent: bool) -> u64 {
        let Some(entry) = self.entry_mut(id) else { return 0 };
        let is_clean = entry.version == entry.written;
        entry.version += 1;
        let version = entry.version;
        if urgent {
            self.dirty.retain(|(_, dirty)| *dirty != id);
            self.dirty.insert((Time::ZERO, id));
        } else if is_clean || !self.dirty.iter().any(|(_, dirty)| *dirty == id) {
            self.dirty.insert((now + super::journal::LINGER, id));
        }
        version
    }

    /// Puts a task back that has no run any more.
    pub(super) fn requeue(&mut self, name: task::Name, not_before: Time) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        entry.put(name, At::Waiting);
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
            let mine: Vec<task::Ended> = mine;
            for ended in mine {
                self.take_end(now, key, &ended);
            }
        }
    }

    pub(super) fn set_pending(&mut self, key: worker::Key, number: u64, pending: Pending) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.pending.insert(number, pending);
        }
    }
}

fn new_entry(id: JobId, job: &Job, queue: &str, revision: u64) -> Entry {
    Entry {
        id,
        queue: queue.to_owned(),
        spec: Rc::from(job.spec.as_str()),
        steps: Rc::from(job.steps.clone()),
        schedule: job.schedule,
        times: job.occurrences(),
        lasts: job.lasts(),
        state: State::Queued,
        revision,
        accepted: Time::ZERO,
        due: Time::ZERO,
        begun_at: Time::ZERO,
        ended: None,
        ended_ms: 0,
        occurrences: BTreeMap::new(),
        begun: 0,
        finished: 0,
        version: 0,
        written: 0,
    }
}
