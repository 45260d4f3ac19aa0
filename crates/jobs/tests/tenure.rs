//! What an owner decides while another one may have taken its pool over. Each decision is a row of
//! the table in `pool::tenure`.

mod common;

use std::time::Duration;

use common::{FENCE, MAX_LEASE_MS, Simulation, at, first_task, owner, step};
use corianderfork_jobs::contention;
use corianderfork_jobs::pool::{Action, Answer, Order, Report};
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::{Exit, Outcome};
use corianderfork_jobs::{JobId, Step};

/// When no other owner is expected.
const FOREVER: u64 = 1_000_000_000;

fn is_start(order: &Order) -> bool {
    matches!(order.action, Action::Start { .. })
}

/// Returns the number of different runs that were ordered.
fn run_count(sim: &Simulation) -> usize {
    let mut runs: Vec<u64> =
        sim.orders.iter().filter(|order| is_start(order)).map(|order| order.run).collect();
    runs.sort_unstable();
    runs.dedup();
    runs.len()
}

/// Returns a pool of two workers, the only run of its only task, and that run's worker, as another
/// owner may have taken the pool over.
fn doubtful() -> (Simulation, Order, String) {
    let mut sim = Simulation::new(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(300);
    let order = sim.orders.iter().find(|order| is_start(order)).expect("a start").clone();
    sim.pool.confirm_until(at(sim.now));
    let id = order.id.clone();
    (sim, order, id)
}

/// Asserts that the task doesn't start again before ownership is confirmed, and does then.
fn assert_restarts_once_confirmed(mut sim: Simulation, mut observe: impl FnMut(&mut Simulation)) {
    observe(&mut sim);
    sim.run_for(MAX_LEASE_MS + 2_000);
    assert_eq!(run_count(&sim), 1, "another owner may have renewed its lease or noted its end");
    sim.pool.confirm_until(at(FOREVER));
    observe(&mut sim);
    sim.run_for(500);
    assert_eq!(run_count(&sim), 2);
}

fn silence(sim: &mut Simulation, id: &str) {
    sim.workers.get_mut(id).expect("a worker").silent = true;
}

/// Lets a worker answer a poll with `answer`.
fn answer_poll(sim: &mut Simulation, id: &str, answer: &Answer<Report>) {
    let Some((key, _)) = sim.pool.worker(id) else { return };
    sim.pool.handle_poll_answer(at(sim.now), at(sim.now), key, answer);
}

// Guards against a task that runs on both sides of a partition: its owner takes the lease on a silent
// worker for ended, which a successor has renewed.
#[test]
fn plan_after_the_end_of_a_lease() {
    let (mut sim, _, id) = doubtful();
    silence(&mut sim, &id);
    assert_restarts_once_confirmed(sim, |_| ());
}

// Guards against the same as another instance answers, after a successor noted the end of the run.
#[test]
fn handle_poll_answer_of_another_instance() {
    let (mut sim, _, id) = doubtful();
    silence(&mut sim, &id);
    assert_restarts_once_confirmed(sim, |sim| answer_poll(sim, &id, &Answer::Gone));
}

// Guards against the same as the worker answers that has started again under its ID.
#[test]
fn handle_poll_answer_after_a_restart() {
    let (mut sim, _, id) = doubtful();
    let now = sim.now;
    sim.workers.get_mut(&id).expect("a worker").restart(now);
    sim.connections = common::Connections::default();
    assert_restarts_once_confirmed(sim, |_| ());
}

// Guards against the same as a worker lists a confirmed run no more: a successor noted its end.
#[test]
fn handle_poll_answer_without_a_confirmed_run() {
    let (mut sim, order, id) = doubtful();
    sim.workers.get_mut(&id).expect("a worker").running.remove(&order.task);
    assert_restarts_once_confirmed(sim, |_| ());
}

// Guards against the same as a worker confirms a stop and lists no end.
#[test]
fn handle_poll_answer_without_a_stopped_run() {
    let (mut sim, id) = lasting();
    sim.pool.vacate(at(sim.now), &id, Duration::from_secs(60));
    while stop_count(&sim) == 0 {
        sim.now += 100;
        sim.poll_all();
        sim.plan();
    }
    let started = run_count(&sim);
    sim.pool.confirm_until(at(sim.now));
    sim.workers.get_mut(&id).expect("a worker").exits.clear();
    sim.run_for(MAX_LEASE_MS + 2_000);
    assert_eq!(run_count(&sim), started);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(500);
    assert_eq!(run_count(&sim), started + 1);
}

// Guards against the same as a stop is answered that this owner has not ordered.
#[test]
fn handle_order_answer_of_another_stop() {
    let (mut sim, order, id) = doubtful();
    let task = sim.workers.get_mut(&id).expect("a worker").running.remove(&order.task);
    assert!(task.is_some());
    let key = sim.key(&id);
    let stop = Order { action: Action::Stop, ..order.clone() };
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unclear);
    sim.pool.handle_order_answer(at(sim.now), &stop, &Answer::Done(sim.now));
    assert_eq!(sim.key(&id), key);
    assert_restarts_once_confirmed(sim, |_| ());
}

// Guards against the same as an order reaches another instance.
#[test]
fn handle_order_answer_of_another_instance() {
    let (mut sim, order, id) = doubtful();
    silence(&mut sim, &id);
    assert_restarts_once_confirmed(sim, |sim| {
        sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Gone);
    });
}

// Guards against the same as another worker is listed at the address.
#[test]
fn set_workers_with_a_reused_address() {
    let (mut sim, _, id) = doubtful();
    silence(&mut sim, &id);
    let registration = sim.registrations.iter_mut().find(|listed| listed.id == id);
    registration.expect("an entry").id = "next".to_owned();
    sim.workers.insert("next".to_owned(), common::Worker::default());
    assert_restarts_once_confirmed(sim, Simulation::list_workers);
}

// Guards against the same as the VM of the worker was moved or maintained.
#[test]
fn remove_gone_worker_with_a_run() {
    let (mut sim, _, id) = doubtful();
    silence(&mut sim, &id);
    sim.registrations.retain(|listed| listed.id != id);
    sim.list_workers();
    assert_restarts_once_confirmed(sim, |sim| sim.pool.remove_gone_worker(at(sim.now), &id));
}

// Guards against the same as no VM runs the worker any more.
#[test]
fn remove_ended_worker_with_a_run() {
    let (mut sim, _, id) = doubtful();
    silence(&mut sim, &id);
    // The list of VMs is newer than the worker's last answer, and its lease holds.
    sim.run_for(3_500);
    assert_restarts_once_confirmed(sim, |sim| sim.pool.remove_ended_worker(at(sim.now), &id));
}

// Guards against a task that waits for the end of a partition although its worker has listed the end
// of its run.
#[test]
fn handle_poll_answer_with_a_failed_run() {
    let (mut sim, order, id) = doubtful();
    let exit = Exit {
        number: 1,
        task: order.task,
        run: order.run,
        outcome: Outcome::Failed,
        saved: "".into(),
    };
    sim.workers.get_mut(&id).expect("a worker").running.remove(&order.task);
    sim.workers.get_mut(&id).expect("a worker").exits.push(exit);
    sim.run_for(500);
    assert_eq!(run_count(&sim), 2);
}

// Guards against the same where each copy of its start was refused.
#[test]
fn handle_order_answer_of_a_refused_start() {
    let mut sim = Simulation::new(2);
    sim.pool.confirm_until(at(sim.now));
    sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unhealthy);
    assert!(sim.plan().iter().any(|next| is_start(next) && next.run != order.run));
}

// Guards against a start on one side of a partition of a task that a successor found done: the lease
// of its run had ended before, and there was no room then.
#[test]
fn plan_of_a_task_whose_lease_ended_before() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 600_000;
    let first = sim.submit(1, vec![Step { estimate_ms: 600_000, ..step(1, 8_000) }]);
    sim.submit(2, vec![Step { estimate_ms: 600_000, ..step(1, 8_000) }]);
    sim.run_for(300);
    let lost = sim.workers_running(first_task(first))[0].to_owned();
    silence(&mut sim, &lost);
    sim.run_for(MAX_LEASE_MS);
    assert_eq!(run_count(&sim), 2, "the other worker is full");
    sim.pool.confirm_until(at(sim.now));
    sim.pool.cancel(at(sim.now), JobId(2));
    sim.run_for(3_000);
    assert_eq!(run_count(&sim), 2);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(500);
    assert_eq!(run_count(&sim), 3);
}

/// Lets an owner with a higher fence take over the pool, whose only worker with a run is silent. Its
/// former owner may have granted leases for ten seconds more.
fn take_over_from_a_cut_off_worker(sim: &mut Simulation, id: &str) {
    let locations = sim.pool.written_roster();
    let record = corianderfork_jobs::record::Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: corianderfork_jobs::Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    silence(sim, id);
    sim.pool = owner(FENCE + 50, sim.now);
    sim.connections = common::Connections::default();
    sim.pool.set_roster(locations, 0);
    sim.pool.accept(at(sim.now), Duration::ZERO, JobId(1), &record, None, FENCE + 1);
    sim.list_and_poll();
}

// Guards against a task that runs twice as the second of three owners counts the leases of the first
// one as ended: the third one has renewed them.
#[test]
fn plan_after_the_leases_of_a_former_owner() {
    let (mut sim, _, id) = doubtful();
    take_over_from_a_cut_off_worker(&mut sim, &id);
    sim.pool.confirm_until(at(sim.now + 500));
    sim.run_for(12_000);
    assert_eq!(run_count(&sim), 1);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(500);
    assert_eq!(run_count(&sim), 2);
}

// Guards against work that stands still as soon as ownership is in doubt: a worker that has never
// answered is waited for again, for leases of former owners that have passed long ago.
#[test]
fn is_recovering_with_a_worker_that_never_answered() {
    let mut sim = Simulation::new(2);
    let mut registration = sim.registrations[0].clone();
    (registration.id, registration.address) = ("w9".to_owned(), ([127, 0, 0, 1], 9_009).into());
    sim.registrations.push(registration);
    sim.workers.insert("w9".to_owned(), common::Worker::default());
    silence(&mut sim, "w9");
    sim.list_workers();
    sim.run_for(12_000);
    sim.pool.confirm_until(at(sim.now + 500));
    sim.run_for(300);
    assert!(!sim.pool.is_recovering(at(sim.now)));
    sim.pool.doubt(at(sim.now));
    assert!(!sim.pool.is_recovering(at(sim.now)));
    sim.run_for(2_000);
    assert!(!sim.pool.is_recovering(at(sim.now)));
}

// Guards against ends that a worker forgets unread: it has started again under its ID, and the answer
// that showed it was not followed.
#[test]
fn next_poll_after_a_restart_that_is_not_followed() {
    let (mut sim, _, id) = doubtful();
    sim.submit(2, vec![step(3, 1_000)]);
    sim.durations.insert(JobId(2), 100);
    sim.run_for(1_000);
    assert!(sim.workers.values().any(|worker| worker.seen_upto > 0), "ends were acknowledged");
    let now = sim.now;
    sim.workers.get_mut(&id).expect("a worker").restart(now);
    sim.connections = common::Connections::default();
    sim.run_for(500);
    let next = &sim.workers[&id];
    assert_eq!((next.seen_upto, next.deadline), (0, 0));
}

// Guards against work that stands still in an outage of the store: no successor starts what has never
// run before it has heard from each worker that this owner may use.
#[test]
fn plan_of_a_task_that_has_not_run() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }]);
    sim.pool.confirm_until(at(sim.now));
    sim.run_for(1_500);
    assert_eq!(sim.pool.state(JobId(1)), Some(State::Completed));
}

fn long_running() -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step(2, 1_000) }
}

/// Returns a pool with a job that lasts, whose tasks are at work, and the worker of one of them.
fn lasting() -> (Simulation, String) {
    let mut sim = Simulation::new(6);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running()]);
    sim.run_for(2_000);
    for worker in sim.workers.values_mut() {
        worker.running.values_mut().for_each(|run| run.percent = Some(100));
    }
    sim.run_for(500);
    let id = sim.workers_running(first_task(job))[0].to_owned();
    (sim, id)
}

/// Returns the number of stops that were ordered.
fn stop_count(sim: &Simulation) -> usize {
    sim.orders.iter().filter(|order| order.action == Action::Stop).count()
}

// Guards against a step with fewer tasks at work than it allows: the owners on both sides of a
// partition empty a worker each.
#[test]
fn evacuate_a_worker_that_leaves() {
    let (mut sim, id) = lasting();
    sim.pool.confirm_until(at(sim.now));
    sim.pool.vacate(at(sim.now), &id, Duration::from_secs(60));
    sim.run_for(3_000);
    assert_eq!(stop_count(&sim), 0);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(1_000);
    assert_eq!(stop_count(&sim), 1);
}

// Guards against a run that is stopped for want of progress while another owner may have started
// others of its step anew.
#[test]
fn stop_a_stalled_run() {
    let (mut sim, order, id) = doubtful();
    let worker = sim.workers.get_mut(&id).expect("a worker");
    worker.running.get_mut(&order.task).expect("a run").percent = Some(3);
    sim.run_for(9_000);
    assert_eq!(stop_count(&sim), 0);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(500);
    assert_eq!(stop_count(&sim), 1);
}

// Guards against a run that is stopped for others while its owner may be none any more, and can't
// resume it elsewhere.
#[test]
fn relocate_from_a_worker_that_leaves() {
    let settings = contention::Settings { relocate: true, ..contention::Settings::default() };
    let mut sim = Simulation::contended(3, settings);
    sim.task_ms = 60_000;
    let job =
        sim.submit(1, vec![Step { checkpoints: true, estimate_ms: 60_000, ..step(1, 1_000) }]);
    sim.run_for(3_000);
    sim.pool.confirm_until(at(sim.now));
    let id = sim.workers_running(first_task(job))[0].to_owned();
    let vacate = |sim: &mut Simulation| {
        for _ in 0..20 {
            sim.pool.vacate(at(sim.now), &id, Duration::from_secs(2));
            sim.run_for(100);
        }
    };
    vacate(&mut sim);
    assert_eq!(stop_count(&sim), 0);
    sim.pool.confirm_until(at(FOREVER));
    vacate(&mut sim);
    assert_eq!(stop_count(&sim), 1);
}

// Guards against the same for a task of higher priority.
#[test]
fn preempt_a_run_of_lower_priority() {
    let settings = contention::Settings { preempt: true, ..contention::Settings::default() };
    let mut sim = Simulation::contended(3, settings);
    sim.task_ms = 6_000;
    sim.run_for(20_000);
    let low = Step { checkpoints: true, estimate_ms: 6_000, ..step(1, 2_000) };
    for id in 1..=12 {
        sim.submit_to("low", id, vec![low.clone()], Duration::ZERO);
    }
    sim.run_for(1_200);
    sim.pool.confirm_until(at(sim.now));
    sim.submit(100, vec![Step { estimate_ms: 1_000, ..step(1, 2_000) }]);
    sim.run_for(500);
    assert_eq!(stop_count(&sim), 0);
    sim.pool.confirm_until(at(FOREVER));
    sim.run_for(500);
    assert_eq!(stop_count(&sim), 1);
}

// Guards against a cancelled job that runs on as long as the store is out of reach.
#[test]
fn cancel_a_job() {
    let (mut sim, _, _) = doubtful();
    sim.pool.cancel(at(sim.now), JobId(1));
    sim.run_for(500);
    assert_eq!((stop_count(&sim), sim.running_count()), (1, 0));
}

// Guards against a VM that is rebooted under the runs of a successor, of which this owner knows none.
#[test]
fn vacate_an_empty_worker() {
    let mut sim = Simulation::new(2);
    sim.pool.confirm_until(at(sim.now));
    assert_eq!(sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(1)), Some(false));
    sim.pool.confirm_until(at(FOREVER));
    assert_eq!(sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(1)), Some(true));
}

// Guards against the same as the pool has more workers than it needs.
#[test]
fn shrink_a_pool_of_empty_workers() {
    let mut sim = Simulation::new(2);
    sim.pool.confirm_until(at(sim.now));
    assert!(sim.pool.shrink(at(sim.now), 0, Duration::from_secs(1)).is_empty());
    sim.pool.confirm_until(at(FOREVER));
    assert_eq!(sim.pool.shrink(at(sim.now), 0, Duration::from_secs(1)).len(), 2);
}

// Guards against a job that is told completed, then running: its former owner answers on its side of a
// partition.
#[test]
fn may_tell_of_a_job_that_has_not_ended() {
    let (mut sim, _, _) = doubtful();
    for state in [State::Queued, State::Running] {
        assert!(!sim.pool.may_tell(at(sim.now), state));
    }
    assert!(sim.pool.may_tell(at(sim.now), State::Completed));
    sim.pool.confirm_until(at(FOREVER));
    assert!(sim.pool.may_tell(at(sim.now), State::Running));
}
