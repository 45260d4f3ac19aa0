//! Workers that were taken to be gone, and are not.
#![allow(clippy::expect_used)]

mod common;

use common::{World, at, first, step};
use corianderfork_jobs::record::State;

/// Longer than a lease, and than an entry stays listed without a heartbeat.
const CUT: u64 = 12_000;
/// Within this a worker that writes heartbeats has shown that it lives.
const SHOWN: u64 = 6_000;

/// Lets `millis` pass with a list of the workers each half second.
fn pass(world: &mut World, millis: u64) {
    let end = world.now + millis;
    while world.now < end {
        world.list();
        world.run(500);
    }
}

#[test]
fn set_workers_with_a_life_that_was_cut_off() {
    // Symptom: a job waits beside an idle worker, for as long as its pool's owner
    //   lives.
    // Sequence: the only worker is cut off from the owner and from the store for
    //   longer than its lease; its entry runs out; the cut heals, and the worker
    //   writes its entry again and answers.
    // Cause: a worker that is silent past its lease and not listed is taken to have
    //   ended for good, and its life is never believed again.
    let mut world = World::new(1);
    let entries = std::mem::take(&mut world.entries);
    world.workers.get_mut("w0").expect("a worker").silent = true;
    pass(&mut world, CUT);
    assert!(world.pool.worker("w0").is_none(), "it was not taken to be gone");
    world.entries = entries;
    world.workers.get_mut("w0").expect("a worker").silent = false;
    pass(&mut world, SHOWN);
    let job = world.submit(1, vec![step(1, 1_000)]);
    pass(&mut world, 2_000);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn gone_of_a_life_that_goes_on() {
    // Symptom: a VM stands idle in its pool, and jobs wait.
    // Sequence: the maintenance of a VM is ordered, and the answer is lost; it is
    //   done, and another life of its worker comes; the order is sent again, and
    //   the answer says that it is done.
    // Cause: the answer to an order that was done before is taken for the end of
    //   the life that runs now.
    let mut world = World::new(1);
    world.pool.remove_gone_worker(at(world.now), "w0");
    pass(&mut world, SHOWN);
    let job = world.submit(1, vec![step(1, 1_000)]);
    pass(&mut world, 2_000);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn gone_of_a_life_that_is_listed_a_while_yet() {
    // Symptom: an owner asks workers that ended, and writes its roster twice for
    //   each of them.
    // Sequence: a VM is moved; the list names the life that it ran until its entry
    //   runs out, and heartbeats of before come late.
    // Cause: an entry that lags is taken for a life that goes on.
    let mut world = World::new(2);
    world.workers.get_mut("w0").expect("a worker").silent = true;
    world.pool.remove_gone_worker(at(world.now), "w0");
    pass(&mut world, 1_000);
    let end = world.now + CUT;
    while world.now < end {
        world.pool.set_workers(at(world.now), &world.entries);
        assert!(world.pool.worker("w0").is_none(), "listed again at {}", world.now);
        world.run(500);
    }
    assert!(world.where_runs(first(corianderfork_jobs::JobId(1))).is_empty());
}
