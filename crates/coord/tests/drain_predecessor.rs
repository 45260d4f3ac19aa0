//! Drains that start, or are taken over, after a proxy was replaced.
#![allow(clippy::expect_used)]

use corianderfork_coord::drain::{Barrier, Config, Status};
use corianderfork_coord::member::{Identity, Peer};
use corianderfork_model::{Name, Time};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

#[test]
fn status_taken_over_drain_waits_for_earlier_incarnation() {
    // A proxy sends requests and dies without an acknowledgement, and its next
    // incarnation acknowledges. The controller waits for the request deadline
    // but dies, and the next controller has only seen the second incarnation.
    // If only the first controller's barrier knew of the earlier incarnation,
    // the VM would be rebooted while its requests run.
    let first = Identity::new(name("entry-1"), 1);
    let second = Identity::new(name("entry-1"), 2);
    let peer =
        |member: &Identity, at| Peer { member: member.clone(), last_contact: at, cut_off: false };
    let at = Time::from_millis;

    let mut barrier = Barrier::new(Config::new(), name("vm-7"), 3, at(0));
    let _ = barrier.status(at(100), &[peer(&first, at(100))]);
    barrier.on_ack(&second, 3);
    let before = barrier.status(at(1_000), &[peer(&second, at(1_000))]);
    assert!(
        matches!(before, Status::Waiting(_)),
        "requests of the first incarnation may be running: {before:?}"
    );

    let mut successor = Barrier::new(Config::new(), name("vm-7"), 3, at(1_100));
    successor.on_ack(&second, 3);
    let after = successor.status(at(1_200), &[peer(&second, at(1_200))]);
    assert!(
        matches!(after, Status::Waiting(_)),
        "requests of the first incarnation may still be running: {after:?}"
    );
}
