//! Shares of a pool's room by the weights of organisations.
//!
//! The organisations that use room of a pool or wait for it are owed parts of it in proportion to
//! their weights. An organisation that waits and uses less than half of what it is owed lags: its
//! steps get room before all others of the same priority, unless their jobs earn nothing any more.
//! Otherwise deadlines decide. So a flood of one organisation can't take the room of the others,
//! and none is idle for a share that nobody wants.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use corianderfork_model::Time;

use super::Pool;
use super::ranking::{Candidate, Position};
use crate::job::Room;
use crate::organisation::Key;

/// What organisations are owed in one plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shares {
    /// The room of the workers that take tasks.
    room: Room,
    /// The sum of the weights of the organisations that use room or wait for it.
    weights: u64,
}

impl Shares {
    /// Returns whether `used` is at least half of what an organisation of this weight is owed of
    /// some resource.
    fn has_half(&self, weight: u64, used: &Room) -> bool {
        let has_half = |used: u64, room: u64| {
            let twice = 2 * u128::from(used) * u128::from(self.weights);
            room > 0 && twice >= u128::from(room) * u128::from(weight)
        };
        has_half(used.cpu, self.room.cpu)
            || has_half(used.memory_mb, self.room.memory_mb)
            || has_half(used.gpu, self.room.gpu)
    }
}

/// The organisations whose steps get room before others of the same priority, in one plan.
///
/// The most urgent step of each is tried first, and the next one once it was placed. So the cost is
/// that of one step for each organisation, beside those that are placed.
#[derive(Debug, Default)]
pub(super) struct Laggards {
    shares: Option<Shares>,
    /// The next step of each organisation, the most urgent one on top.
    next: BinaryHeap<Reverse<(Position, Key)>>,
    /// The step that was tried last.
    last: Option<(Position, Key)>,
}

impl Pool {
    /// Returns the laggards of this plan. There are none unless several organisations want room.
    pub(super) fn laggards(&self, now: Time) -> Laggards {
        let (mut count, mut weights) = (0, 0);
        for key in self.accounts.keys() {
            if self.ranking.has_organisation(key) || self.usage.get(key) != Room::default() {
                count += 1;
                weights += self.accounts.weight(key);
            }
        }
        if count < 2 {
            return Laggards::default();
        }
        let mut room = Room::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            room.add(&worker.room);
        }
        let shares = Shares { room, weights };
        let waiting = self.accounts.keys().filter(|key| self.ranking.has_organisation(*key));
        let lagging = waiting.filter(|key| self.is_lagging(&shares, *key));
        let first = |key| Some(Reverse((self.ranking.next_of(key, None)?, key)));
        Laggards { shares: Some(shares), next: lagging.filter_map(first).collect(), last: None }
    }

    fn is_lagging(&self, shares: &Shares, key: Key) -> bool {
        !shares.has_half(self.accounts.weight(key), &self.usage.get(key))
    }

    /// Returns whether an organisation has got enough, while steps of laggards are placed.
    pub(super) fn has_caught_up(&self, key: Key) -> bool {
        self.shares.is_some_and(|shares| !self.is_lagging(&shares, key))
    }

    /// Returns the next step of a laggard with a priority that may fit if `room` is the largest
    /// that any worker has left. `was_placed` says whether tasks of the last one were started.
    pub(super) fn next_lagging_step(
        &mut self,
        laggards: &mut Laggards,
        priority: u32,
        room: &Room,
        was_placed: bool,
    ) -> Option<Candidate> {
        self.shares = None;
        let shares = laggards.shares?;
        if let Some((position, key)) = laggards.last.take()
            && was_placed
            && let Some(next) = self.ranking.next_of(key, Some(position))
        {
            laggards.next.push(Reverse((next, key)));
        }
        loop {
            let Reverse((position, key)) = *laggards.next.peek()?;
            if position.priority() > priority {
                return None;
            }
            laggards.next.pop();
            let is_eligible = position.priority() == priority && self.is_lagging(&shares, key);
            let candidate = self.ranking.get(&position).copied().filter(|candidate| {
                is_eligible && !candidate.is_expired && self.may_fit(room, candidate)
            });
            if candidate.is_some() {
                laggards.last = Some((position, key));
                self.shares = Some(shares);
                return candidate;
            }
        }
    }
}
