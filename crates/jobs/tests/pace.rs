//! Backfill tasks beside serving ones.

mod common;

use common::{Simulation, first_task, step};
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::{JobId, Step};

/// The target for the tail latency of the serving task, in milliseconds.
const TARGET: u64 = 100;

/// One worker with a serving and a backfill task.
fn simulation() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.task_ms = 600_000;
    let serving = Step { long_running: true, target_ms: TARGET, ..step(1, 4_000) };
    sim.submit(1, vec![serving]);
    let backfill = Step { long_running: true, backfill: true, ..step(1, 4_000) };
    sim.submit(2, vec![backfill]);
    sim.run_for(1_000);
    assert_eq!(sim.running_count(), 2);
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.running.values_mut().for_each(|run| run.percent = Some(100));
    sim
}

/// Runs with the serving task's tail latency at `gauge`, and returns the ordered paces.
fn paces(sim: &mut Simulation, gauge: u64, millis: u64) -> Vec<u32> {
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.running.get_mut(&first_task(JobId(1))).expect("the task runs").gauge = gauge;
    let before = sim.orders.len();
    sim.run_for(millis);
    let pace = |order: &corianderfork_jobs::pool::Order| match order.action {
        Action::Pace(percent) => Some(percent),
        _ => None,
    };
    sim.orders[before..].iter().filter_map(pace).collect()
}

// Guards against a serving task that misses its target for seconds while the load of a backfill
// task beside it grows, because backfill tasks run at full speed regardless.
#[test]
fn pace_slows_backfill_tasks_close_to_a_target() {
    let mut sim = simulation();
    assert!(paces(&mut sim, TARGET / 2, 1_000).is_empty(), "far below the target");
    let near_target = paces(&mut sim, TARGET * 9 / 10, 1_000);
    assert_eq!(near_target.first(), Some(&50));
    let over_target = paces(&mut sim, TARGET * 2, 2_000);
    assert!(over_target.last().is_some_and(|pace| *pace < 15), "{over_target:?}");
}

#[test]
fn pace_speeds_up_again_step_by_step() {
    let mut sim = simulation();
    paces(&mut sim, TARGET * 2, 3_000);
    let paces = paces(&mut sim, TARGET / 3, 12_000);
    assert!(paces.windows(2).all(|pair| pair[0] < pair[1]), "{paces:?}");
    assert_eq!(paces.last(), Some(&100));
}

#[test]
fn pace_ignores_backfill_tasks_without_serving_ones() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 600_000;
    sim.submit(1, vec![Step { long_running: true, backfill: true, ..step(1, 4_000) }]);
    sim.run_for(3_000);
    assert!(sim.orders.iter().all(|order| !matches!(order.action, Action::Pace(_))));
}
