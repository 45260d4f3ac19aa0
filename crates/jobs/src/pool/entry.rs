//! Jobs and the states of their tasks.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::advice::StepAdvice;
use crate::id::JobId;
use crate::job::{Job, Step};
use crate::record::State;
use crate::task;
use crate::worker;

/// How long a task waits before its pool asks for one more worker for it. A task
/// that fits somewhere is placed within milliseconds.
const UNPLACED_AFTER: Duration = Duration::from_millis(500);

/// How late an occurrence is taken to be at most, in milliseconds: the time of
/// day jumps by seconds.
const MAX_LATENESS_MS: u64 = 2_000;

/// A job of the pool.
#[derive(Debug)]
pub(super) struct Entry {
    pub id: JobId,
    pub queue: String,
    pub spec: Rc<str>,
    pub steps: Rc<[Step]>,
    pub schedule: Option<crate::job::Schedule>,
    pub occurrence_count: u32,
    pub long_running: bool,
    pub state: State,
    /// The store's revision at which it was accepted.
    pub revision: u64,
    /// When it was accepted.
    pub accepted: Time,
    /// How long after its begin an occurrence is no longer in time.
    pub time_allowed: Duration,
    /// When this owner heard of it.
    pub known_since: Time,
    pub ended: Option<Time>,
    pub ended_ms: u64,
    /// Occurrences that have begun and aren't all done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences below this have begun.
    pub begun_occurrences: u32,
    pub finished_occurrences: u32,
    /// Grows with each change that has to be written.
    pub version: u64,
    pub written_version: u64,
}

/// One time that the steps run.
#[derive(Debug)]
pub(super) struct Occurrence {
    /// From when on its time counts: when its job was accepted, or when it was
    /// due by the time of day.
    pub begun: Time,
    pub steps: Vec<StepState>,
}

#[derive(Debug)]
pub(super) struct StepState {
    pub tasks: Vec<Task>,
    /// Tasks that aren't done.
    pub unfinished: u32,
    /// Tasks that wait to be started.
    pub waiting: u32,
    /// Which workers may run it, where another service decides that.
    pub advice: StepAdvice,
    /// Since when its turn has been and none of its tasks found a worker.
    pub waiting_since: Option<Time>,
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub state: TaskState,
    /// Runs that failed; those of a gang at its first member.
    pub failed: Vec<u64>,
    /// Runs suspected of crashing their worker; those of a gang at its first member.
    pub crashed: Vec<u64>,
    /// The starting run of a task with a counted crash; that of a gang at its first member.
    pub starting_run: Option<u64>,
    pub saved: Rc<str>,
    /// Not to be started before.
    pub not_before: Time,
}

/// Where a task is.
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
    /// Whether a start of it got no answer.
    pub is_start_unconfirmed: bool,
    pub percent: u32,
    /// When the percentage last grew.
    pub progressed: Time,
    /// The share that a filling task is let work at.
    pub pace: u32,
    pub pace_sent: Time,
    pub gauge: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; not known to run. Asked again from `again`.
    Starting { retry_at: Time },
    /// Confirmed by an answer, or listed.
    Running { confirmed: Time },
    /// To be stopped; asked again from `again`.
    Stopping { retry_at: Time, confirmed: Option<Time> },
}

impl Occurrence {
    pub fn new(steps: &[Step], begun: Time) -> Self {
        let fresh = Task {
            state: TaskState::Waiting,
            failed: Vec::new(),
            crashed: Vec::new(),
            starting_run: None,
            saved: Rc::from(""),
            not_before: Time::ZERO,
        };
        let state = |step: &Step| StepState {
            tasks: vec![fresh.clone(); step.count as usize],
            unfinished: step.count,
            waiting: step.count,
            advice: StepAdvice::default(),
            waiting_since: None,
        };
        Self { begun, steps: steps.iter().map(state).collect() }
    }

    /// Whether all tasks of the steps that `step` runs after are done.
    pub fn is_ready(&self, step: &Step) -> bool {
        let is_done =
            |after: &u32| self.steps.get(*after as usize).is_some_and(|s| s.unfinished == 0);
        step.after.iter().all(is_done)
    }

    /// Whether the turn of `step` comes once what runs has ended.
    pub fn is_next(&self, step: &Step) -> bool {
        let has_begun =
            |after: &u32| self.steps.get(*after as usize).is_some_and(|s| s.waiting == 0);
        step.after.iter().all(has_begun)
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
        }
        task.state = new;
    }

    /// When an occurrence is no longer in time.
    pub fn deadline(&self, occurrence: &Occurrence) -> Time {
        occurrence.begun + self.time_allowed
    }

    /// When nothing is earned by it any more: after three times the time within
    /// which it is in time.
    pub fn expiry(&self, occurrence: &Occurrence) -> Time {
        occurrence.begun + self.time_allowed * 3
    }

    /// Lasting tasks that have waited for longer than it takes to place one.
    pub fn unplaced_tasks(&self, now: Time) -> u32 {
        if !self.long_running {
            return 0;
        }
        let is_unfit = |task: &&Task| {
            matches!(task.state, TaskState::Waiting)
                && now - task.not_before.max(self.known_since) > UNPLACED_AFTER
        };
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let unfit = steps.flat_map(|state| &state.tasks).filter(is_unfit).count();
        u32::try_from(unfit).unwrap_or(u32::MAX)
    }

    /// Names of the tasks that are on a worker.
    pub fn placed_tasks(&self) -> Vec<task::Name> {
        let mut names = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    if matches!(task.state, TaskState::Placed(_)) {
                        names.push(name(self.id, *number, step, index));
                    }
                }
            }
        }
        names
    }

    /// Begins the occurrences whose time has come.
    pub fn begin_due_occurrences(&mut self, now: Time, wall_ms: u64) {
        while self.begun_occurrences < self.occurrence_count
            && self.due_ms(self.begun_occurrences) <= wall_ms
        {
            let late = wall_ms - self.due_ms(self.begun_occurrences);
            self.begin_occurrence(if self.schedule.is_some() {
                time_ago(now, late)
            } else {
                self.accepted
            });
        }
    }

    /// Begins the next occurrence.
    pub fn begin_occurrence(&mut self, begun: Time) {
        let occurrence = Occurrence::new(&self.steps, begun);
        self.occurrences.insert(self.begun_occurrences, occurrence);
        self.begun_occurrences += 1;
    }

    fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let after = schedule.every_ms.saturating_mul(u64::from(occurrence));
            schedule.first_ms.saturating_add(after)
        })
    }

    /// Drops an occurrence that is all done; whether that ends the job.
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

/// `late` milliseconds ago, as far as that can be known: the time of day may
/// have jumped.
fn time_ago(now: Time, late: u64) -> Time {
    Time::from_millis(now.as_millis().saturating_sub(late.min(MAX_LATENESS_MS)))
}

pub(super) fn name(job: JobId, occurrence: u32, step: usize, index: usize) -> task::Name {
    let small = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    task::Name { job, occurrence, step: small(step), index: small(index) }
}

pub(super) fn new_entry(id: JobId, job: &Job, queue: &str, revision: u64) -> Entry {
    Entry {
        id,
        queue: queue.to_owned(),
        spec: Rc::from(job.spec.as_str()),
        steps: Rc::from(job.steps.clone()),
        schedule: job.schedule,
        occurrence_count: job.occurrences(),
        long_running: job.is_long_running(),
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
    }
}
