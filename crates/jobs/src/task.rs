//! Tasks and their runs.

use crate::id::JobId;

/// The name of a task of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The index of the task in its step.
    pub index: u32,
}

impl Name {
    /// Returns whether both are tasks of the same step of the same occurrence.
    pub(crate) fn is_sibling(&self, other: &Self) -> bool {
        (self.job, self.occurrence, self.step) == (other.job, other.occurrence, other.step)
    }
}

/// A current run, as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: Name,
    /// The number of the run.
    pub run: u64,
    /// The newest saved progress; empty if there is none.
    pub saved: String,
    /// The progress in percent; 100 means ready for a long-running task.
    pub percent: u32,
    /// The tail latency of a serving task in milliseconds, or the CPU use of another task in
    /// thousandths of a core, over about the last half second.
    pub gauge: u64,
}

/// The exit of a run, as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    /// The number of the exit on that worker, from 1.
    pub number: u64,
    /// The task.
    pub task: Name,
    /// The number of the run.
    pub run: u64,
    /// How the run ended.
    pub outcome: Outcome,
    /// The newest saved progress; empty if there is none.
    pub saved: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The run waited too long for the rest of its gang.
    Alone,
}
