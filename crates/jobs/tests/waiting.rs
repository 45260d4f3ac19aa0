//! Work that waits, more of it than an owner has memory for if each task took some.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Simulation, first_task, step};
use corianderfork_jobs::Job;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Name;

/// Half of the memory of a process on the VMs of today, in kilobytes.
const MAX_GROWTH_KB: u64 = 130 << 10;
const JOBS: u64 = 100;
const TASKS: u32 = 10_000;

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("kilobytes")
}

// Guards against owners that end by their memory in turn: each lays out all tasks of all jobs, those
// that wait, too.
#[test]
fn accept_a_million_tasks() {
    let mut sim = Simulation::new(3);
    let before = resident_kb();
    for id in 1..=JOBS {
        sim.submit(id, vec![step(TASKS, 4_000)]);
    }
    sim.run_for(5_000);
    let grown = resident_kb() - before;
    assert!(grown < MAX_GROWTH_KB, "{grown} KB for {} tasks", JOBS * u64::from(TASKS));
    let started = sim.orders.len();
    sim.run_for(1_000);
    assert!(sim.orders.len() > started, "tasks go on to start");
}

// Guards against tasks that are lost or repeated as the states of done ones are dropped.
#[test]
fn run_many_tasks_of_one_job() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 100;
    let job = sim.submit(1, vec![step(2_000, 100), step(1, 100).after(0)]);
    while sim.pool.state(job) != Some(State::Completed) {
        assert!(sim.now < 60_000, "it completes");
        sim.run_for(100);
    }
    let starts: Vec<Name> = sim.orders.iter().map(|order| order.task).collect();
    let distinct: BTreeSet<Name> = starts.iter().copied().collect();
    assert_eq!((starts.len(), distinct.len()), (2_001, 2_001));
    assert_eq!(starts.last(), Some(&Name { step: 1, ..first_task(job) }));
}

// Guards against a successor that repeats tasks whose states were dropped: they are written as done.
#[test]
fn accept_with_progress_of_many_tasks() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 100;
    let steps = vec![step(300, 1_000)];
    let job = sim.submit(1, steps.clone());
    sim.run_for(1_000);
    let progress = sim.progress[&job].clone();
    let done: u32 = progress.done.tasks["0.0"].iter().map(|word| word.count_ones()).sum();
    assert!(done > 64 && done < 300, "{done}");
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), steps).expect("a job"),
        organisation: None,
    };
    let mut successor = common::owner(common::FENCE + 50, sim.now);
    let (now, age) = (common::at(sim.now), Duration::ZERO);
    successor.accept(now, age, job, &record, Some(&progress), common::FENCE + 1);
    let explained = successor.explain(now, job).expect("the job");
    assert_eq!(explained.steps[0].left, 300 - done);
}

// Guards against owners that take more memory than they count: they would accept too many jobs.
#[test]
fn active_bytes_of_many_jobs() {
    let mut sim = Simulation::new(3);
    let (before, counted) = (resident_kb(), sim.pool.active_bytes());
    for id in 1..=20_000 {
        sim.submit(id, vec![step(4, 100_000), step(4, 100_000).after(0)]);
    }
    sim.run_for(200);
    sim.steps.clear();
    let grown = resident_kb() - before;
    let counted = (sim.pool.active_bytes() - counted) as u64 >> 10;
    assert!(grown <= counted, "{grown} KB taken, {counted} KB counted");
}
