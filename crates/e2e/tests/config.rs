//! `config`: an accepted configuration is in force everywhere within 4 s and
//! never reverts.

use std::time::Duration;

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, playground, wait};
use corianderfork_provider::key;
use corianderfork_provider::store::Store;
use serde_json::json;

/// What is promised to operators.
const PROMISED: Duration = Duration::from_secs(4);

fn revision(system: &System) -> f64 {
    let entry = system.store().get(key::CONFIG).expect("the store is up").entry;
    entry.expect("applied").revision.0 as f64
}

fn in_force(system: &System, entry: usize) -> Option<f64> {
    playground::config_revision(system.entries[entry].callers())
}

#[test]
fn config_in_force_though_a_watch_is_silent() {
    // Symptom: one proxy serves by yesterday's configuration; nothing logs it.
    // Sequence: the connection of its watch goes silent, new ones work; an
    // operator applies a change.
    // Cause: something between the two ends lost track of the connection, and
    // a watch that waits for ever can't tell silence from no change.
    let system = System::converged(Config::new(SMALL).faults());
    for entry in 0..system.entries.len() {
        system.network_fault(entry, &json!({ "silent": true }));
    }
    let took = playground::change_config(&system, SMALL);
    assert!(took < PROMISED, "in force after {took:?}");
}

#[test]
fn config_in_force_though_a_proxy_is_cut_off_from_the_store() {
    // Symptom: one proxy never learns of a change.
    // Sequence: it is cut off from the store for good; a change is applied.
    // Cause: it asks nobody but the store.
    let system = System::converged(Config::new(SMALL).faults());
    system.network_fault(0, &json!({ "cut": true }));
    let took = playground::change_config(&system, SMALL);
    assert!(took < PROMISED, "in force after {took:?}");
}

#[test]
fn config_new_proxy_while_the_store_is_down() {
    // Symptom: a replaced entry VM refuses callers for the whole outage, or
    // serves by an older configuration.
    // Sequence: a change is applied; the store goes down; an entry VM is
    // replaced.
    // Cause: a new process reads its configuration from the store alone.
    let mut system = System::converged(Config::new(SMALL));
    playground::change_config(&system, SMALL);
    let newest = revision(&system);
    system.store_down(true);
    system.replace(0);
    system.wait_proxy_ready(&system.entries[0]);
    assert_eq!(in_force(&system, 0), Some(newest));
    system.store_down(false);
}

#[test]
fn config_alone_without_store_or_peers_is_not_ready() {
    // Symptom: a new proxy that knows nothing answers callers.
    // Sequence: the store is down when the first entry VM starts.
    // Cause: readiness is taken to be that the port is open.
    let mut system = System::start(Config::new(SMALL).entries(1));
    system.apply();
    system.wait_serving();
    system.store_down(true);
    system.replace(0);
    let (status, text) =
        http::get(system.entries[0].callers(), "/-/ready").expect("an answer to the balancer");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("configuration"), "{text}");
    system.store_down(false);
    system.wait_proxy_ready(&system.entries[0]);
}

#[test]
fn config_never_reverts_though_a_frozen_proxy_wakes() {
    // Symptom: an older configuration is in force again for a moment.
    // Sequence: a proxy is frozen; two changes are applied; it wakes and tells
    // its peers of the revision it has.
    // Cause: the last message heard wins, not the newest revision.
    let system = System::converged(Config::new(SMALL));
    system.entries[0].proxy.as_ref().expect("runs").stop().expect("freezes");
    let (code, out) = system.apply_text(&format!("{SMALL}\n; one\n"));
    assert_eq!(code, 0, "{out}");
    let (code, out) = system.apply_text(&format!("{SMALL}\n; two\n"));
    assert_eq!(code, 0, "{out}");
    let newest = revision(&system);
    wait::until("the others to have it", || {
        let all = (1..3).all(|entry| in_force(&system, entry) == Some(newest));
        all.then_some(())
    });
    system.entries[0].proxy.as_ref().expect("runs").cont().expect("wakes");
    wait::until("the woken proxy to have it", || {
        for entry in 1..3 {
            assert!(in_force(&system, entry).is_some_and(|seen| seen >= newest), "reverted");
        }
        (in_force(&system, 0) == Some(newest)).then_some(())
    });
}

#[test]
fn config_two_operators_at_once_one_conflicts() {
    // Symptom: one operator's change is gone, and nobody was told.
    // Sequence: two operators read the same configuration and apply.
    // Cause: the second write does not say what it was decided on.
    let system = System::converged(Config::new(SMALL));
    let seen = revision(&system).to_string();
    let apply = |text: &str| {
        let path = std::env::temp_dir().join(format!("corianderfork-{}.ini", std::process::id()));
        std::fs::write(&path, text).expect("writable");
        let run = system.operator(&["apply", path.to_str().expect("UTF-8"), "--expect", &seen]);
        std::fs::remove_file(path).expect("removable");
        run
    };
    let (first, out) = apply(&SMALL.replace("licences = 6", "licences = 7"));
    assert_eq!(first, 0, "{out}");
    let (second, out) = apply(&SMALL.replace("cores = 16", "cores = 32"));
    assert_eq!(second, 3, "{out}");
    assert!(out.contains("cores"), "the difference is not shown: {out}");
    let (_, shown) = system.operator(&["show", "config"]);
    assert!(shown.contains("licences = 7") && !shown.contains("cores = 32"), "{shown}");
}
