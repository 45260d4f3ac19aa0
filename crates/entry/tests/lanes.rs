//! Orders to workers that wait for a call.
#![allow(clippy::expect_used)]

use corianderfork_entry::lanes::{Lanes, Turn};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::task::Name;
use corianderfork_jobs::worker::Key;

fn order(index: u32, action: Action) -> Order {
    Order {
        worker: Key::default(),
        id: "w1".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        fence: 1,
        task: Name { job: JobId(1), occurrence: 0, step: 0, index },
        run: u64::from(index),
        copy: 0,
        action,
    }
}

fn start(index: u32, deadline_ms: u64) -> Order {
    let action = Action::Start { spec: "".into(), deadline_ms, saved: "".into(), ticket: None };
    order(index, action)
}

/// Returns lanes with two orders in flight and the starts 3 and 4 waiting.
fn busy() -> Lanes {
    let mut lanes = Lanes::default();
    assert_eq!(lanes.push(start(1, 10)), Turn::Now(start(1, 10)));
    assert_eq!(lanes.push(start(2, 10)), Turn::Now(start(2, 10)));
    assert_eq!(lanes.push(start(3, 10)), Turn::Waits);
    assert_eq!(lanes.push(start(4, 10)), Turn::Waits);
    lanes
}

// Guards against a connection for each order of a burst: hundreds of workers join as a queue's busy
// time begins, and each is sent as many orders as it has room for.
#[test]
fn push_of_a_burst_sends_few_at_once() {
    let mut lanes = busy();
    assert_eq!(lanes.next(Key::default()), Some(start(3, 10)));
    assert_eq!(lanes.next(Key::default()), Some(start(4, 10)));
    assert_eq!(lanes.next(Key::default()), None);
    assert_eq!(lanes.push(start(5, 10)), Turn::Now(start(5, 10)), "one call has ended");
}

// Guards against a start that is sent twice, first with a lease that has ended meanwhile, and against
// a copy that counts as on its way for good: the replaced one is reported.
#[test]
fn push_of_a_repetition_replaces_the_waiting_order() {
    let mut lanes = busy();
    assert_eq!(lanes.push(start(3, 99)), Turn::Replaces(start(3, 10)));
    assert_eq!(lanes.next(Key::default()), Some(start(3, 99)));
    assert_eq!(lanes.next(Key::default()), Some(start(4, 10)));
    assert_eq!(lanes.next(Key::default()), None);
}

// Guards against a stop that replaces the start of the same run, or the other way round.
#[test]
fn push_of_a_stop_keeps_the_start() {
    let mut lanes = busy();
    assert_eq!(lanes.push(order(3, Action::Stop)), Turn::Waits);
    assert_eq!(lanes.next(Key::default()), Some(start(3, 10)));
    assert_eq!(lanes.next(Key::default()), Some(start(4, 10)));
    assert_eq!(lanes.next(Key::default()), Some(order(3, Action::Stop)));
}

// Guards against tasks that wait behind a worker that doesn't answer, one timeout after the other.
#[test]
fn take_waiting_starts_leaves_stops() {
    let mut lanes = busy();
    assert_eq!(lanes.push(order(7, Action::Stop)), Turn::Waits);
    assert_eq!(lanes.take_waiting_starts(Key::default()), [start(3, 10), start(4, 10)]);
    assert_eq!(lanes.next(Key::default()), Some(order(7, Action::Stop)));
    assert!(lanes.take_waiting_starts(Key::default()).is_empty());
}

// Guards against orders whose time grows with the square of those that wait for a worker: the starts
// of 10,000 tasks, and their repetitions, took the time of leases and polls.
#[test]
fn push_of_many_orders_and_their_repetitions() {
    const ORDERS: u32 = 60_000;
    let started = std::time::Instant::now();
    let mut lanes = busy();
    for index in 5..ORDERS {
        assert_eq!(lanes.push(start(index, 10)), Turn::Waits);
    }
    for index in 5..ORDERS {
        assert_eq!(lanes.push(start(index, 99)), Turn::Replaces(start(index, 10)));
    }
    let starts = lanes.take_waiting_starts(Key::default());
    assert_eq!(starts.len(), ORDERS as usize - 3);
    // The square takes over 20 s in a debug build.
    assert!(started.elapsed() < std::time::Duration::from_secs(5), "{:?}", started.elapsed());
}
