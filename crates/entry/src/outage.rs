//! Whether the store is away.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a call may go without an answer before the store is taken to be away.
/// It answers in milliseconds, in some 400 when it is at its slowest, and a store
/// that is only slow must not be taken for one that is gone.
const SILENT: Duration = Duration::from_millis(550);
/// Calls that have to fail in a row, with no answer in between.
const FAILURES: u32 = 2;
/// How long there has to be no answer where calls fail at once: one process that
/// is restarted resets all connections of a moment.
const FAILING: Duration = Duration::from_millis(250);

/// A call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call(u64);

/// What is known of the store from calls to it, by whatever way. Pure.
///
/// While it is away no job can be accepted. A caller whose job is written to it
/// all the same is told after some hundreds of milliseconds that nobody knows
/// whether it was stored, and asks again; one that is refused at once, unwritten,
/// knows that its job was not run and when to come back.
///
/// ```
/// use corianderfork_entry::outage::Outage;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut outage = Outage::default();
/// let call = outage.sent(at(0));
/// assert!(!outage.is_away(at(400)), "it may be slow");
/// assert!(outage.is_away(at(600)));
/// outage.answered(at(700), call);
/// assert!(!outage.is_away(at(700)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outage {
    calls: u64,
    /// Calls under way that have not been answered, and when they were sent.
    pending: BTreeMap<Call, Time>,
    /// Calls that failed since the last answer.
    failures: u32,
    answered: Time,
}

impl Outage {
    /// A call is sent that is to be answered at once.
    pub fn sent(&mut self, now: Time) -> Call {
        self.calls += 1;
        self.pending.insert(Call(self.calls), now);
        Call(self.calls)
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Time, call: Call) {
        self.pending.remove(&call);
        self.heard(now);
    }

    /// The store was heard of by another way than a call that was [sent](Self::sent).
    pub fn heard(&mut self, now: Time) {
        self.answered = now;
        self.failures = 0;
    }

    /// A call ended without an answer, or was turned away.
    pub fn failed(&mut self, call: Call) {
        self.pending.remove(&call);
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the store is taken to be away.
    pub fn is_away(&self, now: Time) -> bool {
        // Calls that were sent before the last answer may have been lost alone.
        let waits = |sent: &Time| *sent >= self.answered && now - *sent >= SILENT;
        let is_failing = self.failures >= FAILURES && now - self.answered >= FAILING;
        is_failing || self.pending.values().any(waits)
    }

    /// How long ago it last answered, and how many calls have failed since.
    pub fn evidence(&self, now: Time) -> (Duration, u32) {
        (now - self.answered, self.failures)
    }
}
