//! Runs that may be stopped for a waiting task, and the choice among those of one worker.

use std::collections::BTreeMap;

use crate::job::Room;
use crate::pool::victim::{Outlook, StopTimes, Victim};
use crate::worker;

/// What decides which runs yield to a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgency {
    pub priority: u32,
    /// Whether its job is within what its organisation is owed, as all are without metering.
    pub is_owed: bool,
}

impl Urgency {
    /// Returns the urgency to which each run yields that yields to one of two.
    pub fn or(self, other: Self) -> Self {
        Self { priority: self.priority.min(other.priority), is_owed: self.is_owed || other.is_owed }
    }
}

/// Runs on one worker that are stopped for a task.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub worker: worker::Key,
    pub victims: Vec<Victim>,
    pub cost: u64,
    /// The work that the stops lose, in milliseconds of a core.
    pub lost: u64,
}

/// A run that may be stopped, and what decides to which tasks it yields.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub victim: Victim,
    pub priority: u32,
    /// Whether its job is within what its organisation is owed, as all are without metering.
    pub is_owed: bool,
}

/// The runs of each worker that may be stopped, the cheapest for its room first.
pub(super) type Candidates = BTreeMap<worker::Key, Vec<Candidate>>;

impl Candidate {
    /// Returns whether the run yields to an urgent task: it has a lower priority, or the same one
    /// and its job can't be in time any more, or isn't owed while the other job is. A late job of
    /// the same priority is not made to expire: it would be started again before all others to
    /// prevent that.
    pub fn yields_to(&self, urgency: Urgency, times: &StopTimes) -> bool {
        let outlook = self.victim.outlook;
        let would_expire = outlook == Outlook::Late && self.victim.is_harmed(times, 0);
        let matters_less = outlook != Outlook::InTime || urgency.is_owed && !self.is_owed;
        self.priority > urgency.priority
            || self.priority == urgency.priority && matters_less && !would_expire
    }
}

/// Returns the first of some runs, in order, whose room suffices for a task, without those that
/// aren't needed beside the others; `None` if all of them don't suffice.
pub(super) fn least_victims(
    room: &Room,
    occupied: &Room,
    needed: &Room,
    runs: &[&Victim],
) -> Option<Vec<Victim>> {
    let mut left = *occupied;
    let mut chosen: Vec<Victim> = Vec::new();
    for run in runs {
        if room.fits(&left, needed) {
            break;
        }
        left.sub(&run.room);
        chosen.push(**run);
    }
    if !room.fits(&left, needed) || chosen.is_empty() {
        return None;
    }
    for index in (0..chosen.len()).rev() {
        let mut with = left;
        with.add(&chosen[index].room);
        if room.fits(&with, needed) {
            left = with;
            chosen.remove(index);
        }
    }
    Some(chosen)
}
