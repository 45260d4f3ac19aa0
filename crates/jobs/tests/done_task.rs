//! A finished task with another run that fails.
#![allow(clippy::expect_used)]

mod common;

use std::collections::HashMap;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Action, Answer};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::{Exit, Outcome};

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

// Guards against starting more on a worker than it has room for: the start of a task is delayed on
// its way, the task is done elsewhere, and its room is given to another task before the worker has
// confirmed that it will not carry out the start.
#[test]
fn plan_keeps_the_room_of_a_pending_start_of_a_done_task() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![step(1, 8_000)]);
    let delayed = sim.pool.plan(at(sim.now), 0).pop().expect("an order");
    sim.pool.handle_order_answer(at(sim.now), &delayed, &Answer::Lost);
    let other = if delayed.id == "w0" { "w1" } else { "w0" };
    let done = Exit {
        number: 1,
        task: first_task(job),
        run: 3,
        outcome: Outcome::Done,
        saved: String::new(),
    };
    sim.workers.get_mut(other).expect("a worker").exits.push(done);
    sim.now += 50;
    sim.poll_all();
    assert!(sim.pool.is_done(first_task(job)));
    sim.now += 50;
    sim.poll_all();
    sim.submit(2, vec![step(2, 8_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    let starts = orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    let started_on: Vec<&str> = starts.map(|order| order.id.as_str()).collect();
    assert_eq!(started_on, [other], "the start may still be carried out on {}", delayed.id);
    for order in &orders {
        sim.send(order);
    }
    sim.send(&delayed);
    sim.run_for(2_000);
    assert_eq!(sim.max_cpu_used, 8_000);
    assert_eq!(sim.pool.state(JobId(2)), Some(State::Completed));
}
