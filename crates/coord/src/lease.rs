//! One holder at a time, by a lease of the platform's service.
//!
//! The holder of a key under a lease does a piece of work for all, such as
//! planning. The service deletes the key when the lease lapses, and another
//! process takes it. What goes wrong without care:
//!
//! - *The holder counts its time from the answer to a renewal.* The service
//!   counted from when the renewal reached it, so two processes act at once
//!   for as long as the answer travelled. [`Holder`] counts from when the
//!   renewal was sent, and stops a margin before the TTL.
//! - *The holder is paused, wakes and goes on.* Ask [`Holder::token`] with the
//!   present time directly before each act; it is `None` once the time is
//!   over, even before any event came in. The clock must count the time that
//!   the process was paused; where a VM's clock stops with it, only the token
//!   helps.
//! - *The pause falls between the question and the act.* No clock helps
//!   here. Every write is fenced: it expects the revision it was decided on,
//!   and carries the token, which grows with each holder.
//! - *The answer to a write is lost.* The holder reads back; the key is its
//!   own if it is under its lease, whose id nobody else has.
//!
//! The driver answers each [`Action`] but [`Action::Started`] and
//! [`Action::Stopped`] by one [`Answer`], and drops what comes after a
//! timeout that it reported.
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

/// A renewal is sent when this part of the TTL is over, so that two may fail.
const RENEWALS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Grant,
    Put,
    Read,
    Renew,
}

/// A call whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Out {
    call: Call,
    sent: Time,
    /// The lease it was sent for, 0 for none.
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// When the last confirmed grant or renewal was sent.
    sent: Time,
    token: Option<Token>,
}

/// Acquires, keeps and loses a lease.
#[derive(Clone, Debug)]
pub struct Holder {
    config: Config,
    backoff: Backoff,
    lease: Option<Lease>,
    out: Option<Out>,
    /// No call is made before.
    resume: Time,
    released: bool,
}

impl Holder {
    /// A holder of nothing; its first [`Event::Tick`] makes it try. Its
    /// retries are jittered by `seed`.
    pub fn new(config: Config, seed: u64) -> Self {
        let waits = backoff::Config::new().first(config.ttl / RENEWALS).max(config.ttl);
        let backoff = Backoff::new(waits, seed);
        let resume = Time::ZERO;
        Self { config, backoff, lease: None, out: None, resume, released: false }
    }

    /// The fencing token, if this process may act at `now`. Ask directly
    /// before each act.
    pub fn token(&self, now: Time) -> Option<Token> {
        self.lease.filter(|lease| self.is_current(now, lease))?.token
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        if self.released {
            return None;
        }
        let end = self.lease.map(|lease| lease.sent + self.config.term());
        let call = self.out.is_none().then(|| self.due());
        end.into_iter().chain(call).min()
    }

    /// Takes in what happened and gives what to do.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        // First of all: a holder that was paused finds itself lapsed before
        // any answer, however good, can make it go on.
        self.lapse(now, &mut out);
        match event {
            Event::Store(answer) => self.on_answer(now, answer, &mut out),
            Event::Vacant if self.lease.is_none() => self.resume = now,
            Event::Release => self.release(&mut out),
            Event::Vacant | Event::Tick => {}
        }
        self.call(now, &mut out);
        out
    }

    fn is_current(&self, now: Time, lease: &Lease) -> bool {
        now < lease.sent + self.config.term()
    }

    fn lapse(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| !self.is_current(now, &lease)) {
            self.resume = now;
            self.drop_lease(out);
        }
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        self.released = true;
        self.drop_lease(out);
    }

    /// Stops, and revokes the lease: the key goes at once instead of at the
    /// end of the TTL, and a write of it that is still on its way is void.
    fn drop_lease(&mut self, out: &mut Vec<Action>) {
        let Some(lease) = self.lease.take() else { return };
        if lease.token.is_some() {
            out.push(Action::Stopped);
        }
        out.push(Action::Revoke { lease: lease.id });
    }

    fn on_answer(&mut self, now: Time, answer: Answer, out: &mut Vec<Action>) {
        let Some(call) = self.out.take() else { return };
        if let Answer::Granted { lease } = answer {
            return self.on_granted(now, lease, call.sent, out);
        }
        // An answer for a lease that was dropped meanwhile says nothing.
        let Some(lease) = self.lease.filter(|lease| lease.id == call.lease) else {
            if call.call == Call::Grant {
                self.pause(now);
            }
            return;
        };
        match (call.call, answer) {
            (Call::Put, Answer::PutDone { revision }) => self.start(lease, revision, out),
            (Call::Put, _) => self.send(now, Call::Read, out),
            (Call::Read, Answer::Read(Some(key))) if key.lease == Some(lease.id) => {
                self.start(lease, key.revision, out);
            }
            // Absent: the write did not take effect, or not yet. Should it do
            // so later, the next one conflicts and is read back.
            (Call::Read, Answer::Read(None)) => self.send(now, Call::Put, out),
            (Call::Read, Answer::Read(Some(_))) | (Call::Renew, Answer::Lapsed) => {
                self.drop_lease(out);
                self.pause(now);
            }
            (Call::Renew, Answer::Renewed) => {
                self.lease = Some(Lease { sent: call.sent, ..lease });
                self.backoff.reset();
            }
            _ => self.pause(now),
        }
    }

    fn on_granted(&mut self, now: Time, id: u64, sent: Time, out: &mut Vec<Action>) {
        let lease = Lease { id, sent, token: None };
        if self.released || !self.is_current(now, &lease) {
            out.push(Action::Revoke { lease: id });
            return;
        }
        self.lease = Some(lease);
        self.send(now, Call::Put, out);
    }

    fn start(&mut self, lease: Lease, revision: u64, out: &mut Vec<Action>) {
        let token = Token(revision);
        self.lease = Some(Lease { token: Some(token), ..lease });
        self.backoff.reset();
        out.push(Action::Started { token });
    }

    fn pause(&mut self, now: Time) {
        self.resume = now + self.backoff.next_wait();
    }

    /// When the next call is due, if none is out.
    fn due(&self) -> Time {
        match self.lease {
            Some(Lease { token: Some(_), sent, .. }) => {
                self.resume.max(sent + self.config.ttl / RENEWALS)
            }
            _ => self.resume,
        }
    }

    fn call(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.released || self.out.is_some() || now < self.due() {
            return;
        }
        let call = match self.lease {
            None => Call::Grant,
            Some(Lease { token: None, .. }) => Call::Read,
            Some(_) => Call::Renew,
        };
        self.send(now, call, out);
    }

    fn send(&mut self, now: Time, call: Call, out: &mut Vec<Action>) {
        let lease = self.lease.map_or(0, |lease| lease.id);
        self.out = Some(Out { call, sent: now, lease });
        out.push(match call {
            Call::Grant => Action::Grant,
            Call::Put => Action::Put { lease },
            Call::Read => Action::Read,
            Call::Renew => Action::Renew { lease },
        });
    }
}
