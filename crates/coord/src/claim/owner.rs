//! The one process that grants claims of a shard.

mod response;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::batch::{Batch, Waiter};
use super::config::Config;
use super::id::{Attempt, Id};
use super::index::{Book, judge, settled};
use super::journal::Journal;
use super::message::{Action, End, Event, Request, Verdict};
use super::segment::{Segment, State, Writer};
use crate::backoff::{self, Backoff};

/// The first wait after the platform's service failed.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The longest wait while it is down.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Grants claims of one shard; made by a [`super::Takeover`].
///
/// It has at most one write in flight. What is asked meanwhile is gathered
/// and written as one batch, a minimum gap after the last write.
#[derive(Debug)]
pub struct Owner {
    config: Config,
    journal: Journal,
    book: Book,
    queue: Batch,
    flight: Option<Flight>,
    /// Since when a change waits that no ask waits for.
    settled: Option<Time>,
    last_put: Option<Time>,
    backoff: Backoff,
    /// Claims are refused until then: the service failed.
    down_until: Option<Time>,
    /// Segments to delete, and when to go on with it.
    doomed: BTreeSet<u64>,
    delete_at: Time,
    deposed: bool,
    /// The time of the last event.
    seen: Time,
}

/// A batch of which it isn't known yet whether it is in the journal.
#[derive(Debug)]
struct Flight {
    batch: Batch,
    value: Segment,
    since: Time,
    /// A read failed and is to be sent again then.
    resume: Option<Time>,
}

impl Owner {
    pub(super) fn new(config: Config, journal: Journal, book: Book, doomed: BTreeSet<u64>) -> Self {
        let waits = backoff::Config::new().first(FIRST_WAIT).max(MAX_WAIT);
        let backoff = Backoff::new(waits, journal.writer().incarnation ^ journal.epoch());
        Self {
            config,
            journal,
            book,
            queue: Batch::default(),
            flight: None,
            settled: None,
            last_put: None,
            backoff,
            down_until: None,
            doomed,
            delete_at: Time::ZERO,
            deposed: false,
            seen: Time::ZERO,
        }
    }

    /// Whether another process owns the shard.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// The process this owner writes as.
    pub fn writer(&self) -> &Writer {
        self.journal.writer()
    }

    /// How many ids are remembered.
    pub fn len(&self) -> usize {
        self.book.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many asks wait for a write.
    pub fn waiting(&self) -> usize {
        let flying = self.flight.as_ref().map_or(0, |flight| flight.batch.waiters.len());
        self.queue.waiters.len() + flying
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        if self.deposed {
            return None;
        }
        let resume = self.flight.as_ref().and_then(|flight| flight.resume);
        let put = if self.flight.is_none() { self.put_due() } else { None };
        let deletes = (!self.doomed.is_empty()).then_some(self.delete_at);
        let queued = &self.queue.waiters;
        let flying = self.flight.iter().flat_map(|flight| &flight.batch.waiters);
        let refuse = queued.iter().chain(flying).map(|w| w.since + self.config.ask_wait).min();
        resume.into_iter().chain(put).chain(deletes).chain(refuse).min()
    }

    /// Takes in what happened at `now` (Unix time) and gives what to do.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.rewind(now);
        match event {
            Event::Request(ask) => self.on_ask(now, ask, &mut out),
            Event::Settle { id, attempt, end } => self.on_settle(now, id, attempt, end, &mut out),
            Event::Store(answer) => self.on_answer(now, answer, &mut out),
            Event::Tick => self.on_tick(now, &mut out),
        }
        self.pump(now, &mut out);
        out
    }

    /// Starts all waits anew if the clock was set back: else the owner would
    /// refuse, or sit on its queue, until the clock has caught up.
    fn rewind(&mut self, now: Time) {
        let back = now < std::mem::replace(&mut self.seen, now);
        if !back {
            return;
        }
        self.last_put = None;
        self.down_until = None;
        self.delete_at = now;
        self.settled = self.settled.map(|_| now);
        self.queue.restart(now);
        if let Some(flight) = &mut self.flight {
            flight.since = now;
            flight.resume = flight.resume.map(|_| now);
            flight.batch.restart(now);
        }
    }

    /// The state of `id` with all changes that aren't confirmed yet.
    fn state(&self, id: Id) -> Option<State> {
        let queued = self.queue.changes.get(&id).copied();
        let flying = || self.flight.as_ref()?.batch.changes.get(&id).copied();
        queued.or_else(flying).or_else(|| self.book.state(id))
    }

    /// The batch that will claim `id`, if one is to.
    fn claiming(&mut self, id: Id) -> Option<&mut Batch> {
        let is_claim = |state: &State| matches!(state, State::Claimed(_));
        let claims = |batch: &Batch| batch.changes.get(&id).map(is_claim);
        match claims(&self.queue) {
            Some(true) => return Some(&mut self.queue),
            Some(false) => return None,
            None => {}
        }
        let batch = &mut self.flight.as_mut()?.batch;
        if claims(batch) == Some(true) { Some(batch) } else { None }
    }

    fn on_ask(&mut self, now: Time, ask: Request, out: &mut Vec<Action>) {
        if let Some(verdict) = self.answer_now(now, ask) {
            out.push(Action::Reply { key: ask.key, verdict });
            return;
        }
        let waiter = Waiter { ask, since: now };
        if let Some(batch) = self.claiming(ask.id) {
            batch.waiters.push(waiter);
            return;
        }
        self.queue.changes.insert(ask.id, State::Claimed(ask.attempt));
        self.queue.waiters.push(waiter);
    }

    /// The reply that needs no write; `None` if the ask has to wait for one.
    fn answer_now(&mut self, now: Time, ask: Request) -> Option<Verdict> {
        if self.deposed {
            return Some(self.unavailable(now));
        }
        if let Some(verdict) = self.book.age_verdict(&self.config, now, ask.id) {
            return Some(verdict);
        }
        let retry_after = self.retry_after(now);
        if self.claiming(ask.id).is_none() {
            let verdict = judge(self.state(ask.id), ask.attempt, retry_after);
            if verdict.is_some() {
                return verdict;
            }
        }
        self.is_full(now).then(|| self.unavailable(now))
    }

    /// Whether a further ask would only wait to be refused.
    fn is_full(&self, now: Time) -> bool {
        let down = self.down_until.is_some_and(|until| now < until);
        let slow = |flight: &Flight| now >= flight.since + self.config.ask_wait;
        down || self.flight.as_ref().is_some_and(slow)
            || self.waiting() >= self.config.queue
            || self.book.len() + self.queue.changes.len() >= self.config.live
    }

    fn unavailable(&self, now: Time) -> Verdict {
        Verdict::Unavailable { retry_after: self.retry_after(now) }
    }

    fn retry_after(&self, now: Time) -> Duration {
        let down = self.down_until.map_or(Duration::ZERO, |until| until - now);
        down.max(self.config.ask_wait)
    }

    fn on_settle(&mut self, now: Time, id: Id, attempt: Attempt, end: End, out: &mut Vec<Action>) {
        if self.deposed || self.book.age_verdict(&self.config, now, id).is_some() {
            return;
        }
        let Some(state) = settled(self.state(id), attempt, end) else { return };
        // A settlement that is lost leaves the id claimed: later asks are told
        // that the outcome is unknown, which is safe. So it may be dropped.
        if self.queue.changes.len() >= 2 * self.config.queue {
            return;
        }
        self.queue.changes.insert(id, state);
        self.settled.get_or_insert(now);
        let retry_after = self.retry_after(now);
        let of_attempt = |w: &Waiter| w.ask.id == id && w.ask.attempt == attempt;
        self.queue.refuse(retry_after, out, of_attempt);
        if let Some(flight) = &mut self.flight {
            flight.batch.refuse(retry_after, out, of_attempt);
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let (wait, retry_after) = (self.config.ask_wait, self.retry_after(now));
        let late = |w: &Waiter| now >= w.since + wait;
        self.queue.refuse(retry_after, out, late);
        if self.queue.waiters.is_empty() {
            self.queue.drop_orphans(&self.book);
        }
        if let Some(flight) = &mut self.flight {
            flight.batch.refuse(retry_after, out, late);
            if flight.resume.is_some_and(|at| now >= at) {
                flight.resume = None;
                out.push(self.journal.read());
            }
        }
        self.delete(now, out);
    }

    /// When the next write is due, if there is something to write.
    fn put_due(&self) -> Option<Time> {
        let at = if !self.queue.waiters.is_empty() {
            Time::ZERO
        } else if !self.queue.changes.is_empty() {
            self.settled.map_or(Time::ZERO, |since| since + self.config.settle_delay)
        } else {
            self.book.expiry(&self.config, self.journal.number())?
        };
        let after_gap = self.last_put.map_or(Time::ZERO, |last| last + self.config.gap);
        Some(at.max(after_gap).max(self.down_until.unwrap_or(Time::ZERO)))
    }

    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = self.put_due().is_some_and(|at| now >= at);
        if self.deposed || self.flight.is_some() || !due {
            return;
        }
        let batch = std::mem::take(&mut self.queue);
        self.settled = None;
        self.last_put = Some(now);
        self.journal.roll_at(self.config.segment_bytes);
        let horizon = self.book.horizon(&self.config, now, self.journal.number());
        let (value, put) = self.journal.put(&batch.changes, horizon);
        out.push(put);
        self.flight = Some(Flight { batch, value, since: now, resume: None });
    }

    /// Deletes one segment at a time, and no faster than the other writes.
    fn delete(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(&segment) = self.doomed.first() else { return };
        let down = self.down_until.is_some_and(|until| now < until);
        if self.deposed || down || now < self.delete_at {
            return;
        }
        self.delete_at = now + self.config.settle_delay.max(self.config.gap);
        out.push(Action::Delete { segment });
    }
}
