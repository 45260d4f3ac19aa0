//! Workers that start again under their IDs.
//!
//! A worker that starts again knows nothing of before: its clock and the numbers of its exits start
//! anew, and it runs nothing. What the pool holds about a worker is about one instance of it, so
//! each instance has a key of its own.

use std::collections::HashSet;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Phase, Placement};
use super::poll::Report;
use super::proof::Proof;
use crate::task;
use crate::worker::{self, Allocation, Stray};

/// What becomes of a run that was ordered on a former instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It ended with the former instance.
    Lost,
    /// The new instance lists it, as running or as ended: its start arrived there.
    Listed,
    /// Its start may still arrive at the new instance, which has to confirm a stop first.
    Pending,
}

impl Pool {
    /// Returns the key of the instance that sent a report. If it is not the known one, that one has
    /// ended: a worker has one instance at a time.
    pub(super) fn reporting_instance(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        report: &Report,
    ) -> Option<worker::Key> {
        let worker = self.workers.get(key)?;
        if !worker.has_restarted(now, report.born_ms, report.clock_ms) {
            return Some(key);
        }
        let why = format!(
            "born at {:?}, before at {:?}; clock {} ms, before {} ms; exits handled up to {}",
            report.born_ms,
            worker.born_ms,
            report.clock_ms,
            worker.reported_clock_ms,
            worker.last_exit
        );
        self.note("worker restarted", None, Some(key), why);
        self.replace_instance(now, sent, key, report)
    }

    /// Replaces a worker by its next instance, and requeues the tasks of the former one.
    fn replace_instance(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        report: &Report,
    ) -> Option<worker::Key> {
        let former = self.workers.get(key)?;
        let is_end_expected = former.is_end_expected(now);
        let next = former.next_instance(now, report.born_ms);
        if former.is_inherited && !former.fenced {
            self.lost_inherited_workers.insert(former.id.clone());
        }
        if !is_end_expected {
            self.count_crash(now, key);
        }
        let next_key = self.insert_worker(next);
        let listed: HashSet<(task::Name, u64)> = report
            .running
            .iter()
            .map(|run| (run.task, run.run))
            .chain(report.exits.iter().map(|exit| (exit.task, exit.run)))
            .collect();
        let former = self.workers.get(key)?;
        let allocations: Vec<(task::Name, Allocation)> =
            former.allocations.iter().map(|(name, allocation)| (*name, *allocation)).collect();
        let mut lost = Vec::new();
        for (name, allocation) in allocations {
            let is_listed = listed.contains(&(name, allocation.run));
            match self.fate(sent, key, name, allocation.run, is_listed) {
                Fate::Lost => lost.push(name),
                fate => self.move_run(now, key, next_key, (name, allocation), fate),
            }
        }
        self.requeue_tasks(now, key, lost, Proof::Restarted);
        if let Some(mut former) = self.workers.remove(key) {
            former.clear_allocations();
        }
        Some(next_key)
    }

    fn fate(
        &self,
        sent: Time,
        key: worker::Key,
        name: task::Name,
        run: u64,
        is_listed: bool,
    ) -> Fate {
        if is_listed {
            return Fate::Listed;
        }
        let placement = self.placement_on(key, name, run);
        // Confirmed after the report was requested, so perhaps by the new instance.
        let is_confirmed_since = placement.is_some_and(|placement| {
            matches!(placement.phase, Phase::Running { confirmed } if confirmed >= sent)
        });
        let is_pending = is_confirmed_since || self.may_start_late(key, name, run);
        if is_pending { Fate::Pending } else { Fate::Lost }
    }

    /// Returns whether a copy of a run's start may still reach the next instance of its worker. An
    /// answer settles only the copy that it answers.
    pub(super) fn may_start_late(&self, key: worker::Key, name: task::Name, run: u64) -> bool {
        match self.placement_on(key, name, run) {
            Some(placement) => placement.may_start_late(),
            None => self.stray(key, name, run).is_some_and(|stray| stray.is_start_pending),
        }
    }

    pub(super) fn placement_on(
        &self,
        key: worker::Key,
        name: task::Name,
        run: u64,
    ) -> Option<&Placement> {
        let placement = self.entry(name.job)?.placement(name)?;
        (placement.worker == key && placement.run == run).then_some(placement)
    }

    pub(super) fn stray(&self, key: worker::Key, name: task::Name, run: u64) -> Option<&Stray> {
        self.workers.get(key)?.strays.get(&name).filter(|stray| stray.run == run)
    }

    /// Moves a run to the next instance of its worker.
    fn move_run(
        &mut self,
        now: Time,
        key: worker::Key,
        next_key: worker::Key,
        (name, allocation): (task::Name, Allocation),
        fate: Fate,
    ) {
        let stray = self.stray(key, name, allocation.run).copied();
        if let Some(worker) = self.workers.get_mut(next_key) {
            worker.allocate(name, allocation);
            if let Some(stray) = stray {
                let stray = Stray { stop_sent: None, stop_confirmed: None, ..stray };
                worker.strays.insert(name, stray);
            }
        }
        let entry = self.entry_mut(name.job);
        let placement = entry.and_then(|entry| entry.placement_mut(name));
        let is_current = |p: &&mut Placement| p.worker == key && p.run == allocation.run;
        let Some(placement) = placement.filter(is_current) else { return };
        placement.worker = next_key;
        let is_stopping = matches!(placement.phase, Phase::Stopping { .. });
        if fate == Fate::Listed && !is_stopping {
            placement.phase = Phase::Running { confirmed: now };
            self.track_suspect(now, name, next_key, allocation.run);
        } else {
            placement.copies.lose_all();
            placement.phase = Phase::Stopping { retry_at: now, confirmed: None };
        }
    }
}
