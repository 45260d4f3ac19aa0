//! Who is there, and what is passed on about them.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderfork_coord::member::Config;
use corianderfork_model::Time;
use corianderfork_provider::record::{Member, Role};
use corianderfork_proxy::convert;
use corianderfork_proxy::members::Members;
use corianderfork_wire::peer;

const FORGET: Duration = Duration::from_secs(60);

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.parse().unwrap(),
        role: Role::Proxy,
        incarnation,
        data_centre: "kolkata".parse().unwrap(),
        peers: "127.0.0.1:9".parse().unwrap(),
        callers: None,
    }
}

fn report(from: &Member, acks: &[(&str, u64)]) -> peer::Report {
    let ack = |(vm, epoch): &(&str, u64)| peer::Ack { vm: (*vm).to_owned(), epoch: *epoch };
    let seen = peer::Seen {
        member: Some(convert::member(from)),
        acks: acks.iter().map(ack).collect(),
        ..peer::Seen::default()
    };
    peer::Report { from: Some(convert::member(from)), seen: vec![seen], ..peer::Report::default() }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(3_600_000 + seconds * 1000)
}

fn members() -> Members {
    Members::new(Config::new(), member("e1", 1), FORGET).unwrap()
}

#[test]
fn acks_are_passed_on_for_their_incarnation_only() {
    // Symptom: a VM is rebooted with a request in flight.
    // Sequence: a proxy confirms a drain and is replaced; the new process has
    // not heard of the drain, and sends work; the old one's word is passed on.
    // Cause: confirmations are kept by name.
    let mut members = members();
    members.on_report(at(0), None, &report(&member("e2", 5), &[("v01", 3)]));
    let passed = |members: &Members| members.seen(at(1), 0, Vec::new())[1].acks.len();
    assert_eq!(passed(&members), 1);
    members.on_report(at(1), None, &report(&member("e2", 6), &[]));
    assert_eq!(passed(&members), 0);
    let old = members.on_report(at(1), None, &report(&member("e2", 5), &[("v01", 3)]));
    assert_eq!((old, passed(&members)), (None, 0));
}

#[test]
fn members_gone_are_forgotten_only_while_the_store_is_read() {
    // Symptom: with the store down, no proxy counts as in touch any more.
    // Sequence: entry VMs are replaced one by one; the old ones stay known and
    // are in the end the majority.
    // Cause: nobody is ever forgotten.
    let mut members = members();
    let (own, other) = (member("e1", 1), member("e2", 1));
    assert!(members.on_store(at(0), at(0), 1, [&own, &other].into_iter()).is_empty());
    // No longer listed, but it may be cut off from the store only.
    assert!(members.on_store(at(30), at(30), 2, [&own].into_iter()).is_empty());
    assert_eq!(members.len(), 2);
    assert!(members.on_store(at(61), at(61), 3, [&own].into_iter()).is_empty());
    let gone = members.on_store(at(91), at(91), 4, [&own].into_iter());
    assert_eq!(gone, [other.name]);
    assert!(members.in_touch(at(100)));
    assert_eq!(members.len(), 1);
}

#[test]
fn in_touch_needs_the_store_or_answers_of_most() {
    let mut members = members();
    let listed = [member("e1", 1), member("e2", 1), member("e3", 1)];
    members.on_store(at(0), at(0), 1, listed.iter());
    assert!(members.in_touch(at(10)) && !members.in_touch(at(11)));
    // Somebody else's call says nothing about this process's own calls.
    members.on_report(at(20), None, &report(&listed[1], &[]));
    assert!(!members.in_touch(at(20)));
    members.on_report(at(21), Some(at(20)), &report(&listed[1], &[]));
    assert!(members.in_touch(at(21)));
}

#[test]
fn report_demands_survive_the_message() {
    let loads = corianderfork_proxy::gate::Loads {
        report: corianderfork_routing::Report {
            demands: vec![corianderfork_routing::report::Demand {
                service: "transfer".parse().unwrap(),
                tenths: 37,
            }],
            ..corianderfork_routing::Report::default()
        },
        waiting: [("transfer".parse().unwrap(), 2)].into(),
        ..corianderfork_proxy::gate::Loads::default()
    };
    let sent = peer::Report {
        loads: convert::loads(&loads, |_| true),
        demands: convert::demands(&loads),
        ..peer::Report::default()
    };
    let got = convert::report(&sent, &[]);
    assert_eq!(got.demands, loads.report.demands);
    // One that knows services only finds the waiting ones, once.
    let of_service = sent.loads.iter().filter(|load| load.service == "transfer");
    assert_eq!(of_service.map(|load| load.in_flight + load.waiting).sum::<u32>(), 2);
}
