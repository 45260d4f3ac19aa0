//! Tasks whose data lies in one rack; elsewhere they take three times as long.

mod common;

use common::{World, first, step};
use corianderfork_jobs::{JobId, Step};

/// A step of one task, of half a second near its data.
fn near(rack: &str, cpu: u64) -> Step {
    Step { preferred_rack: Some(rack.to_owned()), ..step(1, cpu) }
}

#[test]
fn plan_waits_for_a_worker_near_the_data() {
    // Symptom: a full pool gets through far less than its workers could.
    // Sequence: a task's rack is full for a moment; it runs elsewhere at once,
    //   takes three times as long there, and room for as long.
    // Cause: nearness is preferred and never waited for.
    let mut world = World::new(4);
    world.submit(1, vec![near("r0", 8_000)]);
    world.submit(2, vec![near("r0", 8_000)]);
    assert_eq!(world.plan().len(), 2, "w0 and w1 are in r0");
    let waiting = world.submit(3, vec![near("r0", 8_000)]);
    assert!(world.plan().is_empty(), "w2 and w3 are not");
    world.run(700);
    let runs = world.where_runs(first(waiting));
    assert!(runs == ["w0"] || runs == ["w1"], "{runs:?}");
}

#[test]
fn plan_waits_no_longer_than_it_saves() {
    let mut world = World::new(4);
    world.takes = 60_000;
    world.submit(1, vec![near("r0", 8_000)]);
    world.submit(2, vec![near("r0", 8_000)]);
    world.plan();
    let waiting = world.submit(3, vec![near("r0", 8_000)]);
    world.run(900);
    assert!(world.where_runs(first(waiting)).is_empty(), "a second is saved");
    world.run(400);
    let runs = world.where_runs(first(waiting));
    assert!(runs == ["w2"] || runs == ["w3"], "{runs:?}");
}

#[test]
fn plan_does_not_wait_for_a_rack_without_a_worker() {
    let mut world = World::new(2);
    let job = world.submit(1, vec![near("r9", 1_000)]);
    assert_eq!(world.plan().len(), 1);
    assert_eq!(world.where_runs(first(job)).len(), 1);
}

#[test]
fn plan_does_not_wait_with_what_lasts() {
    let mut world = World::new(4);
    world.takes = 600_000;
    world.submit(1, vec![near("r0", 8_000)]);
    world.submit(2, vec![near("r0", 8_000)]);
    world.plan();
    world.submit(3, vec![Step { long_running: true, ..near("r0", 8_000) }]);
    world.plan();
    assert_eq!(world.where_runs(first(JobId(3))).len(), 1);
}
