//! Random events on workers with reservations for long-running tasks, checked against the
//! invariants: no run beyond a worker's room, at most one run of a task, and all long-running
//! tasks running in the end.

mod common;

use std::time::Duration;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::{JobId, Step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn long_running_step(cpu: u64) -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step(1, cpu) }
}

/// An event in a tenth of a second.
#[derive(Clone, Debug)]
enum Event {
    Small(u64),
    LongRunning(u64),
    Cancel(usize),
    Vacate(usize),
    Silence(usize, bool),
    Pass,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u64..5).prop_map(|cores| Event::Small(cores * 1_000)),
        1 => (5u64..9).prop_map(|cores| Event::LongRunning(cores * 1_000)),
        1 => (0usize..4).prop_map(Event::Cancel),
        1 => (0usize..4).prop_map(Event::Vacate),
        1 => (0usize..4, any::<bool>()).prop_map(|(worker, on)| Event::Silence(worker, on)),
        6 => Just(Event::Pass),
    ]
}

fn apply(sim: &mut Simulation, long_running_jobs: &mut Vec<JobId>, next: u64, event: &Event) {
    match event {
        Event::Small(cpu) => {
            sim.submit(next, vec![step(3, *cpu)]);
        }
        // Each needs a separate worker, so that a useless reservation is noticed.
        Event::LongRunning(cpu) if long_running_jobs.len() < 4 => {
            long_running_jobs.push(sim.submit(next, vec![long_running_step(*cpu)]));
        }
        Event::Cancel(number) if *number < long_running_jobs.len() => {
            let job = long_running_jobs.remove(*number);
            sim.pool.cancel(at(sim.now), job);
        }
        Event::Vacate(worker) => {
            sim.pool.vacate(at(sim.now), &format!("w{worker}"), Duration::from_millis(700));
        }
        Event::Silence(worker, on) => {
            sim.workers.get_mut(&format!("w{worker}")).expect("a worker").silent = *on;
        }
        _ => {}
    }
}

/// Advances by a tenth of a second. Long-running tasks are ready and don't end.
fn run_step(sim: &mut Simulation, long_running_jobs: &[JobId]) {
    sim.run_for(100);
    for worker in sim.workers.values_mut() {
        for (name, run) in &mut worker.running {
            if long_running_jobs.contains(&name.job) {
                run.percent = Some(100);
                run.ends_at = u64::MAX;
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
    fn plan_keeps_invariants_with_reservations(
        events in prop::collection::vec(event(), 5..120)
    ) {
        let mut sim = Simulation::new(4);
        sim.task_ms = 700;
        let mut long_running_jobs = Vec::new();
        for (next, event) in events.iter().enumerate() {
            apply(&mut sim, &mut long_running_jobs, next as u64 + 1, event);
            run_step(&mut sim, &long_running_jobs);
            for job in &long_running_jobs {
                prop_assert!(sim.workers_running(first_task(*job)).len() <= 1, "{job} runs twice");
            }
        }
        prop_assert!(sim.max_cpu_used <= 8_000, "{} thousandths of a core used on a worker", sim.max_cpu_used);
        sim.workers.values_mut().for_each(|worker| worker.silent = false);
        (0..120).for_each(|_| run_step(&mut sim, &long_running_jobs));
        for job in &long_running_jobs {
            let why = sim.pool.explain(at(sim.now), *job);
            prop_assert_eq!(sim.workers_running(first_task(*job)).len(), 1, "{:?}", why);
        }
        prop_assert!(sim.max_cpu_used <= 8_000, "{} thousandths of a core used on a worker", sim.max_cpu_used);
    }
}
