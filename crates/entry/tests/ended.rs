//! Workers that have ended, by the list of VMs.

use std::collections::BTreeMap;

use corianderfork_adapter::fleet::{State, Vm};
use corianderfork_entry::ended::Workers;
use corianderfork_jobs::job::Room;
use corianderfork_model::Time;

/// The interval between two lists, in milliseconds.
const LIST_MS: u64 = 250;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns a list of one other VM and `m-1`, which runs `worker` in `state`.
fn list(state: State, worker: &str) -> BTreeMap<String, Vm> {
    let vm = |name: &str, state, worker: &str| {
        let (name, pool) = (name.to_owned(), "p".to_owned());
        Vm { name, pool, state, worker: worker.to_owned(), room: Room::default() }
    };
    let vms = [vm("m-1", state, worker), vm("m-2", State::Up, "i-2")];
    vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect()
}

/// Notes the same list for `millis` from `from`.
fn note_for(workers: &mut Workers, from: u64, millis: u64, vms: &BTreeMap<String, Vm>) {
    for time in (from..=from + millis).step_by(LIST_MS as usize) {
        workers.note_list(at(time), vms);
    }
}

fn silent_worker() -> Workers {
    let mut workers = Workers::default();
    note_for(&mut workers, 0, 1_000, &list(State::Up, "i-1"));
    workers.set_silent("p", vec!["i-1".to_owned()]);
    workers
}

// Guards against taking a worker for lost that is only cut off: its tasks would run twice.
#[test]
fn ended_while_its_vm_runs_it() {
    let mut workers = silent_worker();
    note_for(&mut workers, 1_250, 30_000, &list(State::Up, "i-1"));
    assert!(workers.ended("p").is_empty());
}

#[test]
fn ended_by_each_sign_of_the_platform() {
    let mut without = list(State::Up, "i-1");
    without.remove("m-1");
    let (down, restarted) = (list(State::Down, "i-1"), list(State::Up, "i-7"));
    for vms in [without, down, restarted, list(State::Moving, "")] {
        let mut workers = silent_worker();
        note_for(&mut workers, 1_250, 1_500, &vms);
        assert!(workers.ended("p").is_empty(), "the list lags");
        note_for(&mut workers, 3_000, 500, &vms);
        assert_eq!(workers.ended("p"), ["i-1"], "{vms:?}");
    }
}

// Guards against taking a worker for lost that a single list lacks, as its pages are read one after
// the other.
#[test]
fn ended_after_lists_far_apart() {
    let mut workers = silent_worker();
    workers.note_list(at(1_250), &list(State::Up, "i-7"));
    workers.note_list(at(9_000), &list(State::Up, "i-7"));
    assert!(workers.ended("p").is_empty());
    workers.note_list(at(9_250), &list(State::Up, "i-1"));
    note_for(&mut workers, 9_500, 1_000, &list(State::Up, "i-7"));
    assert!(workers.ended("p").is_empty(), "it was listed since");
}

// Guards against a wait that begins anew when a pool or the fleet gets another owner: the worker was
// lost together with the owner that would have missed it.
#[test]
fn ended_before_its_owner_misses_it() {
    let mut workers = Workers::default();
    note_for(&mut workers, 0, 1_000, &list(State::Up, "i-1"));
    note_for(&mut workers, 1_250, 4_000, &list(State::Down, ""));
    assert!(workers.ended("p").is_empty(), "nobody misses it");
    workers.set_silent("p", vec!["i-1".to_owned()]);
    assert_eq!(workers.ended("p"), ["i-1"]);
}

#[test]
fn ended_for_a_new_planner() {
    let mut workers = Workers::default();
    workers.set_silent("p", vec!["i-1".to_owned()]);
    note_for(&mut workers, 0, 1_500, &list(State::Down, ""));
    assert!(workers.ended("p").is_empty());
    note_for(&mut workers, 1_750, 500, &list(State::Down, ""));
    assert_eq!(workers.ended("p"), ["i-1"]);
    assert!(workers.ended("q").is_empty());
}

#[test]
fn ended_by_an_empty_list() {
    let mut workers = silent_worker();
    note_for(&mut workers, 1_250, 9_000, &BTreeMap::new());
    assert!(workers.ended("p").is_empty());
}
