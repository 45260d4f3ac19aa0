//! Tests of a runner's limits, refusals and misbehaviour.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::thread;

use corianderfork_standins::answer;
use corianderfork_standins::behaviour::Behaviour;
use corianderfork_standins::history::Fault;
use corianderfork_standins::ledger::Ledger;
use corianderfork_standins::runner::{Config, Handle};
use support::{Http, eventually};

fn start(config: Config) -> (Handle, Http, Arc<Ledger>) {
    let ledger = Arc::new(Ledger::default());
    let config = Config { warm_ms: 0, linger_ms: 0, ..config };
    let handle = Handle::start("vm1", "lookup", &config, ledger.clone()).unwrap();
    let http = Http::new(handle.address());
    (handle, http, ledger)
}

#[test]
fn run_slots_and_queue() {
    // Callers don't see each other's requests. A request beyond a runner's slots and
    // queue has to be refused instead of waiting.
    let config = Config { slots: 2, queue: 1, run_ms: 0.0, ..Config::default() };
    let (handle, http, ledger) = start(config);
    handle.behave(Behaviour { late_ms: 3000, ..Behaviour::default() });
    thread::scope(|scope| {
        let runs: Vec<_> =
            (0..3).map(|_| scope.spawn(|| http.run("/lookup/x", "r").unwrap().0)).collect();
        eventually("three requests in flight", || (handle.status().in_flight == 3).then_some(()));
        handle.behave(Behaviour::default());
        let (status, reason, ..) = http.run("/lookup/x", "late").unwrap();
        assert_eq!((status, reason.as_str()), (503, "busy"));
        assert!(runs.into_iter().all(|run| run.join().unwrap() == 200));
    });
    let runs = ledger.runs();
    assert_eq!((runs.runs.len(), runs.max_in_flight, runs.refused.busy), (3, 3, 1));
    assert!(runs.runs.iter().all(|run| run.id != "late"));
}

#[test]
fn connections_over_limit_closed() {
    let (handle, _, _) = start(Config { connections: 1, run_ms: 0.0, ..Config::default() });
    let first = Http::new(handle.address());
    assert!(first.run("/lookup/x", "a").is_some());
    assert!(Http::new(handle.address()).run("/lookup/x", "b").is_none());
    assert!(first.run("/lookup/x", "c").is_some());
    assert_eq!(handle.status().refused_connections, 1);
}

#[test]
fn run_other_service_refused() {
    let (_handle, http, ledger) = start(Config::default());
    let (status, reason, ..) = http.run("/transfer/x", "a").unwrap();
    assert_eq!((status, reason.as_str()), (421, "not-here"));
    assert!(ledger.runs().runs.is_empty());
}

#[test]
fn leave_completes_in_flight() {
    let (handle, http, ledger) = start(Config { run_ms: 0.0, ..Config::default() });
    handle.behave(Behaviour { late_ms: 500, ..Behaviour::default() });
    thread::scope(|scope| {
        let run = scope.spawn(|| http.run("/lookup/x", "a").unwrap().0);
        eventually("the request to run", || (handle.status().in_flight == 1).then_some(()));
        handle.leave();
        assert!(!handle.try_close());
        assert_eq!(http.run("/lookup/x", "b").unwrap().1, "leaving");
        assert_eq!(run.join().unwrap(), 200);
    });
    eventually("the runner to close", || handle.try_close().then_some(()));
    assert!(http.run("/lookup/x", "c").is_none());
    assert_eq!(ledger.runs().cut, 0);
}

#[test]
fn cut_counts_in_flight() {
    let (handle, http, ledger) = start(Config { run_ms: 0.0, ..Config::default() });
    handle.behave(Behaviour { late_ms: 500, ..Behaviour::default() });
    thread::scope(|scope| {
        let run = scope.spawn(|| http.run("/lookup/x", "a"));
        eventually("the request to run", || (handle.status().in_flight == 1).then_some(()));
        handle.cut();
        assert_eq!(run.join().unwrap(), None);
    });
    assert_eq!(ledger.runs().cut, 1);
}

#[test]
fn behave_affects_one_response_each() {
    // Each misbehaviour affects one response, in a fixed order, and each request runs
    // nevertheless.
    let (handle, http, ledger) = start(Config { run_ms: 0.0, ..Config::default() });
    let (die_after_run, truncated, crossed) = (1, 1, 1);
    handle.behave(Behaviour { die_after_run, truncated, crossed, ..Behaviour::default() });
    assert_eq!(http.run("/lookup/x", "a"), None);
    assert_eq!(http.run("/lookup/x", "b"), None);
    let (status, _, id, body) = http.run("/lookup/x", "c").unwrap();
    assert_eq!((status, id.as_str()), (200, "b"));
    assert_eq!(answer::check("c", "lookup", b"", &body), Some(Fault::Crossed));
    let (_, _, id, body) = http.run("/lookup/x", "d").unwrap();
    assert_eq!((id.as_str(), answer::check("d", "lookup", b"", &body)), ("d", None));
    handle.behave(Behaviour { failing: true, ..Behaviour::default() });
    assert_eq!(http.run("/lookup/x", "e").unwrap().0, 500);
    assert_eq!(ledger.runs().runs.len(), 5);
}
