//! Leader election: one holder at a time, by a lease of the platform's service.
//!
//! The holder of a key under a lease does a piece of work on behalf of all
//! processes, such as planning. The service deletes the key when the lease
//! expires, and another process takes over. The following can go wrong:
//!
//! - *The holder measures the lease from the answer to a renewal.* The service
//!   measures it from the arrival of the renewal, so two processes would act at
//!   once for as long as the answer travels. [`Holder`] measures from when the
//!   renewal was sent, and stops a margin before the TTL.
//! - *The holder is paused, resumes and continues.* Call [`Holder::token`] with
//!   the current time directly before each action; it returns `None` once the
//!   lease has expired, even before any event arrives. The clock must include
//!   the time during which the process was paused; where a VM's clock stops
//!   with the VM, only the fencing token helps.
//! - *The pause falls between that check and the action.* No clock helps here.
//!   Every write is fenced: it expects the revision on which it was decided,
//!   and carries the token, which increases with each holder.
//! - *The answer to a write is lost.* The holder reads the key back. The key is
//!   its own if it is under its lease, because no other process has that lease
//!   id.
//!
//! The driver answers each [`Action`] except [`Action::Started`],
//! [`Action::Stopped`] and [`Action::Revoke`] with exactly one [`Answer`].
//! After reporting a timeout, it drops the late answer.
//!
//! ```
//! use corianderfork_coord::lease::{Action, Answer, Config, Event, Holder, Token};
//! use corianderfork_model::Time;
//! use std::time::Duration;
//!
//! let mut holder = Holder::new(Config::new().ttl(Duration::from_secs(9)), 1);
//! let at = Time::from_millis;
//! assert_eq!(holder.on_event(at(0), Event::Tick), [Action::Grant]);
//! let granted = Event::Store(Answer::Granted { lease: 5 });
//! assert_eq!(holder.on_event(at(1), granted), [Action::Put { lease: 5 }]);
//! let put = Event::Store(Answer::PutDone { revision: 70 });
//! assert_eq!(holder.on_event(at(2), put), [Action::Started { token: Token(70) }]);
//! assert_eq!(holder.on_event(at(3_000), Event::Tick), [Action::Renew { lease: 5 }]);
//! assert_eq!(holder.token(at(7_000)), Some(Token(70)));
//! assert_eq!(holder.token(at(8_100)), None); // 9 s less a margin of a tenth
//! # let _ = holder.on_event(at(8_100), Event::Tick);
//! ```

mod config;
mod message;

use corianderfork_model::Time;

use crate::backoff::{self, Backoff};

pub use config::Config;
pub use message::{Action, Answer, Event, Key, Token};

/// A renewal is due after the TTL divided by this, so that two renewals may
/// fail before the lease expires.
const RENEWALS_PER_TTL: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Grant,
    Put,
    Read,
    Renew,
}

/// A call to the service that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: Call,
    sent: Time,
    /// The lease that it concerns, 0 for none.
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// When the last confirmed grant or renewal was sent.
    sent: Time,
    token: Option<Token>,
}

/// A state machine that acquires, renews and loses a lease.
#[derive(Clone, Debug)]
pub struct Holder {
    config: Config,
    backoff: Backoff,
    lease: Option<Lease>,
    pending: Option<PendingCall>,
    /// No call is made before this time.
    next_call: Time,
    released: bool,
}

impl Holder {
    /// Creates a holder without a lease; the first [`Event::Tick`] starts an
    /// attempt to acquire one. `seed` jitters the retries.
    pub fn new(config: Config, seed: u64) -> Self {
        let waits = backoff::Config::new().first(config.ttl / RENEWALS_PER_TTL).max(config.ttl);
        let backoff = Backoff::new(waits, seed);
        let next_call = Time::ZERO;
        Self { config, backoff, lease: None, pending: None, next_call, released: false }
    }

    /// Returns the fencing token if this process may act at `now`. Call this
    /// directly before each action.
    pub fn token(&self, now: Time) -> Option<Token> {
        self.lease.filter(|lease| self.is_current(now, lease))?.token
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        if self.released {
            return None;
        }
        let end = self.lease.map(|lease| lease.sent + self.config.validity());
        let call = self.pending.is_none().then(|| self.call_due());
        end.into_iter().chain(call).min()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        // Check for expiry first: a holder that was paused must find its lease
        // expired before a late successful answer can extend it.
        self.drop_if_expired(now, &mut actions);
        match event {
            Event::Store(answer) => self.on_answer(now, answer, &mut actions),
            Event::Vacant if self.lease.is_none() => self.next_call = now,
            Event::Release => self.release(&mut actions),
            Event::Vacant | Event::Tick => {}
        }
        self.call_if_due(now, &mut actions);
        actions
    }

    fn is_current(&self, now: Time, lease: &Lease) -> bool {
        now < lease.sent + self.config.validity()
    }

    fn drop_if_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| !self.is_current(now, &lease)) {
            self.next_call = now;
            self.drop_lease(actions);
        }
    }

    fn release(&mut self, actions: &mut Vec<Action>) {
        self.released = true;
        self.drop_lease(actions);
    }

    /// Stops acting and revokes the lease. Revoking deletes the key at once
    /// instead of at the end of the TTL, and voids a write under the lease that
    /// has not arrived yet.
    fn drop_lease(&mut self, actions: &mut Vec<Action>) {
        let Some(lease) = self.lease.take() else { return };
        if lease.token.is_some() {
            actions.push(Action::Stopped);
        }
        actions.push(Action::Revoke { lease: lease.id });
    }

    fn on_answer(&mut self, now: Time, answer: Answer, actions: &mut Vec<Action>) {
        let Some(answered) = self.pending.take() else { return };
        if let Answer::Granted { lease } = answer {
            return self.on_granted(now, lease, answered.sent, actions);
        }
        // An answer about a lease that was dropped in the meantime is
        // irrelevant.
        let Some(lease) = self.lease.filter(|lease| lease.id == answered.lease) else {
            if answered.call == Call::Grant {
                self.back_off(now);
            }
            return;
        };
        match (answered.call, answer) {
            (Call::Put, Answer::PutDone { revision }) => {
                self.start_holding(lease, revision, actions)
            }
            (Call::Put, _) => self.send(now, Call::Read, actions),
            (Call::Read, Answer::Read(Some(key))) if key.lease == Some(lease.id) => {
                self.start_holding(lease, key.revision, actions);
            }
            // Absent: the write has not taken effect, at least not yet. If it
            // does later, the next write conflicts and the key is read again.
            (Call::Read, Answer::Read(None)) => self.send(now, Call::Put, actions),
            (Call::Read, Answer::Read(Some(_))) | (Call::Renew, Answer::Lapsed) => {
                self.drop_lease(actions);
                self.back_off(now);
            }
            (Call::Renew, Answer::Renewed) => {
                self.lease = Some(Lease { sent: answered.sent, ..lease });
                self.backoff.reset();
            }
            _ => self.back_off(now),
        }
    }

    fn on_granted(&mut self, now: Time, id: u64, sent: Time, actions: &mut Vec<Action>) {
        let lease = Lease { id, sent, token: None };
        if self.released || !self.is_current(now, &lease) {
            actions.push(Action::Revoke { lease: id });
            return;
        }
        self.lease = Some(lease);
        self.send(now, Call::Put, actions);
    }

    fn start_holding(&mut self, lease: Lease, revision: u64, actions: &mut Vec<Action>) {
        let token = Token(revision);
        self.lease = Some(Lease { token: Some(token), ..lease });
        self.backoff.reset();
        actions.push(Action::Started { token });
    }

    fn back_off(&mut self, now: Time) {
        self.next_call = now + self.backoff.next_wait();
    }

    /// Returns when the next call is due, provided that none is pending.
    fn call_due(&self) -> Time {
        match self.lease {
            Some(Lease { token: Some(_), sent, .. }) => {
                self.next_call.max(sent + self.config.ttl / RENEWALS_PER_TTL)
            }
            _ => self.next_call,
        }
    }

    fn call_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.released || self.pending.is_some() || now < self.call_due() {
            return;
        }
        let call = match self.lease {
            None => Call::Grant,
            Some(Lease { token: None, .. }) => Call::Read,
            Some(_) => Call::Renew,
        };
        self.send(now, call, actions);
    }

    fn send(&mut self, now: Time, call: Call, actions: &mut Vec<Action>) {
        let lease = self.lease.map_or(0, |lease| lease.id);
        self.pending = Some(PendingCall { call, sent: now, lease });
        actions.push(match call {
            Call::Grant => Action::Grant,
            Call::Put => Action::Put { lease },
            Call::Read => Action::Read,
            Call::Renew => Action::Renew { lease },
        });
    }
}
