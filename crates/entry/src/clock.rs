//! The daemon's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use corianderfork_model::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM started, including time spent suspended.
///
/// The usual monotonic clock stops during a suspension. With it, an owner that was suspended
/// past its lease would continue as if nothing had happened, and would grant leases on
/// workers that a successor took over long ago.
pub fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let millis = u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000;
    Time::from_millis(seconds * 1_000 + millis)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
