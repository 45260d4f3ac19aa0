//! Runs that are stopped so that more urgent tasks get their room.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::faults::{Invariant, check_contention, contention_events};
use common::{FENCE, Simulation, at, contended_owner, first_task, step};
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::queue::{AdviceCost, Queue};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::Outcome;
use corianderfork_jobs::{Job, JobId, Step};
use proptest::prelude::*;

const NO_AGE: Duration = Duration::ZERO;
/// The age of a job of one task of 6 s at which it can't be in time, and doesn't expire for long.
const LATE: Duration = Duration::from_secs(12);

fn settings(preempt: bool) -> Settings {
    Settings { preempt, ..Settings::default() }
}

fn long_step(cpu: u64) -> Step {
    Step { checkpoints: true, estimate_ms: 6_000, ..step(1, cpu) }
}

fn stops(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| order.action == Action::Stop).collect()
}

/// A pool that is full of runs of 2 cores, of jobs in a queue and of an age.
fn full_pool(workers: u16, preempt: bool, queue: &str, age: Duration, task: &Step) -> Simulation {
    let mut sim = Simulation::contended(workers, settings(preempt));
    sim.task_ms = 6_000;
    sim.run_for(20_000);
    for id in 1..=u64::from(workers) * 4 {
        sim.submit_to(queue, id, vec![task.clone()], age);
    }
    sim.run_for(1_200);
    assert_eq!(sim.running_count(), usize::from(workers) * 4, "the pool is full");
    sim
}

/// Submits jobs of one short task.
fn submit_short(sim: &mut Simulation, ids: std::ops::Range<u64>, cpu: u64) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for id in ids {
        let job = sim.submit(id, vec![step(1, cpu)]);
        sim.durations.insert(job, 500);
        jobs.push(job);
    }
    jobs
}

/// Submits 8 short jobs a second for 3 s, and returns how many are done after 4 s.
fn short_jobs_done(preempt: bool) -> usize {
    let mut sim = full_pool(20, preempt, "q", LATE, &long_step(2_000));
    let mut jobs = Vec::new();
    for second in 0..3 {
        jobs.extend(submit_short(&mut sim, 1_000 + second * 8..1_008 + second * 8, 2_000));
        sim.run_for(1_000);
    }
    sim.run_for(500);
    jobs.iter().filter(|job| sim.pool.is_done(first_task(**job))).count()
}

// Guards against jobs that become late behind runs whose jobs are late already.
#[test]
fn plan_stops_late_runs_for_jobs_in_time() {
    let (with, without) = (short_jobs_done(true), short_jobs_done(false));
    assert!(with >= 20 && without <= 4, "{with} of 24 jobs done, {without} without preemption");
}

// Guards against a job of a high priority that waits for runs of a low one, and against the reverse.
#[test]
fn plan_stops_runs_of_a_lower_priority_only() {
    for (queue, expected) in [("low", 1), ("q", 0)] {
        let mut sim = full_pool(3, true, queue, NO_AGE, &long_step(2_000));
        sim.submit(100, vec![Step { estimate_ms: 1_000, ..step(1, 2_000) }]);
        sim.run_for(500);
        assert_eq!(stops(&sim.orders).len(), expected, "runs of the queue {queue}");
    }
}

// Guards against a part that is switched off and changes the orders.
#[test]
fn plan_stops_no_run_if_switched_off() {
    let mut sim = full_pool(3, false, "low", LATE, &long_step(2_000));
    submit_short(&mut sim, 100..101, 2_000);
    sim.run_for(500);
    assert_eq!(stops(&sim.orders).len(), 0);
}

/// Counts the runs that are stopped in a pool full of jobs of an organisation that is owed one job
/// a second and has submitted all of them at once, once a job of another one arrives.
fn stops_for_owed(meter: bool, organisation: &str) -> usize {
    let mut sim = Simulation::contended(3, Settings { meter, ..settings(true) });
    sim.task_ms = 6_000;
    let known = ["hot", "calm"].map(|name| Organisation {
        name: name.to_owned(),
        weight: 1,
        ..Organisation::default()
    });
    sim.pool.set_organisations(&known);
    let submit = |sim: &mut Simulation, id: u64, organisation: &str, task: Step| {
        let job = Job::new("run".to_owned(), vec![task.clone()]).expect("a job");
        let organisation = Some(organisation.to_owned());
        let record =
            Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation };
        sim.steps.insert(JobId(id), vec![task]);
        sim.pool.accept(at(sim.now), NO_AGE, JobId(id), &record, None, FENCE + 1_000);
        JobId(id)
    };
    sim.plan();
    let hot: Vec<JobId> =
        (1..=12).map(|id| submit(&mut sim, id, "hot", long_step(2_000))).collect();
    // Shorter than the second after which the hot organisation is owed one more job.
    sim.run_for(800);
    assert_eq!(sim.running_count(), 12, "the pool is full");
    let short = Step { estimate_ms: 1_000, ..step(1, 2_000) };
    submit(&mut sim, 100, organisation, short);
    sim.run_for(500);
    let stopped = stops(&sim.orders);
    let is_owed =
        |order: &&&Order| hot.contains(&order.task.job) && sim.pool.is_owed(order.task.job);
    assert_eq!(stopped.iter().filter(is_owed).count(), 0, "an owed run yields");
    stopped.len()
}

// Guards against owed jobs that wait for runs of an organisation that floods the pool with jobs
// beyond what it is owed, and against jobs beyond what is owed that displace each other.
#[test]
fn plan_stops_runs_of_jobs_that_are_not_owed() {
    let seen = [(true, "calm"), (true, "hot"), (false, "calm")]
        .map(|(meter, organisation)| stops_for_owed(meter, organisation));
    assert_eq!(seen, [1, 0, 0], "owed, not owed, without metering");
}

// Guards against runs that are stopped although that loses more than it brings.
#[test]
fn plan_stops_no_run_that_is_worth_more() {
    let unsaved = Step { checkpoints: false, ..long_step(2_000) };
    let cases = [
        ("does not save", unsaved, 500, NO_AGE),
        ("gang", Step { gang: true, ..long_step(2_000) }, 500, NO_AGE),
        ("little work", long_step(2_000), 60, NO_AGE),
        ("late anyway", long_step(2_000), 500, Duration::from_millis(2_300)),
    ];
    for (case, task, estimate_ms, age) in cases {
        let mut sim = full_pool(3, true, "low", NO_AGE, &task);
        let short = Step { estimate_ms, ..step(1, 2_000) };
        sim.submit_to("q", 100, vec![short], age);
        sim.run_for(400);
        assert_eq!(stops(&sim.orders).len(), 0, "{case}");
    }
}

// Guards against a pool that stops so many runs that it does little else.
#[test]
fn plan_stops_a_tenth_of_the_runs_a_second() {
    let mut sim = full_pool(10, true, "q", LATE, &long_step(2_000));
    let mut times: Vec<u64> = Vec::new();
    for second in 0..4 {
        submit_short(&mut sim, 1_000 + second * 20..1_020 + second * 20, 2_000);
        for _ in 0..10 {
            let before = sim.orders.len();
            sim.run_for(100);
            times.extend(stops(&sim.orders[before..]).iter().map(|_| sim.now));
        }
    }
    let in_a_second =
        |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    let most = times.iter().map(in_a_second).max();
    assert_eq!(most, Some(4), "of 40 runs: {times:?}");
}

// Guards against a most urgent task that no worker can host, because of its label, its size or missing
// advice, and that takes the place of each other one for which runs could be stopped.
#[test]
fn plan_stops_runs_behind_tasks_that_no_worker_can_host() {
    let label = Step { label: Some("rare".to_owned()), ..step(3, 2_000) };
    let cases = [
        ("label", "q", label),
        ("size", "q", step(3, 9_000)),
        ("advice", "advised", step(3, 2_000)),
    ];
    for (case, queue, task) in cases {
        let mut sim = full_pool(3, true, "low", NO_AGE, &long_step(2_000));
        let low = Queue { priority: 1, attempts: 2, ..Queue::default() };
        let advised = Queue {
            priority: 0,
            attempts: 2,
            advice: Some(AdviceCost::default()),
            ..Queue::default()
        };
        let more = [("low".to_owned(), low), ("advised".to_owned(), advised)];
        sim.pool.set_queues(common::queues().into_iter().chain(more).collect());
        // Their estimates are shorter, so that their deadlines are earlier.
        for id in 100..103 {
            sim.submit_to(queue, id, vec![task.clone()], NO_AGE);
        }
        let short = sim.submit(103, vec![Step { estimate_ms: 1_000, ..step(1, 2_000) }]);
        sim.run_for(500);
        assert_eq!(stops(&sim.orders).len(), 1, "{case}");
        assert_eq!(sim.workers_running(first_task(short)).len(), 1, "{case}");
    }
}

// Guards against the room that runs were stopped for going to smaller tasks behind.
#[test]
fn plan_keeps_room_for_a_task_that_runs_are_stopped_for() {
    let mut sim = full_pool(5, true, "low", NO_AGE, &long_step(2_000));
    sim.task_ms = 1_000;
    let large = sim.submit(100, vec![Step { estimate_ms: 1_000, ..step(1, 4_000) }]);
    for id in 101..120 {
        sim.submit(id, vec![Step { estimate_ms: 1_100, ..step(1, 500) }]);
    }
    // One of the two runs that it replaces ends 0.4 s after the other one.
    sim.workers.values_mut().for_each(|worker| worker.lost_stops = 1);
    sim.run_for(800);
    assert_eq!(sim.workers_running(first_task(large)).len(), 1);
    assert!(sim.max_cpu_used <= 8_000);
}

// Guards against a task that is stopped for others again and again.
#[test]
fn plan_stops_a_task_for_others_three_times_at_most() {
    let mut sim = Simulation::contended(1, settings(true));
    sim.task_ms = 90_000;
    let long = Step { estimate_ms: 90_000, ..long_step(8_000) };
    let job = sim.submit_to("low", 1, vec![long], NO_AGE);
    for id in 100..106 {
        sim.run_for(11_000);
        let short = Step { estimate_ms: 2_000, ..step(1, 8_000) };
        sim.submit(id, vec![short]);
        sim.durations.insert(JobId(id), 500);
    }
    sim.run_for(11_000);
    let stopped = sim.progress[&job].stopped["0.0.0"].len();
    assert_eq!((stopped, stops(&sim.orders).len()), (3, 3));
}

/// A pool of one worker with a run that yields to a task that waits.
fn one_preemption() -> (Simulation, JobId, JobId) {
    let mut sim = Simulation::contended(1, settings(true));
    sim.task_ms = 6_000;
    let low = sim.submit_to("low", 1, vec![long_step(8_000)], NO_AGE);
    sim.run_for(1_200);
    let short = Step { estimate_ms: 2_000, ..step(1, 8_000) };
    let urgent = sim.submit(2, vec![short]);
    sim.durations.insert(urgent, 2_000);
    (sim, low, urgent)
}

// Guards against a worker that gets both tasks because the stop was answered late.
#[test]
fn plan_waits_for_a_late_stop() {
    let (mut sim, _, urgent) = one_preemption();
    sim.workers.get_mut("w0").expect("a worker").lost_stops = 2;
    sim.run_for(900);
    assert_eq!(sim.workers_running(first_task(urgent)).len(), 0, "two stops are lost");
    sim.run_for(800);
    assert_eq!(sim.workers_running(first_task(urgent)).len(), 1);
    assert_eq!(sim.max_cpu_used, 8_000);
}

// Guards against room that is kept forever on a worker that is lost.
#[test]
fn plan_gives_up_room_on_a_silent_worker() {
    let (mut sim, low, urgent) = one_preemption();
    sim.registrations.push(common::registration("w1", 9_001, "r1"));
    sim.run_for(300);
    assert_eq!(stops(&sim.orders).len(), 1);
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    let mut fresh = common::Worker::default();
    fresh.saves = true;
    fresh.restart(sim.now);
    sim.workers.insert("w1".to_owned(), fresh);
    sim.list_and_poll();
    sim.run_for(9_000);
    let is_done = |job: JobId| sim.pool.is_done(first_task(job));
    assert!(is_done(urgent), "{:?}", sim.pool.explain(at(sim.now), urgent));
    assert!(is_done(low) || sim.workers_running(first_task(low)) == ["w1"]);
}

// Guards against a stopped task that loses its progress or its count of stops with its owner.
#[test]
fn accept_by_a_successor_resumes_a_preempted_task() {
    let (mut sim, low, urgent) = one_preemption();
    sim.run_for(600);
    assert_eq!(sim.workers_running(first_task(urgent)).len(), 1);
    let roster = sim.pool.written_roster();
    sim.pool = contended_owner(FENCE + 100, sim.now, settings(true));
    sim.connections = common::Connections::default();
    sim.pool.set_roster(roster, 0);
    for (job, queue) in [(low, "low"), (urgent, "q")] {
        let job_of = Job::new("run".to_owned(), sim.steps[&job].clone()).expect("a job");
        let queue = queue.to_owned();
        let record =
            Record { queue, accepted_ms: 0, attempts: None, job: job_of, organisation: None };
        let progress = sim.progress.get(&job);
        sim.pool.accept(at(sim.now), NO_AGE, job, &record, progress, FENCE);
    }
    sim.list_and_poll();
    sim.run_for(2_500);
    let run = &sim.workers["w0"].running[&first_task(low)];
    assert!(run.resumed_ms >= 1_200, "{run:?}");
    assert_eq!(sim.progress[&low].stopped["0.0.0"].len(), 1);
    assert!(sim.workers["w0"].exits.iter().all(|exit| exit.outcome != Outcome::Failed));
}

fn both() -> Settings {
    Settings { relocate: true, ..settings(true) }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    // Guards against a stopped task that runs twice, or loses its saved progress or an attempt.
    #[test]
    fn preempt_keeps_single_runs_and_progress(events in contention_events(6, 5, 5..120)) {
        check_contention(both(), &events, 2_500, &[Invariant::SingleRun, Invariant::Progress, Invariant::Completion])?;
    }

    // Guards against a task that is stopped more often than its bound.
    #[test]
    fn preempt_stops_no_task_too_often(events in contention_events(6, 5, 60..160)) {
        check_contention(both(), &events, 9_000, &[Invariant::Stops])?;
    }

    // Guards against room that is kept for a task and given away as well.
    #[test]
    fn preempt_keeps_within_the_room(events in contention_events(6, 5, 5..120)) {
        check_contention(both(), &events, 2_500, &[Invariant::Room, Invariant::Order, Invariant::NothingLeft])?;
    }
}

// Guards against a large pool, whose runs are looked at in turns, in which some runs are never
// looked at: a task that only their worker may run would wait for them although they are late.
#[test]
fn plan_of_large_pool_reaches_each_worker() {
    const RUNS: u32 = 800;
    let mut sim = Simulation::contended(12, settings(true));
    sim.registrations[11].labels.push("last".to_owned());
    sim.list_workers();
    sim.task_ms = 60_000;
    sim.run_for(1_000);
    for id in 1..=12 {
        let mut step = Step { checkpoints: true, estimate_ms: 20_000, ..step(RUNS, 10) };
        step.needs.memory_mb = 1;
        sim.submit_to("q", id, vec![step], Duration::from_secs(600));
    }
    sim.run_for(1_000);
    assert_eq!(sim.running_count(), 12 * RUNS as usize, "the pool is full");
    let urgent = Step { label: Some("last".to_owned()), estimate_ms: 500, ..step(1, 1_000) };
    let urgent = sim.submit(100, vec![urgent]);
    sim.run_for(1_000);
    assert_eq!(sim.workers_running(first_task(urgent)), ["w11"]);
}
