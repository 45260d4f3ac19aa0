//! Retry budgets and delays.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use corianderfork_model::{Share, Time};
use corianderfork_routing::retry::{Budget, Config, Delay};
use proptest::prelude::*;

const WINDOW: u64 = 10_000;

proptest! {
    #[test]
    fn retry_never_exceeds_budget(
        steps in prop::collection::vec((0u64..400, any::<bool>()), 1..600),
        per_mille in 0u16..=500,
        floor in 0u32..5,
    ) {
        let share = Share::from_per_mille(per_mille).unwrap();
        let mut budget = Budget::new(Config::default().share(share).floor(floor));
        let (mut now, mut first_tries, mut retries) = (0, Vec::new(), Vec::new());
        for (gap, wants_retry) in steps {
            now += gap;
            if wants_retry {
                if budget.retry(Time::from_millis(now)) {
                    retries.push(now);
                }
            } else {
                budget.first_try(Time::from_millis(now));
                first_tries.push(now);
            }
            // The window slides in tenths: it covers nine to ten tenths of its length.
            let start = (now / (WINDOW / 10) + 1).saturating_sub(10) * (WINDOW / 10);
            let since = |times: &[u64]| times.iter().filter(|t| **t >= start).count() as u64;
            let share = since(&first_tries) * u64::from(per_mille) / 1000;
            let limit = share.max(u64::from(floor));
            if retries.last() == Some(&now) {
                prop_assert!(since(&retries) <= limit, "{} of {limit}", since(&retries));
            }
        }
    }
}

#[test]
fn retry_quiet_service_has_minimum() {
    let mut budget = Budget::new(Config::default().floor(2));
    let now = Time::ZERO;
    budget.first_try(now);
    assert!(budget.retry(now) && budget.retry(now));
    assert!(!budget.retry(now));
    assert!(budget.retry(Time::from_millis(WINDOW)), "the window has slid on");
}

#[test]
fn retry_burst_of_failures_is_bounded() {
    // Every request fails and is to be retried. Without a limit relative to the
    // first tries, a burst of failures would double the load.
    let mut budget = Budget::new(Config::default());
    let retries = (0..5000u64)
        .filter(|i| {
            let now = Time::from_millis(*i);
            budget.first_try(now);
            budget.retry(now)
        })
        .count();
    assert!((900..=1000).contains(&retries), "{retries}");
}

#[test]
fn next_is_within_bounds_and_spread() {
    let (base, cap) = (Duration::from_millis(10), Duration::from_millis(200));
    let mut delay = Delay::new(base, cap, 3);
    let delays: Vec<_> = (0..100).map(|_| delay.next(2)).collect();
    assert!(delays.iter().all(|d| *d <= Duration::from_millis(40)));
    assert!(delays.iter().any(|d| *d < Duration::from_millis(10)));
    assert!(delays.iter().any(|d| *d > Duration::from_millis(30)));
    assert!((0..100).all(|i| delay.next(i) <= cap));
}

#[test]
fn next_same_seed_gives_same_delays() {
    let delays = |seed| {
        let mut delay = Delay::new(Duration::from_millis(10), Duration::from_secs(1), seed);
        (0..20).map(|i| delay.next(i)).collect::<Vec<_>>()
    };
    assert_eq!(delays(1), delays(1));
    assert_ne!(delays(1), delays(2));
}
