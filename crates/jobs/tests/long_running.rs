//! Tasks that last, and what of them may be missed.

mod common;

use std::time::Duration;

use common::{FENCE, World, at, first, owner, step};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::{Job, Step};

fn lasting(count: u32, max_unavailable: u32) -> Step {
    Step {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        max_per_worker: 1,
        ..step(count, 1_000)
    }
}

fn at_work(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.running.values_mut().for_each(|run| run.percent = Some(100));
    }
}

#[test]
fn evacuate_counts_tasks_on_silent_workers_as_away() {
    // Symptom: more tasks of a lasting step are away than may be.
    // Sequence: the worker of one crashes and falls silent; another one's worker
    //   is to be maintained, and its task is stopped.
    // Cause: what was last heard of the silent worker's task is taken for true
    //   until its lease ends.
    let mut world = World::new(6);
    world.takes = 600_000;
    let job = world.submit(1, vec![lasting(4, 1)]);
    world.plan();
    at_work(&mut world);
    world.run(1_000);
    let name = |index: u32| Name { index, ..first(job) };
    let crashed = world.where_runs(name(0))[0].to_owned();
    let maintained = world.where_runs(name(1))[0].to_owned();
    world.workers.get_mut(&crashed).expect("a worker").silent = true;
    world.run(200);
    world.pool.vacate(at(world.now), &maintained, Duration::from_secs(60));
    world.run(2_000);
    assert_eq!(world.where_runs(name(1)), [maintained.as_str()], "it must not be stopped");
}

#[test]
fn evacuate_moves_lasting_tasks_one_by_one() {
    let mut world = World::new(6);
    world.takes = 600_000;
    let job = world.submit(1, vec![lasting(4, 1)]);
    world.plan();
    at_work(&mut world);
    world.run(1_000);
    let name = |index: u32| Name { index, ..first(job) };
    let both: Vec<String> =
        [0, 1].iter().map(|i| world.where_runs(name(*i))[0].to_owned()).collect();
    for id in &both {
        world.pool.vacate(at(world.now), id, Duration::from_secs(60));
    }
    world.run(1_000);
    let moved =
        |world: &World, index: u32| !both.contains(&world.where_runs(name(index))[0].to_owned());
    assert!(moved(&world, 0) && !moved(&world, 1), "the second waits for the first");
    at_work(&mut world);
    world.run(1_000);
    assert!(moved(&world, 1));
}

#[test]
fn evacuate_by_a_successor_waits_for_stops_of_its_predecessor() {
    // Symptom: more tasks of a lasting step are away than may be.
    // Sequence: an owner orders the stop of one task and dies; the task is still
    //   listed at work as the successor looks, and it stops another one.
    // Cause: a stop takes a moment, and nobody tells the successor of it.
    let mut world = World::new(6);
    world.takes = 600_000;
    let job = world.submit(1, vec![lasting(4, 1)]);
    world.plan();
    at_work(&mut world);
    world.run(1_000);
    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![lasting(4, 1)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, None, FENCE + 1);
    world.settle();
    let name = |index: u32| Name { index, ..first(job) };
    let stopped = world.where_runs(name(0))[0].to_owned();
    let other = world.where_runs(name(1))[0].to_owned();
    world.pool.vacate(at(world.now), &other, Duration::from_secs(60));
    world.run(300);
    // The predecessor's stop is carried out only now.
    world.workers.get_mut(&stopped).expect("a worker").end(name(0), Outcome::Stopped);
    assert_eq!(world.where_runs(name(1)), [other.as_str()]);
    world.run(1_000);
    at_work(&mut world);
    world.run(2_000);
    assert_ne!(world.where_runs(name(1)), [other.as_str()], "then it goes on");
}

#[test]
fn load_asks_for_a_worker_where_a_lasting_task_fits_on_none() {
    // Symptom: a lasting task doesn't run for seconds though the fleet idles.
    // Sequence: it is moved off a worker that leaves; the pool has processors to
    //   spare, and no one worker has what the task needs.
    // Cause: the pool's size follows the sum of what is asked for.
    let mut world = World::new(2);
    world.takes = 600_000;
    world.submit(1, vec![lasting(3, 1)]);
    world.run(200);
    let each = corianderfork_jobs::job::Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 };
    let mut size = corianderfork_jobs::size::Sizer::default();
    let load = world.pool.load(at(world.now));
    assert_eq!(size.request(at(world.now), &load, &each).peak, 2, "it has just come");
    world.run(1_000);
    let load = world.pool.load(at(world.now));
    assert_eq!(load.unfit, 1);
    let want = size.request(at(world.now), &load, &each);
    assert!(want.peak >= 3 && want.min >= 3, "{want:?}");
}

/// A task of 7 of 8 cores that is being stopped to move from `w0` to `w2`, the one
/// worker that may carry it: `w1` has the other task of its step.
fn moving() -> (World, Name) {
    let mut world = World::new(3);
    world.takes = 600_000;
    let wide =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(2, 7_000) };
    let job = world.submit(1, vec![wide]);
    world.plan();
    at_work(&mut world);
    world.run(2_000);
    assert_eq!(world.where_runs(first(job)), ["w0"]);
    world.pool.vacate(at(world.now), "w0", Duration::from_secs(60));
    world.plan();
    assert!(world.where_runs(first(job)).is_empty(), "it is stopped");
    (world, first(job))
}

#[test]
fn vacate_the_worker_that_a_task_was_just_stopped_for() {
    // Symptom: a lasting task doesn't run for seconds, beside idle workers (LOST).
    // Sequence: two workers of a wave are emptied; a task of the first is stopped to
    //   move to another one; before it has started there, the planner has that one
    //   emptied as the wave's next.
    // Cause: which worker a task moves to is the owner's decision, which one is
    //   emptied next the planner's, and neither heeds the other. Seen by `task
    //   evacuated`, then `worker vacates` of the worker named by `room kept`, 9 ms
    //   later, then `kept room given up`; the task began again 10 s later.
    let (mut world, task) = moving();
    assert_eq!(world.pool.vacate(at(world.now), "w2", Duration::from_secs(60)), Some(false));
    world.run(500);
    assert_eq!(world.where_runs(task), ["w2"]);
    assert_eq!(world.pool.vacate(at(world.now), "w2", Duration::from_secs(60)), Some(false));
    let notes: Vec<&str> = world.pool.take_notes().iter().map(|note| note.event).collect();
    assert!(notes.contains(&"worker vacates"), "the wave's turn comes: {notes:?}");
}

#[test]
fn vacate_a_worker_that_a_task_can_do_without() {
    let (mut world, task) = moving();
    world.entries.push(common::entry("w3", 9_300, "r9"));
    world.workers.insert("w3".to_owned(), common::Worker::default());
    world.list();
    let fresh = world.key("w3");
    world.look_at(fresh);
    world.pool.vacate(at(world.now), "w2", Duration::from_secs(60));
    world.run(500);
    assert_eq!(world.where_runs(task), ["w3"]);
}
