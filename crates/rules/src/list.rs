//! The ordered list of rules, and its decisions.

use corianderfork_model::Name;

use crate::action::Action;
use crate::condition::{Condition, Truth};
use crate::explain::{Explanation, Observation, SkippedRule};
use crate::situation::Situation;

/// The maximum number of rules in a list.
pub const MAX_RULES: usize = 256;

/// A condition and the actions to take if it is true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    name: Name,
    when: Condition,
    then: Vec<Action>,
}

impl Rule {
    /// Creates a rule that takes the actions `then` if `when` is true.
    pub fn new(name: Name, when: Condition, then: Vec<Action>) -> Self {
        Self { name, when, then }
    }

    /// Returns the name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the condition.
    pub fn when(&self) -> &Condition {
        &self.when
    }

    /// Returns the actions.
    pub fn then(&self) -> &[Action] {
        &self.then
    }
}

/// An ordered list of rules, the last of which always matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    rules: Vec<Rule>,
}

/// Why rules don't form a valid [`List`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// There are no rules.
    #[error("there is no rule; write at least one whose `when` is `always`")]
    Empty,
    /// There are more than [`MAX_RULES`].
    #[error("there are {0} rules; join some, the maximum is {MAX_RULES}")]
    TooMany(usize),
    /// Two rules have the same name.
    #[error("two rules are called `{0}`; give one of them another name")]
    Duplicate(Name),
    /// The last rule does not always match.
    #[error("the last rule, `{0}`, does not always match; add a last rule with `when = always`")]
    NoFallback(Name),
}

impl List {
    /// Creates a list from rules in order.
    ///
    /// # Errors
    ///
    /// Fails if there are no rules or too many, if two rules have the same name,
    /// or if the last one is not `always`.
    ///
    /// ```
    /// use corianderfork_model::{Fleet, Name};
    /// use corianderfork_rules::{List, Rule, condition, list};
    ///
    /// let day = condition::parse("hour >= 8 and hour < 20", &Fleet::default())?;
    /// let rules = vec![Rule::new(Name::new("day")?, day, Vec::new())];
    /// assert_eq!(List::new(rules), Err(list::Error::NoFallback(Name::new("day")?)));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(rules: Vec<Rule>) -> Result<Self, Error> {
        let Some(last) = rules.last() else {
            return Err(Error::Empty);
        };
        if rules.len() > MAX_RULES {
            return Err(Error::TooMany(rules.len()));
        }
        if !last.when.is_always() {
            return Err(Error::NoFallback(last.name.clone()));
        }
        for (i, rule) in rules.iter().enumerate() {
            if rules[..i].iter().any(|earlier| earlier.name == rule.name) {
                return Err(Error::Duplicate(rule.name.clone()));
            }
        }
        Ok(Self { rules })
    }

    /// Returns the rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the decision of the first rule that matches.
    pub fn decide(&self, situation: &Situation) -> Decision {
        let matches = |rule: &Rule| rule.when.truth(situation) == Truth::True;
        // There is always a match, as the last rule is `always`. The fallback to
        // the last rule is what the operator wants in any case.
        let index = self.rules.iter().position(matches).unwrap_or(self.rules.len() - 1);
        let rule = &self.rules[index];
        Decision {
            rule: index,
            name: rule.name.clone(),
            actions: rule.then.clone(),
            observations: rule.when.observations(situation),
        }
    }

    /// Returns the decision, and why no earlier rule matched.
    pub fn explain(&self, situation: &Situation) -> Explanation {
        let decision = self.decide(situation);
        let skipped = self.rules[..decision.rule]
            .iter()
            .map(|rule| SkippedRule::new(rule, situation))
            .collect();
        Explanation::new(decision, self.rules.len(), skipped)
    }
}

/// The decision of a list, and the values that it rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    rule: usize,
    name: Name,
    actions: Vec<Action>,
    observations: Vec<Observation>,
}

impl Decision {
    /// Returns the zero-based index of the deciding rule.
    pub fn rule(&self) -> usize {
        self.rule
    }

    /// Returns the name of the deciding rule.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the actions to take.
    pub fn actions(&self) -> &[Action] {
        &self.actions
    }

    /// Returns the values that the deciding rule's condition refers to.
    pub fn observations(&self) -> &[Observation] {
        &self.observations
    }
}
