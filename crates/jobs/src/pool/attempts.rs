//! How many failed runs a task may have.
//!
//! While the configuration lacks a queue, nothing says how often its tasks may fail. Neither the end
//! of a job nor another start of a task that has failed can be taken back, so no number is assumed.

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, Task};
use crate::record::State;
use crate::task;

impl Pool {
    /// Returns how many failed runs of a task fail its job: as the configuration says, or while it
    /// lacks the queue, as it said when the job was accepted. `None` if neither is known.
    pub(super) fn attempts(&self, entry: &Entry) -> Option<u32> {
        let configured = self.queues.get(&entry.queue).map(|queue| queue.attempts);
        configured.or(entry.accepted_attempts).map(|attempts| attempts.max(1))
    }

    /// Returns whether a task has failed and it isn't known whether it may start again.
    pub(super) fn awaits_attempts(&self, entry: &Entry, task: &Task) -> bool {
        !task.failed.is_empty() && self.attempts(entry).is_none()
    }

    /// Fails the job of a task that has no attempt left, and returns whether it has none. It may have
    /// used them up while their number wasn't known.
    pub(super) fn fail_at_attempt_limit(&mut self, now: Time, name: task::Name) -> bool {
        let Some(entry) = self.entry(name.job) else { return false };
        let failed = entry.task(name).map_or(0, |task| task.failed.len());
        let has_reached_limit =
            failed > 0 && self.attempts(entry).is_some_and(|attempts| failed >= attempts as usize);
        if has_reached_limit {
            self.end_job(now, name.job, State::Failed);
        }
        has_reached_limit
    }
}
