//! Drains that begin, or are taken over, after a proxy was replaced.
#![allow(clippy::expect_used)]

use corianderfork_coord::drain::{Barrier, Config, Status};
use corianderfork_coord::member::{Identity, Peer};
use corianderfork_model::{Name, Time};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

#[test]
fn status_of_a_drain_that_a_successor_takes_over() {
    // Symptom: a VM is rebooted while work of a proxy runs there.
    // Sequence: a proxy sends work and dies without an ack; its next incarnation
    //   acks; the controller waits for the request deadline, and dies; the next
    //   controller has only ever seen the second incarnation.
    // Cause: that there was an earlier incarnation is known to the barrier alone.
    let first = Identity::new(name("entry-1"), 1);
    let second = Identity::new(name("entry-1"), 2);
    let peer =
        |member: &Identity, at| Peer { member: member.clone(), last_contact: at, cut_off: false };
    let at = Time::from_millis;

    let mut barrier = Barrier::new(Config::new(), name("vm-7"), 3, at(0));
    let _ = barrier.status(at(100), &[peer(&first, at(100))]);
    barrier.on_ack(&second, 3);
    let before = barrier.status(at(1_000), &[peer(&second, at(1_000))]);
    assert!(matches!(before, Status::Waiting(_)), "work of before may run: {before:?}");

    let mut successor = Barrier::new(Config::new(), name("vm-7"), 3, at(1_100));
    successor.on_ack(&second, 3);
    let after = successor.status(at(1_200), &[peer(&second, at(1_200))]);
    assert!(matches!(after, Status::Waiting(_)), "and may run still: {after:?}");
}
