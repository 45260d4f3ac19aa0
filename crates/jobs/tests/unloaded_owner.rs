//! Owners that are replaced before they have read the store.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::Job;
use corianderfork_jobs::pool::{Answer, Connection, Report};
use corianderfork_jobs::record::Record;

// Guards against a task that runs on two workers at once. An owner grants a worker a lease and
// dies; its successor is stopped while it still reads the store. The third owner asks the
// second one for its granted leases, can't reach the worker, and starts the task elsewhere: the
// second owner knew no workers yet, and its empty answer was taken to mean that all earlier
// leases had ended.
#[test]
fn plan_after_an_owner_that_has_not_read_the_roster() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 60_000;
    let steps = vec![step(1, 1_000)];
    let id = sim.submit(1, steps.clone());
    sim.run_for(500);
    let place = sim
        .workers_running(first_task(id))
        .first()
        .map(|at| (*at).to_owned())
        .expect("the task runs");
    let locations = sim.pool.written_roster();

    let grants = owner(FENCE + 1, sim.now).granted_leases(at(sim.now));
    let mut third = owner(FENCE + 2, sim.now);
    third.set_roster(locations, 0);
    if let Some(grants) = grants {
        third.set_inherited_leases(at(sim.now), &grants);
    }
    let job = Job::new("run".to_owned(), steps).expect("a job");
    let record =
        Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None };
    third.accept(at(sim.now), Duration::ZERO, id, &record, None, 1);
    third.set_workers(at(sim.now), &sim.registrations);
    let keys: Vec<_> = third.workers().collect();
    for key in keys {
        let poll = third.next_poll(at(sim.now), key, Connection::New).expect("a poll");
        let report = Report { clock_ms: sim.now, ..Report::default() };
        let answer = if poll.id == place { Answer::Lost } else { Answer::Done(report) };
        third.handle_poll_answer(at(sim.now), at(sim.now), key, &answer);
    }
    sim.now += 100;
    assert!(sim.workers[&place].deadline > sim.now, "its lease is valid");
    let orders = third.plan(at(sim.now), 0);
    assert!(orders.is_empty(), "the task still runs on {place}: {orders:?}");
}
