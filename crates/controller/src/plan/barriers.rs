//! Tracks whether proxies still have work in flight on VMs that drain and
//! copies that are to be stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_coord::drain::{Barrier, Config, Status};
use corianderfork_model::{Name, Time};

use crate::directory::Directory;
use crate::facts::Copy;

/// A barrier for each VM that drains and each copy that is to be stopped.
#[derive(Clone, Debug)]
pub struct Barriers {
    config: Config,
    drains: BTreeMap<Name, Barrier>,
    stops: BTreeMap<Copy, Barrier>,
}

impl Barriers {
    /// Creates a set without barriers.
    pub fn new(config: Config) -> Self {
        Self { config, drains: BTreeMap::new(), stops: BTreeMap::new() }
    }

    /// Returns whether `vm` has nothing in flight as of the drain `epoch`.
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

    /// Returns whether a copy that is absent from its VM's record since
    /// `revision` has nothing in flight.
    ///
    /// A proxy that knows this record sends the copy nothing new. Once it
    /// reports no load there either, its confirmation is final.
    pub fn stop(&mut self, now: Time, copy: &Copy, revision: u64, directory: &Directory) -> Status {
        let new = || Barrier::new(self.config, copy.0.clone(), revision, now);
        let barrier = self.stops.entry(copy.clone()).or_insert_with(new);
        if barrier.epoch() != revision {
            *barrier = new();
        }
        for (proxy, report) in directory.reports(now, Duration::MAX) {
            let is_same_copy = |load: &&corianderfork_wire::peer::Load| {
                load.vm == copy.0.as_str() && load.service == copy.1.as_str()
            };
            let busy = report.loads.iter().filter(is_same_copy).any(|load| load.in_flight > 0);
            if report.store_revision >= revision && !busy {
                barrier.on_ack(&proxy, revision);
            }
        }
        status(barrier, now, directory)
    }

    /// Drops the barriers of VMs that are not in `draining` and of copies for
    /// which `stopping` returns false.
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
