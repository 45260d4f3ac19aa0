//! How certain a process is of its duties, after lost leases, outages of the store and freezes.

use std::time::Duration;

use corianderfork_entry::tenure::{LEASE_TTL, OUTAGE_GRACE, Tenure};
use corianderfork_model::Time;

const SECOND: u64 = 1_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Lets the process run from `from` to `to`.
fn run(tenure: &mut Tenure, from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        assert_eq!(tenure.check(at(now)), None);
    }
}

/// A process that renewed its lease at one second and runs.
fn holder() -> Tenure {
    let mut tenure = Tenure::default();
    run(&mut tenure, SECOND, SECOND);
    tenure.register(at(SECOND), at(SECOND));
    tenure.note_known(at(SECOND));
    tenure
}

#[test]
fn may_order_during_an_outage() {
    let mut tenure = holder();
    let end = SECOND + OUTAGE_GRACE.as_millis() as u64;
    run(&mut tenure, SECOND, end - 100);
    assert!(tenure.may_order(at(end - 1), at(SECOND)));
    assert!(tenure.confirmed_until() <= at(SECOND) + LEASE_TTL, "others may take over");
    run(&mut tenure, end, end);
    assert!(!tenure.may_order(at(end), at(SECOND)));
}

// Guards against an owner that goes on although the store answers others: it may have been replaced.
#[test]
fn may_order_without_a_renewal_while_the_store_responds() {
    let mut tenure = holder();
    run(&mut tenure, SECOND, 4 * SECOND);
    assert!(!tenure.may_order(at(4 * SECOND), at(3_900)));
}

// Guards against starts by an owner that lost its pool long ago: it wakes, takes a new lease, and hasn't
// read yet who owns the pool.
#[test]
fn may_order_of_a_woken_owner_under_a_new_lease() {
    let mut tenure = holder();
    let woken = 31 * SECOND;
    assert_eq!(tenure.check(at(woken)), Some(Duration::from_secs(30)));
    tenure.lose();
    tenure.register(at(woken + 20), at(woken + 30));
    assert!(tenure.has_lease(at(woken + 40)));
    assert!(!tenure.may_order(at(woken + 40), at(woken + 40)));
    tenure.note_known(at(woken + 30));
    assert!(tenure.may_order(at(woken + 40), at(woken + 40)));
}

// Guards against an owner that counts as certain although its pool was taken between a read and the
// answer to its registration: until then its member record isn't there.
#[test]
fn is_known_by_a_read_before_the_registration() {
    let mut tenure = holder();
    tenure.lose();
    tenure.note_known(at(1_100));
    assert!(!tenure.is_known(), "there is no record");
    tenure.register(at(1_050), at(1_200));
    assert!(!tenure.is_known());
    tenure.note_known(at(1_199));
    assert!(!tenure.is_known(), "read before the record was there");
    tenure.note_known(at(1_200));
    assert!(tenure.is_known());
}

// Guards against the same without any new lease.
#[test]
fn has_lease_after_its_loss() {
    let mut tenure = holder();
    tenure.lose();
    tenure.note_known(at(1_100));
    assert!(!tenure.has_lease(at(1_100)) && !tenure.is_known());
    assert!(tenure.may_order(at(1_100), at(1_050)), "a successor waits for this long");
}

// Guards against the same without a freeze, beyond the time for which a successor waits.
#[test]
fn may_order_under_a_new_lease_beyond_the_grace() {
    let mut tenure = holder();
    run(&mut tenure, SECOND, 7 * SECOND);
    tenure.lose();
    tenure.register(at(7 * SECOND), at(7 * SECOND));
    assert!(tenure.may_order(at(7_050), at(7_040)));
    run(&mut tenure, 7 * SECOND, 9 * SECOND);
    tenure.renew(at(9 * SECOND));
    assert!(!tenure.may_order(at(9_050), at(9_040)));
}

#[test]
fn may_order_after_a_freeze_within_the_lease() {
    let mut tenure = holder();
    assert!(tenure.check(at(2_500)).is_some());
    assert!(!tenure.may_order(at(2_510), at(SECOND)));
    tenure.renew(at(2_520));
    assert!(tenure.may_order(at(2_530), at(2_525)));
    assert!(!tenure.is_known(), "its duties are read once more");
}

// Guards against a process that counts as certain although it didn't run.
#[test]
fn confirmed_until_of_a_frozen_process() {
    let tenure = holder();
    assert!(tenure.confirmed_until() < at(2 * SECOND));
    assert!(!tenure.has_lease(at(2 * SECOND)));
}

// Guards against an order that is delivered seconds after it was sent: its courier was frozen, and
// finds it as it wakes.
#[test]
fn may_deliver_after_a_freeze() {
    let mut tenure = holder();
    run(&mut tenure, SECOND, 2 * SECOND);
    assert!(tenure.may_deliver(at(2 * SECOND)));
    let woken = 9 * SECOND;
    assert!(!tenure.may_deliver(at(woken)));
    assert!(tenure.check(at(woken)).is_some());
    assert!(!tenure.may_deliver(at(woken + 100)), "its lease isn't renewed yet");
    tenure.renew(at(woken + 200));
    assert!(tenure.may_deliver(at(woken + 300)));
}
