//! Tasks that have to go elsewhere: their worker leaves, or they don't move on.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, Phase, Placement, StepState, TaskState};
use super::exits::AVOID_TIME;
use crate::feature::Feature;
use crate::job::Step;
use crate::task;
use crate::worker::{self, Worker};

/// How long a task may show no progress before it counts as stalled, beside a
/// fortieth of its estimate: looks come every second, and progress is told in
/// whole percents.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long a task that lasts may take to be at work.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How long after its begin an owner stops nothing that lasts: a stop takes up
/// to 0.9 s where it takes longest, and the order its way.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long work that few workers can run waits before lasting tasks make room
/// for it: longer than it takes to move such a worker into the pool.
pub(super) const BLOCKED_AFTER: Duration = Duration::from_millis(2_500);
/// The percentage at which a task that lasts is at work.
const READY_PERCENT: u32 = 100;

impl Pool {
    /// Asks for the stop of tasks that stand still though their worker answers.
    ///
    /// A worker whose tasks all stand still answers looks like a sound one, and
    /// would hold them until their callers gave up.
    pub(super) fn stop_stalled(&mut self, now: Time) {
        let mut stalled = Vec::new();
        for entry in self.jobs.values().filter(|entry| !entry.state.is_final()) {
            for name in entry.placed_tasks() {
                if let (Some(step), Some(place)) = (entry.step(name), entry.placement(name))
                    && is_stalled(now, step, place)
                    && self.workers.get(place.worker).is_some_and(worker::Worker::is_responsive)
                {
                    stalled.push((name, place.worker, place.percent));
                }
            }
        }
        for (name, key, percent) in stalled {
            self.request_stop(now, name);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.avoid_until = now + AVOID_TIME;
            }
            self.note("task stalled", Some(name), Some(key), format!("stands at {percent}%"));
        }
    }

    /// Asks for the stop of lasting tasks on workers that leave, within what
    /// their step may miss, where there is room for them elsewhere.
    ///
    /// Not in the first moments of an owner: a stop that its predecessor ordered
    /// may be under way, and the task is listed at work until it has ended. It
    /// would stop one task more than may be away.
    pub(super) fn evacuate(&mut self, now: Time) {
        let begun = *self.first_planned.get_or_insert(now);
        if now - begun < SETTLE_TIME {
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
            self.evacuate_tasks(now, key, names, "its worker is to leave");
        }
        if let Some(key) = self.worker_to_unblock(now) {
            let names = self.workers.get(key).map(|worker| self.movable(worker));
            let why = "work waits that few workers can run";
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

    /// A worker that work needs which only few can run, and whose room lasting
    /// tasks take that could run anywhere.
    ///
    /// Lasting tasks are there first and stay for good: without this, work that
    /// needs a label waits for ever beside workers that stand idle.
    fn worker_to_unblock(&self, now: Time) -> Option<worker::Key> {
        let is_blocked = |state: &StepState| {
            state.waiting_since.is_some_and(|since| now - since > BLOCKED_AFTER)
        };
        let waiting =
            self.jobs.values().filter(|entry| !entry.state.is_final()).find_map(|entry| {
                let steps =
                    entry.occurrences.values().flat_map(|row| entry.steps.iter().zip(&row.steps));
                steps
                    .filter(|(_, state)| state.waiting > 0 && is_blocked(state))
                    .find_map(|(step, _)| Some((Feature::of(step)?, step.room())))
            });
        let (feature, needed) = waiting?;
        let has =
            |worker: &Worker| worker.is_usable(now) && feature.is_had(&worker.labels, &worker.room);
        let having = self.workers.iter().filter(|(_, worker)| has(worker));
        // The one that comes free by the fewest moves.
        let movable = having.filter_map(|(key, worker)| {
            let lasting = self.movable(worker);
            let mut kept = worker.occupied(|_| false);
            lasting.iter().for_each(|name| kept.sub(&worker.allocations[name].room));
            worker.room.fits(&kept, &needed).then_some((lasting.len(), key))
        });
        movable.filter(|(count, _)| *count > 0).min().map(|(_, key)| key)
    }

    /// Lasting tasks there that could run on any worker.
    fn movable(&self, worker: &Worker) -> Vec<task::Name> {
        let is_movable = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running && Feature::of(step).is_none())
        };
        worker.allocations.keys().copied().filter(is_movable).collect()
    }

    fn evacuate_task(&mut self, now: Time, key: worker::Key, name: task::Name, why: &str) {
        let Some(entry) = self.entry(name.job) else { return };
        let (Some(step), Some(place)) = (entry.step(name), entry.placement(name)) else { return };
        let is_running = matches!(place.phase, Phase::Running { .. });
        if place.worker != key
            || !is_running
            || !step.long_running
            || !self.may_disrupt(entry, name, step)
        {
            return;
        }
        let place = self.choose(now, name, step, None);
        if place.is_none() && !self.may_wait_for_maintenance(now, key, name, step) {
            return self.want_advice(name);
        }
        let step = step.clone();
        self.request_stop(now, name);
        if let Some(key) = place.filter(|_| !step.gang) {
            self.reserve(name, key, &step, "it is stopped to move there");
        }
        self.note("task evacuated", Some(name), Some(key), why.to_owned());
    }

    /// Whether a task that has nowhere to go may be away for as long as the
    /// maintenance of its worker takes.
    ///
    /// A task that only this worker can run would keep it from its maintenance
    /// for good, and from taking other work meanwhile. Where all of the step's
    /// tasks there can't be away at once it stays: those that are left would
    /// keep the worker, and the one that was stopped had no place at all.
    fn may_wait_for_maintenance(
        &self,
        now: Time,
        key: worker::Key,
        name: task::Name,
        step: &Step,
    ) -> bool {
        let Some(worker) = self.workers.get(key) else { return false };
        let most = step.max_unavailable.unwrap_or(u32::MAX);
        worker.is_stranded(now) && worker.siblings(name) <= most
    }

    /// Whether a stop leaves enough of the step at work.
    ///
    /// A task counts as away from the first look on that its worker doesn't
    /// answer. What was last heard of it would have it at work for as long as
    /// the worker's lease, and one task more than may be would be stopped.
    fn may_disrupt(&self, entry: &Entry, name: task::Name, step: &Step) -> bool {
        let Some(may_miss) = step.max_unavailable else { return true };
        let is_at_work = |place: &Placement| {
            matches!(place.phase, Phase::Running { .. })
                && place.percent == READY_PERCENT
                && self.workers.get(place.worker).is_some_and(worker::Worker::is_responsive)
        };
        let Some(occurrence) = entry.occurrences.get(&name.occurrence) else { return true };
        let Some(state) = occurrence.steps.get(name.step as usize) else { return true };
        let others = state.tasks.iter().enumerate().filter(|(i, _)| *i != name.index as usize);
        let away = others.filter(|(_, task)| match &task.state {
            TaskState::Placed(place) => !is_at_work(place),
            _ => true,
        });
        away.count() < may_miss as usize
    }
}

fn is_stalled(now: Time, step: &Step, place: &Placement) -> bool {
    let Phase::Running { .. } = place.phase else { return false };
    if step.gang || step.backfill {
        return false;
    }
    if step.long_running {
        return place.percent < READY_PERCENT
            && now - place.since > STARTUP_TIMEOUT
            && now - place.progressed > STALL_TIMEOUT;
    }
    now - place.progressed > STALL_TIMEOUT + Duration::from_millis(step.estimate_ms / 40)
}
