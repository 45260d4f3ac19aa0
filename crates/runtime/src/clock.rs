//! The clocks. Code without I/O gets the time as an argument instead.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use corianderfork_model::Time;

/// The monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    origin: Instant,
}

impl Monotonic {
    /// Creates a clock that starts now, one hour after its origin, so that ages
    /// can refer to times before the start.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the start plus one hour.
    pub fn now(&self) -> Time {
        const HOUR_MILLIS: u64 = 3_600_000;
        let millis = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(millis.saturating_add(HOUR_MILLIS))
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a seed for jitter that differs between processes and calls.
pub fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
