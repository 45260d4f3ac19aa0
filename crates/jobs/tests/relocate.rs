//! Tasks that are stopped on workers that are to leave, and resumed on others.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::faults::{Invariant, check_contention, contention_events};
use common::{FENCE, Simulation, at, contended_owner, first_task, saved_ms, step};
use corianderfork_jobs::allowance::WHOLE;
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Connection, Order};
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::task::{Exit, Outcome};
use corianderfork_jobs::{Job, JobId, Step};
use proptest::prelude::*;

const VACATE_TIME: Duration = Duration::from_secs(10);

fn settings(relocate: bool) -> Settings {
    Settings { relocate, ..Settings::default() }
}

fn saving_step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step { checkpoints: true, estimate_ms, ..step(count, cpu) }
}

fn stops(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| order.action == Action::Stop).collect()
}

/// A pool of two workers, on the first of which one long task runs.
fn one_task(relocate: bool) -> (Simulation, JobId) {
    let mut sim = Simulation::contended(2, settings(relocate));
    sim.task_ms = 5_000;
    let job = sim.submit(1, vec![saving_step(1, 2_000, 5_000)]);
    sim.run_for(1_200);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
    (sim, job)
}

/// Has a worker vacated, shortly after the last plan: relocations are decided at intervals.
fn vacate(sim: &mut Simulation, id: &str) {
    sim.now += 50;
    sim.poll_all();
    sim.pool.vacate(at(sim.now), id, VACATE_TIME);
}

/// Shrinks a full pool of 100 workers whose tasks take 2.1 s, three in a hundred of them 14.7 s, and
/// returns how many workers are empty after 1 s and after 2 s.
fn shrink_full_pool(relocate: bool) -> (usize, usize) {
    let mut sim = Simulation::contended(100, settings(relocate));
    for number in 1..=400 {
        let job = sim.submit(number, vec![saving_step(1, 2_000, 2_100)]);
        // Spread evenly, as if they had begun at different times.
        let task_ms = if number % 33 == 0 { 14_700 } else { 1_000 + number * 1_373 % 2_100 };
        sim.durations.insert(job, task_ms);
    }
    sim.run_for(1_000);
    let mut empty = Vec::new();
    for _ in 0..20 {
        let spare = sim.pool.shrink_for_others(at(sim.now), 10, 80, VACATE_TIME);
        empty.push(spare.len());
        sim.run_for(100);
    }
    (empty[10], empty[19])
}

// Guards against VMs that another pool misses and that run half empty for seconds, until their last
// task ends.
#[test]
fn shrink_for_others_empties_workers_by_stops() {
    let (after_1s, after_2s) = shrink_full_pool(true);
    let (waiting_1s, waiting_2s) = shrink_full_pool(false);
    let seen = format!("{after_1s}, {after_2s}; without stops {waiting_1s}, {waiting_2s}");
    // With room on the 10 workers that stay alone, 15 are empty after 1 s.
    assert!(after_1s >= 24 && waiting_1s <= 5 && after_2s >= waiting_2s + 15, "{seen}");
}

// Guards against tasks that are stopped although no other pool misses the VM, so that their work is
// delayed for nothing.
#[test]
fn shrink_stops_no_run_without_a_missing_vm() {
    for (missing, expected) in [(0, 0), (1, 1), (2, 1)] {
        let mut sim = Simulation::contended(3, settings(true));
        sim.task_ms = 9_000;
        sim.registrations[2].room.cpu = 12_000;
        sim.list_workers();
        sim.submit(1, vec![saving_step(2, 8_000, 9_000)]);
        let longest = sim.submit(2, vec![Step { estimate_ms: 20_000, ..step(1, 4_000) }]);
        sim.durations.insert(longest, 20_000);
        sim.run_for(1_200);
        sim.now += 50;
        sim.pool.shrink_for_others(at(sim.now), 2, missing, VACATE_TIME);
        let orders = sim.plan();
        assert_eq!(stops(&orders).len(), expected, "missing {missing}: {orders:?}");
    }
}

// Guards against maintenance that waits for a long task although another worker has room for it.
#[test]
fn vacate_moves_a_saving_run_to_another_worker() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    sim.run_for(300);
    assert_eq!(sim.workers_running(first_task(job)), ["w1"]);
    let run = &sim.workers["w1"].running[&first_task(job)];
    assert!(run.resumed_ms >= 1_000, "{run:?}");
    assert_eq!(sim.pool.vacate(at(sim.now), "w0", VACATE_TIME), Some(true));
}

// Guards against orders that differ from before where the part is switched off.
#[test]
fn vacate_stops_no_run_if_switched_off() {
    let (mut sim, job) = one_task(false);
    vacate(&mut sim, "w0");
    sim.run_for(300);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
}

// Guards against a task that is stopped, loses all its work since it doesn't save any, or has no
// room elsewhere, or would have ended as soon.
#[test]
fn vacate_stops_no_run_without_a_gain() {
    let cases = [
        ("doesn't save", step(1, 2_000), 5_000, 1_200),
        ("no room", saving_step(1, 7_000, 5_000), 5_000, 1_200),
        ("nearly done", saving_step(1, 2_000, 1_800), 1_800, 1_200),
        ("just begun", saving_step(1, 2_000, 5_000), 5_000, 300),
        ("gang", Step { gang: true, ..saving_step(1, 2_000, 5_000) }, 5_000, 1_200),
    ];
    for (case, task, task_ms, time) in cases {
        let mut sim = Simulation::contended(2, settings(true));
        sim.task_ms = 5_000;
        sim.submit(1, vec![Step { label: Some("a".to_owned()), ..step(1, 4_000) }]);
        sim.run_for(100);
        let filled = sim.workers.values().position(|worker| !worker.running.is_empty());
        sim.pool.vacate(at(sim.now), &format!("w{}", filled.expect("a run")), VACATE_TIME);
        let job = sim.submit(2, vec![task]);
        sim.durations.insert(job, task_ms);
        sim.run_for(time);
        let id = sim.workers_running(first_task(job))[0].to_owned();
        sim.pool.vacate(at(sim.now), &format!("w{}", filled.unwrap_or(0)), Duration::ZERO);
        sim.now += 1;
        sim.poll_all();
        vacate(&mut sim, &id);
        let orders = sim.plan();
        assert_eq!(stops(&orders).len(), 0, "{case}: {orders:?}");
    }
}

// Guards against a job that becomes late because its run was stopped: it may end 0.4 s later and be
// in time, and stopping and resuming its run takes 0.55 s.
#[test]
fn vacate_stops_no_run_whose_job_would_become_late() {
    for (age, expected) in [(0, 1), (6_600, 0)] {
        let mut sim = Simulation::contended(2, settings(true));
        sim.task_ms = 5_000;
        sim.run_for(10_000);
        let steps = vec![saving_step(1, 2_000, 5_000)];
        sim.steps.insert(JobId(1), steps.clone());
        // The job may take twice its 5 s and 2 s more.
        let age = Duration::from_millis(age);
        sim.pool.accept(at(sim.now), age, JobId(1), &record(steps), None, FENCE + 1_000);
        sim.run_for(1_200);
        vacate(&mut sim, "w0");
        assert_eq!(stops(&sim.plan()).len(), expected, "age {age:?}");
    }
}

fn record(steps: Vec<Step>) -> Record {
    let job = Job::new("run".to_owned(), steps).expect("a job");
    Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None }
}

// Guards against more tasks of a step on a worker than it allows: room was kept for several of them
// without counting each other.
#[test]
fn vacate_keeps_max_per_worker() {
    let mut sim = Simulation::contended(2, settings(true));
    sim.task_ms = 5_000;
    let job = sim.submit(1, vec![Step { max_per_worker: 2, ..saving_step(3, 2_000, 5_000) }]);
    sim.run_for(1_200);
    let counts = ["w0", "w1"].map(|id| sim.workers[id].running.len());
    let (from, to) = if counts == [2, 1] { ("w0", "w1") } else { ("w1", "w0") };
    assert_eq!((sim.workers[from].running.len(), sim.workers[to].running.len()), (2, 1));
    vacate(&mut sim, from);
    for _ in 0..20 {
        sim.run_for(100);
        let count = sim.workers[to].running.keys().filter(|name| name.job == job).count();
        assert!(count <= 2, "{count} tasks on a worker that may run 2");
    }
}

// Guards against room that is kept for a stopped task whose organisation has no part of its limit
// left: no other task gets that room, and a surplus worker that keeps it never gets empty.
#[test]
fn plan_gives_up_room_of_a_task_that_waits_for_a_limit() {
    let mut sim = Simulation::contended(2, settings(true));
    sim.task_ms = 20_000;
    let limit = Room { cpu: 8_000, ..Room::default() };
    sim.pool.set_organisations(&[Organisation { name: "club".to_owned(), weight: 1, limit }]);
    sim.pool.set_part("club", WHOLE);
    let (job, steps) = (JobId(1), vec![saving_step(1, 2_000, 20_000)]);
    sim.steps.insert(job, steps.clone());
    let record = Record { organisation: Some("club".to_owned()), ..record(steps) };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1_000);
    sim.run_for(1_200);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
    vacate(&mut sim, "w0");
    assert_eq!(stops(&sim.plan()).len(), 1);
    sim.pool.set_part("club", 0);
    sim.run_for(300);
    let large = sim.submit(2, vec![step(1, 8_000)]);
    sim.durations.insert(large, 500);
    sim.run_for(300);
    assert_eq!(sim.workers_running(first_task(large)), ["w1"]);
    sim.run_for(700);
    sim.pool.set_part("club", WHOLE);
    sim.run_for(300);
    assert_eq!(sim.workers_running(first_task(job)), ["w1"], "it resumes within the limit");
}

// Guards against a stopped task that starves: tasks that arrive while its stop takes effect would
// take the room that it was stopped for.
#[test]
fn plan_keeps_room_for_a_stopped_task() {
    let mut sim = Simulation::contended(2, settings(true));
    sim.task_ms = 20_000;
    let job = sim.submit(1, vec![saving_step(1, 5_000, 20_000)]);
    sim.run_for(1_200);
    sim.workers.get_mut("w0").expect("a worker").lost_stops = 2;
    vacate(&mut sim, "w0");
    sim.run_for(100);
    for id in 2..40 {
        sim.submit(id, vec![step(1, 4_000)]);
    }
    sim.run_for(1_500);
    assert_eq!(sim.workers_running(first_task(job)), ["w1"]);
}

// Guards against a pool that can't use its released workers again when it should keep more: their
// tasks are stopped, and those that wait find no room.
#[test]
fn shrink_uses_emptied_workers_again() {
    let mut sim = Simulation::contended(6, settings(true));
    sim.task_ms = 3_000;
    let jobs: Vec<JobId> =
        (1..=24).map(|id| sim.submit(id, vec![saving_step(1, 2_000, 3_000)])).collect();
    sim.run_for(1_000);
    for _ in 0..6 {
        sim.pool.shrink_for_others(at(sim.now), 2, 4, VACATE_TIME);
        sim.run_for(100);
    }
    sim.pool.shrink_for_others(at(sim.now), 6, 0, VACATE_TIME);
    sim.run_for(4_000);
    let is_done = |job: &&JobId| sim.pool.is_done(first_task(**job));
    assert_eq!(jobs.iter().filter(is_done).count(), 24);
}

// Guards against a task that runs twice because its stop was answered late or never: it may only
// start elsewhere once its end is listed, or the lease of its worker is over.
#[test]
fn plan_repeats_a_stop_until_it_is_answered() {
    let (mut sim, job) = one_task(true);
    sim.workers.get_mut("w0").expect("a worker").lost_stops = 2;
    vacate(&mut sim, "w0");
    sim.run_for(600);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"], "two stops are lost");
    sim.run_for(700);
    assert_eq!(sim.workers_running(first_task(job)), ["w1"]);
}

#[test]
fn plan_waits_for_the_lease_of_a_worker_that_never_answers_a_stop() {
    let (mut sim, job) = one_task(true);
    sim.workers.get_mut("w0").expect("a worker").lost_stops = u32::MAX;
    vacate(&mut sim, "w0");
    sim.plan();
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    for _ in 0..60 {
        sim.run_for(100);
        let running = sim.workers_running(first_task(job)).len();
        assert!(running <= 1, "the task runs twice");
    }
    assert_eq!(sim.workers_running(first_task(job)), ["w1"]);
}

// Guards against a task that starts elsewhere with older progress, before its owner has read the
// progress that it saved when it was stopped.
#[test]
fn plan_waits_for_saved_progress_that_is_not_yet_read() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    assert_eq!(stops(&sim.plan()).len(), 1);
    sim.now += 100;
    assert_eq!(sim.plan(), [], "the stop is answered, but no poll has listed the end");
    sim.run_for(100);
    let run = &sim.workers["w1"].running[&first_task(job)];
    assert_eq!(run.resumed_ms, 1_150, "since its start");
}

/// Replaces the owner by one that knows what is written.
fn replace_owner(sim: &mut Simulation, jobs: &[(JobId, Vec<Step>)]) {
    let fence = sim.pool.fence() + 100;
    let roster = sim.pool.written_roster();
    sim.pool = contended_owner(fence, sim.now, settings(true));
    sim.connections = common::Connections::default();
    sim.pool.set_roster(roster, 0);
    for (job, steps) in jobs {
        let (record, progress) = (record(steps.clone()), sim.progress.get(job));
        sim.pool.accept(at(sim.now), Duration::ZERO, *job, &record, progress, FENCE);
    }
    sim.list_and_poll();
}

// Guards against a task that starts from the beginning, or is stopped without a bound, because its
// owner was replaced after it ordered a stop and before it started the task again.
#[test]
fn accept_by_a_successor_resumes_a_stopped_task() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    sim.plan();
    let steps = vec![saving_step(1, 2_000, 5_000)];
    replace_owner(&mut sim, &[(job, steps.clone())]);
    sim.run_for(500);
    let running = sim.workers_running(first_task(job));
    assert_eq!(running.len(), 1);
    assert!(sim.workers[running[0]].running[&first_task(job)].resumed_ms >= 1_000);
    sim.run_for(300);
    assert_eq!(sim.progress[&job].stopped["0.0.0"].len(), 1, "the stop counts");
    assert!(!sim.progress[&job].saved.is_empty(), "only the store and the new worker have it");
}

// Guards against a stop that doesn't count because the successor adopted the run while it still saved
// its progress: the task would be stopped more often than its bound.
#[test]
fn handle_poll_answer_counts_a_stop_of_an_adopted_run() {
    let (mut sim, job) = one_task(true);
    sim.workers.get_mut("w0").expect("a worker").lost_stops = 1;
    vacate(&mut sim, "w0");
    assert_eq!(stops(&sim.plan()).len(), 1);
    replace_owner(&mut sim, &[(job, vec![saving_step(1, 2_000, 5_000)])]);
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.finish_run(first_task(job), Outcome::Stopped);
    sim.run_for(500);
    assert_eq!(sim.progress[&job].stopped["0.0.0"].len(), 1);
}

// Guards against a worker that forgets saved progress while the store is away, and against a task
// that doesn't resume for that time.
#[test]
fn next_poll_acks_no_stop_while_the_store_is_away() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    for _ in 0..10 {
        sim.now += 100;
        sim.workers.values_mut().for_each(|worker| worker.advance(sim.now));
        sim.poll_all();
        sim.plan();
    }
    assert_eq!(sim.workers_running(first_task(job)), ["w1"]);
    let key = sim.key("w0");
    let poll = sim.pool.next_poll(at(sim.now), key, Connection::Kept).expect("a poll");
    assert_eq!(poll.acked, 0);
    assert!(sim.workers["w1"].running[&first_task(job)].resumed_ms >= 1_000);
    sim.run_for(300);
    let poll = sim.pool.next_poll(at(sim.now), key, Connection::Kept).expect("a poll");
    assert_eq!(poll.acked, 1, "written");
}

// Guards against a task that starts from the beginning because its worker crashed after the stop,
// before it listed the end: the last progress that it listed counts.
#[test]
fn plan_resumes_from_listed_progress_after_a_crash() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    sim.plan();
    sim.registrations.retain(|registration| registration.id != "w0");
    sim.workers.get_mut("w0").expect("a worker").silent = true;
    sim.list_workers();
    sim.run_for(6_000);
    let run = &sim.workers["w1"].running[&first_task(job)];
    assert_eq!(run.resumed_ms, 1_000, "of the last whole second that was listed");
}

// Guards against progress that is lost because a worker lists the end of an earlier run again.
#[test]
fn handle_poll_answer_keeps_the_progress_of_a_later_run() {
    let (mut sim, job) = one_task(true);
    vacate(&mut sim, "w0");
    sim.run_for(1_300);
    let task = first_task(job);
    let worker = sim.workers.get_mut("w1").expect("a worker");
    let run = worker.running[&task].run;
    worker.finish_run(task, Outcome::Stopped);
    sim.poll_all();
    let worker = sim.workers.get_mut("w0").expect("a worker");
    let (number, saved) = (worker.exit_count + 1, "7".to_owned());
    let late = Exit { number, task, run: run - 1, outcome: Outcome::Stopped, saved };
    worker.exits.push(late);
    sim.poll_all();
    let orders = sim.plan();
    let saved = orders.iter().find_map(|order| match &order.action {
        Action::Start { saved, .. } => Some(saved_ms(saved)),
        _ => None,
    });
    assert!(saved.is_some_and(|saved| saved >= 2_000), "{orders:?}");
}

// Guards against a task that is stopped again and again while its pool changes size.
#[test]
fn vacate_stops_a_task_three_times_at_most() {
    let mut sim = Simulation::contended(2, settings(true));
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![saving_step(1, 2_000, 60_000)]);
    let mut stopped = 0;
    for _ in 0..8 {
        sim.run_for(1_200);
        let running = sim.workers_running(first_task(job))[0].to_owned();
        let other = if running == "w0" { "w1" } else { "w0" };
        sim.pool.vacate(at(sim.now), other, Duration::ZERO);
        vacate(&mut sim, &running);
        stopped += stops(&sim.plan()).len();
    }
    assert_eq!(stopped, 3);
}

// Guards against a record that other versions can't read.
#[test]
fn progress_is_read_by_earlier_and_later_versions() {
    #[derive(serde::Deserialize)]
    struct Earlier {
        saved: std::collections::BTreeMap<String, String>,
    }
    let mut progress = Progress::default();
    progress.saved.insert("0.0.0".to_owned(), "half".to_owned());
    let before = serde_json::to_string(&progress).expect("a record");
    assert!(!before.contains("stopped"));
    let read: Progress = serde_json::from_str(&before).expect("a record");
    assert!(read.stopped.is_empty());
    progress.stopped.insert("0.0.0".to_owned(), vec![7]);
    let after = serde_json::to_string(&progress).expect("a record");
    let read: Earlier = serde_json::from_str(&after).expect("a record");
    assert_eq!(read.saved["0.0.0"], "half");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    // Guards against a stopped task that runs twice, or loses its saved progress or an attempt.
    #[test]
    fn relocate_keeps_single_runs_and_progress(events in contention_events(4, 3, 5..120)) {
        check_contention(settings(true), &events, 2_500, &[Invariant::SingleRun, Invariant::Progress, Invariant::Completion])?;
    }

    // Guards against a task that is stopped more often than its bound.
    #[test]
    fn relocate_stops_no_task_too_often(events in contention_events(4, 3, 60..160)) {
        check_contention(settings(true), &events, 9_000, &[Invariant::Stops])?;
    }
}
