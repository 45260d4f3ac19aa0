//! A token bucket that bounds a rate, however often decisions are made.

use corianderfork_model::Time;

/// The number of units that make up a token.
const TOKEN: u64 = 1_000;

/// A token bucket that refills evenly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    per_second: u64,
    /// In units of a thousandth of a token.
    tokens: u64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket. It refills at `per_second` and holds half a
    /// second's worth, but at least one token.
    pub(crate) fn new(per_second: u64) -> Self {
        Self { per_second, tokens: Self::capacity(per_second), refilled_at: Time::ZERO }
    }

    fn capacity(per_second: u64) -> u64 {
        (per_second * TOKEN / 2).max(TOKEN)
    }

    /// Takes a token. Returns false if there is none.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let elapsed = u64::try_from((now - self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        let refill = elapsed.saturating_mul(self.per_second);
        self.tokens = self.tokens.saturating_add(refill).min(Self::capacity(self.per_second));
        self.refilled_at = self.refilled_at.max(now);
        let taken = self.tokens >= TOKEN;
        if taken {
            self.tokens -= TOKEN;
        }
        taken
    }
}
