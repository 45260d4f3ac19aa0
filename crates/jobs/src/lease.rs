//! How long a worker may hold a lease, as far as the owner of its pool knows.
//!
//! A deadline is a time on the clock of one instance of a worker. A worker that starts again under
//! its ID takes calls that were meant for its former instance, and its clock starts anew: a deadline
//! on the former clock may be far ahead, so that the instance holds the longest lease that workers
//! grant, whatever its owner meant. Nobody may count on less unless the instance is known to have
//! taken no such call.
//!
//! Each conclusion about a worker, its instance and its leases:
//!
//! | conclusion | rests on |
//! |---|---|
//! | this owner's leases have ended ([`Proof::LeaseEnded`]) | deadlines on this instance's clock; the longest lease after a start without an answer that settles it, until the same instance answers a poll sent when that start had arrived; nothing while an answer is awaited |
//! | the same for an instance that has just been heard of | the longest lease: starts for the former instance may have reached it, and may still, until it has answered under a higher fence (`pool::fence`) |
//! | an answered start gave the lease that was meant | the clock in the answer |
//! | a refused start gave no lease | the reason: a worker that refuses a start as old or for lack of room takes its deadline |
//! | a poll gives no lease to another instance | the connection: it carries a deadline only where the instance has answered before |
//! | leases told to a successor | as above, and the longest lease while starts are on their way |
//! | a former owner's leases have ended, and it can't be asked | the longest lease, from its known end |
//! | the same, once the worker has answered this owner | the longest lease, from that answer: it rejects the former owner since, unless it starts again |
//! | no run of a former owner is unseen ([`Proof::NoneUnseen`]) | each inherited worker has listed all it holds under this owner's fence, in whichever instance, or a former owner's leases there have ended |
//! | an instance has ended ([`Proof::Restarted`], [`Proof::Replaced`]) | its worker's answer, which names another one, or whose clock is behind or too far ahead |
//! | an instance has ended ([`Proof::NoVm`], [`Proof::Maintained`]) | the platform's list; starts that may reach the next instance keep their tasks |
//! | an entry is one of this instance | the start that it names |
//! | a worker is empty | its current instance, which answers |
//!
//! [`Proof::LeaseEnded`]: crate::pool::proof::Proof::LeaseEnded
//! [`Proof::NoneUnseen`]: crate::pool::proof::Proof::NoneUnseen
//! [`Proof::Restarted`]: crate::pool::proof::Proof::Restarted
//! [`Proof::Replaced`]: crate::pool::proof::Proof::Replaced
//! [`Proof::NoVm`]: crate::pool::proof::Proof::NoVm
//! [`Proof::Maintained`]: crate::pool::proof::Proof::Maintained

use std::time::Duration;

use corianderfork_model::Time;

use crate::worker::millis;

/// Maximum amount by which a worker's clock may run slow, in percent, as the platform
/// guarantees.
const CLOCK_SLOW_PERCENT: u32 = 2;

/// The time within which an order is taken to arrive. It covers the timeouts of its owner and of a peer
/// that delivers it, and is an assumption: an order may arrive after its sender has given up.
pub const MAX_TRANSIT: Duration = Duration::from_millis(1_700);

/// Returns how long a lease of `length` may last on the clock of the process that granted it:
/// the worker's clock may be slow, and slightly more time may pass between an answer of the
/// worker and the grant.
///
/// ```
/// use std::time::Duration;
///
/// let length = Duration::from_secs(4);
/// assert_eq!(corianderfork_jobs::lease::max_duration(length), Duration::from_millis(4_120));
/// ```
pub fn max_duration(length: Duration) -> Duration {
    length * (100 + CLOCK_SLOW_PERCENT + 1) / 100
}

/// Returns the longest lease that a start may give which was sent by now, where workers grant
/// `max_lease`.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_jobs::lease;
///
/// let max_lease = Duration::from_secs(10);
/// assert!(lease::longest(max_lease) > max_lease + lease::MAX_TRANSIT);
/// ```
pub fn longest(max_lease: Duration) -> Duration {
    max_duration(max_lease + MAX_TRANSIT)
}

/// What an owner knows of the leases of one instance of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// The longest lease that workers grant.
    max_lease: Duration,
    /// The last reported clock in milliseconds, and when the report arrived.
    clock: Option<(u64, Time)>,
    /// When the last granted lease ends, in milliseconds on the worker's clock.
    granted_until_ms: u64,
    /// When the leases that predecessors granted end at the latest.
    inherited_until: Time,
    /// When leases end at the latest that the instance took from starts, whichever it was meant for.
    taken_until: Time,
    /// When the last start that another instance may have taken was given up. It isn't known what
    /// became of its deadline.
    unsettled_since: Option<Time>,
}

impl Bounds {
    /// Returns the bounds of an instance on which predecessors' leases end by `inherited_until`.
    pub fn new(max_lease: Duration, inherited_until: Time) -> Self {
        Self {
            max_lease,
            clock: None,
            granted_until_ms: 0,
            inherited_until,
            taken_until: Time::ZERO,
            unsettled_since: None,
        }
    }

    /// Returns the bounds of the next instance, which was first heard of at `now`. It may have taken
    /// starts that were meant for this one, and may still.
    pub fn next_instance(&self, now: Time) -> Self {
        Self {
            clock: None,
            granted_until_ms: 0,
            taken_until: self.taken_until.max(now + longest(self.max_lease)),
            unsettled_since: None,
            ..*self
        }
    }

    /// Updates the worker's clock from an answer.
    pub fn update_clock(&mut self, now: Time, clock_ms: u64) {
        // Answers may arrive out of order; only a later clock is new.
        if self.clock.is_none_or(|(known, _)| clock_ms >= known) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Returns when the worker last answered, if it has.
    pub fn last_heard(&self) -> Option<Time> {
        self.clock.map(|(_, at)| at)
    }

    /// Grants a lease of `length` from now. Returns its deadline on the worker's clock, or
    /// `None` if the clock is unknown. Every lease that is sent counts as granted, since an
    /// unanswered request may have been carried out.
    pub fn grant(&mut self, now: Time, length: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let deadline = clock + millis(now - at) + millis(length);
        self.granted_until_ms = self.granted_until_ms.max(deadline);
        Some(deadline)
    }

    /// Records that a start was answered at the worker's clock `clock_ms`, and returns the length of
    /// the lease that it gave. If another instance answered, it differs from the one that was meant.
    pub fn confirm(&mut self, now: Time, clock_ms: u64, deadline_ms: u64) -> Duration {
        let meant = Duration::from_millis(deadline_ms.saturating_sub(clock_ms));
        let length = meant.min(self.max_lease);
        self.taken_until = self.taken_until.max(now + max_duration(length));
        length
    }

    /// Records that it isn't known which instance took the deadline of a start, if any did.
    pub fn leave_unsettled(&mut self, now: Time) {
        self.unsettled_since = Some(now);
    }

    /// Records that this instance answered a poll that was sent at `sent`. Starts that had arrived by
    /// then reached no later instance.
    pub fn settle(&mut self, sent: Time) {
        if self.unsettled_since.is_some_and(|since| sent >= since + MAX_TRANSIT) {
            self.unsettled_since = None;
        }
    }

    /// Records that the worker answered under its owner's fence at `now`: it rejects predecessors
    /// since.
    pub fn fence(&mut self, now: Time) {
        self.limit_inherited(now + max_duration(self.max_lease));
    }

    /// Records that the instance answered at `now` under a fence that makes it reject starts for earlier
    /// ones. It may have taken one until then.
    pub fn reject_former_starts(&mut self, now: Time) {
        self.taken_until = now + max_duration(self.max_lease);
    }

    /// Records that the leases of predecessors end by `until`. Never extends an earlier limit.
    pub fn limit_inherited(&mut self, until: Time) {
        self.inherited_until = self.inherited_until.min(until);
    }

    /// Returns when the leases of predecessors end at the latest.
    pub fn inherited_until(&self) -> Time {
        self.inherited_until
    }

    /// Returns when all leases have certainly ended, on the owner's clock.
    ///
    /// The worker's clock may be slow: it shows at least the last reported time plus 98% of the
    /// time since.
    pub fn end(&self) -> Time {
        let unsettled = self.unsettled_since.map(|since| since + longest(self.max_lease));
        let others = self.inherited_until.max(self.taken_until).max(unsettled.unwrap_or_default());
        let Some((clock, at)) = self.clock else { return others };
        let remaining = self.granted_until_ms.saturating_sub(clock);
        let stretched = remaining * 100 / u64::from(100 - CLOCK_SLOW_PERCENT) + 1;
        (at + Duration::from_millis(stretched)).max(others)
    }

    /// Returns the same while starts are on their way.
    pub fn end_with_open_starts(&self, now: Time) -> Time {
        self.end().max(now + longest(self.max_lease))
    }
}
