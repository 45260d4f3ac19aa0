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
    for answer in [Answer::Unhealthy, Answer::Full, Answer::Refused, Answer::Ticket] {
        let mut sim = Simulation::new(2);
        sim.task_ms = 2_000;
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let first = sim.pool.plan(at(sim.now), 0).remove(0);
        sim.pool.note_sent(&first);
        let second = resent(&mut sim);
        assert_eq!((second.run, &second.id), (first.run, &first.id), "it is sent again");
        sim.pool.note_sent(&second);
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
        if is_sent {
            sim.pool.note_sent(&order);
        } else {
            order = resent(&mut sim);
        }
        sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unhealthy);
        let next = sim.pool.plan(at(sim.now), 0);
        let is_start = |order: &&Order| matches!(order.action, Action::Start { .. });
        let restarted = next.iter().find(is_start).expect("a start");
        assert_eq!(restarted.task, first_task(id));
    }
}
