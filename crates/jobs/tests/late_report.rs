//! Tests of reports that were made before something else that the pool knows.
#![allow(clippy::expect_used)]

mod common;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Order, Report};
use corianderfork_jobs::worker::Key;

const ROOM: Room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };

/// A report on its way to the owner.
struct Pending {
    key: Key,
    sent: u64,
    answer: Answer<Report>,
}

/// Lets a worker report, and withholds the answer.
fn request_report(sim: &mut Simulation, id: &str) -> Pending {
    let (key, sent) = (sim.key(id), sim.now);
    let connection = sim.connections.of(key);
    let poll = sim.pool.next_poll(at(sent), key, connection).expect("a poll");
    let worker = sim.workers.get_mut(id).expect("a worker");
    let answer = worker.handle_poll(sent, poll.fence, poll.acked, poll.deadline_ms);
    sim.now += 10;
    Pending { key, sent, answer }
}

fn deliver(sim: &mut Simulation, report: &Pending) {
    sim.now += 10;
    sim.pool.handle_poll_answer(at(sim.now), at(report.sent), report.key, &report.answer);
}

/// Lets a worker carry out an order and returns its answer.
fn carry_out(sim: &mut Simulation, order: &Order) -> Answer<u64> {
    let (now, task_ms) = (sim.now, sim.task_ms);
    let worker = sim.workers.get_mut(&order.id).expect("a worker");
    worker.handle_order(now, order, ROOM, task_ms)
}

fn plan(sim: &mut Simulation) -> Vec<Order> {
    sim.pool.plan(at(sim.now), 0)
}

/// Returns a pool of two workers, and the start order of the only task.
fn start() -> (Simulation, Order) {
    let mut sim = Simulation::new(2);
    sim.task_ms = 5_000;
    sim.submit(1, vec![step(1, 1_000)]);
    let order = plan(&mut sim).remove(0);
    (sim, order)
}

fn has_restarted(sim: &mut Simulation) -> bool {
    plan(sim).iter().any(|order| matches!(order.action, Action::Start { .. }))
}

// Guards against a task that runs on two workers: a report made before its start, and delivered after
// the answer to it, doesn't list the run.
#[test]
fn handle_poll_answer_older_than_a_confirmed_start() {
    let (mut sim, order) = start();
    let report = request_report(&mut sim, &order.id);
    let answer = carry_out(&mut sim, &order);
    sim.pool.handle_order_answer(at(sim.now), &order, &answer);
    deliver(&mut sim, &report);
    assert!(!has_restarted(&mut sim));
}

// Guards against the same for a run that is being stopped: it may have begun between the two.
#[test]
fn handle_poll_answer_older_than_a_confirmed_stop() {
    let (mut sim, order) = start();
    let second = loop {
        sim.now += 100;
        if let Some(order) = plan(&mut sim).pop() {
            break order;
        }
        sim.poll_all();
    };
    sim.pool.handle_order_answer(at(sim.now), &second, &Answer::Full);
    let stop = plan(&mut sim).pop().expect("a stop");
    assert_eq!(stop.action, Action::Stop);
    let report = request_report(&mut sim, &order.id);
    carry_out(&mut sim, &order);
    sim.pool.handle_order_answer(at(sim.now), &stop, &Answer::Done(sim.now));
    deliver(&mut sim, &report);
    assert!(!has_restarted(&mut sim), "the run is on until its worker lists the end");
}

// Guards against the same where the next instance of the worker made the report, and carried out
// the start afterwards.
#[test]
fn handle_poll_answer_of_the_next_instance_older_than_a_confirmed_start() {
    let (mut sim, order) = start();
    let now = sim.now;
    sim.workers.get_mut(&order.id).expect("a worker").restart(now);
    sim.connections = common::Connections::default();
    let report = request_report(&mut sim, &order.id);
    let answer = carry_out(&mut sim, &order);
    sim.pool.handle_order_answer(at(sim.now), &order, &answer);
    deliver(&mut sim, &report);
    assert!(!has_restarted(&mut sim));
    for _ in 0..30 {
        sim.run_for(100);
        let running = sim.workers_running(first_task(corianderfork_jobs::JobId(1)));
        assert!(running.len() <= 1, "it runs on {running:?}");
    }
}
