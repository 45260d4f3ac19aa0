//! Tests of tasks whose workers crash for other reasons.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, Worker, at, first_task, owner, step};
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::{Job, JobId, Step};

fn long_running(count: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step(count, 1_000) }
}

/// Advances by `millis`; all runs are at work.
fn run(sim: &mut Simulation, millis: u64) {
    for _ in 0..millis / 100 {
        sim.run_for(100);
        for run in sim.workers.values_mut().flat_map(|worker| worker.running.values_mut()) {
            run.percent = Some(100);
        }
    }
}

/// Replaces a worker by another instance at its address.
fn crash(sim: &mut Simulation, id: &str) {
    let listed = sim.registrations.iter_mut().find(|entry| entry.id == id).expect("an entry");
    listed.id = format!("{id}+");
    let next = listed.id.clone();
    sim.workers.remove(id);
    sim.workers.insert(next, Worker::default());
    sim.list_and_poll();
}

fn crash_worker_of_first_task(sim: &mut Simulation, job: JobId) {
    let id = sim.workers_running(first_task(job))[0].to_owned();
    crash(sim, &id);
}

// Guards against giving up a job that ran for long before the first of its workers crashed.
#[test]
fn state_of_a_long_running_job_whose_workers_crash_after_a_long_run() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running(1)]);
    run(&mut sim, 12_000);
    for _ in 0..6 {
        crash_worker_of_first_task(&mut sim, job);
        run(&mut sim, 1_000);
    }
    assert_eq!(sim.pool.state(job), Some(State::Running));
}

// Guards against forgetting at a takeover that a task ran for long without a crash.
#[test]
fn accept_by_a_successor_of_a_job_that_ran_for_long() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running(1)]);
    run(&mut sim, 12_000);
    crash_worker_of_first_task(&mut sim, job);
    run(&mut sim, 1_000);
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    let job_steps = sim.steps[&job].clone();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), job_steps).expect("a job"),
        organisation: None,
    };
    let progress = sim.progress.get(&job).cloned();
    let now = at(sim.now);
    sim.pool.accept(now, Duration::ZERO, job, &record, progress.as_ref(), FENCE + 1);
    sim.list_and_poll();
    for _ in 0..5 {
        crash_worker_of_first_task(&mut sim, job);
        run(&mut sim, 1_000);
    }
    assert_eq!(sim.pool.state(job), Some(State::Running));
}

// Guards against giving up a job while most crashes happen on workers that don't run it.
#[test]
fn state_of_a_job_while_many_other_workers_crash() {
    let mut sim = Simulation::new(8);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running(1)]);
    run(&mut sim, 500);
    for _ in 0..4 {
        crash_worker_of_first_task(&mut sim, job);
        for _ in 0..2 {
            let running = sim.workers_running(first_task(job)).into_iter().next();
            let idle = sim.workers.keys().find(|id| Some(id.as_str()) != running);
            let idle = idle.expect("a worker").clone();
            crash(&mut sim, &idle);
        }
        run(&mut sim, 500);
    }
    assert_eq!(sim.pool.state(job), Some(State::Running));
}

/// Returns a successor's pool whose predecessor had just ordered the fourth start of a suspect,
/// on `w0`.
fn take_over_after_a_start(starting_on: &[&str]) -> (Simulation, JobId) {
    let mut sim = Simulation::new(3);
    let job = JobId(1);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    let key = "0.0.0".to_owned();
    let mut progress = Progress { queue: "q".to_owned(), ..Progress::default() };
    progress.crashed.insert(key.clone(), vec![1, 2, 3, 4]);
    progress.starting.insert(key.clone(), vec![4]);
    if !starting_on.is_empty() {
        let workers = starting_on.iter().map(|id| (*id).to_owned()).collect();
        progress.starting_on.insert(key, workers);
    }
    // The roster names the instances that have answered.
    sim.list_workers();
    let locations = sim.pool.written_roster();
    sim.steps.insert(job, record.job.steps.clone());
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    (sim, job)
}

// Guards against counting a start that never arrived as a crash because another worker ended.
#[test]
fn accept_by_a_successor_after_a_start_while_another_worker_ends() {
    let (mut sim, job) = take_over_after_a_start(&["w0"]);
    crash(&mut sim, "w2");
    sim.run_for(15_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against not counting a start whose worker ended before it was asked.
#[test]
fn accept_by_a_successor_after_a_start_while_its_worker_ends() {
    let (mut sim, job) = take_over_after_a_start(&["w0"]);
    crash(&mut sim, "w0");
    sim.run_for(15_000);
    assert_eq!(sim.pool.state(job), Some(State::Failed));
}

// Guards against taking a record of an earlier version, which names no worker, for harmless.
#[test]
fn accept_by_a_successor_after_a_start_on_an_unnamed_worker() {
    let (mut sim, job) = take_over_after_a_start(&[]);
    crash(&mut sim, "w2");
    sim.run_for(15_000);
    assert_eq!(sim.pool.state(job), Some(State::Failed));
}
