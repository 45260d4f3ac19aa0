//! Reservation of room for long-running tasks.
//!
//! A long-running task that needs most of a worker finds room only after several smaller tasks
//! there have ended. They end one by one, and although the long-running task ranks first,
//! smaller tasks behind it take each piece of room that becomes free, so that it starves. The
//! log then shows a task that waits for seconds while tasks of lower rank start. Likewise, a
//! task that is stopped to be moved could lose its new place while the stop takes effect.
//!
//! Therefore room is reserved for the task on one worker. Reserved room counts as used
//! ([`Worker::occupied`]): no other task may start that would leave too little. Room is
//! reserved
//!
//! - when the task is stopped to be moved, on the worker that has room for it;
//! - once the task has waited for [`RESERVE_AFTER`], on the worker where enough room is
//!   predicted to become free first.
//!
//! Cost to smaller tasks: for a move, the room idles only while the stop takes effect. For a
//! waiting task, the room that has already become free idles until there is enough: at most the
//! task's room for as long as the longest task takes that has to end; if two tasks share it
//! evenly, half of it for half the duration of such a task on average. At most one worker in
//! [`WORKERS_PER_RESERVATION`] is drained like this at a time, and at least one in each pool.
//! Tasks of higher priority wait too: long-running tasks are promised to run whatever their
//! queue.
//!
//! Gangs get no reservations: a gang needs room on several workers at once, and they would all
//! stand half empty until the last one has room. Nor do other steps, however many
//! tasks they have: their tasks start one by one, by rank, and a waiting one is only late.
//! Reservations are not written to the store; a successor makes new ones after the same wait.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::advice::meets_requirements;
use super::entry::{Entry, Phase, StepState, TaskState, name};
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// How long a long-running task waits until room is reserved: some tens of times as long as
/// placing a task that fits somewhere takes.
const RESERVE_AFTER: Duration = Duration::from_millis(300);
/// Maximum predicted time until reserved room becomes free. If nothing ended for minutes, a
/// worker would stand nearly empty for that long while small tasks wait.
const MAX_WAIT: Duration = Duration::from_millis(4_000);
/// At most one in this many workers, and at least one, is drained for reservations.
const WORKERS_PER_RESERVATION: usize = 8;

impl Pool {
    /// Reserves room on a worker for a task.
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

    /// Ends the reservation of a task that starts on a worker.
    pub(super) fn consume_reservation(&mut self, name: task::Name, key: worker::Key) {
        if self.reservations.get(&name).is_some_and(|reserved_on| *reserved_on != key) {
            return self.cancel_reservation(name, "the task started on another worker");
        }
        self.reservations.remove(&name);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved.remove(&name);
        }
    }

    /// Cancels reservations that are no longer useful.
    pub(super) fn review_reservations(&mut self, now: Time) {
        let with_reason = |(name, key): (&task::Name, &worker::Key)| {
            Some((*name, self.cancel_reason(now, *name, *key)?))
        };
        let cancelled: Vec<(task::Name, &str)> =
            self.reservations.iter().filter_map(with_reason).collect();
        for (name, why) in cancelled {
            self.cancel_reservation(name, why);
        }
    }

    fn cancel_reason(&self, now: Time, name: task::Name, key: worker::Key) -> Option<&'static str> {
        let active = self.entry(name.job).filter(|entry| !entry.state.is_final());
        let Some((entry, step)) = active.and_then(|entry| Some((entry, entry.step(name)?))) else {
            return Some("its job has ended");
        };
        if !entry.task(name).is_some_and(|task| lacks_worker(&task.state)) {
            return Some("the task is running or done");
        }
        let Some(worker) = self.workers.get(key).filter(|worker| worker.is_usable(now)) else {
            return Some("the worker accepts no new tasks");
        };
        let can_host = self.may_host(now, name, step, (key, worker))
            && self.room_free_in(now, name, step, worker).is_some();
        (!can_host).then_some("the worker can't host the task, or won't have room in time")
    }

    /// Reserves room for long-running tasks that have waited for a while, or were stopped and
    /// have no other place. Tasks that have waited longest come first.
    pub(super) fn reserve_room(&mut self, now: Time) {
        let mut waiting = self.tasks_without_room(now);
        waiting.sort();
        for (_, name) in waiting {
            if self.is_at_reservation_limit(now) {
                return;
            }
            let Some(step) = self.entry(name.job).and_then(|entry| entry.step(name)) else {
                continue;
            };
            let step = step.clone();
            if let Some((free_in_ms, key)) = self.earliest_worker(now, name, &step) {
                let why = format!("room is predicted to be free in {free_in_ms} ms");
                self.reserve(name, key, &step, &why);
            }
        }
    }

    /// Returns the long-running tasks that need a reservation and have none, each with the time
    /// since which it has waited.
    fn tasks_without_room(&self, now: Time) -> Vec<(Time, task::Name)> {
        if !self.is_every_inherited_worker_polled() {
            return Vec::new();
        }
        let is_recovering = self.is_recovering(now);
        let may_reserve =
            |entry: &&Entry| !entry.state.is_final() && self.is_safe_to_start(is_recovering, entry);
        let mut found = Vec::new();
        let unplaced = self.unplaced.iter().filter_map(|key| self.jobs.get(*key));
        for entry in unplaced.filter(may_reserve) {
            entry.tasks_without_room(now, &mut found);
        }
        found.retain(|(_, name)| {
            !self.reservations.contains_key(name) && !self.is_blocked_by_limit(name.job)
        });
        found
    }

    /// Returns whether the maximum number of workers is being drained for reservations.
    fn is_at_reservation_limit(&self, now: Time) -> bool {
        let usable = self.workers.values().filter(|worker| worker.is_usable(now)).count();
        let lacks_room = |(name, key): &(&task::Name, &worker::Key)| {
            let worker = self.workers.get(**key);
            worker.is_some_and(|w| {
                w.reserved.get(name).is_some_and(|room| !w.has_room_for(**name, room))
            })
        };
        self.reservations.iter().filter(lacks_room).count()
            >= (usable / WORKERS_PER_RESERVATION).max(1)
    }

    /// Returns the worker that is predicted to have room for a task first, and in how many
    /// milliseconds.
    fn earliest_worker(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
    ) -> Option<(u64, worker::Key)> {
        let candidates =
            self.workers.iter().filter(|worker| self.may_host(now, name, step, *worker));
        candidates
            .filter_map(|(key, worker)| Some((self.room_free_in(now, name, step, worker)?, key)))
            .min()
    }

    /// Returns whether a worker may run a task once it has room.
    pub(super) fn may_host(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        (key, worker): (worker::Key, &Worker),
    ) -> bool {
        let advice = self.entry(name.job).and_then(|entry| entry.advice(name));
        worker.is_usable(now)
            && meets_requirements(worker, step)
            && !worker.allocations.contains_key(&name)
            && !advice.is_some_and(|advice| advice.is_refused(key))
            && (step.max_per_worker == 0 || worker.expected_siblings(name) < step.max_per_worker)
    }

    /// Returns in how many milliseconds a worker is predicted to have room for a task. Returns
    /// `None` if the runs there don't end by themselves or not in time, or the room is reserved
    /// for other tasks.
    fn room_free_in(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        worker: &Worker,
    ) -> Option<u64> {
        let needed = step.room();
        let mut occupied = worker.occupied(|task| *task == name);
        let ends =
            |(task, room): (&task::Name, &Room)| Some((self.remaining_ms(now, *task)?, *room));
        let allocations =
            worker.allocations.iter().map(|(task, allocation)| (task, &allocation.room));
        let mut ends: Vec<(u64, Room)> = allocations.filter_map(ends).collect();
        ends.sort_by_key(|(ends, _)| *ends);
        let mut free_in_ms = 0;
        for (ends, room) in ends {
            if worker.room.fits(&occupied, &needed) {
                break;
            }
            occupied.sub(&room);
            free_in_ms = ends;
        }
        let is_soon = Duration::from_millis(free_in_ms) <= MAX_WAIT;
        (is_soon && worker.room.fits(&occupied, &needed)).then_some(free_in_ms)
    }

    /// Returns in how many milliseconds a run is predicted to end, or `None` if it is
    /// long-running. A run that is being stopped, or whose job has ended, counts as ending now.
    fn remaining_ms(&self, now: Time, name: task::Name) -> Option<u64> {
        let Some(entry) = self.entry(name.job).filter(|entry| !entry.state.is_final()) else {
            return Some(0);
        };
        let (Some(step), Some(placement)) = (entry.step(name), entry.placement(name)) else {
            return Some(0);
        };
        if matches!(placement.phase, Phase::Stopping { .. }) {
            return Some(0);
        }
        let takes = Duration::from_millis(self.predict(&entry.queue, step));
        let so_far = now - placement.since;
        // A run that exceeds its prediction is assumed to overrun by the same time again.
        let left = takes.abs_diff(so_far);
        (!step.long_running).then(|| worker::millis(left))
    }
}

impl Entry {
    fn tasks_without_room(&self, now: Time, found: &mut Vec<(Time, task::Name)>) {
        for (number, occurrence) in &self.occurrences {
            let ready = self.steps.iter().zip(&occurrence.steps).enumerate();
            let ready = ready.filter(|(_, (step, _))| step.long_running && !step.gang);
            for (index, (_, state)) in ready.filter(|(_, (step, _))| occurrence.is_ready(step)) {
                let since = waiting_since_by_task(now, self.known_since, state);
                found.extend(since.map(|(i, since)| (since, name(self.id, *number, index, i))));
            }
        }
    }
}

fn waiting_since_by_task(
    now: Time,
    known_since: Time,
    state: &StepState,
) -> impl Iterator<Item = (usize, Time)> + '_ {
    let since = move |(index, task): (usize, &super::entry::Task)| {
        let since = match &task.state {
            TaskState::Waiting => task.not_before.max(known_since),
            TaskState::Placed(placement) => placement.since,
            TaskState::Done => return None,
        };
        let is_due = !matches!(task.state, TaskState::Waiting) || now - since > RESERVE_AFTER;
        (lacks_worker(&task.state) && is_due).then_some((index, since))
    };
    state.tasks.open().filter_map(since)
}

/// Returns whether a task has no worker, or is being stopped on the one it has.
pub(super) fn lacks_worker(state: &TaskState) -> bool {
    match state {
        TaskState::Waiting => true,
        TaskState::Placed(placement) => matches!(placement.phase, Phase::Stopping { .. }),
        TaskState::Done => false,
    }
}

impl Worker {
    /// Returns the used and the reserved room, without the reservations that `is_own` selects.
    pub(super) fn occupied(&self, is_own: impl Fn(&task::Name) -> bool) -> Room {
        let mut occupied = self.used;
        let others = self.reserved.iter().filter(|(name, _)| !is_own(name));
        others.for_each(|(_, room)| occupied.add(room));
        let incoming = self.incoming.iter().filter(|(name, _)| !is_own(name));
        incoming.for_each(|(_, room)| occupied.add(room));
        occupied
    }

    /// Returns whether a task has room beside the runs there and the reservations of other
    /// tasks.
    pub(super) fn has_room_for(&self, name: task::Name, needed: &Room) -> bool {
        self.room.fits(&self.occupied(|task| *task == name), needed)
    }

    /// Returns the number of other tasks of the same step that run here or have room reserved or
    /// kept.
    pub(super) fn expected_siblings(&self, name: task::Name) -> u32 {
        let is_sibling = |other: &&task::Name| **other != name && other.is_sibling(&name);
        let expected = self.reserved.keys().chain(self.incoming.keys()).filter(is_sibling).count();
        self.siblings(name).saturating_add(u32::try_from(expected).unwrap_or(u32::MAX))
    }
}
