//! Why a job stands where it stands.

mod common;

use std::collections::HashMap;

use common::{World, at, step};
use corianderfork_jobs::pool::StepExplanation;
use corianderfork_jobs::queue::{AdviceCost, Queue};
use corianderfork_jobs::record::State;
use corianderfork_jobs::{JobId, Step};

fn parts(world: &World, job: JobId) -> Vec<StepExplanation> {
    world.pool.explain(at(world.now), job).expect("it is known").steps
}

/// Why the first step of a job waits.
fn why(world: &World, job: JobId) -> String {
    parts(world, job)[0].why.clone()
}

#[test]
fn explain_counts_tasks_and_names_the_steps_before() {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(3, 4_000), step(1, 1_000).after(0)]);
    world.plan();
    let parts = parts(&world, job);
    assert_eq!((parts[0].waiting, parts[0].placed, parts[0].left), (1, 2, 3));
    assert_eq!(parts[1].why, "runs after the steps [0], which are not all done");
    assert!(parts[0].in_time_for_ms > 0);
    world.run(3_000);
    let job = world.pool.explain(at(world.now), job).expect("it is known");
    assert_eq!((job.state, job.steps.len(), job.to_come), (State::Completed, 0, 0));
    assert_eq!(world.pool.explain(at(world.now), JobId(9)), None);
}

#[test]
fn explain_no_room() {
    let mut world = World::new(2);
    world.submit(1, vec![step(2, 6_000)]);
    world.plan();
    let job = world.submit(2, vec![step(1, 4_000)]);
    world.plan();
    let why = why(&world, job);
    assert!(why.starts_with("none of 2 workers that suit has room"), "{why}");
    assert!(why.contains("the most that one has left is 2000"), "{why}");
}

#[test]
fn explain_no_worker_that_suits() {
    let mut world = World::new(2);
    let label = Some("ssd".to_owned());
    let labelled = world.submit(1, vec![Step { label, ..step(1, 1_000) }]);
    let large = world.submit(2, vec![step(1, 9_000)]);
    world.plan();
    assert!(why(&world, labelled).contains("has Label(\"ssd\")"), "{}", why(&world, labelled));
    assert!(why(&world, large).contains("is large enough"), "{}", why(&world, large));
    for worker in world.workers.values_mut() {
        worker.silent = true;
    }
    world.look();
    world.look();
    assert!(why(&world, large).contains("don't answer"), "{}", why(&world, large));
}

#[test]
fn explain_advice_and_data() {
    let mut world = World::new(2);
    world.entries[1].rack = "r7".to_owned();
    world.settle();
    world.submit(1, vec![Step { preferred_rack: Some("r7".to_owned()), ..step(1, 8_000) }]);
    world.plan();
    let near =
        world.submit(2, vec![Step { preferred_rack: Some("r7".to_owned()), ..step(1, 8_000) }]);
    world.plan();
    assert_eq!(why(&world, near), "waits for room in rack r7, where its data is");
    let queue = Queue { advice: Some(AdviceCost::default()), ..Queue::default() };
    world.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    world.pool.advice_queries(at(world.now), 1);
    assert!(why(&world, near).starts_with("advice on which workers"), "{}", why(&world, near));
}
