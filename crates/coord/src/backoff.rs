//! Jittered exponential backoff, and start delays after an outage.
//!
//! When the platform's service comes back after an outage, all processes that
//! waited for it would call at the same moment and overload it again. Jitter
//! keeps their retries apart, and [`spread`] assigns each process its own point
//! in a time window.
//!
//! ```
//! use corianderfork_coord::backoff::{Backoff, Config};
//! use std::time::Duration;
//!
//! let config = Config::new().first(Duration::from_millis(100)).max(Duration::from_secs(5));
//! let mut backoff = Backoff::new(config, 7);
//! let first = backoff.next_wait();
//! assert!(first >= Duration::from_millis(50) && first <= Duration::from_millis(100));
//! backoff.reset();
//! ```

use std::time::Duration;

/// Bounds of the waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    first: Duration,
    max: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { first: Duration::from_millis(100), max: Duration::from_secs(10) }
    }
}

impl Config {
    /// Returns the defaults: a first wait of at most 100 ms and a maximum of 10
    /// s.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the upper bound of the first wait.
    #[must_use]
    pub fn first(mut self, first: Duration) -> Self {
        self.first = first;
        self
    }

    /// Sets the upper bound of every wait.
    #[must_use]
    pub fn max(mut self, max: Duration) -> Self {
        self.max = max;
        self
    }
}

/// Exponential backoff: the upper bound doubles with each failure, and each
/// wait is drawn from the upper half of its range.
#[derive(Clone, Debug)]
pub struct Backoff {
    config: Config,
    state: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with jitter from `seed`. Give each process its own
    /// seed, such as its incarnation.
    pub fn new(config: Config, seed: u64) -> Self {
        Self { config, state: seed, failures: 0 }
    }

    /// Counts a failure and returns the wait before the next attempt.
    pub fn next_wait(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        let longest = self.config.first.saturating_mul(factor).min(self.config.max);
        self.state = mix(self.state);
        longest / 2 + fraction(longest / 2, self.state)
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the waits after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns the delay of the process with `seed` within `window`, to be waited
/// after an outage before the first call that every process makes.
///
/// ```
/// use corianderfork_coord::backoff::spread;
/// use std::time::Duration;
///
/// let window = Duration::from_secs(2);
/// assert!(spread(1, window) < window);
/// assert_eq!(spread(1, window), spread(1, window));
/// assert_ne!(spread(1, window), spread(2, window));
/// ```
pub fn spread(seed: u64, window: Duration) -> Duration {
    fraction(window, mix(seed))
}

/// Maps `random` uniformly to a duration in `0..whole`.
fn fraction(whole: Duration, random: u64) -> Duration {
    let nanos = whole.as_nanos().min(u128::from(u64::MAX));
    let part = (nanos * u128::from(random)) >> 64;
    Duration::from_nanos(part as u64)
}

/// One step of SplitMix64, a seeded generator with one word of state. It is
/// good enough for jitter and for a stable hash, and does not change with a
/// library version.
pub(crate) fn mix(seed: u64) -> u64 {
    let z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
