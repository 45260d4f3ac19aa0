//! Where tasks that are stopped on workers that are to leave can be resumed.

mod search;

use std::collections::HashSet;

use corianderfork_model::Time;

use super::Pool;
use super::advice::meets_requirements;
use super::relocate::is_soon_empty;
use super::turn::take_turn;
use super::victim::StopTimes;
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

pub(super) use search::{Need, Slots};

/// How far ahead room counts that is predicted to become free, in milliseconds.
const ROOM_HORIZON_MS: u64 = 1_000;

/// The most runs whose ends one decision predicts. The workers of a larger pool are looked at in
/// turns. 4,000 runs take 0.5 ms.
const MAX_RUNS: usize = 4_000;

/// The room that a worker has for tasks that are stopped elsewhere.
#[derive(Debug)]
pub(super) struct Slot {
    pub key: worker::Key,
    pub is_surplus: bool,
    /// When its own runs have ended.
    pub busy_ms: u64,
    /// Room without runs and reservations for others.
    pub free: Room,
    /// Room that becomes free, and in how many milliseconds, by time.
    pub ends: Vec<(u64, Room)>,
    /// All of this room.
    pub most: Room,
    /// Room that is kept for tasks that are stopped elsewhere.
    pub promised: Room,
    /// Tasks for which some of that room is promised, but not yet kept on the worker.
    pub expected: Vec<task::Name>,
    /// Whether its own runs are stopped.
    pub is_emptied: bool,
}

impl Slot {
    /// Returns how many tasks of the same step have room promised, but not yet kept on the worker.
    fn siblings(&self, name: task::Name) -> u32 {
        let count = self.expected.iter().filter(|other| other.is_sibling(&name)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns in how many milliseconds it has room, if it has in time.
    fn room_in_ms(&self, needed: &Room) -> Option<u64> {
        if !self.most.fits(&self.promised, needed) {
            return None;
        }
        let mut room = self.free;
        if room.fits(&self.promised, needed) {
            return Some(0);
        }
        self.ends.iter().find_map(|(at, freed)| {
            room.add(freed);
            room.fits(&self.promised, needed).then_some(*at)
        })
    }
}

impl Pool {
    /// Returns the room on workers that tasks may be moved to. Surplus workers are among them if
    /// other pools miss VMs: then one of them is emptied at the cost of another. Those that are soon
    /// empty are not: they would leave later and nothing would be gained.
    pub(super) fn slots(
        &mut self,
        now: Time,
        times: &StopTimes,
        emptied: &HashSet<worker::Key>,
    ) -> Slots {
        let has_surplus = self.missing_vms(now) > 0;
        let may_host = |worker: &Worker| {
            worker.is_host(now)
                && (!worker.is_surplus || has_surplus && !worker.allocations.is_empty())
        };
        let hosts = self.workers.iter().filter(|(_, worker)| may_host(worker));
        let stays = |slot: &Slot| !slot.is_surplus || !is_soon_empty(slot.busy_ms, times);
        let counts = hosts.map(|(key, worker)| (key, worker.allocations.len()));
        let hosts = take_turn(counts, &mut self.next_host, MAX_RUNS);
        let hosts = hosts.into_iter().filter_map(|key| Some((key, self.workers.get(key)?)));
        let slots = hosts
            .map(|(key, worker)| {
                let mut free = worker.room;
                free.sub(&worker.used);
                worker.reserved.values().for_each(|room| free.sub(room));
                let mut promised = Room::default();
                worker.incoming.values().for_each(|room| promised.add(room));
                let ends = worker.allocations.iter().map(|(name, allocation)| {
                    (self.run_ends_in_ms(now, times, *name, key), allocation.room)
                });
                let mut ends: Vec<(u64, Room)> = ends.collect();
                ends.sort_by_key(|(ends, room)| (*ends, room.cpu));
                let busy_ms = ends.last().map_or(0, |(ends, _)| *ends);
                ends.retain(|(ends, _)| *ends <= ROOM_HORIZON_MS);
                let mut most = free;
                ends.iter().for_each(|(_, room)| most.add(room));
                let (is_surplus, is_emptied) = (worker.is_surplus, emptied.contains(&key));
                let expected = Vec::new();
                Slot { key, is_surplus, busy_ms, free, ends, most, promised, expected, is_emptied }
            })
            .filter(stays)
            .collect();
        Slots::new(slots)
    }

    /// Returns the best place for a task: one that has room soon, on a worker that stays if
    /// possible, or else on the surplus worker that is busy for longest.
    pub(super) fn find_slot(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        from: Option<worker::Key>,
        slots: &mut Slots,
    ) -> Option<(u64, usize)> {
        let rack = from
            .and_then(|key| self.workers.get(key))
            .map(|worker| worker.rack.as_str())
            .filter(|rack| step.preferred_rack.as_deref() == Some(*rack));
        let may_run = |slot: &Slot| {
            let Some(worker) = self.workers.get(slot.key) else { return false };
            Some(slot.key) != from
                && meets_requirements(worker, step)
                && rack.is_none_or(|rack| worker.rack == rack)
                && !worker.allocations.contains_key(&name)
                && (step.max_per_worker == 0
                    || worker.expected_siblings(name).saturating_add(slot.siblings(name))
                        < step.max_per_worker)
                && self.is_allowed_by_advice(now, name, slot.key)
        };
        let need =
            Need { room: step.room(), label: step.label.clone(), rack: rack.map(str::to_owned) };
        let is_suitable = |slot: &Slot| {
            self.workers.get(slot.key).is_some_and(|worker| {
                meets_requirements(worker, step) && rack.is_none_or(|rack| worker.rack == rack)
            })
        };
        slots.best(need, is_suitable, may_run)
    }
}
