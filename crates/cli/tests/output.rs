//! Tests of the output and the exit codes.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, EXPLAIN, PLANNER, WAVE};
use fake::{FakeStore, bobs_record, config_text, run_command, run_json, temp_file};
use serde_json::json as value;

fn fleet() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
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
    run_json(&store, &["undrain", "v02"]);
    run_json(&store, &["drain", "v02", "--reason", "fan"]);
    store
}

#[test]
fn show_json() {
    let store = fleet();
    let show = |arguments: &[&str]| run_json(&store, arguments).json();
    assert_eq!(show(&["show", "config"])["by"], "bob");
    assert_eq!(show(&["show", "pools"])["rows"][0]["serving"], 2);
    assert_eq!(show(&["show", "vms"])["rows"][1]["drain"]["reason"], "fan");
    assert_eq!(show(&["show", "services"])["rows"][0]["able"], 2);
    assert_eq!(show(&["show", "waves"])["record"]["doing"], value!(["v02"]));
    assert_eq!(show(&["show", "members"])["planner"]["name"], "e1");
    assert_eq!(show(&["explain"])["record"]["rule"], "otherwise");
    let audit = show(&["show", "audit"]);
    assert_eq!((audit["rows"].as_array().map(Vec::len), &audit), (Some(2), &show(&["history"])));
}

#[test]
fn show_table_control_characters() {
    // A line break or an escape sequence in a reason, printed unchanged, added rows to
    // the table or hid others.
    let store = fleet();
    for what in ["pools", "vms", "services", "waves", "members", "audit"] {
        let result = run_command(&store, &["show", what, "--platform", "127.0.0.1:1"]);
        assert_eq!(result.code, 0, "{}", result.err);
        assert!(
            !result.out.contains('\u{1b}') && !result.out.contains("wave 3\n"),
            "{}",
            result.out
        );
    }
    let result = run_command(&store, &["show", "vms", "--platform", "127.0.0.1:1"]);
    assert_eq!(result.out.lines().count(), 4);
}

#[test]
fn show_empty_store() {
    let store = Arc::new(FakeStore::default());
    assert_eq!(run_json(&store, &["show", "config"]).code, 1);
    for what in ["pools", "vms", "services", "waves", "members", "audit"] {
        assert_eq!(run_json(&store, &["show", what]).code, 0, "{what}");
    }
}

#[test]
fn show_invalid_record() {
    // A record that this version can't parse must neither crash the command nor be left
    // out of the table.
    let store = fleet();
    store.set("shared/vm/v02", "{}");
    let result = run_json(&store, &["show", "vms"]);
    assert_eq!(result.code, 4);
    assert!(result.json()["message"].as_str().is_some_and(|text| text.contains("shared/vm/v02")));
}

#[test]
fn watch_lost_connection() {
    // The table stopped changing if a VM changed while the watch's connection was lost:
    // the watch had no timeout, or was resumed without reading the records again.
    let store = fleet();
    store.cut_watch("shared/vm/v03");
    let result = run_json(&store, &["watch", "--count", "3"]);
    let parse = |line| serde_json::from_str(line).expect("one value per line");
    let reports: Vec<serde_json::Value> = result.out.lines().map(parse).collect();
    let able = |index: usize| &reports[index]["services"][0]["able"];
    assert_eq!((result.code, reports.len(), able(0), able(2)), (0, 3, &value!(2), &value!(1)));
    assert_eq!(
        (&reports[0]["problem"], &reports[0]["wave"]["failed"]),
        (&value!(null), &value!(1))
    );
    assert!(reports[1]["problem"].is_string());
    store.set_down(true);
    assert_eq!(run_json(&store, &["watch", "--count", "2"]).code, 4);
}

#[test]
fn watch_compacted_history() {
    let store = fleet();
    store.compact();
    let result = run_json(&store, &["watch", "--count", "2"]);
    assert_eq!((result.code, result.out.contains("does not answer")), (0, false));
}

#[test]
fn run_exit_codes() {
    let store = fleet();
    let path = temp_file(config_text(12, 8));
    assert_eq!(run_command(&store, &["check", &path]).code, 0);
    assert_eq!(run_command(&store, &["--help"]).code, 0);
    assert_eq!(run_command(&store, &["completions", "bash"]).code, 0);
    assert_eq!(run_command(&store, &["check", "/nowhere"]).code, 1);
    let long = "x".repeat(2_000);
    let invalid_lines: [&[&str]; 6] = [
        &[],
        &["frobnicate"],
        &["show", "nothing"],
        &["drain", "two words"],
        &["--platform", "nonsense", "show", "vms"],
        &["apply", &path, "--platform", "127.0.0.1:1", "--note", &long],
    ];
    for line in invalid_lines {
        let result = run_command(&store, line);
        assert_eq!((result.code, result.out.as_str()), (2, ""), "{line:?}");
    }
    assert_eq!(run_json(&store, &["apply", &path, "--expect", "99"]).code, 3);
    assert!(run_command(&store, &["--help"]).out.contains("5  unknown"));
    store.set_down(true);
    assert_eq!(run_json(&store, &["show", "vms"]).code, 4);
}

#[test]
fn check_error_position() {
    let path = temp_file(config_text(12, 8).replace("licences", "licenses"));
    let result = run_command(&Arc::new(FakeStore::default()), &["check", &path]);
    assert!(result.err.contains("line 22, column 1"), "{}", result.err);
    assert!(result.err.contains("did you mean `licences`?"), "{}", result.err);
}
