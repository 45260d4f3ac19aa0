//! A job's two records, read while they change.

use std::collections::BTreeMap;

use corianderfork_entry::lookup::{Lookup, LookupStep, job_key, run_key};
use corianderfork_jobs::record::{Progress, State};

const POOL: &str = "alpha";
const ID: &str = "5c0e7a21d94b36f8";

type Records = BTreeMap<String, Vec<u8>>;

/// How far a job is, as an owner writes it.
fn progress(state: State) -> Vec<u8> {
    let progress = Progress { state, queue: "q".to_owned(), ..Progress::default() };
    serde_json::to_vec(&progress).expect("plain data")
}

/// The store with an accepted job, then with its first task under way, then with
/// its end: each is one write.
fn writes() -> Vec<Records> {
    let accepted = Records::from([(job_key(POOL, ID), b"{}".to_vec())]);
    let mut running = accepted.clone();
    running.insert(run_key(POOL, ID), progress(State::Running));
    let ended = Records::from([(run_key(POOL, ID), progress(State::Completed))]);
    vec![accepted, running, ended]
}

/// Looks the job up in a store that is `seen[n]` at the n-th read.
fn look_up(seen: &[&Records]) -> LookupStep {
    let mut lookup = Lookup::new(POOL, ID);
    for records in seen {
        let LookupStep::Read(key) = lookup.next() else { break };
        lookup.learn(records.get(&key).map(Vec::as_slice));
    }
    lookup.next()
}

#[test]
fn lookup_while_the_job_ends() {
    // Symptom: a caller is told that there is no job which was accepted four
    //   seconds before.
    // Sequence: the entry VM can't reach the owner and reads the store: how far
    //   the job is (nothing was written yet); the owner writes its end, which
    //   removes the record of its acceptance; the entry VM reads that one.
    // Cause: both reads find nothing, though the job was there all the time.
    let writes = writes();
    for first in 0..writes.len() {
        for second in first..writes.len() {
            let found = look_up(&[&writes[first], &writes[second]]);
            assert!(matches!(found, LookupStep::Found(_)), "{first}, then {second}: {found:?}");
        }
    }
}

#[test]
fn lookup_tells_the_newest_state() {
    let writes = writes();
    let at = |n: usize| look_up(&[&writes[n], &writes[n]]);
    assert_eq!(at(0), LookupStep::Found(State::Queued));
    assert_eq!(at(1), LookupStep::Found(State::Running));
    assert_eq!(at(2), LookupStep::Found(State::Completed));
}

#[test]
fn lookup_of_no_job() {
    let none = Records::new();
    assert_eq!(look_up(&[&none, &none]), LookupStep::Absent);
}

#[test]
fn lookup_of_a_record_that_is_damaged() {
    // Symptom: a caller is told that there is no job, or that it waits, though it
    //   ended.
    // Sequence: another writer lays bytes over how far the job is.
    // Cause: what can't be read is taken for what isn't there.
    let damaged = Records::from([(run_key(POOL, ID), b"\xff{".to_vec())]);
    assert_eq!(look_up(&[&damaged, &damaged]), LookupStep::Unreadable);
}
