//! Division of memory among request bodies.

use std::time::Duration;

use corianderfork_entry::intake::{Budget, Id, SMALL_BODY, STALL_TIME};
use corianderfork_model::Time;
use proptest::prelude::*;

const SMALL: usize = 4 * SMALL_BODY;
const LARGE: usize = 1 << 20;
const HALF: usize = LARGE / 2;

/// Adds a body of a size.
fn grow(budget: &mut Budget, now: Time, bytes: usize) -> (Id, bool, Vec<Id>) {
    let id = budget.begin(now);
    let grant = budget.resize(now, id, bytes);
    (id, grant.is_granted, grant.dropped)
}

// Guards against large bodies that replace each other so that none is ever complete.
#[test]
fn resize_while_large_bodies_make_progress() {
    let mut budget = Budget::new(SMALL, LARGE);
    let (first, ..) = grow(&mut budget, Time::ZERO, HALF);
    let (second, ..) = grow(&mut budget, Time::ZERO, HALF);
    let now = Time::ZERO + (STALL_TIME - Duration::from_millis(1));
    assert!(!grow(&mut budget, now, HALF).1);
    assert!(budget.resize(now, first, HALF).is_granted);
    let (_, is_granted, dropped) = grow(&mut budget, Time::ZERO + STALL_TIME, HALF);
    assert!(is_granted);
    assert_eq!(dropped, [second], "the first one made progress");
    assert!(!budget.resize(now, second, HALF).is_granted, "it has lost its memory");
}

// Guards against small requests that are refused because unfinished ones fill the memory.
#[test]
fn resize_small_body_beside_unfinished_ones() {
    let mut budget = Budget::new(SMALL, LARGE);
    let bodies = [LARGE, SMALL_BODY, SMALL_BODY, SMALL_BODY, SMALL_BODY];
    let ids = bodies.map(|bytes| grow(&mut budget, Time::ZERO, bytes).0);
    let (_, is_granted, dropped) = grow(&mut budget, Time::ZERO, 200);
    assert!(is_granted);
    assert_eq!(dropped, [ids[1]]);
}

// Guards against a request that loses its memory while it is handled.
#[test]
fn resize_beside_complete_bodies() {
    let mut budget = Budget::new(SMALL_BODY, LARGE);
    let (first, ..) = grow(&mut budget, Time::ZERO, SMALL_BODY);
    budget.complete(first);
    let later = Time::ZERO + STALL_TIME;
    assert!(!grow(&mut budget, later, 200).1);
    budget.end(first);
    assert!(grow(&mut budget, later, 200).1);
}

// Guards against a legal body that is never accepted where the memory is small.
#[test]
fn resize_only_body_beyond_the_limit() {
    let mut budget = Budget::new(SMALL, LARGE);
    assert!(grow(&mut budget, Time::ZERO, 2 * LARGE).1);
    assert!(!grow(&mut budget, Time::ZERO, HALF).1);
}

proptest! {
    // Guards against memory that is charged twice or never returned.
    #[test]
    fn resize_randomly(steps in proptest::collection::vec((0..20_usize, 0..4_u8, 0..LARGE), 1..200)) {
        let mut budget = Budget::new(SMALL, LARGE);
        let mut ids: Vec<Id> = (0..20).map(|_| budget.begin(Time::ZERO)).collect();
        for (millis, (number, action, bytes)) in (0_u64..).step_by(50).zip(steps) {
            let now = Time::from_millis(millis);
            match action {
                0 => budget.complete(ids[number]),
                1 => {
                    budget.end(ids[number]);
                    ids[number] = budget.begin(now);
                }
                2 => drop(budget.resize(now, ids[number], bytes % SMALL_BODY)),
                _ => drop(budget.resize(now, ids[number], bytes)),
            }
            prop_assert!(budget.used() <= SMALL + LARGE);
        }
        ids.into_iter().for_each(|id| budget.end(id));
        prop_assert_eq!(budget.used(), 0);
    }
}
