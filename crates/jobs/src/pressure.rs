//! Refusal of jobs that can't be served: what the owner of a pool reports of a queue, and what an
//! entry VM decides by it.

mod question;
mod refused;
mod view;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::JobId;
use crate::job::{Job, Room, Step};
use crate::queue::Queue;
use question::is_zero;
pub use question::{Lack, Question, is_known};
pub use view::View;

/// The greatest age of a report by which jobs are refused.
pub const MAX_AGE: Duration = Duration::from_secs(1);
/// The unit of the first level of a wait in [`Report::outline`], in milliseconds.
const LEVEL_MS: u32 = 250;

/// The sizes that a report tells apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Size {
    /// Below the mean of its queue.
    Small,
    /// From the mean to three times the mean.
    Medium,
    /// Above three times the mean.
    Large,
}

impl Size {
    /// All sizes, in the order of the lists in [`Report`].
    pub const ALL: [Self; 3] = [Self::Small, Self::Medium, Self::Large];

    /// Returns the size of a job with [`declared_work`] `work` in a queue with the mean `mean`.
    pub fn of(work: u64, mean: u64) -> Self {
        if work < mean {
            Self::Small
        } else if work <= mean.saturating_mul(3) {
            Self::Medium
        } else {
            Self::Large
        }
    }
}

/// Returns the declared work of a job's steps, in milliseconds of a core.
pub fn declared_work(steps: &[Step]) -> u64 {
    let work = |step: &Step| {
        step.needs.cpu.saturating_mul(u64::from(step.count)).saturating_mul(step.estimate_ms)
            / 1_000
    };
    steps.iter().map(work).fold(0, u64::saturating_add)
}

/// Which jobs of a queue can't be served, as its owner reports it. It takes less than 200 bytes.
///
/// Waits are in milliseconds, by [`Size`]: how long a job that arrives now waits for its first task.
/// They are zero where that is soon enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The mean of [`declared_work`] of the queue's jobs.
    pub mean: u64,
    /// The most of each resource that any worker has left.
    pub free: Room,
    /// The wait, where a job would not be done before it expires.
    #[serde(rename = "full")]
    pub expiring: [u32; 3],
    /// The wait, where a job would not be done in time.
    pub late: [u32; 3],
    /// The age of the report when the owner sent it, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age_ms: u64,
}

impl Report {
    /// Returns whether the report refuses no job.
    pub fn is_clear(&self) -> bool {
        self.expiring == [0; 3] && self.late == [0; 3]
    }

    /// Returns the levels of all waits, each twice as long as the one before. Two reports with the
    /// same outline refuse nearly the same jobs.
    ///
    /// ```
    /// use corianderfork_jobs::pressure::Report;
    ///
    /// let outline = |wait| Report { late: [0, 0, wait], ..Report::default() }.outline();
    /// assert_eq!(outline(0), 0);
    /// assert_eq!(outline(600), outline(700));
    /// assert!(outline(700) < outline(900));
    /// ```
    pub fn outline(&self) -> u32 {
        let level = |wait: &u32| match wait {
            0 => 0,
            wait => (wait / LEVEL_MS + 1).ilog2() + 1,
        };
        let waits = self.expiring.iter().chain(&self.late);
        waits.fold(0, |outline, wait| outline << 4 | level(wait).min(15))
    }

    /// Returns why a job is refused; `None` if it is accepted.
    pub fn answer(&self, queue: &Queue, question: &Question, is_owed: bool) -> Option<Lack> {
        let [cpu, memory_mb, gpu] = question.least;
        let chain = Duration::from_millis(question.chain);
        let least = Room { cpu, memory_mb, gpu };
        let job = Candidate { id: JobId(0), work: question.work, chain, least };
        let (wait, bearable) = self.lack(queue, &job, is_owed)?;
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Some(Lack { wait: millis(wait), bearable: millis(bearable), age: self.age_ms })
    }

    /// Returns the wait of a job that is refused, and the longest wait that it could bear.
    fn lack(&self, queue: &Queue, job: &Candidate, is_owed: bool) -> Option<(Duration, Duration)> {
        // There is room for it whatever waits: others wait for something else.
        if self.free.fits(&Room::default(), &job.least) {
            return None;
        }
        let size = Size::of(job.work, self.mean) as usize;
        let allowed = job.chain.mul_f64(queue.stretch.clamp(0.0, 100.0)) + queue.slack;
        let until = |end: Duration| end.saturating_sub(job.chain);
        let millis = |wait: u32| Duration::from_millis(u64::from(wait));
        let expiring = (millis(self.expiring[size]), until(allowed * 3));
        if is_owed {
            return (expiring.0 > expiring.1).then_some(expiring);
        }
        // While any owed job is refused, none that isn't owed is accepted.
        let longest = self.expiring.iter().chain(&self.late).max().copied().unwrap_or(0);
        if self.late[size] > 0 {
            let late = (millis(self.late[size]), until(allowed));
            if late.0 > late.1 {
                return Some(late);
            }
        }
        let is_full = self.expiring != [0; 3];
        is_full.then(|| (millis(longest), until(allowed).min(millis(longest))))
    }
}

/// A submitted job that may be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    id: JobId,
    /// Its [`declared_work`].
    work: u64,
    /// The declared duration of its longest chain of steps.
    chain: Duration,
    /// The least of each resource that one of its first tasks needs.
    least: Room,
}

impl Candidate {
    /// Returns what decides about a job, or `None` for a job that is never refused: one that is
    /// long-running, scheduled or a gang.
    pub fn new(id: JobId, job: &Job) -> Option<Self> {
        if job.is_long_running() || job.schedule.is_some() || job.steps.iter().any(|s| s.gang) {
            return None;
        }
        let first = job.steps.iter().filter(|step| step.after.is_empty()).map(Step::room);
        let smaller = |a: Room, b: Room| Room {
            cpu: a.cpu.min(b.cpu),
            memory_mb: a.memory_mb.min(b.memory_mb),
            gpu: a.gpu.min(b.gpu),
        };
        let chain = Duration::from_millis(job.chain_ms());
        Some(Self { id, work: declared_work(&job.steps), chain, least: first.reduce(smaller)? })
    }
}

/// A refusal and the inputs by which it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The size of the job.
    pub size: Size,
    /// Whether its organisation is owed the job.
    pub is_owed: bool,
    /// How long the job would wait, by the report.
    pub wait: Duration,
    /// How long it could wait.
    pub bearable: Duration,
    /// The age of the report.
    pub age: Duration,
    /// The seconds after which the caller should come back.
    pub retry_after: u64,
}
