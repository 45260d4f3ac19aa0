//! Saved progress of a task whose owner is replaced before the task resumes.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::Job;
use corianderfork_jobs::pool::{Action, Connection};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::Outcome;

// Guards against a task that restarts from the beginning although it had saved its progress: a
// run is stopped and lists its saved progress, the worker is allowed to forget it, and the
// owner dies before the task runs elsewhere. Only the owner's memory had the progress.
#[test]
fn next_poll_acks_saved_progress_only_once_it_is_written() {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.task_ms = 60_000;
    sim.run_for(500);
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.finish_run(first_task(job), Outcome::Stopped);
    worker.exits.last_mut().expect("an end").saved = "half".to_owned();
    sim.now += 100;
    sim.poll_all();
    sim.write();
    let key = sim.key("w0");
    let acked = sim.pool.next_poll(at(sim.now), key, Connection::Kept).expect("a poll").acked;
    let is_written = sim.progress.get(&job).is_some_and(|p| format!("{p:?}").contains("half"));
    assert!(acked == 0 || is_written, "only this owner has the saved progress");
}

#[test]
fn accept_by_a_successor_resumes_from_saved_progress() {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.task_ms = 60_000;
    sim.run_for(500);
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.finish_run(first_task(job), Outcome::Stopped);
    worker.exits.last_mut().expect("an end").saved = "half".to_owned();
    sim.now += 100;
    sim.poll_all();
    sim.now += 200;
    sim.write();
    let progress = sim.progress.get(&job).expect("a record").clone();

    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    sim.list_and_poll();
    let orders = sim.plan();
    let starts = orders.iter().filter_map(|order| match &order.action {
        Action::Start { saved, .. } => Some(saved.to_string()),
        _ => None,
    });
    assert_eq!(starts.collect::<Vec<_>>(), ["half"]);
}
