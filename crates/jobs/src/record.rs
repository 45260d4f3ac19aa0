//! Records of jobs in the store.

mod done;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use done::{Done, Finished};

use crate::job::Job;

/// An accepted job. Written once, before the caller gets the confirmation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The queue to which it was submitted.
    pub queue: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The job.
    pub job: Job,
    /// The organisation that submitted it; `None` if its route needed no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// How many failed runs of a task failed its job by the configuration under which it was
    /// accepted. It holds while the configuration lacks the queue. Earlier versions neither write
    /// nor read this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
}

/// The progress of a job. Written by the pool's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The state of the job.
    pub state: State,
    /// The queue, repeated here since the job's record is removed when the job ends.
    pub queue: String,
    /// The organisation, repeated for the same reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// When the job ended, in milliseconds since the Unix epoch; 0 before.
    #[serde(default)]
    pub ended_ms: u64,
    /// The finished tasks and occurrences.
    #[serde(default, skip_serializing_if = "Done::is_empty")]
    pub done: Done,
    /// The numbers of the failed runs of each task, by occurrence, step and index. Numbers are
    /// stored and not a count because a worker may list an exit again after it was written, and
    /// a failed run must not count twice.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<String, Vec<u64>>,
    /// The numbers of the runs of each task that are suspected of crashing their worker, by
    /// occurrence, step and index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashed: BTreeMap<String, Vec<u64>>,
    /// Those of the runs in `crashed` that had only just been ordered. A successor that hears that
    /// all workers of its predecessors live on removes them. Earlier versions neither write nor
    /// read this.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub starting: BTreeMap<String, Vec<u64>>,
    /// The IDs of the workers on which the runs in `starting` were ordered, in the same order.
    /// Earlier versions neither write nor read this.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub starting_on: BTreeMap<String, Vec<String>>,
    /// The tasks that have run for long without crashing their worker, as a bit set for each
    /// occurrence and step. Earlier versions neither write nor read this.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub proven: BTreeMap<String, Vec<u64>>,
    /// The progress that the last run of each waiting task saved, by occurrence, step and
    /// index. While a task runs, its worker has the saved progress. A task that was stopped keeps
    /// its entry also while it runs again: its former worker has forgotten the progress, and the
    /// new one may crash before it saves any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub saved: BTreeMap<String, String>,
    /// The number of the run that saved each progress in `saved`. A worker may list the end of an
    /// earlier run again, whose progress must not replace a later one. Earlier versions neither
    /// write nor read this.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub saved_by: BTreeMap<String, u64>,
    /// The numbers of the runs of each task that were stopped so that their worker could leave or
    /// other tasks got their room, by occurrence, step and index. A task is stopped a limited
    /// number of times. Earlier versions neither write nor read this.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub stopped: BTreeMap<String, Vec<u64>>,
}

/// The state of a job.
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
    /// A task failed the maximum number of times.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl State {
    /// Returns whether the state never changes any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
