//! Whether proxies have nothing in flight where something is to be taken down.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_coord::drain::{Barrier, Config, Status};
use corianderfork_model::{Name, Time};

use crate::directory::Directory;
use crate::facts::Copy;

/// One barrier for each VM that drains and each copy that is to be stopped.
#[derive(Clone, Debug)]
pub struct Barriers {
    config: Config,
    drains: BTreeMap<Name, Barrier>,
    stops: BTreeMap<Copy, Barrier>,
}

impl Barriers {
    /// No barrier yet.
    pub fn new(config: Config) -> Self {
        Self { config, drains: BTreeMap::new(), stops: BTreeMap::new() }
    }

    /// Whether nothing is in flight on `vm` as of its drain `epoch`.
    pub fn drain(&mut self, now: Time, vm: &Name, epoch: u64, directory: &Directory) -> Status {
        let new = || Barrier::new(self.config, vm.clone(), epoch, now);
        let barrier = self.drains.entry(vm.clone()).or_insert_with(new);
        if barrier.epoch() != epoch {
            *barrier = new();
        }
        for proxy in directory.acked(vm, epoch) {
            barrier.on_ack(&proxy, epoch);
        }
        status(barrier, now, directory)
    }

    /// Whether nothing is in flight on a copy that the record of its VM no
    /// longer has since `revision`.
    ///
    /// A proxy that knows of that record sends the copy nothing new; if it
    /// tells of no load there either, the copy is clear of it for good.
    pub fn stop(&mut self, now: Time, copy: &Copy, revision: u64, directory: &Directory) -> Status {
        let new = || Barrier::new(self.config, copy.0.clone(), revision, now);
        let barrier = self.stops.entry(copy.clone()).or_insert_with(new);
        if barrier.epoch() != revision {
            *barrier = new();
        }
        for (proxy, told) in directory.told(now, Duration::MAX) {
            let here = |load: &&corianderfork_wire::peer::Load| {
                load.vm == copy.0.as_str() && load.service == copy.1.as_str()
            };
            let busy = told.loads.iter().filter(here).any(|load| load.in_flight > 0);
            if told.store_revision >= revision && !busy {
                barrier.on_ack(&proxy, revision);
            }
        }
        status(barrier, now, directory)
    }

    /// Drops the barriers of VMs not in `draining` and copies not in
    /// `stopping`.
    pub fn retain(&mut self, draining: &BTreeSet<Name>, stopping: impl Fn(&Copy) -> bool) {
        self.drains.retain(|vm, _| draining.contains(vm));
        self.stops.retain(|copy, _| stopping(copy));
    }
}

fn status(barrier: &mut Barrier, now: Time, directory: &Directory) -> Status {
    for (proxy, since) in directory.proxies_since() {
        barrier.set_known_since(&proxy, since);
    }
    barrier.status(now, &directory.proxies(now))
}
