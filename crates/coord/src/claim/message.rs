//! Events and actions of [`super::Owner`] and [`super::Takeover`].

use std::time::Duration;

use super::id::{Attempt, Id};
use super::segment::{Entry, Segment};

/// A request to claim an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The driver's key for the reply.
    pub key: u64,
    /// The request id.
    pub id: Id,
    /// The attempt that wants to run the request.
    pub attempt: Attempt,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The request was run and answered.
    Done,
    /// The attempt was given up before the first byte went to a backend server,
    /// or the backend server promised that it did not run the request.
    Abandoned,
}

/// What is known about the first run of a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was run and answered.
    Done,
    /// The request may have been run, or may still be running.
    Unknown,
}

/// The reply to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Verdict {
    /// The attempt may run the request, and no other attempt may.
    Granted,
    /// Another attempt may have run the request already.
    Duplicate {
        /// What is known about that run.
        outcome: Outcome,
        /// The other attempt.
        holder: Attempt,
    },
    /// The id is too old to know whether the request was run. It must not be
    /// run.
    Expired,
    /// The id was issued in the future: the caller's clock is wrong.
    Invalid,
    /// The request was not run. The caller may retry, as a new attempt.
    Unavailable {
        /// When to retry.
        retry_after: Duration,
    },
}

/// An answer of the platform's service to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    PutDone {
        /// The segment that was written.
        segment: u64,
        /// The new revision of the segment.
        revision: u64,
    },
    /// The revision did not match; nothing was written.
    PutConflict {
        /// The segment.
        segment: u64,
    },
    /// No answer: the write may have taken effect, or may do so later.
    PutUnknown {
        /// The segment.
        segment: u64,
    },
    /// The platform's service refused the call; nothing was written.
    PutUnavailable {
        /// The segment.
        segment: u64,
    },
    /// The current segment, or `None` if it is absent.
    Read {
        /// The segment that was read.
        segment: u64,
        /// The segment's entry.
        entry: Option<Entry>,
    },
    /// No answer to a read.
    ReadFailed {
        /// The segment.
        segment: u64,
    },
    /// All segments of the shard, as of one point in time.
    Listed(Vec<Entry>),
    /// No answer to a list.
    ListFailed,
    /// The segment does not exist any more (or did not exist).
    Deleted {
        /// The segment.
        segment: u64,
    },
    /// The delete was not confirmed.
    DeleteFailed {
        /// The segment.
        segment: u64,
    },
}

/// An input of an owner or takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process wants to run a request.
    Request(Request),
    /// An attempt has ended that was granted, or whose reply never arrived.
    Settle {
        /// The request id.
        id: Id,
        /// The attempt.
        attempt: Attempt,
        /// How the attempt ended.
        end: End,
    },
    /// The platform's service answered.
    Store(Answer),
    /// Time has passed. Due at the latest at the time that `next_tick` of the
    /// owner or takeover returned.
    Tick,
}

/// An output of an owner or takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a segment if its current revision is `expect`; 0 means that it
    /// must be absent.
    Put {
        /// The segment.
        segment: u64,
        /// The expected revision.
        expect: u64,
        /// The new value.
        value: Segment,
    },
    /// Read one segment.
    Read {
        /// The segment.
        segment: u64,
    },
    /// Read all segments of the shard in one call.
    List,
    /// Delete a segment, whatever its revision.
    Delete {
        /// The segment.
        segment: u64,
    },
    /// Send the reply to a [`Request`].
    Reply {
        /// The key of the request.
        key: u64,
        /// The reply.
        verdict: Verdict,
    },
    /// Another process owns the shard: release the lease and drop the owner or
    /// takeover.
    Deposed,
}
