//! Operators' wishes to drain, as peers tell each other of them.

use corianderfork_coord::register::Register;
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::Drain;
use corianderfork_wire::peer;

use super::snapshot::{entry, record};
use super::{View, name_in};

impl View {
    /// The wishes that hold and that no VM's record shows yet, to be told to
    /// peers. The others are told of as leaving, with the epoch of their drain.
    pub fn wishes(&self) -> Vec<peer::Record> {
        let takes_work = |vm: &Name| self.vm(vm).is_some_and(|vm| vm.record.phase.takes_work());
        let unseen = self.held().filter(|(vm, ..)| takes_work(vm));
        unseen.filter_map(|(vm, revision, wish)| record(key::drain(vm), wish, revision)).collect()
    }

    /// Takes in wishes that a peer told of, so that they are passed on.
    ///
    /// What is not newer than what this process read is over: it would have
    /// been in that read, and a peer that lags still tells of it.
    pub fn on_wishes(&mut self, wishes: &[peer::Record]) {
        for wish in wishes {
            let Some(vm) = name_in(&wish.key, key::DRAINS) else { continue };
            let known = self.drains.get(&vm).map_or(0, Register::revision);
            if wish.revision > known.max(self.complete.0) {
                let entry = entry(wish);
                self.on_entry(&wish.key, entry.revision, Some(&entry));
            }
        }
    }

    /// The wishes that hold, as a peer is sent them.
    pub(super) fn wish_records(&self) -> impl Iterator<Item = peer::Record> {
        self.held().filter_map(|(vm, revision, wish)| record(key::drain(vm), wish, revision))
    }

    fn held(&self) -> impl Iterator<Item = (&Name, u64, &Drain)> {
        let drains = self.drains.iter();
        drains.filter_map(|(vm, one)| Some((vm, one.revision(), one.get()?.as_ref()?)))
    }
}
