//! Metering of the jobs a second that an organisation is owed.
//!
//! Each pool has a token bucket for each organisation. The rate at which all of them fill is the
//! organisation's weight, divided among pools by their arrivals. A job that finds a token is owed;
//! the others yield to owed ones.
//!
//! The number of owed jobs is bounded. For an organisation of weight `w` and `n` pools, in any `t`
//! seconds at most:
//!
//! - `w * (t + 2) + n` jobs while pools follow one division. The last term is the one token that
//!   each bucket holds at least, without which a small part would never make up a whole job;
//! - `n * w * (t + 2) + n` jobs while no pool has a division, since each then uses the whole rate.

use std::time::Duration;

use corianderfork_model::Time;

use crate::allowance::WHOLE;

/// What a bucket holds when it is full: the tokens of this time.
pub const BURST: Duration = Duration::from_secs(2);
/// How long a division holds without a newer one. A planner is replaced within about that time.
pub const DIVISION_VALIDITY: Duration = Duration::from_secs(3);
/// The most organisations whose arrivals a pool reports.
pub const MAX_REPORTED: usize = 64;
/// The parts of the time over which arrivals are counted, and their number.
const SLOT_MS: u64 = 250;
const SLOTS: usize = 8;
/// The number of slots that show a change at once; all slots show a steady rate.
const RECENT_SLOTS: usize = 2;
/// The difference between the two that isn't taken for chance, in standard errors.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// How fast a bucket fills, and what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens a second.
    per_second: f64,
    /// The most tokens that it holds.
    capacity: f64,
}

impl Rate {
    /// Returns the rate for a weight and a pool's part of it, in units of [`WHOLE`].
    pub fn of(weight: u32, part: u32) -> Self {
        let per_second = f64::from(weight) * f64::from(part) / f64::from(WHOLE);
        Self { per_second, capacity: (per_second * BURST.as_secs_f64()).max(1.0) }
    }
}

/// A token bucket. It is full at first.
///
/// ```
/// use corianderfork_jobs::allowance::WHOLE;
/// use corianderfork_jobs::meter::{Bucket, Rate};
/// use corianderfork_model::Time;
///
/// let mut bucket = Bucket::default();
/// let rate = Rate::of(3, WHOLE);
/// let at = Time::from_millis(5_000);
/// assert_eq!((0..10).filter(|_| bucket.take(at, rate)).count(), 6);
/// let later = Time::from_millis(6_000);
/// assert_eq!((0..10).filter(|_| bucket.take(later, rate)).count(), 3);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// The tokens, and the time up to which it is filled; `None` before its first use.
    level: Option<(f64, Time)>,
}

impl Bucket {
    /// Fills the bucket up to `at`.
    pub fn fill(&mut self, at: Time, rate: Rate) {
        let (tokens, until) = self.level.unwrap_or((rate.capacity, at));
        let added = (at - until).as_secs_f64() * rate.per_second;
        self.level = Some(((tokens + added).min(rate.capacity), until.max(at)));
    }

    /// Takes a token for a job accepted at `at`. Returns whether there was one.
    pub fn take(&mut self, at: Time, rate: Rate) -> bool {
        self.fill(at, rate);
        let Some((tokens, _)) = self.level.as_mut().filter(|(tokens, _)| *tokens >= 1.0) else {
            return false;
        };
        *tokens -= 1.0;
        true
    }
}

/// Counts the recent jobs of an organisation in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    counts: [u32; SLOTS],
    /// The number of the newest slot since the clock's start.
    newest: u64,
}

impl Arrivals {
    /// Records a job. One that is older than the time that is counted is left out.
    pub fn record(&mut self, at: Time) {
        let slot = at.as_millis() / SLOT_MS;
        self.advance(slot);
        if self.newest - slot < SLOTS as u64 {
            self.counts[slot as usize % SLOTS] += 1;
        }
    }

    fn advance(&mut self, slot: u64) {
        for passed in (self.newest + 1..=slot).rev().take(SLOTS) {
            self.counts[passed as usize % SLOTS] = 0;
        }
        self.newest = self.newest.max(slot);
    }

    /// Returns the jobs a second over the last 2 s, or over the last half second if the two differ
    /// by more than chance: the busy time of a pool begins and ends at once.
    ///
    /// ```
    /// use corianderfork_jobs::meter::Arrivals;
    /// use corianderfork_model::Time;
    ///
    /// let mut arrivals = Arrivals::default();
    /// (0..10).for_each(|n| arrivals.record(Time::from_millis(1_000 + n * 50)));
    /// assert_eq!(arrivals.rate(Time::from_millis(1_499)), 20.0);
    /// assert_eq!(arrivals.rate(Time::from_millis(2_500)), 5.0);
    /// assert_eq!(arrivals.rate(Time::from_millis(9_000)), 0.0);
    /// ```
    pub fn rate(&self, now: Time) -> f64 {
        let mut current = *self;
        current.advance(now.as_millis() / SLOT_MS);
        let count = |slots: usize| -> f64 {
            let slot = |ago: usize| (current.newest as usize + SLOTS - ago) % SLOTS;
            let count: u32 = (0..slots).map(|ago| current.counts[slot(ago)]).sum();
            f64::from(count)
        };
        let per_second = |slots: usize| 1_000.0 / (SLOT_MS as f64 * slots as f64);
        let (recent, all) = (count(RECENT_SLOTS), count(SLOTS));
        let expected = all * RECENT_SLOTS as f64 / SLOTS as f64;
        if (recent - expected).abs() > SIGNIFICANT_ERRORS * expected.sqrt() + 1.0 {
            recent * per_second(RECENT_SLOTS)
        } else {
            all * per_second(SLOTS)
        }
    }
}

/// Divides the whole of a rate in proportion to arrivals. The parts add up to [`WHOLE`] unless
/// nothing arrives.
///
/// ```
/// use corianderfork_jobs::meter::divide;
///
/// assert_eq!(divide(&[1.0, 1.0, 1.0]), [3_334, 3_333, 3_333]);
/// assert_eq!(divide(&[0.0, 5.0]), [0, 10_000]);
/// assert_eq!(divide(&[0.0, 0.0]), [0, 0]);
/// ```
pub fn divide(arrivals: &[f64]) -> Vec<u32> {
    let valid = |rate: &f64| if rate.is_finite() { rate.max(0.0) } else { 0.0 };
    let sum: f64 = arrivals.iter().map(valid).sum();
    if sum <= 0.0 {
        return vec![0; arrivals.len()];
    }
    let mut parts: Vec<u32> =
        arrivals.iter().map(|rate| (valid(rate) / sum * f64::from(WHOLE)) as u32).collect();
    let mut rest = WHOLE.saturating_sub(parts.iter().sum());
    for (part, _) in parts.iter_mut().zip(arrivals).filter(|(_, rate)| valid(rate) > 0.0) {
        if rest > 0 {
            *part += 1;
            rest -= 1;
        }
    }
    parts
}
