//! Tests of tasks that crash their workers.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, registration, step};
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task;
use corianderfork_jobs::{Job, JobId, Step};

/// Most starts of a crashing task: two after the third crash.
const MAX_STARTS: usize = 5;
/// How long a worker is down after a crash.
const RESTART_MS: u64 = 3_300;

/// Workers, and a task that crashes each worker that starts it.
struct Scenario {
    sim: Simulation,
    crashing: task::Name,
    /// When each crashed worker restarts, and its ID before the crash.
    restarts: Vec<(u64, String)>,
    instances: usize,
    crashes: usize,
    /// The number of runs started on the worker after the crashing task, for each crash.
    later_starts: Vec<usize>,
    /// The number of runs lost in each crash, including that of the crashing task.
    lost_runs: Vec<usize>,
}

impl Scenario {
    fn new(workers: u16) -> Self {
        let mut sim = Simulation::new(workers);
        sim.task_ms = 800;
        Self {
            sim,
            crashing: first_task(JobId(1)),
            restarts: Vec::new(),
            instances: 0,
            crashes: 0,
            later_starts: Vec::new(),
            lost_runs: Vec::new(),
        }
    }

    /// The number of starts of the crashing task.
    fn starts(&self) -> usize {
        let is_start = |action: &Action| matches!(action, Action::Start { .. });
        let orders = self.sim.orders.iter();
        orders.filter(|order| order.task == self.crashing && is_start(&order.action)).count()
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.sim.run_for(100);
            let crashed: Vec<String> =
                self.sim.workers_running(self.crashing).into_iter().map(str::to_owned).collect();
            for id in crashed {
                self.crash(&id);
            }
            self.restart_due();
        }
    }

    /// Runs long-running tasks, which are at work as soon as they start.
    fn run_at_work(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            let runs = self.sim.workers.values_mut().flat_map(|w| w.running.values_mut());
            runs.for_each(|run| run.percent = Some(100));
            self.sim.run_for(100);
            self.restart_due();
        }
    }

    fn crash(&mut self, id: &str) {
        self.crashes += 1;
        let worker = self.sim.workers.get_mut(id).expect("a worker");
        if let Some(crashing) = worker.running.get(&self.crashing) {
            let later = worker.running.values().filter(|run| run.run > crashing.run);
            self.later_starts.push(later.count());
            self.lost_runs.push(worker.running.len());
        }
        worker.silent = true;
        worker.running.clear();
        self.restarts.push((self.sim.now + RESTART_MS, id.to_owned()));
    }

    /// Lists a new instance of each worker whose restart is due, at the same address.
    fn restart_due(&mut self) {
        let now = self.sim.now;
        let (due, later) =
            std::mem::take(&mut self.restarts).into_iter().partition(|(at, _)| *at <= now);
        self.restarts = later;
        let due: Vec<(u64, String)> = due;
        if due.is_empty() {
            return;
        }
        for (_, old) in due {
            self.instances += 1;
            let listed = self.sim.registrations.iter_mut().find(|entry| entry.id == old);
            let listed = listed.expect("an entry");
            listed.id = format!("{old}-{}", self.instances);
            self.sim.workers.insert(listed.id.clone(), common::Worker::default());
        }
        self.sim.list_workers();
    }

    /// Replaces the owner with a successor that knows only what was written.
    fn take_over(&mut self, fence: u64) {
        let sim = &mut self.sim;
        let locations = sim.pool.written_roster();
        sim.pool = owner(fence, sim.now);
        sim.pool.set_roster(locations, 0);
        for (id, steps) in &sim.steps {
            let job = Job::new("run".to_owned(), steps.clone()).expect("a job");
            let record = Record {
                queue: "q".to_owned(),
                accepted_ms: 0,
                attempts: None,
                job,
                organisation: None,
            };
            let (now, progress) = (at(sim.now), sim.progress.get(id));
            sim.pool.accept(now, Duration::ZERO, *id, &record, progress, FENCE + 1);
        }
        sim.list_and_poll();
    }
}

// Guards against restarting a task that crashes its workers without limit.
#[test]
fn plan_gives_up_a_task_that_crashes_its_workers() {
    let mut scenario = Scenario::new(4);
    let job = scenario.sim.submit(1, vec![step(1, 1_000)]);
    scenario.run(40_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
    assert_eq!(scenario.starts(), scenario.crashes);
}

// Guards against a lasting job that is given up, and whose healthy tasks are stopped, since one of
// its workers crashes again and again.
#[test]
fn plan_keeps_a_long_running_job_whose_worker_crashes() {
    let mut scenario = Scenario::new(3);
    scenario.sim.task_ms = 600_000;
    let lasting = Step { long_running: true, max_per_worker: 1, ..step(3, 1_000) };
    let job = scenario.sim.submit(1, vec![lasting]);
    scenario.run_at_work(1_000);
    for _ in 0..5 {
        let worker = scenario.sim.workers_running(scenario.crashing)[0].to_owned();
        scenario.crash(&worker);
        let mut waited = 0;
        while scenario.sim.workers_running(scenario.crashing).is_empty() {
            scenario.run_at_work(100);
            waited += 100;
            assert!(waited < 9_000, "away for {waited} ms");
        }
        scenario.run_at_work(1_000);
    }
    assert_eq!(scenario.sim.pool.state(job), Some(State::Running));
    assert_eq!(scenario.sim.running_count(), 3);
    assert!(scenario.sim.pool.take_notes().iter().any(|note| note.event == "task backs off"));
}

// Guards against a job that is given up for the crashes of one worker, with as little evidence against
// it as against the worker. It is given up in time all the same.
#[test]
fn plan_gives_up_a_task_later_if_one_worker_crashes() {
    let mut scenario = Scenario::new(1);
    let job = scenario.sim.submit(1, vec![step(1, 1_000)]);
    while scenario.crashes < 4 {
        scenario.run(100);
        assert_ne!(scenario.sim.pool.state(job), Some(State::Failed));
    }
    scenario.run(40_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Failed));
    assert_eq!(scenario.starts(), MAX_STARTS);
}

// Guards against losing the crash count when another owner takes over.
#[test]
fn accept_by_a_successor_keeps_the_crash_count() {
    let mut scenario = Scenario::new(4);
    let job = scenario.sim.submit(1, vec![step(1, 1_000)]);
    for takeover in [1, 2] {
        while scenario.crashes < 2 * takeover && scenario.sim.now < 60_000 {
            scenario.run(100);
        }
        scenario.take_over(FENCE + 50 * takeover as u64);
    }
    scenario.run(40_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing jobs whose tasks share workers with a crashing task, and against
// repeatedly starting that task together with the same others.
#[test]
fn plan_completes_tasks_that_share_workers_with_a_crashing_task() {
    let mut scenario = Scenario::new(4);
    scenario.sim.submit(1, vec![step(1, 500)]);
    let others: Vec<JobId> =
        (2..30).map(|id| scenario.sim.submit(id, vec![step(4, 500)])).collect();
    scenario.run(40_000);
    assert_eq!(scenario.sim.pool.state(JobId(1)), Some(State::Failed));
    for job in others {
        assert_eq!(scenario.sim.pool.state(job), Some(State::Completed), "{job:?}");
    }
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing a job because the VMs of its workers are moved.
#[test]
fn remove_gone_worker_is_not_a_crash() {
    let mut scenario = Scenario::new(2);
    scenario.crashing = first_task(JobId(99));
    scenario.sim.task_ms = 60_000;
    let job = scenario.sim.submit(1, vec![step(1, 500)]);
    for instance in 0..8 {
        scenario.run(200);
        let id = scenario.sim.workers_running(first_task(job))[0].to_owned();
        scenario.sim.workers.get_mut(&id).expect("a worker").running.clear();
        scenario.sim.pool.remove_gone_worker(at(scenario.sim.now), &id);
        scenario.sim.registrations.retain(|entry| entry.id != id);
        let next = format!("moved-{instance}");
        scenario.sim.registrations.push(registration(&next, 9_100 + instance, "r0"));
        scenario.sim.workers.insert(next, common::Worker::default());
        scenario.sim.list_workers();
    }
    scenario.run(500);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Running));
}

// Guards against failing a job for crashes of workers on which its task had long been running.
#[test]
fn set_workers_does_not_count_crashes_against_old_runs() {
    let mut scenario = Scenario::new(3);
    scenario.crashing = first_task(JobId(99));
    scenario.sim.task_ms = 60_000;
    let job = scenario.sim.submit(1, vec![step(1, 500)]);
    for _ in 0..6 {
        // Longer than a run can be a suspect.
        scenario.run(15_000);
        let id = scenario.sim.workers_running(first_task(job))[0].to_owned();
        scenario.crash(&id);
    }
    scenario.run(15_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Running));
}

// Guards against restarting a crashing task without limit if each crash has other suspects.
#[test]
fn plan_gives_up_a_crashing_task_that_is_never_the_only_suspect() {
    let mut scenario = Scenario::new(1);
    let job = scenario.sim.submit(1, vec![step(1, 500)]);
    for id in 2..400 {
        scenario.sim.submit(id, vec![step(1, 50)]);
        scenario.run(100);
    }
    assert_eq!(scenario.sim.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against losing the runs of other tasks to a task that has crashed two workers.
#[test]
fn plan_starts_nothing_beside_a_task_with_two_crashes() {
    let mut scenario = Scenario::new(2);
    scenario.sim.submit(1, vec![step(1, 500)]);
    for id in 2..80 {
        scenario.sim.submit(id, vec![step(4, 500)]);
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
    scenario.sim.task_ms = 60_000;
    let old = scenario.sim.submit(2, vec![step(1, 500)]);
    scenario.run(2_000);
    let crashing = scenario.sim.submit(1, vec![step(1, 500)]);
    scenario.run(6_000);
    let crashes = |job: &JobId| scenario.sim.progress.get(job).map_or(0, |p| p.crashed.len());
    assert_eq!((crashes(&crashing), crashes(&old)), (1, 0));
}

// Guards against losing all suspects again by restarting them on one worker at once.
#[test]
fn plan_restarts_few_suspects_of_a_crash_together() {
    let mut scenario = Scenario::new(1);
    for id in 1..13 {
        scenario.sim.submit(id, vec![step(1, 500)]);
    }
    scenario.run(8_000);
    assert_eq!(scenario.lost_runs[0], 12);
    assert!(scenario.lost_runs[1] <= 4, "{:?}", scenario.lost_runs);
}

// Guards against restarting a suspect among starting runs, which makes them suspects too.
#[test]
fn plan_restarts_a_suspect_where_nothing_is_starting() {
    let mut scenario = Scenario::new(3);
    scenario.sim.submit(1, vec![step(1, 500)]);
    for id in 2..80 {
        scenario.run(100);
        scenario.sim.submit(id, vec![step(1, 500)]);
    }
    assert_eq!(scenario.lost_runs[1..], [1, 1], "{:?}", scenario.lost_runs);
}

// Guards against losing a crash whose owner is replaced before it notices.
#[test]
fn accept_by_a_successor_counts_a_crash_that_nobody_has_noticed() {
    let mut scenario = Scenario::new(4);
    let job = scenario.sim.submit(1, vec![step(1, 1_000)]);
    for takeover in 1..10 {
        // The first crash is noticed; each later one is followed by a takeover.
        let (crashes, end) = (scenario.crashes.max(1), scenario.sim.now + 30_000);
        while scenario.crashes <= crashes && scenario.sim.now < end {
            scenario.run(100);
        }
        scenario.take_over(FENCE + 50 * takeover);
    }
    scenario.run(40_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Failed));
    assert!(scenario.crashes <= MAX_STARTS, "{} workers crashed", scenario.crashes);
}

// Guards against failing a long-running job for crashes that are far apart.
#[test]
fn plan_forgets_the_crashes_of_a_task_that_runs_for_long() {
    let mut scenario = Scenario::new(3);
    scenario.crashing = first_task(JobId(99));
    scenario.sim.task_ms = 60_000;
    let job = scenario.sim.submit(1, vec![step(1, 500)]);
    for _ in 0..6 {
        // Its worker crashes once while it is starting, and once after a long run.
        for running_ms in [0, 20_000] {
            while scenario.sim.workers_running(first_task(job)).is_empty()
                && scenario.sim.now < 400_000
            {
                scenario.run(100);
            }
            scenario.run(running_ms);
            let id = scenario.sim.workers_running(first_task(job))[0].to_owned();
            scenario.crash(&id);
        }
    }
    scenario.run(20_000);
    assert_eq!(scenario.sim.pool.state(job), Some(State::Running));
}
