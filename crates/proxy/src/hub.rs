//! The state of the core: what actors share on its one thread.
//!
//! An actor that fails is started anew by its supervisor; what is known about
//! the fleet must outlive it, so it is kept here and not in the actors.

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
use crate::shared::{Shared, WORD};
use crate::view::{Effect, View};

/// What the core's actors share.
#[derive(Debug)]
pub struct Hub {
    /// What the threads of the data path share with the core.
    pub shared: Arc<Shared>,
    /// The shared records.
    pub view: RefCell<View>,
    /// The other processes.
    pub members: RefCell<Members>,
    /// When all records were last read from the store, or nothing changed.
    pub synced: Cell<Option<Time>>,
    /// Wakes the reader of the store.
    pub waker: Waker,
}

impl Hub {
    /// Knows nothing but itself.
    pub fn new(shared: Arc<Shared>, members: Members) -> Rc<Self> {
        let (view, members) = (RefCell::default(), RefCell::new(members));
        Rc::new(Self { shared, view, members, synced: Cell::new(None), waker: Waker::default() })
    }

    /// This process.
    pub fn me(&self) -> Member {
        self.members.borrow().me().clone()
    }

    /// Whether `holder` is this process.
    pub fn is_me(&self, holder: &Holder) -> bool {
        let members = self.members.borrow();
        members.me().name == holder.name && members.me().incarnation == holder.incarnation
    }

    /// Applies a read of all records, sent at `sent`.
    pub fn on_range(&self, sent: Time, range: &Range) {
        let effects = self.view.borrow_mut().on_range(range);
        self.apply("the store", effects);
        self.on_synced(sent);
    }

    /// Applies changes of a watch that was sent at `sent`.
    pub fn on_changes(&self, sent: Time, changes: &Changes) {
        let effects = self.view.borrow_mut().on_changes(changes);
        self.apply("the store", effects);
        self.on_synced(sent);
    }

    /// Applies a read of all operators' drains.
    pub fn on_drains(&self, drains: &[Entry]) {
        let effects = self.view.borrow_mut().on_drains(drains);
        self.apply("the store", effects);
    }

    /// Applies changes of operators' drains that a watch saw.
    pub fn on_drain_changes(&self, changes: &Changes) {
        let effects = self.view.borrow_mut().on_drain_changes(changes);
        self.apply("the store", effects);
    }

    /// Applies what a peer sent.
    pub fn on_snapshot(&self, snapshot: &peer::SnapshotReply) {
        let effects = self.view.borrow_mut().on_snapshot(snapshot);
        let now = self.shared.clock.now();
        self.members.borrow_mut().on_snapshot(now, self.view.borrow().members());
        self.apply("a peer's records", effects);
        self.meet();
    }

    /// What a peer asks for that knows less.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = self.view.borrow().snapshot(request);
        // With those that the store listed earlier: of all of them a majority
        // is taken.
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

    fn on_synced(&self, sent: Time) {
        self.synced.set(Some(sent));
        let now = self.shared.clock.now();
        let view = self.view.borrow();
        let revision = view.store_revision();
        let gone = self.members.borrow_mut().on_store(now, sent, revision, view.members());
        for name in gone {
            self.shared.gate.forget(&name);
        }
        self.meet();
        self.touch(now);
    }

    fn meet(&self) {
        let me = self.me();
        let view = self.view.borrow();
        let proxies = view.members().filter(|m| m.role == Role::Proxy && m.name != me.name);
        proxies.for_each(|member| self.shared.gate.meet(&member.name));
    }

    /// Tells the data path whether this process is in touch.
    pub fn touch(&self, now: Time) {
        let members = self.members.borrow();
        // The word holds for a while, so it is asked for the end of that.
        if members.in_touch(now + WORD) {
            self.shared.set_in_touch(now);
        }
        self.shared.metrics.set(Gauge::Members, members.len() as u64);
    }

    /// Does what news asks for; `from` says in the log who brought it.
    fn apply(&self, from: &str, effects: Vec<Effect>) {
        let mut republish = false;
        for effect in effects {
            match effect {
                Effect::Config => {
                    self.declare();
                    republish = true;
                }
                Effect::Vm(vm) => {
                    self.shared.gate.set_runners(vm);
                }
                Effect::VmGone(vm, revision) => {
                    self.shared.gate.remove_vm(&vm, revision);
                }
                Effect::Wish { vm, revision, holds } => {
                    ::log::info!(vm = vm.as_str(), revision, holds, from; "an operator's drain");
                }
                Effect::Directory => republish = true,
                Effect::Malformed { key, why } => ::log::error!(key = key.as_str(); "{why}"),
            }
        }
        let view = self.view.borrow();
        if republish {
            self.shared.publish(view.directory());
        }
        // A VM that drains must not be kept from closing by an idle connection.
        let serving: std::collections::HashSet<SocketAddr> = view.serving().collect();
        self.shared.client.retain(|address| serving.contains(address));
        self.shared.metrics.set(Gauge::StoreRevision, view.store_revision());
    }

    fn declare(&self) {
        let view = self.view.borrow();
        let Some(fleet) = view.fleet() else { return };
        for (_, service) in fleet.services() {
            self.shared.gate.set_service(&service.name, service.slots, service.connections);
        }
        self.shared.metrics.set(Gauge::ConfigRevision, view.config_revision());
        ::log::info!(revision = view.config_revision(); "configuration in force");
    }

    /// What this process tells its peers.
    pub fn report(&self) -> peer::Report {
        let view = self.view.borrow();
        let members = self.members.borrow();
        // The loads after the records: what was picked before the records were
        // applied is in them, so that "no load" says "none in flight".
        let loads = self.shared.gate.loads();
        let acks = view.leaving().filter(|(vm, epoch)| self.shared.gate.is_drained(vm, *epoch));
        let acks = acks.map(|(vm, epoch)| peer::Ack { vm: vm.to_string(), epoch }).collect();
        let now = self.shared.clock.now();
        let ejected = loads.report.runners.iter().filter(|runner| runner.ejected).count();
        self.shared.metrics.set(Gauge::Ejected, ejected as u64);
        let mut seen = members.seen(now, view.config_revision(), acks);
        // What is passed on about others serves drains: their confirmations,
        // and when one that is silent was last heard. At rest it would be most
        // of each message, and grow with the members.
        if view.leaving().next().is_none() {
            seen.truncate(1);
        }
        peer::Report {
            from: Some(convert::member(members.me())),
            config_revision: view.config_revision(),
            store_revision: view.store_revision(),
            seen,
            loads: convert::loads(&loads, |key| view.lists(&key.vm, &key.service)),
            leaving: convert::leaving(&loads, |vm| view.revision(vm)),
            suspects: convert::suspects(&loads),
            demands: convert::demands(&loads),
            wishes: view.wishes(),
        }
    }

    fn on_wishes(&self, wishes: &[peer::Record]) {
        let effects = self.view.borrow_mut().on_wishes(wishes);
        if !effects.is_empty() {
            self.apply("a peer's report", effects);
        }
    }

    /// Learns from a peer's report; `sent` as for [`Members::on_report`].
    pub fn on_report(&self, sent: Option<Time>, report: &peer::Report) {
        let now = self.shared.clock.now();
        let from = self.members.borrow_mut().on_report(now, sent, report);
        let Some(from) = from else { return };
        self.waker.wake(report.store_revision);
        self.on_wishes(&report.wishes);
        for leaving in report.leaving.iter().filter(|leaving| leaving.epoch > 0) {
            let Ok(vm) = Name::new(&leaving.vm) else { continue };
            if self.shared.gate.drain(&vm, leaving.epoch) {
                ::log::info!(vm = vm.as_str(), epoch = leaving.epoch, from = from.name.as_str();
                    "learned of a drain from a peer");
            }
        }
        if from.role == Role::Proxy {
            let services: Vec<Name> = self.shared.directory().services.keys().cloned().collect();
            self.shared.gate.peer_load(&from.name, &convert::report(report, &services));
        }
        self.touch(now);
    }
}
