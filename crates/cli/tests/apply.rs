//! Tests of `apply` and its outcomes.

mod fake;

use corianderfork_provider::key::{AUDIT, CONFIG, audit};
use corianderfork_provider::record::{AuditSegment, Config};
use fake::{FakeStore, Fault, bobs_record, config_text, run_json, temp_file};
use std::sync::Arc;

fn current_text(store: &FakeStore) -> String {
    let value = store.value(CONFIG).expect("a configuration is in force");
    serde_json::from_str::<Config>(&value).expect("a valid record").text
}

fn audited_revisions(store: &FakeStore) -> Vec<u64> {
    let Some(value) = store.value(&audit(0)) else { return Vec::new() };
    let trail: AuditSegment = serde_json::from_str(&value).expect("a valid segment");
    trail.lines.iter().map(|line| line.revision).collect()
}

#[test]
fn apply_valid_file() {
    let store = Arc::new(FakeStore::default());
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8)), "--note", "first"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!(current_text(&store), config_text(12, 8));
    assert_eq!(result.json()["revision"], store.revision_of(CONFIG));
    assert_eq!(audited_revisions(&store), [store.revision_of(CONFIG)]);
}

#[test]
fn apply_same_text() {
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8))]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("unchanged")));
    assert_eq!((store.writes(CONFIG), audited_revisions(&store).len()), (1, 0));
}

#[test]
fn apply_race() {
    // Ann read revision 1, Bob applied revision 2, and Ann's write silently replaced it:
    // the write did not expect the revision that it was based on.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store.inject(CONFIG, Fault::Race(Some(bobs_record(&config_text(14, 8)))));
    let path = temp_file(config_text(12, 9));
    let result = run_json(&store, &["apply", &path, "--expect", "1"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (3, Some("conflict")));
    let licences = serde_json::json!([{
        "change": "set", "section": "service.transfer", "key": "licences", "from": "12", "to": "14"
    }]);
    assert_eq!(result.json()["changed_by_others"], licences);
    assert_eq!(result.json()["yours"].as_array().map(Vec::len), Some(2));
    assert_eq!(current_text(&store), config_text(14, 8));
    assert_eq!(std::fs::read_to_string(path).expect("the file is there"), config_text(12, 9));
    assert!(audited_revisions(&store).is_empty());
}

#[test]
fn apply_outdated_revision() {
    // Ann printed and edited revision 1, Bob applied revision 2, and Ann's file undid
    // his change: nothing recorded which revision the edited copy came from.
    let store = Arc::new(FakeStore::default());
    let revision = store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    let printed = fake::run_command(&store, &["show", "config", "--platform", "127.0.0.1:1"]).out;
    store.set(CONFIG, &bobs_record(&config_text(14, 8)));
    let edited = printed.replace("cores = 8", "cores = 9");
    let edited_with_bom = format!("\u{feff}{edited}");
    let without_base = temp_file(config_text(12, 9));
    let expected = revision.to_string();
    let lines: [&[&str]; 3] = [
        &["apply", &temp_file(edited)],
        &["apply", &temp_file(edited_with_bom)],
        &["apply", &without_base, "--expect", &expected],
    ];
    for line in lines {
        let result = run_json(&store, line);
        assert_eq!(result.code, 3, "{line:?}");
        assert_eq!(result.json()["yours"].as_array().map(Vec::len), Some(2), "{line:?}");
    }
    assert_eq!(current_text(&store), config_text(14, 8));
}

#[test]
fn apply_edited_copy_of_current() {
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    let printed = fake::run_command(&store, &["show", "config", "--platform", "127.0.0.1:1"]).out;
    let result =
        run_json(&store, &["apply", &temp_file(printed.replace("cores = 8", "cores = 9"))]);
    assert_eq!(result.code, 0);
    assert_eq!(current_text(&store), config_text(12, 9));
}

#[test]
fn apply_lost_response() {
    // A write that took effect was retried after its response was lost, and was applied
    // twice or reported as a conflict with itself.
    let store = Arc::new(FakeStore::default());
    store.inject(CONFIG, Fault::LoseResponse(vec![]));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8))]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!((store.writes(CONFIG), result.json()["revision"].as_u64()), (1, Some(1)));
    assert_eq!(audited_revisions(&store), [1]);
}

#[test]
fn apply_lost_request() {
    // A configuration whose request was lost was reported as in force: a missing
    // response was taken for a write that took effect.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store.inject(CONFIG, Fault::LoseRequest(vec![]));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 9)), "--expect", "1"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!((store.writes(CONFIG), current_text(&store)), (2, config_text(12, 9)));
}

#[test]
fn apply_lost_response_then_replaced() {
    // Ann's write took effect, its response was lost, and Bob replaced it. As only the
    // current entry was read, Ann got a conflict, applied the file again and
    // undid Bob's change.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store.inject(CONFIG, Fault::LoseResponse(vec![bobs_record(&config_text(14, 9))]));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 9)), "--expect", "1"]);
    assert_eq!((result.code, &result.json()["replaced"]), (0, &serde_json::json!(true)));
    assert_eq!((result.json()["revision"].as_u64(), audited_revisions(&store)), (Some(2), vec![2]));
    assert_eq!(current_text(&store), config_text(14, 9));
}

#[test]
fn apply_lost_request_then_race() {
    // Ann's request was lost and Bob applied a change. Without the history since Ann's
    // read, the conflict was reported as accepted, or as unknown on every attempt.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store.inject(CONFIG, Fault::LoseRequest(vec![bobs_record(&config_text(14, 8))]));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 9)), "--expect", "1"]);
    assert_eq!((result.code, current_text(&store)), (3, config_text(14, 8)));
    assert!(audited_revisions(&store).is_empty());
}

#[test]
fn apply_lost_response_compacted_history() {
    // A guess was reported as a fact: the response was lost, others wrote, and the
    // store compacted the history that shows whether the write took effect.
    let store = Arc::new(FakeStore::default());
    store.compact();
    store.inject(CONFIG, Fault::LoseResponse(vec![bobs_record(&config_text(14, 8))]));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 9))]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (5, Some("unknown")));
}

#[test]
fn apply_lost_response_store_down() {
    // The write took effect, its response was lost, and the store went down. The command
    // hung as reading back had no deadline, or reported that nothing was changed as it
    // took a later error for that of the write.
    let store = Arc::new(FakeStore::default());
    store.inject(CONFIG, Fault::LoseResponseAndDown);
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8)), "--timeout", "7"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (5, Some("unknown")));
    assert!((7_000..9_000).contains(&result.elapsed_ms), "{}", result.elapsed_ms);
}

#[test]
fn apply_store_down() {
    // With one exit code for all failures of the store, an operator can't tell whether
    // to apply again when the store is down before the first call.
    let store = Arc::new(FakeStore::default());
    store.set_down(true);
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8))]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (4, Some("unavailable")));
    assert_eq!(store.writes(CONFIG), 0);
}

#[test]
fn apply_audit_lost_response() {
    // A change had no line in the audit trail, or two, after the response to the audit's
    // write was lost: it was not retried, or retried without looking for the line.
    for fault in [Fault::LoseResponse(vec![]), Fault::LoseRequest(vec![])] {
        let store = Arc::new(FakeStore::default());
        store.inject(AUDIT, fault);
        let result = run_json(&store, &["apply", &temp_file(config_text(12, 8))]);
        assert_eq!((result.code, &result.json()["audited"]), (0, &serde_json::json!(true)));
        assert_eq!(audited_revisions(&store), [1]);
    }
}

#[test]
fn apply_audit_store_down() {
    // The store went down after the change and before the audit, and the failure of the
    // audit was reported as one of the change, which was in force.
    let store = Arc::new(FakeStore::default());
    store.inject(AUDIT, Fault::LoseResponseAndDown);
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8)), "--timeout", "2"]);
    assert_eq!((result.code, &result.json()["audited"]), (0, &serde_json::json!(false)));
}

#[test]
fn apply_invalid_file() {
    // A wrong file must neither crash the command nor put half a configuration in force.
    let mut not_utf8 = config_text(12, 8).into_bytes();
    not_utf8.push(0xff);
    let too_large = config_text(12, 8) + &"; filler\n".repeat(120_000);
    let too_large_escaped = config_text(12, 8) + ";" + &"\\".repeat(600_000) + "\n";
    let broken =
        config_text(12, 8).replace("cores = 8", "cors = 8").replace("= kolkata", "= kolkatta");
    let files = [
        temp_file(not_utf8),
        temp_file(too_large),
        temp_file(too_large_escaped),
        temp_file("%PDF-1.4\n\0\u{1}"),
        temp_file(""),
    ];
    for path in files.iter().chain([&temp_file(&broken), &"/nowhere/fleet.ini".to_owned()]) {
        let store = Arc::new(FakeStore::default());
        let result = run_json(&store, &["apply", path]);
        assert_eq!(
            (result.code, result.json()["outcome"].as_str()),
            (1, Some("rejected")),
            "{path}"
        );
        assert_eq!((store.reads(), store.writes(CONFIG)), (0, 0), "{path}");
        assert_eq!(run_json(&store, &["check", path]).code, 1, "{path}");
    }
    let result = run_json(&Arc::new(FakeStore::default()), &["check", &files[1]]);
    assert!(result.json()["message"].as_str().is_some_and(|text| text.contains("too large")));
    let result = run_json(&Arc::new(FakeStore::default()), &["check", &temp_file(&broken)]);
    let mistakes = result.json()["mistakes"].as_array().cloned().unwrap_or_default();
    let lines: Vec<_> = mistakes.iter().filter_map(|mistake| mistake["line"].as_u64()).collect();
    assert!(lines.contains(&11) && lines.contains(&19), "both are reported: {mistakes:?}");
}

#[test]
fn apply_without_revision() {
    // Ann's old copy silently undid a change of Bob: a file that names no revision was
    // allowed to replace any.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(14, 8)));
    let result = run_json(&store, &["apply", &temp_file(config_text(12, 8))]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (3, Some("conflict")));
    assert_eq!(result.json()["yours"].as_array().map(Vec::len), Some(1));
    assert_eq!(current_text(&store), config_text(14, 8));
}

#[test]
fn apply_same_file_twice() {
    // A file was rejected the second time, without any difference: its first line names
    // the revision before the one that it was applied as.
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    let path = temp_file(format!("; corianderctl: revision 1\n{}", config_text(14, 8)));
    assert_eq!(run_json(&store, &["apply", &path]).code, 0);
    let second = run_json(&store, &["apply", &path]);
    assert_eq!((second.code, second.json()["outcome"].as_str()), (0, Some("unchanged")));
}

#[test]
fn apply_unacknowledged() {
    // A configuration was reported as accepted, but was not in force anywhere for a whole
    // outage: the store went down after the write, before any watch delivered it. Success
    // of the write does not mean that a controller knows of it.
    let store = Arc::new(FakeStore::default());
    store.stop_acknowledging();
    let path = temp_file(config_text(12, 8));
    let result = run_json(&store, &["apply", &path]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (7, Some("pending")));
    assert_eq!(
        (store.writes(CONFIG), audited_revisions(&store).len()),
        (1, 1),
        "it is written and audited"
    );
    assert_eq!(run_json(&store, &["apply", &path]).code, 7, "it is still pending");
}
