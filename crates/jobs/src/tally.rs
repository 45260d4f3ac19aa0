//! Counts of what became of jobs, by queue and by organisation.
//!
//! Counting is done by the owner of a pool, and the counts are collected into the metrics of its
//! process. The number of names is bounded, and counting a job of a known name allocates nothing.

use std::collections::HashMap;

/// The most queues, and the most organisations, that are counted by name in a pool. Later ones are
/// counted together.
pub const MAX_NAMED: usize = 64;
/// The name under which all others are counted.
pub const OTHERS: &str = "(others)";

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It was accepted.
    Accepted,
    /// It was accepted within what its organisation is owed.
    Owed,
    /// It was accepted beyond what its organisation is owed.
    NotOwed,
    /// It was done in time.
    InTime,
    /// It was done late.
    Late,
    /// It was done when it was of no use any more.
    Expired,
    /// It failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It was passed over: others went before it although it could be in time.
    PassedOver,
    /// One of its runs was stopped to move it or to make room.
    Stopped,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 10] = [
        Self::Accepted,
        Self::Owed,
        Self::NotOwed,
        Self::InTime,
        Self::Late,
        Self::Expired,
        Self::Failed,
        Self::Cancelled,
        Self::PassedOver,
        Self::Stopped,
    ];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Owed => "owed",
            Self::NotOwed => "not_owed",
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Expired => "expired",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::PassedOver => "passed_over",
            Self::Stopped => "stopped",
        }
    }
}

/// A bounded set of names. A name that it contains stays.
///
/// ```
/// use corianderfork_jobs::tally::{Names, OTHERS};
///
/// let mut names = Names::new(1);
/// assert_eq!([names.index("a"), names.index("b"), names.index("a")], [0, 1, 0]);
/// assert_eq!([names.name(0), names.name(1)], ["a", OTHERS]);
/// ```
#[derive(Clone, Debug)]
pub struct Names {
    most: usize,
    indices: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    /// Returns an empty set for `most` names.
    pub fn new(most: usize) -> Self {
        Self { most, indices: HashMap::new(), names: Vec::new() }
    }

    /// Returns the index of a name, which is added if there is space; else that of [`OTHERS`], the
    /// number of names that the set can contain.
    pub fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        if index < self.most {
            self.indices.insert(name.to_owned(), index);
            self.names.push(name.to_owned());
        }
        index
    }

    /// Returns the name with an index.
    pub fn name(&self, index: usize) -> &str {
        self.names.get(index).map_or(OTHERS, String::as_str)
    }
}

/// The counts of one kind of name.
#[derive(Clone, Debug)]
struct Counts {
    names: Names,
    counts: Vec<[u64; Outcome::ALL.len()]>,
}

impl Counts {
    fn new() -> Self {
        Self { names: Names::new(MAX_NAMED), counts: Vec::new() }
    }

    fn add(&mut self, name: &str, outcome: Outcome) {
        let index = self.names.index(name);
        if self.counts.len() <= index {
            self.counts.resize(index + 1, Default::default());
        }
        self.counts[index][outcome as usize] += 1;
    }

    fn drain(&mut self, mut receive: impl FnMut(&str, Outcome, u64)) {
        for (index, counts) in self.counts.iter_mut().enumerate() {
            for outcome in Outcome::ALL {
                match std::mem::take(&mut counts[outcome as usize]) {
                    0 => {}
                    count => receive(self.names.name(index), outcome, count),
                }
            }
        }
    }
}

/// The counts of a pool since they were last collected.
///
/// ```
/// use corianderfork_jobs::tally::{Outcome, Tally};
///
/// let mut tally = Tally::default();
/// tally.add("quick", Some("club"), Outcome::Late);
/// tally.add("quick", None, Outcome::Late);
/// let mut counts = Vec::new();
/// tally.drain_queues(|queue, outcome, count| counts.push((queue.to_owned(), outcome, count)));
/// tally.drain_organisations(|name, outcome, count| counts.push((name.to_owned(), outcome, count)));
/// let (quick, club) = ("quick".to_owned(), "club".to_owned());
/// assert_eq!(counts, [(quick, Outcome::Late, 2), (club, Outcome::Late, 1)]);
/// tally.drain_queues(|_, _, _| unreachable!());
/// ```
#[derive(Clone, Debug)]
pub struct Tally {
    queues: Counts,
    organisations: Counts,
}

impl Default for Tally {
    fn default() -> Self {
        Self { queues: Counts::new(), organisations: Counts::new() }
    }
}

impl Tally {
    /// Counts a job.
    pub fn add(&mut self, queue: &str, organisation: Option<&str>, outcome: Outcome) {
        self.queues.add(queue, outcome);
        if let Some(organisation) = organisation {
            self.organisations.add(organisation, outcome);
        }
    }

    /// Passes the counts by queue that aren't zero to `receive`, and sets them to zero.
    pub fn drain_queues(&mut self, receive: impl FnMut(&str, Outcome, u64)) {
        self.queues.drain(receive);
    }

    /// Like [`Tally::drain_queues`], by organisation.
    pub fn drain_organisations(&mut self, receive: impl FnMut(&str, Outcome, u64)) {
        self.organisations.drain(receive);
    }
}
