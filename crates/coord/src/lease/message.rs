//! What a holder is told, and what it wants done.

/// A fencing token: the revision of the key under the lease. Grows with each
/// holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The answer of the platform's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A lease was made.
    Granted {
        /// Its id.
        lease: u64,
    },
    /// The key was absent and is ours.
    PutDone {
        /// Its revision.
        revision: u64,
    },
    /// The key was there already.
    PutConflict,
    /// The key as it stands: the lease it is under and its revision, or
    /// `None` if it is absent.
    Read(Option<Key>),
    /// The lease was renewed.
    Renewed,
    /// The lease is over.
    Lapsed,
    /// The call failed or got no answer; it may have taken effect.
    Failed,
}

/// The key of the work, as read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The lease it is under, or `None` if it was written without one.
    pub lease: Option<u64>,
    /// Its revision.
    pub revision: u64,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The service answered the call that is out.
    Store(Answer),
    /// A watch saw the key go: try at once instead of at the next wait's end.
    Vacant,
    /// Give the lease up: the process is stopping.
    Release,
    /// Time went by. Due at least at the time [`super::Holder::next_tick`] gave.
    Tick,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for a lease of the configured TTL.
    Grant,
    /// Write the key under `lease`, if it is absent.
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
    /// Give the lease up. Its answer, whatever it is, isn't waited for.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// The work is this process's own.
    Started {
        /// The fencing token of everything it writes.
        token: Token,
    },
    /// The work is no longer this process's own.
    Stopped,
}
