//! One task, and the runs of it.

use crate::id::JobId;

/// Names a task of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    /// The job.
    pub job: JobId,
    /// The occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task in its step.
    pub index: u32,
}

impl Name {
    /// Whether both are tasks of the same step of the same occurrence.
    pub(crate) fn is_sibling(&self, other: &Self) -> bool {
        (self.job, self.occurrence, self.step) == (other.job, other.occurrence, other.step)
    }
}

/// A run as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: Name,
    /// The number of this start.
    pub run: u64,
    /// The newest saved progress; empty if there is none.
    pub saved: String,
    /// How far it is; for a task that lasts, 100 is at work.
    pub percent: u32,
    /// For a task that serves, the tail of its response times in milliseconds;
    /// else thousandths of a core in use. Over about the last half second.
    pub gauge: u64,
}

/// An end as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    /// Its number on that worker, from 1.
    pub number: u64,
    /// The task.
    pub task: Name,
    /// The number of the start.
    pub run: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The newest saved progress; empty if there is none.
    pub saved: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the rest of its gang.
    Alone,
}
