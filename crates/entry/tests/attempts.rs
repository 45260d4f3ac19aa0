//! Tries of one job that overlap, at one entry VM.

use corianderfork_entry::attempts::Tries;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn may_be_stored_while_one_of_two_tries_goes_on() {
    // Symptom: a caller is told that its job never runs, and it runs.
    // Sequence: a job is handed in twice; the second try is refused unwritten while
    //   the first one's write is on its way.
    // Cause: a try that was refused was taken for all of them.
    let mut tries = Tries::default();
    tries.begins("a");
    tries.begins("a");
    tries.ends("a");
    assert!(tries.may_be_stored(at(0), "a"), "the other goes on");
    assert!(!tries.may_be_stored(at(0), "b"));
    tries.ends("a");
    assert!(!tries.may_be_stored(at(0), "a"));
}

#[test]
fn may_be_stored_for_a_while_after_a_write_was_given_up() {
    let mut tries = Tries::default();
    tries.begins("a");
    tries.note_unsure(at(1_000), "a");
    tries.ends("a");
    assert!(tries.may_be_stored(at(15_900), "a"));
    assert!(!tries.may_be_stored(at(16_000), "a"));
}
