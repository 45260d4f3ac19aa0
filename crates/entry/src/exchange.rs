//! Release of a pool's worker in exchange for another worker instance.

use std::time::Duration;

use corianderfork_model::Time;

/// How long a pool is asked to release a worker: longer than most tasks take, so that one
/// worker becomes empty.
const GIVING: Duration = Duration::from_millis(5_000);
/// The pause after a release: as long as its VM takes to be sent away, to return and to be
/// checked by the advice service.
const PAUSE: Duration = Duration::from_millis(4_000);
/// Releases in a row before the pause grows. If one instance in three may not run a step,
/// this many are all refused once in 6,500 times.
const QUICK: u32 = 8;
/// The longest pause.
const LONGEST: Duration = Duration::from_millis(80_000);
/// The most doublings of the pause, which exceed [`MAX_PAUSE`].
const MOST_DOUBLED: u32 = 5;

/// Decides whether a pool releases a worker so that another one may come. It does no I/O.
///
/// A service may allow a step on none of a pool's workers. It judges worker instances: if all
/// VMs are in pools already, only another instance can help, and without one an accepted job
/// waits forever. The log shows this as `pool sized` with `refused` above 0 and no move to
/// the pool.
///
/// One worker is released at a time. After several in a row that were all refused, the pause
/// doubles with each one: a service that allows a step nowhere must not keep the whole fleet
/// moving.
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
    /// Since when a worker is to be released.
    giving: Option<Time>,
    /// Until when none is released.
    rests_until: Time,
    /// The number of releases in a row.
    given: u32,
}

impl Exchange {
    /// Whether the pool should release a worker now. `is_stuck`: whether a step is allowed
    /// on none of its workers and it can't get another one.
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

    /// Records that a worker of the pool was ordered away. Returns whether this was a
    /// release.
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
