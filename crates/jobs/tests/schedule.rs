//! Schedules of which thousands of occurrences are due at once.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::job::Schedule;
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::{Job, JobId, Step};

/// The time of day at which the owner's clock is 0.
const MIDNIGHT: u64 = 1_700_000_000_000;
/// Much less than the time after which an owner loses its pool.
const MAX_TURN: Duration = Duration::from_secs(1);
/// What an earlier version reads in a record.
type EarlierDone = std::collections::BTreeMap<String, Vec<u64>>;

fn submit(sim: &mut Simulation, id: u64, schedule: Schedule, steps: Vec<Step>) -> (JobId, Record) {
    let id = JobId(id);
    sim.steps.insert(id, steps.clone());
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
    (id, record)
}

/// Runs the owner for some time. Returns its longest turn.
fn run(sim: &mut Simulation, millis: u64) -> Duration {
    let end = sim.now + millis;
    let mut longest = Duration::ZERO;
    while sim.now < end {
        sim.now += 100;
        sim.workers.values_mut().for_each(|worker| worker.advance(sim.now));
        sim.poll_all();
        let started = Instant::now();
        let orders = sim.pool.plan(at(sim.now), MIDNIGHT + sim.now);
        longest = longest.max(started.elapsed());
        orders.iter().for_each(|order| sim.send(order));
        sim.orders.extend(orders);
        sim.write();
    }
    longest
}

/// A schedule of which all occurrences are due.
fn overdue(times: u32) -> Schedule {
    Schedule { first_ms: 0, every_ms: 1, times }
}

// Guards against owners that one job keeps from their event loop in turn: all occurrences that are due
// were begun at once, and looked at in each plan.
#[test]
fn plan_with_thousands_of_due_occurrences() {
    for times in [50_000, u32::MAX] {
        let mut sim = Simulation::new(3);
        submit(&mut sim, 1, overdue(times), vec![step(1, 100)]);
        let longest = run(&mut sim, 1_000);
        let other = sim.submit(2, vec![step(2, 100)]);
        let longest = longest.max(run(&mut sim, 3_000));
        assert!(longest < MAX_TURN, "{times} occurrences: a turn of {longest:?}");
        assert_eq!(sim.pool.state(other), Some(State::Completed), "{times} occurrences");
        let begun: BTreeSet<u32> = sim
            .orders
            .iter()
            .filter(|order| order.task.job == JobId(1))
            .map(|order| order.task.occurrence)
            .collect();
        assert!(begun.len() > 64, "others begin as these end: {}", begun.len());
        assert_eq!(begun.last().map(|last| *last as usize + 1), Some(begun.len()), "in order");
    }
}

// Guards against overdue occurrences that never begin, and jobs that never complete.
#[test]
fn run_all_due_occurrences() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 100;
    let (job, _) = submit(&mut sim, 1, overdue(3_000), vec![step(1, 100), step(1, 100).after(0)]);
    while sim.pool.state(job) != Some(State::Completed) {
        assert!(sim.now < 200_000, "it completes");
        run(&mut sim, 1_000);
    }
    assert_eq!(sim.orders.len(), 6_000);
}

// Guards against a record that grows with each occurrence that ends, until the store takes it no more.
#[test]
fn next_batch_after_thousands_of_occurrences() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 100;
    let (job, record) = submit(&mut sim, 1, overdue(1_000_000), vec![step(1, 100)]);
    run(&mut sim, 500);
    let early = serde_json::to_value(&sim.progress[&job]).expect("a record");
    let named: EarlierDone = serde_json::from_value(early["done"].clone()).expect("as before");
    assert!(named.keys().all(|key| key.parse::<u32>().is_ok()), "{named:?}");
    while sim.orders.len() < 3_000 {
        run(&mut sim, 1_000);
    }
    let text = serde_json::to_string(&sim.progress[&job]).expect("a record");
    assert!(text.len() < 1_000, "{} bytes", text.len());
    let done = serde_json::from_str::<serde_json::Value>(&text).expect("json")["done"].clone();
    let earlier = serde_json::from_value::<EarlierDone>(done);
    assert!(earlier.is_err(), "an earlier version would run the finished occurrences again");

    let progress: Progress = serde_json::from_str(&text).expect("a record");
    let started = sim.orders.len();
    let mut successor = owner(FENCE + 50, sim.now);
    successor.accept(at(sim.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    let explained = successor.explain(at(sim.now), job).expect("the job");
    let first = explained.steps.iter().map(|step| step.occurrence).min();
    let first = first.unwrap_or_else(|| progress.done.finished.before()) as usize;
    assert!(first > 2_000 && first <= started, "{first} of {started}");
}

// Guards against finished occurrences that run again, in a record that an earlier version wrote.
#[test]
fn accept_with_progress_of_an_earlier_version() {
    let mut sim = Simulation::new(1);
    let schedule = overdue(5);
    let text = r#"{"state":"running","queue":"q","done":{"0":[],"1":[],"3":[],"2.0":[1]}}"#;
    let progress: Progress = serde_json::from_str(text).expect("a record");
    assert_eq!(serde_json::to_value(&progress).expect("json")["done"]["3"], serde_json::json!([]));
    let (_, record) = submit(&mut sim, 1, schedule, vec![step(2, 100)]);
    let job = JobId(9);
    sim.steps.insert(job, record.job.steps.clone());
    sim.pool.cancel(at(sim.now), JobId(1));
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1_000);
    run(&mut sim, 3_000);
    let of_job = sim.orders.iter().filter(|order| order.task.job == job);
    let started: BTreeSet<(u32, u32)> =
        of_job.map(|order| (order.task.occurrence, order.task.index)).collect();
    assert_eq!(started, BTreeSet::from([(2, 1), (4, 0), (4, 1)]));
    assert_eq!(first_task(job).job, job);
}
