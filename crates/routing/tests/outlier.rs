//! Ejection of runners that fail.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{at, name, router};
use corianderfork_model::Share;
use corianderfork_routing::outcome::{Attempt, Reason};
use corianderfork_routing::outlier::{Admission, Config, Detector, max_out};
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

fn fail(detector: &mut Detector, now: u64, runner: RunnerKey) {
    (0..5).for_each(|_| detector.record(at(now), runner, false));
}

fn ejected_for(detector: &Detector, now: u64, runner: RunnerKey) -> u64 {
    let Admission::Ejected(until) = detector.admission(at(now), runner) else { return 0 };
    (until - at(now)).as_millis() as u64
}

proptest! {
    #[test]
    fn record_ejected_share_bounded(
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
                detector.picked(at(now), key);
            }
            detector.record(at(now), key, success);
            if member > 1 && !success {
                detector.hint(at(now), &name(&format!("proxy-{member}")), key);
            }
            let out = keys.iter().filter(|key| detector.is_out(**key)).count() as u32;
            prop_assert!(out <= max_out(n as u32, share), "{out} of {n} at {per_mille}");
        }
    }
}

#[test]
fn max_out_rounds_down_but_spares_none() {
    let share = Share::from_per_mille(300).unwrap();
    let of = |runners| max_out(runners, share);
    assert_eq!((of(0), of(1), of(2), of(3), of(10)), (0, 0, 1, 1, 3));
}

#[test]
fn record_ejection_grows_with_jitter() {
    let (mut detector, keys) = detector(Config::default(), 4);
    let (mut now, mut times) = (0, Vec::new());
    fail(&mut detector, now, keys[0]);
    for _ in 0..8 {
        let time = ejected_for(&detector, now, keys[0]);
        times.push(time);
        now += time;
        assert_eq!(detector.admission(at(now), keys[0]), Admission::Probe);
        detector.picked(at(now), keys[0]);
        detector.record(at(now), keys[0], false);
    }
    let bases = [5, 10, 20, 40, 80, 120, 120, 120].map(|seconds| seconds * 1000);
    for (time, base) in times.iter().zip(bases) {
        assert!((base..=base * 5 / 4).contains(time), "{time} for {base}");
    }
    assert_ne!(times[6], times[7], "jitter");
}

#[test]
fn record_probation_ends_after_probes() {
    let (mut detector, keys) = detector(Config::default(), 4);
    fail(&mut detector, 5000, keys[0]);
    fail(&mut detector, 5000, keys[0]);
    let back = 5000 + ejected_for(&detector, 5000, keys[0]);
    for peer in keys[1..].repeat(10) {
        detector.record(at(back), peer, true);
    }
    for _ in 0..3 {
        assert_eq!(detector.admission(at(back), keys[0]), Admission::Probe);
        detector.picked(at(back), keys[0]);
        detector.record(at(back), keys[0], true);
    }
    assert_eq!(detector.admission(at(back), keys[0]), Admission::Open);
    detector.record(at(back), keys[0], false);
    assert!(!detector.is_out(keys[0]), "the failures of before are forgotten");
}

#[test]
fn record_below_peers_median() {
    // Symptom: a worker that fails every second request keeps its full load.
    // Sequence: successes in between reset the count of failures in a row.
    // Cause: runners were not compared with their peers.
    let (mut detector, keys) = detector(Config::default(), 4);
    for i in 0..20 {
        keys[1..].iter().for_each(|key| detector.record(at(i), *key, true));
        detector.record(at(i), keys[0], i % 2 == 0);
    }
    assert!(detector.is_out(keys[0]));
}

#[test]
fn record_all_fail_alike() {
    // Symptom: an error of the service becomes an outage.
    // Sequence: every runner fails half of its requests.
    // Cause: runners were judged by a fixed rate instead of their peers'.
    let (mut detector, keys) = detector(Config::default(), 10);
    for i in 0..100 {
        keys.iter().for_each(|key| detector.record(at(i * 10), *key, i % 2 == 0));
    }
    assert!(keys.iter().all(|key| !detector.is_out(*key)));
}

#[test]
fn hint_needs_a_second() {
    let (mut detector, keys) = detector(Config::default(), 10);
    detector.hint(at(10), &name("proxy-1"), keys[0]);
    assert!(!detector.is_out(keys[0]), "one peer may be the one at fault");
    detector.hint(at(11), &name("proxy-2"), keys[0]);
    assert!(detector.is_out(keys[0]), "two agree");
    assert!(!detector.is_failing_first_hand(keys[0]), "hearsay is not passed on");
    detector.hint(at(10), &name("proxy-1"), keys[1]);
    detector.record(at(20), keys[1], false);
    detector.hint(at(30), &name("proxy-1"), keys[1]);
    assert!(detector.is_out(keys[1]), "a failure of our own agrees");
    detector.hint(at(10), &name("proxy-1"), keys[2]);
    detector.hint(at(3000), &name("proxy-2"), keys[2]);
    assert!(!detector.is_out(keys[2]), "the first has lapsed");
}

#[test]
fn hint_older_than_probation_does_not_count() {
    // Symptom: a runner that works again stays out for ever longer.
    // Sequence: it passes its probation here while it is still out at two peers.
    // Cause: their old ejections were taken as news of a new failure.
    let (mut detector, keys) = detector(Config::default(), 4);
    let tell = |detector: &mut Detector, now| {
        detector.hint(at(now), &name("proxy-1"), keys[0]);
        detector.hint(at(now), &name("proxy-2"), keys[0]);
    };
    tell(&mut detector, 1);
    let back = 1 + ejected_for(&detector, 1, keys[0]);
    (0..back).step_by(250).for_each(|now| tell(&mut detector, now + 1));
    for _ in 0..3 {
        detector.picked(at(back), keys[0]);
        detector.record(at(back), keys[0], true);
    }
    (0..40).for_each(|i| tell(&mut detector, back + i * 250));
    assert!(!detector.is_out(keys[0]));
}

/// The share of requests that a runner fails which fails everything at once,
/// with nine that work and `per_milli` requests of 20 ms a millisecond.
fn failing_share(outlier: Config, per_milli: u32) -> f64 {
    let config = router::Config::default().outlier(outlier);
    let mut router = router(config, 10);
    let bad = router.runners(&name("transfer"))[0];
    let (mut held, mut failed, mut all) = (Vec::new(), 0, 0);
    for now in 1000..4000 {
        for _ in 0..per_milli {
            let Ok(ticket) = router.pick(at(now), &name("transfer"), &[]) else { continue };
            all += 1;
            if ticket.runner() == bad {
                failed += 1;
                router.done(at(now), ticket, Attempt::Failed);
            } else {
                held.push((now + 20, ticket));
            }
        }
        let due = held.iter().take_while(|(end, _)| *end <= now).count();
        held.drain(..due).for_each(|(_, t)| router.done(at(now), t, Attempt::Answered));
    }
    f64::from(failed) / f64::from(all)
}

#[test]
fn pick_failing_fast_attracts_no_work() {
    // Symptom: one broken worker fails a large part of all requests.
    // Sequence: it fails each at once, so it is always the least loaded.
    // Cause: runners were chosen by load alone.
    let share = failing_share(Config::default().enabled(false), 3);
    assert!(share < 0.003, "{share} though others are free");
}

#[test]
fn record_failing_fast_while_others_are_full() {
    // Symptom: as above, at a load that fills every runner that works.
    // Sequence: the broken worker is the only one with free slots.
    // Cause: a low rank keeps nothing from a runner once it is the last choice.
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
    assert!(router.pick(at(2500), &name("transfer"), &[good]).is_err(), "one at a time");
    router.done(at(2510), probe, Attempt::Answered);
    assert!(router.pick(at(2511), &name("transfer"), &[good]).is_ok());
}

#[test]
fn is_failing_first_hand_though_no_more_may_be_ejected() {
    // Symptom: a wave with a bad update goes on after its second bad VM.
    // Sequence: of four runners as many as may be are ejected; another one
    // fails everything and stays in for want of a better one.
    // Cause: peers are told of ejected runners only.
    let share = Share::from_per_mille(300).unwrap();
    let (mut detector, keys) = detector(Config::default().max_share(share), 4);
    fail(&mut detector, 0, keys[0]);
    fail(&mut detector, 0, keys[1]);
    assert!(detector.is_out(keys[0]) && !detector.is_out(keys[1]));
    assert!(detector.is_failing_first_hand(keys[1]));
    detector.record(at(1), keys[1], true);
    assert!(!detector.is_failing_first_hand(keys[1]), "it answers again");
}

#[test]
fn pick_tries_a_runner_again_that_failed_last() {
    // Symptom: a wave with a bad update goes over all VMs and never halts.
    // Sequence: a runner of ten fails everything, at twenty requests a second;
    // it is passed over after its first failure.
    // Cause: what gets no more work never fails often enough to be judged.
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
    let told = router.report(at(5_000));
    assert!(told.runners.iter().any(|runner| runner.ejected), "after {failed} failures");
    assert_eq!(failed, 5, "as few as it takes");
}
