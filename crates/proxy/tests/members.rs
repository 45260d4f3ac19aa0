//! The table of members and what is reported about them.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderfork_coord::member::Config;
use corianderfork_model::Time;
use corianderfork_provider::record::{Member, Role};
use corianderfork_proxy::convert;
use corianderfork_proxy::members::Members;
use corianderfork_wire::peer;

const FORGET_AFTER: Duration = Duration::from_secs(60);

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
    Members::new(Config::new(), member("e1", 1), FORGET_AFTER).unwrap()
}

#[test]
fn acks_belong_to_one_incarnation() {
    // The acks of a proxy must not be reported for its successor of the same name: the
    // new process does not know of the drain and may send work, and the VM would be
    // rebooted with a request in flight.
    let mut members = members();
    members.on_report(at(0), None, &report(&member("e2", 5), &[("v01", 3)]));
    let reported_acks = |members: &Members| members.seen(at(1), 0, Vec::new())[1].acks.len();
    assert_eq!(reported_acks(&members), 1);
    members.on_report(at(1), None, &report(&member("e2", 6), &[]));
    assert_eq!(reported_acks(&members), 0);
    let old = members.on_report(at(1), None, &report(&member("e2", 5), &[("v01", 3)]));
    assert_eq!((old, reported_acks(&members)), (None, 0));
}

#[test]
fn members_gone_are_removed_only_while_store_is_read() {
    // Members that are gone must be removed eventually. Entry VMs are replaced one by
    // one; if the old ones stayed, they would become the majority, and with the store
    // down no proxy would count as in touch.
    let mut members = members();
    let (own, other) = (member("e1", 1), member("e2", 1));
    assert!(members.on_store(at(0), at(0), 1, [&own, &other].into_iter()).is_empty());
    // It is no longer listed, but it may only be cut off from the store.
    assert!(members.on_store(at(30), at(30), 2, [&own].into_iter()).is_empty());
    assert_eq!(members.len(), 2);
    assert!(members.on_store(at(61), at(61), 3, [&own].into_iter()).is_empty());
    let removed = members.on_store(at(91), at(91), 4, [&own].into_iter());
    assert_eq!(removed, [other.name]);
    assert!(members.in_touch(at(100)));
    assert_eq!(members.len(), 1);
}

#[test]
fn in_touch_requires_store_or_majority() {
    let mut members = members();
    let listed = [member("e1", 1), member("e2", 1), member("e3", 1)];
    members.on_store(at(0), at(0), 1, listed.iter());
    assert!(members.in_touch(at(10)) && !members.in_touch(at(11)));
    // A call made by another member does not prove that this process can reach it.
    members.on_report(at(20), None, &report(&listed[1], &[]));
    assert!(!members.in_touch(at(20)));
    members.on_report(at(21), Some(at(20)), &report(&listed[1], &[]));
    assert!(members.in_touch(at(21)));
}

#[test]
fn report_demands_round_trip() {
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
    let received = convert::report(&sent, &[]);
    assert_eq!(received.demands, loads.report.demands);
    // A receiver that sums by service counts the waiting requests once.
    let of_service = sent.loads.iter().filter(|load| load.service == "transfer");
    assert_eq!(of_service.map(|load| load.in_flight + load.waiting).sum::<u32>(), 2);
}
