//! Room that is kept for long.
#![allow(clippy::expect_used)]

mod common;

use common::{World, step};
use corianderfork_jobs::Step;
use corianderfork_jobs::record::State;

#[test]
fn plan_keeps_no_room_for_as_long_as_a_long_task_takes() {
    // Symptom: small jobs wait beside a worker that is nearly empty, for minutes.
    // Sequence: a task that takes ten minutes runs on a pool's only worker; a lasting
    //   task that needs nearly all of the worker waits; small jobs come.
    // Cause: room is kept for however long what runs there takes.
    let mut world = World::new(1);
    world.takes = 600_000;
    let long = Step { estimate_ms: 600_000, ..step(1, 2_000) };
    world.submit(1, vec![long]);
    world.run(500);
    let lasting = Step { long_running: true, ..step(1, 7_000) };
    world.submit(2, vec![lasting]);
    world.run(1_000);
    let small = world.submit(3, vec![step(1, 1_000)]);
    world.run(8_000);
    assert_eq!(world.pool.state(small), Some(State::Running), "six of eight processors are free");
}
