//! The transitions of a VM, and their continuation by a new holder of the
//! lease.

mod support;

use corianderfork_provider::fleet::VmState;
use corianderfork_provider::record::Phase;
use support::{FLEET, Simulation, fleet_with_v3_moved, name};

/// Rounds after which every proxy has been known for longer than a request may
/// take.
const ROUNDS_TO_KNOW_PROXIES: usize = 20;

fn running_fleet() -> Simulation {
    let mut sim = Simulation::new(2, 2);
    sim.run_until(0, "serving", |sim| {
        sim.store.entries.contains_key("shared/vm/v5")
            && (1..=5).any(|i| !sim.store.vm(&format!("v{i}")).runners.is_empty())
            && sim.running("transfer") > 0
            && sim.running("dossier") > 0
    });
    sim
}

fn vm_running(sim: &Simulation, service: &str) -> String {
    let copy = sim.tasks.keys().find(|copy| copy.1.as_str() == service);
    copy.expect("a copy runs").0.to_string()
}

#[test]
fn decide_empty_store_creates_records_and_starts_copies() {
    let sim = running_fleet();
    assert_eq!(sim.store.vm("v1").pool, name("registry"));
    assert_eq!(sim.store.vm("v4").pool, name("archive"));
    let vm = sim.store.vm(&vm_running(&sim, "transfer"));
    assert_eq!((vm.phase, vm.epoch), (Phase::Serving, 0));
    let listed: Vec<&str> = vm.runners.iter().map(|runner| runner.service.as_str()).collect();
    assert_eq!(listed.iter().filter(|service| **service == "transfer").count(), 1);
    assert!(!listed.contains(&"dossier"), "lists a service of another pool");
}

#[test]
fn drain_stays_until_undrained() {
    let mut sim = running_fleet();
    let vm = vm_running(&sim, "transfer");
    sim.drain(&vm);
    sim.run_until(0, "drained", |sim| sim.store.vm(&vm).phase == Phase::Drained);
    assert_eq!(sim.store.vm(&vm).epoch, 1);
    for _ in 0..5 {
        sim.round(0);
    }
    assert_eq!(sim.store.vm(&vm).phase, Phase::Drained, "returned to service");
    assert!(sim.running("transfer") > 0, "no other copy replaced it");
    sim.undrain(&vm);
    sim.run_until(0, "serving", |sim| sim.store.vm(&vm).phase == Phase::Serving);
    assert!(sim.reboots.is_empty());
}

// Guards against a VM that is emptied although its drain was cancelled, and
// then has no copies until some happen to be placed there again. The proxies
// confirm the drain and the operator cancels it between two decisions;
// following the confirmation without checking the drain request empties the VM.
#[test]
fn undrain_after_confirmation_keeps_copies() {
    let mut sim = running_fleet();
    let vm = vm_running(&sim, "transfer");
    let runners_before = sim.store.vm(&vm).runners;
    // After these rounds no proxy is waited for because of an earlier process.
    for _ in 0..ROUNDS_TO_KNOW_PROXIES {
        sim.round(0);
    }
    sim.drain(&vm);
    let is_draining = (0..ROUNDS_TO_KNOW_PROXIES).any(|_| {
        sim.round(0);
        sim.store.vm(&vm).phase == Phase::Draining
    });
    assert!(is_draining);
    sim.settle_proxies();
    sim.undrain(&vm);
    sim.run_until(0, "back", |sim| sim.store.vm(&vm).phase != Phase::Draining);
    assert_eq!(sim.store.vm(&vm).phase, Phase::Serving);
    assert_eq!(sim.store.vm(&vm).runners, runners_before, "its copies changed");
}

#[test]
fn wave_reboots_each_vm_once_and_ends() {
    let mut sim = running_fleet();
    sim.order_wave(&["v1", "v2"], 1);
    sim.run_until(0, "done", |sim| sim.store.wave().done.len() == 2);
    let mut reboots = sim.reboots.clone();
    reboots.sort();
    assert_eq!(reboots, [name("v1"), name("v2")]);
    assert_eq!(sim.store.vm("v1").phase, Phase::Serving);
    assert!(sim.store.vm("v1").maintained_ms >= sim.store.wave().began_ms);
    assert_eq!(sim.store.vm("v3").epoch, 0, "not named by the wave");
}

// Guards against a VM that stays out forever after its controller died right
// after writing a phase. The next holder has to continue from the record of any
// phase, without what only the dead process knew.
#[test]
fn wave_new_holder_continues_from_each_phase() {
    let phases = [Phase::Draining, Phase::Drained, Phase::Rebooting, Phase::Returning];
    for phase in phases {
        let mut sim = running_fleet();
        sim.order_wave(&["v1"], 1);
        for round in 0..60 {
            sim.round(0);
            if sim.store.vm("v1").phase == phase {
                break;
            }
            if round % 2 == 0 {
                sim.complete_reboots();
            }
        }
        assert_eq!(sim.store.vm("v1").phase, phase);
        sim.holder = 1;
        sim.run_until(1, "done", |sim| sim.store.wave().done.len() == 1);
        assert_eq!(sim.store.vm("v1").phase, Phase::Serving, "from {phase}");
        assert!(!sim.reboots.is_empty(), "from {phase}");
    }
}

// Guards against a VM that is rebooted again and again and never returns to
// work. Its reboot is over before the lagging list is read again, so it is
// never seen down.
#[test]
fn reboot_never_listed_is_requested_twice_at_most() {
    let mut sim = running_fleet();
    sim.order_wave(&["v1"], 1);
    for _ in 0..60 {
        sim.round(0);
        sim.complete_reboots();
    }
    assert_eq!(sim.store.wave().done, [name("v1")]);
    assert_eq!(sim.reboots.len(), 2);
}

#[test]
fn rehomed_vm_moves_through_drain_and_switch() {
    let mut sim = running_fleet();
    sim.apply_config(&fleet_with_v3_moved());
    sim.run_until(0, "switched", |sim| sim.store.vm("v3").pool == name("archive"));
    sim.run_until(0, "serving", |sim| sim.store.vm("v3").phase == Phase::Serving);
    assert_eq!(sim.store.vm("v3").epoch, 1);
    let stray = (name("v3"), name("transfer"));
    assert!(!sim.tasks.contains_key(&stray), "the copy of the old pool still runs");
    sim.apply_config(FLEET);
    sim.run_until(0, "back", |sim| sim.store.vm("v3").pool == name("registry"));
}

#[test]
fn removed_vm_is_drained_and_emptied() {
    let mut sim = running_fleet();
    let vm = vm_running(&sim, "dossier");
    let rest = if vm == "v4" { "v5" } else { "v4" };
    sim.apply_config(&FLEET.replace("v[4..5]", rest));
    sim.run_until(0, "out", |sim| sim.store.vm(&vm).phase == Phase::Out);
    assert!(sim.tasks.keys().all(|copy| copy.0.as_str() != vm));
}

// Guards against requests that go to a VM that the platform lists as leaving or
// gone. Such a VM has to be taken out although no operator drained it.
#[test]
fn leaving_and_gone_vms_get_no_work() {
    let mut sim = running_fleet();
    let vm = vm_running(&sim, "transfer");
    sim.vms.insert(name(&vm), VmState::Leaving);
    sim.round(0);
    assert_eq!(sim.store.vm(&vm).phase, Phase::Draining, "not draining after the first decision");
    let mut sim = running_fleet();
    let vm = vm_running(&sim, "transfer");
    sim.vms.insert(name(&vm), VmState::Gone);
    sim.round(0);
    assert!(sim.store.vm(&vm).runners.is_empty());
}
