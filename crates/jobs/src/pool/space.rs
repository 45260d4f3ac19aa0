//! The room that workers have left while tasks are placed.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use corianderfork_model::Time;
use slotmap::SecondaryMap;

use super::Pool;
use super::choose::Score;
use super::symbol::Symbol;
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// The room on a usable worker.
#[derive(Clone, Debug)]
struct Slot {
    key: worker::Key,
    rack: Symbol,
    size: Room,
    /// Room that is neither used nor reserved.
    free: Room,
    /// CPU that is not used, but may be reserved.
    unused_cpu: u64,
    failures: u32,
    hosts_long_running: bool,
    serving: u32,
    has_strays: bool,
    /// Whether it has a feature that ready steps need.
    has_requested_feature: bool,
}

/// The room on all usable workers, as of one plan. It is compact, because it is searched for each
/// task that is placed.
#[derive(Debug, Default)]
pub(super) struct Space {
    slots: Vec<Slot>,
    by_worker: SecondaryMap<worker::Key, usize>,
    by_rack: BTreeMap<Symbol, Vec<usize>>,
}

impl Space {
    fn push(&mut self, slot: Slot) {
        let index = self.slots.len();
        self.by_worker.insert(slot.key, index);
        self.by_rack.entry(slot.rack).or_default().push(index);
        self.slots.push(slot);
    }

    /// Updates the room on a worker.
    pub fn update(&mut self, key: worker::Key, worker: &Worker) {
        let Some(slot) = self.by_worker.get(key).and_then(|index| self.slots.get_mut(*index))
        else {
            return;
        };
        slot.measure(worker);
    }

    /// Returns the largest CPU and memory that any worker has left.
    pub fn largest(&self) -> Room {
        let mut largest = Room::default();
        for slot in &self.slots {
            largest.cpu = largest.cpu.max(slot.free.cpu);
            largest.memory_mb = largest.memory_mb.max(slot.free.memory_mb);
        }
        largest
    }

    /// Returns whether a worker of a rack is large enough for a task.
    pub fn is_in_rack(&self, rack: Symbol, room: &Room) -> bool {
        self.in_rack(Some(rack)).any(|slot| slot.size.fits(&Room::default(), room))
    }

    /// Returns how many tasks fit at once into the workers of a rack, or of all racks.
    fn capacity(&self, rack: Option<Symbol>, room: &Room) -> u64 {
        self.in_rack(rack).map(|slot| slot.free.count_of(room)).fold(0, u64::saturating_add)
    }

    /// Returns whether `count` tasks fit at once, all into one rack if `is_in_one_rack`.
    pub fn has_capacity(&self, room: &Room, count: u32, is_in_one_rack: bool) -> bool {
        let count = u64::from(count);
        if !is_in_one_rack {
            return self.capacity(None, room) >= count;
        }
        self.by_rack.keys().any(|rack| self.capacity(Some(*rack), room) >= count)
    }

    fn in_rack(&self, rack: Option<Symbol>) -> impl Iterator<Item = &Slot> {
        let (selected, all): (&[usize], &[Slot]) = match rack {
            Some(rack) => (self.by_rack.get(&rack).map_or(&[], Vec::as_slice), &[]),
            None => (&[], &self.slots),
        };
        selected.iter().filter_map(|index| self.slots.get(*index)).chain(all)
    }
}

impl Slot {
    fn measure(&mut self, worker: &Worker) {
        let mut free = worker.room;
        free.sub(&worker.occupied(|_| false));
        self.free = free;
        self.unused_cpu = worker.room.cpu.saturating_sub(worker.used.cpu);
        self.hosts_long_running = !worker.reserved.is_empty() || worker.long_running > 0;
        self.serving = worker.serving;
    }
}

impl Pool {
    /// Returns the room on the usable workers.
    pub(super) fn space(&self, now: Time) -> Space {
        let mut space = Space::default();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.is_usable(now)) {
            let mut slot = Slot {
                key,
                rack: worker.rack_symbol,
                size: worker.room,
                free: Room::default(),
                unused_cpu: 0,
                failures: worker.failures_in_row,
                hosts_long_running: false,
                serving: 0,
                has_strays: !worker.strays.is_empty(),
                has_requested_feature: self.has_requested_feature(worker),
            };
            slot.measure(worker);
            space.push(slot);
        }
        space
    }

    /// Returns the best worker for a task without a reservation, like [`Pool::choose`], among
    /// those of a rack or among all.
    pub(super) fn choose_in(
        &self,
        now: Time,
        name: task::Name,
        step: &Step,
        rack: Option<Symbol>,
        space: &Space,
    ) -> Option<worker::Key> {
        let room = step.room();
        let needs_advice = self.needs_advice(name);
        let is_suspect = self.crashes(name) > 0;
        let needs_feature = Feature::of(step).is_some();
        let data = step.preferred_rack.as_ref().and_then(|rack| self.symbols.get(rack));
        let can_run = |slot: &&Slot| {
            let Some(worker) = self.workers.get(slot.key) else { return false };
            step.label.as_ref().is_none_or(|label| worker.has_label(label))
                && !(slot.has_strays && worker.allocations.contains_key(&name))
                && (step.max_per_worker == 0
                    || worker.expected_siblings(name) < step.max_per_worker)
                && (!needs_advice || self.is_allowed_by_advice(now, name, slot.key))
                && self.may_start_beside_suspects(name, slot.key)
        };
        let score = |slot: &Slot| {
            let is_spread = !step.long_running
                || self
                    .workers
                    .get(slot.key)
                    .is_some_and(|worker| worker.expected_siblings(name) < step.count.div_ceil(2));
            Score {
                is_near: data == Some(slot.rack),
                leaves_features_free: needs_feature || !slot.has_requested_feature,
                is_spread,
                points: super::choose::points(
                    step,
                    slot.unused_cpu,
                    slot.failures,
                    slot.serving,
                    slot.hosts_long_running,
                ),
            }
        };
        let fitting = space.in_rack(rack).filter(|slot| slot.free.fits(&Room::default(), &room));
        let is_preferred = |key| !is_suspect || self.has_no_starting_run(key);
        fitting
            .filter(can_run)
            .max_by_key(|slot| (is_preferred(slot.key), score(slot), Reverse(slot.key)))
            .map(|slot| slot.key)
    }
}
