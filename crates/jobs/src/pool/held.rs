//! Tasks that wait for a limit rather than for room.

use std::collections::HashMap;

use super::ranking::StepKey;
use super::{JobKey, Pool};
use crate::job::{Room, Step};
use crate::organisation::{Key, Organisation};

/// The waiting tasks that can't start within the pool's parts of limits, whatever room it has.
#[derive(Debug, Default)]
pub(super) struct HeldTasks {
    /// Their numbers, by job, occurrence and step.
    counts: HashMap<(JobKey, (u32, usize)), u32>,
    organisations: Vec<Key>,
}

impl HeldTasks {
    /// Returns how many tasks of a step are held.
    pub fn count(&self, step: (JobKey, (u32, usize))) -> u32 {
        if self.counts.is_empty() { 0 } else { self.counts.get(&step).copied().unwrap_or(0) }
    }

    /// Returns the organisations of these tasks.
    pub fn organisations(&self) -> impl Iterator<Item = Key> {
        self.organisations.iter().copied()
    }
}

impl Pool {
    /// Returns the tasks that wait for a limit, as of the last plan: the most urgent tasks of an
    /// organisation get what is left of the pool's part. There are none unless that is switched on.
    pub(super) fn held_tasks(&self) -> HeldTasks {
        let mut held = HeldTasks::default();
        if !self.config.contention.limits {
            return held;
        }
        // What is used of each part, and whether it is used up. One pass in the order of the ranking is
        // cheaper than a look-up for each step.
        let mut parts: HashMap<Key, (Room, bool)> = HashMap::new();
        for candidate in self.ranking.candidates() {
            let Some(key) = candidate.organisation else { continue };
            let Some((organisation, part)) = self.accounts.limited(key) else { continue };
            let Some((step, waiting)) = self.waiting_tasks(candidate.key) else { continue };
            let (used, is_used_up) =
                parts.entry(key).or_insert_with(|| (self.usage.get(key), false));
            let startable = match step.gang {
                _ if *is_used_up => 0,
                true if organisation.allows(part, used, &step.needs.times(waiting)) => waiting,
                true => 0,
                false => startable_tasks(organisation, part, used, &step.needs, waiting),
            };
            used.add(&step.needs.times(startable));
            if startable < waiting {
                if !std::mem::replace(is_used_up, true) {
                    held.organisations.push(key);
                }
                let StepKey { job, occurrence, step } = candidate.key;
                held.counts.insert((job, (occurrence, step)), waiting - startable);
            }
        }
        held
    }

    /// Returns a step and the number of its tasks that wait.
    fn waiting_tasks(&self, key: StepKey) -> Option<(&Step, u32)> {
        let entry = self.jobs.get(key.job)?;
        let state = entry.occurrences.get(&key.occurrence)?.steps.get(key.step)?;
        Some((entry.steps.get(key.step)?, state.waiting))
    }
}

/// Returns how many of some tasks that start one by one a limit allows beside what is used.
fn startable_tasks(
    organisation: &Organisation,
    part: u32,
    used: &Room,
    task: &Room,
    waiting: u32,
) -> u32 {
    let all = task.times(waiting);
    // A task that exceeds the limit may start alone, but not several tasks that do so together.
    if !organisation.is_oversized(&all) && organisation.allows(part, used, &all) {
        return waiting;
    }
    let mut used = *used;
    let may_start = |_: &u32| {
        let is_allowed = organisation.allows(part, &used, task);
        used.add(task);
        is_allowed
    };
    u32::try_from((0..waiting).take_while(may_start).count()).unwrap_or(waiting)
}
