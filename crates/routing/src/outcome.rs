//! How a request ended for its caller, and how one try at a backend server did.
//!
//! Three outcomes are kept apart as types, since mixing them up breaks a
//! promise: a caller that is told [`Outcome::NotRun`] asks again, so "not run"
//! for a request that did run is a doubled transfer. Only two results of a try
//! are proof that nothing ran: the backend server's own promise
//! ([`Attempt::Rejected`]) and a connection on which no byte was sent
//! ([`Attempt::NotSent`]).

use std::time::Duration;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the backend server's whole answer.
    Answered,
    /// The request was not run anywhere and won't be.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Doubt),
}

/// A request refused at once: not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; ask again in {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// When it makes sense to ask again.
    pub retry_after: Duration,
    /// Why it was refused.
    pub reason: Reason,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// No VM record lists a runner of the service.
    #[error("no runner of the service is known; check that its pool has VMs that serve")]
    NoRunner,
    /// Every runner is cold, draining or leaving.
    #[error("every runner of the service is starting or leaving; wait for the wave to go on")]
    NoneServing,
    /// Every runner was tried already or is ejected as failing.
    #[error("every runner of the service fails or was tried; look at its runners' health")]
    NoneHealthy,
    /// This proxy's share of every runner's slots is in use.
    #[error("every slot is in use; wait, or raise the service's copies")]
    Busy,
    /// The waiting queue is full.
    #[error("the waiting queue is full; wait, or raise the service's copies")]
    QueueFull,
    /// The request would wait past its deadline.
    #[error("the request would wait past its deadline; wait, or raise the service's copies")]
    DeadlineTooSoon,
    /// Another request of a more urgent class took its place in the queue.
    #[error("more urgent work took the place in the queue; ask again later")]
    Displaced,
    /// The retry budget is spent.
    #[error("the retry budget is spent; look at the runners' failures")]
    RetryBudget,
}

/// Why nobody can say whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Doubt {
    /// No answer came in time.
    #[error("no answer came in time; look for the request's effect before asking again")]
    Timeout,
    /// The connection was reset after a byte of the request may have left.
    #[error("the connection was cut; look for the request's effect before asking again")]
    Reset,
    /// The answer ended early.
    #[error("the answer was cut short; look for the request's effect before asking again")]
    Truncated,
    /// The answer carried another request's id.
    #[error("another request's answer came; look for the request's effect before asking again")]
    Mismatch,
}

/// Why a backend server refused, promising that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// Its slots and its queue are full.
    Busy,
    /// It is leaving and takes no new work.
    Leaving,
    /// It does not carry the service (any longer).
    NotHere,
}

/// The result of one try at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// A whole answer came.
    Answered,
    /// A whole answer came and says that the backend server itself failed
    /// (status 500 or above, without the promise of [`Attempt::Rejected`]).
    Failed,
    /// The backend server promises that it did not run the request.
    Rejected(Rejection),
    /// No byte of the request left, since no connection could be made.
    NotSent,
    /// The request may have run.
    Unknown(Doubt),
}

impl Attempt {
    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Rejected(_) | Self::NotSent)
    }

    /// Whether the request may be tried at another runner, if the
    /// [retry budget](crate::retry::Budget) allows it.
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

    /// Whether the runner did its part: `None` for a refusal, which says
    /// nothing about the health of the runner.
    pub fn is_success(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::Rejected(_) => None,
            Self::Failed | Self::NotSent | Self::Unknown(_) => Some(false),
        }
    }

    /// The outcome for the caller if this was the last try. A refused request
    /// is to come back after `retry_after`.
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
