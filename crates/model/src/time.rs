//! Points in time, passed as arguments to code that does no I/O.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Milliseconds since an origin that the caller chooses.
///
/// Daemons pass their monotonic clock, or the time since the Unix epoch where a
/// function's documentation says so. One state machine never mixes the two.
///
/// ```
/// use corianderfork_model::Time;
/// use std::time::Duration;
///
/// let start = Time::from_millis(500);
/// assert_eq!(start + Duration::from_secs(1), Time::from_millis(1500));
/// assert_eq!(start - Time::from_millis(900), Duration::ZERO);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Creates the time `millis` after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
