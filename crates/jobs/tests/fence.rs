//! Orders for a former instance of a worker, carried out after the next one has started.

mod common;

use common::{FENCE, Simulation, at, first_task, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Answer, Connection, Order};
use corianderfork_jobs::record::State;

/// Runs a job to its end on a single worker, and returns the start of its task, which got no answer.
fn done_after_a_lost_start(sim: &mut Simulation, id: u64) -> (JobId, Order) {
    let job = sim.submit(id, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.run_for(2_500);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    (job, order)
}

/// Polls the worker over a new connection, and returns the fence of that poll.
fn poll_anew(sim: &mut Simulation, id: &str) -> u64 {
    let (key, _) = sim.pool.worker(id).expect("a worker");
    let now = sim.now;
    let poll = sim.pool.next_poll(at(now), key, Connection::New).expect("a poll");
    let worker = sim.workers.get_mut(id).expect("a worker");
    let answer = worker.handle_poll(now, poll.fence, poll.acked, poll.deadline_ms);
    sim.pool.handle_poll_answer(at(now), at(now), key, &answer);
    poll.fence
}

// Guards against a done task that runs again: one answer of the next instance has to be enough, as the
// first poll over a new connection may reach it.
#[test]
fn next_poll_over_a_new_connection() {
    let mut sim = Simulation::new(1);
    let (_, order) = done_after_a_lost_start(&mut sim, 1);
    sim.restart_worker_of(&order);
    assert!(poll_anew(&mut sim, &order.id) > order.fence);
    assert_eq!(sim.carry_out(&order), Answer::Fenced);
}

// Guards against tasks on an instance that still accepts starts for a former one: nothing was written
// between two restarts, so that there is no fence above those of the starts.
#[test]
fn plan_without_a_higher_fence() {
    let mut sim = Simulation::new(1);
    sim.workers.values_mut().for_each(|worker| worker.hides_birth = true);
    let (_, order) = done_after_a_lost_start(&mut sim, 1);
    let write = |sim: &mut Simulation| {
        sim.revision += 1;
        sim.pool.raise_fence(sim.revision);
    };
    let step_without_writes = |sim: &mut Simulation| {
        sim.now += 100;
        sim.poll_all();
        sim.plan()
    };
    for _ in 0..2 {
        sim.restart_worker_of(&order);
        sim.now += 100;
        poll_anew(&mut sim, &order.id);
        let id = 10 + sim.now;
        sim.submit(id, vec![step(1, 1_000)]);
        (0..3).for_each(|_| drop(step_without_writes(&mut sim)));
    }
    let running = |sim: &Simulation| sim.workers[&order.id].running.len();
    assert_eq!(running(&sim), 0, "the second restart leaves no fence to use");
    let locations = sim.pool.roster_update().expect("something has to be written");
    write(&mut sim);
    sim.pool.confirm_roster(locations);
    (0..3).for_each(|_| drop(step_without_writes(&mut sim)));
    assert!(running(&sim) > 0);
}

// Guards against a done task that runs again: its worker was taken for gone, and returns under its ID.
#[test]
fn set_workers_with_one_that_returns() {
    let mut sim = Simulation::new(1);
    let (_, order) = done_after_a_lost_start(&mut sim, 1);
    sim.restart_worker_of(&order);
    poll_anew(&mut sim, &order.id);
    let (job, order) = done_after_a_lost_start(&mut sim, 2);
    let registrations = std::mem::take(&mut sim.registrations);
    sim.workers.get_mut(&order.id).expect("a worker").silent = true;
    sim.pool.set_workers(at(sim.now), &[]);
    sim.run_for(20_000);
    assert!(sim.pool.worker(&order.id).is_none(), "it is gone");
    sim.restart_worker_of(&order);
    sim.registrations = registrations;
    for registration in &mut sim.registrations {
        registration.revision += 1_000;
        registration.born_ms = Some(sim.now);
    }
    sim.list_and_poll();
    sim.run_for(500);
    assert_eq!(sim.carry_out(&order), Answer::Fenced);
    assert!(sim.workers_running(first_task(job)).is_empty(), "it is done");
}

// Guards against an owner that gives its pool up because of a fence of its own: a start for a former
// instance is rejected by the next one.
#[test]
fn handle_order_answer_from_an_instance_with_a_higher_fence() {
    let mut sim = Simulation::new(1);
    let (_, order) = done_after_a_lost_start(&mut sim, 1);
    sim.restart_worker_of(&order);
    sim.list_and_poll();
    sim.run_for(500);
    let answer = sim.carry_out(&order);
    assert_eq!(answer, Answer::Fenced);
    sim.pool.handle_order_answer(at(sim.now), &order, &answer);
    assert!(!sim.pool.is_deposed());
    let (key, _) = sim.pool.worker(&order.id).expect("a worker");
    let newest = Order { worker: key, fence: sim.revision, ..order };
    sim.pool.handle_order_answer(at(sim.now), &newest, &Answer::Fenced);
    assert!(sim.pool.is_deposed(), "another owner has a higher one");
}

// Guards against a successor that is rejected: the fences of its predecessor are revisions of writes
// that were made before it took over.
#[test]
fn raise_fence_keeps_below_a_later_revision() {
    let mut sim = Simulation::new(1);
    let (_, order) = done_after_a_lost_start(&mut sim, 1);
    sim.restart_worker_of(&order);
    sim.list_and_poll();
    sim.run_for(500);
    let worker = &sim.workers[&order.id];
    assert!(worker.fence > FENCE && worker.fence <= sim.revision);
}
