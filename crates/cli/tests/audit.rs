//! The audit trail: bounded, ordered, and each change once.

mod fake;

use corianderfork_provider::audit::{FIELD_CHARS, SEGMENT_BYTES, SEGMENTS, Trail, Writer};
use corianderfork_provider::key::{AUDIT, audit};
use corianderfork_provider::record::AuditLine;
use corianderfork_provider::store::{MAX_VALUE, Store};
use fake::{Fake, Fault};

fn line(revision: u64) -> AuditLine {
    let text = |what: &str| what.repeat(100);
    AuditLine {
        at_ms: revision,
        who: "controller".to_owned(),
        what: format!("vm v{revision}"),
        from: text("from"),
        to: text("to"),
        revision,
    }
}

fn revisions(store: &Fake) -> Vec<u64> {
    let range = store.range(AUDIT).expect("the store is up");
    Trail::new(&range).lines().iter().map(|line| line.revision).collect()
}

fn segments(store: &Fake) -> Vec<String> {
    let range = store.range(AUDIT).expect("the store is up");
    range.entries.into_iter().map(|entry| entry.key).collect()
}

#[test]
fn append_rolls_and_drops_the_oldest() {
    let store = Fake::default();
    let mut writer = Writer::new();
    let mut appended = 0;
    while store.value(&audit(SEGMENTS as u64 + 1)).is_none() {
        let lines: Vec<AuditLine> = (appended..appended + 60).map(line).collect();
        writer.append(&store, &lines).expect("the store is up");
        appended += 60;
    }
    let kept = segments(&store);
    assert_eq!((kept.len(), kept[0].clone()), (SEGMENTS, audit(2)));
    let sizes = kept.iter().map(|key| store.value(key).map_or(0, |value| value.len()));
    assert!(sizes.clone().all(|size| size < 2 * SEGMENT_BYTES));
    assert!(sizes.take(SEGMENTS - 1).all(|size| size >= SEGMENT_BYTES));
    let kept = revisions(&store);
    let first = kept[0];
    assert_eq!(kept, (first..appended).collect::<Vec<_>>());
}

#[test]
fn append_kept_writer_reads_once_a_segment() {
    let store = Fake::default();
    let mut writer = Writer::new();
    (0..20).for_each(|n| writer.append(&store, &[line(n)]).expect("the store is up"));
    assert_eq!(store.reads(), 1);
}

#[test]
fn append_lost_answer_asked_again_is_there_once() {
    // Symptom: the trail shows one change twice, or not at all.
    // Sequence: an append's answer is lost; the writer, or its successor, asks again.
    // Cause: an append that does not look for its own lines.
    for fault in [Fault::LoseAnswer(vec![]), Fault::LoseRequest(vec![])] {
        let store = Fake::default();
        let mut writer = Writer::new();
        writer.append(&store, &[line(1)]).expect("the store is up");
        store.fault(AUDIT, fault);
        writer.append(&store, &[line(2)]).expect_err("the answer is lost");
        writer.append(&store, &[line(2)]).expect("the store is up");
        Writer::new().append(&store, &[line(2)]).expect("the store is up");
        assert_eq!(revisions(&store), [1, 2]);
    }
}

#[test]
fn append_lost_answer_that_filled_the_segment_is_there_once() {
    // Symptom: the same lines end one segment and begin the next.
    // Sequence: the append that fills a segment loses its answer; it is asked again.
    // Cause: only the segment to be written is searched for the lines.
    let store = Fake::default();
    let mut writer = Writer::new();
    let lines: Vec<AuditLine> = (0..500).map(line).collect();
    let mut batches = lines.chunks(50);
    let full = |store: &Fake| store.value(&audit(0)).is_some_and(|v| v.len() >= SEGMENT_BYTES);
    while !full(&store) {
        store.fault(AUDIT, Fault::LoseAnswer(vec![]));
        let batch = batches.next().expect("500 lines fill a segment");
        writer.append(&store, batch).expect_err("the answer is lost");
        writer.append(&store, batch).expect("the store is up");
    }
    let seen = revisions(&store);
    assert_eq!(seen, (0..seen.len() as u64).collect::<Vec<_>>());
    assert_eq!(segments(&store), [audit(0)]);
}

#[test]
fn append_paused_writer_continues_at_the_end() {
    // Symptom: new lines lie before old ones, and are dropped with them.
    // Sequence: one writer is paused while another fills segments and drops them.
    // Cause: the paused one goes on from the segment it remembers.
    let store = Fake::default();
    let mut paused = Writer::new();
    while store.value(&audit(0)).is_none_or(|value| value.len() < SEGMENT_BYTES) {
        paused.append(&store, &[line(store.writes(&audit(0)) as u64)]).expect("up");
    }
    let mut next = 10_000;
    while store.value(&audit(SEGMENTS as u64 + 2)).is_none() {
        let lines: Vec<AuditLine> = (next..next + 60).map(line).collect();
        Writer::new().append(&store, &lines).expect("the store is up");
        next += 60;
    }
    paused.append(&store, &[line(next)]).expect("the store is up");
    assert_eq!(revisions(&store).last(), Some(&next));
    assert_eq!(segments(&store).len(), SEGMENTS);
    assert!(store.value(&audit(1)).is_none());
}

#[test]
fn append_two_writers_lose_nothing() {
    // Symptom: lines of one writer are gone.
    // Sequence: two writers know the same end of the trail and append in turn.
    // Cause: a write that does not expect the revision it was decided on.
    let store = Fake::default();
    let (mut one, mut two) = (Writer::new(), Writer::new());
    for n in 0..200 {
        one.append(&store, &[line(2 * n)]).expect("the store is up");
        two.append(&store, &[line(2 * n + 1)]).expect("the store is up");
    }
    assert_eq!(revisions(&store), (0..400).collect::<Vec<_>>());
}

#[test]
fn append_unreadable_segment_is_passed_over() {
    // Symptom: no change is audited any more.
    // Sequence: something else writes the last segment.
    // Cause: a segment that cannot be parsed stops the trail, or is overwritten.
    let store = Fake::default();
    store.set(&audit(0), "not JSON");
    store.set("audit/notes", "no segment");
    Writer::new().append(&store, &[line(1)]).expect("the store is up");
    assert_eq!((store.value(&audit(0)).as_deref(), revisions(&store)), (Some("not JSON"), vec![1]));
}

#[test]
fn append_longest_lines_fit_the_store() {
    let store = Fake::default();
    let long = "\u{1}".repeat(20 * FIELD_CHARS);
    let longest = |revision| AuditLine { from: long.clone(), to: long.clone(), ..line(revision) };
    let lines: Vec<AuditLine> = (0..200).map(longest).collect();
    Writer::new().append(&store, &lines).expect("the store is up");
    let sizes = segments(&store).into_iter().map(|key| store.value(&key).map_or(0, |v| v.len()));
    assert!(sizes.max().is_some_and(|size| size <= MAX_VALUE));
    assert_eq!(revisions(&store).len(), 200);
}
