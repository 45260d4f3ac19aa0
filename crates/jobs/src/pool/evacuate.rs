//! Tasks that have to leave their worker, because the worker leaves or they make no progress.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Phase, Placement, StepState, TaskState};
use super::exits::AVOID_TIME;
use super::{JobKey, Pool};
use crate::feature::Feature;
use crate::job::Step;
use crate::task;
use crate::worker::{self, Worker};

/// How long a task may show no progress until it counts as stalled, in addition to a fortieth
/// of its estimate: workers are polled every second, and progress is reported in whole
/// percents.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long a long-running task may take to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How long a new owner stops no long-running tasks. A stop by its predecessor takes up to 0.9
/// s in the slowest case, plus the delivery of the order.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long a step that few workers can run waits until long-running tasks are moved out of its
/// way. This is longer than moving a suitable worker into the pool takes.
pub(super) const BLOCKED_AFTER: Duration = Duration::from_millis(2_500);
/// The percentage at which a long-running task is ready.
const READY_PERCENT: u32 = 100;

impl Pool {
    /// Stops tasks that make no progress although their worker responds.
    ///
    /// A worker whose tasks all stall looks healthy and would hold them until their callers
    /// gave up.
    pub(super) fn stop_stalled(&mut self, now: Time, due: &BTreeSet<JobKey>) {
        if !self.is_confirmed(now) {
            return;
        }
        let mut stalled = Vec::new();
        let due = due.iter().filter_map(|key| self.jobs.get(*key));
        for entry in due.filter(|entry| !entry.state.is_final()) {
            for name in entry.placed_tasks() {
                if let (Some(step), Some(placement)) = (entry.step(name), entry.placement(name))
                    && is_stalled(now, step, placement)
                    && self.workers.get(placement.worker).is_some_and(worker::Worker::is_responsive)
                {
                    stalled.push((name, placement.worker, placement.percent));
                }
            }
        }
        for (name, key, percent) in stalled {
            self.request_stop(now, name);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.avoid_until = now + AVOID_TIME;
            }
            self.note(
                "task stalled",
                Some(name),
                Some(key),
                format!("no progress beyond {percent}%"),
            );
        }
    }

    /// Stops long-running tasks on workers that are to leave, within the limit of unavailable
    /// tasks of their step and where they have room elsewhere.
    ///
    /// A new owner waits at first: a stop that its predecessor ordered may be under way, and
    /// until it has ended the task is listed as ready. One task too many would become
    /// unavailable.
    pub(super) fn evacuate(&mut self, now: Time) {
        let begun = *self.first_planned.get_or_insert(now);
        if now - begun < SETTLE_TIME || !self.is_confirmed(now) {
            return;
        }
        let leaving: Vec<worker::Key> = self
            .workers
            .iter()
            .filter(|(_, w)| (w.draining || w.is_vacating(now)) && w.is_responsive())
            .map(|(key, _)| key)
            .collect();
        for key in leaving {
            let Some(worker) = self.workers.get(key) else { continue };
            let names = worker.allocations.keys().copied().collect();
            self.evacuate_tasks(now, key, names, "its worker is about to leave or be maintained");
        }
        if let Some(key) = self.worker_to_unblock(now) {
            let names = self.workers.get(key).map(|worker| self.movable(worker));
            let why = "its room is needed for a step that few workers can run";
            self.evacuate_tasks(now, key, names.unwrap_or_default(), why);
        }
    }

    fn evacuate_tasks(
        &mut self,
        now: Time,
        key: worker::Key,
        mut names: Vec<task::Name>,
        why: &str,
    ) {
        names.sort();
        for name in names {
            self.evacuate_task(now, key, name, why);
        }
    }

    /// Returns a worker that a blocked step needs because few workers have the required
    /// feature, and that has too little room only because of long-running tasks that could run
    /// anywhere.
    ///
    /// Without this, a step that needs a label would wait forever beside idle workers, because
    /// long-running tasks never release their room.
    fn worker_to_unblock(&self, now: Time) -> Option<worker::Key> {
        let is_blocked = |state: &StepState| {
            let since = state.waiting_since.filter(|_| state.waiting > 0);
            since.is_some_and(|since| now - since > BLOCKED_AFTER)
        };
        let selective = self.ranking.candidates().filter(|candidate| candidate.has_feature);
        let blocked = selective.map(|candidate| candidate.key).find_map(|key| {
            let entry = self.jobs.get(key.job)?;
            let state = entry.occurrences.get(&key.occurrence)?.steps.get(key.step)?;
            let step = entry.steps.get(key.step).filter(|_| is_blocked(state))?;
            Some((Feature::of(step)?, step.room()))
        });
        let (feature, needed) = blocked?;
        let has_feature = |worker: &Worker| {
            worker.is_usable(now) && feature.is_provided_by(&worker.labels, &worker.room)
        };
        let candidates = self.workers.iter().filter(|(_, worker)| has_feature(worker));
        // Prefers the worker that needs the fewest moves.
        let movable = candidates.filter_map(|(key, worker)| {
            let tasks = self.movable(worker);
            let mut remaining = worker.occupied(|_| false);
            tasks.iter().for_each(|name| remaining.sub(&worker.allocations[name].room));
            worker.room.fits(&remaining, &needed).then_some((tasks.len(), key))
        });
        movable.filter(|(count, _)| *count > 0).min().map(|(_, key)| key)
    }

    /// Returns the long-running tasks on a worker that could run on any worker.
    fn movable(&self, worker: &Worker) -> Vec<task::Name> {
        let is_movable = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running && Feature::of(step).is_none())
        };
        worker.allocations.keys().copied().filter(is_movable).collect()
    }

    fn evacuate_task(&mut self, now: Time, key: worker::Key, name: task::Name, why: &str) {
        let Some(entry) = self.entry(name.job) else { return };
        let (Some(step), Some(placement)) = (entry.step(name), entry.placement(name)) else {
            return;
        };
        let is_running = matches!(placement.phase, Phase::Running { .. });
        if placement.worker != key
            || !is_running
            || !step.long_running
            || !self.may_disrupt(entry, name, step)
        {
            return;
        }
        let placement = self.choose(now, name, step, None);
        if placement.is_none() && !self.may_wait_for_maintenance(now, key, name, step) {
            return self.want_advice(name);
        }
        let step = step.clone();
        self.request_stop(now, name);
        if let Some(key) = placement.filter(|_| !step.gang) {
            self.reserve(name, key, &step, "the task is being moved there");
        }
        self.note("task evacuated", Some(name), Some(key), why.to_owned());
    }

    /// Returns whether a task without another place may be stopped for the duration of its
    /// worker's maintenance.
    ///
    /// A task that only this worker can run would otherwise delay the maintenance, and other
    /// work on the worker, forever. If not all tasks of the step on this worker may be
    /// unavailable at once, none is stopped: the remaining ones would still block the worker,
    /// and the stopped one would have no place.
    fn may_wait_for_maintenance(
        &self,
        now: Time,
        key: worker::Key,
        name: task::Name,
        step: &Step,
    ) -> bool {
        let Some(worker) = self.workers.get(key) else { return false };
        let max_unavailable = step.max_unavailable.unwrap_or(u32::MAX);
        worker.is_stranded(now) && worker.siblings(name) <= max_unavailable
    }

    /// Returns whether a task may be stopped without exceeding the limit of unavailable tasks
    /// of its step.
    ///
    /// A task counts as unavailable from the first unanswered poll of its worker on. Its last
    /// known state would count it as ready until the worker's lease ends, and one task too many
    /// would be stopped.
    fn may_disrupt(&self, entry: &Entry, name: task::Name, step: &Step) -> bool {
        let Some(max_unavailable) = step.max_unavailable else { return true };
        let is_ready = |placement: &Placement| {
            matches!(placement.phase, Phase::Running { .. })
                && placement.percent == READY_PERCENT
                && self.workers.get(placement.worker).is_some_and(worker::Worker::is_responsive)
        };
        let Some(occurrence) = entry.occurrences.get(&name.occurrence) else { return true };
        let Some(state) = occurrence.steps.get(name.step as usize) else { return true };
        let others = state.tasks.iter().enumerate().filter(|(i, _)| *i != name.index as usize);
        let unavailable = others.filter(|(_, task)| match &task.state {
            TaskState::Placed(placement) => !is_ready(placement),
            _ => true,
        });
        unavailable.count() < max_unavailable as usize
    }
}

fn is_stalled(now: Time, step: &Step, placement: &Placement) -> bool {
    stalls_at(step, placement).is_some_and(|at| now > at)
}

/// Returns after which time a run counts as stalled unless it makes progress.
pub(super) fn stalls_at(step: &Step, placement: &Placement) -> Option<Time> {
    let Phase::Running { .. } = placement.phase else { return None };
    if step.gang || step.backfill {
        return None;
    }
    if step.long_running {
        let at = (placement.since + STARTUP_TIMEOUT).max(placement.progressed + STALL_TIMEOUT);
        return (placement.percent < READY_PERCENT).then_some(at);
    }
    Some(placement.progressed + STALL_TIMEOUT + Duration::from_millis(step.estimate_ms / 40))
}
