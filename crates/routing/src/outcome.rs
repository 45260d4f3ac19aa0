//! Outcomes of requests, and results of single tries at backend servers.
//!
//! The three outcomes are distinct because confusing them breaks a guarantee: a
//! caller that receives [`Outcome::NotRun`] retries, so reporting "not run" for
//! a request that did run doubles a transfer. Only two results of a try prove
//! that nothing ran: the backend server's own guarantee ([`Attempt::Rejected`])
//! and a connection on which no byte was sent ([`Attempt::NotSent`]).

use std::time::Duration;

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has received the complete answer of the backend server.
    Answered,
    /// The request was not run and will not be.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Doubt),
}

/// The refusal of a request that was not run, with the time to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; ask again in {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// When to retry.
    pub retry_after: Duration,
    /// The reason of the refusal.
    pub reason: Reason,
}

/// The reason why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// No VM record lists a runner of the service.
    #[error("no runner of the service is known; check that its pool has VMs that serve")]
    NoRunner,
    /// Every runner is cold, draining or leaving.
    #[error("every runner of the service is starting or leaving; wait for the wave to go on")]
    NoneServing,
    /// Every runner was tried already or is ejected.
    #[error("every runner of the service fails or was tried; look at its runners' health")]
    NoneHealthy,
    /// This proxy's share of every runner's slots is in use.
    #[error("every slot is in use; wait, or raise the service's copies")]
    Busy,
    /// The waiting queue is full.
    #[error("the waiting queue is full; wait, or raise the service's copies")]
    QueueFull,
    /// The request would wait beyond its deadline.
    #[error("the request would wait past its deadline; wait, or raise the service's copies")]
    DeadlineTooSoon,
    /// A request of a more urgent class took its place in the queue.
    #[error("more urgent work took the place in the queue; ask again later")]
    Displaced,
    /// The retry budget is exhausted.
    #[error("the retry budget is spent; look at the runners' failures")]
    RetryBudget,
}

/// The reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Doubt {
    /// No answer arrived in time.
    #[error("no answer came in time; look for the request's effect before asking again")]
    Timeout,
    /// The connection was reset after a byte of the request may have been sent.
    #[error("the connection was cut; look for the request's effect before asking again")]
    Reset,
    /// The answer was truncated.
    #[error("the answer was cut short; look for the request's effect before asking again")]
    Truncated,
    /// The answer has the id of another request.
    #[error("another request's answer came; look for the request's effect before asking again")]
    Mismatch,
}

/// The reason why a backend server rejected a request, with the guarantee that
/// it did not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// Its slots and its queue are full.
    Busy,
    /// The server is leaving and takes no new work.
    Leaving,
    /// The server does not run the service (any more).
    NotHere,
}

/// The result of one try at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// A complete answer arrived.
    Answered,
    /// A complete answer arrived and reports that the backend server itself
    /// failed (status 500 or above, without the guarantee of
    /// [`Attempt::Rejected`]).
    Failed,
    /// The backend server guarantees that it did not run the request.
    Rejected(Rejection),
    /// No byte of the request was sent because no connection could be made.
    NotSent,
    /// The request may have run.
    Unknown(Doubt),
}

impl Attempt {
    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Rejected(_) | Self::NotSent)
    }

    /// Whether the request may be retried at another runner, if the [retry
    /// budget](crate::retry::Budget) permits it.
    ///
    /// ```
    /// use corianderfork_routing::outcome::{Attempt, Doubt, Rejection};
    ///
    /// let cut = Attempt::Unknown(Doubt::Reset);
    /// assert!(cut.may_retry(true)); // idempotent
    /// assert!(!cut.may_retry(false)); // it may have run
    /// assert!(Attempt::Rejected(Rejection::Busy).may_retry(false));
    /// ```
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::Rejected(_) | Self::NotSent => true,
            Self::Failed | Self::Unknown(_) => idempotent,
        }
    }

    /// Whether the runner succeeded. `None` for a rejection, which says nothing
    /// about the runner's health.
    pub fn is_success(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::Rejected(_) => None,
            Self::Failed | Self::NotSent | Self::Unknown(_) => Some(false),
        }
    }

    /// Returns the outcome for the caller if this was the last try. A rejected
    /// request may be retried after `retry_after`.
    pub fn outcome(self, retry_after: Duration) -> Outcome {
        let not_run = |reason| Outcome::NotRun(Refusal { retry_after, reason });
        match self {
            Self::Answered | Self::Failed => Outcome::Answered,
            Self::Rejected(Rejection::Busy) => not_run(Reason::Busy),
            Self::Rejected(_) => not_run(Reason::NoneServing),
            Self::NotSent => not_run(Reason::NoneHealthy),
            Self::Unknown(doubt) => Outcome::Unknown(doubt),
        }
    }
}
