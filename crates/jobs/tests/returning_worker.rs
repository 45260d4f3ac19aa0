//! Workers that are considered gone and return.
#![allow(clippy::expect_used)]

mod common;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::record::State;

/// Longer than a lease, and longer than an entry is listed without heartbeats.
const PARTITION_MS: u64 = 12_000;
/// Within this time a worker that writes heartbeats is accepted again.
const RECOVERY_MS: u64 = 6_000;

/// Runs for `millis`, with an update of the list of workers each half second.
fn run_with_heartbeats(sim: &mut Simulation, millis: u64) {
    let end = sim.now + millis;
    while sim.now < end {
        sim.list_workers();
        sim.run_for(500);
    }
}

// Guards against a job that waits beside an idle worker until its pool gets a new owner. The only
// worker is partitioned from the owner and the store for longer than its lease, and its entry
// expires. It recovers, writes its entry again and answers, but it had been recorded as permanently
// ended.
#[test]
fn set_workers_with_an_instance_that_was_partitioned() {
    let mut sim = Simulation::new(1);
    let registrations = std::mem::take(&mut sim.registrations);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    run_with_heartbeats(&mut sim, PARTITION_MS);
    assert!(sim.pool.worker("w0").is_none(), "the worker was not removed");
    sim.registrations = registrations;
    sim.workers.get_mut("w0").expect("a worker").silent = false;
    run_with_heartbeats(&mut sim, RECOVERY_MS);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    run_with_heartbeats(&mut sim, 2_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against a VM that idles in its pool while jobs wait: the maintenance of a VM is
// ordered, the answer is lost, and a new worker instance starts. The order is sent again, and
// the answer, which confirms the earlier maintenance, was taken for the end of the new
// instance.
#[test]
fn remove_gone_worker_of_a_live_instance() {
    let mut sim = Simulation::new(1);
    sim.pool.remove_gone_worker(at(sim.now), "w0");
    run_with_heartbeats(&mut sim, RECOVERY_MS);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    run_with_heartbeats(&mut sim, 2_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against polling workers that have ended, and writing the roster twice for each: after
// a VM is moved, the old instance stays listed until its entry expires, and earlier heartbeats
// arrive late.
#[test]
fn remove_gone_worker_of_an_instance_that_stays_listed() {
    let mut sim = Simulation::new(2);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    sim.pool.remove_gone_worker(at(sim.now), "w0");
    run_with_heartbeats(&mut sim, 1_000);
    let end = sim.now + PARTITION_MS;
    while sim.now < end {
        sim.pool.set_workers(at(sim.now), &sim.registrations);
        assert!(sim.pool.worker("w0").is_none(), "listed again at {}", sim.now);
        sim.run_for(500);
    }
    assert!(sim.workers_running(first_task(corianderfork_jobs::JobId(1))).is_empty());
}
