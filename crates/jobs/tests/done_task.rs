//! A task that is done, and another run of it that fails.
#![allow(clippy::expect_used)]

mod common;

use std::collections::HashMap;

use common::{World, first, step};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::Outcome;

#[test]
fn task_failed_of_a_task_that_is_done() {
    // Symptom: a job is shown as failed though each of its tasks can be done.
    // Sequence: a worker falls silent past its lease, and its task is started on
    //   another; the first answers again and lists that the task was done; the
    //   second run fails before its stop arrives.
    // Cause: a failed run counts against a task that is done.
    let mut world = World::new(2);
    let queue = Queue { priority: 0, attempts: 1, ..Queue::default() };
    world.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    world.takes = 60_000;
    let job = world.submit(1, vec![step(1, 1_000), step(1, 1_000)]);
    world.plan();
    let holder = world.where_runs(first(job))[0].to_owned();
    let worker = world.workers.get_mut(&holder).expect("a worker");
    worker.end(first(job), Outcome::Done);
    worker.silent = true;
    world.run(12_000);
    let second = world.where_runs(first(job));
    assert_eq!(second.len(), 1, "it was started elsewhere");
    let second = second[0].to_owned();
    assert_ne!(second, holder);

    world.workers.get_mut(&holder).expect("a worker").silent = false;
    let key = world.key(&holder);
    world.look_at(key);
    assert!(world.pool.is_done(first(job)));
    world.workers.get_mut(&second).expect("a worker").end(first(job), Outcome::Failed);
    world.now += 50;
    world.look();
    world.write();
    assert_ne!(world.pool.state(job), Some(State::Failed), "the task is done");
}
