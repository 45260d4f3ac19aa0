//! Repeatedly takes the store down right after operators' drains are accepted, and counts
//! the drains that some proxy doesn't follow though it could have learned of them from any
//! process that knows them.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use corianderfork_e2e::fleet::{Callers, generated_config};
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, wait};
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Drain, Phase, Vm};
use corianderfork_provider::store::{Expect, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// VMs drained per round.
const DRAINS: usize = 10;
/// The fewest VMs with copies that are not drained.
const SPARE: usize = 4;
const SERVICES: [&str; 2] = ["lookup", "transfer"];
/// The pauses after an outage, before drains are removed and before the next round, in
/// milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 0..=800;
/// The time proxies have to exchange what one of them has learned.
const GOSSIP_TIME: Duration = Duration::from_secs(3);

fn main() {
    let args = Command::new("outage")
        .about("Counts accepted drains that aren't heeded while the store is down")
        .arg(number("rounds", "40", "Outages"))
        .arg(number("seed", "1", "What the pauses between outages are drawn from"))
        .arg(number("watch-delay", "0", "Milliseconds until the store considers a watch"))
        .arg(
            Arg::new("settled")
                .long("settled")
                .action(ArgAction::SetTrue)
                .help("Wait after each outage until all proxies are back"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .value_name("DIR")
                .help("Where to keep the store's trace and the logs of each red outage"),
        )
        .get_matches();
    let rounds = *args.get_one::<u64>("rounds").unwrap_or(&40);
    let seed = *args.get_one::<u64>("seed").unwrap_or(&1);
    let trace = args.get_one::<String>("trace").map(PathBuf::from);
    let rng = &mut SmallRng::seed_from_u64(seed);
    let delay_ms = *args.get_one::<u64>("watch-delay").unwrap_or(&0);
    run(rounds, delay_ms, args.get_flag("settled"), trace.as_deref(), rng);
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(u64);
    Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
}

fn run(rounds: u64, delay_ms: u64, is_settled: bool, trace: Option<&Path>, rng: &mut SmallRng) {
    let system = System::converged(Config::new(&generated_config(1, 8, 16)));
    system.platform_fault(&json!({ "watch_delay_ms": delay_ms }));
    let callers = Callers::new(&SERVICES).start(&system);
    let mut counts = Vec::new();
    for round in 0..rounds {
        let vms = wait::until("VMs with copies", || vms_with_copies(&system)).0;
        let unheard = drain_in_outage(&system, &vms);
        if let Some(dir) = trace.filter(|_| unheard > 0) {
            keep_trace(&system, dir, round);
        }
        system.store_down(false);
        sleep_ms(rng.random_range(PAUSE_MS));
        undrain(&system, &vms);
        sleep_ms(rng.random_range(PAUSE_MS));
        if is_settled {
            wait::until("proxies to be back", || is_synced(&system).then_some(()));
        }
        counts.push(unheard);
    }
    callers.finish();
    let outages = counts.iter().filter(|count| **count > 0).count();
    let drains: usize = counts.iter().sum();
    println!("outages with unheard drains: {outages} of {rounds}; unheard drains: {drains}");
    println!("{counts:?}");
}

/// Returns the VMs to drain in a round, if enough others have copies.
fn vms_with_copies(system: &System) -> Option<Vec<String>> {
    let serves = |record: &Vm| record.phase == Phase::Serving && !record.runners.is_empty();
    let vms = system.vms().into_iter().filter(|(_, record)| serves(record));
    let mut vms: Vec<String> = vms.map(|(vm, _)| vm).collect();
    let is_enough = vms.len() >= DRAINS + SPARE;
    vms.truncate(DRAINS);
    is_enough.then_some(vms)
}

/// Drains the VMs, takes the store down and counts the drains that some proxy doesn't
/// follow.
fn drain_in_outage(system: &System, vms: &[String]) -> usize {
    let drain = Drain { by: "test".to_owned(), reason: "test".to_owned() };
    let value = serde_json::to_string(&drain).expect("JSON");
    let accept = |vm: &String| {
        let key = key::drain(&Name::new(vm).expect("a name"));
        system.store().put(&key, &value, Expect::Absent, None).expect("accepted");
    };
    vms.iter().for_each(accept);
    system.store_down(true);
    std::thread::sleep(GOSSIP_TIME);
    let logs = system.proxy_logs();
    let is_unheard = |vm: &&String| logs.iter().any(|log| !is_drained(log, vm));
    vms.iter().filter(is_unheard).count()
}

/// Writes the store's trace and the proxies' logs of this outage to `dir`.
fn keep_trace(system: &System, dir: &Path, round: u64) {
    let name = format!("{}-{round}", std::process::id());
    std::fs::create_dir_all(dir).expect("a directory");
    let path = dir.join(format!("{name}-store.json"));
    std::fs::write(path, system.store_trace().to_string()).expect("written");
    for (index, log) in system.proxy_logs().iter().enumerate() {
        std::fs::write(dir.join(format!("{name}-proxy-{index}.log")), log).expect("written");
    }
}

/// Returns whether a proxy skips a VM, by the last line of its log on the VM's drain.
fn is_drained(log: &str, vm: &str) -> bool {
    let has = |line: &&str, text: &str| line.split([' ', ',', '}']).any(|word| word == text);
    let is_about_vm = |line: &&str| {
        line.contains("drain request of an operator changed") && has(line, &format!("vm={vm}"))
    };
    log.lines().rfind(is_about_vm).is_some_and(|line| has(&line, "holds=true"))
}

fn undrain(system: &System, vms: &[String]) {
    for vm in vms {
        let key = key::drain(&Name::new(vm).expect("a name"));
        system.store().delete(&key, Expect::Anything).expect("accepted");
    }
    for vm in vms {
        system.wait_phase(vm, Phase::Serving);
    }
}

/// Returns whether each proxy has reached the store's current revision of drains.
fn is_synced(system: &System) -> bool {
    let revision = system.store().range(key::DRAINS).expect("the store is up").revision.0;
    let known = |address| http::metric(address, "corianderfork_proxy", "store_revision");
    let proxies = system.entries.iter().map(|entry| entry.callers());
    proxies.filter_map(known).all(|known| known >= revision as f64)
}

fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}
