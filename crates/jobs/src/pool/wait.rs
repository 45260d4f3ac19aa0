//! What tasks of long-running steps wait for, for the log.
//!
//! A job's explanation tells why its tasks wait now, and only while its owner lives. The log keeps
//! each reason with its beginning and its end, so that a task that was late can be traced afterwards.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;
use serde::Serialize;

use super::entry::{TaskState, name};
use super::{Note, Pool};
use crate::task;
use crate::worker::Worker;

/// The event of a wait that has begun.
pub const BEGUN: &str = "task waits";
/// The event of a wait that is over, if its beginning was noted.
pub const OVER: &str = "task wait over";

/// How often the waits are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Shorter waits are not logged.
const MIN_LOGGED: Duration = Duration::from_millis(500);
/// The most waits that are tracked.
const MAX_TRACKED: usize = 128;
/// The most workers that a wait names.
const MAX_WORKERS: usize = 8;

/// What a task waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Earlier steps, which are not done.
    Steps,
    /// A configuration that says how often it may fail.
    Configuration,
    /// Leases that former owners may have granted on workers that have not answered, or exits that
    /// workers have not listed yet.
    FormerOwners,
    /// The lease of the silent worker on which it was started.
    Lease,
    /// A worker that keeps room for it.
    KeptRoom,
    /// Runs that are being stopped to make room for it.
    Preemption,
    /// The limit of its organisation.
    Limit,
    /// A worker that is suitable.
    Worker,
    /// Advice on which workers may run it.
    Advice,
    /// Room on a suitable worker.
    Room,
    /// Room in the rack of its data.
    Rack,
    /// The next plan, or the pause after a failed run.
    Plan,
}

impl Reason {
    /// Returns the name of the event by which waits for this reason are counted.
    pub fn event(self) -> &'static str {
        match self {
            Self::Steps => "wait for steps",
            Self::Configuration => "wait for a configuration",
            Self::FormerOwners => "wait for former owners",
            Self::Lease => "wait for a lease",
            Self::KeptRoom => "wait for kept room",
            Self::Preemption => "wait for preemption",
            Self::Limit => "wait for a limit",
            Self::Worker => "wait for a worker",
            Self::Advice => "wait for advice",
            Self::Room => "wait for room",
            Self::Rack => "wait for a rack",
            Self::Plan => "wait for a plan",
        }
    }
}

/// A wait of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// What it waits for.
    pub reason: Reason,
    /// The IDs of the workers that are waited for, at most eight.
    pub workers: Vec<String>,
    /// When the wait for this reason began.
    pub since: Time,
    /// When it ends at the latest, if that is known.
    pub until: Option<Time>,
    is_logged: bool,
}

impl Wait {
    fn new(now: Time, reason: Reason, workers: Vec<String>, until: Option<Time>) -> Self {
        Self { reason, workers, since: now, until, is_logged: false }
    }
}

/// The waits of tasks of long-running steps.
#[derive(Debug, Default)]
pub(super) struct Waits {
    tasks: BTreeMap<task::Name, Wait>,
    reviewed: Option<Time>,
}

impl Pool {
    /// Notes the waits that have begun, changed or ended since the last review.
    pub(super) fn review_waits(&mut self, now: Time) {
        if self.waits.reviewed.is_some_and(|at| now - at < REVIEW_INTERVAL) {
            return;
        }
        self.waits.reviewed = Some(now);
        let current = self.current_waits(now);
        let mut known = std::mem::take(&mut self.waits.tasks);
        for (task, mut wait) in current {
            match known.remove(&task) {
                Some(before) if before.reason == wait.reason => {
                    (wait.since, wait.is_logged) = (before.since, before.is_logged);
                }
                Some(before) => self.note_wait_over(task, before),
                None => {}
            }
            if !wait.is_logged && now - wait.since >= MIN_LOGGED {
                wait.is_logged = true;
                self.note_wait(BEGUN, task, wait.clone());
            }
            self.waits.tasks.insert(task, wait);
        }
        for (task, wait) in known {
            self.note_wait_over(task, wait);
        }
    }

    /// Returns since when a task has waited for its present reason, as of the last review.
    pub(super) fn waiting_since(&self, task: task::Name) -> Option<Time> {
        self.waits.tasks.get(&task).map(|wait| wait.since)
    }

    fn note_wait_over(&mut self, task: task::Name, wait: Wait) {
        if wait.is_logged {
            self.note_wait(OVER, task, wait);
        }
    }

    fn note_wait(&mut self, event: &'static str, task: task::Name, wait: Wait) {
        let why = wait.reason.event().to_owned();
        self.notes.push(Note {
            event,
            task: Some(task),
            worker: None,
            why,
            wait: Some(wait),
            proof: None,
        });
    }

    fn current_waits(&self, now: Time) -> Vec<(task::Name, Wait)> {
        let mut waits = Vec::new();
        self.add_unheard_runs(now, &mut waits);
        for entry in self.unplaced.iter().filter_map(|key| self.jobs.get(*key)) {
            for (number, occurrence) in &entry.occurrences {
                let steps = occurrence.steps.iter().enumerate();
                for (index, state) in steps.filter(|(_, state)| state.waiting > 0) {
                    if waits.len() >= MAX_TRACKED {
                        return waits;
                    }
                    if !entry.steps.get(index).is_some_and(|step| step.long_running) {
                        continue;
                    }
                    let (reason, _) = self.why_waiting(now, entry, (*number, occurrence), index);
                    let (workers, until) = self.awaited_workers(now, reason);
                    let tasks = state.tasks.open();
                    let waiting = tasks.filter(|(_, t)| matches!(t.state, TaskState::Waiting));
                    waits.extend(waiting.take(MAX_TRACKED - waits.len()).map(|(task, _)| {
                        let wait = Wait::new(now, reason, workers.clone(), until);
                        (name(entry.id, *number, index, task), wait)
                    }));
                }
            }
        }
        waits
    }

    /// Adds the runs on silent workers: their tasks start elsewhere when the lease has expired.
    fn add_unheard_runs(&self, now: Time, waits: &mut Vec<(task::Name, Wait)>) {
        for worker in self.workers.values().filter(|worker| worker.is_silent()) {
            for (task, _) in worker.long_running_runs() {
                let until = Some(worker.leases.end());
                waits.push((*task, Wait::new(now, Reason::Lease, vec![worker.id.clone()], until)));
            }
        }
    }

    /// Returns the workers that tasks wait for, and until when.
    pub(super) fn awaited_workers(&self, now: Time, reason: Reason) -> (Vec<String>, Option<Time>) {
        if reason != Reason::FormerOwners {
            return (Vec::new(), None);
        }
        let is_awaited = |worker: &&Worker| worker.hides_runs(now);
        let awaited = || self.workers.values().filter(is_awaited);
        let workers = awaited().take(MAX_WORKERS).map(|worker| worker.id.clone()).collect();
        let until =
            awaited().map(|worker| (!worker.fenced).then_some(worker.leases.inherited_until()));
        (workers, until.collect::<Option<Vec<Time>>>().and_then(|all| all.into_iter().max()))
    }
}
