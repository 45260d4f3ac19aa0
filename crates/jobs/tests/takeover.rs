//! Owners that take over, and owners that are replaced.

mod common;

use std::time::Duration;

use common::{FENCE, World, at, first, owner, step};
use corianderfork_jobs::pool::{Action, Config, Pool};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Name;
use corianderfork_jobs::{Job, JobId};

#[test]
fn looked_deposed_by_a_higher_fence() {
    // Symptom: two owners start tasks of one pool.
    // Sequence: an owner is paused; a successor takes the workers; the first
    //   wakes and goes on.
    // Cause: nothing tells the first that it was replaced.
    let mut world = World::new(1);
    world.submit(1, vec![step(1, 1_000)]);
    world.workers.get_mut("w0").expect("a worker").fence = FENCE + 1;
    world.plan();
    assert!(world.pool.is_deposed());
    assert_eq!(world.running(), 0);
}

#[test]
fn accept_by_a_successor_adopts_what_runs() {
    // Symptom: a task runs twice after a takeover.
    // Sequence: an owner dies; its successor reads the accepted jobs and starts
    //   their tasks.
    // Cause: the successor doesn't ask the workers first.
    let mut world = World::new(2);
    world.takes = 3_000;
    let job = world.submit(1, vec![step(2, 1_000)]);
    world.plan();
    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    world.pool.set_workers(at(world.now), &world.entries);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![step(2, 1_000)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, None, FENCE + 1);
    assert!(world.plan().is_empty(), "no worker was asked yet");
    world.look();
    assert!(world.plan().is_empty(), "both tasks run");
    world.run(4_000);
    assert_eq!(world.pool.state(job), Some(State::Completed));
    assert_eq!(world.orders.len(), 2, "each task was started once");
}

#[test]
fn plan_by_a_successor_waits_where_it_cannot_look() {
    // Symptom: a task runs twice after a takeover.
    // Sequence: a worker that runs a task is cut off as its owner dies; the
    //   successor doesn't find the task anywhere and starts it.
    // Cause: a worker that doesn't answer is taken for empty.
    let mut world = World::new(2);
    world.takes = 60_000;
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    let holder = world.where_runs(first(job))[0].to_owned();
    world.workers.get_mut(&holder).expect("a worker").silent = true;
    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    world.entries.retain(|entry| entry.id != holder);
    world.settle();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, None, FENCE + 1);
    world.run(3_000);
    assert_eq!(world.where_runs(first(job)), [holder.as_str()], "it runs there alone");
    world.run(8_000);
    let now = world.where_runs(first(job));
    assert_eq!(now.len(), 1, "its lease ended and it was started elsewhere");
    assert_ne!(now, [holder.as_str()]);
}

#[test]
fn plan_starts_nothing_beside_a_run_of_unknown_size() {
    // Symptom: a worker is told to run more than it has room for.
    // Sequence: a job is cancelled and its owner dies before its tasks are
    //   stopped; the successor finds them running and places others there.
    // Cause: what a task of an ended job takes isn't known any more, and is
    //   counted by the processor it uses just now.
    let mut world = World::new(1);
    let other = Name { job: JobId(77), occurrence: 0, step: 0, index: 0 };
    let run = common::ActiveRun {
        run: 3,
        room: step(1, 7_500).room(),
        ends: u64::MAX,
        began: 0,
        percent: Some(0),
        gauge: 0,
    };
    world.workers.get_mut("w0").expect("a worker").running.insert(other, run);
    world.workers.get_mut("w0").expect("a worker").deadline = u64::MAX;
    let ended =
        corianderfork_jobs::record::Progress { state: State::Cancelled, ..Default::default() };
    world.pool.accept_ended(at(world.now), other.job, &ended);
    world.now += 100;
    world.look();
    world.steps.insert(other.job, vec![step(1, 7_500)]);
    world.submit(1, vec![step(1, 1_000)]);
    let orders = world.plan();
    assert!(orders.iter().all(|order| matches!(order.action, Action::Stop)), "{orders:?}");
    assert_eq!(orders.len(), 1, "the one of an ended job is stopped at once");
    world.run(1_000);
    assert_eq!(world.pool.state(JobId(1)), Some(State::Completed));
}

#[test]
fn plan_orders_nothing_before_a_workers_seat_is_written() {
    // Symptom: a task runs twice after a takeover.
    // Sequence: a worker comes, is given tasks, and is cut off with its entry
    //   gone as its owner dies; the successor doesn't know that there is one.
    // Cause: nothing in the store says where tasks may be.
    let mut world = World::new(1);
    world.entries.push(common::entry("new", 9_900, "r9"));
    world.workers.insert("new".to_owned(), common::Worker::default());
    world.pool.set_workers(at(world.now), &world.entries);
    world.look();
    world.submit(1, vec![step(12, 1_000)]);
    let orders = world.plan();
    assert_eq!(orders.len(), 8, "as many as the first holds");
    assert!(orders.iter().all(|order| order.id == "w0"));
    let seats = world.pool.roster_update().expect("a seat is not written");
    world.pool.confirm_roster(seats);
    assert_eq!(world.plan().len(), 4);
}

#[test]
fn plan_orders_nothing_before_each_worker_was_looked_at() {
    // Symptom: a task runs twice after a takeover.
    // Sequence: the successor has looked at one worker, and starts a task there
    //   that its predecessor starts just then on one not yet looked at.
    // Cause: the fence protects only workers that have seen it.
    let mut world = World::new(2);
    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    world.pool.set_workers(at(world.now), &world.entries);
    world.look_at(world.key("w0"));
    world.submit(1, vec![step(1, 1_000)]);
    assert!(world.plan().is_empty());
    world.look_at(world.key("w1"));
    assert_eq!(world.plan().len(), 1);
}

// Guards against tasks that wait for a predecessor where a worker has refused it already.
#[test]
fn plan_by_a_successor_frees_tasks_of_a_worker_it_has_fenced() {
    let mut world = World::new(2);
    world.takes = 600_000;
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    let holder = world.where_runs(first(job))[0].to_owned();
    let seats = world.pool.written_roster();
    let grants_end = at(world.now + 60_000);
    world.pool = Pool::new(Config::new(FENCE + 50, grants_end));
    world.pool.set_queues(common::queues());
    world.pool.set_roster(seats);
    world.settle();
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, None, FENCE + 1);
    world.run(200);
    assert_eq!(world.where_runs(first(job)), [holder.as_str()], "it was adopted");
    world.workers.get_mut(&holder).expect("a worker").silent = true;
    world.entries.retain(|entry| entry.id != holder);
    world.list();
    world.run(3_000);
    assert_eq!(world.where_runs(first(job)), [holder.as_str()], "its lease holds");
    world.run(3_000);
    let now = world.where_runs(first(job));
    assert_eq!(now.len(), 1);
    assert_ne!(now, [holder.as_str()], "its lease has ended");
}
