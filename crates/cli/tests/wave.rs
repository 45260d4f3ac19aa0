//! Waves on order: one at a time, of VMs that exist.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, WAVE};
use corianderfork_provider::record::Wave;
use fake::{Fake, json, sample, theirs};

fn fleet() -> Arc<Fake> {
    let store = Arc::new(Fake::default());
    store.set(CONFIG, &theirs(&sample(12, 8)));
    store
}

fn wave(store: &Fake) -> Wave {
    serde_json::from_str(&store.value(WAVE).expect("a wave")).expect("a record")
}

#[test]
fn wave_start_names_its_vms() {
    let store = fleet();
    let ran = json(&store, &["wave", "start", "v01", "v02", "--step", "2", "--reason", "kernel"]);
    assert_eq!((ran.code, ran.json()["outcome"].as_str()), (0, Some("accepted")));
    let wave = wave(&store);
    let todo: Vec<_> = wave.todo.iter().map(|name| name.as_str()).collect();
    assert_eq!((wave.number, wave.step, todo), (1, 2, vec!["v01", "v02"]));
}

#[test]
fn wave_start_of_an_unknown_vm_is_rejected() {
    let store = fleet();
    assert_eq!(json(&store, &["wave", "start", "v99"]).code, 1);
    assert!(store.value(WAVE).is_none());
}

#[test]
fn wave_start_while_one_is_under_way_is_conflict() {
    // Symptom: half of a fleet is rebooted twice, the other half never.
    // Sequence: an operator orders a wave while another one is under way.
    // Cause: the second order takes the place of the first one's lists.
    let store = fleet();
    assert_eq!(json(&store, &["wave", "start", "v01"]).code, 0);
    assert_eq!(json(&store, &["wave", "start", "v02"]).code, 3);
    assert_eq!(wave(&store).todo.len(), 1);
}

#[test]
fn wave_halt_and_resume() {
    let store = fleet();
    assert_eq!(json(&store, &["wave", "resume"]).code, 1);
    assert_eq!(json(&store, &["wave", "start"]).code, 0);
    assert_eq!(json(&store, &["wave", "halt", "--reason", "look"]).code, 0);
    assert!(wave(&store).halted.is_some_and(|halted| halted.contains("look")));
    assert_eq!(json(&store, &["wave", "resume"]).code, 0);
    assert_eq!(wave(&store).halted, None);
}
