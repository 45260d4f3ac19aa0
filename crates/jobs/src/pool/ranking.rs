//! The order in which ready steps get room.

use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Occurrence};
use super::{JobKey, Pool};
use crate::job::chain_ms;

/// How long before its expiry a late job is ranked before the others. A longer time serves more of
/// the late jobs and fewer in time; between 0.5 s and 1.2 s the gain and the loss are equal in what
/// users pay.
const CRITICAL_MARGIN: Duration = Duration::from_millis(500);

/// The urgency of a job, most urgent first.
///
/// A job that can no longer be in time yields to those that can, until it is about to expire: a
/// job that is served late earns little, but one that is not served at all counts fully as
/// failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It is long-running, or has to start now to be served at all.
    Critical,
    /// It can finish in time.
    InTime,
    /// It will finish late.
    Late,
    /// It earns nothing any more.
    Expired,
}

/// Identifies a step of an occurrence.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepKey {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: usize,
}

impl Pool {
    /// Returns the ready steps with waiting tasks in the order in which they get room: by the
    /// operators' priority, then by [`Urgency`], then by deadline.
    pub(super) fn ranked_steps(&self, now: Time) -> Vec<StepKey> {
        let is_recovering = self.is_recovering(now);
        let mut ranked = Vec::new();
        for (job, entry) in &self.jobs {
            let is_active = !entry.state.is_final();
            // A run that a predecessor may have started may still be alive where this owner
            // can't see it.
            let is_safe_to_start = !is_recovering || entry.revision > self.config.fence;
            if is_active && is_safe_to_start {
                let priority = self.queues.get(&entry.queue).map_or(u32::MAX, |q| q.priority);
                for (number, occurrence) in &entry.occurrences {
                    let urgency = self.urgency(now, entry, occurrence);
                    let rank = (priority, urgency, entry.deadline(occurrence), entry.id, *number);
                    ready_steps(job, entry, *number, occurrence, |step_key| {
                        ranked.push((rank, step_key))
                    });
                }
            }
        }
        ranked.sort_by_key(|(rank, step_key)| (*rank, step_key.step));
        ranked.into_iter().map(|(_, step_key)| step_key).collect()
    }

    fn urgency(&self, now: Time, entry: &Entry, occurrence: &Occurrence) -> Urgency {
        if entry.long_running {
            return Urgency::Critical;
        }
        let left = chain_ms(&entry.steps, |index, step| {
            let is_unfinished =
                occurrence.steps.get(index).is_some_and(|state| state.unfinished > 0);
            if is_unfinished { self.predict(&entry.queue, step) } else { 0 }
        });
        let finish = now + Duration::from_millis(left);
        if finish <= entry.deadline(occurrence) {
            Urgency::InTime
        } else if finish > entry.expiry(occurrence) {
            Urgency::Expired
        } else if finish + CRITICAL_MARGIN > entry.expiry(occurrence) {
            Urgency::Critical
        } else {
            Urgency::Late
        }
    }
}

fn ready_steps(
    job: JobKey,
    entry: &Entry,
    number: u32,
    occurrence: &Occurrence,
    mut found: impl FnMut(StepKey),
) {
    for (step, state) in occurrence.steps.iter().enumerate() {
        let is_ready = entry.steps.get(step).is_some_and(|step| occurrence.is_ready(step));
        if state.waiting > 0 && is_ready {
            found(StepKey { job, occurrence: number, step });
        }
    }
}
