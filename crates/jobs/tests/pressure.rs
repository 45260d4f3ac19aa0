//! Refusal of jobs that can't be served: what owners report and what gateways decide.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, queues, step};
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Config, Pool};
use corianderfork_jobs::pressure::{Candidate, Refusal, Report, View, is_known};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::Record;
use corianderfork_jobs::{Job, JobId, Step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ROUTE: (&str, &str) = ("q", "pool");

/// A pool that refuses, with `count` workers of 8 cores and tasks of 500 ms.
fn simulation(count: u16) -> Simulation {
    let mut sim = Simulation::new(count);
    let refuse = Settings { refuse: true, ..Settings::default() };
    let mut pool = Pool::new(Config::new(FENCE, at(1_000)).contention(refuse));
    pool.set_queues(queues());
    sim.pool = pool;
    sim.list_and_poll();
    sim
}

/// Lets the pool run while the planner means it to have `target` workers.
fn run(sim: &mut Simulation, millis: u64, target: u32) {
    for _ in 0..millis / 100 {
        sim.pool.set_target_size(at(sim.now), target);
        sim.run_for(100);
    }
}

/// Submits as much work as `seconds` of the pool.
fn flood(sim: &mut Simulation, first_id: u64, seconds: u64) {
    flood_with(sim, first_id, seconds, 1_000);
}

/// Like [`flood`], with tasks that need `cpu` thousandths of a core.
fn flood_with(sim: &mut Simulation, first_id: u64, seconds: u64, cpu: u64) {
    let thousandths = 8_000 * sim.workers.len() as u64;
    for id in 0..thousandths * seconds / (4 * cpu) {
        sim.submit(first_id + id, vec![step(8, cpu)]);
    }
}

fn candidate(id: u64, steps: Vec<Step>) -> Candidate {
    Candidate::new(JobId(id), &Job::new(String::new(), steps).expect("a job")).expect("refusable")
}

/// Returns the decision on a job by a report that was just received.
fn decide(sim: &Simulation, steps: Vec<Step>, is_owed: bool) -> Option<Refusal> {
    let (now, mut view) = (at(sim.now), View::default());
    view.note(now, "q", "pool", sim.pool.pressure(now, "q"));
    view.decide(now, ROUTE, &Queue::default(), &candidate(1, steps), is_owed)
}

fn refuses(sim: &Simulation) -> bool {
    decide(sim, vec![step(8, 1_000)], true).is_some()
}

// Guards against a backlog of ten times what fits before the expiry, of which no caller is told.
#[test]
fn pressure_of_a_backlog_beyond_the_expiry() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 80);
    run(&mut sim, 300, 2);
    assert!(!refuses(&sim), "it has lasted for less than half a second");
    run(&mut sim, 600, 2);
    let refusal = decide(&sim, vec![step(8, 1_000)], true).expect("a refusal");
    assert!(refusal.wait > refusal.bearable && refusal.age <= Duration::from_millis(150));
    let report = sim.pool.pressure(at(sim.now), "q").expect("a report");
    assert!(serde_json::to_string(&report).expect("a text").len() < 200);
}

// Guards against refusals in a pool that grows from 2 to 18 workers: the jobs of its first second
// wait longest, and are served once the workers are there.
#[test]
fn pressure_while_the_pool_grows() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 80);
    for _ in 0..4 {
        run(&mut sim, 500, 18);
        assert!(!refuses(&sim));
    }
}

// Guards against refusals by a count of workers that is rising although no planner announced it.
#[test]
fn pressure_after_workers_joined() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 160);
    run(&mut sim, 1_000, 2);
    assert!(refuses(&sim));
    sim.registrations.push(common::registration("w9", 9_100, "r9"));
    sim.workers.insert("w9".to_owned(), common::Worker::default());
    sim.list_and_poll();
    run(&mut sim, 200, 2);
    assert!(!refuses(&sim), "a worker has just joined");
    flood(&mut sim, 100_000, 160);
    run(&mut sim, 1_700, 3);
    assert!(refuses(&sim));
}

// Guards against refusals while the planner is away: VMs may be on their way.
#[test]
fn pressure_without_news_of_the_planner() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 80);
    run(&mut sim, 1_000, 2);
    assert!(refuses(&sim));
    sim.run_for(1_200);
    assert!(!refuses(&sim));
}

// Guards against refusals by late jobs that yield: behind 80 s of jobs that can't be in time any
// more, a job that arrives now can be.
#[test]
fn pressure_of_late_jobs_alone() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 80);
    // The time allowed is 3 s.
    run(&mut sim, 3_500, 2);
    assert!(!refuses(&sim));
}

// Guards against refusals in a pool whose waiting jobs wait for a label, not for room.
#[test]
fn pressure_while_there_is_room() {
    let mut sim = simulation(2);
    run(&mut sim, 1_500, 2);
    for id in 100..900 {
        sim.submit(id, vec![Step { label: Some("none".to_owned()), ..step(8, 1_000) }]);
    }
    run(&mut sim, 1_500, 2);
    assert!(sim.pool.pressure(at(sim.now), "q").is_none());
}

// Guards against refusals by a new owner, which has just loaded a backlog.
#[test]
fn pressure_of_a_new_owner() {
    let mut sim = simulation(2);
    flood(&mut sim, 100, 80);
    run(&mut sim, 900, 2);
    assert!(!refuses(&sim));
    run(&mut sim, 800, 2);
    assert!(refuses(&sim));
}

/// Submits a job of an organisation unless it is refused as a gateway would do it: by what the last
/// answers told, and then by what the owner answers. Returns whether it is accepted.
fn submit_as(sim: &mut Simulation, view: &mut View, id: u64, organisation: &str) -> bool {
    let now = at(sim.now);
    let job = candidate(id, vec![step(8, 1_000)]);
    let decide = |view: &View, is_owed| view.decide(now, ROUTE, &Queue::default(), &job, is_owed);
    let seems_owed = view.seems_owed(now, ROUTE.1, organisation);
    let mut is_refused = false;
    if decide(view, seems_owed).is_some() {
        let is_owed = sim.pool.is_next_owed(now, organisation);
        view.note(now, ROUTE.0, ROUTE.1, sim.pool.pressure(now, ROUTE.0));
        view.note_owed(now, ROUTE.1, organisation, is_owed);
        is_refused = decide(view, is_owed).is_some();
    }
    if !is_refused {
        let steps = vec![step(8, 1_000)];
        sim.steps.insert(JobId(id), steps.clone());
        let job = Job::new("run".to_owned(), steps).expect("a job");
        let organisation_name = Some(organisation.to_owned());
        let record = Record {
            queue: ROUTE.0.to_owned(),
            accepted_ms: 0,
            attempts: None,
            job,
            organisation: organisation_name,
        };
        sim.pool.accept(now, Duration::ZERO, JobId(id), &record, None, FENCE + 1_000);
        if view.should_ask(now, ROUTE.0) {
            view.note(now, ROUTE.0, ROUTE.1, sim.pool.pressure(now, ROUTE.0));
            let is_owed = sim.pool.is_next_owed(now, organisation);
            view.note_owed(now, ROUTE.1, organisation, is_owed);
        }
    }
    !is_refused
}

// Guards against a queue that one organisation fills: its jobs beyond what it is owed were accepted
// like those of the others, since every job counted as owed, and all of them ended late.
#[test]
fn decide_while_an_organisation_floods() {
    let mut sim = Simulation::new(2);
    let settings = Settings { refuse: true, meter: true, ..Settings::default() };
    let mut pool = Pool::new(Config::new(FENCE, at(1_000)).contention(settings));
    pool.set_queues(queues());
    let organisation =
        |name: &str| Organisation { name: name.to_owned(), weight: 2, ..Organisation::default() };
    pool.set_organisations(&[organisation("hot"), organisation("other")]);
    sim.pool = pool;
    sim.list_and_poll();
    run(&mut sim, 1_500, 2);
    let mut view = View::default();
    // The pool serves 4 jobs a second.
    let (mut hot, mut others) = ((0, 0), (0, 0));
    for round in 0..60 {
        for id in 0..4 {
            let is_accepted = submit_as(&mut sim, &mut view, 1_000 + round * 10 + id, "hot");
            hot = (hot.0 + 1, hot.1 + u32::from(is_accepted));
        }
        if round % 10 == 0 {
            let is_accepted = submit_as(&mut sim, &mut view, 50_000 + round, "other");
            others = (others.0 + 1, others.1 + u32::from(is_accepted));
        }
        run(&mut sim, 100, 2);
    }
    assert_eq!(others.0, others.1, "all jobs of the other organisation are owed");
    assert!(hot.1 * 2 < hot.0, "{hot:?}");
    assert!(hot.1 >= 2 * 6, "what it is owed is accepted: {hot:?}");
}

// Guards against a memory that grows with organisations, and against one that outlasts what it is
// derived from.
#[test]
fn seems_owed_of_many_organisations() {
    let mut view = View::default();
    let seems_unowed = |view: &View, now| {
        (0..100).filter(|n| !view.seems_owed(at(now), "pool", &n.to_string())).count()
    };
    for n in 0..100 {
        view.note_owed(at(5_000 + n), "pool", &n.to_string(), false);
    }
    assert_eq!(seems_unowed(&view, 5_100), 64);
    assert!(view.seems_owed(at(5_100), "another pool", "1"));
    assert_eq!(seems_unowed(&view, 6_063), 0);
    view.note_owed(at(6_100), "pool", "99", false);
    assert!(!view.seems_owed(at(6_200), "pool", "99"));
}

// Guards against refusals where they are not asked for.
#[test]
fn pressure_while_switched_off() {
    let mut sim = Simulation::new(2);
    run(&mut sim, 1_500, 2);
    flood(&mut sim, 100, 80);
    run(&mut sim, 1_000, 2);
    assert!(sim.pool.pressure(at(sim.now), "q").is_none());
}

// Guards against refusals by a report that is older than a second, by when it was made.
#[test]
fn decide_by_an_old_report() {
    let job = candidate(1, vec![step(1, 1_000)]);
    let report = Report { mean: 500, expiring: [20_000; 3], age_ms: 400, ..Report::default() };
    let mut view = View::default();
    view.note(at(5_000), "q", "pool", Some(report));
    let decide = |view: &View, now| view.decide(at(now), ROUTE, &Queue::default(), &job, true);
    assert!(decide(&view, 5_600).is_some());
    assert!(decide(&view, 5_601).is_none());
    // An answer that was asked for earlier and arrives later changes nothing.
    view.note(at(4_000), "q", "pool", None);
    assert!(decide(&view, 5_600).is_some());
    let moved = view.decide(at(5_100), ("q", "other"), &Queue::default(), &job, true);
    assert!(moved.is_none(), "the queue was moved to another pool");
}

// Guards against callers that all come back in the same second, and against a late return of
// those that should come first.
#[test]
fn decide_spreads_retries_by_rank() {
    let report = Report { mean: 500, expiring: [9_000; 3], late: [9_000; 3], ..Report::default() };
    let mut view = View::default();
    view.note(at(5_000), "q", "pool", Some(report));
    let queue = Queue::default();
    let after = |view: &View, id, count, is_owed| {
        let job = candidate(id, vec![step(count, 1_000)]);
        view.decide(at(5_000), ROUTE, &queue, &job, is_owed).map_or(0, |r| r.retry_after)
    };
    let seconds: Vec<u64> = (0..400).map(|id| after(&view, id, 1, true)).collect();
    assert!(seconds.iter().all(|seconds| (1..=4).contains(seconds)));
    assert!((1..=4).filter(|n| seconds.iter().filter(|s| *s == n).count() > 100).count() >= 2);
    let sum = |view: &View, count, is_owed| -> u64 {
        (0..400).map(|id| after(view, id, count, is_owed)).sum()
    };
    assert!(sum(&view, 1, true) < sum(&view, 9, true));
    assert!(sum(&view, 1, true) < sum(&view, 1, false));
    let new = sum(&view, 1, true);
    (0..400).for_each(|id| view.note_refused(at(5_000), &candidate(id, vec![step(1, 1)])));
    assert!(sum(&view, 1, true) < new);
}

fn wait() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), 1u32..30_000]
}

prop_compose! {
    fn report()(
        mean in 1u64..5_000, cpu in prop_oneof![Just(0), 0u64..9_000],
        expiring in prop::array::uniform3(wait()), late in prop::array::uniform3(wait()),
    ) -> Report {
        Report { mean, expiring, late, free: Room { cpu, ..Room::default() }, age_ms: 0 }
    }
}

prop_compose! {
    fn steps()(count in 1u32..9, cpu in 1u64..8_000, estimate_ms in 1u64..8_000) -> Vec<Step> {
        let needs = Room { cpu, ..Room::default() };
        vec![Step { estimate_ms, needs, ..Step::new(count) }]
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// No owed job is refused while one that isn't owed is accepted in that queue, unless there is
    /// room for the latter.
    #[test]
    fn decide_prefers_owed_jobs(report in report(), owed in steps(), other in steps()) {
        let mut view = View::default();
        view.note(at(5_000), "q", "pool", Some(report));
        let decide = |steps: &[Step], is_owed| {
            let job = candidate(1, steps.to_vec());
            view.decide(at(5_000), ROUTE, &Queue::default(), &job, is_owed)
        };
        let has_room = other[0].needs.cpu <= report.free.cpu;
        if decide(&owed, true).is_some() && !has_room {
            prop_assert!(decide(&other, false).is_some());
        }
    }

    /// No job is refused while there is room for it on a worker.
    #[test]
    fn decide_accepts_while_there_is_room(
        seconds in 0u64..120, batches in 1u64..4, pause in 5u64..15, waiting in 1_500u64..4_000,
        cpu in 500u64..8_000,
        is_owed in any::<bool>(),
    ) {
        let mut sim = simulation(2);
        run(&mut sim, 1_200, 2);
        for batch in 0..batches {
            flood_with(&mut sim, 1 + batch * 100_000, seconds / batches, waiting);
            run(&mut sim, pause * 100, 2);
        }
        let left = |id: &String| {
            8_000 - sim.workers[id].running.values().map(|run| run.room.cpu).sum::<u64>()
        };
        let has_room = sim.workers.keys().any(|id| left(id) >= cpu);
        if has_room {
            prop_assert!(decide(&sim, vec![step(1, cpu)], is_owed).is_none());
        }
    }
}

// Guards against a search through all refused jobs at each refusal, which took longest when most
// jobs were refused, against a memory that grows with them, and against a job that comes back and is
// treated as a new one.
#[test]
fn note_refused_of_many_jobs() {
    let job = |id| candidate(id, vec![step(8, 1_000)]);
    let report = Report { expiring: [60_000; 3], ..Report::default() };
    let retry_after = |view: &mut View, now, id| {
        view.note(at(now), ROUTE.0, ROUTE.1, Some(report));
        let refusal = view.decide(at(now), ROUTE, &Queue::default(), &job(id), true);
        refusal.expect("a refusal").retry_after
    };
    let mut view = View::default();
    // Of these, whether the job is a repeated one changes the answer.
    let fresh: Vec<u64> = (0..2_000).map(|id| retry_after(&mut view, 0, id)).collect();
    let begun = std::time::Instant::now();
    (0..300_000).for_each(|id| view.note_refused(at(id / 100), &job(id)));
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?} for 300,000 refusals");
    let again: Vec<u64> = (0..2_000).map(|id| retry_after(&mut view, 3_000, id)).collect();
    assert!(again < fresh && again.iter().zip(&fresh).all(|(again, fresh)| again <= fresh));
    // All are forgotten after 20 s, two with each refusal, but the one that came back.
    view.note_refused(at(15_000), &job(0));
    (0..8_192).for_each(|id| view.note_refused(at(23_500), &job(100_000 + id)));
    let later: Vec<u64> = (0..2_000).map(|id| retry_after(&mut view, 24_000, id)).collect();
    assert_eq!(later, fresh);
}

// Guards against a report with each refusal, against a refusal by a report that is out of date, and
// against an outline that hides that waits have doubled.
#[test]
fn question_asks_for_few_reports() {
    let mut view = View::default();
    let job = candidate(1, vec![step(8, 1_000)]);
    let report = |wait| Report { mean: 1, expiring: [wait; 3], ..Report::default() };
    assert_eq!(view.question(at(0), ROUTE, &job).known, None, "nothing is known");
    view.note(at(0), ROUTE.0, ROUTE.1, Some(report(60_000)));
    assert_eq!(view.question(at(249), ROUTE, &job).known, Some(0), "it was just asked for");
    let outline = view.question(at(400), ROUTE, &job).known;
    assert_eq!(outline, Some(report(60_000).outline()));
    assert!(is_known(outline, &report(55_000)) && !is_known(outline, &report(130_000)));
    assert!(!view.should_ask(at(450), ROUTE.0), "it is fresh");
    view.confirm(at(4_900), ROUTE.0, ROUTE.1);
    assert!(view.decide(at(5_500), ROUTE, &Queue::default(), &job, true).is_some());
    assert_eq!(view.question(at(5_500), ROUTE, &job).known, None, "it is too old");
    assert!(view.decide(at(6_000), ROUTE, &Queue::default(), &job, true).is_none());
    let question = view.question(at(6_000), ROUTE, &job);
    assert!(report(60_000).answer(&Queue::default(), &question, true).is_some());
    let free = Report { free: Room { cpu: 1_000, memory_mb: 64_000, gpu: 0 }, ..report(60_000) };
    assert_eq!(free.answer(&Queue::default(), &question, true), None, "there is room for it");
}
