//! Long-running tasks, and the limit of unavailable ones.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::{Job, Step};

fn long_running_step(count: u32, max_unavailable: u32) -> Step {
    Step {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        max_per_worker: 1,
        ..step(count, 1_000)
    }
}

fn make_ready(sim: &mut Simulation) {
    for worker in sim.workers.values_mut() {
        worker.running.values_mut().for_each(|run| run.percent = Some(100));
    }
}

// Guards against too many unavailable tasks of a long-running step: the worker of one task
// crashes and falls silent, and a task on another worker is stopped for maintenance while the
// last report of the silent worker still counts as valid.
#[test]
fn evacuate_counts_tasks_on_silent_workers_as_unavailable() {
    let mut sim = Simulation::new(6);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running_step(4, 1)]);
    sim.plan();
    make_ready(&mut sim);
    sim.run_for(1_000);
    let name = |index: u32| Name { index, ..first_task(job) };
    let crashed = sim.workers_running(name(0))[0].to_owned();
    let maintained = sim.workers_running(name(1))[0].to_owned();
    sim.workers.get_mut(&crashed).expect("a worker").silent = true;
    sim.run_for(200);
    sim.pool.vacate(at(sim.now), &maintained, Duration::from_secs(60));
    sim.run_for(2_000);
    assert_eq!(sim.workers_running(name(1)), [maintained.as_str()], "the task must not be stopped");
}

#[test]
fn evacuate_moves_long_running_tasks_one_by_one() {
    let mut sim = Simulation::new(6);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running_step(4, 1)]);
    sim.plan();
    make_ready(&mut sim);
    sim.run_for(1_000);
    let name = |index: u32| Name { index, ..first_task(job) };
    let both: Vec<String> =
        [0, 1].iter().map(|i| sim.workers_running(name(*i))[0].to_owned()).collect();
    for id in &both {
        sim.pool.vacate(at(sim.now), id, Duration::from_secs(60));
    }
    sim.run_for(1_000);
    let moved = |sim: &Simulation, index: u32| {
        !both.contains(&sim.workers_running(name(index))[0].to_owned())
    };
    assert!(moved(&sim, 0) && !moved(&sim, 1), "the second move waits for the first");
    make_ready(&mut sim);
    sim.run_for(1_000);
    assert!(moved(&sim, 1));
}

// Guards against too many unavailable tasks of a long-running step: an owner orders a stop and
// dies. The stop takes a moment, so its successor finds the task still listed as ready and
// stops another one.
#[test]
fn evacuate_by_a_successor_waits_for_stops_of_its_predecessor() {
    let mut sim = Simulation::new(6);
    sim.task_ms = 600_000;
    let job = sim.submit(1, vec![long_running_step(4, 1)]);
    sim.plan();
    make_ready(&mut sim);
    sim.run_for(1_000);
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    let record = Record {
        queue: "q".to_owned(),
        accepted_ms: 0,
        attempts: None,
        job: Job::new("run".to_owned(), vec![long_running_step(4, 1)]).expect("a job"),
        organisation: None,
    };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    sim.list_and_poll();
    let name = |index: u32| Name { index, ..first_task(job) };
    let stopped = sim.workers_running(name(0))[0].to_owned();
    let other = sim.workers_running(name(1))[0].to_owned();
    sim.pool.vacate(at(sim.now), &other, Duration::from_secs(60));
    sim.run_for(300);
    // The predecessor's stop takes effect only now.
    sim.workers.get_mut(&stopped).expect("a worker").finish_run(name(0), Outcome::Stopped);
    assert_eq!(sim.workers_running(name(1)), [other.as_str()]);
    sim.run_for(1_000);
    make_ready(&mut sim);
    sim.run_for(2_000);
    assert_ne!(sim.workers_running(name(1)), [other.as_str()], "the task is moved afterwards");
}

// Guards against a long-running task that waits for seconds in an idle fleet: it leaves its
// worker, and the pool has enough free CPU in total but on no single worker.
#[test]
fn load_requests_a_worker_for_a_long_running_task_that_fits_nowhere() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 600_000;
    sim.submit(1, vec![long_running_step(3, 1)]);
    sim.run_for(200);
    let each = corianderfork_jobs::job::Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 };
    let mut sizer = corianderfork_jobs::size::Sizer::default();
    let load = sim.pool.load(at(sim.now));
    assert_eq!(
        sizer.request(at(sim.now), &load, &each).peak,
        2,
        "the task has not waited long enough"
    );
    sim.run_for(1_000);
    let load = sim.pool.load(at(sim.now));
    assert_eq!(load.unfit, 1);
    let request = sizer.request(at(sim.now), &load, &each);
    assert!(request.peak >= 3 && request.min >= 3, "{request:?}");
}

/// Returns a task of 7 of 8 cores that is being stopped to move from `w0` to `w2`, the only
/// worker that may host it: `w1` hosts the other task of its step.
fn moving() -> (Simulation, Name) {
    let mut sim = Simulation::new(3);
    sim.task_ms = 600_000;
    let wide =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(2, 7_000) };
    let job = sim.submit(1, vec![wide]);
    sim.plan();
    make_ready(&mut sim);
    sim.run_for(2_000);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
    sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(60));
    sim.plan();
    assert!(sim.workers_running(first_task(job)).is_empty(), "the task is stopped");
    (sim, first_task(job))
}

// Guards against a long-running task that doesn't run for seconds beside idle workers. A wave
// empties two workers: the owner stops a task of the first one to move it to another worker, and
// before the task has started there the planner vacates that worker too, since neither knows the
// other's decision. The log showed `task evacuated`, 9 ms later `worker vacates` for the worker of
// `room kept`, then `kept room given up`; the task started again 10 s later.
#[test]
fn vacate_waits_for_a_task_that_is_moving_to_the_worker() {
    let (mut sim, task) = moving();
    assert_eq!(sim.pool.vacate(at(sim.now), "w2", Duration::from_secs(60)), Some(false));
    sim.run_for(500);
    assert_eq!(sim.workers_running(task), ["w2"]);
    assert_eq!(sim.pool.vacate(at(sim.now), "w2", Duration::from_secs(60)), Some(false));
    let notes: Vec<&str> = sim.pool.take_notes().iter().map(|note| note.event).collect();
    assert!(notes.contains(&"worker vacates"), "the worker is vacated afterwards: {notes:?}");
}

#[test]
fn vacate_a_worker_if_a_moving_task_has_another_place() {
    let (mut sim, task) = moving();
    sim.registrations.push(common::registration("w3", 9_300, "r9"));
    sim.workers.insert("w3".to_owned(), common::Worker::default());
    sim.list_workers();
    let new_worker = sim.key("w3");
    sim.poll(new_worker);
    sim.pool.vacate(at(sim.now), "w2", Duration::from_secs(60));
    sim.run_for(500);
    assert_eq!(sim.workers_running(task), ["w3"]);
}

/// Returns a job's steps: one that ends, and after it one that is long-running.
fn mixed_steps() -> Vec<Step> {
    vec![step(2, 1_000), Step { after: vec![0], ..long_running_step(2, 1) }]
}

fn runs_of(sim: &Simulation, step: u32) -> usize {
    let tasks = sim.workers.values().flat_map(|worker| worker.running.keys());
    tasks.filter(|task| task.step == step).count()
}

// Guards against tasks that are done and run again without end, since another step of their job is
// long-running. That step never started.
#[test]
fn task_done_beside_a_long_running_step() {
    let mut sim = Simulation::new(4);
    let job = sim.submit(1, mixed_steps());
    sim.plan();
    assert_eq!((runs_of(&sim, 0), runs_of(&sim, 1)), (2, 0));
    sim.run_for(10_000);
    assert_eq!((runs_of(&sim, 0), runs_of(&sim, 1)), (0, 2));
    assert!((0..2).all(|index| sim.pool.is_done(Name { index, ..first_task(job) })));
    assert_eq!(sim.pool.state(job), Some(State::Running), "it lasts");
}

// Guards against a task that fails without a limit since another step of its job is long-running.
#[test]
fn task_failed_beside_a_long_running_step() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 600_000;
    let job = sim.submit(1, mixed_steps());
    let mut failures = 0;
    while sim.pool.state(job) != Some(State::Failed) {
        sim.run_for(1_500);
        let task = first_task(job);
        let worker = sim.workers_running(task).first().map(|worker| (*worker).to_owned());
        let Some(worker) = worker else { continue };
        sim.workers.get_mut(&worker).expect("a worker").finish_run(task, Outcome::Failed);
        failures += 1;
        assert!(failures <= 2, "it may fail twice");
        sim.run_for(500);
    }
    assert_eq!(failures, 2);
}

#[test]
fn load_of_a_job_with_a_long_running_step() {
    let mut sim = Simulation::new(1);
    sim.submit(1, mixed_steps());
    let load = sim.pool.load(at(sim.now));
    assert_eq!(load.lasting.cpu, 0, "the long-running step isn't ready");
    assert!(load.needed.cpu > 0, "the step before it is");
}
