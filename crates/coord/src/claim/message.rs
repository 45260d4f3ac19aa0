//! What an owner and a takeover are told, and what they want done.

use std::time::Duration;

use super::id::{Attempt, Id};
use super::segment::{Entry, Segment};

/// A question for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// What the reply is addressed to, of the driver's choice.
    pub key: u64,
    /// The request.
    pub id: Id,
    /// Who wants to run it.
    pub attempt: Attempt,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The request was run and answered.
    Done,
    /// The attempt gave up before the first byte went to a backend server, or
    /// the backend server promised that it wasn't run.
    Abandoned,
}

/// What is known of the outcome of a duplicate's first run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was run and answered.
    Done,
    /// It may have been run, or may still be running.
    Unknown,
}

/// The reply to an [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Verdict {
    /// The attempt may run the request; nobody else may.
    Granted,
    /// Another attempt may have run it already.
    Duplicate {
        /// What is known of that run.
        outcome: Outcome,
        /// The other attempt.
        holder: Attempt,
    },
    /// The id is too old to know whether it was run. It must not be.
    Expired,
    /// The id was issued in the future; the caller's clock is wrong.
    Invalid,
    /// Not run. The caller may come back, as a fresh attempt.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
}

/// The platform's answer to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    PutDone {
        /// The segment written.
        segment: u64,
        /// Its revision now.
        revision: u64,
    },
    /// The expected revision was not current; nothing was written.
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
    /// The segment as it stands, or `None` if it is absent.
    Read {
        /// The segment read.
        segment: u64,
        /// What was found.
        entry: Option<Entry>,
    },
    /// No answer to a read.
    ReadFailed {
        /// The segment.
        segment: u64,
    },
    /// All segments of the shard, as they stood at one moment.
    Listed(Vec<Entry>),
    /// No answer to a list.
    ListFailed,
    /// The segment is gone (also if it was absent before).
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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Somebody wants to run a request.
    Request(Request),
    /// An attempt that was granted, or whose reply never came, has ended.
    Settle {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: End,
    },
    /// The platform's service answered.
    Store(Answer),
    /// Time went by. Due at least at the time the machine's `next_tick` gave.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a segment if its revision is `expect`; 0 means absent.
    Put {
        /// The segment.
        segment: u64,
        /// The revision it must have.
        expect: u64,
        /// What to write.
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
    /// Send a reply to an [`Request`].
    Reply {
        /// The key of the ask.
        key: u64,
        /// The reply.
        verdict: Verdict,
    },
    /// Another process owns the shard: release the lease, drop this machine.
    Deposed,
}
