//! This process's view of the shared records. Does no I/O.
//!
//! Records arrive in any order: from reads, watches, responses to this
//! process's own writes, and peers. Each record keeps the revision of its write
//! and never goes back to an older one.

mod drains;
mod snapshot;

use std::collections::BTreeMap;
use std::rc::Rc;

use corianderfork_config::Configuration;
use corianderfork_coord::register::{Offer, Register};
use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Drain, Member, Vm};
use corianderfork_provider::store::{Changes, Entry, Range, Revision};
use serde::de::DeserializeOwned;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The INI text.
    pub text: String,
    /// The parsed text.
    pub parsed: Rc<Configuration>,
}

/// The record of a VM with the revision of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The revision of the write.
    pub revision: Revision,
    /// The record.
    pub record: Vm,
}

/// The shared records.
#[derive(Clone, Debug, Default)]
pub struct View {
    config: Register<ActiveConfig>,
    vms: BTreeMap<Name, Register<Option<VmEntry>>>,
    drains: BTreeMap<Name, Register<Option<Drain>>>,
    members: BTreeMap<String, Register<Option<Member>>>,
    problems: BTreeMap<String, String>,
    /// Entries applied so far.
    generation: u64,
    synced_revision: Revision,
    last_sync: Option<Time>,
    failing_since: Option<Time>,
}

impl View {
    /// Applies a read of all shared keys that was sent at `sent`.
    pub fn on_range(&mut self, sent: Time, range: &Range) {
        for entry in &range.entries {
            self.on_entry(&entry.key, entry.revision, Some(entry));
        }
        let listed = |key: &str| range.entries.iter().any(|entry| entry.key == key);
        for key in self.keys() {
            if !listed(&key) {
                self.on_entry(&key, range.revision, None);
            }
        }
        self.on_synced(sent, range.revision);
    }

    /// Applies the changes from a watch that was sent at `sent`.
    pub fn on_changes(&mut self, sent: Time, changes: &Changes) {
        for change in &changes.changes {
            self.on_entry(&change.key, change.revision, change.entry.as_ref());
        }
        self.on_synced(sent, changes.revision);
    }

    /// Records that the store did not answer.
    pub fn on_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns a number that grows with each entry applied: while it is equal,
    /// nothing has changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies one entry, or its absence at `revision`.
    pub fn on_entry(&mut self, key: &str, revision: Revision, entry: Option<&Entry>) {
        self.generation += 1;
        let rev = revision.0;
        let text = entry.map(|entry| entry.value.as_str());
        if key == key::CONFIG {
            if let Some(config) = self.read::<Config>(key, text) {
                self.offer_config(rev, &config.text);
            }
        } else if let Some(name) = parse_name(key, key::VMS) {
            let vm = self.read(key, text).map(|record| VmEntry { revision, record });
            if vm.is_some() || text.is_none() {
                let _ = self.vms.entry(name).or_default().offer(rev, vm);
            }
        } else if let Some(name) = parse_name(key, key::DRAINS) {
            // A drain that doesn't parse still counts as a drain. If it were
            // ignored, a VM that an operator wants out would get work again.
            let unreadable =
                || Drain { by: "unknown".to_owned(), reason: "unreadable record".to_owned() };
            let record = text.map(|_| self.read(key, text).unwrap_or_else(unreadable));
            let _ = self.drains.entry(name).or_default().offer(rev, record);
        } else if key.starts_with(key::MEMBERS) {
            let record = self.read(key, text);
            let _ = self.members.entry(key.to_owned()).or_default().offer(rev, record);
        }
    }

    /// Applies a configuration text and returns whether it came into force. If
    /// it is invalid, the previous configuration stays in force and a problem
    /// is reported.
    pub fn offer_config(&mut self, revision: u64, text: &str) -> bool {
        if revision <= self.config.revision() {
            return false;
        }
        match corianderfork_config::parse(text) {
            Ok(parsed) => {
                self.problems.remove(key::CONFIG);
                let active = ActiveConfig { text: text.to_owned(), parsed: Rc::new(parsed) };
                self.config.offer(revision, active) == Offer::Applied
            }
            Err(mistakes) => {
                let first = mistakes.first().map_or_else(String::new, |one| one.message.clone());
                let why = format!("configuration {revision} is not valid: {first}");
                self.problems.insert(key::CONFIG.to_owned(), why);
                false
            }
        }
    }

    fn read<T: DeserializeOwned>(&mut self, key: &str, text: Option<&str>) -> Option<T> {
        match serde_json::from_str(text?) {
            Ok(record) => {
                self.problems.remove(key);
                Some(record)
            }
            Err(error) => {
                self.problems.insert(key.to_owned(), format!("`{key}` is unreadable: {error}"));
                None
            }
        }
    }

    fn keys(&self) -> Vec<String> {
        let vms = self.vms.keys().map(key::vm);
        let drains = self.drains.keys().map(key::drain);
        vms.chain(drains).chain(self.members.keys().cloned()).collect()
    }

    fn on_synced(&mut self, sent: Time, revision: Revision) {
        self.synced_revision = self.synced_revision.max(revision);
        self.last_sync = self.last_sync.max(Some(sent));
        self.failing_since = None;
    }

    /// Returns the configuration in force and its revision.
    pub fn config(&self) -> Option<(u64, &ActiveConfig)> {
        self.config.get().map(|active| (self.config.revision(), active))
    }

    /// Returns the revision of the configuration in force, or 0 if there is
    /// none.
    pub fn config_revision(&self) -> u64 {
        self.config.revision()
    }

    /// Returns the record of a VM.
    pub fn vm(&self, name: &Name) -> Option<&VmEntry> {
        self.vms.get(name)?.get()?.as_ref()
    }

    /// Whether the record of a VM exists but can't be parsed.
    pub fn is_unreadable(&self, name: &Name) -> bool {
        self.problems.contains_key(&key::vm(name))
    }

    /// Returns all VM records.
    pub fn vms(&self) -> impl Iterator<Item = (&Name, &VmEntry)> {
        self.vms.iter().filter_map(|(name, register)| Some((name, register.get()?.as_ref()?)))
    }

    /// Returns the operators' drain request for a VM.
    pub fn drain(&self, name: &Name) -> Option<&Drain> {
        self.drains.get(name)?.get()?.as_ref()
    }

    /// Returns the newest known revision written by operators: of a drain
    /// request, of its removal, or of a configuration.
    pub fn operator_revision(&self) -> u64 {
        let drains = self.drains.values().map(Register::revision);
        drains.chain([self.config.revision()]).max().unwrap_or(0)
    }

    /// Returns the members that the store lists.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter_map(|register| register.get()?.as_ref())
    }

    /// Returns the revision up to which all shared records are known.
    pub fn synced_revision(&self) -> Revision {
        self.synced_revision
    }

    /// Returns when the last successful read or watch was sent.
    pub fn last_sync(&self) -> Option<Time> {
        self.last_sync
    }

    /// Returns since when the store has not answered, or `None` if it answers.
    pub fn failing_since(&self) -> Option<Time> {
        self.failing_since
    }

    /// Returns one line for each record that can't be read.
    pub fn problems(&self) -> impl Iterator<Item = &String> {
        self.problems.values()
    }
}

fn parse_name(key: &str, prefix: &str) -> Option<Name> {
    Name::new(key.strip_prefix(prefix)?).ok()
}
