//! A pool with far more waiting work than it has room for.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, step};
use corianderfork_jobs::pool::Effort;
use corianderfork_jobs::queue::{AdviceCost, Queue};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::{Job, JobId, Step};

/// Waiting jobs of eight tasks each.
const JOBS: u64 = 1_250;

/// Returns a full pool with a backlog of [`JOBS`] jobs.
fn overfull() -> Simulation {
    let mut simulation = Simulation::new(4);
    simulation.task_ms = 60_000;
    for id in 1..=JOBS {
        let job = Job::new("run".to_owned(), vec![step(8, 2_000), Step::new(8).after(0)]);
        let record = Record {
            queue: "q".to_owned(),
            accepted_ms: 0,
            attempts: None,
            job: job.expect("the job is valid"),
            organisation: None,
        };
        let now = at(simulation.now);
        simulation.pool.accept(now, Duration::ZERO, JobId(id), &record, None, FENCE + 1);
    }
    let orders = simulation.pool.plan(at(simulation.now), 0);
    assert_eq!(orders.len(), 16, "the workers are full");
    simulation
}

// Guards against an owner that falls further behind the more work waits, because each decision
// looks at all of it.
#[test]
fn plan_looks_at_no_waiting_job_between_two_events() {
    let mut simulation = overfull();
    simulation.pool.plan(at(simulation.now + 3), 0);
    simulation.pool.plan(at(simulation.now + 6), 0);
    assert_eq!(simulation.pool.effort(), Effort { jobs: 0, steps: 0 });
}

// Guards against the same when a job changes.
#[test]
fn plan_looks_only_at_the_job_that_changed() {
    let mut simulation = overfull();
    simulation.pool.plan(at(simulation.now + 3), 0);
    simulation.pool.cancel(at(simulation.now + 4), JobId(JOBS));
    simulation.pool.plan(at(simulation.now + 6), 0);
    assert_eq!(simulation.pool.effort(), Effort { jobs: 1, steps: 0 });
}

// Guards against a rank that is only computed when a job changes: a job that can't be in time any
// more would go before those that can.
#[test]
fn plan_ranks_a_job_anew_when_it_will_be_late() {
    let mut simulation = Simulation::new(1);
    simulation.task_ms = 2_600;
    let start = simulation.now;
    simulation.submit(1, vec![step(1, 8_000)]);
    simulation.plan();
    let early = simulation.submit(2, vec![step(1, 8_000)]);
    simulation.run_for(1_500);
    let late = simulation.submit(3, vec![step(1, 8_000)]);
    simulation.run_for(1_400);
    assert_eq!(simulation.now, start + 2_900, "the first job has just ended");
    assert_eq!(simulation.workers_running(first_task(early)).len(), 0);
    assert_eq!(simulation.workers_running(first_task(late)).len(), 1);
}

// Guards against tasks that wait beside an idle worker: a new configuration lets a service decide
// about the workers of one queue, whose step isn't ranked anew; that it may run nowhere yet is
// taken to mean that no worker has room for others.
#[test]
fn plan_starts_others_behind_a_step_that_needs_advice_since() {
    let mut simulation = Simulation::new(1);
    let queue = |priority: u32, advice: Option<AdviceCost>| Queue {
        priority,
        attempts: 2,
        advice,
        ..Queue::default()
    };
    let queues = |advice: Option<AdviceCost>| {
        HashMap::from([("q".to_owned(), queue(0, advice)), ("r".to_owned(), queue(1, None))])
    };
    simulation.pool.set_queues(queues(None));
    simulation.submit(1, vec![step(1, 8_000)]);
    simulation.plan();
    simulation.submit(2, vec![step(1, 8_000)]);
    let other = JobId(3);
    simulation.steps.insert(other, vec![step(1, 8_000)]);
    let job = Job::new("run".to_owned(), vec![step(1, 8_000)]).expect("the job is valid");
    let record =
        Record { queue: "r".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None };
    let now = at(simulation.now);
    simulation.pool.accept(now, Duration::ZERO, other, &record, None, FENCE + 1);
    simulation.run_for(100);
    simulation.pool.set_queues(queues(Some(AdviceCost::default())));
    simulation.run_for(600);
    assert_eq!(simulation.workers_running(first_task(other)).len(), 1);
}
