//! What a command works with: the store, a clock, and who asks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use corianderfork_model::Time;
use corianderfork_provider::store::Store;

/// Time as commands see it.
pub trait Clock {
    /// Monotonic time.
    fn now(&self) -> Time;

    /// Milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Waits.
    fn pause(&self, time: Duration);
}

/// The machine's clock.
#[derive(Debug)]
pub struct System {
    start: Instant,
}

impl Default for System {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn pause(&self, time: Duration) {
        std::thread::sleep(time);
    }
}

/// What every command that talks to the platform is given.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The platform's store.
    pub store: &'a dyn Store,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// Who asks.
    pub by: &'a str,
    /// When to give up finding out how a write ended.
    pub deadline: Time,
}

impl Context<'_> {
    /// Whether the time is up.
    pub fn late(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}
