//! Successes and failures of the last seconds.

use corianderfork_model::Time;

/// The length of one half of the window, in milliseconds.
const HALF_MILLIS: u64 = 5_000;

/// A window of two halves: the current one and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window {
    half_index: u64,
    current: Counts,
    previous: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    tries: u32,
    successes: u32,
}

impl Window {
    pub(super) fn record(&mut self, now: Time, success: bool) {
        *self = self.as_of(now);
        self.current.tries += 1;
        self.current.successes += u32::from(success);
    }

    pub(super) fn tries(&self, now: Time) -> u32 {
        let window = self.as_of(now);
        window.current.tries + window.previous.tries
    }

    /// Returns the share of tries that succeeded, assuming one additional
    /// success so that a single failure does not yield a rate of 0.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let window = self.as_of(now);
        let successes = window.current.successes + window.previous.successes + 1;
        f64::from(successes) / f64::from(self.tries(now) + 1)
    }

    fn as_of(&self, now: Time) -> Self {
        let half_index = now.as_millis() / HALF_MILLIS;
        match half_index.saturating_sub(self.half_index) {
            0 => *self,
            1 => Self { half_index, current: Counts::default(), previous: self.current },
            _ => Self { half_index, ..Self::default() },
        }
    }
}
