//! Tests of shares by weight, under the load of organisations that press on a pool at once.

mod common;

use std::time::Duration;

use common::{FENCE, Simulation, at, queues, step};
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::record::{Record, State};
use corianderfork_jobs::{Job, JobId, Step};

/// The CPU of a task: a worker has room for four.
const TASK_CPU: u64 = 2_000;

fn organisation(name: &str, weight: u32) -> Organisation {
    Organisation { name: name.to_owned(), weight, ..Organisation::default() }
}

/// Creates a pool with room for eight tasks.
fn simulation(organisations: &[Organisation]) -> Simulation {
    let mut sim = Simulation::new(2);
    sim.pool.set_organisations(organisations);
    sim
}

fn submit(sim: &mut Simulation, id: u64, queue: &str, organisation: &str, step: Step) -> JobId {
    let id = JobId(id);
    sim.steps.insert(id, vec![step.clone()]);
    let job = Job::new("run".to_owned(), vec![step]).expect("a job");
    let organisation = Some(organisation.to_owned());
    let record =
        Record { queue: queue.to_owned(), accepted_ms: 0, attempts: None, job, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

/// Submits a job for each of `ids`, with one task each.
fn submit_all(
    sim: &mut Simulation,
    ids: std::ops::Range<u64>,
    queue: &str,
    organisation: &str,
) -> Vec<JobId> {
    ids.map(|id| submit(sim, id, queue, organisation, step(1, TASK_CPU))).collect()
}

fn used(sim: &Simulation, organisation: &str) -> u64 {
    let uses = sim.pool.uses();
    uses.iter().find(|usage| usage.organisation == organisation).map_or(0, |u| u.used.cpu)
}

fn completed(sim: &Simulation, jobs: &[JobId]) -> usize {
    jobs.iter().filter(|id| sim.pool.state(**id) == Some(State::Completed)).count()
}

// Guards against an organisation whose flood delays all others: its jobs came first, so they have
// the earlier deadlines.
#[test]
fn plan_starts_a_late_job_of_another_organisation_in_a_flood() {
    let mut sim = simulation(&[organisation("flood", 1), organisation("steady", 1)]);
    submit_all(&mut sim, 0..400, "q", "flood");
    sim.run_for(1_000);
    let steady = submit_all(&mut sim, 1_000..1_004, "q", "steady");
    sim.run_for(1_200);
    assert_eq!(completed(&sim, &steady), 4);
}

// Guards against an organisation that gets less than half of its share by weight while all press
// at once, whoever came first.
#[test]
fn plan_keeps_half_of_each_share_in_a_full_pool() {
    let shares = [("large", 3, 6), ("small", 1, 2)];
    for (first, other) in [("small", "large"), ("large", "small")] {
        let mut sim = simulation(&shares.map(|(name, weight, _)| organisation(name, weight)));
        submit_all(&mut sim, 0..400, "q", first);
        sim.run_for(1_000);
        submit_all(&mut sim, 1_000..1_400, "q", other);
        sim.run_for(600);
        for _ in 0..30 {
            sim.run_for(100);
            for (name, _, share) in shares {
                assert!(used(&sim, name) * 2 >= share * TASK_CPU, "{name} beside {first}");
            }
        }
    }
}

// Guards against room that stays idle since its organisation has no work.
#[test]
fn plan_leaves_no_room_idle_for_an_organisation_without_work() {
    let mut sim = simulation(&[organisation("large", 9), organisation("small", 1)]);
    let large = submit_all(&mut sim, 0..1, "q", "large");
    submit_all(&mut sim, 1_000..1_400, "q", "small");
    sim.run_for(300);
    assert_eq!(sim.running_count(), 8);
    sim.run_for(1_000);
    assert_eq!(completed(&sim, &large), 1);
    assert_eq!(sim.running_count(), 8);
}

// Guards against the rest of a step that is left out: its first tasks use up the share.
#[test]
fn plan_starts_a_wide_step_beyond_its_share_in_free_room() {
    let mut sim = simulation(&[organisation("wide", 1), organisation("other", 1)]);
    submit(&mut sim, 1, "q", "wide", step(7, TASK_CPU));
    submit(&mut sim, 2, "q", "other", step(1, TASK_CPU));
    sim.plan();
    assert_eq!(used(&sim, "wide"), 7 * TASK_CPU);
    assert_eq!(used(&sim, "other"), TASK_CPU);
}

// Guards against shares that go before the operators' priority.
#[test]
fn plan_keeps_the_priority_of_queues_before_shares() {
    let mut sim = simulation(&[organisation("urgent", 1), organisation("other", 1)]);
    let mut all = queues();
    all.insert("low".to_owned(), Queue { priority: 1, ..all["q"].clone() });
    sim.pool.set_queues(all);
    submit_all(&mut sim, 0..8, "low", "other");
    submit_all(&mut sim, 100..108, "q", "urgent");
    sim.plan();
    assert_eq!(used(&sim, "urgent"), 8 * TASK_CPU);
    // Behind a level whose organisations yield, the next one follows.
    submit_all(&mut sim, 200..204, "q", "other");
    sim.run_for(700);
    assert_eq!(used(&sim, "other"), 8 * TASK_CPU);
}

// Guards against a long-running task that is kept out by the share of its organisation.
#[test]
fn plan_starts_a_long_running_task_beyond_its_share() {
    let mut sim = simulation(&[organisation("club", 1), organisation("guild", 9)]);
    submit_all(&mut sim, 0..100, "q", "guild");
    sim.run_for(300);
    let lasting = Step { long_running: true, ..step(3, TASK_CPU) };
    let job = submit(&mut sim, 1_000, "q", "club", lasting);
    sim.run_for(1_000);
    assert_eq!(sim.pool.state(job), Some(State::Running));
    assert_eq!(used(&sim, "club"), 3 * TASK_CPU);
}

// Guards against jobs that earn nothing any more taking room from jobs in time.
#[test]
fn plan_places_expired_jobs_behind_others_though_their_organisation_lags() {
    let mut sim = simulation(&[organisation("late", 9), organisation("other", 1)]);
    submit_all(&mut sim, 0..8, "q", "late");
    sim.now += 600_000;
    sim.list_and_poll();
    submit_all(&mut sim, 100..108, "q", "other");
    sim.plan();
    assert_eq!(used(&sim, "other"), 8 * TASK_CPU);
}
