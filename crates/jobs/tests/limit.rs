//! Tests of the limits of organisations in one pool.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, first_task, owner, step};
use corianderfork_jobs::allowance::{Demand, WHOLE};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Answer};
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::{Job, JobId, Step};

const CLUB: &str = "club";

fn club(cpu: u64) -> Organisation {
    let limit = Room { cpu, ..Room::default() };
    Organisation { name: CLUB.to_owned(), weight: 1, limit }
}

/// Creates a pool whose part of the club's limit of `cpu` is `part`.
fn simulation(workers: u16, cpu: u64, part: u32) -> Simulation {
    let mut sim = Simulation::new(workers);
    sim.pool.set_organisations(&[club(cpu)]);
    sim.pool.set_part(CLUB, part);
    sim
}

fn submit(sim: &mut Simulation, id: u64, organisation: Option<&str>, steps: Vec<Step>) -> JobId {
    submit_at(sim, id, organisation, steps, FENCE + 1_000)
}

fn submit_at(
    sim: &mut Simulation,
    id: u64,
    organisation: Option<&str>,
    steps: Vec<Step>,
    revision: u64,
) -> JobId {
    let id = JobId(id);
    sim.steps.insert(id, steps.clone());
    let job = Job::new("run".to_owned(), steps).expect("a job");
    let organisation = organisation.map(str::to_owned);
    let record =
        Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, revision);
    id
}

fn used(sim: &Simulation) -> u64 {
    sim.pool.uses().iter().find(|usage| usage.organisation == CLUB).map_or(0, |u| u.used.cpu)
}

// Guards against an organisation that runs more than its pool's part of the limit.
#[test]
fn plan_keeps_an_organisation_within_its_part() {
    let mut sim = simulation(4, 8_000, WHOLE / 2);
    let job = submit(&mut sim, 1, Some(CLUB), vec![step(10, 1_000)]);
    for _ in 0..30 {
        sim.run_for(100);
        assert!(sim.running_count() <= 4);
    }
    assert_eq!(sim.pool.state(job), Some(State::Completed));
    assert_eq!(used(&sim), 0);
}

// Guards against holding back jobs of others behind an organisation that is at its limit.
#[test]
fn plan_starts_other_jobs_beside_an_organisation_at_its_limit() {
    let mut sim = simulation(4, 8_000, 0);
    let held = submit(&mut sim, 1, Some(CLUB), vec![step(4, 1_000)]);
    let free = submit(&mut sim, 2, None, vec![step(4, 1_000)]);
    let unlimited = submit(&mut sim, 3, Some("other"), vec![step(4, 1_000)]);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(held), Some(State::Queued));
    assert_eq!(sim.pool.state(free), Some(State::Completed));
    assert_eq!(sim.pool.state(unlimited), Some(State::Completed));
    let shortages = sim.pool.shortages(at(sim.now));
    assert_eq!(shortages.len(), 1);
    let demand = Demand { wanted: WHOLE / 2, needed: WHOLE / 8, ..Demand::default() };
    assert_eq!(shortages[0].demand, demand);
    let why = sim.pool.explain(at(sim.now), held).expect("a job").steps[0].why.clone();
    assert!(why.contains(CLUB), "{why}");
}

// Guards against a part that is given away while a run that is being stopped still uses it.
#[test]
fn demand_counts_runs_until_their_end_is_listed() {
    let mut sim = simulation(1, 8_000, WHOLE);
    sim.task_ms = 60_000;
    let job = submit(&mut sim, 1, Some(CLUB), vec![step(2, 1_000)]);
    sim.run_for(300);
    sim.pool.cancel(at(sim.now), job);
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).used, WHOLE / 4);
    sim.run_for(500);
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).used, 0);
}

// Guards against starting more for a start without an answer, which may be carried out late.
#[test]
fn demand_counts_unanswered_starts() {
    let mut sim = simulation(2, 1_000, WHOLE);
    submit(&mut sim, 1, Some(CLUB), vec![step(2, 1_000)]);
    let orders = sim.pool.plan(at(sim.now), 0);
    assert_eq!(orders.len(), 1);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Lost);
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    let later = sim.pool.plan(at(sim.now + 50), 0);
    assert!(!later.iter().any(|order| is_start(&order.action) && order.task != orders[0].task));
}

// Guards against stopping work as a limit is lowered, and against starts beyond the new limit.
#[test]
fn set_organisations_with_a_lowered_limit() {
    let mut sim = simulation(4, 8_000, WHOLE);
    sim.task_ms = 1_000;
    submit(&mut sim, 1, Some(CLUB), vec![step(20, 1_000)]);
    sim.run_for(200);
    assert_eq!(sim.running_count(), 8);
    sim.pool.set_organisations(&[club(2_000)]);
    sim.run_for(500);
    assert_eq!(sim.running_count(), 8);
    sim.run_for(1_000);
    assert_eq!(sim.running_count(), 2);
    sim.pool.set_organisations(&[]);
    sim.run_for(300);
    assert!(sim.running_count() > 8, "{} run without a limit", sim.running_count());
}

// Guards against a job that never runs since its limit was lowered below one of its tasks.
#[test]
fn plan_starts_a_task_beyond_the_whole_limit_alone() {
    let mut sim = simulation(4, 1_000, WHOLE);
    sim.task_ms = 400;
    let small = submit(&mut sim, 1, Some(CLUB), vec![step(2, 800)]);
    let large = submit(&mut sim, 2, Some(CLUB), vec![step(2, 3_000)]);
    for _ in 0..40 {
        sim.run_for(100);
        assert!(sim.running_count() <= 1);
    }
    assert_eq!(sim.pool.state(small), Some(State::Completed));
    assert_eq!(sim.pool.state(large), Some(State::Completed));
}

// Guards against a successor that uses the whole part beside runs that it can't see.
#[test]
fn plan_of_a_successor_counts_runs_on_a_silent_worker() {
    let mut sim = simulation(2, 8_000, WHOLE);
    sim.task_ms = 60_000;
    let earlier = submit_at(&mut sim, 1, Some(CLUB), vec![step(6, 1_000)], FENCE + 1);
    sim.run_for(300);
    let locations = sim.pool.written_roster();
    let silent = sim.workers_running(first_task(earlier))[0].to_owned();
    sim.workers.get_mut(&silent).expect("a worker").silent = true;
    let hidden = sim.workers[&silent].running.len();
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_organisations(&[club(8_000)]);
    sim.pool.set_part(CLUB, WHOLE);
    sim.pool.set_roster(locations, 0);
    submit_at(&mut sim, 1, Some(CLUB), vec![step(6, 1_000)], FENCE + 1);
    sim.list_and_poll();
    submit_at(&mut sim, 2, Some(CLUB), vec![step(8, 1_000)], FENCE + 1_000);
    sim.run_for(1_000);
    assert!(hidden > 0);
    assert!(sim.running_count() <= 8, "{} run, {hidden} unseen", sim.running_count());
}

// Guards against a gang that starts beyond the part since only one of its tasks was counted.
#[test]
fn plan_counts_all_tasks_of_a_gang() {
    let mut sim = simulation(4, 8_000, WHOLE / 4);
    let gang = submit(&mut sim, 1, Some(CLUB), vec![Step { gang: true, ..step(3, 1_000) }]);
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(gang), Some(State::Queued));
    sim.pool.set_part(CLUB, WHOLE / 2);
    sim.run_for(300);
    assert_eq!(sim.running_count(), 3);
}

// Guards against asking for what the next task needs although tasks start all the time.
#[test]
fn demand_needs_nothing_while_tasks_start() {
    let mut sim = simulation(4, 8_000, WHOLE / 2);
    submit(&mut sim, 1, Some(CLUB), vec![step(40, 1_000)]);
    for _ in 0..30 {
        sim.run_for(100);
        assert_eq!(sim.pool.demand(at(sim.now), CLUB).needed, 0);
    }
}

// Guards against an owner that gives away parts which runs of its predecessor use unseen.
#[test]
fn demand_of_a_successor_counts_runs_on_a_silent_worker() {
    let mut sim = simulation(2, 8_000, WHOLE);
    sim.task_ms = 60_000;
    let job = submit_at(&mut sim, 1, Some(CLUB), vec![step(6, 1_000)], FENCE + 1);
    sim.run_for(300);
    let locations = sim.pool.written_roster();
    let silent = sim.workers_running(first_task(job))[0].to_owned();
    sim.workers.get_mut(&silent).expect("a worker").silent = true;
    sim.pool = owner(FENCE + 50, sim.now);
    sim.pool.set_organisations(&[club(8_000)]);
    sim.pool.set_part(CLUB, WHOLE);
    sim.pool.set_roster(locations, 0);
    submit_at(&mut sim, 1, Some(CLUB), vec![step(6, 1_000)], FENCE + 1);
    sim.list_and_poll();
    assert!(sim.pool.demand(at(sim.now), CLUB).used >= WHOLE * 6 / 8);
}

// Guards against jobs that earn nothing any more taking parts from pools whose jobs do.
#[test]
fn demand_leaves_out_expired_jobs_beside_others() {
    let mut sim = simulation(4, 8_000, 0);
    submit(&mut sim, 1, Some(CLUB), vec![step(4, 1_000)]);
    sim.now += 600_000;
    sim.list_and_poll();
    sim.plan();
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).wanted, WHOLE / 2);
    submit(&mut sim, 2, Some(CLUB), vec![step(2, 1_000)]);
    sim.plan();
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).wanted, WHOLE / 4);
}
