//! The whole system, with platform, backend servers and entry VMs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_provider::http::{Client, Config as Platform};
use corianderfork_provider::record::{self, Phase};
use corianderfork_provider::store::{Entry as StoreEntry, Store};
use corianderfork_provider::{key, store};
use corianderfork_standins::history::Runs;
use corianderfork_standins::spawn::{self, Process};
use serde_json::json;

use crate::entry::{Entry, Settings};
use crate::{http, wait};

/// The controllers' request deadline, as short as the proxies' request timeout
/// permits. A controller waits that long before it relies on proxies that it has
/// just discovered.
const REQUEST_DEADLINE: &str = "request_deadline_ms = 10000\n";

/// The settings of a system.
#[derive(Clone, Debug)]
pub struct Config {
    text: String,
    entries: usize,
    reboot: Duration,
    list_lag: Duration,
    run_ms: u32,
    warm_ms: u32,
    proxy: String,
    controller: String,
    faults: bool,
}

impl Config {
    /// Returns settings for three entry VMs and the fleet of the operators'
    /// configuration `text`.
    pub fn new(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            entries: 3,
            // Longer than the controller's interval between two reads of the list.
            reboot: Duration::from_millis(2500),
            list_lag: Duration::ZERO,
            run_ms: 5,
            warm_ms: 100,
            proxy: String::new(),
            controller: REQUEST_DEADLINE.to_owned(),
            faults: false,
        }
    }

    /// Sets the number of entry VMs.
    #[must_use]
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the duration of a VM's reboot.
    #[must_use]
    pub fn reboot(mut self, reboot: Duration) -> Self {
        self.reboot = reboot;
        self
    }

    /// Sets the lag of the platform's list of VMs.
    #[must_use]
    pub fn list_lag(mut self, lag: Duration) -> Self {
        self.list_lag = lag;
        self
    }

    /// Sets the mean duration of a run at a backend server.
    #[must_use]
    pub fn run_ms(mut self, millis: u32) -> Self {
        self.run_ms = millis;
        self
    }

    /// Sets additional lines for the settings of each proxy.
    #[must_use]
    pub fn proxy(mut self, lines: &str) -> Self {
        self.proxy = lines.to_owned();
        self
    }

    /// Sets additional lines for the settings of each controller.
    #[must_use]
    pub fn controller(mut self, lines: &str) -> Self {
        self.controller = lines.to_owned();
        self
    }

    /// Puts a fault-injecting proxy between each entry VM and the platform.
    #[must_use]
    pub fn faults(mut self) -> Self {
        self.faults = true;
        self
    }
}

/// The running system. Its processes are killed on drop.
#[derive(Debug)]
pub struct System {
    /// The entry VMs.
    pub entries: Vec<Entry>,
    /// The fault-injecting proxy between each entry VM and the platform, if
    /// [`Config::faults`] was set.
    pub faults: Vec<Process>,
    platform: Process,
    backend: Process,
    client: Arc<Client>,
    config: Config,
    dir: PathBuf,
}

static NEXT_SYSTEM: AtomicU32 = AtomicU32::new(0);

impl System {
    /// Starts the platform, the backend servers and the entry VMs without applying
    /// the configuration.
    ///
    /// # Panics
    ///
    /// Panics if a program is not built or does not start.
    pub fn start(config: Config) -> Self {
        let number = NEXT_SYSTEM.fetch_add(1, Ordering::Relaxed);
        let dir = format!("corianderfork-e2e-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("a temporary directory");
        let platform = start_platform(&config, &dir);
        let backend = start_backend(&config, platform.address(0), &dir);
        let client = Client::new(Platform::new(platform.address(0)).caller("test"));
        let mut system = Self {
            entries: Vec::new(),
            faults: Vec::new(),
            platform,
            backend,
            client: Arc::new(client),
            config,
            dir,
        };
        for index in 0..system.config.entries {
            system.add_entry(index);
        }
        for entry in &mut system.entries {
            entry.start_proxy();
            entry.start_controller();
        }
        system
    }

    /// Starts the system, applies the configuration and waits until every
    /// proxy is ready and every VM serves.
    ///
    /// # Panics
    ///
    /// Panics if a program does not start or the system does not converge.
    pub fn converged(config: Config) -> Self {
        let system = Self::start(config);
        system.apply();
        system.wait_serving();
        system.wait_ready();
        system
    }

    fn add_entry(&mut self, index: usize) {
        let mut platform = self.platform.address(0);
        if self.config.faults {
            let to = platform.to_string();
            let log = self.dir.join(format!("fault-{index}.log"));
            let program = spawn::binary("standin-fault").expect("built");
            let fault = Process::spawn(&program, &["--to", &to], &log).expect("starts");
            platform = fault.address(0);
            self.faults.push(fault);
        }
        let data_centres = ["a", "b", "c"];
        let settings = Settings {
            name: format!("e{}", index + 1),
            data_centre: data_centres[index % data_centres.len()].to_owned(),
            platform,
            seeds: String::new(),
            proxy: self.config.proxy.clone(),
            controller: self.config.controller.clone(),
        };
        self.entries.push(Entry::new(settings, &self.dir));
    }

    /// Replaces an entry VM: kills its processes and starts them again under a new
    /// name.
    pub fn replace(&mut self, index: usize) {
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != index);
        let peers = others.filter_map(|(_, entry)| Some(entry.proxy.as_ref()?.address(1)));
        let seeds: Vec<_> = peers.map(|peer| peer.to_string()).collect();
        let entry = &mut self.entries[index];
        entry.settings.seeds = seeds.join(",");
        entry.proxy = None;
        entry.controller = None;
        entry.settings.name.push('n');
        entry.start_proxy();
        entry.start_controller();
    }

    /// Applies the system's configuration with the operators' command line.
    pub fn apply(&self) {
        let text = self.config.text.clone();
        let (code, out) = self.apply_text(&text);
        assert_eq!(code, 0, "{out}");
    }

    /// Applies a configuration in place of the current one. Returns the exit code
    /// and all output.
    pub fn apply_text(&self, text: &str) -> (i32, String) {
        let path = self.dir.join("fleet.ini");
        std::fs::write(&path, text).expect("the directory is writable");
        let found = self.client.get(key::CONFIG).expect("the store is up");
        let revision = found.entry.map_or(0, |entry| entry.revision.0).to_string();
        self.operator(&["apply", path.to_str().expect("UTF-8"), "--expect", &revision])
    }

    /// Runs the operators' command line. Returns the exit code and all output.
    ///
    /// # Panics
    ///
    /// Panics if the program is not built.
    pub fn operator(&self, args: &[&str]) -> (i32, String) {
        let program = spawn::binary("corianderctl").expect("built");
        let platform = self.platform.address(0).to_string();
        let output = Command::new(program)
            .args(["--platform", &platform])
            .args(args)
            .output()
            .expect("runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Returns the configuration the system was started for.
    pub fn text(&self) -> &str {
        &self.config.text
    }

    /// Returns the platform's address, which bypasses injected faults.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address(0)
    }

    /// Returns the admin address of the backend servers' stand-in.
    pub fn backend(&self) -> SocketAddr {
        self.backend.address(0)
    }

    /// Returns the platform stand-in's process, which a test can freeze.
    pub fn platform_process(&mut self) -> &mut Process {
        &mut self.platform
    }

    /// Returns a client of the platform's store that bypasses injected faults.
    pub fn store(&self) -> &Client {
        &self.client
    }

    /// Sets faults of the platform.
    pub fn platform_fault(&self, fault: &serde_json::Value) {
        http::post(self.platform.address(0), "/_fault", fault);
    }

    /// Sets the behaviour of backend servers.
    pub fn behave(&self, behaviour: &serde_json::Value) {
        http::post(self.backend.address(0), "/_behave", behaviour);
    }

    /// Sets faults of the network between an entry VM and the platform.
    pub fn network_fault(&self, entry: usize, fault: &serde_json::Value) {
        http::post(self.faults[entry].address(1), "/_fault", fault);
    }

    /// Returns the backend servers' history.
    ///
    /// # Panics
    ///
    /// Panics if it can't be read.
    pub fn runs(&self) -> Runs {
        let runs = http::json(self.backend.address(0), "/_runs");
        serde_json::from_value(runs).expect("a history")
    }

    /// Returns the platform's call counts.
    pub fn stats(&self) -> serde_json::Value {
        http::json(self.platform.address(0), "/_stats")
    }

    /// Returns the writes and watches at the platform's store, oldest first.
    pub fn store_trace(&self) -> serde_json::Value {
        http::json(self.platform.address(0), "/_trace")
    }

    /// Returns the logs of all proxies.
    ///
    /// # Panics
    ///
    /// Panics if they can't be read.
    pub fn proxy_logs(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.dir).expect("a directory");
        let paths = files.map(|file| file.expect("a file").path());
        let is_log = |path: &PathBuf| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            name.contains("corianderfork-proxy") && name.ends_with(".log")
        };
        paths.filter(is_log).map(|path| std::fs::read_to_string(path).expect("a log")).collect()
    }

    /// Returns the running proxies' addresses for callers.
    pub fn targets(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.proxy.is_some());
        running.map(|entry| entry.callers().to_string()).collect()
    }

    /// Returns the addresses of a service's copies, which bypass the proxies.
    pub fn runners(&self, service: &str) -> Vec<String> {
        let vms = self.vms();
        let runners = vms.iter().flat_map(|(_, vm)| &vm.runners);
        let of_service = runners.filter(|runner| runner.service.as_str() == service);
        of_service.map(|runner| runner.address.to_string()).collect()
    }

    /// Returns the record of a VM.
    pub fn vm(&self, name: &str) -> Option<(record::Vm, store::Revision)> {
        let name = Name::new(name).expect("a name");
        let entry = self.client.get(&key::vm(&name)).ok()?.entry?;
        Some((parse(&entry), entry.revision))
    }

    /// Returns all VM records.
    pub fn vms(&self) -> Vec<(String, record::Vm)> {
        let Ok(range) = self.client.range(key::VMS) else { return Vec::new() };
        let name = |entry: &StoreEntry| entry.key.trim_start_matches(key::VMS).to_owned();
        range.entries.iter().map(|entry| (name(entry), parse(entry))).collect()
    }

    /// Waits until every declared VM has a record and serves, and every service has
    /// its minimum number of copies. Returns the time that took.
    pub fn wait_serving(&self) -> Duration {
        let parsed = corianderfork_config::parse(&self.config.text).expect("checked by apply");
        let fleet = parsed.fleet;
        wait::until("every VM to serve", || {
            let vms = self.vms();
            let is_complete = vms.len() >= fleet.vms().len();
            let is_serving = vms.iter().all(|(_, vm)| vm.phase == Phase::Serving);
            let has_copies = fleet.services().all(|(_, service)| {
                let runners = vms.iter().flat_map(|(_, vm)| &vm.runners);
                let copies = runners.filter(|runner| runner.service == service.name).count();
                copies >= service.budget.min_copies as usize
            });
            (is_complete && is_serving && has_copies).then_some(())
        })
        .1
    }

    /// Waits until every running proxy is ready for callers.
    pub fn wait_ready(&self) {
        for entry in self.entries.iter().filter(|entry| entry.proxy.is_some()) {
            self.wait_proxy_ready(entry);
        }
    }

    /// Waits until one proxy is ready for callers.
    pub fn wait_proxy_ready(&self, entry: &Entry) {
        let name = &entry.settings.name;
        wait::until(format!("the proxy of {name} to be ready"), || {
            let (status, _) = http::get(entry.callers(), "/-/ready")?;
            (status == 200).then_some(())
        });
    }

    /// Waits until a VM's record is in `phase`. Returns the record and the time that
    /// took.
    pub fn wait_phase(&self, vm: &str, phase: Phase) -> (record::Vm, Duration) {
        wait::until(format!("{vm} to be {phase}"), || {
            self.vm(vm).map(|(record, _)| record).filter(|record| record.phase == phase)
        })
    }

    /// Takes the whole store down, or brings it up again.
    pub fn store_down(&self, down: bool) {
        self.platform_fault(&json!({ "down": down }));
    }
}

impl Drop for System {
    fn drop(&mut self) {
        // Keeps the logs after a failure, so that they can be read.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            if let Some((200, trace)) = http::get(self.platform.address(0), "/_trace") {
                let _ = std::fs::write(self.dir.join("store-trace.json"), trace);
            }
            eprintln!("logs are kept in {}", self.dir.display());
        }
    }
}

fn parse(entry: &StoreEntry) -> record::Vm {
    serde_json::from_str(&entry.value).expect("a VM record")
}

fn start_platform(config: &Config, dir: &Path) -> Process {
    let reboot = config.reboot.as_millis().to_string();
    let lag = config.list_lag.as_millis().to_string();
    let fleet = corianderfork_config::parse(&config.text).expect("a configuration").fleet;
    let vms: Vec<_> = fleet.vms().map(|(_, vm)| vm.name.to_string()).collect();
    let vms = vms.join(",");
    let args = ["--reboot-ms", &reboot, "--list-lag-ms", &lag, "--vms", &vms];
    let program = spawn::binary("standin-platform").expect("built");
    Process::spawn(&program, &args, &dir.join("platform.log")).expect("starts")
}

fn start_backend(config: &Config, platform: SocketAddr, dir: &Path) -> Process {
    let platform = platform.to_string();
    let run = config.run_ms.to_string();
    let warm = config.warm_ms.to_string();
    let args = ["--platform", &platform, "--run-ms", &run, "--warm-ms", &warm];
    let program = spawn::binary("standin-backend").expect("built");
    Process::spawn(&program, &args, &dir.join("backend.log")).expect("starts")
}
