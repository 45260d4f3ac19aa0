//! The limit of the time for which room is reserved.
#![allow(clippy::expect_used)]

mod common;

use common::{Simulation, step};
use corianderfork_jobs::Step;
use corianderfork_jobs::record::State;

// Guards against small jobs that wait for minutes beside a nearly empty worker: a task that
// takes ten minutes runs on the only worker, and a long-running task that needs most of it
// waits. Room was reserved however long that would take.
#[test]
fn plan_reserves_no_room_behind_a_long_task() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 600_000;
    let long = Step { estimate_ms: 600_000, ..step(1, 2_000) };
    sim.submit(1, vec![long]);
    sim.run_for(500);
    let long_running_step = Step { long_running: true, ..step(1, 7_000) };
    sim.submit(2, vec![long_running_step]);
    sim.run_for(1_000);
    let small = sim.submit(3, vec![step(1, 1_000)]);
    sim.run_for(8_000);
    assert_eq!(sim.pool.state(small), Some(State::Running), "six of eight cores are free");
}
