//! In which order steps get room.

use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Occurrence};
use super::{JobKey, Pool};
use crate::job::chain_ms;

/// How long before the last moment a late job is put before the others. Longer
/// serves more of the late ones and fewer in time; between 0.5 s and 1.2 s the one
/// outweighs the other by what the users pay for either.
const CRITICAL_MARGIN: Duration = Duration::from_millis(500);

/// How a job's time stands, first come first.
///
/// A job that can't be in time any more gives way to those that can, until it is
/// about to be worth nothing: served late it earns little, and not served at all
/// it counts in full among what failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It lasts, or it has to start now to be served at all.
    Critical,
    /// It can be in time.
    InTime,
    /// It will be late.
    Late,
    /// Nothing is earned by it any more.
    Expired,
}

/// A step whose turn has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepKey {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: usize,
}

impl Pool {
    /// Steps with tasks to start, in the order in which they get room: by the
    /// operators' priority, then by [`Urgency`], then what is due first.
    pub(super) fn ranked_steps(&self, now: Time) -> Vec<StepKey> {
        let is_recovering = self.is_recovering(now);
        let mut ranked = Vec::new();
        for (job, entry) in &self.jobs {
            let is_open = !entry.state.is_final();
            // What a predecessor may have started may still run where this
            // owner can't look.
            let is_clear = !is_recovering || entry.revision > self.config.fence;
            if is_open && is_clear {
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
            let is_open = occurrence.steps.get(index).is_some_and(|state| state.unfinished > 0);
            if is_open { self.predict(&entry.queue, step) } else { 0 }
        });
        let end = now + Duration::from_millis(left);
        if end <= entry.deadline(occurrence) {
            Urgency::InTime
        } else if end > entry.expiry(occurrence) {
            Urgency::Expired
        } else if end + CRITICAL_MARGIN > entry.expiry(occurrence) {
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
