//! Simulates a fleet at the interface of the decisions: it applies steps and
//! updates the state, minute by minute.

use std::time::{Duration, Instant};

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Outlasts, ServiceId};
use corianderfork_policy::sizing::{Load, Usage};
use corianderfork_policy::state::{Copy, Phase, State, Vm};
use corianderfork_policy::step::{Operation, Step};
use corianderfork_policy::wave::Order;

use crate::initial_placement::place_evenly;
use crate::scenario::{Part, Scenario};

// Durations in minutes.
const DRAIN: u64 = 1;
const REBOOT: u64 = 8;
const WARM: u64 = 2;
const REPORT_LAG: u64 = 2;
/// Minutes during which a failure larger than the budget covers is excused.
const GRACE_PERIOD: u64 = 15;

/// A policy under test.
pub trait Policy {
    fn decide(&mut self, scenario: &Scenario, state: &State, loads: &[f64], now: Time)
    -> Vec<Step>;
}

/// The results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measures {
    /// Copy-hours held beyond those the load needs.
    pub buffer_cost: f64,
    /// Hours from the order of the wave until its last VM serves again.
    pub roll_out_time: f64,
    /// Copies started elsewhere, ready copies stopped, and VMs moved to another
    /// pool.
    pub moves: u64,
    /// Service-minutes below budget or load or above the licences, and steps that
    /// are invalid in the VM's phase.
    pub violations: u64,
    /// Mean time of one decision.
    pub decision_ms: f64,
}

/// The number of copies of one service.
#[derive(Clone, Copy, Debug, Default)]
struct CopyCounts {
    assigned: u32,
    ready: u32,
    slots: f64,
}

pub struct Simulator<'a> {
    scenario: &'a Scenario,
    state: State,
    now: u64,
    wave_done: Option<u64>,
    measures: Measures,
    verbose: bool,
}

pub fn time(minute: u64) -> Time {
    Time::from_millis(minute * 60_000)
}

/// Returns the number of services that can run; the last two can't.
pub fn schedulable_services(scenario: &Scenario) -> usize {
    scenario.fleet.services().len() - 2
}

/// Runs `policy` through `scenario`.
pub fn run(scenario: &Scenario, policy: &mut dyn Policy) -> Measures {
    let mut simulator = Simulator::new(scenario);
    let mut decision_time = Duration::ZERO;
    for minute in scenario.start..scenario.end {
        simulator.now = minute;
        if minute == scenario.measure_from {
            simulator.measures = Measures::default();
        }
        simulator.tick();
        let loads = simulator.report();
        let start = Instant::now();
        let steps = policy.decide(scenario, &simulator.state, &loads, time(minute));
        decision_time += start.elapsed();
        steps.iter().for_each(|step| simulator.apply(*step));
        simulator.measure();
    }
    simulator.measures.decision_ms =
        decision_time.as_secs_f64() * 1000.0 / (scenario.end - scenario.start) as f64;
    simulator.measures.roll_out_time = simulator.roll_out_time();
    if simulator.verbose {
        eprintln!("seed {}: {:?}", scenario.seed, simulator.measures);
    }
    simulator.measures
}

impl<'a> Simulator<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut state = State::new(&scenario.fleet, time(scenario.start));
        let ids: Vec<VmId> = scenario.fleet.vm_ids().collect();
        for &id in &ids {
            // Spread over ten days, and recent enough that no VM is due.
            let days = id.index() as u64 % 10;
            state.vm_mut(id).maintained_at = Some(time(scenario.start.saturating_sub(days * 1440)));
        }
        place_evenly(scenario, &mut state);
        Self {
            scenario,
            state,
            now: scenario.start,
            wave_done: None,
            measures: Measures::default(),
            verbose: std::env::var_os("POLICY_DETAIL").is_some(),
        }
    }

    fn is_down(&self, vm: VmId, minute: u64) -> bool {
        let fleet = &self.scenario.fleet;
        self.scenario.outages.iter().any(|outage| {
            let is_hit = match outage.part {
                Part::Vm(index) => vm.index() == index,
                Part::Rack(index) => fleet.vm(vm).rack.index() == index,
                Part::DataCentre(index) => fleet.data_centre_of(vm).index() == index,
            };
            is_hit && (outage.at..outage.at + outage.minutes).contains(&minute)
        })
    }

    /// Whether every start on `vm` fails now.
    fn is_vm_failing(&self, vm: VmId) -> bool {
        let is_back = |at| self.state.vm(vm).maintained_at.is_some_and(|then| then > time(at));
        self.scenario.failing_vms.iter().any(|bad| {
            bad.vm == vm.index()
                && (bad.at..bad.at + bad.minutes).contains(&self.now)
                && (!bad.after_reboot || is_back(bad.at))
        })
    }

    fn tick(&mut self) {
        if self.now == self.scenario.wave.0 {
            self.state.wave = Some(Order::new(time(self.now), time(self.scenario.wave.1)));
        }
        for id in self.scenario.fleet.vm_ids() {
            self.tick_vm(id);
        }
        let done = |order: &Order| order.is_done(&self.state);
        if self.wave_done.is_none() && self.state.wave.as_ref().is_some_and(done) {
            self.wave_done = Some(self.now);
        }
    }

    fn tick_vm(&mut self, id: VmId) {
        let now = time(self.now);
        // A failure is detected one minute later.
        let lost = self.now > 0 && self.is_down(id, self.now - 1);
        let vm_failing = self.is_vm_failing(id);
        let broken_service = ServiceId::from_index(self.scenario.fleet.services().len() - 1);
        let vm = self.state.vm_mut(id);
        if lost != vm.lost_since.is_some() {
            vm.lost_since = lost.then_some(now);
            vm.copies.iter_mut().for_each(|copy| *copy = Copy::new(copy.service, now));
        }
        if lost {
            return;
        }
        let age = (now - vm.since).as_secs() / 60;
        match vm.phase {
            Phase::Draining if age >= DRAIN => (vm.phase, vm.since) = (Phase::Drained, now),
            Phase::Rebooting
                if age >= REBOOT && vm.maintained_at.is_none_or(|at| at < vm.since) =>
            {
                self.state.record_reboot(id, now);
            }
            Phase::Serving => {}
            _ => return,
        }
        for at in 0..self.state.vm(id).copies.len() {
            let copy = self.state.vm(id).copies[at];
            let is_warmed_up = (now - copy.since).as_secs() / 60 >= WARM;
            let is_failing = vm_failing || copy.service == broken_service;
            if self.state.vm(id).phase != Phase::Serving || !is_warmed_up {
                continue;
            }
            if is_failing && !copy.failing {
                self.state.record_start_failure(id, copy.service, now);
            } else if !is_failing && (copy.failing || !copy.warm) {
                self.state.record_start_success(id, copy.service);
            }
            let copy = &mut self.state.vm_mut(id).copies[at];
            (copy.warm, copy.failing) = (!is_failing, is_failing);
        }
    }

    /// Reports the loads of some minutes ago, and the current usage.
    fn report(&mut self) -> Vec<f64> {
        let at = self.now.saturating_sub(REPORT_LAG).max(self.scenario.start);
        let now = time(self.now);
        let mut loads = Vec::new();
        let counts = self.count_copies();
        for service in self.scenario.fleet.service_ids() {
            let is_schedulable = service.index() < schedulable_services(self.scenario);
            let load = if is_schedulable { self.scenario.load(service.index(), at) } else { 1.0 };
            let slots = counts[service.index()].slots;
            let run_time = 0.05;
            let report = Load {
                at: time(at),
                in_flight_milli: (load.min(slots) * 1000.0) as u64,
                arrivals_milli: (load / run_time * 1000.0) as u64,
                refused_milli: ((load - slots).max(0.0) / run_time * 1000.0) as u64,
            };
            self.state.sizer.record_load(now, &self.scenario.fleet, service, report);
            loads.push(load);
        }
        for id in self.scenario.fleet.vm_ids() {
            for at in 0..self.state.vm(id).copies.len() {
                let copy = self.state.vm(id).copies[at];
                if copy.warm {
                    self.report_usage(copy.service, now);
                }
            }
        }
        loads
    }

    fn report_usage(&mut self, service: ServiceId, now: Time) {
        let declared = self.scenario.fleet.service(service).size;
        let share = self.scenario.actual_size_factor(service.index());
        let of = |size: u32| (f64::from(size) * share) as u32;
        let usage = Usage {
            at: now,
            milli_cores: of(declared.milli_cores),
            memory_mib: of(declared.memory_mib),
        };
        self.state.sizer.record_usage(now, service, usage);
    }

    fn apply(&mut self, step: Step) {
        let now = time(self.now);
        let move_weight =
            |service: ServiceId| u64::from(service.index() < schedulable_services(self.scenario));
        if self.verbose {
            let clock = (self.now / 1440, self.now / 60 % 24, self.now % 60);
            eprintln!("{clock:?} {}", step.to_text(&self.scenario.fleet));
        }
        let vm = self.state.vm_mut(step.operation.vm());
        match step.operation {
            Operation::Start { service, .. } => {
                let existing = vm.copies.iter_mut().find(|copy| copy.service == service);
                match existing {
                    Some(copy) => *copy = Copy::new(service, now),
                    None => {
                        vm.copies.push(Copy::new(service, now));
                        self.measures.moves += move_weight(service);
                    }
                }
            }
            Operation::Stop { service, .. } => {
                let is_ready = |copy: &Copy| copy.service == service && copy.warm && !copy.failing;
                if vm.phase == Phase::Serving
                    && vm.lost_since.is_none()
                    && vm.copies.iter().any(is_ready)
                {
                    self.measures.moves += move_weight(service);
                }
                vm.copies.retain(|copy| copy.service != service);
            }
            Operation::Drain { purpose, .. } => {
                (vm.phase, vm.purpose, vm.since) = (Phase::Draining, Some(purpose), now);
            }
            Operation::Reboot { .. } => {
                self.measures.violations += u64::from(vm.phase != Phase::Drained);
                (vm.phase, vm.since) = (Phase::Rebooting, now);
            }
            Operation::SwitchPool { to, .. } => {
                let is_valid = vm.phase == Phase::Drained && vm.copies.is_empty();
                self.measures.violations += u64::from(!is_valid);
                self.measures.moves += 1;
                (vm.phase, vm.pool, vm.since) = (Phase::Switching, to, now);
            }
            Operation::Admit { .. } => {
                (vm.phase, vm.purpose, vm.since) = (Phase::Serving, None, now)
            }
            Operation::SetOut { .. } => (vm.phase, vm.since) = (Phase::Out, now),
        }
    }

    /// Counts the copies of each service.
    fn count_copies(&self) -> Vec<CopyCounts> {
        let fleet = &self.scenario.fleet;
        let mut all_counts = vec![CopyCounts::default(); fleet.services().len()];
        for (id, vm) in self.state.vms() {
            let is_up = vm.phase == Phase::Serving
                && !self.is_down(id, self.now)
                && !self.is_vm_failing(id);
            let speed = self.speed(id);
            for copy in &vm.copies {
                let counts = &mut all_counts[copy.service.index()];
                counts.assigned += 1;
                if is_up && copy.warm && !copy.failing {
                    counts.ready += 1;
                    counts.slots += f64::from(fleet.service(copy.service).slots) * speed;
                }
            }
        }
        all_counts
    }

    /// Returns the speed of the copies on a VM: all copies on an overcommitted VM
    /// slow down.
    fn speed(&self, id: VmId) -> f64 {
        let fleet = &self.scenario.fleet;
        let need = |copy: &Copy| {
            let cores = fleet.service(copy.service).size.milli_cores;
            f64::from(cores) * self.scenario.actual_size_factor(copy.service.index())
        };
        let used: f64 = self.state.vm(id).copies.iter().map(need).sum();
        (f64::from(fleet.vm(id).size.milli_cores) / used.max(1.0)).min(1.0)
    }

    fn measure(&mut self) {
        let counts = self.count_copies();
        for (id, service) in
            self.scenario.fleet.services().take(schedulable_services(self.scenario))
        {
            let load = self.scenario.load(id.index(), self.now);
            let counts = counts[id.index()];
            let needed = (load / f64::from(service.slots)).ceil();
            self.measures.buffer_cost += (f64::from(counts.assigned) - needed).max(0.0) / 60.0;
            let is_short = load > counts.slots || counts.ready < service.budget.min_copies;
            let is_excused = self.recent_failure() > service.budget.outlasts;
            let violated = (is_short && !is_excused) || counts.assigned > service.licences;
            self.measures.violations += u64::from(violated);
            if violated && self.verbose {
                eprintln!("{} {:?} {} load {load}: {counts:?}", self.now / 60, id, service.name);
            }
        }
    }

    /// Returns the largest failure that started within the grace period.
    fn recent_failure(&self) -> Outlasts {
        let fresh = |at: u64| (at..at + GRACE_PERIOD).contains(&self.now);
        let started = self.scenario.outages.iter().filter(|outage| fresh(outage.at));
        let level = started.map(|outage| match outage.part {
            Part::Vm(_) => Outlasts::Vm,
            Part::Rack(_) => Outlasts::Rack,
            Part::DataCentre(_) => Outlasts::DataCentre,
        });
        level.max().unwrap_or(Outlasts::Nothing)
    }

    /// Returns the hours that the wave took. If it is not done, extrapolates from
    /// its pace so far.
    fn roll_out_time(&self) -> f64 {
        let started = self.scenario.wave.0;
        if let Some(done) = self.wave_done {
            return (done - started) as f64 / 60.0;
        }
        let order = self.state.wave.as_ref();
        let is_pending = |vm: &&Vm| order.is_none_or(|order| order.is_pending(vm));
        let remaining = self.state.vms().map(|(_, vm)| vm).filter(is_pending).count() as f64;
        let done = self.state.vms().len() as f64 - remaining;
        (self.scenario.end - started) as f64 / 60.0 * (done + remaining) / done.max(1.0)
    }
}
