//! Tests of the division of limits by urgency, and of the load of tasks that wait for a limit.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, queues, step};
use corianderfork_jobs::allowance::{Demand, Division, WHOLE, gift, held_back};
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Config, Pool};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::{Job, JobId, Step};
use proptest::prelude::*;

const CLUB: &str = "club";
const POOLS: [&str; 3] = ["a", "b", "c"];

fn club(cpu: u64) -> Organisation {
    let limit = Room { cpu, ..Room::default() };
    Organisation { name: CLUB.to_owned(), weight: 1, limit }
}

/// Creates a pool of workers with room for eight tasks each; the club's limit is that of eight.
fn simulation(workers: u16, part: u32, limits: bool) -> Simulation {
    let mut sim = Simulation::new(workers);
    let settings = Settings { limits, ..Settings::default() };
    sim.pool = Pool::new(Config::new(FENCE, at(sim.now + 10_000)).contention(settings));
    sim.pool.set_queues(queues());
    sim.list_and_poll();
    sim.pool.set_organisations(&[club(8_000)]);
    sim.pool.set_part(CLUB, part);
    sim
}

fn submit(sim: &mut Simulation, id: u64, organisation: &str, step: Step) -> JobId {
    let id = JobId(id);
    sim.steps.insert(id, vec![step.clone()]);
    let job = Job::new("run".to_owned(), vec![step]).expect("a job");
    let organisation = Some(organisation.to_owned());
    let record =
        Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

// Guards against VMs that are taken from other pools for tasks that a limit keeps from starting.
#[test]
fn load_leaves_out_tasks_that_wait_for_a_limit() {
    for (limits, waiting) in [(false, 40_000), (true, 0)] {
        let mut sim = simulation(1, 0, limits);
        submit(&mut sim, 1, CLUB, step(40, 1_000));
        sim.plan();
        let load = sim.pool.load(at(sim.now));
        assert_eq!(load.waiting.cpu, waiting);
        assert_eq!(load.needed.cpu == 0, limits, "{}", load.needed.cpu);
    }
    let mut sim = simulation(0, WHOLE / 2, true);
    submit(&mut sim, 1, CLUB, Step { long_running: true, ..step(10, 1_000) });
    submit(&mut sim, 2, CLUB, step(30, 1_000));
    sim.run_for(1_000);
    let load = sim.pool.load(at(sim.now));
    assert_eq!((load.lasting.cpu, load.waiting.cpu, load.unfit), (4_000, 4_000, 4));
}

// Guards against late jobs that wait beside spare VMs: only the tasks that the limit allows at once
// counted, as if no other tasks followed them. Together they exceed the whole limit, which only a
// single task may.
#[test]
fn load_of_many_tasks_behind_a_limit() {
    let mut sim = simulation(0, WHOLE, true);
    submit(&mut sim, 1, CLUB, step(200, 1_000));
    sim.run_for(5_000);
    let load = sim.pool.load(at(sim.now));
    assert_eq!((load.waiting.cpu, load.needed.cpu), (8_000, 8_000));
}

// Guards against a pool that gets neither workers nor parts: its workers are full, so no task of
// the organisation is tried, and its waiting tasks ask for no worker.
#[test]
fn shortages_of_a_full_pool() {
    let mut sim = simulation(1, 0, true);
    submit(&mut sim, 1, "other", step(40, 1_000));
    sim.plan();
    submit(&mut sim, 2, CLUB, step(4, 1_000));
    sim.plan();
    assert!(!sim.pool.has_shortage());
    assert_eq!(sim.pool.shortages(at(sim.now))[0].demand.urgent, Some(WHOLE / 2));
}

// Guards against late jobs that get parts before those that can be in time, and against runs of
// late jobs that count as urgent.
#[test]
fn demand_tells_urgent_work_from_late_work() {
    let mut sim = simulation(1, WHOLE / 4, true);
    sim.task_ms = 60_000;
    submit(&mut sim, 1, CLUB, step(4, 1_000));
    sim.plan();
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).urgent, Some(WHOLE / 2));
    sim.now += 4_000;
    submit(&mut sim, 2, CLUB, step(1, 1_000));
    sim.plan();
    let demand = sim.pool.demand(at(sim.now), CLUB);
    assert_eq!((demand.used, demand.urgent), (WHOLE / 4, Some(WHOLE / 8)));
    assert_eq!(demand.wanted, WHOLE * 5 / 8);
}

// Guards against numbers that wrap around, and parts that are given away although runs use them,
// once a limit is lowered below what runs.
#[test]
fn demand_with_a_limit_below_what_runs() {
    let mut sim = simulation(1, WHOLE, true);
    sim.task_ms = 60_000;
    submit(&mut sim, 1, CLUB, step(12, 1_000));
    sim.plan();
    sim.pool.set_organisations(&[club(2_000)]);
    sim.plan();
    let demand = sim.pool.demand(at(sim.now), CLUB);
    assert_eq!((demand.used, demand.urgent), (WHOLE, Some(WHOLE)));
    let division = Division::equal([CLUB]);
    let other = Demand { wanted: WHOLE, ..Demand::default() };
    assert_eq!(gift(&division, (CLUB, &demand), ("other", &other)), 0);
    assert_eq!(sim.pool.load(at(sim.now)).waiting.cpu, 0);
}

// Guards against new runs in parts that are held back, and against parts that stay idle since the
// pool that asked for them is gone.
#[test]
fn hold_back_until_it_lapses() {
    let mut sim = simulation(1, WHOLE, true);
    assert!(sim.pool.hold_back(at(sim.now), CLUB, WHOLE * 3 / 4));
    let job = submit(&mut sim, 1, CLUB, step(8, 1_000));
    sim.run_for(300);
    assert_eq!(sim.running_count(), 2);
    assert_eq!(sim.pool.demand(at(sim.now), CLUB).needed, 0);
    let why = sim.pool.explain(at(sim.now), job).expect("a job").steps[0].why.clone();
    assert!(why.contains("7500 are held back"), "{why}");
    sim.run_for(300);
    assert!(sim.running_count() >= 6, "{} run", sim.running_count());
}

// Guards against late work of one pool that takes parts which urgent work of another one wants,
// and against an old peer, which doesn't tell its urgent work, that is served last.
#[test]
fn gift_by_urgency() {
    let division = Division::equal(["late", "urgent"]);
    let late = Demand { wanted: 9_000, urgent: Some(1_000), ..Demand::default() };
    let urgent = Demand { wanted: 9_000, urgent: Some(7_000), ..Demand::default() };
    // 2,000 parts are left beside the urgent work of both; each wants a share of the rest.
    assert_eq!(gift(&division, ("late", &late), ("urgent", &urgent)), 2_400);
    assert_eq!(gift(&division, ("urgent", &urgent), ("late", &late)), 0);
    let old: Demand = serde_json::from_str(r#"{"used":0,"wanted":9000}"#).expect("a demand");
    let own = Demand { urgent: Some(9_000), ..late };
    assert_eq!(gift(&division, ("late", &own), ("urgent", &old)), 0);
    assert_eq!(gift(&division, ("late", &late), ("urgent", &old)), 3_750);
}

/// How a giver treats a pool that lacks parts.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// It gives what its runs don't use.
    Unused,
    /// It holds back what the next task needs, once no task could start.
    Next,
    /// It holds back what it has beyond its fair part, once a task was delayed.
    Fair,
}

/// Returns the short tasks that start within 5 s, and the mean use of the limit in parts, beside a
/// pool that has most of the limit and starts a long task whenever one ends.
fn short_tasks_started(way: Way) -> (u32, u32) {
    const RUN: u32 = 200;
    const NAMES: [&str; 2] = ["long", "short"];
    const TASK_MS: [u32; 2] = [2_100, 800];
    let mut division = Division::equal(NAMES).transfer("short", "long", 3_800).expect("enough");
    let mut runs: [Vec<u32>; 2] = [Vec::new(), Vec::new()];
    let (mut held, mut started, mut used_sum) = ((0, 0), 0, 0);
    for now in (0..5_000).step_by(10) {
        for (pool, runs) in runs.iter_mut().enumerate() {
            runs.retain(|end| *end > now);
            let kept_free = if pool == 0 && now < held.1 { held.0 } else { 0 };
            let part = division.part(NAMES[pool]).saturating_sub(kept_free);
            while (runs.len() as u32 + 1) * RUN <= part {
                // At first the runs are of all ages.
                let age = if now == 0 { runs.len() as u32 * 37 % TASK_MS[pool] } else { 0 };
                runs.push(now + TASK_MS[pool] - age);
                started += pool as u32;
            }
        }
        used_sum += runs.iter().map(|runs| runs.len() as u32 * RUN).sum::<u32>();
        if now % 150 != 0 {
            continue;
        }
        let demand = |pool: usize| {
            let used = runs[pool].len() as u32 * RUN;
            let is_delayed = matches!(way, Way::Fair) && now >= 800;
            Demand { used, wanted: WHOLE, is_delayed, ..Demand::default() }
        };
        for (giver, taker) in [(0, 1), (1, 0)] {
            let (own, other) = (demand(giver), demand(taker));
            let (own, other) = ((NAMES[giver], &own), (NAMES[taker], &other));
            let parts = gift(&division, own, other);
            division = division.transfer(own.0, other.0, parts).expect("enough");
            let parts = held_back(&division, own, other);
            if giver == 0 && parts > 0 {
                held = (parts, now + 500);
            }
        }
    }
    (started, used_sum / 500)
}

// Guards against long tasks that keep most of a limit while short ones wait: a giver that only
// gives what its runs don't use gives nothing, since it starts a task whenever one ends. Holding
// parts back only once no task could start doesn't help either: short tasks start all the time.
#[test]
fn held_back_for_short_tasks_beside_long_ones() {
    let [unused, next, fair] = [Way::Unused, Way::Next, Way::Fair].map(short_tasks_started);
    println!("short tasks started and parts used: {unused:?}, {next:?}, {fair:?}");
    assert_eq!(unused, next);
    assert!(fair.0 >= unused.0 * 2, "{fair:?} instead of {unused:?}");
    assert!(fair.1 >= WHOLE * 85 / 100, "{fair:?}");
}

fn demand() -> impl Strategy<Value = Demand> {
    let part = 0..=WHOLE;
    let urgent = prop::option::of(0..=WHOLE);
    (part.clone(), part.clone(), part, urgent, any::<bool>()).prop_map(
        |(used, waiting, needed, urgent, is_delayed)| {
            let wanted = (used + waiting).min(WHOLE);
            Demand { used, wanted, needed: needed.min(wanted), urgent, is_delayed }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    // Guards against parts that are made, lost, or given away while runs use them.
    #[test]
    fn gift_keeps_the_whole_and_what_runs_use(
        rounds in prop::collection::vec((0..3usize, 0..3usize, demand(), demand()), 1..60)
    ) {
        let mut division = Division::equal(POOLS);
        for (giver, taker, own, other) in rounds {
            let part = division.part(POOLS[giver]);
            let own = Demand { used: own.used.min(part), ..own };
            let (own, other) = ((POOLS[giver], &own), (POOLS[taker], &other));
            let parts = gift(&division, own, other);
            prop_assert!(parts + own.1.used <= part || parts == 0);
            prop_assert!(held_back(&division, own, other) <= part);
            division = division.transfer(own.0, other.0, parts).expect("enough parts");
            prop_assert!(division.is_whole());
        }
    }

    // Guards against two pools that hold parts back for each other, so that both idle.
    #[test]
    fn held_back_by_one_of_two_pools(moved in 0..5_000u32, a in demand(), b in demand()) {
        let division = Division::equal(["a", "b"]).transfer("a", "b", moved).expect("enough");
        let (a, b) = (Demand { needed: 0, ..a }, Demand { needed: 0, ..b });
        let by_a = held_back(&division, ("a", &a), ("b", &b));
        let by_b = held_back(&division, ("b", &b), ("a", &a));
        // Rounding may leave one part to each.
        prop_assert!(by_a.min(by_b) <= 1, "{} and {}", by_a, by_b);
    }
}
