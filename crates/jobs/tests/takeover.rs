//! Owners that take over, and owners that are replaced.

mod common;

use std::time::Duration;

use common::{FENCE, MAX_LEASE_MS, Simulation, at, first_task, owner, step};
use corianderfork_jobs::pool::{Action, Config, Pool};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Name;
use corianderfork_jobs::{Job, JobId};

// Guards against two owners that start tasks of one pool: an owner is paused, a successor takes
// over the workers, and the first owner resumes unaware of it.
#[test]
fn handle_poll_answer_deposes_an_owner_with_a_lower_fence() {
    let mut sim = Simulation::new(1);
    sim.submit(1, vec![step(1, 1_000)]);
    sim.workers.get_mut("w0").expect("a worker").fence = FENCE + 1;
    sim.plan();
    assert!(sim.pool.is_deposed());
    assert_eq!(sim.running_count(), 0);
}

// Guards against running a task twice after a takeover: a successor reads the accepted jobs and
// starts their tasks without polling the workers first.
#[test]
fn accept_by_a_successor_adopts_runs() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 3_000;
    let job = sim.submit(1, vec![step(2, 1_000)]);
    sim.plan();
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.pool.set_workers(at(sim.now), &sim.registrations);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(2, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    assert!(sim.plan().is_empty(), "no worker was polled yet");
    sim.poll_all();
    assert!(sim.plan().is_empty(), "both tasks run");
    sim.run_for(4_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    assert_eq!(sim.orders.len(), 2, "each task was started once");
}

// Guards against running a task twice after a takeover: a worker that runs a task is
// partitioned as its owner dies, the successor finds the task nowhere and starts it. An
// unreachable worker must not count as empty.
#[test]
fn plan_by_a_successor_waits_for_unreachable_workers() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.registrations.retain(|entry| entry.id != holder);
    sim.list_and_poll();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    sim.run_for(3_000);
    assert_eq!(sim.workers_running(first_task(job)), [holder.as_str()], "the task runs only there");
    sim.run_for(8_000);
    let now = sim.workers_running(first_task(job));
    assert_eq!(now.len(), 1, "the lease has ended, and the task was started elsewhere");
    assert_ne!(now, [holder.as_str()]);
}

// Guards against a task that waits for the leases of a former owner on a worker that has ended, and
// that the successor has never reached.
#[test]
fn remove_ended_worker_of_a_predecessor() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.list_and_poll();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    sim.run_for(1_000);
    let silent: Vec<&str> = sim.pool.silent_workers().collect();
    assert_eq!(silent, [holder.as_str()]);
    sim.workers.get_mut(&holder).expect("a worker").running.clear();
    sim.pool.remove_ended_worker(at(sim.now), &holder);
    sim.plan();
    let now = sim.workers_running(first_task(job));
    assert_eq!(now.len(), 1, "it is started at once");
    assert_ne!(now, [holder.as_str()]);
}

// Guards against the removal of a worker that answers: a report that it has ended may be about an
// earlier instance.
#[test]
fn remove_ended_worker_that_answers() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    sim.poll_all();
    sim.pool.remove_ended_worker(at(sim.now), "w0");
    sim.run_for(1_000);
    assert_eq!(sim.pool.silent_workers().count(), 0);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
    assert_eq!(sim.pool.workers().count(), 1);
}

// Guards against starting more on a worker than it has room for: a job is cancelled and its
// owner dies before its tasks are stopped; the successor finds them running and places others
// there. The room of the tasks of an ended job is unknown, and their current CPU use may be
// lower.
#[test]
fn plan_starts_nothing_beside_a_run_of_unknown_size() {
    let mut sim = Simulation::new(1);
    let other = Name { job: JobId(77), occurrence: 0, step: 0, index: 0 };
    let run = common::ActiveRun {
        run: 3,
        room: step(1, 7_500).room(),
        ends_at: u64::MAX,
        began_at: 0,
        resumed_ms: 0,
        percent: Some(0),
        gauge: 0,
    };
    sim.workers.get_mut("w0").expect("a worker").running.insert(other, run);
    sim.workers.get_mut("w0").expect("a worker").deadline = u64::MAX;
    let ended =
        corianderfork_jobs::record::Progress { state: State::Cancelled, ..Default::default() };
    sim.pool.accept_ended(at(sim.now), other.job, &ended);
    sim.now += 100;
    sim.poll_all();
    sim.steps.insert(other.job, vec![step(1, 7_500)]);
    sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.plan();
    assert!(orders.iter().all(|order| matches!(order.action, Action::Stop)), "{orders:?}");
    assert_eq!(orders.len(), 1, "the run of an ended job is stopped at once");
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(JobId(1)), Some(State::Completed));
}

// Guards against running a task twice after a takeover: a worker joins, gets tasks, and is
// partitioned without an entry as its owner dies. The successor doesn't know that it exists
// unless its location is in the store.
#[test]
fn plan_orders_nothing_before_a_workers_location_is_written() {
    let mut sim = Simulation::new(1);
    sim.registrations.push(common::registration("new", 9_900, "r9"));
    sim.workers.insert("new".to_owned(), common::Worker::default());
    sim.pool.set_workers(at(sim.now), &sim.registrations);
    sim.poll_all();
    sim.submit(1, vec![step(12, 1_000)]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 8, "as many as w0 has room for");
    assert!(orders.iter().all(|order| order.id == "w0"));
    let locations = sim.pool.roster_update().expect("a location is not written");
    sim.pool.confirm_roster(locations);
    assert_eq!(sim.plan().len(), 4);
}

// Guards against running a task twice after a takeover: the successor has polled one worker and
// starts a task there, while its predecessor starts the same task on a worker that is not yet
// polled. The fence protects only workers that have seen it.
#[test]
fn plan_orders_nothing_before_each_worker_was_polled() {
    let mut sim = Simulation::new(2);
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.pool.set_workers(at(sim.now), &sim.registrations);
    sim.poll(sim.key("w0"));
    sim.submit(1, vec![step(1, 1_000)]);
    assert!(sim.plan().is_empty());
    sim.poll(sim.key("w1"));
    assert_eq!(sim.plan().len(), 1);
}

// Guards against tasks that wait beside idle workers as a queue's busy time begins: hundreds of
// workers join one after the other, and nothing was started while any of them was not polled yet.
#[test]
fn plan_starts_tasks_while_a_new_worker_is_not_polled() {
    let mut sim = Simulation::new(1);
    sim.registrations.push(common::registration("new", 9_900, "r9"));
    sim.workers.insert("new".to_owned(), common::Worker::default());
    sim.list_workers();
    sim.submit(1, vec![step(12, 1_000)]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 8, "as many as w0 has room for");
    assert!(orders.iter().all(|order| order.id == "w0"));
    sim.poll_all();
    assert_eq!(sim.plan().len(), 4);
}

// Guards against waiting for a predecessor's leases on a worker that already rejects the
// predecessor.
#[test]
fn plan_by_a_successor_requeues_tasks_of_a_fenced_worker() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    let locations = sim.pool.written_roster();
    let grants_end = at(sim.now + 60_000);
    sim.pool = Pool::new(Config::new(FENCE + 50, grants_end));
    sim.pool.set_queues(common::queues());
    sim.pool.set_roster(locations, 0);
    sim.list_and_poll();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    sim.run_for(200);
    assert_eq!(sim.workers_running(first_task(job)), [holder.as_str()], "the run was adopted");
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    sim.registrations.retain(|entry| entry.id != holder);
    sim.list_workers();
    sim.run_for(3_000);
    assert_eq!(sim.workers_running(first_task(job)), [holder.as_str()], "its lease is valid");
    let starts = sim.orders.len();
    sim.run_for(MAX_LEASE_MS - 3_000);
    assert_eq!(sim.orders.len(), starts, "the predecessor may have given it the longest lease");
    sim.run_for(2_500);
    let now = sim.workers_running(first_task(job));
    assert_eq!(now.len(), 1);
    assert_ne!(now, [holder.as_str()], "its lease has ended");
}
