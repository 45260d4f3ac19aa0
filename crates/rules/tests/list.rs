//! Lists of rules: decisions, explanations and lint findings.

mod common;

use std::time::Duration;

use common::{any_list, list, name, service, situation};
use corianderfork_rules::lint::Kind;
use corianderfork_rules::list::Error;
use corianderfork_rules::situation::Value;
use corianderfork_rules::{Action, Finding, List, Rule, Situation, Truth, condition, lint};
use proptest::prelude::*;

fn unreachable(list: &List) -> Vec<Finding> {
    lint(list).into_iter().filter(|finding| finding.kind.never_matches()).collect()
}

#[test]
fn new_invalid_lists() {
    let rule = |rule_name: &str, when: &str| {
        let when = condition::parse(when, &common::fleet()).expect(when);
        Rule::new(name(rule_name), when, Vec::new())
    };
    assert_eq!(List::new(Vec::new()), Err(Error::Empty));
    let duplicate_names = vec![rule("a", "wave"), rule("a", "always")];
    assert_eq!(List::new(duplicate_names), Err(Error::Duplicate(name("a"))));
    // True only if the hour is known, so not in every situation.
    let without_fallback = vec![rule("a", "hour < 12 or hour >= 12")];
    assert_eq!(List::new(without_fallback), Err(Error::NoFallback(name("a"))));
}

#[test]
fn explain_values_and_ages() {
    let list = list(&[
        ("load(transfer) > 80% and store_down", "hold"),
        ("load(lookup) > 10%", "hold"),
        ("spare(lookup) < 0", "refuse moves"),
        ("always", "normal"),
    ]);
    let mut situation = Situation::new();
    situation.set_load(service("transfer"), 9, 10, Duration::from_secs(1));
    situation.set_load(service("lookup"), 0, 10, Duration::from_secs(2));
    situation.set_spare(service("lookup"), -1, Duration::from_secs(3));
    situation.set_store_down(false, Duration::from_secs(600));
    let explanation = list.explain(&situation);
    let decision = explanation.decision();
    assert_eq!((decision.rule(), decision.actions()), (2, &[Action::RefuseMoves][..]));
    assert_eq!(decision.observations()[0].value, Some(Value::Count(-1)));
    assert_eq!(decision.observations()[0].age, Some(Duration::from_secs(3)));
    let truths: Vec<_> = explanation.skipped().iter().map(|rule| rule.truth).collect();
    assert_eq!(truths, [Truth::Unknown, Truth::False]);
    let text = explanation.to_string();
    for part in [
        "rule `r0` did not match: `load(transfer) > 80% and store_down` is unknown",
        "load(transfer) is 90%, 1000 ms old",
        "store_down is unknown: the last value is 600000 ms old",
        "rule `r2` (3 of 4) decided",
        "spare(lookup) is -1, 3000 ms old",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

#[test]
fn lint_unreachable() {
    for (rules, expected) in [
        (vec!["hour > 5 and hour < 3", "always"], vec![0]),
        (vec!["wave and not wave", "always"], vec![0]),
        (vec!["always", "wave", "always"], vec![1, 2]),
        (vec!["hour >= 8", "hour == 9 and store_down", "always"], vec![1]),
        (vec!["wave", "not wave", "wave or not wave", "always"], vec![2]),
        (vec!["hour < 8", "hour >= 8", "known(hour) and wave", "always"], vec![2]),
        (vec!["weekday in mon..fri", "weekday in tue, thu", "always"], vec![1]),
        (vec!["wave", "wave", "always"], vec![1]),
        // If the wave is unknown, neither of the first two rules matches.
        (vec!["wave", "not wave", "hour < 3", "always"], vec![]),
        (vec!["load(transfer) > 50%", "load(lookup) > 60%", "always"], vec![]),
    ] {
        let whens: Vec<_> = rules.iter().map(|when| (*when, "normal")).collect();
        let found: Vec<_> = unreachable(&list(&whens)).iter().map(|finding| finding.rule).collect();
        assert_eq!(found, expected, "{rules:?}");
    }
}

#[test]
fn lint_overlap() {
    let found = lint(&list(&[
        ("hour < 8", "headroom transfer 10%"),
        ("wave", "headroom transfer 20%"),
        ("hour > 9", "headroom lookup 20%; headroom transfer 30%"),
        ("store_down", "refuse moves"),
        ("always", "headroom all 5%"),
    ]));
    let overlaps: Vec<_> = found.into_iter().map(|finding| (finding.rule, finding.kind)).collect();
    let names = |names: &[&str]| Kind::Overlap(names.iter().map(|text| name(text)).collect());
    assert_eq!(overlaps, [(1, names(&["r0"])), (2, names(&["r1"]))]);
}

#[test]
fn lint_large_list() {
    // Guards against a controller that hangs while reading a configuration with
    // many rules that have many alternatives each: the number of region
    // comparisons grows with the fourth power of the text.
    let any = |n| format!("(hour != {n} or spare(lookup) != {n} or trend(lookup) != {n}%)");
    let condition = [any(1), any(2), any(3), any(4)].join(" and ");
    let when = |i| format!("copies(lookup) == {i} and {condition}");
    let whens: Vec<_> = (0..254).map(when).collect();
    let mut rules = vec![("wave and not wave", "normal")];
    rules.extend(whens.iter().map(|when| (when.as_str(), "normal")));
    rules.push(("always", "normal"));
    let found: Vec<_> =
        lint(&list(&rules)).into_iter().map(|finding| (finding.rule, finding.kind)).collect();
    assert_eq!(found, [(0, Kind::Contradiction)]);
}

proptest! {
    #![proptest_config(common::cases(512))]

    #[test]
    fn decide_first_match(list in any_list(), situation in situation()) {
        let decision = list.decide(&situation);
        let rules = list.rules();
        prop_assert_eq!(rules[decision.rule()].when().truth(&situation), Truth::True);
        for earlier in &rules[..decision.rule()] {
            prop_assert_ne!(earlier.when().truth(&situation), Truth::True);
        }
        prop_assert_eq!(decision, list.decide(&situation.clone()));
    }

    #[test]
    fn lint_unreachable_never_decides(
        list in any_list(),
        situations in prop::collection::vec(situation(), 64),
    ) {
        let unreachable_rules: Vec<_> =
            unreachable(&list).iter().map(|finding| finding.rule).collect();
        for situation in &situations {
            prop_assert!(!unreachable_rules.contains(&list.decide(situation).rule()));
        }
    }
}
