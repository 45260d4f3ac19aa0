//! Placement of copies, services that can't run, and moves.

#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use corianderfork_model::Share;
use corianderfork_model::place::{Pool, Size};
use corianderfork_model::service::{Budget, Class, Outlasts, Service, Team};
use corianderfork_policy::directive::Copies;
use corianderfork_policy::note::Unschedulable;
use corianderfork_policy::state::Phase;
use corianderfork_policy::step::Reason;
use corianderfork_policy::{Note, Operation};

#[test]
fn decide_data_centre_failure_survived() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "transfer", (2, 12), Outlasts::DataCentre);
    let mut driver = Driver::new(fleet);
    driver.loads[0] = 40;
    driver.run(60);
    for dc in driver.fleet.data_centre_ids() {
        let survivors = driver.ready_vms(service).into_iter();
        let survivors = survivors.filter(|&vm| driver.fleet.data_centre_of(vm) != dc).count();
        assert!(survivors * 8 >= 40, "{survivors} copies are left without {dc:?}");
    }
    assert!(driver.assigned(service) <= 9, "more copies than the redundancy requires");
}

#[test]
fn decide_data_centre_lost_keeps_licences() {
    // Guards against more copies than licences. A data centre is lost, its
    // copies are replaced, and it comes back: copies on lost VMs have to count
    // against the licences.
    let (mut fleet, pool) = fleet(3, 3);
    let service = add_service(&mut fleet, pool, "transfer", (2, 9), Outlasts::DataCentre);
    let mut driver = Driver::new(fleet);
    driver.loads[0] = 40;
    driver.run(60);
    let first = driver.fleet.data_centre_ids().next().unwrap();
    driver.lose_vms(|fleet, vm| fleet.data_centre_of(vm) == first);
    for _ in 0..400 {
        driver.run_minute();
        assert!(driver.assigned(service) <= 9);
        assert!(driver.ready_vms(service).len() >= 5);
    }
    driver.recover_all();
    for _ in 0..400 {
        driver.run_minute();
        assert!(driver.assigned(service) <= 9);
    }
}

#[test]
fn decide_short_outage_no_moves() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "transfer", (2, 10), Outlasts::Vm);
    let mut driver = Driver::new(fleet);
    driver.loads[0] = 30;
    driver.run(60);
    let (moves, assigned) = (driver.moves, driver.assigned(service));
    let vm = driver.ready_vms(service)[0];
    driver.lose_vms(|_, id| id == vm);
    driver.run(10);
    driver.recover_all();
    driver.run(60);
    assert_eq!((driver.moves, driver.assigned(service)), (moves, assigned));
}

#[test]
fn decide_unschedulable_services() {
    let (mut fleet, pool) = fleet(1, 2);
    let empty = fleet.add_pool(Pool::new(name("empty")));
    let budget = || Budget::new(1, 2);
    let mut add = |text: &str, pool, size: Size, licences| {
        fleet.add_service(Service::new(name(text), pool, size, budget(), licences))
    };
    let accelerated = Size { accelerators: 1, ..size(1, 1) };
    let jobs = [
        (add("cores", pool, size(17, 1), 2), Unschedulable::Cores),
        (add("memory", pool, size(1, 33), 2), Unschedulable::Memory),
        (add("accelerators", pool, accelerated, 2), Unschedulable::Accelerators),
        (add("licences", pool, size(1, 1), 0), Unschedulable::Licences),
        (add("pool", empty, size(1, 1), 2), Unschedulable::EmptyPool),
    ];
    let mut driver = Driver::new(fleet);
    driver.run_minute();
    for (service, reason) in jobs {
        assert!(
            driver.last_decision.notes.contains(&Note::Unschedulable { service, reason }),
            "{reason}"
        );
    }
    assert!(driver.last_decision.steps.is_empty());
}

#[test]
fn decide_quota_limits_starts() {
    let (mut fleet, pool) = fleet(3, 2);
    let team = fleet.add_team(Team::new(name("audit"), size(7, 100)));
    let mut spec = Service::new(name("audit"), pool, size(3, 6), Budget::new(4, 8), 8);
    spec.team = Some(team);
    let service = fleet.add_service(spec);
    let mut driver = Driver::new(fleet);
    driver.run(5);
    assert_eq!(driver.assigned(service), 2);
    assert!(driver.last_decision.notes.contains(&Note::Quota { service, team }));
}

#[test]
fn decide_failing_service_backs_off() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "broken", (1, 2), Outlasts::Nothing);
    let mut driver = Driver::new(fleet);
    driver.failing_services.push(service);
    let mut start_times = Vec::new();
    for _ in 0..600 {
        driver.run_minute();
        let starts = driver.last_decision.steps.iter();
        if starts.clone().any(|step| matches!(step.operation, Operation::Start { .. })) {
            start_times.push(driver.now);
        }
    }
    assert!((8..40).contains(&start_times.len()), "{start_times:?}");
    let last_delay = start_times[start_times.len() - 1] - start_times[start_times.len() - 2];
    assert!(last_delay >= 30, "{start_times:?}");
}

#[test]
fn decide_failing_vm_avoided() {
    // Guards against starting copy after copy on a VM where every start fails
    // fast: such a VM is always the emptiest.
    let (mut fleet, pool) = fleet(1, 3);
    let services: Vec<_> = (0..4)
        .map(|i| add_service(&mut fleet, pool, &format!("s{i}"), (3, 5), Outlasts::Vm))
        .collect();
    let mut driver = Driver::new(fleet);
    let failing_vm = driver.fleet.vm_ids().next().unwrap();
    driver.failing_vms.push(failing_vm);
    let mut starts = 0;
    let mut reported = false;
    for _ in 0..300 {
        driver.run_minute();
        let on_failing_vm =
            |operation| matches!(operation, Operation::Start { vm, .. } if vm == failing_vm);
        starts +=
            driver.last_decision.steps.iter().filter(|step| on_failing_vm(step.operation)).count();
        reported |= driver.last_decision.notes.contains(&Note::Unfit { vm: failing_vm });
    }
    assert!(starts <= 8, "{starts} starts on a VM that fails everything");
    assert!(reported || starts <= 1, "the VM is not reported as unfit");
    assert!(services.iter().all(|&service| driver.ready_vms(service).len() >= 3));
}

#[test]
fn decide_failed_start_not_repeated_at_once() {
    // Guards against starting the same copy on the same VM every other minute:
    // after a failed start the copy is stopped, and the VM has room again.
    let (mut fleet, pool) = fleet(1, 1);
    let service = add_service(&mut fleet, pool, "lookup", (2, 2), Outlasts::Nothing);
    let mut driver = Driver::new(fleet);
    let failing_vm = driver.fleet.vm_ids().next().unwrap();
    driver.failing_vms.push(failing_vm);
    let mut starts = 0;
    for _ in 0..9 {
        driver.run_minute();
        let repeated_start = Operation::Start { vm: failing_vm, service };
        starts += driver
            .last_decision
            .steps
            .iter()
            .filter(|step| step.operation == repeated_start)
            .count();
    }
    assert_eq!(starts, 1);
}

#[test]
fn decide_urgent_service_displaces_later_one() {
    let (mut fleet, pool) = fleet(1, 1);
    let mut add = |text: &str, class, min_copies| {
        let mut budget = Budget::new(min_copies, 2);
        budget.outlasts = Outlasts::Nothing;
        let mut spec = Service::new(name(text), pool, size(10, 20), budget, 2);
        spec.class = class;
        fleet.add_service(spec)
    };
    let archive = add("archive", Class::Later, 0);
    let transfer = add("transfer", Class::First, 0);
    let mut driver = Driver::new(fleet);
    driver.loads = vec![16, 0];
    driver.run(5);
    assert_eq!(driver.assigned(archive), 2, "the less urgent service uses the free room");
    driver.loads = vec![16, 16];
    driver.run_minute();
    let displaced = Reason::Displaced(transfer);
    driver
        .run_until(|driver| driver.last_decision.steps.iter().any(|step| step.reason == displaced));
    driver.run(10);
    assert_eq!((driver.assigned(transfer), driver.assigned(archive)), (2, 0));
}

#[test]
fn decide_pool_without_room_borrows_vm() {
    let (mut fleet, pool) = fleet(1, 1);
    let other = fleet.add_pool(Pool::new(name("other")));
    add_vms(&mut fleet, other, 1, 2);
    let mut budget = Budget::new(3, 4);
    budget.outlasts = Outlasts::Nothing;
    let spec = Service::new(name("transfer"), pool, size(9, 9), budget, 4);
    let service = fleet.add_service(spec);
    let mut driver = Driver::new(fleet);
    driver.run(20);
    assert_eq!(driver.ready_vms(service).len(), 3);
    let lent = driver.state.vms().filter(|(id, vm)| vm.pool != driver.fleet.vm(*id).home);
    assert_eq!(lent.count(), 1, "exactly one VM is lent");
}

#[test]
fn decide_refuse_moves() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "rally", (1, 10), Outlasts::Nothing);
    let mut driver = Driver::new(fleet).weights(1, 10, 1);
    driver.loads[0] = 60;
    driver.run(120);
    let assigned = driver.assigned(service);
    driver.directive.refuse_moves = true;
    driver.loads[0] = 1;
    driver.run(28 * 60);
    assert_eq!(driver.assigned(service), assigned);
}

#[test]
fn decide_operator_drain_and_undrain() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "rally", (3, 10), Outlasts::Vm);
    let mut driver = Driver::new(fleet);
    driver.run(30);
    let vm = driver.ready_vms(service)[0];
    driver.state.vm_mut(vm).drain_requested = true;
    for _ in 0..20 {
        driver.run_minute();
        assert!(driver.ready_vms(service).len() >= 3);
    }
    assert_eq!(driver.state.vm(vm).phase, Phase::Drained);
    assert!(driver.state.vm(vm).copies.is_empty());
    driver.state.vm_mut(vm).drain_requested = false;
    driver.run(2);
    assert_eq!(driver.state.vm(vm).phase, Phase::Serving);
}

#[test]
fn decide_operator_drain_with_directive_on_copies() {
    // Guards against an operator's drain that never completes: a rule with
    // `headroom` or `hold` must not keep fewer copies than the budget's
    // redundancy requires, as the budget then blocks every drain.
    for copies in [Copies::Headroom(Share::from_per_mille(200).unwrap()), Copies::Hold] {
        let (mut fleet, pool) = fleet(3, 1);
        let service = add_service(&mut fleet, pool, "rally", (3, 6), Outlasts::Vm);
        let mut driver = Driver::new(fleet);
        driver.run(30);
        driver.directive.copies.insert(service, copies);
        driver.run(30);
        let vm = driver.ready_vms(service)[0];
        driver.state.vm_mut(vm).drain_requested = true;
        driver.run(10);
        assert_eq!(driver.state.vm(vm).phase, Phase::Drained, "{copies:?}");
        assert!(driver.ready_vms(service).len() >= 3);
    }
}

#[test]
fn decide_vm_returns_to_new_home() {
    let (mut fleet, pool) = fleet(2, 2);
    let other = fleet.add_pool(Pool::new(name("other")));
    let service = add_service(&mut fleet, pool, "transfer", (3, 6), Outlasts::Vm);
    let mut driver = Driver::new(fleet).weights(1, 1, 1);
    driver.run(150);
    let vm = driver.ready_vms(service)[0];
    driver.state.vm_mut(vm).pool = other;
    driver.state.vm_mut(vm).copies.clear();
    driver.run(150);
    assert_eq!(driver.state.vm(vm).pool, pool);
    assert_eq!(driver.state.vm(vm).phase, Phase::Serving);
}

#[test]
fn decide_service_moved_to_another_pool() {
    // Guards against copies that stay on VMs of the old pool after operators
    // moved their service to another pool.
    let (mut before, first) = fleet(2, 2);
    let second = before.add_pool(Pool::new(name("second")));
    add_vms(&mut before, second, 2, 2);
    let mut after = before.clone();
    let service = add_service(&mut before, first, "transfer", (3, 6), Outlasts::Vm);
    add_service(&mut after, second, "transfer", (3, 6), Outlasts::Vm);
    let mut driver = Driver::new(before);
    driver.run(30);
    driver.fleet = after;
    for _ in 0..30 {
        driver.run_minute();
        assert!(driver.ready_vms(service).len() >= 3);
    }
    let old_vms = driver.ready_vms(service).into_iter();
    assert_eq!(old_vms.filter(|&vm| driver.state.vm(vm).pool != second).count(), 0);
    assert_eq!(driver.assigned(service), 4);
}
