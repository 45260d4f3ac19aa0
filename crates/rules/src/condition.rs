//! Conditions of rules.
//!
//! A condition combines terms with `and`, `or`, `not` and parentheses; `and` has
//! precedence over `or`. The terms are:
//!
//! | Term | Unit | Meaning |
//! |---|---|---|
//! | `load(S)` | percent | requests in flight over the slots of copies able to serve |
//! | `trend(S)` | percent a minute | change of that load |
//! | `spare(S)` | copies | copies beyond those that load and budget need |
//! | `licences(S)` | copies or percent | licences in use, or their share of all |
//! | `copies(S)` | copies | copies able to serve |
//! | `wave_failures` | VMs | VMs of the current wave that came back failing |
//! | `usage_age` | seconds (`90s`, `5m`) | age of the oldest usage report in use |
//! | `hour` | 0 to 23 | hour in the operators' time zone |
//! | `weekday in mon..fri, sun` | | weekday in the operators' time zone; ranges may wrap |
//! | `store_down`, `wave`, `usage_stale` | | flags |
//! | `down(data_centre N)`, `down(rack N)` | | flags; `any data_centre` or `any rack` for at least one |
//! | `known(Q)` | | whether a quantity or flag has a value that is not stale |
//! | `always` | | true |
//!
//! `S` is a service's name or `pool NAME`, which combines all services of a pool.
//! Quantities are compared with `<`, `<=`, `>`, `>=`, `==` and `!=`.

use corianderfork_model::Fleet;

use crate::error::Error;
use crate::explain::Observation;
use crate::situation::Situation;
use crate::term::Term;

/// The truth value of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Truth {
    /// The condition is false.
    False,
    /// The condition depends on a value that is unknown or stale.
    Unknown,
    /// The condition is true.
    True,
}

/// The condition of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    pub(crate) node: Node,
    text: String,
}

/// The syntax tree of a condition. An empty `And` is `always`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Node {
    And(Vec<Node>),
    Or(Vec<Node>),
    Not(Box<Node>),
    Term(Term),
}

/// Parses a condition that uses names of `fleet`.
///
/// # Errors
///
/// Returns the first mistake, with its position and the remedy.
///
/// ```
/// use corianderfork_model::Fleet;
/// use corianderfork_rules::condition;
///
/// let fleet = Fleet::default();
/// assert!(condition::parse("hour >= 8 and hour < 20", &fleet).is_ok());
///
/// let error = condition::parse("weekday in mon..frj", &fleet).unwrap_err();
/// assert_eq!(error.offset(), 16);
/// assert_eq!(error.help(), "did you mean `fri`?");
/// ```
pub fn parse(text: &str, fleet: &Fleet) -> Result<Condition, Error> {
    let node = crate::condition_parser::parse(text, fleet)?;
    Ok(Condition { node, text: text.trim().to_owned() })
}

impl Condition {
    /// Returns the condition as written by the operator.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the truth value of the condition in `situation`.
    pub fn truth(&self, situation: &Situation) -> Truth {
        self.node.truth(situation)
    }

    /// Whether the syntax alone makes the condition true in every situation, as
    /// `always` does.
    pub fn is_always(&self) -> bool {
        self.node.is_always()
    }

    /// Returns the values that the condition refers to, in the order of the text.
    pub fn observations(&self, situation: &Situation) -> Vec<Observation> {
        let mut observations = Vec::new();
        self.node.for_each_term(&mut |term| {
            let observation = term.observe(situation);
            if !observations.contains(&observation) {
                observations.push(observation);
            }
        });
        observations
    }
}

impl Node {
    fn truth(&self, situation: &Situation) -> Truth {
        match self {
            Self::And(nodes) => {
                nodes.iter().fold(Truth::True, |truth, node| truth.and(node.truth(situation)))
            }
            Self::Or(nodes) => {
                let negated = |node: &Self| node.truth(situation).not();
                nodes.iter().fold(Truth::True, |truth, node| truth.and(negated(node))).not()
            }
            Self::Not(node) => node.truth(situation).not(),
            Self::Term(term) => term.truth(situation),
        }
    }

    fn is_always(&self) -> bool {
        match self {
            Self::And(nodes) => nodes.iter().all(Self::is_always),
            Self::Or(nodes) => nodes.iter().any(Self::is_always),
            Self::Not(_) | Self::Term(_) => false,
        }
    }

    pub(crate) fn for_each_term<'a>(&'a self, visit: &mut impl FnMut(&'a Term)) {
        match self {
            Self::And(nodes) | Self::Or(nodes) => {
                nodes.iter().for_each(|node| node.for_each_term(visit));
            }
            Self::Not(node) => node.for_each_term(visit),
            Self::Term(term) => visit(term),
        }
    }
}

impl Truth {
    /// Returns true if both are true, false if either is false, else unknown.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::False, _) | (_, Self::False) => Self::False,
            (Self::True, Self::True) => Self::True,
            _ => Self::Unknown,
        }
    }

    /// Returns the negation; unknown stays unknown.
    #[must_use]
    #[allow(clippy::should_implement_trait)]
    pub fn not(self) -> Self {
        match self {
            Self::False => Self::True,
            Self::Unknown => Self::Unknown,
            Self::True => Self::False,
        }
    }
}
