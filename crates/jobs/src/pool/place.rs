//! Placing of waiting tasks on workers.

use corianderfork_model::Time;

use super::Pool;
use super::entry::{StepState, name};
use super::order::Order;
use super::ranking::{Candidate, Position, StepKey};
use super::share::Laggards;
use super::space::Space;
use super::symbol::Symbol;
use super::unmet::{Requirement, Unmet};
use crate::job::{Room, Step};
use crate::worker::Worker;

/// What is known of the workers while tasks are placed.
#[derive(Debug, Default)]
struct Search {
    space: Space,
    unmet: Unmet,
}

/// How far a plan got in the order of steps.
#[derive(Debug, Default)]
struct Cursor {
    /// The priority of the steps that are placed now.
    priority: Option<u32>,
    /// The same while steps of laggards are placed.
    laggards_priority: Option<u32>,
    laggards: Option<Laggards>,
    /// Whether tasks of the last step were started.
    was_placed: bool,
    /// The last step that was placed by its position alone.
    last: Option<Position>,
}

impl Pool {
    /// Starts waiting tasks, those of the most urgent steps first.
    pub(super) fn place_tasks(&mut self, now: Time, orders: &mut Vec<Order>) {
        if !self.is_every_inherited_worker_polled() {
            return;
        }
        self.accounts.begin_plan();
        self.place_expected(now, orders);
        let mut room = self.largest_room(now);
        let mut search = None;
        let mut cursor = Cursor::default();
        while let Some(candidate) = self.next_step_that_may_fit(now, &mut cursor, &room) {
            self.effort.steps += 1;
            let new = || Search { space: self.space(now), unmet: Unmet::default() };
            let known = search.get_or_insert_with(new);
            let before = orders.len();
            let is_outdated = self.place_candidate(now, &candidate, known, &room, orders);
            cursor.was_placed = orders.len() > before;
            if cursor.was_placed {
                self.clear_waiting(candidate.key);
                if is_outdated {
                    known.space = self.space(now);
                }
                room = known.space.largest();
            }
        }
    }

    /// Starts the tasks of a step for which there is room. Returns whether that may have used room
    /// that `search` does not account for.
    fn place_candidate(
        &mut self,
        now: Time,
        candidate: &Candidate,
        search: &mut Search,
        largest: &Room,
        orders: &mut Vec<Order>,
    ) -> bool {
        let key = candidate.key;
        let Some(entry) = self.jobs.get(key.job).filter(|entry| self.may_start(entry)) else {
            return false;
        };
        let steps = entry.steps.clone();
        let Some(step) = steps.get(key.step) else { return false };
        let state = entry.occurrences.get(&key.occurrence).and_then(|o| o.steps.get(key.step));
        let rack = state.and_then(|state| awaited_rack(now, candidate, state, &search.space));
        let uses_others = candidate.has_feature && self.may_use_stranded(now, step)
            || !self.reservations.is_empty() && self.has_reservation(key);
        let is_too_large =
            largest.cpu < candidate.room.cpu || largest.memory_mb < candidate.room.memory_mb;
        if is_too_large && !uses_others {
            return false;
        }
        if step.gang {
            if uses_others || self.may_fit_gang(now, key, step, &search.space) {
                self.place_gang(now, key, step, orders);
            }
            return true;
        }
        if uses_others {
            self.place_step(now, key, step, orders);
            return true;
        }
        let requirement = Requirement { rack, label: candidate.label, room: candidate.room };
        let is_plain = candidate.is_plain && self.suspects.is_empty();
        if !(is_plain && search.unmet.contains(&requirement)) {
            let is_unmet = self.place_step_in(now, key, step, rack, &mut search.space, orders);
            if is_unmet && is_plain {
                search.unmet.insert(requirement);
            }
        }
        false
    }

    /// Returns whether the tasks of a gang may find room, as far as that is cheap to tell.
    fn may_fit_gang(&self, now: Time, key: StepKey, step: &Step, space: &Space) -> bool {
        let Some(entry) = self.jobs.get(key.job) else { return false };
        let task = name(entry.id, key.occurrence, key.step, 0);
        let may_spread = !step.same_rack || !self.may_wait_for_rack(now, task, step);
        space.has_capacity(&step.room(), step.count, !may_spread)
    }

    /// Returns the indices from the first task of a step on that may not be done.
    fn open_tasks(&self, key: StepKey) -> std::ops::Range<usize> {
        let occurrence =
            self.jobs.get(key.job).and_then(|entry| entry.occurrences.get(&key.occurrence));
        let state = occurrence.and_then(|occurrence| occurrence.steps.get(key.step));
        state.map_or(0..0, |state| state.tasks.open_indices())
    }

    /// Starts the waiting tasks of a step on any workers.
    fn place_step(&mut self, now: Time, key: StepKey, step: &Step, orders: &mut Vec<Order>) {
        for index in self.open_tasks(key) {
            let Some(entry) = self.jobs.get(key.job) else { return };
            let name = name(entry.id, key.occurrence, key.step, index);
            let Some(task) = entry.task(name) else { return };
            if !self.is_startable(now, entry, task) {
                continue;
            }
            if self.fail_at_limit(now, name) || !self.may_charge(now, key, step, 1) {
                return;
            }
            let Some(worker) = self.choose(now, name, step, None) else {
                // A later task of the step may have a reservation.
                if self.has_reservation(key) {
                    continue;
                }
                return;
            };
            let run = self.next_run();
            self.start(now, worker, name, step, run, orders);
        }
    }

    /// Starts the waiting tasks of a step where the known space has room, in a rack if given.
    /// Returns whether some task found none for a reason that applies to other steps as well.
    fn place_step_in(
        &mut self,
        now: Time,
        key: StepKey,
        step: &Step,
        rack: Option<Symbol>,
        space: &mut Space,
        orders: &mut Vec<Order>,
    ) -> bool {
        for index in self.open_tasks(key) {
            let Some(entry) = self.jobs.get(key.job) else { return false };
            let name = name(entry.id, key.occurrence, key.step, index);
            let Some(task) = entry.task(name) else { return false };
            if !self.is_startable(now, entry, task) {
                continue;
            }
            if self.fail_at_limit(now, name) || !self.may_charge(now, key, step, 1) {
                return false;
            }
            let Some(chosen) = self.choose_in(now, name, step, rack, space) else {
                // A worker that still runs this very task may run others.
                let is_on_worker = |worker: &Worker| worker.allocations.contains_key(&name);
                return !self.workers.values().any(is_on_worker);
            };
            let run = self.next_run();
            self.start(now, chosen, name, step, run, orders);
            if let Some(worker) = self.workers.get(chosen) {
                space.update(chosen, worker);
            }
        }
        false
    }

    /// Returns the next step to place that may fit if `room` is the largest that any worker has
    /// left. Of each priority the steps of laggards come first, and then all.
    fn next_step_that_may_fit(
        &mut self,
        now: Time,
        cursor: &mut Cursor,
        room: &Room,
    ) -> Option<Candidate> {
        self.shares = None;
        let is_selective = self.ranking.features().next().is_some();
        let has_special = is_selective || !self.reservations.is_empty();
        if !has_special && self.ranking.least_cpu().is_none_or(|least| room.cpu < least) {
            return None;
        }
        let mut laggards = match cursor.laggards.take() {
            Some(laggards) => laggards,
            None => self.laggards(now),
        };
        let next = loop {
            if let Some(priority) = cursor.laggards_priority {
                let was_placed = cursor.was_placed;
                let lagging = self.next_lagging_step(&mut laggards, priority, room, was_placed);
                if lagging.is_some() {
                    break lagging;
                }
                cursor.laggards_priority = None;
            }
            let may_fit = |(_, candidate): &(&Position, &Candidate)| self.may_fit(room, candidate);
            let Some((position, candidate)) = self.ranking.behind(cursor.last).find(may_fit) else {
                break None;
            };
            if cursor.priority == Some(position.priority()) {
                cursor.last = Some(*position);
                break Some(*candidate);
            }
            cursor.priority = Some(position.priority());
            cursor.laggards_priority = cursor.priority;
        };
        cursor.laggards = Some(laggards);
        next
    }

    /// Returns whether a step may fit into a worker if `room` is the largest that any has left. A
    /// step that needs a feature may use other workers, and one with a reservation has room there.
    pub(super) fn may_fit(&self, room: &Room, candidate: &Candidate) -> bool {
        if candidate.organisation.is_some_and(|key| self.accounts.is_blocked(key)) {
            return false;
        }
        let needed = &candidate.room;
        let is_too_large = room.cpu < needed.cpu || room.memory_mb < needed.memory_mb;
        !is_too_large || candidate.has_feature || !self.reservations.is_empty()
    }

    /// Returns the largest free CPU and memory of any worker: a cheap check that skips the
    /// search for tasks that fit nowhere.
    fn largest_room(&self, now: Time) -> Room {
        let mut largest = Room::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            let occupied = worker.occupied(|_| false);
            largest.cpu = largest.cpu.max(worker.room.cpu.saturating_sub(occupied.cpu));
            let memory = worker.room.memory_mb.saturating_sub(occupied.memory_mb);
            largest.memory_mb = largest.memory_mb.max(memory);
        }
        largest
    }

    /// Returns whether room is reserved for a task of a step.
    fn has_reservation(&self, step_key: StepKey) -> bool {
        let Some(entry) = self.jobs.get(step_key.job) else { return false };
        let task = name(entry.id, step_key.occurrence, step_key.step, 0);
        self.reservations.keys().any(|reserved| reserved.is_sibling(&task))
    }
}

/// Returns the rack in which a step waits for a worker.
fn awaited_rack(
    now: Time,
    candidate: &Candidate,
    state: &StepState,
    space: &Space,
) -> Option<Symbol> {
    let rack = candidate.rack?;
    let since = state.waiting_since.unwrap_or(now);
    let may_wait = now - since < candidate.rack_wait;
    (may_wait && space.is_in_rack(rack, &candidate.room)).then_some(rack)
}
