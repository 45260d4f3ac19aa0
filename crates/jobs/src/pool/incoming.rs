//! Room that is kept on workers for certain tasks until they start there: tasks that were stopped on
//! a worker that is to leave, and tasks for which other runs are stopped.

use corianderfork_model::Time;

use super::Pool;
use super::destination::Slots;
use super::entry::{Phase, TaskState};
use super::order::Order;
use super::ranking::StepKey;
use crate::job::Room;
use crate::task;
use crate::worker;

impl Pool {
    /// Keeps room on a worker for a task that is stopped elsewhere.
    pub(super) fn keep_room(&mut self, name: task::Name, key: worker::Key, room: Room) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.incoming.insert(name, room);
        }
        self.relocations.insert(name, Some(key));
    }

    /// Gives up the room that is kept for a task.
    pub(super) fn give_up_room(&mut self, name: task::Name) {
        let relocation = self.relocations.remove(&name).flatten();
        for key in relocation.into_iter().chain(self.preemptors.remove(&name)) {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.incoming.remove(&name);
            }
        }
    }

    /// Keeps room for tasks that were stopped and have lost their place.
    pub(super) fn replace_kept_room(&mut self, now: Time, slots: &mut Slots) {
        let without_place = self.relocations.iter().filter(|(_, kept)| kept.is_none());
        let names: Vec<task::Name> = without_place.map(|(name, _)| *name).collect();
        for name in names {
            if self.waits_for_limit(name) {
                continue;
            }
            let Some(step) = self.entry(name.job).and_then(|entry| entry.step(name)) else {
                continue;
            };
            let room = step.room();
            if let Some((_, index)) = self.find_slot(now, name, step, None, slots) {
                slots.promise(index, name, &room);
                slots.settle(index, name);
                self.keep_room(name, slots.get(index).key, room);
            }
        }
    }

    /// Forgets the relocations that are over, and gives up room on workers that can't be used any
    /// more, and room for tasks that may not start because of a limit: others could not use it, and
    /// a surplus worker would not get empty, for as long as the organisation is at its limit.
    pub(super) fn review_relocations(&mut self, now: Time) {
        if self.relocations.is_empty() {
            return;
        }
        let mut over = Vec::new();
        let mut without_place = Vec::new();
        for (name, kept) in &self.relocations {
            let entry = self.entry(name.job).filter(|entry| !entry.state.is_final());
            let is_pending =
                entry.and_then(|entry| entry.task(*name)).is_some_and(|task| match &task.state {
                    TaskState::Waiting => true,
                    TaskState::Placed(placement) => {
                        matches!(placement.phase, Phase::Stopping { .. })
                    }
                    TaskState::Done => false,
                });
            if !is_pending {
                over.push(*name);
                continue;
            }
            let is_host = |key: &worker::Key| {
                self.workers.get(*key).is_some_and(|worker| worker.is_host(now))
            };
            if kept.as_ref().is_some_and(|key| !is_host(key) || self.waits_for_limit(*name)) {
                without_place.push(*name);
            }
        }
        for name in over {
            self.give_up_room(name);
        }
        for name in without_place {
            self.give_up_room(name);
            self.relocations.insert(name, None);
        }
    }

    /// Gives up room that is kept for tasks which may not run there any more, since their tickets
    /// have expired: others could not use it until the next advice, which may allow other workers.
    pub(super) fn review_tickets(&mut self, now: Time) {
        let relocated = self.relocations.iter().filter_map(|(name, key)| Some((*name, (*key)?)));
        let preemptors = self.preemptors.iter().map(|(name, key)| (*name, *key));
        let kept = relocated.chain(preemptors);
        let has_expired = |(name, key): &_| !self.is_allowed_by_advice(now, *name, *key);
        let expired: Vec<task::Name> = kept.filter(has_expired).map(|(name, _)| name).collect();
        for name in expired {
            let is_relocation = self.relocations.contains_key(&name);
            self.give_up_room(name);
            if is_relocation {
                self.relocations.insert(name, None);
            }
        }
    }

    /// Returns whether a task has stopped and its organisation's limit doesn't allow its start.
    fn waits_for_limit(&self, name: task::Name) -> bool {
        let Some(entry) = self.entry(name.job) else { return false };
        let is_waiting =
            entry.task(name).is_some_and(|task| matches!(task.state, TaskState::Waiting));
        is_waiting && entry.step(name).is_some_and(|step| !self.is_within_limit(entry, step))
    }

    /// Starts tasks where room is kept for them.
    pub(super) fn place_expected(&mut self, now: Time, orders: &mut Vec<Order>) {
        self.shares = None;
        let relocated = self.relocations.iter().filter_map(|(name, key)| Some((*name, (*key)?)));
        let preemptors = self.preemptors.iter().map(|(name, key)| (*name, *key));
        let kept: Vec<(task::Name, worker::Key)> = relocated.chain(preemptors).collect();
        for (name, key) in kept {
            if !self.may_start_on(now, name, key) {
                continue;
            }
            let Some(job) = self.by_job.get(&name.job).copied() else { continue };
            let Some(step) = self.entry(name.job).and_then(|entry| entry.step(name)).cloned()
            else {
                continue;
            };
            let step_key = StepKey { job, occurrence: name.occurrence, step: name.step as usize };
            if self.may_charge(now, step_key, &step, 1) {
                let run = self.next_run();
                self.start(now, key, name, &step, run, orders);
            }
        }
    }

    /// Returns whether a task may start on the worker that keeps room for it.
    fn may_start_on(&self, now: Time, name: task::Name, key: worker::Key) -> bool {
        let Some(entry) = self.entry(name.job).filter(|entry| self.may_start(entry)) else {
            return false;
        };
        let (Some(step), Some(task)) = (entry.step(name), entry.task(name)) else { return false };
        let is_waiting = self.is_startable(now, entry, task);
        let has_place = self.workers.get(key).is_some_and(|worker| {
            worker.is_host(now)
                && (step.max_per_worker == 0
                    || worker.expected_siblings(name) < step.max_per_worker)
                && worker.has_room_for(name, &step.room())
                && !worker.allocations.contains_key(&name)
        });
        is_waiting
            && has_place
            && self.is_allowed_by_advice(now, name, key)
            && self.may_start_beside_suspects(name, key)
    }

    /// Returns how many tasks of a step wait only until they resume where room is kept for them.
    pub(super) fn tasks_with_kept_room(&self, first: task::Name) -> u32 {
        let last = task::Name { index: u32::MAX, ..first };
        let with_room = self.relocations.range(first..=last).filter(|(name, kept)| {
            let task = self.entry(name.job).and_then(|entry| entry.task(**name));
            kept.is_some() && task.is_some_and(|task| matches!(task.state, TaskState::Waiting))
        });
        u32::try_from(with_room.count()).unwrap_or(u32::MAX)
    }
}
