//! Picks and refusals.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{at, name, router, vm, vm_name, with_policy};
use corianderfork_routing::limits::{Fixed, LeastOfTwo};
use corianderfork_routing::outcome::{Attempt, Reason, Rejection};
use corianderfork_routing::router::{Config, Router};
use corianderfork_routing::view::{Runner, Vm};

#[test]
fn pick_refuses_with_reason() {
    let transfer = name("transfer");
    let reason = |router: &mut Router, now| {
        let refusal = router.pick(at(now), &transfer, &[]).unwrap_err();
        assert!(refusal.retry_after >= Duration::from_secs(1));
        refusal.reason
    };
    let mut router = Router::new(name("proxy-0"), with_policy(Fixed));
    assert_eq!(reason(&mut router, 0), Reason::NoRunner);
    let address = "127.0.0.1:9000".parse().unwrap();
    let cold = Vm::new(vm_name(0), 1).serving(true);
    router.apply_record(at(0), cold.runner(Runner::new(transfer.clone(), address, false)));
    assert_eq!(reason(&mut router, 1000), Reason::NoneServing);
    router.apply_record(at(1000), vm(0, 2, 0, true));
    assert_eq!(reason(&mut router, 1001), Reason::Busy, "its slots have to settle first");
    let ticket = router.pick(at(2000), &transfer, &[]).unwrap();
    let again = router.pick(at(2000), &transfer, &[ticket.runner()]);
    assert_eq!(again.unwrap_err().reason, Reason::NoneHealthy);
    assert!(!router.has_room(at(2000), &name("archive")));
    assert!(router.has_room(at(2000), &transfer));
}

#[test]
fn pick_excludes_tried_runners() {
    let mut router = router(Config::default(), 3);
    let mut tried = Vec::new();
    while let Ok(ticket) = router.pick(at(1000), &name("transfer"), &tried) {
        tried.push(ticket.runner());
        router.done(at(1000), ticket, Attempt::NotSent);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
}

#[test]
fn pick_balances_by_own_load() {
    let mut router = router(with_policy(Fixed), 4);
    for _ in 0..32 {
        _ = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    }
    for i in 0..4 {
        assert_eq!(router.in_flight(&vm_name(i)), 8);
    }
}

#[test]
fn done_busy_runner_is_paused() {
    // Other proxies fill a runner that has the lowest load by this proxy's own
    // counts. If its rejection had no effect, it would be tried again and again
    // immediately.
    let mut router = router(with_policy(LeastOfTwo), 2);
    let ticket = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    let full = ticket.runner();
    router.done(at(1000), ticket, Attempt::Rejected(Rejection::Busy));
    for _ in 0..8 {
        let ticket = router.pick(at(1001), &name("transfer"), &[]).unwrap();
        assert_ne!(ticket.runner(), full);
    }
    let later = router.pick(at(1011), &name("transfer"), &[]).unwrap();
    assert_eq!(later.runner(), full);
}

#[test]
fn apply_record_new_address_is_a_new_runner() {
    // A copy leaves, and another one starts on the same VM at another port. If
    // observations were stored by VM instead of by copy, the new copy would be
    // treated as the old one.
    let mut router = router(Config::default(), 1);
    let before = router.runners(&name("transfer"))[0];
    router.mark_leaving(at(1000), before);
    let address = "127.0.0.1:9999".parse().unwrap();
    let fresh = Vm::new(vm_name(0), 2).epoch(1).serving(true);
    router.apply_record(at(1000), fresh.runner(Runner::new(name("transfer"), address, true)));
    let ticket = router.pick(at(2000), &name("transfer"), &[]).unwrap();
    assert_eq!(ticket.address(), address);
    assert_ne!(ticket.runner(), before);
}

#[test]
fn pick_same_seed_makes_same_choices() {
    let picks = |seed| {
        let mut router = router(Config::default().seed(seed), 10);
        let pick = |_| router.pick(at(1000), &name("transfer"), &[]).unwrap().address().port();
        (0..20).map(pick).collect::<Vec<_>>()
    };
    assert_eq!(picks(1), picks(1));
    assert_ne!(picks(1), picks(2), "proxies must not all start with the same runner");
}
