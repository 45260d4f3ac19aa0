//! The log of what tasks of long-running steps wait for.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::pool::Note;
use corianderfork_jobs::pool::wait::{BEGUN, OVER, Reason, Wait};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::{Job, JobId, Step};

fn lasting() -> Step {
    Step { long_running: true, ..step(1, 1_000) }
}

fn waits(notes: &[Note], event: &str) -> Vec<Wait> {
    let of_event = notes.iter().filter(|note| note.event == event);
    of_event.filter_map(|note| note.wait.clone()).collect()
}

/// Lets a successor take over while the worker of the job doesn't answer. Returns that worker.
fn take_over(sim: &mut Simulation, job: JobId) -> String {
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    let locations = sim.pool.written_roster();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_roster(locations, 0);
    sim.registrations.retain(|entry| entry.id != holder);
    sim.list_and_poll();
    let job_of_one = Job::new("lasts".to_owned(), vec![lasting()]).expect("a job");
    let (queue, organisation) = ("q".to_owned(), None);
    let record = Record { queue, accepted_ms: 0, attempts: None, job: job_of_one, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, job, &record, None, FENCE + 1);
    holder
}

// Guards against a wait after a takeover of which the log names neither the worker nor the end.
#[test]
fn review_waits_after_a_takeover() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![lasting()]);
    sim.run_for(500);
    let holder = take_over(&mut sim, job);
    let taken = at(sim.now);
    sim.run_for(1_500);
    let notes = sim.pool.take_notes();
    let waits_begun = waits(&notes, BEGUN);
    assert_eq!(waits_begun.len(), 1, "one line for one wait");
    assert_eq!(waits_begun[0].reason, Reason::FormerOwners);
    assert_eq!(waits_begun[0].workers, [holder]);
    assert!(waits_begun[0].since <= taken + Duration::from_millis(500));
    let until = waits_begun[0].until.expect("the lease is bounded");
    let explanation = sim.pool.explain(at(sim.now), job).expect("the job is known");
    assert_eq!(explanation.steps[0].waits_for, Some(Reason::FormerOwners));
    assert!(explanation.steps[0].waiting_ms >= Some(1_000), "{explanation:?}");
    assert!(explanation.steps[0].left_ms > Some(0), "{explanation:?}");
    sim.run_for(10_000);
    assert!(at(sim.now) > until);
    let ended = waits(&sim.pool.take_notes(), OVER);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].since, waits_begun[0].since);
}

// Guards against a task of a silent worker that seems to run until its lease has expired.
#[test]
fn review_waits_on_a_silent_worker() {
    let mut sim = Simulation::new(2);
    let job = sim.submit(1, vec![lasting()]);
    sim.run_for(500);
    let holder = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&holder).expect("a worker").silent = true;
    sim.run_for(3_000);
    let begun = waits(&sim.pool.take_notes(), BEGUN);
    assert_eq!(begun.len(), 1);
    assert_eq!((begun[0].reason, begun[0].workers.as_slice()), (Reason::Lease, &[holder][..]));
    assert!(begun[0].until.is_some());
}

#[test]
fn review_waits_short() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![lasting()]);
    sim.run_for(3_000);
    assert!(waits(&sim.pool.take_notes(), BEGUN).is_empty());
}
