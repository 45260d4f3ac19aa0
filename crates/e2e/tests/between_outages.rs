//! `leaving`, for drains that are withdrawn and made again while the store is up only
//! briefly between two outages.

use corianderfork_e2e::fleet::{Callers, RunningCallers, generated_config, unix_ms};
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, wait};
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Drain, Phase, Vm};
use corianderfork_provider::store::{Expect, Revision, Store};
use corianderfork_standins::spawn::Process;
use serde_json::json;

/// The promised time limit, in milliseconds.
const PROMISED_MS: u64 = 4_000;
/// How long callers have to be answered after a drain, in milliseconds.
const OBSERVED_MS: u64 = PROMISED_MS + 3_000;
/// The number of copies of a service at which each of the 24 VMs has one.
const COPY_PER_VM: usize = 24;
const SERVICES: [&str; 2] = ["lookup", "transfer"];

/// Drains a VM as the command line does. Returns when that was accepted, in Unix
/// milliseconds.
fn drain(system: &System, vm: &str) -> u64 {
    let drain = Drain { by: "test".to_owned(), reason: "test".to_owned() };
    let value = serde_json::to_string(&drain).expect("JSON");
    let key = key::drain(&Name::new(vm).expect("a name"));
    system.store().put(&key, &value, Expect::Absent, None).expect("accepted");
    unix_ms()
}

/// Withdraws the drain of a VM. Returns the revision of the withdrawal.
fn undrain(system: &System, vm: &str) -> Revision {
    let key = key::drain(&Name::new(vm).expect("a name"));
    system.store().delete(&key, Expect::Anything).expect("accepted")
}

fn vm_with_copies(system: &System) -> String {
    let has_copies = |record: &Vm| record.phase == Phase::Serving && record.runners.len() > 1;
    let find = || system.vms().into_iter().find(|(_, record)| has_copies(record));
    wait::until("a VM with copies", find).0.0
}

/// Returns the milliseconds from `from` to the last run at a VM, 0 if there was none.
fn last_run_after(system: &System, vm: &str, from: u64) -> u64 {
    let runs = system.runs().runs;
    let later = runs.iter().filter(|run| run.vm == vm && run.at_ms > from);
    later.map(|run| run.at_ms - from).max().unwrap_or_default()
}

fn wait_observed(callers: &RunningCallers) {
    let since_ms = unix_ms();
    wait::until("callers to be answered for long enough", || {
        callers.answered_after(since_ms + OBSERVED_MS).then_some(())
    });
}

/// Returns whether the last line of a proxy's log about the drain of a VM says that it
/// holds.
fn is_heeded(log: &str, vm: &str) -> bool {
    let has = |line: &str, text: &str| line.split([' ', ',', '}']).any(|word| word == text);
    let is_about_vm = |line: &&str| {
        line.contains("drain request of an operator changed") && has(line, &format!("vm={vm}"))
    };
    log.lines().rfind(is_about_vm).is_some_and(|line| has(line, "holds=true"))
}

/// Returns how many proxies have read the store at `revision`.
fn count_synced(system: &System, revision: Revision) -> usize {
    let known = |address| http::metric(address, "corianderfork_proxy", "store_revision");
    let known = system.entries.iter().filter_map(|entry| known(entry.callers()));
    known.filter(|known| *known >= revision.0 as f64).count()
}

/// Sends a signal to each controller.
fn signal_controllers(system: &System, signal: impl Fn(&Process) -> std::io::Result<()>) {
    let controllers = system.entries.iter().filter_map(|entry| entry.controller.as_ref());
    controllers.for_each(|controller| signal(controller).expect("signalled"));
}

#[test]
fn leaving_drained_again_between_two_outages() {
    // Guards against a VM getting requests for a whole outage although proxies heeded its
    // drain before: between two outages the drain is withdrawn, a proxy hears of that, and
    // the drain is accepted again before any process hears of it.
    let system = System::converged(Config::new(&generated_config(1, 8, COPY_PER_VM)));
    let callers = Callers::new(&SERVICES).start(&system);
    let vm = vm_with_copies(&system);
    let since = unix_ms();
    wait::until("the VM to get requests", || {
        (last_run_after(&system, &vm, since) > 0).then_some(())
    });

    // The controllers are too slow to write the VM's record before the outage.
    signal_controllers(&system, Process::stop);
    let accepted_ms = drain(&system, &vm);
    wait::until("all proxies to heed the drain", || {
        system.proxy_logs().iter().all(|log| is_heeded(log, &vm)).then_some(())
    });
    system.store_down(true);
    signal_controllers(&system, Process::cont);
    wait_observed(&callers);
    assert!(last_run_after(&system, &vm, accepted_ms) <= PROMISED_MS, "the first drain");

    signal_controllers(&system, Process::stop);
    system.platform_fault(&json!({ "down": false, "down_with": key::DRAINS }));
    let withdrawn = undrain(&system, &vm);
    let (synced, _) = wait::until("a proxy to hear of the withdrawal", || {
        Some(count_synced(&system, withdrawn)).filter(|count| *count > 0)
    });
    let accepted_ms = drain(&system, &vm);
    signal_controllers(&system, Process::cont);
    wait_observed(&callers);
    let last_run_ms = last_run_after(&system, &vm, accepted_ms);
    println!("{vm}: {synced} proxies heard of the withdrawal, last run {last_run_ms} ms later");
    assert_eq!(system.vm(&vm), None, "the store is down");
    assert!(last_run_ms <= PROMISED_MS, "the second drain: {last_run_ms} ms");
    callers.finish();
}
