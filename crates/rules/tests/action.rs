//! Parsing of actions, and errors for invalid ones.

mod common;

use common::{fleet, service};
use corianderfork_model::service::Class;
use corianderfork_rules::action::{Amount, Target, parse};
use corianderfork_rules::error::Kind;
use corianderfork_rules::{Action, Error};
use proptest::prelude::*;

fn parse_ok(text: &str) -> Vec<Action> {
    parse(text, &fleet()).expect(text)
}

fn parse_err(text: &str) -> Error {
    parse(text, &fleet()).expect_err(text)
}

#[test]
fn parse_every_action() {
    let (fleet, transfer, lookup) = (fleet(), service("transfer"), service("lookup"));
    let text = "copies transfer 20%; headroom lookup 30%; drain vm v01; drain rack r1; \
                wave pace 2; shed later; refuse moves; order transfer, lookup";
    let actions = parse_ok(text);
    let vm = fleet.find_vm("v01").expect("declared");
    let rack = fleet.find_rack("r1").expect("declared");
    assert_eq!(
        actions,
        [
            Action::Copies { service: transfer, amount: Amount::PerMille(200) },
            Action::Headroom { service: lookup, per_mille: 300 },
            Action::Drain(Target::Vm(vm)),
            Action::Drain(Target::Rack(rack)),
            Action::WavePace(2),
            Action::Shed(Class::Later),
            Action::RefuseMoves,
            Action::Order(vec![transfer, lookup]),
        ]
    );
    let described: Vec<_> = actions.iter().map(|action| action.describe(&fleet)).collect();
    assert_eq!(described.join("; "), text);
    assert_eq!(parse_ok("normal"), []);
    assert_eq!(parse_ok("hold; wave pause;"), [Action::Hold, Action::WavePause]);
}

#[test]
fn parse_most_specific_applies() {
    let transfer = service("transfer");
    let specific = Action::Headroom { service: transfer, per_mille: 500 };
    for text in
        ["headroom all 10%; headroom transfer 50%", "headroom transfer 50%; headroom all 10%"]
    {
        let actions = parse_ok(text);
        assert_eq!(actions.len(), 2);
        assert!(actions.contains(&specific), "{text}: {actions:?}");
    }
}

#[test]
fn parse_conflicts() {
    for text in [
        "copies transfer 2; headroom transfer 10%",
        "hold; headroom transfer 10%",
        "headroom all 10%; hold",
        "wave pause; wave pace 2",
        "normal; hold",
        "order lookup, lookup",
        "shed later; shed normal",
    ] {
        assert!(matches!(parse_err(text).kind(), Kind::Conflict(_)), "{text}");
    }
}

#[test]
fn parse_invalid_actions() {
    assert_eq!(parse_err("headrom all 10%").help(), "did you mean `headroom`?");
    assert_eq!(parse_err("drain vm v02").help(), "did you mean `v01`?");
    assert!(matches!(parse_err("headroom transfer 30").kind(), Kind::WrongUnit { .. }));
    assert!(matches!(parse_err("copies transfer 101%").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(parse_err("copies transfer -1").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(parse_err("wave pace 0").kind(), Kind::OutOfBounds { .. }));
    assert!(matches!(parse_err("hold wave pause").kind(), Kind::Unexpected { .. }));
    assert!(matches!(parse_err(" ").kind(), Kind::UnexpectedEnd(_)));
}

#[test]
fn copies_rounds_up() {
    assert_eq!(Amount::PerMille(250).copies(10), 3);
    assert_eq!(Amount::Count(7).copies(5), 7);
}

proptest! {
    #![proptest_config(common::cases(256))]

    #[test]
    fn parse_any_text(text in ".{0,80}") {
        if let Err(error) = parse(&text, &fleet()) {
            prop_assert!(error.offset() + error.len() <= text.len());
        }
    }
}
