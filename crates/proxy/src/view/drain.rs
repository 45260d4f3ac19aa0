//! Operators' wishes that VMs be drained.

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Entry};
use corianderfork_wire::peer;

use super::{Effect, View, routed};

/// An operator's wish that a VM be drained, as last heard of.
///
/// Without it a drain that was accepted just before the store went down (or the
/// controller died) would reach no proxy: the VM's record still says that it
/// serves, and the VM gets requests for the whole outage. The wish itself is
/// heeded, so that only one process has to have heard of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Wish {
    /// The revision of the wish or of its end.
    pub(super) revision: u64,
    /// The record, while the wish holds.
    pub(super) value: Option<String>,
}

impl View {
    /// The wishes that hold and that no VM's record shows yet, to be told to
    /// peers. The others are told of as leaving, with the epoch of their drain.
    pub fn wishes(&self) -> Vec<peer::Record> {
        let unseen = self.held().filter(|(vm, ..)| self.takes_work(vm));
        unseen.map(record).collect()
    }

    /// Applies wishes that a peer told of.
    ///
    /// A process that is cut off from the store hears of a drain in time only
    /// here: it asks for all records only once the store has been silent for
    /// some seconds, and requests would reach the VM for as long.
    ///
    /// What is not newer than what this process read is over: it would have
    /// been in that read, and a peer that lags still tells of it.
    pub fn on_wishes(&mut self, wishes: &[peer::Record]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced;
        for wish in wishes.iter().filter(|wish| wish.revision > synced) {
            let vm = wish.key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok());
            let Some(vm) = vm else { continue };
            self.offer_wish(vm, Some(wish.value.clone()), wish.revision, &mut effects);
        }
        effects
    }

    /// Applies a read of all operators' drains. One that isn't newer than what this process
    /// read of all records is over, or known; those that are gone are left to such a read.
    pub fn on_drains(&mut self, drains: &[Entry]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced;
        for entry in drains.iter().filter(|entry| entry.revision.0 > synced) {
            self.put(entry, &mut effects);
        }
        effects
    }

    /// Applies changes of operators' drains. Up to where all records are known stays as it
    /// is: others may have changed meanwhile.
    pub fn on_drain_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        self.apply_changes(changes)
    }

    pub(super) fn drop_wishes(
        &mut self,
        revision: u64,
        has: impl Fn(&str) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        let over = self.held().filter(|(vm, ..)| !has(&key::drain(vm)));
        let over: Vec<Name> = over.map(|(vm, ..)| vm.clone()).collect();
        for vm in over {
            self.offer_wish(vm, None, revision, effects);
        }
    }

    pub(super) fn offer_wish(
        &mut self,
        vm: Name,
        value: Option<String>,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let wish = self.wishes.entry(vm.clone()).or_default();
        if revision <= wish.revision {
            return;
        }
        let holds = value.is_some();
        if holds || wish.value.is_some() {
            effects.push(Effect::Wish { vm: vm.clone(), revision, holds });
        }
        *wish = Wish { revision, value };
        let Some(register) = self.vms.get(&vm) else { return };
        let Some(Some(row)) = register.get() else { return };
        effects.push(Effect::Vm(routed(&vm, &row.vm, register.revision(), Some(wish))));
    }

    /// The wishes that hold, as a peer is sent them.
    pub(super) fn wish_records(&self) -> impl Iterator<Item = peer::Record> {
        self.held().map(record)
    }

    fn held(&self) -> impl Iterator<Item = (&Name, u64, &String)> {
        let wishes = self.wishes.iter();
        wishes.filter_map(|(vm, wish)| Some((vm, wish.revision, wish.value.as_ref()?)))
    }

    fn takes_work(&self, vm: &Name) -> bool {
        let Some(Some(row)) = self.vms.get(vm).and_then(|row| row.get()) else { return false };
        row.vm.phase.takes_work()
    }
}

fn record((vm, revision, value): (&Name, u64, &String)) -> peer::Record {
    peer::Record { key: key::drain(vm), value: value.clone(), revision }
}
