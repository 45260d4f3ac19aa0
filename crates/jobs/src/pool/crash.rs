//! Detection of tasks that crash their workers.
//!
//! Such a task crashes the worker soon after it starts, and all other runs on that worker
//! are lost. The pool can't observe which run caused a crash, so every run that was starting
//! is a suspect. Few suspects are started on a worker at once, and suspects of two
//! crashes on separate workers: the unrelated ones then complete, and the one that causes the
//! crashes becomes the only suspect.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, Phase, Placement, SuspectedStart, name};
use crate::record::State;
use crate::task;
use crate::worker;

/// Crashes after which a task is given up if it is the only suspect of the last one.
const MAX_CRASHES_AS_ONLY_SUSPECT: usize = 3;
/// Crashes after which a task is given up even if there are other suspects.
const MAX_CRASHES: usize = 4;
/// Crashes after which no other task is started on a task's worker while it is starting.
const ISOLATION_CRASHES: usize = 2;
/// Suspects with one counted crash that may be starting on a worker at once. A lower limit delays
/// unrelated suspects for longer; a higher one loses more of their runs in the next crash.
const MAX_STARTING_SUSPECTS: usize = 4;
/// How long a run counts as starting. Starting runs are the first suspects of a crash.
const STARTUP: Duration = Duration::from_millis(300);
/// Runs that have been running for this long are never suspects, nor are later runs of their tasks.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(10);
/// Crashes after which a task is given up although as many workers crashed without it.
const MAX_CRASHES_AMONG_OTHERS: usize = 5;
/// How long a long-running task waits after a crash of which it may be the cause. Beside the time in
/// which the crash is noticed it has to fit into the time in which such a task is to run again.
const LONG_RUNNING_BACKOFF: Duration = Duration::from_secs(2);
/// How long a crash is remembered as one among others.
const CRASH_MEMORY: Duration = Duration::from_secs(60);

/// A tracked run of a task that is suspected of a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    worker: worker::Key,
    run: u64,
    is_starting: bool,
}

impl Pool {
    /// Counts the crash of a worker against each suspect, and fails the jobs of tasks that
    /// have reached their limit.
    pub(super) fn count_crash(&mut self, now: Time, key: worker::Key) {
        self.record_crash(now);
        let suspects = self.crash_suspects(key);
        let is_only_suspect = suspects.len() == 1;
        let address = self.workers.get(key).map(|worker| worker.address);
        for (name, run) in suspects {
            let entry = self.entry_mut(name.job).filter(|entry| !entry.state.is_final());
            let Some(task) = entry.and_then(|entry| entry.task_mut(name)) else { continue };
            task.starting_run = None;
            if !task.crashed.contains(&run) {
                task.crashed.push(run);
                task.crashed_at.extend(address);
            }
            let since = *task.crashed_since.get_or_insert(now);
            let crashes = task.crashed.len();
            let others = self.crashes_since(since).saturating_sub(crashes);
            let is_one_worker = self.has_crashed_one_worker(name);
            let why = format!(
                "run {run}, crashes: {crashes}, only suspect: {is_only_suspect}, without it: {others}, all of one worker: {is_one_worker}"
            );
            self.note("crash counted", Some(name), Some(key), why);
            if is_given_up(crashes, others, is_only_suspect, is_one_worker) {
                self.handle_crash_limit(now, name);
            } else {
                // Written at once, so that a successor knows of the crash.
                self.mark_dirty(now, name.job, true);
            }
        }
    }

    fn record_crash(&mut self, now: Time) {
        self.recent_crashes.push_back(now);
        while self.recent_crashes.front().is_some_and(|at| now - *at > CRASH_MEMORY) {
            self.recent_crashes.pop_front();
        }
    }

    /// Returns the number of workers whose crashes were noticed since a time.
    fn crashes_since(&self, since: Time) -> usize {
        self.recent_crashes.iter().filter(|at| **at >= since).count()
    }

    /// Fails the job of a task that has reached its limit of failed runs or of crashes, and returns
    /// whether it has.
    pub(super) fn fail_at_limit(&mut self, now: Time, name: task::Name) -> bool {
        self.fail_at_attempt_limit(now, name) || self.fail_at_crash_limit(now, name)
    }

    fn fail_at_crash_limit(&mut self, now: Time, name: task::Name) -> bool {
        let counted = self.crash_counted_task(name);
        let task = self.entry(name.job).and_then(|entry| entry.task(counted));
        let since = task.and_then(|task| task.crashed_since).unwrap_or(now);
        let crashes = self.crashes(name);
        let others = self.crashes_since(since).saturating_sub(crashes);
        let is_long_running = self.entry(name.job).is_some_and(|entry| entry.is_long_running(name));
        let is_one_worker = self.has_crashed_one_worker(counted);
        let has_reached_limit =
            !is_long_running && is_given_up(crashes, others, false, is_one_worker);
        if has_reached_limit {
            self.fail_suspect(now, name);
        }
        has_reached_limit
    }

    /// Returns whether all counted crashes of a task were of one worker, which may be their cause. A
    /// crash that a predecessor noticed may have been of any.
    fn has_crashed_one_worker(&self, name: task::Name) -> bool {
        let task = self.entry(name.job).and_then(|entry| entry.task(name));
        task.is_some_and(|task| {
            let is_known = task.crashed_at.len() >= task.crashed.len();
            is_known && task.crashed_at.windows(2).all(|pair| pair[0] == pair[1])
        })
    }

    /// Fails the job of a task with too many crashes. One that is long-running has no such limit: it
    /// is started again after a pause.
    fn handle_crash_limit(&mut self, now: Time, name: task::Name) {
        if !self.entry(name.job).is_some_and(|entry| entry.is_long_running(name)) {
            return self.fail_suspect(now, name);
        }
        let why = format!("suspected of {} worker crashes", self.crashes(name));
        self.note("task backs off", Some(name), None, why);
        self.back_off(now, name);
        self.mark_dirty(now, name.job, true);
    }

    /// Delays the next start of a task, or of all members of a gang.
    fn back_off(&mut self, now: Time, name: task::Name) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        let members = entry.step(name).map_or(1, |step| if step.gang { step.count } else { 1 });
        for member in 0..members {
            let index = name.index + member;
            if let Some(task) = entry.task_mut(task::Name { index, ..name }) {
                task.not_before = task.not_before.max(now + LONG_RUNNING_BACKOFF);
            }
        }
    }

    fn fail_suspect(&mut self, now: Time, name: task::Name) {
        let why = format!("suspected of {} worker crashes", self.crashes(name));
        self.note("task given up", Some(name), None, why);
        self.end_job(now, name.job, State::Failed);
    }

    /// Returns the runs that may have crashed a worker: those that were starting, or if there are
    /// none, those younger than [`MAX_SUSPECT_AGE`]. A job that has been cancelled since the crash
    /// is as suspect as the others. A task that has run for long before is none.
    fn crash_suspects(&self, key: worker::Key) -> Vec<(task::Name, u64)> {
        let mut suspects = self.runs_younger_than(key, STARTUP);
        if suspects.is_empty() {
            suspects = self.runs_younger_than(key, MAX_SUSPECT_AGE);
        }
        suspects.dedup();
        suspects
    }

    /// Returns the runs on a worker that had been running for less than `age` when it last
    /// answered, sorted. Each member of a gang is listed under the first member's name.
    fn runs_younger_than(&self, key: worker::Key, age: Duration) -> Vec<(task::Name, u64)> {
        let Some(worker) = self.workers.get(key) else { return Vec::new() };
        let heard = worker.leases.last_heard();
        let mut runs = Vec::new();
        for name in worker.allocations.keys() {
            let Some(entry) = self.entry(name.job) else { continue };
            let placement = entry.placement(*name).filter(|placement| placement.worker == key);
            if let Some(placement) =
                placement.filter(|placement| placement.running_for(heard) < age)
            {
                let counted = self.crash_counted_task(*name);
                if entry.task(counted).is_none_or(|task| !task.is_proven) {
                    runs.push((counted, placement.run));
                }
            }
        }
        runs.sort_unstable();
        runs
    }

    /// Returns the task that crashes are counted for: for a member of a gang, its first member.
    fn crash_counted_task(&self, name: task::Name) -> task::Name {
        let step = self.entry(name.job).and_then(|entry| entry.step(name));
        let index = if step.is_some_and(|step| step.gang) { 0 } else { name.index };
        task::Name { index, ..name }
    }

    /// Returns the number of worker crashes that a task is suspected of.
    pub(super) fn crashes(&self, name: task::Name) -> usize {
        let name = self.crash_counted_task(name);
        let task = self.entry(name.job).and_then(|entry| entry.task(name));
        task.map_or(0, |task| task.crashed.len())
    }

    /// Tracks a run of a task that is suspected of a crash.
    ///
    /// The start is written at once as a crash, so that it counts if the worker crashes and
    /// the owner is replaced before it notices. A successor that finds the run on a worker, or
    /// ended, removes it again.
    pub(super) fn track_suspect(
        &mut self,
        now: Time,
        name: task::Name,
        key: worker::Key,
        run: u64,
    ) {
        if self.crashes(name) == 0 {
            return;
        }
        self.suspects.insert(name, Suspect { worker: key, run, is_starting: true });
        let worker = self.workers.get(key).map(|worker| worker.id.clone());
        self.set_starting_run(name, Some(SuspectedStart { run, worker }));
        self.mark_dirty(now, name.job, true);
    }

    /// Removes a counted crash whose run was found on its worker, or ended there.
    pub(super) fn remove_crash(&mut self, name: task::Name, run: u64) {
        let name = self.crash_counted_task(name);
        if let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name)) {
            task.crashed.retain(|crashed| *crashed != run);
            task.inherited_starts.retain(|start| start.run != run);
        }
    }

    /// Removes the counted starts of predecessors that certainly crashed no worker: their worker is
    /// the same instance as before and lists no such run. If it has ended, they stay counted.
    pub(super) fn review_inherited_starts(&mut self, now: Time) {
        for name in std::mem::take(&mut self.inherited_starts) {
            let task = self.entry(name.job).and_then(|entry| entry.task(name));
            let Some(starts) = task.map(|task| task.inherited_starts.clone()) else { continue };
            let is_pending = |start: &SuspectedStart| self.has_crashed_worker(start).is_none();
            let (pending, settled): (Vec<_>, Vec<_>) = starts.into_iter().partition(is_pending);
            if !pending.is_empty() {
                self.inherited_starts.push(name);
            }
            if settled.is_empty() {
                continue;
            }
            let harmless =
                settled.iter().filter(|start| self.has_crashed_worker(start) == Some(false));
            let harmless: Vec<u64> = harmless.map(|start| start.run).collect();
            if let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name)) {
                task.inherited_starts = pending;
                task.crashed.retain(|run| !harmless.contains(run));
            }
            // A successor can't tell that the start was harmless once the worker has ended.
            self.mark_dirty(now, name.job, true);
        }
    }

    /// Returns whether a start of a predecessor may have crashed its worker; `None` if the worker
    /// hasn't answered yet. A start whose worker isn't named counts if any worker has ended.
    fn has_crashed_worker(&self, start: &SuspectedStart) -> Option<bool> {
        let is_its_worker = |worker: &&worker::Worker| {
            worker.is_inherited && start.worker.as_ref().is_none_or(|id| worker.id == *id)
        };
        let mut workers = self.workers.values().filter(is_its_worker).peekable();
        match &start.worker {
            Some(id) if self.lost_inherited_workers.contains(id) => return Some(true),
            Some(_) if workers.peek().is_none() => return Some(true),
            _ => {}
        }
        if workers.any(|worker| !worker.fenced) {
            return None;
        }
        Some(start.worker.is_none() && !self.lost_inherited_workers.is_empty())
    }

    fn set_starting_run(&mut self, name: task::Name, start: Option<SuspectedStart>) {
        let name = self.crash_counted_task(name);
        if let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(name)) {
            task.starting_run = start;
        }
    }

    /// Updates the tracked suspects: those older than [`STARTUP`] no longer count as starting,
    /// and the crashes of tasks whose run reaches [`MAX_SUSPECT_AGE`] are cleared.
    pub(super) fn review_suspects(&mut self, now: Time) {
        let suspects: Vec<(task::Name, Suspect)> =
            self.suspects.iter().map(|(name, suspect)| (*name, *suspect)).collect();
        for (name, suspect) in suspects {
            let age = self.suspect_age(name, &suspect);
            if age.is_some_and(|age| age < STARTUP) {
                continue;
            }
            if suspect.is_starting {
                self.set_starting_run(name, None);
                self.mark_dirty(now, name.job, false);
            }
            match age {
                Some(age) if age < MAX_SUSPECT_AGE => {
                    self.suspects.insert(name, Suspect { is_starting: false, ..suspect });
                }
                Some(_) => {
                    self.clear_crashes(now, name);
                    self.suspects.remove(&name);
                }
                None => drop(self.suspects.remove(&name)),
            }
        }
    }

    /// Returns how long a suspect had been running when its worker last answered; `None` if it is
    /// no longer on that worker.
    fn suspect_age(&self, name: task::Name, suspect: &Suspect) -> Option<Duration> {
        let placement = self.entry(name.job)?.placement(name)?;
        let heard = self.workers.get(suspect.worker)?.leases.last_heard();
        let is_same_run = placement.worker == suspect.worker && placement.run == suspect.run;
        is_same_run.then(|| placement.running_for(heard))
    }

    fn clear_crashes(&mut self, now: Time, name: task::Name) {
        let counted = self.crash_counted_task(name);
        if let Some(task) = self.entry_mut(name.job).and_then(|entry| entry.task_mut(counted)) {
            task.crashed.clear();
            task.crashed_since = None;
            task.crashed_at.clear();
            task.inherited_starts.clear();
            self.mark_dirty(now, name.job, false);
        }
    }

    /// Returns whether a task may start on a worker despite the suspects that are starting there.
    pub(super) fn may_start_beside_suspects(&self, name: task::Name, key: worker::Key) -> bool {
        if self.suspects.is_empty() {
            return true;
        }
        let own = self.crash_counted_task(name);
        let is_starting_there = |suspect: &Suspect| suspect.worker == key && suspect.is_starting;
        let on_worker = self.suspects.iter().filter(|(_, suspect)| is_starting_there(suspect));
        let other_crashes: Vec<usize> = on_worker
            .map(|(other, _)| self.crash_counted_task(*other))
            .filter(|other| *other != own)
            .map(|other| self.crashes(other))
            .collect();
        let is_any_isolated = other_crashes.iter().any(|crashes| *crashes >= ISOLATION_CRASHES);
        match self.crashes(name) {
            0 => !is_any_isolated,
            1 => !is_any_isolated && other_crashes.len() < MAX_STARTING_SUSPECTS,
            _ => other_crashes.is_empty(),
        }
    }

    /// Records that a task whose run ends has run for long, if it has.
    pub(super) fn note_proven(&mut self, now: Time, name: task::Name) {
        let Some(placement) = self.entry(name.job).and_then(|entry| entry.placement(name)) else {
            return;
        };
        let heard =
            self.workers.get(placement.worker).and_then(|worker| worker.leases.last_heard());
        if placement.running_for(heard) < MAX_SUSPECT_AGE {
            return;
        }
        let counted = self.crash_counted_task(name);
        let task = self.entry_mut(name.job).and_then(|entry| entry.task_mut(counted));
        if task.is_some_and(|task| !std::mem::replace(&mut task.is_proven, true)) {
            self.mark_dirty(now, name.job, false);
        }
    }

    /// Returns whether no run on a worker is starting.
    pub(super) fn has_no_starting_run(&self, key: worker::Key) -> bool {
        self.runs_younger_than(key, STARTUP).is_empty()
    }
}

/// Returns whether a task is given up after `crashes` of workers under it, while `others` crashed
/// without it. Where as many crash without it, it may be under the others by chance, and where one
/// worker crashes again and again, that worker may be the cause.
fn is_given_up(crashes: usize, others: usize, is_only_suspect: bool, is_one_worker: bool) -> bool {
    if others >= crashes || is_one_worker {
        return crashes >= MAX_CRASHES_AMONG_OTHERS;
    }
    crashes >= MAX_CRASHES || (crashes >= MAX_CRASHES_AS_ONLY_SUSPECT && is_only_suspect)
}

impl Placement {
    /// Returns how long the run had been running when its worker last answered; zero if it isn't
    /// known to be running.
    fn running_for(&self, last_heard: Option<Time>) -> Duration {
        match (self.phase, last_heard) {
            (Phase::Running { confirmed }, Some(heard)) if heard > confirmed => heard - confirmed,
            _ => Duration::ZERO,
        }
    }
}

impl Entry {
    /// Returns the tasks with starts of a predecessor that may have crashed a worker.
    pub(super) fn tasks_with_inherited_starts(&self) -> Vec<task::Name> {
        let mut names = Vec::new();
        for (occurrence, state) in &self.occurrences {
            for (step, state) in state.steps.iter().enumerate() {
                let tasks = state.tasks.known();
                let suspected = tasks.filter(|(_, task)| !task.inherited_starts.is_empty());
                names.extend(suspected.map(|(index, _)| name(self.id, *occurrence, step, index)));
            }
        }
        names
    }
}
