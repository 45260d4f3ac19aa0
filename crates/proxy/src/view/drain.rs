//! Operators' drain requests.

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Entry};
use corianderfork_wire::peer;

use super::{Effect, View, router_vm};

/// The newest known drain request of an operator for a VM.
///
/// Without it, a drain accepted just before the store went down (or the controller died)
/// would reach no proxy: the record of the VM still says that it serves, and the VM gets
/// requests for the whole outage. Proxies act on the request itself, so that only one
/// process needs to have seen it.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRequest {
    /// The revision at which the request was made or withdrawn.
    pub(super) revision: u64,
    /// The record, while the request is active.
    pub(super) value: Option<String>,
}

impl View {
    /// Returns the active drain requests that no VM record reflects yet, for peers. The
    /// others are reported as leaving VMs, with the epoch of their drain.
    pub fn pending_drains(&self) -> Vec<peer::Record> {
        let pending = self.active_drains().filter(|(vm, ..)| self.takes_work(vm));
        pending.map(record).collect()
    }

    /// Applies drain requests reported by a peer.
    ///
    /// For a process that is cut off from the store, this is the only quick way to learn
    /// of a drain: it requests a snapshot only after the store has been silent for some
    /// seconds, and requests would reach the VM until then.
    ///
    /// A request that is not newer than the last read of this process has been withdrawn:
    /// that read would have included it, and the peer lags behind.
    pub fn on_peer_drains(&mut self, drains: &[peer::Record]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced_revision;
        for request in drains.iter().filter(|request| request.revision > synced) {
            let vm = request.key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok());
            let Some(vm) = vm else { continue };
            self.offer_drain(vm, Some(request.value.clone()), request.revision, &mut effects);
        }
        effects
    }

    /// Applies a read of all operators' drain requests. A request that is not newer than
    /// the last read of all records is withdrawn or already known; withdrawn ones are
    /// left to such a read.
    pub fn on_drains(&mut self, drains: &[Entry]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced_revision;
        for entry in drains.iter().filter(|entry| entry.revision.0 > synced) {
            self.apply_entry(entry, &mut effects);
        }
        effects
    }

    /// Applies changes of operators' drain requests. The synced revision does not change,
    /// because other records may have changed as well.
    pub fn on_drain_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        self.apply_changes(changes)
    }

    pub(super) fn remove_missing_drains(
        &mut self,
        revision: u64,
        is_present: impl Fn(&str) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        let withdrawn = self.active_drains().filter(|(vm, ..)| !is_present(&key::drain(vm)));
        let withdrawn: Vec<Name> = withdrawn.map(|(vm, ..)| vm.clone()).collect();
        for vm in withdrawn {
            self.offer_drain(vm, None, revision, effects);
        }
    }

    pub(super) fn offer_drain(
        &mut self,
        vm: Name,
        value: Option<String>,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = self.drain_requests.entry(vm.clone()).or_default();
        if revision <= request.revision {
            return;
        }
        let active = value.is_some();
        if active || request.value.is_some() {
            effects.push(Effect::DrainRequest { vm: vm.clone(), revision, active });
        }
        *request = DrainRequest { revision, value };
        let Some(register) = self.vms.get(&vm) else { return };
        let Some(Some(stored)) = register.get() else { return };
        effects.push(Effect::Vm(router_vm(&vm, &stored.vm, register.revision(), Some(request))));
    }

    /// Returns the active drain requests in their wire form.
    pub(super) fn drain_records(&self) -> impl Iterator<Item = peer::Record> {
        self.active_drains().map(record)
    }

    fn active_drains(&self) -> impl Iterator<Item = (&Name, u64, &String)> {
        let requests = self.drain_requests.iter();
        requests.filter_map(|(vm, request)| Some((vm, request.revision, request.value.as_ref()?)))
    }

    fn takes_work(&self, vm: &Name) -> bool {
        let Some(Some(stored)) = self.vms.get(vm).and_then(|stored| stored.get()) else {
            return false;
        };
        stored.vm.phase.takes_work()
    }
}

fn record((vm, revision, value): (&Name, u64, &String)) -> peer::Record {
    peer::Record { key: key::drain(vm), value: value.clone(), revision }
}
