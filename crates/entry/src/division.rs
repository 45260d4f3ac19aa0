//! Updates of a map that one process keeps for another, sent as differences.
//!
//! The planner keeps each pool's parts of the rates that organisations are owed, and the pool's
//! owner keeps the arrivals that it reports to the planner. Both change little between two
//! messages, and each message is sent only after the one before was answered. So a message carries
//! the difference to the version that the receiver has confirmed, and the whole map where the
//! receiver is new or the last message has no answer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The share of a value within which a change waits for the next exact update, as a divisor.
const TOLERANCE_DIVISOR: f64 = 10.0;

/// The changes of parts that the planner sends to all pools together in each round of messages at
/// most, in the mean. With 3,600 jobs a second of 570 organisations in 34 pools, it sends 13.5 kB a
/// second with it.
const PART_CHANGES: usize = 238;
/// The changes of arrivals that it gets from all pools. It gets 12 kB a second with it at 400 jobs a
/// second, 14 kB with 170 and 17 kB with 272.
const ARRIVAL_CHANGES: usize = 136;
/// The most changes in a message after some with fewer: when the load turns from one pool to the
/// next, all parts change at once.
const MAX_CHANGES: usize = 128;

/// How many changes the next message may carry: what earlier ones left is saved.
///
/// With 7 and 5 changes whatever the number of pools, and none saved, each of 60 organisations in 4
/// pools got 24 of the 56 jobs that a single one is owed.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    /// For the messages of all pools.
    per_round: usize,
    left: usize,
}

impl Credit {
    /// Returns the credit for parts.
    pub fn of_parts() -> Self {
        Self { per_round: PART_CHANGES, left: 0 }
    }

    /// Returns the credit for arrivals.
    pub fn of_arrivals() -> Self {
        Self { per_round: ARRIVAL_CHANGES, left: 0 }
    }

    /// Adds the part of one of `pools` in a round of messages.
    ///
    /// ```
    /// use corianderfork_entry::division::Credit;
    ///
    /// let credit = |pools| Credit::of_parts().grant(pools).changes();
    /// assert_eq!((credit(34), credit(4), credit(1)), (7, 59, 128));
    /// ```
    pub fn grant(&mut self, pools: usize) -> &mut Self {
        self.left = (self.left + self.per_round / pools.max(1)).min(MAX_CHANGES);
        self
    }

    /// Returns how many changes the next message may carry.
    pub fn changes(&self) -> usize {
        self.left
    }
}

/// The version of a map: the fence of the planner and the number of its update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version(pub u64, pub u64);

impl Version {
    /// Returns the version that follows.
    ///
    /// ```
    /// use corianderfork_entry::division::Version;
    ///
    /// assert_eq!(Version(7, 1).next(), Version(7, 2));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0, self.1 + 1)
    }
}

/// The difference between two versions of a map by organisation.
///
/// It names only what is new, and has the position in the sorted map before it of what is not: 10
/// bytes for a change instead of 28.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference<T> {
    /// New values by position; `None` for organisations that are no longer part of the map.
    #[serde(default = "Vec::new", rename = "c", skip_serializing_if = "Vec::is_empty")]
    changed: Vec<(usize, Option<T>)>,
    /// Organisations that were not part of the map.
    #[serde(default = "BTreeMap::new", rename = "n", skip_serializing_if = "BTreeMap::is_empty")]
    new: BTreeMap<String, T>,
}

impl<T> Difference<T> {
    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.new.is_empty()
    }
}

/// A difference of parts, to be applied to the version before `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version after it.
    #[serde(rename = "v")]
    pub version: Version,
    /// The changed parts.
    #[serde(flatten)]
    pub parts: Difference<u32>,
}

/// A message with parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All parts.
    Whole(Version, BTreeMap<String, u32>),
    /// The changed parts.
    Change(Change),
}

/// Returns the largest differences between two maps, as many as there is credit for. The others are
/// left to the next call, and unless `is_exact`, values that change by less than a tenth.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use corianderfork_entry::division::{Credit, apply, difference};
///
/// let map = |values: [u32; 3]| -> BTreeMap<String, u32> {
///     ["a", "b", "c"].map(str::to_owned).into_iter().zip(values).collect()
/// };
/// let (before, after) = (map([100, 100, 100]), map([0, 109, 110]));
/// let (mut result, mut credit) = (before.clone(), Credit::of_parts());
/// credit.grant(34);
/// assert!(apply(&mut result, difference(&before, &after, false, &mut credit)));
/// assert_eq!(result, map([0, 100, 110]));
/// let last = difference(&result, &after, true, &mut credit);
/// assert!(apply(&mut result, last));
/// assert_eq!(result, after);
/// ```
pub fn difference<T: Copy + PartialEq + Into<f64>>(
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    is_exact: bool,
    credit: &mut Credit,
) -> Difference<T> {
    let mut changes: Vec<(f64, Option<usize>, &String, Option<T>)> = Vec::new();
    for (position, (name, old)) in before.iter().enumerate() {
        let new = after.get(name).copied();
        let old_value: f64 = (*old).into();
        let size = (new.map_or(0.0, Into::into) - old_value).abs();
        let is_large = is_exact || size * TOLERANCE_DIVISOR >= old_value;
        if new != Some(*old) && (is_large || new.is_none()) {
            changes.push((size, Some(position), name, new));
        }
    }
    for (name, new) in after.iter().filter(|(name, _)| !before.contains_key(*name)) {
        changes.push(((*new).into(), None, name, Some(*new)));
    }
    changes.sort_by(|a, b| b.0.total_cmp(&a.0));
    changes.truncate(credit.left);
    credit.left -= changes.len();
    let mut difference = Difference { changed: Vec::new(), new: BTreeMap::new() };
    for (_, position, name, value) in changes {
        match (position, value) {
            (Some(position), value) => difference.changed.push((position, value)),
            (None, Some(value)) => drop(difference.new.insert(name.clone(), value)),
            (None, None) => {}
        }
    }
    difference
}

/// Applies a difference to a map. Returns whether it has all positions that the difference changes.
pub fn apply<T: Copy>(map: &mut BTreeMap<String, T>, difference: Difference<T>) -> bool {
    let names: Vec<String> = map.keys().cloned().collect();
    let is_valid = difference.changed.iter().all(|(position, _)| *position < names.len());
    for (position, value) in difference.changed {
        match (names.get(position), value) {
            (Some(name), Some(value)) => drop(map.insert(name.clone(), value)),
            (Some(name), None) => drop(map.remove(name)),
            (None, _) => {}
        }
    }
    map.extend(difference.new);
    is_valid
}

/// An update as an owner receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// All parts; a planner of an earlier version sends them without a version.
    Whole(Option<Version>, BTreeMap<String, u32>),
    /// The changed parts.
    Change(Change),
}

/// The jobs a second by organisation that an owner reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Arrivals {
    /// All of them.
    Whole(BTreeMap<String, f64>),
    /// What changed since the report before.
    Change(Difference<f64>),
}

/// The parts that the owner of a pool holds, and the arrivals that it reported with them.
#[derive(Clone, Debug)]
pub struct Held {
    version: Option<Version>,
    parts: BTreeMap<String, u32>,
    reported: BTreeMap<String, f64>,
    credit: Credit,
}

impl Default for Held {
    fn default() -> Self {
        let (parts, reported) = (BTreeMap::new(), BTreeMap::new());
        Self { version: None, parts, reported, credit: Credit::of_arrivals() }
    }
}

impl Held {
    /// Applies an update. Returns the parts that are valid after it, or `None` if it is a difference
    /// to a version that isn't held: then the planner has to send the whole map.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    ///
    /// use corianderfork_entry::division::{Change, Credit, Held, Received, Version, difference};
    ///
    /// let mut held = Held::default();
    /// let none = BTreeMap::new();
    /// let nothing = difference(&none, &none, true, &mut Credit::of_parts());
    /// let change = Change { version: Version(7, 2), parts: nothing };
    /// assert_eq!(held.receive(Received::Change(change.clone())), None);
    /// let parts = BTreeMap::from([("club".to_owned(), 5_000)]);
    /// held.receive(Received::Whole(Some(Version(7, 1)), parts.clone()));
    /// assert_eq!(held.receive(Received::Change(change)), Some(&parts));
    /// assert!(held.is_confirmed());
    /// ```
    pub fn receive(&mut self, update: Received) -> Option<&BTreeMap<String, u32>> {
        match update {
            Received::Whole(version, parts) => (self.version, self.parts) = (version, parts),
            Received::Change(Change { version, parts }) => {
                let follows = self.version.map(Version::next) == Some(version);
                let is_applied = follows && apply(&mut self.parts, parts);
                self.version = is_applied.then_some(version);
                self.version?;
            }
        }
        Some(&self.parts)
    }

    /// Returns whether the next update may be a difference.
    pub fn is_confirmed(&self) -> bool {
        self.version.is_some()
    }

    /// Returns what to report of `arrivals`: the difference to the last report if the planner
    /// confirmed that one, as it does by sending a difference itself. `pools` is the number of pools
    /// that share the planner's link.
    pub fn report(
        &mut self,
        arrivals: BTreeMap<String, f64>,
        is_confirmed: bool,
        pools: usize,
    ) -> Arrivals {
        if !is_confirmed {
            self.reported.clone_from(&arrivals);
            return Arrivals::Whole(arrivals);
        }
        let change = difference(&self.reported, &arrivals, false, self.credit.grant(pools));
        apply(&mut self.reported, change.clone());
        Arrivals::Change(change)
    }
}
