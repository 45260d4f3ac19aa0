//! Processor time, memory, calls to the platform and network bytes of idle processes.

use std::fs;
use std::time::{Duration, Instant};

use corianderfork_e2e::config::User;
use corianderfork_e2e::entry::Entry;
use corianderfork_e2e::system::{Config, System};
use corianderfork_standins::spawn::Process;

use crate::fleet;

/// The time measured at each size, after it has settled.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// The time for the initial traffic to end.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// The kernel's clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
const ENTRIES: [usize; 4] = [3, 6, 9, 12];
const VMS: [usize; 4] = [60, 250, 500, 1000];

/// Measures by the number of entry VMs, at Gourmoti's current size.
pub fn print_by_entries() {
    println!("entries,{HEADER}");
    for entries in ENTRIES {
        let system = System::converged(Config::new(&User::Gourmoti.full()).entries(entries));
        println!("{entries},{}", row(&system));
    }
}

/// Measures by the number of VMs, with three entry VMs.
pub fn print_by_vms() {
    println!("vms,{HEADER}");
    for vms in VMS {
        let system = System::converged(Config::new(&fleet::text(vms)).entries(3));
        println!("{vms},{}", row(&system));
    }
}

const HEADER: &str = "proxy_core_percent,proxy_rss_mib,controller_core_percent,\
    deciding_core_percent,controller_rss_mib,reads_per_s,writes_per_s,watches_per_s,\
    loopback_kib_per_s";

fn row(system: &System) -> String {
    std::thread::sleep(SETTLE_TIME);
    let before = Sample::take(system);
    std::thread::sleep(MEASURED_TIME);
    let after = Sample::take(system);
    let seconds = (after.at - before.at).as_secs_f64();
    let cpu = |of: fn(&Sample) -> &Vec<f64>| -> Vec<f64> {
        let pairs = of(&after).iter().zip(of(&before));
        pairs.map(|(after, before)| (after - before) * 100.0 / seconds).collect()
    };
    let proxies = cpu(|sample| &sample.proxies);
    let controllers = cpu(|sample| &sample.controllers);
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let min = |values: &[f64]| values.iter().copied().fold(f64::INFINITY, f64::min);
    let rate = |of: fn(&Sample) -> f64| (of(&after) - of(&before)) / seconds;
    let max_rss = |of: fn(&Entry) -> &Option<Process>| -> f64 {
        let processes = system.entries.iter().filter_map(|entry| of(entry).as_ref());
        processes.map(rss_mib).fold(0.0, f64::max)
    };
    format!(
        "{:.2},{:.1},{:.2},{:.2},{:.1},{:.1},{:.1},{:.1},{:.1}",
        max(&proxies),
        max_rss(|entry| &entry.proxy),
        min(&controllers),
        max(&controllers),
        max_rss(|entry| &entry.controller),
        rate(|sample| sample.reads),
        rate(|sample| sample.writes),
        rate(|sample| sample.watches),
        rate(|sample| sample.bytes) / 1024.0,
    )
}

struct Sample {
    at: Instant,
    proxies: Vec<f64>,
    controllers: Vec<f64>,
    reads: f64,
    writes: f64,
    watches: f64,
    bytes: f64,
}

impl Sample {
    fn take(system: &System) -> Self {
        let stats = system.stats();
        let count = |name: &str| stats[name].as_f64().unwrap_or_default();
        let processor_times = |of: fn(&Entry) -> &Option<Process>| -> Vec<f64> {
            let processes = system.entries.iter().filter_map(|entry| of(entry).as_ref());
            processes.map(processor_seconds).collect()
        };
        Self {
            at: Instant::now(),
            proxies: processor_times(|entry| &entry.proxy),
            controllers: processor_times(|entry| &entry.controller),
            reads: count("reads"),
            writes: count("writes") + count("renewals"),
            watches: count("watches"),
            bytes: loopback_bytes(),
        }
    }
}

/// Returns the processor time that a process has used, in seconds.
pub fn processor_seconds(process: &Process) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn rss_mib(process: &Process) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}

/// Returns the bytes received on the loopback interface, which counts each byte sent by
/// any process once.
fn loopback_bytes() -> f64 {
    let table = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table.lines().find(|line| line.trim_start().starts_with("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or_default()
}
