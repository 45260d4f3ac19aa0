//! Conditions: what they mean, and what is said of wrong ones.

mod common;

use std::time::Duration;

use common::{condition_text, fleet, service, situation};
use corianderfork_model::Time;
use corianderfork_rules::error::Kind;
use corianderfork_rules::{Condition, Error, Situation, Truth, condition};
use proptest::prelude::*;

const FRESH: Duration = Duration::ZERO;

fn parsed(text: &str) -> Condition {
    condition::parse(text, &fleet()).expect(text)
}

fn refused(text: &str) -> Error {
    condition::parse(text, &fleet()).expect_err(text)
}

fn truth(text: &str, now: &Situation) -> Truth {
    parsed(text).truth(now)
}

#[test]
fn truth_precedence() {
    let mut now = Situation::new();
    now.set_store_down(true, FRESH).set_wave(false, 0, FRESH);
    assert_eq!(truth("store_down or wave and wave", &now), Truth::True);
    assert_eq!(truth("(store_down or wave) and wave", &now), Truth::False);
    assert_eq!(truth("not wave and store_down", &now), Truth::True);
}

#[test]
fn truth_load_bounds() {
    let mut now = Situation::new();
    now.set_load(service("transfer"), 8, 10, FRESH);
    assert_eq!(truth("load(transfer) > 80%", &now), Truth::False);
    assert_eq!(truth("load(transfer) >= 80%", &now), Truth::True);
    assert_eq!(truth("load(transfer) > 79.9%", &now), Truth::True);
}

#[test]
fn truth_pool_takes_services_together() {
    let mut now = Situation::new();
    now.set_load(service("transfer"), 10, 10, FRESH);
    assert_eq!(truth("load(pool registry) >= 50%", &now), Truth::Unknown);
    now.set_load(service("lookup"), 0, 30, FRESH);
    assert_eq!(truth("load(pool registry) == 25%", &now), Truth::True);
}

#[test]
fn truth_no_copy_able_to_serve() {
    // Symptom: a rule that adds copies under load falls silent.
    // Sequence: the last copy of a service is lost; its load is read.
    // Cause: no request in hand over no slots taken for a load of nothing.
    let mut now = Situation::new();
    now.set_load(service("transfer"), 0, 0, FRESH);
    assert_eq!(truth("load(transfer) > 80%", &now), Truth::True);
}

#[test]
fn truth_licences_share() {
    let mut now = Situation::new();
    now.set_licences(service("transfer"), 9, FRESH);
    assert_eq!(truth("licences(transfer) == 90%", &now), Truth::True);
    assert_eq!(truth("licences(transfer) > 8", &now), Truth::True);
}

#[test]
fn truth_weekday_wraps() {
    let mut now = Situation::new();
    now.set_clock(Time::from_millis(3 * 86_400_000), 0); // a Sunday
    assert_eq!(truth("weekday in sat..mon", &now), Truth::True);
    assert_eq!(truth("weekday in mon..fri, sat", &now), Truth::False);
    assert_eq!(truth("weekday != sun", &now), Truth::False);
}

#[test]
fn truth_stale_value_is_unknown() {
    // Symptom: copies are removed while the load is high.
    // Sequence: load reports stop; the last one, low, is kept and acted on.
    // Cause: a value acted on however old it is.
    let mut now = Situation::new();
    now.set_load(service("transfer"), 0, 10, now.stale_after() + Duration::from_millis(1));
    assert_eq!(truth("load(transfer) < 10%", &now), Truth::Unknown);
    assert_eq!(truth("not load(transfer) < 10%", &now), Truth::Unknown);
    assert_eq!(truth("known(load(transfer))", &now), Truth::False);
    assert_eq!(truth("load(transfer) < 10% or always", &now), Truth::True);
}

#[test]
fn truth_usage_stale() {
    let mut now = Situation::new();
    assert_eq!(truth("usage_stale", &now), Truth::Unknown);
    now.set_usage_age(now.stale_after() * 2);
    assert_eq!(truth("usage_stale and usage_age >= 2m", &now), Truth::True);
    now.set_usage_age(FRESH);
    assert_eq!(truth("usage_stale", &now), Truth::False);
}

#[test]
fn truth_any_down() {
    let mut now = Situation::new();
    let kolkata = fleet().find_data_centre("kolkata").expect("declared");
    assert_eq!(truth("down(any data_centre)", &now), Truth::Unknown);
    now.set_data_centre_down(kolkata, true, FRESH);
    assert_eq!(truth("down(any data_centre) and down(data_centre kolkata)", &now), Truth::True);
}

#[test]
fn parse_unknown_names() {
    let error = refused("store_down or load(trnsfer) > 80%");
    assert_eq!(
        error.kind(),
        &Kind::UnknownName { category: "service", name: "trnsfer".to_owned() }
    );
    assert_eq!((error.offset(), error.len()), (19, 7));
    assert_eq!(error.help(), "did you mean `transfer`?");
    assert_eq!(refused("load(pool regsitry) > 1%").help(), "did you mean `registry`?");
    assert_eq!(refused("down(data_centre kolkatta)").help(), "did you mean `kolkata`?");
    assert_eq!(refused("stor_down").help(), "did you mean `store_down`?");
    assert_eq!(refused("load(pool idle) > 1%").kind(), &Kind::EmptyPool("idle".to_owned()));
}

#[test]
fn parse_wrong_numbers() {
    assert!(matches!(refused("load(transfer) > 80").kind(), Kind::WrongUnit { .. }));
    assert!(matches!(refused("hour > 8%").kind(), Kind::WrongUnit { .. }));
    assert!(matches!(refused("hour < 25").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(refused("copies(lookup) > -1").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(refused("hour < many").kind(), Kind::InvalidNumber(_)));
    assert!(matches!(
        refused("spare(lookup) > 99999999999999999999").kind(),
        Kind::InvalidNumber(_)
    ));
}

#[test]
fn parse_wrong_form() {
    assert!(matches!(refused("").kind(), Kind::UnexpectedEnd(_)));
    assert!(matches!(refused("wave and").kind(), Kind::UnexpectedEnd(_)));
    assert!(matches!(refused("wave store_down").kind(), Kind::Unexpected { .. }));
    assert_eq!(refused("hour = 8").help(), "write `==` to compare");
    assert_eq!(refused("wave && wave").help(), "write `and`");
    assert_eq!(refused(&"(".repeat(2_000)).kind(), &Kind::TooDeep);
    assert!(matches!(refused(&"wave or ".repeat(1_000)).kind(), Kind::TooLong(_)));
}

proptest! {
    #![proptest_config(common::cases(256))]

    #[test]
    fn parse_any_text(text in ".{0,80}") {
        if let Err(error) = condition::parse(&text, &fleet()) {
            prop_assert!(error.offset() + error.len() <= text.len());
        }
    }

    #[test]
    fn parse_any_words(words in prop::collection::vec(
        prop::sample::select(vec![
            "load", "(", ")", "transfer", ">", "80%", "not", "and", "or", "hour", "in", "..",
            "mon", ",", "-", "5.", "known", "down", "any", "pool", "registry", ";", "é", "weekday",
        ]),
        0..14,
    )) {
        let text = words.join(" ");
        if let Err(error) = condition::parse(&text, &fleet()) {
            prop_assert!(text.get(error.offset()..error.offset() + error.len()).is_some());
            prop_assert!(!error.help().is_empty());
        }
    }

    #[test]
    fn truth_de_morgan(a in condition_text(), b in condition_text(), now in situation()) {
        let left = truth(&format!("not (({a}) and ({b}))"), &now);
        prop_assert_eq!(left, truth(&format!("not ({a}) or not ({b})"), &now));
    }
}
