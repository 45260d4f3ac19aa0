//! The stand-ins' wall clock and monotonic clock.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    elapsed.as_millis() as u64
}

/// Returns the milliseconds on a monotonic clock since this process first called
/// this function.
pub fn mono_ms() -> u64 {
    elapsed().as_millis() as u64
}

/// Returns the microseconds on the clock of [`mono_ms`].
pub fn mono_us() -> u64 {
    elapsed().as_micros() as u64
}

fn elapsed() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
