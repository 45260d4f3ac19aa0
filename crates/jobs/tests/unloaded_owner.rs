//! Owners that are replaced before they have read what there was.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, World, at, first, owner, step};
use corianderfork_jobs::Job;
use corianderfork_jobs::pool::{Answer, Report};
use corianderfork_jobs::record::Record;

#[test]
fn plan_after_the_word_of_an_owner_that_has_read_no_roster() {
    // Symptom: a task runs on two workers at once.
    // Sequence: an owner grants a worker a lease and dies; the next one takes the
    //   duty and is stopped while it still reads the store; the third asks it what
    //   was granted, can't reach the worker, and starts its task elsewhere.
    // Cause: an owner that knows of no workers yet tells that nothing is granted,
    //   and that is taken for the word that what its predecessor granted is over.
    let mut world = World::new(2);
    world.takes = 60_000;
    let steps = vec![step(1, 1_000)];
    let id = world.submit(1, steps.clone());
    world.run(500);
    let place = world.where_runs(first(id)).first().map(|at| (*at).to_owned()).expect("it runs");
    let seats = world.pool.written_roster();

    let grants = owner(FENCE + 1, world.now).granted_leases(at(world.now));
    let mut third = owner(FENCE + 2, world.now);
    third.set_roster(seats);
    if let Some(grants) = grants {
        third.set_inherited_leases(at(world.now), &grants);
    }
    let job = Job::new("run".to_owned(), steps).expect("a job");
    let record = Record { queue: "q".to_owned(), accepted_ms: 0, job };
    third.accept(at(world.now), Duration::ZERO, id, &record, None, 1);
    third.set_workers(at(world.now), &world.entries);
    let keys: Vec<_> = third.workers().collect();
    for key in keys {
        let look = third.next_poll(at(world.now), key).expect("a look");
        let report = Report { clock_ms: world.now, ..Report::default() };
        let answer = if look.id == place { Answer::Lost } else { Answer::Done(report) };
        third.handle_poll_answer(at(world.now), at(world.now), key, &answer);
    }
    world.now += 100;
    assert!(world.workers[&place].deadline > world.now, "its lease holds");
    let orders = third.plan(at(world.now), 0);
    assert!(orders.is_empty(), "it runs on {place} still: {orders:?}");
}
