//! Tests of workers that start again under their IDs.

mod common;

use std::collections::BTreeSet;

use common::{Simulation, at, first_task, registration, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Connection, Order};
use corianderfork_jobs::record::State;
use corianderfork_jobs::worker::Location;

/// Returns the number of runs that were started of all tasks of the jobs so far.
fn started_runs(sim: &Simulation) -> usize {
    let starts = sim.orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    starts.map(|order| order.run).collect::<BTreeSet<u64>>().len()
}

/// Restarts a worker under its ID now.
fn restart(sim: &mut Simulation, id: &str) {
    let now = sim.now;
    sim.workers.get_mut(id).expect("a worker").restart(now);
}

/// Lets the worker carry out an order without an answer.
fn carry_out_unanswered(sim: &mut Simulation, order: &Order) {
    let (now, task_ms) = (sim.now, sim.task_ms);
    let room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };
    let worker = sim.workers.get_mut(&order.id).expect("a worker");
    worker.handle_order(now, order, room, task_ms);
}

/// Advances by `millis` and asserts that the task never runs on two workers at once.
fn run_and_check_single(sim: &mut Simulation, millis: u64, name: corianderfork_jobs::task::Name) {
    for _ in 0..millis / 100 {
        sim.run_for(100);
        let running = sim.workers_running(name);
        assert!(running.len() <= 1, "at {} ms it runs on {running:?}", sim.now);
    }
}

// Guards against a done task that runs again: the exits of a worker that started again under its
// ID were taken for those of its former instance, and acknowledged unread.
#[test]
fn handle_poll_answer_after_a_restart_with_fewer_exits() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(1, vec![step(4, 1_000)]);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(first), Some(State::Completed));
    restart(&mut sim, "w0");
    sim.list_and_poll();
    let second = sim.submit(2, vec![step(2, 1_000)]);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(second), Some(State::Completed));
    assert_eq!(started_runs(&sim), 6, "a task ran again");
}

// Guards against a task that runs on two workers: its start was on its way as the worker
// restarted, the new instance carried it out, and the task counted as lost with the former one.
#[test]
fn handle_poll_answer_after_a_restart_lists_an_unconfirmed_start() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    restart(&mut sim, &orders[0].id);
    carry_out_unanswered(&mut sim, &orders[0]);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    run_and_check_single(&mut sim, 6_000, first_task(id));
    assert_eq!(sim.pool.state(id), Some(State::Completed));
    assert_eq!(started_runs(&sim), 0, "it was started again");
}

// Guards against the same if the start arrives only after the new instance was first heard.
#[test]
fn plan_while_a_start_may_reach_the_next_instance() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    restart(&mut sim, &orders[0].id);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    sim.poll_all();
    sim.poll_all();
    sim.plan();
    carry_out_unanswered(&mut sim, &orders[0]);
    run_and_check_single(&mut sim, 8_000, first_task(id));
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a task that runs on two workers: a start that was sent twice, and answered once,
// counted as settled, so that its other copy could still start the task on the next instance.
#[test]
fn handle_poll_answer_after_a_restart_with_an_earlier_copy_of_a_start() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    sim.run_for(1_000);
    assert_eq!(sim.running_count(), 1, "the second copy was carried out");
    restart(&mut sim, &orders[0].id);
    sim.run_for(300);
    carry_out_unanswered(&mut sim, &orders[0]);
    run_and_check_single(&mut sim, 8_000, first_task(id));
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a task that runs on two workers: its worker was removed as ended while a copy of
// its start was on its way, and the next instance under that ID carried it out.
#[test]
fn remove_ended_worker_while_a_start_may_reach_the_next_instance() {
    for is_resent in [false, true] {
        let mut sim = Simulation::new(2);
        sim.task_ms = 3_000;
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let orders = sim.pool.plan(at(sim.now), 0);
        let place = orders[0].id.clone();
        sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
        if is_resent {
            sim.run_for(1_000);
            assert_eq!(sim.running_count(), 1, "the second copy was carried out");
        }
        sim.workers.get_mut(&place).expect("a worker").silent = true;
        sim.run_for(3_000);
        sim.pool.remove_ended_worker(at(sim.now), &place);
        sim.run_for(300);
        restart(&mut sim, &place);
        carry_out_unanswered(&mut sim, &orders[0]);
        sim.list_and_poll();
        run_and_check_single(&mut sim, 12_000, first_task(id));
        assert_eq!(sim.pool.state(id), Some(State::Completed));
    }
}

// Guards against the same where the VM of the worker was maintained.
#[test]
fn remove_gone_worker_while_a_start_may_reach_the_next_instance() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    let place = orders[0].id.clone();
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    let all = sim.registrations.clone();
    sim.registrations.retain(|entry| entry.id != place);
    sim.workers.get_mut(&place).expect("a worker").silent = true;
    sim.list_workers();
    sim.pool.remove_gone_worker(at(sim.now), &place);
    sim.run_for(300);
    sim.registrations = all;
    restart(&mut sim, &place);
    carry_out_unanswered(&mut sim, &orders[0]);
    sim.list_and_poll();
    run_and_check_single(&mut sim, 12_000, first_task(id));
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a task that runs on two workers: its worker was cut off from the store, and an
// entry that was written at its address before it started was taken for that of a later worker.
#[test]
fn set_workers_with_another_entry_at_the_address() {
    for is_later in [false, true] {
        let mut sim = Simulation::new(2);
        sim.task_ms = 2_500;
        let id = sim.submit(1, vec![step(1, 1_000)]);
        sim.run_for(300);
        let place = sim.workers_running(first_task(id))[0].to_owned();
        let at_address = sim.registrations.iter_mut().find(|entry| entry.id == place);
        let entry = at_address.expect("an entry");
        entry.id = "other".to_owned();
        let mut other = common::Worker::default();
        other.silent = true;
        sim.workers.insert(entry.id.clone(), other);
        entry.revision = if is_later { entry.revision + 1 } else { entry.revision - 2 };
        sim.list_workers();
        assert_eq!(sim.pool.worker(&place).is_none(), is_later);
        if !is_later {
            run_and_check_single(&mut sim, 3_000, first_task(id));
            assert_eq!(sim.pool.state(id), Some(State::Completed));
            assert_eq!(started_runs(&sim), 1, "it was started again");
        }
    }
}

// Guards against the same for a worker that only the roster of a former owner names.
#[test]
fn set_workers_with_an_entry_older_than_the_roster() {
    let location = registration("w0", 9_000, "r0");
    let inherited = Location { id: location.id, address: location.address, born_ms: None };
    let mut pool = common::owner(common::FENCE, 0);
    pool.set_roster(vec![inherited], 5);
    let mut other = registration("other", 9_000, "r0");
    other.revision = 5;
    pool.set_workers(at(0), std::slice::from_ref(&other));
    assert!(pool.worker("w0").is_some(), "the other entry may be older");
    other.revision = 6;
    pool.set_workers(at(0), &[other]);
    assert!(pool.worker("w0").is_none());
}

// Guards against a task that runs on two workers: its worker had started again under its ID and
// answered, then a connection broke, and the list still lacked it.
#[test]
fn remove_ended_worker_that_has_answered_since() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 6_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(500);
    let place = sim.workers_running(first_task(id))[0].to_owned();
    sim.workers.get_mut(&place).expect("a worker").silent = true;
    sim.run_for(300);
    sim.pool.remove_ended_worker(at(sim.now), &place);
    sim.workers.get_mut(&place).expect("a worker").silent = false;
    run_and_check_single(&mut sim, 8_000, first_task(id));
    assert_eq!(started_runs(&sim), 1, "it was started again");
}

// Guards against tasks that wait for a start of another one: of the runs of an ended worker, only
// those whose starts may still arrive are kept.
#[test]
fn remove_ended_worker_releases_runs_whose_starts_are_settled() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 20_000;
    let settled = sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(500);
    let pending = sim.submit(2, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    sim.registrations.push(registration("w1", 9_001, "r1"));
    sim.workers.insert("w1".to_owned(), common::Worker::default());
    sim.list_and_poll();
    sim.run_for(3_000);
    sim.pool.remove_ended_worker(at(sim.now), "w0");
    sim.run_for(500);
    assert!(sim.workers_running(first_task(settled)).contains(&"w1"));
    assert!(!sim.workers_running(first_task(pending)).contains(&"w1"));
    sim.run_for(10_000);
    assert!(sim.workers_running(first_task(pending)).contains(&"w1"), "its lease has ended");
}

// Guards against a task that runs on two workers: a deadline on the clock of the former instance
// is far ahead on that of the new one, whose lease outlasts what its owner waits for.
#[test]
fn plan_after_a_start_with_a_deadline_of_the_former_instance() {
    for is_answered in [true, false] {
        let mut sim = Simulation::new(2);
        sim.task_ms = 20_000;
        sim.run_for(50_000);
        let id = sim.submit(1, vec![step(1, 1_000)]);
        let orders = sim.pool.plan(at(sim.now), 0);
        let place = orders[0].id.clone();
        restart(&mut sim, &place);
        if is_answered {
            sim.send(&orders[0]);
        } else {
            carry_out_unanswered(&mut sim, &orders[0]);
            sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
            sim.poll_all();
            sim.poll_all();
        }
        sim.workers.get_mut(&place).expect("a worker").silent = true;
        run_and_check_single(&mut sim, 14_000, first_task(id));
        assert!(!sim.workers_running(first_task(id)).contains(&place.as_str()));
        assert_eq!(sim.running_count(), 1, "it runs on the other worker");
    }
}

// Guards against a task on a worker that may not run it: a new instance may be of another kind and
// size, and the entry of the former one is still listed.
#[test]
fn set_workers_with_the_entry_of_a_former_instance() {
    let mut sim = Simulation::new(1);
    sim.registrations[0].born_ms = Some(0);
    sim.list_and_poll();
    sim.run_for(100);
    restart(&mut sim, "w0");
    sim.poll_all();
    sim.poll_all();
    sim.list_and_poll();
    let id = sim.submit(1, vec![step(1, 1_000)]);
    assert!(sim.plan().is_empty(), "the new instance has no entry yet");
    sim.registrations[0].born_ms = Some(sim.now);
    sim.list_and_poll();
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a worker that is kept out for seconds after it has started again: its entry
// counted as one of the instance that had ended.
#[test]
fn set_workers_after_an_ended_worker_started_again() {
    let mut sim = Simulation::new(1);
    sim.registrations[0] = registration("w0", 9_000, "r0");
    sim.registrations[0].born_ms = Some(0);
    sim.list_and_poll();
    let listed = std::mem::take(&mut sim.registrations);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    sim.list_workers();
    while sim.pool.workers().count() > 0 {
        sim.run_for(100);
        assert!(sim.now < 20_000, "it counts as alive for ever");
    }
    sim.registrations = listed;
    sim.list_workers();
    assert_eq!(sim.pool.workers().count(), 0, "its entry is a late one");
    restart(&mut sim, "w0");
    sim.registrations[0].born_ms = Some(sim.now);
    sim.list_workers();
    assert_eq!(sim.pool.workers().count(), 1);
}

// Guards against a task that crashes one worker after the other without end: a crashed worker that
// starts again under its ID never goes away, and its crashes weren't counted.
#[test]
fn handle_poll_answer_counts_the_crash_of_a_restarted_worker() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 5_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    for _ in 0..200 {
        sim.run_for(100);
        let running = sim.workers_running(first_task(id));
        let crashed: Vec<String> = running.into_iter().map(str::to_owned).collect();
        crashed.iter().for_each(|id| restart(&mut sim, id));
    }
    assert_eq!(sim.pool.state(id), Some(State::Failed));
}

// Guards against a task that runs on two workers: the answer to the order that maintained a VM came
// late, and the new instance of its worker, which had work again, was taken for the one that ended.
#[test]
fn remove_gone_worker_after_it_started_again() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    restart(&mut sim, "w0");
    sim.run_for(300);
    let id = sim.submit(1, vec![step(12, 1_000)]);
    sim.run_for(200);
    assert!(!sim.workers["w0"].running.is_empty());
    sim.pool.remove_gone_worker(at(sim.now), "w0");
    run_and_check_single(&mut sim, 6_000, first_task(id));
    assert_eq!(sim.pool.state(id), Some(State::Completed));
    assert_eq!(started_runs(&sim), 12, "a task was started again");
}

// Guards against a worker that idles for ever after it has started again at another address: it was
// polled at the former one.
#[test]
fn set_workers_with_another_address_of_a_worker() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 30_000;
    let id = sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(300);
    // The simulated worker answers at its new address only.
    sim.registrations[0].address.set_port(9_999);
    restart(&mut sim, "w0");
    let former = sim.key("w0");
    sim.list_and_poll();
    assert_ne!(sim.key("w0"), former);
    let poll = sim.pool.next_poll(at(sim.now), sim.key("w0"), Connection::New).expect("a poll");
    assert_eq!(poll.address.port(), 9_999);
    for _ in 0..120 {
        sim.now += 100;
        let now = at(sim.now);
        if sim.pool.next_poll(now, former, Connection::New).is_some() {
            sim.pool.handle_poll_answer(now, now, former, &Answer::Lost);
        }
        sim.poll(sim.key("w0"));
        sim.plan();
        sim.write();
    }
    assert!(sim.pool.next_poll(at(sim.now), former, Connection::New).is_none(), "it has ended");
    assert_eq!(sim.workers_running(first_task(id)), ["w0"]);
}
