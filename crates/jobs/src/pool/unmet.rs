//! Requirements that no worker meets at the moment.

use std::collections::BTreeMap;

use super::symbol::Symbol;
use crate::job::Room;

/// What a worker has to meet to run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Requirement {
    /// The rack in which it has to be.
    pub rack: Option<Symbol>,
    /// The label that it has to have.
    pub label: Option<Symbol>,
    /// The room that it has to have left.
    pub room: Room,
}

/// Requirements that no worker met during one plan. Starts only use up room, so no worker meets
/// them later in the same plan either.
///
/// Without them, a plan searches all workers for each waiting task, again and again.
#[derive(Debug, Default)]
pub(super) struct Unmet {
    rooms: BTreeMap<(Option<Symbol>, Option<Symbol>), Vec<Room>>,
}

impl Unmet {
    /// Adds a requirement that no worker met.
    pub fn insert(&mut self, requirement: Requirement) {
        let Requirement { rack, label, room } = requirement;
        let rooms = self.rooms.entry((rack, label)).or_default();
        rooms.retain(|other| !other.fits(&Room::default(), &room));
        rooms.push(room);
    }

    /// Returns whether no worker meets a requirement, since none met one that is no stricter.
    pub fn contains(&self, requirement: &Requirement) -> bool {
        let rooms = self.rooms.get(&(requirement.rack, requirement.label));
        rooms.is_some_and(|rooms| {
            rooms.iter().any(|room| requirement.room.fits(&Room::default(), room))
        })
    }
}
