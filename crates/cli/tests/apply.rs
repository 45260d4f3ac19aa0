//! Configurations: accepted, rejected, in conflict, unknown.

mod fake;

use corianderfork_provider::key::{AUDIT, CONFIG, audit};
use corianderfork_provider::record::{AuditSegment, Config};
use fake::{Fake, Fault, file, json, sample, theirs};
use std::sync::Arc;

fn text(store: &Fake) -> String {
    let value = store.value(CONFIG).expect("a configuration is in force");
    serde_json::from_str::<Config>(&value).expect("it is a record").text
}

fn audited(store: &Fake) -> Vec<u64> {
    let Some(value) = store.value(&audit(0)) else { return Vec::new() };
    let trail: AuditSegment = serde_json::from_str(&value).expect("it is a segment");
    trail.lines.iter().map(|line| line.revision).collect()
}

#[test]
fn apply_valid_is_in_force_and_audited() {
    let store = Arc::new(Fake::default());
    let ran = json(&store, &["apply", &file(sample(12, 8)), "--note", "first"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!(text(&store), sample(12, 8));
    assert_eq!(ran.json()["revision"], store.revision_of(CONFIG));
    assert_eq!(audited(&store), [store.revision_of(CONFIG)]);
}

#[test]
fn apply_same_text_writes_nothing() {
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    let ran = json(&store, &["apply", &file(sample(12, 8))]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("unchanged")));
    assert_eq!((store.writes(CONFIG), audited(&store).len()), (1, 0));
}

#[test]
fn apply_race_shows_differences_and_loses_nothing() {
    // Symptom: one operator's change is gone, and nobody was told.
    // Sequence: Ann reads revision 1; Bob applies 2; Ann writes over it.
    // Cause: a write that does not say which revision it was decided on.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store.fault(CONFIG, Fault::Race(Some(theirs(&sample(14, 8)))));
    let path = file(sample(12, 9));
    let ran = json(&store, &["apply", &path, "--expect", "1"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (3, Some("conflict")));
    let licences = serde_json::json!([{
        "change": "set", "section": "service.transfer", "key": "licences", "from": "12", "to": "14"
    }]);
    assert_eq!(ran.json()["changed_by_others"], licences);
    assert_eq!(ran.json()["yours"].as_array().map(Vec::len), Some(2));
    assert_eq!(text(&store), sample(14, 8));
    assert_eq!(std::fs::read_to_string(path).expect("the file is there"), sample(12, 9));
    assert!(audited(&store).is_empty());
}

#[test]
fn apply_expect_other_revision_is_conflict() {
    // Symptom: an edit of an old copy undoes what was applied since.
    // Sequence: Ann prints revision 1 and edits it; Bob applies 2; Ann applies.
    // Cause: nothing says which revision the edited copy came from.
    let store = Arc::new(Fake::default());
    let printed = store.set(CONFIG, &theirs(&sample(12, 8)));
    let shown = fake::plain(&store, &["show", "config", "--platform", "127.0.0.1:1"]).out;
    store.set(CONFIG, &theirs(&sample(14, 8)));
    let edited = shown.replace("cores = 8", "cores = 9");
    let bom = format!("\u{feff}{edited}");
    let plain = file(sample(12, 9));
    let expected = printed.to_string();
    let lines: [&[&str]; 3] = [
        &["apply", &file(edited)],
        &["apply", &file(bom)],
        &["apply", &plain, "--expect", &expected],
    ];
    for line in lines {
        let ran = json(&store, line);
        assert_eq!(ran.code, 3, "{line:?}");
        assert_eq!(ran.json()["yours"].as_array().map(Vec::len), Some(2), "{line:?}");
    }
    assert_eq!(text(&store), sample(14, 8));
}

#[test]
fn apply_printed_copy_of_current_is_accepted_without_its_first_line() {
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    let shown = fake::plain(&store, &["show", "config", "--platform", "127.0.0.1:1"]).out;
    let ran = json(&store, &["apply", &file(shown.replace("cores = 8", "cores = 9"))]);
    assert_eq!(ran.code, 0);
    assert_eq!(text(&store), sample(12, 9));
}

#[test]
fn apply_lost_answer_is_recognised() {
    // Symptom: the operator is told of a conflict with himself, or applies twice.
    // Sequence: the write takes effect; its answer is lost; the command reads back.
    // Cause: a lost answer taken for a write that did not happen.
    let store = Arc::new(Fake::default());
    store.fault(CONFIG, Fault::LoseAnswer(vec![]));
    let ran = json(&store, &["apply", &file(sample(12, 8))]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!((store.writes(CONFIG), ran.json()["revision"].as_u64()), (1, Some(1)));
    assert_eq!(audited(&store), [1]);
}

#[test]
fn apply_lost_request_is_written_again() {
    // Symptom: the operator is told it is in force, and it is not.
    // Sequence: the request is lost on its way; no answer comes.
    // Cause: a lost answer taken for a write that happened.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store.fault(CONFIG, Fault::LoseRequest(vec![]));
    let ran = json(&store, &["apply", &file(sample(12, 9)), "--expect", "1"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("accepted")));
    assert_eq!((store.writes(CONFIG), text(&store)), (2, sample(12, 9)));
}

#[test]
fn apply_lost_answer_then_replaced_is_accepted_and_said() {
    // Symptom: told of a conflict, the operator applies again and undoes Bob's change.
    // Sequence: Ann's write takes effect, its answer is lost, Bob replaces it.
    // Cause: only the current entry is looked at, which is Bob's.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store.fault(CONFIG, Fault::LoseAnswer(vec![theirs(&sample(14, 9))]));
    let ran = json(&store, &["apply", &file(sample(12, 9)), "--expect", "1"]);
    assert_eq!((ran.code, &ran.json()["replaced"]), (0, &serde_json::json!(true)));
    assert_eq!((ran.json()["revision"].as_u64(), audited(&store)), (Some(2), vec![2]));
    assert_eq!(text(&store), sample(14, 9));
}

#[test]
fn apply_lost_request_then_race_is_conflict() {
    // Symptom: a conflict reported as accepted, or as unknown for ever.
    // Sequence: Ann's request is lost; Bob applies; Ann reads back.
    // Cause: the history since Ann's read is not looked at.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store.fault(CONFIG, Fault::LoseRequest(vec![theirs(&sample(14, 8))]));
    let ran = json(&store, &["apply", &file(sample(12, 9)), "--expect", "1"]);
    assert_eq!((ran.code, text(&store)), (3, sample(14, 8)));
    assert!(audited(&store).is_empty());
}

#[test]
fn apply_lost_answer_without_history_is_unknown() {
    // Symptom: a guess reported as a fact.
    // Sequence: the answer is lost, others write, the store forgets how it began.
    // Cause: what cannot be told is told all the same.
    let store = Arc::new(Fake::default());
    store.forget();
    store.fault(CONFIG, Fault::LoseAnswer(vec![theirs(&sample(14, 8))]));
    let ran = json(&store, &["apply", &file(sample(12, 9))]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (5, Some("unknown")));
}

#[test]
fn apply_lost_answer_store_down_is_unknown_in_time() {
    // Symptom: the command hangs, or says that nothing was changed.
    // Sequence: the write takes effect, its answer is lost, the store goes down.
    // Cause: no bound on the reading back, or a later refusal taken for the write's.
    let store = Arc::new(Fake::default());
    store.fault(CONFIG, Fault::LoseAnswerAndDown);
    let ran = json(&store, &["apply", &file(sample(12, 8)), "--timeout", "7"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (5, Some("unknown")));
    assert!((7_000..9_000).contains(&ran.took_ms), "{}", ran.took_ms);
}

#[test]
fn apply_store_down_changes_nothing() {
    // Symptom: the operator can't tell whether to apply again.
    // Sequence: the store is down before the first call.
    // Cause: one exit code for all failures of the store.
    let store = Arc::new(Fake::default());
    store.down(true);
    let ran = json(&store, &["apply", &file(sample(12, 8))]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (4, Some("unavailable")));
    assert_eq!(store.writes(CONFIG), 0);
}

#[test]
fn apply_lost_audit_is_written_once() {
    // Symptom: a change without its line in the trail, or with two.
    // Sequence: the change takes effect; the answer to the audit's write is lost.
    // Cause: the audit is not tried again, or without looking.
    for fault in [Fault::LoseAnswer(vec![]), Fault::LoseRequest(vec![])] {
        let store = Arc::new(Fake::default());
        store.fault(AUDIT, fault);
        let ran = json(&store, &["apply", &file(sample(12, 8))]);
        assert_eq!((ran.code, &ran.json()["audited"]), (0, &serde_json::json!(true)));
        assert_eq!(audited(&store), [1]);
    }
}

#[test]
fn apply_audit_down_still_accepted_and_said() {
    // Symptom: the operator takes an accepted change for a failed one.
    // Sequence: the change takes effect; the store goes down before the audit.
    // Cause: the audit's failure reported as the change's.
    let store = Arc::new(Fake::default());
    store.fault(AUDIT, Fault::LoseAnswerAndDown);
    let ran = json(&store, &["apply", &file(sample(12, 8)), "--timeout", "2"]);
    assert_eq!((ran.code, &ran.json()["audited"]), (0, &serde_json::json!(false)));
}

#[test]
fn apply_bad_file_is_rejected_before_any_call() {
    // Symptom: a crash, or half a configuration in force.
    // Sequence: an operator names the wrong file.
    // Cause: input that is trusted to be what it should be.
    let mut late = sample(12, 8).into_bytes();
    late.push(0xff);
    let large = sample(12, 8) + &"; filler\n".repeat(120_000);
    let escaped = sample(12, 8) + ";" + &"\\".repeat(600_000) + "\n";
    let broken = sample(12, 8).replace("cores = 8", "cors = 8").replace("= kolkata", "= kolkatta");
    let files = [file(late), file(large), file(escaped), file("%PDF-1.4\n\0\u{1}"), file("")];
    for path in files.iter().chain([&file(&broken), &"/nowhere/fleet.ini".to_owned()]) {
        let store = Arc::new(Fake::default());
        let ran = json(&store, &["apply", path]);
        assert_eq!((ran.code, ran.json()["outcome"].as_str()), (1, Some("rejected")), "{path}");
        assert_eq!((store.reads(), store.writes(CONFIG)), (0, 0), "{path}");
        assert_eq!(json(&store, &["check", path]).code, 1, "{path}");
    }
    let ran = json(&Arc::new(Fake::default()), &["check", &files[1]]);
    assert!(ran.json()["message"].as_str().is_some_and(|text| text.contains("too large")));
    let ran = json(&Arc::new(Fake::default()), &["check", &file(&broken)]);
    let mistakes = ran.json()["mistakes"].as_array().cloned().unwrap_or_default();
    let lines: Vec<_> = mistakes.iter().filter_map(|mistake| mistake["line"].as_u64()).collect();
    assert!(lines.contains(&11) && lines.contains(&19), "all at once: {mistakes:?}");
}

#[test]
fn apply_without_base_over_another_is_conflict() {
    // Symptom: a change that Bob made is undone, and nobody was told.
    // Sequence: Bob applies a change; Ann applies an old copy of her own.
    // Cause: a file that names no revision is taken to replace any.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(14, 8)));
    let ran = json(&store, &["apply", &file(sample(12, 8))]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (3, Some("conflict")));
    assert_eq!(ran.json()["yours"].as_array().map(Vec::len), Some(1));
    assert_eq!(text(&store), sample(14, 8));
}

#[test]
fn apply_same_file_again_is_unchanged() {
    // Symptom: a file applied a second time is refused, with no difference to
    // show.
    // Sequence: an operator applies a file with its first line, then again.
    // Cause: the first line names the revision before its own.
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    let path = file(format!("; corianderctl: revision 1\n{}", sample(14, 8)));
    assert_eq!(json(&store, &["apply", &path]).code, 0);
    let again = json(&store, &["apply", &path]);
    assert_eq!((again.code, again.json()["outcome"].as_str()), (0, Some("unchanged")));
}

#[test]
fn apply_that_no_controller_has_heard_of_is_pending() {
    // Symptom: a configuration that was told to be accepted is in force nowhere for a
    //   whole outage.
    // Sequence: it is written; the store goes down before any watch has shown it.
    // Cause: the store's answer is taken for the word that somebody acts on it.
    let store = Arc::new(Fake::default());
    store.hear_nothing();
    let path = file(sample(12, 8));
    let ran = json(&store, &["apply", &path]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (7, Some("pending")));
    assert_eq!((store.writes(CONFIG), audited(&store).len()), (1, 1), "it stands, and is audited");
    assert_eq!(json(&store, &["apply", &path]).code, 7, "the same is pending still");
}
