//! Which workers a pool lets go that has more than it needs.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::StepState;
use super::{Pool, advice};
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::worker::{self, Worker};

/// A worker that takes work, or would if it were not too many.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: worker::Key,
    /// Whether nothing that lasts holds it.
    is_free: bool,
    is_surplus: bool,
    used: u64,
}

impl Candidate {
    /// Those that stay come first: what already runs empty goes on, and of the
    /// others the least busy go.
    fn rank(&self) -> (bool, bool, Reverse<u64>, worker::Key) {
        (self.is_free, self.is_surplus, Reverse(self.used), self.key)
    }
}

impl Pool {
    /// Keeps `keep` workers that take work, and vacates the others for `time`:
    /// those that nothing lasting holds and no step needs, the least busy first.
    /// Which of them are empty, and may leave the pool.
    ///
    /// Workers that are vacated for this alone take work again when `keep`
    /// grows, or a step needs them.
    pub fn shrink(&mut self, now: Time, keep: u32, time: Duration) -> Vec<String> {
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(Candidate::rank);
        let needed = self.required_workers(&candidates);
        let stays = |one: &Candidate| !one.is_free || needed.contains(&one.key);
        candidates.sort_by_key(|one| !stays(one));
        let mut empty = Vec::new();
        for (rank, one) in candidates.iter().enumerate() {
            let Some(worker) = self.workers.get_mut(one.key) else { continue };
            worker.is_surplus = rank >= keep as usize && !stays(one);
            worker.vacate_until = if worker.is_surplus { now + time } else { Time::ZERO };
            if worker.is_surplus && worker.allocations.is_empty() && worker.strays.is_empty() {
                empty.push(worker.id.clone());
            }
        }
        empty
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        let able = self.workers.iter().filter(|(_, worker)| worker.is_usable_or_surplus(now));
        let candidate = |(key, worker): (worker::Key, &Worker)| Candidate {
            key,
            is_free: !self.hosts_long_running(worker),
            is_surplus: worker.is_surplus,
            used: worker.used.cpu,
        };
        able.map(candidate).collect()
    }

    /// Workers without which a step that is not done could run nowhere in the pool.
    ///
    /// A step may need a label, a size, or the word of another service, which few
    /// workers have. While it waits for its turn, or for room, these stand idle and
    /// look like those to let go. Without this the step waits beside workers that
    /// may not run it: one sees `task waits` for it, and `advice told` with none.
    fn required_workers(&self, candidates: &[Candidate]) -> HashSet<worker::Key> {
        let least = self.least_room(candidates);
        let mut needed: HashSet<worker::Key> = HashSet::new();
        for entry in self.jobs.values().filter(|entry| !entry.state.is_final()) {
            for occurrence in entry.occurrences.values() {
                let open = entry
                    .steps
                    .iter()
                    .zip(&occurrence.steps)
                    .filter(|(s, state)| needs_worker(s, state));
                for (step, state) in open.filter(|(s, state)| is_selective(s, state, &least)) {
                    let stays = |one: &&Candidate| !one.is_free || needed.contains(&one.key);
                    let found = self.worker_to_keep(candidates, step, state, stays);
                    needed.extend(found.map(|one| one.key));
                }
            }
        }
        needed
    }

    /// The worker that is to stay for a step; none if one that `stays` may run it, or
    /// none may. One that is known to be allowed to, or one of which nothing is known
    /// where none is.
    fn worker_to_keep<'a>(
        &self,
        candidates: &'a [Candidate],
        step: &Step,
        state: &StepState,
        stays: impl Fn(&&Candidate) -> bool,
    ) -> Option<&'a Candidate> {
        let could = |one: &&Candidate| self.could_run(one, step);
        let is_good = |one: &&Candidate| state.advice.is_allowed(one.key) && could(one);
        let is_open = |one: &&Candidate| !state.advice.is_refused(one.key) && could(one);
        if candidates.iter().any(|one| is_good(&one)) {
            let is_held = candidates.iter().any(|one| stays(&one) && is_good(&one));
            return candidates.iter().find(is_good).filter(|_| !is_held);
        }
        let is_held = candidates.iter().any(|one| stays(&one) && is_open(&one));
        candidates.iter().find(is_open).filter(|_| !is_held)
    }

    /// Whether a worker has what a step needs, and room for it beside what lasts there.
    fn could_run(&self, one: &Candidate, step: &Step) -> bool {
        let worker = self.workers.get(one.key);
        worker.is_some_and(|worker| {
            advice::meets_requirements(worker, step)
                && worker.room.fits(&self.long_running_room(worker), &step.room())
        })
    }

    /// What each of some workers has at least.
    fn least_room(&self, candidates: &[Candidate]) -> Room {
        let rooms = candidates.iter().filter_map(|one| self.workers.get(one.key)).map(|w| w.room);
        let least = |a: Room, b: Room| Room {
            cpu: a.cpu.min(b.cpu),
            memory_mb: a.memory_mb.min(b.memory_mb),
            gpu: a.gpu.min(b.gpu),
        };
        rooms.reduce(least).unwrap_or_default()
    }
}

/// Whether a step still needs a worker. What lasts stays where all of it runs: these
/// workers aren't let go, and where it fills them they would not be taken for ones that
/// can run it.
fn needs_worker(step: &Step, state: &StepState) -> bool {
    if step.long_running { state.waiting > 0 } else { state.unfinished > 0 }
}

/// Whether some workers may not run a step, as far as can be told at once.
fn is_selective(step: &Step, state: &StepState, least: &Room) -> bool {
    let is_large = !least.fits(&Room::default(), &step.room());
    is_large || Feature::of(step).is_some() || state.advice.has_response()
}

impl Worker {
    /// Whether it takes work, or would if its pool had not too many workers.
    pub(super) fn is_usable_or_surplus(&self, now: Time) -> bool {
        self.is_healthy() && (!self.is_vacating(now) || self.is_surplus)
    }
}
