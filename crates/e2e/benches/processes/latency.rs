//! The latency that a proxy adds to a request, and the time until a configuration is in
//! force.

use std::time::Duration;

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::playground;
use corianderfork_e2e::system::{Config, System};
use corianderfork_standins::load::{self, Load, Summary};
use serde_json::json;

use crate::usage::processor_seconds;

const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Configuration changes measured per fault.
const CHANGES: usize = 30;

/// Compares lookups and transfers sent directly to backend servers with those through
/// proxies in one run, then measures transfers by the number of entry VMs.
pub fn print() {
    println!(
        "path,rate_per_s,lookup_p50_us,lookup_p99_us,transfer_p50_us,transfer_p99_us,answered"
    );
    let system = System::converged(Config::new(SMALL));
    let direct = run(&system.runners("lookup"), "lookup", 0, 200.0);
    let direct_transfers = run(&system.runners("transfer"), "transfer", 1000, 100.0);
    let proxied = run(&system.targets(), "lookup", 0, 200.0);
    let transfers = run(&system.targets(), "transfer", 1000, 100.0);
    print_row("direct", 200.0, &direct, &direct_transfers);
    print_row("proxied", 200.0, &proxied, &transfers);
    let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
    println!(
        "ratio,200,{:.2},{:.2},{:.2},{:.2},",
        ratio(proxied.lookup.p50_us, direct.lookup.p50_us),
        ratio(proxied.lookup.p99_us, direct.lookup.p99_us),
        ratio(transfers.transfer.p50_us, direct_transfers.transfer.p50_us),
        ratio(transfers.transfer.p99_us, direct_transfers.transfer.p99_us),
    );
    drop(system);
    print_transfers();
}

fn print_row(path: &str, rate: f64, lookups: &Summary, transfers: &Summary) {
    let answered = lookups.answered + transfers.answered;
    println!(
        "{path},{rate:.0},{},{},{},{},{answered}",
        lookups.lookup.p50_us,
        lookups.lookup.p99_us,
        transfers.transfer.p50_us,
        transfers.transfer.p99_us,
    );
}

fn print_transfers() {
    println!(
        "entries,transfers_per_s,p50_us,p99_us,answered,store_writes_per_s,proxy_core_percent"
    );
    for entries in [2, 4, 8] {
        let system = System::converged(Config::new(SMALL).entries(entries));
        for rate in [50.0, 150.0, 300.0] {
            let before = (store_writes(&system), proxy_seconds(&system));
            let summary = run(&system.targets(), "transfer", 1000, rate);
            let seconds = LOAD_DURATION.as_secs_f64();
            println!(
                "{entries},{rate:.0},{},{},{},{:.1},{:.2}",
                summary.transfer.p50_us,
                summary.transfer.p99_us,
                summary.answered,
                (store_writes(&system) - before.0) / seconds,
                (proxy_seconds(&system) - before.1) * 100.0 / seconds / entries as f64,
            );
        }
    }
}

fn store_writes(system: &System) -> f64 {
    system.stats()["writes"].as_f64().unwrap_or_default()
}

fn proxy_seconds(system: &System) -> f64 {
    system.entries.iter().filter_map(|entry| entry.proxy.as_ref()).map(processor_seconds).sum()
}

fn run(targets: &[String], service: &str, transfers: u32, rate: f64) -> Summary {
    let load = Load {
        services: vec![service.to_owned()],
        transfers,
        rate,
        length: LOAD_DURATION,
        workers: 64,
        seed: 5,
    };
    load.run(&load::Config::new(targets.to_vec()), &|_| {})
}

/// Measures the time until a change is in force at all of eight proxies.
pub fn print_in_force() {
    println!("fault,changes,p50_ms,p99_ms,max_ms");
    let faults = [
        ("none", None),
        ("watches silent", Some(json!({ "silent": true }))),
        ("one proxy cut off from the store", Some(json!({ "cut": true }))),
    ];
    for (name, fault) in faults {
        let system = System::converged(Config::new(SMALL).entries(8).faults());
        let mut times: Vec<Duration> = Vec::new();
        for _ in 0..CHANGES {
            match &fault {
                Some(fault) if name.starts_with("one") => system.network_fault(0, fault),
                Some(fault) => (0..8).for_each(|entry| system.network_fault(entry, fault)),
                None => {}
            }
            let text = format!("{SMALL}\n; change {}\n", times.len());
            times.push(playground::change_config(&system, &text));
        }
        times.sort();
        let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_millis();
        println!("{name},{CHANGES},{},{},{}", quantile(0.5), quantile(0.99), quantile(1.0));
    }
}
