//! Tasks that work only all together.

mod common;

use std::collections::BTreeSet;

use common::{World, at, first, step};
use corianderfork_jobs::record::State;
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::{JobId, Step};

fn gang(count: u32, cpu: u64) -> Step {
    Step { gang: true, ..step(count, cpu) }
}

/// Ends the run of one member.
fn end(world: &mut World, name: Name, outcome: Outcome) {
    let worker = world.workers.values_mut().find(|worker| worker.running.contains_key(&name));
    worker.expect("it runs").end(name, outcome);
}

#[test]
fn plan_starts_all_of_a_gang_or_none() {
    // Symptom: members wait for the others, take room, and end alone.
    // Sequence: two of three fit now; they are started, and the third waits.
    // Cause: each task is placed by itself.
    let mut world = World::new(2);
    world.submit(1, vec![gang(3, 6_000)]);
    assert!(world.plan().is_empty(), "two of three fit");
    world.entries.push(common::entry("w2", 9_100, "r1"));
    world.workers.insert("w2".to_owned(), common::Worker::default());
    world.settle();
    let orders = world.plan();
    assert_eq!(orders.len(), 3);
    let runs: BTreeSet<u64> = orders.iter().map(|order| order.run).collect();
    assert_eq!(runs.len(), 1, "one run for all");
}

#[test]
fn plan_takes_no_room_for_a_gang_that_does_not_fit() {
    let mut world = World::new(2);
    world.submit(1, vec![gang(3, 6_000)]);
    world.submit(2, vec![step(2, 8_000)]);
    assert_eq!(world.plan().len(), 2, "both workers are free for others");
}

#[test]
fn plan_keeps_a_gang_in_one_rack() {
    // w0 and w1 are in r0, w2 and w3 in r1.
    let mut world = World::new(4);
    world.submit(1, vec![step(1, 8_000)]);
    world.plan();
    world.submit(2, vec![Step { same_rack: true, ..gang(2, 8_000) }]);
    let orders = world.plan();
    let seats: BTreeSet<&str> = orders.iter().map(|order| order.id.as_str()).collect();
    let taken = world.where_runs(first(JobId(1)))[0];
    let other = if taken == "w0" || taken == "w1" { ["w2", "w3"] } else { ["w0", "w1"] };
    assert_eq!(seats, BTreeSet::from(other));
}

#[test]
fn task_done_of_one_member_stands_for_all() {
    let mut world = World::new(2);
    world.takes = 60_000;
    let job = world.submit(1, vec![gang(2, 4_000)]);
    world.plan();
    end(&mut world, first(job), Outcome::Done);
    let other = Name { index: 1, ..first(job) };
    end(&mut world, other, Outcome::Done);
    world.now += 100;
    world.look();
    world.write();
    assert_eq!(world.pool.state(job), Some(State::Completed));
}

#[test]
fn task_failed_counts_a_gangs_run_once() {
    // Symptom: a job that could be done is told as failed.
    // Sequence: a gang's run fails; two members say so, and the rest broke off.
    // Cause: each member's failure counts as an attempt of its own.
    let mut world = World::new(3);
    world.takes = 60_000;
    let job = world.submit(1, vec![gang(3, 4_000)]);
    let ends = [
        [Outcome::Failed, Outcome::Failed, Outcome::Broken],
        [Outcome::Broken, Outcome::Broken, Outcome::Failed],
    ];
    for (attempt, ends) in (1..).zip(ends) {
        assert_eq!(world.plan().len(), 3, "attempt {attempt}");
        for (index, outcome) in ends.into_iter().enumerate() {
            end(&mut world, Name { index: index as u32, ..first(job) }, outcome);
        }
        world.now += 100;
        world.look();
        world.write();
        let failed = world.pool.state(job) == Some(State::Failed);
        assert_eq!(failed, attempt == 2, "attempt {attempt} of 2");
        world.now += 100;
    }
}

#[test]
fn plan_starts_a_gang_again_only_once_all_have_ended() {
    // Symptom: two runs of one member at the same time.
    // Sequence: one member's worker crashes; the others still run.
    // Cause: the gang is started again while members of the last run are alive.
    let mut world = World::new(4);
    world.takes = 60_000;
    let job = world.submit(1, vec![gang(2, 8_000)]);
    world.plan();
    end(&mut world, first(job), Outcome::Failed);
    world.now += 100;
    world.look();
    assert!(world.pool.plan(at(world.now + 100), 0).is_empty(), "the other member still runs");
    end(&mut world, Name { index: 1, ..first(job) }, Outcome::Broken);
    world.now += 200;
    world.look();
    assert_eq!(world.plan().len(), 2);
}

#[test]
fn plan_spreads_a_gang_over_racks_only_after_a_while() {
    // Symptom: a gang takes three times as long as it should.
    // Sequence: no rack has room for all of it at the moment.
    // Cause: it is spread over racks at once, where each would do in a moment.
    let mut world = World::new(4);
    world.takes = 60_000;
    for (id, rack) in [(1, "r0"), (2, "r1")] {
        world.submit(id, vec![Step { preferred_rack: Some(rack.to_owned()), ..step(1, 8_000) }]);
    }
    assert_eq!(world.plan().len(), 2, "one worker of each rack is taken");
    let job = world.submit(3, vec![Step { same_rack: true, ..gang(2, 8_000) }]);
    world.run(900);
    assert!(world.where_runs(first(job)).is_empty(), "a second is saved");
    world.run(400);
    assert_eq!(world.where_runs(first(job)).len(), 1);
}
