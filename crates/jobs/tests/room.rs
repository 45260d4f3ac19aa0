//! Scheduling on workers whose room changes while they run tasks.
#![allow(clippy::expect_used)]

mod common;

use common::{Simulation, step};

/// Initial CPU of a worker, in thousandths of a core.
const INITIAL_CPU: u64 = 8_000;
const REDUCED_CPU: u64 = 3_000;

fn set_cpu(sim: &mut Simulation, cpu: u64) {
    sim.registrations[0].room.cpu = cpu;
    sim.list_workers();
}

fn cpu_in_use(sim: &Simulation) -> u64 {
    sim.workers["w0"].running.values().map(|run| run.room.cpu).sum()
}

// Guards against starting tasks beyond the current room of a worker after it shrinks.
#[test]
fn plan_does_not_exceed_reduced_room() {
    let mut sim = Simulation::new(1);
    for id in 1..40 {
        sim.submit(id, vec![step(2, 1_000)]);
    }
    sim.run_for(300);
    assert_eq!(cpu_in_use(&sim), INITIAL_CPU);
    set_cpu(&mut sim, REDUCED_CPU);
    let mut last = cpu_in_use(&sim);
    for _ in 0..30 {
        sim.run_for(100);
        let now = cpu_in_use(&sim);
        assert!(now <= REDUCED_CPU.max(last), "{now} in use after {last}");
        last = now.max(REDUCED_CPU);
    }
    assert_eq!(cpu_in_use(&sim), REDUCED_CPU);
}

// Guards against leaving room idle after it grows back.
#[test]
fn plan_uses_restored_room() {
    let mut sim = Simulation::new(1);
    set_cpu(&mut sim, REDUCED_CPU);
    for id in 1..40 {
        sim.submit(id, vec![step(2, 1_000)]);
    }
    sim.run_for(300);
    assert_eq!(cpu_in_use(&sim), REDUCED_CPU);
    set_cpu(&mut sim, INITIAL_CPU);
    sim.run_for(300);
    assert_eq!(cpu_in_use(&sim), INITIAL_CPU);
}

// Guards against resending an unanswered start to a worker whose room has shrunk.
#[test]
fn plan_does_not_repeat_a_start_beyond_reduced_room() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 60_000;
    sim.submit(1, vec![step(8, 1_000)]);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    assert_eq!(sim.plan().len(), 8);
    sim.workers.get_mut("w0").expect("a worker").silent = false;
    set_cpu(&mut sim, REDUCED_CPU);
    sim.run_for(2_000);
    assert_eq!(cpu_in_use(&sim), REDUCED_CPU);
}
