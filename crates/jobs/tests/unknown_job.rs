//! Runs and ends of jobs that the owner doesn't know, or not yet.
#![allow(clippy::expect_used)]

mod common;

use common::{World, at, first, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::Outcome;
use corianderfork_model::Time;

/// The number of a run that an owner before started.
const RUN: u64 = 3;
/// Longer than any pause in which a job that is on its way becomes known.
const OUTAGE: u64 = 9_000;

/// A worker that runs the first task of job 9, of which the owner hasn't heard.
fn world() -> (World, JobId) {
    let mut world = World::new(1);
    let job = JobId(9);
    let room = step(1, 1_000).room();
    let run =
        common::ActiveRun { run: RUN, room, ends: u64::MAX, began: 0, percent: Some(0), gauge: 0 };
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.running.insert(first(job), run);
    worker.deadline = u64::MAX;
    world.steps.insert(job, vec![step(1, 1_000)]);
    (world, job)
}

/// The last end that the worker may forget.
fn seen(world: &mut World) -> u64 {
    let key = world.key("w0");
    world.pool.next_poll(at(world.now), key).expect("a poll").acked
}

#[test]
fn take_end_of_a_job_that_is_not_told_for_long() {
    // Symptom: a task that was done runs a second time.
    // Sequence: a caller's job is accepted while its pool's owner is replaced; the
    //   owner before hears of it first and starts it; the successor has read the
    //   accepted jobs before, and learns of the task's end from its worker; the
    //   store goes away for nine seconds, then tells of the job.
    // Cause: after four seconds without news the job was taken not to be there,
    //   and its worker was let forget the end, though nobody had been asked.
    let (mut world, job) = world();
    world.workers.get_mut("w0").expect("a worker").end(first(job), Outcome::Done);
    world.run(OUTAGE);
    assert_eq!(seen(&mut world), 0, "the worker may forget an end that nobody took in");
    world.submit(9, vec![step(1, 1_000)]);
    world.run(300);
    assert_eq!(world.pool.state(job), Some(State::Completed));
    assert!(world.orders.is_empty(), "it had been done: {:?}", world.orders);
}

#[test]
fn plan_leaves_a_run_alone_whose_job_is_not_told_for_long() {
    // Symptom: a task that lasts is stopped and started anew, though its worker
    //   was sound and nobody had cancelled it.
    // Sequence: as above, but the task still runs when the successor looks.
    // Cause: a run of a job that isn't known is stopped after 1.5 seconds, whether
    //   or not the store could tell of the job meanwhile.
    let (mut world, job) = world();
    world.run(OUTAGE);
    assert!(world.orders.is_empty(), "stopped unasked: {:?}", world.orders);
    world.submit(9, vec![step(1, 1_000)]);
    world.run(300);
    assert_eq!(world.where_runs(first(job)), ["w0"]);
    assert!(!world.orders.iter().any(|order| matches!(order.action, Action::Stop)));
}

#[test]
fn take_end_of_a_job_that_is_not_there() {
    // Symptom: a worker lists an end for ever, and each look at it returns at once.
    // Sequence: a run ends whose job was forgotten long ago.
    // Cause: an end of a job that nobody will ever tell of is waited for.
    let (mut world, job) = world();
    world.workers.get_mut("w0").expect("a worker").end(first(job), Outcome::Done);
    world.run(OUTAGE);
    world.pool.set_jobs_known_until(at(world.now));
    world.run(200);
    assert_eq!(seen(&mut world), 1);
}

#[test]
fn plan_stops_a_run_whose_job_is_not_there() {
    // Symptom: a run takes room on a worker for ever.
    // Sequence: its job was cancelled and forgotten while its worker was cut off.
    // Cause: a run of a job that nobody will ever tell of is left alone.
    let (mut world, job) = world();
    world.run(OUTAGE);
    world.pool.set_jobs_known_until(at(world.now));
    world.run(200);
    assert!(world.where_runs(first(job)).is_empty());
}

#[test]
fn plan_leaves_a_run_alone_that_came_after_the_last_news() {
    // Symptom: a run is stopped that nobody took back.
    // Sequence: the store tells all jobs, then goes away; a worker that answers
    //   again lists a run of a job that was accepted since.
    // Cause: news from before the run was first seen says nothing of its job.
    let (mut world, job) = world();
    world.pool.set_jobs_known_until(Time::from_millis(999));
    world.run(OUTAGE);
    assert_eq!(world.where_runs(first(job)), ["w0"]);
}
