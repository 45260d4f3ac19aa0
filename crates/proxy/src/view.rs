//! The view of the shared records. Pure: no I/O, no clock.
//!
//! Records come from the store and from peers, in any order. For each record the newest
//! revision wins, so that a late message cannot undo a newer one.

mod drain;
mod snapshot;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use corianderfork_config::Configuration;
use corianderfork_coord::register::{Offer, Register};
use corianderfork_model::{Fleet, Name};
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Holder, Member, Vm};
use corianderfork_provider::store::{Change, Changes, Entry, Range};
use corianderfork_routing::view;

use crate::shared::Directory;
use drain::DrainRequest;
pub use drain::SETTLING_PERIOD;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The INI text.
    pub text: Arc<str>,
    /// The parsed configuration.
    pub parsed: Arc<Configuration>,
}

/// An effect of changed records that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// A configuration came into force.
    Config,
    /// A VM's record changed.
    Vm(view::Vm),
    /// A VM's record was deleted, as of this revision.
    VmRemoved(Name, u64),
    /// An operator requested the drain of a VM, or the withdrawal of the request took
    /// effect.
    DrainRequest {
        /// The VM.
        vm: Name,
        /// The revision at which the request was made or withdrawn.
        revision: u64,
        /// Whether the request is active.
        active: bool,
    },
    /// Members or owners changed.
    Directory,
    /// A record could not be parsed; the previous one stays in effect.
    Malformed {
        /// The key.
        key: String,
        /// The cause and the remedy.
        why: String,
    },
}

#[derive(Clone, Debug)]
struct StoredVm {
    value: String,
    vm: Vm,
}

/// The newest known record of a member.
#[derive(Clone, Debug)]
struct StoredMember {
    /// The revision of the record or of its deletion. 0 if it was reported by a peer that
    /// does not know the revision; such a record replaces no other.
    revision: u64,
    /// The record and its text, while the member is listed.
    record: Option<(Member, String)>,
}

/// The shared records as this process knows them.
#[derive(Debug, Default)]
pub struct View {
    config: Register<ActiveConfig>,
    /// The revision of the newest configuration that was rejected.
    rejected_config: u64,
    vms: BTreeMap<Name, Register<Option<StoredVm>>>,
    members: BTreeMap<String, StoredMember>,
    owners: BTreeMap<u32, Register<Option<Holder>>>,
    drain_requests: BTreeMap<Name, DrainRequest>,
    synced_revision: u64,
    contact: drain::Contact,
}

impl View {
    /// Applies a read of all shared records.
    pub fn on_range(&mut self, range: &Range) -> Vec<Effect> {
        let mut effects = Vec::new();
        let revision = range.revision.0;
        self.remove_missing(range, &mut effects);
        for entry in &range.entries {
            self.apply_entry(entry, &mut effects);
        }
        self.synced_revision = self.synced_revision.max(revision);
        effects
    }

    /// Applies changes from a watch.
    pub fn on_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        let effects = self.apply_changes(&changes.changes);
        self.synced_revision = self.synced_revision.max(changes.revision.0);
        effects
    }

    fn apply_changes<'a>(&mut self, changes: impl IntoIterator<Item = &'a Change>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for change in changes {
            match &change.entry {
                Some(entry) => self.apply_entry(entry, &mut effects),
                None => self.delete(&change.key, change.revision.0, &mut effects),
            }
        }
        effects
    }

    fn remove_missing(&mut self, range: &Range, effects: &mut Vec<Effect>) {
        let has = |key: &str| range.entries.iter().any(|entry| entry.key == key);
        let vms: Vec<Name> = self.vms.keys().filter(|vm| !has(&key::vm(vm))).cloned().collect();
        for vm in vms {
            self.remove_vm(vm, range.revision.0, effects);
        }
        self.remove_missing_drains(range.revision.0, has, effects);
        let members: Vec<String> = self.members.keys().filter(|key| !has(key)).cloned().collect();
        for key in members {
            self.offer_member(&key, None, range.revision.0, effects);
        }
        let shards = self.owners.keys().filter(|shard| !has(&key::claim_owner(**shard)));
        let shards: Vec<u32> = shards.copied().collect();
        for shard in shards {
            self.offer_owner(shard, None, range.revision.0, effects);
        }
    }

    fn apply_entry(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        self.apply_record(&entry.key, &entry.value, entry.revision.0, effects);
    }

    fn apply_record(&mut self, key: &str, value: &str, revision: u64, effects: &mut Vec<Effect>) {
        let result = if key == key::CONFIG {
            serde_json::from_str::<Config>(value)
                .map(|config| self.offer_config(revision, &config.text, effects))
        } else if let Some(vm) = key.strip_prefix(key::VMS) {
            serde_json::from_str(value)
                .map(|record| self.offer_vm(vm, record, value, revision, effects))
        } else if let Some(vm) = key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok()) {
            self.offer_drain(vm, Some(value.to_owned()), revision, effects);
            Ok(())
        } else if key.starts_with(key::MEMBERS) {
            serde_json::from_str(value).map(|member| {
                self.offer_member(key, Some((member, value.to_owned())), revision, effects);
            })
        } else if let Some(shard) =
            key.strip_prefix(key::CLAIM_OWNERS).and_then(|shard| shard.parse().ok())
        {
            serde_json::from_str(value)
                .map(|holder| self.offer_owner(shard, Some(holder), revision, effects))
        } else {
            Ok(())
        };
        if let Err(error) = result {
            let why = format!("{error}; write the record anew by a process of this version");
            effects.push(Effect::Malformed { key: key.to_owned(), why });
        }
    }

    fn offer_config(&mut self, revision: u64, text: &str, effects: &mut Vec<Effect>) {
        if revision <= self.config.revision().max(self.rejected_config) {
            return;
        }
        match corianderfork_config::parse(text) {
            Ok(parsed) => {
                let active = ActiveConfig { text: text.into(), parsed: Arc::new(parsed) };
                if self.config.offer(revision, active) == Offer::Applied {
                    effects.push(Effect::Config);
                }
            }
            Err(problems) => {
                self.rejected_config = revision;
                let first = problems.first().map_or_else(String::new, ToString::to_string);
                let why = format!("{first}; the configuration before it stays in force");
                effects.push(Effect::Malformed { key: key::CONFIG.to_owned(), why });
            }
        }
    }

    fn offer_vm(
        &mut self,
        vm: &str,
        record: Vm,
        value: &str,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Ok(name) = Name::new(vm) else { return };
        let register = self.vms.entry(name.clone()).or_default();
        let stored = StoredVm { value: value.to_owned(), vm: record };
        let request = self.drain_requests.get(&name);
        // The router applies each revision once. A record that takes work and the revision of
        // the withdrawal are left to the end of the drain, or they would be used up while the
        // drain holds.
        let is_settling = request.is_some_and(DrainRequest::is_settling);
        let is_held = stored.vm.phase.takes_work() && is_settling;
        let request = request.filter(|_| !is_settling);
        let router_vm = router_vm(&name, &stored.vm, revision, request);
        if register.offer(revision, Some(stored)) == Offer::Applied && !is_held {
            effects.push(Effect::Vm(router_vm));
        }
    }

    fn remove_vm(&mut self, name: Name, revision: u64, effects: &mut Vec<Effect>) {
        let Some(register) = self.vms.get_mut(&name) else { return };
        let known = matches!(register.get(), Some(Some(_)));
        if register.offer(revision, None) == Offer::Applied && known {
            effects.push(Effect::VmRemoved(name, revision));
        }
    }

    fn offer_member(
        &mut self,
        key: &str,
        record: Option<(Member, String)>,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.members.get(key);
        if known.is_some_and(|known| revision <= known.revision) {
            return;
        }
        if record.is_some() || known.is_some_and(|known| known.record.is_some()) {
            effects.push(Effect::Directory);
        }
        self.members.insert(key.to_owned(), StoredMember { revision, record });
    }

    fn offer_owner(
        &mut self,
        shard: u32,
        holder: Option<Holder>,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let register = self.owners.entry(shard).or_default();
        if register.offer(revision, holder) == Offer::Applied {
            effects.push(Effect::Directory);
        }
    }

    fn delete(&mut self, key: &str, revision: u64, effects: &mut Vec<Effect>) {
        if let Some(vm) = key.strip_prefix(key::VMS).and_then(|vm| Name::new(vm).ok()) {
            self.remove_vm(vm, revision, effects);
        } else if let Some(vm) = key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok()) {
            self.offer_drain(vm, None, revision, effects);
        } else if key.starts_with(key::MEMBERS) {
            self.offer_member(key, None, revision, effects);
        } else if let Some(shard) =
            key.strip_prefix(key::CLAIM_OWNERS).and_then(|shard| shard.parse().ok())
        {
            self.offer_owner(shard, None, revision, effects);
        }
    }

    /// Returns the fleet; `None` before the first configuration.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.config.get().map(|config| &config.parsed.fleet)
    }

    /// Returns the revision of the configuration in force; 0 before the first.
    pub fn config_revision(&self) -> u64 {
        self.config.revision()
    }

    /// Returns the store revision up to which all records are known.
    pub fn store_revision(&self) -> u64 {
        self.synced_revision
    }

    /// Returns the VMs that have a record, in order.
    pub fn vms(&self) -> impl Iterator<Item = &Name> {
        self.vm_records().map(|(name, _)| name)
    }

    /// Returns the members that the store lists.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter_map(|stored| Some(&stored.record.as_ref()?.0))
    }

    /// Returns the owner of `shard`.
    pub fn owner(&self, shard: u32) -> Option<&Holder> {
        self.owners.get(&shard)?.get()?.as_ref()
    }

    /// Returns the VMs that take no work, with the epoch of their drain.
    pub fn leaving(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.vm_records()
            .filter(|(_, vm)| !vm.phase.takes_work() && vm.epoch > 0)
            .map(|(n, vm)| (n, vm.epoch))
    }

    /// Returns the revision of a VM's record; 0 if there is none.
    pub fn revision(&self, vm: &Name) -> u64 {
        self.vms.get(vm).map_or(0, |stored| stored.revision())
    }

    /// Returns the addresses of the runners on serving VMs.
    pub fn serving_addresses(&self) -> impl Iterator<Item = std::net::SocketAddr> {
        let serving = self.vm_records().filter(|(_, vm)| vm.phase.takes_work());
        serving.flat_map(|(_, vm)| vm.runners.iter().map(|runner| runner.address))
    }

    /// Returns whether a VM serves and lists a copy of a service.
    pub fn serves(&self, vm: &Name, service: &Name) -> bool {
        let Some(Some(stored)) = self.vms.get(vm).and_then(|stored| stored.get()) else {
            return false;
        };
        stored.vm.phase.takes_work() && stored.vm.runners.iter().any(|r| r.service == *service)
    }

    fn vm_records(&self) -> impl Iterator<Item = (&Name, &Vm)> {
        self.vms.iter().filter_map(|(name, stored)| Some((name, &stored.get()?.as_ref()?.vm)))
    }

    /// Returns the directory for the data path.
    pub fn directory(&self) -> Directory {
        let services = self.fleet().map_or_else(HashMap::new, |fleet| {
            fleet.services().map(|(_, service)| (service.name.clone(), service.class)).collect()
        });
        let owners = self.owners.iter();
        let owners = owners
            .filter_map(|(shard, owner)| Some((*shard, owner.get()?.as_ref()?.clone())))
            .collect();
        Directory { services, owners, config_revision: self.config_revision() }
    }
}

/// Converts a record for the router.
///
/// Uses the newer revision of the record and the drain request, because the router
/// applies a VM only if its revision is newer than the known one.
fn router_vm(
    name: &Name,
    record: &Vm,
    revision: u64,
    drain_request: Option<&DrainRequest>,
) -> view::Vm {
    let drain_revision = drain_request.map_or(0, |drain_request| drain_request.revision);
    let drain_requested = drain_request.is_some_and(DrainRequest::holds);
    let vm = view::Vm::new(name.clone(), revision.max(drain_revision))
        .epoch(record.epoch)
        .serving(record.phase.takes_work() && !drain_requested);
    record.runners.iter().fold(vm, |vm, runner| {
        // The record lists only runners that are able to serve.
        vm.runner(view::Runner::new(runner.service.clone(), runner.address, true))
    })
}
