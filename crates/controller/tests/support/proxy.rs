//! A proxy: it sends work by what it knows, and confirms drains.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_controller::facts::Copy;
use corianderfork_controller::message::message;
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Member, Phase, Vm};
use corianderfork_wire::peer;

use super::store::Store;

/// A proxy: what it knows, and its work in flight.
pub struct Proxy {
    pub me: Member,
    known: BTreeMap<Name, Vm>,
    revision: u64,
    pub in_flight: BTreeSet<Copy>,
}

impl Proxy {
    /// One that knows nothing yet.
    pub fn new(me: Member) -> Self {
        Self { me, known: BTreeMap::new(), revision: 0, in_flight: BTreeSet::new() }
    }

    /// Reads all records.
    pub fn sync(&mut self, store: &Store) {
        self.revision = store.revision;
        let vms = store.entries.iter().filter_map(|(key, (_, value))| {
            Some((Name::new(key.strip_prefix(key::VMS)?).ok()?, serde_json::from_str(value).ok()?))
        });
        self.known = vms.collect();
    }

    /// Sends a request to `copy`, if it knows that to serve.
    pub fn send_to(&mut self, copy: &Copy) {
        let vm = self.known.get(&copy.0).filter(|vm| vm.phase == Phase::Serving);
        if vm.is_some_and(|vm| vm.runners.iter().any(|runner| runner.service == copy.1)) {
            self.in_flight.insert(copy.clone());
        }
    }

    /// Sends a request to some runner, by what it knows.
    pub fn send(&mut self, pick: usize) {
        let serving = self.known.iter().filter(|(_, vm)| vm.phase == Phase::Serving);
        let copies: Vec<Copy> = serving
            .flat_map(|(name, vm)| vm.runners.iter().map(|r| (name.clone(), r.service.clone())))
            .collect();
        if let Some(copy) = copies.get(pick % copies.len().max(1)) {
            self.in_flight.insert(copy.clone());
        }
    }

    /// What it tells its peers.
    pub fn report(&self) -> peer::Report {
        let draining = self.known.iter().filter(|(_, vm)| vm.phase == Phase::Draining);
        let clear =
            draining.filter(|(name, _)| !self.in_flight.iter().any(|copy| copy.0 == **name));
        let acks = clear.map(|(name, vm)| peer::Ack { vm: name.to_string(), epoch: vm.epoch });
        let me = Some(message(&self.me));
        let own = peer::Seen { member: me.clone(), acks: acks.collect(), ..Default::default() };
        let load = |copy: &Copy| peer::Load {
            vm: copy.0.to_string(),
            service: copy.1.to_string(),
            in_flight: 1,
            waiting: 0,
        };
        peer::Report {
            from: me,
            store_revision: self.revision,
            seen: vec![own],
            loads: self.in_flight.iter().map(load).collect(),
            ..peer::Report::default()
        }
    }
}
