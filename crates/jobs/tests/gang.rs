//! Gangs: steps whose tasks can only run all together.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::record::State;
use corianderfork_jobs::size::Sizer;
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::{JobId, Step};

/// How long a worker is vacated, in seconds.
const VACATED_S: u64 = 60;

fn gang(count: u32, cpu: u64) -> Step {
    Step { gang: true, ..step(count, cpu) }
}

/// Ends the run of one member.
fn end_run(sim: &mut Simulation, name: Name, outcome: Outcome) {
    let worker = sim.workers.values_mut().find(|worker| worker.running.contains_key(&name));
    worker.expect("the task runs").finish_run(name, outcome);
}

// Guards against starting only the members of a gang that fit: they would wait for the others,
// occupy room, and end alone.
#[test]
fn plan_starts_all_of_a_gang_or_none() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![gang(3, 6_000)]);
    assert!(sim.plan().is_empty(), "only two of three fit");
    sim.registrations.push(common::registration("w2", 9_100, "r1"));
    sim.workers.insert("w2".to_owned(), common::Worker::default());
    sim.list_and_poll();
    let orders = sim.plan();
    assert_eq!(orders.len(), 3);
    let runs: BTreeSet<u64> = orders.iter().map(|order| order.run).collect();
    assert_eq!(runs.len(), 1, "one run for all");
}

#[test]
fn plan_takes_no_room_for_a_gang_that_does_not_fit() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![gang(3, 6_000)]);
    sim.submit(2, vec![step(2, 8_000)]);
    assert_eq!(sim.plan().len(), 2, "both workers are free for other tasks");
}

#[test]
fn plan_keeps_a_gang_in_one_rack() {
    // w0 and w1 are in r0, w2 and w3 in r1.
    let mut sim = Simulation::new(4);
    sim.submit(1, vec![step(1, 8_000)]);
    sim.plan();
    sim.submit(2, vec![Step { same_rack: true, ..gang(2, 8_000) }]);
    let orders = sim.plan();
    let workers: BTreeSet<&str> = orders.iter().map(|order| order.id.as_str()).collect();
    let taken = sim.workers_running(first_task(JobId(1)))[0];
    let other = if taken == "w0" || taken == "w1" { ["w2", "w3"] } else { ["w0", "w1"] };
    assert_eq!(workers, BTreeSet::from(other));
}

#[test]
fn task_done_of_one_member_completes_the_gang() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![gang(2, 4_000)]);
    sim.plan();
    end_run(&mut sim, first_task(job), Outcome::Done);
    let other = Name { index: 1, ..first_task(job) };
    end_run(&mut sim, other, Outcome::Done);
    sim.now += 100;
    sim.poll_all();
    sim.write();
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against counting the failure of each member of a gang as an attempt, which failed jobs
// that could complete: a run of a gang fails, and two members report it.
#[test]
fn task_failed_counts_a_gangs_run_once() {
    let mut sim = Simulation::new(3);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![gang(3, 4_000)]);
    let outcomes = [
        [Outcome::Failed, Outcome::Failed, Outcome::Broken],
        [Outcome::Broken, Outcome::Broken, Outcome::Failed],
    ];
    for (attempt, outcomes) in (1..).zip(outcomes) {
        assert_eq!(sim.plan().len(), 3, "attempt {attempt}");
        for (index, outcome) in outcomes.into_iter().enumerate() {
            end_run(&mut sim, Name { index: index as u32, ..first_task(job) }, outcome);
        }
        sim.now += 100;
        sim.poll_all();
        sim.write();
        let failed = sim.pool.state(job) == Some(State::Failed);
        assert_eq!(failed, attempt == 2, "attempt {attempt} of 2");
        sim.now += 100;
    }
}

// Guards against two concurrent runs of one member: the worker of another member crashes, and
// the gang is restarted while members of the previous run are alive.
#[test]
fn plan_restarts_a_gang_only_when_all_members_have_ended() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 60_000;
    let job = sim.submit(1, vec![gang(2, 8_000)]);
    sim.plan();
    end_run(&mut sim, first_task(job), Outcome::Failed);
    sim.now += 100;
    sim.poll_all();
    assert!(sim.pool.plan(at(sim.now + 100), 0).is_empty(), "the other member still runs");
    end_run(&mut sim, Name { index: 1, ..first_task(job) }, Outcome::Broken);
    sim.now += 200;
    sim.poll_all();
    assert_eq!(sim.plan().len(), 2);
}

// Guards against a gang that takes three times as long because it was spread over racks at
// once, although one rack would have had room a moment later.
#[test]
fn plan_spreads_a_gang_over_racks_only_after_a_while() {
    let mut sim = Simulation::new(4);
    sim.task_ms = 60_000;
    for (id, rack) in [(1, "r0"), (2, "r1")] {
        sim.submit(id, vec![Step { preferred_rack: Some(rack.to_owned()), ..step(1, 8_000) }]);
    }
    assert_eq!(sim.plan().len(), 2, "one worker of each rack is full");
    let job = sim.submit(3, vec![Step { same_rack: true, ..gang(2, 8_000) }]);
    sim.run_for(900);
    assert!(sim.workers_running(first_task(job)).is_empty(), "waiting saves up to a second");
    sim.run_for(400);
    assert_eq!(sim.workers_running(first_task(job)).len(), 1);
}

/// Sizes the pool by its load, as the planner does, and vacates the workers beyond that.
fn size(sim: &mut Simulation, sizer: &mut Sizer) -> Vec<String> {
    let worker_room = Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 };
    let now = at(sim.now);
    let keep = sizer.request(now, &sim.pool.load(now), &worker_room).current;
    sim.pool.shrink(now, keep, Duration::from_secs(VACATED_S))
}

// Guards against a gang that never starts beside idle workers: its queue's demand has fallen, the
// pool counts the room of its tasks, which is that of one worker, and vacates the other workers
// again and again, while its tasks have to be on four.
#[test]
fn plan_starts_a_gang_over_more_workers_than_the_pool_keeps() {
    let steps = [Step { max_per_worker: 1, ..gang(4, 1_000) }, gang(4, 4_500)];
    for step in steps {
        let mut sim = Simulation::new(6);
        let mut sizer = Sizer::default();
        assert_eq!(size(&mut sim, &mut sizer).len(), 4, "the pool keeps two");
        let job = sim.submit(1, vec![step]);
        for _ in 0..10 {
            size(&mut sim, &mut sizer);
            sim.run_for(100);
        }
        assert_eq!(sim.pool.state(job), Some(State::Completed));
        sim.now += 5_000;
        sim.list_and_poll();
        assert_eq!(size(&mut sim, &mut sizer).len(), 4, "and two again afterwards");
    }
}

// Guards against a gang that never starts because its pool asks for fewer workers than its tasks
// have to be on: the others are in other pools.
#[test]
fn load_asks_for_the_workers_that_a_gang_needs() {
    let worker_room = Room { cpu: 8_000, memory_mb: 8_000, gpu: 0 };
    let steps = [
        (Step { max_per_worker: 1, ..gang(4, 1_000) }, 4),
        (Step { max_per_worker: 2, ..gang(7, 1_000) }, 4),
        (gang(4, 4_500), 4),
    ];
    for (step, workers) in steps {
        let mut sim = Simulation::new(2);
        sim.submit(1, vec![step.clone()]);
        assert!(sim.plan().is_empty());
        let request =
            Sizer::default().request(at(sim.now), &sim.pool.load(at(sim.now)), &worker_room);
        assert!(request.current >= workers && request.peak >= workers, "{request:?} for {step:?}");
    }
}

// Guards against a gang that waits while its pool is asked to keep fewer workers than its tasks have
// to be on, by a planner of an earlier version or for other pools.
#[test]
fn shrink_keeps_the_workers_on_which_a_gang_can_start() {
    let mut sim = Simulation::new(6);
    let job = sim.submit(1, vec![Step { max_per_worker: 1, ..gang(4, 1_000) }]);
    let empty = sim.pool.shrink(at(sim.now), 2, Duration::from_secs(VACATED_S));
    assert_eq!(empty.len(), 2, "{empty:?}");
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(job), Some(State::Completed));
}

// Guards against keeping workers for a gang that can't start: its turn hasn't come, or the pool has
// too few workers that can run it.
#[test]
fn shrink_keeps_no_workers_for_a_gang_that_cannot_start() {
    let wide = |count| Step { max_per_worker: 1, ..gang(count, 1_000) };
    for steps in [vec![step(1, 1_000), wide(4).after(0)], vec![wide(9)]] {
        let mut sim = Simulation::new(6);
        sim.task_ms = 60_000;
        sim.submit(1, steps);
        sim.plan();
        let empty = sim.pool.shrink(at(sim.now), 2, Duration::from_secs(VACATED_S));
        assert_eq!(empty.len(), 4, "{empty:?}");
    }
}
