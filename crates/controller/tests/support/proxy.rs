//! A simulated proxy: it sends work according to the records that it has read,
//! and confirms drains.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_controller::facts::Copy;
use corianderfork_controller::message::encode_member;
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Member, Phase, Vm};
use corianderfork_wire::peer;

use super::store::Store;

/// A proxy with the records it has read and its requests in flight.
pub struct Proxy {
    pub member: Member,
    vms: BTreeMap<Name, Vm>,
    revision: u64,
    pub in_flight: BTreeSet<Copy>,
}

impl Proxy {
    /// Creates a proxy that has not read any records.
    pub fn new(member: Member) -> Self {
        Self { member, vms: BTreeMap::new(), revision: 0, in_flight: BTreeSet::new() }
    }

    /// Reads all records.
    pub fn sync(&mut self, store: &Store) {
        self.revision = store.revision;
        let vms = store.entries.iter().filter_map(|(key, (_, value))| {
            Some((Name::new(key.strip_prefix(key::VMS)?).ok()?, serde_json::from_str(value).ok()?))
        });
        self.vms = vms.collect();
    }

    /// Sends a request to `copy` if the proxy's records show it serving.
    pub fn send_to(&mut self, copy: &Copy) {
        let vm = self.vms.get(&copy.0).filter(|vm| vm.phase == Phase::Serving);
        if vm.is_some_and(|vm| vm.runners.iter().any(|runner| runner.service == copy.1)) {
            self.in_flight.insert(copy.clone());
        }
    }

    /// Sends a request to one of the runners in the proxy's records, chosen by
    /// `index`.
    pub fn send(&mut self, index: usize) {
        let serving = self.vms.iter().filter(|(_, vm)| vm.phase == Phase::Serving);
        let copies: Vec<Copy> = serving
            .flat_map(|(name, vm)| vm.runners.iter().map(|r| (name.clone(), r.service.clone())))
            .collect();
        if let Some(copy) = copies.get(index % copies.len().max(1)) {
            self.in_flight.insert(copy.clone());
        }
    }

    /// Returns the report that the proxy sends to its peers.
    pub fn report(&self) -> peer::Report {
        let draining = self.vms.iter().filter(|(_, vm)| vm.phase == Phase::Draining);
        let clear =
            draining.filter(|(name, _)| !self.in_flight.iter().any(|copy| copy.0 == **name));
        let acks = clear.map(|(name, vm)| peer::Ack { vm: name.to_string(), epoch: vm.epoch });
        let member = Some(encode_member(&self.member));
        let own = peer::Seen { member: member.clone(), acks: acks.collect(), ..Default::default() };
        let load = |copy: &Copy| peer::Load {
            vm: copy.0.to_string(),
            service: copy.1.to_string(),
            in_flight: 1,
            waiting: 0,
        };
        peer::Report {
            from: member,
            store_revision: self.revision,
            seen: vec![own],
            loads: self.in_flight.iter().map(load).collect(),
            ..peer::Report::default()
        }
    }
}
