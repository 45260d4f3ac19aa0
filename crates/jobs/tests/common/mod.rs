//! A simulated pool: workers in memory that follow the protocol, and an owner.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod faults;
pub mod partition;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_jobs::contention;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{
    Action, Answer, Batch, Config, Connection, Order, Poll, Pool, Report,
};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::task::{self, Exit, Outcome, Run};
use corianderfork_jobs::worker::{Key, Registration};
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;

/// The fence of the first owner.
pub const FENCE: u64 = 7;
/// The longest lease that a worker grants, in milliseconds.
pub const MAX_LEASE_MS: u64 = 10_000;

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The most exits that a worker lists at a time.
pub const MAX_LISTED_EXITS: usize = 500;

/// A current run on a worker.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    pub run: u64,
    pub room: Room,
    pub ends_at: u64,
    pub began_at: u64,
    /// The progress that it resumed from, in milliseconds.
    pub resumed_ms: u64,
    /// Progress to report instead of the elapsed share of its duration.
    pub percent: Option<u32>,
    pub gauge: u64,
}

impl ActiveRun {
    /// Returns the progress that it saved as it ran, in milliseconds.
    fn saved_ms(&self, now: u64) -> u64 {
        self.resumed_ms + (now - self.began_at) / 1_000 * 1_000
    }
}

/// A simulated worker that follows the protocol.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// When it started. Its clock was zero then.
    pub born: u64,
    /// The time to which it was last advanced.
    now: u64,
    pub fence: u64,
    /// The end of its lease on its clock.
    pub deadline: u64,
    pub running: BTreeMap<task::Name, ActiveRun>,
    pub exits: Vec<Exit>,
    pub exit_count: u64,
    /// The number up to which it forgets exits, also later ones.
    pub seen_upto: u64,
    /// When the listed exits occurred, by number.
    pub exit_times: HashMap<u64, u64>,
    /// The number of the last exit before its lease last expired.
    pub lapsed_upto: u64,
    /// Done tasks whose exits were acknowledged under a valid lease, and when they ended, since the
    /// last look.
    pub acknowledged: Vec<(task::Name, u64)>,
    pub highest: HashMap<task::Name, u64>,
    pub silent: bool,
    pub fails: bool,
    /// Whether its runs report no progress.
    pub stalled: bool,
    /// Whether its runs save their progress, each second and when they are stopped.
    pub saves: bool,
    /// Whether its reports don't say when it started.
    pub hides_birth: bool,
    /// The number of next stops that get lost.
    pub lost_stops: u32,
    /// The tasks whose stopped runs it may forget, with the run and the progress that it saved, since
    /// the last look.
    pub forgotten_stops: Vec<(task::Name, u64, u64)>,
}

/// Returns the progress that a text of saved progress stands for, in milliseconds.
pub fn saved_ms(saved: &str) -> u64 {
    saved.parse().unwrap_or(0)
}

fn saved_text(saved_ms: u64) -> String {
    if saved_ms == 0 { String::new() } else { saved_ms.to_string() }
}

impl Worker {
    /// Starts again under its ID: nothing is left of before.
    pub fn restart(&mut self, now: u64) {
        let (saves, hides_birth) = (self.saves, self.hides_birth);
        *self = Self { born: now, saves, hides_birth, ..Self::default() };
    }

    fn clock(&self, now: u64) -> u64 {
        now - self.born
    }

    fn extend_lease(&mut self, now: u64, deadline: u64) {
        let deadline = deadline.min(self.clock(now) + MAX_LEASE_MS);
        self.deadline = self.deadline.max(deadline);
    }

    fn forget_seen(&mut self) {
        let (forgotten, left): (Vec<Exit>, Vec<Exit>) =
            self.exits.drain(..).partition(|exit| exit.number <= self.seen_upto);
        self.exits = left;
        for exit in forgotten {
            let at = self.exit_times.remove(&exit.number).unwrap_or_default();
            if exit.outcome == Outcome::Stopped {
                self.forgotten_stops.push((exit.task, exit.run, saved_ms(&exit.saved)));
            }
            if exit.outcome == Outcome::Done && exit.number > self.lapsed_upto {
                self.acknowledged.push((exit.task, at));
            }
        }
    }

    pub fn finish_run(&mut self, name: task::Name, outcome: Outcome) {
        if let Some(run) = self.running.remove(&name) {
            let saved = match outcome {
                Outcome::Stopped => run.resumed_ms + self.now - run.began_at,
                _ => run.saved_ms(self.now),
            };
            self.exit_count += 1;
            self.highest.insert(name, run.run);
            self.exits.push(Exit {
                number: self.exit_count,
                task: name,
                run: run.run,
                outcome,
                saved: saved_text(if self.saves { saved } else { 0 }),
            });
            self.exit_times.insert(self.exit_count, self.now);
            self.forget_seen();
        }
    }

    /// Advances the worker's clock to `now`.
    pub fn advance(&mut self, now: u64) {
        self.now = now;
        let names: Vec<task::Name> = self.running.keys().copied().collect();
        for name in names {
            if self.clock(now) >= self.deadline {
                self.finish_run(name, Outcome::Lapsed);
            } else if self.running[&name].ends_at <= now {
                let outcome = if self.fails { Outcome::Failed } else { Outcome::Done };
                self.finish_run(name, outcome);
            }
        }
        if self.clock(now) >= self.deadline {
            self.lapsed_upto = self.exit_count;
        }
    }

    fn percent(&self, now: u64, run: &ActiveRun) -> u32 {
        let duration = (run.resumed_ms + run.ends_at - run.began_at).max(1);
        let progress = run.resumed_ms + now - run.began_at;
        let percent = if self.stalled { 0 } else { progress * 100 / duration };
        run.percent.unwrap_or(percent as u32)
    }

    pub fn handle_order(
        &mut self,
        now: u64,
        order: &Order,
        room: Room,
        duration: u64,
    ) -> Answer<u64> {
        self.advance(now);
        if order.fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = order.fence;
        match &order.action {
            Action::Start { deadline_ms, saved, .. } => {
                if self.running.get(&order.task).is_some_and(|run| run.run == order.run) {
                    return Answer::Done(self.clock(now));
                }
                if self.highest.get(&order.task).is_some_and(|highest| order.run <= *highest) {
                    return Answer::Old;
                }
                if *deadline_ms <= self.clock(now) {
                    return Answer::Late;
                }
                self.extend_lease(now, *deadline_ms);
                let resumed_ms = saved_ms(saved).min(duration);
                let run = ActiveRun {
                    run: order.run,
                    room,
                    ends_at: now + duration - resumed_ms,
                    began_at: now,
                    resumed_ms,
                    percent: None,
                    gauge: 0,
                };
                self.running.insert(order.task, run);
            }
            Action::Stop => {
                let highest = self.highest.entry(order.task).or_default();
                *highest = (*highest).max(order.run);
                if self.running.get(&order.task).is_some_and(|run| run.run == order.run) {
                    self.finish_run(order.task, Outcome::Stopped);
                }
            }
            Action::Pace(_) => {}
        }
        Answer::Done(self.clock(now))
    }

    pub fn handle_poll(
        &mut self,
        now: u64,
        fence: u64,
        acked: u64,
        deadline: Option<u64>,
    ) -> Answer<Report> {
        self.advance(now);
        if fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = fence;
        self.seen_upto = self.seen_upto.max(acked);
        self.forget_seen();
        self.extend_lease(now, deadline.unwrap_or(0));
        let running = self.running.iter().map(|(name, run)| Run {
            task: *name,
            run: run.run,
            saved: saved_text(if self.saves { run.saved_ms(now) } else { 0 }),
            percent: self.percent(now, run),
            gauge: run.gauge,
        });
        let running = running.collect();
        Answer::Done(Report {
            clock_ms: self.clock(now),
            born_ms: (!self.hides_birth).then_some(self.born),
            running,
            exits: self.exits.iter().take(MAX_LISTED_EXITS).cloned().collect(),
            is_cut_short: self.exits.len() > MAX_LISTED_EXITS,
        })
    }
}

/// A pool with simulated workers and one owner.
pub struct Simulation {
    pub now: u64,
    pub pool: Pool,
    pub workers: BTreeMap<String, Worker>,
    pub registrations: Vec<Registration>,
    /// The duration of a task in milliseconds.
    pub task_ms: u64,
    /// The duration of the tasks of some jobs, if it is another one.
    pub durations: HashMap<JobId, u64>,
    pub orders: Vec<Order>,
    pub steps: HashMap<JobId, Vec<Step>>,
    /// The maximum CPU in use on any worker at once, in thousandths of a core.
    pub max_cpu_used: u64,
    /// The last written progress of jobs.
    pub progress: HashMap<JobId, Progress>,
    pub connections: Connections,
    /// The store's revision.
    pub revision: u64,
}

/// The connections over which an owner polls workers.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    /// When the worker instance at the other end started.
    peers: HashMap<Key, u64>,
}

impl Connections {
    /// Returns the connection for the next poll of a worker.
    pub fn of(&self, key: Key) -> Connection {
        if self.peers.contains_key(&key) { Connection::Kept } else { Connection::New }
    }

    /// Polls a worker over its connection, which has broken if its instance has ended. Any
    /// connection is closed if the answer gets lost.
    pub fn poll(
        &mut self,
        now: u64,
        poll: &Poll,
        worker: Option<&mut Worker>,
        is_answer_lost: bool,
    ) -> Answer<Report> {
        let peer = self.peers.remove(&poll.worker);
        let Some(worker) = worker.filter(|worker| peer.is_none_or(|born| born == worker.born))
        else {
            return Answer::Lost;
        };
        let answer = worker.handle_poll(now, poll.fence, poll.acked, poll.deadline_ms);
        if is_answer_lost {
            return Answer::Lost;
        }
        self.peers.insert(poll.worker, worker.born);
        answer
    }
}

pub fn registration(id: &str, port: u16, rack: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        rack: rack.to_owned(),
        room: Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 },
        draining: false,
        revision: 1,
        born_ms: None,
    }
}

pub fn owner(fence: u64, now: u64) -> Pool {
    let mut pool = Pool::new(Config::new(fence, at(now + 10_000)).remote_factor(3.0));
    pool.set_queues(queues());
    pool
}

/// Returns an owner that decides under contention as `settings` say.
pub fn contended_owner(fence: u64, now: u64, settings: contention::Settings) -> Pool {
    let config = Config::new(fence, at(now + 10_000))
        .contention(settings)
        .stop_time(Duration::from_millis(300))
        .resume_time(Duration::from_millis(250));
    let mut pool = Pool::new(config);
    let low = Queue { priority: 1, attempts: 2, ..Queue::default() };
    pool.set_queues(queues().into_iter().chain([("low".to_owned(), low)]).collect());
    pool
}

pub fn queues() -> HashMap<String, Queue> {
    let queue = Queue { priority: 0, attempts: 2, ..Queue::default() };
    HashMap::from([("q".to_owned(), queue)])
}

impl Simulation {
    /// Creates `count` workers, in racks of two, and an owner that has polled them.
    pub fn new(count: u16) -> Self {
        let registrations: Vec<Registration> = (0..count)
            .map(|i| registration(&format!("w{i}"), 9_000 + i, &format!("r{}", i / 2)))
            .collect();
        let workers = registrations
            .iter()
            .map(|registration| (registration.id.clone(), Worker::default()))
            .collect();
        let mut sim = Self {
            now: 1_000,
            pool: owner(FENCE, 1_000),
            workers,
            registrations,
            task_ms: 500,
            durations: HashMap::new(),
            orders: Vec::new(),
            steps: HashMap::new(),
            max_cpu_used: 0,
            progress: HashMap::new(),
            connections: Connections::default(),
            revision: FENCE,
        };
        sim.list_and_poll();
        sim
    }

    /// Creates `count` workers whose tasks save their progress, and an owner with these settings.
    pub fn contended(count: u16, settings: contention::Settings) -> Self {
        let mut sim = Self::new(count);
        sim.workers.values_mut().for_each(|worker| worker.saves = true);
        sim.pool = contended_owner(FENCE, sim.now, settings);
        sim.connections = Connections::default();
        sim.list_and_poll();
        sim.poll_all();
        sim
    }

    /// Lists the workers, writes the roster and polls all workers.
    pub fn list_and_poll(&mut self) {
        self.list_workers();
        self.poll_all();
    }

    /// Lists the workers, each after one more heartbeat, and writes the roster.
    pub fn list_workers(&mut self) {
        self.registrations.iter_mut().for_each(|registration| registration.revision += 1);
        self.pool.set_workers(at(self.now), &self.registrations);
        if let Some(locations) = self.pool.roster_update() {
            self.revision = self.revision.max(self.pool.fence()) + 1;
            self.pool.raise_fence(self.revision);
            self.pool.confirm_roster(locations);
        }
    }

    pub fn submit(&mut self, id: u64, steps: Vec<Step>) -> JobId {
        self.submit_to("q", id, steps, Duration::ZERO)
    }

    /// Submits a job to a queue, some time ago.
    pub fn submit_to(&mut self, queue: &str, id: u64, steps: Vec<Step>, age: Duration) -> JobId {
        let id = JobId(id);
        self.steps.insert(id, steps.clone());
        let job = Job::new("run".to_owned(), steps).expect("a job");
        let record = Record {
            queue: queue.to_owned(),
            accepted_ms: 0,
            attempts: None,
            job,
            organisation: None,
        };
        let revision = FENCE + 1_000;
        self.pool.accept(at(self.now), age, id, &record, None, revision);
        id
    }

    pub fn key(&self, id: &str) -> Key {
        self.pool.worker(id).expect("a worker").0
    }

    /// Polls each worker once.
    pub fn poll_all(&mut self) {
        let keys: Vec<Key> = self.pool.workers().collect();
        keys.into_iter().for_each(|key| self.poll(key));
    }

    /// Polls one worker.
    pub fn poll(&mut self, key: Key) {
        {
            let now = at(self.now);
            let connection = self.connections.of(key);
            let Some(poll) = self.pool.next_poll(now, key, connection) else { return };
            let worker = self.workers.get_mut(&poll.id).expect("a worker");
            let reachable = (!worker.silent).then_some(worker);
            let answer = self.connections.poll(self.now, &poll, reachable, false);
            self.pool.handle_poll_answer(at(self.now), now, key, &answer);
        }
    }

    /// Plans and sends the orders.
    pub fn plan(&mut self) -> Vec<Order> {
        let orders = self.pool.plan(at(self.now), 0);
        for order in &orders {
            self.send(order);
        }
        self.orders.extend(orders.iter().cloned());
        orders
    }

    pub fn send(&mut self, order: &Order) {
        let room = self.steps[&order.task.job][order.task.step as usize].room();
        let worker = self.workers.get_mut(&order.id).expect("a worker");
        let duration = self.durations.get(&order.task.job).copied().unwrap_or(self.task_ms);
        let is_lost_stop = order.action == Action::Stop && worker.lost_stops > 0;
        worker.lost_stops -= u32::from(is_lost_stop);
        let answer = if worker.silent || is_lost_stop {
            Answer::Lost
        } else {
            worker.handle_order(self.now, order, room, duration)
        };
        let used: u64 = worker.running.values().map(|run| run.room.cpu).sum();
        self.max_cpu_used = self.max_cpu_used.max(used);
        self.pool.handle_order_answer(at(self.now), order, &answer);
    }

    /// Restarts the worker of an order under its ID, before the owner hears of it.
    pub fn restart_worker_of(&mut self, order: &Order) {
        let now = self.now;
        self.workers.get_mut(&order.id).expect("a worker").restart(now);
    }

    /// Lets the worker carry an order out, whatever the owner hears of it. Returns its answer.
    pub fn carry_out(&mut self, order: &Order) -> Answer<u64> {
        let (now, task_ms) = (self.now, self.task_ms);
        let room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };
        let worker = self.workers.get_mut(&order.id).expect("a worker");
        worker.handle_order(now, order, room, task_ms)
    }

    pub fn write(&mut self) -> Batch {
        let batch = self.pool.next_batch(at(self.now), 5_000, 28);
        self.pool.confirm_batch(&batch);
        let updates = batch.updates.iter().map(|update| (update.id, update.progress.clone()));
        self.progress.extend(updates);
        batch
    }

    /// Advances by `millis` in steps, with polls, plans and writes.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
            }
            self.poll_all();
            self.plan();
            self.write();
        }
    }

    /// Returns the IDs of the workers on which a task runs now.
    pub fn workers_running(&self, name: task::Name) -> Vec<&str> {
        let runs = self.workers.iter().filter(|(_, worker)| worker.running.contains_key(&name));
        runs.map(|(id, _)| id.as_str()).collect()
    }

    pub fn running_count(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }
}

pub fn first_task(job: JobId) -> task::Name {
    task::Name { job, occurrence: 0, step: 0, index: 0 }
}

pub fn step(count: u32, cpu: u64) -> Step {
    Step { needs: Room { cpu, memory_mb: 100, gpu: 0 }, estimate_ms: 500, ..Step::new(count) }
}
