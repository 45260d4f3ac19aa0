//! A simulated pool: workers run tasks for their drawn durations, and the pool plans each 10 ms.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_jobs::allowance::WHOLE;
use corianderfork_jobs::contention;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Answer, Config, Connection, Pool, Report};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::task::{Exit, Name, Outcome, Run};
use corianderfork_jobs::worker::{Key, Registration};
use corianderfork_jobs::{Job, JobId, Record, Step};
use corianderfork_model::Time;

const FENCE: u64 = 7;
pub const WORKERS: u16 = 30;
pub const WORKER_ROOM: Room = Room { cpu: 32_000, memory_mb: 128_000, gpu: 0 };
const STRETCH: f64 = 1.6;
const SLACK_MS: u64 = 600;
/// Interval between plans.
const TICK_MS: u64 = 10;
/// Index of the phase whose jobs are counted.
const BURST: usize = 1;

/// A kind of task.
#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub task_ms: u64,
    /// In thousandths of a core.
    pub cpu: u64,
}

/// A generator of random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A submitted job.
pub struct Submitted {
    pub begun: u64,
    pub allowed: u64,
    /// In milliseconds of CPU, by its declared durations.
    pub work: f64,
    pub is_in_burst: bool,
    /// Index of its organisation.
    pub organisation: usize,
    pub is_owed: bool,
    /// The real durations of the tasks of each step.
    pub durations: Vec<Vec<u64>>,
    tasks_left: u64,
    ended: Option<u64>,
}

impl Submitted {
    /// Returns whether it was done within a multiple of its allowed time.
    pub fn is_done_within(&self, times: u64) -> bool {
        self.ended.is_some_and(|ended| ended <= self.begun + times * self.allowed)
    }
}

/// What is simulated.
pub struct Setup<'a> {
    pub settings: contention::Settings,
    pub kind: Kind,
    /// The jobs a second that each organisation is owed; none for jobs without an organisation.
    pub owed: Option<u32>,
    /// The load of each organisation relative to the capacity, and for how long.
    pub phases: &'a [(&'a [f64], u64)],
    pub seed: u64,
}

struct Started {
    number: u64,
    began: u64,
    ends: u64,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<Name, Started>,
    exits: u64,
}

/// A simulated pool with its workers.
pub struct Simulation {
    now: u64,
    pool: Pool,
    workers: BTreeMap<Key, Worker>,
    pub jobs: Vec<Submitted>,
    random: Random,
    kind: Kind,
    has_organisations: bool,
}

impl Simulation {
    /// Simulates all phases. Jobs arrive when their work is due at the phase's load.
    pub fn run(setup: &Setup) -> Self {
        let mut sim = Self::new(setup);
        let capacity = (u64::from(WORKERS) * WORKER_ROOM.cpu) as f64;
        let mut due = vec![0.0; setup.phases[0].0.len()];
        for (phase, (loads, length)) in setup.phases.iter().enumerate() {
            let end = sim.now + length;
            while sim.now < end {
                for (organisation, load) in loads.iter().enumerate() {
                    due[organisation] += load * capacity * TICK_MS as f64;
                    while due[organisation] > 0.0 {
                        due[organisation] -= sim.submit(organisation, phase == BURST);
                    }
                }
                sim.tick();
            }
        }
        sim
    }

    fn new(setup: &Setup) -> Self {
        let config = Config::new(FENCE, Time::ZERO).contention(setup.settings);
        let mut pool = Pool::new(config);
        let limit = Room { cpu: 1 << 40, memory_mb: 1 << 40, gpu: 0 };
        let organisations = 0..setup.owed.map_or(0, |_| setup.phases[0].0.len());
        let organisation = |index| Organisation {
            name: organisation(index),
            weight: setup.owed.unwrap_or(0),
            limit,
        };
        let organisations: Vec<Organisation> = organisations.map(organisation).collect();
        pool.set_organisations(&organisations);
        organisations.iter().for_each(|organisation| pool.set_part(&organisation.name, WHOLE));
        let slack = Duration::from_millis(SLACK_MS);
        let queue = Queue { attempts: 2, stretch: STRETCH, slack, ..Queue::default() };
        pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
        let registrations: Vec<Registration> = (0..WORKERS).map(registration).collect();
        pool.set_workers(Time::from_millis(1), &registrations);
        if let Some(locations) = pool.roster_update() {
            pool.confirm_roster(locations);
        }
        let workers = pool.workers().map(|key| (key, Worker::default())).collect();
        let mut sim = Self {
            now: 1_000,
            pool,
            workers,
            jobs: Vec::new(),
            random: Random(setup.seed),
            kind: setup.kind,
            has_organisations: setup.owed.is_some(),
        };
        sim.poll(true);
        sim.tick();
        sim
    }

    fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    /// Submits a job: one in ten has 6 to 17 tasks, one in five 3 to 5, the others 1 or 2. Three in
    /// ten have a last step of one task. Returns its work in milliseconds of CPU.
    fn submit(&mut self, organisation: usize, is_in_burst: bool) -> f64 {
        let Kind { task_ms, cpu, .. } = self.kind;
        let kind = self.random.next();
        let (least, range) = if kind < 0.1 {
            (6, 12.0)
        } else if kind < 0.3 {
            (3, 3.0)
        } else {
            (1, 2.0)
        };
        let count = least + (self.random.next() * range) as u32;
        let declared = (task_ms as f64 * (0.8 + 0.4 * self.random.next())) as u64;
        let needs = Room { cpu, memory_mb: 500, gpu: 0 };
        let step = |count| Step { needs, estimate_ms: declared, ..Step::new(count) };
        let mut steps = vec![step(count)];
        if self.random.next() < 0.3 {
            steps.push(step(1).after(0));
        }
        let chain = declared * steps.len() as u64;
        let job = Job::new(String::new(), steps).expect("a job");
        let tasks = job.tasks();
        let work = (tasks * cpu * declared) as f64;
        let allowed = (chain as f64 * STRETCH) as u64 + SLACK_MS;
        let durations = job.steps.iter().map(|step| self.durations(step.count)).collect();
        let id = JobId(self.jobs.len() as u64 + 1);
        let name = self.has_organisations.then(|| self::organisation(organisation));
        let record = Record {
            job,
            queue: "q".to_owned(),
            accepted_ms: 0,
            attempts: None,
            organisation: name,
        };
        self.pool.accept(self.at(), Duration::ZERO, id, &record, None, FENCE + 1);
        self.jobs.push(Submitted {
            begun: self.now,
            allowed,
            work,
            is_in_burst,
            organisation,
            is_owed: self.pool.is_owed(id),
            durations,
            tasks_left: tasks,
            ended: None,
        });
        work
    }

    /// Draws the real durations of a step's tasks, of which three in a hundred take seven times as
    /// long. They are drawn when the job arrives, so that they are the same for all orders.
    fn durations(&mut self, count: u32) -> Vec<u64> {
        let mut draw = || {
            let tail = if self.random.next() < 0.03 { 7.0 } else { 1.0 };
            (self.kind.task_ms as f64 * (0.8 + 0.4 * self.random.next()) * tail) as u64
        };
        (0..count).map(|_| draw()).collect()
    }

    /// Polls the workers with ended runs, or all.
    fn poll(&mut self, all: bool) {
        let (now, at) = (self.now, self.at());
        for (key, worker) in &mut self.workers {
            let is_over = |run: &Started| run.ends <= now;
            if !all && !worker.running.values().any(&is_over) {
                continue;
            }
            let mut exits = Vec::new();
            worker.running.retain(|task, run| {
                if !is_over(run) {
                    return true;
                }
                worker.exits += 1;
                exits.push(Exit {
                    number: worker.exits,
                    task: *task,
                    run: run.number,
                    outcome: Outcome::Done,
                    saved: String::new(),
                });
                let job = &mut self.jobs[task.job.0 as usize - 1];
                job.tasks_left -= 1;
                job.ended = (job.tasks_left == 0).then_some(run.ends);
                false
            });
            let running = worker.running.iter().map(|(task, run)| Run {
                task: *task,
                run: run.number,
                saved: String::new(),
                percent: ((now - run.began) * 100 / (run.ends - run.began).max(1)) as u32,
                gauge: 0,
            });
            let running = running.collect();
            self.pool.next_poll(at, *key, Connection::Kept);
            let report =
                Report { clock_ms: now, born_ms: None, running, exits, is_cut_short: false };
            self.pool.handle_poll_answer(at, at, *key, &Answer::Done(report));
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.poll(self.now.is_multiple_of(500));
        let orders = self.pool.plan(self.at(), self.now);
        for order in orders {
            if matches!(order.action, Action::Start { .. }) {
                let job = &self.jobs[order.task.job.0 as usize - 1];
                let step = &job.durations[order.task.step as usize];
                let ends = self.now + step[order.task.index as usize];
                let worker = self.workers.get_mut(&order.worker).expect("a worker");
                let run = Started { number: order.run, began: self.now, ends };
                worker.running.insert(order.task, run);
            }
            self.pool.handle_order_answer(self.at(), &order, &Answer::Done(self.now));
        }
        let batch = self.pool.next_batch(self.at(), self.now, 1_000);
        self.pool.confirm_batch(&batch);
        self.pool.take_notes();
    }
}

fn organisation(index: usize) -> String {
    format!("organisation-{index}")
}

fn registration(index: u16) -> Registration {
    Registration {
        id: format!("worker-{index}"),
        address: ([10, 0, 0, index as u8], 80).into(),
        labels: Vec::new(),
        rack: "rack".to_owned(),
        room: WORKER_ROOM,
        draining: false,
        revision: 1,
        born_ms: None,
    }
}
