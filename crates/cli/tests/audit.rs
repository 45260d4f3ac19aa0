//! Tests of the audit trail: bounded, ordered, and each change once.

mod fake;

use corianderfork_provider::audit::{FIELD_CHARS, SEGMENT_BYTES, SEGMENTS, Trail, Writer};
use corianderfork_provider::key::{AUDIT, audit};
use corianderfork_provider::record::AuditLine;
use corianderfork_provider::store::{MAX_VALUE, Store};
use fake::{FakeStore, Fault};

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

fn revisions(store: &FakeStore) -> Vec<u64> {
    let range = store.range(AUDIT).expect("the store is up");
    Trail::new(&range).lines().iter().map(|line| line.revision).collect()
}

fn segments(store: &FakeStore) -> Vec<String> {
    let range = store.range(AUDIT).expect("the store is up");
    range.entries.into_iter().map(|entry| entry.key).collect()
}

#[test]
fn append_drops_oldest_segment() {
    let store = FakeStore::default();
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
fn append_reads_once_per_segment() {
    let store = FakeStore::default();
    let mut writer = Writer::new();
    (0..20).for_each(|n| writer.append(&store, &[line(n)]).expect("the store is up"));
    assert_eq!(store.reads(), 1);
}

#[test]
fn append_retry_after_lost_response() {
    // A change was in the trail twice, or not at all, after the writer or its successor
    // retried an append whose response was lost: the retry did not look for its own
    // lines.
    for fault in [Fault::LoseResponse(vec![]), Fault::LoseRequest(vec![])] {
        let store = FakeStore::default();
        let mut writer = Writer::new();
        writer.append(&store, &[line(1)]).expect("the store is up");
        store.inject(AUDIT, fault);
        writer.append(&store, &[line(2)]).expect_err("the response is lost");
        writer.append(&store, &[line(2)]).expect("the store is up");
        Writer::new().append(&store, &[line(2)]).expect("the store is up");
        assert_eq!(revisions(&store), [1, 2]);
    }
}

#[test]
fn append_retry_after_full_segment() {
    // The same lines ended one segment and began the next: the response to the append
    // that filled the segment was lost, and the retry searched only the segment to be
    // written for its lines.
    let store = FakeStore::default();
    let mut writer = Writer::new();
    let lines: Vec<AuditLine> = (0..500).map(line).collect();
    let mut batches = lines.chunks(50);
    let is_full =
        |store: &FakeStore| store.value(&audit(0)).is_some_and(|v| v.len() >= SEGMENT_BYTES);
    while !is_full(&store) {
        store.inject(AUDIT, Fault::LoseResponse(vec![]));
        let batch = batches.next().expect("500 lines fill a segment");
        writer.append(&store, batch).expect_err("the response is lost");
        writer.append(&store, batch).expect("the store is up");
    }
    let seen = revisions(&store);
    assert_eq!(seen, (0..seen.len() as u64).collect::<Vec<_>>());
    assert_eq!(segments(&store), [audit(0)]);
}

#[test]
fn append_after_pause() {
    // A writer that was paused while another filled and dropped segments continued at
    // the segment that it remembered: its new lines were before older ones, and dropped
    // with them.
    let store = FakeStore::default();
    let mut paused = Writer::new();
    while store.value(&audit(0)).is_none_or(|value| value.len() < SEGMENT_BYTES) {
        paused.append(&store, &[line(store.writes(&audit(0)) as u64)]).expect("the store is up");
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
fn append_two_writers() {
    // Two writers that append in turn overwrote each other's lines: the write did not
    // expect the revision that it was based on.
    let store = FakeStore::default();
    let (mut first, mut second) = (Writer::new(), Writer::new());
    for n in 0..200 {
        first.append(&store, &[line(2 * n)]).expect("the store is up");
        second.append(&store, &[line(2 * n + 1)]).expect("the store is up");
    }
    assert_eq!(revisions(&store), (0..400).collect::<Vec<_>>());
}

#[test]
fn append_skips_unreadable_segment() {
    // No change was audited after something else had written the last segment: a
    // segment that can't be parsed must neither stop the trail nor be overwritten.
    let store = FakeStore::default();
    store.set(&audit(0), "not JSON");
    store.set("audit/notes", "no segment");
    Writer::new().append(&store, &[line(1)]).expect("the store is up");
    assert_eq!((store.value(&audit(0)).as_deref(), revisions(&store)), (Some("not JSON"), vec![1]));
}

#[test]
fn append_longest_lines() {
    let store = FakeStore::default();
    let long = "\u{1}".repeat(20 * FIELD_CHARS);
    let longest = |revision| AuditLine { from: long.clone(), to: long.clone(), ..line(revision) };
    let lines: Vec<AuditLine> = (0..200).map(longest).collect();
    Writer::new().append(&store, &lines).expect("the store is up");
    let sizes = segments(&store).into_iter().map(|key| store.value(&key).map_or(0, |v| v.len()));
    assert!(sizes.max().is_some_and(|size| size <= MAX_VALUE));
    assert_eq!(revisions(&store).len(), 200);
}
