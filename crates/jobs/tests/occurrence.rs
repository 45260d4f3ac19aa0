//! Jobs whose steps run repeatedly, by the time of day.

mod common;

use std::time::Duration;

use common::{Connections, FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::job::Schedule;
use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Outcome;
use corianderfork_jobs::{Job, JobId, Step};

/// The time of day at which the owner's clock is 0.
const MIDNIGHT: u64 = 1_700_000_000_000;
/// The interval between occurrences, in milliseconds.
const INTERVAL_MS: u64 = 10_000;

/// Returns the record of a job whose first occurrence is due when the owner's clock is `first`.
fn record(first: u64, times: u32, steps: Vec<Step>) -> Record {
    let schedule = Schedule { first_ms: MIDNIGHT + first, every_ms: INTERVAL_MS, times };
    let job = Job::new("run".to_owned(), steps).and_then(|job| job.scheduled(schedule));
    let job = job.expect("a job");
    Record { queue: "q".to_owned(), accepted_ms: MIDNIGHT, attempts: None, job, organisation: None }
}

/// Submits a job whose first occurrence is due when the owner's clock is `first`.
fn submit(sim: &mut Simulation, id: u64, first: u64, times: u32, steps: Vec<Step>) -> JobId {
    let id = JobId(id);
    sim.steps.insert(id, steps.clone());
    let record = record(first, times, steps);
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

/// Replaces the owner with a successor that knows only what was written. It has read the jobs and
/// has polled no worker.
fn take_over(sim: &mut Simulation, job: JobId, record: &Record) {
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.connections = Connections::default();
    sim.pool.set_roster(locations, 0);
    sim.list_workers();
    let progress = sim.progress.get(&job);
    sim.pool.accept(at(sim.now), Duration::ZERO, job, record, progress, FENCE + 1);
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

// Guards against starting a task of a scheduled job more often than its queue's attempts allow: the
// written failed runs of an occurrence are dropped by a successor, because its own clock hasn't
// begun the occurrence when it reads them.
#[test]
fn accept_by_a_successor_keeps_the_failed_runs_of_an_occurrence() {
    let mut sim = Simulation::new(2);
    sim.workers.values_mut().for_each(|worker| worker.fails = true);
    let steps = vec![step(1, 1_000)];
    let job = submit(&mut sim, 1, 2_000, 3, steps.clone());
    let mut starts = 0;
    while sim.progress.get(&job).is_none_or(|progress| progress.failed.is_empty()) {
        starts += run(&mut sim, 100).len();
        assert!(sim.now < 5_000, "no failed run is written");
    }
    take_over(&mut sim, job, &record(2_000, 3, steps));
    starts += run(&mut sim, 5_000).len();
    assert_eq!(starts, 2, "as many as the queue's attempts");
    assert_eq!(sim.pool.state(job), Some(State::Failed));
}

// Guards against doing the work of a scheduled job again: the written progress of an occurrence is
// dropped by a successor, although its worker was allowed to forget it.
#[test]
fn accept_by_a_successor_resumes_an_occurrence_from_its_saved_progress() {
    let mut sim = Simulation::new(1);
    sim.workers.values_mut().for_each(|worker| worker.saves = true);
    sim.task_ms = 20_000;
    let steps = vec![step(1, 1_000)];
    let job = submit(&mut sim, 1, 2_000, 3, steps.clone());
    run(&mut sim, 5_000);
    let now = sim.now;
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.advance(now);
    worker.finish_run(first_task(job), Outcome::Stopped);
    sim.poll_all();
    sim.now += 1_000;
    sim.write();
    sim.poll_all();
    assert!(sim.workers["w0"].exits.is_empty(), "its end was acknowledged");
    take_over(&mut sim, job, &record(2_000, 3, steps));
    let orders = run(&mut sim, 200);
    let saved = |action: &Action| match action {
        Action::Start { saved, .. } => common::saved_ms(saved),
        _ => 0,
    };
    assert_eq!(orders.len(), 1);
    assert!(saved(&orders[0].action) >= 3_000, "{orders:?}");
}

// Guards against running a finished task again, and against forgetting a failed run: a successor
// polls the workers before its clock has begun the occurrence, takes the listed end for one of
// nothing that it knows, and lets the worker forget it.
#[test]
fn handle_poll_answer_before_an_occurrence_has_begun() {
    for (fails, starts) in [(false, 1), (true, 2)] {
        let mut sim = Simulation::new(1);
        sim.workers.values_mut().for_each(|worker| worker.fails = fails);
        let steps = vec![step(1, 1_000)];
        let job = submit(&mut sim, 1, 2_000, 1, steps.clone());
        let mut orders = run(&mut sim, 1_100);
        sim.now += 700;
        sim.workers.values_mut().for_each(|worker| worker.advance(sim.now));
        assert_eq!(sim.workers["w0"].exits.len(), 1, "an end that no owner has heard of");
        take_over(&mut sim, job, &record(2_000, 1, steps));
        sim.poll_all();
        sim.poll_all();
        orders.extend(run(&mut sim, 5_000));
        assert_eq!(orders.len(), starts, "fails: {fails}");
        let state = if fails { State::Failed } else { State::Completed };
        assert_eq!(sim.pool.state(job), Some(state));
    }
}

// Guards against a second run of a task beside the first: a successor polls the workers before its
// clock has begun the occurrence, and begins it later without the run that was listed.
#[test]
fn handle_poll_answer_adopts_a_run_before_its_occurrence_has_begun() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let steps = vec![step(1, 1_000)];
    let job = submit(&mut sim, 1, 2_000, 1, steps.clone());
    let mut orders = run(&mut sim, 1_500);
    take_over(&mut sim, job, &record(2_000, 1, steps));
    sim.poll_all();
    // Only the roster and the leases were seen so far: the occurrence begins with this plan.
    orders.extend(plan(&mut sim));
    assert_eq!(sim.running_count(), 1);
    orders.extend(run(&mut sim, 5_000));
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}
