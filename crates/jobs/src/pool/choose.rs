//! Choice of the worker for a task.

use std::cmp::Reverse;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::Entry;
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// Cost of each consecutive failure on a worker, in thousandths of a free core: two failures
/// outweigh any difference in load between workers of one size.
const FAILURE_COST: i64 = 1_000_000;

/// Bonus for a worker that hosts long-running tasks, in the same unit: more than any worker
/// has.
const LONG_RUNNING_BONUS: i64 = 300_000;

/// Cost of each serving task on a worker when a backfill task is placed.
const NEIGHBOUR_COST: i64 = 500_000;

/// Maximum time that a task waits for a worker near its data. A longer wait only results from
/// inaccurate estimates.
const MAX_RACK_WAIT: Duration = Duration::from_millis(1_500);

/// The score of a worker for a task; higher is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// Whether the worker is in the rack of the task's data.
    pub is_near: bool,
    /// Whether tasks without special requirements leave features to those that wait for them.
    pub leaves_features_free: bool,
    /// Whether a long-running step keeps at least two workers.
    pub is_spread: bool,
    /// The points for its load.
    pub points: i64,
}

/// Returns the points of a worker for a task of a step, in thousandths of a core: tasks are packed
/// onto the workers with the least unused CPU.
pub(super) fn points(
    step: &Step,
    unused_cpu: u64,
    failures: u32,
    serving: u32,
    hosts_long_running: bool,
) -> i64 {
    let mut points = -i64::try_from(unused_cpu).unwrap_or(i64::MAX);
    points -= i64::from(failures) * FAILURE_COST;
    if step.backfill {
        points -= i64::from(serving) * NEIGHBOUR_COST;
    } else if hosts_long_running {
        // The worker stays in the pool anyway.
        points += LONG_RUNNING_BONUS;
    }
    points
}

impl Pool {
    /// Returns the best worker for a task among those that meet its requirements and have room,
    /// or `None` if there is none. `rack` restricts the choice to one rack.
    pub(super) fn choose(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        rack: Option<&str>,
    ) -> Option<worker::Key> {
        let room = step.room();
        let needs_advice = self.needs_advice(name);
        let preferred = step
            .preferred_rack
            .as_deref()
            .filter(|rack| self.waits_for_rack(now, name, step, rack));
        let may_use_stranded = self.may_use_stranded(now, step);
        let can_run = |worker: &Worker| {
            (worker.is_usable(now) || (may_use_stranded && worker.is_stranded(now)))
                && worker.has_room_for(name, &room)
                && !worker.allocations.contains_key(&name)
                && step.label.as_ref().is_none_or(|label| worker.has_label(label))
                && rack.or(preferred).is_none_or(|rack| worker.rack == rack)
                && (step.max_per_worker == 0
                    || worker.expected_siblings(name) < step.max_per_worker)
        };
        let candidates = self.workers.iter().filter(|(_, worker)| can_run(worker));
        let candidates = candidates
            .filter(|(key, _)| !needs_advice || self.is_allowed_by_advice(now, name, *key));
        let candidates = candidates.filter(|(key, _)| self.may_start_beside_suspects(name, *key));
        let is_suspect = self.crashes(name) > 0;
        // A suspect of a crash prefers a worker without starting runs, so that it is the only
        // suspect if that worker crashes.
        let is_preferred = |key| !is_suspect || self.has_no_starting_run(key);
        candidates
            .max_by_key(|(key, worker)| {
                (is_preferred(*key), self.score(worker, name, step), Reverse(*key))
            })
            .map(|(key, _)| key)
    }

    /// Returns whether a task waits for a worker in the rack of its data.
    ///
    /// Elsewhere it takes several times as long and occupies room for that time. It waits at most
    /// as long as it saves, if a worker in the rack could run it once it has room. With a factor of
    /// three and half of the jobs near some rack, full pools earn 0.16 to 0.21 more of the possible
    /// earnings.
    pub(super) fn waits_for_rack(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        rack: &str,
    ) -> bool {
        let could_run = |worker: &Worker| {
            worker.is_usable(now)
                && worker.rack == rack
                && worker.room.fits(&Room::default(), &step.room())
        };
        self.may_wait_for_rack(now, name, step) && self.workers.values().any(could_run)
    }

    /// Returns whether a task has waited for less time than it saves by running where it takes
    /// the least time.
    pub(super) fn may_wait_for_rack(&self, now: Time, name: task::Name, step: &Step) -> bool {
        let Some(entry) = self.entry(name.job) else { return false };
        let occurrence = entry.occurrences.get(&name.occurrence);
        let state = occurrence.and_then(|occurrence| occurrence.steps.get(name.step as usize));
        let since = state.and_then(|state| state.waiting_since).unwrap_or(now);
        now - since < self.rack_wait(entry, step)
    }

    /// Returns how long a task of a step waits for a worker in the rack of its data.
    pub(super) fn rack_wait(&self, entry: &Entry, step: &Step) -> Duration {
        if step.long_running {
            return Duration::ZERO;
        }
        let duration = Duration::from_millis(self.predict(&entry.queue, step));
        duration.mul_f64(self.config.remote_factor - 1.0).min(MAX_RACK_WAIT)
    }

    /// Returns whether a step may run on workers that are to be maintained and could not be
    /// emptied. This is so if it needs a feature that no other worker has: it would otherwise wait
    /// for the end of the maintenance, which may never start. Long-running tasks are excluded,
    /// since they would delay the maintenance forever.
    pub(super) fn may_use_stranded(&self, now: Time, step: &Step) -> bool {
        let Some(feature) = Feature::of(step).filter(|_| !step.long_running) else { return false };
        let has_feature = |worker: &&Worker| feature.is_provided_by(&worker.labels, &worker.room);
        !self.workers.values().filter(has_feature).any(|worker| worker.is_usable(now))
    }

    /// Returns the score of a worker for a task.
    ///
    /// Tasks are packed onto the workers with the least free CPU, so that others run empty and
    /// can leave the pool. Long-running tasks of one step are spread over at least two workers
    /// if possible, so that the loss of one worker doesn't stop all of them.
    fn score(&self, worker: &Worker, name: task::Name, step: &Step) -> Score {
        let is_spread =
            !step.long_running || worker.expected_siblings(name) < step.count.div_ceil(2);
        let unused_cpu = worker.room.cpu.saturating_sub(worker.used.cpu);
        let hosts_long_running = self.hosts_long_running(worker);
        Score {
            is_near: step.preferred_rack.as_ref().is_some_and(|rack| worker.rack == *rack),
            leaves_features_free: Feature::of(step).is_some()
                || !self.has_requested_feature(worker),
            is_spread,
            points: points(
                step,
                unused_cpu,
                worker.failures_in_row,
                worker.serving,
                hosts_long_running,
            ),
        }
    }

    /// Returns whether a worker has a feature that waiting tasks need and not every worker has.
    pub(super) fn has_requested_feature(&self, worker: &Worker) -> bool {
        self.ranking.features().any(|feature| feature.is_provided_by(&worker.labels, &worker.room))
    }
}

impl Worker {
    /// Returns the number of tasks here of the same step of the same occurrence.
    pub(super) fn siblings(&self, name: task::Name) -> u32 {
        let is_sibling = |other: &&task::Name| other.is_sibling(&name);
        u32::try_from(self.allocations.keys().filter(is_sibling).count()).unwrap_or(u32::MAX)
    }
}
