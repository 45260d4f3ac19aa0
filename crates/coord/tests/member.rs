//! Contacts, incarnations and partners.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Sighting, Table};
use corianderfork_model::{Name, Time};

const AT: fn(u64) -> Time = Time::from_millis;

fn known(at: usize, incarnation: u64) -> Identity {
    Identity::new(Name::new(&format!("entry-{at}")).expect("a name"), incarnation)
}

fn table(members: usize) -> Table {
    let mut table = Table::new(Config::new(), known(0, 1));
    table.on_list(Time::ZERO, 1, (0..members).map(|at| known(at, 1)));
    table
}

#[test]
fn in_touch_without_the_store_takes_a_majority() {
    let mut table = table(9);
    let now = AT(20_000);
    assert!(!table.in_touch(now));
    (1..4).for_each(|at| table.on_contact(AT(15_000), &known(at, 1), 1));
    (10..20).for_each(|at| table.on_contact(AT(15_000), &known(at, 1), 1)); // not listed
    assert!(!table.in_touch(now), "4 of 9");
    // Hearsay shows that others are alive, not that this process is in touch.
    table.on_sightings(now, [Sighting { member: known(5, 1), age: Duration::ZERO }]);
    assert!(!table.in_touch(now));
    table.on_contact(AT(15_000), &known(4, 1), 1);
    assert!(table.in_touch(now), "5 of 9");
    assert!(!table.in_touch(AT(25_001)));
}

// Symptom: a new process with no views of its own routes as if in touch.
// Sequence: it starts while the platform's service is down and meets nobody.
// Cause: it knows no members, so that it alone is a majority.
#[test]
fn in_touch_of_a_newcomer_is_false() {
    assert!(!Table::new(Config::new(), known(0, 1)).in_touch(Time::ZERO));
}

// Symptom: a process that ended is taken for alive.
// Sequence: it is replaced under its name; an old message about it arrives.
// Cause: contacts counted by name alone.
#[test]
fn on_contact_of_an_ended_incarnation_is_ignored() {
    let mut table = table(3);
    table.on_contact(AT(1_000), &known(1, 2), 1);
    table.on_contact(AT(5_000), &known(1, 1), 1);
    assert_eq!(table.incarnation("entry-1"), Some(2));
    assert_eq!(table.last_contact("entry-1"), Some(AT(1_000)));
    table.on_sightings(AT(9_000), [Sighting { member: known(1, 2), age: Duration::from_secs(2) }]);
    assert_eq!(table.last_contact("entry-1"), Some(AT(7_000)));
}

// Symptom: a proxy that routes is taken for cut off.
// Sequence: three of five members are parted from the rest and keep in touch
// with each other; the platform replaces them with three new ones.
// Cause: the rest count a majority of eight, the three still one of five.
#[test]
fn peers_replaced_majority_is_not_cut_off() {
    let mut table = table(5);
    (1..5).for_each(|at| table.on_contact(AT(1_000), &known(at, 1), 1));
    table.on_list(AT(20_000), 2, [0, 1, 5, 6, 7].map(|at| known(at, 1)));
    [1, 5, 6, 7].into_iter().for_each(|at| table.on_contact(AT(20_000), &known(at, 1), 1));
    assert!(table.has_majority(AT(20_000)));
    let peers = table.peers(AT(20_000));
    let cut_off = peers.iter().filter(|peer| peer.cut_off).count();
    assert_eq!(cut_off, 0);
    table.remove("entry-3");
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == known(4, 1)).expect("still known");
    assert!(silent.cut_off, "2 of 4 are left to it");
}

// Symptom: a member isn't called for longer than the isolation limit.
// Sequence: many members, few partners a round, drawn by chance.
// Cause: independent draws leave some out for long.
#[test]
fn partners_of_a_pass_are_all_members() {
    let table = table(100);
    for pass in 0..3 {
        let rounds = pass * 33..(pass + 1) * 33;
        let partners: Vec<Name> = rounds.flat_map(|round| table.partners(round)).collect();
        assert_eq!(partners.len(), 99);
        assert_eq!(partners.iter().collect::<BTreeSet<_>>().len(), 99);
    }
    assert_ne!(table.partners(0), table.partners(33), "a new order in each pass");
}

// Symptom: the same, after the proxy was killed soon after the start.
// Sequence: it called this process, which never called it; it is killed.
// Cause: what it told of its reads is heeded in answers alone.
#[test]
fn peers_only_ever_called_by_is_cut_off() {
    let mut table = table(5);
    table.on_call(AT(1_000), &known(4, 1), 1);
    (1..4).for_each(|at| table.on_contact(AT(15_000), &known(at, 1), 1));
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == known(4, 1)).expect("known");
    assert!(silent.cut_off);
}

// Symptom: a wave never ends after a proxy was killed; the drain waits for one
// that is silent but may be in touch with others.
// Sequence: the list is read again and again at growing revisions; the proxy's
// own reads are always a moment behind; it is killed.
// Cause: it counts as knowing the list only if it has read as far as the last
// read, though the list has long been the same.
#[test]
fn peers_always_a_read_behind_is_cut_off() {
    let mut table = table(5);
    for read in 2..20 {
        table.on_list(AT(read * 100), read, (0..5).map(|at| known(at, 1)));
        (1..5).for_each(|at| table.on_contact(AT(read * 100), &known(at, 1), read - 1));
    }
    (1..4).for_each(|at| table.on_contact(AT(15_000), &known(at, 1), 19));
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == known(4, 1)).expect("known");
    assert!(silent.cut_off);
}
