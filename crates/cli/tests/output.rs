//! What is printed, and the exit codes.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, EXPLAIN, PLANNER, WAVE};
use fake::{Fake, file, json, plain, sample, theirs};
use serde_json::json as value;

fn fleet() -> Arc<Fake> {
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    for (vm, phase) in [("v01", "serving"), ("v02", "draining"), ("v03", "serving")] {
        let runner = value!({"service": "transfer", "address": "127.0.0.1:9000"});
        let record = value!({
            "pool": "registry", "phase": phase, "epoch": 1, "runners": [runner],
            "reason": "wave 3\n\u{1b}[2J", "since_ms": 951_782_400_000_u64
        });
        store.set(&format!("shared/vm/{vm}"), &record.to_string());
    }
    store.set("shared/drain/v02", r#"{"by":"bob","reason":"fan"}"#);
    let member = value!({
        "name": "e1", "role": "proxy", "incarnation": 4, "data_centre": "kolkata",
        "peers": "127.0.0.1:1", "callers": "127.0.0.1:2"
    });
    store.set("shared/member/proxy/e1", &member.to_string());
    let holder = value!({"name": "e1", "incarnation": 4, "peers": "127.0.0.1:1"});
    store.set(PLANNER, &holder.to_string());
    let wave = value!({
        "number": 3, "reason": "monthly", "began_ms": 1, "todo": ["v03"], "doing": ["v02"],
        "done": [], "failed": ["v01"], "step": 1, "halted": "v01 failed"
    });
    store.set(WAVE, &wave.to_string());
    let explain = value!({
        "at_ms": 1, "config": 1, "rule": "otherwise", "seen": ["load(transfer) 40%, 2 s old"],
        "passed": ["busy: load(transfer) is not above 80%"], "steps": ["hold"], "problems": []
    });
    store.set(EXPLAIN, &explain.to_string());
    json(&store, &["undrain", "v02"]);
    json(&store, &["drain", "v02", "--reason", "fan"]);
    store
}

#[test]
fn show_json_parses_and_holds_the_records() {
    let store = fleet();
    let shown = |line: &[&str]| json(&store, line).json();
    assert_eq!(shown(&["show", "config"])["by"], "bob");
    assert_eq!(shown(&["show", "pools"])["rows"][0]["serving"], 2);
    assert_eq!(shown(&["show", "vms"])["rows"][1]["drain"]["reason"], "fan");
    assert_eq!(shown(&["show", "services"])["rows"][0]["able"], 2);
    assert_eq!(shown(&["show", "waves"])["record"]["doing"], value!(["v02"]));
    assert_eq!(shown(&["show", "members"])["planner"]["name"], "e1");
    assert_eq!(shown(&["explain"])["record"]["rule"], "otherwise");
    let audit = shown(&["show", "audit"]);
    assert_eq!((audit["rows"].as_array().map(Vec::len), &audit), (Some(2), &shown(&["history"])));
}

#[test]
fn show_table_holds_no_control_characters() {
    // Symptom: a table with rows that no record has, or with rows hidden.
    // Sequence: a reason with a line break or an escape sequence is shown.
    // Cause: text of others printed as it is.
    let store = fleet();
    for what in ["pools", "vms", "services", "waves", "members", "audit"] {
        let ran = plain(&store, &["show", what, "--platform", "127.0.0.1:1"]);
        assert_eq!(ran.code, 0, "{}", ran.err);
        assert!(!ran.out.contains('\u{1b}') && !ran.out.contains("wave 3\n"), "{}", ran.out);
    }
    let ran = plain(&store, &["show", "vms", "--platform", "127.0.0.1:1"]);
    assert_eq!(ran.out.lines().count(), 4);
}

#[test]
fn show_before_the_first_configuration_is_empty() {
    let store = Arc::new(Fake::default());
    assert_eq!(json(&store, &["show", "config"]).code, 1);
    for what in ["pools", "vms", "services", "waves", "members", "audit"] {
        assert_eq!(json(&store, &["show", what]).code, 0, "{what}");
    }
}

#[test]
fn show_unreadable_record_is_an_error_that_names_it() {
    // Symptom: a crash, or a table without the VM.
    // Sequence: a record is not of this version's shape.
    // Cause: a record trusted to parse.
    let store = fleet();
    store.set("shared/vm/v02", "{}");
    let ran = json(&store, &["show", "vms"]);
    assert_eq!(ran.code, 4);
    assert!(ran.json()["message"].as_str().is_some_and(|text| text.contains("shared/vm/v02")));
}

#[test]
fn watch_silent_connection_is_said_and_read_anew() {
    // Symptom: a live table that stands still while the fleet moves.
    // Sequence: the watch's connection goes silent; a VM changes meanwhile.
    // Cause: a watch without a bound, or one resumed as if nothing had passed.
    let store = fleet();
    store.cut_watch("shared/vm/v03");
    let ran = json(&store, &["watch", "--count", "3"]);
    let row = |line| serde_json::from_str(line).expect("one value a line");
    let rows: Vec<serde_json::Value> = ran.out.lines().map(row).collect();
    let able = |at: usize| &rows[at]["services"][0]["able"];
    assert_eq!((ran.code, rows.len(), able(0), able(2)), (0, 3, &value!(2), &value!(1)));
    assert_eq!((&rows[0]["problem"], &rows[0]["wave"]["failed"]), (&value!(null), &value!(1)));
    assert!(rows[1]["problem"].is_string());
    store.down(true);
    assert_eq!(json(&store, &["watch", "--count", "2"]).code, 4);
}

#[test]
fn watch_compacted_history_is_read_anew() {
    let store = fleet();
    store.forget();
    let ran = json(&store, &["watch", "--count", "2"]);
    assert_eq!((ran.code, ran.out.contains("does not answer")), (0, false));
}

#[test]
fn run_exit_codes_are_as_documented() {
    let store = fleet();
    let good = file(sample(12, 8));
    assert_eq!(plain(&store, &["check", &good]).code, 0);
    assert_eq!(plain(&store, &["--help"]).code, 0);
    assert_eq!(plain(&store, &["completions", "bash"]).code, 0);
    assert_eq!(plain(&store, &["check", "/nowhere"]).code, 1);
    let long = "x".repeat(2_000);
    let usages: [&[&str]; 6] = [
        &[],
        &["frobnicate"],
        &["show", "nothing"],
        &["drain", "two words"],
        &["--platform", "nonsense", "show", "vms"],
        &["apply", &good, "--platform", "127.0.0.1:1", "--note", &long],
    ];
    for line in usages {
        let ran = plain(&store, line);
        assert_eq!((ran.code, ran.out.as_str()), (2, ""), "{line:?}");
    }
    assert_eq!(json(&store, &["apply", &good, "--expect", "99"]).code, 3);
    assert!(plain(&store, &["--help"]).out.contains("5  unknown"));
    store.down(true);
    assert_eq!(json(&store, &["show", "vms"]).code, 4);
}

#[test]
fn check_mistake_points_at_line_and_column() {
    let path = file(sample(12, 8).replace("licences", "licenses"));
    let ran = plain(&Arc::new(Fake::default()), &["check", &path]);
    assert!(ran.err.contains("line 22, column 1"), "{}", ran.err);
    assert!(ran.err.contains("did you mean `licences`?"), "{}", ran.err);
}
