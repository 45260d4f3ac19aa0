//! Changes that wait to be written, and the asks that wait for them.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use corianderfork_model::Time;

use super::id::{Attempt, Id};
use super::index::{Book, judge};
use super::message::{Action, Request, Verdict};
use super::segment::State;

/// An ask whose reply depends on a write.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ask: Request,
    pub(super) since: Time,
}

/// What one write adds to the journal.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub(super) changes: BTreeMap<Id, State>,
    pub(super) waiters: Vec<Waiter>,
}

impl Batch {
    /// Puts what was to be written before this batch in front of it.
    pub(super) fn prepend(&mut self, mut earlier: Batch) {
        earlier.changes.append(&mut self.changes);
        earlier.waiters.append(&mut self.waiters);
        *self = earlier;
    }

    /// Lets the waiters wait as if they had come at `now`.
    pub(super) fn restart(&mut self, now: Time) {
        for waiter in &mut self.waiters {
            waiter.since = now;
        }
    }

    /// Refuses the waiters for which `refused` holds.
    pub(super) fn refuse(
        &mut self,
        retry_after: Duration,
        out: &mut Vec<Action>,
        refused: impl Fn(&Waiter) -> bool,
    ) {
        let verdict = Verdict::Unavailable { retry_after };
        let refuse = |waiter: &mut Waiter| refused(waiter);
        let gone = self.waiters.extract_if(.., refuse);
        out.extend(gone.map(|w| Action::Reply { key: w.ask.key, verdict }));
    }

    /// Takes out claims that nobody waits for any more: their asks were told
    /// that nothing was run, so writing them would only block the id.
    ///
    /// Where the journal holds an older claim, what this claim was built on is
    /// an abandonment that isn't written yet; it is kept in the claim's stead.
    pub(super) fn drop_orphans(&mut self, book: &Book) {
        let orphans: BTreeSet<Id> = self.orphans().map(|(id, _)| id).collect();
        self.changes.retain(|id, state| {
            let State::Claimed(attempt) = *state else { return true };
            if !orphans.contains(id) {
                return true;
            }
            *state = State::Abandoned(attempt);
            matches!(book.state(*id), Some(State::Claimed(_)))
        });
    }

    /// Replies to all waiters by what the journal holds now.
    pub(super) fn reply(&self, book: &Book, retry_after: Duration, out: &mut Vec<Action>) {
        let unavailable = Verdict::Unavailable { retry_after };
        for Waiter { ask, .. } in &self.waiters {
            let verdict = match judge(book.state(ask.id), ask.attempt, retry_after) {
                // The holder was told that nothing was run, and its claim is
                // about to be given up: nobody runs the request.
                Some(Verdict::Duplicate { holder, .. }) if self.is_orphan(ask.id, holder) => {
                    unavailable
                }
                verdict => verdict.unwrap_or(unavailable),
            };
            out.push(Action::Reply { key: ask.key, verdict });
        }
    }

    /// The claims of this batch that no ask waits for any more.
    pub(super) fn orphans(&self) -> impl Iterator<Item = (Id, Attempt)> {
        let awaited: HashSet<(Id, Attempt)> =
            self.waiters.iter().map(|w| (w.ask.id, w.ask.attempt)).collect();
        let claimed = self.changes.iter().filter_map(|(&id, &state)| match state {
            State::Claimed(attempt) => Some((id, attempt)),
            State::Done(_) | State::Abandoned(_) => None,
        });
        claimed.filter(move |claim| !awaited.contains(claim))
    }

    fn is_orphan(&self, id: Id, holder: Attempt) -> bool {
        self.changes.get(&id) == Some(&State::Claimed(holder)) && !self.awaits(id, holder)
    }

    /// Whether an ask waits for this batch to claim `id` for `attempt`.
    fn awaits(&self, id: Id, attempt: Attempt) -> bool {
        self.waiters.iter().any(|w| w.ask.id == id && w.ask.attempt == attempt)
    }
}
