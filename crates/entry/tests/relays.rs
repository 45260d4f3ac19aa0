//! Choice of the peers that relay calls to the store.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;

use corianderfork_entry::relays::Relays;
use corianderfork_model::Time;

/// Returns the addresses of `count` peers.
fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|port| SocketAddr::from(([10, 0, 0, 1], 7_000 + port))).collect()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

// Guards against an owner whose writes wait for timeouts again and again while the store rejects a
// third of the entry VMs: each call went through a random peer.
#[test]
fn choose_while_a_third_of_the_peers_is_rejected() {
    let peers = peers(48);
    let is_rejected = |peer: &SocketAddr| peer.port().is_multiple_of(3);
    let mut relays = Relays::default();
    let mut failures = 0;
    for call in 0..1_000u64 {
        let random = call.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 7;
        let peer = relays.choose(at(call * 10), &peers, &[], random).expect("there are peers");
        let has_reached = !is_rejected(&peer);
        failures += u32::from(!has_reached);
        relays.note(at(call * 10), peer, has_reached);
    }
    assert!(failures <= 16, "at most each rejected peer once, {failures}");
}

// Guards against the use of a peer that worked before and was cut off since.
#[test]
fn choose_after_the_working_peer_fails() {
    let peers = peers(3);
    let mut relays = Relays::default();
    relays.note(at(0), peers[0], true);
    assert_eq!(relays.choose(at(1), &peers, &[], 5), Some(peers[0]));
    relays.note(at(2), peers[0], false);
    for random in 0..6 {
        assert_ne!(relays.choose(at(3), &peers, &[], random), Some(peers[0]));
    }
}

#[test]
fn choose_without_a_peer_that_left() {
    let all = peers(2);
    let mut relays = Relays::default();
    relays.note(at(0), all[0], true);
    assert_eq!(relays.choose(at(1), &all[1..], &[], 0), Some(all[1]));
}

// Guards against a call that is made through nobody although every peer failed before: the store
// may be back.
#[test]
fn choose_while_all_peers_failed() {
    let peers = peers(2);
    let mut relays = Relays::default();
    peers.iter().for_each(|peer| relays.note(at(0), *peer, false));
    assert!(relays.choose(at(1), &peers, &[], 0).is_some());
    assert_eq!(relays.choose(at(1), &peers, &peers[..1], 0), Some(peers[1]));
    assert_eq!(relays.choose(at(1), &peers, &peers, 0), None);
}

#[test]
fn choose_a_peer_again_after_a_while() {
    let peers = peers(1);
    let mut relays = Relays::default();
    relays.note(at(0), peers[0], false);
    relays.note(at(100), peers[0], true);
    assert_eq!(relays.choose(at(5_000), &peers, &[], 3), Some(peers[0]));
}
