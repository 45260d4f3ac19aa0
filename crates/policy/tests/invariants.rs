//! Invariants that hold for any fleet and any sequence of events.

#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{Pool, Size, VmId};
use corianderfork_model::service::{Budget, Class, Outlasts, Service, ServiceId};
use corianderfork_policy::directive::{Copies, Pace};
use corianderfork_policy::sizing::{Load, Usage};
use corianderfork_policy::state::{Phase, Purpose};
use corianderfork_policy::wave::Order;
use corianderfork_policy::{Operation, decide};
use proptest::prelude::*;

const LEVELS: [Outlasts; 4] =
    [Outlasts::Nothing, Outlasts::Vm, Outlasts::Rack, Outlasts::DataCentre];

#[derive(Clone, Debug)]
enum Event {
    Load(usize, u64),
    LoseVm(usize),
    RecoverAll,
    FailVm(usize),
    RepairAll,
    Wave,
    Drain(usize, bool),
    Usage(usize, u32),
    Copies(usize, u32),
    RefuseMoves(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..4usize, 0..90u64).prop_map(|(s, load)| Event::Load(s, load)),
        2 => (0..24usize).prop_map(Event::LoseVm),
        1 => Just(Event::RecoverAll),
        1 => (0..24usize).prop_map(Event::FailVm),
        1 => Just(Event::RepairAll),
        2 => Just(Event::Wave),
        1 => (0..24usize, any::<bool>()).prop_map(|(vm, on)| Event::Drain(vm, on)),
        1 => (0..4usize, 0..20_000u32).prop_map(|(s, cores)| Event::Usage(s, cores)),
        1 => (0..4usize, 0..20u32).prop_map(|(s, count)| Event::Copies(s, count)),
        1 => any::<bool>().prop_map(Event::RefuseMoves),
    ]
}

#[derive(Clone, Debug)]
struct ServiceSpec {
    min: u32,
    max: u32,
    licences: u32,
    level: usize,
    cores: u32,
}

fn service_spec() -> impl Strategy<Value = ServiceSpec> {
    (0..5u32, 0..12u32, 0..12u32, 0..4usize, 0..20u32).prop_map(
        |(min, max, licences, level, cores)| ServiceSpec { min, max, licences, level, cores },
    )
}

fn driver(specs: &[ServiceSpec]) -> Driver {
    let (mut fleet, first) = fleet(2, 3);
    let second = fleet.add_pool(Pool::new(name("second")));
    add_vms(&mut fleet, second, 2, 2);
    for (index, spec) in specs.iter().enumerate() {
        let mut budget = Budget::new(spec.min, spec.max);
        budget.outlasts = LEVELS[spec.level];
        let pool = if index % 2 == 0 { first } else { second };
        let label = name(&format!("service-{index}"));
        let size = size(spec.cores, 4);
        let mut service = Service::new(label, pool, size, budget, spec.licences);
        service.class = [Class::Later, Class::Normal, Class::First][index % 3];
        fleet.add_service(service);
    }
    Driver::new(fleet)
}

fn apply_event(driver: &mut Driver, event: &Event) {
    let vms = driver.fleet.vms().len();
    let vm = |index: usize| VmId::from_index(index % vms);
    let now = minute(driver.now);
    match *event {
        Event::Load(service, load) => driver.loads[service] = load,
        Event::LoseVm(index) => driver.lose_vms(|_, id| id == vm(index)),
        Event::RecoverAll => driver.recover_all(),
        Event::FailVm(index) => driver.failing_vms.push(vm(index)),
        Event::RepairAll => driver.failing_vms.clear(),
        Event::Wave => driver.state.wave = Some(Order::new(now, minute(driver.now + 300))),
        Event::Drain(index, on) => driver.state.vm_mut(vm(index)).drain_requested = on,
        Event::Usage(service, milli_cores) => {
            let usage = Usage { at: now, milli_cores, memory_mib: 1024 };
            driver.state.sizer.record_usage(now, ServiceId::from_index(service), usage);
        }
        Event::Copies(service, count) => {
            let id = ServiceId::from_index(service);
            driver.directive.copies.insert(id, Copies::Count(count));
        }
        Event::RefuseMoves(on) => driver.directive.refuse_moves = on,
    }
}

/// Checks one decision before its steps are taken.
fn check_decision(driver: &Driver) -> Result<(), TestCaseError> {
    let now = minute(driver.now);
    let repeated = decide(&driver.fleet, &driver.state, &driver.directive, &driver.config, now);
    prop_assert_eq!(&repeated, &driver.last_decision, "the same input gives the same decision");
    let mut used: Vec<(u64, u64)> = Vec::new();
    let mut assigned: Vec<Vec<ServiceId>> = Vec::new();
    let size = |service| driver.state.sizer.size(&driver.fleet, service, &driver.config);
    for (_, vm) in driver.state.vms() {
        let services: Vec<ServiceId> = vm.copies.iter().map(|copy| copy.service).collect();
        let sum = |of: fn(&Size) -> u32| services.iter().map(|s| u64::from(of(&size(*s)))).sum();
        used.push((sum(|size| size.milli_cores), sum(|size| size.memory_mib)));
        assigned.push(services);
    }
    let mut drained = Vec::new();
    for step in &driver.last_decision.steps {
        let vm = step.operation.vm();
        let state = driver.state.vm(vm);
        match step.operation {
            Operation::Start { service, .. } if !assigned[vm.index()].contains(&service) => {
                let (cores, memory) = &mut used[vm.index()];
                *cores += u64::from(size(service).milli_cores);
                *memory += u64::from(size(service).memory_mib);
                let has = driver.fleet.vm(vm).size;
                prop_assert!(
                    *cores <= u64::from(has.milli_cores),
                    "the copies exceed a VM's cores"
                );
                prop_assert!(
                    *memory <= u64::from(has.memory_mib),
                    "the copies exceed a VM's memory"
                );
                prop_assert_eq!(state.phase, Phase::Serving);
                prop_assert_eq!(state.pool, driver.fleet.service(service).pool);
                assigned[vm.index()].push(service);
            }
            Operation::Drain { purpose: Purpose::Maintenance, .. } => drained.push(vm),
            Operation::SwitchPool { .. } => {
                prop_assert!(state.phase == Phase::Drained && state.copies.is_empty());
            }
            _ => {}
        }
    }
    for (id, service) in driver.fleet.services() {
        let count = assigned.iter().flatten().filter(|assigned| **assigned == id).count();
        let before = driver.assigned(id);
        prop_assert!(count <= before.max(service.licences as usize), "more copies than licences");
        let ready = driver.ready_vms(id);
        let remaining = ready.iter().filter(|vm| !drained.contains(vm)).count();
        if remaining < ready.len() {
            let min = service.budget.min_copies.min(service.budget.max_copies);
            prop_assert!(remaining >= min as usize, "a wave takes {id:?} to {remaining} copies");
            let load = (driver.loads[id.index()] as usize).div_ceil(8);
            let load = load.min(service.budget.max_copies.min(service.licences) as usize);
            prop_assert!(
                remaining >= load,
                "a wave leaves {remaining} copies of {id:?}, the load needs {load}"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decide_any_events(
        specs in prop::collection::vec(service_spec(), 4),
        events in prop::collection::vec((event(), 1..12u64), 1..25),
    ) {
        let mut driver = driver(&specs);
        for (event, minutes) in events {
            apply_event(&mut driver, &event);
            for _ in 0..minutes {
                driver.advance_minute();
                driver.decide();
                check_decision(&driver)?;
                driver.apply_steps();
            }
        }
    }

    #[test]
    fn decide_absurd_input(
        numbers in prop::collection::vec(any::<u32>(), 8),
        wide_numbers in prop::collection::vec(any::<u64>(), 6),
        slots in any::<u16>(),
        pace in prop_oneof![Just(Pace::Paused), any::<u32>().prop_map(Pace::AtMost)],
    ) {
        let (mut fleet, pool) = fleet(2, 1);
        let copy = Size { milli_cores: numbers[0], memory_mib: numbers[1], accelerators: 0 };
        for size in [copy, Size::default()] {
            let mut budget = Budget::new(numbers[2], numbers[3]);
            budget.outlasts = LEVELS[numbers[4] as usize % 4];
            let label = name(&format!("s{}", fleet.services().len()));
            let mut spec = Service::new(label, pool, size, budget, numbers[4]);
            (spec.slots, spec.run_millis, spec.warm_millis) = (slots, numbers[5], numbers[6]);
            fleet.add_service(spec);
        }
        fleet.weights.moves = numbers[7];
        let mut driver = Driver::new(fleet);
        let at = Time::from_millis;
        for service in driver.fleet.service_ids() {
            let load = Load {
                at: at(wide_numbers[0]),
                in_flight_milli: wide_numbers[1],
                arrivals_milli: wide_numbers[2],
                refused_milli: wide_numbers[3],
            };
            driver.state.sizer.record_load(at(wide_numbers[4]), &driver.fleet, service, load);
            let usage = Usage {
                at: at(wide_numbers[0]),
                milli_cores: numbers[6],
                memory_mib: numbers[7],
            };
            driver.state.sizer.record_usage(at(wide_numbers[4]), service, usage);
        }
        driver.directive.pace = pace;
        driver.state.wave = Some(Order::new(at(wide_numbers[5]), at(wide_numbers[0])));
        let decide_at = |now: Time| {
            decide(&driver.fleet, &driver.state, &driver.directive, &driver.config, now)
        };
        for now in [0, wide_numbers[4], u64::MAX] {
            let decision = decide_at(at(now));
            prop_assert!(decision.steps.len() <= 4 * 4 * 2);
        }
    }
}
