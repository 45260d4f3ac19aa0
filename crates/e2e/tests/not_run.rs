//! `not_run`: told not run means not run, over every path that says so, and at
//! once.

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

/// A request's deadline: far beyond what any refusal takes.
const PROXY: &str = "request_timeout_ms = 20000\nisolation_limit_ms = 2000\nstop_grace_ms = 0\n\
                     queue = 8\nmax_body_bytes = 2000\n";
/// What "at once" may take on a busy machine: half of the deadline.
const AT_ONCE: Duration = Duration::from_secs(10);
/// Requests of one kind.
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

/// A lookup and a transfer at a proxy.
fn both(target: SocketAddr, name: &str, number: usize) -> [CallResult; 2] {
    let id = |kind: &str| format!("{name}-{kind}-{number}");
    [
        callers::lookup(target, "lookup", &id("l")),
        callers::transfer(target, "transfer", &id("t"), new_key(number)),
    ]
}

/// Asks at a proxy until a lookup and a transfer are both refused as
/// `reasons` say; gives all that was told on the way.
fn until_refused(target: SocketAddr, name: &str, reasons: &[&str]) -> Vec<CallResult> {
    let mut all = Vec::new();
    wait::until(format!("refusals for {reasons:?}"), || {
        let told = both(target, name, all.len());
        let refused = told.iter().all(|told| {
            told.outcome == Outcome::NotRun && reasons.iter().any(|why| told.text.contains(why))
        });
        all.extend(told);
        refused.then_some(())
    });
    all
}

/// Compares what was told with what ran. Every refusal came at once and says
/// when to come back; nothing that was told not run has run.
fn assert_honest(system: &System, told: &[CallResult]) {
    let calls: Vec<Call> = told.iter().map(CallResult::to_call).collect();
    let findings = history::check(&system.runs(), &calls);
    assert!(findings.is_clean(), "{findings:?}");
    for told in told.iter().filter(|told| told.outcome == Outcome::NotRun) {
        assert!(told.took < AT_ONCE, "{told:?}");
        assert_eq!(told.status, 503, "{told:?}");
        assert!(told.retry_after.is_some_and(|seconds| seconds >= 1), "{told:?}");
    }
}

fn not_run(told: &[CallResult]) -> usize {
    told.iter().filter(|told| told.outcome == Outcome::NotRun).count()
}

/// Waits until every shard of claims has an owner.
fn wait_claims(target: SocketAddr) {
    const KEYS: usize = 32;
    for number in 0..KEYS {
        wait::until("a transfer to be answered", || {
            let id = format!("first-{number}");
            let told = callers::transfer(target, "transfer", &id, new_key(number));
            (told.outcome == Outcome::Answered).then_some(())
        });
    }
}

/// Nobody but the test writes records from here on.
fn without_controllers(system: &mut System) {
    for entry in &mut system.entries {
        entry.controller = None;
    }
}

/// Rewrites the record of every VM.
fn rewrite(system: &System, change: impl Fn(&mut Vm)) {
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
    // Symptom: a transfer that was refused runs all the same, or a caller waits
    // for its deadline to be told that there is no room.
    // Sequence: three times as many requests as there are slots come at once
    // through three proxies; slots, shares and queues fill up.
    // Cause: a request that waits is forgotten when its caller is refused, and
    // is sent later.
    const CALLERS: usize = 150;
    let system = start(3);
    system.behave(&json!({ "late_ms": 1500 }));
    let targets = proxies(&system);
    let told: Vec<CallResult> = std::thread::scope(|scope| {
        let ask = |number: usize| both(targets[number % targets.len()], "busy", number);
        let asking: Vec<_> = (0..CALLERS).map(|number| scope.spawn(move || ask(number))).collect();
        asking.into_iter().flat_map(|asked| asked.join().expect("no panic")).collect()
    });
    assert_honest(&system, &told);
    assert!(not_run(&told) > 10, "{}", not_run(&told));
    assert!(told.iter().any(|told| told.outcome == Outcome::Answered));
}

#[test]
fn not_run_no_runner_serves() {
    // Symptom: requests hang while every copy of a service leaves.
    // Sequence: all VMs of the pool begin to drain.
    // Cause: a request waits for a slot that cannot come.
    let mut system = start(1);
    without_controllers(&mut system);
    rewrite(&system, |vm| {
        vm.phase = Phase::Draining;
        vm.epoch += 1;
    });
    let target = proxies(&system)[0];
    let told = until_refused(target, "drain", &["starting or leaving"]);
    assert_honest(&system, &told);
}

#[test]
fn not_run_backend_server_refuses() {
    // Symptom: a refused transfer runs, or is refused only at its deadline.
    // Sequence: the platform stops every task though the records still list
    // them: backend servers refuse as leaving, then their ports are closed.
    // Cause: a refusal is taken for an answer, or for a failure that may have
    // run.
    let mut system = start(1);
    without_controllers(&mut system);
    let target = proxies(&system)[0];
    for (vm, record) in system.vms() {
        for runner in record.runners {
            let task = json!({ "vm": vm, "service": runner.service.as_str() });
            http::post(system.platform(), "/tasks/stop", &task);
        }
    }
    let refusals = ["starting or leaving", "fails or was tried", "slot is in use"];
    let told = until_refused(target, "leaving", &refusals);
    assert!(system.runs().refused.leaving > 0);
    assert_honest(&system, &told);
}

#[test]
fn not_run_service_is_not_here() {
    // Symptom: a transfer runs at a backend server of another service.
    // Sequence: ports are reused, so that the addresses in the records belong
    // to another service's copies.
    // Cause: the refusal "not here" is taken for an answer.
    let mut system = start(1);
    without_controllers(&mut system);
    rewrite(&system, |vm| {
        let other = |name: &Name| if name.as_str() == "lookup" { "transfer" } else { "lookup" };
        for runner in &mut vm.runners {
            runner.service = Name::new(other(&runner.service)).expect("a name");
        }
    });
    let target = proxies(&system)[0];
    let refusals = ["starting or leaving", "fails or was tried", "no runner"];
    let told = until_refused(target, "here", &refusals);
    assert!(system.runs().refused.not_here > 0);
    assert_honest(&system, &told);
}

#[test]
fn not_run_rebooted_without_warning() {
    // Symptom: a transfer in flight at a VM that went down is told "not run".
    // Sequence: requests run at every VM; all VMs reboot without a drain; what
    // runs is cut off, and new connections are refused.
    // Cause: a reset after a byte was sent is taken for a connection refused.
    let mut system = start(1);
    without_controllers(&mut system);
    let target = proxies(&system)[0];
    wait_claims(target);
    let before = system.runs().runs.len();
    system.behave(&json!({ "late_ms": 15_000 }));
    let vms: Vec<String> = system.vms().into_iter().map(|(name, _)| name).collect();
    let (cut, refused) = std::thread::scope(|scope| {
        let ask = |number| move || both_at_once(target, "cut", number);
        let asking: Vec<_> = (0..REQUESTS).map(|number| scope.spawn(ask(number))).collect();
        wait::until("all to run", || {
            (system.runs().runs.len() >= before + 2 * REQUESTS).then_some(())
        });
        for vm in &vms {
            http::post(system.platform(), "/vms/reboot", &json!({ "vm": vm }));
        }
        let cut = asking.into_iter().flat_map(|asked| asked.join().expect("no panic"));
        let cut: Vec<CallResult> = cut.collect();
        (cut, until_refused(target, "reboot", &["fails or was tried"]))
    });
    for told in &cut {
        assert_eq!(told.outcome, Outcome::Unknown, "{told:?}");
    }
    assert!(system.runs().cut > 0);
    let not_sent = http::metric(target, "corianderfork_tries", "not-sent");
    assert!(not_sent.is_some_and(|count| count > 0.0));
    assert_honest(&system, &[cut, refused].concat());
}

/// Like [`both`], the two at the same time.
fn both_at_once(target: SocketAddr, name: &str, number: usize) -> [CallResult; 2] {
    std::thread::scope(|scope| {
        let [l, t] = ["l", "t"].map(|kind| format!("{name}-{kind}-{number}"));
        let lookup = scope.spawn(move || callers::lookup(target, "lookup", &l));
        let transfer = callers::transfer(target, "transfer", &t, new_key(number));
        [lookup.join().expect("no panic"), transfer]
    })
}

#[test]
fn not_run_claims_unavailable() {
    // Symptom: transfers hang through an outage of the store; or one that was
    // refused had run, and its repetition runs it again.
    // Sequence: the store is down; callers ask for transfers at every proxy,
    // and again with the same keys once the store is back.
    // Cause: a request is sent before its claim is written.
    let system = start(3);
    system.store_down(true);
    let mut all = Vec::new();
    for number in 0..REQUESTS {
        let target = proxies(&system)[number % 3];
        let told = both(target, "claim", number);
        assert_eq!(told[0].outcome, Outcome::Answered, "{told:?}");
        assert_eq!(told[1].outcome, Outcome::NotRun, "{told:?}");
        all.extend(told);
    }
    system.store_down(false);
    let keys: Vec<Uuid> = all.iter().filter_map(|told| told.key).collect();
    for (number, key) in keys.into_iter().enumerate() {
        wait::until("the transfer to run", || {
            let id = format!("claim-again-{}", all.len());
            let told = callers::transfer(proxies(&system)[number % 3], "transfer", &id, key);
            all.push(told.clone());
            (told.outcome == Outcome::Answered).then_some(())
        });
    }
    assert_honest(&system, &all);
}

#[test]
fn not_run_isolated() {
    // Symptom: a proxy that is cut off works on for days by old records.
    // Sequence: the store is down and all other processes are gone.
    // Cause: nothing says how old a view may be.
    let mut system = start(2);
    without_controllers(&mut system);
    system.entries[1].proxy = None;
    system.store_down(true);
    let told = until_refused(proxies(&system)[0], "cut-off", &["cut off"]);
    assert_honest(&system, &told);
}

#[test]
fn not_run_stopping() {
    // Symptom: a request that a stopping proxy refused runs, or is cut off.
    // Sequence: a proxy is stopped while a lookup is in flight; others ask it
    // for more until it has ended.
    // Cause: the process ends without a word to those who still reach it.
    let system = start(1);
    let target = proxies(&system)[0];
    system.behave(&json!({ "late_ms": 3000 }));
    let told = std::thread::scope(|scope| {
        let slow = scope.spawn(|| callers::lookup(target, "lookup", "slow"));
        wait::until("it to run", || system.runs().runs.iter().find(|r| r.id == "slow").map(drop));
        system.behave(&json!({}));
        system.entries[0].proxy.as_ref().expect("runs").term().expect("told to stop");
        let mut told = until_refused(target, "stop", &["stopping"]);
        let slow = slow.join().expect("no panic");
        assert_eq!(slow.outcome, Outcome::Answered, "{slow:?}");
        told.push(slow);
        told
    });
    assert_honest(&system, &told);
}

#[test]
fn not_run_is_never_said_of_what_may_have_run() {
    // Symptom: a caller is told "not run", asks again, and two owners claim one
    // car.
    // Sequence: backend servers run requests, and then say nothing, close, or
    // answer a half or somebody else's request; tries after the first find no
    // runner that is left to try.
    // Cause: a timeout, a reset or a broken answer is taken for a refusal; or
    // the last try decides, and not the one that may have run.
    let lines = "try_timeout_ms = 200\nrequest_timeout_ms = 1500\n";
    let system = System::converged(Config::new(SMALL).entries(1).proxy(lines));
    let target = proxies(&system)[0];
    wait_claims(target);
    let mut all = Vec::new();
    for fault in ["silent", "die_after_run", "truncated", "crossed"] {
        system.behave(&json!({ fault: 1000 }));
        let told: Vec<CallResult> = std::thread::scope(|scope| {
            let ask = |number| move || both_at_once(target, fault, number);
            let asking: Vec<_> = (0..REQUESTS).map(|number| scope.spawn(ask(number))).collect();
            asking.into_iter().flat_map(|asked| asked.join().expect("no panic")).collect()
        });
        let runs = system.runs();
        for told in &told {
            let ran = runs.runs.iter().any(|run| run.id == told.id);
            let expected = if ran { Outcome::Unknown } else { Outcome::NotRun };
            assert_eq!(told.outcome, expected, "{fault}: {told:?}");
        }
        assert!(not_run(&told) < told.len(), "{fault}: nothing ran");
        all.extend(told);
    }
    assert_honest(&system, &all);
}

/// A backend server that runs everything and then answers like a refusal, but
/// without the promise.
#[derive(Debug, Default)]
struct Unpromising {
    ran: Mutex<Vec<String>>,
}

impl Service for Unpromising {
    fn call(&self, request: &Request) -> Reply {
        let id = request.header("request-id").expect("an id").to_owned();
        let mut ran = self.ran.lock().expect("no panic");
        ran.push(id.clone());
        let promise = ("Not-Run", "busy".to_owned());
        let (status, promises) = match ran.len() % 4 {
            0 => (500, vec![promise]),
            1 => (429, vec![promise]),
            2 => (421, Vec::new()),
            _ => (503, Vec::new()),
        };
        let headers = [vec![("Request-Id", id)], promises].concat();
        Reply::Whole(Response { status, headers, body: b"later\n".to_vec() })
    }
}

#[test]
fn not_run_takes_a_promise() {
    // Symptom: a transfer that failed half way is told "not run" and is done
    // again from the start.
    // Sequence: the backend server answers 503 or 421 without the header that
    // promises, or the header with a status that does not.
    // Cause: the status alone is taken for the promise.
    let mut system = start(1);
    without_controllers(&mut system);
    let service = Arc::new(Unpromising::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let connections = Arc::new(Connections::default());
    let server = Server::start(listener, 64, connections, service.clone()).expect("starts");
    let address = server.address();
    rewrite(&system, |vm| vm.runners.iter_mut().for_each(|runner| runner.address = address));
    let target = proxies(&system)[0];
    let mut all = Vec::new();
    wait::until("every answer to have come", || {
        all.extend(both(target, "promise", all.len()));
        (service.ran.lock().expect("no panic").len() >= 8 * REQUESTS).then_some(())
    });
    let ran = service.ran.lock().expect("no panic");
    for told in &all {
        let said = told.outcome == Outcome::NotRun;
        assert!(!(said && ran.contains(&told.id)), "{told:?}");
    }
    let answered = all.iter().filter(|told| told.outcome == Outcome::Answered).count();
    assert!(answered >= REQUESTS, "{answered}");
}

#[test]
fn not_run_is_not_said_of_a_reset() {
    // Symptom: a transfer that a backend server had begun is told "not run".
    // Sequence: the backend server reads a part of the request and closes with
    // the rest unread, so that its kernel sends a reset.
    // Cause: a reset is taken for a connection that was never opened.
    let mut system = start(1);
    let target = proxies(&system)[0];
    wait_claims(target);
    without_controllers(&mut system);
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
    // Drained first: what serves again serves at the new address.
    rewrite(&system, |vm| {
        vm.phase = Phase::Draining;
        vm.epoch += 1;
        vm.runners.iter_mut().for_each(|runner| runner.address = address);
    });
    until_refused(target, "drained", &["starting or leaving"]);
    rewrite(&system, |vm| vm.phase = Phase::Serving);
    wait::until("the backend server to be reached", || {
        callers::lookup(target, "lookup", "known");
        begun.try_recv().ok()
    });
    let before = system.runs().runs.len();
    for number in 0..REQUESTS {
        for told in both(target, "reset", number + REQUESTS) {
            assert_eq!(told.outcome, Outcome::Unknown, "{told:?}");
        }
    }
    assert_eq!(system.runs().runs.len(), before, "some came to the old addresses");
    assert!(begun.try_iter().count() >= 2 * REQUESTS);
}

#[test]
fn not_run_bad_requests() {
    // Symptom: one caller's nonsense ends the proxy, or runs.
    // Sequence: requests that no backend server should see.
    // Cause: what a caller sends is believed.
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
        (lookup_as(&long_id), 400),
        (lookup_as("bad id"), 400),
        (lookup_as(""), 400),
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
        let told = callers::send_raw(target, "lookup", "bad-1", None, request);
        let asked: String = request.chars().take(200).collect();
        assert_eq!(told.status, *status, "{asked}: {told:?}");
        assert!(told.took < AT_ONCE, "{asked}: {told:?}");
        // What is no HTTP is answered by the HTTP library, which names no
        // outcome.
        let is_http = request.contains("HTTP/1.1\r\n") && !request.contains("broken");
        assert!(!is_http || told.outcome == Outcome::NotRun, "{asked}: {told:?}");
    }
    let [lookup, transfer] = both(target, "alive", 2);
    assert_eq!(lookup.outcome, Outcome::Answered, "{lookup:?}");
    assert_eq!(transfer.outcome, Outcome::Answered, "{transfer:?}");
    let ran: Vec<String> = system.runs().runs.into_iter().map(|run| run.id).collect();
    assert_eq!(ran, [lookup.id, transfer.id]);
}

fn lookup_as(id: &str) -> String {
    format!("GET /lookup/run HTTP/1.1\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n")
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch")
}

#[test]
fn not_run_is_not_said_of_an_id_that_is_forgotten() {
    // Symptom: a transfer of last week is billed again.
    // Sequence: a caller repeats a key that is older than keys are remembered.
    // Cause: a key that nobody remembers is taken for a new one, or its fate
    // for known.
    let system = start(1);
    let target = proxies(&system)[0];
    for (number, minutes) in [15, 16, 60, 24 * 60].into_iter().enumerate() {
        let key = callers::key(number as u64, Duration::from_secs(minutes * 60));
        let told = callers::transfer(target, "transfer", &format!("old-{number}"), key);
        assert_eq!((told.outcome, told.status), (Outcome::Unknown, 410), "{told:?}");
        assert!(told.took < AT_ONCE, "{told:?}");
    }
    assert!(system.runs().runs.is_empty());
}
