//! Scheduling on workers whose room changes while they run tasks.
#![allow(clippy::expect_used)]

mod common;

use common::{World, step};

/// Initial CPU of a worker, in thousandths of a core.
const INITIAL_CPU: u64 = 8_000;
const REDUCED_CPU: u64 = 3_000;

fn set_cpu(world: &mut World, cpu: u64) {
    world.entries[0].room.cpu = cpu;
    world.list();
}

fn cpu_in_use(world: &World) -> u64 {
    world.workers["w0"].running.values().map(|run| run.room.cpu).sum()
}

// Guards against starting tasks beyond the current room of a worker after it shrinks.
#[test]
fn plan_does_not_exceed_reduced_room() {
    let mut world = World::new(1);
    for id in 1..40 {
        world.submit(id, vec![step(2, 1_000)]);
    }
    world.run(300);
    assert_eq!(cpu_in_use(&world), INITIAL_CPU);
    set_cpu(&mut world, REDUCED_CPU);
    let mut last = cpu_in_use(&world);
    for _ in 0..30 {
        world.run(100);
        let now = cpu_in_use(&world);
        assert!(now <= REDUCED_CPU.max(last), "{now} in use after {last}");
        last = now.max(REDUCED_CPU);
    }
    assert_eq!(cpu_in_use(&world), REDUCED_CPU);
}

// Guards against leaving room idle after it grows back.
#[test]
fn plan_uses_restored_room() {
    let mut world = World::new(1);
    set_cpu(&mut world, REDUCED_CPU);
    for id in 1..40 {
        world.submit(id, vec![step(2, 1_000)]);
    }
    world.run(300);
    assert_eq!(cpu_in_use(&world), REDUCED_CPU);
    set_cpu(&mut world, INITIAL_CPU);
    world.run(300);
    assert_eq!(cpu_in_use(&world), INITIAL_CPU);
}

// Guards against resending an unanswered start to a worker whose room has shrunk.
#[test]
fn plan_does_not_repeat_a_start_beyond_reduced_room() {
    let mut world = World::new(1);
    world.takes = 60_000;
    world.submit(1, vec![step(8, 1_000)]);
    world.workers.get_mut("w0").expect("a worker").silent = true;
    assert_eq!(world.plan().len(), 8);
    world.workers.get_mut("w0").expect("a worker").silent = false;
    set_cpu(&mut world, REDUCED_CPU);
    world.run(2_000);
    assert_eq!(cpu_in_use(&world), REDUCED_CPU);
}
