//! Release of a pool's worker in exchange for another worker instance.

use std::time::Duration;

use corianderfork_model::Time;

/// How long a pool is asked to release a worker: longer than most tasks take, so that one
/// worker becomes empty.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The pause after a release: as long as its VM takes to be sent away, to return and to be
/// checked by the advice service.
const RELEASE_PAUSE: Duration = Duration::from_millis(4_000);
/// Releases in a row before the pause grows. If one instance in three may not run a step,
/// this many are all refused once in 6,500 times.
const QUICK_RELEASES: u32 = 8;
const MAX_PAUSE: Duration = Duration::from_millis(80_000);
/// The most doublings of the pause, which exceed [`MAX_PAUSE`].
const MAX_DOUBLINGS: u32 = 5;

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
/// assert!(!exchange.should_release(at(0), false));
/// assert!(exchange.should_release(at(100), true));
/// exchange.note_departure(at(200));
/// assert!(!exchange.should_release(at(300), true), "another instance comes first");
/// assert!(exchange.should_release(at(4_300), true));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Since when a worker is to be released.
    releasing_since: Option<Time>,
    /// Until when none is released.
    paused_until: Time,
    /// The number of releases in a row.
    releases: u32,
}

impl Exchange {
    /// Whether the pool should release a worker now. `is_stuck`: whether a step is allowed
    /// on none of its workers and it can't get another one.
    pub fn should_release(&mut self, now: Time, is_stuck: bool) -> bool {
        if self.releasing_since.is_some_and(|since| now - since >= RELEASE_TIMEOUT) {
            self.pause(now);
        }
        if !is_stuck {
            self.releasing_since = None;
            if now >= self.paused_until + MAX_PAUSE {
                self.releases = 0;
            }
        } else if self.releasing_since.is_none() && now >= self.paused_until {
            self.releasing_since = Some(now);
        }
        self.releasing_since.is_some()
    }

    /// Records that a worker of the pool was ordered away. Returns whether this was a
    /// release.
    pub fn note_departure(&mut self, now: Time) -> bool {
        let is_release = self.releasing_since.is_some();
        if is_release {
            self.pause(now);
        }
        is_release
    }

    fn pause(&mut self, now: Time) {
        self.releasing_since = None;
        self.releases += 1;
        let doublings = self.releases.saturating_sub(QUICK_RELEASES).min(MAX_DOUBLINGS);
        self.paused_until = now + (RELEASE_PAUSE * (1 << doublings)).min(MAX_PAUSE);
    }
}
