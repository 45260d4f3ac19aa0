//! A record of the store's writes and watches, for tests that have to know which
//! processes could have seen a write.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::clock::mono_us;

/// The most events that are kept.
const LIMIT: usize = 20_000;

/// Identifies a watch in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub(crate) struct WatchId(u64);

/// A watch that the store has not answered yet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Watch {
    pub(crate) caller: String,
    pub(crate) prefix: String,
    pub(crate) after: u64,
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum End {
    /// It returned changes.
    Changes,
    /// Nothing changed in its time.
    Timeout,
    /// The store was down.
    Refused,
    /// Its revision is not available.
    Compacted,
}

#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Event {
    /// A write, with the watches that were waiting for its key.
    Write { key: String, deleted: bool, revision: u64, waiting: Vec<WatchId> },
    /// A watch arrived.
    Watch { id: WatchId, watch: Watch },
    /// A watch ended at the store's revision `revision`. `unseen` counts the changes that
    /// it waited for and did not return.
    End { id: WatchId, end: End, revision: u64, unseen: usize },
    /// A read of all keys with a prefix.
    Range { caller: String, prefix: String, revision: u64 },
    /// The store went down or came back.
    Down { down: bool, revision: u64 },
}

#[derive(Clone, Debug, Serialize)]
struct Timed {
    at_us: u64,
    #[serde(flatten)]
    event: Event,
}

/// The latest events, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    events: VecDeque<Timed>,
    waiting: BTreeMap<WatchId, Watch>,
    next: u64,
}

impl Trace {
    pub(crate) fn write(&mut self, key: &str, deleted: bool, revision: u64) {
        let matching = self.waiting.iter().filter(|(_, watch)| key.starts_with(&watch.prefix));
        let waiting = matching.map(|(id, _)| *id).collect();
        self.push(Event::Write { key: key.to_owned(), deleted, revision, waiting });
    }

    pub(crate) fn start(&mut self, watch: Watch) -> WatchId {
        let id = WatchId(self.next);
        self.next += 1;
        self.waiting.insert(id, watch.clone());
        self.push(Event::Watch { id, watch });
        id
    }

    pub(crate) fn end(&mut self, id: WatchId, end: End, revision: u64, unseen: usize) {
        self.waiting.remove(&id);
        self.push(Event::End { id, end, revision, unseen });
    }

    pub(crate) fn range(&mut self, caller: String, prefix: String, revision: u64) {
        self.push(Event::Range { caller, prefix, revision });
    }

    pub(crate) fn down(&mut self, down: bool, revision: u64) {
        self.push(Event::Down { down, revision });
    }

    /// Returns the events as JSON values, oldest first.
    pub(crate) fn events(&self) -> serde_json::Value {
        serde_json::json!({ "events": self.events })
    }

    fn push(&mut self, event: Event) {
        if self.events.len() == LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(Timed { at_us: mono_us(), event });
    }
}
