//! Workers that keep the protocol, in memory, and an owner that drives them.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Batch, Config, Order, Pool, Report};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::task::{self, Exit, Outcome, Run};
use corianderfork_jobs::worker::{Key, Registration};
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;

/// The fence of the first owner.
pub const FENCE: u64 = 7;

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    pub run: u64,
    pub room: Room,
    pub ends: u64,
    pub began: u64,
    /// What is told instead of the share of its time that has passed.
    pub percent: Option<u32>,
    pub gauge: u64,
}

/// A worker that keeps the protocol.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub fence: u64,
    pub deadline: u64,
    pub running: BTreeMap<task::Name, ActiveRun>,
    pub ended: Vec<Exit>,
    pub count: u64,
    pub highest: HashMap<task::Name, u64>,
    pub silent: bool,
    pub fails: bool,
    /// Whether all that runs there stands still.
    pub stuck: bool,
}

impl Worker {
    pub fn end(&mut self, name: task::Name, outcome: Outcome) {
        if let Some(run) = self.running.remove(&name) {
            self.count += 1;
            self.highest.insert(name, run.run);
            self.ended.push(Exit {
                number: self.count,
                task: name,
                run: run.run,
                outcome,
                saved: String::new(),
            });
        }
    }

    /// Lets time pass on the worker's clock.
    pub fn pass(&mut self, now: u64) {
        let names: Vec<task::Name> = self.running.keys().copied().collect();
        for name in names {
            if now >= self.deadline {
                self.end(name, Outcome::Lapsed);
            } else if self.running[&name].ends <= now {
                let outcome = if self.fails { Outcome::Failed } else { Outcome::Done };
                self.end(name, outcome);
            }
        }
    }

    fn percent(&self, now: u64, run: &ActiveRun) -> u32 {
        let takes = (run.ends - run.began).max(1);
        let share = if self.stuck { 0 } else { (now - run.began) * 100 / takes };
        run.percent.unwrap_or(share as u32)
    }

    pub fn obey(&mut self, now: u64, order: &Order, room: Room, takes: u64) -> Answer<u64> {
        self.pass(now);
        if order.fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = order.fence;
        match &order.action {
            Action::Start { deadline_ms, .. } => {
                if self.running.get(&order.task).is_some_and(|run| run.run == order.run) {
                    return Answer::Done(now);
                }
                if self.highest.get(&order.task).is_some_and(|highest| order.run <= *highest) {
                    return Answer::Old;
                }
                if *deadline_ms <= now {
                    return Answer::Late;
                }
                self.deadline = self.deadline.max(*deadline_ms);
                let run = ActiveRun {
                    run: order.run,
                    room,
                    ends: now + takes,
                    began: now,
                    percent: None,
                    gauge: 0,
                };
                self.running.insert(order.task, run);
            }
            Action::Stop => {
                let highest = self.highest.entry(order.task).or_default();
                *highest = (*highest).max(order.run);
                if self.running.get(&order.task).is_some_and(|run| run.run == order.run) {
                    self.end(order.task, Outcome::Stopped);
                }
            }
            Action::Pace(_) => {}
        }
        Answer::Done(now)
    }

    pub fn report(
        &mut self,
        now: u64,
        fence: u64,
        seen: u64,
        deadline: Option<u64>,
    ) -> Answer<Report> {
        self.pass(now);
        if fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = fence;
        self.ended.retain(|ended| ended.number > seen);
        self.deadline = self.deadline.max(deadline.unwrap_or(0));
        let running = self.running.iter().map(|(name, run)| Run {
            task: *name,
            run: run.run,
            saved: String::new(),
            percent: self.percent(now, run),
            gauge: run.gauge,
        });
        let running = running.collect();
        Answer::Done(Report { clock_ms: now, running, exits: self.ended.clone() })
    }
}

/// A pool's workers and one owner.
pub struct World {
    pub now: u64,
    pub pool: Pool,
    pub workers: BTreeMap<String, Worker>,
    pub entries: Vec<Registration>,
    /// How long a task takes.
    pub takes: u64,
    pub orders: Vec<Order>,
    pub steps: HashMap<JobId, Vec<Step>>,
    /// Most processors in use on a worker at once.
    pub most_cpu: u64,
    /// How far jobs are, as last written.
    pub progress: HashMap<JobId, Progress>,
}

pub fn entry(id: &str, port: u16, rack: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        rack: rack.to_owned(),
        room: Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 },
        draining: false,
        revision: 1,
    }
}

pub fn owner(fence: u64, now: u64) -> Pool {
    let mut pool = Pool::new(Config::new(fence, at(now + 10_000)).remote_factor(3.0));
    pool.set_queues(queues());
    pool
}

pub fn queues() -> HashMap<String, Queue> {
    let queue = Queue { priority: 0, attempts: 2, ..Queue::default() };
    HashMap::from([("q".to_owned(), queue)])
}

impl World {
    /// `count` workers, in racks of two, and an owner that has looked at them.
    pub fn new(count: u16) -> Self {
        let entries: Vec<Registration> = (0..count)
            .map(|i| entry(&format!("w{i}"), 9_000 + i, &format!("r{}", i / 2)))
            .collect();
        let workers = entries.iter().map(|e| (e.id.clone(), Worker::default())).collect();
        let mut world = Self {
            now: 1_000,
            pool: owner(FENCE, 1_000),
            workers,
            entries,
            takes: 500,
            orders: Vec::new(),
            steps: HashMap::new(),
            most_cpu: 0,
            progress: HashMap::new(),
        };
        world.settle();
        world
    }

    /// Lists the workers, writes the roster, looks at all.
    pub fn settle(&mut self) {
        self.list();
        self.look();
    }

    /// Lists the workers as they stand, each after one more heartbeat.
    pub fn list(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.revision += 1);
        self.pool.set_workers(at(self.now), &self.entries);
        if let Some(seats) = self.pool.roster_update() {
            self.pool.confirm_roster(seats);
        }
    }

    pub fn submit(&mut self, id: u64, steps: Vec<Step>) -> JobId {
        let id = JobId(id);
        self.steps.insert(id, steps.clone());
        let job = Job::new("run".to_owned(), steps).expect("a job");
        let record = Record { queue: "q".to_owned(), accepted_ms: 0, job };
        let revision = FENCE + 1_000;
        self.pool.accept(at(self.now), Duration::ZERO, id, &record, None, revision);
        id
    }

    pub fn key(&self, id: &str) -> Key {
        self.pool.worker(id).expect("a worker").0
    }

    /// One look at each worker.
    pub fn look(&mut self) {
        let keys: Vec<Key> = self.pool.workers().collect();
        keys.into_iter().for_each(|key| self.look_at(key));
    }

    /// One look at one worker.
    pub fn look_at(&mut self, key: Key) {
        {
            let now = at(self.now);
            let Some(look) = self.pool.next_poll(now, key) else { return };
            let worker = self.workers.get_mut(&look.id).expect("a worker");
            let answer = if worker.silent {
                Answer::Lost
            } else {
                worker.report(self.now, look.fence, look.acked, look.deadline_ms)
            };
            self.pool.handle_poll_answer(at(self.now), now, key, &answer);
        }
    }

    /// Plans, and has the workers obey.
    pub fn plan(&mut self) -> Vec<Order> {
        let orders = self.pool.plan(at(self.now), 0);
        for order in &orders {
            self.deliver(order);
        }
        self.orders.extend(orders.iter().cloned());
        orders
    }

    pub fn deliver(&mut self, order: &Order) {
        let room = self.steps[&order.task.job][order.task.step as usize].room();
        let worker = self.workers.get_mut(&order.id).expect("a worker");
        let answer = if worker.silent {
            Answer::Lost
        } else {
            worker.obey(self.now, order, room, self.takes)
        };
        let used: u64 = worker.running.values().map(|run| run.room.cpu).sum();
        self.most_cpu = self.most_cpu.max(used);
        self.pool.handle_order_answer(at(self.now), order, &answer);
    }

    pub fn write(&mut self) -> Batch {
        let batch = self.pool.next_batch(at(self.now), 5_000, 28);
        self.pool.confirm_batch(&batch);
        let rows = batch.updates.iter().map(|row| (row.id, row.progress.clone()));
        self.progress.extend(rows);
        batch
    }

    /// Lets `millis` pass in steps, with looks, plans and writes.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            for worker in self.workers.values_mut() {
                worker.pass(self.now);
            }
            self.look();
            self.plan();
            self.write();
        }
    }

    /// Workers on which a task runs now.
    pub fn where_runs(&self, name: task::Name) -> Vec<&str> {
        let runs = self.workers.iter().filter(|(_, worker)| worker.running.contains_key(&name));
        runs.map(|(id, _)| id.as_str()).collect()
    }

    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }
}

pub fn first(job: JobId) -> task::Name {
    task::Name { job, occurrence: 0, step: 0, index: 0 }
}

pub fn step(count: u32, cpu: u64) -> Step {
    Step { needs: Room { cpu, memory_mb: 100, gpu: 0 }, estimate_ms: 500, ..Step::new(count) }
}
