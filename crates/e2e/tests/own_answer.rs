//! `own_answer`: every caller receives the whole answer to its own request,
//! with late, crossed, truncated and missing answers.

use std::net::SocketAddr;
use std::sync::Mutex;

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{callers, http, wait};
use corianderfork_standins::history::{self, Call, Outcome};
use corianderfork_standins::load::{self, Client};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

/// A lookup is tried again long before a late answer comes, and a transfer is
/// given up before it.
const PROXY: &str = "try_timeout_ms = 250\nrequest_timeout_ms = 800\n";
/// Past both timeouts, and short of the period of usage reports.
const LATE_MS: u64 = 850;
/// Callers at once.
const CALLERS: u64 = 12;
/// Tries at backend servers that a fault has to spoil before it ends.
const SPOILT: f64 = 10.0;
/// Calls for each service at each proxy once the fault is over.
const AFTER: usize = 10;

fn start() -> System {
    System::converged(Config::new(SMALL).run_ms(10).proxy(PROXY))
}

fn proxies(system: &System) -> Vec<SocketAddr> {
    system.entries.iter().map(|entry| entry.callers()).collect()
}

/// Tries at backend servers that ended with `result`, as all proxies count.
fn tries(system: &System, result: &str) -> f64 {
    let label = format!("result=\"{result}\"");
    let counts = proxies(system).into_iter();
    counts.filter_map(|proxy| http::metric(proxy, "corianderfork_tries", &label)).sum()
}

/// Lets a crowd call while each of `faults` in turn spoils tries, then shows
/// that all is well again.
fn suffer(system: &System, seed: u64, faults: &[Value], result: &str) -> Vec<Call> {
    let mut config = load::Config::new(system.targets());
    config.attempts = 2;
    let mut calls = callers::call_while(&config, CALLERS, seed, |calls| {
        for fault in faults {
            let before = tries(system, result);
            system.behave(fault);
            wait::until(format!("{fault} to spoil tries"), || {
                // A caller that got a wrong answer has seen enough.
                let seen = tries(system, result) >= before + SPOILT || is_faulty(calls);
                seen.then_some(())
            });
        }
        system.behave(&json!({}));
    });
    if faults.iter().any(|fault| fault["late_ms"].is_u64()) {
        wait_idle(system);
    }
    calls.extend(answered_again(system, seed));
    calls
}

fn is_faulty(calls: &Mutex<Vec<Call>>) -> bool {
    let calls = calls.lock().expect("no panic");
    calls.iter().flat_map(|call| &call.attempts).any(|attempt| attempt.fault.is_some())
}

/// Waits until each runner has told of a period in which no run ended, which
/// is longer than any run.
fn wait_idle(system: &System) {
    let last = system.runs().runs.last().map_or(0, |run| run.at_ms);
    wait::until("all runs to end", || {
        let usage = http::json(system.platform(), "/usage");
        let runners = usage["usage"].as_array()?;
        let idle = |runner: &Value| {
            runner["at_ms"].as_u64() > Some(last) && runner["milli_cores"].as_u64() == Some(0)
        };
        (!runners.is_empty() && runners.iter().all(idle)).then_some(())
    });
}

/// Every call at every proxy is answered, without asking twice.
fn answered_again(system: &System, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for target in system.targets() {
        let mut config = load::Config::new(vec![target]);
        config.attempts = 1;
        let client = Client::new(config);
        for _ in 0..AFTER {
            for call in [client.lookup("lookup", &mut rng), client.transfer("transfer", &mut rng)] {
                assert_eq!((call.outcome, call.status), (Outcome::Answered, 200), "{call:?}");
                calls.push(call);
            }
        }
    }
    calls
}

fn count(calls: &[Call], outcome: Outcome) -> usize {
    calls.iter().filter(|call| call.outcome == outcome).count()
}

/// Whole and own answers alone, and enough of them to tell.
fn assert_own(system: &System, calls: &[Call]) {
    let findings = history::check(&system.runs(), calls);
    assert!(findings.is_clean(), "{findings:?}");
    assert_eq!(findings.cut, 0);
    let answered = count(calls, Outcome::Answered);
    assert!(answered > 100, "{answered} of {}", calls.len());
}

#[test]
fn own_answer_crossed_and_truncated() {
    // Symptom: a steward reads the entry of another car, or a half of it.
    // Sequence: backend servers answer with another request's id and body, or
    // close after half of the body; other callers ask at the same time.
    // Cause: what comes back on the connection is taken for the answer.
    let system = start();
    let crossed = json!({ "crossed": 6 });
    let truncated = json!({ "truncated": 6 });
    let both = json!({ "crossed": 4, "truncated": 4 });
    let mut calls = suffer(&system, 1, std::slice::from_ref(&crossed), "unknown");
    calls.extend(suffer(&system, 2, std::slice::from_ref(&truncated), "unknown"));
    calls.extend(suffer(&system, 3, &[both], "unknown"));
    calls.extend(suffer(&system, 4, &[crossed.clone(), crossed], "unknown"));
    assert_own(&system, &calls);
}

#[test]
fn own_answer_late_and_silent() {
    // Symptom: a caller gets the answer to the request before its own.
    // Sequence: an answer comes after the proxy gave the try up, or never; the
    // proxy sends the next request to the same backend server.
    // Cause: the connection of an exchange given up on goes back to the pool,
    // where the late answer waits for the next request.
    let system = start();
    let late = json!({ "late_ms": LATE_MS });
    let silent = json!({ "silent": 6 });
    let crossed = json!({ "late_ms": LATE_MS, "crossed": 6 });
    let mut calls = suffer(&system, 1, &[late.clone(), silent, crossed], "unknown");
    calls.extend(suffer(&system, 2, &[late], "unknown"));
    assert_own(&system, &calls);
    assert!(count(&calls, Outcome::Unknown) > 0, "no transfer was given up");
}

#[test]
fn own_answer_dying_and_failing() {
    // Symptom: transfers are answered that never ran, or run twice, or every
    // lookup fails long after the backend servers are well.
    // Sequence: backend servers run requests and close without an answer, then
    // answer 500 to everything at once.
    // Cause: a resend on a stale connection, or a connection that is kept after
    // its other end has closed it.
    let system = start();
    let die = json!({ "die_after_run": 6 });
    let failing = json!({ "failing": true });
    let both = json!({ "silent": 3, "die_after_run": 3 });
    let mut calls = suffer(&system, 1, std::slice::from_ref(&die), "unknown");
    calls.extend(suffer(&system, 2, &[failing], "failed"));
    calls.extend(suffer(&system, 3, &[both], "unknown"));
    calls.extend(suffer(&system, 4, &[die.clone(), die], "unknown"));
    assert_own(&system, &calls);
}
