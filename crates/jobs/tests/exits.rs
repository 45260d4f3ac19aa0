//! Exits of runs, more than a worker lists at a time.

mod common;

use std::time::Duration;

use common::{FENCE, MAX_LISTED_EXITS, Simulation, at, owner, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::{Job, JobId, Step};

/// More tasks than a worker lists exits, of which one worker can run all at once.
const TASKS: u32 = MAX_LISTED_EXITS as u32 + 1;

fn small_step() -> Step {
    Step { needs: Room { cpu: 1, memory_mb: 1, gpu: 0 }, ..step(TASKS, 1) }
}

/// Runs the pool without writes, as while the store is down.
fn run_without_store(sim: &mut Simulation, millis: u64) {
    for _ in 0..millis / 100 {
        sim.now += 100;
        sim.workers.values_mut().for_each(|worker| worker.advance(sim.now));
        sim.poll_all();
        sim.plan();
    }
}

fn starts(sim: &Simulation) -> usize {
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    sim.orders.iter().filter(|order| is_start(&order.action)).count()
}

/// Returns a pool of one worker on which all tasks of a job have ended, and nothing is written.
fn ended_and_unwritten() -> (Simulation, JobId) {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![small_step()]);
    run_without_store(&mut sim, 3_000);
    assert_eq!(sim.workers["w0"].exits.len(), TASKS as usize);
    (sim, job)
}

// Guards against tasks that are done and run again, since their worker has more exits than it lists
// at a time: the store is down, so that none can be acknowledged.
#[test]
fn release_unlisted_beyond_a_list_cut_short() {
    let (mut sim, job) = ended_and_unwritten();
    run_without_store(&mut sim, 3_000);
    assert_eq!(starts(&sim), TASKS as usize);
    sim.run_for(3_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    assert_eq!(starts(&sim), TASKS as usize, "each task was started once");
}

// Guards against the same by a successor, for which a task whose exit isn't listed yet seems to wait.
#[test]
fn plan_by_a_successor_beyond_a_list_cut_short() {
    let (mut sim, job) = ended_and_unwritten();
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.connections = common::Connections::default();
    sim.list_and_poll();
    let lasting = Job::new("run".to_owned(), vec![small_step()]).expect("a job");
    let (queue, organisation) = ("q".to_owned(), None);
    let record = Record { queue, accepted_ms: 0, attempts: None, job: lasting, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    sim.run_for(5_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    assert_eq!(starts(&sim), TASKS as usize, "each task was started once");
}
