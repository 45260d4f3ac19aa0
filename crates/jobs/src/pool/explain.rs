//! Why a job stands where it stands.

use corianderfork_model::Time;
use serde::Serialize;

use super::Pool;
use super::advice::is_suitable;
use super::entry::{Entry, Occurrence, StepState, TaskState, name};
use crate::feature::Feature;
use crate::id::JobId;
use crate::job::{Room, Step};
use crate::record::State;
use crate::task;
use crate::worker::{Worker, millis};

/// Where a job stands, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explained {
    /// Its queue.
    pub queue: String,
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// Where it stands.
    pub state: State,
    /// Steps that aren't done, of each occurrence that has begun.
    pub steps: Vec<Part>,
    /// Occurrences whose time has not come.
    pub to_come: u32,
}

/// A step of an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Part {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// Tasks that wait to be started.
    pub waiting: u32,
    /// Tasks on a worker.
    pub placed: u32,
    /// Tasks that aren't done, in all.
    pub left: u32,
    /// How long its occurrence is still in time, in milliseconds; 0 if it is
    /// late.
    pub in_time_for_ms: u64,
    /// Why tasks wait; empty if none does.
    pub why: String,
}

impl Pool {
    /// Where a job stands, and why its tasks wait; none if it isn't known.
    pub fn explain(&self, now: Time, id: JobId) -> Option<Explained> {
        let entry = self.entry(id)?;
        let mut steps = Vec::new();
        for (number, occurrence) in &entry.occurrences {
            for (step, state) in
                occurrence.steps.iter().enumerate().filter(|(_, state)| state.unfinished > 0)
            {
                steps.push(self.part(now, entry, (*number, occurrence), (step, state)));
            }
        }
        let is_over = entry.state.is_final();
        let to_come = if is_over {
            0
        } else {
            entry.occurrence_count.saturating_sub(entry.begun_occurrences)
        };
        Some(Explained {
            queue: entry.queue.clone(),
            priority: self.queue(&entry.queue).priority,
            state: entry.state,
            steps,
            to_come,
        })
    }

    fn part(
        &self,
        now: Time,
        entry: &Entry,
        (number, occurrence): (u32, &Occurrence),
        (step, state): (usize, &StepState),
    ) -> Part {
        let placed =
            state.tasks.iter().filter(|task| matches!(task.state, TaskState::Placed(_))).count();
        let why = if state.waiting == 0 {
            String::new()
        } else {
            self.why(now, entry, (number, occurrence), step)
        };
        let task = name(entry.id, number, step, 0);
        Part {
            occurrence: number,
            step: task.step,
            waiting: state.waiting,
            placed: u32::try_from(placed).unwrap_or(u32::MAX),
            left: state.unfinished,
            in_time_for_ms: millis(entry.deadline(occurrence) - now),
            why,
        }
    }

    /// Why the tasks of a step wait.
    fn why(
        &self,
        now: Time,
        entry: &Entry,
        (number, occurrence): (u32, &Occurrence),
        index: usize,
    ) -> String {
        let Some(step) = entry.steps.get(index) else { return String::new() };
        if !occurrence.is_ready(step) {
            return format!("runs after the steps {:?}, which are not all done", step.after);
        }
        if self.is_recovering(now) && entry.revision <= self.config.fence {
            return "a run that an owner before started may be alive where this one can't look"
                .to_owned();
        }
        let fit: Vec<&Worker> =
            self.workers.values().filter(|worker| is_suitable(worker, now, step)).collect();
        if fit.is_empty() {
            return self.why_none_fits(now, step);
        }
        if occurrence.steps.get(index).is_some_and(|state| state.advice.is_query_pending()) {
            return "advice on which workers may run it was asked and not told yet".to_owned();
        }
        let task = name(entry.id, number, index, 0);
        let occupied = |worker: &Worker| worker.occupied(|kept| kept.is_sibling(&task));
        let has_room = |worker: &&&Worker| worker.room.fits(&occupied(worker), &step.room());
        let with_room = fit.iter().filter(has_room).count();
        if with_room == 0 {
            let free =
                fit.iter().map(|worker| worker.room.cpu.saturating_sub(occupied(worker).cpu));
            return format!(
                "none of {} workers that suit has room: a task needs {}, the most that one has left is {} thousandths of a core{}",
                fit.len(),
                told(&step.room()),
                free.max().unwrap_or(0),
                self.why_kept(task, &fit)
            );
        }
        match &step.preferred_rack {
            Some(rack) => format!("waits for room in rack {rack}, where its data is"),
            None => format!(
                "{with_room} workers have room; it goes with the next plan, or its last run failed or was refused a moment ago"
            ),
        }
    }

    /// What kept room has to do with a step's waiting.
    fn why_kept(&self, task: task::Name, fit: &[&Worker]) -> String {
        let own: Vec<&str> = self
            .reservations
            .iter()
            .filter(|(kept, _)| kept.is_sibling(&task))
            .filter_map(|(_, key)| Some(self.workers.get(*key)?.id.as_str()))
            .collect();
        let others = fit.iter().filter(|w| w.reserved.keys().any(|kept| !kept.is_sibling(&task)));
        match (own.is_empty(), others.count()) {
            (false, _) => format!("; room is kept for it on {}", own.join(", ")),
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
                told(&step.room())
            ),
        }
    }
}

fn told(room: &Room) -> String {
    format!("{} thousandths of a core, {} MB, {} accelerators", room.cpu, room.memory_mb, room.gpu)
}
