//! Changes that are to be written, and the requests that wait for them.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use corianderfork_model::Time;

use super::id::{Attempt, Id};
use super::index::{Index, verdict_for};
use super::message::{Action, Request, Verdict};
use super::segment::State;

/// A request whose reply depends on a write.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) request: Request,
    pub(super) since: Time,
}

/// The changes that one write adds to the journal.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub(super) changes: BTreeMap<Id, State>,
    pub(super) waiters: Vec<Waiter>,
}

impl Batch {
    /// Merges `earlier` into this batch, in front of it: changes of this batch
    /// override it.
    pub(super) fn prepend(&mut self, mut earlier: Batch) {
        earlier.changes.append(&mut self.changes);
        earlier.waiters.append(&mut self.waiters);
        *self = earlier;
    }

    /// Restarts the wait of all waiters at `now`.
    pub(super) fn restart_waits(&mut self, now: Time) {
        for waiter in &mut self.waiters {
            waiter.since = now;
        }
    }

    /// Removes and refuses the waiters for which `should_refuse` returns true.
    pub(super) fn refuse(
        &mut self,
        retry_after: Duration,
        actions: &mut Vec<Action>,
        should_refuse: impl Fn(&Waiter) -> bool,
    ) {
        let verdict = Verdict::Unavailable { retry_after };
        let refuse = |waiter: &mut Waiter| should_refuse(waiter);
        let refused = self.waiters.extract_if(.., refuse);
        actions.extend(refused.map(|w| Action::Reply { key: w.request.key, verdict }));
    }

    /// Drops claims without a waiter. Their requests were refused as not run,
    /// so writing these claims would only block the ids.
    ///
    /// If the journal contains an older claim of the id, the dropped claim
    /// replaced an abandonment that is not written yet. That abandonment is
    /// kept.
    pub(super) fn drop_orphans(&mut self, index: &Index) {
        let orphans: BTreeSet<Id> = self.orphans().map(|(id, _)| id).collect();
        self.changes.retain(|id, state| {
            let State::Claimed(attempt) = *state else { return true };
            if !orphans.contains(id) {
                return true;
            }
            *state = State::Abandoned(attempt);
            matches!(index.state(*id), Some(State::Claimed(_)))
        });
    }

    /// Replies to all waiters according to the confirmed records.
    pub(super) fn reply(&self, index: &Index, retry_after: Duration, actions: &mut Vec<Action>) {
        let unavailable = Verdict::Unavailable { retry_after };
        for Waiter { request, .. } in &self.waiters {
            let verdict = match verdict_for(index.state(request.id), request.attempt, retry_after) {
                // The holder's request was refused, and its claim is about to
                // be abandoned, so no attempt runs the request.
                Some(Verdict::Duplicate { holder, .. }) if self.is_orphan(request.id, holder) => {
                    unavailable
                }
                verdict => verdict.unwrap_or(unavailable),
            };
            actions.push(Action::Reply { key: request.key, verdict });
        }
    }

    /// Returns the claims of this batch that no request waits for.
    pub(super) fn orphans(&self) -> impl Iterator<Item = (Id, Attempt)> {
        let awaited: HashSet<(Id, Attempt)> =
            self.waiters.iter().map(|w| (w.request.id, w.request.attempt)).collect();
        let claimed = self.changes.iter().filter_map(|(&id, &state)| match state {
            State::Claimed(attempt) => Some((id, attempt)),
            State::Done(_) | State::Abandoned(_) => None,
        });
        claimed.filter(move |claim| !awaited.contains(claim))
    }

    fn is_orphan(&self, id: Id, holder: Attempt) -> bool {
        self.changes.get(&id) == Some(&State::Claimed(holder)) && !self.awaits(id, holder)
    }

    /// Whether a request waits for this batch to claim `id` for `attempt`.
    fn awaits(&self, id: Id, attempt: Attempt) -> bool {
        self.waiters.iter().any(|w| w.request.id == id && w.request.attempt == attempt)
    }
}
