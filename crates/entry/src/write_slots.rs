//! The writes of an owner that are under way at once.

/// How many writes are under way at once. One write has room for 28 keys, and an event loop at its
/// limit takes several turns for its answer.
const MAX_WRITES: usize = 8;

/// The key prefix of the number of the last write in a slot.
const PREFIX: &str = "write/";

/// A place for one write at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(usize);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_taken: bool,
    revision: u64,
}

/// The slots of a pool's owner. Each has a key in the store, with the number of its last write.
///
/// A write without an answer may be carried out seconds later. Each write expects the revision of
/// its slot's key, so that it can't undo a newer one of the same slot; a key is in one write at a time,
/// so that it can't undo one of another slot.
///
/// ```
/// use corianderfork_entry::write_slots::Slots;
///
/// let mut slots = Slots::new("desk");
/// let first = slots.take().expect("all are free");
/// let second = slots.take().expect("others are free");
/// assert_eq!((slots.key(first), slots.key(second)), ("write/desk".into(), "write/desk/1".into()));
/// slots.set_revision(first, 7);
/// slots.free(first);
/// assert_eq!(slots.take(), Some(first));
/// assert_eq!(slots.revision(first), 7);
/// // Pools that are called like a slot have keys of their own.
/// assert_eq!(Slots::new("desk/1").key(first), "write/desk/1/0");
/// ```
#[derive(Clone, Debug)]
pub struct Slots {
    pool: String,
    states: [State; MAX_WRITES],
}

impl Slots {
    /// Returns the slots of a pool's owner, all free.
    pub fn new(pool: &str) -> Self {
        Self { pool: pool.to_owned(), states: [State::default(); MAX_WRITES] }
    }

    /// Takes the first free slot, or returns `None` if as many writes are under way as may be.
    pub fn take(&mut self) -> Option<Slot> {
        let index = self.states.iter().position(|state| !state.is_taken)?;
        self.states[index].is_taken = true;
        Some(Slot(index))
    }

    /// Frees a slot.
    pub fn free(&mut self, slot: Slot) {
        self.states[slot.0].is_taken = false;
    }

    /// Returns the slot that each owner uses first, and earlier versions alone.
    pub fn first() -> Slot {
        Slot(0)
    }

    /// Returns the key of a slot.
    pub fn key(&self, slot: Slot) -> String {
        match slot.0 {
            0 if !ends_with_a_number(&self.pool) => format!("{PREFIX}{}", self.pool),
            index => format!("{PREFIX}{}/{index}", self.pool),
        }
    }

    /// Returns the last known revision of a slot's key; 0 if there is none.
    pub fn revision(&self, slot: Slot) -> u64 {
        self.states[slot.0].revision
    }

    /// Sets the revision of a slot's key.
    pub fn set_revision(&mut self, slot: Slot, revision: u64) {
        self.states[slot.0].revision = revision;
    }
}

/// Returns whether a pool is called like a slot of another one: pool `desk/1` beside pool `desk`.
fn ends_with_a_number(pool: &str) -> bool {
    let last = pool.rsplit_once('/').map(|(_, last)| last);
    last.is_some_and(|last| !last.is_empty() && last.bytes().all(|byte| byte.is_ascii_digit()))
}
