//! Owners, workers and lost messages under faults, checked against the invariants.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use corianderfork_jobs::contention;
use corianderfork_jobs::pool::{Action, Answer, Order, Pool};
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::worker::{Key, Location, Registration};
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;
use proptest::prelude::*;

use super::{Connections, FENCE, Worker, at, contended_owner, owner, registration, saved_ms, step};

/// How long the entry of a restarted worker is on its way, in milliseconds.
const ENTRY_DELAY_MS: u64 = 500;
/// How long a delayed order is on its way, in milliseconds.
const ORDER_DELAY_MS: u64 = 1_700;
/// The age up to which a run counts as starting, in milliseconds.
const STARTUP_MS: u64 = 300;
/// The crashes that a task may have caused after which its job may fail: the first if it was the
/// only one that was starting in one of them.
const MAX_CRASHES: [usize; 2] = [3, 4];

/// An event in one step of time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Submits a job; each number is the task count of a step.
    Submit(Vec<u32>),
    Cancel(usize),
    /// The worker's answers get lost from now on, or arrive again.
    LoseAnswers(usize, bool),
    /// Orders to the worker are carried out later than subsequent ones, or in time again.
    Delay(usize, bool),
    /// The worker crashes, and another one starts in its place.
    Crash(usize),
    /// The worker crashes and starts again under its ID.
    Restart(usize),
    /// A successor takes over; the previous owner continues for a while, unaware of it.
    Takeover,
    /// The planner vacates a worker for maintenance.
    Vacate(usize),
    /// The planner has the pool keep some workers, while others miss some.
    Shrink(u32, u32),
    /// Writes reach the store from now on, or not.
    Store(bool),
    Pass,
}

/// Returns events in a pool that changes its size under faults. A job is submitted with a weight of
/// `jobs`, against 33 for the others, and its steps have up to `most_tasks` tasks.
pub fn contention_events(
    jobs: u32,
    most_tasks: u32,
    count: std::ops::Range<usize>,
) -> impl Strategy<Value = Vec<Event>> {
    let worker = 0usize..3;
    let event = prop_oneof![
        jobs => prop::collection::vec(1..=most_tasks, 1..3).prop_map(Event::Submit),
        4 => worker.clone().prop_map(Event::Vacate),
        3 => (1u32..4, 0u32..3).prop_map(|(keep, missing)| Event::Shrink(keep, missing)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::LoseAnswers(w, on)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::Delay(w, on)),
        1 => worker.prop_map(Event::Crash),
        1 => Just(Event::Takeover),
        2 => any::<bool>().prop_map(Event::Store),
        18 => Just(Event::Pass),
    ];
    prop::collection::vec(event, count)
}

/// Plays events on tasks of `task_ms` and asserts that some invariants hold.
pub fn check_contention(
    settings: contention::Settings,
    events: &[Event],
    task_ms: u64,
    invariants: &[Invariant],
) -> Result<(), TestCaseError> {
    let mut simulation = FaultSimulation::contended(settings, task_ms);
    for event in events {
        simulation.apply(event);
        simulation.step();
    }
    let mut violations = simulation.finish();
    violations.retain(|violation| invariants.contains(&violation.invariant));
    prop_assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

/// What has to hold whatever happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A task has at most one live run, unless a lease has expired.
    SingleRun,
    /// No worker gets more than it has room for.
    Room,
    /// No task starts again after an acknowledged exit as done.
    NoRepeat,
    /// Steps run in order.
    Order,
    /// Every job that isn't cancelled completes, unless a task of it crashes its workers.
    Completion,
    /// No run of an ended job is left.
    NothingLeft,
    /// A stopped task resumes from the progress that it saved, once its worker may forget that, and
    /// its stops cost no attempt. Progress is no text that can be compared: what a later run saved
    /// replaces what an earlier one did, which may be heard of late.
    Progress,
    /// No task is stopped too often.
    Stops,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

/// Owners, workers and the store, under faults.
pub struct FaultSimulation {
    now: u64,
    owners: Vec<Pool>,
    /// The connections of each owner.
    connections: Vec<Connections>,
    fence: u64,
    /// The store's revision.
    revision: u64,
    workers: BTreeMap<String, Worker>,
    registrations: Vec<Registration>,
    instance_count: u16,
    answers_lost: HashSet<String>,
    delayed: HashSet<String>,
    /// Delayed orders, and when they arrive.
    delayed_orders: Vec<(u64, Order)>,
    is_store_up: bool,
    /// Entries of restarted workers that aren't listed yet, and when they are.
    late_entries: Vec<(u64, Registration)>,
    roster: Vec<Location>,
    records: BTreeMap<JobId, (Record, u64)>,
    progress: HashMap<JobId, Progress>,
    cancelled: HashSet<JobId>,
    next: u64,
    /// When the runs of each task started.
    starts: HashMap<Name, Vec<u64>>,
    /// When tasks first ended as done, if that exit was acknowledged.
    acknowledged: HashMap<Name, u64>,
    /// The runs on each worker and their ages when it last answered, and the starts since.
    heard: HashMap<String, HashMap<Name, u64>>,
    settings: contention::Settings,
    /// The duration of a task.
    task_ms: u64,
    /// The progress of stopped runs that their workers were allowed to forget, by run.
    forgotten: HashMap<Name, BTreeMap<u64, u64>>,
    /// The last run of each task that was heard to have saved progress.
    last_saved: HashMap<Name, u64>,
    /// The runs of each unfinished task that were stopped.
    stopped: HashMap<Name, HashSet<u64>>,
    /// For each crash that a task may have caused, whether no other run was starting.
    crashes: HashMap<Name, Vec<bool>>,
    violations: Vec<Violation>,
}

/// Returns the entry of a worker that started at `born`.
fn listed(id: &str, port: u16, born: u64) -> Registration {
    Registration { born_ms: Some(born), ..registration(id, port, "r") }
}

fn cpu() -> u64 {
    2_000
}

impl FaultSimulation {
    pub fn new() -> Self {
        let registrations: Vec<Registration> =
            (0..3).map(|i| listed(&format!("w{i}"), 9_000 + i, 0)).collect();
        let workers = registrations
            .iter()
            .map(|registration| (registration.id.clone(), Worker::default()))
            .collect();
        Self {
            now: 1_000,
            owners: vec![owner(FENCE, 1_000)],
            connections: vec![Connections::default()],
            fence: FENCE,
            revision: FENCE,
            workers,
            registrations,
            instance_count: 3,
            answers_lost: HashSet::new(),
            delayed: HashSet::new(),
            delayed_orders: Vec::new(),
            is_store_up: true,
            late_entries: Vec::new(),
            roster: Vec::new(),
            records: BTreeMap::new(),
            progress: HashMap::new(),
            cancelled: HashSet::new(),
            next: 0,
            starts: HashMap::new(),
            acknowledged: HashMap::new(),
            heard: HashMap::new(),
            settings: contention::Settings::default(),
            task_ms: 700,
            forgotten: HashMap::new(),
            last_saved: HashMap::new(),
            stopped: HashMap::new(),
            crashes: HashMap::new(),
            violations: Vec::new(),
        }
    }

    /// Creates a simulation whose tasks take `task_ms` and save their progress, and whose owners
    /// stop them as `settings` say.
    pub fn contended(settings: contention::Settings, task_ms: u64) -> Self {
        let mut simulation = Self { settings, task_ms, ..Self::new() };
        simulation.workers.values_mut().for_each(|worker| worker.saves = true);
        simulation.owners = vec![contended_owner(FENCE, simulation.now, settings)];
        simulation
    }

    fn contends(&self) -> bool {
        self.settings != contention::Settings::default()
    }

    fn worker_id(&self, number: usize) -> String {
        self.registrations[number % self.registrations.len()].id.clone()
    }

    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit(task_counts) => self.submit(task_counts),
            Event::Cancel(number) => self.cancel(*number),
            Event::LoseAnswers(number, on) => {
                let id = self.worker_id(*number);
                if *on {
                    self.answers_lost.insert(id)
                } else {
                    self.answers_lost.remove(&id)
                };
            }
            Event::Delay(number, on) => {
                let id = self.worker_id(*number);
                if *on {
                    self.delayed.insert(id)
                } else {
                    self.delayed.remove(&id)
                };
            }
            Event::Crash(number) => self.crash(*number),
            Event::Restart(number) => self.restart(*number),
            Event::Takeover => self.take_over(),
            Event::Vacate(number) => {
                let id = self.worker_id(*number);
                let pool = self.owners.last_mut().expect("an owner");
                pool.vacate(at(self.now), &id, Duration::from_millis(900));
            }
            Event::Shrink(keep, missing) => {
                let pool = self.owners.last_mut().expect("an owner");
                let time = Duration::from_millis(900);
                pool.shrink_for_others(at(self.now), *keep, *missing, time);
            }
            Event::Store(up) => self.is_store_up = *up,
            Event::Pass => {}
        }
    }

    fn submit(&mut self, task_counts: &[u32]) {
        if !self.is_store_up {
            return;
        }
        self.next += 1;
        let steps = task_counts.iter().enumerate().map(|(index, count)| {
            let step = Step { checkpoints: self.contends(), ..step(*count, cpu()) };
            if index > 0 { step.after(index as u32 - 1) } else { step }
        });
        let job = Job::new("run".to_owned(), steps.collect()).expect("a job");
        let queue = if self.settings.preempt && self.next.is_multiple_of(2) { "low" } else { "q" };
        let record = Record {
            queue: queue.to_owned(),
            accepted_ms: 0,
            attempts: None,
            job,
            organisation: None,
        };
        self.records.insert(JobId(self.next), (record, self.fence + 1));
    }

    fn cancel(&mut self, number: usize) {
        let Some(id) = self.records.keys().nth(number).copied() else { return };
        let now = at(self.now);
        let Some(pool) = self.owners.last_mut() else { return };
        if pool.state(id).is_some_and(|state| !state.is_final()) && pool.cancel(now, id) {
            self.cancelled.insert(id);
        }
    }

    fn crash(&mut self, number: usize) {
        let old = self.worker_id(number);
        self.record_crash(&old);
        self.workers.remove(&old);
        self.instance_count += 1;
        let id = format!("w{}", self.instance_count);
        let replaced = self.registrations.iter_mut().find(|entry| entry.id == old).expect("listed");
        *replaced = listed(&id, 9_000 + self.instance_count, self.now);
        let saves = self.contends();
        self.workers.insert(id, Worker { born: self.now, saves, ..Worker::default() });
    }

    fn restart(&mut self, number: usize) {
        let id = self.worker_id(number);
        self.record_crash(&id);
        self.workers.get_mut(&id).expect("a worker").restart(self.now);
        let known = self.registrations.iter().find(|entry| entry.id == id).expect("listed");
        let entry = Registration { born_ms: Some(self.now), ..known.clone() };
        self.late_entries.push((self.now + ENTRY_DELAY_MS, entry));
    }

    fn list_late_entries(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late_entries).into_iter().partition(|(at, _)| *at <= now);
        self.late_entries = remaining;
        for (_, entry) in due {
            let listed = self.registrations.iter_mut().find(|listed| listed.id == entry.id);
            listed.into_iter().for_each(|listed| *listed = entry.clone());
        }
    }

    fn record_acknowledged(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (name, run, saved) in std::mem::take(&mut worker.forgotten_stops) {
            self.forgotten.entry(name).or_default().insert(run, saved);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (name, ended) in std::mem::take(&mut worker.acknowledged) {
            let starts = self.starts.get(&name).cloned().unwrap_or_default();
            if starts.iter().any(|started| *started > ended) {
                self.violate(Invariant::NoRepeat, format!("{name:?} started again after {ended}"));
            }
            self.acknowledged.entry(name).or_insert(ended);
        }
    }

    fn record_start(&mut self, name: Name) {
        if let Some(ended) = self.acknowledged.get(&name).copied() {
            let what = format!("{name:?} starts at {}, done at {ended}", self.now);
            self.violate(Invariant::NoRepeat, what);
        }
        self.starts.entry(name).or_default().push(self.now);
    }

    /// Records which tasks may have crashed a worker as far as its owner can know: those that ran
    /// there when it last answered, and those that were started there since, whether or not it
    /// carried that out yet.
    fn record_crash(&mut self, id: &str) {
        let heard = self.heard.remove(id).unwrap_or_default();
        let is_starting = |(_, age): &(&Name, &u64)| **age < STARTUP_MS;
        let starting: Vec<Name> = heard.iter().filter(is_starting).map(|(name, _)| *name).collect();
        for name in heard.keys() {
            let is_alone = starting.iter().all(|other| other == name);
            self.crashes.entry(*name).or_default().push(is_alone);
        }
    }

    /// Records the runs on a worker and their ages, as its owner hears of them, and the starts that
    /// it may still carry out: it rejects those of owners whose fence is lower than one that it has
    /// seen.
    fn record_heard(&mut self, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs = worker.running.iter().map(|(name, run)| (*name, self.now - run.began_at));
        let delayed = self.delayed_orders.iter().map(|(_, order)| order);
        let starts = delayed
            .filter(|order| order.id == id && matches!(order.action, Action::Start { .. }))
            .filter(|order| order.fence >= worker.fence)
            .map(|order| (order.task, 0));
        self.heard.insert(id.to_owned(), starts.chain(runs).collect());
    }

    /// Returns whether a task of the job may have caused so many crashes that it may be given up.
    fn may_be_given_up(&self, id: JobId) -> bool {
        let [as_only_one, at_most] = MAX_CRASHES;
        let own = self.crashes.iter().filter(|(name, _)| name.job == id);
        own.map(|(_, crashes)| crashes).any(|crashes| {
            let is_only_one = crashes.contains(&true);
            crashes.len() >= at_most || (crashes.len() >= as_only_one && is_only_one)
        })
    }

    fn violate(&mut self, invariant: Invariant, what: String) {
        self.violations.push(Violation { invariant, what });
    }

    /// Adds a new owner. The previous one continues until the next takeover.
    fn take_over(&mut self) {
        if !self.is_store_up {
            return;
        }
        self.revision += 1;
        self.fence = self.revision;
        let mut pool = if self.contends() {
            contended_owner(self.fence, self.now, self.settings)
        } else {
            owner(self.fence, self.now)
        };
        pool.set_roster(self.roster.clone(), 0);
        for (id, (record, revision)) in &self.records {
            let progress = self.progress.get(id);
            pool.accept(at(self.now), Duration::ZERO, *id, record, progress, *revision);
        }
        pool.set_workers(at(self.now), &self.registrations);
        self.owners.push(pool);
        self.connections.push(Connections::default());
        if self.owners.len() > 2 {
            self.owners.remove(0);
            self.connections.remove(0);
        }
    }

    pub fn step(&mut self) {
        self.now += 100;
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            self.workers.get_mut(&id).expect("a worker").advance(now);
        }
        self.list_late_entries();
        self.deliver_delayed();
        for index in 0..self.owners.len() {
            self.run_owner(index);
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.delayed_orders).into_iter().partition(|(at, _)| *at <= now);
        self.delayed_orders = remaining;
        for (_, order) in due {
            if !self.is_behind_a_restart(&order) {
                self.handle_order(&order);
            }
        }
    }

    /// Returns whether the worker of an order has started again and not yet answered the newest owner.
    /// An order that arrives then is a fault of its own, see
    /// `restart_just_before_a_copy_of_the_start_of_a_done_task_arrives`.
    fn is_behind_a_restart(&self, order: &Order) -> bool {
        let worker = self.workers.get(&order.id);
        worker.is_some_and(|worker| worker.fence < self.fence.min(order.fence))
    }

    fn run_owner(&mut self, index: usize) {
        let is_newest = index + 1 == self.owners.len();
        let now = at(self.now);
        if self.owners[index].is_deposed() {
            return;
        }
        if is_newest {
            let registrations = self.registrations.clone();
            let pool = &mut self.owners[index];
            pool.set_workers(now, &registrations);
            for (id, (record, revision)) in &self.records {
                pool.accept(now, Duration::ZERO, *id, record, self.progress.get(id), *revision);
            }
        }
        let keys: Vec<Key> = self.owners[index].workers().collect();
        for key in keys {
            self.poll(index, key, now);
        }
        let orders = self.owners[index].plan(now, 0);
        for order in orders {
            self.send_order(index, &order);
        }
        if is_newest && self.is_store_up {
            self.write(index);
        }
    }

    fn poll(&mut self, index: usize, key: Key, now: Time) {
        let connection = self.connections[index].of(key);
        let Some(poll) = self.owners[index].next_poll(now, key, connection) else { return };
        let is_lost = self.answers_lost.contains(&poll.id);
        let worker = self.workers.get_mut(&poll.id);
        let answer = self.connections[index].poll(self.now, &poll, worker, is_lost);
        self.record_acknowledged(&poll.id);
        let is_newest = index + 1 == self.owners.len();
        if is_newest && matches!(answer, Answer::Done(_)) {
            self.record_heard(&poll.id);
        }
        if let Answer::Done(report) = &answer {
            let running = report.running.iter().map(|run| (run.task, run.run, &run.saved));
            let ended = report.exits.iter().map(|exit| (exit.task, exit.run, &exit.saved));
            for (task, run, _) in running.chain(ended).filter(|(.., saved)| !saved.is_empty()) {
                let last = self.last_saved.entry(task).or_default();
                *last = run.max(*last);
            }
        }
        self.owners[index].handle_poll_answer(now, now, key, &answer);
    }

    fn send_order(&mut self, index: usize, order: &Order) {
        let is_fenced = self.workers.get(&order.id).is_some_and(|w| order.fence < w.fence);
        if matches!(order.action, Action::Start { .. }) && !is_fenced {
            self.heard.entry(order.id.clone()).or_default().entry(order.task).or_insert(0);
        }
        let answer = if self.delayed.contains(&order.id) {
            self.delayed_orders.push((self.now + ORDER_DELAY_MS, order.clone()));
            Answer::Lost
        } else {
            let answer = self.handle_order(order);
            if self.answers_lost.contains(&order.id) { Answer::Lost } else { answer }
        };
        self.owners[index].handle_order_answer(at(self.now), order, &answer);
    }

    fn handle_order(&mut self, order: &Order) -> Answer<u64> {
        let steps: &[Step] = &self.records[&order.task.job].0.job.steps;
        let step = &steps[order.task.step as usize];
        let (room, after) = (step.room(), step.after.clone());
        let others = self.workers.iter().filter(|(id, _)| **id != order.id);
        let is_elsewhere = others.filter(|(_, w)| w.running.contains_key(&order.task)).count() > 0;
        let Some(worker) = self.workers.get_mut(&order.id) else { return Answer::Lost };
        let before = worker.running.len();
        let answer = worker.handle_order(self.now, order, room, self.task_ms);
        let is_new = worker.running.len() > before;
        let is_stopped = worker.running.len() < before && order.action == Action::Stop;
        let used: u64 = worker.running.values().map(|run| run.room.cpu).sum();
        if is_stopped && !is_elsewhere {
            self.record_stop(order);
        }
        if is_new {
            self.check_progress(order);
        }
        if is_new && is_elsewhere {
            self.violate(Invariant::SingleRun, format!("{:?} runs twice", order.task));
        }
        if is_new && used > 8_000 {
            self.violate(
                Invariant::Room,
                format!("{used} thousandths of a core used on {}", order.id),
            );
        }
        if is_new {
            self.record_start(order.task);
            self.check_order(order.task, &after, task_counts_of(&self.records, order.task));
        }
        answer
    }

    /// Records the stop of the only run of a task that is needed.
    fn record_stop(&mut self, order: &Order) {
        let is_over = |pool: &Pool| {
            pool.is_done(order.task) || pool.state(order.task.job).is_none_or(State::is_final)
        };
        if self.owners.iter().any(is_over) {
            return;
        }
        let runs = self.stopped.entry(order.task).or_default();
        runs.insert(order.run);
        if runs.len() > 3 {
            let what = format!("{:?} was stopped {} times", order.task, runs.len());
            self.violate(Invariant::Stops, what);
        }
    }

    /// Checks that a start has the progress that former workers were allowed to forget.
    fn check_progress(&mut self, order: &Order) {
        let Action::Start { saved, .. } = &order.action else { return };
        let last_saved = self.last_saved.get(&order.task).copied().unwrap_or(0);
        let forgotten = self.forgotten.get(&order.task);
        let since_last = forgotten.into_iter().flat_map(|runs| runs.range(last_saved..));
        let least = since_last.map(|(_, saved)| *saved).max().unwrap_or(0);
        if saved_ms(saved) < least {
            let what = format!("{:?} resumes from {saved:?}, but saved {least}", order.task);
            self.violate(Invariant::Progress, what);
        }
        if self.progress.get(&order.task.job).is_some_and(|known| !known.failed.is_empty()) {
            self.violate(Invariant::Progress, format!("{:?} lost an attempt", order.task));
        }
    }

    fn check_order(&mut self, name: Name, after: &[u32], task_counts: Vec<u32>) {
        for step in after {
            for index in 0..task_counts[*step as usize] {
                let before = Name { step: *step, index, ..name };
                let is_done = self.owners.iter().any(|pool| pool.is_done(before));
                if !is_done {
                    self.violate(
                        Invariant::Order,
                        format!("{name:?} started before {before:?} was done"),
                    );
                }
            }
        }
    }

    fn write(&mut self, index: usize) {
        let pool = &mut self.owners[index];
        self.revision += 1;
        pool.raise_fence(self.revision);
        if let Some(locations) = pool.roster_update() {
            self.roster.clone_from(&locations);
            pool.confirm_roster(locations);
        }
        let batch = pool.next_batch(at(self.now), 5_000, 28);
        for update in &batch.updates {
            self.progress.insert(update.id, update.progress.clone());
        }
        pool.confirm_batch(&batch);
    }

    /// Ends the faults and runs until all is quiet. Returns the violations.
    pub fn finish(mut self) -> Vec<Violation> {
        self.answers_lost.clear();
        self.delayed.clear();
        self.is_store_up = true;
        for _ in 0..600 {
            self.step();
        }
        let ids: Vec<JobId> = self.records.keys().copied().collect();
        for id in ids {
            let state = self.owners.last().expect("an owner").state(id);
            let is_expected = match state {
                Some(State::Completed) => true,
                Some(State::Cancelled) => self.cancelled.contains(&id),
                Some(State::Failed) => self.may_be_given_up(id),
                _ => false,
            };
            if !is_expected {
                self.violate(Invariant::Completion, format!("{id} ends as {state:?}"));
            }
        }
        if self.workers.values().any(|worker| !worker.running.is_empty()) {
            self.violate(Invariant::NothingLeft, "a run is left".to_owned());
        }
        let lists_failure =
            self.workers.values().flat_map(|w| &w.exits).any(|e| e.outcome == Outcome::Failed);
        assert!(!lists_failure, "these workers never fail a run");
        self.violations
    }
}

fn task_counts_of(records: &BTreeMap<JobId, (Record, u64)>, name: Name) -> Vec<u32> {
    records[&name.job].0.job.steps.iter().map(|step| step.count).collect()
}
