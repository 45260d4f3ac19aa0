//! Maintenance: within every budget, from a small step to a wide one, on time.

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

/// Two services on 18 VMs, settled.
fn settled() -> Driver {
    let (mut fleet, pool) = fleet(3, 3);
    add_service(&mut fleet, pool, "transfer", (2, 12), Outlasts::DataCentre);
    add_service(&mut fleet, pool, "archive", (1, 8), Outlasts::Vm);
    let mut driver = Driver::new(fleet).weights(1, 10, 40);
    driver.loads = vec![30, 10];
    driver.run(120);
    driver
}

fn order(driver: &mut Driver, hours: u64) {
    let order = Order::new(minute(driver.now + 1), minute(driver.now + hours * 60));
    driver.state.wave = Some(order);
}

fn done(driver: &Driver) -> bool {
    driver.state.wave.as_ref().unwrap().is_done(&driver.state)
}

fn out(driver: &Driver) -> usize {
    driver.state.vms().filter(|(_, vm)| vm.phase != Phase::Serving).count()
}

#[test]
fn plan_keeps_budgets_and_widens() {
    let mut driver = settled();
    order(&mut driver, 8);
    driver.step();
    assert_eq!(out(&driver), 1, "it begins with one VM");
    let services: Vec<_> = driver.fleet.service_ids().collect();
    let mut widest = 0;
    let minutes = driver.run_until(|driver| {
        widest = widest.max(out(driver));
        assert!(driver.able(services[0]).len() * 8 >= 30);
        assert!(driver.able(services[1]).len() * 8 >= 10);
        done(driver)
    });
    assert!(widest >= 4, "it never had more than {widest} VMs under way");
    assert!(minutes < 18 * 7, "{minutes} minutes are no less than one VM after the other takes");
}

#[test]
fn plan_halts_on_what_comes_back_failing() {
    // Symptom: VM after VM is rebooted into a state in which nothing starts.
    // Sequence: a bad image is rolled out; each VM comes back, and fails.
    // Cause: a VM that is back counts as well.
    let mut driver = settled();
    order(&mut driver, 8);
    let mut rebooted = Vec::new();
    let mut said = false;
    for _ in 0..600 {
        driver.step();
        let back = |vm: &corianderfork_policy::state::Vm| {
            vm.maintained_at > Some(driver.state.wave.as_ref().unwrap().started_at)
        };
        rebooted = driver.state.vms().filter(|(_, vm)| back(vm)).map(|(id, _)| id).collect();
        driver.bad = rebooted.clone();
        said |= driver.last.notes.iter().any(|note| matches!(note, Note::Halted { .. }));
    }
    assert!(said, "it says that it halts");
    assert!(rebooted.len() <= 9, "{} of 18 VMs were rebooted", rebooted.len());
    let service = driver.fleet.service_ids().next().unwrap();
    assert!(driver.able(service).len() * 8 >= 30);
    // Mended: the wave goes on by itself.
    driver.bad.clear();
    driver.run_until(done);
}

#[test]
fn plan_waits_for_unplanned_failures() {
    // Symptom: a service falls below its budget in the middle of a wave.
    // Sequence: a data centre is lost while VMs are out for maintenance.
    // Cause: the wave counts the copies that it took out, and no others.
    let mut driver = settled();
    order(&mut driver, 8);
    driver.config = Config::new().surge(false).replace_delay(Duration::from_secs(7_200));
    driver.run(10);
    let first = driver.fleet.data_centre_ids().next().unwrap();
    driver.lose(|fleet, vm| fleet.data_centre_of(vm) == first);
    let services: Vec<_> = driver.fleet.service_ids().collect();
    for _ in 0..90 {
        driver.step();
        assert!(driver.able(services[0]).len() * 8 >= 30);
        let halted = |note: &Note| matches!(note, Note::Halted { .. } | Note::NotBack { .. });
        assert!(!driver.last.notes.iter().any(halted), "an outage is no failure of the wave");
    }
    driver.find_all();
    driver.config = Config::new();
    driver.run_until(done);
}

#[test]
fn plan_goes_on_after_its_controller_died() {
    // Symptom: a wave begins anew, or never ends.
    // Sequence: the controller dies in the middle; another one takes over with
    // the records alone, and has learned nothing yet.
    // Cause: the progress was in the memory of the first one.
    let mut driver = settled();
    order(&mut driver, 8);
    driver.run(25);
    let begun = driver.state.wave.as_ref().unwrap().started_at;
    let before: Vec<_> = driver.state.vms().map(|(_, vm)| vm.maintained_at).collect();
    driver.state.sizer = corianderfork_policy::sizing::Sizer::new(&driver.fleet, begun);
    driver.run_until(done);
    for ((_, vm), before) in driver.state.vms().zip(before) {
        if before.is_some_and(|before| before >= begun) {
            assert_eq!(vm.maintained_at, before, "no VM is rebooted twice");
        }
    }
}

#[test]
fn plan_meets_its_deadline_where_moves_weigh_most() {
    let mut driver = settled().weights(20, 1, 2);
    order(&mut driver, 5);
    let before = driver.moves;
    let minutes = driver.run_until(done);
    assert!(minutes <= 300, "{minutes} minutes");
    assert!(driver.moves > before, "no budget has room without a move");
}

#[test]
fn plan_paused_begins_nothing() {
    let mut driver = settled();
    order(&mut driver, 8);
    driver.directive.pace = Pace::Paused;
    driver.run(60);
    assert_eq!(out(&driver), 0);
    driver.directive.pace = Pace::AtMost(2);
    driver.run_until(|driver| {
        assert!(out(driver) <= 2);
        done(driver)
    });
}

#[test]
fn plan_spreads_what_is_due() {
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
fn forecast_names_what_does_not_fit_and_why() {
    let mut driver = settled();
    let now = minute(driver.now);
    let plan = |driver: &Driver, order: &Order| {
        forecast(&driver.fleet, &driver.state, &driver.directive, &driver.config, order, now)
    };
    let order = Order::new(now, minute(driver.now + 480));
    let fits = plan(&driver, &order);
    assert!(
        fits.meets_deadline && fits.remaining.is_empty() && fits.remedies.is_empty(),
        "{fits:?}"
    );
    let short = plan(&driver, &Order::new(now, minute(driver.now + 10)));
    let finish = fits.finish.unwrap();
    assert!(!short.meets_deadline && short.remaining[0].1 > 0);
    assert!(short.remedies.contains(&Remedy::Deadline(finish)), "{short:?}");
    driver.directive.pace = Pace::Paused;
    let paused = plan(&driver, &order);
    assert!(!paused.meets_deadline && paused.finish.is_none());
    assert!(paused.remedies.contains(&Remedy::Pace));
    // Held back by a budget: it says by which, and how many copies it takes.
    driver.directive.pace = Pace::Measured;
    driver.directive.refuse_moves = true;
    let service = driver.fleet.service_ids().next().unwrap();
    let blocked = plan(&driver, &order);
    let names = |remedy: &Remedy| matches!(remedy, Remedy::Copies { service: named, missing } if *named == service && *missing > 0);
    assert!(blocked.remedies.iter().any(names), "{blocked:?}");
}

#[test]
fn plan_counts_a_vm_lost_in_its_reboot_towards_what_operators_allow() {
    // Symptom: an operator allows one VM at a time, and two are away.
    // Sequence: a VM is rebooted for a wave; it goes from the platform's list before it
    //   is back.
    // Cause: what is lost isn't counted among what is under way, lest an outage should
    //   take up or halt the wave.
    let mut driver = settled();
    driver.directive.pace = Pace::AtMost(1);
    order(&mut driver, 8);
    driver.run_until(|driver| driver.state.vms().any(|(_, vm)| vm.phase == Phase::Rebooting));
    let rebooting = |driver: &Driver| {
        driver.state.vms().find(|(_, vm)| vm.phase == Phase::Rebooting).map(|(id, _)| id)
    };
    let gone = rebooting(&driver).unwrap();
    driver.lose(|_, vm| vm == gone);
    // A reboot takes 5 minutes, and may take 30.
    for _ in 0..25 {
        driver.step();
        assert_eq!(out(&driver), 1, "another one was begun");
    }
    // One that never comes back doesn't hold the wave for ever.
    driver.run_until(|driver| out(driver) > 1);
    driver.find_all();
    driver.run_until(done);
}
