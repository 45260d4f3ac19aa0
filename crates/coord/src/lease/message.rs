//! Events and actions of a lease holder.

/// A fencing token: the revision of the key under the lease. It increases with
/// each holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// An answer of the platform's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A lease was granted.
    Granted {
        /// The lease id.
        lease: u64,
    },
    /// The key was absent and now belongs to this holder.
    PutDone {
        /// The revision of the key.
        revision: u64,
    },
    /// The key already exists.
    PutConflict,
    /// The current lease and revision of the key, or `None` if it is absent.
    Read(Option<Key>),
    /// The lease was renewed.
    Renewed,
    /// The lease has expired.
    Lapsed,
    /// The call failed or was not answered; it may have taken effect.
    Failed,
}

/// The key that the holder writes, as read from the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The lease that it is under, or `None` if it was written without one.
    pub lease: Option<u64>,
    /// The revision of the key.
    pub revision: u64,
}

/// An input of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The service answered the pending call.
    Store(Answer),
    /// A watch saw the key deleted: try to acquire the lease now instead of
    /// after the current wait.
    Vacant,
    /// The process is stopping: release the lease.
    Release,
    /// Time has passed. Due at the latest at the time returned by
    /// [`super::Holder::next_tick`].
    Tick,
}

/// An output of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request a lease with the configured TTL.
    Grant,
    /// Write the key under `lease` if it is absent.
    Put {
        /// The lease.
        lease: u64,
    },
    /// Read the key.
    Read,
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Revoke the lease. The driver does not report the answer.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// This process now holds the lease and may act.
    Started {
        /// The fencing token for everything that it writes.
        token: Token,
    },
    /// This process no longer holds the lease.
    Stopped,
}
