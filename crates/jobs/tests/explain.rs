//! Explanations of the states of jobs.

mod common;

use std::collections::HashMap;

use common::{Simulation, at, step};
use corianderfork_jobs::pool::StepExplanation;
use corianderfork_jobs::queue::{AdviceCost, Queue};
use corianderfork_jobs::record::State;
use corianderfork_jobs::{JobId, Step};

fn steps(sim: &Simulation, job: JobId) -> Vec<StepExplanation> {
    sim.pool.explain(at(sim.now), job).expect("the job is known").steps
}

/// Returns why the first step of a job waits.
fn why(sim: &Simulation, job: JobId) -> String {
    steps(sim, job)[0].why.clone()
}

#[test]
fn explain_counts_tasks_and_names_dependencies() {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![step(3, 4_000), step(1, 1_000).after(0)]);
    sim.plan();
    let steps = steps(&sim, job);
    assert_eq!((steps[0].waiting, steps[0].placed, steps[0].left), (1, 2, 3));
    assert_eq!(steps[1].why, "runs after the steps [0], which are not all done");
    assert!(steps[0].in_time_for_ms > 0);
    sim.run_for(3_000);
    let job = sim.pool.explain(at(sim.now), job).expect("the job is known");
    assert_eq!((job.state, job.steps.len(), job.to_come), (State::Completed, 0, 0));
    assert_eq!(sim.pool.explain(at(sim.now), JobId(9)), None);
}

#[test]
fn explain_no_room() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![step(2, 6_000)]);
    sim.plan();
    let job = sim.submit(2, vec![step(1, 4_000)]);
    sim.plan();
    let why = why(&sim, job);
    assert!(why.starts_with("none of 2 workers that suit has room"), "{why}");
    assert!(why.contains("the most that one has left is 2000"), "{why}");
}

#[test]
fn explain_no_suitable_worker() {
    let mut sim = Simulation::new(2);
    let label = Some("ssd".to_owned());
    let labelled = sim.submit(1, vec![Step { label, ..step(1, 1_000) }]);
    let large = sim.submit(2, vec![step(1, 9_000)]);
    sim.plan();
    assert!(why(&sim, labelled).contains("has Label(\"ssd\")"), "{}", why(&sim, labelled));
    assert!(why(&sim, large).contains("is large enough"), "{}", why(&sim, large));
    for worker in sim.workers.values_mut() {
        worker.silent = true;
    }
    sim.poll_all();
    sim.poll_all();
    assert!(why(&sim, large).contains("don't answer"), "{}", why(&sim, large));
}

#[test]
fn explain_advice_and_data() {
    let mut sim = Simulation::new(2);
    sim.registrations[1].rack = "r7".to_owned();
    sim.list_and_poll();
    sim.submit(1, vec![Step { preferred_rack: Some("r7".to_owned()), ..step(1, 8_000) }]);
    sim.plan();
    let waiting =
        sim.submit(2, vec![Step { preferred_rack: Some("r7".to_owned()), ..step(1, 8_000) }]);
    sim.plan();
    assert_eq!(why(&sim, waiting), "waits for room in rack r7, where its data is");
    let queue = Queue { advice: Some(AdviceCost::default()), ..Queue::default() };
    sim.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    sim.pool.advice_queries(at(sim.now), 1);
    assert!(why(&sim, waiting).starts_with("advice on which workers"), "{}", why(&sim, waiting));
}
