//! A simulated fleet around the planner: a store with revisions, a platform
//! that runs tasks, and proxies that send work according to the records that
//! they have read.
#![allow(dead_code, clippy::unwrap_used)]

mod proxy;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_controller::directory::Directory;
use corianderfork_controller::facts::{Change, Copy, Facts, Reading};
use corianderfork_controller::plan::action::Action;
use corianderfork_controller::plan::{Inputs, Limits, Planner};
use corianderfork_controller::view::View;
use corianderfork_controller::{Settings, plan::Decision};
use corianderfork_coord::member;
use corianderfork_model::{Name, Time};
use corianderfork_provider::fleet::{self, Task, TaskState, VmState};
use corianderfork_provider::key;
use corianderfork_provider::record::{Config, Member, Role, Wave};
use corianderfork_provider::store::Expect;

pub use proxy::Proxy;
pub use store::Store;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub const FLEET: &str = "\
[fleet]
version = 1
name = clubs

[data_centre.kolkata]
region = bengal

[pool.registry]
[pool.archive]

[rack.k1]
data_centre = kolkata
pool = registry
vms = v[1..3]
cores = 16
memory_gb = 64

[rack.k2]
data_centre = kolkata
pool = archive
vms = v[4..5]
cores = 16
memory_gb = 64

[service.transfer]
pool = registry
cores = 2
memory_gb = 4
min_copies = 1
licences = 4
outlasts = nothing

[service.rally]
pool = registry
cores = 2
memory_gb = 4
min_copies = 1
licences = 4
outlasts = nothing

[service.dossier]
pool = archive
cores = 2
memory_gb = 4
min_copies = 1
licences = 4
outlasts = nothing

[rule.otherwise]
when = always
then = normal
";

/// Returns [`FLEET`] with `v3` at home in the pool `archive`.
pub fn fleet_with_v3_moved() -> String {
    FLEET.replace("v[1..3]", "v[1..2]").replace("v[4..5]", "v[3..5]")
}

/// Returns [`FLEET`] without the service `rally`.
pub fn fleet_without_rally() -> String {
    let (from, to) = (FLEET.find("[service.rally]"), FLEET.find("[service.dossier]"));
    FLEET.replace(&FLEET[from.unwrap()..to.unwrap()], "")
}

/// A controller: a planner and its input.
pub struct Controller {
    pub planner: Planner,
    pub view: View,
    pub directory: Directory,
    pub facts: Facts,
    /// Actions that are decided but not carried out yet.
    pub queue: Vec<Action>,
    pub conflicts: usize,
}

pub fn settings() -> Settings {
    let text = "[process]\nname = e1\ndata_centre = kolkata\nplatform = 127.0.0.1:1\n\
                peers = 127.0.0.1:0\n[controller]\nadmin = 127.0.0.1:0\n";
    Settings::parse(text).unwrap()
}

fn member(role: Role, text: &str) -> Member {
    Member {
        name: name(text),
        role,
        incarnation: 1,
        data_centre: name("kolkata"),
        peers: "127.0.0.1:1".parse().unwrap(),
        callers: None,
    }
}

fn proxy(i: usize) -> Proxy {
    Proxy::new(member(Role::Proxy, &format!("p{i}")))
}

/// The simulated fleet.
pub struct Simulation {
    pub now: u64,
    pub store: Store,
    pub tasks: BTreeMap<Copy, Task>,
    pub vms: BTreeMap<Name, VmState>,
    pub proxies: Vec<Proxy>,
    pub controllers: Vec<Controller>,
    /// The index of the controller that holds the lease. The fence holds back
    /// the platform calls of all others.
    pub holder: usize,
    pub reboots: Vec<Name>,
}

impl Simulation {
    pub fn new(controllers: usize, proxies: usize) -> Self {
        Self::with(controllers, proxies, &Limits::new(&settings()))
    }

    pub fn with(controllers: usize, proxies: usize, limits: &Limits) -> Self {
        let config = member::Config::new();
        let controller = |i| Controller {
            planner: Planner::new(limits.clone()),
            view: View::default(),
            directory: Directory::new(
                config,
                member(Role::Controller, &format!("c{i}")),
                Duration::from_secs(120),
            )
            .unwrap(),
            facts: Facts::default(),
            queue: Vec::new(),
            conflicts: 0,
        };
        let mut sim = Self {
            now: 10_000_000,
            store: Store::default(),
            tasks: BTreeMap::new(),
            vms: (1..=5).map(|i| (name(&format!("v{i}")), VmState::Live)).collect(),
            proxies: (0..proxies).map(proxy).collect(),
            controllers: (0..controllers).map(controller).collect(),
            holder: 0,
            reboots: Vec::new(),
        };
        for p in 0..proxies {
            sim.register(p);
        }
        sim.apply_config(FLEET);
        sim
    }

    /// Registers a proxy as a member.
    fn register(&mut self, p: usize) {
        let member = &self.proxies[p].member;
        let (key, value) =
            (key::member(Role::Proxy, &member.name), serde_json::to_string(member).unwrap());
        self.store.put(&key, value, Expect::Absent).unwrap();
    }

    /// Starts another proxy and returns its index.
    pub fn add_proxy(&mut self) -> usize {
        let p = self.proxies.len();
        self.proxies.push(proxy(p));
        self.register(p);
        self.sync(p);
        p
    }

    /// Reads all records into a proxy.
    pub fn sync(&mut self, p: usize) {
        self.proxies[p].sync(&self.store);
    }

    pub fn apply_config(&mut self, text: &str) {
        let (text, by) = (text.to_owned(), "test".to_owned());
        let config = Config { text, by, note: String::new(), token: "1".to_owned() };
        let value = serde_json::to_string(&config).unwrap();
        self.store.put(key::CONFIG, value, Expect::Anything).unwrap();
    }

    pub fn drain(&mut self, vm: &str) {
        let value = r#"{"by":"op","reason":"test"}"#.to_owned();
        self.store.put(&key::drain(&name(vm)), value, Expect::Anything).unwrap();
    }

    pub fn undrain(&mut self, vm: &str) {
        self.store.delete(&key::drain(&name(vm)));
    }

    pub fn order_wave(&mut self, vms: &[&str], step: u32) {
        let wave = Wave {
            number: 1,
            reason: "test".to_owned(),
            began_ms: self.now,
            deadline_ms: 0,
            todo: vms.iter().map(|vm| name(vm)).collect(),
            doing: Vec::new(),
            done: Vec::new(),
            failed: Vec::new(),
            step,
            halted: None,
        };
        let value = serde_json::to_string(&wave).unwrap();
        self.store.put(key::WAVE, value, Expect::Anything).unwrap();
    }

    /// Returns the current time. One clock serves as both the monotonic one and
    /// the one since the Unix epoch.
    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    /// Reads the complete state of the store and the platform into a
    /// controller.
    pub fn read(&mut self, c: usize) {
        let (now, range) = (self.time(), self.store.range());
        let wave = self.store.entry(key::WAVE);
        let wave = wave.map(|e| (e.revision, serde_json::from_str(&e.value).unwrap()));
        let vms =
            self.vms.iter().map(|(name, state)| fleet::Vm { name: name.clone(), state: *state });
        let controller = &mut self.controllers[c];
        controller.view.on_range(now, &range);
        let revision = controller.view.synced_revision().0;
        controller.directory.on_store(now, now, revision, controller.view.members());
        controller.facts.on_tasks(now, self.tasks.values().cloned().collect());
        controller.facts.on_vms(now, vms.collect());
        controller.facts.wave = Some(Reading { sent: now, value: wave });
    }

    /// Delivers a proxy's report to a controller.
    pub fn gossip(&mut self, p: usize, c: usize) {
        let (now, report) = (self.time(), self.proxies[p].report());
        self.controllers[c].directory.on_report(now, Some(now), &report);
    }

    /// Makes a controller decide. Its actions wait in its queue.
    pub fn decide(&mut self, c: usize) -> Option<Decision> {
        let now = self.time();
        let controller = &mut self.controllers[c];
        let decision = controller.planner.decide(&mut Inputs {
            now,
            unix: now,
            view: &controller.view,
            directory: &controller.directory,
            facts: &mut controller.facts,
        })?;
        for action in &decision.actions {
            match action {
                Action::Write(write) => controller.planner.on_write(&write.vm),
                Action::Wave { .. } => controller.planner.set_wave_writing(true),
                Action::Start(copy) => {
                    controller.facts.on_change_requested(copy.clone(), Change::Start)
                }
                Action::Stop(copy) => {
                    controller.facts.on_change_requested(copy.clone(), Change::Stop)
                }
                Action::Reboot(vm) => controller.facts.on_reboot_requested(now, vm),
                _ => {}
            }
        }
        controller.queue.extend(decision.actions.iter().cloned());
        Some(decision)
    }

    /// Carries out the queued actions of a controller, however old they are.
    pub fn carry_out(&mut self, c: usize) {
        for action in std::mem::take(&mut self.controllers[c].queue) {
            self.carry_out_one(c, action);
        }
    }

    fn carry_out_one(&mut self, c: usize, action: Action) {
        match action {
            Action::Write(write) => {
                let key = key::vm(&write.vm);
                let value = serde_json::to_string(&write.record).unwrap();
                let result = self.store.put(&key, value, write.expect);
                let controller = &mut self.controllers[c];
                controller.conflicts += usize::from(result.is_err());
                let entry = self.store.entry(&key).unwrap();
                controller.view.on_entry(&key, entry.revision, Some(&entry));
                controller.planner.on_written(&write.vm);
            }
            Action::Wave { expect, wave, .. } => {
                let value = serde_json::to_string(&wave).unwrap();
                let _ = self.store.put(key::WAVE, value, expect);
                self.controllers[c].planner.set_wave_writing(false);
            }
            call => self.call(c, &call),
        }
    }

    fn call(&mut self, c: usize, call: &Action) {
        let now = self.time();
        if let Action::Start(copy) | Action::Stop(copy) = call {
            self.controllers[c].facts.on_change_finished(now, copy);
        }
        if c != self.holder {
            return;
        }
        match call {
            Action::Start(copy) => {
                let (vm, service) = copy.clone();
                let address = Some("127.0.0.1:9".parse().unwrap());
                let task = Task { vm, service, address, state: TaskState::Running };
                self.tasks.insert(copy.clone(), task);
            }
            Action::Stop(copy) => {
                self.assert_nothing_in_flight(|other| other == copy, "stopped");
                self.tasks.remove(copy);
            }
            Action::Reboot(vm) => {
                self.assert_nothing_in_flight(|other| other.0 == *vm, "rebooted");
                self.vms.insert(vm.clone(), VmState::Rebooting);
                self.reboots.push(vm.clone());
            }
            _ => {}
        }
    }

    fn assert_nothing_in_flight(&self, is_affected: impl Fn(&Copy) -> bool, what: &str) {
        for proxy in &self.proxies {
            let copy = proxy.in_flight.iter().find(|copy| is_affected(copy));
            assert!(
                copy.is_none(),
                "{copy:?} was {what} while {} had a request in flight",
                proxy.member.name
            );
        }
    }

    /// Completes all reboots.
    pub fn complete_reboots(&mut self) {
        for state in self.vms.values_mut() {
            if *state == VmState::Rebooting {
                *state = VmState::Live;
            }
        }
    }

    /// Updates all proxies, completes their requests, and delivers their
    /// reports to all controllers.
    pub fn settle_proxies(&mut self) {
        for p in 0..self.proxies.len() {
            self.proxies[p].sync(&self.store);
            self.proxies[p].in_flight.clear();
            for c in 0..self.controllers.len() {
                self.gossip(p, c);
            }
        }
    }

    /// Advances time by two seconds and runs all parts once for a controller.
    pub fn round(&mut self, c: usize) {
        self.now += 2_000;
        self.read(c);
        self.settle_proxies();
        self.decide(c);
        self.carry_out(c);
    }

    /// Runs rounds of `c` until `done`, completing reboots in between.
    pub fn run_until(&mut self, c: usize, what: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..60 {
            self.round(c);
            if done(self) {
                return;
            }
            self.read(c);
            self.decide(c);
            self.carry_out(c);
            self.complete_reboots();
        }
        panic!("not {what} after 60 rounds: {:?}", self.store.entries);
    }

    pub fn running(&self, service: &str) -> usize {
        self.tasks.keys().filter(|copy| copy.1.as_str() == service).count()
    }

    /// Asserts that no proxy has work of one pool in flight on a VM of another.
    pub fn assert_pools(&self) {
        let pool = |service: &str| if service == "dossier" { "archive" } else { "registry" };
        for proxy in &self.proxies {
            for (vm, service) in &proxy.in_flight {
                let record = self.store.vm(vm.as_str());
                assert_eq!(
                    record.pool.as_str(),
                    pool(service.as_str()),
                    "work on {vm} of {service}"
                );
            }
        }
    }
}
