//! What this process knows of the shared records. Pure: no I/O, no clock.
//!
//! News comes from the store and from peers, in any order. Of each record the
//! newest revision wins, so that a late message cannot bring back what is over.

mod drain;
mod snapshot;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use corianderfork_config::Parsed;
use corianderfork_coord::register::{Offer, Register};
use corianderfork_model::{Fleet, Name};
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Holder, Member, Vm};
use corianderfork_provider::store::{Changes, Entry, Range};
use corianderfork_routing::view;

use crate::shared::Directory;
use drain::Wish;

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The INI text.
    pub text: Arc<str>,
    /// What it describes.
    pub parsed: Arc<Parsed>,
}

/// What has to be done about news.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// A configuration came into force.
    Config,
    /// A VM's record changed.
    Vm(view::Vm),
    /// A VM's record was deleted, as of this revision.
    VmGone(Name, u64),
    /// An operator wants a VM drained, or no longer.
    Wish {
        /// The VM.
        vm: Name,
        /// The revision of the wish or of its end.
        revision: u64,
        /// Whether the wish holds.
        holds: bool,
    },
    /// Members or owners changed.
    Directory,
    /// A record could not be understood; what was known of it stays.
    Malformed {
        /// The key.
        key: String,
        /// Why, and what to do.
        why: String,
    },
}

#[derive(Clone, Debug)]
struct Row {
    value: String,
    vm: Vm,
}

/// The shared records as this process knows them.
#[derive(Debug, Default)]
pub struct View {
    config: Register<Applied>,
    /// The newest configuration that was refused.
    refused: u64,
    vms: BTreeMap<Name, Register<Option<Row>>>,
    members: BTreeMap<String, (u64, Member, String)>,
    owners: HashMap<u32, Holder>,
    wishes: BTreeMap<Name, Wish>,
    synced: u64,
}

impl View {
    /// Applies a read of all shared records.
    pub fn on_range(&mut self, range: &Range) -> Vec<Effect> {
        let mut effects = Vec::new();
        let revision = range.revision.0;
        if revision >= self.synced {
            self.drop_missing(range, &mut effects);
        }
        for entry in &range.entries {
            self.put(entry, &mut effects);
        }
        self.synced = self.synced.max(revision);
        effects
    }

    /// Applies changes that a watch saw.
    pub fn on_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        let effects = self.apply_changes(changes);
        self.synced = self.synced.max(changes.revision.0);
        effects
    }

    fn apply_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        let mut effects = Vec::new();
        for change in &changes.changes {
            match &change.entry {
                Some(entry) => self.put(entry, &mut effects),
                None => self.delete(&change.key, change.revision.0, &mut effects),
            }
        }
        effects
    }

    fn drop_missing(&mut self, range: &Range, effects: &mut Vec<Effect>) {
        let has = |key: &str| range.entries.iter().any(|entry| entry.key == key);
        let vms: Vec<Name> = self.vms.keys().filter(|vm| !has(&key::vm(vm))).cloned().collect();
        for vm in vms {
            self.vm_gone(vm, range.revision.0, effects);
        }
        self.drop_wishes(range.revision.0, has, effects);
        let before = (self.members.len(), self.owners.len());
        self.members.retain(|key, _| has(key));
        self.owners.retain(|shard, _| has(&key::claim_owner(*shard)));
        if before != (self.members.len(), self.owners.len()) {
            effects.push(Effect::Directory);
        }
    }

    fn put(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        self.record(&entry.key, &entry.value, entry.revision.0, effects);
    }

    fn record(&mut self, key: &str, value: &str, revision: u64, effects: &mut Vec<Effect>) {
        let result = if key == key::CONFIG {
            serde_json::from_str::<Config>(value)
                .map(|config| self.offer_config(revision, &config.text, effects))
        } else if let Some(vm) = key.strip_prefix(key::VMS) {
            serde_json::from_str(value)
                .map(|record| self.offer_vm(vm, record, value, revision, effects))
        } else if let Some(vm) = key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok()) {
            self.offer_wish(vm, Some(value.to_owned()), revision, effects);
            Ok(())
        } else if key.starts_with(key::MEMBERS) {
            serde_json::from_str(value).map(|member| {
                self.offer_member(key, member, value, revision, effects);
            })
        } else if let Some(shard) =
            key.strip_prefix(key::CLAIM_OWNERS).and_then(|shard| shard.parse().ok())
        {
            serde_json::from_str(value).map(|holder| {
                self.owners.insert(shard, holder);
                effects.push(Effect::Directory);
            })
        } else {
            Ok(())
        };
        if let Err(error) = result {
            let why = format!("{error}; write the record anew by a process of this version");
            effects.push(Effect::Malformed { key: key.to_owned(), why });
        }
    }

    fn offer_config(&mut self, revision: u64, text: &str, effects: &mut Vec<Effect>) {
        if revision <= self.config.revision().max(self.refused) {
            return;
        }
        match corianderfork_config::parse(text) {
            Ok(parsed) => {
                let applied = Applied { text: text.into(), parsed: Arc::new(parsed) };
                if self.config.offer(revision, applied) == Offer::Applied {
                    effects.push(Effect::Config);
                }
            }
            Err(mistakes) => {
                self.refused = revision;
                let first = mistakes.first().map_or_else(String::new, ToString::to_string);
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
        let row = Row { value: value.to_owned(), vm: record };
        let routed = routed(&name, &row.vm, revision, self.wishes.get(&name));
        if register.offer(revision, Some(row)) == Offer::Applied {
            effects.push(Effect::Vm(routed));
        }
    }

    fn vm_gone(&mut self, name: Name, revision: u64, effects: &mut Vec<Effect>) {
        let Some(register) = self.vms.get_mut(&name) else { return };
        let known = matches!(register.get(), Some(Some(_)));
        if register.offer(revision, None) == Offer::Applied && known {
            effects.push(Effect::VmGone(name, revision));
        }
    }

    fn offer_member(
        &mut self,
        key: &str,
        member: Member,
        value: &str,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let is_newer = self.members.get(key).is_none_or(|(known, ..)| *known < revision);
        if is_newer {
            self.members.insert(key.to_owned(), (revision, member, value.to_owned()));
            effects.push(Effect::Directory);
        }
    }

    fn delete(&mut self, key: &str, revision: u64, effects: &mut Vec<Effect>) {
        if let Some(vm) = key.strip_prefix(key::VMS).and_then(|vm| Name::new(vm).ok()) {
            self.vm_gone(vm, revision, effects);
        } else if let Some(vm) = key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok()) {
            self.offer_wish(vm, None, revision, effects);
        } else if self.members.get(key).is_some_and(|(known, ..)| *known < revision) {
            self.members.remove(key);
            effects.push(Effect::Directory);
        } else if let Some(shard) =
            key.strip_prefix(key::CLAIM_OWNERS).and_then(|shard| shard.parse().ok())
        {
            self.owners.remove(&shard);
            effects.push(Effect::Directory);
        }
    }

    /// The fleet, once there is a configuration.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.config.get().map(|applied| &applied.parsed.fleet)
    }

    /// The revision of the configuration in force; 0 before the first.
    pub fn config_revision(&self) -> u64 {
        self.config.revision()
    }

    /// The store's revision up to which all records are known.
    pub fn store_revision(&self) -> u64 {
        self.synced
    }

    /// The members that the store lists.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(_, member, _)| member)
    }

    /// The owner of `shard`.
    pub fn owner(&self, shard: u32) -> Option<&Holder> {
        self.owners.get(&shard)
    }

    /// The VMs that take no work, with the epoch of their drain.
    pub fn leaving(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.rows()
            .filter(|(_, vm)| !vm.phase.takes_work() && vm.epoch > 0)
            .map(|(n, vm)| (n, vm.epoch))
    }

    /// The revision of a VM's record; 0 if there is none.
    pub fn revision(&self, vm: &Name) -> u64 {
        self.vms.get(vm).map_or(0, |row| row.revision())
    }

    /// Where runners of VMs that serve listen.
    pub fn serving(&self) -> impl Iterator<Item = std::net::SocketAddr> {
        let serving = self.rows().filter(|(_, vm)| vm.phase.takes_work());
        serving.flat_map(|(_, vm)| vm.runners.iter().map(|runner| runner.address))
    }

    /// Whether a VM serves and lists a copy of a service.
    pub fn lists(&self, vm: &Name, service: &Name) -> bool {
        let Some(Some(row)) = self.vms.get(vm).and_then(|row| row.get()) else { return false };
        row.vm.phase.takes_work() && row.vm.runners.iter().any(|r| r.service == *service)
    }

    fn rows(&self) -> impl Iterator<Item = (&Name, &Vm)> {
        self.vms.iter().filter_map(|(name, row)| Some((name, &row.get()?.as_ref()?.vm)))
    }

    /// What the data path has to know.
    pub fn directory(&self) -> Directory {
        let services = self.fleet().map_or_else(HashMap::new, |fleet| {
            fleet.services().map(|(_, service)| (service.name.clone(), service.class)).collect()
        });
        let owners = self.owners.clone();
        Directory { services, owners, config_revision: self.config_revision() }
    }
}

/// A record as the router takes it.
///
/// The newer of record and wish gives the revision: the router takes a VM's
/// state only from news that is newer than what it has.
fn routed(name: &Name, record: &Vm, revision: u64, wish: Option<&Wish>) -> view::Vm {
    let wished = wish.map_or(0, |wish| wish.revision);
    let is_wished_away = wish.is_some_and(|wish| wish.value.is_some());
    let vm = view::Vm::new(name.clone(), revision.max(wished))
        .epoch(record.epoch)
        .serving(record.phase.takes_work() && !is_wished_away);
    record.runners.iter().fold(vm, |vm, runner| {
        // The record lists only runners that are able to serve.
        vm.runner(view::Runner::new(runner.service.clone(), runner.address, true))
    })
}
