//! `not_run`: a request that is refused as not run has not run, on every path that
//! refuses requests, and the refusal comes at once.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use corianderfork_e2e::callers::{self, CallResult};
use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, wait};
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Phase, Vm};
use corianderfork_provider::store::{Expect, Store};
use corianderfork_standins::connections::Connections;
use corianderfork_standins::history::{self, Call, Outcome};
use corianderfork_standins::http::{Reply, Request, Response, Server, Service};
use serde_json::json;
use uuid::Uuid;

/// Settings with a request timeout far longer than any refusal takes.
const PROXY: &str = "request_timeout_ms = 20000\nisolation_limit_ms = 2000\nstop_grace_ms = 0\n\
                     queue = 8\nmax_body_bytes = 2000\n";
/// The time limit of a refusal on a busy machine, half of the request timeout.
const AT_ONCE: Duration = Duration::from_secs(10);
/// The number of requests of each kind.
const REQUESTS: usize = 6;

fn start(entries: usize) -> System {
    System::converged(Config::new(SMALL).entries(entries).proxy(PROXY))
}

fn proxies(system: &System) -> Vec<SocketAddr> {
    system.entries.iter().filter(|e| e.proxy.is_some()).map(|entry| entry.callers()).collect()
}

fn new_key(number: usize) -> Uuid {
    callers::key(number as u64, Duration::ZERO)
}

/// Makes a lookup and then a transfer at a proxy.
fn call_both(target: SocketAddr, name: &str, number: usize) -> [CallResult; 2] {
    let id = |kind: &str| format!("{name}-{kind}-{number}");
    [
        callers::lookup(target, "lookup", &id("l")),
        callers::transfer(target, "transfer", &id("t"), new_key(number)),
    ]
}

/// Calls a proxy until a lookup and a transfer are both refused for one of `reasons`.
/// Returns all results on the way.
fn until_refused(target: SocketAddr, name: &str, reasons: &[&str]) -> Vec<CallResult> {
    let mut all = Vec::new();
    wait::until(format!("refusals for {reasons:?}"), || {
        let results = call_both(target, name, all.len());
        let is_refused = results.iter().all(|result| {
            result.outcome == Outcome::NotRun
                && reasons.iter().any(|reason| result.text.contains(reason))
        });
        all.extend(results);
        is_refused.then_some(())
    });
    all
}

/// Asserts that every refusal came at once with a time to retry, and that no request
/// refused as not run has run.
fn assert_refusals_hold(system: &System, results: &[CallResult]) {
    let calls: Vec<Call> = results.iter().map(CallResult::to_call).collect();
    let findings = history::check(&system.runs(), &calls);
    assert!(findings.is_clean(), "{findings:?}");
    for result in results.iter().filter(|result| result.outcome == Outcome::NotRun) {
        assert!(result.took < AT_ONCE, "{result:?}");
        assert_eq!(result.status, 503, "{result:?}");
        assert!(result.retry_after.is_some_and(|seconds| seconds >= 1), "{result:?}");
    }
}

fn count_not_run(results: &[CallResult]) -> usize {
    results.iter().filter(|result| result.outcome == Outcome::NotRun).count()
}

/// Waits until every shard of claims has an owner.
fn wait_claims(target: SocketAddr) {
    const KEYS: usize = 32;
    for number in 0..KEYS {
        wait::until("a transfer to be answered", || {
            let id = format!("first-{number}");
            let result = callers::transfer(target, "transfer", &id, new_key(number));
            (result.outcome == Outcome::Answered).then_some(())
        });
    }
}

/// Stops all controllers, so that only the test writes records.
fn stop_controllers(system: &mut System) {
    for entry in &mut system.entries {
        entry.controller = None;
    }
}

/// Changes the record of every VM.
fn change_records(system: &System, change: impl Fn(&mut Vm)) {
    for (name, _) in system.vms() {
        let (mut vm, revision) = system.vm(&name).expect("a record");
        change(&mut vm);
        let key = key::vm(&Name::new(&name).expect("a name"));
        let value = serde_json::to_string(&vm).expect("JSON");
        system.store().put(&key, &value, Expect::Revision(revision), None).expect("written");
    }
}

#[test]
fn not_run_busy() {
    // Guards against a refused transfer that runs later, and against a caller that waits
    // for its deadline to learn that there is no capacity. Three times as many requests as
    // there are slots arrive at once through three proxies and fill slots, shares and
    // queues. A refused request must not stay in a queue.
    const CALLERS: usize = 150;
    let system = start(3);
    system.behave(&json!({ "late_ms": 1500 }));
    let targets = proxies(&system);
    let results: Vec<CallResult> = std::thread::scope(|scope| {
        let call = |number: usize| call_both(targets[number % targets.len()], "busy", number);
        let calls: Vec<_> = (0..CALLERS).map(|number| scope.spawn(move || call(number))).collect();
        calls.into_iter().flat_map(|call| call.join().expect("no panic")).collect()
    });
    assert_refusals_hold(&system, &results);
    assert!(count_not_run(&results) > 10, "{}", count_not_run(&results));
    assert!(results.iter().any(|result| result.outcome == Outcome::Answered));
}

#[test]
fn not_run_no_runner_serves() {
    // All VMs of the pool begin to drain. A request must not wait for a slot that can't
    // become free.
    let mut system = start(1);
    stop_controllers(&mut system);
    change_records(&system, |vm| {
        vm.phase = Phase::Draining;
        vm.epoch += 1;
    });
    let target = proxies(&system)[0];
    let results = until_refused(target, "drain", &["starting or leaving"]);
    assert_refusals_hold(&system, &results);
}

#[test]
fn not_run_backend_server_refuses() {
    // The platform stops every task though the records still list them: backend servers
    // refuse requests as leaving, then close their ports. A refusal must not count as an
    // answer, nor as a failure after which the request may have run.
    let mut system = start(1);
    stop_controllers(&mut system);
    let target = proxies(&system)[0];
    for (vm, record) in system.vms() {
        for runner in record.runners {
            let task = json!({ "vm": vm, "service": runner.service.as_str() });
            http::post(system.platform(), "/tasks/stop", &task);
        }
    }
    let refusals = ["starting or leaving", "fails or was tried", "slot is in use"];
    let results = until_refused(target, "leaving", &refusals);
    assert!(system.runs().refused.leaving > 0);
    assert_refusals_hold(&system, &results);
}

#[test]
fn not_run_service_is_not_here() {
    // Ports are reused, so that the addresses in the records belong to another service's
    // copies. Their refusal "not here" must not count as an answer.
    let mut system = start(1);
    stop_controllers(&mut system);
    change_records(&system, |vm| {
        let other = |name: &Name| if name.as_str() == "lookup" { "transfer" } else { "lookup" };
        for runner in &mut vm.runners {
            runner.service = Name::new(other(&runner.service)).expect("a name");
        }
    });
    let target = proxies(&system)[0];
    let refusals = ["starting or leaving", "fails or was tried", "no runner"];
    let results = until_refused(target, "here", &refusals);
    assert!(system.runs().refused.not_here > 0);
    assert_refusals_hold(&system, &results);
}

#[test]
fn not_run_rebooted_without_warning() {
    // Guards against a transfer in flight being reported as not run when its VM goes down.
    // Requests run at every VM when all VMs reboot without a drain, which cuts off the
    // requests and refuses new connections. A reset after a byte was sent must not count as
    // a refused connection.
    let mut system = start(1);
    stop_controllers(&mut system);
    let target = proxies(&system)[0];
    wait_claims(target);
    let before = system.runs().runs.len();
    system.behave(&json!({ "late_ms": 15_000 }));
    let vms: Vec<String> = system.vms().into_iter().map(|(name, _)| name).collect();
    let (cut, refused) = std::thread::scope(|scope| {
        let call = |number| move || call_both_concurrently(target, "cut", number);
        let calls: Vec<_> = (0..REQUESTS).map(|number| scope.spawn(call(number))).collect();
        wait::until("all requests to run", || {
            (system.runs().runs.len() >= before + 2 * REQUESTS).then_some(())
        });
        for vm in &vms {
            http::post(system.platform(), "/vms/reboot", &json!({ "vm": vm }));
        }
        let cut = calls.into_iter().flat_map(|call| call.join().expect("no panic"));
        let cut: Vec<CallResult> = cut.collect();
        (cut, until_refused(target, "reboot", &["fails or was tried"]))
    });
    for result in &cut {
        assert_eq!(result.outcome, Outcome::Unknown, "{result:?}");
    }
    assert!(system.runs().cut > 0);
    let not_sent = http::metric(target, "corianderfork_tries", "not-sent");
    assert!(not_sent.is_some_and(|count| count > 0.0));
    assert_refusals_hold(&system, &[cut, refused].concat());
}

/// Like [`call_both`], but makes the calls concurrently.
fn call_both_concurrently(target: SocketAddr, name: &str, number: usize) -> [CallResult; 2] {
    std::thread::scope(|scope| {
        let [l, t] = ["l", "t"].map(|kind| format!("{name}-{kind}-{number}"));
        let lookup = scope.spawn(move || callers::lookup(target, "lookup", &l));
        let transfer = callers::transfer(target, "transfer", &t, new_key(number));
        [lookup.join().expect("no panic"), transfer]
    })
}

#[test]
fn not_run_claims_unavailable() {
    // Guards against transfers that hang during an outage of the store, or that run although
    // they were refused and run again on a retry. Callers make transfers at every proxy
    // while the store is down, and retry with the same keys once it is back. A request must
    // not be sent before its claim is written.
    let system = start(3);
    system.store_down(true);
    let mut all = Vec::new();
    for number in 0..REQUESTS {
        let target = proxies(&system)[number % 3];
        let results = call_both(target, "claim", number);
        assert_eq!(results[0].outcome, Outcome::Answered, "{results:?}");
        assert_eq!(results[1].outcome, Outcome::NotRun, "{results:?}");
        all.extend(results);
    }
    system.store_down(false);
    let keys: Vec<Uuid> = all.iter().filter_map(|result| result.key).collect();
    for (number, key) in keys.into_iter().enumerate() {
        wait::until("the transfer to run", || {
            let id = format!("claim-again-{}", all.len());
            let result = callers::transfer(proxies(&system)[number % 3], "transfer", &id, key);
            all.push(result.clone());
            (result.outcome == Outcome::Answered).then_some(())
        });
    }
    assert_refusals_hold(&system, &all);
}

#[test]
fn not_run_isolated() {
    // Guards against an isolated proxy that serves for days by outdated records. The store
    // is down and all other processes are gone, so the age of the proxy's view has to be
    // limited.
    let mut system = start(2);
    stop_controllers(&mut system);
    system.entries[1].proxy = None;
    system.store_down(true);
    let results = until_refused(proxies(&system)[0], "cut-off", &["cut off"]);
    assert_refusals_hold(&system, &results);
}

#[test]
fn not_run_stopping() {
    // A proxy is stopped while a lookup is in flight, and callers send it more requests
    // until it has exited. The lookup has to be answered, and each later request has to be
    // refused and not run.
    let system = start(1);
    let target = proxies(&system)[0];
    system.behave(&json!({ "late_ms": 3000 }));
    let results = std::thread::scope(|scope| {
        let slow = scope.spawn(|| callers::lookup(target, "lookup", "slow"));
        wait::until("the slow lookup to run", || {
            system.runs().runs.iter().find(|r| r.id == "slow").map(drop)
        });
        system.behave(&json!({}));
        system.entries[0].proxy.as_ref().expect("runs").term().expect("signalled");
        let mut results = until_refused(target, "stop", &["stopping"]);
        let slow = slow.join().expect("no panic");
        assert_eq!(slow.outcome, Outcome::Answered, "{slow:?}");
        results.push(slow);
        results
    });
    assert_refusals_hold(&system, &results);
}

#[test]
fn not_run_never_reported_if_it_may_have_run() {
    // Guards against a caller that gets "not run" for a transfer that ran and retries it: the
    // transfer runs twice, and one car has two registered owners. Backend servers run
    // requests and then send no response, close the connection, or send a truncated or another
    // request's response. Later tries find no runner left. A timeout, a reset or an invalid
    // response must not count as a refusal, and a later try must not override one that may
    // have run.
    let lines = "try_timeout_ms = 200\nrequest_timeout_ms = 1500\n";
    let system = System::converged(Config::new(SMALL).entries(1).proxy(lines));
    let target = proxies(&system)[0];
    wait_claims(target);
    let mut all = Vec::new();
    for fault in ["silent", "die_after_run", "truncated", "crossed"] {
        system.behave(&json!({ fault: 1000 }));
        let results: Vec<CallResult> = std::thread::scope(|scope| {
            let call = |number| move || call_both_concurrently(target, fault, number);
            let calls: Vec<_> = (0..REQUESTS).map(|number| scope.spawn(call(number))).collect();
            calls.into_iter().flat_map(|call| call.join().expect("no panic")).collect()
        });
        let runs = system.runs();
        for result in &results {
            let ran = runs.runs.iter().any(|run| run.id == result.id);
            let expected = if ran { Outcome::Unknown } else { Outcome::NotRun };
            assert_eq!(result.outcome, expected, "{fault}: {result:?}");
        }
        assert!(count_not_run(&results) < results.len(), "{fault}: nothing ran");
        all.extend(results);
    }
    assert_refusals_hold(&system, &all);
}

/// A backend server that runs every request and then responds like a refusal, but
/// without a valid promise that the request was not run.
#[derive(Debug, Default)]
struct RunThenRefuse {
    ran: Mutex<Vec<String>>,
}

impl Service for RunThenRefuse {
    fn call(&self, request: &Request) -> Reply {
        let id = request.header("request-id").expect("an id").to_owned();
        let mut ran = self.ran.lock().expect("no panic");
        ran.push(id.clone());
        let not_run = ("Not-Run", "busy".to_owned());
        let (status, promise) = match ran.len() % 4 {
            0 => (500, vec![not_run]),
            1 => (429, vec![not_run]),
            2 => (421, Vec::new()),
            _ => (503, Vec::new()),
        };
        let headers = [vec![("Request-Id", id)], promise].concat();
        Reply::Whole(Response { status, headers, body: b"later\n".to_vec() })
    }
}

#[test]
fn not_run_requires_a_promise() {
    // Guards against a transfer that failed half way being reported as not run and repeated
    // from the start. The backend server responds 503 or 421 without the `Not-Run` header,
    // or sends the header with a status that makes no promise. Neither the status nor the
    // header alone is the promise.
    let mut system = start(1);
    stop_controllers(&mut system);
    let service = Arc::new(RunThenRefuse::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let connections = Arc::new(Connections::default());
    let server = Server::start(listener, 64, connections, service.clone()).expect("starts");
    let address = server.address();
    change_records(&system, |vm| vm.runners.iter_mut().for_each(|runner| runner.address = address));
    let target = proxies(&system)[0];
    let mut all = Vec::new();
    wait::until("every kind of response to arrive", || {
        all.extend(call_both(target, "promise", all.len()));
        (service.ran.lock().expect("no panic").len() >= 8 * REQUESTS).then_some(())
    });
    let ran = service.ran.lock().expect("no panic");
    for result in &all {
        let is_not_run = result.outcome == Outcome::NotRun;
        assert!(!(is_not_run && ran.contains(&result.id)), "{result:?}");
    }
    let answered = all.iter().filter(|result| result.outcome == Outcome::Answered).count();
    assert!(answered >= REQUESTS, "{answered}");
}

#[test]
fn not_run_not_reported_after_reset() {
    // Guards against a transfer that a backend server had begun being reported as not run.
    // The backend server reads a part of the request and closes with the rest unread, so
    // that its kernel sends a reset. A reset must not count as a connection that was never
    // opened.
    let mut system = start(1);
    let target = proxies(&system)[0];
    wait_claims(target);
    stop_controllers(&mut system);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, begun) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if stream.read_exact(&mut [0]).is_ok() && sender.send(()).is_err() {
                return;
            }
        }
    });
    // Drains first, since a VM that serves again does so at the new address.
    change_records(&system, |vm| {
        vm.phase = Phase::Draining;
        vm.epoch += 1;
        vm.runners.iter_mut().for_each(|runner| runner.address = address);
    });
    until_refused(target, "drained", &["starting or leaving"]);
    change_records(&system, |vm| vm.phase = Phase::Serving);
    wait::until("the backend server to be reached", || {
        callers::lookup(target, "lookup", "known");
        begun.try_recv().ok()
    });
    let before = system.runs().runs.len();
    for number in 0..REQUESTS {
        for result in call_both(target, "reset", number + REQUESTS) {
            assert_eq!(result.outcome, Outcome::Unknown, "{result:?}");
        }
    }
    assert_eq!(system.runs().runs.len(), before, "requests reached the old addresses");
    assert!(begun.try_iter().count() >= 2 * REQUESTS);
}

#[test]
fn not_run_bad_requests() {
    // Invalid requests must neither crash the proxy nor reach a backend server.
    let system = start(1);
    let target = proxies(&system)[0];
    let long_id = "r".repeat(65);
    let (long, body) = ("x".repeat(40_000), "x".repeat(3000));
    let future = callers::key_at(1, since_epoch() + Duration::from_secs(120));
    let id = "Request-Id: bad-1\r\nConnection: close\r\n";
    let post = "POST /transfer/run HTTP/1.1";
    let key = new_key(1);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        ("GET\r\n\r\n".to_owned(), 400),
        ("GET /lookup/run HTTP/1.1\r\nbroken\r\n\r\n".to_owned(), 400),
        (format!("GET /lookup/run HTTP/1.1\r\n{id}X: {long}\r\n\r\n"), 431),
        ("GET /lookup/run HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(), 400),
        (lookup_with_id(&long_id), 400),
        (lookup_with_id("bad id"), 400),
        (lookup_with_id(""), 400),
        (format!("GET /nobody/run HTTP/1.1\r\n{id}\r\n"), 404),
        (format!("{post}\r\n{id}Idempotency-Key: 7\r\nContent-Length: 0\r\n\r\n"), 400),
        (format!("{post}\r\n{id}Idempotency-Key: {}\r\n\r\n", Uuid::from_u128(4 << 76)), 400),
        (format!("{post}\r\n{id}Idempotency-Key: {future}\r\n\r\n"), 400),
        (format!("{post}\r\n{id}{id}Idempotency-Key: {key}\r\n\r\n"), 400),
        (
            format!("{post}\r\n{id}Idempotency-Key: {key}\r\nContent-Length: 3000\r\n\r\n{body}"),
            413,
        ),
    ];
    for (request, status) in &cases {
        let result = callers::send_raw(target, "lookup", "bad-1", None, request);
        let excerpt: String = request.chars().take(200).collect();
        assert_eq!(result.status, *status, "{excerpt}: {result:?}");
        assert!(result.took < AT_ONCE, "{excerpt}: {result:?}");
        // The HTTP library responds to input that is not HTTP, without an outcome.
        let is_http = request.contains("HTTP/1.1\r\n") && !request.contains("broken");
        assert!(!is_http || result.outcome == Outcome::NotRun, "{excerpt}: {result:?}");
    }
    let [lookup, transfer] = call_both(target, "alive", 2);
    assert_eq!(lookup.outcome, Outcome::Answered, "{lookup:?}");
    assert_eq!(transfer.outcome, Outcome::Answered, "{transfer:?}");
    let ran: Vec<String> = system.runs().runs.into_iter().map(|run| run.id).collect();
    assert_eq!(ran, [lookup.id, transfer.id]);
}

fn lookup_with_id(id: &str) -> String {
    format!("GET /lookup/run HTTP/1.1\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n")
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch")
}

#[test]
fn not_run_not_reported_for_forgotten_id() {
    // Guards against a transfer of last week being billed again. A caller retries with a key
    // that is older than keys are remembered. Such a key must neither count as new nor have
    // a known outcome.
    let system = start(1);
    let target = proxies(&system)[0];
    for (number, minutes) in [15, 16, 60, 24 * 60].into_iter().enumerate() {
        let key = callers::key(number as u64, Duration::from_secs(minutes * 60));
        let result = callers::transfer(target, "transfer", &format!("old-{number}"), key);
        assert_eq!((result.outcome, result.status), (Outcome::Unknown, 410), "{result:?}");
        assert!(result.took < AT_ONCE, "{result:?}");
    }
    assert!(system.runs().runs.is_empty());
}
