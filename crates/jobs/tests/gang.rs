//! Gangs: steps whose tasks can only run all together.

mod common;

use std::collections::BTreeSet;

use common::{Simulation, at, first_task, step};
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::{JobId, Step};

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
