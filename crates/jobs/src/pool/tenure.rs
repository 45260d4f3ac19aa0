//! What an owner may decide while another one may have taken its pool over.
//!
//! An owner that can't reach the store goes on for a while, and its successor may be at work on the
//! other side of a partition. Neither hears of the other, and each reaches some workers only. A worker
//! rejects the lower fence once it has heard of the higher one: when it accepted a call of an owner, it
//! had heard from no successor, and what it lists itself is true. All else may have been contradicted
//! on the other side: leases renewed, ends noted, runs started.
//!
//! | decision | while another owner may be at work |
//! |---|---|
//! | a run has ended: its worker lists the end | as ever |
//! | a run never began: each copy of its start was refused or not sent | as ever |
//! | a run has ended, by anything else ([`Proof`]) | waits |
//! | a start of a task that has not run, or whose run ended as above | as ever: a successor starts it only once it has heard from each worker that this owner may use, or this owner has stopped |
//! | a start of any other task | waits |
//! | the leases of former owners have passed, so that their tasks may start | waits |
//! | a start of a job that was learned of meanwhile ([`Hold::Ownership`](super::Hold)) | waits |
//! | a stop of a cancelled job, of a run that belongs to no task, of one without room | as ever |
//! | a stop for the sake of other work, of a worker that leaves, of a stalled run | waits: a successor may stop others of the same step |
//! | a worker is empty, a worker is spare | is not told |
//! | a job is queued or running | is not told: a successor may have told callers that it has ended |
//! | a job has ended, and that is written | as ever |

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, Task, TaskState};
use super::proof::Proof;
use crate::record::State;
use crate::worker;

impl Pool {
    /// Sets until when no other owner can have taken the pool over, as far as is known. Without such a
    /// time no other owner is expected at all.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let at = Time::from_millis;
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// assert!(pool.is_confirmed(at(1_000)));
    /// pool.confirm_until(at(500));
    /// assert!(pool.is_confirmed(at(499)));
    /// assert!(!pool.is_confirmed(at(500)));
    /// ```
    pub fn confirm_until(&mut self, until: Time) {
        if self.confirmed_until.is_some_and(|before| before < until) {
            self.withheld.clear();
        }
        self.confirmed_until = Some(until);
    }

    /// Records that another owner may have taken the pool over by now.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let at = Time::from_millis;
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// pool.confirm_until(at(500));
    /// pool.doubt(at(300));
    /// assert!(!pool.is_confirmed(at(300)));
    /// ```
    pub fn doubt(&mut self, now: Time) {
        self.confirmed_until = Some(self.last_confirmed(now));
    }

    /// Returns whether no other owner can have taken the pool over.
    pub fn is_confirmed(&self, now: Time) -> bool {
        self.confirmed_until.is_none_or(|until| now < until)
    }

    /// Returns whether callers may be told that a job is in a state.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_jobs::record::State;
    /// use corianderfork_model::Time;
    ///
    /// let at = Time::from_millis;
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// pool.doubt(at(300));
    /// assert!(!pool.may_tell(at(300), State::Running));
    /// assert!(pool.may_tell(at(300), State::Completed));
    /// ```
    pub fn may_tell(&self, now: Time, state: State) -> bool {
        state.is_final() || self.is_confirmed(now)
    }

    /// Returns the latest time up to which no other owner can have taken the pool over.
    pub(super) fn last_confirmed(&self, now: Time) -> Time {
        self.confirmed_until.map_or(now, |until| now.min(until))
    }

    /// Returns whether `proof` shows that the runs on a worker are over. If not, that is logged once.
    pub(super) fn may_conclude(&mut self, now: Time, key: worker::Key, proof: Proof) -> bool {
        if proof.is_firsthand() || self.is_confirmed(now) {
            return true;
        }
        let runs = self.workers.get(key).map_or(0, |worker| worker.allocations.len());
        if runs > 0 && self.withheld.insert(key) {
            let why = format!("{proof}, but another owner may have the pool; runs there: {runs}");
            self.note("runs not given up", None, Some(key), why);
        }
        false
    }

    /// Returns whether a task may start as far as other owners are concerned: none can be at work, or
    /// the task's former run is over by what its worker said.
    pub(super) fn is_free_to_start(&self, now: Time, task: &Task) -> bool {
        self.is_confirmed(now)
            || task.former_run.as_ref().is_none_or(|run| run.proof().is_firsthand())
    }

    /// Returns whether a task waits and nothing of its own keeps it from starting.
    pub(super) fn is_startable(&self, now: Time, entry: &Entry, task: &Task) -> bool {
        matches!(task.state, TaskState::Waiting)
            && now >= task.not_before
            && !self.awaits_attempts(entry, task)
            && self.is_free_to_start(now, task)
    }
}
