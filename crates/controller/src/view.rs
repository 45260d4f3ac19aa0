//! The shared records as this process knows them. Pure.
//!
//! What is known comes by reads, by watches, by the answers to this process's
//! own writes and from peers, in any order. Each record is kept by the revision
//! of its write and never goes back.

mod drains;
mod snapshot;

use std::collections::BTreeMap;
use std::rc::Rc;

use corianderfork_config::Parsed;
use corianderfork_coord::register::{Offer, Register};
use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Drain, Member, Vm};
use corianderfork_provider::store::{Changes, Entry, Range, Revision};
use serde::de::DeserializeOwned;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Active {
    /// Its INI text.
    pub text: String,
    /// What the text says.
    pub parsed: Rc<Parsed>,
}

/// A record with the revision of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Vm,
}

/// The shared records.
#[derive(Clone, Debug, Default)]
pub struct View {
    config: Register<Active>,
    vms: BTreeMap<Name, Register<Option<Held>>>,
    drains: BTreeMap<Name, Register<Option<Drain>>>,
    members: BTreeMap<String, Register<Option<Member>>>,
    problems: BTreeMap<String, String>,
    /// Entries taken in so far.
    news: u64,
    complete: Revision,
    synced: Option<Time>,
    failing_since: Option<Time>,
}

impl View {
    /// Takes in a read of all shared keys that was sent at `sent`.
    pub fn on_whole(&mut self, sent: Time, range: &Range) {
        for entry in &range.entries {
            self.on_entry(&entry.key, entry.revision, Some(entry));
        }
        let listed = |key: &str| range.entries.iter().any(|entry| entry.key == key);
        for key in self.keys() {
            if !listed(&key) {
                self.on_entry(&key, range.revision, None);
            }
        }
        self.on_complete(sent, range.revision);
    }

    /// Takes in what a watch that was sent at `sent` saw.
    pub fn on_changes(&mut self, sent: Time, changes: &Changes) {
        for change in &changes.changes {
            self.on_entry(&change.key, change.revision, change.entry.as_ref());
        }
        self.on_complete(sent, changes.revision);
    }

    /// The store did not answer.
    pub fn on_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
    }

    /// Grows with each entry taken in: the same number, nothing new.
    pub fn news(&self) -> u64 {
        self.news
    }

    /// Takes in one entry, or that it was gone at `revision`.
    pub fn on_entry(&mut self, key: &str, revision: Revision, entry: Option<&Entry>) {
        self.news += 1;
        let rev = revision.0;
        let text = entry.map(|entry| entry.value.as_str());
        if key == key::CONFIG {
            if let Some(config) = self.read::<Config>(key, text) {
                self.offer_config(rev, &config.text);
            }
        } else if let Some(name) = name_in(key, key::VMS) {
            let held = self.read(key, text).map(|record| Held { revision, record });
            if held.is_some() || text.is_none() {
                let _ = self.vms.entry(name).or_default().offer(rev, held);
            }
        } else if let Some(name) = name_in(key, key::DRAINS) {
            // A drain that doesn't parse is a drain all the same: taking it for
            // none would put back to work what an operator wants out.
            let unreadable =
                || Drain { by: "unknown".to_owned(), reason: "unreadable record".to_owned() };
            let record = text.map(|_| self.read(key, text).unwrap_or_else(unreadable));
            let _ = self.drains.entry(name).or_default().offer(rev, record);
        } else if key.starts_with(key::MEMBERS) {
            let record = self.read(key, text);
            let _ = self.members.entry(key.to_owned()).or_default().offer(rev, record);
        }
    }

    /// Takes in a configuration text. One that does not parse leaves the one
    /// before in force and is told as a problem.
    pub fn offer_config(&mut self, revision: u64, text: &str) -> bool {
        if revision <= self.config.revision() {
            return false;
        }
        match corianderfork_config::parse(text) {
            Ok(parsed) => {
                self.problems.remove(key::CONFIG);
                let active = Active { text: text.to_owned(), parsed: Rc::new(parsed) };
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

    fn on_complete(&mut self, sent: Time, revision: Revision) {
        self.complete = self.complete.max(revision);
        self.synced = self.synced.max(Some(sent));
        self.failing_since = None;
    }

    /// The configuration in force and its revision.
    pub fn config(&self) -> Option<(u64, &Active)> {
        self.config.get().map(|active| (self.config.revision(), active))
    }

    /// The revision of the configuration in force, 0 for none.
    pub fn config_revision(&self) -> u64 {
        self.config.revision()
    }

    /// The record of a VM.
    pub fn vm(&self, name: &Name) -> Option<&Held> {
        self.vms.get(name)?.get()?.as_ref()
    }

    /// Whether the record of a VM is there but can't be read.
    pub fn is_unreadable(&self, name: &Name) -> bool {
        self.problems.contains_key(&key::vm(name))
    }

    /// All VM records.
    pub fn vms(&self) -> impl Iterator<Item = (&Name, &Held)> {
        self.vms.iter().filter_map(|(name, register)| Some((name, register.get()?.as_ref()?)))
    }

    /// The operator's wish to drain a VM.
    pub fn drain(&self, name: &Name) -> Option<&Drain> {
        self.drains.get(name)?.get()?.as_ref()
    }

    /// The revision of the newest write of operators that is known: of a drain, of
    /// the end of one, or of a configuration.
    pub fn operators_revision(&self) -> u64 {
        let drains = self.drains.values().map(Register::revision);
        drains.chain([self.config.revision()]).max().unwrap_or(0)
    }

    /// The members the store lists.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter_map(|register| register.get()?.as_ref())
    }

    /// The revision up to which all shared records are known.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// When the last successful read or watch was sent.
    pub fn synced(&self) -> Option<Time> {
        self.synced
    }

    /// Since when the store has not answered, if it doesn't.
    pub fn failing_since(&self) -> Option<Time> {
        self.failing_since
    }

    /// What cannot be read, a line each.
    pub fn problems(&self) -> impl Iterator<Item = &String> {
        self.problems.values()
    }
}

fn name_in(key: &str, prefix: &str) -> Option<Name> {
    Name::new(key.strip_prefix(prefix)?).ok()
}
