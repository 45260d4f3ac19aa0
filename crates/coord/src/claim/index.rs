//! What an owner knows of ids from the journal.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

use super::config::Config;
use super::id::{Attempt, Id};
use super::message::{End, Outcome, Verdict};
use super::segment::{HEAD, Record, Segment, State};

/// The confirmed records of a shard. Never holds what isn't in the journal.
#[derive(Clone, Debug)]
pub(super) struct Book {
    states: BTreeMap<Id, State>,
    /// The latest issue among the ids of each segment.
    latest: BTreeMap<u64, Time>,
    /// Ids issued before this are forgotten.
    pub(super) floor: Time,
    /// The first segment that is still needed.
    pub(super) first: u64,
}

/// Up to where ids are, or may now be, forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Horizon {
    pub(super) floor: Time,
    pub(super) first: u64,
}

impl Default for Book {
    fn default() -> Self {
        let first = HEAD + 1;
        Self { states: BTreeMap::new(), latest: BTreeMap::new(), floor: Time::ZERO, first }
    }
}

impl Book {
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    pub(super) fn state(&self, id: Id) -> Option<State> {
        self.states.get(&id).copied()
    }

    /// Takes in the segment `number` as it stands in the journal.
    pub(super) fn take(&mut self, number: u64, segment: &Segment) {
        self.learn(number, segment);
        self.forget(Horizon { floor: segment.floor, first: segment.first });
    }

    /// Takes in the records of a segment but not what it declares forgotten.
    pub(super) fn learn(&mut self, number: u64, segment: &Segment) {
        for &record in &segment.records {
            self.record(number, record);
        }
    }

    fn record(&mut self, segment: u64, record: Record) {
        let latest = self.latest.entry(segment).or_default();
        *latest = record.id.issued().max(*latest);
        if record.id.issued() >= self.floor {
            self.states.insert(record.id, record.state);
        }
    }

    /// The verdict that the age of `id` alone decides.
    pub(super) fn age_verdict(&self, config: &Config, now: Time, id: Id) -> Option<Verdict> {
        let issued = id.issued();
        if issued > now + config.future {
            return Some(Verdict::Invalid);
        }
        let limit = config.retention.saturating_sub(config.margin);
        let old = issued < self.floor || now - issued >= limit;
        old.then_some(Verdict::Expired)
    }

    /// How far the journal may be forgotten at `now`, `current` being written.
    pub(super) fn horizon(&self, config: &Config, now: Time, current: u64) -> Horizon {
        let mut horizon = Horizon { floor: self.floor, first: self.first };
        while horizon.first < current {
            // A segment without records has nothing to remember.
            let latest = self.latest.get(&horizon.first).copied();
            if latest.is_some_and(|latest| latest + config.retention > now) {
                break;
            }
            let above = latest.map_or(Time::ZERO, |latest| latest + Duration::from_millis(1));
            horizon.floor = horizon.floor.max(above);
            horizon.first += 1;
        }
        horizon
    }

    /// When the next records may be forgotten.
    pub(super) fn expiry(&self, config: &Config, current: u64) -> Option<Time> {
        let (_, &latest) = self.latest.range(..current).next()?;
        Some(latest + config.retention)
    }

    /// Forgets what a confirmed write declared forgotten.
    pub(super) fn forget(&mut self, horizon: Horizon) {
        self.floor = self.floor.max(horizon.floor);
        self.first = self.first.max(horizon.first);
        self.states = self.states.split_off(&Id::floor(self.floor));
        self.latest = self.latest.split_off(&self.first);
    }
}

/// The verdict for `attempt` when the id stands at `state`; `None` if the
/// attempt may claim it.
pub(super) fn judge(
    state: Option<State>,
    attempt: Attempt,
    retry_after: Duration,
) -> Option<Verdict> {
    match state {
        None => None,
        Some(State::Claimed(holder)) if holder == attempt => Some(Verdict::Granted),
        Some(State::Claimed(holder)) => {
            Some(Verdict::Duplicate { outcome: Outcome::Unknown, holder })
        }
        Some(State::Done(holder)) => Some(Verdict::Duplicate { outcome: Outcome::Done, holder }),
        // The process gave this attempt up; a late copy of its question must
        // not claim the id for a run that will never be.
        Some(State::Abandoned(holder)) if holder == attempt => {
            Some(Verdict::Unavailable { retry_after })
        }
        Some(State::Abandoned(_)) => None,
    }
}

/// The state that a settlement leads to; `None` if it changes nothing.
pub(super) fn settled(state: Option<State>, attempt: Attempt, end: End) -> Option<State> {
    match (state, end) {
        (Some(State::Claimed(holder)), End::Done) if holder == attempt => {
            Some(State::Done(attempt))
        }
        (Some(State::Claimed(holder)), End::Abandoned) if holder == attempt => {
            Some(State::Abandoned(attempt))
        }
        // Against what it said before, it did run: remember the graver.
        (Some(State::Abandoned(holder)), End::Done) if holder == attempt => {
            Some(State::Done(attempt))
        }
        // The ask that this attempt gave up on is still on its way. Without
        // the record it would claim the id for a run that will never be.
        (None, End::Abandoned) => Some(State::Abandoned(attempt)),
        _ => None,
    }
}
