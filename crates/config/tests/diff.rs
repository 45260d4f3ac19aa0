//! Differences between two texts.

mod common;

use common::INDUS;
use corianderfork_config::{Change, diff};
use proptest::prelude::*;

fn changes(old: &str, new: &str) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn diff_keys_and_sections() {
    let new = INDUS
        .replacen("weekday in mon..sat and hour < 8", "hour < 7", 1)
        .replacen("lends = yes\n", "", 1)
        .replacen("[weights]\n", "[weights]\n# comment\n", 1)
        .replacen("[team.back_office]", "[team.office]", 1);
    assert_eq!(
        changes(INDUS, &new),
        [
            "[pool.switching] lends: `yes` -> unset",
            "[team.office] added",
            "[rule.before_opening] when: `weekday in mon..sat and hour < 8` -> `hour < 7`",
            "[team.back_office] removed",
        ]
    );
}

#[test]
fn diff_rule_order() {
    let rule = |name: &str| format!("[rule.{name}]\nwhen = always\n");
    let old = [rule("a"), rule("b"), rule("c")].concat();
    let new = [rule("b"), rule("a"), rule("d")].concat();
    let changes = diff(&old, &new);
    let names = |names: [&str; 2]| names.map(str::to_owned).to_vec();
    let order = Change::Order { from: names(["a", "b"]), to: names(["b", "a"]) };
    assert!(changes.contains(&order), "{changes:?}");
    assert_eq!(order.section(), "rule");
}

#[test]
fn diff_duplicate_section() {
    // A text differed from itself if a key was only in the second of two sections
    // with the same title: both were compared with the first section of the other
    // text.
    let text = "[a]\n[a]\nb = c\n";
    assert_eq!(diff(text, text), []);
    assert_eq!(changes("[a]\n", text), ["[a] b: unset -> `c`"]);
}

proptest! {
    #![proptest_config(common::cases(256))]

    #[test]
    fn diff_arbitrary_texts(old in "(\\[[ab.]{1,3}\\]|[ab] ?= ?[ab]|#|\\PC|\n){0,20}", new in "(?s).{0,60}") {
        prop_assert_eq!(diff(&old, &old), []);
        diff(&old, &new);
    }
}
