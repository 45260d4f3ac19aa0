//! Steps for which the advice service decides where they may run.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{FENCE, Simulation, at, step};
use corianderfork_jobs::contention::Settings;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::pool::{Action, Advice, Answer, Config, Pool, Query};
use corianderfork_jobs::queue::{AdviceCost, Queue};
use corianderfork_jobs::{Job, JobId, Record};

/// How long tickets are valid.
const TICKET_TTL: Duration = Duration::from_secs(3);

/// Workers, and a queue that requires advice.
fn simulation(workers: u16) -> Simulation {
    let mut sim = Simulation::new(workers);
    let advice = Some(AdviceCost::default());
    let queue = Queue { attempts: 2, advice, ..Queue::default() };
    sim.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    sim
}

fn next_queries(sim: &mut Simulation) -> Vec<Query> {
    sim.pool.advice_queries(at(sim.now), 8)
}

fn respond(sim: &mut Simulation, query: &Query, allowed: &[&str]) {
    let ticket = |id: &&str| ((*id).to_owned(), format!("ticket for {id}"));
    let advice =
        Advice::Received { allowed: allowed.iter().map(ticket).collect(), ttl: TICKET_TTL };
    sim.pool.handle_advice(at(sim.now), query, &advice);
}

/// Submits a job of one task of an organisation.
fn submit_of(sim: &mut Simulation, id: u64, organisation: &str) -> JobId {
    let id = JobId(id);
    let steps = vec![step(1, 1_000)];
    sim.steps.insert(id, steps.clone());
    let job = Job::new("run".to_owned(), steps).expect("a job");
    let organisation = Some(organisation.to_owned());
    let record =
        Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation };
    sim.pool.accept(at(sim.now), Duration::ZERO, id, &record, None, FENCE + 1_000);
    id
}

// Guards against tasks that wait for a ticket beside free workers: the service is slow, and was
// asked in turn about tasks that a limit keeps from starting, whose tickets expire meanwhile.
#[test]
fn advice_queries_for_tasks_at_a_limit_last() {
    let settings = Settings { limits: true, ..Settings::default() };
    let mut sim = Simulation::new(1);
    sim.pool = Pool::new(Config::new(FENCE, at(sim.now + 10_000)).contention(settings));
    let queue = Queue { advice: Some(AdviceCost::default()), ..Queue::default() };
    sim.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    sim.list_and_poll();
    let limit = Room { cpu: 8_000, ..Room::default() };
    let limited = Organisation { name: "at its limit".to_owned(), weight: 1, limit };
    sim.pool.set_organisations(&[limited]);
    submit_of(&mut sim, 1, "at its limit");
    let other = submit_of(&mut sim, 2, "other");
    sim.plan();
    let queries = sim.pool.advice_queries(at(sim.now), 1);
    assert_eq!(queries.iter().map(|query| query.task.job).collect::<Vec<_>>(), [other]);
    assert_eq!(next_queries(&mut sim).len(), 1);
}

// Guards against starts without a ticket on a queue whose configuration requires advice:
// workers would reject every start, and no job would complete.
#[test]
fn plan_starts_an_advised_step_only_with_a_ticket() {
    let mut sim = simulation(3);
    sim.submit(1, vec![step(2, 1_000)]);
    assert!(sim.plan().is_empty(), "no advice was received");
    let queries = next_queries(&mut sim);
    assert_eq!(queries.len(), 1);
    assert_eq!(queries[0].workers.len(), 3);
    respond(&mut sim, &queries[0], &["w1"]);
    let orders = sim.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        let Action::Start { ticket, .. } = &order.action else { panic!("a start") };
        assert_eq!(ticket.as_deref(), Some("ticket for w1"));
        assert_eq!(order.id, "w1");
    }
}

// Guards against repeating a query in each plan while one is in flight. The service handles one
// query at a time and would answer all of them, so jobs would wait far longer than one query
// takes.
#[test]
fn advice_queries_once_per_step_while_one_is_in_flight() {
    let mut sim = simulation(2);
    sim.submit(1, vec![step(1, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    assert!(next_queries(&mut sim).is_empty(), "one is in flight");
    sim.pool.handle_advice(at(sim.now), &query, &Advice::Lost);
    assert_eq!(next_queries(&mut sim).len(), 1, "it was lost");
}

#[test]
fn advice_queries_omit_refused_workers() {
    let mut sim = simulation(3);
    sim.submit(1, vec![step(9, 8_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    assert_eq!(sim.plan().len(), 1, "w0 has room for one");
    assert!(next_queries(&mut sim).is_empty(), "w1 and w2 are refused, w0 is full");
}

// Guards against starts with an expired ticket, which are rejected: the only allowed worker is
// full until its ticket expires, and the next task is then started with it.
#[test]
fn plan_uses_no_expired_ticket() {
    let mut sim = simulation(1);
    sim.task_ms = 2_900;
    sim.submit(1, vec![step(2, 8_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    assert_eq!(sim.plan().len(), 1);
    assert!(next_queries(&mut sim).is_empty(), "it has no room");
    sim.run_for(2_900);
    assert_eq!(sim.running_count(), 0, "the ticket is about to expire");
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    assert_eq!(sim.plan().len(), 1);
}

#[test]
fn handle_start_answer_queries_again_after_a_refused_ticket() {
    let mut sim = simulation(1);
    sim.submit(1, vec![step(1, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    let orders = sim.pool.plan(at(sim.now), 0);
    sim.pool.handle_order_answer(at(sim.now), &orders[0], &Answer::Ticket);
    assert!(sim.pool.plan(at(sim.now), 0).is_empty(), "not with the same ticket");
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    assert_eq!(sim.plan().len(), 1);
}

// Guards against querying for a step only when the previous one has ended, which delays each
// step of a job by the duration of a query although the response is the same earlier.
#[test]
fn advice_queries_ahead_of_the_next_step() {
    let mut sim = simulation(2);
    sim.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0), step(1, 1_000).after(1)]);
    let first = next_queries(&mut sim).remove(0);
    assert!(next_queries(&mut sim).is_empty(), "the first step has not begun");
    respond(&mut sim, &first, &["w0"]);
    sim.plan();
    let second = next_queries(&mut sim);
    assert_eq!(second.len(), 1, "only the second step");
    assert_eq!(second[0].task.step, 1);
    respond(&mut sim, &second[0], &["w1"]);
    sim.now += 600;
    sim.poll_all();
    assert_eq!(sim.plan().len(), 1, "without another query");
}

// Guards against a VM of a wave that is never emptied: it hosts a long-running task of an
// advised step, and other workers are only queried about for waiting tasks.
#[test]
fn advice_queries_for_tasks_that_leave_their_worker() {
    let mut sim = simulation(3);
    sim.task_ms = 600_000;
    let mut long_running_step = step(1, 8_000);
    long_running_step.long_running = true;
    long_running_step.max_unavailable = Some(1);
    sim.submit(1, vec![long_running_step]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    sim.run_for(2_000);
    for run in sim.workers.get_mut("w0").expect("a worker").running.values_mut() {
        run.percent = Some(100);
    }
    assert_eq!(sim.pool.vacate(at(sim.now), "w0", Duration::from_secs(60)), Some(false));
    sim.run_for(4_000);
    // The ticket for w0 has expired, and w1 and w2 are refused: only a new worker is worth a
    // query.
    let mut more = common::registration("w9", 9_900, "r9");
    more.room = sim.registrations[0].room;
    sim.registrations.push(more);
    sim.workers.insert("w9".to_owned(), common::Worker::default());
    sim.list_and_poll();
    sim.run_for(300);
    let query = next_queries(&mut sim).remove(0);
    assert!(query.workers.iter().any(|(_, id)| id == "w9"));
    respond(&mut sim, &query, &["w9"]);
    sim.run_for(2_000);
    assert_eq!(sim.workers_running(common::first_task(corianderfork_jobs::JobId(1))), ["w9"]);
}

// Guards against a job that waits forever beside idle workers: the service allows none of the
// pool's workers, the pool is as large as its load requires, and the request considers only the
// amount of work.
#[test]
fn load_requests_a_worker_for_a_step_that_none_may_run() {
    let mut sim = simulation(2);
    sim.submit(1, vec![step(2, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &[]);
    sim.run_for(1_000);
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 0, "only after a while");
    sim.run_for(2_000);
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 1);
    sim.registrations.push(common::registration("w2", 9_100, "r9"));
    sim.workers.insert("w2".to_owned(), common::Worker::default());
    sim.list_and_poll();
    assert_eq!(sim.pool.load(at(sim.now)).unfit, 0, "w2 may be allowed");
    let query = next_queries(&mut sim).remove(0);
    assert_eq!(query.workers.len(), 1, "the others were queried about before");
    respond(&mut sim, &query, &["w2"]);
    assert_eq!(sim.plan().len(), 2);
}

/// How long surplus workers are vacated.
const VACATE_TIME: Duration = Duration::from_secs(60);

// Guards against an accepted job that is never completed: its next step may run on only one
// worker, which is idle until then, and the pool releases its least busy worker.
#[test]
fn shrink_keeps_the_only_worker_allowed_for_a_step() {
    let mut sim = simulation(3);
    sim.task_ms = 5_000;
    let job = sim.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0)]);
    let first = next_queries(&mut sim).remove(0);
    respond(&mut sim, &first, &["w0"]);
    sim.plan();
    let second = next_queries(&mut sim).remove(0);
    respond(&mut sim, &second, &["w2"]);
    let other = sim.submit(2, vec![step(1, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    assert_eq!(query.task.job, other);
    respond(&mut sim, &query, &["w1"]);
    sim.plan();
    let empty = sim.pool.shrink(at(sim.now), 2, VACATE_TIME);
    assert!(empty.is_empty(), "{empty:?} released, and only w2 may run the second step");
    sim.run_for(5_200);
    for query in next_queries(&mut sim) {
        respond(&mut sim, &query, &["w2"]);
    }
    sim.plan();
    assert_eq!(
        sim.workers_running(corianderfork_jobs::task::Name { step: 1, ..common::first_task(job) }),
        ["w2"]
    );
}

#[test]
fn shrink_releases_another_worker_than_the_one_a_step_needs() {
    let mut sim = simulation(3);
    sim.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0)]);
    sim.task_ms = 5_000;
    let first = next_queries(&mut sim).remove(0);
    respond(&mut sim, &first, &["w0"]);
    sim.plan();
    let second = next_queries(&mut sim).remove(0);
    respond(&mut sim, &second, &["w2"]);
    assert_eq!(sim.pool.shrink(at(sim.now), 1, VACATE_TIME), ["w1"], "w0 is busy");
}

// Guards against workers that join a pool and leave again while a job is never completed: no
// worker may run a step, one more arrives, and the pool is large enough again before the
// service has decided about it. As the least busy worker it would be released.
#[test]
fn shrink_keeps_a_new_worker_until_it_was_queried_about() {
    let mut sim = simulation(2);
    sim.submit(1, vec![step(1, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &[]);
    sim.run_for(3_000);
    assert_eq!(sim.pool.load(at(sim.now)).refused, 1);
    sim.registrations.push(common::registration("w2", 9_100, "r9"));
    sim.workers.insert("w2".to_owned(), common::Worker::default());
    sim.list_and_poll();
    let empty = sim.pool.shrink(at(sim.now), 2, VACATE_TIME);
    assert_eq!(empty.len(), 1);
    assert_ne!(empty, ["w2"], "w2 may be allowed, the others are refused");
}

// Guards against an accepted job that is never completed beside idle workers: the only worker
// that may run its step is full of long-running tasks, which are packed, and counted as one
// that will have room. The log shows `1 of 2 workers` as advice, and nothing follows.
#[test]
fn load_requests_a_worker_if_the_allowed_one_is_full_of_long_running_tasks() {
    let mut sim = simulation(2);
    sim.task_ms = 600_000;
    let long_running_step = corianderfork_jobs::Step { long_running: true, ..step(1, 8_000) };
    sim.submit(1, vec![long_running_step]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    assert_eq!(sim.plan().len(), 1);
    sim.submit(2, vec![step(1, 1_000)]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0"]);
    sim.run_for(3_000);
    assert_eq!(sim.pool.load(at(sim.now)).refused, 1);
    sim.registrations.push(common::registration("w2", 9_100, "r9"));
    sim.workers.insert("w2".to_owned(), common::Worker::default());
    sim.list_and_poll();
    let empty = sim.pool.shrink(at(sim.now), 2, VACATE_TIME);
    assert_eq!(empty, ["w1"], "w2 may be allowed, w1 is refused");
}

// Guards against a pool that keeps one worker too many for as long as a job runs: two workers
// may run a long-running step, which fills one of them. Since that one has no room for a second
// task, the step seemed to need the other.
#[test]
fn shrink_keeps_no_worker_for_a_running_long_running_step() {
    let mut sim = simulation(3);
    sim.task_ms = 600_000;
    let long_running_step = corianderfork_jobs::Step { long_running: true, ..step(1, 8_000) };
    let job = sim.submit(1, vec![long_running_step]);
    let query = next_queries(&mut sim).remove(0);
    respond(&mut sim, &query, &["w0", "w2"]);
    assert_eq!(sim.plan().len(), 1);
    sim.list_and_poll();
    let host = sim.workers_running(common::first_task(job)).remove(0).to_owned();
    let empty = sim.pool.shrink(at(sim.now), 1, VACATE_TIME);
    assert_eq!(empty.len(), 2, "only {empty:?} released; the step runs on {host}");
    assert!(!empty.contains(&host));
}
