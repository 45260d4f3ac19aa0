//! The two clocks of the daemon.

use std::time::{SystemTime, UNIX_EPOCH};

use corianderfork_model::Time;
use rustix::time::{ClockId, clock_gettime};

/// Time since the VM started, counting the time that it was suspended.
///
/// The usual steady clock stands still in a suspension. An owner that was
/// suspended past its lease would go on by it as if nothing had happened, and
/// grant leases on workers that a successor took long ago.
pub fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let millis = u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000;
    Time::from_millis(seconds * 1_000 + millis)
}

/// The time of day, in milliseconds since the Unix epoch. It may jump.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
