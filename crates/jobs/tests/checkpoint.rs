//! Progress that a run saved, and an owner that ends before the task goes on.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, World, at, first, owner, step};
use corianderfork_jobs::Job;
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::Outcome;

#[test]
fn next_look_lets_forget_saved_progress_only_once_it_is_kept() {
    // Symptom: a task that had saved its progress begins anew.
    // Sequence: a run is stopped and lists what it saved; its worker is let forget
    //   that; before the task goes on elsewhere its owner ends; the successor finds
    //   nothing of it, neither at the worker nor in the store.
    // Cause: saved progress is held in the owner's memory alone.
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.takes = 60_000;
    world.run(500);
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.end(first(job), Outcome::Stopped);
    worker.ended.last_mut().expect("an end").saved = "half".to_owned();
    world.now += 100;
    world.look();
    world.write();
    let key = world.key("w0");
    let seen = world.pool.next_poll(at(world.now), key).expect("a poll").acked;
    let is_written = world.progress.get(&job).is_some_and(|p| format!("{p:?}").contains("half"));
    assert!(seen == 0 || is_written, "nobody but this owner has what was saved");
}

#[test]
fn accept_by_a_successor_goes_on_from_saved_progress() {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.takes = 60_000;
    world.run(500);
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.end(first(job), Outcome::Stopped);
    worker.ended.last_mut().expect("an end").saved = "half".to_owned();
    world.now += 100;
    world.look();
    world.now += 200;
    world.write();
    let progress = world.progress.get(&job).expect("a record").clone();

    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    world.settle();
    let orders = world.plan();
    let starts = orders.iter().filter_map(|order| match &order.action {
        Action::Start { saved, .. } => Some(saved.to_string()),
        _ => None,
    });
    assert_eq!(starts.collect::<Vec<_>>(), ["half"]);
}
