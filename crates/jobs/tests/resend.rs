//! Tests of starts that are sent again while an earlier copy is on its way.

mod common;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Order};
use corianderfork_jobs::record::State;

/// Returns the first order that is sent from now on, within a second.
fn resent(sim: &mut Simulation) -> Order {
    for _ in 0..10 {
        sim.now += 100;
        sim.poll_all();
        if let Some(order) = sim.pool.plan(at(sim.now), 0).pop() {
            return order;
        }
    }
    panic!("nothing is sent");
}

// Guards against a task that runs on two workers: a second copy of its start was refused, or
// returned unsent, while the first one was on its way, and the start counted as never carried out.
#[test]
fn handle_order_answer_of_a_copy_while_the_first_is_in_flight() {
    for answer in [Answer::Unsent, Answer::Unhealthy, Answer::Full, Answer::Refused, Answer::Ticket]
    {
        let mut sim = Simulation::new(2);
        sim.task_ms = 2_000;
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let first = sim.pool.plan(at(sim.now), 0).remove(0);
        let second = resent(&mut sim);
        assert_eq!((second.run, &second.id), (first.run, &first.id), "it is sent again");
        sim.pool.handle_order_answer(at(sim.now), &second, &answer);
        sim.run_for(300);
        let room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };
        let (now, task_ms) = (sim.now, sim.task_ms);
        let worker = sim.workers.get_mut(&first.id).expect("a worker");
        worker.handle_order(now, &first, room, task_ms);
        sim.pool.handle_order_answer(at(sim.now), &first, &Answer::Lost);
        for _ in 0..60 {
            let running = sim.workers_running(first_task(id));
            assert!(running.len() <= 1, "after {answer:?} it runs on {running:?}");
            sim.run_for(100);
        }
        assert_eq!(sim.pool.state(id), Some(State::Completed), "after {answer:?}");
    }
}

// Guards against a task that waits for a stop although no copy of its start is on its way: one that
// was refused and, behind other orders to its worker, two that were never sent.
#[test]
fn handle_order_answer_of_the_only_copies() {
    for is_sent in [true, false] {
        let mut sim = Simulation::new(2);
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let mut order = sim.pool.plan(at(sim.now), 0).remove(0);
        if !is_sent {
            sim.pool.handle_unsent(&order);
            order = resent(&mut sim);
        }
        sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unhealthy);
        let next = sim.pool.plan(at(sim.now), 0);
        let is_start = |order: &&Order| matches!(order.action, Action::Start { .. });
        let restarted = next.iter().find(is_start).expect("a start");
        assert_eq!(restarted.task, first_task(id));
    }
}

// Guards against a task that starts elsewhere since the pool wasn't told what became of a copy: one
// counts as on its way from when it is issued.
#[test]
fn plan_while_a_copy_is_not_reported() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![step(1, 1_000)]);
    let first = sim.pool.plan(at(sim.now), 0).remove(0);
    let second = resent(&mut sim);
    sim.pool.handle_order_answer(at(sim.now), &second, &Answer::Unhealthy);
    let next = sim.pool.plan(at(sim.now), 0);
    assert_eq!(next.len(), 1, "{next:?}");
    assert_eq!((&next[0].id, &next[0].action), (&first.id, &Action::Stop));
}

// Guards against a run that is stopped for a copy of its start that was never sent: the copy before
// may have started it, and its answer tells.
#[test]
fn handle_order_answer_of_an_unsent_copy() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 2_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    let first = sim.pool.plan(at(sim.now), 0).remove(0);
    let second = resent(&mut sim);
    sim.pool.handle_order_answer(at(sim.now), &second, &Answer::Unsent);
    assert!(sim.pool.plan(at(sim.now), 0).is_empty());
    sim.send(&first);
    sim.run_for(4_000);
    assert_eq!(sim.pool.state(id), Some(State::Completed));
    assert_eq!(sim.pool.take_notes().iter().filter(|note| note.event == "task ordered").count(), 1);
}

// Guards against a task that runs twice, or never: an answer that the protocol doesn't name was taken
// as proof that the run hadn't begun. Whether it has, the next report tells.
#[test]
fn handle_order_answer_that_is_unclear() {
    for is_carried_out in [true, false] {
        let mut sim = Simulation::new(2);
        sim.task_ms = 1_000;
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let order = sim.pool.plan(at(sim.now), 0).remove(0);
        if is_carried_out {
            let room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };
            let (now, task_ms) = (sim.now, sim.task_ms);
            let worker = sim.workers.get_mut(&order.id).expect("a worker");
            worker.handle_order(now, &order, room, task_ms);
        }
        sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unclear);
        assert!(sim.pool.plan(at(sim.now), 0).is_empty(), "no report has told whether it runs");
        for _ in 0..40 {
            let running = sim.workers_running(first_task(id));
            assert!(running.len() <= 1, "it runs on {running:?}");
            sim.run_for(100);
        }
        assert_eq!(sim.pool.state(id), Some(State::Completed), "carried out: {is_carried_out}");
    }
}
