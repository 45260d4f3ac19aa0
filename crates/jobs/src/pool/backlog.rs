//! The waiting work of the pool as input of the choice among jobs, and its result.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_model::Time;
use slotmap::SecondaryMap;

use super::entry::{Entry, Occurrence, Task, TaskState};
use super::overload::{Capacity, Job, Newest, Overload, Profile, Run, Sizes, charge};
use super::{JobKey, Pool};
use crate::contention::Order;
use crate::job::{Room, Step};
use crate::work::Work;
use crate::worker;

/// How often the choice is renewed at most. Jobs that arrive in between aren't passed over.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// How many jobs change their places by one renewal at most. It bounds the duration of a plan; the
/// other changes follow with the next renewals.
const MAX_CHANGES: usize = 500;
/// How often the choice is logged while jobs are passed over.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// What is left of an occurrence, as of its last rank.
#[derive(Clone, Debug)]
struct Remainder {
    /// The waiting tasks. Its latest start may have passed.
    job: Job,
    begun: Time,
    runs: Vec<PlacedRun>,
}

/// A run, or a long-running task that waits: it goes before all others.
#[derive(Clone, Copy, Debug)]
struct PlacedRun {
    worker: Option<worker::Key>,
    room: Work,
    since: Time,
    /// Its predicted duration; `None` if it doesn't end by itself.
    predicted: Option<Duration>,
}

/// The state of the choice. It is in memory only: a successor computes it from the jobs that it
/// loads.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    overload: Overload,
    newest: Newest,
    /// What is left of each occurrence. Collecting it from the jobs at each renewal would take
    /// longer than the choice.
    remainders: BTreeMap<(JobKey, u32), Remainder>,
    /// The index of each queue in `sizes`.
    queues: HashMap<String, usize>,
    /// The sizes of jobs that arrived, by queue.
    sizes: Vec<Sizes>,
    /// The mean room of the workers at the last renewal.
    worker: Room,
    /// The number of runs at the last renewal.
    run_count: usize,
    renewed: Option<Time>,
    noted: Option<Time>,
}

impl Backlog {
    /// Records the work of a job that arrived.
    pub fn record(&mut self, queue: &str, work: &Work) {
        let queue = self.queue(queue);
        self.sizes[queue].record(work.cpu);
    }

    /// Returns the index of a queue, and adds it if it is new.
    fn queue(&mut self, name: &str) -> usize {
        if let Some(index) = self.queues.get(name) {
            return *index;
        }
        self.queues.insert(name.to_owned(), self.sizes.len());
        self.sizes.push(Sizes::default());
        self.sizes.len() - 1
    }

    /// Removes what is known of a job.
    pub fn remove(&mut self, key: JobKey) {
        while let Some((known, _)) = self.remainders.range((key, 0)..=(key, u32::MAX)).next() {
            let known = *known;
            self.remainders.remove(&known);
        }
    }

    /// Returns whether the newest of the jobs that can be in time go first.
    pub fn is_newest_first(&self) -> bool {
        self.newest.is_on()
    }
}

impl Pool {
    /// Updates what is left of a job, if the order depends on it.
    pub(super) fn update_remainder(&mut self, key: JobKey) {
        if self.config.contention.order == Order::Deadline {
            return;
        }
        self.backlog.remove(key);
        let Some(entry) = self.jobs.get(key).filter(|entry| !entry.state.is_final()) else {
            return;
        };
        let queue = self.backlog.queue(&entry.queue);
        for (number, occurrence) in &entry.occurrences {
            let remainder = self.remainder(entry, occurrence, queue);
            self.backlog.remainders.insert((key, *number), remainder);
        }
    }

    fn remainder(&self, entry: &Entry, occurrence: &Occurrence, queue: usize) -> Remainder {
        let chain = self.chain_left(entry, occurrence);
        let (mut work, mut size) = (Work::default(), 0.0);
        let mut runs = Vec::new();
        for (step, state) in entry.steps.iter().zip(&occurrence.steps) {
            let predicted = Duration::from_millis(self.predict(&entry.queue, step));
            let room = charge(&self.backlog.worker, &step.room());
            size += Work::of(&step.room().times(step.count), predicted).cpu;
            if !step.long_running {
                work.add(&room.times(f64::from(state.waiting) * predicted.as_secs_f64()));
            }
            if step.long_running || state.unfinished > state.waiting {
                let predicted = (!step.long_running).then_some(predicted);
                let run = |task: &Task| match &task.state {
                    TaskState::Placed(placement) => {
                        let (worker, since) = (Some(placement.worker), placement.since);
                        Some(PlacedRun { worker, room, since, predicted })
                    }
                    TaskState::Waiting if step.long_running && occurrence.is_ready(step) => {
                        Some(PlacedRun { worker: None, room, since: Time::ZERO, predicted })
                    }
                    TaskState::Waiting | TaskState::Done => None,
                };
                if step.long_running {
                    runs.extend(state.tasks.iter().filter_map(run));
                } else {
                    runs.extend(state.tasks.known().filter_map(|(_, task)| run(task)));
                }
            }
        }
        let latest_start = Time::ZERO + (entry.deadline(occurrence) - (Time::ZERO + chain));
        let job = Job {
            priority: self.queues.get(&entry.queue).map_or(u32::MAX, |queue| queue.priority),
            queue,
            latest_start: Some(latest_start),
            chain,
            work,
            size,
            has_begun: occurrence.has_begun(&entry.steps),
        };
        Remainder { job, begun: occurrence.begun, runs }
    }

    /// Renews the choice among the waiting jobs if it is due.
    pub(super) fn renew_choice(&mut self, now: Time) {
        let order = self.config.contention.order;
        let is_recent = self.backlog.renewed.is_some_and(|at| now - at < RENEWAL_INTERVAL);
        let is_idle = self.ranking.is_empty()
            && !self.backlog.overload.is_on()
            && !self.backlog.newest.is_on();
        // Before each worker of a predecessor has answered, the capacity isn't known.
        if order == Order::Deadline || is_recent || is_idle || !self.knows_capacity() {
            return;
        }
        self.backlog.renewed = Some(now);
        match order {
            Order::Deadline => {}
            Order::InTime => self.pass_over(now),
            Order::Newest => self.update_newest(now),
        }
    }

    /// Chooses the jobs to pass over.
    fn pass_over(&mut self, now: Time) {
        let mut room = Room::default();
        let mut usable = SecondaryMap::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.is_usable(now)) {
            room.add(&worker.room);
            usable.insert(key, ());
        }
        self.backlog.worker = mean(&room, usable.len() as u64);
        let count = self.backlog.remainders.len();
        let mut occurrences = Vec::with_capacity(count);
        let mut jobs = Vec::with_capacity(count);
        let mut runs = Vec::with_capacity(self.backlog.run_count);
        for (key, remainder) in &self.backlog.remainders {
            let is_counted =
                |run: &&PlacedRun| run.worker.is_none_or(|worker| usable.contains_key(worker));
            let counted = remainder.runs.iter().filter(is_counted);
            runs.extend(counted.map(|run| Run { room: run.room, left: run.left(now) }));
            if remainder.job.work != Work::default() {
                let latest_start = remainder.job.latest_start.filter(|latest| *latest >= now);
                occurrences.push(*key);
                jobs.push(Job { latest_start, ..remainder.job });
            }
        }
        let run_count = runs.len();
        self.backlog.run_count = run_count;
        let capacity = Capacity::new(&room, runs);
        let profiles: Vec<Profile> = self.backlog.sizes.iter().map(Sizes::profile).collect();
        let was_on = self.backlog.overload.is_on();
        let choice = self.backlog.overload.choose(now, &capacity, &jobs, &profiles);
        let mut changes = 0;
        for ((key, number), is_passed_over) in occurrences.into_iter().zip(&choice) {
            changes += usize::from(self.set_passed_over(key, number, *is_passed_over));
            if changes == MAX_CHANGES {
                break;
            }
        }
        let is_on = self.backlog.overload.is_on();
        let is_note_due = self.backlog.noted.is_none_or(|at| now - at >= NOTE_INTERVAL);
        if was_on != is_on || is_on && is_note_due {
            self.backlog.noted = Some(now);
            let event = if is_on { "jobs passed over" } else { "no more jobs passed over" };
            let in_time = jobs.iter().filter(|job| job.latest_start.is_some()).count();
            let count = choice.iter().filter(|is_passed_over| **is_passed_over).count();
            let why = format!(
                "{count} of {in_time} that could be in time, {} wait, {run_count} runs, {} thousandths of a core",
                jobs.len(),
                room.cpu
            );
            self.note(event, None, None, why);
        }
    }

    /// Decides whether the newest jobs go first.
    fn update_newest(&mut self, now: Time) {
        let waited = |remainder: &Remainder| {
            let is_waiting = remainder.job.work != Work::default() && !remainder.job.has_begun;
            let latest =
                remainder.job.latest_start.filter(|latest| is_waiting && *latest >= now)?;
            let slack = (latest - remainder.begun).as_secs_f64();
            Some((now - remainder.begun).as_secs_f64() / slack.max(1e-3))
        };
        let longest = self.backlog.remainders.values().filter_map(waited).fold(0.0, f64::max);
        if !self.backlog.newest.update(now, longest) {
            return;
        }
        let keys: Vec<JobKey> = self.backlog.remainders.keys().map(|(key, _)| *key).collect();
        let event = if self.backlog.newest.is_on() { "newest first" } else { "deadlines first" };
        let why =
            format!("{} jobs, the oldest has waited for {longest:.2} of its slack", keys.len());
        self.note(event, None, None, why);
        keys.into_iter().for_each(|key| self.mark_changed(key));
    }
}

impl PlacedRun {
    /// Returns the predicted remaining time. A few runs take several times as long as predicted: a
    /// run that has lasted longer is assumed to last as long again.
    fn left(&self, now: Time) -> Option<Duration> {
        let elapsed = now - self.since;
        self.predicted.map(
            |predicted| {
                if elapsed < predicted { predicted - elapsed } else { elapsed }
            },
        )
    }
}

impl Occurrence {
    /// Returns whether a task has been started.
    pub(super) fn has_begun(&self, steps: &[Step]) -> bool {
        steps.iter().zip(&self.steps).any(|(step, state)| state.waiting < step.count)
    }
}

fn mean(total: &Room, count: u64) -> Room {
    let part = |total: u64| total / count.max(1);
    Room { cpu: part(total.cpu), memory_mb: part(total.memory_mb), gpu: part(total.gpu) }
}
