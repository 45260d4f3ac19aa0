//! Parsing and evaluation of conditions, and errors for invalid ones.

mod common;

use std::time::Duration;

use common::{condition_text, fleet, service, situation};
use corianderfork_model::Time;
use corianderfork_rules::error::Kind;
use corianderfork_rules::{Condition, Error, Situation, Truth, condition};
use proptest::prelude::*;

const FRESH: Duration = Duration::ZERO;

fn parse_ok(text: &str) -> Condition {
    condition::parse(text, &fleet()).expect(text)
}

fn parse_err(text: &str) -> Error {
    condition::parse(text, &fleet()).expect_err(text)
}

fn truth(text: &str, situation: &Situation) -> Truth {
    parse_ok(text).truth(situation)
}

#[test]
fn truth_precedence() {
    let mut situation = Situation::new();
    situation.set_store_down(true, FRESH).set_wave(false, 0, FRESH);
    assert_eq!(truth("store_down or wave and wave", &situation), Truth::True);
    assert_eq!(truth("(store_down or wave) and wave", &situation), Truth::False);
    assert_eq!(truth("not wave and store_down", &situation), Truth::True);
}

#[test]
fn truth_load_bounds() {
    let mut situation = Situation::new();
    situation.set_load(service("transfer"), 8, 10, FRESH);
    assert_eq!(truth("load(transfer) > 80%", &situation), Truth::False);
    assert_eq!(truth("load(transfer) >= 80%", &situation), Truth::True);
    assert_eq!(truth("load(transfer) > 79.9%", &situation), Truth::True);
}

#[test]
fn truth_pool_combines_services() {
    let mut situation = Situation::new();
    situation.set_load(service("transfer"), 10, 10, FRESH);
    assert_eq!(truth("load(pool registry) >= 50%", &situation), Truth::Unknown);
    situation.set_load(service("lookup"), 0, 30, FRESH);
    assert_eq!(truth("load(pool registry) == 25%", &situation), Truth::True);
}

#[test]
fn truth_load_without_able_copy() {
    // Guards against a rule that adds copies under load and stops matching when
    // the last copy is lost: zero requests over zero slots is not a load of zero.
    let mut situation = Situation::new();
    situation.set_load(service("transfer"), 0, 0, FRESH);
    assert_eq!(truth("load(transfer) > 80%", &situation), Truth::True);
}

#[test]
fn truth_licences_share() {
    let mut situation = Situation::new();
    situation.set_licences(service("transfer"), 9, FRESH);
    assert_eq!(truth("licences(transfer) == 90%", &situation), Truth::True);
    assert_eq!(truth("licences(transfer) > 8", &situation), Truth::True);
}

#[test]
fn truth_weekday_wraps() {
    let mut situation = Situation::new();
    situation.set_clock(Time::from_millis(3 * 86_400_000), 0); // a Sunday
    assert_eq!(truth("weekday in sat..mon", &situation), Truth::True);
    assert_eq!(truth("weekday in mon..fri, sat", &situation), Truth::False);
    assert_eq!(truth("weekday != sun", &situation), Truth::False);
}

#[test]
fn truth_stale_value_unknown() {
    // Guards against stopping copies under high load: load reports stop arriving,
    // and the last report, a low load, must not count forever.
    let mut situation = Situation::new();
    situation.set_load(
        service("transfer"),
        0,
        10,
        situation.stale_after() + Duration::from_millis(1),
    );
    assert_eq!(truth("load(transfer) < 10%", &situation), Truth::Unknown);
    assert_eq!(truth("not load(transfer) < 10%", &situation), Truth::Unknown);
    assert_eq!(truth("known(load(transfer))", &situation), Truth::False);
    assert_eq!(truth("load(transfer) < 10% or always", &situation), Truth::True);
}

#[test]
fn truth_usage_stale() {
    let mut situation = Situation::new();
    assert_eq!(truth("usage_stale", &situation), Truth::Unknown);
    situation.set_usage_age(situation.stale_after() * 2);
    assert_eq!(truth("usage_stale and usage_age >= 2m", &situation), Truth::True);
    situation.set_usage_age(FRESH);
    assert_eq!(truth("usage_stale", &situation), Truth::False);
}

#[test]
fn truth_any_data_centre_down() {
    let mut situation = Situation::new();
    let kolkata = fleet().find_data_centre("kolkata").expect("declared");
    assert_eq!(truth("down(any data_centre)", &situation), Truth::Unknown);
    situation.set_data_centre_down(kolkata, true, FRESH);
    assert_eq!(
        truth("down(any data_centre) and down(data_centre kolkata)", &situation),
        Truth::True
    );
}

#[test]
fn parse_unknown_names() {
    let error = parse_err("store_down or load(trnsfer) > 80%");
    assert_eq!(
        error.kind(),
        &Kind::UnknownName { category: "service", name: "trnsfer".to_owned() }
    );
    assert_eq!((error.offset(), error.len()), (19, 7));
    assert_eq!(error.help(), "did you mean `transfer`?");
    assert_eq!(parse_err("load(pool regsitry) > 1%").help(), "did you mean `registry`?");
    assert_eq!(parse_err("down(data_centre kolkatta)").help(), "did you mean `kolkata`?");
    assert_eq!(parse_err("stor_down").help(), "did you mean `store_down`?");
    assert_eq!(parse_err("load(pool idle) > 1%").kind(), &Kind::EmptyPool("idle".to_owned()));
}

#[test]
fn parse_invalid_numbers() {
    assert!(matches!(parse_err("load(transfer) > 80").kind(), Kind::WrongUnit { .. }));
    assert!(matches!(parse_err("hour > 8%").kind(), Kind::WrongUnit { .. }));
    assert!(matches!(parse_err("hour < 25").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(parse_err("copies(lookup) > -1").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(parse_err("hour < many").kind(), Kind::InvalidNumber(_)));
    assert!(matches!(
        parse_err("spare(lookup) > 99999999999999999999").kind(),
        Kind::InvalidNumber(_)
    ));
}

#[test]
fn parse_invalid_syntax() {
    assert!(matches!(parse_err("").kind(), Kind::UnexpectedEnd(_)));
    assert!(matches!(parse_err("wave and").kind(), Kind::UnexpectedEnd(_)));
    assert!(matches!(parse_err("wave store_down").kind(), Kind::Unexpected { .. }));
    assert_eq!(parse_err("hour = 8").help(), "write `==` to compare");
    assert_eq!(parse_err("wave && wave").help(), "write `and`");
    assert_eq!(parse_err(&"(".repeat(2_000)).kind(), &Kind::TooDeep);
    assert!(matches!(parse_err(&"wave or ".repeat(1_000)).kind(), Kind::TooLong(_)));
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
    fn truth_de_morgan(a in condition_text(), b in condition_text(), situation in situation()) {
        let left = truth(&format!("not (({a}) and ({b}))"), &situation);
        prop_assert_eq!(left, truth(&format!("not ({a}) or not ({b})"), &situation));
    }
}
