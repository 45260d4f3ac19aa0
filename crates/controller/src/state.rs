//! What all actors share: the records and the other processes.

use std::time::Instant;

use corianderfork_model::Time;
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::sync::Waker;

use crate::directory::Directory;
use crate::view::View;

/// What is known, on the core thread.
#[derive(Debug)]
pub struct World {
    /// The process's clock.
    pub clock: Monotonic,
    /// The shared records.
    pub view: View,
    /// The other processes.
    pub directory: Directory,
    /// Wakes the reader of the store.
    pub waker: Waker,
}

impl World {
    /// The process's time of `instant`, which is past.
    pub fn time(&self, instant: Instant) -> Time {
        let now = self.clock.now();
        let age = u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(now.as_millis().saturating_sub(age))
    }
}
