//! Owners on both sides of a partition that act on the same workers, checked against the invariants.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_jobs::pool::{Action, Answer, Config, Order, Pool};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::worker::{Key, Location, Registration};
use corianderfork_jobs::{Job, JobId, Step, lease};

use super::{Connections, FENCE, MAX_LEASE_MS, Worker, at, registration, step};

/// The number of workers.
pub const WORKERS: usize = 4;
/// The length of an owner's lease in the store, in milliseconds.
const LEASE_TTL_MS: u64 = 2_500;
/// How long an owner goes on after nothing confirms its ownership any more, in milliseconds.
const GRACE_MS: u64 = 8_000;
/// How long an owner's predecessors may grant leases after its takeover, in milliseconds.
const STALE_HOLDER_MS: u64 = 10_500;
/// The length of a lease on a worker.
const WORKER_LEASE: Duration = Duration::from_secs(4);
/// How long an order over a slow link is on its way, in milliseconds.
const ORDER_DELAY_MS: u64 = 1_700;
/// How long the entry of a worker that has started is on its way, in milliseconds.
const ENTRY_DELAY_MS: u64 = 500;
/// The duration of a task that runs until its job is cancelled, in milliseconds.
const ENDLESS_MS: u64 = 1_000_000_000;
/// The longest time until all is quiet once all is connected, in steps of 100 ms: the wait for former
/// owners, and steps of long tasks one after the other.
const MAX_FINISH_STEPS: u32 = 1_500;
/// The crashes of workers after which a job may be given up.
const MIN_FATAL_CRASHES: usize = 3;

/// What connects an owner with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Up,
    Down,
    /// Requests arrive, and their answers don't.
    OneWay,
    /// Orders are carried out later than subsequent ones, and their answers don't arrive.
    Slow,
}

/// How a worker ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Another one starts at another address.
    Replaced,
    /// Another one starts at its address.
    AddressReused,
    /// It starts again under its ID.
    Restarted,
}

/// An owner, by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The owner before the newest one, or the newest one if there is no other.
    Former,
    Newest,
}

/// An event in one step of time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Submits a job; each step has a number of tasks and their duration in milliseconds.
    Submit(Vec<(u32, u64)>),
    /// Submits a job whose tasks run until it is cancelled.
    SubmitLasting(u32),
    Cancel(Side, usize),
    Link(Side, usize, Link),
    End(usize, End),
    /// A run on the worker fails.
    FailRun(usize),
    /// The owner hears which VMs are gone.
    ListVms(Side),
    /// The owner is asked for a worker to maintain, which is done if it is empty.
    Vacate(Side, usize),
    /// An owner that can't reach the store hears of the entries of workers.
    ListWorkers,
    /// The newest owner loses the store, and is left with these links.
    CutOff([bool; WORKERS]),
    /// An owner with these links takes over from one that is cut off, if its lease has ended.
    TakeOver([bool; WORKERS]),
    /// The newest owner reaches the store again. Its predecessor learns that it has been replaced, and
    /// reports its leases.
    Heal,
    Pass,
}

/// What has to hold whatever happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No task runs on two workers at once.
    SingleRun,
    /// No task starts again after an acknowledged exit as done.
    NoRepeat,
    /// No more tasks of a step are stopped at once than may be missed.
    Available,
    /// No worker is maintained under its runs.
    Maintained,
    /// Once all is connected again, every job that isn't cancelled completes, and tasks that run until
    /// then do so.
    Completion,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

struct Owner {
    pool: Pool,
    connections: Connections,
    links: [Link; WORKERS],
    confirmed_until: u64,
    is_cut_off: bool,
}

/// Owners, workers and a store that some of the owners reach.
pub struct Partition {
    now: u64,
    /// The owners that haven't stopped, the newest last.
    owners: Vec<Owner>,
    revision: u64,
    workers: BTreeMap<String, Worker>,
    /// The worker in each place.
    places: Vec<Registration>,
    registrations: Vec<Registration>,
    /// Entries that aren't listed yet, their places, and when they are.
    late_entries: Vec<(u64, usize, Registration)>,
    instance_count: u16,
    crash_count: usize,
    maintained: HashSet<String>,
    delayed_orders: Vec<(u64, Order)>,
    roster: Vec<Location>,
    records: BTreeMap<JobId, (Record, u64)>,
    progress: HashMap<JobId, Progress>,
    cancelled: HashSet<JobId>,
    /// When the runs of each task started.
    starts: HashMap<Name, Vec<u64>>,
    /// When tasks first ended as done, if that exit was acknowledged.
    acknowledged: HashMap<Name, u64>,
    /// The tasks whose last run was stopped.
    stopped: HashSet<Name>,
    violations: Vec<Violation>,
}

fn links(reached: &[bool; WORKERS]) -> [Link; WORKERS] {
    reached.map(|is_reached| if is_reached { Link::Up } else { Link::Down })
}

impl Owner {
    fn new(fence: u64, now: u64, links: [Link; WORKERS]) -> Self {
        let longest = lease::longest(Duration::from_millis(MAX_LEASE_MS));
        let inherited_until = at(now + STALE_HOLDER_MS) + longest;
        let mut pool = Pool::new(Config::new(fence, inherited_until).lease(WORKER_LEASE));
        let queue = Queue { attempts: 1_000, ..Queue::default() };
        pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
        let connections = Connections::default();
        Self { pool, connections, links, confirmed_until: now + LEASE_TTL_MS, is_cut_off: false }
    }
}

impl Partition {
    pub fn new() -> Self {
        let places: Vec<Registration> =
            (0..WORKERS as u16).map(|i| listed(&format!("w{i}"), 9_000 + i, 0, 1)).collect();
        Self {
            now: 1_000,
            owners: vec![Owner::new(FENCE, 1_000, [Link::Up; WORKERS])],
            revision: FENCE,
            workers: places.iter().map(|place| (place.id.clone(), Worker::default())).collect(),
            registrations: places.clone(),
            places,
            late_entries: Vec::new(),
            instance_count: WORKERS as u16,
            crash_count: 0,
            maintained: HashSet::new(),
            delayed_orders: Vec::new(),
            roster: Vec::new(),
            records: BTreeMap::new(),
            progress: HashMap::new(),
            cancelled: HashSet::new(),
            starts: HashMap::new(),
            acknowledged: HashMap::new(),
            stopped: HashSet::new(),
            violations: Vec::new(),
        }
    }

    fn index(&self, side: Side) -> usize {
        let newest = self.owners.len() - 1;
        if side == Side::Former { newest.saturating_sub(1) } else { newest }
    }

    fn newest(&mut self) -> &mut Owner {
        self.owners.last_mut().expect("an owner")
    }

    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit(steps) => {
                let steps = steps.iter().enumerate().map(|(index, (count, duration))| {
                    let step = Step { estimate_ms: *duration, ..step(*count, 1_000) };
                    if index > 0 { step.after(index as u32 - 1) } else { step }
                });
                self.submit(steps.collect());
            }
            Event::SubmitLasting(count) => {
                let max_unavailable = Some(1);
                let step = Step { long_running: true, max_unavailable, ..step(*count, 300) };
                self.submit(vec![step]);
            }
            Event::Cancel(side, number) => self.cancel(*side, *number),
            Event::Link(side, place, link) => {
                let index = self.index(*side);
                self.owners[index].links[*place] = *link;
            }
            Event::End(place, end) => self.end_worker(*place, *end),
            Event::FailRun(place) => {
                let worker = self.workers.get_mut(&self.places[*place].id).expect("a worker");
                if let Some(name) = worker.running.keys().next().copied() {
                    worker.finish_run(name, Outcome::Failed);
                }
            }
            Event::ListVms(side) => self.list_vms(*side),
            Event::Vacate(side, place) => self.vacate(*side, *place),
            Event::ListWorkers => {
                let (now, registrations) = (at(self.now), &self.registrations);
                let cut_off = self.owners.iter_mut().filter(|owner| owner.is_cut_off);
                cut_off.for_each(|owner| owner.pool.set_workers(now, registrations));
            }
            Event::CutOff(reached) => {
                let owner = self.newest();
                (owner.is_cut_off, owner.links) = (true, links(reached));
            }
            Event::TakeOver(reached) => self.take_over(reached),
            Event::Heal => self.heal(),
            Event::Pass => {}
        }
    }

    fn submit(&mut self, steps: Vec<Step>) {
        let job = Job::new("run".to_owned(), steps).expect("a job");
        let (queue, accepted_ms) = ("q".to_owned(), 0);
        let record = Record { queue, accepted_ms, attempts: None, job, organisation: None };
        self.revision += 1;
        let id = JobId(self.records.len() as u64 + 1);
        self.records.insert(id, (record, self.revision));
    }

    /// Cancels a job. An owner that is cut off can't write that.
    fn cancel(&mut self, side: Side, number: usize) {
        let (now, index) = (at(self.now), self.index(side));
        let Some(id) = self.records.keys().nth(number).copied() else { return };
        let owner = &mut self.owners[index];
        let is_active = owner.pool.state(id).is_some_and(|state| !state.is_final());
        if is_active && owner.pool.cancel(now, id) {
            self.cancelled.insert(id);
        }
    }

    fn end_worker(&mut self, place: usize, end: End) {
        self.crash_count += 1;
        self.start_worker(place, end);
    }

    /// Ends the worker in a place and starts another one.
    fn start_worker(&mut self, place: usize, end: End) {
        let old = self.places[place].clone();
        self.instance_count += 1;
        self.revision += 1;
        let port =
            if end == End::Replaced { 9_000 + self.instance_count } else { old.address.port() };
        let new = format!("w{}", self.instance_count);
        let id = if end == End::Restarted { old.id.clone() } else { new };
        self.delayed_orders.retain(|(_, order)| order.id != old.id);
        self.workers.remove(&old.id);
        self.workers.insert(id.clone(), Worker { born: self.now, ..Worker::default() });
        self.places[place] = listed(&id, port, self.now, self.revision);
        self.late_entries.push((self.now + ENTRY_DELAY_MS, place, self.places[place].clone()));
    }

    fn list_late_entries(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late_entries).into_iter().partition(|(at, ..)| *at <= now);
        self.late_entries = remaining;
        for (_, place, entry) in due {
            self.registrations[place] = entry;
        }
    }

    fn list_vms(&mut self, side: Side) {
        let (now, index) = (at(self.now), self.index(side));
        let pool = &mut self.owners[index].pool;
        for id in &self.maintained {
            pool.remove_gone_worker(now, id);
        }
        let silent: Vec<String> = pool.silent_workers().map(str::to_owned).collect();
        for id in silent.iter().filter(|id| !self.workers.contains_key(*id)) {
            pool.remove_ended_worker(now, id);
        }
    }

    fn vacate(&mut self, side: Side, place: usize) {
        let (now, index, id) = (at(self.now), self.index(side), self.places[place].id.clone());
        let pool = &mut self.owners[index].pool;
        if pool.vacate(now, &id, Duration::from_millis(2_900)) != Some(true) {
            return;
        }
        let runs: Vec<Name> = self.workers[&id].running.keys().copied().collect();
        if !runs.is_empty() {
            self.violate(Invariant::Maintained, format!("{id} is maintained under {runs:?}"));
        }
        self.maintained.insert(id);
        self.start_worker(place, End::Replaced);
    }

    fn take_over(&mut self, reached: &[bool; WORKERS]) {
        let now = self.now;
        let newest = self.newest();
        if !newest.is_cut_off || now < newest.confirmed_until {
            return;
        }
        self.revision += 1;
        let mut owner = Owner::new(self.revision, now, links(reached));
        owner.pool.set_roster(self.roster.clone(), self.revision);
        self.owners.push(owner);
    }

    fn heal(&mut self) {
        let now = at(self.now);
        self.newest().is_cut_off = false;
        if self.owners.len() > 1 {
            let former = self.owners.remove(self.owners.len() - 2);
            if let Some(grants) = former.pool.granted_leases(now) {
                self.newest().pool.set_inherited_leases(now, &grants);
            }
        }
    }

    pub fn step(&mut self) {
        self.now += 100;
        let now = self.now;
        self.workers.values_mut().for_each(|worker| worker.advance(now));
        self.list_late_entries();
        self.deliver_delayed();
        let newest = self.owners.last().expect("an owner").pool.fence();
        self.owners.retain(|owner| {
            let has_stopped = now >= owner.confirmed_until + GRACE_MS || owner.pool.is_deposed();
            owner.pool.fence() == newest || !has_stopped
        });
        for index in 0..self.owners.len() {
            let owner = &mut self.owners[index];
            if !owner.is_cut_off {
                owner.confirmed_until = now + LEASE_TTL_MS;
            }
            owner.pool.confirm_until(at(owner.confirmed_until));
            if now < owner.confirmed_until + GRACE_MS {
                self.run_owner(index);
            }
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.delayed_orders).into_iter().partition(|(at, _)| *at <= now);
        self.delayed_orders = remaining;
        for (_, order) in due {
            self.handle_order(&order);
        }
    }

    fn run_owner(&mut self, index: usize) {
        let now = at(self.now);
        let owner = &mut self.owners[index];
        if !owner.is_cut_off {
            owner.pool.set_workers(now, &self.registrations);
            for (id, (record, revision)) in &self.records {
                let progress = self.progress.get(id);
                owner.pool.accept(now, Duration::ZERO, *id, record, progress, *revision);
            }
        }
        let keys: Vec<Key> = owner.pool.workers().collect();
        for key in keys {
            self.poll(index, key);
        }
        for order in self.owners[index].pool.plan(now, 0) {
            self.send_order(index, &order);
        }
        if !self.owners[index].is_cut_off {
            self.write(index);
        }
    }

    /// Returns the place that an address leads to.
    fn place(&self, address: SocketAddr) -> Option<usize> {
        self.places.iter().position(|place| place.address == address)
    }

    fn poll(&mut self, index: usize, key: Key) {
        let now = at(self.now);
        let connection = self.owners[index].connections.of(key);
        let Some(poll) = self.owners[index].pool.next_poll(now, key, connection) else { return };
        let place = self.place(poll.address);
        let link = place.map_or(Link::Down, |place| self.owners[index].links[place]);
        let is_other = place.is_some_and(|place| self.places[place].id != poll.id);
        let answer = if is_other && link != Link::Down && link != Link::OneWay {
            Answer::Gone
        } else {
            let is_reached = link != Link::Down && place.is_some() && !is_other;
            let worker = self.workers.get_mut(&poll.id).filter(|_| is_reached);
            let is_lost = link == Link::OneWay;
            self.owners[index].connections.poll(self.now, &poll, worker, is_lost)
        };
        self.record_acknowledged(&poll.id);
        self.owners[index].pool.handle_poll_answer(now, now, key, &answer);
    }

    fn send_order(&mut self, index: usize, order: &Order) {
        let place = self.place(order.address);
        let link = place.map_or(Link::Down, |place| self.owners[index].links[place]);
        let is_other = place.is_some_and(|place| self.places[place].id != order.id);
        let answer = match link {
            Link::Up if is_other => Answer::Gone,
            Link::Up => self.handle_order(order),
            Link::OneWay if !is_other => {
                self.handle_order(order);
                Answer::Lost
            }
            Link::Slow => {
                self.delayed_orders.push((self.now + ORDER_DELAY_MS, order.clone()));
                Answer::Lost
            }
            _ => Answer::Lost,
        };
        self.owners[index].pool.handle_order_answer(at(self.now), order, &answer);
    }

    fn handle_order(&mut self, order: &Order) -> Answer<u64> {
        let step = &self.records[&order.task.job].0.job.steps[order.task.step as usize];
        let duration = if step.long_running { ENDLESS_MS } else { step.estimate_ms };
        let (room, max_unavailable) = (step.room(), step.max_unavailable);
        let Some(worker) = self.workers.get_mut(&order.id) else { return Answer::Lost };
        let before = worker.running.len();
        let answer = worker.handle_order(self.now, order, room, duration);
        let after = worker.running.len();
        if let Some(run) = worker.running.get_mut(&order.task).filter(|_| max_unavailable.is_some())
        {
            run.percent = Some(100);
        }
        if after > before {
            self.record_start(order);
        }
        if after < before && order.action == Action::Stop {
            self.record_stop(order.task, max_unavailable);
        }
        answer
    }

    fn record_start(&mut self, order: &Order) {
        let name = order.task;
        self.stopped.remove(&name);
        let runs = self.workers.iter().filter(|(_, w)| w.running.contains_key(&name));
        let others: Vec<String> =
            runs.map(|(id, _)| id.clone()).filter(|id| *id != order.id).collect();
        if !others.is_empty() {
            let what = format!("{}: {name:?} on {}, and on {others:?}", self.now, order.id);
            self.violate(Invariant::SingleRun, what);
        }
        if let Some(ended) = self.acknowledged.get(&name).copied() {
            let what = format!("{name:?} starts at {}, done at {ended}", self.now);
            self.violate(Invariant::NoRepeat, what);
        }
        self.starts.entry(name).or_default().push(self.now);
    }

    fn record_stop(&mut self, name: Name, max_unavailable: Option<u32>) {
        let is_elsewhere = self.workers.values().any(|w| w.running.contains_key(&name));
        let Some(most) = max_unavailable.filter(|_| !is_elsewhere) else { return };
        if self.cancelled.contains(&name.job) {
            return;
        }
        self.stopped.insert(name);
        let missing = self
            .stopped
            .iter()
            .filter(|other| (other.job, other.step) == (name.job, name.step))
            .count();
        if missing > most as usize {
            let what = format!("{}: {missing} tasks are stopped, {name:?} last", self.now);
            self.violate(Invariant::Available, what);
        }
    }

    fn record_acknowledged(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (name, ended) in std::mem::take(&mut worker.acknowledged) {
            if self.records[&name.job].0.job.steps[name.step as usize].long_running {
                continue;
            }
            let starts = self.starts.get(&name).cloned().unwrap_or_default();
            if starts.iter().any(|started| *started > ended) {
                let what = format!("{name:?} started again after {ended}: {starts:?}");
                self.violate(Invariant::NoRepeat, what);
            }
            self.acknowledged.entry(name).or_insert(ended);
        }
    }

    fn write(&mut self, index: usize) {
        let now = at(self.now);
        self.revision += 1;
        let pool = &mut self.owners[index].pool;
        pool.raise_fence(self.revision);
        if let Some(locations) = pool.roster_update() {
            self.roster.clone_from(&locations);
            pool.confirm_roster(locations);
        }
        let batch = pool.next_batch(now, 5_000, 28);
        for update in &batch.updates {
            self.progress.insert(update.id, update.progress.clone());
        }
        pool.confirm_batch(&batch);
    }

    fn violate(&mut self, invariant: Invariant, what: String) {
        self.violations.push(Violation { invariant, what });
    }

    /// Connects all, stops the former owners and runs until all is quiet.
    pub fn finish(&mut self) {
        let newest = self.owners.pop().expect("an owner");
        self.owners = vec![Owner { links: [Link::Up; WORKERS], is_cut_off: false, ..newest }];
        for _ in 0..MAX_FINISH_STEPS {
            self.step();
            if self.is_quiet() {
                break;
            }
        }
        self.check_lasting();
        let lasting: Vec<JobId> = self.lasting_jobs();
        let now = at(self.now);
        for id in lasting {
            self.newest().pool.cancel(now, id);
            self.cancelled.insert(id);
        }
        for _ in 0..30 {
            self.step();
        }
        self.check_completion();
    }

    /// Returns whether all jobs have ended but those that last, and all tasks of these run.
    fn is_quiet(&self) -> bool {
        let lasting = self.lasting_jobs();
        let runs = self.workers.values().map(|worker| worker.running.len()).sum::<usize>();
        let needed = lasting.iter().map(|id| self.records[id].0.job.steps[0].count as usize);
        let pool = &self.owners[0].pool;
        let has_ended = |id: &JobId| pool.state(*id).is_some_and(State::is_final);
        runs == needed.sum::<usize>()
            && self.records.keys().all(|id| lasting.contains(id) || has_ended(id))
    }

    /// Returns the jobs that run until they are cancelled, as far as the newest owner knows.
    fn lasting_jobs(&self) -> Vec<JobId> {
        let pool = &self.owners[0].pool;
        let is_lasting = |record: &Record| record.job.steps[0].long_running;
        let jobs = self.records.iter().filter(|(_, (record, _))| is_lasting(record));
        jobs.map(|(id, _)| *id).filter(|id| !pool.state(*id).is_some_and(State::is_final)).collect()
    }

    fn check_lasting(&mut self) {
        for job in self.lasting_jobs() {
            for index in 0..self.records[&job].0.job.steps[0].count {
                let name = Name { job, occurrence: 0, step: 0, index };
                let runs = self.workers.values().filter(|w| w.running.contains_key(&name));
                if runs.count() != 1 {
                    self.violate(Invariant::Completion, format!("{name:?} doesn't run once"));
                }
            }
        }
    }

    fn check_completion(&mut self) {
        let ids: Vec<JobId> = self.records.keys().copied().collect();
        for id in ids {
            let state = self.owners[0].pool.state(id);
            let is_expected = match state {
                Some(State::Completed) => true,
                Some(State::Cancelled) => self.cancelled.contains(&id),
                Some(State::Failed) => self.crash_count >= MIN_FATAL_CRASHES,
                _ => false,
            };
            if !is_expected {
                self.violate(Invariant::Completion, format!("{id} ends as {state:?}"));
            }
        }
        if self.workers.values().any(|worker| !worker.running.is_empty()) {
            self.violate(Invariant::Completion, "a run is left".to_owned());
        }
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}

/// Returns the entry of a worker that started at `born`.
fn listed(id: &str, port: u16, born: u64, revision: u64) -> Registration {
    Registration { born_ms: Some(born), revision, ..registration(id, port, "r") }
}
