//! Tests of all stand-ins together, as processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::{Path, PathBuf};
use std::time::Duration;

use corianderfork_standins::history::{self, Call, Outcome, Runs};
use corianderfork_standins::load::{Client, Config};
use corianderfork_standins::spawn::{self, Process};
use rand::{SeedableRng, rngs::SmallRng};
use support::{Http, LONG, eventually};

fn start(name: &str, args: &[&str]) -> Process {
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = format!("{name}-{}-{}.log", std::process::id(), args.join("").len());
    Process::spawn(&spawn::binary(name).unwrap(), args, &log.join(file)).unwrap()
}

/// Starts a backend server with one runner. Returns the process, its admin
/// interface and the runner's address.
fn backend(args: &[&str]) -> (Process, Http, String) {
    let fixed = ["--runners", "vm1/transfer", "--warm-ms", "0", "--run-ms", "1"];
    let process = start("standin-backend", &[&fixed[..], args].concat());
    let admin = Http::new(process.address(0));
    let (_, status) = admin.get("/_runners").unwrap();
    let address = status["runners"][0]["address"].as_str().unwrap().to_owned();
    (process, admin, address)
}

fn runs(admin: &Http) -> Runs {
    serde_json::from_value(admin.get("/_runs").unwrap().1).unwrap()
}

fn client(target: &str, timeout: Duration, attempts: usize) -> Client {
    let config = Config::new(vec![target.to_owned()]);
    Client::new(Config { timeout, attempts, ..config })
}

#[test]
fn tasks_follow_platform() {
    let vms = "vm1,vm2";
    let platform = start("standin-platform", &["--vms", vms, "--reboot-ms", "100"]);
    let to = platform.address(0).to_string();
    let backend =
        start("standin-backend", &["--platform", &to, "--warm-ms", "0", "--linger-ms", "0"]);
    let (http, admin) = (Http::new(platform.address(0)), Http::new(backend.address(0)));
    let running = || {
        let task = http.get("/tasks")?.1["tasks"][0].clone();
        (task["state"] == "running").then(|| task["address"].as_str().map(str::to_owned))?
    };
    let place = r#"{"vm":"vm1","service":"transfer"}"#;
    assert_eq!(http.post("/tasks/start", place).unwrap().0, 200);
    let first = eventually("the task to run", running);

    let history = Path::new(env!("CARGO_TARGET_TMPDIR")).join("processes-history.jsonl");
    let load = std::process::Command::new(spawn::binary("standin-load").unwrap())
        .args(["--targets", &first, "--services", "transfer", "--transfers", "50%"])
        .args(["--rate", "100", "--seconds", "1", "--seed", "7", "--history"])
        .arg(&history)
        .output()
        .unwrap();
    assert!(load.status.success());
    let lines = std::fs::read_to_string(&history).unwrap();
    let calls: Vec<Call> = lines.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert!(calls.iter().any(|c| c.key.is_some()) && calls.iter().any(|c| c.key.is_none()));
    assert!(calls.iter().all(|c| c.outcome == Outcome::Answered));
    let findings = history::check(&runs(&admin), &calls);
    assert!(findings.is_clean() && findings.cut == 0, "{findings:?}");

    assert_eq!(http.post("/vms/reboot", r#"{"vm":"vm1"}"#).unwrap().0, 200);
    eventually("the task to run at another address", || {
        running().filter(|address| *address != first)
    });
    assert_eq!(http.post("/tasks/stop", place).unwrap().0, 200);
    let none = || (http.get("/tasks")?.1["tasks"].as_array()?.is_empty()).then_some(());
    eventually("the task to be removed", none);
}

#[test]
fn check_retry_runs_twice() {
    // A transfer runs, its response is lost and its caller retries. Without a proxy
    // that claims the key, it runs twice, and the check has to report that.
    let (_process, admin, address) = backend(&[]);
    admin.post("/_behave", r#"{"die_after_run":1}"#).unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let call = client(&address, LONG, 3).transfer("transfer", &mut rng);
    assert_eq!((call.outcome, call.attempts.len()), (Outcome::Answered, 2));
    let findings = history::check(&runs(&admin), std::slice::from_ref(&call));
    assert_eq!(findings.doubled, [call.key.unwrap()]);
}

#[test]
fn check_crossed_lost_and_ran() {
    let (_process, admin, address) = backend(&[]);
    admin.post("/_behave", r#"{"crossed":1}"#).unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let client = client(&address, LONG, 1);
    let crossed = client.lookup("transfer", &mut rng);
    let mut told_not_run = client.lookup("transfer", &mut rng);
    told_not_run.attempts[0].outcome = Outcome::NotRun;
    let mut lost = client.lookup("transfer", &mut rng);
    lost.id = "never-sent".to_owned();
    lost.attempts[0].id = lost.id.clone();
    let refused = client.lookup("elsewhere", &mut rng);
    assert_eq!(refused.outcome, Outcome::NotRun);
    let ids = [&crossed.id, &told_not_run.id].map(Clone::clone);
    let findings = history::check(&runs(&admin), &[crossed, told_not_run, lost, refused]);
    assert_eq!(findings.crossed, ids[..1]);
    assert_eq!(findings.ran_though_not_run, ids[1..]);
    assert_eq!(findings.lost, ["never-sent"]);
}

#[test]
fn fault_of_one_caller() {
    let (_process, _, to) = backend(&[]);
    let fault = start("standin-fault", &["--to", &to]);
    let switches = Http::new(fault.address(1));
    let set = |body| assert_eq!(switches.post("/_fault", body).unwrap().0, 200);
    let target = fault.address(0).to_string();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut outcome = || client(&target, LONG, 1).lookup("transfer", &mut rng).outcome;
    set(r#"{"from":"127.0.0.9","cut":true}"#);
    assert_eq!(outcome(), Outcome::Answered, "the fault is another caller's");
    set(r#"{"from":"127.0.0.1","cut":true}"#);
    assert_eq!(outcome(), Outcome::Unknown);
    set(r#"{"from":"127.0.0.1","cut":false}"#);
    assert_eq!(outcome(), Outcome::Answered);
}

#[test]
fn fault_each_switch() {
    // Faults between two healthy ends: one direction freezes, open connections fall
    // silent, all connections are cut.
    let (_process, admin, to) = backend(&[]);
    let fault = start("standin-fault", &["--to", &to]);
    let switches = Http::new(fault.address(1));
    let set = |body| assert_eq!(switches.post("/_fault", body).unwrap().0, 200);
    let target = fault.address(0).to_string();
    let (short, long) = (Duration::from_millis(300), LONG);
    let frozen = client(&target, short, 1);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut call = |client: &Client| client.lookup("transfer", &mut rng).outcome;
    assert_eq!(call(&client(&target, long, 1)), Outcome::Answered);

    set(r#"{"freeze":"to"}"#);
    assert_eq!(call(&frozen), Outcome::Unknown);
    assert_eq!(runs(&admin).runs.len(), 1, "the request arrived");
    set(r#"{"freeze":"from"}"#);
    eventually("the request to arrive", || (runs(&admin).runs.len() == 2).then_some(()));
    assert_eq!(call(&frozen), Outcome::Unknown);
    set(r#"{"freeze":"none"}"#);

    let pooled = client(&target, short, 1);
    eventually("a connection to open", || (call(&pooled) == Outcome::Answered).then_some(()));
    set(r#"{"silent":true}"#);
    assert_eq!(call(&pooled), Outcome::Unknown);
    assert_eq!(call(&client(&target, long, 1)), Outcome::Answered, "new connections work");
    set(r#"{"cut":true}"#);
    assert_eq!(call(&client(&target, long, 1)), Outcome::Unknown);
    set(r#"{"cut":false}"#);
    assert_eq!(call(&client(&target, long, 1)), Outcome::Answered);
}

#[test]
fn process_resumes_after_freeze() {
    let (mut process, admin, address) = backend(&[]);
    let mut rng = SmallRng::seed_from_u64(1);
    let impatient = client(&address, Duration::from_millis(300), 1);
    process.stop().unwrap();
    assert_eq!(impatient.lookup("transfer", &mut rng).outcome, Outcome::Unknown);
    process.cont().unwrap();
    eventually("the request to run", || (runs(&admin).runs.len() == 1).then_some(()));
    process.term().unwrap();
    assert!(process.wait(LONG).unwrap().is_some());
    assert_eq!(impatient.lookup("transfer", &mut rng).outcome, Outcome::Unreachable);
}
