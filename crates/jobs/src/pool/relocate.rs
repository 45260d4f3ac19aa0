//! Relocation: runs on workers that are to leave are stopped, and resumed on others.
//!
//! A worker that is to leave takes no new tasks, but without relocation it is empty only when the
//! longest of its runs has ended. Where one pool releases its workers to another, that takes
//! seconds: the VMs of the first pool run half empty while tasks of the second one wait. The runs
//! of some of these workers are therefore moved to the free room of the others.
//!
//! A stopped task must not starve. A run is only stopped if there is room for it, and that room is
//! kept for it until it starts ([`Worker::incoming`]): on a worker that stays, or on a surplus
//! worker that is emptied later. The latter matters most: when a pool shrinks to a small part of
//! its size, the workers that stay have little room, and the surplus ones run half empty after a
//! while. If the worker that keeps its room is lost, the task takes the next one that has room.
//!
//! The decision is made worker by worker, since stopping a part of the runs is useless while
//! another one still needs the worker: those with the longest remaining time are stopped, until one
//! can't be. Workers that are soon empty come first, and cost least.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::destination::Slots;
use super::entry::Phase;
use super::order::Order;
use super::turn::take_turn;
use super::victim::{StopTimes, Victim};
use crate::job::Room;
use crate::task;
use crate::worker::{self, Worker};

/// The shortest time between two decisions. Looking at all runs of a large pool takes a
/// millisecond, and a pool is planned hundreds of times a second.
const INTERVAL: Duration = Duration::from_millis(50);
/// The number of stopped runs from which on one decision leaves the other workers to the next one. Each
/// stop takes some microseconds.
const MAX_STOPPED: usize = 128;
/// The most runs on workers that are to leave that one decision looks at. Those of a larger pool are
/// looked at in turns. 2,500 runs take 0.7 ms.
const MAX_RUNS: usize = 2_500;
/// The least time by which the stops on a worker have to bring forward that it is empty, in
/// milliseconds, beyond the time to stop and resume. Predictions are less exact than this.
const MIN_GAIN_MS: u64 = 200;
/// How long a run has to last until it is stopped, in milliseconds: a task that resumes is not
/// stopped before it has made progress.
const MIN_ELAPSED_MS: u64 = 500;
/// How long a draining worker is assumed to last, in milliseconds, since it doesn't say: runs that
/// need longer are stopped.
const DRAIN_MS: u64 = 2_000;
/// How long the number of VMs that other pools miss is valid: several rounds of the planner.
const MISSING_VALIDITY: Duration = Duration::from_millis(1_000);

/// The number of VMs that other pools miss, as last announced.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Missing {
    pub count: u32,
    pub announced: Time,
}

/// A run on a worker that is to leave.
#[derive(Clone, Copy, Debug)]
struct LeavingRun {
    remaining_ms: u64,
    /// The run, if it may be stopped.
    victim: Option<Victim>,
}

/// A worker that is to leave.
#[derive(Debug)]
struct Leaving {
    key: worker::Key,
    is_surplus: bool,
    /// Its runs, the one with the longest remaining time first.
    runs: Vec<LeavingRun>,
    /// When it is empty if all runs are stopped that may be.
    empty_in_ms: u64,
    cost: u64,
}

impl Pool {
    /// Stops runs on workers that are to leave, if that empties them sooner.
    pub(super) fn relocate(&mut self, now: Time, orders: &mut Vec<Order>) {
        if !self.config.contention.relocate {
            return;
        }
        self.review_relocations(now);
        let may_stop = self.is_every_inherited_worker_polled() && self.is_confirmed(now);
        if now < self.next_relocation || !may_stop {
            return;
        }
        self.next_relocation = now + INTERVAL;
        let times = self.stop_times();
        let mut leaving = self.leaving_workers(now, &times);
        let has_task_without_place = self.relocations.values().any(Option::is_none);
        if leaving.is_empty() && !has_task_without_place {
            return;
        }
        leaving
            .sort_by_key(|worker| (worker.is_surplus, worker.empty_in_ms, worker.cost, worker.key));
        let emptied = self.workers_being_emptied();
        let mut slots = self.slots(now, &times, &emptied);
        self.replace_kept_room(now, &mut slots);
        let in_turn: HashSet<worker::Key> = leaving.iter().map(|worker| worker.key).collect();
        let is_surplus = |key: &&worker::Key| {
            self.workers.get(**key).is_some_and(|worker| worker.is_surplus && !worker.draining)
        };
        let others = emptied.difference(&in_turn).filter(is_surplus).count();
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        let mut allowed = self.missing_vms(now).saturating_sub(others);
        let most_orders = orders.len() + MAX_STOPPED;
        for worker in leaving {
            if worker.is_surplus && allowed == 0 || orders.len() >= most_orders {
                break;
            }
            let longest_ms = worker.runs.first().map_or(0, |run| run.remaining_ms);
            let is_soon_empty = is_soon_empty(longest_ms, &times);
            let is_emptied = is_soon_empty
                || emptied.contains(&worker.key)
                || self.empty_by_stops(now, &worker, &times, &mut slots, orders);
            allowed -= u32::from(worker.is_surplus && is_emptied);
        }
    }

    /// Returns how many surplus workers may be emptied by stops. Those that are empty already and
    /// only wait to be moved count; those that keep room for a task don't, since they can't be
    /// moved until it has ended.
    pub(super) fn missing_vms(&self, now: Time) -> u32 {
        if now - self.missing.announced > MISSING_VALIDITY {
            return 0;
        }
        let is_ready =
            |worker: &&Worker| worker.is_surplus && worker.is_vacating(now) && worker.is_empty();
        let ready = self.workers.values().filter(is_ready).count();
        self.missing.count.saturating_sub(u32::try_from(ready).unwrap_or(u32::MAX))
    }

    /// Returns the workers on which runs are being stopped to empty them.
    fn workers_being_emptied(&self) -> HashSet<worker::Key> {
        let worker = |name: &task::Name| Some(self.entry(name.job)?.placement(*name)?.worker);
        self.relocations.keys().filter_map(worker).collect()
    }

    /// Returns the workers with runs that are to leave and whose runs may be stopped for that.
    fn leaving_workers(&mut self, now: Time, times: &StopTimes) -> Vec<Leaving> {
        let is_surplus_needed = self.missing_vms(now) > 0;
        let may_empty = |worker: &Worker| {
            let is_vacating = worker.is_vacating(now);
            let is_wanted = worker.draining
                || is_vacating && !worker.is_surplus
                || is_vacating && is_surplus_needed && worker.incoming.is_empty();
            worker.fenced && worker.is_responsive() && is_wanted && !worker.allocations.is_empty()
        };
        let leaving = self.workers.iter().filter(|(_, worker)| may_empty(worker));
        let counts = leaving.map(|(key, worker)| (key, worker.allocations.len()));
        let workers = take_turn(counts, &mut self.next_leaving, MAX_RUNS);
        let workers = workers.into_iter().filter_map(|key| Some((key, self.workers.get(key)?)));
        workers.map(|(key, worker)| self.leaving_worker(now, times, key, worker)).collect()
    }

    fn leaving_worker(
        &self,
        now: Time,
        times: &StopTimes,
        key: worker::Key,
        worker: &Worker,
    ) -> Leaving {
        let to_run = |name: &task::Name| {
            let victim = self.victim(now, *name).filter(|victim| victim.worker == key);
            let remaining_ms = victim.map(|victim| victim.remaining_ms);
            LeavingRun {
                remaining_ms: remaining_ms
                    .unwrap_or_else(|| self.run_ends_in_ms(now, times, *name, key)),
                victim: victim.filter(|victim| victim.saves && victim.elapsed_ms >= MIN_ELAPSED_MS),
            }
        };
        let mut runs: Vec<LeavingRun> = worker.allocations.keys().map(to_run).collect();
        runs.sort_by_key(|run| (Reverse(run.remaining_ms), run.victim.map(|victim| victim.name)));
        let worth_stopping = |run: &&LeavingRun| is_worth_stopping(run, times, 0);
        let stopped = runs.iter().take_while(worth_stopping);
        let cost = stopped.filter_map(|run| run.victim).map(|victim| victim.work_cost(times)).sum();
        let is_surplus = worker.is_surplus && !worker.draining;
        let left = runs.iter().find(|run| !is_worth_stopping(run, times, 0));
        let empty_in_ms = left.map_or(times.stop_ms, |run| run.remaining_ms.max(times.stop_ms));
        Leaving { key, is_surplus, runs, empty_in_ms, cost }
    }

    /// Returns how soon a worker can be empty, in tenths of a second, and at what cost. One that
    /// keeps room for a task comes last: it can't leave before the task has started and ended.
    pub(super) fn ease_of_emptying(
        &self,
        now: Time,
        key: worker::Key,
        by_stops: bool,
    ) -> (u64, u64) {
        let Some(worker) = self.workers.get(key) else { return (0, 0) };
        if !worker.incoming.is_empty() {
            return (u64::MAX, 0);
        }
        let leaving = self.leaving_worker(now, &self.stop_times(), key, worker);
        let longest_ms = leaving.runs.first().map_or(0, |run| run.remaining_ms);
        let empty_in_ms = if by_stops { leaving.empty_in_ms.min(longest_ms) } else { longest_ms };
        (empty_in_ms / 100, if by_stops { leaving.cost } else { 0 })
    }

    /// Records how many VMs other pools miss.
    pub(super) fn set_missing(&mut self, now: Time, count: u32) {
        self.missing = Missing { count, announced: now };
    }

    /// Returns when a run is predicted to end, in milliseconds.
    pub(super) fn run_ends_in_ms(
        &self,
        now: Time,
        times: &StopTimes,
        name: task::Name,
        key: worker::Key,
    ) -> u64 {
        let Some(entry) = self.entry(name.job).filter(|entry| !entry.state.is_final()) else {
            return times.stop_ms;
        };
        let placement = entry.placement(name).filter(|placement| placement.worker == key);
        let (Some(step), Some(placement)) = (entry.step(name), placement) else {
            return times.stop_ms;
        };
        match placement.phase {
            _ if step.long_running => u64::MAX,
            Phase::Stopping { .. } => times.stop_ms,
            _ => self.predicted_remaining_ms(now, entry, step, placement),
        }
    }

    /// Stops the runs of a worker that have the longest remaining time, as far as that empties it
    /// sooner. Returns whether any is stopped.
    fn empty_by_stops(
        &mut self,
        now: Time,
        worker: &Leaving,
        times: &StopTimes,
        slots: &mut Slots,
        orders: &mut Vec<Order>,
    ) -> bool {
        let own = slots.index_of(worker.key);
        if own.is_some_and(|own| slots.get(own).promised != Room::default()) {
            return false;
        }
        let is_draining = self.workers.get(worker.key).is_some_and(|worker| worker.draining);
        let mut moves = Vec::new();
        let mut left_ms = 0;
        for run in &worker.runs {
            let is_ending_in_time = is_draining && run.remaining_ms <= DRAIN_MS;
            let place = run.victim.filter(|_| !is_ending_in_time).and_then(|victim| {
                let step = self.entry(victim.name.job)?.step(victim.name)?;
                let place = self.find_slot(now, victim.name, step, Some(worker.key), slots)?;
                (is_worth_stopping(run, times, 0) && !victim.is_harmed(times, place.0))
                    .then_some((victim, place))
            });
            let Some((victim, (wait_ms, index))) = place else {
                left_ms = run.remaining_ms;
                break;
            };
            slots.promise(index, victim.name, &victim.room);
            moves.push((victim, wait_ms, index));
        }
        let (kept, given_up): (Vec<_>, Vec<_>) = moves
            .into_iter()
            .partition(|(victim, _, _)| is_gain(victim.remaining_ms, times, left_ms));
        for (victim, _, index) in given_up {
            slots.withdraw(index, victim.name, &victim.room);
        }
        if kept.is_empty() {
            return false;
        }
        if let Some(own) = own {
            slots.set_emptied(own);
        }
        let longest = worker.runs.first().map_or(0, |run| run.remaining_ms);
        let cores: u64 = kept.iter().map(|(victim, _, _)| victim.room.cpu).sum();
        let why = format!(
            "{} of {} runs with {cores} thousandths of a core are stopped: the longest would take {longest} ms, stopping and resuming takes {} ms, the others take {left_ms} ms",
            kept.len(),
            worker.runs.len(),
            times.total_ms()
        );
        let first = kept.first().map(|(victim, _, _)| victim.name);
        for (victim, _, index) in kept {
            // From here on the worker itself counts the task as expected.
            slots.settle(index, victim.name);
            self.keep_room(victim.name, slots.get(index).key, victim.room);
            self.stop_victim(now, &victim, orders);
        }
        self.note("worker emptied by stops", first, Some(worker.key), why);
        true
    }
}

/// Returns whether a run may be stopped and that empties its worker sooner, if its other runs take
/// `left_ms`.
fn is_worth_stopping(run: &LeavingRun, times: &StopTimes, left_ms: u64) -> bool {
    run.victim.is_some() && is_gain(run.remaining_ms, times, left_ms)
}

/// Returns whether a worker whose longest run takes `longest_ms` is empty as soon as stops would make
/// it.
pub(super) fn is_soon_empty(longest_ms: u64, times: &StopTimes) -> bool {
    longest_ms <= times.total_ms() + MIN_GAIN_MS
}

fn is_gain(remaining_ms: u64, times: &StopTimes, left_ms: u64) -> bool {
    remaining_ms > times.stop_ms.max(left_ms) + times.resume_ms + MIN_GAIN_MS
}
