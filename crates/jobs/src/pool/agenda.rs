//! Which jobs a plan looks at: those that changed, and those for which something is due.
//!
//! A busy pool is planned hundreds of times a second. If each plan looked at all jobs, its cost
//! would grow with the backlog, and an owner that falls behind would fall further behind: the log
//! of such an owner shows orders that are answered late, and workers with room beside waiting
//! tasks. Therefore every change of a job marks it ([`Pool::entry_mut`]), and after each look at
//! a job its next due time is entered here.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Phase, TaskState};
use super::{JobKey, Pool, evacuate};

/// Shortest time until a job is looked at again for something that is already due, such as a
/// stalled task on a worker that doesn't answer.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// How often due occurrences of a schedule are looked for. They are due by the time of day, which
/// may jump.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(20);
/// How often the rank of a job with waiting tasks is computed anew, since the estimates of
/// durations change.
const RANK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Changed jobs, and the times at which others are due.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    changed: Vec<JobKey>,
    due: BTreeSet<(Time, JobKey)>,
}

impl Agenda {
    /// Adds a job unless it was added since the last [`Agenda::take_changed`].
    pub fn add_changed(&mut self, key: JobKey, entry: &mut Entry) {
        if !entry.is_changed {
            entry.is_changed = true;
            self.changed.push(key);
        }
    }

    /// Sets when a job is due.
    fn schedule(&mut self, key: JobKey, entry: &mut Entry, at: Option<Time>) {
        if entry.due_at == at {
            return;
        }
        if let Some(old) = std::mem::replace(&mut entry.due_at, at) {
            self.due.remove(&(old, key));
        }
        self.due.extend(at.map(|at| (at, key)));
    }

    /// Removes a job that is no longer known.
    pub fn remove(&mut self, key: JobKey, entry: &Entry) {
        if let Some(at) = entry.due_at {
            self.due.remove(&(at, key));
        }
    }
}

impl Pool {
    /// Marks a job as changed.
    pub(super) fn mark_changed(&mut self, key: JobKey) {
        if let Some(entry) = self.jobs.get_mut(key) {
            self.agenda.add_changed(key, entry);
        }
    }

    /// Marks all active jobs as changed.
    pub(super) fn mark_all_changed(&mut self) {
        for key in self.active.iter().copied().collect::<Vec<_>>() {
            self.mark_changed(key);
        }
    }

    /// Moves the changed jobs and those that are due to `jobs`.
    pub(super) fn take_due(&mut self, now: Time, jobs: &mut BTreeSet<JobKey>) {
        while let Some((at, key)) = self.agenda.due.first().copied().filter(|(at, _)| *at <= now) {
            self.agenda.due.remove(&(at, key));
            if let Some(entry) = self.jobs.get_mut(key) {
                entry.due_at = None;
            }
            jobs.insert(key);
        }
        for key in std::mem::take(&mut self.agenda.changed) {
            if let Some(entry) = self.jobs.get_mut(key) {
                entry.is_changed = false;
                jobs.insert(key);
            }
        }
    }

    /// Updates the ranks of the changed jobs, which stay marked.
    pub(super) fn update_changed_ranks(&mut self, now: Time) {
        for key in self.agenda.changed.clone() {
            self.update_rank(now, key);
        }
    }

    /// Updates the rank of a job and when it is due next.
    pub(super) fn reschedule(&mut self, now: Time, key: JobKey) {
        let urgency_changes = self.update_rank(now, key);
        let Some(entry) = self.jobs.get(key) else { return };
        let at = next_due(now, entry).into_iter().chain(urgency_changes).min();
        let at = at.map(|at| at.max(now + MIN_INTERVAL));
        let lacks_workers = entry.long_running && !entry.state.is_final() && lacks_workers(entry);
        if lacks_workers {
            self.unplaced.insert(key);
        } else {
            self.unplaced.remove(&key);
        }
        if let Some(entry) = self.jobs.get_mut(key) {
            self.agenda.schedule(key, entry, at);
        }
    }
}

fn lacks_workers(entry: &Entry) -> bool {
    let mut tasks = entry.long_running_states().flat_map(|state| state.tasks.open());
    tasks.any(|(_, task)| super::reserve::lacks_worker(&task.state))
}

/// Returns when something is due for a job, apart from a change of its urgency.
fn next_due(now: Time, entry: &Entry) -> Option<Time> {
    let is_active = !entry.state.is_final();
    let mut times = Vec::new();
    if is_active && entry.schedule.is_some() && entry.begun_occurrences < entry.occurrence_count {
        times.push(now + SCHEDULE_INTERVAL);
    }
    if !entry.positions.is_empty() {
        times.push(now + RANK_INTERVAL);
    }
    for occurrence in entry.occurrences.values() {
        for (step, state) in entry.steps.iter().zip(&occurrence.steps) {
            for (_, task) in state.tasks.known() {
                let TaskState::Placed(placement) = &task.state else { continue };
                match placement.phase {
                    Phase::Starting { retry_at } | Phase::Stopping { retry_at, .. } => {
                        times.push(retry_at);
                    }
                    Phase::Running { .. } if is_active => {
                        times.extend(evacuate::stalls_at(step, placement));
                    }
                    Phase::Running { .. } => {}
                }
            }
        }
    }
    times.into_iter().min()
}
