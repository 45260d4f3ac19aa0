//! Drains: the newest epoch wins, whatever the source and order of the
//! messages.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{at, name, router, vm, vm_name};
use corianderfork_routing::outcome::{Attempt, Reason, Rejection};
use corianderfork_routing::report::Report;
use corianderfork_routing::router::{Config, Router};
use proptest::prelude::*;

/// A message about one VM, from any source.
#[derive(Clone, Copy, Debug)]
enum Message {
    Record { revision: u64, epoch: u64, serving: bool },
    Drain { epoch: u64 },
    Peer { epoch: u64 },
}

/// Generates the history of a VM, in which each step is a drain or its end. The
/// message of each step is delivered twice, and all messages are shuffled.
fn history() -> impl Strategy<Value = (Vec<Message>, bool)> {
    let steps = prop::collection::vec(any::<bool>(), 1..6);
    steps.prop_flat_map(|steps| {
        let (mut messages, mut epoch, mut serving) = (Vec::new(), 0, true);
        messages.push(Message::Record { revision: 1, epoch, serving });
        for (i, drains) in steps.into_iter().enumerate() {
            epoch += u64::from(drains);
            serving = !drains;
            messages.push(Message::Record { revision: i as u64 + 2, epoch, serving });
            if drains {
                messages.push(Message::Drain { epoch });
                messages.push(Message::Peer { epoch });
            }
        }
        let repeated = [messages.clone(), messages].concat();
        (Just(repeated).prop_shuffle(), Just(serving))
    })
}

fn deliver(router: &mut Router, message: Message) {
    match message {
        Message::Record { revision, epoch, serving } => {
            router.apply_record(at(0), vm(0, revision, epoch, serving));
        }
        Message::Drain { epoch } => _ = router.drain(&vm_name(0), epoch),
        Message::Peer { epoch } => {
            router.apply_report(at(0), &name("proxy-1"), &drain_report(epoch))
        }
    }
}

fn drain_report(epoch: u64) -> Report {
    let drain = corianderfork_routing::report::Drain { vm: vm_name(0), epoch };
    Report { drains: vec![drain], ..Report::default() }
}

fn takes_work(router: &mut Router, now: u64) -> bool {
    let ticket = router.pick(at(now), &name("transfer"), &[]);
    ticket.map(|t| router.done(at(now), t, Attempt::Answered)).is_ok()
}

proptest! {
    #[test]
    fn apply_record_any_order_newest_wins((messages, serving) in history()) {
        let mut router = router(Config::default(), 0);
        messages.into_iter().for_each(|n| deliver(&mut router, n));
        router.report(at(0));
        prop_assert_eq!(takes_work(&mut router, 1000), serving);
    }

    #[test]
    fn drain_blocks_picks_until_record_of_its_epoch(late in prop::collection::vec((2u64..50, 0u64..3), 0..10)) {
        // Any number of records of earlier epochs arrive late.
        let mut router = router(Config::default(), 1);
        prop_assert!(takes_work(&mut router, 1000));
        router.drain(&vm_name(0), 3);
        for (revision, epoch) in late {
            router.apply_record(at(1000), vm(0, revision, epoch, true));
            prop_assert!(!takes_work(&mut router, 3000));
        }
        router.apply_record(at(3000), vm(0, 50, 3, true));
        prop_assert!(takes_work(&mut router, 5000));
    }
}

#[test]
fn drain_late_message_of_ended_drain_is_ignored() {
    // A peer's old report of drain 2 arrives after that drain has ended. If the
    // last message won instead of the newest epoch, the VM would never get work
    // again.
    let mut router = router(Config::default(), 1);
    router.apply_record(at(0), vm(0, 5, 2, true));
    assert!(!router.drain(&vm_name(0), 2));
    assert!(takes_work(&mut router, 1000));
}

#[test]
fn apply_record_same_revision_only_stops_work() {
    // A proxy learns of an operator's drain after a record that was written after it. It must
    // not send requests to the VM; and a late message must not undo that.
    let mut router = router(Config::default(), 1);
    assert!(takes_work(&mut router, 1000));
    assert!(router.apply_record(at(1000), vm(0, 1, 1, false)));
    assert!(!takes_work(&mut router, 2000));
    assert!(!router.apply_record(at(2000), vm(0, 1, 1, true)));
    assert!(!takes_work(&mut router, 3000));
}

#[test]
fn done_leaving_rejection_overrides_older_records() {
    // A backend server rejects requests as leaving before the list and the
    // records show it. If the rejection counted only as a failure of one
    // request, more requests would be sent to it.
    let mut router = router(Config::default(), 1);
    let ticket = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    router.done(at(1000), ticket, Attempt::Rejected(Rejection::Leaving));
    let refusal = router.pick(at(1001), &name("transfer"), &[]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    router.apply_record(at(2000), vm(0, 2, 1, true));
    assert!(!takes_work(&mut router, 4000), "the record may be older than the rejection");
    router.apply_record(at(4000), vm(0, 3, 2, true));
    assert!(takes_work(&mut router, 6000), "a new epoch is newer than the rejection");
}

#[test]
fn mark_leaving_expires_without_records() {
    // A copy rejects one request as leaving by mistake, and no record changes.
    // Without an expiry it would be lost forever although it works.
    let mut router = router(Config::default(), 1);
    let runner = router.runners(&name("transfer"))[0];
    router.mark_leaving(at(1000), runner);
    assert!(!takes_work(&mut router, 50_000));
    router.report(at(61_000));
    assert!(takes_work(&mut router, 62_000));
}

#[test]
fn apply_report_leaving_hint_stops_work() {
    // One proxy is rejected as leaving and reports it. Without the report,
    // every proxy would have to be rejected before it stops.
    let mut sender = router(Config::default(), 1);
    let ticket = sender.pick(at(1000), &name("transfer"), &[]).unwrap();
    sender.done(at(1000), ticket, Attempt::Rejected(Rejection::NotHere));
    let report = sender.report(at(1000));
    let mut receiver = Router::new(name("proxy-2"), Config::default());
    receiver.apply_record(at(0), vm(0, 1, 1, true));
    assert!(takes_work(&mut receiver, 1000));
    receiver.apply_report(at(1000), &name("proxy-0"), &report);
    assert!(!takes_work(&mut receiver, 1001));
    assert!(receiver.report(at(1001)).runners.is_empty(), "hints of others are not passed on");
    assert!(!takes_work(&mut receiver, 2999));
    receiver.report(at(3001));
    assert!(takes_work(&mut receiver, 4000), "the hint expires when its sender is silent");
}

#[test]
fn is_drained_waits_for_requests_in_flight() {
    // A VM drains while a request is in flight there, and its record drops the
    // copy. If the request were no longer counted, the VM would be rebooted
    // while it runs.
    let mut router = router(Config::default(), 1);
    let ticket = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    assert!(!router.is_drained(&vm_name(0), 2), "the drain is not known");
    router.drain(&vm_name(0), 2);
    let empty = corianderfork_routing::view::Vm::new(vm_name(0), 2).epoch(2);
    router.apply_record(at(1001), empty);
    assert_eq!(router.in_flight(&vm_name(0)), 1);
    assert!(!router.is_drained(&vm_name(0), 2));
    router.done(at(1002), ticket, Attempt::Answered);
    assert_eq!(router.in_flight(&vm_name(0)), 0);
    assert!(router.is_drained(&vm_name(0), 2));
    assert!(!router.is_drained(&vm_name(0), 3), "that drain is not known");
}

#[test]
fn remove_vm_gets_no_more_work() {
    let mut router = router(Config::default(), 1);
    assert!(router.remove_vm(at(1000), &vm_name(0), 9));
    assert!(!router.apply_record(at(1000), vm(0, 8, 1, true)), "older than the removal");
    let refusal = router.pick(at(2000), &name("transfer"), &[]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoRunner);
}
