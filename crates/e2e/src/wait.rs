//! Waiting for a condition, with a deadline that only a failure reaches.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Far longer than any wait takes on a busy machine.
pub const DEADLINE: Duration = Duration::from_secs(60);
/// The interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `poll` returns a value, and returns it with the time that took.
///
/// # Panics
///
/// Panics after [`DEADLINE`] with a message that contains `what`.
pub fn until<T>(what: impl Display, mut poll: impl FnMut() -> Option<T>) -> (T, Duration) {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return (value, start.elapsed());
        }
        assert!(start.elapsed() < DEADLINE, "timed out after {DEADLINE:?} waiting for {what}");
        std::thread::park_timeout(POLL_INTERVAL);
    }
}
