//! Finds rules that can never match, and overlapping rules with different
//! actions.

use corianderfork_model::Name;

use crate::action::Action;
use crate::action_parser;
use crate::list::{List, Rule};
use crate::region::{self, Region, WorkBudget};

/// A likely mistake in a list of rules.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Finding {
    /// The zero-based index of the rule in the list.
    pub rule: usize,
    /// The name of the rule.
    pub name: Name,
    /// The kind of mistake.
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
    /// Earlier rules cover every case in which the rule would match.
    #[error("never matches: {} above it matches in every such case", rule_list(.0))]
    Shadowed(Vec<Name>),
    /// Earlier rules that set the copies of the same service differently may
    /// match at the same time, and then take precedence.
    #[error("may match together with {} above it, which then takes precedence", rule_list(.0))]
    Overlap(Vec<Name>),
}

fn rule_list(names: &[Name]) -> String {
    let names: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    let rules = if names.len() == 1 { "rule" } else { "one of the rules" };
    format!("{rules} {}", names.join(", "))
}

impl Kind {
    /// Whether the rule can never match.
    pub fn never_matches(&self) -> bool {
        !matches!(self, Self::Overlap(_))
    }

    /// Returns the remedy.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Contradiction => "correct the condition, or remove the rule",
            Self::AfterAlways(_) => "move the rule above the one that always matches, or remove it",
            Self::Shadowed(_) => "move the rule above the weaker one, or remove it",
            Self::Overlap(_) => "swap the rules, unless their order is intended",
        }
    }
}

/// Finds rules that can never match and overlapping rules, in the order of the
/// list. There are no false positives among rules reported as never matching, but
/// some may be missed if conditions are very large.
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
    let mut budget = WorkBudget::default();
    let regions: Vec<_> =
        rules.iter().map(|rule| region::of_condition(&rule.when().node, &mut budget)).collect();
    let mut findings = Vec::new();
    for (i, rule) in rules.iter().enumerate() {
        let kind = unreachable_kind(rules, &regions, i, &mut budget)
            .or_else(|| overlap_kind(rules, &regions, i, &mut budget));
        findings.extend(kind.map(|kind| Finding { rule: i, name: rule.name().clone(), kind }));
    }
    findings
}

/// The regions of a rule's condition, or `None` if they are too many to compute.
type Regions = Option<Vec<Region>>;

/// Returns why the rule at `i` can never match, or `None` if it may match.
fn unreachable_kind(
    rules: &[Rule],
    regions: &[Regions],
    i: usize,
    budget: &mut WorkBudget,
) -> Option<Kind> {
    if let Some(always) = rules[..i].iter().find(|rule| rule.when().is_always()) {
        return Some(Kind::AfterAlways(always.name().clone()));
    }
    let mut rest = regions[i].clone()?;
    if rest.is_empty() {
        return Some(Kind::Contradiction);
    }
    let mut shadowing = Vec::new();
    for (earlier, covered) in rules[..i].iter().zip(regions) {
        let Some(covered) = covered else { continue };
        // Too large to compute for this rule; the other rules may be enough.
        let Some(remaining) = region::subtract(&rest, covered, budget) else { continue };
        if remaining != rest {
            shadowing.push(earlier.name().clone());
        }
        if remaining.is_empty() {
            return Some(Kind::Shadowed(shadowing));
        }
        rest = remaining;
    }
    None
}

/// Returns the earlier rules that may match at the same time and size a service
/// differently. Skips `always`, the fallback, which is meant to overlap.
fn overlap_kind(
    rules: &[Rule],
    regions: &[Regions],
    i: usize,
    budget: &mut WorkBudget,
) -> Option<Kind> {
    let (rule, own) = (&rules[i], regions[i].as_ref()?);
    if rule.when().is_always() {
        return None;
    }
    let mut names = Vec::new();
    for (earlier, other) in rules[..i].iter().zip(regions) {
        let Some(other) = other else { continue };
        if size_differently(earlier.then(), rule.then()) && region::any_overlap(other, own, budget)
        {
            names.push(earlier.name().clone());
        }
    }
    (!names.is_empty()).then_some(Kind::Overlap(names))
}

/// Whether two rules set the copies of one service differently.
fn size_differently(one: &[Action], other: &[Action]) -> bool {
    one.iter().any(|one| {
        let service = action_parser::sized_service(one);
        service.is_some()
            && other
                .iter()
                .any(|other| action_parser::sized_service(other) == service && other != one)
    })
}
