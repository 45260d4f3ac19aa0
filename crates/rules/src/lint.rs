//! Rules that can never match, and rules that contradict each other.

use corianderfork_model::Name;

use crate::action::Action;
use crate::action_parser;
use crate::list::{List, Rule};
use crate::region::{self, Region, Steps};

/// Something about a list that its operator surely did not mean.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Finding {
    /// The place in the list of the rule that it is about, from zero.
    pub rule: usize,
    /// The name of that rule.
    pub name: Name,
    /// What it is.
    pub kind: Kind,
}

/// The kinds of findings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The condition contradicts itself.
    #[error("never matches: its condition contradicts itself")]
    Contradiction,
    /// An earlier rule is `always`.
    #[error("never matches: rule `{0}` above it always matches")]
    AfterAlways(Name),
    /// One earlier rule, or several together, match wherever it does.
    #[error("never matches: wherever it does, {} above it matches", any_of(.0))]
    Shadowed(Vec<Name>),
    /// Earlier rules that may match at the same time do something else with the
    /// same service, and decide then.
    #[error("may match together with {} above it, which decides then", any_of(.0))]
    Overlap(Vec<Name>),
}

fn any_of(names: &[Name]) -> String {
    let names: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    let rules = if names.len() == 1 { "rule" } else { "one of the rules" };
    format!("{rules} {}", names.join(", "))
}

impl Kind {
    /// Whether the rule can never match.
    pub fn never_matches(&self) -> bool {
        !matches!(self, Self::Overlap(_))
    }

    /// What to do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Contradiction => "correct the condition, or remove the rule",
            Self::AfterAlways(_) => "move the rule above the one that always matches, or remove it",
            Self::Shadowed(_) => "move the rule above the weaker one, or remove it",
            Self::Overlap(_) => "nothing, if the order is what you mean; else swap the rules",
        }
    }
}

/// Looks for rules that can never match and for overlaps, in the order of the
/// list. What it calls never matching never matches; it may miss some where a
/// condition is very large.
///
/// ```
/// use corianderfork_model::{Fleet, Name};
/// use corianderfork_rules::{List, Rule, condition, lint};
///
/// let rule = |name: &str, when: &str| -> Result<Rule, Box<dyn std::error::Error>> {
///     let when = condition::parse(when, &Fleet::default())?;
///     Ok(Rule::new(Name::new(name)?, when, Vec::new()))
/// };
/// let list = List::new(vec![
///     rule("day", "hour >= 8 and hour < 20")?,
///     rule("noon", "hour == 12 and not store_down")?,
///     rule("otherwise", "always")?,
/// ])?;
/// let findings = lint(&list);
/// assert_eq!(findings.len(), 1);
/// assert_eq!(findings[0].name.as_str(), "noon");
/// assert!(findings[0].kind.never_matches());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn lint(list: &List) -> Vec<Finding> {
    let rules = list.rules();
    let mut steps = Steps::default();
    let regions: Vec<_> =
        rules.iter().map(|rule| region::of(&rule.when().node, &mut steps)).collect();
    let mut findings = Vec::new();
    for (i, rule) in rules.iter().enumerate() {
        let kind = never(rules, &regions, i, &mut steps)
            .or_else(|| overlaps(rules, &regions, i, &mut steps));
        findings.extend(kind.map(|kind| Finding { rule: i, name: rule.name().clone(), kind }));
    }
    findings
}

type Regions = Option<Vec<Region>>;

/// Why the rule at `i` can never match, if so.
fn never(rules: &[Rule], regions: &[Regions], i: usize, steps: &mut Steps) -> Option<Kind> {
    if let Some(always) = rules[..i].iter().find(|rule| rule.when().is_always()) {
        return Some(Kind::AfterAlways(always.name().clone()));
    }
    let mut rest = regions[i].clone()?;
    if rest.is_empty() {
        return Some(Kind::Contradiction);
    }
    let mut takers = Vec::new();
    for (earlier, taken) in rules[..i].iter().zip(regions) {
        let Some(taken) = taken else { continue };
        // Too large to work out with this rule; the others may do.
        let Some(left) = region::minus(&rest, taken, steps) else { continue };
        if left != rest {
            takers.push(earlier.name().clone());
        }
        if left.is_empty() {
            return Some(Kind::Shadowed(takers));
        }
        rest = left;
    }
    None
}

/// Earlier rules that may match at the same time and do something else. The
/// last resort is left out: it is there to be overlapped.
fn overlaps(rules: &[Rule], regions: &[Regions], i: usize, steps: &mut Steps) -> Option<Kind> {
    let (rule, own) = (&rules[i], regions[i].as_ref()?);
    if rule.when().is_always() {
        return None;
    }
    let mut names = Vec::new();
    for (earlier, other) in rules[..i].iter().zip(regions) {
        let Some(other) = other else { continue };
        if contradicts(earlier.then(), rule.then()) && region::meet(other, own, steps) {
            names.push(earlier.name().clone());
        }
    }
    (!names.is_empty()).then_some(Kind::Overlap(names))
}

/// Whether two rules size one service differently.
fn contradicts(one: &[Action], other: &[Action]) -> bool {
    one.iter().any(|one| {
        let service = action_parser::sized(one);
        service.is_some()
            && other.iter().any(|other| action_parser::sized(other) == service && other != one)
    })
}
