//! Tests of `drain` and `undrain`.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, audit};
use corianderfork_provider::record::AuditSegment;
use fake::{FakeStore, Fault, bobs_record, config_text, run_json};

const KEY: &str = "shared/drain/v01";
const BOBS_DRAIN: &str = r#"{"by":"bob","reason":"disk"}"#;

fn fleet() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store
}

fn audited_changes(store: &FakeStore) -> Vec<(String, u64)> {
    let Some(value) = store.value(&audit(0)) else { return Vec::new() };
    let trail: AuditSegment = serde_json::from_str(&value).expect("it is a segment");
    trail.lines.into_iter().map(|line| (line.what, line.revision)).collect()
}

#[test]
fn drain_and_undrain_idempotent() {
    let store = fleet();
    let outcomes: Vec<_> = [
        run_json(&store, &["drain", "v01", "--reason", "fan"]),
        run_json(&store, &["drain", "v01", "--reason", "again"]),
        run_json(&store, &["undrain", "v01"]),
        run_json(&store, &["undrain", "v01"]),
    ]
    .into_iter()
    .map(|result| (result.code, result.json()["outcome"].as_str().map(str::to_owned)))
    .collect();
    let done = |outcome: &str| (0, Some(outcome.to_owned()));
    let expected = [done("accepted"), done("unchanged"), done("accepted"), done("unchanged")];
    assert_eq!(outcomes, expected);
    assert_eq!(store.writes(KEY), 2);
    assert_eq!(audited_changes(&store), [("vm v01".to_owned(), 2), ("vm v01".to_owned(), 4)]);
}

#[test]
fn drain_unknown_vm() {
    // A drain under a misspelt name was accepted, and the intended VM kept taking work.
    let store = fleet();
    let result = run_json(&store, &["drain", "v1O"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (1, Some("rejected")));
    assert!(result.json()["help"].as_str().is_some_and(|help| help.contains("v0")));
    assert_eq!(store.writes("shared/drain/v1O"), 0);
}

#[test]
fn drain_lost_response() {
    // A drain was reported as failed, and not audited, if the request or the response
    // was lost: without reading back, the command can't tell which.
    for fault in [Fault::LoseResponse(vec![]), Fault::LoseRequest(vec![])] {
        let store = fleet();
        store.inject(KEY, fault);
        assert_eq!(run_json(&store, &["drain", "v01"]).json()["outcome"], "accepted");
        assert_eq!((store.writes(KEY), audited_changes(&store).len()), (1, 1));
    }
}

#[test]
fn drain_race_with_drain() {
    // Ann's drain overwrote the one that Bob wrote after her read, and his reason: the
    // write did not expect the key to be absent.
    let store = fleet();
    store.inject(KEY, Fault::Race(Some(BOBS_DRAIN.to_owned())));
    let result = run_json(&store, &["drain", "v01"]);
    assert_eq!((result.code, &result.json()["drain"]["by"]), (0, &serde_json::json!("bob")));
    assert_eq!(store.value(KEY).as_deref(), Some(BOBS_DRAIN));
}

#[test]
fn undrain_lost_response() {
    // An undrain whose response was lost was reported as a conflict: the absent key was
    // taken for another operator's deletion.
    let store = fleet();
    store.set(KEY, BOBS_DRAIN);
    store.inject(KEY, Fault::LoseResponse(vec![]));
    let result = run_json(&store, &["undrain", "v01"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!(audited_changes(&store), [("vm v01".to_owned(), 3)]);
}

#[test]
fn undrain_race_with_drain() {
    // Ann's delete removed the drain by which Bob had replaced the one that she read:
    // the delete did not expect a revision.
    let store = fleet();
    store.set(KEY, r#"{"by":"ann","reason":"fan"}"#);
    store.inject(KEY, Fault::Race(Some(BOBS_DRAIN.to_owned())));
    assert_eq!(run_json(&store, &["undrain", "v01"]).code, 3);
    assert_eq!(store.value(KEY).as_deref(), Some(BOBS_DRAIN));
}

#[test]
fn undrain_race_with_undrain() {
    let store = fleet();
    store.set(KEY, BOBS_DRAIN);
    store.inject(KEY, Fault::Race(None));
    assert_eq!(run_json(&store, &["undrain", "v01"]).code, 0);
    assert!(audited_changes(&store).is_empty());
}

#[test]
fn drain_unacknowledged() {
    // A drain was reported as accepted, but the VM got requests for a whole outage: the
    // store went down after the write, before any watch delivered it. Success of the
    // write does not mean that a controller knows of it.
    let store = fleet();
    store.stop_acknowledging();
    let result = run_json(&store, &["drain", "v01"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (7, Some("pending")));
    assert_eq!(
        (store.writes(KEY), audited_changes(&store).len()),
        (1, 1),
        "it is written and audited"
    );
    assert!(result.elapsed_ms >= 1_000, "waited only {} ms for a controller", result.elapsed_ms);
    // Repeated, it waits again, as the drain is still not in force.
    assert_eq!(run_json(&store, &["drain", "v01"]).code, 7);
    assert_eq!(store.writes(KEY), 1);
}
