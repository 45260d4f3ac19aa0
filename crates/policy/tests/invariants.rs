//! What holds for any fleet and any sequence of events.

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
    Lose(usize),
    FindAll,
    Bad(usize),
    Mend,
    Wave,
    Drain(usize, bool),
    Usage(usize, u32),
    Copies(usize, u32),
    RefuseMoves(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..4usize, 0..90u64).prop_map(|(s, load)| Event::Load(s, load)),
        2 => (0..24usize).prop_map(Event::Lose),
        1 => Just(Event::FindAll),
        1 => (0..24usize).prop_map(Event::Bad),
        1 => Just(Event::Mend),
        2 => Just(Event::Wave),
        1 => (0..24usize, any::<bool>()).prop_map(|(vm, on)| Event::Drain(vm, on)),
        1 => (0..4usize, 0..20_000u32).prop_map(|(s, cores)| Event::Usage(s, cores)),
        1 => (0..4usize, 0..20u32).prop_map(|(s, count)| Event::Copies(s, count)),
        1 => any::<bool>().prop_map(Event::RefuseMoves),
    ]
}

#[derive(Clone, Debug)]
struct Row {
    least: u32,
    most: u32,
    licences: u32,
    level: usize,
    cores: u32,
}

fn row() -> impl Strategy<Value = Row> {
    (0..5u32, 0..12u32, 0..12u32, 0..4usize, 0..20u32).prop_map(
        |(least, most, licences, level, cores)| Row { least, most, licences, level, cores },
    )
}

fn driver(rows: &[Row]) -> Driver {
    let (mut fleet, first) = fleet(2, 3);
    let second = fleet.add_pool(Pool::new(name("second")));
    add_vms(&mut fleet, second, 2, 2);
    for (index, row) in rows.iter().enumerate() {
        let mut budget = Budget::new(row.least, row.most);
        budget.outlasts = LEVELS[row.level];
        let pool = if index % 2 == 0 { first } else { second };
        let label = name(&format!("service-{index}"));
        let size = size(row.cores, 4);
        let mut service = Service::new(label, pool, size, budget, row.licences);
        service.class = [Class::Later, Class::Normal, Class::First][index % 3];
        fleet.add_service(service);
    }
    Driver::new(fleet)
}

fn happen(driver: &mut Driver, event: &Event) {
    let vms = driver.fleet.vms().len();
    let vm = |index: usize| VmId::from_index(index % vms);
    let now = minute(driver.now);
    match *event {
        Event::Load(service, load) => driver.loads[service] = load,
        Event::Lose(index) => driver.lose(|_, id| id == vm(index)),
        Event::FindAll => driver.find_all(),
        Event::Bad(index) => driver.bad.push(vm(index)),
        Event::Mend => driver.bad.clear(),
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
fn check(driver: &Driver) -> Result<(), TestCaseError> {
    let now = minute(driver.now);
    let again = decide(&driver.fleet, &driver.state, &driver.directive, &driver.config, now);
    prop_assert_eq!(&again, &driver.last, "the same input, the same decision");
    let mut used: Vec<(u64, u64)> = Vec::new();
    let mut carried: Vec<Vec<ServiceId>> = Vec::new();
    let size = |service| driver.state.sizer.size(&driver.fleet, service, &driver.config);
    for (_, vm) in driver.state.vms() {
        let services: Vec<ServiceId> = vm.copies.iter().map(|copy| copy.service).collect();
        let sum = |of: fn(&Size) -> u32| services.iter().map(|s| u64::from(of(&size(*s)))).sum();
        used.push((sum(|size| size.milli_cores), sum(|size| size.memory_mib)));
        carried.push(services);
    }
    let mut drained = Vec::new();
    for step in &driver.last.steps {
        let vm = step.operation.vm();
        let state = driver.state.vm(vm);
        match step.operation {
            Operation::Start { service, .. } if !carried[vm.index()].contains(&service) => {
                let (cores, memory) = &mut used[vm.index()];
                *cores += u64::from(size(service).milli_cores);
                *memory += u64::from(size(service).memory_mib);
                let has = driver.fleet.vm(vm).size;
                prop_assert!(*cores <= u64::from(has.milli_cores), "a VM's cores end");
                prop_assert!(*memory <= u64::from(has.memory_mib), "a VM's memory ends");
                prop_assert_eq!(state.phase, Phase::Serving);
                prop_assert_eq!(state.pool, driver.fleet.service(service).pool);
                carried[vm.index()].push(service);
            }
            Operation::Drain { purpose: Purpose::Maintenance, .. } => drained.push(vm),
            Operation::SwitchPool { .. } => {
                prop_assert!(state.phase == Phase::Drained && state.copies.is_empty());
            }
            _ => {}
        }
    }
    for (id, service) in driver.fleet.services() {
        let held = carried.iter().flatten().filter(|carried| **carried == id).count();
        let before = driver.held(id);
        prop_assert!(held <= before.max(service.licences as usize), "licences are a hard cap");
        let able = driver.able(id);
        let left = able.iter().filter(|vm| !drained.contains(vm)).count();
        if left < able.len() {
            let least = service.budget.min_copies.min(service.budget.max_copies);
            prop_assert!(left >= least as usize, "a wave takes {id:?} to {left} copies");
            let load = (driver.loads[id.index()] as usize).div_ceil(8);
            let load = load.min(service.budget.max_copies.min(service.licences) as usize);
            prop_assert!(left >= load, "a wave leaves {left} copies of {id:?} for {load}");
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
        rows in prop::collection::vec(row(), 4),
        events in prop::collection::vec((event(), 1..12u64), 1..25),
    ) {
        let mut driver = driver(&rows);
        for (event, minutes) in events {
            happen(&mut driver, &event);
            for _ in 0..minutes {
                driver.pass();
                driver.decide();
                check(&driver)?;
                driver.take();
            }
        }
    }

    #[test]
    fn decide_absurd_input(
        numbers in prop::collection::vec(any::<u32>(), 8),
        wide in prop::collection::vec(any::<u64>(), 6),
        slots in any::<u16>(),
        pace in prop_oneof![Just(Pace::Paused), any::<u32>().prop_map(Pace::AtMost)],
    ) {
        let (mut fleet, pool) = fleet(2, 1);
        let copy = Size { milli_cores: numbers[0], memory_mib: numbers[1], accelerators: 0 };
        for size in [copy, Size::default()] {
            let mut budget = Budget::new(numbers[2], numbers[3]);
            budget.outlasts = LEVELS[numbers[4] as usize % 4];
            let label = name(&format!("s{}", fleet.services().len()));
            let mut row = Service::new(label, pool, size, budget, numbers[4]);
            (row.slots, row.run_millis, row.warm_millis) = (slots, numbers[5], numbers[6]);
            fleet.add_service(row);
        }
        fleet.weights.moves = numbers[7];
        let mut driver = Driver::new(fleet);
        let at = Time::from_millis;
        for service in driver.fleet.service_ids() {
            let load = Load {
                at: at(wide[0]),
                in_flight_milli: wide[1],
                arrivals_milli: wide[2],
                refused_milli: wide[3],
            };
            driver.state.sizer.record_load(at(wide[4]), &driver.fleet, service, load);
            let usage = Usage { at: at(wide[0]), milli_cores: numbers[6], memory_mib: numbers[7] };
            driver.state.sizer.record_usage(at(wide[4]), service, usage);
        }
        driver.directive.pace = pace;
        driver.state.wave = Some(Order::new(at(wide[5]), at(wide[0])));
        let decided = |now: Time| {
            decide(&driver.fleet, &driver.state, &driver.directive, &driver.config, now)
        };
        for now in [0, wide[4], u64::MAX] {
            let decision = decided(at(now));
            prop_assert!(decision.steps.len() <= 4 * 4 * 2);
        }
    }
}
