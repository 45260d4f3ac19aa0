//! An owner's in-memory index of the journal.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

use super::config::Config;
use super::id::{Attempt, Id};
use super::message::{End, Outcome, Verdict};
use super::segment::{HEAD, Record, Segment, State};

/// The confirmed records of a shard. It never contains a record that is not in
/// the journal.
#[derive(Clone, Debug)]
pub(super) struct Index {
    states: BTreeMap<Id, State>,
    /// The latest issue time among the ids of each segment.
    latest_issued: BTreeMap<u64, Time>,
    /// Ids issued before this time are forgotten.
    pub(super) floor: Time,
    /// The first segment that is still needed.
    pub(super) first: u64,
}

/// The limit below which ids and segments are forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Horizon {
    pub(super) floor: Time,
    pub(super) first: u64,
}

impl Default for Index {
    fn default() -> Self {
        let first = HEAD + 1;
        Self { states: BTreeMap::new(), latest_issued: BTreeMap::new(), floor: Time::ZERO, first }
    }
}

impl Index {
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    pub(super) fn state(&self, id: Id) -> Option<State> {
        self.states.get(&id).copied()
    }

    /// Applies the segment `number` as read from the journal.
    pub(super) fn apply(&mut self, number: u64, segment: &Segment) {
        self.insert_records(number, segment);
        self.forget(Horizon { floor: segment.floor, first: segment.first });
    }

    /// Inserts the records of a segment, without forgetting what the segment
    /// declares forgotten.
    pub(super) fn insert_records(&mut self, number: u64, segment: &Segment) {
        for &record in &segment.records {
            self.insert_record(number, record);
        }
    }

    fn insert_record(&mut self, segment: u64, record: Record) {
        let latest = self.latest_issued.entry(segment).or_default();
        *latest = record.id.issued().max(*latest);
        if record.id.issued() >= self.floor {
            self.states.insert(record.id, record.state);
        }
    }

    /// Returns the verdict if the age of `id` alone decides it.
    pub(super) fn age_verdict(&self, config: &Config, now: Time, id: Id) -> Option<Verdict> {
        let issued = id.issued();
        if issued > now + config.max_clock_skew {
            return Some(Verdict::Invalid);
        }
        let limit = config.retention.saturating_sub(config.margin);
        let old = issued < self.floor || now - issued >= limit;
        old.then_some(Verdict::Expired)
    }

    /// Returns how much of the journal may be forgotten at `now`, while the
    /// segment `current` is being written.
    pub(super) fn horizon(&self, config: &Config, now: Time, current: u64) -> Horizon {
        let mut horizon = Horizon { floor: self.floor, first: self.first };
        while horizon.first < current {
            // A segment without records can be dropped at once.
            let latest = self.latest_issued.get(&horizon.first).copied();
            if latest.is_some_and(|latest| latest + config.retention > now) {
                break;
            }
            let above = latest.map_or(Time::ZERO, |latest| latest + Duration::from_millis(1));
            horizon.floor = horizon.floor.max(above);
            horizon.first += 1;
        }
        horizon
    }

    /// Returns when the next records may be forgotten.
    pub(super) fn next_expiry(&self, config: &Config, current: u64) -> Option<Time> {
        let (_, &latest) = self.latest_issued.range(..current).next()?;
        Some(latest + config.retention)
    }

    /// Forgets what a confirmed write declared forgotten.
    pub(super) fn forget(&mut self, horizon: Horizon) {
        self.floor = self.floor.max(horizon.floor);
        self.first = self.first.max(horizon.first);
        self.states = self.states.split_off(&Id::lower_bound(self.floor));
        self.latest_issued = self.latest_issued.split_off(&self.first);
    }
}

/// Returns the verdict for `attempt` on an id in `state`, or `None` if the
/// attempt may claim the id.
pub(super) fn verdict_for(
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
        // The process abandoned this attempt. A delayed copy of its request
        // must not claim the id, because the request would never be run.
        Some(State::Abandoned(holder)) if holder == attempt => {
            Some(Verdict::Unavailable { retry_after })
        }
        Some(State::Abandoned(_)) => None,
    }
}

/// Returns the state after a settlement, or `None` if it changes nothing.
pub(super) fn settle(state: Option<State>, attempt: Attempt, end: End) -> Option<State> {
    match (state, end) {
        (Some(State::Claimed(holder)), End::Done) if holder == attempt => {
            Some(State::Done(attempt))
        }
        (Some(State::Claimed(holder)), End::Abandoned) if holder == attempt => {
            Some(State::Abandoned(attempt))
        }
        // The attempt was reported as abandoned, but it did run: keep the safer
        // state.
        (Some(State::Abandoned(holder)), End::Done) if holder == attempt => {
            Some(State::Done(attempt))
        }
        // The request of the abandoned attempt has not arrived yet. Without
        // this record it would claim the id for a run that never happens.
        (None, End::Abandoned) => Some(State::Abandoned(attempt)),
        _ => None,
    }
}
