//! When the store is taken to be away. The load is that of a store which is
//! silent, resets connections, or is slow, for some seconds while callers hand in
//! jobs; the times are those that the platform's pages name for it: 4 ms an
//! answer, up to a hundred times as slow.

use corianderfork_entry::outage::Outage;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn is_down_while_it_takes_calls_and_answers_none() {
    // Symptom: callers are held until their deadline, and told nothing.
    // Sequence: the store goes silent; each job that is handed in is written to
    //   it and waits for an answer.
    // Cause: nobody concludes from one call what it means for the next.
    let mut outage = Outage::default();
    outage.note_contact(at(1_000));
    let first = outage.note_sent(at(1_100));
    assert!(!outage.is_down(at(1_600)));
    assert!(outage.is_down(at(1_700)), "known before the first call is given up");
    outage.note_failure(first);
    let probe = outage.note_sent(at(2_000));
    outage.note_failure(probe);
    assert!(outage.is_down(at(2_600)), "as long as probes fail");
    let probe = outage.note_sent(at(2_800));
    outage.note_response(at(2_804), probe);
    assert!(!outage.is_down(at(2_804)), "and not a moment longer");
}

#[test]
fn is_down_not_while_it_is_slow() {
    // Symptom: jobs are refused though the store would take them.
    // Sequence: its answers take a hundred times as long.
    // Cause: slow is taken for gone.
    let mut outage = Outage::default();
    for n in 0..50 {
        let call = outage.note_sent(at(n * 100));
        assert!(!outage.is_down(at(n * 100 + 399)));
        outage.note_response(at(n * 100 + 400), call);
    }
}

#[test]
fn is_down_not_after_one_lost_answer() {
    // Symptom: an entry VM refuses all callers because one connection went silent.
    // Sequence: one call hangs; others are answered meanwhile.
    // Cause: the oldest call alone is looked at.
    let mut outage = Outage::default();
    let _hangs = outage.note_sent(at(0));
    let other = outage.note_sent(at(300));
    outage.note_response(at(304), other);
    assert!(!outage.is_down(at(900)));
}

#[test]
fn is_down_where_calls_fail_at_once() {
    let mut outage = Outage::default();
    outage.note_contact(at(1_000));
    for n in 0..2 {
        let call = outage.note_sent(at(1_010 + n));
        outage.note_failure(call);
    }
    assert!(!outage.is_down(at(1_100)), "one moment may reset all connections");
    assert!(outage.is_down(at(1_260)));
}
