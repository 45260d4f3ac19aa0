//! A pool with simulated workers whose tasks end when the bench says so.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use corianderfork_jobs::allowance::WHOLE;
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Answer, Config, Connection, Order, Pool, Report};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::task::{Exit, Name, Outcome, Run};
use corianderfork_jobs::worker::{Key, Registration};
use corianderfork_jobs::{Job, JobId, Record, Step};
use corianderfork_model::Time;

const FENCE: u64 = 7;
/// Tasks of a step.
pub const WIDTH: u32 = 8;
/// Tasks that a worker has room for.
pub const TASKS_PER_WORKER: u64 = 7;
pub const WORKERS_PER_RACK: u16 = 12;
const TASK_ROOM: Room = Room { cpu: 8_900, memory_mb: 1_000, gpu: 0 };
const WORKER_ROOM: Room = Room { cpu: 64_000, memory_mb: 256_000, gpu: 0 };
const SAMPLES: usize = 201;

/// A run on a simulated worker.
type Running = BTreeMap<Name, u64>;

/// A pool, its workers and what runs on them.
pub struct Bench {
    pub now: u64,
    pub pool: Pool,
    keys: Vec<Key>,
    running: HashMap<Key, Running>,
    exits: HashMap<Key, u64>,
    pub next_job: u64,
    organisations: u64,
}

impl Bench {
    pub fn new(workers: u16, organisations: u64) -> Self {
        Self::with_settings(workers, organisations, Settings::default(), Duration::from_secs(600))
    }

    pub fn with_settings(
        workers: u16,
        organisations: u64,
        settings: Settings,
        slack: Duration,
    ) -> Self {
        let config = Config::new(FENCE, Time::ZERO).remote_factor(3.0).contention(settings);
        let mut pool = Pool::new(config);
        let queue = Queue { attempts: 2, slack, ..Queue::default() };
        pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
        let all: Vec<Organisation> = (0..organisations).map(organisation).collect();
        pool.set_organisations(&all);
        all.iter().for_each(|organisation| pool.set_part(&organisation.name, WHOLE));
        let registrations: Vec<Registration> = (0..workers).map(registration).collect();
        pool.set_workers(Time::from_millis(1), &registrations);
        if let Some(locations) = pool.roster_update() {
            pool.confirm_roster(locations);
        }
        let keys: Vec<Key> = pool.workers().collect();
        let running = keys.iter().map(|key| (*key, Running::new())).collect();
        let exits = keys.iter().map(|key| (*key, 0)).collect();
        let mut bench = Self { now: 1_000, pool, keys, running, exits, next_job: 1, organisations };
        bench.poll_all();
        bench
    }

    pub fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    pub fn add_jobs(&mut self, tasks: u64, rack: Option<&str>) {
        let step = Step { preferred_rack: rack.map(str::to_owned), ..step(640) };
        self.add_aged_jobs(tasks, Duration::ZERO, &step);
    }

    /// Adds jobs that were submitted some time ago, each with a first step as given.
    pub fn add_aged_jobs(&mut self, tasks: u64, age: Duration, first: &Step) {
        for _ in 0..tasks.div_ceil(u64::from(WIDTH)) {
            let steps = vec![first.clone(), Step::new(WIDTH).after(0)];
            let job = Job::new(String::new(), steps).expect("the job is valid");
            let number = self.next_job.checked_rem(self.organisations);
            let organisation = number.map(|number| organisation(number).name);
            let record =
                Record { job, queue: "q".to_owned(), accepted_ms: 0, attempts: None, organisation };
            let id = JobId(self.next_job);
            self.next_job += 1;
            self.pool.accept(self.at(), age, id, &record, None, FENCE + 1);
        }
    }

    pub fn plan(&mut self) -> Vec<Order> {
        self.pool.plan(self.at(), self.now)
    }

    pub fn carry_out(&mut self, orders: Vec<Order>) {
        for order in orders {
            let running = self.running.entry(order.worker).or_default();
            match order.action {
                Action::Start { .. } => drop(running.insert(order.task, order.run)),
                Action::Stop => drop(running.remove(&order.task)),
                Action::Pace(_) => {}
            }
            self.pool.handle_order_answer(self.at(), &order, &Answer::Done(self.now));
        }
    }

    fn poll(&mut self, key: Key, exits: Vec<Exit>) {
        let running = self.running[&key].iter().map(|(task, run)| Run {
            task: *task,
            run: *run,
            saved: String::new(),
            percent: u32::try_from(self.now / 10 % 100).expect("below 100"),
            gauge: 0,
        });
        let report = Report {
            clock_ms: self.now,
            born_ms: None,
            running: running.collect(),
            exits,
            is_cut_short: false,
        };
        let at = self.at();
        self.pool.next_poll(at, key, Connection::Kept);
        self.pool.handle_poll_answer(at, at, key, &Answer::Done(report));
    }

    pub fn poll_all(&mut self) {
        for key in self.keys.clone() {
            self.poll(key, Vec::new());
        }
    }

    /// Ends one run and reports it.
    pub fn end_run(&mut self, index: usize) {
        let key = self.keys[index % self.keys.len()];
        let Some((task, run)) = self.running.get_mut(&key).and_then(BTreeMap::pop_first) else {
            return;
        };
        let number = self.exits.entry(key).or_default();
        *number += 1;
        let exit =
            Exit { number: *number, task, run, outcome: Outcome::Done, saved: String::new() };
        self.poll(key, vec![exit]);
    }

    pub fn write(&mut self) {
        loop {
            let at = self.at() + Duration::from_secs(1);
            let batch = self.pool.next_batch(at, self.now, 28);
            if batch.is_empty() {
                return;
            }
            self.pool.confirm_batch(&batch);
        }
    }

    /// Returns the median duration of `run` in microseconds, with polls in between.
    pub fn measure(&mut self, mut run: impl FnMut(&mut Self, usize)) -> f64 {
        let mut samples = Vec::with_capacity(SAMPLES);
        for index in 0..SAMPLES {
            self.now += 3;
            let started = Instant::now();
            run(self, index);
            samples.push(started.elapsed().as_secs_f64() * 1e6);
            if index % 100 == 99 {
                self.poll_all();
                self.write();
            }
        }
        samples.sort_by(f64::total_cmp);
        samples[SAMPLES / 2]
    }
}

/// Returns a step whose tasks are predicted to take some time.
pub fn step(estimate_ms: u64) -> Step {
    Step { needs: TASK_ROOM, estimate_ms, ..Step::new(WIDTH) }
}

fn registration(index: u16) -> Registration {
    let rack = format!("rack-{}", index / WORKERS_PER_RACK);
    Registration {
        id: format!("worker-{index}"),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        labels: vec!["general".to_owned(), rack.clone()],
        rack,
        room: WORKER_ROOM,
        draining: false,
        revision: 1,
        born_ms: None,
    }
}

pub fn organisation(number: u64) -> Organisation {
    let limit = Room { cpu: 1 << 40, memory_mb: 1 << 40, gpu: 0 };
    let weight = 1 + u32::try_from(number % 100).expect("below 100");
    Organisation { name: format!("organisation-{number}"), weight, limit }
}
