//! A small driver: it takes steps and lets minutes pass.

#![allow(dead_code)]

use std::time::Duration;

use corianderfork_model::place::{DataCentre, Pool, PoolId, Rack, Size, Vm, VmId};
use corianderfork_model::service::{Budget, Outlasts, Service, ServiceId, Weights};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::sizing::Load;
use corianderfork_policy::state::{Copy, Phase};
use corianderfork_policy::{Config, Decision, Directive, Operation, State, Step, decide};

pub const CORE: u32 = 1_000;
pub const GIB: u32 = 1_024;
/// Minutes from the Unix epoch at which the drivers begin.
pub const BEGIN: u64 = 1_000_000;

pub fn size(cores: u32, gib: u32) -> Size {
    Size { milli_cores: cores * CORE, memory_mib: gib * GIB, accelerators: 0 }
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn minute(at: u64) -> Time {
    Time::from_millis(at * 60_000)
}

/// Data centres with two racks of `vms` VMs each, all in one pool.
pub fn fleet(centres: usize, vms: usize) -> (Fleet, PoolId) {
    let mut fleet = Fleet::default();
    let pool = fleet.add_pool(Pool::new(name("pool")));
    add_vms(&mut fleet, pool, centres, vms);
    (fleet, pool)
}

pub fn add_vms(fleet: &mut Fleet, pool: PoolId, centres: usize, vms: usize) {
    for dc in 0..centres {
        let label = format!("dc-{dc}");
        let id = fleet.find_data_centre(&label).unwrap_or_else(|| {
            fleet.add_data_centre(DataCentre::new(name(&label), name("region")))
        });
        for rack in 0..2 {
            let rack = fleet.add_rack(Rack::new(name(&format!("rack-{dc}-{rack}")), id));
            for _ in 0..vms {
                let label = format!("vm-{}", fleet.vms().len());
                fleet.add_vm(Vm::new(name(&label), rack, size(16, 32), pool));
            }
        }
    }
}

pub fn add_service(
    fleet: &mut Fleet,
    pool: PoolId,
    text: &str,
    (least, most): (u32, u32),
    outlasts: Outlasts,
) -> ServiceId {
    let mut budget = Budget::new(least, most);
    budget.outlasts = outlasts;
    fleet.add_service(Service::new(name(text), pool, size(3, 6), budget, most))
}

/// A fleet and its state, driven minute by minute.
pub struct Driver {
    pub fleet: Fleet,
    pub state: State,
    pub directive: Directive,
    pub config: Config,
    pub now: u64,
    /// Requests in hand of each service.
    pub loads: Vec<u64>,
    /// VMs on which every start fails.
    pub bad: Vec<VmId>,
    /// Services of which every start fails.
    pub broken: Vec<ServiceId>,
    /// Starts and stops of copies so far.
    pub moves: usize,
    /// What the last decision said.
    pub last: Decision,
}

impl Driver {
    pub fn new(fleet: Fleet) -> Self {
        let mut state = State::new(&fleet, minute(BEGIN));
        for vm in fleet.vm_ids() {
            state.vm_mut(vm).maintained_at = Some(minute(BEGIN));
        }
        let loads = vec![0; fleet.services().len()];
        Self {
            state,
            directive: Directive::default(),
            config: Config::default(),
            now: BEGIN,
            loads,
            bad: Vec::new(),
            broken: Vec::new(),
            moves: 0,
            last: Decision::default(),
            fleet,
        }
    }

    pub fn weights(mut self, moves: u32, buffer: u32, roll_out: u32) -> Self {
        self.fleet.weights = Weights { moves, buffer, roll_out };
        self
    }

    /// Lets `minutes` pass.
    pub fn run(&mut self, minutes: u64) {
        for _ in 0..minutes {
            self.step();
        }
    }

    /// Lets minutes pass until `done`; panics after three days.
    pub fn run_until(&mut self, mut done: impl FnMut(&Self) -> bool) -> u64 {
        let begun = self.now;
        while !done(self) {
            assert!(self.now - begun < 3 * 1440, "not done after three days: {:?}", self.last);
            self.step();
        }
        self.now - begun
    }

    pub fn step(&mut self) -> &Decision {
        self.pass();
        self.decide();
        self.take();
        &self.last
    }

    /// Lets one minute pass.
    pub fn pass(&mut self) {
        self.now += 1;
        self.tick();
    }

    /// Takes the steps of the last decision.
    pub fn take(&mut self) {
        for step in self.last.steps.clone() {
            self.apply(step);
        }
    }

    pub fn decide(&mut self) -> &Decision {
        let now = minute(self.now);
        self.last = decide(&self.fleet, &self.state, &self.directive, &self.config, now);
        &self.last
    }

    fn tick(&mut self) {
        let now = minute(self.now);
        for (service, load) in self.fleet.service_ids().zip(self.loads.clone()) {
            let load = Load { at: now, in_flight_milli: load * 1000, ..Load::default() };
            self.state.sizer.record_load(now, &self.fleet, service, load);
        }
        for id in self.fleet.vm_ids() {
            let vm = self.state.vm_mut(id);
            if vm.lost_since.is_some() {
                continue;
            }
            match vm.phase {
                Phase::Draining => (vm.phase, vm.since) = (Phase::Drained, now),
                Phase::Rebooting
                    if now - vm.since >= Duration::from_secs(300)
                        && vm.maintained_at.is_none_or(|then| then < vm.since) =>
                {
                    self.state.record_reboot(id, now);
                }
                Phase::Serving => self.warm(id),
                _ => {}
            }
        }
    }

    fn warm(&mut self, id: VmId) {
        for at in 0..self.state.vm(id).copies.len() {
            let copy = self.state.vm(id).copies[at];
            let fails = self.bad.contains(&id) || self.broken.contains(&copy.service);
            if fails && !copy.failing {
                self.state.record_start_failure(id, copy.service, minute(self.now));
            } else if !fails && (copy.failing || !copy.warm) {
                self.state.record_start_success(id, copy.service);
            }
            let copy = &mut self.state.vm_mut(id).copies[at];
            (copy.warm, copy.failing) = (!fails, fails);
        }
    }

    pub fn apply(&mut self, step: Step) {
        let now = minute(self.now);
        let vm = self.state.vm_mut(step.operation.vm());
        match step.operation {
            Operation::Start { service, .. } => {
                match vm.copies.iter_mut().find(|copy| copy.service == service) {
                    Some(copy) => *copy = Copy::new(service, now),
                    None => {
                        vm.copies.push(Copy::new(service, now));
                        self.moves += 1;
                    }
                }
            }
            Operation::Stop { service, .. } => {
                self.moves += usize::from(vm.phase == Phase::Serving && vm.lost_since.is_none());
                vm.copies.retain(|copy| copy.service != service);
            }
            Operation::Drain { purpose, .. } => {
                assert_eq!(vm.phase, Phase::Serving, "only a serving VM is drained");
                (vm.phase, vm.purpose, vm.since) = (Phase::Draining, Some(purpose), now);
            }
            Operation::Reboot { .. } => {
                assert_eq!(vm.phase, Phase::Drained, "only a drained VM is rebooted");
                (vm.phase, vm.since) = (Phase::Rebooting, now);
            }
            Operation::SwitchPool { to, .. } => {
                assert_eq!(vm.phase, Phase::Drained, "only a drained VM changes its pool");
                assert!(vm.copies.is_empty(), "no copy of the old pool is left on the VM");
                (vm.phase, vm.pool, vm.since) = (Phase::Switching, to, now);
            }
            Operation::Admit { .. } => {
                (vm.phase, vm.purpose, vm.since) = (Phase::Serving, None, now)
            }
            Operation::SetOut { .. } => (vm.phase, vm.since) = (Phase::Out, now),
        }
    }

    /// VMs on which copies of `service` serve.
    pub fn able(&self, service: ServiceId) -> Vec<VmId> {
        let able = |copy: &Copy| copy.service == service && copy.warm && !copy.failing;
        let vms = self.state.vms().filter(|(_, vm)| {
            vm.phase == Phase::Serving && vm.lost_since.is_none() && vm.copies.iter().any(able)
        });
        vms.map(|(id, _)| id).collect()
    }

    /// Copies of `service` assigned to VMs.
    pub fn held(&self, service: ServiceId) -> usize {
        let copies = self.state.vms().flat_map(|(_, vm)| &vm.copies);
        copies.filter(|copy| copy.service == service).count()
    }

    /// Loses the VMs for which `lost` holds.
    pub fn lose(&mut self, mut lost: impl FnMut(&Fleet, VmId) -> bool) {
        for id in self.fleet.vm_ids() {
            if lost(&self.fleet, id) {
                let vm = self.state.vm_mut(id);
                vm.lost_since = Some(minute(self.now));
                vm.copies.iter_mut().for_each(|copy| copy.warm = false);
            }
        }
    }

    /// Brings all lost VMs back.
    pub fn find_all(&mut self) {
        for id in self.fleet.vm_ids() {
            self.state.vm_mut(id).lost_since = None;
        }
    }
}
