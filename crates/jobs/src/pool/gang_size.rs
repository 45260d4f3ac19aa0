//! The number of workers that a gang needs at once.
//!
//! All tasks of a gang run at the same time, and a worker takes only as many of them as it has room
//! for and as the step allows. If a pool counted only the sum of their room, it would keep fewer
//! workers than that as its demand falls, and the gang would wait beside workers that are being
//! emptied: the log shows `task waits` for it, and `pool sized` with a lower target.

use corianderfork_model::Time;

use super::entry::{Entry, Occurrence, StepState};
use super::shrink::Candidate;
use super::{Pool, advice};
use crate::job::Step;
use crate::worker;

impl Pool {
    /// Returns how many tasks of a step fit on a worker at once, beside its long-running tasks.
    fn capacity_for(&self, key: worker::Key, step: &Step, state: &StepState) -> u32 {
        let Some(worker) = self.workers.get(key) else { return 0 };
        if !advice::meets_requirements(worker, step) || state.advice.is_refused(key) {
            return 0;
        }
        let mut room = worker.room;
        room.sub(&self.long_running_room(worker));
        let most = if step.max_per_worker == 0 { step.count } else { step.max_per_worker };
        u32::try_from(room.count_of(&step.room())).unwrap_or(u32::MAX).min(most)
    }

    /// Returns the number of workers that the pool has to have for the ready gang of an occurrence
    /// that needs the most.
    pub(super) fn workers_at_once(
        &self,
        now: Time,
        entry: &Entry,
        occurrence: &Occurrence,
        held: impl Fn(usize) -> u32,
    ) -> u32 {
        let steps = entry.steps.iter().zip(&occurrence.steps).enumerate();
        let gangs = steps.filter(|(index, (step, state))| {
            is_ready_gang(step, state, occurrence) && !step.long_running && held(*index) == 0
        });
        gangs.map(|(_, (step, state))| self.workers_for_gang(now, step, state)).max().unwrap_or(0)
    }

    /// Returns the number of workers with which a gang can start. If the present ones are too few, all
    /// of them count, since those that can't run it don't leave. Returns 0 if none of them can run any
    /// task of it, which [`super::unrunnable`] tells.
    fn workers_for_gang(&self, now: Time, step: &Step, state: &StepState) -> u32 {
        let usable = self.workers.iter().filter(|(_, worker)| worker.is_usable_or_surplus(now));
        let mut capacities: Vec<u32> =
            usable.map(|(key, _)| self.capacity_for(key, step, state)).collect();
        capacities.sort_unstable_by(|a, b| b.cmp(a));
        let Some(largest) = capacities.first().copied().filter(|largest| *largest > 0) else {
            return 0;
        };
        let (mut missing, mut count) = (step.count, 0);
        for capacity in capacities.iter().take_while(|capacity| **capacity > 0) {
            if missing == 0 {
                return count;
            }
            missing = missing.saturating_sub(*capacity);
            count += 1;
        }
        let present = u32::try_from(capacities.len()).unwrap_or(u32::MAX);
        if missing == 0 { count } else { present.saturating_add(missing.div_ceil(largest)) }
    }

    /// Returns the workers to keep for a gang beside those that stay, or none if all of them are too
    /// few.
    pub(super) fn workers_to_keep_for_gang(
        &self,
        candidates: &[Candidate],
        step: &Step,
        state: &StepState,
        stays: impl Fn(&Candidate) -> bool,
    ) -> Vec<worker::Key> {
        let mut missing = step.count;
        let (staying, others): (Vec<&Candidate>, Vec<&Candidate>) =
            candidates.iter().partition(|candidate| stays(candidate));
        for candidate in staying {
            missing = missing.saturating_sub(self.capacity_for(candidate.key, step, state));
        }
        let mut kept = Vec::new();
        for candidate in others {
            let capacity = self.capacity_for(candidate.key, step, state);
            if missing > 0 && capacity > 0 {
                missing = missing.saturating_sub(capacity);
                kept.push(candidate.key);
            }
        }
        if missing == 0 { kept } else { Vec::new() }
    }
}

/// Returns whether a step is a gang whose turn has come and that isn't done.
pub(super) fn is_ready_gang(step: &Step, state: &StepState, occurrence: &Occurrence) -> bool {
    step.gang && state.unfinished > 0 && occurrence.is_ready(step)
}
