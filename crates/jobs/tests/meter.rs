//! Tests of the metering of what organisations are owed, in one pool.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{FENCE, Simulation, at, queues, step};
use corianderfork_jobs::allowance::WHOLE;
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Config, Pool};
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::{Job, JobId, Step};

fn organisation(name: &str, weight: u32) -> Organisation {
    Organisation { name: name.to_owned(), weight, ..Organisation::default() }
}

fn pool(fence: u64, now: u64, meter: bool) -> Pool {
    let settings = Settings { meter, ..Settings::default() };
    let mut pool = Pool::new(Config::new(fence, at(now + 10_000)).contention(settings));
    pool.set_queues(queues());
    pool.set_organisations(&[organisation("hot", 4), organisation("a", 7), organisation("b", 7)]);
    pool
}

fn simulation(workers: u16, meter: bool) -> Simulation {
    let mut sim = Simulation::new(workers);
    sim.pool = pool(FENCE, sim.now, meter);
    sim.list_and_poll();
    sim.plan();
    sim
}

fn record(organisation: &str, step: Step) -> Record {
    let job = Job::new("run".to_owned(), vec![step]).expect("a job");
    let organisation = Some(organisation.to_owned());
    Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation }
}

fn submit(sim: &mut Simulation, id: u64, organisation: &str) -> JobId {
    let id = JobId(id);
    let step = step(1, 1_300);
    sim.steps.insert(id, vec![step.clone()]);
    let record = record(organisation, step);
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

// Guards against refusals of owed jobs in the first moments of an organisation's arrivals in a pool:
// the whole rate is divided among other pools until the planner has heard of them. A question must
// not use up what a job is owed either.
#[test]
fn is_next_owed_by_division() {
    let mut sim = simulation(2, true);
    let now = at(sim.now);
    let parts = |part| BTreeMap::from([("hot".to_owned(), part)]);
    sim.pool.set_meter_parts(now, &parts(WHOLE), 0);
    sim.plan();
    assert!((0..20).all(|_| sim.pool.is_next_owed(now, "hot")));
    // Its bucket holds 8.
    let ids: Vec<JobId> = (1..=8).map(|id| submit(&mut sim, id, "hot")).collect();
    assert_eq!(owed(&sim.pool, &ids), 8);
    assert!(!sim.pool.is_next_owed(now, "hot"));
    assert!(sim.pool.is_next_owed(now, "a") && sim.pool.is_next_owed(now, "unknown"));
    sim.pool.set_meter_parts(now, &parts(0), 0);
    assert!(sim.pool.is_next_owed(now, "hot"), "the division doesn't count its arrivals here yet");
    sim.pool.set_meter_parts(now, &BTreeMap::new(), WHOLE / 34);
    assert!(sim.pool.is_next_owed(now, "hot"), "the division doesn't list it yet");
}

fn owed(pool: &Pool, ids: &[JobId]) -> usize {
    ids.iter().filter(|id| pool.is_owed(**id)).count()
}

/// Submits 22 jobs of the hot organisation a second for 7 s beside 28 of the others, which submit
/// twice what they are owed; the pool serves 20 a second. Returns for each hot job whether it is
/// marked as owed, and whether it was in time.
fn flood(meter: bool) -> Vec<(bool, bool)> {
    let mut sim = simulation(2, meter);
    let mut hot: Vec<(JobId, u64, Option<u64>)> = Vec::new();
    let mut next = 0;
    for round in 0..100 {
        for (name, per_second) in [("hot", 22), ("a", 14), ("b", 14)] {
            let count = (round + 1) * per_second / 10 - round * per_second / 10;
            for _ in 0..if round < 70 { count } else { 0 } {
                next += 1;
                let id = submit(&mut sim, next, name);
                hot.extend((name == "hot").then_some((id, sim.now, None)));
            }
        }
        sim.run_for(100);
        for (id, _, end) in &mut hot {
            let is_done = sim.pool.state(*id) == Some(State::Completed);
            *end = end.or(is_done.then_some(sim.now));
        }
    }
    let is_in_time = |since: u64, end: Option<u64>| end.is_some_and(|end| end - since <= 3_000);
    hot.iter().map(|(id, since, end)| (sim.pool.is_owed(*id), is_in_time(*since, *end))).collect()
}

// Guards against a hot organisation's owed jobs that are lost among its rest: it submits 5.5 times
// its usual for 7 s, and by deadline a quarter of the jobs that it is owed come late.
#[test]
fn plan_serves_the_owed_jobs_of_a_hot_organisation() {
    let (metered, plain) = (flood(true), flood(false));
    let owed = metered.iter().filter(|(is_owed, _)| *is_owed).count();
    let in_time = metered.iter().filter(|job| **job == (true, true)).count();
    let marked = metered.iter().zip(&plain).filter(|(marked, _)| marked.0);
    let without = marked.filter(|(_, plain)| plain.1).count();
    println!("{in_time} of {owed} owed jobs in time, {without} without metering");
    assert!((32..=40).contains(&owed), "{owed} owed");
    assert!(in_time * 100 >= owed * 95, "{in_time} of {owed}");
    assert!(without * 100 <= owed * 80, "{without} without metering");
}

// Guards against a pool that meters, or reports that it does, although that is switched off.
#[test]
fn accept_without_metering() {
    let mut sim = simulation(1, false);
    let ids: Vec<JobId> = (0..100).map(|id| submit(&mut sim, id, "hot")).collect();
    sim.run_for(2_000);
    assert_eq!(owed(&sim.pool, &ids), 100);
    assert!(sim.pool.take_notes().iter().all(|note| note.event != "jobs beyond what is owed"));
    assert!(sim.pool.arrivals(at(sim.now)).is_empty());
}

// Guards against long-running jobs that yield, those without an organisation, and those of one that
// the known configuration doesn't contain.
#[test]
fn accept_of_jobs_that_are_always_owed() {
    let mut sim = simulation(1, true);
    for id in 0..20 {
        submit(&mut sim, id, "hot");
    }
    let lasting = record("hot", Step { long_running: true, ..step(1, 1_000) });
    let free = Record { organisation: None, ..record("hot", step(1, 1_000)) };
    let unknown = (0..20).map(|id| (200 + id, record("unknown", step(1, 1_000))));
    for (id, record) in [(100, lasting), (101, free)].into_iter().chain(unknown) {
        sim.pool.accept(at(sim.now), Duration::ZERO, JobId(id), &record, None, FENCE + 1);
        assert!(sim.pool.is_owed(JobId(id)));
    }
    assert!(!sim.pool.is_owed(JobId(19)));
}

// Guards against a pool that goes on with its part while no planner renews it: all others may be
// gone, and the organisation would get less than it is owed.
#[test]
fn set_meter_parts_holds_for_3_s() {
    let mut sim = simulation(0, true);
    let quarter = BTreeMap::from([("hot".to_owned(), WHOLE / 4)]);
    sim.pool.set_meter_parts(at(sim.now), &quarter, 0);
    sim.plan();
    let count_for = |sim: &mut Simulation, base: u64, seconds: u64| -> usize {
        let mut ids = Vec::new();
        for n in 0..seconds * 20 {
            sim.now += 50;
            ids.push(submit(sim, base + n, "hot"));
        }
        owed(&sim.pool, &ids)
    };
    // A burst of two seconds, and 2 s at one job a second; then four a second.
    assert!((3..=5).contains(&count_for(&mut sim, 0, 2)));
    sim.now = 4_000;
    assert!((14..=18).contains(&count_for(&mut sim, 1_000, 4)));
}

// Guards against the jobs that a predecessor put last being owed under its successor, as those that
// were owed are done when it takes over in the middle of a flood.
#[test]
fn plan_of_a_successor_in_a_flood() {
    let mut first = pool(FENCE, 0, true);
    first.plan(at(1), 0);
    let ids: Vec<(JobId, u64)> = (0..110).map(|n| (JobId(110 - n), 1_000 + n * 45)).collect();
    for (id, accepted) in &ids {
        let record = record("hot", step(1, 1_000));
        first.accept(at(*accepted), Duration::ZERO, *id, &record, None, 1);
    }
    let (done, left): (Vec<_>, Vec<_>) = ids.iter().partition(|(id, _)| first.is_owed(*id));
    let mut next = pool(FENCE + 1, 6_000, true);
    // The store lists them by ID, not by the time of their acceptance.
    for (id, accepted) in left.iter().rev() {
        let age = Duration::from_millis(6_000 - accepted);
        next.accept(at(6_000), age, *id, &record("hot", step(1, 1_000)), None, 1);
    }
    for (id, accepted) in &done {
        let ended_ms = 50_000 - (6_000 - accepted) + 10;
        let organisation = Some("hot".to_owned());
        let state = State::Completed;
        let progress = Progress { state, ended_ms, organisation, ..Progress::default() };
        next.accept_ended(at(6_000), *id, &progress);
    }
    next.plan(at(6_000), 50_000);
    let again = owed(&next, &left.iter().map(|(id, _)| *id).collect::<Vec<_>>());
    println!("{} were owed, {again} of the {} others are now", done.len(), left.len());
    assert!(done.len() >= 26 && again <= 8, "{again} beside {}", done.len());
    // Jobs that go on arriving are metered from where the predecessor was.
    let later: Vec<JobId> = (0..44).map(|n| JobId(1_000 + n)).collect();
    for (n, id) in later.iter().enumerate() {
        let now = at(6_050 + n as u64 * 45);
        next.accept(now, Duration::ZERO, *id, &record("hot", step(1, 1_000)), None, 1);
    }
    assert!((6..=10).contains(&owed(&next, &later)), "{}", owed(&next, &later));
}

// Guards against a successor that marks jobs by the whole rate until the planner answers, and keeps
// the marks.
#[test]
fn set_meter_parts_of_a_successor() {
    let mut next = pool(FENCE, 6_000, true);
    let ids: Vec<JobId> = (0..200).map(JobId).collect();
    for id in &ids {
        // The store doesn't list them by the time of their acceptance.
        let age = Duration::from_millis(25 * (id.0 + 1));
        next.accept(at(6_000), age, *id, &record("hot", step(1, 1_000)), None, 1);
    }
    next.plan(at(6_000), 50_000);
    assert!(owed(&next, &ids) >= 26);
    next.set_meter_parts(at(6_100), &BTreeMap::from([("hot".to_owned(), WHOLE / 4)]), 0);
    next.plan(at(6_100), 50_100);
    assert!((6..=8).contains(&owed(&next, &ids)), "{}", owed(&next, &ids));
}

// Guards against refusals by a share that leaves out how large jobs are, and against more lines in
// the log than one a second.
#[test]
fn owed_shares_and_notes_in_a_flood() {
    let mut sim = simulation(0, true);
    for id in 0..80 {
        submit(&mut sim, id, "hot");
    }
    assert_eq!(sim.pool.owed_shares()["q"], 0.1);
    for id in 100..200 {
        sim.run_for(100);
        submit(&mut sim, id, "hot");
    }
    let notes = sim.pool.take_notes();
    let count = notes.iter().filter(|note| note.event == "jobs beyond what is owed").count();
    assert!((8..=11).contains(&count), "{count} lines in 10 s");
    let [(name, rate)] = &sim.pool.arrivals(at(sim.now))[..] else { panic!("one organisation") };
    assert!(name == "hot" && (9.0..=10.0).contains(rate), "{name}: {rate}");
}
