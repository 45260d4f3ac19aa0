//! Handles the answers of the platform's service to an owner.

use corianderfork_model::Time;

use super::Owner;
use crate::claim::batch::Batch;
use crate::claim::id::{Attempt, Id};
use crate::claim::journal::WriteOutcome;
use crate::claim::message::{Action, Answer};
use crate::claim::segment::{Segment, State};

impl Owner {
    pub(super) fn on_answer(&mut self, now: Time, answer: Answer, actions: &mut Vec<Action>) {
        match answer {
            Answer::Deleted { segment } => {
                self.deletable.remove(&segment);
            }
            Answer::DeleteFailed { .. } | Answer::Listed(_) | Answer::ListFailed => {}
            Answer::PutUnavailable { .. } => self.on_put_unavailable(now, actions),
            Answer::ReadFailed { .. } => self.on_read_failed(now, actions),
            answer => self.on_write_answer(now, answer, actions),
        }
    }

    fn on_write_answer(&mut self, now: Time, answer: Answer, actions: &mut Vec<Action>) {
        let Some(flight) = &self.in_flight else { return };
        match self.journal.on_answer(answer, &flight.value) {
            WriteOutcome::Unknown(read) => actions.push(read),
            WriteOutcome::Written => self.confirm(now, actions),
            WriteOutcome::Sealed => {
                self.confirm(now, actions);
                self.depose(now, actions);
            }
            WriteOutcome::NotWritten => self.retry(now),
            WriteOutcome::EarlierWritten(segment) => {
                self.adopt(now, &segment);
                self.retry(now);
            }
            WriteOutcome::LostOwnership => self.depose(now, actions),
        }
    }

    /// The write is in the journal: only now may its claims be granted.
    fn confirm(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(flight) = self.in_flight.take() else { return };
        self.unavailable_until = None;
        self.backoff.reset();
        self.deletable.extend(self.index.first..flight.value.first);
        self.index.apply(self.journal.number(), &flight.value);
        flight.batch.reply(&self.index, self.retry_after(now), actions);
        for (id, attempt) in flight.batch.orphans() {
            self.abandon(now, id, attempt);
        }
    }

    /// Abandons a claim that is in the journal although its requests were
    /// refused. Otherwise the id would be blocked for the retention time.
    fn abandon(&mut self, now: Time, id: Id, attempt: Attempt) {
        self.queue.changes.entry(id).or_insert(State::Abandoned(attempt));
        self.settled_since.get_or_insert(now);
    }

    /// Applies an earlier write of this owner that was presumed lost and took
    /// effect late.
    fn adopt(&mut self, now: Time, segment: &Segment) {
        let known = |id| self.index.state(id);
        let late: Vec<(Id, Attempt)> = segment
            .records
            .iter()
            .filter(|record| known(record.id) != Some(record.state))
            .filter_map(|record| match record.state {
                State::Claimed(attempt) => Some((record.id, attempt)),
                State::Done(_) | State::Abandoned(_) => None,
            })
            .collect();
        // What the segment declares forgotten is not applied: nothing may be
        // deleted before a write that certainly belongs to the journal allows
        // it.
        self.index.insert_records(self.journal.number(), segment);
        for (id, attempt) in late {
            let is_unconfirmed =
                self.in_flight.as_ref().is_some_and(|f| f.batch.changes.contains_key(&id));
            if !is_unconfirmed {
                self.abandon(now, id, attempt);
            }
        }
    }

    /// The write is not in the journal: its batch returns to the queue.
    fn retry(&mut self, now: Time) {
        let Some(flight) = self.in_flight.take() else { return };
        self.queue.prepend(flight.batch);
        self.queue.drop_orphans(&self.index);
        if !self.queue.changes.is_empty() {
            self.settled_since.get_or_insert(now);
        }
    }

    fn on_put_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.mark_unavailable(now, actions);
        self.retry(now);
    }

    /// The write stays in flight: it may be in the journal, and is read back
    /// later.
    fn on_read_failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let until = self.mark_unavailable(now, actions);
        if let Some(flight) = &mut self.in_flight {
            flight.next_read = Some(until);
        }
    }

    /// Refuses all waiting requests, and new ones until the next attempt.
    /// Returns the time of that attempt.
    fn mark_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) -> Time {
        let until = now + self.backoff.next_wait();
        self.unavailable_until = Some(until);
        self.refuse_all(now, actions);
        until
    }

    fn refuse_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retry_after = self.retry_after(now);
        if let Some(flight) = &mut self.in_flight {
            flight.batch.refuse(retry_after, actions, |_| true);
        }
        self.queue.refuse(retry_after, actions, |_| true);
        self.queue.drop_orphans(&self.index);
    }

    fn depose(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.refuse_all(now, actions);
        self.in_flight = None;
        self.queue = Batch::default();
        self.deposed = true;
        actions.push(Action::Deposed);
    }
}
