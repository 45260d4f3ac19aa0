//! Operators' drain requests, as exchanged between peers.

use corianderfork_coord::register::Register;
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::Drain;
use corianderfork_wire::peer;

use super::snapshot::{to_entry, to_record};
use super::{View, parse_name};

impl View {
    /// Returns the drain requests that no VM record reflects yet, to be passed
    /// on to peers. The other drains are reported as leaving VMs, with their
    /// epoch.
    pub fn pending_drains(&self) -> Vec<peer::Record> {
        let is_in_service = |vm: &Name| self.vm(vm).is_some_and(|vm| vm.record.phase.takes_work());
        let pending = self.active_drains().filter(|(vm, ..)| is_in_service(vm));
        pending
            .filter_map(|(vm, revision, drain)| to_record(key::drain(vm), drain, revision))
            .collect()
    }

    /// Applies drain requests from a peer, so that they are passed on.
    ///
    /// A request that is not newer than the last read has been removed:
    /// otherwise that read would have returned it. A peer that lags still
    /// reports it.
    pub fn on_peer_drains(&mut self, drains: &[peer::Record]) {
        for drain in drains {
            let Some(vm) = parse_name(&drain.key, key::DRAINS) else { continue };
            let known = self.drains.get(&vm).map_or(0, Register::revision);
            if drain.revision > known.max(self.synced_revision.0) {
                let entry = to_entry(drain);
                self.on_entry(&drain.key, entry.revision, Some(&entry));
            }
        }
    }

    /// Returns all active drain requests as peer records.
    pub(super) fn drain_records(&self) -> impl Iterator<Item = peer::Record> {
        self.active_drains()
            .filter_map(|(vm, revision, drain)| to_record(key::drain(vm), drain, revision))
    }

    fn active_drains(&self) -> impl Iterator<Item = (&Name, u64, &Drain)> {
        let drains = self.drains.iter();
        drains
            .filter_map(|(vm, register)| Some((vm, register.revision(), register.get()?.as_ref()?)))
    }
}
