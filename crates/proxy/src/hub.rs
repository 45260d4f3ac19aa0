//! State that the actors share on the core thread.
//!
//! What is known about the fleet must survive the restart of a failed actor, so it is
//! kept here and not in the actors.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::{Holder, Member, Role};
use corianderfork_provider::store::{Changes, Entry, Range};
use corianderfork_runtime::sync::Waker;
use corianderfork_wire::peer;

use crate::convert;
use crate::members::Members;
use crate::metrics::Gauge;
use crate::shared::{IN_TOUCH_TTL, Shared};
use crate::view::{Effect, View};

/// The shared state of the actors.
#[derive(Debug)]
pub struct Hub {
    /// State shared with the threads of the data path.
    pub shared: Arc<Shared>,
    /// The view of the shared records.
    pub view: RefCell<View>,
    /// The other processes.
    pub members: RefCell<Members>,
    /// When the last successful read or watch of all records was sent.
    pub last_sync: Cell<Option<Time>>,
    /// Wakes the store readers.
    pub waker: Waker,
}

impl Hub {
    /// Creates a hub that knows only this process.
    pub fn new(shared: Arc<Shared>, members: Members) -> Rc<Self> {
        let (view, members) = (RefCell::default(), RefCell::new(members));
        Rc::new(Self { shared, view, members, last_sync: Cell::new(None), waker: Waker::default() })
    }

    /// Returns the member record of this process.
    pub fn me(&self) -> Member {
        self.members.borrow().me().clone()
    }

    /// Returns whether `holder` is this process.
    pub fn is_me(&self, holder: &Holder) -> bool {
        let members = self.members.borrow();
        members.me().name == holder.name && members.me().incarnation == holder.incarnation
    }

    /// Applies a read of all records that was sent at `sent`.
    pub fn on_range(&self, sent: Time, range: &Range) {
        let effects = self.view.borrow_mut().on_range(range);
        self.apply_effects("the store", effects);
        self.record_sync(sent);
    }

    /// Applies changes from a watch that was sent at `sent`.
    pub fn on_changes(&self, sent: Time, changes: &Changes) {
        let effects = self.view.borrow_mut().on_changes(changes);
        self.apply_effects("the store", effects);
        self.record_sync(sent);
    }

    /// Applies a read of drain requests or of the configuration.
    pub fn on_partial_range(&self, entries: &[Entry]) {
        let effects = self.view.borrow_mut().on_partial_range(entries);
        if !effects.is_empty() {
            self.apply_effects("the store", effects);
        }
    }

    /// Applies changes of drain requests or of the configuration from a watch.
    pub fn on_partial_changes(&self, changes: &Changes) {
        let effects = self.view.borrow_mut().on_partial_changes(changes);
        if !effects.is_empty() {
            self.apply_effects("the store", effects);
        }
    }

    /// Applies a snapshot from a peer.
    pub fn on_snapshot(&self, snapshot: &peer::SnapshotReply) {
        let effects = self.view.borrow_mut().on_snapshot(snapshot);
        let now = self.shared.clock.now();
        self.members.borrow_mut().on_snapshot(now, self.view.borrow().members());
        self.apply_effects("a peer's records", effects);
        self.add_proxies_to_gate();
    }

    /// Returns a snapshot for a peer whose records are older.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = self.view.borrow().snapshot(request);
        // Includes members listed earlier, because a majority is taken of all of them.
        for member in self.members.borrow().listed() {
            let key = key::member(member.role, &member.name);
            if reply.members.iter().any(|record| record.key == key) {
                continue;
            }
            if let Ok(value) = serde_json::to_string(member) {
                reply.members.push(peer::Record { key, value, revision: 0 });
            }
        }
        reply
    }

    /// Records that the store responded to a call sent at `sent` for the drain requests of
    /// all VMs. The response has to be applied before.
    pub fn on_store_response(&self, sent: Time) {
        let now = self.shared.clock.now();
        let effects = self.view.borrow_mut().on_contact(sent, now);
        if !effects.is_empty() {
            self.apply_effects("the store", effects);
        }
    }

    /// Records that such a call failed.
    pub fn on_store_failure(&self) {
        self.view.borrow_mut().on_contact_lost();
    }

    fn record_sync(&self, sent: Time) {
        self.last_sync.set(Some(sent));
        let now = self.shared.clock.now();
        let view = self.view.borrow();
        let revision = view.store_revision();
        let removed = self.members.borrow_mut().on_store(now, sent, revision, view.members());
        for name in removed {
            self.shared.gate.remove_proxy(&name);
        }
        self.add_proxies_to_gate();
        self.refresh_in_touch(now);
    }

    fn add_proxies_to_gate(&self) {
        let me = self.me();
        let view = self.view.borrow();
        let proxies = view.members().filter(|m| m.role == Role::Proxy && m.name != me.name);
        proxies.for_each(|member| self.shared.gate.add_proxy(&member.name));
    }

    /// Updates for the data path whether this process is in touch.
    pub fn refresh_in_touch(&self, now: Time) {
        let members = self.members.borrow();
        // The report stays valid for a while, so check the end of that period.
        if members.in_touch(now + IN_TOUCH_TTL) {
            self.shared.set_in_touch(now);
        }
        self.shared.metrics.set(Gauge::Members, members.len() as u64);
    }

    /// Carries out `effects`; `from` is the source for the log.
    fn apply_effects(&self, from: &str, effects: Vec<Effect>) {
        let mut republish = false;
        for effect in effects {
            match effect {
                Effect::Config => {
                    self.apply_config();
                    republish = true;
                }
                Effect::Vm(vm) => {
                    self.shared.gate.set_runners(vm);
                }
                Effect::VmRemoved(vm, revision) => {
                    self.shared.gate.remove_vm(&vm, revision);
                }
                Effect::DrainRequest { vm, revision, active } => {
                    ::log::info!(vm = vm.as_str(), revision, holds = active, from;
                        "drain request of an operator changed");
                }
                Effect::Directory => republish = true,
                Effect::Malformed { key, why } => ::log::error!(key = key.as_str(); "{why}"),
            }
        }
        let view = self.view.borrow();
        if republish {
            self.shared.publish(view.directory());
        }
        // An idle connection must not keep a draining VM from closing.
        let serving: std::collections::HashSet<SocketAddr> = view.serving_addresses().collect();
        self.shared.client.retain(|address| serving.contains(address));
        self.shared.metrics.set(Gauge::StoreRevision, view.store_revision());
    }

    fn apply_config(&self) {
        let view = self.view.borrow();
        let Some(fleet) = view.fleet() else { return };
        for (_, service) in fleet.services() {
            self.shared.gate.set_service(&service.name, service.slots, service.connections);
        }
        self.shared.metrics.set(Gauge::ConfigRevision, view.config_revision());
        ::log::info!(revision = view.config_revision(); "configuration applied");
    }

    /// Returns the report for peers.
    pub fn report(&self) -> peer::Report {
        let view = self.view.borrow();
        let members = self.members.borrow();
        // Read the loads after the records: they then include all requests routed before
        // the records were applied, so that a load of zero means that none is in flight.
        let loads = self.shared.gate.loads();
        let acks = view.leaving().filter(|(vm, epoch)| self.shared.gate.is_drained(vm, *epoch));
        let acks = acks.map(|(vm, epoch)| peer::Ack { vm: vm.to_string(), epoch }).collect();
        let now = self.shared.clock.now();
        let ejected = loads.report.runners.iter().filter(|runner| runner.ejected).count();
        self.shared.metrics.set(Gauge::Ejected, ejected as u64);
        let mut seen = members.seen(now, view.config_revision(), acks);
        // Information about other members is needed only for drains: their confirmations,
        // and when a silent member was last heard from. Otherwise it would be most of
        // each message and grow with the number of members.
        if view.leaving().next().is_none() {
            seen.truncate(1);
        }
        peer::Report {
            from: Some(convert::member(members.me())),
            config_revision: view.config_revision(),
            store_revision: view.store_revision(),
            seen,
            loads: convert::loads(&loads, |key| view.serves(&key.vm, &key.service)),
            leaving: convert::leaving(&loads, |vm| view.revision(vm)),
            suspects: convert::suspects(&loads),
            demands: convert::demands(&loads),
            wishes: view.pending_drains(),
        }
    }

    fn on_peer_drains(&self, drains: &[peer::Record]) {
        let effects = self.view.borrow_mut().on_peer_drains(drains);
        if !effects.is_empty() {
            self.apply_effects("a peer's report", effects);
        }
    }

    /// Applies the report of a peer; `sent` as for [`Members::on_report`].
    pub fn on_report(&self, sent: Option<Time>, report: &peer::Report) {
        let now = self.shared.clock.now();
        let from = self.members.borrow_mut().on_report(now, sent, report);
        let Some(from) = from else { return };
        self.waker.wake(report.store_revision);
        self.on_peer_drains(&report.wishes);
        for leaving in report.leaving.iter().filter(|leaving| leaving.epoch > 0) {
            let Ok(vm) = Name::new(&leaving.vm) else { continue };
            if self.shared.gate.start_drain(&vm, leaving.epoch) {
                ::log::info!(vm = vm.as_str(), epoch = leaving.epoch, from = from.name.as_str();
                    "drain reported by a peer");
            }
        }
        if from.role == Role::Proxy {
            let services: Vec<Name> = self.shared.directory().services.keys().cloned().collect();
            self.shared.gate.apply_peer_report(&from.name, &convert::report(report, &services));
        }
        self.refresh_in_touch(now);
    }
}
