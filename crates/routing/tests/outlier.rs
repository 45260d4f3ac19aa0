//! Ejection of runners that fail.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{at, name, router};
use corianderfork_model::Share;
use corianderfork_routing::outcome::{Attempt, Reason};
use corianderfork_routing::outlier::{Admission, Config, Detector, max_restricted};
use corianderfork_routing::router::{self, RunnerKey, ServiceKey};
use proptest::prelude::*;
use slotmap::SlotMap;

fn keys(n: usize) -> (Vec<RunnerKey>, ServiceKey) {
    let mut runners = SlotMap::<RunnerKey, ()>::with_key();
    let mut services = SlotMap::<ServiceKey, ()>::with_key();
    ((0..n).map(|_| runners.insert(())).collect(), services.insert(()))
}

fn detector(config: Config, n: usize) -> (Detector, Vec<RunnerKey>) {
    let (keys, service) = keys(n);
    let mut detector = Detector::new(config, 1);
    keys.iter().for_each(|key| detector.add(at(0), *key, service));
    (detector, keys)
}

fn fail_five_times(detector: &mut Detector, now: u64, runner: RunnerKey) {
    (0..5).for_each(|_| detector.record(at(now), runner, false));
}

fn ejected_for(detector: &Detector, now: u64, runner: RunnerKey) -> u64 {
    let Admission::Ejected(until) = detector.admission(at(now), runner) else { return 0 };
    (until - at(now)).as_millis() as u64
}

proptest! {
    #[test]
    fn record_share_of_restricted_runners_is_bounded(
        results in prop::collection::vec((0usize..12, prop::bool::weighted(0.3), 0u64..500, 0u8..4), 1..800),
        per_mille in 0u16..=1000,
        n in 1usize..12,
    ) {
        let share = Share::from_per_mille(per_mille).unwrap();
        let (mut detector, keys) = detector(Config::default().max_share(share), n);
        let mut now = 0;
        for (runner, success, gap, member) in results {
            now += gap;
            let key = keys[runner % n];
            if detector.admission(at(now), key) == Admission::Probe {
                detector.on_pick(at(now), key);
            }
            detector.record(at(now), key, success);
            if member > 1 && !success {
                detector.hint(at(now), &name(&format!("proxy-{member}")), key);
            }
            let restricted = keys.iter().filter(|key| detector.is_restricted(**key)).count() as u32;
            prop_assert!(restricted <= max_restricted(n as u32, share), "{restricted} of {n} at {per_mille}");
        }
    }
}

#[test]
fn max_restricted_rounds_down_but_allows_one() {
    let share = Share::from_per_mille(300).unwrap();
    let of = |runners| max_restricted(runners, share);
    assert_eq!((of(0), of(1), of(2), of(3), of(10)), (0, 0, 1, 1, 3));
}

#[test]
fn record_repeated_ejection_grows_with_jitter() {
    let (mut detector, keys) = detector(Config::default(), 4);
    let (mut now, mut times) = (0, Vec::new());
    fail_five_times(&mut detector, now, keys[0]);
    for _ in 0..8 {
        let time = ejected_for(&detector, now, keys[0]);
        times.push(time);
        now += time;
        assert_eq!(detector.admission(at(now), keys[0]), Admission::Probe);
        detector.on_pick(at(now), keys[0]);
        detector.record(at(now), keys[0], false);
    }
    let expected = [5, 10, 20, 40, 80, 120, 120, 120].map(|seconds| seconds * 1000);
    for (time, base) in times.iter().zip(expected) {
        assert!((base..=base * 5 / 4).contains(time), "{time} for {base}");
    }
    assert_ne!(times[6], times[7], "jitter");
}

#[test]
fn record_probation_ends_after_probes() {
    let (mut detector, keys) = detector(Config::default(), 4);
    fail_five_times(&mut detector, 5000, keys[0]);
    fail_five_times(&mut detector, 5000, keys[0]);
    let readmitted = 5000 + ejected_for(&detector, 5000, keys[0]);
    for peer in keys[1..].repeat(10) {
        detector.record(at(readmitted), peer, true);
    }
    for _ in 0..3 {
        assert_eq!(detector.admission(at(readmitted), keys[0]), Admission::Probe);
        detector.on_pick(at(readmitted), keys[0]);
        detector.record(at(readmitted), keys[0], true);
    }
    assert_eq!(detector.admission(at(readmitted), keys[0]), Admission::Open);
    detector.record(at(readmitted), keys[0], false);
    assert!(!detector.is_restricted(keys[0]), "the failures before the ejection are forgotten");
}

#[test]
fn record_success_below_median_ejects() {
    // A runner fails every second request, and the successes in between reset
    // the count of consecutive failures. Without the comparison with its peers
    // it would keep its full load.
    let (mut detector, keys) = detector(Config::default(), 4);
    for i in 0..20 {
        keys[1..].iter().for_each(|key| detector.record(at(i), *key, true));
        detector.record(at(i), keys[0], i % 2 == 0);
    }
    assert!(detector.is_restricted(keys[0]));
}

#[test]
fn record_all_runners_fail_alike_ejects_none() {
    // Every runner fails half of its requests. If runners were ejected by a
    // fixed rate instead of by their peers' median, an error of the service
    // would become an outage.
    let (mut detector, keys) = detector(Config::default(), 10);
    for i in 0..100 {
        keys.iter().for_each(|key| detector.record(at(i * 10), *key, i % 2 == 0));
    }
    assert!(keys.iter().all(|key| !detector.is_restricted(*key)));
}

#[test]
fn hint_needs_a_second_source() {
    let (mut detector, keys) = detector(Config::default(), 10);
    detector.hint(at(10), &name("proxy-1"), keys[0]);
    assert!(!detector.is_restricted(keys[0]), "a single peer may be the faulty one");
    detector.hint(at(11), &name("proxy-2"), keys[0]);
    assert!(detector.is_restricted(keys[0]), "two peers agree");
    assert!(!detector.is_failing_first_hand(keys[0]), "hints of others are not passed on");
    detector.hint(at(10), &name("proxy-1"), keys[1]);
    detector.record(at(20), keys[1], false);
    detector.hint(at(30), &name("proxy-1"), keys[1]);
    assert!(detector.is_restricted(keys[1]), "a failure of its own agrees");
    detector.hint(at(10), &name("proxy-1"), keys[2]);
    detector.hint(at(3000), &name("proxy-2"), keys[2]);
    assert!(!detector.is_restricted(keys[2]), "the first hint has expired");
}

#[test]
fn hint_older_than_probation_is_ignored() {
    // A runner passes its probation here while it is still ejected at two
    // peers. If their old ejections counted as new failures, the runner would
    // stay ejected for longer and longer although it works.
    let (mut detector, keys) = detector(Config::default(), 4);
    let hint_twice = |detector: &mut Detector, now| {
        detector.hint(at(now), &name("proxy-1"), keys[0]);
        detector.hint(at(now), &name("proxy-2"), keys[0]);
    };
    hint_twice(&mut detector, 1);
    let readmitted = 1 + ejected_for(&detector, 1, keys[0]);
    (0..readmitted).step_by(250).for_each(|now| hint_twice(&mut detector, now + 1));
    for _ in 0..3 {
        detector.on_pick(at(readmitted), keys[0]);
        detector.record(at(readmitted), keys[0], true);
    }
    (0..40).for_each(|i| hint_twice(&mut detector, readmitted + i * 250));
    assert!(!detector.is_restricted(keys[0]));
}

/// Returns the share of all requests that fails at one runner that immediately
/// fails everything, next to nine that work, with `requests_per_milli` requests of 20 ms
/// per millisecond.
fn failing_share(outlier: Config, requests_per_milli: u32) -> f64 {
    let config = router::Config::default().outlier(outlier);
    let mut router = router(config, 10);
    let bad = router.runners(&name("transfer"))[0];
    let (mut in_flight, mut failed, mut all) = (Vec::new(), 0, 0);
    for now in 1000..4000 {
        for _ in 0..requests_per_milli {
            let Ok(ticket) = router.pick(at(now), &name("transfer"), &[]) else { continue };
            all += 1;
            if ticket.runner() == bad {
                failed += 1;
                router.done(at(now), ticket, Attempt::Failed);
            } else {
                in_flight.push((now + 20, ticket));
            }
        }
        let due = in_flight.iter().take_while(|(end, _)| *end <= now).count();
        in_flight.drain(..due).for_each(|(_, t)| router.done(at(now), t, Attempt::Answered));
    }
    f64::from(failed) / f64::from(all)
}

#[test]
fn pick_fast_failing_runner_attracts_no_work() {
    // A broken runner fails each request immediately, so it always has the
    // lowest load. If runners were picked by load alone, it would fail a large
    // part of all requests.
    let share = failing_share(Config::default().enabled(false), 3);
    assert!(share < 0.003, "{share} although other runners are free");
}

#[test]
fn record_fast_failing_runner_among_full_ones_is_ejected() {
    // The same at a load that fills every working runner, so that the broken
    // one is the only one with free slots. A high cost alone does not protect
    // from a runner that is the last choice.
    let with = failing_share(Config::default(), 5);
    let without = failing_share(Config::default().enabled(false), 5);
    assert!(with < 0.003 && without > 0.1, "{with} with, {without} without");
}

#[test]
fn pick_probes_one_at_a_time() {
    let outlier = Config::default().ejection(Duration::from_secs(1), Duration::from_secs(1));
    let mut router = router(router::Config::default().outlier(outlier), 2);
    let [bad, good] = router.runners(&name("transfer"))[..] else { panic!("two runners") };
    for _ in 0..5 {
        let ticket = router.pick(at(1000), &name("transfer"), &[good]).unwrap();
        router.done(at(1000), ticket, Attempt::Failed);
    }
    let refusal = router.pick(at(1001), &name("transfer"), &[good]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneHealthy);
    let probe = router.pick(at(2500), &name("transfer"), &[good]).unwrap();
    assert_eq!(probe.runner(), bad);
    assert!(router.pick(at(2500), &name("transfer"), &[good]).is_err(), "one probe at a time");
    router.done(at(2510), probe, Attempt::Answered);
    assert!(router.pick(at(2511), &name("transfer"), &[good]).is_ok());
}

#[test]
fn is_failing_first_hand_runner_beyond_ejection_limit() {
    // With four runners, the limit of ejected ones is reached, and another one
    // fails everything but is not ejected. If only ejected runners were
    // reported to peers, a wave with a bad update would continue after its
    // second bad VM.
    let share = Share::from_per_mille(300).unwrap();
    let (mut detector, keys) = detector(Config::default().max_share(share), 4);
    fail_five_times(&mut detector, 0, keys[0]);
    fail_five_times(&mut detector, 0, keys[1]);
    assert!(detector.is_restricted(keys[0]) && !detector.is_restricted(keys[1]));
    assert!(detector.is_failing_first_hand(keys[1]));
    detector.record(at(1), keys[1], true);
    assert!(!detector.is_failing_first_hand(keys[1]), "the runner answers again");
}

#[test]
fn pick_retests_runner_that_failed_last() {
    // One of ten runners fails everything, at twenty requests per second, and
    // is skipped after its first failure. Without retests it would never fail
    // often enough to be ejected, and a wave with a bad update would reach all
    // VMs without halting.
    let mut router = router(router::Config::default(), 10);
    let bad = router.runners(&name("transfer"))[0];
    let mut failed = 0;
    for now in (1_000..5_000).step_by(50) {
        let ticket = router.pick(at(now), &name("transfer"), &[]).unwrap();
        let is_bad = ticket.runner() == bad;
        failed += u32::from(is_bad);
        let result = if is_bad { Attempt::Failed } else { Attempt::Answered };
        router.done(at(now + 5), ticket, result);
    }
    let sent = router.report(at(5_000));
    assert!(sent.runners.iter().any(|runner| runner.ejected), "after {failed} failures");
    assert_eq!(failed, 5, "the number of failures that ejects it");
}
