//! `config`: an accepted configuration is in force everywhere within 4 s and
//! never reverts.

use std::time::Duration;

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, playground, wait};
use corianderfork_provider::key;
use corianderfork_provider::store::Store;
use serde_json::json;

/// The time limit promised to operators.
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
    // Guards against a proxy that silently keeps an outdated configuration. The network
    // loses track of its watch's connection while new connections work. A watch without
    // a timeout can't distinguish a silent connection from no change.
    let system = System::converged(Config::new(SMALL).faults());
    for entry in 0..system.entries.len() {
        system.network_fault(entry, &json!({ "silent": true }));
    }
    let took = playground::change_config(&system, SMALL);
    assert!(took < PROMISED, "in force after {took:?}");
}

#[test]
fn config_in_force_though_a_proxy_is_cut_off_from_the_store() {
    // A proxy that is permanently cut off from the store has to learn of a change from
    // its peers.
    let system = System::converged(Config::new(SMALL).faults());
    system.network_fault(0, &json!({ "cut": true }));
    let took = playground::change_config(&system, SMALL);
    assert!(took < PROMISED, "in force after {took:?}");
}

#[test]
fn config_new_proxy_while_the_store_is_down() {
    // Guards against a replaced entry VM that refuses callers during an outage of the
    // store or uses an older configuration. It has to read the configuration from its
    // peers, not only from the store.
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
    // The only entry VM starts while the store is down. Its proxy has no configuration
    // and must not be ready merely because its port is open.
    let mut system = System::start(Config::new(SMALL).entries(1));
    system.apply();
    system.wait_serving();
    system.store_down(true);
    system.replace(0);
    let (status, text) = http::get(system.entries[0].callers(), "/-/ready")
        .expect("a response to the readiness check");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("configuration"), "{text}");
    system.store_down(false);
    system.wait_proxy_ready(&system.entries[0]);
}

#[test]
fn config_never_reverts_though_a_frozen_proxy_resumes() {
    // Guards against an older configuration being in force again for a moment. A proxy
    // is frozen, two changes are applied, then it resumes and sends its peers the
    // revision it has. The newest revision has to win, not the latest message.
    let system = System::converged(Config::new(SMALL));
    system.entries[0].proxy.as_ref().expect("runs").stop().expect("freezes");
    let (code, out) = system.apply_text(&format!("{SMALL}\n; one\n"));
    assert_eq!(code, 0, "{out}");
    let (code, out) = system.apply_text(&format!("{SMALL}\n; two\n"));
    assert_eq!(code, 0, "{out}");
    let newest = revision(&system);
    wait::until("the other proxies to have the configuration", || {
        let is_in_force = (1..3).all(|entry| in_force(&system, entry) == Some(newest));
        is_in_force.then_some(())
    });
    system.entries[0].proxy.as_ref().expect("runs").cont().expect("resumes");
    wait::until("the resumed proxy to have the configuration", || {
        for entry in 1..3 {
            assert!(in_force(&system, entry).is_some_and(|seen| seen >= newest), "reverted");
        }
        (in_force(&system, 0) == Some(newest)).then_some(())
    });
}

#[test]
fn config_concurrent_applies_conflict() {
    // Guards against one operator's change being lost silently: two operators read the
    // same configuration and apply changes. The second write has to name the revision
    // it is based on and fail.
    let system = System::converged(Config::new(SMALL));
    let base = revision(&system).to_string();
    let apply = |text: &str| {
        let path = std::env::temp_dir().join(format!("corianderfork-{}.ini", std::process::id()));
        std::fs::write(&path, text).expect("writable");
        let result = system.operator(&["apply", path.to_str().expect("UTF-8"), "--expect", &base]);
        std::fs::remove_file(path).expect("removable");
        result
    };
    let (first, out) = apply(&SMALL.replace("licences = 6", "licences = 7"));
    assert_eq!(first, 0, "{out}");
    let (second, out) = apply(&SMALL.replace("cores = 16", "cores = 32"));
    assert_eq!(second, 3, "{out}");
    assert!(out.contains("cores"), "the difference is not shown: {out}");
    let (_, shown) = system.operator(&["show", "config"]);
    assert!(shown.contains("licences = 7") && !shown.contains("cores = 32"), "{shown}");
}
