//! Shares of a pool's room by the weights of organisations.
//!
//! The organisations that use room of a pool or wait for it are owed parts of it in proportion to
//! their weights. An organisation that waits and uses less than half of what it is owed lags: its
//! steps get room before all others of the same priority. Otherwise deadlines decide. So a flood of
//! one organisation can't take the room of the others, and none is idle for a share that nobody
//! wants.

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

/// The steps that get room before others of the same priority, in one plan.
#[derive(Debug, Default)]
pub(super) struct Laggards {
    shares: Option<Shares>,
    organisations: Vec<Key>,
    /// The last step that was tried.
    last: Option<Position>,
}

impl Pool {
    /// Returns the laggards of this plan. There are none unless several organisations want room.
    pub(super) fn laggards(&self, now: Time) -> Laggards {
        let waiting = self.ranking.organisations();
        let using = self.usage.keys().filter(|key| !self.ranking.has_organisation(*key));
        let (mut count, mut weights) = (0, 0);
        for key in waiting.chain(using) {
            count += 1;
            weights += self.accounts.weight(key);
        }
        if count < 2 {
            return Laggards::default();
        }
        let mut room = Room::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            room.add(&worker.room);
        }
        let shares = Shares { room, weights };
        let organisations =
            self.ranking.organisations().filter(|key| self.is_lagging(&shares, *key)).collect();
        Laggards { shares: Some(shares), organisations, last: None }
    }

    fn is_lagging(&self, shares: &Shares, key: Key) -> bool {
        !shares.has_half(self.accounts.weight(key), &self.usage.get(key))
    }

    /// Returns whether the step of an organisation that is being placed as a laggard's has got
    /// enough.
    pub(super) fn has_caught_up(&self, key: Key) -> bool {
        self.shares.is_some_and(|shares| !self.is_lagging(&shares, key))
    }

    /// Returns the next step of a laggard with a priority that may fit if `room` is the largest
    /// that any worker has left.
    pub(super) fn next_lagging_step(
        &mut self,
        laggards: &mut Laggards,
        priority: u32,
        room: &Room,
    ) -> Option<Candidate> {
        let shares = laggards.shares?;
        let last = laggards.last;
        let next_of = |key: &Key| {
            let steps = self.ranking.steps_of(*key, last);
            let mut steps = steps.take_while(|(position, _)| position.priority() <= priority);
            steps.find(|(position, candidate)| {
                position.priority() == priority && self.may_fit(room, candidate)
            })
        };
        let is_lagging = |key: &&Key| self.is_lagging(&shares, **key);
        let lagging = laggards.organisations.iter().filter(is_lagging);
        let next = lagging.filter_map(next_of).min_by_key(|(position, _)| *position);
        let next = next.map(|(position, candidate)| (*position, *candidate));
        self.shares = next.is_some().then_some(shares);
        let (position, candidate) = next?;
        laggards.last = Some(position);
        Some(candidate)
    }
}
