//! Gangs: steps whose tasks start all together or not at all.

use std::rc::Rc;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{TaskState, name};
use super::order::Order;
use super::ranking::StepKey;
use crate::job::Step;
use crate::task;
use crate::worker::{self, Allocation};

impl Pool {
    /// Starts all tasks of a gang or none, in one rack if the step requires that.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        step_key: StepKey,
        step: &Step,
        orders: &mut Vec<Order>,
    ) {
        let Some(entry) = self.jobs.get(step_key.job) else { return };
        let id = entry.id;
        let names: Vec<task::Name> = (0..step.count as usize)
            .map(|i| name(id, step_key.occurrence, step_key.step, i))
            .collect();
        let is_ready = |name: &task::Name| {
            entry.task(*name).is_some_and(|task| {
                matches!(task.state, TaskState::Waiting)
                    && now >= task.not_before
                    && self.is_free_to_start(now, task)
            })
        };
        if !names.iter().all(is_ready) {
            return;
        }
        if entry.task(names[0]).is_some_and(|task| self.awaits_attempts(entry, task))
            || self.fail_at_limit(now, names[0])
        {
            return;
        }
        if !self.may_charge(now, step_key, step, step.count) {
            return;
        }
        let racks = if step.same_rack { self.racks() } else { Vec::new() };
        let may_spread = !step.same_rack || !self.may_wait_for_rack(now, names[0], step);
        let workers = racks
            .iter()
            .find_map(|rack| self.find_gang_workers(now, &names, step, Some(rack)))
            .or_else(|| self.find_gang_workers(now, &names, step, None).filter(|_| may_spread));
        let Some(workers) = workers else { return };
        let run = self.next_run();
        // All members resume from the same saved progress.
        let saved = saved_by_gang(self, &names);
        for (name, key) in names.iter().zip(workers) {
            if let Some(task) = self.entry_mut(id).and_then(|entry| entry.task_mut(*name)) {
                task.saved = saved.clone();
            }
            self.start(now, key, *name, step, run, orders);
        }
    }

    fn racks(&self) -> Vec<String> {
        let mut racks: Vec<String> =
            self.workers.values().map(|worker| worker.rack.clone()).collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Returns workers for all tasks of a gang, or `None` if they don't all fit. Allocates the
    /// room of each task while searching and releases it afterwards.
    fn find_gang_workers(
        &mut self,
        now: Time,
        names: &[task::Name],
        step: &Step,
        rack: Option<&str>,
    ) -> Option<Vec<worker::Key>> {
        let mut workers = Vec::new();
        for name in names {
            let Some(key) = self.choose(now, *name, step, rack) else { break };
            if let Some(worker) = self.workers.get_mut(key) {
                worker.allocate(*name, Allocation::new(0, step, None));
            }
            workers.push(key);
        }
        for (name, key) in names.iter().zip(&workers) {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.release(*name, 0);
            }
        }
        (workers.len() == names.len()).then_some(workers)
    }
}

fn saved_by_gang(pool: &Pool, names: &[task::Name]) -> Rc<str> {
    let mut saved = names.iter().filter_map(|name| Some(&pool.entry(name.job)?.task(*name)?.saved));
    saved.rfind(|saved| !saved.is_empty()).cloned().unwrap_or_default()
}
