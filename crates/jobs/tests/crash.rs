//! Tests of tasks that crash their workers.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, World, at, entry, first, owner, step};
use corianderfork_jobs::pool::Action;
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
    /// The number of runs started on the worker after the crashing task, for each crash.
    later_starts: Vec<usize>,
    /// The number of runs lost in each crash, including that of the crashing task.
    lost_runs: Vec<usize>,
}

impl Scenario {
    fn new(workers: u16) -> Self {
        let mut world = World::new(workers);
        world.takes = 800;
        Self {
            world,
            crashing: first(JobId(1)),
            restarts: Vec::new(),
            lives: 0,
            crashes: 0,
            later_starts: Vec::new(),
            lost_runs: Vec::new(),
        }
    }

    /// The number of starts of the crashing task.
    fn starts(&self) -> usize {
        let is_start = |what: &Action| matches!(what, Action::Start { .. });
        let orders = self.world.orders.iter();
        orders.filter(|order| order.task == self.crashing && is_start(&order.action)).count()
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
        if let Some(crashing) = worker.running.get(&self.crashing) {
            let later = worker.running.values().filter(|run| run.run > crashing.run);
            self.later_starts.push(later.count());
            self.lost_runs.push(worker.running.len());
        }
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
        let seats = world.pool.written_roster();
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
        while scenario.crashes < 2 * takeover && scenario.world.now < 60_000 {
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
        scenario.world.pool.remove_gone_worker(at(scenario.world.now), &id);
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

// Guards against restarting a crashing task without limit if each crash has other suspects.
#[test]
fn plan_gives_up_a_crashing_task_that_is_never_the_only_suspect() {
    let mut scenario = Scenario::new(1);
    let job = scenario.world.submit(1, vec![step(1, 500)]);
    for id in 2..400 {
        scenario.world.submit(id, vec![step(1, 50)]);
        scenario.run(100);
    }
    assert_eq!(scenario.world.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against losing the runs of other tasks to a task that has crashed two workers.
#[test]
fn plan_starts_nothing_beside_a_task_with_two_crashes() {
    let mut scenario = Scenario::new(2);
    scenario.world.submit(1, vec![step(1, 500)]);
    for id in 2..80 {
        scenario.world.submit(id, vec![step(4, 500)]);
    }
    scenario.run(40_000);
    assert!(scenario.later_starts[0] > 0, "{:?}", scenario.later_starts);
    assert!(scenario.later_starts[2..].iter().all(|later| *later == 0));
    assert!(scenario.later_starts.len() > 2, "{:?}", scenario.later_starts);
}

// Guards against counting a crash against a run that is past its startup if another is starting.
#[test]
fn set_workers_counts_a_crash_against_starting_runs_first() {
    let mut scenario = Scenario::new(1);
    scenario.world.takes = 60_000;
    let old = scenario.world.submit(2, vec![step(1, 500)]);
    scenario.run(2_000);
    let crashing = scenario.world.submit(1, vec![step(1, 500)]);
    scenario.run(6_000);
    let crashes = |job: &JobId| scenario.world.progress.get(job).map_or(0, |p| p.crashed.len());
    assert_eq!((crashes(&crashing), crashes(&old)), (1, 0));
}

// Guards against losing all suspects again by restarting them on one worker at once.
#[test]
fn plan_restarts_few_suspects_of_a_crash_together() {
    let mut scenario = Scenario::new(1);
    for id in 1..13 {
        scenario.world.submit(id, vec![step(1, 500)]);
    }
    scenario.run(8_000);
    assert_eq!(scenario.lost_runs[0], 12);
    assert!(scenario.lost_runs[1] <= 4, "{:?}", scenario.lost_runs);
}

// Guards against restarting a suspect among starting runs, which makes them suspects too.
#[test]
fn plan_restarts_a_suspect_where_nothing_is_starting() {
    let mut scenario = Scenario::new(3);
    scenario.world.submit(1, vec![step(1, 500)]);
    for id in 2..80 {
        scenario.run(100);
        scenario.world.submit(id, vec![step(1, 500)]);
    }
    assert_eq!(scenario.lost_runs[1..], [1, 1], "{:?}", scenario.lost_runs);
}

// Guards against losing a crash whose owner is replaced before it notices.
#[test]
fn accept_by_a_successor_counts_a_crash_that_nobody_has_noticed() {
    let mut scenario = Scenario::new(4);
    let job = scenario.world.submit(1, vec![step(1, 1_000)]);
    for takeover in 1..10 {
        // The first crash is noticed; each later one is followed by a takeover.
        let (crashes, end) = (scenario.crashes.max(1), scenario.world.now + 30_000);
        while scenario.crashes <= crashes && scenario.world.now < end {
            scenario.run(100);
        }
        scenario.take_over(FENCE + 50 * takeover);
    }
    scenario.run(40_000);
    assert_eq!(scenario.world.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing a long-running job for crashes that are far apart.
#[test]
fn plan_forgets_the_crashes_of_a_task_that_runs_for_long() {
    let mut scenario = Scenario::new(3);
    scenario.crashing = first(JobId(99));
    scenario.world.takes = 60_000;
    let job = scenario.world.submit(1, vec![step(1, 500)]);
    for _ in 0..6 {
        // Its worker crashes once while it is starting, and once after a long run.
        for running_ms in [0, 20_000] {
            while scenario.world.where_runs(first(job)).is_empty() && scenario.world.now < 400_000 {
                scenario.run(100);
            }
            scenario.run(running_ms);
            let id = scenario.world.where_runs(first(job))[0].to_owned();
            scenario.crash(&id);
        }
    }
    scenario.run(20_000);
    assert_eq!(scenario.world.pool.state(job), Some(State::Running));
}
