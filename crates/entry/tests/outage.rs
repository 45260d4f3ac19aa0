//! Detection of outages of the store. The scenario is a store that is silent, resets
//! connections or is slow for some seconds while callers submit jobs; the times are those
//! documented by the platform: 4 ms a response, up to a hundred times as slow.

use corianderfork_entry::outage::Outage;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn is_down_silent_store() {
    // Failure: callers wait until their deadline and get no response. The store went silent, and
    // each submitted job was written to it and waited for its response, since no call considered
    // that others had got no response.
    let mut outage = Outage::default();
    outage.note_contact(at(1_000));
    let first = outage.note_sent(at(1_100));
    assert!(!outage.is_down(at(1_600)));
    assert!(outage.is_down(at(1_700)), "detected before the first call times out");
    outage.note_failure(first);
    let probe = outage.note_sent(at(2_000));
    outage.note_failure(probe);
    assert!(outage.is_down(at(2_600)), "while probes fail");
    let probe = outage.note_sent(at(2_800));
    outage.note_response(at(2_804), probe);
    assert!(!outage.is_down(at(2_804)), "up with the first response");
}

#[test]
fn is_down_not_if_slow() {
    // Failure: jobs are refused although the store would accept them. Its responses took a
    // hundred times as long, and a slow store was taken for one that is down.
    let mut outage = Outage::default();
    for n in 0..50 {
        let call = outage.note_sent(at(n * 100));
        assert!(!outage.is_down(at(n * 100 + 399)));
        outage.note_response(at(n * 100 + 400), call);
    }
}

#[test]
fn is_down_not_after_one_lost_response() {
    // Failure: an entry VM refuses all callers because one connection went silent. One call
    // hung while others got responses, but only the oldest call was considered.
    let mut outage = Outage::default();
    let _hanging = outage.note_sent(at(0));
    let other = outage.note_sent(at(300));
    outage.note_response(at(304), other);
    assert!(!outage.is_down(at(900)));
}

#[test]
fn is_down_if_calls_fail_at_once() {
    let mut outage = Outage::default();
    outage.note_contact(at(1_000));
    for n in 0..2 {
        let call = outage.note_sent(at(1_010 + n));
        outage.note_failure(call);
    }
    assert!(!outage.is_down(at(1_100)), "a restart may reset all connections at once");
    assert!(outage.is_down(at(1_260)));
}

// Guards against jobs whose outcome nobody knows: the store goes away, and each entry VM writes the
// next job before it has noticed, although its watches were cut.
#[test]
fn is_suspected_after_a_cut_until_the_next_response() {
    let mut outage = Outage::default();
    assert!(!outage.is_suspected());
    outage.note_cut();
    assert!(outage.is_suspected());
    assert!(!outage.is_down(Time::from_millis(10_000)), "a cut alone shows no outage");
    let call = outage.note_sent(Time::from_millis(10_000));
    outage.note_response(Time::from_millis(10_004), call);
    assert!(!outage.is_suspected());
    let call = outage.note_sent(Time::from_millis(10_010));
    outage.note_failure(call);
    assert!(outage.is_suspected());
}

// Guards against a daemon that wakes from a freeze and takes its own silence for the store's: it
// refused jobs, and relied on the configuration from before.
#[test]
fn is_down_not_after_a_freeze() {
    let mut outage = Outage::default();
    outage.note_running(at(1_000));
    outage.note_contact(at(1_000));
    let first = outage.note_sent(at(1_100));
    assert!(!outage.is_down(at(9_000)), "it was frozen since");
    outage.note_running(at(9_000));
    // Its connections have broken.
    outage.note_failure(first);
    let second = outage.note_sent(at(9_010));
    outage.note_failure(second);
    assert!(!outage.is_down(at(9_010)));
    for tick in 1..=4 {
        outage.note_running(at(9_000 + tick * 100));
    }
    assert!(outage.is_down(at(9_400)), "the store doesn't answer now either");
}
