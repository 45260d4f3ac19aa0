//! What is written of a job, so that it outlives every process.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::Job;

/// A job as it was accepted. Written once, before the caller is told so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The queue it was handed in at.
    pub queue: String,
    /// When, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The job.
    pub job: Job,
}

/// How far a job is. Written by the pool's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// The queue; kept here since the job's record goes with its end.
    pub queue: String,
    /// When it ended, in milliseconds since the Unix epoch; 0 before.
    #[serde(default)]
    pub ended_ms: u64,
    /// Tasks done: a bit a task, by occurrence and step.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub done: BTreeMap<String, Vec<u64>>,
    /// The numbers of a task's failed runs, by occurrence, step and index. The
    /// numbers and not their count: a worker may list an end again that was
    /// written before, and a run that fails once must not count twice.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<String, Vec<u64>>,
    /// The numbers of a task's runs that are suspected of crashing their worker, by
    /// occurrence, step and index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashed: BTreeMap<String, Vec<u64>>,
    /// What the last run of a task saved that waits to go on, by occurrence, step and
    /// index. While it runs its worker has it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub saved: BTreeMap<String, String>,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// Tasks have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller took it back.
    Cancelled,
}

impl State {
    /// Whether nothing more happens to it.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
