//! The key-value service: compare-and-swap, leases and watches.

use std::fmt;
use std::time::Duration;

/// The largest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The number of a write, counted over the whole store; only ever grows.
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

/// A lease granted by the store; keys written under it go when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the last write of this key.
    pub revision: Revision,
    /// The lease the key goes with, if any.
    #[serde(default)]
    pub lease: Option<LeaseId>,
}

/// What a write expects to replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Nothing: the key must be absent.
    Absent,
    /// The entry last written at this revision.
    Revision(Revision),
    /// Anything. Only for values that one process alone ever writes.
    Anything,
}

/// What a read of one key found.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Lookup {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The entry, if the key exists.
    pub entry: Option<Entry>,
}

/// What a read of a prefix found.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Range {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The entries, ordered by key.
    pub entries: Vec<Entry>,
}

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// The entry now, or `None` if the key was deleted or its lease lapsed.
    pub entry: Option<Entry>,
    /// The revision of the change.
    pub revision: Revision,
}

/// What a watch saw by its end.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete; watch on after it.
    pub revision: Revision,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The entry is not the expected one; nothing was written.
    #[error("the key `{key}` was changed by someone else; read it again and decide anew")]
    Conflict {
        /// The key.
        key: String,
        /// The entry as it is, if there is one.
        current: Option<Entry>,
    },
    /// The store refused or could not be reached; nothing was written.
    #[error("the platform's store is unavailable ({0}); nothing was written, try again later")]
    Unavailable(String),
    /// The answer was lost; a write may have taken effect.
    #[error("the platform's store gave no answer ({0}); read back before writing again")]
    Unknown(String),
    /// The value is larger than [`MAX_VALUE`].
    #[error("the value of `{key}` has {len} bytes; the store takes at most {MAX_VALUE}")]
    TooLarge {
        /// The key.
        key: String,
        /// The length of the value, in bytes.
        len: usize,
    },
    /// The watch begins before what the store remembers.
    #[error("the watch starts too far back; read the prefix whole and watch from there")]
    Compacted,
    /// The lease has lapsed.
    #[error("the lease has lapsed; stop acting under it and ask for a new one")]
    Lapsed,
    /// The answer could not be understood.
    #[error("the platform's store answered what is not its protocol: {0}; check its address")]
    Malformed(String),
}

impl Error {
    /// Whether a write that failed like this may have taken effect.
    pub const fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}

/// The key-value service.
///
/// Calls block, each for a bounded time that the implementation states.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or its answer was lost.
    fn get(&self, key: &str) -> Result<Lookup, Error>;

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or its answer was lost.
    fn range(&self, prefix: &str) -> Result<Range, Error>;

    /// Writes a key if it is as expected.
    ///
    /// # Errors
    ///
    /// [`Error::may_have_applied`] tells whether the write may have taken
    /// effect all the same.
    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error>;

    /// Deletes a key if it is as expected.
    ///
    /// # Errors
    ///
    /// As for [`Store::put`].
    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error>;

    /// Waits up to `wait` for changes after a revision to keys with a prefix.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] asks for a new [`Store::range`].
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// A lease whose grant was lost lapses by itself.
    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    ///
    /// [`Error::Lapsed`] if it is too late.
    fn renew(&self, lease: LeaseId) -> Result<(), Error>;

    /// Ends a lease; its keys go at once.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable; the lease then lapses by itself.
    fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}
