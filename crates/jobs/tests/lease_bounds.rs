//! What ends or prolongs the bound of a lease: starts that are refused or settled, slow clocks, and
//! instances that say nothing of their start.

mod common;

use std::time::Duration;

use common::{FENCE, MAX_LEASE_MS, Simulation, at, first_task, step};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Config, Connection, Order, Pool, Report};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::{Exit, Outcome, Run};
use corianderfork_jobs::{Job, JobId, task};

const FORMER_CLOCK_MS: u64 = 50_000;
const LONG_MS: u64 = 2 * MAX_LEASE_MS;

fn is_start(order: &Order) -> bool {
    matches!(order.action, Action::Start { .. })
}

fn record() -> Record {
    let job = Job::new("run".to_owned(), vec![step(1, 1_000)]).expect("a job");
    Record { queue: "q".to_owned(), accepted_ms: 0, attempts: None, job, organisation: None }
}

fn carry_out(sim: &mut Simulation, order: &Order) -> Answer<u64> {
    let (now, task_ms) = (sim.now, sim.task_ms);
    let room = Room { cpu: 1_000, memory_mb: 100, gpu: 0 };
    sim.workers.get_mut(&order.id).expect("a worker").handle_order(now, order, room, task_ms)
}

fn restart(sim: &mut Simulation, id: &str) {
    let now = sim.now;
    sim.workers.get_mut(id).expect("a worker").restart(now);
}

fn silence(sim: &mut Simulation, id: &str) {
    sim.workers.get_mut(id).expect("a worker").silent = true;
}

fn drain(sim: &mut Simulation, id: &str, draining: bool) {
    let entry = sim.registrations.iter_mut().find(|entry| entry.id == id);
    entry.expect("an entry").draining = draining;
    sim.list_workers();
}

/// Returns a pool of two workers whose clocks are far ahead; only `w0` takes tasks.
fn pool() -> Simulation {
    let mut sim = Simulation::new(2);
    sim.task_ms = 100_000;
    sim.run_for(FORMER_CLOCK_MS);
    drain(&mut sim, "w1", true);
    sim
}

fn assert_single_and_restarted(sim: &mut Simulation, name: task::Name) {
    drain(sim, "w1", false);
    for _ in 0..LONG_MS / 100 {
        sim.run_for(100);
        let running = sim.workers_running(name);
        assert!(running.len() <= 1, "at {} ms it runs on {running:?}", sim.now);
    }
    assert!(
        sim.orders.iter().any(|order| order.id == "w1" && order.task == name),
        "it never starts elsewhere"
    );
}

// Guards against a task on two workers: the next instance, which its owner hasn't heard, refused a start
// for its former instance and took the deadline, for all that runs there.
#[test]
fn plan_after_a_start_that_prolongs_the_lease_of_another() {
    for answer in [Answer::Old, Answer::Full, Answer::Unclear] {
        let mut sim = pool();
        let job = sim.submit(1, vec![step(2, 1_000)]);
        let orders = sim.pool.plan(at(sim.now), 0);
        assert!(orders.len() == 2 && orders.iter().all(|order| order.id == "w0"));
        restart(&mut sim, "w0");
        let done = carry_out(&mut sim, &orders[0]);
        sim.pool.handle_order_answer(at(sim.now), &orders[0], &done);
        sim.now += 1_000;
        let now = sim.now;
        let worker = sim.workers.get_mut("w0").expect("a worker");
        worker.deadline = now - worker.born + MAX_LEASE_MS;
        sim.pool.handle_order_answer(at(now), &orders[1], &answer);
        silence(&mut sim, "w0");
        assert_single_and_restarted(&mut sim, first_task(job));
    }
}

// Guards against a task on two workers: the answer to a poll that the former instance gave while a
// start was still on its way counted as a sign that no other instance would take it.
#[test]
fn handle_poll_answer_while_a_start_without_an_answer_is_on_its_way() {
    let mut sim = pool();
    let job = sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.now += 100;
    sim.poll_all();
    sim.now += 900;
    restart(&mut sim, "w0");
    sim.now += 200;
    carry_out(&mut sim, &order);
    silence(&mut sim, "w0");
    assert_single_and_restarted(&mut sim, first_task(job));
}

// Guards against leases that are granted to an instance on the clock of its former one, long after it
// was first heard of.
#[test]
fn plan_long_after_a_restart() {
    let mut sim = pool();
    restart(&mut sim, "w0");
    sim.list_and_poll();
    sim.run_for(LONG_MS);
    sim.list_workers();
    let job = sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(500);
    assert_eq!(sim.workers_running(first_task(job)), ["w0"]);
    silence(&mut sim, "w0");
    assert_single_and_restarted(&mut sim, first_task(job));
}

// Guards against a lease that outlasts its bound since the worker's clock is slow.
#[test]
fn granted_leases_on_a_slow_clock() {
    let mut sim = pool();
    sim.run_for(500);
    let told = sim.pool.granted_leases(at(sim.now)).expect("leases")["w0"];
    let worker = &sim.workers["w0"];
    let left = worker.deadline - (sim.now - worker.born);
    assert!(
        left > 0 && told * 98 / 100 >= left,
        "{told} ms are told, {left} on its clock are left"
    );
}

// Guards against a settled start that keeps its worker's tasks waiting: the instance that was meant
// has answered since.
#[test]
fn granted_leases_after_a_start_that_is_settled() {
    let mut sim = pool();
    sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Lost);
    sim.pool.cancel(at(sim.now), JobId(1));
    sim.run_for(2_000);
    let told = sim.pool.granted_leases(at(sim.now)).expect("leases")["w0"];
    assert!(told < 6_000, "{told} ms are told");
}

// Guards against a done task that runs again: an instance that says nothing of its start, with its
// clock ahead, was taken for the former one, and forgot exits that nobody had read.
#[test]
fn handle_poll_answer_of_a_next_instance_with_its_clock_ahead() {
    let mut pool = Pool::new(Config::new(FENCE, at(1_000)));
    pool.set_queues(common::queues());
    let entries = [common::registration("w0", 9_000, "r0")];
    pool.set_workers(at(1_000), &entries);
    let locations = pool.roster_update().expect("a roster");
    pool.confirm_roster(locations);
    let mut now = 1_000;
    let report = |clock_ms, running: Vec<Run>, exits: Vec<Exit>| {
        Answer::Done(Report { clock_ms, born_ms: None, running, exits, is_cut_short: false })
    };
    let poll = |pool: &mut Pool, now: &mut u64, kind, answer: &Answer<Report>| {
        *now += 10;
        let key = pool.worker("w0").expect("a worker").0;
        let poll = pool.next_poll(at(*now), key, kind);
        pool.handle_poll_answer(at(*now + 5), at(*now), key, answer);
        poll.map(|poll| poll.acked)
    };
    poll(&mut pool, &mut now, Connection::New, &report(500, vec![], vec![]));
    let run_task = |pool: &mut Pool, now: &mut u64, id: u64| {
        pool.accept(at(*now), Duration::ZERO, JobId(id), &record(), None, FENCE + 1_000);
        pool.plan(at(*now), 0).into_iter().filter(is_start).collect::<Vec<_>>()
    };
    let exit = |number, order: &Order| Exit {
        number,
        task: order.task,
        run: order.run,
        outcome: Outcome::Done,
        saved: String::new(),
    };
    // The first instance ends two tasks, and forgets them.
    let mut exits = Vec::new();
    for id in 1..=2 {
        let order = run_task(&mut pool, &mut now, id).remove(0);
        pool.handle_order_answer(at(now), &order, &Answer::Done(500 + now));
        exits.push(exit(id, &order));
    }
    poll(&mut pool, &mut now, Connection::Kept, &report(2_000, vec![], exits));
    let batch = pool.next_batch(at(now), 5_000, 28);
    pool.raise_fence(FENCE + 1);
    pool.confirm_batch(&batch);
    poll(&mut pool, &mut now, Connection::Kept, &report(2_020, vec![], vec![]));
    // The next instance, whose clock is far ahead, ends one task.
    poll(&mut pool, &mut now, Connection::New, &report(9_000_000, vec![], vec![]));
    poll(&mut pool, &mut now, Connection::Kept, &report(9_000_010, vec![], vec![]));
    let order = run_task(&mut pool, &mut now, 3).remove(0);
    pool.handle_order_answer(at(now), &order, &Answer::Done(9_000_020));
    let listed = vec![exit(1, &order)];
    poll(&mut pool, &mut now, Connection::Kept, &report(9_000_030, vec![], listed.clone()));
    let acked = poll(&mut pool, &mut now, Connection::Kept, &report(9_000_040, vec![], listed));
    assert_eq!(acked, Some(0), "its exit isn't written yet");
    now += 100;
    poll(&mut pool, &mut now, Connection::Kept, &report(9_000_140, vec![], vec![]));
    let again = pool.plan(at(now + 500), 0).into_iter().filter(is_start).count();
    assert_eq!(again, 0, "a done task was started again");
}
