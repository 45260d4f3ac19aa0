//! A store with revisions, in memory.

use std::collections::BTreeMap;

use corianderfork_provider::key;
use corianderfork_provider::record::{Vm, Wave};
use corianderfork_provider::store::{Entry, Expect, Range, Revision};

use super::name;

/// A store with revisions.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub entries: BTreeMap<String, (u64, String)>,
}

impl Store {
    pub fn put(&mut self, key: &str, value: String, expect: Expect) -> Result<u64, Option<Entry>> {
        let current = self.entries.get(key).map_or(0, |(revision, _)| *revision);
        let fits = match expect {
            Expect::Absent => current == 0,
            Expect::Revision(revision) => revision.0 == current,
            Expect::Anything => true,
        };
        if !fits {
            return Err(self.entry(key));
        }
        self.revision += 1;
        self.entries.insert(key.to_owned(), (self.revision, value));
        Ok(self.revision)
    }

    pub fn entry(&self, key: &str) -> Option<Entry> {
        let (revision, value) = self.entries.get(key)?;
        let (key, value) = (key.to_owned(), value.clone());
        Some(Entry { key, value, revision: Revision(*revision), lease: None })
    }

    pub fn delete(&mut self, key: &str) {
        self.revision += u64::from(self.entries.remove(key).is_some());
    }

    pub fn range(&self) -> Range {
        let keys = self.entries.keys().filter(|key| key.starts_with(key::SHARED));
        let entries = keys.filter_map(|key| self.entry(key)).collect();
        Range { revision: Revision(self.revision), entries }
    }

    pub fn vm(&self, vm: &str) -> Vm {
        serde_json::from_str(&self.entries[&key::vm(&name(vm))].1).unwrap()
    }

    pub fn wave(&self) -> Wave {
        serde_json::from_str(&self.entries[key::WAVE].1).unwrap()
    }
}
