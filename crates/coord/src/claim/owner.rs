//! The owner of a shard, which grants claims.

mod response;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::batch::{Batch, Waiter};
use super::config::Config;
use super::id::{Attempt, Id};
use super::index::{Index, settle, verdict_for};
use super::journal::Journal;
use super::message::{Action, End, Event, Request, Verdict};
use super::segment::{Segment, State, Writer};
use crate::backoff::{self, Backoff};

/// The first wait after the platform's service failed.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The longest wait while the service is unavailable.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A state machine that grants the claims of one shard, created by a
/// [`super::Takeover`].
///
/// At most one write is in flight. Requests that arrive in the meantime are
/// written as one batch, at least the write interval after the previous write.
#[derive(Debug)]
pub struct Owner {
    config: Config,
    journal: Journal,
    index: Index,
    queue: Batch,
    in_flight: Option<InFlight>,
    /// When the oldest queued change arrived that no request waits for.
    settled_since: Option<Time>,
    last_write: Option<Time>,
    backoff: Backoff,
    /// Claims are refused until this time because the service failed.
    unavailable_until: Option<Time>,
    /// Segments to delete, and when the next delete is due.
    deletable: BTreeSet<u64>,
    next_delete: Time,
    deposed: bool,
    /// The time of the last event.
    last_event: Time,
}

/// A write whose outcome is not known yet.
#[derive(Debug)]
struct InFlight {
    batch: Batch,
    value: Segment,
    sent: Time,
    /// When to repeat a read that failed.
    next_read: Option<Time>,
}

impl Owner {
    pub(super) fn new(
        config: Config,
        journal: Journal,
        index: Index,
        deletable: BTreeSet<u64>,
    ) -> Self {
        let waits = backoff::Config::new().first(FIRST_WAIT).max(MAX_WAIT);
        let backoff = Backoff::new(waits, journal.writer().incarnation ^ journal.epoch());
        Self {
            config,
            journal,
            index,
            queue: Batch::default(),
            in_flight: None,
            settled_since: None,
            last_write: None,
            backoff,
            unavailable_until: None,
            deletable,
            next_delete: Time::ZERO,
            deposed: false,
            last_event: Time::ZERO,
        }
    }

    /// Whether another process owns the shard.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the process as which this owner writes.
    pub fn writer(&self) -> &Writer {
        self.journal.writer()
    }

    /// Returns how many ids are remembered.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many requests wait for a write.
    pub fn waiting(&self) -> usize {
        let unconfirmed = self.in_flight.as_ref().map_or(0, |flight| flight.batch.waiters.len());
        self.queue.waiters.len() + unconfirmed
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        if self.deposed {
            return None;
        }
        let read = self.in_flight.as_ref().and_then(|flight| flight.next_read);
        let write = if self.in_flight.is_none() { self.next_write() } else { None };
        let deletes = (!self.deletable.is_empty()).then_some(self.next_delete);
        let queued = &self.queue.waiters;
        let unconfirmed = self.in_flight.iter().flat_map(|flight| &flight.batch.waiters);
        let refusals =
            queued.iter().chain(unconfirmed).map(|w| w.since + self.config.request_timeout).min();
        read.into_iter().chain(write).chain(deletes).chain(refusals).min()
    }

    /// Handles an event at `now` (Unix time) and returns the actions to carry
    /// out.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.restart_waits_if_rewound(now);
        match event {
            Event::Request(request) => self.on_request(now, request, &mut actions),
            Event::Settle { id, attempt, end } => {
                self.on_settle(now, id, attempt, end, &mut actions)
            }
            Event::Store(answer) => self.on_answer(now, answer, &mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        self.write_if_due(now, &mut actions);
        actions
    }

    /// Restarts all waits if the clock was set back. Otherwise the owner would
    /// refuse requests, or keep its queue, until the clock has caught up.
    fn restart_waits_if_rewound(&mut self, now: Time) {
        let rewound = now < std::mem::replace(&mut self.last_event, now);
        if !rewound {
            return;
        }
        self.last_write = None;
        self.unavailable_until = None;
        self.next_delete = now;
        self.settled_since = self.settled_since.map(|_| now);
        self.queue.restart_waits(now);
        if let Some(flight) = &mut self.in_flight {
            flight.sent = now;
            flight.next_read = flight.next_read.map(|_| now);
            flight.batch.restart_waits(now);
        }
    }

    /// Returns the state of `id` including unconfirmed changes.
    fn state(&self, id: Id) -> Option<State> {
        let queued = self.queue.changes.get(&id).copied();
        let unconfirmed = || self.in_flight.as_ref()?.batch.changes.get(&id).copied();
        queued.or_else(unconfirmed).or_else(|| self.index.state(id))
    }

    /// Returns the batch that contains a claim of `id`, if any.
    fn pending_claim(&mut self, id: Id) -> Option<&mut Batch> {
        let is_claim = |state: &State| matches!(state, State::Claimed(_));
        let claims = |batch: &Batch| batch.changes.get(&id).map(is_claim);
        match claims(&self.queue) {
            Some(true) => return Some(&mut self.queue),
            Some(false) => return None,
            None => {}
        }
        let batch = &mut self.in_flight.as_mut()?.batch;
        if claims(batch) == Some(true) { Some(batch) } else { None }
    }

    fn on_request(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        if let Some(verdict) = self.immediate_verdict(now, request) {
            actions.push(Action::Reply { key: request.key, verdict });
            return;
        }
        let waiter = Waiter { request, since: now };
        if let Some(batch) = self.pending_claim(request.id) {
            batch.waiters.push(waiter);
            return;
        }
        self.queue.changes.insert(request.id, State::Claimed(request.attempt));
        self.queue.waiters.push(waiter);
    }

    /// Returns the verdict if it needs no write, or `None` if the request has
    /// to wait for one.
    fn immediate_verdict(&mut self, now: Time, request: Request) -> Option<Verdict> {
        if self.deposed {
            return Some(self.unavailable(now));
        }
        if let Some(verdict) = self.index.age_verdict(&self.config, now, request.id) {
            return Some(verdict);
        }
        let retry_after = self.retry_after(now);
        if self.pending_claim(request.id).is_none() {
            let verdict = verdict_for(self.state(request.id), request.attempt, retry_after);
            if verdict.is_some() {
                return verdict;
            }
        }
        self.must_refuse(now).then(|| self.unavailable(now))
    }

    /// Whether another request would only wait until it is refused.
    fn must_refuse(&self, now: Time) -> bool {
        let outage = self.unavailable_until.is_some_and(|until| now < until);
        let slow = |flight: &InFlight| now >= flight.sent + self.config.request_timeout;
        outage
            || self.in_flight.as_ref().is_some_and(slow)
            || self.waiting() >= self.config.max_waiting
            || self.index.len() + self.queue.changes.len() >= self.config.max_ids
    }

    fn unavailable(&self, now: Time) -> Verdict {
        Verdict::Unavailable { retry_after: self.retry_after(now) }
    }

    fn retry_after(&self, now: Time) -> Duration {
        let remaining = self.unavailable_until.map_or(Duration::ZERO, |until| until - now);
        remaining.max(self.config.request_timeout)
    }

    fn on_settle(
        &mut self,
        now: Time,
        id: Id,
        attempt: Attempt,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        if self.deposed || self.index.age_verdict(&self.config, now, id).is_some() {
            return;
        }
        let Some(state) = settle(self.state(id), attempt, end) else { return };
        // It is safe to drop a settlement: the id stays claimed, and later
        // requests receive the verdict that the outcome is unknown.
        if self.queue.changes.len() >= 2 * self.config.max_waiting {
            return;
        }
        self.queue.changes.insert(id, state);
        self.settled_since.get_or_insert(now);
        let retry_after = self.retry_after(now);
        let of_attempt = |w: &Waiter| w.request.id == id && w.request.attempt == attempt;
        self.queue.refuse(retry_after, actions, of_attempt);
        if let Some(flight) = &mut self.in_flight {
            flight.batch.refuse(retry_after, actions, of_attempt);
        }
    }

    fn on_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (wait, retry_after) = (self.config.request_timeout, self.retry_after(now));
        let late = |w: &Waiter| now >= w.since + wait;
        self.queue.refuse(retry_after, actions, late);
        if self.queue.waiters.is_empty() {
            self.queue.drop_orphans(&self.index);
        }
        if let Some(flight) = &mut self.in_flight {
            flight.batch.refuse(retry_after, actions, late);
            if flight.next_read.is_some_and(|at| now >= at) {
                flight.next_read = None;
                actions.push(self.journal.read_back());
            }
        }
        self.delete_if_due(now, actions);
    }

    /// Returns when the next write is due, if there is anything to write.
    fn next_write(&self) -> Option<Time> {
        let at = if !self.queue.waiters.is_empty() {
            Time::ZERO
        } else if !self.queue.changes.is_empty() {
            self.settled_since.map_or(Time::ZERO, |since| since + self.config.settle_delay)
        } else {
            self.index.next_expiry(&self.config, self.journal.number())?
        };
        let after_gap =
            self.last_write.map_or(Time::ZERO, |last| last + self.config.write_interval);
        Some(at.max(after_gap).max(self.unavailable_until.unwrap_or(Time::ZERO)))
    }

    fn write_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due = self.next_write().is_some_and(|at| now >= at);
        if self.deposed || self.in_flight.is_some() || !due {
            return;
        }
        let batch = std::mem::take(&mut self.queue);
        self.settled_since = None;
        self.last_write = Some(now);
        self.journal.roll_if_full(self.config.segment_bytes);
        let horizon = self.index.horizon(&self.config, now, self.journal.number());
        let (value, put) = self.journal.next_put(&batch.changes, horizon);
        actions.push(put);
        self.in_flight = Some(InFlight { batch, value, sent: now, next_read: None });
    }

    /// Deletes one segment at a time, no faster than the other writes.
    fn delete_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(&segment) = self.deletable.first() else { return };
        let outage = self.unavailable_until.is_some_and(|until| now < until);
        if self.deposed || outage || now < self.next_delete {
            return;
        }
        self.next_delete = now + self.config.settle_delay.max(self.config.write_interval);
        actions.push(Action::Delete { segment });
    }
}
