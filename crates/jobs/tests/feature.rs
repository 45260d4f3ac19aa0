//! Work that only some workers can run.

mod common;

use std::time::Duration;

use common::{World, at, first, step};
use corianderfork_jobs::{JobId, Step};

/// A pool of `count` workers of 8 cores of which `w0` alone has a label.
fn world(count: u16) -> World {
    let mut world = World::new(count);
    world.entries[0].labels.push("ssd".to_owned());
    world.settle();
    world
}

fn labelled(count: u32, cpu: u64) -> Step {
    Step { label: Some("ssd".to_owned()), ..step(count, cpu) }
}

fn lasting(step: Step, max_unavailable: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(max_unavailable), ..step }
}

/// All that lasts is at work.
fn at_work(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.running.values_mut().for_each(|run| run.percent = Some(100));
    }
    world.look();
}

#[test]
fn plan_starts_labelled_tasks_where_the_label_is() {
    let mut world = world(3);
    world.submit(1, vec![labelled(3, 1_000)]);
    let orders = world.plan();
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|order| order.id == "w0"));
}

#[test]
fn plan_leaves_a_sought_worker_to_what_needs_it() {
    // Symptom: work that needs a label waits beside workers that stand idle.
    // Sequence: the one worker with the label has not room enough yet; tasks
    //   that any worker could run take what is left of it.
    // Cause: tasks are packed, and the fullest worker is the first choice.
    let mut world = world(2);
    world.submit(1, vec![labelled(1, 4_000)]);
    world.plan();
    world.submit(2, vec![labelled(1, 5_000)]);
    world.submit(3, vec![step(4, 1_000)]);
    let orders = world.plan();
    assert_eq!(orders.len(), 4, "5 of 4 free cores don't fit");
    assert!(orders.iter().all(|order| order.id == "w1"));
    world.run(600);
    assert_eq!(world.where_runs(first(JobId(2))), ["w0"]);
}

#[test]
fn evacuate_what_could_run_anywhere_for_what_can_not() {
    // Symptom: work that needs a label never runs; others run beside it.
    // Sequence: lasting tasks came first and fill the one worker that has it.
    // Cause: they stay for good, and nothing asks them to go elsewhere.
    let mut world = world(2);
    world.takes = 600_000;
    let plain = world.submit(1, vec![lasting(step(1, 6_000), 1)]);
    world.submit(2, vec![lasting(step(1, 6_000), 1)]);
    world.plan();
    at_work(&mut world);
    let on_label = world.workers["w0"].running.keys().next().expect("a task").job;
    assert!(on_label == plain || on_label == JobId(2));
    let other = first(if on_label == plain { JobId(2) } else { plain });
    let key = world.pool.worker("w1").expect("a worker").0;
    assert_eq!(world.where_runs(other), ["w1"]);
    world.entries.push(common::entry("w2", 9_100, "r1"));
    world.workers.insert("w2".to_owned(), common::Worker::default());
    world.settle();
    world.takes = 500;
    world.submit(3, vec![labelled(1, 4_000)]);
    world.run(2_000);
    assert!(world.where_runs(first(JobId(3))).is_empty(), "w0 has 2 of 8 cores left");
    let mut waited = 0;
    while world.workers["w0"].running.keys().any(|name| name.job == on_label) {
        world.takes = 600_000;
        world.run(100);
        waited += 100;
        assert!(waited < 5_000, "the lasting task stays");
    }
    world.run(300);
    assert_eq!(world.where_runs(first(JobId(3))), ["w0"]);
    assert_eq!(world.where_runs(first(on_label)), ["w2"]);
    assert!(world.pool.worker("w1").expect("a worker").0 == key, "w1 went on");
}

#[test]
fn plan_uses_a_worker_that_could_not_be_emptied_where_no_other_has_the_label() {
    // Symptom: work that needs a label waits for as long as a wave lasts.
    // Sequence: the one worker with the label is to be maintained; a lasting
    //   task that needs the label too can't go elsewhere and keeps it.
    // Cause: a worker that is being emptied takes nothing new, however long.
    let mut world = world(2);
    world.takes = 600_000;
    world.submit(1, vec![lasting(labelled(1, 1_000), 0)]);
    world.plan();
    at_work(&mut world);
    world.takes = 500;
    world.submit(2, vec![labelled(1, 1_000)]);
    let mut waited = 0;
    while world.where_runs(first(JobId(2))).is_empty() {
        world.pool.vacate(at(world.now), "w0", Duration::from_secs(2));
        world.run(100);
        waited += 100;
        assert!(waited < 8_000, "it was never started");
    }
    assert!(waited > 4_000, "only {waited} ms after the worker was asked for");
}

#[test]
fn evacuate_a_task_with_nowhere_to_go_where_it_may_be_missed() {
    // Symptom: a wave is late for one VM, which is never empty.
    // Sequence: a lasting task there needs what only this VM has.
    // Cause: it is stopped only where another worker has room for it.
    let mut world = world(2);
    world.takes = 600_000;
    world.submit(1, vec![lasting(labelled(1, 1_000), 1)]);
    world.run(1_700);
    at_work(&mut world);
    let mut waited = 0;
    while world.pool.vacate(at(world.now), "w0", Duration::from_secs(2)) != Some(true) {
        world.run(100);
        waited += 100;
        assert!(waited < 8_000, "it is never empty");
    }
    assert!(waited > 3_900, "after {waited} ms");
}

#[test]
fn evacuate_nothing_that_may_not_all_be_missed() {
    // Symptom: a lasting task is away for the length of a wave.
    // Sequence: four tasks of a step need what only one VM has; one of them may
    //   be missed and is stopped; the others keep the VM, and it takes nothing
    //   new.
    // Cause: what is stopped has no place to go until the VM is empty.
    let mut world = world(2);
    world.takes = 600_000;
    world.submit(1, vec![lasting(labelled(4, 1_000), 1)]);
    world.run(1_700);
    at_work(&mut world);
    for _ in 0..80 {
        world.pool.vacate(at(world.now), "w0", Duration::from_secs(2));
        world.run(100);
    }
    assert_eq!(world.running(), 4);
}

#[test]
fn load_asks_for_a_worker_where_none_has_the_label() {
    let mut world = World::new(2);
    world.submit(1, vec![labelled(3, 1_000)]);
    world.run(3_000);
    assert_eq!(world.pool.load(at(world.now)).unfit, 1, "one is enough for a step");
}

#[test]
fn shrink_keeps_the_worker_with_the_label_that_a_step_needs() {
    // Symptom: a job that needs a label is not completed, beside idle workers.
    // Sequence: the one worker with the label stands idle until the job's second
    //   step; the pool has a worker more than its load asks for.
    // Cause: the least busy one is let go, whatever waits for it.
    let mut world = World::new(3);
    world.entries[2].labels.push("ssd".to_owned());
    world.settle();
    world.takes = 5_000;
    world.submit(1, vec![step(2, 8_000), labelled(1, 1_000).after(0)]);
    world.plan();
    let empty = world.pool.shrink(at(world.now), 2, Duration::from_secs(60));
    assert!(!empty.contains(&"w2".to_owned()), "{empty:?} may go");
}

#[test]
fn shrink_keeps_a_worker_that_is_large_enough_for_a_step() {
    let mut world = World::new(3);
    world.entries[2].room.cpu = 16_000;
    world.settle();
    world.submit(1, vec![step(1, 1_000), step(1, 12_000).after(0)]);
    world.takes = 5_000;
    world.plan();
    let empty = world.pool.shrink(at(world.now), 1, Duration::from_secs(60));
    assert!(!empty.contains(&"w2".to_owned()), "{empty:?} may go, and w2 alone is large enough");
}

#[test]
fn load_counts_no_worker_that_is_emptied_for_its_maintenance() {
    // Symptom: a job that needs a label waits for as long as a wave goes on.
    // Sequence: the one worker with the label is to be maintained and takes no work,
    //   while a lasting task there has nowhere to go; the pool asks for no other.
    // Cause: it counts as one that may run the step.
    let mut world = world(2);
    world.takes = 600_000;
    world.submit(1, vec![lasting(labelled(1, 1_000), 0)]);
    world.plan();
    at_work(&mut world);
    world.pool.vacate(at(world.now), "w0", Duration::from_secs(60));
    world.submit(2, vec![labelled(1, 1_000)]);
    world.run(3_000);
    assert!(world.where_runs(first(JobId(2))).is_empty());
    assert_eq!(world.pool.load(at(world.now)).unfit, 1);
}
