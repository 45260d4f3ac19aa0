//! Release of a pool's worker in exchange for another worker instance.

use corianderfork_entry::exchange::Exchange;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns how many workers a stuck pool releases within `millis`.
fn release_count(millis: u64) -> usize {
    let mut exchange = Exchange::default();
    let mut releases =
        |now: u64| exchange.should_release(at(now), true) && exchange.note_departure(at(now));
    (0..millis).step_by(100).filter(|now| releases(*now)).count()
}

#[test]
fn should_release_rarely_if_unsuccessful() {
    // Failure: VMs move back and forth endlessly. A service allows a step on no worker at
    // all; each new worker is checked and released for the next, without any limit.
    assert_eq!(release_count(1_000), 1);
    assert_eq!(release_count(20_000), 5, "one every four seconds");
    assert!(release_count(600_000) <= 20, "{}", release_count(600_000));
}

#[test]
fn should_release_not_while_a_vm_is_free() {
    let mut exchange = Exchange::default();
    assert!(!exchange.should_release(at(0), false));
    assert!(!exchange.note_departure(at(0)), "the VM left for another reason");
    assert!(exchange.should_release(at(100), true));
    assert!(!exchange.should_release(at(200), false), "a VM is free now");
}

#[test]
fn should_release_ends_without_an_empty_worker() {
    let mut exchange = Exchange::default();
    assert!(exchange.should_release(at(0), true));
    assert!(exchange.should_release(at(4_900), true));
    assert!(!exchange.should_release(at(5_000), true), "no worker became empty in time");
}
