//! Random play of workers that come and go beside room kept for lasting tasks,
//! held against what must hold always: no run over a worker's room, one run of a
//! task, and all that lasts at work in the end.

mod common;

use std::time::Duration;

use common::{World, at, first, step};
use corianderfork_jobs::{JobId, Step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn lasting(cpu: u64) -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step(1, cpu) }
}

/// What happens to the pool in a tenth of a second.
#[derive(Clone, Debug)]
enum Event {
    Small(u64),
    Lasting(u64),
    Cancel(usize),
    Vacate(usize),
    Silence(usize, bool),
    Pass,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u64..5).prop_map(|cores| Event::Small(cores * 1_000)),
        1 => (5u64..9).prop_map(|cores| Event::Lasting(cores * 1_000)),
        1 => (0usize..4).prop_map(Event::Cancel),
        1 => (0usize..4).prop_map(Event::Vacate),
        1 => (0usize..4, any::<bool>()).prop_map(|(worker, on)| Event::Silence(worker, on)),
        6 => Just(Event::Pass),
    ]
}

fn apply(world: &mut World, lasting_jobs: &mut Vec<JobId>, next: u64, event: &Event) {
    match event {
        Event::Small(cpu) => {
            world.submit(next, vec![step(3, *cpu)]);
        }
        // Each needs a worker for itself, so that one kept in vain is missed.
        Event::Lasting(cpu) if lasting_jobs.len() < 4 => {
            lasting_jobs.push(world.submit(next, vec![lasting(*cpu)]));
        }
        Event::Cancel(number) if *number < lasting_jobs.len() => {
            let job = lasting_jobs.remove(*number);
            world.pool.cancel(at(world.now), job);
        }
        Event::Vacate(worker) => {
            world.pool.vacate(at(world.now), &format!("w{worker}"), Duration::from_millis(700));
        }
        Event::Silence(worker, on) => {
            world.workers.get_mut(&format!("w{worker}")).expect("a worker").silent = *on;
        }
        _ => {}
    }
}

/// Lets a tenth of a second pass; what lasts is at work and doesn't end.
fn pass(world: &mut World, lasting_jobs: &[JobId]) {
    world.run(100);
    for worker in world.workers.values_mut() {
        for (name, run) in &mut worker.running {
            if lasting_jobs.contains(&name.job) {
                run.percent = Some(100);
                run.ends = u64::MAX;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plan_keeps_every_promise_with_kept_room(
        events in prop::collection::vec(event(), 5..120)
    ) {
        let mut world = World::new(4);
        world.takes = 700;
        let mut lasting_jobs = Vec::new();
        for (next, event) in events.iter().enumerate() {
            apply(&mut world, &mut lasting_jobs, next as u64 + 1, event);
            pass(&mut world, &lasting_jobs);
            for job in &lasting_jobs {
                prop_assert!(world.where_runs(first(*job)).len() <= 1, "{job} runs twice");
            }
        }
        prop_assert!(world.most_cpu <= 8_000, "{} on a worker", world.most_cpu);
        world.workers.values_mut().for_each(|worker| worker.silent = false);
        (0..120).for_each(|_| pass(&mut world, &lasting_jobs));
        for job in &lasting_jobs {
            let why = world.pool.explain(at(world.now), *job);
            prop_assert_eq!(world.where_runs(first(*job)).len(), 1, "{:?}", why);
        }
        prop_assert!(world.most_cpu <= 8_000, "{} on a worker", world.most_cpu);
    }
}
