//! The interface of the key-value store: compare-and-swap, leases and watches.

use std::fmt;
use std::time::Duration;

/// The maximum size of a value in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The sequence number of a write. Increases with every write to the store.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The id of a lease. The store deletes the keys attached to a lease when the
/// lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the last write to this key.
    pub revision: Revision,
    /// The lease that the key is attached to, if any.
    #[serde(default)]
    pub lease: Option<LeaseId>,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key must be absent.
    Absent,
    /// The last write of the key must be at this revision.
    Revision(Revision),
    /// No precondition. Only for values with a single writer.
    Anything,
}

/// The result of reading one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Lookup {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The entry, if the key exists.
    pub entry: Option<Entry>,
}

/// The result of reading all keys with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Range {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The entries, ordered by key.
    pub entries: Vec<Entry>,
}

/// One change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// The new entry, or `None` if the key was deleted or its lease expired.
    pub entry: Option<Entry>,
    /// The revision of the change.
    pub revision: Revision,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete. The next watch starts
    /// after it.
    pub revision: Revision,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// The reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The precondition failed; nothing was written.
    #[error("the key `{key}` was changed concurrently; read it again and retry")]
    Conflict {
        /// The key.
        key: String,
        /// The current entry, if the key exists.
        current: Option<Entry>,
    },
    /// The store rejected the call or is unreachable; nothing was written.
    #[error("the platform's store is unavailable ({0}); nothing was written; retry later")]
    Unavailable(String),
    /// The response was lost; a write may have been applied.
    #[error("no response from the platform's store ({0}); read the key back before writing again")]
    Unknown(String),
    /// The value is larger than [`MAX_VALUE`].
    #[error("the value of `{key}` has {len} bytes; the store accepts at most {MAX_VALUE}")]
    TooLarge {
        /// The key.
        key: String,
        /// The length of the value, in bytes.
        len: usize,
    },
    /// The store no longer has the history from the start of the watch.
    #[error(
        "the store has compacted these changes; read the whole prefix and watch from its revision"
    )]
    Compacted,
    /// The lease has expired.
    #[error("the lease has expired; stop acting under it and request a new one")]
    Lapsed,
    /// The response could not be decoded.
    #[error("invalid response of the platform's store: {0}; check its address")]
    Malformed(String),
}

impl Error {
    /// Whether a write that failed with this error may have been applied.
    pub const fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}

/// A key-value store.
///
/// Each call blocks for a bounded time that the implementation documents.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unavailable or its response was lost.
    fn get(&self, key: &str) -> Result<Lookup, Error>;

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unavailable or its response was lost.
    fn range(&self, prefix: &str) -> Result<Range, Error>;

    /// Writes a key if `expect` holds.
    ///
    /// # Errors
    ///
    /// If [`Error::may_have_applied`] returns true, the write may have been
    /// applied despite the error.
    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error>;

    /// Deletes a key if `expect` holds.
    ///
    /// # Errors
    ///
    /// As for [`Store::put`].
    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error>;

    /// Waits up to `wait` for changes after revision `after` to keys that start
    /// with `prefix`.
    ///
    /// # Errors
    ///
    /// After [`Error::Compacted`], the caller must read the prefix with
    /// [`Store::range`] before it watches again.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// If the response was lost, a lease may exist; it expires by itself.
    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease for its full duration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lapsed`] if the lease has expired already.
    fn renew(&self, lease: LeaseId) -> Result<(), Error>;

    /// Ends a lease; its keys are deleted immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unavailable; the lease then expires by
    /// itself.
    fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}
