//! Jobs whose steps run repeatedly, by the time of day.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, step};
use corianderfork_jobs::job::Schedule;
use corianderfork_jobs::pool::Order;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::{Job, JobId, Step};

/// The time of day at which the owner's clock is 0.
const MIDNIGHT: u64 = 1_700_000_000_000;
/// The interval between occurrences, in milliseconds.
const INTERVAL_MS: u64 = 10_000;

/// Submits a job whose first occurrence is due when the owner's clock is `first`.
fn submit(sim: &mut Simulation, id: u64, first: u64, times: u32, steps: Vec<Step>) -> JobId {
    let id = JobId(id);
    sim.steps.insert(id, steps.clone());
    let schedule = Schedule { first_ms: MIDNIGHT + first, every_ms: INTERVAL_MS, times };
    let job = Job::new("run".to_owned(), steps).and_then(|job| job.scheduled(schedule));
    let job = job.expect("a job");
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: MIDNIGHT,
        attempts: None,
        job,
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

fn plan(sim: &mut Simulation) -> Vec<Order> {
    let orders = sim.pool.plan(at(sim.now), MIDNIGHT + sim.now);
    orders.iter().for_each(|order| sim.send(order));
    orders
}

fn run(sim: &mut Simulation, millis: u64) -> Vec<Order> {
    let end = sim.now + millis;
    let mut all = Vec::new();
    while sim.now < end {
        sim.now += 100;
        sim.workers.values_mut().for_each(|worker| worker.advance(sim.now));
        sim.poll_all();
        all.extend(plan(sim));
        sim.write();
    }
    all
}

#[test]
fn plan_starts_each_occurrence_at_its_time() {
    let mut sim = Simulation::new(2);
    let job = submit(&mut sim, 1, 3_000, 3, vec![step(2, 1_000)]);
    assert!(run(&mut sim, 1_900).is_empty(), "not due at 2.9 s");
    let orders = run(&mut sim, 200);
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.task.occurrence == 0));
    let orders = run(&mut sim, 25_000);
    let of = |occurrence: u32| orders.iter().filter(|o| o.task.occurrence == occurrence).count();
    assert_eq!((of(1), of(2), orders.len()), (2, 2, 4));
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

#[test]
fn plan_runs_overlapping_occurrences() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 15_000;
    submit(&mut sim, 1, 2_000, 2, vec![step(1, 1_000)]);
    run(&mut sim, 12_000);
    assert_eq!(sim.running_count(), 2);
}

// Guards against serving all later occurrences of a job last, and most too late to count: in a
// full pool an occurrence was ranked by the time at which its job was accepted, by which it had
// already expired, and not by its own due time.
#[test]
fn plan_a_late_occurrence_by_its_own_time() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 1_000;
    submit(&mut sim, 1, 2_000, 2, vec![step(1, 8_000)]);
    run(&mut sim, 10_500);
    let running = sim.submit(2, vec![step(1, 8_000)]);
    plan(&mut sim);
    assert_eq!(sim.workers_running(common::first_task(running)).len(), 1);
    run(&mut sim, 600);
    let after = sim.submit(3, vec![step(1, 8_000)]);
    let orders = run(&mut sim, 500);
    assert_eq!(orders.len(), 1, "only one fits");
    assert_eq!((orders[0].task.job, orders[0].task.occurrence), (JobId(1), 1));
    assert!(sim.workers_running(common::first_task(after)).is_empty());
}

// Guards against repeating or skipping an occurrence after a takeover: the owner dies after the
// first of three occurrences was written as done, and the finished occurrences are not written
// or not restored.
#[test]
fn accept_by_a_successor_resumes_remaining_occurrences() {
    let mut sim = Simulation::new(2);
    let job = submit(&mut sim, 1, 2_000, 3, vec![step(1, 1_000)]);
    run(&mut sim, 3_000);
    let progress = sim.progress[&job].clone();
    let mut successor = Simulation::new(2);
    successor.now = sim.now;
    let steps = vec![step(1, 1_000)];
    successor.steps.insert(job, steps.clone());
    let schedule = Schedule { first_ms: MIDNIGHT + 2_000, every_ms: INTERVAL_MS, times: 3 };
    let whole = Job::new("run".to_owned(), steps).and_then(|job| job.scheduled(schedule));
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: MIDNIGHT,
        attempts: None,
        job: whole.expect("a job"),
        organisation: None,
    };
    successor.pool.accept(at(successor.now), Duration::ZERO, job, &record, Some(&progress), 1);
    let orders = run(&mut successor, 30_000);
    let occurrences: Vec<u32> = orders.iter().map(|order| order.task.occurrence).collect();
    assert_eq!(occurrences, [1, 2]);
    assert_eq!(successor.pool.state(job), Some(State::Completed));
}
