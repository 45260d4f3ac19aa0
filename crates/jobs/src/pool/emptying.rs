//! The predicted time until a worker is empty.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::victim::MIN_LEFT_MS;
use crate::task;
use crate::worker::{self, STRANDED_AFTER, Worker};

impl Pool {
    /// Returns the predicted time until a worker is empty if no task is started there; `None` if it
    /// is unknown.
    ///
    /// Runs that are slower than predicted count with the time that they are predicted to need.
    pub fn empty_in(&self, now: Time, id: &str) -> Option<Duration> {
        let (key, worker) = self.worker(id)?;
        let runs = worker.allocations.keys().filter_map(|name| self.run_left(now, key, *name));
        let longest = runs.max().unwrap_or_default();
        // Long-running tasks leave one after the other, each once it runs elsewhere.
        Some(longest.max(STRANDED_AFTER.saturating_mul(worker.long_running)).max(stray(worker)))
    }

    fn run_left(&self, now: Time, key: worker::Key, name: task::Name) -> Option<Duration> {
        let entry = self.entry(name.job)?;
        let placement = entry.placement(name).filter(|placement| placement.worker == key)?;
        let step = entry.step(name)?;
        if step.long_running {
            return None;
        }
        let left_ms = self.predicted_remaining_ms(now, entry, step, placement);
        Some(Duration::from_millis(left_ms))
    }
}

fn stray(worker: &Worker) -> Duration {
    if worker.strays.is_empty() { Duration::ZERO } else { Duration::from_millis(MIN_LEFT_MS) }
}
