//! A simulated fleet that applies decisions, minute by minute.

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
/// The minute since the Unix epoch at which a simulation starts.
pub const START_MINUTE: u64 = 1_000_000;

pub fn size(cores: u32, gib: u32) -> Size {
    Size { milli_cores: cores * CORE, memory_mib: gib * GIB, accelerators: 0 }
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn minute(at: u64) -> Time {
    Time::from_millis(at * 60_000)
}

/// Returns a fleet of data centres with two racks of `vms` VMs each, all in one
/// pool.
pub fn fleet(data_centres: usize, vms: usize) -> (Fleet, PoolId) {
    let mut fleet = Fleet::default();
    let pool = fleet.add_pool(Pool::new(name("pool")));
    add_vms(&mut fleet, pool, data_centres, vms);
    (fleet, pool)
}

pub fn add_vms(fleet: &mut Fleet, pool: PoolId, data_centres: usize, vms: usize) {
    for dc in 0..data_centres {
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
    (min_copies, max_copies): (u32, u32),
    outlasts: Outlasts,
) -> ServiceId {
    let mut budget = Budget::new(min_copies, max_copies);
    budget.outlasts = outlasts;
    fleet.add_service(Service::new(name(text), pool, size(3, 6), budget, max_copies))
}

/// A fleet and its state, simulated minute by minute.
pub struct Driver {
    pub fleet: Fleet,
    pub state: State,
    pub directive: Directive,
    pub config: Config,
    pub now: u64,
    /// Requests in flight of each service.
    pub loads: Vec<u64>,
    /// VMs on which every start fails.
    pub failing_vms: Vec<VmId>,
    /// Services whose every start fails.
    pub failing_services: Vec<ServiceId>,
    /// The number of starts and stops of copies so far.
    pub moves: usize,
    /// The last decision.
    pub last_decision: Decision,
}

impl Driver {
    pub fn new(fleet: Fleet) -> Self {
        let mut state = State::new(&fleet, minute(START_MINUTE));
        for vm in fleet.vm_ids() {
            state.vm_mut(vm).maintained_at = Some(minute(START_MINUTE));
        }
        let loads = vec![0; fleet.services().len()];
        Self {
            state,
            directive: Directive::default(),
            config: Config::default(),
            now: START_MINUTE,
            loads,
            failing_vms: Vec::new(),
            failing_services: Vec::new(),
            moves: 0,
            last_decision: Decision::default(),
            fleet,
        }
    }

    pub fn weights(mut self, moves: u32, buffer: u32, roll_out: u32) -> Self {
        self.fleet.weights = Weights { moves, buffer, roll_out };
        self
    }

    /// Simulates `minutes`.
    pub fn run(&mut self, minutes: u64) {
        for _ in 0..minutes {
            self.run_minute();
        }
    }

    /// Simulates until `done`, and returns the minutes that took. Panics after
    /// three days.
    pub fn run_until(&mut self, mut done: impl FnMut(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now - start < 3 * 1440,
                "not done after three days: {:?}",
                self.last_decision
            );
            self.run_minute();
        }
        self.now - start
    }

    pub fn run_minute(&mut self) -> &Decision {
        self.advance_minute();
        self.decide();
        self.apply_steps();
        &self.last_decision
    }

    /// Advances the clock by one minute and updates the state.
    pub fn advance_minute(&mut self) {
        self.now += 1;
        self.update_state();
    }

    /// Applies the steps of the last decision.
    pub fn apply_steps(&mut self) {
        for step in self.last_decision.steps.clone() {
            self.apply(step);
        }
    }

    pub fn decide(&mut self) -> &Decision {
        let now = minute(self.now);
        self.last_decision = decide(&self.fleet, &self.state, &self.directive, &self.config, now);
        &self.last_decision
    }

    fn update_state(&mut self) {
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
                Phase::Serving => self.update_copies(id),
                _ => {}
            }
        }
    }

    fn update_copies(&mut self, id: VmId) {
        for at in 0..self.state.vm(id).copies.len() {
            let copy = self.state.vm(id).copies[at];
            let is_failing =
                self.failing_vms.contains(&id) || self.failing_services.contains(&copy.service);
            if is_failing && !copy.failing {
                self.state.record_start_failure(id, copy.service, minute(self.now));
            } else if !is_failing && (copy.failing || !copy.warm) {
                self.state.record_start_success(id, copy.service);
            }
            let copy = &mut self.state.vm_mut(id).copies[at];
            (copy.warm, copy.failing) = (!is_failing, is_failing);
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

    /// Returns the VMs on which copies of `service` serve.
    pub fn ready_vms(&self, service: ServiceId) -> Vec<VmId> {
        let is_ready = |copy: &Copy| copy.service == service && copy.warm && !copy.failing;
        let vms = self.state.vms().filter(|(_, vm)| {
            vm.phase == Phase::Serving && vm.lost_since.is_none() && vm.copies.iter().any(is_ready)
        });
        vms.map(|(id, _)| id).collect()
    }

    /// Returns the number of copies of `service` assigned to VMs.
    pub fn assigned(&self, service: ServiceId) -> usize {
        let copies = self.state.vms().flat_map(|(_, vm)| &vm.copies);
        copies.filter(|copy| copy.service == service).count()
    }

    /// Marks the VMs for which `is_lost` holds as lost.
    pub fn lose_vms(&mut self, mut is_lost: impl FnMut(&Fleet, VmId) -> bool) {
        for id in self.fleet.vm_ids() {
            if is_lost(&self.fleet, id) {
                let vm = self.state.vm_mut(id);
                vm.lost_since = Some(minute(self.now));
                vm.copies.iter_mut().for_each(|copy| copy.warm = false);
            }
        }
    }

    /// Recovers all lost VMs.
    pub fn recover_all(&mut self) {
        for id in self.fleet.vm_ids() {
            self.state.vm_mut(id).lost_since = None;
        }
    }
}
