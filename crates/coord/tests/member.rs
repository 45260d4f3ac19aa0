//! Contacts, incarnations, majorities and partners.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Sighting, Table};
use corianderfork_model::{Name, Time};

const AT: fn(u64) -> Time = Time::from_millis;

fn identity(at: usize, incarnation: u64) -> Identity {
    Identity::new(Name::new(&format!("entry-{at}")).expect("a name"), incarnation)
}

fn table(members: usize) -> Table {
    let mut table = Table::new(Config::new(), identity(0, 1));
    table.on_list(Time::ZERO, 1, (0..members).map(|at| identity(at, 1)));
    table
}

#[test]
fn in_touch_without_store_needs_a_majority() {
    let mut table = table(9);
    let now = AT(20_000);
    assert!(!table.in_touch(now));
    (1..4).for_each(|at| table.on_contact(AT(15_000), &identity(at, 1), 1));
    (10..20).for_each(|at| table.on_contact(AT(15_000), &identity(at, 1), 1)); // not listed
    assert!(!table.in_touch(now), "4 of 9");
    // Reports show that others are alive, not that this process is in touch.
    table.on_sightings(now, [Sighting { member: identity(5, 1), age: Duration::ZERO }]);
    assert!(!table.in_touch(now));
    table.on_contact(AT(15_000), &identity(4, 1), 1);
    assert!(table.in_touch(now), "5 of 9");
    assert!(!table.in_touch(AT(25_001)));
}

// A process that starts while the platform's service is down, and that reaches
// no other member, knows no members. It must not count as a majority by itself
// and route without a view.
#[test]
fn in_touch_new_process_without_list_is_false() {
    assert!(!Table::new(Config::new(), identity(0, 1)).in_touch(Time::ZERO));
}

// A delayed message about a replaced incarnation must not make the name look
// alive. Contacts that are counted by name alone would.
#[test]
fn on_contact_ended_incarnation_is_ignored() {
    let mut table = table(3);
    table.on_contact(AT(1_000), &identity(1, 2), 1);
    table.on_contact(AT(5_000), &identity(1, 1), 1);
    assert_eq!(table.incarnation("entry-1"), Some(2));
    assert_eq!(table.last_contact("entry-1"), Some(AT(1_000)));
    table.on_sightings(
        AT(9_000),
        [Sighting { member: identity(1, 2), age: Duration::from_secs(2) }],
    );
    assert_eq!(table.last_contact("entry-1"), Some(AT(7_000)));
}

// Three of five members lose contact with the rest but stay in touch with each
// other, and the platform replaces them with three new ones. The rest count a
// majority of eight, while the three still count one of five, so the three may
// route and must not be taken for cut off.
#[test]
fn peers_majority_that_was_replaced_is_not_cut_off() {
    let mut table = table(5);
    (1..5).for_each(|at| table.on_contact(AT(1_000), &identity(at, 1), 1));
    table.on_list(AT(20_000), 2, [0, 1, 5, 6, 7].map(|at| identity(at, 1)));
    [1, 5, 6, 7].into_iter().for_each(|at| table.on_contact(AT(20_000), &identity(at, 1), 1));
    assert!(table.has_majority(AT(20_000)));
    let peers = table.peers(AT(20_000));
    let cut_off = peers.iter().filter(|peer| peer.cut_off).count();
    assert_eq!(cut_off, 0);
    table.remove("entry-3");
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == identity(4, 1)).expect("still known");
    assert!(silent.cut_off, "only 2 of 4 members are left to it");
}

// Independent random draws of a few partners per round can leave a member
// uncalled for longer than the isolation limit.
#[test]
fn partners_one_pass_covers_all_members() {
    let table = table(100);
    for pass in 0..3 {
        let rounds = pass * 33..(pass + 1) * 33;
        let partners: Vec<Name> = rounds.flat_map(|round| table.partners(round)).collect();
        assert_eq!(partners.len(), 99);
        assert_eq!(partners.iter().collect::<BTreeSet<_>>().len(), 99);
    }
    assert_ne!(table.partners(0), table.partners(33), "a new order in each pass");
}

// A proxy that calls this process but was never called by it is killed soon
// after the start. Its reported list revision must count too, or a drain waits
// for it forever because it may be in touch with others.
#[test]
fn peers_member_that_only_calls_is_cut_off() {
    let mut table = table(5);
    table.on_call(AT(1_000), &identity(4, 1), 1);
    (1..4).for_each(|at| table.on_contact(AT(15_000), &identity(at, 1), 1));
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == identity(4, 1)).expect("known");
    assert!(silent.cut_off);
}

// The list is read again and again at growing revisions, and a proxy's own
// reads are always slightly behind when it is killed. If it counted as knowing
// the list only once it had read as far as the latest read, although the list
// has not changed, the drain would wait forever for a silent proxy that may be
// in touch with others, and the wave would never end.
#[test]
fn peers_member_one_read_behind_is_cut_off() {
    let mut table = table(5);
    for read in 2..20 {
        table.on_list(AT(read * 100), read, (0..5).map(|at| identity(at, 1)));
        (1..5).for_each(|at| table.on_contact(AT(read * 100), &identity(at, 1), read - 1));
    }
    (1..4).for_each(|at| table.on_contact(AT(15_000), &identity(at, 1), 19));
    let peers = table.peers(AT(20_000));
    let silent = peers.iter().find(|peer| peer.member == identity(4, 1)).expect("known");
    assert!(silent.cut_off);
}
