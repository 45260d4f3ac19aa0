//! Steps that only some workers can run.

mod common;

use std::time::Duration;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::{JobId, Step};

/// A pool of `count` workers of 8 cores; only `w0` has a label.
fn simulation(count: u16) -> Simulation {
    let mut sim = Simulation::new(count);
    sim.registrations[0].labels.push("ssd".to_owned());
    sim.list_and_poll();
    sim
}

fn labelled(count: u32, cpu: u64) -> Step {
    Step { label: Some("ssd".to_owned()), ..step(count, cpu) }
}

fn long_running_step(step: Step, max_unavailable: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(max_unavailable), ..step }
}

/// Reports all runs as ready.
fn make_ready(sim: &mut Simulation) {
    for worker in sim.workers.values_mut() {
        worker.running.values_mut().for_each(|run| run.percent = Some(100));
    }
    sim.poll_all();
}

#[test]
fn plan_starts_labelled_tasks_where_the_label_is() {
    let mut sim = simulation(3);
    sim.submit(1, vec![labelled(3, 1_000)]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|order| order.id == "w0"));
}

// Guards against a step that waits for a label beside idle workers: the only worker with the
// label has too little room, and since tasks are packed, tasks that could run anywhere take the
// rest of it.
#[test]
fn plan_leaves_a_worker_to_tasks_that_need_its_feature() {
    let mut sim = simulation(2);
    sim.submit(1, vec![labelled(1, 4_000)]);
    sim.plan();
    sim.submit(2, vec![labelled(1, 5_000)]);
    sim.submit(3, vec![step(4, 1_000)]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 4, "5 of 4 free cores don't fit");
    assert!(orders.iter().all(|order| order.id == "w1"));
    sim.run_for(600);
    assert_eq!(sim.workers_running(first_task(JobId(2))), ["w0"]);
}

// Guards against a step with a label that never runs: long-running tasks that could run
// anywhere fill the only worker that has the label and never leave.
#[test]
fn evacuate_unrestricted_tasks_for_a_restricted_one() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    let plain = sim.submit(1, vec![long_running_step(step(1, 6_000), 1)]);
    sim.submit(2, vec![long_running_step(step(1, 6_000), 1)]);
    sim.plan();
    make_ready(&mut sim);
    let on_label = sim.workers["w0"].running.keys().next().expect("a task").job;
    assert!(on_label == plain || on_label == JobId(2));
    let other = first_task(if on_label == plain { JobId(2) } else { plain });
    let key = sim.pool.worker("w1").expect("a worker").0;
    assert_eq!(sim.workers_running(other), ["w1"]);
    sim.registrations.push(common::registration("w2", 9_100, "r1"));
    sim.workers.insert("w2".to_owned(), common::Worker::default());
    sim.list_and_poll();
    sim.task_ms = 500;
    sim.submit(3, vec![labelled(1, 4_000)]);
    sim.run_for(2_000);
    assert!(sim.workers_running(first_task(JobId(3))).is_empty(), "w0 has 2 of 8 cores left");
    let mut waited = 0;
    while sim.workers["w0"].running.keys().any(|name| name.job == on_label) {
        sim.task_ms = 600_000;
        sim.run_for(100);
        waited += 100;
        assert!(waited < 5_000, "the long-running task was not moved");
    }
    sim.run_for(300);
    assert_eq!(sim.workers_running(first_task(JobId(3))), ["w0"]);
    assert_eq!(sim.workers_running(first_task(on_label)), ["w2"]);
    assert!(sim.pool.worker("w1").expect("a worker").0 == key, "w1 is the same worker");
}

// Guards against a step with a label that waits for as long as a wave lasts: the only worker
// with the label is to be maintained, and a long-running task that also needs the label can't
// leave it.
#[test]
fn plan_uses_a_stranded_worker_if_no_other_has_the_label() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![long_running_step(labelled(1, 1_000), 0)]);
    sim.plan();
    make_ready(&mut sim);
    sim.task_ms = 500;
    sim.submit(2, vec![labelled(1, 1_000)]);
    let mut waited = 0;
    while sim.workers_running(first_task(JobId(2))).is_empty() {
        sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(2));
        sim.run_for(100);
        waited += 100;
        assert!(waited < 8_000, "the task was never started");
    }
    assert!(waited > 4_000, "started {waited} ms after vacating was requested");
}

// Guards against a wave that is late because of one VM: a long-running task there needs a
// feature that only this VM has, and tasks were only stopped if another worker had room.
#[test]
fn evacuate_a_task_without_another_place_if_it_may_be_unavailable() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![long_running_step(labelled(1, 1_000), 1)]);
    sim.run_for(1_700);
    make_ready(&mut sim);
    let mut waited = 0;
    while sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(2)) != Some(true) {
        sim.run_for(100);
        waited += 100;
        assert!(waited < 8_000, "the worker was never empty");
    }
    assert!(waited > 3_900, "empty after {waited} ms");
}

// Guards against a long-running task that is unavailable for the length of a wave: four tasks
// of a step need a feature of one VM, and one of them may be unavailable. If it were stopped,
// the others would still block the VM, and it would have no place until the VM is empty.
#[test]
fn evacuate_nothing_if_not_all_tasks_may_be_unavailable() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![long_running_step(labelled(4, 1_000), 1)]);
    sim.run_for(1_700);
    make_ready(&mut sim);
    for _ in 0..80 {
        sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(2));
        sim.run_for(100);
    }
    assert_eq!(sim.running_count(), 4);
}

#[test]
fn load_requests_a_worker_if_none_has_the_label() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![labelled(3, 1_000)]);
    sim.run_for(3_000);
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 1, "one is enough for a step");
}

// Guards against two pools that take all VMs from each other in turns: whenever none of a pool's
// workers answered, each waiting job asked for a worker of its own, beyond what its work needs.
#[test]
fn load_while_no_worker_answers() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 60_000;
    for id in 1..=40 {
        sim.submit(id, vec![step(1, 1_000 + id % 3 * 500)]);
    }
    sim.submit(41, vec![labelled(1, 500)]);
    sim.run_for(3_000);
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 1, "one for the label");
    sim.workers.values_mut().for_each(|worker| worker.silent = true);
    sim.run_for(1_500);
    let load = sim.pool.load(at(sim.now));
    assert_eq!((load.workers, load.unfit), (0, 2), "one for the label, one for all others");
    assert!(load.waiting.cpu >= 30_000 && load.needed.cpu > 0, "its work is told: {load:?}");
}

// Guards against a job that is never completed: the only worker with the label that its second
// step needs is idle until then, and the pool releases its least busy worker.
#[test]
fn shrink_keeps_the_worker_with_the_label_that_a_step_needs() {
    let mut sim = Simulation::new(3);
    sim.registrations[2].labels.push("ssd".to_owned());
    sim.list_and_poll();
    sim.task_ms = 5_000;
    sim.submit(1, vec![step(2, 8_000), labelled(1, 1_000).after(0)]);
    sim.plan();
    let empty = sim.pool.shrink(at(sim.now), 2, Duration::from_secs(60));
    assert!(!empty.contains(&"w2".to_owned()), "{empty:?} released");
}

#[test]
fn shrink_keeps_a_worker_that_is_large_enough_for_a_step() {
    let mut sim = Simulation::new(3);
    sim.registrations[2].room.cpu = 16_000;
    sim.list_and_poll();
    sim.submit(1, vec![step(1, 1_000), step(1, 12_000).after(0)]);
    sim.task_ms = 5_000;
    sim.plan();
    let empty = sim.pool.shrink(at(sim.now), 1, Duration::from_secs(60));
    assert!(!empty.contains(&"w2".to_owned()), "{empty:?} released, and only w2 is large enough");
}

// Guards against a step with a label that waits for as long as a wave lasts: the only worker
// with the label is vacated for maintenance, which a long-running task there delays, and it
// counted as a worker that may run the step.
#[test]
fn load_ignores_workers_vacated_for_maintenance() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![long_running_step(labelled(1, 1_000), 0)]);
    sim.plan();
    make_ready(&mut sim);
    sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(60));
    sim.submit(2, vec![labelled(1, 1_000)]);
    sim.run_for(3_000);
    assert!(sim.workers_running(first_task(JobId(2))).is_empty());
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 1);
}
