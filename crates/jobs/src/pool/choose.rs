//! On which worker a task runs.

use std::cmp::Reverse;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// What a failed run in a row counts for in the choice of a worker, in
/// thousandths of a core left free: two failures outweigh any difference in
/// load between workers of one size.
const FAILURE_COST: i64 = 1_000_000;

/// What lasting tasks on a worker count for in its favour, in the same unit:
/// more than any worker has.
const LONG_RUNNING_BONUS: i64 = 300_000;

/// What a serving task beside it counts for where a filling one is placed.
const NEIGHBOUR_COST: i64 = 500_000;

/// How long a task waits at most for a worker near its data. Long waits are for
/// estimates that are far off.
const MAX_RACK_WAIT: Duration = Duration::from_millis(1_500);

impl Pool {
    /// The worker for a task: one that has all it needs, near its data, that
    /// fails least, and with the most left.
    pub(super) fn choose(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        rack: Option<&str>,
    ) -> Option<worker::Key> {
        let room = step.room();
        let near = step
            .preferred_rack
            .as_deref()
            .filter(|rack| self.waits_for_rack(now, name, step, rack));
        let may_use_stranded = self.may_use_stranded(now, step);
        let is_fit = |worker: &Worker| {
            (worker.is_usable(now) || (may_use_stranded && worker.is_stranded(now)))
                && worker.has_room_for(name, &room)
                && !worker.allocations.contains_key(&name)
                && step.label.as_ref().is_none_or(|label| worker.has_label(label))
                && rack.or(near).is_none_or(|rack| worker.rack == rack)
                && (step.max_per_worker == 0
                    || worker.expected_siblings(name) < step.max_per_worker)
        };
        let fit = self.workers.iter().filter(|(_, worker)| is_fit(worker));
        let fit = fit.filter(|(key, _)| self.is_allowed_by_advice(now, name, *key));
        let fit = fit.filter(|(key, _)| self.may_start_beside_suspects(name, *key));
        let is_suspect = self.crashes(name) > 0;
        // A suspect prefers a worker with no starting run, to be the only suspect of a crash.
        let is_preferred = |key| !is_suspect || self.has_no_starting_run(key);
        fit.max_by_key(|(key, worker)| {
            (is_preferred(*key), self.score(worker, name, step), Reverse(*key))
        })
        .map(|(key, _)| key)
    }

    /// Whether a task waits for a worker in the rack of its data.
    ///
    /// Elsewhere it takes several times as long, and takes room for as long. It
    /// waits for as long as it saves there, if there is a worker that could carry
    /// it once it has room. *Measured* with three times as long and half of the
    /// jobs near some rack: 0.16 to 0.21 more of what is owed is earned in full
    /// pools.
    fn waits_for_rack(&self, now: Time, name: task::Name, step: &Step, rack: &str) -> bool {
        let could = |worker: &Worker| {
            worker.is_usable(now)
                && worker.rack == rack
                && worker.room.fits(&Room::default(), &step.room())
        };
        self.may_wait_for_rack(now, name, step) && self.workers.values().any(could)
    }

    /// Whether a task has waited for less than it saves by running where it takes
    /// no longer than it has to.
    pub(super) fn may_wait_for_rack(&self, now: Time, name: task::Name, step: &Step) -> bool {
        let Some(entry) = self.entry(name.job) else { return false };
        let occurrence = entry.occurrences.get(&name.occurrence);
        let state = occurrence.and_then(|occurrence| occurrence.steps.get(name.step as usize));
        let since = state.and_then(|state| state.waiting_since).unwrap_or(now);
        let takes = Duration::from_millis(self.predict(&entry.queue, step));
        let saved = takes.mul_f64(self.config.remote_factor - 1.0);
        now - since < saved.min(MAX_RACK_WAIT) && !step.long_running
    }

    /// Whether a step may go to workers that are to be maintained and could not
    /// be emptied: where it needs what only these have. Kept from them, it would
    /// wait as long as the maintenance does, for which there may be no moment.
    /// What lasts would put that off for good.
    pub(super) fn may_use_stranded(&self, now: Time, step: &Step) -> bool {
        let Some(feature) = Feature::of(step).filter(|_| !step.long_running) else { return false };
        let has = |worker: &&Worker| feature.is_had(&worker.labels, &worker.room);
        !self.workers.values().filter(has).any(|worker| worker.is_usable(now))
    }

    /// How well a worker suits a task, best first.
    ///
    /// Tasks are packed: they go where least is left, so that other workers run
    /// empty and can leave the pool. Lasting tasks of one step go to two workers
    /// at least where there are two: the loss of one must not take them all.
    fn score(&self, worker: &Worker, name: task::Name, step: &Step) -> (bool, bool, bool, i64) {
        let is_near = step.preferred_rack.as_ref().is_some_and(|rack| worker.rack == *rack);
        let is_spread =
            !step.long_running || worker.expected_siblings(name) < step.count.div_ceil(2);
        let free = worker.room.cpu.saturating_sub(worker.used.cpu);
        let mut score = -i64::try_from(free).unwrap_or(i64::MAX);
        score -= i64::from(worker.failures_in_row) * FAILURE_COST;
        if step.backfill {
            score -= i64::from(self.serving_tasks(worker)) * NEIGHBOUR_COST;
        } else if self.hosts_long_running(worker) {
            // It stays in the pool whatever comes.
            score += LONG_RUNNING_BONUS;
        }
        // What any worker could run leaves alone those that other work waits for.
        let is_unsought = Feature::of(step).is_some() || !self.has_requested_feature(worker);
        (is_near, is_unsought, is_spread, score)
    }

    /// Whether a worker has what waiting tasks need and not every worker has.
    fn has_requested_feature(&self, worker: &Worker) -> bool {
        self.requested_features.iter().any(|feature| feature.is_had(&worker.labels, &worker.room))
    }

    fn serving_tasks(&self, worker: &Worker) -> u32 {
        let is_serving = |name: &&task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(**name));
            step.is_some_and(|step| step.target_ms > 0)
        };
        u32::try_from(worker.allocations.keys().filter(is_serving).count()).unwrap_or(u32::MAX)
    }
}

impl Worker {
    /// Tasks here of the same step of the same occurrence.
    pub(super) fn siblings(&self, name: task::Name) -> u32 {
        let is_sibling = |other: &&task::Name| other.is_sibling(&name);
        u32::try_from(self.allocations.keys().filter(is_sibling).count()).unwrap_or(u32::MAX)
    }
}
