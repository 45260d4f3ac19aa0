//! Tests of runs whose tasks are done elsewhere.
#![allow(clippy::expect_used)]

mod common;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::task::Outcome;

/// The room of a worker, which one task needs.
const ALL_CPU: u64 = 8_000;

fn is_start(order: &Order) -> bool {
    matches!(order.action, Action::Start { .. })
}

/// Lets the worker of a task end it unheard, and waits until the task is started on the other one
/// while a poll of that one is under way. Before the poll is answered, the first worker lists the end.
fn end_unheard_and_restart(sim: &mut Simulation, job: JobId, first: &str, second: &str) {
    sim.workers.get_mut(first).expect("a worker").silent = true;
    let now = sim.now;
    let worker = sim.workers.get_mut(first).expect("a worker");
    worker.advance(now);
    worker.finish_run(first_task(job), Outcome::Done);
    let mut has_started = false;
    while !has_started {
        let (key, sent) = (sim.key(second), sim.now);
        let connection = sim.connections.of(key);
        let poll = sim.pool.next_poll(at(sent), key, connection).expect("a poll");
        let worker = sim.workers.get_mut(second).expect("a worker");
        let report = worker.handle_poll(sim.now, poll.fence, poll.acked, poll.deadline_ms);
        sim.now += 50;
        has_started = sim.plan().iter().any(is_start);
        if has_started {
            sim.workers.get_mut(first).expect("a worker").silent = false;
        }
        sim.now += 10;
        sim.poll(sim.key(first));
        sim.now += 10;
        sim.pool.handle_poll_answer(at(sim.now), at(sent), key, &report);
    }
}

// Guards against a worker over its room (LIMIT): a run whose task was done elsewhere was released by
// the answer to a poll that was sent before the run had started.
#[test]
fn handle_poll_answer_sent_before_the_start_of_a_stray() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 20_000;
    let job = sim.submit(1, vec![step(1, ALL_CPU)]);
    sim.run_for(300);
    let first = sim.workers_running(first_task(job))[0].to_owned();
    let second = if first == "w0" { "w1" } else { "w0" };
    end_unheard_and_restart(&mut sim, job, &first, second);
    assert_eq!(sim.workers_running(first_task(job)), [second]);
    sim.registrations.retain(|entry| entry.id == second);
    sim.list_workers();
    sim.submit(2, vec![step(1, ALL_CPU)]);
    sim.plan();
    let running = sim.workers[second].running.len();
    assert!(running <= 1, "{running} runs that each need all of the room of {second}");
}
