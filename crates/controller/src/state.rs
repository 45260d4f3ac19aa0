//! State shared by all actors on the core thread: the records and the other
//! processes.

use std::time::Instant;

use corianderfork_model::Time;
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::sync::Waker;

use crate::directory::Directory;
use crate::view::View;

/// State shared by the actors.
#[derive(Debug)]
pub struct State {
    /// The clock of this process.
    pub clock: Monotonic,
    /// The shared records.
    pub view: View,
    /// The other processes.
    pub directory: Directory,
    /// Wakes the thread that reads the store.
    pub waker: Waker,
}

impl State {
    /// Converts `instant`, which must not be in the future, to the time of this
    /// process's clock.
    pub fn time(&self, instant: Instant) -> Time {
        let now = self.clock.now();
        let age = u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(now.as_millis().saturating_sub(age))
    }
}
