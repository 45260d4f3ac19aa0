//! What an entry VM asks before it refuses a job.

use serde::{Deserialize, Serialize};

use super::Report;

/// What an entry VM asks the owner of a pool before it refuses a job: whether that holds now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The job's [`declared_work`](super::declared_work).
    #[serde(rename = "w")]
    pub work: u64,
    /// The declared duration of its longest chain of steps, in milliseconds.
    #[serde(rename = "c")]
    pub chain: u64,
    /// The least CPU, memory and GPUs that one of its first tasks needs.
    #[serde(rename = "l")]
    pub least: [u64; 3],
    /// The outline of the report that the entry VM has: the owner sends its report only if that has
    /// another one. `Some(0)` asks for no report; `None` for any.
    #[serde(default, rename = "k", skip_serializing_if = "Option::is_none")]
    pub known: Option<u32>,
}

/// Why the owner of a pool would refuse a job, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lack {
    /// How long the job would wait.
    #[serde(rename = "w")]
    pub wait: u64,
    /// How long it could wait.
    #[serde(rename = "b")]
    pub bearable: u64,
    /// The age of the estimate.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub age: u64,
}

/// Returns whether an entry VM with a report of the outline `known` needs none of the present one.
///
/// ```
/// use corianderfork_jobs::pressure::{Report, is_known};
///
/// let report = Report { expiring: [0, 0, 900], ..Report::default() };
/// assert!(is_known(Some(report.outline()), &report) && is_known(Some(0), &report));
/// assert!(!is_known(None, &report) && !is_known(Some(1), &report));
/// ```
pub fn is_known(known: Option<u32>, report: &Report) -> bool {
    known.is_some_and(|known| known == 0 || known == report.outline())
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
pub(super) fn is_zero(number: &u64) -> bool {
    *number == 0
}
