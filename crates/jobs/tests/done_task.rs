//! A finished task with another run that fails.
#![allow(clippy::expect_used)]

mod common;

use std::collections::HashMap;

use common::{Simulation, first_task, step};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::Outcome;

// Guards against a job that is reported as failed although all its tasks can be done. A worker
// falls silent past its lease, and its task is started on another one. The first worker answers
// again and lists the task as done; the second run fails before it is stopped, and the failure
// counted against the finished task.
#[test]
fn task_failed_of_a_task_that_is_done() {
    let mut sim = Simulation::new(2);
    let queue = Queue { priority: 0, attempts: 1, ..Queue::default() };
    sim.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000), step(1, 1_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    let worker = sim.workers.get_mut(&holder).expect("a worker");
    worker.finish_run(first_task(job), Outcome::Done);
    worker.silent = true;
    sim.run_for(12_000);
    let second = sim.workers_running(first_task(job));
    assert_eq!(second.len(), 1, "the task was started elsewhere");
    let second = second[0].to_owned();
    assert_ne!(second, holder);

    sim.workers.get_mut(&holder).expect("a worker").silent = false;
    let key = sim.key(&holder);
    sim.poll(key);
    assert!(sim.pool.is_done(first_task(job)));
    sim.workers.get_mut(&second).expect("a worker").finish_run(first_task(job), Outcome::Failed);
    sim.now += 50;
    sim.poll_all();
    sim.write();
    assert_ne!(sim.pool.state(job), Some(State::Failed), "the task is done");
}
