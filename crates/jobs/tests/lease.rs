//! Leases that an instance of a worker may hold, whichever clock their deadlines were meant for. Each
//! test is a row of the table in `corianderfork_jobs::lease`.

mod common;

use std::time::Duration;

use common::{FENCE, MAX_LEASE_MS, MAX_LISTED_EXITS, Simulation, at, first_task, owner, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Answer, Order};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::{Exit, Outcome};

/// The clock of a worker that has run for a while, in milliseconds: a deadline on it is further ahead
/// on the clock of the next instance than the longest lease.
const FORMER_CLOCK_MS: u64 = 50_000;
/// Longer than any lease, and what its owner waits beyond.
const LONG_MS: u64 = 2 * MAX_LEASE_MS;

/// Returns a pool of two workers whose clocks are far ahead, and the start of a long task that its
/// worker hasn't received yet.
fn ordered() -> (Simulation, JobId, Order) {
    let mut sim = Simulation::new(2);
    sim.task_ms = 100_000;
    sim.run_for(FORMER_CLOCK_MS);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    (sim, job, order)
}

fn silence(sim: &mut Simulation, id: &str) {
    sim.workers.get_mut(id).expect("a worker").silent = true;
}

/// Replaces the owner, which is killed, by one that waits until `inherited_until` for its leases.
fn take_over(sim: &mut Simulation, inherited_until: u64) {
    let locations = sim.pool.written_roster();
    let job = corianderfork_jobs::Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job");
    let record =
        Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None };
    sim.pool = owner(FENCE + 50, inherited_until - MAX_LEASE_MS);
    sim.connections = common::Connections::default();
    sim.pool.set_roster(locations, 0);
    sim.pool.accept(at(sim.now), Duration::ZERO, JobId(1), &record, None, FENCE + 1);
    sim.list_workers();
}

/// Asserts that the task runs on one worker at a time, and on another one in the end.
fn assert_single_and_restarted(mut sim: Simulation, job: JobId, former: &str) {
    let name = first_task(job);
    for _ in 0..LONG_MS / 100 {
        sim.run_for(100);
        let running = sim.workers_running(name);
        assert!(running.len() <= 1, "at {} ms it runs on {running:?}", sim.now);
    }
    let running = sim.workers_running(name);
    assert_eq!(running.len(), 1, "its lease has ended, and it was started elsewhere");
    assert_ne!(running, [former]);
}

// Guards against a task on two workers: the next instance took a start for the former one, and its
// owner, which got no answer and heard no more from it, waited for the lease that it had meant.
#[test]
fn plan_after_a_start_without_an_answer() {
    let (mut sim, job, order) = ordered();
    sim.restart_worker_of(&order);
    sim.carry_out(&order);
    silence(&mut sim, &order.id);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against the same where the answer is still awaited as the lease ends that was meant: an owner
// that was stopped plans before it notices that its order has timed out.
#[test]
fn plan_while_the_answer_to_a_start_is_awaited() {
    let (mut sim, job, order) = ordered();
    sim.restart_worker_of(&order);
    sim.carry_out(&order);
    silence(&mut sim, &order.id);
    sim.run_for(MAX_LEASE_MS - 1_000);
    assert_eq!(sim.workers_running(first_task(job)), [order.id.as_str()]);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against the same where the instance refused the start: it takes the deadline all the same.
#[test]
fn plan_after_a_refused_start() {
    let (mut sim, job, order) = ordered();
    let other = sim.registrations.iter().position(|entry| entry.id != order.id).expect("another");
    sim.restart_worker_of(&order);
    sim.workers.get_mut(&order.id).expect("a worker").deadline = MAX_LEASE_MS;
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Full);
    sim.registrations[other].draining = true;
    sim.list_and_poll();
    sim.run_for(500);
    assert_eq!(sim.workers_running(first_task(job)), [order.id.as_str()]);
    silence(&mut sim, &order.id);
    sim.registrations[other].draining = false;
    sim.list_workers();
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against the same where the start arrived some time after the instance was first heard.
#[test]
fn plan_after_a_start_that_arrives_behind_a_restart() {
    let (mut sim, job, order) = ordered();
    sim.restart_worker_of(&order);
    sim.poll_all();
    sim.poll_all();
    sim.now += 1_000;
    sim.carry_out(&order);
    silence(&mut sim, &order.id);
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against a task on two workers: an owner that was killed had sent its start to the former
// instance of the worker, which answered the successor once, and the lease outlasted its own.
#[test]
fn handle_poll_answer_under_the_lease_of_a_former_owner() {
    let (mut sim, job, order) = ordered();
    sim.restart_worker_of(&order);
    sim.carry_out(&order);
    let until = sim.now + LONG_MS;
    take_over(&mut sim, until);
    sim.poll_all();
    silence(&mut sim, &order.id);
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against a lease that no log shows: an operator couldn't tell why its worker runs on.
#[test]
fn take_notes_of_a_lease_longer_than_granted() {
    let (mut sim, _, order) = ordered();
    sim.pool.take_notes();
    sim.restart_worker_of(&order);
    sim.send(&order);
    let notes = sim.pool.take_notes();
    let note = notes.iter().find(|note| note.event == "lease longer than granted").expect("a note");
    assert_eq!(note.worker.as_deref(), Some(order.id.as_str()));
    assert!(note.why.contains("10000 ms instead of 4000 ms"), "{}", note.why);
}

// Guards against a successor that is told too early an end of the leases: a start is on its way, or got
// no answer, and may have reached another instance than the one that was meant.
#[test]
fn granted_leases_with_a_start_that_may_reach_another_instance() {
    for is_lost in [false, true] {
        let (mut sim, _, order) = ordered();
        if is_lost {
            sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
        }
        let told = |sim: &Simulation| sim.pool.granted_leases(at(sim.now)).expect("leases");
        assert!(told(&sim)[&order.id] >= MAX_LEASE_MS, "the next instance may have taken it");
        if is_lost {
            sim.run_for(3_000);
            assert!(told(&sim)[&order.id] < MAX_LEASE_MS, "the instance that was meant answers");
        }
    }
}

// Guards against done tasks that run again after a takeover: the worker has started again since its
// location was written, and has more exits of the former owner's runs than it lists at once.
#[test]
fn is_recovering_with_unlisted_exits_of_the_next_instance() {
    let mut sim = Simulation::new(1);
    sim.run_for(1_000);
    sim.list_workers();
    let former = sim.pool.written_roster();
    assert!(former[0].born_ms.is_some());
    sim.now += 1_000;
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.restart(sim.now);
    let exit = |number: u64| Exit {
        number,
        task: first_task(JobId(number)),
        run: number,
        outcome: Outcome::Done,
        saved: String::new(),
    };
    worker.exits = (1..=MAX_LISTED_EXITS as u64 + 1).map(exit).collect();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.connections = common::Connections::default();
    sim.pool.set_roster(former, 0);
    sim.list_and_poll();
    assert!(sim.pool.is_recovering(at(sim.now)), "it has ended more runs than it lists");
}

// Guards against a task on two workers: a worker has started again and carries out an order for its
// former instance seconds after it was sent. It is refused as old, and prolongs the lease.
#[test]
fn plan_after_a_start_that_arrives_seconds_behind_a_restart() {
    let (mut sim, job, order) = ordered();
    let other = sim.registrations.iter().position(|entry| entry.id != order.id).expect("another");
    sim.registrations[other].draining = true;
    sim.list_workers();
    sim.restart_worker_of(&order);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.run_for(10_000);
    assert_eq!(sim.workers_running(first_task(job)), [order.id.as_str()]);
    assert_eq!(sim.carry_out(&order), Answer::Fenced, "it takes no deadline");
    silence(&mut sim, &order.id);
    sim.registrations[other].draining = false;
    sim.list_workers();
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against a task on two workers: a worker has heard its successor, starts again, and then
// carries out an order of its former owner, which was killed: it has forgotten the fence.
#[test]
fn plan_after_a_worker_forgot_the_fence() {
    let (mut sim, job, order) = ordered();
    let until = sim.now + LONG_MS;
    take_over(&mut sim, until);
    sim.poll_all();
    sim.restart_worker_of(&order);
    sim.now += 600;
    sim.carry_out(&order);
    silence(&mut sim, &order.id);
    assert_single_and_restarted(sim, job, &order.id);
}

// Guards against the same with a former owner that lives, in doubt, and hasn't noticed the restart.
#[test]
fn plan_in_doubt_after_a_worker_forgot_the_fence() {
    let (mut sim, job, order) = ordered();
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unhealthy);
    sim.pool.doubt(at(sim.now));
    let until = sim.now + LONG_MS;
    let locations = sim.pool.written_roster();
    let mut former = std::mem::replace(&mut sim.pool, owner(FENCE + 50, sim.now));
    sim.pool.set_roster(locations.clone(), 0);
    sim.pool.confirm_roster(locations);
    take_over(&mut sim, until);
    sim.poll_all();
    sim.plan();
    let place = sim.workers_running(first_task(job))[0].to_owned();
    let other = sim.workers.keys().find(|id| **id != place).expect("another").clone();
    sim.workers.get_mut(&other).expect("a worker").restart(sim.now);
    let lost = former.worker(&place).expect("a worker").0;
    former.handle_poll_answer(at(sim.now), at(sim.now), lost, &Answer::Lost);
    sim.now += 1_500;
    for start in former.plan(at(sim.now), 0) {
        sim.carry_out(&start);
    }
    assert_eq!(sim.workers_running(first_task(job)), [place.as_str()]);
}

// Guards against a done task that runs again: an earlier copy of its start, which got no answer, is
// carried out by the next instance of its worker.
#[test]
fn restart_before_a_copy_of_the_start_of_a_done_task_arrives() {
    let (mut sim, job, order) = ordered();
    sim.task_ms = 1_000;
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.run_for(2_500);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    sim.restart_worker_of(&order);
    sim.list_and_poll();
    sim.run_for(500);
    sim.carry_out(&order);
    assert!(sim.workers_running(first_task(job)).is_empty(), "it is done");
}

// Guards against the same where the copy arrives before the next instance has answered its owner.
#[test]
fn restart_just_before_a_copy_of_the_start_of_a_done_task_arrives() {
    let (mut sim, job, order) = ordered();
    sim.task_ms = 1_000;
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.run_for(2_500);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    sim.restart_worker_of(&order);
    sim.carry_out(&order);
    assert!(sim.workers_running(first_task(job)).is_empty(), "it is done");
}
