//! The view, fed with records from the store and from peers in any order.
#![allow(clippy::unwrap_used)]

mod support;

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Holder, Member, Phase, Role, Runner, Vm};
use corianderfork_provider::store::{Change, Changes, Entry, Range, Revision};
use corianderfork_proxy::gate::Gate;
use corianderfork_proxy::view::{Effect, SETTLING_PERIOD, View};
use corianderfork_routing::router;
use corianderfork_runtime::clock::Monotonic;
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

fn owner(name: &str, revision: u64) -> Entry {
    let (name, peers) = (name.parse().unwrap(), "127.0.0.1:9".parse().unwrap());
    let holder = Holder { name, incarnation: 1, peers };
    entry(&key::claim_owner(2), serde_json::to_string(&holder).unwrap(), revision)
}

fn owner_name(view: &View) -> Option<&str> {
    view.owner(2).map(|owner| owner.name.as_str())
}

fn member(revision: u64) -> Entry {
    let member = Member {
        name: "e3".parse().unwrap(),
        role: Role::Proxy,
        incarnation: 1,
        data_centre: "kolkata".parse().unwrap(),
        peers: "127.0.0.1:9".parse().unwrap(),
        callers: None,
    };
    let key = key::member(Role::Proxy, &member.name);
    entry(&key, serde_json::to_string(&member).unwrap(), revision)
}

fn deletion(key: &str, revision: u64) -> Changes {
    let revision = Revision(revision);
    Changes { revision, changes: vec![Change { key: key.to_owned(), revision, entry: None }] }
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
fn config_older_is_ignored() {
    // An older configuration must not replace a newer one. It can arrive later, from a
    // slow read of the store or from a peer that was cut off.
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
fn config_malformed_keeps_previous_in_force() {
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
fn vm_older_record_does_not_undo_drain() {
    // A draining VM must get no new work. After the watch reported the drain, an older
    // record can arrive from a read sent before it, or from a peer that lags.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 3)], 3));
    assert_eq!(view.serving_addresses().count(), 1);
    view.on_changes(&changes(vec![vm(Phase::Draining, 1, 7)], 7));
    assert!(view.on_range(&range(vec![vm(Phase::Serving, 0, 3)], 6)).is_empty());
    assert_eq!(view.serving_addresses().count(), 0);
    assert_eq!(view.leaving().map(|(_, epoch)| epoch).collect::<Vec<_>>(), [1]);
    assert_eq!(view.store_revision(), 7);
}

#[test]
fn snapshot_contains_all_records() {
    let mut known = View::default();
    known.on_range(&range(vec![config(CONFIG, 1), vm(Phase::Serving, 0, 2), owner("e1", 4)], 5));
    assert_eq!(owner_name(&known), Some("e1"));
    let mut new = View::default();
    let effects = new.on_snapshot(&known.snapshot(&peer::SnapshotRequest::default()));
    assert!(matches!(effects[..], [Effect::Config, Effect::Vm(_)]), "{effects:?}");
    assert_eq!((new.config_revision(), new.store_revision()), (1, 5));
    let request = peer::SnapshotRequest { config_revision: 1, store_revision: 5 };
    let nothing = known.snapshot(&request);
    assert!(nothing.config.is_empty() && nothing.vms.is_empty());
    // A record that is missing in a later read is removed.
    let effects = new.on_range(&range(vec![config(CONFIG, 1)], 8));
    assert!(matches!(effects[..], [Effect::VmRemoved(_, 8)]), "{effects:?}");
}

// Claims sent to the former owner of a shard are refused until the shard has another one.
#[test]
fn owner_older_record_does_not_replace_newer() {
    let mut view = View::default();
    view.on_range(&range(vec![owner("e1", 3)], 3));
    view.on_changes(&changes(vec![owner("e2", 7)], 7));
    view.on_range(&range(vec![owner("e1", 3)], 6));
    assert_eq!(owner_name(&view), Some("e2"), "a late read");
    view.on_changes(&changes(vec![owner("e1", 3)], 3));
    assert_eq!(owner_name(&view), Some("e2"), "a late watch");
}

// A proxy takes over only shards that it sees without an owner, so a former owner that
// comes back keeps the shard vacant.
#[test]
fn owner_older_record_does_not_undo_deletion() {
    let mut view = View::default();
    view.on_range(&range(vec![owner("e1", 3)], 3));
    view.on_changes(&deletion(&key::claim_owner(2), 7));
    assert_eq!(owner_name(&view), None);
    view.on_range(&range(vec![owner("e1", 3)], 6));
    assert_eq!(owner_name(&view), None, "a late read");
}

// The deletion of the former owner's record must not remove the owner that replaced it:
// claims would be refused though the shard has an owner.
#[test]
fn owner_older_deletion_is_ignored() {
    let mut view = View::default();
    view.on_range(&range(vec![owner("e2", 7)], 7));
    view.on_changes(&deletion(&key::claim_owner(2), 5));
    assert_eq!(owner_name(&view), Some("e2"));
}

// Members that ended must not be listed again: they would stay in the table of members,
// since the store reports no further deletion.
#[test]
fn member_older_record_does_not_undo_deletion() {
    let mut view = View::default();
    view.on_range(&range(vec![member(3)], 3));
    view.on_changes(&deletion(&member(3).key, 7));
    view.on_range(&range(vec![member(3)], 6));
    assert_eq!(view.members().count(), 0);
    view.on_changes(&changes(vec![member(9)], 9));
    assert_eq!(view.members().count(), 1, "it registered again");
}

// Peers report all members that the store once listed, those that ended with revision 0.
// A process that has seen the deletion must not list such a member again.
#[test]
fn member_listed_earlier_by_peer_stays_deleted() {
    let mut view = View::default();
    view.on_range(&range(vec![member(3)], 3));
    view.on_changes(&deletion(&member(3).key, 7));
    let ended = peer::Record { revision: 0, ..record(&member(3)) };
    let snapshot =
        peer::SnapshotReply { store_revision: 8, members: vec![ended], ..Default::default() };
    view.on_snapshot(&snapshot);
    assert_eq!(view.members().count(), 0);
    // A process that starts while the store is down needs it for a majority.
    let mut new = View::default();
    new.on_snapshot(&snapshot);
    assert_eq!(new.members().count(), 1);
}

// A member that registered after a read must survive the absence from that read.
#[test]
fn member_newer_than_read_is_kept() {
    let mut view = View::default();
    let snapshot = peer::SnapshotReply {
        store_revision: 5,
        members: vec![record(&member(7))],
        ..Default::default()
    };
    view.on_snapshot(&snapshot);
    view.on_range(&range(Vec::new(), 6));
    assert_eq!(view.members().count(), 1);
}

// A member or an owner that is missing in a read is gone even if a peer's snapshot, which
// does not list owners and removes no members, was newer than the read.
#[test]
fn range_older_than_snapshot_removes_members_and_owners() {
    let mut view = View::default();
    view.on_range(&range(vec![member(3), owner("e3", 4)], 4));
    let snapshot = peer::SnapshotReply { store_revision: 12, ..Default::default() };
    view.on_snapshot(&snapshot);
    view.on_range(&range(Vec::new(), 10));
    assert_eq!((view.members().count(), owner_name(&view)), (0, None));
}

fn record(entry: &Entry) -> peer::Record {
    let (key, value) = (entry.key.clone(), entry.value.clone());
    peer::Record { key, value, revision: entry.revision.0 }
}

fn drain_request(revision: u64) -> Entry {
    entry("shared/drain/v01", r#"{"by":"asha","reason":"fan"}"#.to_owned(), revision)
}

fn last_vm(effects: &[Effect]) -> Option<corianderfork_routing::view::Vm> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Vm(vm) => Some(vm.clone()),
        _ => None,
    })
}

fn router_vm(revision: u64, serving: bool) -> corianderfork_routing::view::Vm {
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
fn drain_request_without_controller_stops_serving() {
    // A VM whose drain was accepted must get no requests, even if the store goes down
    // before a controller has changed the record of the VM. Withdrawing the request ends
    // the drain.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    let effects = view.on_changes(&changes(vec![drain_request(7)], 7));
    assert_eq!(last_vm(&effects), Some(router_vm(7, false)));
    let end = Change { key: "shared/drain/v01".to_owned(), revision: Revision(9), entry: None };
    let effects = view.on_changes(&Changes { revision: Revision(9), changes: vec![end] });
    assert_eq!(last_vm(&effects), Some(router_vm(9, true)));
}

fn withdrawal(revision: u64) -> Changes {
    let revision = Revision(revision);
    let change = Change { key: "shared/drain/v01".to_owned(), revision, entry: None };
    Changes { revision, changes: vec![change] }
}

/// When the store responds again after an outage.
const RETURNED: Time = Time::from_millis(1_000);

/// Has the store respond after an outage, and to a call that is sent a settling period later.
fn settle(view: &mut View) -> Vec<Effect> {
    assert_eq!(view.on_contact(RETURNED, RETURNED), []);
    let settled = RETURNED + SETTLING_PERIOD;
    view.on_contact(settled, settled)
}

/// Returns a view with a drain that was requested at revision 7 and withdrawn at 9, during
/// an outage.
fn withdrawn() -> View {
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    view.on_changes(&changes(vec![drain_request(7)], 7));
    view.on_contact_lost();
    assert_eq!(view.on_changes(&withdrawal(9)), []);
    view
}

#[test]
fn drain_withdrawn_after_an_outage_holds_until_contact_has_settled() {
    // Guards against a VM getting requests for a whole outage: its drain is withdrawn and
    // requested again while the store is back only briefly, and no process knows of the
    // latter. A response shows the store at the time of the call, however late it arrives.
    let mut view = withdrawn();
    let (soon, late) = (RETURNED + SETTLING_PERIOD / 2, RETURNED + SETTLING_PERIOD * 9);
    assert_eq!(view.on_contact(RETURNED, RETURNED), []);
    assert_eq!(view.on_contact(RETURNED, late), []);
    assert_eq!(view.on_contact(soon, late), []);
    let vm = "v01".parse().unwrap();
    let end = Effect::DrainRequest { vm, revision: 9, active: false };
    let effects = view.on_contact(RETURNED + SETTLING_PERIOD, late);
    assert_eq!(effects, [Effect::Vm(router_vm(9, true)), end]);
    assert_eq!(view.on_contact(late, late), [], "ended twice");
}

#[test]
fn drain_withdrawn_holds_over_the_next_outage() {
    // The period in contact begins anew with each outage.
    let mut view = withdrawn();
    view.on_contact(RETURNED, RETURNED);
    view.on_contact_lost();
    let again = RETURNED + SETTLING_PERIOD;
    assert_eq!(view.on_contact(again, again), []);
    let settled = again + SETTLING_PERIOD;
    assert_eq!(last_vm(&view.on_contact(settled, settled)), Some(router_vm(9, true)));
}

#[test]
fn drain_requested_again_while_settling_holds() {
    // The end of the first request must not end the second one.
    let mut view = withdrawn();
    let effects = view.on_changes(&changes(vec![drain_request(11)], 11));
    assert_eq!(last_vm(&effects), Some(router_vm(11, false)));
    assert_eq!(settle(&mut view), []);
    assert_eq!(view.pending_drains().len(), 1);
}

#[test]
fn drain_settling_is_not_reported_to_peers() {
    // A peer must not take a withdrawn request for an active one, nor may the report of a
    // peer that lags make it active here.
    let mut view = withdrawn();
    assert_eq!(view.pending_drains(), []);
    let snapshot = view.snapshot(&peer::SnapshotRequest::default());
    assert_eq!(snapshot.members, []);
    let mut lagging = View::default();
    lagging.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    lagging.on_changes(&changes(vec![drain_request(7)], 7));
    lagging.on_contact_lost();
    assert_eq!(view.on_peer_drains(&lagging.pending_drains()), []);
    // The peer hears of the withdrawal from the snapshot, and its drain holds as well.
    assert_eq!(lagging.on_snapshot(&snapshot), []);
    assert_eq!(lagging.pending_drains(), []);
    assert_eq!(last_vm(&settle(&mut lagging)), Some(router_vm(9, true)));
}

#[test]
fn drain_withdrawn_by_a_peers_snapshot_settles() {
    // Guards against a process that hasn't noticed yet that the store is silent, and ends a
    // drain at the word of a peer that missed its renewal.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    view.on_changes(&changes(vec![drain_request(7)], 7));
    let mut peer = View::default();
    peer.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 9));
    let request = peer::SnapshotRequest { store_revision: 7, ..Default::default() };
    assert_eq!(view.on_snapshot(&peer.snapshot(&request)), []);
    assert_eq!(last_vm(&settle(&mut view)), Some(router_vm(9, true)));
}

#[test]
fn drain_settling_keeps_changed_record_from_router() {
    // The router applies a revision once: if it were given a changed record while the
    // drain holds, it would ignore the end of the drain, and the VM would get no requests.
    let mut view = withdrawn();
    assert_eq!(view.on_changes(&changes(vec![vm(Phase::Serving, 0, 12)], 12)), []);
    assert_eq!(last_vm(&settle(&mut view)), Some(router_vm(12, true)));
    // A record that takes no work doesn't wait.
    let mut view = withdrawn();
    let effects = view.on_changes(&changes(vec![vm(Phase::Draining, 1, 12)], 12));
    assert_eq!(last_vm(&effects), Some(router_vm(12, false).epoch(1)));
    assert_eq!(last_vm(&settle(&mut view)), Some(router_vm(12, false).epoch(1)));
}

#[test]
fn drain_settling_leaves_revision_of_withdrawal_to_its_end() {
    // Guards against a VM that gets no requests for good: the router applies a revision once.
    // If it were given an older record with the revision of the withdrawal, which a reader
    // of drains heard of first, it would ignore the end of the drain.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 2)], 2));
    view.on_contact_lost();
    view.on_partial_changes(&changes(vec![drain_request(7)], 7));
    view.on_partial_changes(&withdrawal(9));
    let effects = view.on_changes(&changes(vec![vm(Phase::Draining, 1, 4)], 4));
    assert_eq!(last_vm(&effects), Some(router_vm(4, false).epoch(1)));
    assert_eq!(view.on_changes(&changes(vec![vm(Phase::Serving, 1, 6)], 6)), []);
    assert_eq!(last_vm(&settle(&mut view)), Some(router_vm(9, true).epoch(1)));
}

#[test]
fn drain_changes_older_than_last_read_are_ignored() {
    // Guards against a VM that gets no requests for good: a full read that shows a drain
    // neither requested nor withdrawn overtakes a watch that shows it requested. The withdrawal
    // is reported no more if the store has discarded that history.
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 20));
    assert_eq!(view.on_partial_changes(&changes(vec![drain_request(7)], 8)), []);
    assert_eq!(view.pending_drains(), []);
}

#[test]
fn drain_request_in_snapshot_reaches_cut_off_proxy() {
    // A proxy that is cut off from the store must learn of a drain request from the
    // snapshot of a peer; the record of the VM does not show the drain yet.
    let (mut cut_off, mut peer) = (View::default(), View::default());
    let start = range(vec![vm(Phase::Serving, 0, 4)], 4);
    cut_off.on_range(&start);
    peer.on_range(&start);
    peer.on_changes(&changes(vec![drain_request(7)], 7));
    let snapshot_request = peer::SnapshotRequest { store_revision: 4, ..Default::default() };
    let effects = cut_off.on_snapshot(&peer.snapshot(&snapshot_request));
    assert_eq!(last_vm(&effects), Some(router_vm(7, false)));
}

#[test]
fn drain_request_in_report_reaches_cut_off_proxy() {
    // A proxy that is cut off from the store must learn of a drain request from the
    // report of a peer: it requests a snapshot only after the store has been silent for
    // some seconds.
    let (mut cut_off, mut peer) = (View::default(), View::default());
    let start = range(vec![vm(Phase::Serving, 0, 4)], 4);
    cut_off.on_range(&start);
    peer.on_range(&start);
    peer.on_changes(&changes(vec![drain_request(7)], 7));
    let effects = cut_off.on_peer_drains(&peer.pending_drains());
    assert_eq!(last_vm(&effects), Some(router_vm(7, false)));
    assert_eq!(cut_off.on_peer_drains(&peer.pending_drains()), [], "reported twice");
    assert_eq!(cut_off.pending_drains(), peer.pending_drains(), "forwarded");
    // The record now shows the drain, with an epoch.
    peer.on_changes(&changes(vec![vm(Phase::Draining, 1, 8)], 8));
    assert_eq!(peer.pending_drains(), []);
}

// A watch of drain requests must not advance the synced revision, or records that changed
// meanwhile would never be read.
#[test]
fn drain_changes_keep_store_revision() {
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    let effects = view.on_partial_changes(&changes(vec![drain_request(7)], 7));
    assert_eq!(last_vm(&effects), Some(router_vm(7, false)));
    assert_eq!(view.store_revision(), 4);
    assert_eq!(view.on_changes(&changes(vec![drain_request(7)], 7)), [], "reported twice");
}

// A drain request withdrawn before the last read of all records must not take effect
// again, or the VM would get no requests.
#[test]
fn drains_older_than_last_read_are_ignored() {
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 9));
    assert_eq!(view.on_partial_range(&[drain_request(7)]), []);
    assert_eq!(last_vm(&view.on_partial_range(&[drain_request(11)])), Some(router_vm(11, false)));
}

#[test]
fn drain_withdrawn_is_not_restored_by_lagging_peer() {
    // A withdrawn drain request, reported by a peer that is cut off, must not be taken
    // for a new one by a proxy that started later; the VM would get no requests from it
    // forever.
    let (mut new, mut lagging) = (View::default(), View::default());
    lagging.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    lagging.on_changes(&changes(vec![drain_request(7)], 7));
    new.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 9));
    assert_eq!(new.on_peer_drains(&lagging.pending_drains()), []);
    assert_eq!(new.pending_drains(), []);
}

#[test]
fn snapshot_with_a_record_newer_than_its_drain() {
    // Guards against a proxy that sends requests to a drained VM because the router, which
    // applies a revision once, was given the VM's record before the drain.
    let mut peer = View::default();
    peer.on_range(&range(vec![drain_request(7), vm(Phase::Serving, 0, 9)], 12));
    let mut view = View::default();
    view.on_range(&range(vec![vm(Phase::Serving, 0, 4)], 4));
    let request = peer::SnapshotRequest { store_revision: 4, ..Default::default() };
    let effects = view.on_snapshot(&peer.snapshot(&request));
    let vms = effects.iter().filter_map(|effect| match effect {
        Effect::Vm(vm) => Some(vm.clone()),
        _ => None,
    });
    assert_eq!(vms.collect::<Vec<_>>(), [router_vm(7, false), router_vm(9, false)]);
}

#[test]
fn drain_request_older_than_a_record_reaches_router() {
    // Guards against a proxy that sends requests to a drained VM for a whole outage: a
    // controller that did not know of the drain wrote the VM's record after it, and reports it
    // in a snapshot before a peer reports the drain.
    let gate = Gate::new(Monotonic::start(), "e1".parse().unwrap(), router::Config::default(), 4);
    let mut view = View::default();
    let snapshot = peer::SnapshotReply {
        store_revision: 10,
        vms: vec![record(&vm(Phase::Serving, 0, 12))],
        ..Default::default()
    };
    let mut effects = view.on_snapshot(&snapshot);
    effects.extend(view.on_peer_drains(&[record(&drain_request(11))]));
    for effect in effects {
        if let Effect::Vm(vm) = effect {
            gate.set_runners(vm);
        }
    }
    assert!(gate.is_drained(&"v01".parse().unwrap(), 0));
}
