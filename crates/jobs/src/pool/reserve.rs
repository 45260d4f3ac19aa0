//! Room that is kept for lasting tasks.
//!
//! A lasting task that takes most of a worker finds room only where several
//! smaller tasks have ended. These end one by one, and though it is ranked first,
//! each bit of room that comes free goes to smaller ones that wait behind it:
//! for as long as there are any, it doesn't run. One sees it as a task that waits
//! for seconds while tasks of lower rank are started. A task that is stopped to
//! move loses the room that it was stopped for in the same way, within the
//! moment that its stop takes.
//!
//! So room is kept on one worker for it, and what is kept counts like what runs
//! ([`Worker::occupied`]): nothing else is started there that would leave too
//! little. It is kept
//!
//! - from the moment on at which the task is stopped to move, where it has room;
//! - on the worker where its room comes free soonest, by what its tasks are
//!   predicted to take, once it has waited for [`WAIT`].
//!
//! What that costs smaller tasks: of a move nothing but the moment that the stop
//! takes, in which the room stands empty. Of a task that waits, what has come
//! free of its room until all of it has: at most its room, for as long as the
//! last task takes that has to end; with two that share it evenly, half of it for
//! half of such a task on average. At most one worker in [`SHARE`] is run empty
//! like this at a time, and one in any pool. Higher priorities wait too: what
//! lasts is promised to run whatever its queue.
//!
//! Nothing is kept for a gang: it needs room on several workers at once, and as
//! many would stand half empty until the last has it. Nor for what ends by
//! itself, however wide its step: tasks of a step start one by one, by rank, and
//! one that waits is late and not broken. What is kept is not written down: a
//! successor keeps room anew, after the same wait.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::advice::meets_requirements;
use super::entry::{Entry, Phase, StepState, TaskState, name};
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// How long a lasting task waits before room is kept for it: some tens of times
/// what it takes to place one that fits somewhere.
const RESERVE_AFTER: Duration = Duration::from_millis(300);
/// How long room is waited for at most, by what tasks are predicted to take. Where
/// nothing ends for minutes, a worker would stand nearly empty for as long, beside
/// small tasks that wait.
const MAX_WAIT: Duration = Duration::from_millis(4_000);
/// One worker in so many, and at least one, is kept from other work until a task
/// has its room there.
const WORKERS_PER_RESERVATION: usize = 8;

impl Pool {
    /// Keeps room on a worker for a task that is to run there.
    pub(super) fn reserve(&mut self, name: task::Name, key: worker::Key, step: &Step, why: &str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.reserved.insert(name, step.room());
        self.reservations.insert(name, key);
        self.note("room kept", Some(name), Some(key), why.to_owned());
    }

    fn cancel_reservation(&mut self, name: task::Name, why: &str) {
        let Some(key) = self.reservations.remove(&name) else { return };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved.remove(&name);
        }
        self.note("kept room given up", Some(name), Some(key), why.to_owned());
    }

    /// Ends what was kept for a task that starts on a worker.
    pub(super) fn consume_reservation(&mut self, name: task::Name, key: worker::Key) {
        if self.reservations.get(&name).is_some_and(|kept| *kept != key) {
            return self.cancel_reservation(name, "it found room elsewhere");
        }
        self.reservations.remove(&name);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved.remove(&name);
        }
    }

    /// Gives up what is kept and of no use any more.
    pub(super) fn review_reservations(&mut self, now: Time) {
        let over = |(name, key): (&task::Name, &worker::Key)| {
            Some((*name, self.cancel_reason(now, *name, *key)?))
        };
        let over: Vec<(task::Name, &str)> = self.reservations.iter().filter_map(over).collect();
        for (name, why) in over {
            self.cancel_reservation(name, why);
        }
    }

    fn cancel_reason(&self, now: Time, name: task::Name, key: worker::Key) -> Option<&'static str> {
        let open = self.entry(name.job).filter(|entry| !entry.state.is_final());
        let Some((entry, step)) = open.and_then(|entry| Some((entry, entry.step(name)?))) else {
            return Some("its job is over");
        };
        if !entry.task(name).is_some_and(|task| lacks_worker(&task.state)) {
            return Some("it runs, or is done");
        }
        let Some(worker) = self.workers.get(key).filter(|worker| worker.is_usable(now)) else {
            return Some("the worker takes no work");
        };
        let is_fit = self.may_host(now, name, step, (key, worker))
            && self.room_free_in(now, name, step, worker).is_some();
        (!is_fit).then_some("the worker can't carry it")
    }

    /// Keeps room for lasting tasks that have waited for long, or were stopped
    /// and have nowhere to go, those first that have waited for longest.
    pub(super) fn reserve_room(&mut self, now: Time) {
        let mut without = self.tasks_without_room(now);
        without.sort();
        for (_, name) in without {
            if self.is_at_reservation_limit(now) {
                return;
            }
            let Some(step) = self.entry(name.job).and_then(|entry| entry.step(name)) else {
                continue;
            };
            let step = step.clone();
            if let Some((frees_in, key)) = self.earliest_worker(now, name, &step) {
                let why = format!("it is to come free within {frees_in} ms");
                self.reserve(name, key, &step, &why);
            }
        }
    }

    /// Lasting tasks for which room is to be kept and isn't, and since when.
    fn tasks_without_room(&self, now: Time) -> Vec<(Time, task::Name)> {
        if !self.is_every_worker_polled() {
            return Vec::new();
        }
        let is_recovering = self.is_recovering(now);
        let is_meant = |entry: &&Entry| {
            let is_clear = !is_recovering || entry.revision > self.config.fence;
            entry.long_running && !entry.state.is_final() && is_clear
        };
        let mut found = Vec::new();
        for entry in self.jobs.values().filter(is_meant) {
            entry.tasks_without_room(now, &mut found);
        }
        found.retain(|(_, name)| !self.reservations.contains_key(name));
        found
    }

    /// Whether as many workers are run empty for lasting tasks as may be at once.
    fn is_at_reservation_limit(&self, now: Time) -> bool {
        let usable = self.workers.values().filter(|worker| worker.is_usable(now)).count();
        let is_short = |(name, key): &(&task::Name, &worker::Key)| {
            let worker = self.workers.get(**key);
            worker.is_some_and(|w| {
                w.reserved.get(name).is_some_and(|room| !w.has_room_for(**name, room))
            })
        };
        self.reservations.iter().filter(is_short).count()
            >= (usable / WORKERS_PER_RESERVATION).max(1)
    }

    /// The worker on which a task's room comes free soonest, and in how many
    /// milliseconds.
    fn earliest_worker(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
    ) -> Option<(u64, worker::Key)> {
        let fit = self.workers.iter().filter(|at| self.may_host(now, name, step, *at));
        fit.filter_map(|(key, worker)| Some((self.room_free_in(now, name, step, worker)?, key)))
            .min()
    }

    /// Whether a worker may carry a task once it has room.
    pub(super) fn may_host(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        (key, worker): (worker::Key, &Worker),
    ) -> bool {
        let is_bad = self.entry(name.job).and_then(|entry| entry.advice(name));
        worker.is_usable(now)
            && meets_requirements(worker, step)
            && !worker.allocations.contains_key(&name)
            && !is_bad.is_some_and(|known| known.is_refused(key))
            && (step.max_per_worker == 0 || worker.expected_siblings(name) < step.max_per_worker)
    }

    /// In how many milliseconds a worker is predicted to have room for a task; none
    /// if what runs there doesn't end by itself or in time, or is kept for others.
    fn room_free_in(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        worker: &Worker,
    ) -> Option<u64> {
        let needed = step.room();
        let mut occupied = worker.occupied(|kept| *kept == name);
        let ends =
            |(task, room): (&task::Name, &Room)| Some((self.remaining_ms(now, *task)?, *room));
        let allocations =
            worker.allocations.iter().map(|(task, allocations)| (task, &allocations.room));
        let mut ends: Vec<(u64, Room)> = allocations.filter_map(ends).collect();
        ends.sort_by_key(|(ends, _)| *ends);
        let mut frees_in = 0;
        for (ends, room) in ends {
            if worker.room.fits(&occupied, &needed) {
                break;
            }
            occupied.sub(&room);
            frees_in = ends;
        }
        let is_soon = Duration::from_millis(frees_in) <= MAX_WAIT;
        (is_soon && worker.room.fits(&occupied, &needed)).then_some(frees_in)
    }

    /// In how many milliseconds a run is predicted to end; none if it lasts.
    /// What is being stopped, or is nobody's, ends in a moment.
    fn remaining_ms(&self, now: Time, name: task::Name) -> Option<u64> {
        let Some(entry) = self.entry(name.job).filter(|entry| !entry.state.is_final()) else {
            return Some(0);
        };
        let (Some(step), Some(place)) = (entry.step(name), entry.placement(name)) else {
            return Some(0);
        };
        if matches!(place.phase, Phase::Stopping { .. }) {
            return Some(0);
        }
        let takes = Duration::from_millis(self.predict(&entry.queue, step));
        let so_far = now - place.since;
        // One that takes longer than predicted is taken to go on for as long again.
        let left = takes.abs_diff(so_far);
        (!step.long_running).then(|| worker::millis(left))
    }
}

impl Entry {
    fn tasks_without_room(&self, now: Time, found: &mut Vec<(Time, task::Name)>) {
        for (occurrence, row) in &self.occurrences {
            let ready = self.steps.iter().zip(&row.steps).enumerate();
            let ready = ready.filter(|(_, (step, _))| step.long_running && !step.gang);
            for (index, (_, state)) in ready.filter(|(_, (step, _))| row.is_ready(step)) {
                let since = waiting_since_by_task(now, self.known_since, state);
                found.extend(since.map(|(i, since)| (since, name(self.id, *occurrence, index, i))));
            }
        }
    }
}

fn waiting_since_by_task(
    now: Time,
    begun: Time,
    state: &StepState,
) -> impl Iterator<Item = (usize, Time)> + '_ {
    let since = move |(index, task): (usize, &super::entry::Task)| {
        let since = match &task.state {
            TaskState::Waiting => task.not_before.max(begun),
            TaskState::Placed(place) => place.since,
            TaskState::Done => return None,
        };
        let is_due = !matches!(task.state, TaskState::Waiting) || now - since > RESERVE_AFTER;
        (lacks_worker(&task.state) && is_due).then_some((index, since))
    };
    state.tasks.iter().enumerate().filter_map(since)
}

/// Whether a task has no worker, or is about to have none.
fn lacks_worker(at: &TaskState) -> bool {
    match at {
        TaskState::Waiting => true,
        TaskState::Placed(place) => matches!(place.phase, Phase::Stopping { .. }),
        TaskState::Done => false,
    }
}

impl Worker {
    /// What runs there and what is kept, but for what is kept for oneself.
    pub(super) fn occupied(&self, is_own: impl Fn(&task::Name) -> bool) -> Room {
        let mut occupied = self.used;
        let others = self.reserved.iter().filter(|(name, _)| !is_own(name));
        others.for_each(|(_, room)| occupied.add(room));
        occupied
    }

    /// Whether a task finds room beside what runs and what is kept for others.
    pub(super) fn has_room_for(&self, name: task::Name, needed: &Room) -> bool {
        self.room.fits(&self.occupied(|kept| *kept == name), needed)
    }

    /// Other tasks of the same step that run here or have room kept.
    pub(super) fn expected_siblings(&self, name: task::Name) -> u32 {
        let is_sibling = |other: &&task::Name| **other != name && other.is_sibling(&name);
        let kept = self.reserved.keys().filter(is_sibling).count();
        self.siblings(name).saturating_add(u32::try_from(kept).unwrap_or(u32::MAX))
    }
}
