//! Retry budgets and retry delays.
//!
//! A burst of failures makes every request a candidate for a retry, which
//! doubles the load when there is the least capacity for it. A [`Budget`]
//! limits retries to a share of the first tries in a sliding window, with a
//! small minimum so that a quiet service can retry at all. Only the proxy
//! retries, and it retries only first tries: no layer retries the retries of
//! another.
//!
//! ```
//! use corianderfork_model::{Share, Time};
//! use corianderfork_routing::retry::{Budget, Config};
//!
//! let tenth = Share::from_per_mille(100).expect("below 1000");
//! let mut budget = Budget::new(Config::default().share(tenth).floor(0));
//! let now = Time::ZERO;
//! for _ in 0..10 {
//!     budget.first_try(now);
//! }
//! assert!(budget.retry(now));
//! assert!(!budget.retry(now));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::{Share, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The number of buckets of the sliding window.
const BUCKETS: u32 = 10;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    share: Share,
    floor: u32,
    window: Duration,
}

impl Default for Config {
    /// A fifth of the first tries of the last ten seconds, but at least three.
    fn default() -> Self {
        let share = Share::from_per_mille(200).expect("below 1000");
        Self { share, floor: 3, window: Duration::from_secs(10) }
    }
}

impl Config {
    /// Sets the share of first tries that may be retried.
    pub fn share(mut self, share: Share) -> Self {
        self.share = share;
        self
    }

    /// Sets the minimum number of retries per window.
    pub fn floor(mut self, retries: u32) -> Self {
        self.floor = retries;
        self
    }

    /// Sets the length of the window in which tries are counted.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }
}

/// Counts the first tries and retries of a sliding window.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    first_tries: u32,
    retries: u32,
}

impl Budget {
    /// Creates a budget without tries.
    pub fn new(config: Config) -> Self {
        Self { config, buckets: VecDeque::new() }
    }

    /// Counts a first try.
    pub fn first_try(&mut self, now: Time) {
        self.bucket(now).first_tries += 1;
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    #[must_use]
    pub fn retry(&mut self, now: Time) -> bool {
        self.drop_expired_buckets(now);
        let first_tries: u32 = self.buckets.iter().map(|b| b.first_tries).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        // Rounds down, unlike `Share::of`, because the share is an upper bound.
        let share = u64::from(first_tries) * u64::from(self.config.share.per_mille()) / 1000;
        if u64::from(retries) >= share.max(u64::from(self.config.floor)) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        self.drop_expired_buckets(now);
        let index = self.index(now);
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket { index, first_tries: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed if there was none")
    }

    fn drop_expired_buckets(&mut self, now: Time) {
        let index = self.index(now);
        let expired = |b: &Bucket| b.index + u64::from(BUCKETS) <= index;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
    }

    fn index(&self, now: Time) -> u64 {
        let width = (self.config.window / BUCKETS).as_millis().max(1);
        now.as_millis() / width as u64
    }
}

/// Jittered delays before retries, drawn from a seed.
#[derive(Debug)]
pub struct Delay {
    base: Duration,
    cap: Duration,
    rng: SmallRng,
}

impl Delay {
    /// Creates delays that double from `base` up to `cap`.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self { base, cap, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns the delay before retry number `retry` (from 0), between zero and
    /// the doubled base. It is drawn from the whole range because requests that
    /// failed at the same moment would otherwise collide again.
    pub fn next(&mut self, retry: u32) -> Duration {
        let doubled = self.base.saturating_mul(1 << retry.min(16));
        let limit = doubled.min(self.cap).as_millis() as u64;
        Duration::from_millis(self.rng.random_range(0..=limit))
    }
}
