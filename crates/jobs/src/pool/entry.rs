//! Jobs and the states of their tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::advice::StepAdvice;
use super::copies::Copies;
use super::hold::Hold;
use super::proof::FormerRun;
use super::ranking::Position;
use super::tasks::Tasks;
use crate::id::JobId;
use crate::job::{Job, Step};
use crate::organisation;
use crate::record::{Finished, State};
use crate::task;
use crate::worker;

/// How long a task waits until its pool requests one more worker for it. A task that fits
/// somewhere is placed within milliseconds.
const UNPLACED_AFTER: Duration = Duration::from_millis(500);

/// Maximum lateness of an occurrence, in milliseconds: the time of day may jump by seconds.
const MAX_LATENESS_MS: u64 = 2_000;

/// The most steps of one job in occurrences that are due and of which no task was started; of one
/// occurrence if it has more. Thousands may be due at once: an owner that laid them all out would not
/// come back to its event loop in time, and lose its pool to a successor that does the same.
pub(super) const MAX_UNSTARTED_STEPS: usize = 64;

/// A job of the pool.
#[derive(Debug)]
pub(super) struct Entry {
    pub id: JobId,
    pub queue: String,
    /// The organisation whose limit its runs count towards.
    pub organisation: Option<organisation::Key>,
    /// The name of that organisation.
    pub organisation_name: Option<Rc<str>>,
    /// The number of attempts by the configuration under which it was accepted.
    pub accepted_attempts: Option<u32>,
    pub spec: Rc<str>,
    pub steps: Rc<[Step]>,
    pub schedule: Option<crate::job::Schedule>,
    pub occurrence_count: u32,
    /// Whether it has a long-running step, so that it never ends by itself. Whether a task is
    /// restarted however it ends is a property of its step.
    pub long_running: bool,
    /// Whether it is within what its organisation is owed.
    pub is_owed: bool,
    /// Why its tasks may not be started, if they may not.
    pub hold: Option<Hold>,
    pub state: State,
    /// Store revision at which the job was accepted.
    pub revision: u64,
    /// When the job was accepted.
    pub accepted: Time,
    /// How long after its begin an occurrence is in time.
    pub time_allowed: Duration,
    /// When this owner learned of the job.
    pub known_since: Time,
    pub ended: Option<Time>,
    pub ended_ms: u64,
    /// Occurrences that have begun and are not finished.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of occurrences that have begun.
    pub begun_occurrences: u32,
    pub finished_occurrences: u32,
    /// Increases with each change that has to be written.
    pub version: u64,
    pub written_version: u64,
    /// When the write of its changes is due, if it has any that no write under way includes.
    pub write_due: Option<Time>,
    /// Whether a write of it is under way.
    pub is_being_written: bool,
    /// Whether it is marked as changed.
    pub is_changed: bool,
    /// When the next plan has to look at it, unless it changes before.
    pub due_at: Option<Time>,
    /// The positions of its ready steps in the ranking.
    pub positions: Vec<Position>,
}

/// One execution of the steps.
#[derive(Debug)]
pub(super) struct Occurrence {
    /// When the occurrence began: when its job was accepted, or when it was due by the time of
    /// day.
    pub begun: Time,
    pub steps: Vec<StepState>,
    /// Whether other jobs go first although it can be in time.
    pub is_passed_over: bool,
}

#[derive(Debug)]
pub(super) struct StepState {
    pub tasks: Tasks,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Number of tasks that wait to be started.
    pub waiting: u32,
    /// Advice on which workers may run the step, where another service decides that.
    pub advice: StepAdvice,
    /// Since when the step has been ready without one of its tasks being started.
    pub waiting_since: Option<Time>,
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub state: TaskState,
    /// Run numbers that failed. A gang keeps them at its first member.
    pub failed: Vec<u64>,
    /// Run numbers that are suspected of crashing their worker. A gang keeps them at its first
    /// member.
    pub crashed: Vec<u64>,
    /// When the first of these crashes was noticed by this owner.
    pub crashed_since: Option<Time>,
    /// The addresses of the workers of crashes that this owner noticed. Crashes of one worker alone
    /// may be its own.
    pub crashed_at: Vec<SocketAddr>,
    /// Whether a run of it has lasted so long that it is no longer suspected of any crash. A gang
    /// keeps it at its first member.
    pub is_proven: bool,
    /// The starting run of a task with a counted crash. A gang keeps it at its first member.
    pub starting_run: Option<SuspectedStart>,
    /// Runs in `crashed` that a predecessor had only just ordered: it isn't known whether they
    /// started. A gang keeps them at its first member.
    pub inherited_starts: Vec<SuspectedStart>,
    pub saved: Rc<str>,
    /// The number of the run that saved it.
    pub saved_by: u64,
    /// Whether a run may have resumed from saved progress. Its former worker may have forgotten that
    /// progress and the present one may crash, so the job's record has to keep it.
    pub has_resumed: bool,
    /// Run numbers that were stopped so that their worker could leave or other tasks got their
    /// room.
    pub stopped: Vec<u64>,
    /// The earliest time of the next start.
    pub not_before: Time,
    /// The last run that this owner knew of, while the task waits for the next one.
    pub former_run: Option<Box<FormerRun>>,
}

/// A start of a task that is suspected of a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SuspectedStart {
    pub run: u64,
    /// The ID of its worker; `None` if the record doesn't name it.
    pub worker: Option<String>,
}

/// The state of a task.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    Waiting,
    Placed(Placement),
    Done,
}

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub worker: worker::Key,
    pub run: u64,
    pub since: Time,
    pub phase: Phase,
    /// The copies of its start order that this owner issued.
    pub copies: Copies,
    pub percent: u32,
    /// When the percentage last changed.
    pub progressed: Time,
    /// When it last saved its progress, as far as its worker listed it, or else when it began.
    pub saved_at: Time,
    /// The confirmed speed of a backfill task, in percent.
    pub pace: u32,
    pub pace_sent: Time,
    pub gauge: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Start ordered, not known to run. The order is sent again at `retry_at`.
    Starting { retry_at: Time },
    /// Confirmed by an answer or a poll.
    Running { confirmed: Time },
    /// Stop requested. The order is sent again at `retry_at`.
    Stopping { retry_at: Time, confirmed: Option<Time> },
}

impl Occurrence {
    pub fn new(steps: &[Step], begun: Time) -> Self {
        let state = |step: &Step| StepState {
            tasks: Tasks::new(step.count as usize),
            unfinished: step.count,
            waiting: step.count,
            advice: StepAdvice::default(),
            waiting_since: None,
        };
        let steps = steps.iter().map(state).collect();
        Self { begun, steps, is_passed_over: false }
    }

    /// Returns whether a task was started.
    fn is_started(&self) -> bool {
        self.steps.iter().any(|state| (state.waiting as usize) < state.tasks.len())
    }

    /// Returns whether all steps that `step` depends on are done.
    pub fn is_ready(&self, step: &Step) -> bool {
        let is_done =
            |after: &u32| self.steps.get(*after as usize).is_some_and(|s| s.unfinished == 0);
        step.after.iter().all(is_done)
    }

    /// Returns whether `step` becomes ready when the current runs end.
    pub fn is_next(&self, step: &Step) -> bool {
        let is_placed =
            |after: &u32| self.steps.get(*after as usize).is_some_and(|s| s.waiting == 0);
        step.after.iter().all(is_placed)
    }
}

impl Task {
    /// Takes over the progress that a run saved, unless a later run has saved some. Returns whether
    /// that changed it.
    pub fn take_saved(&mut self, run: u64, saved: &str) -> bool {
        if saved.is_empty() || run < self.saved_by {
            return false;
        }
        self.saved_by = run;
        let is_new = *self.saved != *saved;
        if is_new {
            self.saved = Rc::from(saved);
        }
        is_new
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

    /// Sets the state of a task and updates the counts of its step. A task that is done stays
    /// done.
    pub fn set_task_state(&mut self, name: task::Name, new: TaskState) {
        let Some(step) = self.step_state(name) else { return };
        let Some(task) = step.tasks.get_mut(name.index as usize) else { return };
        match (&task.state, &new) {
            (TaskState::Done, _) => return,
            (TaskState::Waiting, TaskState::Waiting)
            | (TaskState::Placed(_), TaskState::Placed(_)) => {}
            (TaskState::Waiting, _) => step.waiting -= 1,
            (TaskState::Placed(_), TaskState::Waiting) => step.waiting += 1,
            (TaskState::Placed(_), TaskState::Done) => {}
        }
        if matches!(new, TaskState::Done) {
            step.unfinished -= 1;
            task.former_run = None;
        }
        task.state = new;
        step.tasks.settle(name.index as usize);
    }

    /// Returns a task to the waiting state. Its former run has to be over; see [`super::proof`].
    pub fn set_waiting(&mut self, name: task::Name) {
        self.set_task_state(name, TaskState::Waiting);
    }

    /// Returns the time after which an occurrence is late.
    pub fn deadline(&self, occurrence: &Occurrence) -> Time {
        occurrence.begun + self.time_allowed
    }

    /// Returns the time after which an occurrence earns nothing: three times its allowed time.
    pub fn expiry(&self, occurrence: &Occurrence) -> Time {
        occurrence.begun + self.time_allowed * 3
    }

    /// Returns the number of long-running tasks that have waited for longer than placing one
    /// takes.
    pub fn unplaced_tasks(&self, now: Time) -> u32 {
        if !self.long_running {
            return 0;
        }
        let is_unplaced = |task: &&Task| {
            matches!(task.state, TaskState::Waiting)
                && now - task.not_before.max(self.known_since) > UNPLACED_AFTER
        };
        let unplaced = self
            .long_running_states()
            .flat_map(|state| state.tasks.iter())
            .filter(is_unplaced)
            .count();
        u32::try_from(unplaced).unwrap_or(u32::MAX)
    }

    /// Returns whether the step of a task is long-running. A job may have such steps beside others.
    pub fn is_long_running(&self, name: task::Name) -> bool {
        self.step(name).is_some_and(|step| step.long_running)
    }

    /// Returns the states of the long-running steps whose tasks may start.
    pub fn long_running_states(&self) -> impl Iterator<Item = &StepState> {
        self.occurrences.values().flat_map(|occurrence| {
            let steps = self.steps.iter().zip(&occurrence.steps);
            let ready = steps.filter(|(step, _)| step.long_running && occurrence.is_ready(step));
            ready.map(|(_, state)| state)
        })
    }

    /// Returns the names of the tasks that are placed on a worker.
    pub fn placed_tasks(&self) -> Vec<task::Name> {
        let mut names = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.known() {
                    if matches!(task.state, TaskState::Placed(_)) {
                        names.push(name(self.id, *number, step, index));
                    }
                }
            }
        }
        names
    }

    /// Begins the occurrences that are due, the earliest first, up to [`MAX_UNSTARTED_STEPS`]. Others
    /// follow as tasks of these are started.
    pub fn begin_due_occurrences(&mut self, now: Time, wall_ms: u64) {
        let is_due = |entry: &Self| {
            entry.begun_occurrences < entry.occurrence_count
                && entry.due_ms(entry.begun_occurrences) <= wall_ms
        };
        if !is_due(self) {
            return;
        }
        let most = (MAX_UNSTARTED_STEPS / self.steps.len().max(1)).max(1);
        let unstarted = self.occurrences.values().filter(|occurrence| !occurrence.is_started());
        for _ in unstarted.count()..most {
            if !is_due(self) {
                return;
            }
            let late_ms = wall_ms - self.due_ms(self.begun_occurrences);
            self.begin_occurrence(if self.schedule.is_some() {
                time_ago(now, late_ms)
            } else {
                self.accepted
            });
        }
    }

    /// Returns the occurrences that are finished.
    pub fn finished(&self) -> Finished {
        let mut finished = Finished::default();
        let before = self.occurrences.keys().next().copied().unwrap_or(self.begun_occurrences);
        finished.set_before(before);
        let is_finished = |occurrence: &u32| !self.occurrences.contains_key(occurrence);
        (before..self.begun_occurrences).filter(is_finished).for_each(|o| finished.insert(o));
        finished
    }

    /// Begins the next occurrences up to one, but for those that are finished. No occurrence may have
    /// begun.
    pub fn begin_unfinished(&mut self, finished: &Finished, last: u32) {
        self.begun_occurrences = finished.before().min(self.occurrence_count);
        self.finished_occurrences = self.begun_occurrences;
        while self.begun_occurrences <= last && self.begun_occurrences < self.occurrence_count {
            if finished.contains(self.begun_occurrences) {
                self.begun_occurrences += 1;
                self.finished_occurrences += 1;
            } else {
                self.begin_known_occurrence(self.begun_occurrences);
            }
        }
    }

    /// Begins the next occurrence.
    pub fn begin_occurrence(&mut self, begun: Time) {
        let occurrence = Occurrence::new(&self.steps, begun);
        self.occurrences.insert(self.begun_occurrences, occurrence);
        self.begun_occurrences += 1;
    }

    /// Begins an occurrence, and those before it, of which a record or a worker tells.
    ///
    /// A predecessor began it by its own time of day. If this owner waited for its own, it would
    /// drop what it was told: a failed run would not count, and a running or finished task would be
    /// started again.
    pub fn begin_known_occurrence(&mut self, occurrence: u32) {
        let end = occurrence.saturating_add(1).min(self.occurrence_count);
        while !self.state.is_final() && self.begun_occurrences < end {
            let is_scheduled = self.schedule.is_some();
            self.begin_occurrence(if is_scheduled { self.known_since } else { self.accepted });
        }
    }

    fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let after = schedule.every_ms.saturating_mul(u64::from(occurrence));
            schedule.first_ms.saturating_add(after)
        })
    }

    /// Finishes an occurrence if all its tasks are done. Returns whether that completes the
    /// job.
    pub fn finish_occurrence(&mut self, occurrence: u32) -> bool {
        let is_done = self
            .occurrences
            .get(&occurrence)
            .is_some_and(|o| o.steps.iter().all(|s| s.unfinished == 0));
        if is_done && self.schedule.is_some() {
            self.occurrences.remove(&occurrence);
        }
        self.finished_occurrences += u32::from(is_done);
        is_done && self.finished_occurrences >= self.occurrence_count
    }
}

/// Returns the time `late_ms` milliseconds ago, limited by [`MAX_LATENESS_MS`] since the time
/// of day may have jumped.
fn time_ago(now: Time, late_ms: u64) -> Time {
    Time::from_millis(now.as_millis().saturating_sub(late_ms.min(MAX_LATENESS_MS)))
}

pub(super) fn name(job: JobId, occurrence: u32, step: usize, index: usize) -> task::Name {
    let to_u32 = |index: usize| u32::try_from(index).unwrap_or(u32::MAX);
    task::Name { job, occurrence, step: to_u32(step), index: to_u32(index) }
}

pub(super) fn new_entry(id: JobId, job: &Job, queue: &str, revision: u64) -> Entry {
    Entry {
        id,
        queue: queue.to_owned(),
        organisation: None,
        organisation_name: None,
        accepted_attempts: None,
        spec: Rc::from(job.spec.as_str()),
        steps: Rc::from(job.steps.clone()),
        schedule: job.schedule,
        occurrence_count: job.occurrences(),
        long_running: job.is_long_running(),
        is_owed: true,
        hold: None,
        state: State::Queued,
        revision,
        accepted: Time::ZERO,
        time_allowed: Duration::ZERO,
        known_since: Time::ZERO,
        ended: None,
        ended_ms: 0,
        occurrences: BTreeMap::new(),
        begun_occurrences: 0,
        finished_occurrences: 0,
        version: 0,
        written_version: 0,
        write_due: None,
        is_being_written: false,
        is_changed: false,
        due_at: None,
        positions: Vec::new(),
    }
}
