//! When a pool gives a worker up for another life of a VM.

use corianderfork_entry::exchange::Exchange;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// How many workers a pool gives up within `millis` that never helps.
fn given(millis: u64) -> usize {
    let mut exchange = Exchange::default();
    let mut note_departure =
        |now: u64| exchange.should_release(at(now), true) && exchange.note_departure(at(now));
    (0..millis).step_by(100).filter(|now| note_departure(*now)).count()
}

#[test]
fn gives_ever_more_seldom_where_it_doesnt_help() {
    // Symptom: VMs go to and fro without end.
    // Sequence: a service allows a step on no worker at all; each that comes is
    //   asked about, and given up for the next.
    // Cause: nothing bounds the exchanges.
    assert_eq!(given(1_000), 1);
    assert_eq!(given(20_000), 5, "one in four seconds");
    assert!(given(600_000) <= 20, "{}", given(600_000));
}

#[test]
fn gives_nothing_while_the_pool_can_have_one_more() {
    let mut exchange = Exchange::default();
    assert!(!exchange.should_release(at(0), false));
    assert!(!exchange.note_departure(at(0)), "a VM that leaves for another reason");
    assert!(exchange.should_release(at(100), true));
    assert!(!exchange.should_release(at(200), false), "a VM has come free");
}

#[test]
fn gives_up_where_no_worker_runs_empty() {
    let mut exchange = Exchange::default();
    assert!(exchange.should_release(at(0), true));
    assert!(exchange.should_release(at(4_900), true));
    assert!(!exchange.should_release(at(5_000), true), "its workers take work again");
}
