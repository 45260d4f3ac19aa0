//! The waiting queue.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{at, name};
use corianderfork_model::service::Class;
use corianderfork_routing::outcome::Reason;
use corianderfork_routing::queue::{Config, Queue, Request};
use proptest::prelude::*;

fn request(class: Class, deadline: u64, item: u32) -> Request<u32> {
    Request::new(class, name("transfer"), at(deadline), item)
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::First), Just(Class::Normal), Just(Class::Later)]
}

proptest! {
    #[test]
    fn take_order_by_class_then_age(classes in prop::collection::vec((class(), 0u8..3), 1..100)) {
        let mut queue = Queue::new(Config::default());
        for (i, (class, service)) in classes.iter().enumerate() {
            let service = name(&format!("service-{service}"));
            let request = Request::new(*class, service, at(10_000), i);
            prop_assert!(queue.push(at(0), request).is_ok());
        }
        let taken: Vec<usize> = std::iter::from_fn(|| queue.take(at(1), |_| true)).collect();
        let mut expected: Vec<usize> = (0..classes.len()).collect();
        expected.sort_by_key(|i| (std::cmp::Reverse(classes[*i].0), *i));
        prop_assert_eq!(taken, expected);
    }

    #[test]
    fn push_never_above_capacity(
        classes in prop::collection::vec(class(), 1..60),
        capacity in 1usize..10,
    ) {
        let mut queue = Queue::new(Config::default().capacity(capacity));
        let mut refused = Vec::new();
        for (i, class) in classes.iter().enumerate() {
            match queue.push(at(0), request(*class, 10_000, i as u32)) {
                Ok(displaced) => refused.extend(displaced.map(|r| r.item)),
                Err(full) => refused.push(full.item),
            }
            prop_assert!(queue.len() <= capacity);
        }
        let kept: Vec<u32> = std::iter::from_fn(|| queue.take(at(1), |_| true)).collect();
        // Nothing is lost, and no refused request is more urgent than a kept one.
        prop_assert_eq!(kept.len() + refused.len(), classes.len());
        let class_of = |i: &u32| classes[*i as usize];
        let least = kept.iter().map(class_of).min();
        prop_assert!(refused.iter().map(class_of).max() <= least || refused.is_empty());
    }
}

#[test]
fn push_full_refuses_at_once() {
    let mut queue = Queue::new(Config::default().capacity(1));
    queue.push(at(0), request(Class::Normal, 1000, 0)).unwrap();
    let full = queue.push(at(0), request(Class::Normal, 1000, 1)).unwrap_err();
    assert_eq!((full.item, full.refusal.reason), (1, Reason::QueueFull));
    assert!(full.refusal.retry_after >= Duration::from_secs(1));
    let displaced = queue.push(at(0), request(Class::First, 1000, 2)).unwrap().unwrap();
    assert_eq!((displaced.item, displaced.refusal.reason), (0, Reason::Displaced));
}

#[test]
fn take_skips_service_without_room() {
    let mut queue = Queue::new(Config::default());
    let settlement = Request::new(Class::First, name("settlement"), at(1000), 0);
    queue.push(at(0), settlement).unwrap();
    queue.push(at(0), request(Class::Later, 1000, 1)).unwrap();
    assert_eq!(queue.take(at(1), |service| service.as_str() == "transfer"), Some(1));
    assert_eq!(queue.take(at(1), |service| service.as_str() == "transfer"), None);
    assert_eq!(queue.take(at(1), |_| true), Some(0));
}

#[test]
fn push_hopeless_by_measured_rate() {
    // Symptom: callers wait for their whole deadline and are then refused.
    // Sequence: the backlog drains at 10 a second; a request comes behind 40.
    // Cause: the queue took it in although its turn comes after its deadline.
    let mut queue = Queue::new(Config::default());
    for i in 0..60 {
        queue.push(at(0), request(Class::Normal, 60_000, i)).unwrap();
    }
    for i in 1..=20 {
        queue.take(at(i * 100), |_| true).unwrap();
        queue.count_start(at(i * 100), &name("transfer"));
    }
    let hopeless = queue.push(at(2000), request(Class::Normal, 4000, 99)).unwrap_err();
    assert_eq!(hopeless.refusal.reason, Reason::DeadlineTooSoon);
    let retry_after = hopeless.refusal.retry_after.as_secs_f64();
    assert!((3.0..5.0).contains(&retry_after), "40 at 10 a second, not {retry_after}");
    assert!(queue.push(at(2000), request(Class::Normal, 8000, 99)).is_ok());
    assert!(queue.push(at(2000), request(Class::First, 4000, 99)).is_ok(), "goes ahead");
}

#[test]
fn sweep_stalled_before_deadline() {
    // Symptom: as above, for requests that were already waiting.
    // Sequence: ten wait; then nothing gets a slot any more.
    // Cause: the wait is judged only when a request comes.
    let mut queue = Queue::new(Config::default());
    for i in 0..10 {
        queue.push(at(0), request(Class::Normal, 2000, i)).unwrap();
    }
    assert!(queue.sweep(at(100)).is_empty(), "too early to tell");
    let refused: Vec<u32> = queue.sweep(at(400)).into_iter().map(|r| r.item).collect();
    assert!(refused.contains(&9) && !refused.contains(&0), "{refused:?}");
    let rest = queue.sweep(at(1500));
    assert_eq!(refused.len() + rest.len(), 10, "well before the deadline");
    assert!(rest.iter().all(|r| r.refusal.reason == Reason::DeadlineTooSoon));
    assert!(queue.is_empty());
}

#[test]
fn push_burst_after_quiet_is_not_hopeless() {
    // Symptom: the first burst of the morning is refused.
    // Sequence: no request for hours, then thirty in a tenth of a second.
    // Cause: the rate of the quiet time was taken for the rate of the backlog.
    let mut queue = Queue::new(Config::default());
    queue.push(at(0), request(Class::Normal, 1000, 0)).unwrap();
    queue.take(at(1), |_| true).unwrap();
    queue.count_start(at(1), &name("transfer"));
    for i in 0..30 {
        let now = 10_000_000 + 4 * u64::from(i);
        assert!(queue.push(at(now), request(Class::Normal, now + 1000, i)).is_ok());
    }
}

#[test]
fn drain_refuses_all() {
    let mut queue = Queue::new(Config::default());
    (0..5).for_each(|i| _ = queue.push(at(0), request(Class::Later, 1000, i)).unwrap());
    assert_eq!(queue.drain().len(), 5);
    assert_eq!((queue.len(), queue.take(at(0), |_| true)), (0, None));
}
