//! Who takes which duty.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_entry::duty::{FormerHolder, Holder, Member, Record, Table};
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn peers(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

fn member(number: u16, boot: u64, capacity: u64) -> Member {
    Member {
        boot,
        peers: peers(number),
        data_centre: "z".to_owned(),
        capacity,
        revision: u64::from(number) + boot * 10,
        seen: Time::ZERO,
    }
}

fn holder(name: &str, boot: u64) -> Holder {
    Holder { name: name.to_owned(), boot, peers: Some(peers(1)), before: Vec::new() }
}

fn table(capacities: &[u64]) -> Table {
    let mut table = Table::default();
    for (number, capacity) in capacities.iter().enumerate() {
        let number = u16::try_from(number).unwrap();
        table.members.insert(format!("e{number}"), member(number, 1, *capacity));
    }
    table
}

fn duties(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Who takes each duty at once.
fn takers(table: &mut Table, now: u64, duties: &[String]) -> Vec<(String, String)> {
    let names: Vec<String> = table.members.keys().cloned().collect();
    let mut takers = Vec::new();
    for name in names {
        let mine = table.due_duties(at(now), &name, duties);
        takers.extend(mine.into_iter().map(|duty| (duty, name.clone())));
    }
    takers.sort();
    takers
}

#[test]
fn due_for_each_duty_has_one_first_taker() {
    let mut table = table(&[250, 250, 250, 250, 250]);
    let duties = duties(&["a", "b", "c", "d", "fleet"]);
    let takers = takers(&mut table, 20_000, &duties);
    assert_eq!(takers.len(), 5, "{takers:?}");
    let mut names: Vec<&String> = takers.iter().map(|(_, name)| name).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 5, "spread over all members: {takers:?}");
}

#[test]
fn due_for_a_weak_member_comes_after_the_strong_ones() {
    // Symptom: the owner of the largest pool answers everything a second late.
    // Sequence: its duty is vacant; a member with a thin network takes it.
    // Cause: members are told apart by a hash alone.
    let mut table = table(&[50, 500, 50]);
    let takers = takers(&mut table, 20_000, &duties(&["a", "b", "c"]));
    assert!(takers.iter().all(|(_, name)| name == "e1"), "{takers:?}");
}

#[test]
fn due_for_waits_while_a_holder_may_only_have_lost_its_lease() {
    // Symptom: all duties change hands after an outage of the store.
    // Sequence: leases run out while the store is away; it returns, and one
    //   member registers before the holders have.
    // Cause: a member that isn't listed is taken for dead.
    let mut table = table(&[250, 250]);
    table.duties.insert("a".to_owned(), Record { holder: holder("e9", 4), revision: 7 });
    assert!(takers(&mut table, 20_000, &duties(&["a"])).is_empty());
    table.members.insert("e9".to_owned(), member(9, 4, 250));
    assert!(takers(&mut table, 21_500, &duties(&["a"])).is_empty(), "it is back");
    table.members.remove("e9");
    assert!(takers(&mut table, 22_000, &duties(&["a"])).is_empty());
    assert_eq!(takers(&mut table, 23_000, &duties(&["a"])).len(), 1, "it stays away");
}

#[test]
fn due_for_takes_at_once_from_a_holder_that_has_started_anew() {
    let mut table = table(&[250, 250]);
    table.duties.insert("a".to_owned(), Record { holder: holder("e1", 99), revision: 7 });
    assert_eq!(takers(&mut table, 20_000, &duties(&["a"])).len(), 1);
}

#[test]
fn due_for_prefers_the_youngest_while_members_are_restarted() {
    // Symptom: a duty is handed over with each member that is restarted.
    // Sequence: members are stopped one after the other; each duty goes to one
    //   that is still to be stopped.
    // Cause: nobody minds who has been restarted already.
    let mut table = table(&[250, 250, 250]);
    let mut young = member(1, 2, 250);
    young.seen = at(19_000);
    table.members.insert("e1".to_owned(), young);
    let takers = takers(&mut table, 20_000, &duties(&["a", "b"]));
    assert!(takers.iter().all(|(_, name)| name == "e1"), "{takers:?}");
}

/// A duty that `e1` took from `e0`, and `e1` has started anew since.
fn taken_from_a_silent_one() -> Table {
    let mut table = table(&[250, 250, 250]);
    table.put_duty(at(1_000), "a", Record { holder: holder("e0", 1), revision: 7 });
    let before = table.former_holders("a");
    assert_eq!(before, [FormerHolder { name: "e0".to_owned(), boot: 1, peers: Some(peers(1)) }]);
    let taken = Holder { before, ..holder("e1", 1) };
    table.put_duty(at(5_000), "a", Record { holder: taken, revision: 9 });
    table.members.insert("e1".to_owned(), member(1, 2, 250));
    table
}

#[test]
fn may_grant_behind_a_holder_that_started_anew() {
    // Symptom: a task runs twice at once.
    // Sequence: a pool's owner is cut off from the store and goes on, on a worker that
    //   it alone reaches; a second one takes over and starts anew at once; a third
    //   one takes over, can't reach the worker, and starts its task elsewhere.
    // Cause: the second one has ended, so nothing was taken to be granted any more.
    let table = taken_from_a_silent_one();
    assert!(table.may_grant(at(5_500), "a") > Duration::from_millis(8_000));
    assert_eq!(table.may_grant(at(15_500), "a"), Duration::ZERO, "long over");
}

#[test]
fn may_grant_nothing_where_all_before_have_ended() {
    let mut table = taken_from_a_silent_one();
    table.members.insert("e0".to_owned(), member(0, 2, 250));
    assert_eq!(table.may_grant(at(5_500), "a"), Duration::ZERO);
    assert!(table.former_holders("a").is_empty());
}

#[test]
fn formers_by_one_that_began_later() {
    let table = taken_from_a_silent_one();
    assert_eq!(table.former_holders("a").len(), 1, "e0 may go on; e1 has ended");
    // What it hasn't seen begin may have begun just now.
    let record = table.duties["a"].clone();
    let mut fresh = Table::default();
    fresh.members = table.members;
    fresh.put_duty(at(60_000), "a", record);
    assert!(fresh.may_grant(at(60_100), "a") > Duration::from_millis(8_000));
}
