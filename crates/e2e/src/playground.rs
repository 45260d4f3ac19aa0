//! The steps of the playground.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use corianderfork_provider::record::Phase;
use corianderfork_standins::history::{self, Call, Findings};
use corianderfork_standins::load::{self, Load, Summary};

use crate::config::User;
use crate::system::{Config, System};
use crate::{http, wait};

/// The number of entry VMs that each user has today.
const ENTRIES: usize = 8;
const LOAD_DURATION: Duration = Duration::from_secs(15);
/// Calls per second.
const RATE: f64 = 250.0;
/// The share of transfers among the calls, in per mille.
const TRANSFERS: u32 = 200;

/// The results of a run, displayed as a table.
#[derive(Debug)]
pub struct Report {
    serving: Duration,
    in_force: Duration,
    rack: Duration,
    summary: Summary,
    findings: Findings,
    moves: f64,
    idle: f64,
    reads: f64,
    writes: f64,
    watches: f64,
}

impl Report {
    /// Returns whether every promise to callers was kept.
    pub fn is_clean(&self) -> bool {
        self.findings.is_clean()
    }
}

/// Runs all steps for one user's fleet.
///
/// # Panics
///
/// Panics if the system does not start or a step does not complete.
pub fn run(user: User) -> Report {
    let text = &user.full();
    print_progress("starting the platform, the backend servers and the entry VMs");
    let mut system = System::start(Config::new(text).entries(ENTRIES));
    system.apply();
    let serving = system.wait_serving();
    system.wait_ready();
    print_progress(&format!("every VM serves after {serving:.1?}"));
    let parsed = corianderfork_config::parse(text).expect("checked");
    let services = parsed.fleet.services().map(|(_, service)| service.name.to_string());
    let load = Load {
        services: services.collect(),
        transfers: TRANSFERS,
        rate: RATE,
        length: LOAD_DURATION,
        workers: 64,
        seed: 1,
    };
    let callers = load::Config::new(system.targets());
    let calls: Mutex<Vec<Call>> = Mutex::default();
    let before = (Instant::now(), PlatformCalls::read(&system));
    let (in_force, rack, summary) = thread::scope(|scope| {
        let record = |call: &Call| calls.lock().expect("no panic").push(call.clone());
        let loading = scope.spawn(move || load.run(&callers, &record));
        let in_force = change_config(&system, text);
        print_progress(&format!(
            "a changed configuration is in force everywhere after {in_force:.2?}"
        ));
        let rack = maintain_rack(&system);
        print_progress(&format!("a rack was drained, rebooted and serves again after {rack:.1?}"));
        system.entries[ENTRIES - 1].proxy = None;
        print_progress("killed one proxy");
        (in_force, rack, loading.join().expect("the load ends"))
    });
    let calls = calls.into_inner().expect("no panic");
    let (reads, writes, watches) = PlatformCalls::read(&system).rates(before);
    let (moves, idle) = fleet_metrics(&system);
    let findings = history::check(&system.runs(), &calls);
    Report { serving, in_force, rack, summary, findings, moves, idle, reads, writes, watches }
}

fn print_progress(text: &str) {
    eprintln!("playground: {text}");
}

/// Applies a changed configuration and waits until it is in force at every proxy.
/// Returns the time that took.
pub fn change_config(system: &System, text: &str) -> Duration {
    let changed = format!("{text}\n; changed\n");
    let (code, out) = system.apply_text(&changed);
    assert_eq!(code, 0, "{out}");
    wait_in_force(system)
}

/// Waits until the newest configuration is in force at every proxy. Returns the
/// time that took.
pub fn wait_in_force(system: &System) -> Duration {
    use corianderfork_provider::{key, store::Store};
    let entry = system.store().get(key::CONFIG).expect("the store is up").entry;
    let revision = entry.expect("applied").revision.0 as f64;
    let proxies = system.entries.iter().filter(|entry| entry.proxy.is_some());
    let addresses: Vec<_> = proxies.map(|entry| entry.callers()).collect();
    let is_in_force = |at: &SocketAddr| config_revision(*at).is_some_and(|seen| seen >= revision);
    wait::until("the configuration to be in force", || {
        addresses.iter().all(is_in_force).then_some(())
    })
    .1
}

/// Returns the revision of the configuration in force at a proxy.
pub fn config_revision(proxy: SocketAddr) -> Option<f64> {
    http::metric(proxy, "corianderfork_proxy{", "\"config_revision\"")
}

/// Drains and reboots the rack of the first VM. Returns the time until it serves
/// again.
fn maintain_rack(system: &System) -> Duration {
    let fleet = corianderfork_config::parse(system.text()).expect("checked").fleet;
    let rack = fleet.vms().next().expect("a VM").1.rack;
    let vms: Vec<_> =
        fleet.vms().filter(|(_, vm)| vm.rack == rack).map(|(_, vm)| vm.name.to_string()).collect();
    let before: Vec<_> = vms.iter().map(|vm| epoch(system, vm)).collect();
    let start = Instant::now();
    let names = vms.iter().map(String::as_str);
    let args: Vec<&str> = ["wave", "start", "--within", "20", "--reason", "playground"]
        .into_iter()
        .chain(names)
        .collect();
    let (code, out) = system.operator(&args);
    assert_eq!(code, 0, "{out}");
    for (vm, before) in vms.iter().zip(before) {
        wait::until(format!("{vm} to be rebooted and serve"), || {
            let (record, _) = system.vm(vm)?;
            (record.epoch > before && record.phase == Phase::Serving).then_some(())
        });
    }
    start.elapsed()
}

fn epoch(system: &System, vm: &str) -> u64 {
    system.vm(vm).map_or(0, |(record, _)| record.epoch)
}

/// Returns the moves and the idle licensed copies from the controllers' metrics.
fn fleet_metrics(system: &System) -> (f64, f64) {
    let sum = |name, label| -> f64 {
        let values = system.entries.iter().filter_map(|e| http::metric(e.admin(), name, label));
        values.sum()
    };
    (sum("corianderfork_moves{", ""), sum("corianderfork_copies{", "\"idle\""))
}

struct PlatformCalls {
    reads: f64,
    writes: f64,
    watches: f64,
}

impl PlatformCalls {
    fn read(system: &System) -> Self {
        let stats = system.stats();
        let count = |name: &str| stats[name].as_f64().unwrap_or_default();
        Self {
            reads: count("reads"),
            writes: count("writes") + count("renewals"),
            watches: count("watches"),
        }
    }

    fn rates(&self, (start, before): (Instant, Self)) -> (f64, f64, f64) {
        let seconds = start.elapsed().as_secs_f64();
        let rate = |now: f64, before: f64| (now - before) / seconds;
        let reads = rate(self.reads, before.reads);
        (reads, rate(self.writes, before.writes), rate(self.watches, before.watches))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { summary, findings, .. } = self;
        let mut row = |name: &str, value: String| writeln!(f, "{name:<44}{value:>12}");
        row("requests", summary.calls.to_string())?;
        row("answered", summary.answered.to_string())?;
        row("not run", (summary.not_run + summary.unreachable).to_string())?;
        row("unknown", summary.unknown.to_string())?;
        row("doubled", findings.doubled.len().to_string())?;
        row("lost", findings.lost.len().to_string())?;
        row(
            "crossed or truncated",
            (findings.crossed.len() + findings.truncated.len()).to_string(),
        )?;
        row("ran though told not run", findings.ran_though_not_run.len().to_string())?;
        row("cut off at a backend server", findings.cut.to_string())?;
        row("lookup p50 / p99 (ms)", latency(&summary.lookup))?;
        row("transfer p50 / p99 (ms)", latency(&summary.transfer))?;
        row("first start until every VM serves (s)", seconds(self.serving))?;
        row("configuration in force everywhere (s)", seconds(self.in_force))?;
        row("roll-out time: a rack drained, rebooted (s)", seconds(self.rack))?;
        row("moves", format!("{:.0}", self.moves))?;
        row("idle licensed copies", format!("{:.0}", self.idle))?;
        row("platform reads a second", format!("{:.1}", self.reads))?;
        row("platform writes a second", format!("{:.1}", self.writes))?;
        row("platform watches a second", format!("{:.1}", self.watches))
    }
}

fn seconds(duration: Duration) -> String {
    format!("{:.2}", duration.as_secs_f64())
}

fn latency(latency: &corianderfork_standins::latency::Latency) -> String {
    format!("{:.1} / {:.1}", latency.p50_us as f64 / 1e3, latency.p99_us as f64 / 1e3)
}
