//! Explains decisions.

use std::fmt;
use std::time::Duration;

use corianderfork_model::Name;

use crate::condition::Truth;
use crate::list::{Decision, Rule};
use crate::situation::{Situation, Value};

/// A value that a condition refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The quantity as written in conditions, such as `load(transfer)`.
    pub label: String,
    /// The value, or `None` if it is unknown or stale.
    pub value: Option<Value>,
    /// The age, also of a stale value; `None` if there never was a value.
    pub age: Option<Duration>,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.value, self.age) {
            (Some(value), Some(age)) => {
                write!(f, "{} is {value}, {} ms old", self.label, age.as_millis())
            }
            (Some(value), None) => write!(f, "{} is {value}", self.label),
            (None, Some(age)) => {
                write!(f, "{} is unknown: the last value is {} ms old", self.label, age.as_millis())
            }
            (None, None) => write!(f, "{} is unknown", self.label),
        }
    }
}

/// A rule above the deciding one, which did not match.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct SkippedRule {
    /// The name.
    pub name: Name,
    /// The condition as written by the operator.
    pub when: String,
    /// The truth of the condition: false or unknown.
    pub truth: Truth,
    /// The values that the condition refers to.
    pub observations: Vec<Observation>,
}

impl SkippedRule {
    pub(crate) fn new(rule: &Rule, situation: &Situation) -> Self {
        Self {
            name: rule.name().clone(),
            when: rule.when().as_str().to_owned(),
            truth: rule.when().truth(situation),
            observations: rule.when().observations(situation),
        }
    }
}

/// A decision, and why no earlier rule matched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    decision: Decision,
    rules: usize,
    skipped: Vec<SkippedRule>,
}

impl Explanation {
    pub(crate) fn new(decision: Decision, rules: usize, skipped: Vec<SkippedRule>) -> Self {
        Self { decision, rules, skipped }
    }

    /// Returns the decision.
    pub fn decision(&self) -> &Decision {
        &self.decision
    }

    /// Returns the rules above the deciding one, in order.
    pub fn skipped(&self) -> &[SkippedRule] {
        &self.skipped
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for rule in &self.skipped {
            let truth = if rule.truth == Truth::Unknown { "unknown" } else { "false" };
            writeln!(f, "rule `{}` did not match: `{}` is {truth}", rule.name, rule.when)?;
            write_observations(f, &rule.observations)?;
        }
        let (number, name) = (self.decision.rule() + 1, self.decision.name());
        writeln!(f, "rule `{name}` ({number} of {}) decided", self.rules)?;
        write_observations(f, self.decision.observations())
    }
}

fn write_observations(f: &mut fmt::Formatter<'_>, observations: &[Observation]) -> fmt::Result {
    observations.iter().try_for_each(|observation| writeln!(f, "  {observation}"))
}
