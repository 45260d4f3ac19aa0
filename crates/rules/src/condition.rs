//! When a rule matches.
//!
//! A condition joins terms by `and`, `or`, `not` and parentheses; `and` binds
//! closer than `or`. The terms:
//!
//! | Term | Unit | Meaning |
//! |---|---|---|
//! | `load(S)` | percent | requests in hand over the slots of copies able to serve |
//! | `trend(S)` | percent a minute | change of that load |
//! | `spare(S)` | copies | copies beyond what load and budget need |
//! | `licences(S)` | copies or percent | licences in use, or their share of all |
//! | `copies(S)` | copies | copies able to serve |
//! | `wave_failures` | VMs | VMs of the present wave that came back failing |
//! | `usage_age` | seconds (`90s`, `5m`) | age of the oldest usage report in use |
//! | `hour` | 0 to 23 | hour of the operators' day |
//! | `weekday in mon..fri, sun` | | day of the operators' week; ranges may wrap |
//! | `store_down`, `wave`, `usage_stale` | | yes or no |
//! | `down(data_centre N)`, `down(rack N)` | | yes or no; `any data_centre`, `any rack` for one at least |
//! | `known(Q)` | | whether a quantity or flag has a value that is not stale |
//! | `always` | | true |
//!
//! `S` is a service's name or `pool NAME`, which takes all services of a pool
//! together. Quantities are compared by `<`, `<=`, `>`, `>=`, `==` and `!=`.

use corianderfork_model::Fleet;

use crate::error::Error;
use crate::explain::Observation;
use crate::situation::Situation;
use crate::term::Term;

/// Whether a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Truth {
    /// It does not.
    False,
    /// A value that it rests on is unknown or stale.
    Unknown,
    /// It does.
    True,
}

/// When a rule matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    pub(crate) node: Node,
    text: String,
}

/// A condition as a tree. `All` of nothing is `always`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Node {
    All(Vec<Node>),
    Any(Vec<Node>),
    Not(Box<Node>),
    Term(Term),
}

/// Reads a condition in the names of `fleet`.
///
/// # Errors
///
/// Fails at the first mistake, with its place and the remedy.
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
    let node = crate::condition_parser::condition(text, fleet)?;
    Ok(Condition { node, text: text.trim().to_owned() })
}

impl Condition {
    /// The condition as the operator wrote it.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether the condition holds in `situation`.
    pub fn truth(&self, situation: &Situation) -> Truth {
        self.node.truth(situation)
    }

    /// Whether the condition is true in every situation by its form alone, as
    /// `always` is.
    pub fn is_always(&self) -> bool {
        self.node.is_always()
    }

    /// Every value that the condition asks for, in the order of the text.
    pub fn observations(&self, situation: &Situation) -> Vec<Observation> {
        let mut observations = Vec::new();
        self.node.each_term(&mut |term| {
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
            Self::All(nodes) => {
                nodes.iter().fold(Truth::True, |truth, node| truth.and(node.truth(situation)))
            }
            Self::Any(nodes) => {
                let none = |node: &Self| node.truth(situation).not();
                nodes.iter().fold(Truth::True, |truth, node| truth.and(none(node))).not()
            }
            Self::Not(node) => node.truth(situation).not(),
            Self::Term(term) => term.truth(situation),
        }
    }

    fn is_always(&self) -> bool {
        match self {
            Self::All(nodes) => nodes.iter().all(Self::is_always),
            Self::Any(nodes) => nodes.iter().any(Self::is_always),
            Self::Not(_) | Self::Term(_) => false,
        }
    }

    pub(crate) fn each_term<'a>(&'a self, visit: &mut impl FnMut(&'a Term)) {
        match self {
            Self::All(nodes) | Self::Any(nodes) => {
                nodes.iter().for_each(|node| node.each_term(visit));
            }
            Self::Not(node) => node.each_term(visit),
            Self::Term(term) => visit(term),
        }
    }
}

impl Truth {
    /// True if both are, false if one is.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::False, _) | (_, Self::False) => Self::False,
            (Self::True, Self::True) => Self::True,
            _ => Self::Unknown,
        }
    }

    /// The opposite; unknown stays unknown.
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
