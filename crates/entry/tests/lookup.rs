//! Lookups of a job's two records while they change.

use std::collections::BTreeMap;

use corianderfork_entry::lookup::{Lookup, LookupStep, job_key, run_key};
use corianderfork_jobs::record::{Progress, State};

const POOL: &str = "alpha";
const ID: &str = "5c0e7a21d94b36f8";

type Records = BTreeMap<String, Vec<u8>>;

/// Returns a progress record as an owner writes it.
fn progress(state: State) -> Vec<u8> {
    let progress = Progress { state, queue: "q".to_owned(), ..Progress::default() };
    serde_json::to_vec(&progress).expect("plain data")
}

/// Returns the store's content with an accepted job, after the start of its first task, and
/// after its end. Each step is one write.
fn writes() -> Vec<Records> {
    let accepted = Records::from([(job_key(POOL, ID), b"{}".to_vec())]);
    let mut running = accepted.clone();
    running.insert(run_key(POOL, ID), progress(State::Running));
    let ended = Records::from([(run_key(POOL, ID), progress(State::Completed))]);
    vec![accepted, running, ended]
}

/// Looks the job up in a store whose content at the n-th read is `seen[n]`.
fn look_up(seen: &[&Records]) -> LookupStep {
    let mut lookup = Lookup::new(POOL, ID);
    for records in seen {
        let LookupStep::Read(key) = lookup.next() else { break };
        lookup.set_value(records.get(&key).map(Vec::as_slice));
    }
    lookup.next()
}

#[test]
fn lookup_while_the_job_ends() {
    // Failure: a caller gets the response that a job accepted four seconds before doesn't exist.
    // The entry VM couldn't reach the owner and read the progress record, which didn't exist yet;
    // then the owner wrote the job's end and removed the acceptance record, which the entry VM read
    // next. Both reads found nothing although the job existed all the time.
    let writes = writes();
    for first in 0..writes.len() {
        for second in first..writes.len() {
            let found = look_up(&[&writes[first], &writes[second]]);
            assert!(matches!(found, LookupStep::Found(_)), "{first}, then {second}: {found:?}");
        }
    }
}

#[test]
fn lookup_newest_state() {
    let writes = writes();
    let at = |n: usize| look_up(&[&writes[n], &writes[n]]);
    assert_eq!(at(0), LookupStep::Found(State::Queued));
    assert_eq!(at(1), LookupStep::Found(State::Running));
    assert_eq!(at(2), LookupStep::Found(State::Completed));
}

#[test]
fn lookup_unknown_job() {
    let empty = Records::new();
    assert_eq!(look_up(&[&empty, &empty]), LookupStep::Absent);
}

#[test]
fn lookup_damaged_record() {
    // Failure: a caller gets the response that a job doesn't exist or is queued although it ended.
    // Another writer overwrote the progress record, and an undecodable record was taken for a
    // missing one.
    let damaged = Records::from([(run_key(POOL, ID), b"\xff{".to_vec())]);
    assert_eq!(look_up(&[&damaged, &damaged]), LookupStep::Unreadable);
}
