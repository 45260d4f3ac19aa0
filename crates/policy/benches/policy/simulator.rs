//! A stand-in for the fleet at the interface of the decisions: it takes steps
//! and shows a state, minute by minute.

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
use crate::scenario::{Part, Shape};

/// Minutes that things take.
const DRAIN: u64 = 1;
const REBOOT: u64 = 8;
const WARM: u64 = 2;
const REPORT_LAG: u64 = 2;
/// Minutes within which a failure larger than a budget names is to be mended.
const GRACE: u64 = 15;

/// What decides.
pub trait Policy {
    fn decide(&mut self, shape: &Shape, state: &State, loads: &[f64], now: Time) -> Vec<Step>;
}

/// What is measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measures {
    /// Copy-hours held beyond those the load needs.
    pub buffer_cost: f64,
    /// Hours from the order of the wave until its last VM serves again.
    pub roll_out_time: f64,
    /// Copies started elsewhere or stopped while able, and VMs that changed
    /// their pool.
    pub moves: u64,
    /// Service-minutes below budget, load or licence, and steps that would put
    /// a VM into two pools.
    pub violations: u64,
    /// Mean time of one decision.
    pub decision_ms: f64,
}

/// The copies of one service at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Census {
    held: u32,
    able: u32,
    slots: f64,
}

pub struct Fake<'a> {
    shape: &'a Shape,
    state: State,
    now: u64,
    wave_done: Option<u64>,
    measures: Measures,
    detail: bool,
}

pub fn time(minute: u64) -> Time {
    Time::from_millis(minute * 60_000)
}

/// The jobs that never run are the last two services.
pub fn real_services(shape: &Shape) -> usize {
    shape.fleet.services().len() - 2
}

/// Runs `policy` through all that happens to `shape`.
pub fn run(shape: &Shape, policy: &mut dyn Policy) -> Measures {
    let mut fake = Fake::new(shape);
    let mut spent = Duration::ZERO;
    for minute in shape.begin..shape.end {
        fake.now = minute;
        if minute == shape.measured {
            fake.measures = Measures::default();
        }
        fake.tick();
        let loads = fake.report();
        let start = Instant::now();
        let steps = policy.decide(shape, &fake.state, &loads, time(minute));
        spent += start.elapsed();
        steps.iter().for_each(|step| fake.apply(*step));
        fake.measure();
    }
    fake.measures.decision_ms = spent.as_secs_f64() * 1000.0 / (shape.end - shape.begin) as f64;
    fake.measures.roll_out_time = fake.roll_out();
    if fake.detail {
        eprintln!("seed {}: {:?}", shape.seed, fake.measures);
    }
    fake.measures
}

impl<'a> Fake<'a> {
    fn new(shape: &'a Shape) -> Self {
        let mut state = State::new(&shape.fleet, time(shape.begin));
        let ids: Vec<VmId> = shape.fleet.vm_ids().collect();
        for &id in &ids {
            // Long ago enough to be spread, late enough that none is due.
            let days = id.index() as u64 % 10;
            state.vm_mut(id).maintained_at = Some(time(shape.begin.saturating_sub(days * 1440)));
        }
        place_evenly(shape, &mut state);
        Self {
            shape,
            state,
            now: shape.begin,
            wave_done: None,
            measures: Measures::default(),
            detail: std::env::var_os("POLICY_DETAIL").is_some(),
        }
    }

    fn down(&self, vm: VmId, minute: u64) -> bool {
        let fleet = &self.shape.fleet;
        self.shape.outages.iter().any(|outage| {
            let hit = match outage.part {
                Part::Vm(index) => vm.index() == index,
                Part::Rack(index) => fleet.vm(vm).rack.index() == index,
                Part::DataCentre(index) => fleet.data_centre_of(vm).index() == index,
            };
            hit && (outage.at..outage.at + outage.minutes).contains(&minute)
        })
    }

    fn bad(&self, vm: VmId) -> bool {
        let back = |at| self.state.vm(vm).maintained_at.is_some_and(|then| then > time(at));
        self.shape.bad.iter().any(|bad| {
            bad.vm == vm.index()
                && (bad.at..bad.at + bad.minutes).contains(&self.now)
                && (!bad.rebooted || back(bad.at))
        })
    }

    fn tick(&mut self) {
        if self.now == self.shape.wave.0 {
            self.state.wave = Some(Order::new(time(self.now), time(self.shape.wave.1)));
        }
        for id in self.shape.fleet.vm_ids() {
            self.tick_vm(id);
        }
        let done = |order: &Order| order.is_done(&self.state);
        if self.wave_done.is_none() && self.state.wave.as_ref().is_some_and(done) {
            self.wave_done = Some(self.now);
        }
    }

    fn tick_vm(&mut self, id: VmId) {
        let now = time(self.now);
        // A failure is seen a minute later.
        let lost = self.now > 0 && self.down(id, self.now - 1);
        let bad = self.bad(id);
        let broken = ServiceId::from_index(self.shape.fleet.services().len() - 1);
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
            let old = (now - copy.since).as_secs() / 60 >= WARM;
            let fails = bad || copy.service == broken;
            if self.state.vm(id).phase != Phase::Serving || !old {
                continue;
            }
            if fails && !copy.failing {
                self.state.record_start_failure(id, copy.service, now);
            } else if !fails && (copy.failing || !copy.warm) {
                self.state.record_start_success(id, copy.service);
            }
            let copy = &mut self.state.vm_mut(id).copies[at];
            (copy.warm, copy.failing) = (!fails, fails);
        }
    }

    /// Reports loads and usage as they were some minutes ago.
    fn report(&mut self) -> Vec<f64> {
        let at = self.now.saturating_sub(REPORT_LAG).max(self.shape.begin);
        let now = time(self.now);
        let mut loads = Vec::new();
        let census = self.census();
        for service in self.shape.fleet.service_ids() {
            let real = service.index() < real_services(self.shape);
            let load = if real { self.shape.load(service.index(), at) } else { 1.0 };
            let slots = census[service.index()].slots;
            let run = 0.05;
            let report = Load {
                at: time(at),
                in_flight_milli: (load.min(slots) * 1000.0) as u64,
                arrivals_milli: (load / run * 1000.0) as u64,
                refused_milli: ((load - slots).max(0.0) / run * 1000.0) as u64,
            };
            self.state.sizer.record_load(now, &self.shape.fleet, service, report);
            loads.push(load);
        }
        for id in self.shape.fleet.vm_ids() {
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
        let declared = self.shape.fleet.service(service).size;
        let share = self.shape.true_share(service.index());
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
        let counted = |service: ServiceId| u64::from(service.index() < real_services(self.shape));
        if self.detail {
            let clock = (self.now / 1440, self.now / 60 % 24, self.now % 60);
            eprintln!("{clock:?} {}", step.to_text(&self.shape.fleet));
        }
        let vm = self.state.vm_mut(step.operation.vm());
        match step.operation {
            Operation::Start { service, .. } => {
                let held = vm.copies.iter_mut().find(|copy| copy.service == service);
                match held {
                    Some(copy) => *copy = Copy::new(service, now),
                    None => {
                        vm.copies.push(Copy::new(service, now));
                        self.measures.moves += counted(service);
                    }
                }
            }
            Operation::Stop { service, .. } => {
                let able = |copy: &Copy| copy.service == service && copy.warm && !copy.failing;
                if vm.phase == Phase::Serving
                    && vm.lost_since.is_none()
                    && vm.copies.iter().any(able)
                {
                    self.measures.moves += counted(service);
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
                let clean = vm.phase == Phase::Drained && vm.copies.is_empty();
                self.measures.violations += u64::from(!clean);
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
    fn census(&self) -> Vec<Census> {
        let fleet = &self.shape.fleet;
        let mut counts = vec![Census::default(); fleet.services().len()];
        for (id, vm) in self.state.vms() {
            let up = vm.phase == Phase::Serving && !self.down(id, self.now) && !self.bad(id);
            let speed = self.speed(id);
            for copy in &vm.copies {
                let census = &mut counts[copy.service.index()];
                census.held += 1;
                if up && copy.warm && !copy.failing {
                    census.able += 1;
                    census.slots += f64::from(fleet.service(copy.service).slots) * speed;
                }
            }
        }
        counts
    }

    /// A VM that carries more than it has slows all its copies down.
    fn speed(&self, id: VmId) -> f64 {
        let fleet = &self.shape.fleet;
        let need = |copy: &Copy| {
            let cores = fleet.service(copy.service).size.milli_cores;
            f64::from(cores) * self.shape.true_share(copy.service.index())
        };
        let used: f64 = self.state.vm(id).copies.iter().map(need).sum();
        (f64::from(fleet.vm(id).size.milli_cores) / used.max(1.0)).min(1.0)
    }

    fn measure(&mut self) {
        let census = self.census();
        for (id, service) in self.shape.fleet.services().take(real_services(self.shape)) {
            let load = self.shape.load(id.index(), self.now);
            let census = census[id.index()];
            let needed = (load / f64::from(service.slots)).ceil();
            self.measures.buffer_cost += (f64::from(census.held) - needed).max(0.0) / 60.0;
            let short = load > census.slots || census.able < service.budget.min_copies;
            let excused = self.failure() > service.budget.outlasts;
            let violated = (short && !excused) || census.held > service.licences;
            self.measures.violations += u64::from(violated);
            if violated && self.detail {
                eprintln!("{} {:?} {} load {load}: {census:?}", self.now / 60, id, service.name);
            }
        }
    }

    /// The largest failure that began within the time of grace.
    fn failure(&self) -> Outlasts {
        let fresh = |at: u64| (at..at + GRACE).contains(&self.now);
        let begun = self.shape.outages.iter().filter(|outage| fresh(outage.at));
        let level = begun.map(|outage| match outage.part {
            Part::Vm(_) => Outlasts::Vm,
            Part::Rack(_) => Outlasts::Rack,
            Part::DataCentre(_) => Outlasts::DataCentre,
        });
        level.max().unwrap_or(Outlasts::Nothing)
    }

    /// Hours the wave took; if it isn't done, what it would take at its pace
    /// so far.
    fn roll_out(&self) -> f64 {
        let begun = self.shape.wave.0;
        if let Some(done) = self.wave_done {
            return (done - begun) as f64 / 60.0;
        }
        let order = self.state.wave.as_ref();
        let waits = |vm: &&Vm| order.is_none_or(|order| order.is_pending(vm));
        let left = self.state.vms().map(|(_, vm)| vm).filter(waits).count() as f64;
        let done = self.state.vms().len() as f64 - left;
        (self.shape.end - begun) as f64 / 60.0 * (done + left) / done.max(1.0)
    }
}
