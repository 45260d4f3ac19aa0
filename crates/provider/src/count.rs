//! Counts the store calls of a process, for comparison with the platform's own
//! counts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::store::{Changes, Error, Expect, LeaseId, Lookup, Range, Revision, Store};

/// The number of store calls so far, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Calls {
    /// Reads of a key or a prefix.
    pub reads: u64,
    /// Writes, deletes, and grants, renewals and revocations of leases.
    pub writes: u64,
    /// Watches, each counted once regardless of how long it waits.
    pub watches: u64,
    /// Calls of any kind that failed.
    pub failures: u64,
}

/// A [`Store`] that counts calls and forwards them to another store.
#[derive(Debug, Default)]
pub struct CountingStore<S> {
    inner: S,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
}

impl<S> CountingStore<S> {
    /// Wraps `inner`.
    pub fn new(inner: S) -> Self {
        Self {
            inner,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        }
    }

    /// Returns the wrapped store.
    pub fn inner(&self) -> &S {
        &self.inner
    }

    /// Returns the current counts.
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }

    fn record<T>(&self, counter: &AtomicU64, result: Result<T, Error>) -> Result<T, Error> {
        counter.fetch_add(1, Ordering::Relaxed);
        let failed =
            matches!(result, Err(Error::Unavailable(_) | Error::Unknown(_) | Error::Malformed(_)));
        if failed {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

impl<S: Store> Store for CountingStore<S> {
    fn get(&self, key: &str) -> Result<Lookup, Error> {
        self.record(&self.reads, self.inner.get(key))
    }

    fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.record(&self.reads, self.inner.range(prefix))
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error> {
        self.record(&self.writes, self.inner.put(key, value, expect, lease))
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error> {
        self.record(&self.writes, self.inner.delete(key, expect))
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.record(&self.watches, self.inner.watch(prefix, after, wait))
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.record(&self.writes, self.inner.grant(ttl))
    }

    fn renew(&self, lease: LeaseId) -> Result<(), Error> {
        self.record(&self.writes, self.inner.renew(lease))
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.record(&self.writes, self.inner.revoke(lease))
    }
}
