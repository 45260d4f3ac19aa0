//! Release of workers from a pool that has more than it needs.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::StepState;
use super::gang_size::is_ready_gang;
use super::{Pool, advice};
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::worker::{self, Worker};

/// A worker that takes new tasks, or would if the pool had fewer workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub key: worker::Key,
    /// Whether it hosts no long-running task and none has room reserved there.
    is_free: bool,
    is_surplus: bool,
    /// How soon it can be empty, and at what cost, if that is known.
    ease: (u64, u64),
    used: u64,
}

impl Candidate {
    /// Orders the workers to keep first. Workers that are already being emptied are released
    /// before others, and among these the ones that are soon empty and the least busy ones.
    fn rank(&self) -> impl Ord + use<> {
        (self.is_free, self.is_surplus, Reverse(self.ease), Reverse(self.used), self.key)
    }
}

impl Pool {
    /// Keeps `keep` workers in use and vacates the others for `time`, the least busy ones
    /// first. Workers that host long-running tasks or that a step requires are always kept.
    /// Returns the vacated workers that are empty and may leave the pool.
    ///
    /// Workers that are vacated only by this method are used again when `keep` grows or a step
    /// needs them.
    pub fn shrink(&mut self, now: Time, keep: u32, time: Duration) -> Vec<String> {
        self.shrink_for_others(now, keep, 0, time)
    }

    /// Like [`Pool::shrink`], while other pools miss `missing` VMs: if tasks may be relocated, up to
    /// so many of the vacated workers are emptied by stopping their tasks and resuming them on
    /// others.
    pub fn shrink_for_others(
        &mut self,
        now: Time,
        keep: u32,
        missing: u32,
        time: Duration,
    ) -> Vec<String> {
        self.set_missing(now, missing);
        let mut candidates = self.candidates(now);
        if self.config.contention.relocate && candidates.len() > keep as usize {
            for candidate in &mut candidates {
                candidate.ease = self.ease_of_emptying(now, candidate.key, missing > 0);
            }
        }
        candidates.sort_by_key(Candidate::rank);
        let required = self.required_workers(&candidates);
        let stays = |candidate: &Candidate| !candidate.is_free || required.contains(&candidate.key);
        candidates.sort_by_key(|candidate| !stays(candidate));
        let is_confirmed = self.is_confirmed(now);
        let mut empty = Vec::new();
        for (rank, candidate) in candidates.iter().enumerate() {
            let Some(worker) = self.workers.get_mut(candidate.key) else { continue };
            worker.is_surplus = rank >= keep as usize && !stays(candidate);
            worker.vacate_until = if worker.is_surplus { now + time } else { Time::ZERO };
            if is_confirmed && worker.is_surplus && worker.is_empty() && worker.strays.is_empty() {
                empty.push(worker.id.clone());
            }
        }
        empty
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        let healthy = self.workers.iter().filter(|(_, worker)| worker.is_usable_or_surplus(now));
        let to_candidate = |(key, worker): (worker::Key, &Worker)| Candidate {
            key,
            is_free: !self.hosts_long_running(worker),
            is_surplus: worker.is_surplus,
            ease: (0, 0),
            used: worker.used.cpu,
        };
        healthy.map(to_candidate).collect()
    }

    /// Returns the workers without which an unfinished step could run nowhere in the pool, or not all
    /// tasks of a gang at once.
    ///
    /// A step may need a label, a size, or permission by the advice service, which few workers
    /// have. While the step waits for its turn or for room, these workers are idle and look
    /// dispensable. Without this check the step waits beside workers that may not run it: the
    /// log shows `task waits` for it, and `advice told` without an allowed worker.
    fn required_workers(&self, candidates: &[Candidate]) -> HashSet<worker::Key> {
        let least = self.least_room(candidates);
        let held = self.held_tasks();
        let mut required: HashSet<worker::Key> = HashSet::new();
        for (job, entry) in self.active.iter().filter_map(|key| Some((*key, self.jobs.get(*key)?)))
        {
            for (number, occurrence) in &entry.occurrences {
                let unfinished = entry
                    .steps
                    .iter()
                    .zip(&occurrence.steps)
                    .filter(|(s, state)| needs_worker(s, state));
                for (step, state) in unfinished.filter(|(s, state)| is_selective(s, state, &least))
                {
                    let stays = |candidate: &&Candidate| {
                        !candidate.is_free || required.contains(&candidate.key)
                    };
                    let found = self.worker_to_keep(candidates, step, state, stays);
                    required.extend(found.map(|candidate| candidate.key));
                }
                let steps = entry.steps.iter().zip(&occurrence.steps).enumerate();
                let gangs = steps.filter(|(index, (step, state))| {
                    is_ready_gang(step, state, occurrence)
                        && needs_worker(step, state)
                        && held.count((job, (*number, *index))) == 0
                });
                for (_, (step, state)) in gangs {
                    let stays = |candidate: &Candidate| {
                        !candidate.is_free || required.contains(&candidate.key)
                    };
                    required.extend(self.workers_to_keep_for_gang(candidates, step, state, stays));
                }
            }
        }
        required
    }

    /// Returns the worker to keep for a step, or `None` if a worker that `stays` may run it
    /// already, or no worker may. Prefers a worker that the advice service has allowed; without
    /// one, takes a worker that it has not refused.
    fn worker_to_keep<'a>(
        &self,
        candidates: &'a [Candidate],
        step: &Step,
        state: &StepState,
        stays: impl Fn(&&Candidate) -> bool,
    ) -> Option<&'a Candidate> {
        let can_run = |candidate: &&Candidate| self.could_run(candidate, step);
        let is_allowed =
            |candidate: &&Candidate| state.advice.is_allowed(candidate.key) && can_run(candidate);
        let is_possible =
            |candidate: &&Candidate| !state.advice.is_refused(candidate.key) && can_run(candidate);
        if candidates.iter().any(|candidate| is_allowed(&candidate)) {
            let is_covered =
                candidates.iter().any(|candidate| stays(&candidate) && is_allowed(&candidate));
            return candidates.iter().find(is_allowed).filter(|_| !is_covered);
        }
        let is_covered =
            candidates.iter().any(|candidate| stays(&candidate) && is_possible(&candidate));
        candidates.iter().find(is_possible).filter(|_| !is_covered)
    }

    /// Returns whether a worker meets the requirements of a step and has room for it beside its
    /// long-running tasks.
    fn could_run(&self, candidate: &Candidate, step: &Step) -> bool {
        let worker = self.workers.get(candidate.key);
        worker.is_some_and(|worker| {
            advice::meets_requirements(worker, step)
                && worker.room.fits(&self.long_running_room(worker), &step.room())
        })
    }

    /// Returns the least CPU, memory and accelerators that any of some workers has.
    fn least_room(&self, candidates: &[Candidate]) -> Room {
        let rooms = candidates
            .iter()
            .filter_map(|candidate| self.workers.get(candidate.key))
            .map(|w| w.room);
        let least = |a: Room, b: Room| Room {
            cpu: a.cpu.min(b.cpu),
            memory_mb: a.memory_mb.min(b.memory_mb),
            gpu: a.gpu.min(b.gpu),
        };
        rooms.reduce(least).unwrap_or_default()
    }
}

/// Returns whether a step still needs a worker. For a long-running step whose tasks all run
/// this is false: their workers are kept anyway, and if the tasks fill them, `could_run` would
/// wrongly exclude them.
fn needs_worker(step: &Step, state: &StepState) -> bool {
    if step.long_running { state.waiting > 0 } else { state.unfinished > 0 }
}

/// Returns whether some workers can't run a step, as far as is known without a query.
fn is_selective(step: &Step, state: &StepState, least: &Room) -> bool {
    let is_large = !least.fits(&Room::default(), &step.room());
    is_large || Feature::of(step).is_some() || state.advice.has_response()
}

impl Worker {
    /// Returns whether the worker takes new tasks, or would if its pool had fewer workers.
    pub(super) fn is_usable_or_surplus(&self, now: Time) -> bool {
        self.is_healthy() && (!self.is_vacating(now) || self.is_surplus)
    }
}
