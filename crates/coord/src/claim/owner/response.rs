//! What an owner does with the answers of the platform's service.

use corianderfork_model::Time;

use super::Owner;
use crate::claim::batch::Batch;
use crate::claim::id::{Attempt, Id};
use crate::claim::journal::Landing;
use crate::claim::message::{Action, Answer};
use crate::claim::segment::{Segment, State};

impl Owner {
    pub(super) fn on_answer(&mut self, now: Time, answer: Answer, out: &mut Vec<Action>) {
        match answer {
            Answer::Deleted { segment } => {
                self.doomed.remove(&segment);
            }
            Answer::DeleteFailed { .. } | Answer::Listed(_) | Answer::ListFailed => {}
            Answer::PutUnavailable { .. } => self.on_refused(now, out),
            Answer::ReadFailed { .. } => self.on_read_failed(now, out),
            answer => self.on_landing(now, answer, out),
        }
    }

    fn on_landing(&mut self, now: Time, answer: Answer, out: &mut Vec<Action>) {
        let Some(flight) = &self.flight else { return };
        match self.journal.on_answer(answer, &flight.value) {
            Landing::Read(read) => out.push(read),
            Landing::Landed => self.confirm(now, out),
            Landing::Sealed => {
                self.confirm(now, out);
                self.depose(now, out);
            }
            Landing::NotLanded => self.retry(now),
            Landing::Adopted(segment) => {
                self.adopt(now, &segment);
                self.retry(now);
            }
            Landing::Foreign => self.depose(now, out),
        }
    }

    /// The flight is in the journal: only now may its claims be granted.
    fn confirm(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(flight) = self.flight.take() else { return };
        self.down_until = None;
        self.backoff.reset();
        self.doomed.extend(self.book.first..flight.value.first);
        self.book.take(self.journal.number(), &flight.value);
        flight.batch.reply(&self.book, self.retry_after(now), out);
        for (id, attempt) in flight.batch.orphans() {
            self.abandon(now, id, attempt);
        }
    }

    /// Gives up a claim that stands in the journal although its asks were told
    /// that nothing was run; else the id would be blocked for its retention.
    fn abandon(&mut self, now: Time, id: Id, attempt: Attempt) {
        self.queue.changes.entry(id).or_insert(State::Abandoned(attempt));
        self.settled.get_or_insert(now);
    }

    /// Takes in an earlier write of this owner that it took for lost and that
    /// came into effect late.
    fn adopt(&mut self, now: Time, segment: &Segment) {
        let known = |id| self.book.state(id);
        let late: Vec<(Id, Attempt)> = segment
            .records
            .iter()
            .filter(|record| known(record.id) != Some(record.state))
            .filter_map(|record| match record.state {
                State::Claimed(attempt) => Some((record.id, attempt)),
                State::Done(_) | State::Abandoned(_) => None,
            })
            .collect();
        // What it declares forgotten isn't taken in: nothing may be deleted
        // before a write that is known to belong to the journal says so.
        self.book.learn(self.journal.number(), segment);
        for (id, attempt) in late {
            let flying = self.flight.as_ref().is_some_and(|f| f.batch.changes.contains_key(&id));
            if !flying {
                self.abandon(now, id, attempt);
            }
        }
    }

    /// The flight isn't in the journal: it goes back to the queue.
    fn retry(&mut self, now: Time) {
        let Some(flight) = self.flight.take() else { return };
        self.queue.prepend(flight.batch);
        self.queue.drop_orphans(&self.book);
        if !self.queue.changes.is_empty() {
            self.settled.get_or_insert(now);
        }
    }

    fn on_refused(&mut self, now: Time, out: &mut Vec<Action>) {
        self.go_down(now, out);
        self.retry(now);
    }

    /// The flight stays: it may be in the journal, and is read back later.
    fn on_read_failed(&mut self, now: Time, out: &mut Vec<Action>) {
        let until = self.go_down(now, out);
        if let Some(flight) = &mut self.flight {
            flight.resume = Some(until);
        }
    }

    /// Refuses all that wait, and what comes until the next try.
    fn go_down(&mut self, now: Time, out: &mut Vec<Action>) -> Time {
        let until = now + self.backoff.next_wait();
        self.down_until = Some(until);
        self.refuse_all(now, out);
        until
    }

    fn refuse_all(&mut self, now: Time, out: &mut Vec<Action>) {
        let retry_after = self.retry_after(now);
        if let Some(flight) = &mut self.flight {
            flight.batch.refuse(retry_after, out, |_| true);
        }
        self.queue.refuse(retry_after, out, |_| true);
        self.queue.drop_orphans(&self.book);
    }

    fn depose(&mut self, now: Time, out: &mut Vec<Action>) {
        self.refuse_all(now, out);
        self.flight = None;
        self.queue = Batch::default();
        self.deposed = true;
        out.push(Action::Deposed);
    }
}
