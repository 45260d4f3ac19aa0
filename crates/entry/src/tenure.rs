//! How certain a process is that the duties that it holds are still its own.
//!
//! This module does no I/O. A process holds its duties as long as its member record lives, which is
//! under its lease in the store: no other member takes a duty from a holder whose record is there. So
//! a lease that was renewed proves that no duty was taken until then. Once a lease was lost, only the
//! duties' records tell, as they are after that.

use std::time::Duration;

use corianderfork_model::Time;

/// The length of a member's lease. A holder that died is replaced when it expires;
/// several renewals with their round trips must fit into it.
pub const LEASE_TTL: Duration = Duration::from_millis(2_500);
/// How long a holder continues without a renewal while the store doesn't respond at all. A successor
/// waits for this long before it starts what such a holder may have started, unless it has heard from
/// all workers.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(8_000);
/// A pause between two duty checks that only a freeze of the process explains.
pub const FREEZE_THRESHOLD: Duration = Duration::from_millis(900);

/// What a process knows of its hold on its duties.
///
/// ```
/// use corianderfork_entry::tenure::Tenure;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut tenure = Tenure::default();
/// tenure.check(at(1_000));
/// tenure.register(at(1_000), at(1_010));
/// assert!(tenure.has_lease(at(1_500)));
/// assert!(tenure.may_order(at(1_500), at(1_000)));
/// assert!(tenure.confirmed_until() > at(1_500));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tenure {
    /// When the last successful renewal of the lease was sent.
    renewed_at: Option<Time>,
    /// When the last one was sent by which the duties were certainly held.
    confirmed_at: Option<Time>,
    /// A read of the duties' records tells who holds them if it was requested from then on; `None`
    /// while the member record isn't there.
    readable_from: Option<Time>,
    /// All changes of duties before this time are known.
    known_at: Time,
    /// When duties were last checked. This happens continually unless the process is frozen.
    checked_at: Option<Time>,
    /// Whether the lease or the member record was lost, and the duties' records haven't been read
    /// since it is back.
    is_lost: bool,
}

impl Tenure {
    /// Records that the process runs, which it has to do several times a second. Returns for how long
    /// it was frozen, if it was: others may have taken its duties over, so nothing is ordered until the
    /// lease has been renewed again.
    pub fn check(&mut self, now: Time) -> Option<Duration> {
        let before = self.checked_at.replace(now)?;
        let away = now - before;
        if away <= FREEZE_THRESHOLD {
            return None;
        }
        (self.renewed_at, self.confirmed_at) = (None, None);
        self.readable_from = self.readable_from.map(|from| from.max(now));
        Some(away)
    }

    /// Records that a lease was taken by a call sent at `sent`, and the member record written under it
    /// by one answered at `written`. Until then others could take the duties.
    pub fn register(&mut self, sent: Time, written: Time) {
        let from = if self.is_lost { written } else { Time::ZERO };
        self.readable_from = Some(self.readable_from.unwrap_or_default().max(from));
        self.renew(sent);
    }

    /// Records that a call sent at `sent` renewed the lease.
    pub fn renew(&mut self, sent: Time) {
        self.renewed_at = Some(sent);
        self.confirm();
    }

    /// Records that the lease has ended, or the member record is gone.
    pub fn lose(&mut self) {
        (self.renewed_at, self.readable_from, self.is_lost) = (None, None, true);
    }

    /// Records that all changes of duties before `at` are known.
    pub fn note_known(&mut self, at: Time) {
        self.known_at = self.known_at.max(at);
        if self.is_known() {
            self.is_lost = false;
            self.confirm();
        }
    }

    fn confirm(&mut self) {
        if !self.is_lost {
            self.confirmed_at = self.renewed_at;
        }
    }

    /// Returns when the last successful renewal of the lease was sent, unless the process was frozen
    /// since.
    pub fn renewed_at(&self) -> Option<Time> {
        self.renewed_at
    }

    /// Whether so much time has passed since the last check that the process must have been frozen.
    pub fn is_frozen(&self, now: Time) -> bool {
        self.checked_at.is_none_or(|at| now - at > FREEZE_THRESHOLD)
    }

    /// Whether the lease in the store certainly holds.
    pub fn has_lease(&self, now: Time) -> bool {
        !self.is_frozen(now) && self.renewed_at.is_some_and(|at| now - at < LEASE_TTL)
    }

    /// Whether orders of a peer may be delivered. One that a frozen process finds as it wakes was sent
    /// long ago: its worker may have started again since, and its owner doesn't wait for it any more.
    ///
    /// ```
    /// use corianderfork_entry::tenure::Tenure;
    /// use corianderfork_model::Time;
    ///
    /// let at = Time::from_millis;
    /// let mut tenure = Tenure::default();
    /// tenure.check(at(1_000));
    /// tenure.register(at(1_000), at(1_010));
    /// assert!(tenure.may_deliver(at(1_200)));
    /// assert!(!tenure.may_deliver(at(5_000)), "it was frozen");
    /// ```
    pub fn may_deliver(&self, now: Time) -> bool {
        !self.is_frozen(now) && self.renewed_at.is_some()
    }

    /// Whether nothing has happened by which duties may have been lost since they were last read.
    pub fn is_known(&self) -> bool {
        self.readable_from.is_some_and(|from| self.known_at >= from)
    }

    /// Returns until when a duty is certainly held whose record names this process.
    pub fn confirmed_until(&self) -> Time {
        let lease_end = self.renewed_at.map(|at| at + LEASE_TTL);
        let frozen_from = self.checked_at.map(|at| at + FREEZE_THRESHOLD);
        lease_end.min(frozen_from).unwrap_or_default()
    }

    /// Whether orders may be sent: the duties are certainly held, or they were a short time ago and
    /// the store hasn't responded since, or has given no more than a new lease.
    ///
    /// Right after a freeze, the silence of the store looks like an outage. Orders sent then
    /// would contradict what another holder did meanwhile: a job that it completed would be
    /// reported as queued. So would those under a new lease, sent long after the duties were lost.
    pub fn may_order(&self, now: Time, last_response: Time) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        let since = now - confirmed_at;
        if self.is_frozen(now) || since >= OUTAGE_GRACE {
            return false;
        }
        let is_store_silent = last_response <= confirmed_at + LEASE_TTL;
        since < LEASE_TTL || is_store_silent || self.has_lease(now)
    }
}
