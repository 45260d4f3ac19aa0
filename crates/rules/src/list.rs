//! The ordered list of rules, and its decision.

use corianderfork_model::Name;

use crate::action::Action;
use crate::condition::{Condition, Truth};
use crate::explain::{Explanation, Observation, SkippedRule};
use crate::situation::Situation;

/// The most rules that a list has.
pub const MAX_RULES: usize = 256;

/// When and what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    name: Name,
    when: Condition,
    then: Vec<Action>,
}

impl Rule {
    /// A rule that does `then` when `when` holds.
    pub fn new(name: Name, when: Condition, then: Vec<Action>) -> Self {
        Self { name, when, then }
    }

    /// Its name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// When it matches.
    pub fn when(&self) -> &Condition {
        &self.when
    }

    /// What it does.
    pub fn then(&self) -> &[Action] {
        &self.then
    }
}

/// Rules in their order, the last of which always matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    rules: Vec<Rule>,
}

/// Why rules are no [`List`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// There is no rule.
    #[error("there is no rule; write at least one whose `when` is `always`")]
    Empty,
    /// There are more than [`MAX_RULES`].
    #[error("there are {0} rules; join some, {MAX_RULES} is the most")]
    TooMany(usize),
    /// Two rules have one name.
    #[error("two rules are called `{0}`; give one of them another name")]
    Duplicate(Name),
    /// The last rule does not always match.
    #[error("the last rule, `{0}`, does not match always; add a last rule with `when = always`")]
    NoFallback(Name),
}

impl List {
    /// The rules in their order.
    ///
    /// # Errors
    ///
    /// Fails if there is no rule or there are too many, if two have one name, or if the last
    /// one is not `always`.
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

    /// The rules in their order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The decision of the first rule that matches.
    pub fn decide(&self, situation: &Situation) -> Decision {
        let matches = |rule: &Rule| rule.when.truth(situation) == Truth::True;
        // The last rule is `always`, so there is a match; were there none, the
        // last resort is what the operator asked for.
        let index = self.rules.iter().position(matches).unwrap_or(self.rules.len() - 1);
        let rule = &self.rules[index];
        Decision {
            rule: index,
            name: rule.name.clone(),
            actions: rule.then.clone(),
            observations: rule.when.observations(situation),
        }
    }

    /// The decision, and why no earlier rule made it.
    pub fn explain(&self, situation: &Situation) -> Explanation {
        let decision = self.decide(situation);
        let skipped = self.rules[..decision.rule]
            .iter()
            .map(|rule| SkippedRule::new(rule, situation))
            .collect();
        Explanation::new(decision, self.rules.len(), skipped)
    }
}

/// What a list decided, and on what grounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    rule: usize,
    name: Name,
    actions: Vec<Action>,
    observations: Vec<Observation>,
}

impl Decision {
    /// The place of the deciding rule in the list, from zero.
    pub fn rule(&self) -> usize {
        self.rule
    }

    /// The name of the deciding rule.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// What to do.
    pub fn actions(&self) -> &[Action] {
        &self.actions
    }

    /// The values that the deciding rule saw.
    pub fn observations(&self) -> &[Observation] {
        &self.observations
    }
}
