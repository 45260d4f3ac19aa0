//! Steps for which another service says where they may run.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{World, at, step};
use corianderfork_jobs::pool::{Action, Advice, Answer, Query};
use corianderfork_jobs::queue::{AdviceCost, Queue};

/// How long tickets hold.
const VALID: Duration = Duration::from_secs(3);

/// Workers, and a queue that asks for advice.
fn world(workers: u16) -> World {
    let mut world = World::new(workers);
    let advice = Some(AdviceCost::default());
    let queue = Queue { attempts: 2, advice, ..Queue::default() };
    world.pool.set_queues(HashMap::from([("q".to_owned(), queue)]));
    world
}

fn ask(world: &mut World) -> Vec<Query> {
    world.pool.advice_queries(at(world.now), 8)
}

fn tell(world: &mut World, question: &Query, good: &[&str]) {
    let ticket = |id: &&str| ((*id).to_owned(), format!("ticket for {id}"));
    let advice = Advice::Received { allowed: good.iter().map(ticket).collect(), ttl: VALID };
    world.pool.handle_advice(at(world.now), question, &advice);
}

#[test]
fn plan_starts_an_advised_step_only_with_a_ticket() {
    // Symptom: every start on a queue is rejected, and its jobs are never done.
    // Sequence: the queue's configuration names a service that decides which
    //   workers may run a step; tasks are started without having asked it.
    // Cause: nothing asks, and starts carry no ticket.
    let mut world = world(3);
    world.submit(1, vec![step(2, 1_000)]);
    assert!(world.plan().is_empty(), "before anything was told");
    let questions = ask(&mut world);
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 3);
    tell(&mut world, &questions[0], &["w1"]);
    let orders = world.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        let Action::Start { ticket, .. } = &order.action else { panic!("a start") };
        assert_eq!(ticket.as_deref(), Some("ticket for w1"));
        assert_eq!(order.id, "w1");
    }
}

#[test]
fn questions_once_a_step_while_one_is_under_way() {
    // Symptom: jobs wait for advice far longer than one question takes.
    // Sequence: a question is under way; each plan asks the same again, and the
    //   service, which takes one at a time, answers all of them.
    // Cause: what is under way isn't noted.
    let mut world = world(2);
    world.submit(1, vec![step(1, 1_000)]);
    let question = ask(&mut world).remove(0);
    assert!(ask(&mut world).is_empty(), "one is under way");
    world.pool.handle_advice(at(world.now), &question, &Advice::Lost);
    assert_eq!(ask(&mut world).len(), 1, "it was lost");
}

#[test]
fn questions_leave_out_workers_that_may_not() {
    let mut world = world(3);
    world.submit(1, vec![step(9, 8_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    assert_eq!(world.plan().len(), 1, "w0 holds one");
    assert!(ask(&mut world).is_empty(), "w1 and w2 may not, w0 is full");
}

#[test]
fn plan_uses_no_ticket_that_is_over() {
    // Symptom: starts are rejected though advice was asked.
    // Sequence: the only worker that may run a step is full until its ticket is
    //   over; then the next task is started with it.
    // Cause: tickets are taken to hold for good.
    let mut world = world(1);
    world.takes = 2_900;
    world.submit(1, vec![step(2, 8_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    assert_eq!(world.plan().len(), 1);
    assert!(ask(&mut world).is_empty(), "it has no room");
    world.run(2_900);
    assert_eq!(world.running(), 0, "the ticket is about to end");
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    assert_eq!(world.plan().len(), 1);
}

#[test]
fn started_with_a_refused_ticket_asks_anew() {
    let mut world = world(1);
    world.submit(1, vec![step(1, 1_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    let orders = world.pool.plan(at(world.now), 0);
    world.pool.handle_order_answer(at(world.now), &orders[0], &Answer::Ticket);
    assert!(world.pool.plan(at(world.now), 0).is_empty(), "not with the same ticket");
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    assert_eq!(world.plan().len(), 1);
}

#[test]
fn questions_ahead_of_a_steps_turn() {
    // Symptom: each step of a job begins as much later as advice takes.
    // Sequence: a step ends; only then the next one's workers are asked for.
    // Cause: the answer doesn't change, and could have been had before.
    let mut world = world(2);
    world.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0), step(1, 1_000).after(1)]);
    let first = ask(&mut world).remove(0);
    assert!(ask(&mut world).is_empty(), "the first step has not begun");
    tell(&mut world, &first, &["w0"]);
    world.plan();
    let second = ask(&mut world);
    assert_eq!(second.len(), 1, "the second step alone");
    assert_eq!(second[0].task.step, 1);
    tell(&mut world, &second[0], &["w1"]);
    world.now += 600;
    world.look();
    assert_eq!(world.plan().len(), 1, "at once");
}

#[test]
fn questions_for_what_has_to_leave_its_worker() {
    // Symptom: a VM of a wave is never emptied.
    // Sequence: a lasting task of an advised step runs there; no other worker
    //   was ever asked about.
    // Cause: advice is sought for tasks that wait alone.
    let mut world = world(3);
    world.takes = 600_000;
    let mut lasting = step(1, 8_000);
    lasting.long_running = true;
    lasting.max_unavailable = Some(1);
    world.submit(1, vec![lasting]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    world.run(2_000);
    for run in world.workers.get_mut("w0").expect("a worker").running.values_mut() {
        run.percent = Some(100);
    }
    assert_eq!(world.pool.vacate(at(world.now), "w0", Duration::from_secs(60)), Some(false));
    world.run(4_000);
    // The ticket for w0 is over, and w1 and w2 may not: all are open again only
    // where nothing is known of them.
    let mut more = common::entry("w9", 9_900, "r9");
    more.room = world.entries[0].room;
    world.entries.push(more);
    world.workers.insert("w9".to_owned(), common::Worker::default());
    world.settle();
    world.run(300);
    let question = ask(&mut world).remove(0);
    assert!(question.workers.iter().any(|(_, id)| id == "w9"));
    tell(&mut world, &question, &["w9"]);
    world.run(2_000);
    assert_eq!(world.where_runs(common::first(corianderfork_jobs::JobId(1))), ["w9"]);
}

#[test]
fn load_asks_for_a_worker_where_none_may_run_a_step() {
    // Symptom: a job waits for ever beside workers that stand idle.
    // Sequence: the service names none of the pool's workers; the pool is as
    //   large as its load asks for, so no other worker comes.
    // Cause: workers are sent for by how much is needed alone.
    let mut world = world(2);
    world.submit(1, vec![step(2, 1_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &[]);
    world.run(1_000);
    assert_eq!(world.pool.load(at(world.now)).unfit, 0, "a moment may help");
    world.run(2_000);
    assert_eq!(world.pool.load(at(world.now)).unfit, 1);
    world.entries.push(common::entry("w2", 9_100, "r9"));
    world.workers.insert("w2".to_owned(), common::Worker::default());
    world.settle();
    assert_eq!(world.pool.load(at(world.now)).unfit, 0, "it is not known of w2");
    let question = ask(&mut world).remove(0);
    assert_eq!(question.workers.len(), 1, "the others were asked about");
    tell(&mut world, &question, &["w2"]);
    assert_eq!(world.plan().len(), 2);
}

/// How long workers are emptied that are too many.
const EMPTIED: Duration = Duration::from_secs(60);

#[test]
fn shrink_keeps_the_worker_that_alone_may_run_a_step() {
    // Symptom: an accepted job is not completed, beside workers that stand idle.
    // Sequence: its next step may run on one worker of the pool, which stands idle
    //   until then; the pool has one worker more than its load asks for.
    // Cause: the least busy one is let go, whatever waits for it.
    let mut world = world(3);
    world.takes = 5_000;
    let job = world.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0)]);
    let first = ask(&mut world).remove(0);
    tell(&mut world, &first, &["w0"]);
    world.plan();
    let second = ask(&mut world).remove(0);
    tell(&mut world, &second, &["w2"]);
    let other = world.submit(2, vec![step(1, 1_000)]);
    let question = ask(&mut world).remove(0);
    assert_eq!(question.task.job, other);
    tell(&mut world, &question, &["w1"]);
    world.plan();
    let empty = world.pool.shrink(at(world.now), 2, EMPTIED);
    assert!(empty.is_empty(), "{empty:?} may go, and w2 alone may run the second step");
    world.run(5_200);
    for question in ask(&mut world) {
        tell(&mut world, &question, &["w2"]);
    }
    world.plan();
    assert_eq!(
        world.where_runs(corianderfork_jobs::task::Name { step: 1, ..common::first(job) }),
        ["w2"]
    );
}

#[test]
fn shrink_lets_another_one_go_than_the_worker_that_a_step_needs() {
    let mut world = world(3);
    world.submit(1, vec![step(1, 1_000), step(1, 1_000).after(0)]);
    world.takes = 5_000;
    let first = ask(&mut world).remove(0);
    tell(&mut world, &first, &["w0"]);
    world.plan();
    let second = ask(&mut world).remove(0);
    tell(&mut world, &second, &["w2"]);
    assert_eq!(world.pool.shrink(at(world.now), 1, EMPTIED), ["w1"], "w0 is at work");
}

#[test]
fn shrink_keeps_a_worker_that_was_sent_for_until_it_was_asked_about() {
    // Symptom: workers come to a pool and go again, and a job is never completed.
    // Sequence: no worker of the pool may run a step; one more is sent for; before
    //   the service has told of it, the pool is as large as its load asks for again.
    // Cause: the newest worker is the least busy, and is let go.
    let mut world = world(2);
    world.submit(1, vec![step(1, 1_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &[]);
    world.run(3_000);
    assert_eq!(world.pool.load(at(world.now)).refused, 1);
    world.entries.push(common::entry("w2", 9_100, "r9"));
    world.workers.insert("w2".to_owned(), common::Worker::default());
    world.settle();
    let empty = world.pool.shrink(at(world.now), 2, EMPTIED);
    assert_eq!(empty.len(), 1);
    assert_ne!(empty, ["w2"], "nothing is known of it, and the others may not");
}

#[test]
fn load_asks_for_a_worker_where_what_lasts_fills_the_one_that_may() {
    // Symptom: an accepted job is not completed, beside workers that stand idle.
    // Sequence: the one worker of the pool that may run its step is full of lasting
    //   tasks, which are packed.
    // Cause: it counted as a worker that may run the step, and that will have room. In
    //   the log the service tells of `1 of 2 workers`, and nothing follows.
    let mut world = world(2);
    world.takes = 600_000;
    let lasting = corianderfork_jobs::Step { long_running: true, ..step(1, 8_000) };
    world.submit(1, vec![lasting]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    assert_eq!(world.plan().len(), 1);
    world.submit(2, vec![step(1, 1_000)]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0"]);
    world.run(3_000);
    assert_eq!(world.pool.load(at(world.now)).refused, 1);
    world.entries.push(common::entry("w2", 9_100, "r9"));
    world.workers.insert("w2".to_owned(), common::Worker::default());
    world.settle();
    let empty = world.pool.shrink(at(world.now), 2, EMPTIED);
    assert_eq!(empty, ["w1"], "nothing is known of w2, and w1 may not");
}

#[test]
fn shrink_keeps_no_worker_for_a_lasting_step_that_runs() {
    // Symptom: a pool holds one worker more than it needs, for as long as a job lasts.
    // Sequence: a lasting step that two workers may run fills one of them; the other one
    //   stands idle, and the pool is to be smaller.
    // Cause: where it runs has no room for it once more, so that it seemed to need the
    //   other one.
    let mut world = world(3);
    world.takes = 600_000;
    let lasting = corianderfork_jobs::Step { long_running: true, ..step(1, 8_000) };
    let job = world.submit(1, vec![lasting]);
    let question = ask(&mut world).remove(0);
    tell(&mut world, &question, &["w0", "w2"]);
    assert_eq!(world.plan().len(), 1);
    world.settle();
    let host = world.where_runs(common::first(job)).remove(0).to_owned();
    let empty = world.pool.shrink(at(world.now), 1, EMPTIED);
    assert_eq!(empty.len(), 2, "only {empty:?} may go; it runs on {host}");
    assert!(!empty.contains(&host));
}
