//! Barriers of a controller that learned of the proxies recently.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderfork_controller::directory::Directory;
use corianderfork_controller::message::encode_member;
use corianderfork_controller::plan::barriers::Barriers;
use corianderfork_coord::drain::{self, Status};
use corianderfork_coord::member;
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

const DEADLINE: Duration = Duration::from_secs(30);
const EPOCH: u64 = 3;
/// A start time of a process, in milliseconds since the Unix epoch.
const START: u64 = 1_760_000_000_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn process(role: Role, incarnation: u64) -> Member {
    Member {
        name: name("e1"),
        role,
        incarnation,
        data_centre: name("kolkata"),
        peers: "127.0.0.1:1".parse().unwrap(),
        callers: None,
    }
}

fn directory() -> Directory {
    Directory::new(member::Config::new(), process(Role::Controller, START), DEADLINE * 3).unwrap()
}

/// The given incarnation of the proxy reports that it has nothing in flight on
/// the VM.
fn confirm(directory: &mut Directory, now: u64, incarnation: u64) {
    let proxy = Some(encode_member(&process(Role::Proxy, incarnation)));
    let acks = vec![peer::Ack { vm: "vm-7".to_owned(), epoch: EPOCH }];
    let seen = vec![peer::Seen { member: proxy.clone(), acks, ..Default::default() }];
    let report = peer::Report { from: proxy, seen, ..Default::default() };
    directory.on_report(at(now), Some(at(now)), &report);
}

fn drain(barriers: &mut Barriers, directory: &Directory, now: u64) -> Status {
    barriers.drain(at(now), &name("vm-7"), EPOCH, directory)
}

#[test]
fn drain_new_controller_waits_for_request_deadline() {
    // Guards against a reboot that cuts off a request of a proxy's earlier
    // process. A proxy sends a request and dies; its next process confirms the
    // drain to a controller that has just started and never knew the earlier
    // process. If the confirmation counted for both processes, the VM would be
    // released too early.
    let (mut directory, mut barriers) =
        (directory(), Barriers::new(drain::Config::new().request_deadline(DEADLINE)));
    confirm(&mut directory, 1_000, START + 500);
    assert!(matches!(drain(&mut barriers, &directory, 1_100), Status::Waiting(_)));
    confirm(&mut directory, 30_900, START + 500);
    assert!(matches!(drain(&mut barriers, &directory, 30_900), Status::Waiting(_)));
    confirm(&mut directory, 31_000, START + 500);
    assert_eq!(drain(&mut barriers, &directory, 31_000), Status::Clear);
}

#[test]
fn drain_long_known_proxy_is_clear_at_once() {
    let (mut directory, mut barriers) =
        (directory(), Barriers::new(drain::Config::new().request_deadline(DEADLINE)));
    confirm(&mut directory, 1_000, START);
    confirm(&mut directory, 31_000, START);
    assert_eq!(
        drain(&mut barriers, &directory, 31_000),
        Status::Clear,
        "not clear at the first check"
    );
    // The proxy restarts just before the next drain.
    confirm(&mut directory, 40_000, START + 40_000);
    let mut later = Barriers::new(drain::Config::new().request_deadline(DEADLINE));
    assert!(matches!(drain(&mut later, &directory, 40_100), Status::Waiting(_)));
}
