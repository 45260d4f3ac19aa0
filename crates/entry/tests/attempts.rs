//! Overlapping attempts to store one job at one entry VM.

use corianderfork_entry::attempts::Attempts;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn may_be_stored_during_another_attempt() {
    // Failure: a caller gets the response that its job never runs, but it runs. The job was
    // submitted twice; the second attempt was refused unwritten while the first one's write was in
    // flight, and that refusal was taken for the result of both.
    let mut attempts = Attempts::default();
    attempts.begin("a");
    attempts.begin("a");
    attempts.end("a");
    assert!(attempts.may_be_stored(at(0), "a"), "the other attempt is in progress");
    assert!(!attempts.may_be_stored(at(0), "b"));
    attempts.end("a");
    assert!(!attempts.may_be_stored(at(0), "a"));
}

#[test]
fn may_be_stored_after_an_unsure_write() {
    let mut attempts = Attempts::default();
    attempts.begin("a");
    attempts.note_unsure(at(1_000), "a");
    attempts.end("a");
    assert!(attempts.may_be_stored(at(15_900), "a"));
    assert!(!attempts.may_be_stored(at(16_000), "a"));
}
