//! Preemption: runs that matter less are stopped so that a more urgent task gets their room.
//!
//! A task that could be in time otherwise waits behind runs whose jobs are late already, and its own
//! job becomes late as well. The task that needs the room is chosen in the order in which waiting
//! tasks get room. The runs that it replaces are on one worker, and room there is kept for it until
//! they have ended ([`Worker::incoming`]): smaller tasks behind it would take the room piece by
//! piece.

mod candidate;
mod offers;

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, StepState, TaskState, name};
use super::order::Order;
use super::ranking::StepKey;
use super::turn::take_turn;
use super::victim::{Outlook, StopTimes};
use crate::job::{Step, chain_ms};
use crate::task;
use crate::worker::{self, Worker};
use candidate::{Candidate, Candidates, Choice, Urgency};
use offers::{Catalogue, Kind};

/// The shortest time between two decisions, which look at all runs of a pool.
const INTERVAL: Duration = Duration::from_millis(100);
/// How long a step waits until runs are stopped for it: a task that fits somewhere starts within
/// milliseconds, and runs end all the time.
const WAIT: Duration = Duration::from_millis(200);
/// The most waiting steps that one decision looks at.
const MAX_STEPS: usize = 256;
/// One in so many runs of a pool may be stopped a second.
const RUNS_PER_STOP: usize = 10;
/// A run that doesn't save its progress may only be stopped before this part of its predicted time:
/// what it has done is repeated.
const MAX_UNSAVED_PART: u64 = 10;

/// The most runs that one decision stops. Ten decisions a second stop a tenth of 12,800 runs, and each
/// stop takes some microseconds.
const MAX_STOPPED: usize = 128;
/// The most runs that one decision considers to stop while the waiting tasks are of a few kinds. The
/// workers of a larger pool are looked at in turns. 8,000 runs take 2 ms.
const MAX_RUNS: usize = 8_000;
/// The number of kinds of waiting tasks from which on fewer runs are considered: each run is compared
/// for each kind.
const FEW_KINDS: usize = 4;

/// A waiting task that needs room.
#[derive(Debug)]
struct Preemptor {
    name: task::Name,
    key: StepKey,
    urgency: Urgency,
    step: Step,
    /// The predicted work, in milliseconds of a core.
    work: u64,
}

impl Pool {
    /// Stops runs so that more urgent tasks get their room.
    pub(super) fn preempt(&mut self, now: Time, orders: &mut Vec<Order>) {
        if !self.config.contention.preempt {
            return;
        }
        self.review_preemptors(now);
        let may_stop = !self.is_recovering(now) && self.is_confirmed(now);
        if now < self.next_preemption || !may_stop {
            return;
        }
        self.next_preemption = now + INTERVAL;
        let mut allowed = self.allowed_preemptions(now);
        if allowed == 0 {
            return;
        }
        let times = self.stop_times();
        let preemptors = self.preemptors(now, &times, allowed);
        let Some(most_urgent) = preemptors.iter().map(|p| p.urgency).reduce(Urgency::or) else {
            return;
        };
        let mut kinds: Vec<Kind> = Vec::new();
        for kind in preemptors.iter().map(Kind::of) {
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
        let runs = MAX_RUNS * FEW_KINDS / kinds.len().max(FEW_KINDS);
        let mut candidates = self.preemptable_runs(now, &times, most_urgent, runs);
        let mut catalogue = Catalogue::default();
        let mut without_choice: Option<task::Name> = None;
        for preemptor in preemptors {
            // The other tasks of a step find no room either.
            if without_choice.is_some_and(|name| name.is_sibling(&preemptor.name)) {
                continue;
            }
            let choices = catalogue.choices(self, &preemptor, &candidates, &times);
            let choice = self.choose_victims(now, &preemptor, choices, allowed).cloned();
            let Some(choice) = choice else {
                without_choice = Some(preemptor.name);
                continue;
            };
            allowed -= choice.victims.len();
            let of_worker = candidates.entry(choice.worker).or_default();
            of_worker.retain(|known| choice.victims.iter().all(|v| v.name != known.victim.name));
            self.preempt_for(now, &preemptor, &choice, orders);
            if allowed == 0 {
                return;
            }
            catalogue.renew(self, choice.worker, &candidates, &times);
        }
    }

    /// Returns how many runs may be stopped now. A pool with few runs may stop one in a longer time.
    fn allowed_preemptions(&mut self, now: Time) -> usize {
        let runs: usize = self.workers.values().map(|worker| worker.allocations.len()).sum();
        let per_second = runs / RUNS_PER_STOP;
        let window = if per_second > 0 {
            Duration::from_secs(1)
        } else {
            Duration::from_secs(1) * u32::try_from(RUNS_PER_STOP.div_ceil(runs.max(1))).unwrap_or(1)
        };
        while self.recent_preemptions.front().is_some_and(|at| now - *at >= window) {
            self.recent_preemptions.pop_front();
        }
        let left = per_second.max(1).saturating_sub(self.recent_preemptions.len());
        left.min(MAX_STOPPED)
    }

    /// Returns the most urgent waiting tasks that are in time if they start after a stop: `at_most`,
    /// and the first one of each further step. A task that no worker can host takes no room of the
    /// steps behind it.
    fn preemptors(&self, now: Time, times: &StopTimes, at_most: usize) -> Vec<Preemptor> {
        let mut found = Vec::new();
        for (position, candidate) in self.ranking.behind(None).take(MAX_STEPS) {
            let key = candidate.key;
            let is_blocked = candidate.organisation.is_some_and(|of| self.accounts.is_blocked(of));
            let Some(entry) = self.jobs.get(key.job).filter(|_| !is_blocked) else { continue };
            let Some(step) = entry.steps.get(key.step) else { continue };
            let state = entry.occurrences.get(&key.occurrence).and_then(|o| o.steps.get(key.step));
            let Some(state) = state.filter(|state| has_waited(now, state)) else { continue };
            if step.gang
                || step.long_running
                || !self.may_start(entry)
                || !self.is_within_limit(entry, step)
                || !self.is_in_time(now, times, entry, key)
            {
                continue;
            }
            let predicted_ms = self.predict(&entry.queue, step);
            let work = predicted_ms.saturating_mul(step.room().cpu) / 1_000;
            let waiting = state
                .tasks
                .open()
                .filter(|(_, task)| {
                    matches!(task.state, TaskState::Waiting) && now >= task.not_before
                })
                .map(|(index, _)| name(entry.id, key.occurrence, key.step, index))
                .filter(|name| !self.preemptors.contains_key(name))
                .filter(|name| !self.relocations.contains_key(name) && self.crashes(*name) == 0);
            let urgency =
                Urgency { priority: position.priority(), is_owed: self.counts_as_owed(entry) };
            let count = at_most.saturating_sub(found.len()).max(1);
            found.extend(waiting.take(count).map(|name| Preemptor {
                name,
                key,
                urgency,
                step: step.clone(),
                work,
            }));
        }
        found
    }

    /// Returns whether a job is in time if its waiting tasks start after a stop.
    fn is_in_time(&self, now: Time, times: &StopTimes, entry: &Entry, key: StepKey) -> bool {
        let Some(occurrence) = entry.occurrences.get(&key.occurrence) else { return false };
        let left = chain_ms(&entry.steps, |index, step| {
            let state = occurrence.steps.get(index).filter(|state| state.unfinished > 0);
            state.map_or(0, |_| self.predict(&entry.queue, step))
        });
        let finish = now + Duration::from_millis(times.stop_ms + left);
        entry.outlook(occurrence, finish).0 == Outlook::InTime
    }

    /// Returns the runs that may be stopped for others and yield to `urgency`. Runs on workers that
    /// take no new tasks are not among them.
    ///
    /// Each waiting task is compared with all of them. In a busy pool most runs yield to none, and
    /// comparing hundreds of tasks with thousands of these takes longer than the interval between
    /// two decisions.
    fn preemptable_runs(
        &mut self,
        now: Time,
        times: &StopTimes,
        urgency: Urgency,
        at_most: usize,
    ) -> Candidates {
        let usable = self.workers.iter().filter(|(_, worker)| worker.is_usable(now));
        let counts = usable.map(|(key, worker)| (key, worker.allocations.len()));
        let workers = take_turn(counts, &mut self.next_preempted_worker, at_most);
        let usable = workers.iter().filter_map(|key| Some((*key, self.workers.get(*key)?)));
        let of_worker = |(key, worker): (worker::Key, &Worker)| {
            let victims = worker.allocations.keys().filter_map(|name| {
                let victim = self.victim(now, *name).filter(|victim| victim.worker == key)?;
                let is_cheap =
                    victim.saves || victim.elapsed_ms * MAX_UNSAVED_PART < victim.predicted_ms;
                let entry = self.entry(name.job).filter(|_| is_cheap)?;
                let (priority, is_owed) = (self.priority_of(entry), self.counts_as_owed(entry));
                let candidate = Candidate { victim, priority, is_owed };
                candidate.yields_to(urgency, times).then_some(candidate)
            });
            let mut candidates: Vec<Candidate> = victims.collect();
            candidates.sort_by_key(|run| (run.victim.cost_ms(times), run.victim.name));
            (key, candidates)
        };
        usable.map(of_worker).filter(|(_, candidates)| !candidates.is_empty()).collect()
    }

    /// Returns whether a job is within what its organisation is owed; without metering all are.
    fn counts_as_owed(&self, entry: &Entry) -> bool {
        entry.is_owed || !self.config.contention.meter
    }

    fn priority_of(&self, entry: &Entry) -> u32 {
        self.queues.get(&entry.queue).map_or(u32::MAX, |queue| queue.priority)
    }

    /// Returns the runs to stop for a task: those with the least cost on the worker where that is
    /// least, if they lose less than the task's work.
    fn choose_victims<'a>(
        &self,
        now: Time,
        preemptor: &Preemptor,
        mut choices: impl Iterator<Item = &'a Choice>,
        at_most: usize,
    ) -> Option<&'a Choice> {
        let (name, step) = (preemptor.name, &preemptor.step);
        let is_place = |key: worker::Key| {
            let worker = self.workers.get(key);
            worker.is_some_and(|worker| self.may_host(now, name, step, (key, worker)))
                && self.is_allowed_by_advice(now, name, key)
                && self.may_start_beside_suspects(name, key)
        };
        choices.find(|choice| {
            choice.lost < preemptor.work
                && choice.victims.len() <= at_most
                && is_place(choice.worker)
        })
    }

    fn preempt_for(
        &mut self,
        now: Time,
        preemptor: &Preemptor,
        choice: &Choice,
        orders: &mut Vec<Order>,
    ) {
        let room = preemptor.step.room();
        if let Some(worker) = self.workers.get_mut(choice.worker) {
            worker.incoming.insert(preemptor.name, room);
        }
        self.preemptors.insert(preemptor.name, choice.worker);
        self.mark_changed(preemptor.key.job);
        for victim in &choice.victims {
            self.recent_preemptions.push_back(now);
            self.stop_victim(now, victim, orders);
            let why = format!(
                "run {} yields to {:?} of priority {}: {} ms left, {:?}, stopped {} times; the stops lose {} ms of a core, and the other task has {}",
                victim.run,
                preemptor.name,
                preemptor.urgency.priority,
                victim.remaining_ms,
                victim.outlook,
                victim.stops + 1,
                choice.lost,
                preemptor.work
            );
            self.note("task preempted", Some(victim.name), Some(choice.worker), why);
        }
    }

    /// Gives up the room that is kept for tasks that have started elsewhere or ended or may not start
    /// because of a limit, or on workers that take no new tasks any more.
    fn review_preemptors(&mut self, now: Time) {
        let is_over = |(name, key): (&task::Name, &worker::Key)| {
            let entry = self.entry(name.job).filter(|entry| !entry.state.is_final());
            let task = entry.and_then(|entry| entry.task(*name));
            let is_waiting = task.is_some_and(|task| matches!(task.state, TaskState::Waiting));
            let may_start = entry.is_some_and(|entry| {
                entry.step(*name).is_some_and(|step| self.is_within_limit(entry, step))
            });
            let is_usable = self.workers.get(*key).is_some_and(|worker| worker.is_usable(now));
            (!is_waiting || !may_start || !is_usable).then_some(*name)
        };
        let over: Vec<task::Name> = self.preemptors.iter().filter_map(is_over).collect();
        for name in over {
            self.give_up_room(name);
        }
    }

    /// Returns how many tasks of a step wait for the end of runs that are stopped for them.
    pub(super) fn preempting_tasks(&self, first: task::Name) -> usize {
        let last = task::Name { index: u32::MAX, ..first };
        self.preemptors.range(first..=last).count()
    }
}

fn has_waited(now: Time, state: &StepState) -> bool {
    state.waiting_since.is_some_and(|since| now - since >= WAIT)
}
