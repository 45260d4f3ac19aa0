//! Records from the store and from peers, in any order.
#![allow(clippy::unwrap_used)]

mod support;

use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Holder, Phase, Runner, Vm};
use corianderfork_provider::store::{Change, Changes, Entry, Range, Revision};
use corianderfork_proxy::view::{Effect, View};
use corianderfork_wire::peer;
use support::fleet::CONFIG;

fn entry(key: &str, value: String, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value, revision: Revision(revision), lease: None }
}

fn config(text: &str, revision: u64) -> Entry {
    let (by, note, token) = (String::new(), String::new(), String::new());
    let config = Config { text: text.to_owned(), by, note, token };
    entry(key::CONFIG, serde_json::to_string(&config).unwrap(), revision)
}

fn vm(phase: Phase, epoch: u64, revision: u64) -> Entry {
    let runners = vec![Runner {
        service: "transfer".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
    }];
    let vm = Vm {
        pool: "registry".parse().unwrap(),
        phase,
        epoch,
        runners,
        reason: String::new(),
        since_ms: 0,
        maintained_ms: 0,
        moving_to: None,
    };
    entry("shared/vm/v01", serde_json::to_string(&vm).unwrap(), revision)
}

fn changes(entries: Vec<Entry>, revision: u64) -> Changes {
    let change = |entry: Entry| Change {
        key: entry.key.clone(),
        revision: entry.revision,
        entry: Some(entry),
    };
    Changes { revision: Revision(revision), changes: entries.into_iter().map(change).collect() }
}

fn range(entries: Vec<Entry>, revision: u64) -> Range {
    Range { revision: Revision(revision), entries }
}

#[test]
fn config_older_never_comes_back() {
    // Symptom: an accepted configuration is undone by nobody.
    // Sequence: a newer one came from a peer; then the read of a store that
    // answered late, and a peer that was cut off, bring the older one.
    // Cause: the message heard last wins.
    let mut view = View::default();
    let newer = CONFIG.replace("licences = 2", "licences = 3");
    let snapshot =
        peer::SnapshotReply { config_revision: 9, config: newer, ..peer::SnapshotReply::default() };
    assert_eq!(view.on_snapshot(&snapshot), [Effect::Config]);
    assert!(view.on_range(&range(vec![config(CONFIG, 5)], 6)).is_empty());
    let stale = peer::SnapshotReply {
        config_revision: 8,
        config: CONFIG.to_owned(),
        ..peer::SnapshotReply::default()
    };
    assert!(view.on_snapshot(&stale).is_empty());
    assert_eq!(view.config_revision(), 9);
    let licences = view.fleet().unwrap().services().next().unwrap().1.licences;
    assert_eq!(licences, 3);
}

#[test]
fn config_malformed_leaves_the_one_before_in_force() {
    let mut view = View::default();
    view.on_range(&range(vec![config(CONFIG, 1)], 1));
    for (text, revision) in [("[fleet", 2), ("[service.x]\npool = none\n", 3)] {
        let effects = view.on_changes(&changes(vec![config(text, revision)], revision));
        assert!(matches!(&effects[..], [Effect::Malformed { key, .. }] if key == key::CONFIG));
    }
    let effects = view.on_changes(&changes(vec![entry(key::CONFIG, "{".to_owned(), 4)], 4));
    assert!(matches!(effects[..], [Effect::Malformed { .. }]), "{effects:?}");
    assert_eq!(view.config_revision(), 1);
    assert_eq!(view.on_changes(&changes(vec![config(CONFIG, 5)], 5)), [Effect::Config]);
}

#[test]
fn vm_older_record_does_not_undo_a_drain() {
    // Symptom: a draining VM gets new work.
    // Sequence: the drain comes by the watch, then a read that was sent before
    // it, or a peer that had not heard of it.
    // Cause: the record heard last wins.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 3)], 3));
    assert_eq!(view.serving().count(), 1);
    view.on_changes(&changes(vec![vm(Phase::Draining, 1, 7)], 7));
    assert!(view.on_range(&range(vec![vm(Phase::Serving, 0, 3)], 6)).is_empty());
    assert_eq!(view.serving().count(), 0);
    assert_eq!(view.leaving().map(|(_, epoch)| epoch).collect::<Vec<_>>(), [1]);
    assert_eq!(view.store_revision(), 7);
}

#[test]
fn snapshot_brings_all_to_a_new_process() {
    let mut known = View::default();
    let holder = Holder {
        name: "e1".parse().unwrap(),
        incarnation: 1,
        peers: "127.0.0.1:9".parse().unwrap(),
    };
    let owner = entry(&key::claim_owner(2), serde_json::to_string(&holder).unwrap(), 4);
    known.on_range(&range(vec![config(CONFIG, 1), vm(Phase::Serving, 0, 2), owner], 5));
    assert_eq!(known.owner(2), Some(&holder));
    let mut new = View::default();
    let effects = new.on_snapshot(&known.snapshot(&peer::SnapshotRequest::default()));
    assert!(matches!(effects[..], [Effect::Config, Effect::Vm(_)]), "{effects:?}");
    assert_eq!((new.config_revision(), new.store_revision()), (1, 5));
    let request = peer::SnapshotRequest { config_revision: 1, store_revision: 5 };
    let nothing = known.snapshot(&request);
    assert!(nothing.config.is_empty() && nothing.vms.is_empty());
    // A record that is gone in the store is gone here as well.
    let effects = new.on_range(&range(vec![config(CONFIG, 1)], 8));
    assert!(matches!(effects[..], [Effect::VmGone(_, 8)]), "{effects:?}");
}

fn wish(revision: u64) -> Entry {
    entry("shared/drain/v01", r#"{"by":"asha","reason":"fan"}"#.to_owned(), revision)
}

fn last_vm(effects: &[Effect]) -> Option<corianderfork_routing::view::Vm> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Vm(vm) => Some(vm.clone()),
        _ => None,
    })
}

fn routed(revision: u64, serving: bool) -> corianderfork_routing::view::Vm {
    corianderfork_routing::view::Vm::new("v01".parse().unwrap(), revision)
        .epoch(0)
        .serving(serving)
        .runner(corianderfork_routing::view::Runner::new(
            "transfer".parse().unwrap(),
            "127.0.0.1:9".parse().unwrap(),
            true,
        ))
}

#[test]
fn drain_wished_while_no_controller_answers() {
    // Symptom: a VM whose drain was accepted gets requests for the whole
    // outage of the store.
    // Sequence: the wish is written; the store goes down before a controller
    // has changed the VM's record; the wish ends later.
    // Cause: proxies follow VM records alone.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    let effects = view.on_changes(&changes(vec![wish(7)], 7));
    assert_eq!(last_vm(&effects), Some(routed(7, false)));
    let end = Change { key: "shared/drain/v01".to_owned(), revision: Revision(9), entry: None };
    let effects = view.on_changes(&Changes { revision: Revision(9), changes: vec![end] });
    assert_eq!(last_vm(&effects), Some(routed(9, true)));
}

#[test]
fn drain_wished_reaches_a_proxy_that_is_cut_off_by_its_peers() {
    // Symptom: one proxy alone still sends to a drained VM.
    // Sequence: it is cut off from the store; the drain is accepted; a peer
    // sends what it knows.
    // Cause: peers pass on VM records, and the controller has not written yet.
    let (mut cut_off, mut peer) = (View::default(), View::default());
    let start = range(vec![vm(Phase::Serving, 0, 4)], 4);
    cut_off.on_range(&start);
    peer.on_range(&start);
    peer.on_changes(&changes(vec![wish(7)], 7));
    let asked = peer::SnapshotRequest { store_revision: 4, ..Default::default() };
    let effects = cut_off.on_snapshot(&peer.snapshot(&asked));
    assert_eq!(last_vm(&effects), Some(routed(7, false)));
}

#[test]
fn drain_wished_reaches_a_proxy_that_is_cut_off_by_a_report() {
    // Symptom: one proxy alone sends to a drained VM for some seconds.
    // Sequence: it is cut off from the store; the drain is accepted; peers tell
    // what they know, before the controller has written the VM's record.
    // Cause: reports tell of VM records alone, and all records are asked for
    // only once the store has been silent for some seconds.
    let (mut cut_off, mut peer) = (View::default(), View::default());
    let start = range(vec![vm(Phase::Serving, 0, 4)], 4);
    cut_off.on_range(&start);
    peer.on_range(&start);
    peer.on_changes(&changes(vec![wish(7)], 7));
    let effects = cut_off.on_wishes(&peer.wishes());
    assert_eq!(last_vm(&effects), Some(routed(7, false)));
    assert_eq!(cut_off.on_wishes(&peer.wishes()), [], "told again");
    assert_eq!(cut_off.wishes(), peer.wishes(), "passed on");
    // The record says it now, with an epoch.
    peer.on_changes(&changes(vec![vm(Phase::Draining, 1, 8)], 8));
    assert_eq!(peer.wishes(), []);
}

// Guards against records that are never read, since a watch of drains passed them by.
#[test]
fn drain_changes_leave_the_revision_of_all_records() {
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    let effects = view.on_drain_changes(&changes(vec![wish(7)], 7));
    assert_eq!(last_vm(&effects), Some(routed(7, false)));
    assert_eq!(view.store_revision(), 4);
    assert_eq!(view.on_changes(&changes(vec![wish(7)], 7)), [], "told again");
}

// Guards against a VM that gets nothing, for a drain that was taken back before all records
// were read.
#[test]
fn drains_read_before_all_records() {
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 9));
    assert_eq!(view.on_drains(&[wish(7)]), []);
    assert_eq!(last_vm(&view.on_drains(&[wish(11)])), Some(routed(11, false)));
}

#[test]
fn drain_taken_back_is_not_brought_back_by_a_peer_that_lags() {
    // Symptom: a VM that serves again gets nothing from one proxy, for good.
    // Sequence: a proxy starts after a drain was taken back; a peer that is cut
    // off still tells of the wish.
    // Cause: a wish that is not known is taken for a new one.
    let (mut new, mut lagging) = (View::default(), View::default());
    lagging.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    lagging.on_changes(&changes(vec![wish(7)], 7));
    new.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 9));
    assert_eq!(new.on_wishes(&lagging.wishes()), []);
    assert_eq!(new.wishes(), []);
}
