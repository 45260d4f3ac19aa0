//! Tests of the `wave` commands.

mod fake;

use std::sync::Arc;

use corianderfork_provider::key::{CONFIG, WAVE};
use corianderfork_provider::record::Wave;
use fake::{FakeStore, bobs_record, config_text, run_json};

fn fleet() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    store.set(CONFIG, &bobs_record(&config_text(12, 8)));
    store
}

fn wave(store: &FakeStore) -> Wave {
    serde_json::from_str(&store.value(WAVE).expect("a wave")).expect("a record")
}

#[test]
fn wave_start_with_vms() {
    let store = fleet();
    let result =
        run_json(&store, &["wave", "start", "v01", "v02", "--step", "2", "--reason", "kernel"]);
    assert_eq!((result.code, result.json()["outcome"].as_str()), (0, Some("accepted")));
    let wave = wave(&store);
    let todo: Vec<_> = wave.todo.iter().map(|name| name.as_str()).collect();
    assert_eq!((wave.number, wave.step, todo), (1, 2, vec!["v01", "v02"]));
}

#[test]
fn wave_start_unknown_vm() {
    let store = fleet();
    assert_eq!(run_json(&store, &["wave", "start", "v99"]).code, 1);
    assert!(store.value(WAVE).is_none());
}

#[test]
fn wave_start_conflict() {
    // A second wave that replaced the lists of the one in progress would reboot some
    // VMs twice and others never.
    let store = fleet();
    assert_eq!(run_json(&store, &["wave", "start", "v01"]).code, 0);
    assert_eq!(run_json(&store, &["wave", "start", "v02"]).code, 3);
    assert_eq!(wave(&store).todo.len(), 1);
}

#[test]
fn wave_halt_and_resume() {
    let store = fleet();
    assert_eq!(run_json(&store, &["wave", "resume"]).code, 1);
    assert_eq!(run_json(&store, &["wave", "start"]).code, 0);
    assert_eq!(run_json(&store, &["wave", "halt", "--reason", "look"]).code, 0);
    assert!(wave(&store).halted.is_some_and(|halted| halted.contains("look")));
    assert_eq!(run_json(&store, &["wave", "resume"]).code, 0);
    assert_eq!(wave(&store).halted, None);
}
