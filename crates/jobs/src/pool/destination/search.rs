//! The best place among many workers, for many tasks that need the same.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use slotmap::SecondaryMap;

use super::Slot;
use crate::job::Room;
use crate::task;
use crate::worker;

/// The most needs for which places are kept in order. Each takes time and memory for each worker.
const MAX_SEARCHES: usize = 64;

/// What decides where a task has room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::pool) struct Need {
    pub room: Room,
    pub label: Option<String>,
    /// The rack that it stays in.
    pub rack: Option<String>,
}

/// A place by preference: the time until it has room, whether it is on a surplus worker, for how
/// long that is busy, its free CPU, and the index of its slot.
type Place = (u64, bool, Reverse<u64>, u64, worker::Key, usize);

/// The places for one need, the best on top. A place may have become worse since it was added: it
/// is added again when it comes to the top.
#[derive(Debug)]
struct Search {
    need: Need,
    places: BinaryHeap<Reverse<Place>>,
}

/// The room that workers have for tasks that are stopped elsewhere.
#[derive(Debug, Default)]
pub(in crate::pool) struct Slots {
    all: Vec<Slot>,
    indices: SecondaryMap<worker::Key, usize>,
    searches: Vec<Search>,
}

impl Slots {
    pub fn new(all: Vec<Slot>) -> Self {
        let indices = all.iter().enumerate().map(|(index, slot)| (slot.key, index)).collect();
        Self { all, indices, searches: Vec::new() }
    }

    pub fn get(&self, index: usize) -> &Slot {
        &self.all[index]
    }

    /// Returns the slot of a worker.
    pub fn index_of(&self, key: worker::Key) -> Option<usize> {
        self.indices.get(key).copied()
    }

    /// Keeps room for a task.
    pub fn promise(&mut self, index: usize, name: task::Name, room: &Room) {
        self.all[index].promised.add(room);
        self.all[index].expected.push(name);
    }

    /// Keeps room that the worker itself counts for the task from now on.
    pub fn settle(&mut self, index: usize, name: task::Name) {
        self.all[index].expected.retain(|expected| *expected != name);
    }

    /// Takes back a promise. The slot may be a better place than before.
    pub fn withdraw(&mut self, index: usize, name: task::Name, room: &Room) {
        self.all[index].promised.sub(room);
        self.settle(index, name);
        for search in &mut self.searches {
            search.places.extend(self.all[index].place(index, &search.need.room).map(Reverse));
        }
    }

    /// Records that the runs of a worker are stopped, so that it is no place any more.
    pub fn set_emptied(&mut self, index: usize) {
        self.all[index].is_emptied = true;
    }

    /// Returns the best place for a task, and the time until it has room. Workers that aren't
    /// suitable for the need are left out from the beginning; `may_run` decides for this task.
    pub fn best(
        &mut self,
        need: Need,
        is_suitable: impl Fn(&Slot) -> bool,
        may_run: impl Fn(&Slot) -> bool,
    ) -> Option<(u64, usize)> {
        let known = self.searches.iter().position(|search| search.need == need);
        let known = known.unwrap_or_else(|| {
            let slots = self.all.iter().enumerate().filter(|(_, slot)| is_suitable(slot));
            let places = slots.filter_map(|(index, slot)| slot.place(index, &need.room));
            let places = places.map(Reverse).collect();
            if self.searches.len() == MAX_SEARCHES {
                self.searches.clear();
            }
            self.searches.push(Search { need, places });
            self.searches.len() - 1
        });
        let Search { need, places } = &mut self.searches[known];
        let mut excluded = Vec::new();
        let mut best = None;
        while let Some(Reverse(place)) = places.pop() {
            let (wait_ms, .., index) = place;
            let Some(current) = self.all[index].place(index, &need.room) else { continue };
            if current != place {
                places.push(Reverse(current));
                continue;
            }
            excluded.push(Reverse(place));
            if may_run(&self.all[index]) {
                best = Some((wait_ms, index));
                break;
            }
        }
        places.extend(excluded);
        best
    }
}

impl Slot {
    /// Returns the place for a room, if there is room in time.
    fn place(&self, index: usize, needed: &Room) -> Option<Place> {
        let wait_ms = self.room_in_ms(needed).filter(|_| !self.is_emptied)?;
        let busy_ms = if self.is_surplus { self.busy_ms } else { 0 };
        Some((wait_ms, self.is_surplus, Reverse(busy_ms), self.free.cpu, self.key, index))
    }
}
