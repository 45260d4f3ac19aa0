//! The time until which former holders of a duty may grant leases.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_entry::duty::{FormerHolder, Holder, Member, Record, Table};
use corianderfork_entry::predecessor::Tracker;
use corianderfork_model::Time;

const LEASE: Duration = Duration::from_millis(4_500);
/// The longest time that such a lease holds, on a worker whose clock is slow.
const LONGEST_MS: u64 = 4_635;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn former(name: &str, boot: u64) -> FormerHolder {
    FormerHolder { name: name.to_owned(), boot, peers: Some(([127, 0, 0, 1], 7_000).into()) }
}

fn member(boot: u64) -> Member {
    Member {
        boot,
        peers: ([127, 0, 0, 1], 7_000).into(),
        data_centre: "z".to_owned(),
        capacity: 250,
        lease: 0,
        memory_mb: 0,
        revision: 1,
        seen: Time::ZERO,
    }
}

fn two_former_holders() -> Tracker {
    Tracker::new(at(0), vec![former("e1", 1), former("e0", 1)], true, LEASE)
}

fn grants(remaining_ms: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("w0".to_owned(), remaining_ms)])
}

#[test]
fn limit_unknown_while_one_may_grant() {
    let mut tracker = two_former_holders();
    tracker.mark_ended(at(100), &former("e1", 1));
    assert_eq!(tracker.limit(), None);
    assert_eq!(tracker.to_query(), [former("e0", 1)]);
}

// Guards against waiting for a process that is known to have ended.
#[test]
fn limit_after_a_restart() {
    let mut tracker = two_former_holders();
    tracker.mark_ended(at(100), &former("e1", 1));
    let mut table = Table::default();
    table.members.insert("e0".to_owned(), member(1));
    tracker.observe(at(1_000), &table);
    assert_eq!(tracker.limit(), None, "it is the same process");
    table.members.insert("e0".to_owned(), member(2));
    tracker.observe(at(2_000), &table);
    tracker.observe(at(9_000), &table);
    assert_eq!(tracker.limit().unwrap().until, at(2_000 + LONGEST_MS));
}

#[test]
fn limit_reported_by_the_last_holder() {
    let mut tracker = two_former_holders();
    tracker.record_report(at(1_000), &former("e1", 1), &grants(3_000));
    let limit = tracker.limit().unwrap();
    assert_eq!(limit.until, Time::ZERO, "its report covers all workers");
    assert_eq!(limit.by_worker["w0"], at(4_000));
}

// Guards against waiting for a holder that retired in favour of one that was then killed.
#[test]
fn limit_reported_by_an_earlier_holder() {
    let mut tracker = two_former_holders();
    tracker.mark_ended(at(500), &former("e1", 1));
    tracker.record_report(at(1_000), &former("e0", 1), &grants(9_000));
    let limit = tracker.limit().unwrap();
    assert_eq!(limit.until, at(500 + LONGEST_MS), "grants of the holder that ended");
    assert_eq!(limit.by_worker["w0"], at(10_000));
}

#[test]
fn limit_after_a_handover() {
    let handed_over = former("", 1);
    let tracker = Tracker::new(at(0), vec![handed_over.clone()], true, LEASE);
    assert_eq!(tracker.limit().unwrap().until, at(LONGEST_MS));
    assert_eq!(tracker.to_query(), [handed_over], "its report may shorten the wait");
}

#[test]
fn limit_incomplete_list() {
    let mut tracker = Tracker::new(at(0), vec![former("e0", 1)], false, LEASE);
    tracker.mark_ended(at(100), &former("e0", 1));
    assert_eq!(tracker.limit(), None);
    tracker.record_report(at(200), &former("e0", 1), &grants(1_000));
    assert!(tracker.limit().is_some(), "its report covers earlier holders");
}

#[test]
fn mark_ended_another_process() {
    let mut tracker = Tracker::new(at(0), vec![former("e0", 1)], true, LEASE);
    tracker.mark_ended(at(100), &former("e0", 2));
    assert_eq!(tracker.limit(), None);
}

#[test]
fn history_record_without_holder() {
    let mut table = Table::default();
    assert!(!table.history(at(0), "a").is_complete, "no record");
    table.put_duty(at(0), "a", Record { holder: Holder::default(), revision: 7 });
    assert!(!table.history(at(0), "a").is_complete, "undecodable record");
    let handed_over = Holder { boot: 1, peers: former("e0", 1).peers, ..Holder::default() };
    table.put_duty(at(0), "a", Record { holder: handed_over, revision: 9 });
    assert!(table.history(at(0), "a").is_complete);
}
