//! Drains: the newest epoch wins, whichever way and in whichever order.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{at, name, router, vm, vm_name};
use corianderfork_routing::outcome::{Attempt, Reason, Rejection};
use corianderfork_routing::report::Report;
use corianderfork_routing::router::{Config, Router};
use proptest::prelude::*;

/// News of one VM, as it may be heard.
#[derive(Clone, Copy, Debug)]
enum News {
    Record { revision: u64, epoch: u64, serving: bool },
    Drain { epoch: u64 },
    Peer { epoch: u64 },
}

/// The true history of a VM: each step is a drain or its end; news of any step
/// may be told any number of times on any way.
fn history() -> impl Strategy<Value = (Vec<News>, bool)> {
    let steps = prop::collection::vec(any::<bool>(), 1..6);
    steps.prop_flat_map(|steps| {
        let (mut news, mut epoch, mut serving) = (Vec::new(), 0, true);
        news.push(News::Record { revision: 1, epoch, serving });
        for (i, drains) in steps.into_iter().enumerate() {
            epoch += u64::from(drains);
            serving = !drains;
            news.push(News::Record { revision: i as u64 + 2, epoch, serving });
            if drains {
                news.push(News::Drain { epoch });
                news.push(News::Peer { epoch });
            }
        }
        let repeated = [news.clone(), news].concat();
        (Just(repeated).prop_shuffle(), Just(serving))
    })
}

fn tell(router: &mut Router, news: News) {
    match news {
        News::Record { revision, epoch, serving } => {
            router.apply_record(at(0), vm(0, revision, epoch, serving));
        }
        News::Drain { epoch } => _ = router.drain(&vm_name(0), epoch),
        News::Peer { epoch } => router.apply_report(at(0), &name("proxy-1"), &drain_report(epoch)),
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
    fn set_runners_any_order_newest_wins((news, serving) in history()) {
        let mut router = router(Config::default(), 0);
        news.into_iter().for_each(|n| tell(&mut router, n));
        router.report(at(0));
        prop_assert_eq!(takes_work(&mut router, 1000), serving);
    }

    #[test]
    fn drain_no_pick_until_record_of_epoch(late in prop::collection::vec((2u64..50, 0u64..3), 0..10)) {
        // However many records of earlier epochs come late.
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
fn drain_late_news_of_an_ended_drain() {
    // Symptom: a VM that is back gets no work for good.
    // Sequence: drain 2 ends; then a peer's old word of drain 2 comes.
    // Cause: the last message heard won instead of the newest epoch.
    let mut router = router(Config::default(), 1);
    router.apply_record(at(0), vm(0, 5, 2, true));
    assert!(!router.drain(&vm_name(0), 2));
    assert!(takes_work(&mut router, 1000));
}

#[test]
fn done_leaving_refusal_is_ahead_of_records() {
    // Symptom: requests go on being sent to a backend server that leaves.
    // Sequence: the list and the records lag; the backend server refuses.
    // Cause: its own refusal was treated as a failure of one request.
    let mut router = router(Config::default(), 1);
    let ticket = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    router.done(at(1000), ticket, Attempt::Rejected(Rejection::Leaving));
    let refusal = router.pick(at(1001), &name("transfer"), &[]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    router.apply_record(at(2000), vm(0, 2, 1, true));
    assert!(!takes_work(&mut router, 4000), "the record may be older than the refusal");
    router.apply_record(at(4000), vm(0, 3, 2, true));
    assert!(takes_work(&mut router, 6000), "a new epoch is newer than the refusal");
}

#[test]
fn learned_leaving_ends_without_records() {
    // Symptom: a copy is lost for good although it works.
    // Sequence: it refuses as leaving once, by mistake; no record changes.
    // Cause: what was learned has no end.
    let mut router = router(Config::default(), 1);
    let runner = router.runners(&name("transfer"))[0];
    router.mark_leaving(at(1000), runner);
    assert!(!takes_work(&mut router, 50_000));
    router.report(at(61_000));
    assert!(takes_work(&mut router, 62_000));
}

#[test]
fn peer_load_leaving_hint() {
    // Symptom: every proxy has to be refused before it stops.
    // Sequence: one proxy is refused as leaving and reports it.
    // Cause: what one learned was not passed on.
    let mut teller = router(Config::default(), 1);
    let ticket = teller.pick(at(1000), &name("transfer"), &[]).unwrap();
    teller.done(at(1000), ticket, Attempt::Rejected(Rejection::NotHere));
    let report = teller.report(at(1000));
    let mut hearer = Router::new(name("proxy-2"), Config::default());
    hearer.apply_record(at(0), vm(0, 1, 1, true));
    assert!(takes_work(&mut hearer, 1000));
    hearer.apply_report(at(1000), &name("proxy-0"), &report);
    assert!(!takes_work(&mut hearer, 1001));
    assert!(hearer.report(at(1001)).runners.is_empty(), "hearsay is not passed on");
    assert!(!takes_work(&mut hearer, 2999));
    hearer.report(at(3001));
    assert!(takes_work(&mut hearer, 4000), "the hint lapses with its teller's silence");
}

#[test]
fn is_drained_waits_for_in_flight() {
    // Symptom: a VM is rebooted under a request.
    // Sequence: a request is in flight; the VM drains; its record drops the copy.
    // Cause: the request was no longer counted once the copy was not listed.
    let mut router = router(Config::default(), 1);
    let ticket = router.pick(at(1000), &name("transfer"), &[]).unwrap();
    assert!(!router.is_drained(&vm_name(0), 2), "not heard of");
    router.drain(&vm_name(0), 2);
    let empty = corianderfork_routing::view::Vm::new(vm_name(0), 2).epoch(2);
    router.apply_record(at(1001), empty);
    assert_eq!(router.in_flight(&vm_name(0)), 1);
    assert!(!router.is_drained(&vm_name(0), 2));
    router.done(at(1002), ticket, Attempt::Answered);
    assert_eq!(router.in_flight(&vm_name(0)), 0);
    assert!(router.is_drained(&vm_name(0), 2));
    assert!(!router.is_drained(&vm_name(0), 3), "that drain was not heard of");
}

#[test]
fn remove_vm_no_more_work() {
    let mut router = router(Config::default(), 1);
    assert!(router.remove_vm(at(1000), &vm_name(0), 9));
    assert!(!router.apply_record(at(1000), vm(0, 8, 1, true)), "older than the removal");
    let refusal = router.pick(at(2000), &name("transfer"), &[]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoRunner);
}
