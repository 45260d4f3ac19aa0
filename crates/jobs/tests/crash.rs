//! Tests of tasks that crash their workers.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, World, at, entry, first, owner, step};
use corianderfork_jobs::pool::What;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task;
use corianderfork_jobs::{Job, JobId};

/// Most starts of a crashing task: two after the third crash.
const MAX_STARTS: usize = 5;
/// How long a worker is down after a crash.
const RESTART_MS: u64 = 3_300;

/// Workers, and a task that crashes each worker that starts it.
struct Scenario {
    world: World,
    crashing: task::Name,
    /// When each crashed worker restarts, and its ID before the crash.
    restarts: Vec<(u64, String)>,
    lives: usize,
    crashes: usize,
}

impl Scenario {
    fn new(workers: u16) -> Self {
        let mut world = World::new(workers);
        world.takes = 800;
        Self { world, crashing: first(JobId(1)), restarts: Vec::new(), lives: 0, crashes: 0 }
    }

    /// The number of starts of the crashing task.
    fn starts(&self) -> usize {
        let is_start = |what: &What| matches!(what, What::Start { .. });
        let orders = self.world.orders.iter();
        orders.filter(|order| order.task == self.crashing && is_start(&order.what)).count()
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.world.run(100);
            let crashed: Vec<String> =
                self.world.where_runs(self.crashing).into_iter().map(str::to_owned).collect();
            for id in crashed {
                self.crash(&id);
            }
            self.restart_due();
        }
    }

    fn crash(&mut self, id: &str) {
        self.crashes += 1;
        let worker = self.world.workers.get_mut(id).expect("a worker");
        worker.silent = true;
        worker.running.clear();
        self.restarts.push((self.world.now + RESTART_MS, id.to_owned()));
    }

    /// Lists a new life of each worker whose restart is due, at the same address.
    fn restart_due(&mut self) {
        let now = self.world.now;
        let (due, later) =
            std::mem::take(&mut self.restarts).into_iter().partition(|(at, _)| *at <= now);
        self.restarts = later;
        let due: Vec<(u64, String)> = due;
        if due.is_empty() {
            return;
        }
        for (_, old) in due {
            self.lives += 1;
            let listed = self.world.entries.iter_mut().find(|entry| entry.id == old);
            let listed = listed.expect("an entry");
            listed.id = format!("{old}-{}", self.lives);
            self.world.workers.insert(listed.id.clone(), common::Worker::default());
        }
        self.world.list();
    }

    /// Replaces the owner with a successor that knows only what was written.
    fn take_over(&mut self, fence: u64) {
        let world = &mut self.world;
        let seats = world.pool.roster_seats();
        world.pool = owner(fence, world.now);
        world.pool.set_roster(seats);
        for (id, steps) in &world.steps {
            let job = Job::new("run".to_owned(), steps.clone()).expect("a job");
            let record = Record { queue: "q".to_owned(), accepted_ms: 0, job };
            let (now, progress) = (at(world.now), world.progress.get(id));
            world.pool.accept(now, Duration::ZERO, *id, &record, progress, FENCE + 1);
        }
        world.settle();
    }
}

// Guards against restarting a task that crashes its workers without limit.
#[test]
fn plan_gives_up_a_task_that_crashes_its_workers() {
    let mut scenario = Scenario::new(4);
    let job = scenario.world.submit(1, vec![step(1, 1_000)]);
    scenario.run(40_000);
    assert_eq!(scenario.world.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
    assert_eq!(scenario.starts(), scenario.crashes);
}

// Guards against losing the crash count when another owner takes over.
#[test]
fn accept_by_a_successor_keeps_the_crash_count() {
    let mut scenario = Scenario::new(4);
    let job = scenario.world.submit(1, vec![step(1, 1_000)]);
    for takeover in [1, 2] {
        while scenario.crashes < 2 * takeover {
            scenario.run(100);
        }
        scenario.take_over(FENCE + 50 * takeover as u64);
    }
    scenario.run(40_000);
    assert_eq!(scenario.world.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing jobs whose tasks share workers with a crashing task, and against
// repeatedly starting that task together with the same others.
#[test]
fn plan_completes_tasks_that_share_workers_with_a_crashing_task() {
    let mut scenario = Scenario::new(4);
    scenario.world.submit(1, vec![step(1, 500)]);
    let others: Vec<JobId> =
        (2..30).map(|id| scenario.world.submit(id, vec![step(4, 500)])).collect();
    scenario.run(40_000);
    assert_eq!(scenario.world.pool.state(JobId(1)), Some(State::Failed));
    for job in others {
        assert_eq!(scenario.world.pool.state(job), Some(State::Completed), "{job:?}");
    }
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing a job because the VMs of its workers are moved.
#[test]
fn gone_is_not_a_crash() {
    let mut scenario = Scenario::new(2);
    scenario.crashing = first(JobId(99));
    scenario.world.takes = 60_000;
    let job = scenario.world.submit(1, vec![step(1, 500)]);
    for life in 0..8 {
        scenario.run(200);
        let id = scenario.world.where_runs(first(job))[0].to_owned();
        scenario.world.workers.get_mut(&id).expect("a worker").running.clear();
        scenario.world.pool.gone(at(scenario.world.now), &id);
        scenario.world.entries.retain(|entry| entry.id != id);
        let next = format!("moved-{life}");
        scenario.world.entries.push(entry(&next, 9_100 + life, "r0"));
        scenario.world.workers.insert(next, common::Worker::default());
        scenario.world.list();
    }
    scenario.run(500);
    assert_eq!(scenario.world.pool.state(job), Some(State::Running));
}

// Guards against failing a job for crashes of workers on which its task had long been running.
#[test]
fn set_workers_does_not_count_crashes_against_old_runs() {
    let mut scenario = Scenario::new(3);
    scenario.crashing = first(JobId(99));
    scenario.world.takes = 60_000;
    let job = scenario.world.submit(1, vec![step(1, 500)]);
    for _ in 0..6 {
        // Longer than a run can be a suspect.
        scenario.run(15_000);
        let id = scenario.world.where_runs(first(job))[0].to_owned();
        scenario.crash(&id);
    }
    scenario.run(15_000);
    assert_eq!(scenario.world.pool.state(job), Some(State::Running));
}
