//! The sets of values for which a condition is true.
//!
//! A condition is a union of [`Region`]s. A region has a set of allowed values
//! for each subject; a subject that it does not name is unconstrained. Regions
//! show whether a rule can match at all, or whether earlier rules cover it.

use std::collections::BTreeMap;

use crate::condition::Node;
use crate::term::{Subject, Term, Test};

/// Conditions with more regions than this are too large to analyse.
const MAX_REGIONS: usize = 256;
/// The maximum number of operations on two regions per list. Without this limit
/// the number grows with the fourth power of the list's size, and a large list
/// would stall each controller that reads the configuration.
const MAX_OPERATIONS: usize = 10_000;

/// The number of operations left for one list.
pub(crate) struct WorkBudget(usize);

impl Default for WorkBudget {
    fn default() -> Self {
        Self(MAX_OPERATIONS)
    }
}

impl WorkBudget {
    /// Spends `count` operations. Returns `None` if fewer are left.
    pub(crate) fn spend(&mut self, count: usize) -> Option<()> {
        self.0 = self.0.checked_sub(count)?;
        Some(())
    }
}

/// A set of integers as disjoint inclusive ranges in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ranges(Vec<(i64, i64)>);

impl Ranges {
    /// Returns the range from `min` to `max`; empty if `min` is greater.
    pub(crate) fn new(min: i64, max: i64) -> Self {
        Self(if min <= max { vec![(min, max)] } else { Vec::new() })
    }

    /// Returns the range of all integers.
    pub(crate) fn all() -> Self {
        Self::new(i64::MIN, i64::MAX)
    }

    /// Returns the set of `values`, each as its own range.
    pub(crate) fn from_values(values: impl IntoIterator<Item = i64>) -> Self {
        let mut values: Vec<_> = values.into_iter().map(|n| (n, n)).collect();
        values.sort_unstable();
        values.dedup();
        Self(values)
    }

    pub(crate) fn contains(&self, value: i64) -> bool {
        self.0.iter().any(|(min, max)| (*min..=*max).contains(&value))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn intersect(&self, other: &Self) -> Self {
        let mut intersection = Vec::new();
        for (min, max) in &self.0 {
            for (other_min, other_max) in &other.0 {
                let (min, max) = (*min.max(other_min), *max.min(other_max));
                if min <= max {
                    intersection.push((min, max));
                }
            }
        }
        Self(intersection)
    }

    pub(crate) fn subtract(&self, other: &Self) -> Self {
        other.0.iter().fold(self.clone(), |remainder, (min, max)| {
            let below = min.checked_sub(1).map_or_else(Vec::new, |n| vec![(i64::MIN, n)]);
            let above = max.checked_add(1).map_or_else(Vec::new, |n| vec![(n, i64::MAX)]);
            remainder.intersect(&Self([below, above].concat()))
        })
    }
}

/// The allowed values of one subject, and whether it may be unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ValueSet {
    known: Ranges,
    unknown: bool,
}

impl ValueSet {
    fn unconstrained(subject: &Subject) -> Self {
        Self { known: subject.domain(), unknown: true }
    }

    fn of_term(term: &Term, negated: bool) -> Self {
        let all = term.subject.domain();
        match (&term.test, negated) {
            (Test::Known, false) => Self { known: all, unknown: false },
            (Test::Known, true) => Self { known: Ranges::new(1, 0), unknown: true },
            (Test::In(ranges), false) => Self { known: all.intersect(ranges), unknown: false },
            (Test::In(ranges), true) => Self { known: all.subtract(ranges), unknown: false },
        }
    }

    fn is_empty(&self) -> bool {
        self.known.is_empty() && !self.unknown
    }

    fn intersect(&self, other: &Self) -> Self {
        Self { known: self.known.intersect(&other.known), unknown: self.unknown && other.unknown }
    }

    fn subtract(&self, other: &Self) -> Self {
        Self { known: self.known.subtract(&other.known), unknown: self.unknown && !other.unknown }
    }
}

/// The allowed values of each subject that is constrained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Region(BTreeMap<Subject, ValueSet>);

impl Region {
    /// Returns the intersection, or `None` if it is empty.
    pub(crate) fn intersect(&self, other: &Self) -> Option<Self> {
        let mut intersection = self.clone();
        for (subject, values) in &other.0 {
            let narrowed = match intersection.0.get(subject) {
                Some(current) => current.intersect(values),
                None => values.clone(),
            };
            if narrowed.is_empty() {
                return None;
            }
            intersection.0.insert(subject.clone(), narrowed);
        }
        Some(intersection)
    }

    fn overlaps(&self, other: &Self) -> bool {
        other.0.iter().all(|(subject, values)| {
            self.0.get(subject).is_none_or(|current| !current.intersect(values).is_empty())
        })
    }

    /// Returns what is in this region but not in `other`, as disjoint regions.
    fn subtract(&self, other: &Self) -> Vec<Self> {
        if !self.overlaps(other) {
            return vec![self.clone()];
        }
        let mut remainder = Vec::new();
        let mut inside = self.clone();
        for (subject, values) in &other.0 {
            let current =
                inside.0.get(subject).cloned().unwrap_or_else(|| ValueSet::unconstrained(subject));
            let outside = current.subtract(values);
            if !outside.is_empty() {
                let mut piece = inside.clone();
                piece.0.insert(subject.clone(), outside);
                remainder.push(piece);
            }
            inside.0.insert(subject.clone(), current.intersect(values));
        }
        remainder
    }
}

/// Returns what is in `regions` but in none of `others`, or `None` if it is too
/// large to compute.
pub(crate) fn subtract(
    regions: &[Region],
    others: &[Region],
    budget: &mut WorkBudget,
) -> Option<Vec<Region>> {
    let mut remainder = regions.to_vec();
    for other in others {
        budget.spend(remainder.len())?;
        remainder = remainder.iter().flat_map(|region| region.subtract(other)).collect();
        if remainder.len() > MAX_REGIONS {
            return None;
        }
    }
    Some(remainder)
}

/// Whether the two unions overlap. Returns false if the work budget is used up.
pub(crate) fn any_overlap(one: &[Region], other: &[Region], budget: &mut WorkBudget) -> bool {
    let pairs = one.iter().flat_map(|one| other.iter().map(move |other| (one, other)));
    budget.spend(one.len() * other.len()).is_some()
        && pairs.into_iter().any(|(one, other)| one.overlaps(other))
}

/// Returns the regions in which `node` is true, or `None` if they are too many to
/// compute. The result is empty if `node` can't be true.
pub(crate) fn of_condition(node: &Node, budget: &mut WorkBudget) -> Option<Vec<Region>> {
    regions_of(node, false, budget)
}

/// Returns the regions in which `node` is true, or false if `negated`.
fn regions_of(node: &Node, negated: bool, budget: &mut WorkBudget) -> Option<Vec<Region>> {
    match node {
        Node::Not(inner) => regions_of(inner, !negated, budget),
        Node::Term(term) => {
            let values = ValueSet::of_term(term, negated);
            if values.is_empty() {
                return Some(Vec::new());
            }
            Some(vec![Region(BTreeMap::from([(term.subject.clone(), values)]))])
        }
        Node::And(nodes) if !negated => intersection(nodes, negated, budget),
        Node::Or(nodes) if negated => intersection(nodes, negated, budget),
        Node::And(nodes) | Node::Or(nodes) => union(nodes, negated, budget),
    }
}

fn intersection(nodes: &[Node], negated: bool, budget: &mut WorkBudget) -> Option<Vec<Region>> {
    let mut product = vec![Region::default()];
    for node in nodes {
        let factors = regions_of(node, negated, budget)?;
        let count = product.len() * factors.len();
        if count > MAX_REGIONS {
            return None;
        }
        budget.spend(count)?;
        product = product
            .iter()
            .flat_map(|left| factors.iter().filter_map(|right| left.intersect(right)))
            .collect();
    }
    Some(product)
}

fn union(nodes: &[Node], negated: bool, budget: &mut WorkBudget) -> Option<Vec<Region>> {
    let mut union = Vec::new();
    for node in nodes {
        union.extend(regions_of(node, negated, budget)?);
        if union.len() > MAX_REGIONS {
            return None;
        }
    }
    Some(union)
}
