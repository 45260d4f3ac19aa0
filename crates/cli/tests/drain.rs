//! Drains: idempotent, and never under a name that no VM has.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, audit};
use corianderfork_provider::record::AuditSegment;
use fake::{Fake, Fault, json, sample, theirs};

const KEY: &str = "shared/drain/v01";
const BOBS: &str = r#"{"by":"bob","reason":"disk"}"#;

fn fleet() -> Arc<Fake> {
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store
}

fn changes(store: &Fake) -> Vec<(String, u64)> {
    let Some(value) = store.value(&audit(0)) else { return Vec::new() };
    let trail: AuditSegment = serde_json::from_str(&value).expect("it is a segment");
    trail.lines.into_iter().map(|line| (line.what, line.revision)).collect()
}

#[test]
fn drain_twice_and_undrain_twice_change_once() {
    let store = fleet();
    let outcomes: Vec<_> = [
        json(&store, &["drain", "v01", "--reason", "fan"]),
        json(&store, &["drain", "v01", "--reason", "again"]),
        json(&store, &["undrain", "v01"]),
        json(&store, &["undrain", "v01"]),
    ]
    .into_iter()
    .map(|ran| (ran.code, ran.json()["outcome"].as_str().map(str::to_owned)))
    .collect();
    let said = |text: &str| (0, Some(text.to_owned()));
    let expected = [said("accepted"), said("unchanged"), said("accepted"), said("unchanged")];
    assert_eq!(outcomes, expected);
    assert_eq!(store.writes(KEY), 2);
    assert_eq!(changes(&store), [("vm v01".to_owned(), 2), ("vm v01".to_owned(), 4)]);
}

#[test]
fn drain_unknown_vm_is_rejected_with_the_nearest() {
    // Symptom: a drain is accepted, and the VM that was meant takes work on.
    // Sequence: an operator misspells the VM's name.
    // Cause: a record under any name is taken.
    let store = fleet();
    let ran = json(&store, &["drain", "v1O"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (1, Some("rejected")));
    assert!(ran.json()["help"].as_str().is_some_and(|help| help.contains("v0")));
    assert_eq!(store.writes("shared/drain/v1O"), 0);
}

#[test]
fn drain_lost_answer_is_recognised() {
    // Symptom: a drain reported as failed, with no line in the audit trail.
    // Sequence: the write, or the request, is lost; the command reads back.
    // Cause: a lost answer taken for the one or the other.
    for fault in [Fault::LoseAnswer(vec![]), Fault::LoseRequest(vec![])] {
        let store = fleet();
        store.fault(KEY, fault);
        assert_eq!(json(&store, &["drain", "v01"]).json()["outcome"], "accepted");
        assert_eq!((store.writes(KEY), changes(&store).len()), (1, 1));
    }
}

#[test]
fn drain_race_keeps_the_first_wish() {
    // Symptom: Bob's reason is gone.
    // Sequence: Ann finds no drain; Bob drains; Ann drains.
    // Cause: a write that does not expect the key to be absent.
    let store = fleet();
    store.fault(KEY, Fault::Race(Some(BOBS.to_owned())));
    let ran = json(&store, &["drain", "v01"]);
    assert_eq!((ran.code, &ran.json()["drain"]["by"]), (0, &serde_json::json!("bob")));
    assert_eq!(store.value(KEY).as_deref(), Some(BOBS));
}

#[test]
fn undrain_lost_answer_is_recognised() {
    // Symptom: an undrain reported as a conflict with itself.
    // Sequence: the delete takes effect; its answer is lost.
    // Cause: an absent key taken for someone else's doing.
    let store = fleet();
    store.set(KEY, BOBS);
    store.fault(KEY, Fault::LoseAnswer(vec![]));
    let ran = json(&store, &["undrain", "v01"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!(changes(&store), [("vm v01".to_owned(), 3)]);
}

#[test]
fn undrain_race_with_a_new_drain_is_conflict() {
    // Symptom: a drain that Bob has just asked for is gone.
    // Sequence: Ann reads the old drain; Bob replaces it; Ann deletes.
    // Cause: a delete that does not expect a revision.
    let store = fleet();
    store.set(KEY, r#"{"by":"ann","reason":"fan"}"#);
    store.fault(KEY, Fault::Race(Some(BOBS.to_owned())));
    assert_eq!(json(&store, &["undrain", "v01"]).code, 3);
    assert_eq!(store.value(KEY).as_deref(), Some(BOBS));
}

#[test]
fn undrain_race_with_another_undrain_is_done() {
    let store = fleet();
    store.set(KEY, BOBS);
    store.fault(KEY, Fault::Race(None));
    assert_eq!(json(&store, &["undrain", "v01"]).code, 0);
    assert!(changes(&store).is_empty());
}

#[test]
fn drain_that_no_controller_has_heard_of_is_pending() {
    // Symptom: an operator is told that a drain is accepted, and the VM gets requests
    //   for a whole outage.
    // Sequence: the drain is written; the store goes down before any watch has shown
    //   it.
    // Cause: the store's answer is taken for the word that somebody acts on it.
    let store = fleet();
    store.hear_nothing();
    let ran = json(&store, &["drain", "v01"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (7, Some("pending")));
    assert_eq!((store.writes(KEY), changes(&store).len()), (1, 1), "it stands, and is audited");
    assert!(ran.took_ms >= 1_000, "it waits for a controller: {} ms", ran.took_ms);
    // Asked again, it waits again; an answer is none before it is in force.
    assert_eq!(json(&store, &["drain", "v01"]).code, 7);
    assert_eq!(store.writes(KEY), 1);
}
