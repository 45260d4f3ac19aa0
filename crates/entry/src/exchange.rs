//! Giving a worker up for another life of a VM.

use std::time::Duration;

use corianderfork_model::Time;

/// How long a pool is asked to give a worker up: longer than most tasks take, so
/// that one runs empty.
const GIVING: Duration = Duration::from_millis(5_000);
/// The pause after a worker was given up: as long as its VM takes to be sent away,
/// come back and be asked about.
const PAUSE: Duration = Duration::from_millis(4_000);
/// Workers that are given up one after the other before the pause grows: where one
/// life in three may not run a step, so many are all refused once in 6,500 times.
const QUICK: u32 = 8;
/// The longest pause.
const LONGEST: Duration = Duration::from_millis(80_000);
/// How often the pause doubles at most, which takes it past the longest.
const MOST_DOUBLED: u32 = 5;

/// Whether a pool gives a worker up so that another one may come. Pure.
///
/// A service may allow a step on none of a pool's workers. It judges lives of
/// workers: where all VMs are in pools already, only another life can help, and
/// without one an accepted job waits for ever. One sees `pool sized` with `refused`
/// above 0, and no move to the pool.
///
/// One worker goes at a time. After some that were all refused the pause doubles with
/// each: a service that allows a step nowhere must not have the fleet moved about.
///
/// ```
/// use corianderfork_entry::exchange::Exchange;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut exchange = Exchange::default();
/// assert!(!exchange.gives(at(0), false));
/// assert!(exchange.gives(at(100), true));
/// exchange.gave(at(200));
/// assert!(!exchange.gives(at(300), true), "another life comes first");
/// assert!(exchange.gives(at(4_300), true));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Since when a worker is to be given up.
    giving: Option<Time>,
    /// Until when none is.
    rests_until: Time,
    /// Workers given up one after the other.
    given: u32,
}

impl Exchange {
    /// Whether the pool is to give a worker up now. `is_stuck`: whether a step is
    /// allowed on none of its workers, and it can't have one more.
    pub fn gives(&mut self, now: Time, is_stuck: bool) -> bool {
        if self.giving.is_some_and(|since| now - since >= GIVING) {
            self.rest(now);
        }
        if !is_stuck {
            self.giving = None;
            if now >= self.rests_until + LONGEST {
                self.given = 0;
            }
        } else if self.giving.is_none() && now >= self.rests_until {
            self.giving = Some(now);
        }
        self.giving.is_some()
    }

    /// A worker of the pool was ordered away. Whether it is one that was given up.
    pub fn gave(&mut self, now: Time) -> bool {
        let is_given = self.giving.is_some();
        if is_given {
            self.rest(now);
        }
        is_given
    }

    fn rest(&mut self, now: Time) {
        self.giving = None;
        self.given += 1;
        let doubled = self.given.saturating_sub(QUICK).min(MOST_DOUBLED);
        self.rests_until = now + (PAUSE * (1 << doubled)).min(LONGEST);
    }
}
