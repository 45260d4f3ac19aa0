//! Placement, exits, failures and states of tasks and jobs.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::pool::{Action, Answer, Connection};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Outcome;
use corianderfork_jobs::{Job, JobId};

#[test]
fn plan_steps_in_order() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![step(3, 1_000), step(2, 1_000).after(0)]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 3, "only the first step");
    assert!(orders.iter().all(|order| order.task.step == 0));
    sim.run_for(600);
    assert_eq!(sim.running_count(), 2, "the second step");
    sim.run_for(800);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against starting more on a worker than it has room for: far more tasks than fit are
// accepted at once, and some runs are being stopped while others wait. Runs that are being
// stopped, or whose start is unanswered, occupy room too.
#[test]
fn plan_never_exceeds_a_workers_room() {
    let mut sim = Simulation::new(2);
    let jobs: Vec<JobId> = (1..=10).map(|id| sim.submit(id, vec![step(5, 3_000)])).collect();
    sim.plan();
    assert_eq!(sim.running_count(), 4, "two on each of two workers of 8 cores");
    sim.pool.cancel(at(sim.now), jobs[0]);
    sim.run_for(20_000);
    assert!(sim.max_cpu_used <= 8_000, "{} thousandths on a worker of 8 cores", sim.max_cpu_used);
    let is_over = |job: &JobId| sim.pool.state(*job).is_some_and(State::is_final);
    assert!(jobs.iter().all(is_over));
}

// Guards against running a job again that was reported as completed: its last task ends, callers
// receive that state, and every process dies before the end is written.
#[test]
fn state_completed_only_once_written() {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    sim.now += 600;
    sim.poll_all();
    assert_eq!(sim.pool.state(job), Some(State::Running));
    let batch = sim.write();
    assert_eq!(batch.updates.len(), 1);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against running a finished task again after a takeover: the worker is allowed to
// forget an exit, and the owner dies before it has written it.
#[test]
fn next_poll_acks_only_written_exits() {
    let mut sim = Simulation::new(1);
    sim.submit(1, vec![step(2, 1_000), step(1, 1_000).after(0)]);
    sim.plan();
    sim.now += 600;
    sim.poll_all();
    let key = sim.key("w0");
    let poll = sim.pool.next_poll(at(sim.now), key, Connection::Kept).expect("a poll");
    assert_eq!(poll.acked, 0, "two exits are not written");
    sim.now += 1_100;
    sim.write();
    let poll = sim.pool.next_poll(at(sim.now), key, Connection::Kept).expect("a poll");
    assert_eq!(poll.acked, 2);
}

// Guards against running a task twice: the answer to a start is lost although the worker
// carried it out, and the task is started elsewhere.
#[test]
fn plan_repeats_an_unanswered_start_on_the_same_worker() {
    let mut sim = Simulation::new(3);
    sim.submit(1, vec![step(1, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    let lost = orders[0].clone();
    sim.pool.handle_order_answer(at(sim.now), &lost, &Answer::Lost);
    sim.now += 500;
    let again = sim.pool.plan(at(sim.now), 0);
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].id, again[0].run), (&lost.id, lost.run));
}

// Guards against running a task twice: a worker is partitioned and keeps running, and its tasks
// are started elsewhere before its lease ends.
#[test]
fn plan_waits_for_the_lease_of_a_silent_worker() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    let mut waited = 0;
    while sim.workers_running(first_task(job)).iter().all(|id| *id == holder) {
        sim.run_for(100);
        waited += 100;
        assert!(waited < 10_000, "the task was never started elsewhere");
    }
    assert_eq!(sim.workers_running(first_task(job)).len(), 1, "the lease there has ended");
    assert!(waited >= 4_000, "started elsewhere after {waited} ms");
}

#[test]
fn cancel_stops_runs_and_starts_nothing() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(3, 1_000), step(1, 1_000).after(0)]);
    sim.plan();
    assert!(sim.pool.cancel(at(sim.now), job));
    sim.run_for(1_000);
    assert_eq!(sim.running_count(), 0);
    assert_eq!(sim.pool.state(job), Some(State::Cancelled));
    assert_eq!(sim.orders.iter().filter(|o| matches!(o.action, Action::Start { .. })).count(), 3);
}

#[test]
fn task_failed_max_times_fails_the_job() {
    let mut sim = Simulation::new(2);
    sim.workers.values_mut().for_each(|worker| worker.fails = true);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(3_000);
    assert_eq!(sim.pool.state(job), Some(State::Failed));
    let starts = sim.orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    assert_eq!(starts.count(), 2, "two attempts");
}

// Guards against a job that waits forever although its worker answers every poll: the tasks
// there make no progress, and only the answers were monitored.
#[test]
fn stop_stalled_restarts_elsewhere() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let first_at = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&first_at).expect("a worker").stalled = true;
    sim.run_for(4_000);
    let now = sim.workers_running(first_task(job));
    assert_eq!(now.len(), 1);
    assert_ne!(now[0], first_at);
}

// Guards against running a finished task again after a takeover: a predecessor starts a task of
// a job that its successor learns of only after polling the workers, and the task ends
// meanwhile. The exit must not be dropped while its job is unknown.
#[test]
fn handle_exit_of_a_job_not_known_yet() {
    let mut sim = Simulation::new(1);
    let job = JobId(9);
    let room = step(1, 1_000).room();
    let worker = sim.workers.get_mut("w0").expect("a worker");
    let run = common::ActiveRun {
        run: 3,
        room,
        ends_at: u64::MAX,
        began_at: 0,
        resumed_ms: 0,
        percent: Some(0),
        gauge: 0,
    };
    worker.running.insert(first_task(job), run);
    worker.finish_run(first_task(job), Outcome::Done);
    sim.run_for(200);
    let poll = sim.pool.next_poll(at(sim.now), sim.key("w0"), Connection::Kept).expect("a poll");
    assert_eq!(poll.acked, 0);
    sim.submit(9, vec![step(1, 1_000)]);
    sim.run_for(300);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    assert!(sim.orders.is_empty(), "the task was done");
}

// Guards against reporting a job as failed although no task has reached the limit: the owner
// writes the count of failed runs and dies before the worker may forget the exit. The successor
// reads both, and a count alone doesn't tell which runs it includes.
#[test]
fn count_failure_once_although_the_exit_is_listed_again() {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    sim.workers.get_mut("w0").expect("a worker").finish_run(first_task(job), Outcome::Failed);
    sim.now += 200;
    sim.poll_all();
    sim.now += 200;
    let batch = sim.pool.next_batch(at(sim.now), 5_000, 28);
    let progress = batch.updates[0].progress.clone();
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    sim.list_and_poll();
    assert_eq!(sim.pool.state(job), Some(State::Running), "one failure of two");
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against running a finished task again: the answer to a start is late, the start is
// sent again after the run has ended, and the worker refuses it as old. The run must not count
// as never started.
#[test]
fn handle_start_answer_old_waits_for_the_listed_exit() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0)[0].clone();
    let room = step(1, 1_000).room();
    sim.workers.get_mut(&order.id).expect("a worker").handle_order(sim.now, &order, room, 100);
    sim.now += 1_200;
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Old);
    assert!(sim.plan().is_empty(), "its exit is listed there");
    sim.now += 50;
    sim.poll_all();
    sim.write();
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against running a task twice: a start gets no answer and is carried out late. Sent
// again, it is refused for lack of room, and the task goes elsewhere, although the refusal
// applies only to the second copy.
#[test]
fn handle_start_answer_full_after_a_lost_start_stops_it_first() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0)[0].clone();
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.now += 500;
    let again = sim.pool.plan(at(sim.now), 0)[0].clone();
    sim.pool.handle_order_answer(at(sim.now), &again, &Answer::Full);
    let orders = sim.plan();
    assert_eq!(orders.len(), 1);
    assert!(matches!(orders[0].action, Action::Stop), "prevents the late start: {orders:?}");
    let late = sim.workers.get_mut(&order.id).expect("a worker");
    assert_eq!(late.handle_order(sim.now, &order, step(1, 1_000).room(), 500), Answer::Old);
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against starting more on a worker than it has room for: a worker falls silent past its
// lease, and its task is started elsewhere. The worker answers again and lists the task as done
// before the lease ended. The other run occupies room until it is stopped. (Soak, seed 1.)
#[test]
fn task_done_elsewhere_keeps_the_room_of_its_other_run() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 2_000;
    let job = sim.submit(1, vec![step(1, 5_000)]);
    sim.plan();
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    sim.task_ms = 60_000;
    for _ in 0..100 {
        if sim.workers_running(first_task(job)).iter().any(|id| *id != holder) {
            break;
        }
        sim.run_for(100);
    }
    assert_eq!(
        sim.workers_running(first_task(job)).len(),
        1,
        "the lease has ended, and the task was started elsewhere"
    );
    sim.workers.get_mut(&holder).expect("a worker").silent = false;
    sim.poll(sim.key(&holder));
    sim.submit(2, vec![step(2, 5_000)]);
    sim.plan();
    sim.run_for(1_000);
    assert!(sim.max_cpu_used <= 8_000, "{} thousandths on a worker of 8 cores", sim.max_cpu_used);
    assert!(sim.workers_running(first_task(job)).is_empty(), "the run is stopped");
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

#[test]
fn plan_respects_max_per_worker() {
    let mut sim = Simulation::new(2);
    let spread = corianderfork_jobs::Step { max_per_worker: 1, ..step(3, 1_000) };
    sim.submit(1, vec![spread]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 2, "two workers, one task each");
    assert_ne!(orders[0].id, orders[1].id);
}

// Guards against a task that restarts from the beginning after a stop because the progress in
// its exit isn't kept for the next start.
#[test]
fn plan_resumes_from_saved_progress() {
    let mut sim = Simulation::new(1);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.plan();
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.finish_run(first_task(job), Outcome::Stopped);
    worker.exits[0].saved = "half".to_owned();
    sim.now += 100;
    sim.poll_all();
    let orders = sim.plan();
    let Action::Start { saved, .. } = &orders[0].action else { panic!("a start") };
    assert_eq!(&**saved, "half");
}
