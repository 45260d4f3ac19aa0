//! The platform's key-value store, with compare-and-swap, leases and a bounded
//! history.
//!
//! Callers pass the time in milliseconds, so that tests need not sleep.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::Serialize;

/// The largest allowed value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of its last write.
    pub revision: u64,
    /// The lease whose end deletes it.
    pub lease: Option<u64>,
}

/// A write as a watch returns it. Without an entry, the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new entry.
    pub entry: Option<Entry>,
    /// The revision of the write.
    pub revision: u64,
}

/// Why the store refused a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The expected revision isn't current. Holds the current entry.
    Conflict(Option<Entry>),
    /// The value is over [`MAX_VALUE`].
    TooLarge,
    /// The lease has expired or never existed.
    LeaseExpired,
    /// The requested changes are no longer available.
    Compacted,
}

#[derive(Debug)]
struct Lease {
    ttl: u64,
    expires_at: u64,
}

/// All entries, leases and the latest changes.
#[derive(Debug)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    revision: u64,
    history: VecDeque<Change>,
    history_bytes: usize,
    history_limit: usize,
    compacted: u64,
}

impl Store {
    /// Creates an empty store that keeps the last `history_limit` changes for
    /// watches.
    pub fn new(history_limit: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 1,
            revision: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            history_limit,
            compacted: 0,
        }
    }

    /// Returns the store-wide revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns all entries whose key begins with `prefix`.
    pub fn range(&self, prefix: &str) -> Vec<&Entry> {
        let from = self.entries.range(prefix.to_owned()..);
        from.map(|(_, e)| e).take_while(|e| e.key.starts_with(prefix)).collect()
    }

    /// Writes an entry if `expect` is `None` or the entry's revision, which is 0 if
    /// there is no entry. Returns the revision of the write.
    ///
    /// # Errors
    ///
    /// Fails without writing on a conflict, a value that is too large or an expired
    /// lease.
    pub fn put(
        &mut self,
        key: &str,
        value: &str,
        expect: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, Error> {
        if value.len() > MAX_VALUE {
            return Err(Error::TooLarge);
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(Error::LeaseExpired);
        }
        self.check_revision(key, expect)?;
        let revision = self.revision + 1;
        let (key, value) = (key.to_owned(), value.to_owned());
        let entry = Entry { key: key.clone(), value, revision, lease };
        self.entries.insert(key.clone(), entry.clone());
        self.record(key, Some(entry));
        Ok(revision)
    }

    /// Deletes an entry if `expect` is `None` or the entry's revision. Deleting an
    /// absent entry is not a write.
    ///
    /// # Errors
    ///
    /// Fails without deleting on a conflict.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, Error> {
        self.check_revision(key, expect)?;
        if self.entries.remove(key).is_some() {
            self.record(key.to_owned(), None);
        }
        Ok(self.revision)
    }

    /// Returns the changes after revision `after` of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Compacted`] if the changes are no longer available or
    /// `after` is ahead of this store.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<&Change>, Error> {
        if after < self.compacted || after > self.revision {
            return Err(Error::Compacted);
        }
        let start = self.history.partition_point(|c| c.revision <= after);
        let later = self.history.range(start..);
        Ok(later.filter(|c| c.key.starts_with(prefix)).collect())
    }

    /// Grants a lease of `ttl` milliseconds and returns its id.
    pub fn grant(&mut self, now: u64, ttl: u64) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl });
        id
    }

    /// Renews a lease for its full time.
    ///
    /// # Errors
    ///
    /// Fails if the lease has expired.
    pub fn renew(&mut self, now: u64, id: u64) -> Result<(), Error> {
        let lease = self.leases.get_mut(&id).ok_or(Error::LeaseExpired)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let entries = self.entries.values().filter(|e| e.lease == Some(id));
        let keys: Vec<_> = entries.map(|e| e.key.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.record(key, None);
        }
    }

    /// Ends each lease that has expired by `now`. Leases also expire during an
    /// outage, since their holders can't renew them then.
    pub fn expire_leases(&mut self, now: u64) {
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        let mut ids: Vec<_> = expired.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.revoke(id);
        }
    }

    fn check_revision(&self, key: &str, expect: Option<u64>) -> Result<(), Error> {
        let current = self.entries.get(key);
        let revision = current.map_or(0, |e| e.revision);
        match expect {
            Some(expected) if expected != revision => Err(Error::Conflict(current.cloned())),
            _ => Ok(()),
        }
    }

    fn record(&mut self, key: String, entry: Option<Entry>) {
        self.revision += 1;
        let change = Change { key, entry, revision: self.revision };
        self.history_bytes += size(&change);
        self.history.push_back(change);
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(dropped) = self.history.pop_front() else { return };
            self.history_bytes -= size(&dropped);
            self.compacted = dropped.revision;
        }
    }
}

fn size(change: &Change) -> usize {
    change.entry.as_ref().map_or(0, |e| e.value.len())
}
