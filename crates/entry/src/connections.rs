//! Which connection is closed to make room for a new one.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_model::Time;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// The open connections of an address.
///
/// A connection waits while the client has to send something: the next request, or the rest of
/// one. While its request is handled or answered it doesn't, and is not closed for others.
///
/// ```
/// use corianderfork_entry::connections::Table;
/// use corianderfork_model::Time;
///
/// let mut table = Table::default();
/// let (first, second) = (table.open(Time::ZERO), table.open(Time::from_millis(5)));
/// assert_eq!(table.take_longest_waiting(), Some(first));
/// table.handle(second);
/// assert_eq!(table.take_longest_waiting(), None);
/// ```
#[derive(Debug, Default)]
pub struct Table {
    /// Since when each open connection waits, if it does.
    open: BTreeMap<Id, Option<Time>>,
    waiting: BTreeSet<(Time, Id)>,
    next_id: u64,
}

impl Table {
    /// Adds a connection, which waits for its first request.
    pub fn open(&mut self, now: Time) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        self.open.insert(id, None);
        self.wait(now, id);
        id
    }

    /// Notes that a connection waits for the client, which has just sent or received something.
    pub fn wait(&mut self, now: Time, id: Id) {
        self.set(id, Some(now));
    }

    /// Notes that a whole request has arrived, which is now handled.
    pub fn handle(&mut self, id: Id) {
        self.set(id, None);
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        self.set(id, None);
        self.open.remove(&id);
    }

    /// Removes and returns the connection that has waited for the longest; `None` if none waits.
    pub fn take_longest_waiting(&mut self) -> Option<Id> {
        let (_, id) = self.waiting.pop_first()?;
        self.open.remove(&id);
        Some(id)
    }

    fn set(&mut self, id: Id, waits_since: Option<Time>) {
        let Some(present) = self.open.get_mut(&id) else { return };
        if let Some(since) = std::mem::replace(present, waits_since) {
            self.waiting.remove(&(since, id));
        }
        self.waiting.extend(waits_since.map(|since| (since, id)));
    }
}
