//! Maintenance waves: budgets, width, deadlines and failures.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::*;
use corianderfork_model::service::Outlasts;
use corianderfork_policy::directive::Pace;
use corianderfork_policy::forecast::{Remedy, forecast};
use corianderfork_policy::state::Phase;
use corianderfork_policy::wave::Order;
use corianderfork_policy::{Config, Note, Step};

/// Returns two services on 18 VMs, after two hours with a constant load.
fn settled_driver() -> Driver {
    let (mut fleet, pool) = fleet(3, 3);
    add_service(&mut fleet, pool, "transfer", (2, 12), Outlasts::DataCentre);
    add_service(&mut fleet, pool, "archive", (1, 8), Outlasts::Vm);
    let mut driver = Driver::new(fleet).weights(1, 10, 40);
    driver.loads = vec![30, 10];
    driver.run(120);
    driver
}

fn order_wave(driver: &mut Driver, hours: u64) {
    let order = Order::new(minute(driver.now + 1), minute(driver.now + hours * 60));
    driver.state.wave = Some(order);
}

fn is_done(driver: &Driver) -> bool {
    driver.state.wave.as_ref().unwrap().is_done(&driver.state)
}

fn out_count(driver: &Driver) -> usize {
    driver.state.vms().filter(|(_, vm)| vm.phase != Phase::Serving).count()
}

#[test]
fn plan_keeps_budgets_and_widens() {
    let mut driver = settled_driver();
    order_wave(&mut driver, 8);
    driver.run_minute();
    assert_eq!(out_count(&driver), 1, "the wave starts with one VM");
    let services: Vec<_> = driver.fleet.service_ids().collect();
    let mut widest = 0;
    let minutes = driver.run_until(|driver| {
        widest = widest.max(out_count(driver));
        assert!(driver.ready_vms(services[0]).len() * 8 >= 30);
        assert!(driver.ready_vms(services[1]).len() * 8 >= 10);
        is_done(driver)
    });
    assert!(widest >= 4, "never more than {widest} VMs were in progress");
    assert!(minutes < 18 * 7, "{minutes} minutes are not faster than one VM at a time");
}

#[test]
fn plan_halts_on_failing_vms() {
    // Guards against rebooting VM after VM with a bad image: each VM comes back
    // and fails every start, so coming back alone must not count as healthy.
    let mut driver = settled_driver();
    order_wave(&mut driver, 8);
    let mut rebooted = Vec::new();
    let mut halted = false;
    for _ in 0..600 {
        driver.run_minute();
        let is_back = |vm: &corianderfork_policy::state::Vm| {
            vm.maintained_at > Some(driver.state.wave.as_ref().unwrap().started_at)
        };
        rebooted = driver.state.vms().filter(|(_, vm)| is_back(vm)).map(|(id, _)| id).collect();
        driver.failing_vms = rebooted.clone();
        halted |= driver.last_decision.notes.iter().any(|note| matches!(note, Note::Halted { .. }));
    }
    assert!(halted, "no note reports the halt");
    assert!(rebooted.len() <= 9, "{} of 18 VMs were rebooted", rebooted.len());
    let service = driver.fleet.service_ids().next().unwrap();
    assert!(driver.ready_vms(service).len() * 8 >= 30);
    // Once the VMs are repaired, the wave continues by itself.
    driver.failing_vms.clear();
    driver.run_until(is_done);
}

#[test]
fn plan_waits_for_unplanned_failures() {
    // Guards against a service below its budget when a data centre is lost
    // during a wave: copies lost to unplanned failures have to count against
    // the budget as well.
    let mut driver = settled_driver();
    order_wave(&mut driver, 8);
    driver.config = Config::new().surge(false).replace_delay(Duration::from_secs(7_200));
    driver.run(10);
    let first = driver.fleet.data_centre_ids().next().unwrap();
    driver.lose_vms(|fleet, vm| fleet.data_centre_of(vm) == first);
    let services: Vec<_> = driver.fleet.service_ids().collect();
    for _ in 0..90 {
        driver.run_minute();
        assert!(driver.ready_vms(services[0]).len() * 8 >= 30);
        let is_failure = |note: &Note| matches!(note, Note::Halted { .. } | Note::NotBack { .. });
        assert!(
            !driver.last_decision.notes.iter().any(is_failure),
            "an outage counts as a failure of the wave"
        );
    }
    driver.recover_all();
    driver.config = Config::new();
    driver.run_until(is_done);
}

#[test]
fn plan_continues_after_failover() {
    // Guards against a wave that starts over or never ends after a failover: the
    // new controller has only the records and no learned sizes, so the progress
    // must not be kept in memory.
    let mut driver = settled_driver();
    order_wave(&mut driver, 8);
    driver.run(25);
    let started_at = driver.state.wave.as_ref().unwrap().started_at;
    let before: Vec<_> = driver.state.vms().map(|(_, vm)| vm.maintained_at).collect();
    driver.state.sizer = corianderfork_policy::sizing::Sizer::new(&driver.fleet, started_at);
    driver.run_until(is_done);
    for ((_, vm), before) in driver.state.vms().zip(before) {
        if before.is_some_and(|before| before >= started_at) {
            assert_eq!(vm.maintained_at, before, "a VM is rebooted twice");
        }
    }
}

#[test]
fn plan_meets_deadline_despite_costly_moves() {
    let mut driver = settled_driver().weights(20, 1, 2);
    order_wave(&mut driver, 5);
    let before = driver.moves;
    let minutes = driver.run_until(is_done);
    assert!(minutes <= 300, "{minutes} minutes");
    assert!(driver.moves > before, "the budgets allow no drain without a move");
}

#[test]
fn plan_paused_drains_nothing() {
    let mut driver = settled_driver();
    order_wave(&mut driver, 8);
    driver.directive.pace = Pace::Paused;
    driver.run(60);
    assert_eq!(out_count(&driver), 0);
    driver.directive.pace = Pace::AtMost(2);
    driver.run_until(|driver| {
        assert!(out_count(driver) <= 2);
        is_done(driver)
    });
}

#[test]
fn plan_spreads_periodic_maintenance() {
    let (fleet, pool) = fleet(3, 7);
    let mut driver = Driver::new(fleet);
    let days = u64::from(driver.fleet.pool(pool).maintenance_days);
    let mut weeks = vec![0; (days * 3 / 7) as usize];
    for hour in 0..days * 3 * 24 {
        driver.now += 60;
        let steps: Vec<Step> = driver.decide().steps.clone();
        for step in steps {
            driver.state.vm_mut(step.operation.vm()).maintained_at = Some(minute(driver.now));
            weeks[(hour / 24 / 7) as usize] += 1;
        }
        for (_, vm) in driver.state.vms() {
            let age = minute(driver.now) - vm.maintained_at.unwrap();
            assert!(age <= Duration::from_secs(days * 86_400), "a VM is overdue");
        }
    }
    assert!(weeks.iter().all(|&count| count <= 14), "a third of 42 VMs at most: {weeks:?}");
}

#[test]
fn forecast_remedies() {
    let mut driver = settled_driver();
    let now = minute(driver.now);
    let plan = |driver: &Driver, order: &Order| {
        forecast(&driver.fleet, &driver.state, &driver.directive, &driver.config, order, now)
    };
    let order = Order::new(now, minute(driver.now + 480));
    let feasible = plan(&driver, &order);
    assert!(
        feasible.meets_deadline && feasible.remaining.is_empty() && feasible.remedies.is_empty(),
        "{feasible:?}"
    );
    let too_short = plan(&driver, &Order::new(now, minute(driver.now + 10)));
    let finish = feasible.finish.unwrap();
    assert!(!too_short.meets_deadline && too_short.remaining[0].1 > 0);
    assert!(too_short.remedies.contains(&Remedy::Deadline(finish)), "{too_short:?}");
    driver.directive.pace = Pace::Paused;
    let paused = plan(&driver, &order);
    assert!(!paused.meets_deadline && paused.finish.is_none());
    assert!(paused.remedies.contains(&Remedy::Pace));
    // A wave blocked by a budget: the remedy names the service and the number of
    // missing copies.
    driver.directive.pace = Pace::Measured;
    driver.directive.refuse_moves = true;
    let service = driver.fleet.service_ids().next().unwrap();
    let blocked = plan(&driver, &order);
    let is_for_service = |remedy: &Remedy| matches!(remedy, Remedy::Copies { service: s, missing } if *s == service && *missing > 0);
    assert!(blocked.remedies.iter().any(is_for_service), "{blocked:?}");
}

#[test]
fn plan_pace_counts_vm_lost_in_reboot() {
    // Guards against two VMs out of service at a pace of one VM. A VM disappears from the
    // platform's list during its reboot. Lost VMs don't count as in progress, so
    // that an outage neither uses up the width of the wave nor halts it, but they
    // have to count against the operators' limit.
    let mut driver = settled_driver();
    driver.directive.pace = Pace::AtMost(1);
    order_wave(&mut driver, 8);
    driver.run_until(|driver| driver.state.vms().any(|(_, vm)| vm.phase == Phase::Rebooting));
    let rebooting = |driver: &Driver| {
        driver.state.vms().find(|(_, vm)| vm.phase == Phase::Rebooting).map(|(id, _)| id)
    };
    let lost = rebooting(&driver).unwrap();
    driver.lose_vms(|_, vm| vm == lost);
    // A reboot takes 5 minutes here; the timeout is 30.
    for _ in 0..25 {
        driver.run_minute();
        assert_eq!(out_count(&driver), 1, "another VM was drained");
    }
    // A VM that never comes back does not block the wave forever.
    driver.run_until(|driver| out_count(driver) > 1);
    driver.recover_all();
    driver.run_until(is_done);
}
