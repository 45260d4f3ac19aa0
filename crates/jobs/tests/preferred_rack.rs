//! Tasks with data in one rack; elsewhere they take three times as long.

mod common;

use common::{Simulation, first_task, step};
use corianderfork_jobs::{JobId, Step};

/// A step of one task that takes half a second in its preferred rack.
fn step_near(rack: &str, cpu: u64) -> Step {
    Step { preferred_rack: Some(rack.to_owned()), ..step(1, cpu) }
}

// Guards against a full pool with far less throughput than possible: the rack of a task's data
// is full for a moment, and the task starts elsewhere at once, where it takes three times as
// long and occupies room for that time.
#[test]
fn plan_waits_for_a_worker_in_the_preferred_rack() {
    let mut sim = Simulation::new(4);
    sim.submit(1, vec![step_near("r0", 8_000)]);
    sim.submit(2, vec![step_near("r0", 8_000)]);
    assert_eq!(sim.plan().len(), 2, "w0 and w1 are in r0");
    let waiting = sim.submit(3, vec![step_near("r0", 8_000)]);
    assert!(sim.plan().is_empty(), "w2 and w3 are not in r0");
    sim.run_for(700);
    let runs = sim.workers_running(first_task(waiting));
    assert!(runs == ["w0"] || runs == ["w1"], "{runs:?}");
}

#[test]
fn plan_waits_no_longer_than_it_saves() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 60_000;
    sim.submit(1, vec![step_near("r0", 8_000)]);
    sim.submit(2, vec![step_near("r0", 8_000)]);
    sim.plan();
    let waiting = sim.submit(3, vec![step_near("r0", 8_000)]);
    sim.run_for(900);
    assert!(sim.workers_running(first_task(waiting)).is_empty(), "waiting saves up to a second");
    sim.run_for(400);
    let runs = sim.workers_running(first_task(waiting));
    assert!(runs == ["w2"] || runs == ["w3"], "{runs:?}");
}

#[test]
fn plan_does_not_wait_for_a_rack_without_a_worker() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![step_near("r9", 1_000)]);
    assert_eq!(sim.plan().len(), 1);
    assert_eq!(sim.workers_running(first_task(job)).len(), 1);
}

#[test]
fn plan_does_not_wait_with_long_running_tasks() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 600_000;
    sim.submit(1, vec![step_near("r0", 8_000)]);
    sim.submit(2, vec![step_near("r0", 8_000)]);
    sim.plan();
    sim.submit(3, vec![Step { long_running: true, ..step_near("r0", 8_000) }]);
    sim.plan();
    assert_eq!(sim.workers_running(first_task(JobId(3))).len(), 1);
}
