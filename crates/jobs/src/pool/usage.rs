//! What the runs of each organisation use on all workers of a pool.

use std::cell::RefCell;

use crate::job::Room;
use crate::organisation::Key;

/// The room that runs use, by organisation. The workers of a pool share it and keep it up to date
/// as they allocate and release room.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    rooms: RefCell<Vec<Room>>,
}

impl Usage {
    pub fn add(&self, key: Key, room: &Room) {
        self.with(key, |used| used.add(room));
    }

    pub fn sub(&self, key: Key, room: &Room) {
        self.with(key, |used| used.sub(room));
    }

    pub fn get(&self, key: Key) -> Room {
        self.rooms.borrow().get(key.0).copied().unwrap_or_default()
    }

    fn with(&self, key: Key, change: impl FnOnce(&mut Room)) {
        let mut rooms = self.rooms.borrow_mut();
        if rooms.len() <= key.0 {
            rooms.resize(key.0 + 1, Room::default());
        }
        change(&mut rooms[key.0]);
    }
}
