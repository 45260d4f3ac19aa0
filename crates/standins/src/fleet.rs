//! The platform's VMs and tasks, and the delay with which its lists show them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// The entries kept of each VM's states and each task's usage reports.
const MAX_HISTORY: usize = 64;
/// A VM is `leaving` for the reboot time divided by this.
const LEAVING_DIVISOR: u64 = 10;

/// The state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum State {
    Live,
    Leaving,
    Rebooting,
    Gone,
}

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Phase {
    Starting,
    Running,
    Stopping,
    Stopped,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// Its state, which may be outdated if the list lags.
    pub state: State,
    /// How often it has gone down, which ends its runners. Only the backend
    /// stand-in sees this.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub boots: u64,
}

/// A task in the platform's list and in reports of the backend stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The VM it runs on.
    pub vm: String,
    /// The service it serves.
    pub service: String,
    /// The address it listens on, empty until then.
    #[serde(default)]
    pub address: String,
    /// The task's state.
    pub state: Phase,
    /// Which start of the task this is. Reports about an earlier start are
    /// ignored. Only the backend stand-in sees this.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub generation: u64,
}

/// A usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Usage {
    pub vm: String,
    pub service: String,
    pub milli_cores: u64,
    pub memory_mib: u64,
    /// When it was measured, in Unix milliseconds.
    pub at_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

#[derive(Debug)]
struct VmHistory {
    states: VecDeque<(u64, State)>,
    boots: u64,
    reboot_began: Option<u64>,
}

impl VmHistory {
    fn state(&self) -> State {
        self.states.back().map_or(State::Gone, |(_, s)| *s)
    }

    fn set(&mut self, now: u64, state: State) {
        self.states.push_back((now, state));
        if self.states.len() > MAX_HISTORY {
            self.states.pop_front();
        }
    }

    fn state_at(&self, at: u64) -> Option<State> {
        self.states.iter().rev().find(|(since, _)| *since <= at).map(|(_, s)| *s)
    }
}

/// All VMs, tasks and usage reports.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: BTreeMap<String, VmHistory>,
    tasks: BTreeMap<(String, String), Task>,
    usage: BTreeMap<(String, String), VecDeque<Usage>>,
    generations: u64,
    reboot_ms: u64,
}

impl Fleet {
    /// Creates a fleet without VMs in which a reboot takes `reboot_ms`.
    pub fn new(reboot_ms: u64) -> Self {
        Self { reboot_ms, ..Self::default() }
    }

    /// Sets a VM's state, adding the VM if necessary. A VM that is gone loses its
    /// tasks.
    pub fn set(&mut self, now: u64, name: &str, state: State) {
        let new = || VmHistory { states: VecDeque::new(), boots: 0, reboot_began: None };
        let vm = self.vms.entry(name.to_owned()).or_insert_with(new);
        vm.set(now, state);
        vm.reboot_began = None;
        if state == State::Gone {
            vm.boots += 1;
            self.tasks.retain(|(vm, _), _| vm != name);
        }
    }

    /// Returns the VMs as they were `lag` milliseconds before `now`.
    pub fn vms(&self, now: u64, lag: u64) -> Vec<Vm> {
        let vm_at = |(name, vm): (&String, &VmHistory)| {
            let state = vm.state_at(now.saturating_sub(lag))?;
            Some(Vm { name: name.clone(), state, boots: vm.boots })
        };
        self.vms.iter().filter_map(vm_at).collect()
    }

    /// Begins a reboot, unless one is in progress. Returns false if there is no such
    /// VM.
    pub fn reboot(&mut self, now: u64, name: &str) -> bool {
        let Some(vm) = self.vms.get_mut(name) else { return false };
        if vm.state() == State::Gone {
            return false;
        }
        if vm.reboot_began.is_none() {
            vm.set(now, State::Leaving);
            vm.reboot_began = Some(now);
        }
        true
    }

    /// Advances reboots in progress.
    pub fn tick(&mut self, now: u64) {
        for (name, vm) in &mut self.vms {
            let Some(began) = vm.reboot_began else { continue };
            if vm.state() == State::Leaving && now >= began + self.reboot_ms / LEAVING_DIVISOR {
                vm.set(now, State::Rebooting);
                vm.boots += 1;
                // The platform starts the VM's tasks again once it is back.
                self.tasks.retain(|(on, _), task| on != name || task.state != Phase::Stopping);
                for task in self.tasks.values_mut().filter(|t| t.vm == *name) {
                    task.state = Phase::Starting;
                    task.address.clear();
                }
            } else if vm.state() == State::Rebooting && now >= began + self.reboot_ms {
                vm.set(now, State::Live);
                vm.reboot_began = None;
            }
        }
    }

    /// Returns all tasks.
    pub fn tasks(&self) -> Vec<&Task> {
        self.tasks.values().collect()
    }

    /// Returns the tasks and the VMs without the fields that only the backend
    /// stand-in sees.
    pub fn public(&self, now: u64, lag: u64) -> (Vec<Task>, Vec<Vm>) {
        let tasks = self.tasks.values().map(|t| Task { generation: 0, ..t.clone() }).collect();
        let vms = self.vms(now, lag).into_iter().map(|vm| Vm { boots: 0, ..vm }).collect();
        (tasks, vms)
    }

    /// Starts a task unless it exists. Returns false if there is no such VM.
    pub fn start(&mut self, vm: &str, service: &str) -> bool {
        if self.vms.get(vm).is_none_or(|v| v.state() == State::Gone) {
            return false;
        }
        let key = (vm.to_owned(), service.to_owned());
        if self.tasks.get(&key).is_some_and(|t| t.state != Phase::Stopping) {
            return true;
        }
        self.generations += 1;
        let (vm, service) = key.clone();
        let (address, generation) = (String::new(), self.generations);
        let task = Task { vm, service, address, state: Phase::Starting, generation };
        self.tasks.insert(key, task);
        true
    }

    /// Stops a task. Returns false if there is no such task.
    pub fn stop(&mut self, vm: &str, service: &str) -> bool {
        let task = self.tasks.get_mut(&(vm.to_owned(), service.to_owned()));
        task.map(|t| t.state = Phase::Stopping).is_some()
    }

    /// Applies the backend stand-in's report on a task.
    pub fn report(&mut self, report: Task) {
        let key = (report.vm.clone(), report.service.clone());
        let Some(task) = self.tasks.get_mut(&key) else { return };
        if report.generation != 0 && report.generation != task.generation {
            return;
        }
        if report.state == Phase::Stopped {
            self.tasks.remove(&key);
            return;
        }
        task.address = report.address;
        if task.state != Phase::Stopping {
            task.state = report.state;
        }
    }

    /// Stores usage reports.
    pub fn report_usage(&mut self, reports: Vec<Usage>) {
        for report in reports {
            let key = (report.vm.clone(), report.service.clone());
            let kept = self.usage.entry(key).or_default();
            kept.push_back(report);
            if kept.len() > MAX_HISTORY {
                kept.pop_front();
            }
        }
    }

    /// Returns each runner's latest usage report measured at or before `at_ms`.
    pub fn usage(&self, at_ms: u64) -> Vec<&Usage> {
        let latest = |kept: &'_ VecDeque<Usage>| kept.iter().rposition(|u| u.at_ms <= at_ms);
        self.usage.values().filter_map(|kept| kept.get(latest(kept)?)).collect()
    }

    /// Returns how often each VM has gone down, without VMs that never did.
    pub fn boots(&self) -> BTreeMap<&str, u64> {
        let down = self.vms.iter().filter(|(_, vm)| vm.boots > 0);
        down.map(|(name, vm)| (name.as_str(), vm.boots)).collect()
    }
}
