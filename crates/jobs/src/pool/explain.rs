//! Explanations of the states of jobs.

use corianderfork_model::Time;
use serde::Serialize;

use super::Pool;
use super::advice::is_suitable;
use super::entry::{Entry, Occurrence, StepState, Task, TaskState, name};
use super::wait::Reason;
use crate::feature::Feature;
use crate::id::JobId;
use crate::job::{Room, Step};
use crate::record::State;
use crate::task;
use crate::worker::{Worker, millis};

/// The state of a job and the reasons for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The job's queue.
    pub queue: String,
    /// The organisation that submitted it.
    pub organisation: Option<String>,
    /// The queue's priority; 0 is the highest.
    pub priority: u32,
    /// The state.
    pub state: State,
    /// The unfinished steps of each occurrence that has begun.
    pub steps: Vec<StepExplanation>,
    /// The number of occurrences that have not begun.
    pub to_come: u32,
}

/// The state of a step of an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepExplanation {
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The number of tasks that wait to be started.
    pub waiting: u32,
    /// The number of tasks on a worker.
    pub placed: u32,
    /// The number of unfinished tasks.
    pub left: u32,
    /// The remaining time until the occurrence is late, in milliseconds; 0 if it is late.
    pub in_time_for_ms: u64,
    /// What its tasks wait for, if any does.
    pub waits_for: Option<Reason>,
    /// For how many milliseconds the first of them has waited for that, if the step is long-running.
    pub waiting_ms: Option<u64>,
    /// For how many milliseconds more they wait at most, if that is known.
    pub left_ms: Option<u64>,
    /// Why tasks wait; empty if none does.
    pub why: String,
}

impl Pool {
    /// Returns the state of a job and why its tasks wait, or `None` if the job is unknown.
    pub fn explain(&self, now: Time, id: JobId) -> Option<Explanation> {
        let entry = self.entry(id)?;
        let mut steps = Vec::new();
        for (number, occurrence) in &entry.occurrences {
            for (step, state) in
                occurrence.steps.iter().enumerate().filter(|(_, state)| state.unfinished > 0)
            {
                steps.push(self.explain_step(now, entry, (*number, occurrence), (step, state)));
            }
        }
        let has_ended = entry.state.is_final();
        let to_come = if has_ended {
            0
        } else {
            entry.occurrence_count.saturating_sub(entry.begun_occurrences)
        };
        Some(Explanation {
            queue: entry.queue.clone(),
            organisation: entry.organisation_name.as_deref().map(str::to_owned),
            priority: self.queue(&entry.queue).priority,
            state: entry.state,
            steps,
            to_come,
        })
    }

    fn explain_step(
        &self,
        now: Time,
        entry: &Entry,
        (number, occurrence): (u32, &Occurrence),
        (step, state): (usize, &StepState),
    ) -> StepExplanation {
        let placed = state
            .tasks
            .known()
            .filter(|(_, task)| matches!(task.state, TaskState::Placed(_)))
            .count();
        let waits =
            (state.waiting > 0).then(|| self.why_waiting(now, entry, (number, occurrence), step));
        let (waits_for, mut why) = match waits {
            Some((reason, why)) => (Some(reason), why + &why_stopped(state)),
            None => (None, String::new()),
        };
        let until = waits_for.and_then(|reason| self.awaited_workers(now, reason).1);
        if state.waiting > 0 && !entry.is_owed {
            why.push_str("; its organisation submits more jobs a second than its weight, and this one yields to those within it");
        }
        let is_waiting = |(_, task): &(usize, &Task)| matches!(task.state, TaskState::Waiting);
        let first = state.tasks.open().find(is_waiting).map_or(0, |(index, _)| index);
        let (task, waiting) =
            (name(entry.id, number, step, 0), name(entry.id, number, step, first));
        StepExplanation {
            occurrence: number,
            step: task.step,
            waiting: state.waiting,
            placed: u32::try_from(placed).unwrap_or(u32::MAX),
            left: state.unfinished,
            in_time_for_ms: millis(entry.deadline(occurrence) - now),
            waits_for,
            waiting_ms: self.waiting_since(waiting).map(|since| millis(now - since)),
            left_ms: until.map(|until| millis(until - now)),
            why,
        }
    }

    /// Returns why the tasks of a step wait.
    pub(super) fn why_waiting(
        &self,
        now: Time,
        entry: &Entry,
        (number, occurrence): (u32, &Occurrence),
        index: usize,
    ) -> (Reason, String) {
        let Some(step) = entry.steps.get(index) else {
            return (Reason::Steps, String::new());
        };
        if !occurrence.is_ready(step) {
            let why = format!("runs after the steps {:?}, which are not all done", step.after);
            return (Reason::Steps, why);
        }
        let awaits_attempts = |(_, task): (usize, &Task)| {
            matches!(task.state, TaskState::Waiting) && self.awaits_attempts(entry, task)
        };
        if occurrence.steps.get(index).is_some_and(|state| state.tasks.known().any(awaits_attempts))
        {
            let why = format!(
                "a run has failed, and the configuration doesn't say how many may: it lacks the queue {}",
                entry.queue
            );
            return (Reason::Configuration, why);
        }
        if self.is_recovering(now) && entry.revision <= self.config.fence {
            let (workers, _) = self.awaited_workers(now, Reason::FormerOwners);
            let why = format!(
                "a run that an owner before started may be alive where this one can't look: on {}",
                workers.join(", ")
            );
            return (Reason::FormerOwners, why);
        }
        let with_room = self.tasks_with_kept_room(name(entry.id, number, index, 0));
        if with_room > 0 {
            let why = format!(
                "{with_room} tasks were stopped because their worker is to leave, and resume on others that keep room for them"
            );
            return (Reason::KeptRoom, why);
        }
        let preempting = self.preempting_tasks(name(entry.id, number, index, 0));
        if preempting > 0 {
            let why = format!("other runs are being stopped to make room for {preempting} tasks");
            return (Reason::Preemption, why);
        }
        if let Some(why) = self.describe_limit(now, entry) {
            return (Reason::Limit, why);
        }
        let suitable: Vec<&Worker> =
            self.workers.values().filter(|worker| is_suitable(worker, now, step)).collect();
        if suitable.is_empty() {
            return (Reason::Worker, self.why_none_fits(now, step));
        }
        if occurrence.steps.get(index).is_some_and(|state| state.advice.is_query_pending()) {
            let why = "advice on which workers may run it was asked and not told yet".to_owned();
            return (Reason::Advice, why);
        }
        let task = name(entry.id, number, index, 0);
        let occupied = |worker: &Worker| worker.occupied(|reserved| reserved.is_sibling(&task));
        let has_room = |worker: &&&Worker| worker.room.fits(&occupied(worker), &step.room());
        let with_room = suitable.iter().filter(has_room).count();
        if with_room == 0 {
            let free_cpu =
                suitable.iter().map(|worker| worker.room.cpu.saturating_sub(occupied(worker).cpu));
            let can_be_in_time = self.can_be_in_time(now, entry, occurrence);
            let yields = if occurrence.is_passed_over && can_be_in_time {
                "; more jobs could be in time than there is room for, and it yields to others"
            } else {
                ""
            };
            let why = format!(
                "none of {} workers that suit has room: a task needs {}, the most that one has left is {} thousandths of a core{}{yields}",
                suitable.len(),
                describe_room(&step.room()),
                free_cpu.max().unwrap_or(0),
                self.why_reserved(task, &suitable)
            );
            return (Reason::Room, why);
        }
        match &step.preferred_rack {
            Some(rack) => {
                (Reason::Rack, format!("waits for room in rack {rack}, where its data is"))
            }
            None => {
                let why = format!(
                    "{with_room} workers have room; it goes with the next plan, or its last run failed or was refused a moment ago"
                );
                (Reason::Plan, why)
            }
        }
    }

    /// Returns how reserved room contributes to a step's waiting.
    fn why_reserved(&self, task: task::Name, suitable: &[&Worker]) -> String {
        let own_workers: Vec<&str> = self
            .reservations
            .iter()
            .filter(|(reserved, _)| reserved.is_sibling(&task))
            .filter_map(|(_, key)| Some(self.workers.get(*key)?.id.as_str()))
            .collect();
        let others = suitable
            .iter()
            .filter(|w| w.reserved.keys().any(|reserved| !reserved.is_sibling(&task)));
        match (own_workers.is_empty(), others.count()) {
            (false, _) => format!("; room is kept for it on {}", own_workers.join(", ")),
            (true, 0) => String::new(),
            (true, count) => format!("; room is kept for lasting tasks on {count} of them"),
        }
    }

    fn why_none_fits(&self, now: Time, step: &Step) -> String {
        let all = self.workers.len();
        let usable = self.workers.values().filter(|worker| worker.is_usable(now)).count();
        match Feature::of(step) {
            _ if usable == 0 => format!(
                "none of {all} workers takes work: they leave, are avoided, or don't answer"
            ),
            Some(feature) => format!(
                "none of {usable} workers that take work has {feature:?} and is large enough"
            ),
            None => format!(
                "none of {usable} workers that take work is large enough for {}",
                describe_room(&step.room())
            ),
        }
    }
}

/// Returns how many tasks of a step wait because they were stopped.
fn why_stopped(state: &StepState) -> String {
    let is_stopped = |(_, task): &(usize, &Task)| {
        matches!(task.state, TaskState::Waiting) && !task.stopped.is_empty()
    };
    match state.tasks.known().filter(is_stopped).count() {
        0 => String::new(),
        count => format!("; {count} of them ran before, were stopped and resume"),
    }
}

fn describe_room(room: &Room) -> String {
    format!("{} thousandths of a core, {} MB, {} accelerators", room.cpu, room.memory_mb, room.gpu)
}
