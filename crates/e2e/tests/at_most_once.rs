//! `at_most_once`: a non-idempotent id runs at most once, even if it is retried at
//! other entry VMs, through crashes, freezes, outages and lost responses.

use std::sync::Mutex;
use std::time::Duration;

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::wait;
use corianderfork_standins::history::{self, Call, Findings, Outcome};
use corianderfork_standins::load::{self, Client, Load};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use uuid::Uuid;

/// Transfers per second during each fault.
const RATE: f64 = 60.0;

fn key(number: u64) -> Uuid {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = now.expect("after the epoch").as_millis() as u64;
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid()
}

/// Makes transfers while `fault` runs, retrying those with an unknown outcome at
/// other proxies, and then repeats all of them once.
fn transfer_during(system: &mut System, fault: impl FnOnce(&mut System)) -> (Vec<Call>, Findings) {
    let targets = system.targets();
    let mut config = load::Config::new(targets.clone());
    config.timeout = Duration::from_secs(3);
    config.attempts = targets.len();
    let load = Load {
        services: vec!["transfer".to_owned()],
        transfers: 1000,
        rate: RATE,
        length: Duration::from_secs(6),
        workers: 32,
        seed: 7,
    };
    let calls: Mutex<Vec<Call>> = Mutex::default();
    std::thread::scope(|scope| {
        let record = |call: &Call| calls.lock().expect("no panic").push(call.clone());
        let (load, config) = (&load, &config);
        let loading = scope.spawn(move || load.run(config, &record));
        fault(system);
        loading.join().expect("the load ends");
    });
    let mut calls = calls.into_inner().expect("no panic");
    let repeated = repeat_all(system, &calls);
    calls.extend(repeated);
    let findings = history::check(&system.runs(), &calls);
    (calls, findings)
}

/// Repeats each transfer once at the running proxies.
fn repeat_all(system: &System, calls: &[Call]) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut config = load::Config::new(system.targets());
    config.attempts = 1;
    let client = Client::new(config);
    let keys = calls.iter().filter_map(|call| call.key.as_ref()?.parse().ok());
    keys.map(|key: Uuid| client.transfer_with_key(key, "transfer", &mut rng)).collect()
}

fn answered(calls: &[Call]) -> usize {
    calls.iter().filter(|call| call.outcome == Outcome::Answered).count()
}

#[test]
fn at_most_once_retried_at_every_proxy() {
    // Guards against a member being billed twice: the backend server runs a transfer,
    // the response is lost and the caller retries at another entry VM with the same
    // key. This fails if each proxy remembers only the ids that it received itself.
    const CALLS: usize = 6;
    let system = System::converged(Config::new(SMALL));
    system.behave(&json!({ "die_after_run": CALLS }));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut config = load::Config::new(system.targets());
    config.attempts = 3;
    let client = Client::new(config);
    let calls: Vec<_> =
        (0..CALLS).map(|n| client.transfer_with_key(key(n as u64), "transfer", &mut rng)).collect();
    let runs = system.runs();
    let findings = history::check(&runs, &calls);
    assert!(findings.is_clean(), "{findings:?}");
    assert_eq!(runs.runs.len(), CALLS);
    for call in &calls {
        assert_eq!(call.attempts.len(), 3, "not tried at every proxy: {call:?}");
        assert_eq!(call.outcome, Outcome::Unknown, "{call:?}");
    }
}

#[test]
fn at_most_once_owner_killed() {
    // Guards against a transfer running twice after an entry VM died. The proxy that
    // owns a shard of claims is killed with claims in flight, callers retry elsewhere
    // and another proxy takes over. Claims granted before they are written would be
    // lost with their owner.
    let mut system = System::converged(Config::new(SMALL).entries(4));
    let (calls, findings) = transfer_during(&mut system, |system| {
        wait::until("some transfers to run", || (system.runs().runs.len() > 30).then_some(()));
        system.entries[0].proxy = None;
        wait::until("more transfers to run", || (system.runs().runs.len() > 120).then_some(()));
        system.entries[1].proxy = None;
    });
    assert!(findings.is_clean(), "{findings:?}");
    assert!(answered(&calls) > 100, "{}", answered(&calls));
}

#[test]
fn at_most_once_owner_frozen_past_its_lease() {
    // Guards against two owners of a shard granting the same id. The owner is frozen
    // past its lease, another takes over and grants claims, then the first resumes with
    // claims in flight and must not write to its journal any more.
    let mut system = System::converged(Config::new(SMALL).entries(4));
    let (calls, findings) = transfer_during(&mut system, |system| {
        wait::until("some transfers to run", || (system.runs().runs.len() > 30).then_some(()));
        let proxy = system.entries[0].proxy.as_ref().expect("runs");
        proxy.stop().expect("freezes");
        let before = system.runs().runs.len();
        wait::until("transfers to run without the frozen proxy", || {
            (system.runs().runs.len() > before + 60).then_some(())
        });
        proxy.cont().expect("resumes");
    });
    assert!(findings.is_clean(), "{findings:?}");
    assert!(answered(&calls) > 100, "{}", answered(&calls));
}

#[test]
fn at_most_once_store_down_and_answers_lost() {
    // Guards against a transfer that runs twice or is refused forever after an outage.
    // The store loses the responses to applied writes, goes down, loses responses again
    // and comes back. A write without a response must not count as failed.
    let mut system = System::converged(Config::new(SMALL));
    let (calls, findings) = transfer_during(&mut system, |system| {
        system.platform_fault(&json!({ "lose_answers": 5, "lose_prefix": "claim/" }));
        wait::until("transfers to run", || (system.runs().runs.len() > 60).then_some(()));
        system.store_down(true);
        wait::until("a transfer to be refused", || is_refused(system).then_some(()));
        system.platform_fault(&json!({ "lose_answers": 5, "lose_prefix": "claim/" }));
        system.store_down(false);
    });
    assert!(findings.is_clean(), "{findings:?}");
    assert!(answered(&calls) > 60, "{}", answered(&calls));
}

/// Returns whether a transfer is refused as not run.
fn is_refused(system: &System) -> bool {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut config = load::Config::new(system.targets());
    config.attempts = 1;
    Client::new(config).transfer("transfer", &mut rng).outcome == Outcome::NotRun
}
