//! Detection of outages of the store.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a call may be pending before the store is considered down. The store responds
/// in milliseconds, in some 400 when it is at its slowest, and a store that is only slow must
/// not be taken for one that is down.
const SILENCE_LIMIT: Duration = Duration::from_millis(550);
/// How many calls have to fail in a row, with no response in between.
const MIN_FAILURES: u32 = 2;
/// How long there has to be no response if calls fail at once: a restart of one process
/// resets all connections at one moment.
const MIN_FAILING_TIME: Duration = Duration::from_millis(250);

/// The most time that passes between two calls of [`Outage::note_running`] unless the process is
/// frozen. Each of them counts for no more.
const MAX_TICK: Duration = Duration::from_millis(200);

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// The availability of the store, as observed by calls through any route. It does no I/O.
///
/// During an outage no job can be accepted. A caller whose job is written anyway learns after some
/// hundreds of milliseconds that the outcome is unknown, and retries; one that is refused at once,
/// unwritten, knows that its job was not run and when to come back.
///
/// ```
/// use corianderfork_entry::outage::Outage;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut outage = Outage::default();
/// let call = outage.note_sent(at(0));
/// assert!(!outage.is_down(at(400)), "the store may only be slow");
/// assert!(outage.is_down(at(600)));
/// outage.note_response(at(700), call);
/// assert!(!outage.is_down(at(700)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outage {
    calls: u64,
    /// Calls in flight, and when they were sent.
    pending: BTreeMap<CallId, Time>,
    /// Calls that failed since the last response.
    failures: u32,
    /// Whether a waiting call was cut since the last response.
    is_cut: bool,
    last_response: Time,
    /// When the process last noted that it runs.
    last_tick: Option<Time>,
    /// How long it was frozen.
    frozen: Duration,
}

impl Outage {
    /// Records that the process runs, which it has to do several times a second if at all. The time
    /// for which it didn't doesn't count as silence of the store.
    ///
    /// ```
    /// use corianderfork_entry::outage::Outage;
    /// use corianderfork_model::Time;
    ///
    /// let at = Time::from_millis;
    /// let mut outage = Outage::default();
    /// outage.note_running(at(1_000));
    /// outage.note_sent(at(1_000));
    /// assert!(!outage.is_down(at(5_000)), "the process was frozen for most of this");
    /// outage.note_running(at(5_000));
    /// outage.note_running(at(5_200));
    /// assert!(!outage.is_down(at(5_200)));
    /// outage.note_running(at(5_400));
    /// assert!(outage.is_down(at(5_400)));
    /// ```
    pub fn note_running(&mut self, now: Time) {
        self.frozen += self.frozen_since_tick(now);
        self.last_tick = Some(now);
    }

    fn frozen_since_tick(&self, now: Time) -> Duration {
        self.last_tick.map_or(Duration::ZERO, |tick| (now - tick).saturating_sub(MAX_TICK))
    }

    /// Returns a time that stands still while the process is frozen.
    fn awake(&self, now: Time) -> Time {
        let frozen = self.frozen + self.frozen_since_tick(now);
        Time::ZERO + (now - Time::ZERO).saturating_sub(frozen)
    }

    /// Records that a call was sent that should get a response at once.
    pub fn note_sent(&mut self, now: Time) -> CallId {
        let now = self.awake(now);
        self.calls += 1;
        self.pending.insert(CallId(self.calls), now);
        CallId(self.calls)
    }

    /// Records that a call got a response.
    pub fn note_response(&mut self, now: Time, call: CallId) {
        self.pending.remove(&call);
        self.note_contact(now);
    }

    /// Records a response of the store to anything but a call that was
    /// [sent](Self::note_sent).
    pub fn note_contact(&mut self, now: Time) {
        self.last_response = self.awake(now);
        self.failures = 0;
        self.is_cut = false;
    }

    /// Records that a call ended without a response or was rejected.
    pub fn note_failure(&mut self, call: CallId) {
        self.pending.remove(&call);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that a call that was waiting for a change, and may wait for long, was cut.
    pub fn note_cut(&mut self) {
        self.is_cut = true;
    }

    /// Whether something failed since the last response. What is written now may be carried out
    /// without an answer, so a read comes first: it can be repeated.
    ///
    /// ```
    /// use corianderfork_entry::outage::Outage;
    /// use corianderfork_model::Time;
    ///
    /// let mut outage = Outage::default();
    /// outage.note_cut();
    /// assert!(outage.is_suspected());
    /// outage.note_contact(Time::from_millis(5));
    /// assert!(!outage.is_suspected());
    /// ```
    pub fn is_suspected(&self) -> bool {
        self.failures > 0 || self.is_cut
    }

    /// Whether the store is considered down.
    pub fn is_down(&self, now: Time) -> bool {
        let now = self.awake(now);
        // Calls sent before the last response may have been lost individually.
        let waits = |sent: &Time| *sent >= self.last_response && now - *sent >= SILENCE_LIMIT;
        let is_failing =
            self.failures >= MIN_FAILURES && now - self.last_response >= MIN_FAILING_TIME;
        is_failing || self.pending.values().any(waits)
    }

    /// Returns the time since the last response, without that for which the process was frozen, and
    /// the number of calls failed since.
    pub fn evidence(&self, now: Time) -> (Duration, u32) {
        (self.awake(now) - self.last_response, self.failures)
    }
}
