//! Ends of a job whose own end is decided and not yet written.
#![allow(clippy::expect_used)]

mod common;

use common::{World, at, first, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::task::Outcome;

/// The last end that the worker may forget.
fn seen(world: &mut World) -> u64 {
    let key = world.key("w0");
    world.pool.next_poll(at(world.now), key).expect("a poll").acked
}

/// A worker on which the task of a job ended so after the job was taken back, which
/// isn't written yet.
fn ended(outcome: Outcome) -> (World, JobId) {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    assert!(world.pool.cancel(at(world.now), job));
    world.workers.get_mut("w0").expect("a worker").end(first(job), outcome);
    world.now += 100;
    world.look();
    (world, job)
}

#[test]
fn next_look_lets_forget_an_end_only_once_the_cancellation_is_written() {
    // Symptom: a task that was done runs a second time.
    // Sequence: a caller takes a job back while the store answers slowly; a task of
    //   it ends as done; its worker is let forget that; all entry VMs lose power
    //   before the cancellation is written; the successor finds the job accepted and
    //   nothing of it done.
    // Cause: an end of a job that is over counted for nothing, though neither the
    //   end nor that the job is over was in the store.
    for outcome in [Outcome::Done, Outcome::Failed] {
        let (mut world, _) = ended(outcome);
        assert_eq!(seen(&mut world), 0, "{outcome:?}: nothing of it is written");
        world.write();
        assert_eq!(seen(&mut world), 1, "{outcome:?}: nothing holds it any more");
    }
}

#[test]
fn next_look_lets_forget_an_end_of_a_job_that_is_written_as_over() {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    world.pool.cancel(at(world.now), job);
    world.write();
    world.workers.get_mut("w0").expect("a worker").end(first(job), Outcome::Done);
    world.now += 100;
    world.look();
    assert_eq!(seen(&mut world), 1);
}
