//! Tests of failed runs while the configuration lacks the queue of a job.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, queues, step};
use corianderfork_jobs::pool::wait::Reason;
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::{Job, JobId};

fn record(attempts: Option<u32>) -> Record {
    let job = Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job");
    Record { queue: "q".to_owned(), accepted_ms: 0, job, organisation: None, attempts }
}

/// Starts the task of a job, takes its queue out of the configuration and lets the run fail.
fn fail_without_configuration(attempts: Option<u32>) -> (Simulation, JobId) {
    let mut sim = Simulation::new(2);
    let id = JobId(1);
    sim.steps.insert(id, vec![step(1, 1_000)]);
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record(attempts), None, FENCE + 1);
    sim.run_for(200);
    assert_eq!(sim.running_count(), 1);
    sim.pool.set_queues(HashMap::new());
    sim.workers.values_mut().for_each(|worker| worker.fails = true);
    while sim.running_count() > 0 {
        sim.run_for(100);
    }
    sim.run_for(200);
    (sim, id)
}

// Guards against a job that is failed after one of its attempts: its queue was missing from the
// configuration for a moment, and counted as one with a single attempt.
#[test]
fn handle_exit_of_a_failed_run_without_configuration() {
    let (mut sim, id) = fail_without_configuration(Some(2));
    assert_eq!(sim.running_count(), 1, "its second attempt");
    sim.workers.values_mut().for_each(|worker| worker.fails = false);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a task that is started more often than its queue allows while that isn't known.
#[test]
fn handle_exit_of_the_last_attempt_without_configuration() {
    let (mut sim, id) = fail_without_configuration(Some(2));
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(id), Some(State::Failed));
    let (mut sim, id) = fail_without_configuration(Some(1));
    sim.run_for(500);
    assert_eq!(sim.pool.state(id), Some(State::Failed));
}

// Guards against a final decision while the number of attempts isn't known at all: a version before
// accepted the job.
#[test]
fn plan_holds_a_failed_task_until_its_queue_is_configured() {
    let (mut sim, id) = fail_without_configuration(None);
    sim.workers.values_mut().for_each(|worker| worker.fails = false);
    sim.run_for(5_000);
    assert_eq!((sim.pool.state(id), sim.running_count()), (Some(State::Running), 0));
    let explanation = sim.pool.explain(at(sim.now), id).expect("a job");
    assert_eq!(explanation.steps[0].waits_for, Some(Reason::Configuration));
    sim.pool.set_queues(queues());
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(id), Some(State::Completed));
}

// Guards against a job that never ends: a successor that hears of the failed run before it has read
// a configuration holds the task, and has to fail the job if no attempt is left.
#[test]
fn plan_after_a_takeover_without_configuration() {
    for attempts in [1, 2] {
        let (mut sim, id) = fail_without_configuration(None);
        sim.workers.values_mut().for_each(|worker| worker.fails = false);
        let locations = sim.pool.written_roster();
        sim.pool = owner(FENCE + 50, sim.now);
        sim.pool.set_queues(HashMap::new());
        sim.pool.set_roster(locations, 0);
        sim.connections = common::Connections::default();
        sim.list_and_poll();
        let progress = sim.progress.get(&id).expect("written progress").clone();
        let now = at(sim.now);
        sim.pool.accept(now, Duration::ZERO, id, &record(None), Some(&progress), FENCE + 1);
        sim.run_for(3_000);
        assert!(sim.workers_running(first_task(id)).is_empty(), "its attempts aren't known");
        let queue = Queue { attempts, ..queues().remove("q").expect("a queue") };
        sim.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
        sim.run_for(2_000);
        let expected = if attempts == 1 { State::Failed } else { State::Completed };
        assert_eq!(sim.pool.state(id), Some(expected));
    }
}
