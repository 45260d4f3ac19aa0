//! Which waiting jobs get room while more of them could be in time than fit.
//!
//! Earliest deadline first makes each job just late under overload: the oldest go first, and a job
//! that arrives has waited for its whole slack when its turn comes. [`Overload::choose`] passes
//! over some jobs early instead, so that the others start well before they would be late.

mod capacity;
mod newest;
mod sizes;
mod sweep;

use std::time::Duration;

use corianderfork_model::Time;

pub use capacity::{Capacity, Run, charge};
pub use newest::Newest;
pub use sizes::{Class, Profile, Sizes};
use sweep::{Item, Sweep};

use crate::work::Work;

/// The part of the capacity that the chosen jobs may need while jobs are passed over.
///
/// The rest is for jobs that arrive later and are worth more for their work, for tasks that take
/// longer than predicted, and for the time between the end of a run and the next start. With more,
/// chosen jobs are displaced after they have waited, or started too late.
const PLANNED_SHARE: f64 = 0.25;
/// Jobs are passed over once they need more than the capacity, until they need no more than this
/// part of it. Otherwise a load near the capacity would change the order with each renewal.
const RESUMED_SHARE: f64 = 0.8;

/// A job, or one occurrence of a scheduled job, with tasks that wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The operators' priority; 0 is the highest. Each takes capacity before the lower ones.
    pub priority: u32,
    /// Index of its queue among the profiles.
    pub queue: usize,
    /// When its next task has to start at the latest for the job to be in time; `None` if it will
    /// be late in any case.
    pub latest_start: Option<Time>,
    /// The duration of the longest chain of unfinished steps.
    pub chain: Duration,
    /// The work of its waiting tasks, also of steps that aren't ready.
    pub work: Work,
    /// The CPU work of all of its tasks, as in [`Sizes`].
    pub size: f64,
    /// Whether some of its tasks were started. It is rarely passed over: less of its work is left
    /// for the same worth.
    pub has_begun: bool,
}

/// Chooses among waiting jobs while more of them could be in time than fit.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_jobs::job::Room;
/// use corianderfork_jobs::pool::overload::{Capacity, Job, Overload, Profile};
/// use corianderfork_jobs::work::Work;
/// use corianderfork_model::Time;
///
/// let room = Room { cpu: 4_000, memory_mb: 4_000, gpu: 0 };
/// let capacity = Capacity::new(&room, Vec::new());
/// let core = Room { cpu: 1_000, memory_mb: 0, gpu: 0 };
/// let chain = Duration::from_secs(1);
/// let job = Job {
///     priority: 0,
///     queue: 0,
///     latest_start: Some(Time::from_millis(100)),
///     chain,
///     work: Work::of(&core, chain),
///     size: 1_000.0,
///     has_begun: false,
/// };
/// let queues = [Profile::default()];
/// let mut overload = Overload::default();
/// let is_passed_over = overload.choose(Time::ZERO, &capacity, &[job; 4], &queues);
/// assert_eq!(is_passed_over, [false; 4]);
/// let is_passed_over = overload.choose(Time::ZERO, &capacity, &[job; 8], &queues);
/// assert!(is_passed_over.contains(&true) && is_passed_over.contains(&false));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Overload {
    is_on: bool,
}

impl Overload {
    /// Returns whether jobs were passed over at the last choice.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Returns for each job whether it is passed over. Late jobs are not: they come after all
    /// others in any case.
    ///
    /// Jobs are taken in order of their latest start. When one doesn't fit any more, those with the
    /// least worth for their work are passed over.
    ///
    /// # Panics
    ///
    /// Panics if the queue of a job has no profile.
    pub fn choose(
        &mut self,
        now: Time,
        capacity: &Capacity,
        jobs: &[Job],
        queues: &[Profile],
    ) -> Vec<bool> {
        let key = |(index, job): (usize, &Job)| {
            ((job.priority, job.latest_start.is_none(), job.latest_start), index)
        };
        let mut order: Vec<_> = jobs.iter().enumerate().map(key).collect();
        // Nearly sorted already, since jobs arrive in about this order: a stable sort is faster.
        order.sort_by_key(|(key, _)| *key);
        let order: Vec<usize> = order.into_iter().map(|(_, index)| index).collect();
        let items: Vec<Item> =
            jobs.iter().map(|job| Item::new(now, capacity, job, queues)).collect();
        let share = if self.is_on { RESUMED_SHARE } else { 1.0 };
        self.is_on = !sweep::fits(capacity, share, &items, &order);
        if !self.is_on {
            return vec![false; jobs.len()];
        }
        let new = || Sweep::new(capacity, PLANNED_SHARE, &items, queues.len());
        let mut sweep = new();
        sweep.run(&order);
        if let Some(shares) = sweep.shares_if_uneven() {
            // The queue's share at the end is known now, which the first run could only guess from
            // the jobs before.
            sweep = new().with_shares(shares);
            sweep.run(&order);
        }
        sweep.passed_over()
    }
}
