//! What may run, where, and for how long it is remembered.

mod common;

use std::time::Duration;

use common::{FENCE, World, at, first, owner, step};
use corianderfork_jobs::pool::{Action, Answer};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::Outcome;
use corianderfork_jobs::{Job, JobId};

#[test]
fn plan_steps_in_order() {
    let mut world = World::new(2);
    let job = world.submit(1, vec![step(3, 1_000), step(2, 1_000).after(0)]);
    let orders = world.plan();
    assert_eq!(orders.len(), 3, "the first step alone");
    assert!(orders.iter().all(|order| order.task.step == 0));
    world.run(600);
    assert_eq!(world.running(), 2, "the second step");
    world.run(800);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn plan_never_over_a_workers_room() {
    // Symptom: a worker is told to run more than it has room for.
    // Sequence: far more tasks than fit are accepted at once; some are being
    //   stopped while others wait.
    // Cause: what is being stopped, or ordered and not answered, isn't counted.
    let mut world = World::new(2);
    let jobs: Vec<JobId> = (1..=10).map(|id| world.submit(id, vec![step(5, 3_000)])).collect();
    world.plan();
    assert_eq!(world.running(), 4, "two on each of two workers of 8 cores");
    world.pool.cancel(at(world.now), jobs[0]);
    world.run(20_000);
    assert!(world.most_cpu <= 8_000, "{} thousandths on a worker of 8 cores", world.most_cpu);
    let is_over = |job: &JobId| world.pool.state(*job).is_some_and(State::is_final);
    assert!(jobs.iter().all(is_over));
}

#[test]
fn state_completed_only_once_written() {
    // Symptom: a job that was shown as completed runs again.
    // Sequence: its last task ends; callers are told; every process dies before
    //   the end is written.
    // Cause: the end is told before it is written.
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    world.now += 600;
    world.look();
    assert_eq!(world.pool.state(job), Some(State::Running));
    let batch = world.write();
    assert_eq!(batch.updates.len(), 1);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn next_look_lets_forget_only_what_is_written() {
    // Symptom: a task that was done runs again after a takeover.
    // Sequence: the worker is told that its end was taken note of; the owner
    //   dies before it wrote the end.
    // Cause: the worker may forget what nobody has written.
    let mut world = World::new(1);
    world.submit(1, vec![step(2, 1_000), step(1, 1_000).after(0)]);
    world.plan();
    world.now += 600;
    world.look();
    let key = world.key("w0");
    let look = world.pool.next_poll(at(world.now), key).expect("a look");
    assert_eq!(look.acked, 0, "two ends are not written");
    world.now += 1_100;
    world.write();
    let look = world.pool.next_poll(at(world.now), key).expect("a look");
    assert_eq!(look.acked, 2);
}

#[test]
fn plan_repeats_a_start_without_answer_on_the_same_worker() {
    // Symptom: a task runs twice.
    // Sequence: the answer to a start is lost; the task is started elsewhere;
    //   the first worker carried the order out.
    // Cause: no answer is taken for not done.
    let mut world = World::new(3);
    world.submit(1, vec![step(1, 1_000)]);
    let orders = world.pool.plan(at(world.now), 0);
    let lost = orders[0].clone();
    world.pool.handle_order_answer(at(world.now), &lost, &Answer::Lost);
    world.now += 500;
    let again = world.pool.plan(at(world.now), 0);
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].id, again[0].run), (&lost.id, lost.run));
}

#[test]
fn plan_waits_for_the_lease_of_a_silent_worker() {
    // Symptom: a task runs twice.
    // Sequence: a worker is cut off and runs on; its tasks are started
    //   elsewhere before its lease ends.
    // Cause: silence is taken for death.
    let mut world = World::new(2);
    world.takes = 60_000;
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    let holder = world.where_runs(first(job))[0].to_owned();
    world.workers.get_mut(&holder).expect("a worker").silent = true;
    let mut waited = 0;
    while world.where_runs(first(job)).iter().all(|id| *id == holder) {
        world.run(100);
        waited += 100;
        assert!(waited < 10_000, "it was never started elsewhere");
    }
    assert_eq!(world.where_runs(first(job)).len(), 1, "the lease had ended there");
    assert!(waited >= 4_000, "after {waited} ms");
}

#[test]
fn cancel_stops_what_runs_and_starts_nothing() {
    let mut world = World::new(2);
    world.takes = 60_000;
    let job = world.submit(1, vec![step(3, 1_000), step(1, 1_000).after(0)]);
    world.plan();
    assert!(world.pool.cancel(at(world.now), job));
    world.run(1_000);
    assert_eq!(world.running(), 0);
    assert_eq!(world.pool.state(job), Some(State::Cancelled));
    assert_eq!(world.orders.iter().filter(|o| matches!(o.action, Action::Start { .. })).count(), 3);
}

#[test]
fn task_failed_as_often_as_allowed_fails_the_job() {
    let mut world = World::new(2);
    world.workers.values_mut().for_each(|worker| worker.fails = true);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.run(3_000);
    assert_eq!(world.pool.state(job), Some(State::Failed));
    let starts = world.orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    assert_eq!(starts.count(), 2, "two attempts");
}

#[test]
fn stop_stalled_restarts_elsewhere() {
    // Symptom: a job waits for ever though its worker answers.
    // Sequence: the tasks on a worker stand still; it answers every look.
    // Cause: a worker is judged by its answers and not by the progress of what
    //   it runs.
    let mut world = World::new(2);
    world.takes = 60_000;
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    let first_at = world.where_runs(first(job))[0].to_owned();
    world.workers.get_mut(&first_at).expect("a worker").stuck = true;
    world.run(4_000);
    let now = world.where_runs(first(job));
    assert_eq!(now.len(), 1);
    assert_ne!(now[0], first_at);
}

#[test]
fn take_end_of_a_job_not_known_yet() {
    // Symptom: a task that was done runs again after a takeover.
    // Sequence: a predecessor starts a task of a job that the successor hears of
    //   only after it has looked at the workers; the task ends meanwhile.
    // Cause: an end of an unknown job is dropped and the worker may forget it.
    let mut world = World::new(1);
    let job = JobId(9);
    let room = step(1, 1_000).room();
    let worker = world.workers.get_mut("w0").expect("a worker");
    let run =
        common::ActiveRun { run: 3, room, ends: u64::MAX, began: 0, percent: Some(0), gauge: 0 };
    worker.running.insert(first(job), run);
    worker.end(first(job), Outcome::Done);
    world.run(200);
    let look = world.pool.next_poll(at(world.now), world.key("w0")).expect("a look");
    assert_eq!(look.acked, 0);
    world.submit(9, vec![step(1, 1_000)]);
    world.run(300);
    assert_eq!(world.pool.state(job), Some(State::Completed));
    assert!(world.orders.is_empty(), "it had been done");
}

#[test]
fn count_failure_once_though_the_end_is_listed_again() {
    // Symptom: a job is shown as failed though no task failed so often.
    // Sequence: a run fails; the owner writes that, and dies before the worker
    //   may forget the end; the successor reads the count and the end.
    // Cause: the count alone doesn't tell which runs are in it.
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    world.workers.get_mut("w0").expect("a worker").end(first(job), Outcome::Failed);
    world.now += 200;
    world.look();
    world.now += 200;
    let batch = world.pool.next_batch(at(world.now), 5_000, 28);
    let progress = batch.updates[0].progress.clone();
    let seats = world.pool.written_roster();
    world.pool = owner(FENCE + 50, world.now);
    world.pool.set_roster(seats);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        job: Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job"),
    };
    world.pool.accept(at(world.now), Duration::ZERO, job, &record, Some(&progress), FENCE + 1);
    world.settle();
    assert_eq!(world.pool.state(job), Some(State::Running), "one failure of two");
    world.run(1_000);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn started_old_waits_for_the_end_that_is_listed() {
    // Symptom: a task that was done runs again.
    // Sequence: the answer to a start comes late; the start is sent again, after
    //   the run has ended there, and is refused as old.
    // Cause: a refused start is taken for one that never ran.
    let mut world = World::new(2);
    let job = world.submit(1, vec![step(1, 1_000)]);
    let order = world.pool.plan(at(world.now), 0)[0].clone();
    let room = step(1, 1_000).room();
    world.workers.get_mut(&order.id).expect("a worker").obey(world.now, &order, room, 100);
    world.now += 1_200;
    world.pool.handle_order_answer(at(world.now), &order, &Answer::Old);
    assert!(world.plan().is_empty(), "its end is listed there");
    world.now += 50;
    world.look();
    world.write();
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn started_full_after_a_lost_start_is_stopped_first() {
    // Symptom: a task runs twice.
    // Sequence: a start gets no answer and is carried out late; sent again it is
    //   refused for want of room, and the task goes elsewhere.
    // Cause: the refusal of the second is taken for the first one's, too.
    let mut world = World::new(2);
    let job = world.submit(1, vec![step(1, 1_000)]);
    let order = world.pool.plan(at(world.now), 0)[0].clone();
    world.pool.handle_order_answer(at(world.now), &order, &Answer::Lost);
    world.now += 500;
    let again = world.pool.plan(at(world.now), 0)[0].clone();
    world.pool.handle_order_answer(at(world.now), &again, &Answer::Full);
    let orders = world.plan();
    assert_eq!(orders.len(), 1);
    assert!(matches!(orders[0].action, Action::Stop), "bars the late start: {orders:?}");
    let late = world.workers.get_mut(&order.id).expect("a worker");
    assert_eq!(late.obey(world.now, &order, step(1, 1_000).room(), 500), Answer::Old);
    world.run(1_000);
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn task_done_elsewhere_keeps_the_room_of_its_other_run() {
    // Symptom: a worker is told to run more than it has room for.
    // Sequence: a worker falls silent past its lease and its task is started
    //   elsewhere; it answers again, and lists the task as done before the lease
    //   ended. (Soak, seed 1.)
    // Cause: the task is done, so the run elsewhere is counted no more, though it
    //   runs on until it is stopped.
    let mut world = World::new(2);
    world.takes = 2_000;
    let job = world.submit(1, vec![step(1, 5_000)]);
    world.plan();
    let holder = world.where_runs(first(job))[0].to_owned();
    world.workers.get_mut(&holder).expect("a worker").silent = true;
    world.takes = 60_000;
    for _ in 0..100 {
        if world.where_runs(first(job)).iter().any(|id| *id != holder) {
            break;
        }
        world.run(100);
    }
    assert_eq!(
        world.where_runs(first(job)).len(),
        1,
        "the lease has ended, it was started elsewhere"
    );
    world.workers.get_mut(&holder).expect("a worker").silent = false;
    world.look_at(world.key(&holder));
    world.submit(2, vec![step(2, 5_000)]);
    world.plan();
    world.run(1_000);
    assert!(world.most_cpu <= 8_000, "{} thousandths on a worker of 8 cores", world.most_cpu);
    assert!(world.where_runs(first(job)).is_empty(), "it is stopped");
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn plan_no_more_of_a_step_together_than_it_allows() {
    let mut world = World::new(2);
    let spread = corianderfork_jobs::Step { max_per_worker: 1, ..step(3, 1_000) };
    world.submit(1, vec![spread]);
    let orders = world.plan();
    assert_eq!(orders.len(), 2, "two workers, one task each");
    assert_ne!(orders[0].id, orders[1].id);
}

#[test]
fn plan_goes_on_from_saved_progress() {
    // Symptom: a task that was moved begins anew, and work is done twice.
    // Sequence: it saves its progress as it runs, and is stopped.
    // Cause: what an end brings along isn't kept for the next start.
    let mut world = World::new(1);
    world.takes = 60_000;
    let job = world.submit(1, vec![step(1, 1_000)]);
    world.plan();
    let worker = world.workers.get_mut("w0").expect("a worker");
    worker.end(first(job), Outcome::Stopped);
    worker.ended[0].saved = "half".to_owned();
    world.now += 100;
    world.look();
    let orders = world.plan();
    let Action::Start { saved, .. } = &orders[0].action else { panic!("a start") };
    assert_eq!(&**saved, "half");
}
