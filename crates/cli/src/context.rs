//! The environment of a command: the store, a clock and the operator.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use corianderfork_model::Time;
use corianderfork_provider::store::Store;

/// A source of time.
pub trait Clock {
    /// Returns the monotonic time.
    fn now(&self) -> Time;

    /// Returns the milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Blocks for `duration`.
    fn sleep(&self, duration: Duration);
}

/// The system clock.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn sleep(&self, duration: Duration) {
        std::thread::sleep(duration);
    }
}

/// The environment of a command that uses the platform.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The platform's store.
    pub store: &'a dyn Store,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// The operator's name.
    pub operator: &'a str,
    /// When to give up waiting for the outcome of a write.
    pub deadline: Time,
}

impl Context<'_> {
    /// Whether the deadline has passed.
    pub fn deadline_passed(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}
