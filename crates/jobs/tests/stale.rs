//! News that is older than what it is held against.
#![allow(clippy::expect_used)]

mod common;

use common::{World, at, first, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::task::Outcome;

/// Longer than any pause after which something is given up by time alone.
const LONG: u64 = 9_000;

#[test]
fn take_end_that_came_after_the_last_news() {
    // Symptom: a task that was done runs a second time.
    // Sequence: the store tells all jobs, then goes away; an end comes of a job that
    //   was accepted since; nine seconds pass.
    // Cause: news from before the end was listed says nothing of its job.
    let mut world = World::new(1);
    let job = JobId(9);
    let room = step(1, 1_000).room();
    let run = common::ActiveRun { run: 3, room, ends: u64::MAX, began: 0, percent: None, gauge: 0 };
    world.pool.set_jobs_known_until(at(world.now));
    world.now += 100;
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.deadline = u64::MAX;
    worker.running.insert(first(job), run);
    worker.end(first(job), Outcome::Done);
    world.run(LONG);
    let key = world.key("w0");
    let seen = world.pool.next_poll(at(world.now), key).expect("a poll").acked;
    assert_eq!(seen, 0, "nobody was asked for its job since");
}

#[test]
fn set_workers_with_a_life_that_is_first_told_late() {
    // Symptom: an owner asks a worker that ended, and writes its roster twice.
    // Sequence: a VM is moved while the list of workers isn't told; seconds later the
    //   list is told as it was before.
    // Cause: the first entry that is told after the end may be of before it.
    let mut world = World::new(2);
    world.workers.get_mut("w0").expect("a worker").silent = true;
    world.pool.remove_gone_worker(at(world.now), "w0");
    let entries = std::mem::take(&mut world.entries);
    world.now += LONG;
    for _ in 0..3 {
        world.pool.set_workers(at(world.now), &entries);
        assert!(world.pool.worker("w0").is_none(), "its entry did not change");
        world.now += 200;
    }
}
