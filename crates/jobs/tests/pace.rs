//! Filling tasks beside serving ones.

mod common;

use common::{World, first, step};
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::{JobId, Step};

/// The tail of response times that serving tasks stay under, in milliseconds.
const TARGET: u64 = 100;

/// One worker with a serving and a filling task.
fn world() -> World {
    let mut world = World::new(1);
    world.takes = 600_000;
    let serving = Step { long_running: true, target_ms: TARGET, ..step(1, 4_000) };
    world.submit(1, vec![serving]);
    let filling = Step { long_running: true, backfill: true, ..step(1, 4_000) };
    world.submit(2, vec![filling]);
    world.run(1_000);
    assert_eq!(world.running(), 2);
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.running.values_mut().for_each(|run| run.percent = Some(100));
    world
}

/// Runs with the serving task's tail at `gauge`, and tells the paces ordered.
fn paces(world: &mut World, gauge: u64, millis: u64) -> Vec<u32> {
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.running.get_mut(&first(JobId(1))).expect("it runs").gauge = gauge;
    let before = world.orders.len();
    world.run(millis);
    let pace = |order: &corianderfork_jobs::pool::Order| match order.action {
        Action::Pace(percent) => Some(percent),
        _ => None,
    };
    world.orders[before..].iter().filter_map(pace).collect()
}

#[test]
fn pace_slows_what_fills_where_a_target_is_near() {
    // Symptom: a serving task is over its target for seconds, and what fills
    //   beside it works on.
    // Sequence: the filling task's load grows; the serving one's tail follows.
    // Cause: filling tasks are let work at full speed whatever happens.
    let mut world = world();
    assert!(paces(&mut world, TARGET / 2, 1_000).is_empty(), "far from its target");
    let near = paces(&mut world, TARGET * 9 / 10, 1_000);
    assert_eq!(near.first(), Some(&50));
    let over = paces(&mut world, TARGET * 2, 2_000);
    assert!(over.last().is_some_and(|pace| *pace < 15), "{over:?}");
}

#[test]
fn pace_lets_it_work_again_step_by_step() {
    let mut world = world();
    paces(&mut world, TARGET * 2, 3_000);
    let paces = paces(&mut world, TARGET / 3, 12_000);
    assert!(paces.windows(2).all(|pair| pair[0] < pair[1]), "{paces:?}");
    assert_eq!(paces.last(), Some(&100));
}

#[test]
fn pace_leaves_what_fills_alone_where_nothing_serves() {
    let mut world = World::new(1);
    world.takes = 600_000;
    world.submit(1, vec![Step { long_running: true, backfill: true, ..step(1, 4_000) }]);
    world.run(3_000);
    assert!(world.orders.iter().all(|order| !matches!(order.action, Action::Pace(_))));
}
