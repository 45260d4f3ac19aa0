//! Tests of jobs whose tasks may not be started.
#![allow(clippy::expect_used)]

mod common;

use common::{FENCE, Simulation, at, owner, step};
use corianderfork_jobs::pool::Hold;

// Guards against a task that runs on two workers: a former owner that didn't know that it had been
// replaced started a job that was accepted since, and so did its successor.
#[test]
fn plan_of_a_job_that_was_learned_while_ownership_was_uncertain() {
    let mut sim = Simulation::new(1);
    let id = sim.submit(1, vec![step(1, 1_000)]);
    sim.pool.hold(id, Hold::Ownership);
    assert!(sim.pool.plan(at(sim.now), 0).is_empty());
    sim.pool.confirm_ownership();
    assert_eq!(sim.pool.plan(at(sim.now), 0).len(), 1);
}

// Guards against done tasks that run again, and against a record that no longer says that they are
// done: the progress of their job couldn't be read.
#[test]
fn next_batch_of_a_job_whose_progress_is_unreadable() {
    let mut sim = Simulation::new(1);
    let id = sim.submit(1, vec![step(1, 1_000)]);
    sim.write();
    sim.pool.hold(id, Hold::Progress);
    sim.pool.hold(id, Hold::Ownership);
    sim.pool.confirm_ownership();
    sim.pool.cancel(at(sim.now), id);
    assert!(sim.pool.plan(at(sim.now), 0).is_empty());
    assert!(sim.pool.next_batch(at(sim.now + 1_000), 0, 28).updates.is_empty());
    assert!(!sim.pool.is_written(id), "a caller isn't told that it is cancelled");
}

// Guards against a task that runs on two workers: a roster that couldn't be read was taken for an
// empty one, and a worker without an entry wasn't waited for.
#[test]
fn is_recovering_with_an_unreadable_roster() {
    let mut pool = owner(FENCE, 0);
    pool.set_unreadable_roster();
    pool.set_roster(Vec::new(), 0);
    assert!(pool.is_recovering(at(9_999)));
    assert!(!pool.is_recovering(at(10_000)), "the leases of former owners have ended");
}
